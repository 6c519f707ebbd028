"""Base class of all messages."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, tag=True, frozen=True, array_like=True, kw_only=True):
    """Immutable message, encoded as an array that starts with its class name.

    The fields are encoded by position, so a new field must come last and have
    a default. Unknown trailing fields are skipped.
    """
