"""Faults of the request path that histories have found, each by itself."""

from __future__ import annotations

from bramleydyke.core.records import Asker, RequestRecords
from bramleydyke.errors import ErrorKind
from bramleydyke.types import NodeId, RequestId


def test_late_copy_does_not_lower_the_refused_ask() -> None:
    """Guards against running an offer between a late copy and a refusal."""
    records = RequestRecords()
    asker = Asker(NodeId("balancer/b0"), 1)
    request_id = RequestId("key/k")
    for ask in (4, 2):
        records.refuse(
            request_id, asker, ask=ask, kind=ErrorKind.CANCELLED, now=float(ask)
        )
    assert records.refused_kind(request_id, asker, 3) is ErrorKind.CANCELLED
