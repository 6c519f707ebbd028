"""Base of the messages."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, tag=True, frozen=True, array_like=True, kw_only=True):
    """Base of all messages."""
