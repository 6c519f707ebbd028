"""Loggers and the handler that writes their records as JSON lines."""

from __future__ import annotations

import sys
from typing import Any, TextIO

import logbook
import msgspec

_ENCODER = msgspec.json.Encoder(enc_hook=str)


def _format(record: Any, _: Any) -> str:
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
        **record.extra,
    }
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return _ENCODER.encode(line).decode()


def json_handler(
    stream: TextIO | None = None, *, level: str = "INFO"
) -> logbook.StreamHandler:
    """Returns a handler that writes one JSON object a line.

    Args:
        stream: Output stream; standard error if not given.
        level: Name of the least severe level that is written.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level.upper())
    handler.formatter = _format
    return handler


def logger(name: str) -> logbook.Logger:
    """Returns a logger for a channel.

    Pass identifiers, such as a request id, as ``extra={...}``: the JSON
    handler writes them as fields of their own.
    """
    return logbook.Logger(name)
