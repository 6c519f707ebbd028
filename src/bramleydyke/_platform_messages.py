"""Messages between a role and the local port of the platform's object API."""

from __future__ import annotations

from bramleydyke._message_base import Message
from bramleydyke.types import PlatformStatus


class PlatformRead(Message):
    """Reads an object, or waits until its version is above ``after``.

    A path that ends in ``/`` is a prefix: the value is then a JSON object that
    maps the paths below it to their versions, and the version is the highest
    of them. A wait that times out without a change gets the status ``OK``, an
    unchanged version and no value.
    """

    call: int
    """Number chosen by the role to match the reply to the call."""

    path: str
    after: int | None = None
    """Version that the object must exceed; None reads without a wait."""

    timeout: float = 5.0
    """Timeout of the read or wait, in seconds."""


class PlatformWrite(Message):
    """Writes an object if its version is ``expected``; 0: must not exist."""

    call: int
    path: str
    value: bytes
    expected: int
    timeout: float = 5.0


class PlatformReply(Message):
    """Result of the read or write with the same ``call`` number."""

    call: int
    status: PlatformStatus
    version: int = 0
    """Current version of the object; 0 if it does not exist."""

    value: bytes | None = None
