"""Interfaces between a role and its environment.

A role (``Balancer`` or ``Agent``) makes decisions and does no input or output;
its environment provides the clock, the network and the local ports.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, TypeAlias

from bramleydyke.types import NodeId

if TYPE_CHECKING:
    from bramleydyke.core.members import Members
    from bramleydyke.messages import Envelope, Payload


class Role(Protocol):
    """Interface of a role: ``Balancer`` or ``Agent``."""

    node_id: NodeId
    members: Members

    def receive(self, envelope: Envelope, *, now: float) -> list[Envelope]:
        """Handles a message and returns the messages to send."""

    def wake(self, *, now: float) -> list[Envelope]:
        """Handles the timers that are due and returns the messages to send."""

    def next_wakeup(self) -> float | None:
        """Returns when to call ``wake`` next, in seconds, or None."""

    def idle(self) -> bool:
        """Returns whether a draining role has no work left and may stop."""


class DelayedCall(Protocol):
    """Call scheduled by ``Clock.callLater``."""

    def active(self) -> bool:
        """Returns whether the call is still pending."""

    def cancel(self) -> None:
        """Cancels a pending call."""

    def getTime(self) -> float:  # noqa: N802 - name given by twisted
        """Returns the scheduled time of the call, in seconds of the clock."""


class Clock(Protocol):
    """Clock and scheduler of a process, such as a Twisted reactor.

    Tests use ``twisted.internet.task.Clock``.
    """

    def seconds(self) -> float:
        """Returns the monotonic time in seconds."""

    def callLater(  # noqa: N802 - name given by twisted
        self, delay: float, call: Callable[..., object], *args: Any, **kwargs: Any
    ) -> DelayedCall:
        """Schedules a call after a delay in seconds."""


LocalPort: TypeAlias = "Callable[[Payload], None]"
"""Handles a message that a role sends to one of its local ports."""

Deliver: TypeAlias = "Callable[[NodeId, Payload], None]"
"""Delivers a local port's message to the role: ``deliver(port, payload)``."""

Counter = Callable[..., None]
"""Increments a counter by 1 or ``amount``: ``count(name[, amount])``."""

SendRemote: TypeAlias = "Callable[[Envelope], None]"
"""Sends a message to another node; it may be lost."""
