"""Decision log: JSON lines, bounded in volume, never blocking."""

from __future__ import annotations

import os
import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import logbook
import msgspec

from bramleydyke.ports import Clock

MAX_PENDING_LINES = 1_000
"""Lines that wait for a reader; later ones are dropped and counted."""

FLOW_BYTES = 12
_ENCODER = msgspec.json.Encoder(enc_hook=str)


def flow_text(flow: bytes) -> str:
    """Returns a flow as ``caller:port>route:port``."""
    caller, route = (
        f"{socket.inet_ntoa(part[:4])}:{int.from_bytes(part[4:], 'big')}"
        for part in (flow[:6], flow[6:])
    )
    return f"{caller}>{route}"


class LineWriter(logbook.Handler):
    """Writes JSON lines to a descriptor whose reader may be slow.

    Attributes:
        dropped: Lines that found no room.
    """

    def __init__(self, descriptor: int, *, node: str, level: str) -> None:
        super().__init__(level=level.upper())
        self.descriptor = descriptor
        self.node = node
        self.dropped = 0
        self.pending: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def emit(self, record: Any) -> None:
        """Writes a record, or keeps its line until there is room."""
        line = {
            **record.extra,
            "time": record.time.isoformat(),
            "node": self.node,
            "event": record.message,
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        if len(self.pending) >= MAX_PENDING_LINES:
            self.dropped += 1
        else:
            self.pending.append(_ENCODER.encode(line) + b"\n")
        self.flush()

    def flush(self) -> None:
        """Writes what waits, as far as there is room."""
        while self.pending:
            line = self.pending[0]
            try:
                written = os.write(self.descriptor, line)
            except OSError:
                return
            if written < len(line):
                self.pending[0] = line[written:]
                return
            self.pending.popleft()


class EventLog:
    """Logs events, at most a number of each kind a second.

    Attributes:
        left_out: Lines of each event that were left out since the last one.
    """

    def __init__(
        self,
        *,
        handler: LineWriter,
        clock: Clock,
        lines_per_s: int,
        count: Callable[[str], None],
    ) -> None:
        self.logger = logbook.Logger("bramleydyke")
        self.handler = handler
        self.clock = clock
        self.lines_per_s = lines_per_s
        self.count = count
        self.second = 0
        self.lines: Counter[str] = Counter()
        self.left_out: Counter[str] = Counter()

    def record(self, event: str, **inputs: Any) -> None:
        """Logs a decision with what it rests on."""
        second = int(self.clock.seconds())
        if second != self.second:
            self.second = second
            self.lines.clear()
            self.handler.flush()
        self.lines[event] += 1
        if self.lines[event] > self.lines_per_s:
            self.left_out[event] += 1
            self.count("log.left_out")
            return
        flow = inputs.get("flow")
        if isinstance(flow, bytes) and len(flow) == FLOW_BYTES:
            inputs["flow"] = flow_text(flow)
        if self.left_out[event]:
            inputs["left_out"] = self.left_out.pop(event)
        inputs["at"] = round(self.clock.seconds(), 4)
        self.logger.info(event, extra=inputs)

    def failed(self, event: str) -> None:
        """Logs the exception that is being handled."""
        self.count("failed." + event)
        self.logger.exception(event)
