"""Event log in JSON lines that is limited in rate and never blocks.

Each line records one event: a decision of the process and its inputs.
"""

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
"""Maximum number of lines buffered for a slow reader; others are dropped."""

FLOW_BYTES = 12
_ENCODER = msgspec.json.Encoder(enc_hook=str)


def flow_text(flow: bytes) -> str:
    """Returns a flow in readable form, as ``caller:port>route:port``.

    Args:
        flow: 12 bytes: IPv4 address and port of the caller, then of the
            route.
    """
    caller, route = (
        f"{socket.inet_ntoa(part[:4])}:{int.from_bytes(part[4:], 'big')}"
        for part in (flow[:6], flow[6:])
    )
    return f"{caller}>{route}"


class LineWriter(logbook.Handler):
    """Writes JSON lines to a file descriptor without blocking.

    Lines that the descriptor does not accept yet are buffered, up to
    ``MAX_PENDING_LINES``.

    Attributes:
        descriptor: File descriptor, set to non-blocking.
        node: Name of the node, written in each line.
        dropped: Number of lines dropped because the buffer was full.
        pending: Buffered lines; the first may be a partly written one.
    """

    def __init__(self, descriptor: int, *, node: str, level: str) -> None:
        super().__init__(level=level.upper())
        self.descriptor = descriptor
        self.node = node
        self.dropped = 0
        self.pending: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def emit(self, record: Any) -> None:
        """Writes a log record; buffers it if the descriptor would block."""
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
        """Writes buffered lines until the descriptor accepts no more."""
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
    """Logs events, limited to a number of lines a second for each event.

    Attributes:
        max_lines_per_s: Maximum number of lines a second for each event name.
        current_second: Second to which ``lines_this_second`` applies.
        lines_this_second: Number of events in the current second, by name.
        left_out: Events suppressed since the last logged one, by name. The
            next line of that event reports the number.
    """

    def __init__(
        self,
        *,
        handler: LineWriter,
        clock: Clock,
        max_lines_per_s: int,
        count: Callable[[str], None],
    ) -> None:
        self.logger = logbook.Logger("bramleydyke")
        self.handler = handler
        self.clock = clock
        self.max_lines_per_s = max_lines_per_s
        self.count = count
        self.current_second = 0
        self.lines_this_second: Counter[str] = Counter()
        self.left_out: Counter[str] = Counter()

    def record(self, event: str, **inputs: Any) -> None:
        """Logs an event, unless its rate limit is exceeded.

        Args:
            event: Name of the event.
            inputs: Values on which the decision was based, written as fields
                of the line. A ``flow`` of 12 bytes is made readable.
        """
        current_second = int(self.clock.seconds())
        if current_second != self.current_second:
            self.current_second = current_second
            self.lines_this_second.clear()
            self.handler.flush()
        self.lines_this_second[event] += 1
        if self.lines_this_second[event] > self.max_lines_per_s:
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

    def log_exception(self, event: str) -> None:
        """Logs and counts the current exception; call it in ``except``."""
        self.count("failed." + event)
        self.logger.exception(event)
