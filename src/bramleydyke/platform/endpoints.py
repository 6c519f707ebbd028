"""HTTP interfaces that the platform and its upstreams call."""

from __future__ import annotations

from collections.abc import Callable

from bramleydyke.adapters.http_server import Handler, HttpReply, LaterReply
from bramleydyke.direct.ports import Count, Record
from bramleydyke.direct.upstream_view import Report
from bramleydyke.platform.reports import read_report
from bramleydyke.types import UpstreamId

READY_PATH = "/readiness"
REPORT_PREFIX = "/instances/"

_ACKNOWLEDGED = HttpReply(200, b"{}")
_NOT_TAKEN = HttpReply(421)


def readiness(ready: Callable[[], bool]) -> Handler:
    """Returns the handler of the routers' readiness check."""

    def handle(method: str, target: str, body: bytes) -> HttpReply:
        if target.partition("?")[0] != READY_PATH:
            return HttpReply(404)
        return HttpReply(200 if ready() else 503)

    return handle


def reports(
    report: Callable[[Report, Callable[[bool], None]], None],
    left: Callable[[UpstreamId], None],
    *,
    count: Count,
    record: Record,
) -> Handler:
    """Returns the handler of upstreams' liveness reports.

    Args:
        report: Takes a report and a function that acknowledges it.
        left: Takes an upstream's word that it is gone.
        count: Counts unreadable reports.
        record: Logs unreadable reports.
    """

    def handle(method: str, target: str, body: bytes) -> HttpReply | LaterReply:
        path = target.partition("?")[0]
        upstream = path.removeprefix(REPORT_PREFIX)
        if upstream == path or not upstream:
            return HttpReply(404)
        if method == "DELETE":
            left(UpstreamId(upstream))
            return HttpReply(200, b"{}")
        if method != "PUT":
            return HttpReply(405)
        try:
            read = read_report(upstream, body)
        except ValueError as error:
            count("reports.unreadable")
            record("report_unreadable", upstream=upstream, error=str(error))
            return HttpReply(400)
        answer: LaterReply = LaterReply()
        report(read, lambda taken: answer(_ACKNOWLEDGED if taken else _NOT_TAKEN))
        return answer

    return handle


def no_reports(method: str, path: str, body: bytes) -> HttpReply:
    """Refuses a report at a node that has no upstream."""
    return HttpReply(421)
