"""What a role's environment provides, and what a role provides to it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, TypeAlias

from bramleydyke.types import NodeId

if TYPE_CHECKING:
    from bramleydyke.core.members import Members
    from bramleydyke.messages import Envelope, Payload


class Facade(Protocol):
    """A role without input or output: ``Balancer`` or ``Agent``."""

    node_id: NodeId
    members: Members

    def receive(self, envelope: Envelope, *, now: float) -> list[Envelope]:
        """Takes one message; returns the messages that follow from it."""

    def wake(self, *, now: float) -> list[Envelope]:
        """Does what is due; returns the messages that follow from it."""

    def next_wakeup(self) -> float | None:
        """Returns when ``wake`` has something to do, in seconds."""

    def idle(self) -> bool:
        """Tells whether a draining role may stop."""


class DelayedCall(Protocol):
    """A call that the clock will make."""

    def active(self) -> bool:
        """Tells whether the call is still due."""

    def cancel(self) -> None:
        """Withdraws the call."""

    def getTime(self) -> float:  # noqa: N802 - name given by twisted
        """Returns when the call is due, in seconds."""


class Clock(Protocol):
    """The runtime's clock; tests use ``twisted.internet.task.Clock``."""

    def seconds(self) -> float:
        """Returns the monotonic time in seconds."""

    def callLater(  # noqa: N802 - name given by twisted
        self, delay: float, call: Callable[..., object], *args: Any, **kwargs: Any
    ) -> DelayedCall:
        """Makes a call after a delay in seconds."""


LocalPort: TypeAlias = "Callable[[Payload], None]"
"""Takes a message that a role sends to one of its local ports."""

Deliver: TypeAlias = "Callable[[NodeId, Payload], None]"
"""Hands a message from a local port, which is named first, to the role."""

Counter = Callable[..., None]
"""Adds to a counter: ``count(name)`` or ``count(name, amount)``."""

SendRemote: TypeAlias = "Callable[[Envelope], None]"
"""Sends a message to another node; it may be lost."""
