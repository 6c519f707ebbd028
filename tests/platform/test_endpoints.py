"""Replies to the reports of upstreams."""

from __future__ import annotations

import json

import pytest

from bramleydyke.direct.upstream_view import ReportResult
from bramleydyke.platform.endpoints import report_handler

BODY = json.dumps(
    {
        "service": "board",
        "address": "10.0.0.1:80",
        "state": "draining",
        "sequence": 3,
        "born": 5,
    }
).encode()


@pytest.mark.parametrize(
    ("result", "status"),
    [
        (ReportResult.ACCEPTED, 200),
        (ReportResult.WRONG_SERVICE, 421),
        (ReportResult.UNCONFIRMED, 503),
    ],
)
def test_only_an_accepted_report_is_acknowledged(result, status):
    """Guards against the acknowledgement of a drain that is not in force."""
    handle = report_handler(
        lambda report, acknowledge: acknowledge(result),
        lambda upstream: None,
        count=lambda name: None,
        record=lambda event, **inputs: None,
    )
    replies = []
    reply = handle("PUT", "/instances/i-1", BODY)
    reply.send_with(replies.append)
    assert [sent.status for sent in replies] == [status]
