"""HTTP handlers that the platform's routers and upstreams call."""

from __future__ import annotations

from collections.abc import Callable

from bramleydyke.adapters.http_server import DeferredReply, Handler, HttpReply
from bramleydyke.direct.ports import Count, Record
from bramleydyke.direct.upstream_view import Report, ReportResult
from bramleydyke.platform.reports import read_report
from bramleydyke.types import UpstreamId

READY_PATH = "/readiness"
"""Path of the routers' readiness check."""

REPORT_PREFIX = "/instances/"
"""Path of an upstream's liveness reports; the upstream's id follows."""

_ACKNOWLEDGED = HttpReply(200, b"{}")

_REPLIES = {
    ReportResult.ACCEPTED: _ACKNOWLEDGED,
    ReportResult.WRONG_SERVICE: HttpReply(421),
    ReportResult.UNCONFIRMED: HttpReply(503),
}
"""Reply to a report, by what was done with it."""


def readiness_handler(is_ready: Callable[[], bool]) -> Handler:
    """Returns the handler of the routers' readiness check.

    The handler answers 200 when the node is ready and 503 otherwise.

    Args:
        is_ready: Returns whether the node can take traffic.
    """

    def handle(method: str, target: str, body: bytes) -> HttpReply:
        if target.partition("?")[0] != READY_PATH:
            return HttpReply(404)
        return HttpReply(200 if is_ready() else 503)

    return handle


def report_handler(
    on_report: Callable[[Report, Callable[[ReportResult], None]], None],
    on_removed: Callable[[UpstreamId], None],
    *,
    count: Count,
    record: Record,
) -> Handler:
    """Returns the handler of upstreams' liveness reports.

    ``PUT`` carries a report; ``DELETE`` reports the end of the upstream.

    Args:
        on_report: Called with a report and a callback, which takes what was
            done with the report.
        on_removed: Called with the id of an upstream that has ended.
        count: Increments the counter of unreadable reports.
        record: Logs unreadable reports.
    """

    def handle(method: str, target: str, body: bytes) -> HttpReply | DeferredReply:
        path = target.partition("?")[0]
        upstream_id = path.removeprefix(REPORT_PREFIX)
        if upstream_id == path or not upstream_id:
            return HttpReply(404)
        if method == "DELETE":
            on_removed(UpstreamId(upstream_id))
            return HttpReply(200, b"{}")
        if method != "PUT":
            return HttpReply(405)
        try:
            report = read_report(upstream_id, body)
        except ValueError as error:
            count("reports.unreadable")
            record("report_unreadable", upstream=upstream_id, error=str(error))
            return HttpReply(400)
        later_reply: DeferredReply = DeferredReply()
        on_report(report, lambda result: later_reply(_REPLIES[result]))
        return later_reply

    return handle


def reject_reports(method: str, path: str, body: bytes) -> HttpReply:
    """Rejects every request with 421, at a node that has no upstream."""
    return HttpReply(421)
