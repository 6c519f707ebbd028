"""Calls to the platform's object API and their results."""

from __future__ import annotations

from bramleydyke._message_base import Message
from bramleydyke.types import PlatformStatus

# Platform object API.


class PlatformRead(Message):
    """Reads an object, or waits until its version is above ``after``.

    A path that ends in ``/`` is a prefix: the value is then a JSON object of
    the paths below it and their versions, and the version is the highest of
    them. A wait that ends without a change is answered ``OK`` with an
    unchanged version and no value.
    """

    call: int
    """Chosen by the role, echoed in the reply."""

    path: str
    after: int | None = None
    """None: read at once. Else wait for a version above this."""

    timeout: float = 5.0
    """Seconds until the call is given up."""


class PlatformWrite(Message):
    """Writes an object if its version is still ``expected`` (0: absent)."""

    call: int
    path: str
    value: bytes
    expected: int
    timeout: float = 5.0


class PlatformReply(Message):
    """Result of a platform call."""

    call: int
    status: PlatformStatus
    version: int = 0
    """Version of the object now; 0 if it is absent."""

    value: bytes | None = None
