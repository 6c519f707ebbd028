"""Tests of the output of counters and logs."""

from __future__ import annotations

import io
import socket

import msgspec

from bramleydyke.adapters.logs import json_handler, logger
from bramleydyke.adapters.metrics import new_metrics
from bramleydyke.messages import Count


def test_counts_reach_statsd() -> None:
    """Guards against counters that are missing from dashboards."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5.0)
        host, port = server.getsockname()
        metrics = new_metrics(f"{host}:{port}", prefix="balancer/b1")
        metrics.handle(Count(name="refused.busy", amount=2))
        assert server.recv(100) == b"balancer.b1.refused.busy:2|c"
    assert metrics.counts == {"refused.busy": 2}


def test_log_line_is_json_with_its_ids() -> None:
    """Guards against log lines that cannot be searched by request or flow."""
    stream = io.StringIO()
    with json_handler(stream).applicationbound():
        logger("runner").warning("two\nlines", extra={"request": "r", "flow": 7})
    line = msgspec.json.decode(stream.getvalue())
    assert stream.getvalue().count("\n") == 1
    assert (line["message"], line["request"], line["flow"]) == ("two\nlines", "r", 7)
    assert (line["level"], line["channel"]) == ("warning", "runner")
