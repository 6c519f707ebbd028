"""HTTP interfaces that the platform and its upstreams call."""

from __future__ import annotations

from collections.abc import Callable

from bramleydyke.adapters.http_server import Handler, HttpReply
from bramleydyke.direct.ports import Count, Record
from bramleydyke.direct.upstream_view import Report
from bramleydyke.platform.reports import read_report
from bramleydyke.types import UpstreamId

READY_PATH = "/readiness"
REPORT_PREFIX = "/instances/"


def readiness(ready: Callable[[], bool]) -> Handler:
    """Returns the handler of the routers' readiness check."""

    def handle(method: str, path: str, body: bytes) -> HttpReply:
        if path != READY_PATH:
            return HttpReply(404)
        return HttpReply(200 if ready() else 503)

    return handle


def reports(
    report: Callable[[Report], bool],
    left: Callable[[UpstreamId], None],
    *,
    count: Count,
    record: Record,
) -> Handler:
    """Returns the handler of upstreams' liveness reports.

    Args:
        report: Takes a report; returns True to acknowledge it.
        left: Takes an upstream's word that it is gone.
        count: Counts unreadable reports.
        record: Logs unreadable reports.
    """

    def handle(method: str, path: str, body: bytes) -> HttpReply:
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
        return HttpReply(200, b"{}") if report(read) else HttpReply(421)

    return handle


def no_reports(method: str, path: str, body: bytes) -> HttpReply:
    """Refuses a report at a node that has no upstream."""
    return HttpReply(421)
