"""All error kinds, and the answer that a caller or operator gets for each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bramleydyke.types import Outcome


class ErrorKind(Enum):
    """Reason for which work is refused, retried or reported as failed.

    The value is used in answers, log lines and the names of counters.
    """

    BUSY = "busy"
    QUEUE_FULL = "queue_full"
    DRAINING = "draining"
    SHED = "shed"
    DEADLINE = "deadline"
    NO_SERVICE = "no_service"
    NO_UPSTREAM = "no_upstream"
    WRONG_SERVICE = "wrong_service"
    STALE_GENERATION = "stale_generation"
    MOVED = "moved"
    RELEASED = "released"
    FORGOTTEN = "forgotten"
    CANCELLED = "cancelled"
    RETRY_BUDGET = "retry_budget"
    PARTNER_LIMIT = "partner_limit"
    AGENT_SILENT = "agent_silent"
    UPSTREAM_FAILED = "upstream_failed"
    ANSWER_EVICTED = "answer_evicted"
    RECORD_UNKNOWN = "record_unknown"
    ABANDONED = "abandoned"
    TABLE_FULL = "table_full"
    HOP_LIMIT = "hop_limit"
    FLOW_SILENT = "flow_silent"
    BAD_FRAME = "bad_frame"
    BAD_VERSION = "bad_version"
    FRAME_TOO_LARGE = "frame_too_large"
    BAD_REQUEST = "bad_request"
    BAD_SHEET = "bad_sheet"
    WRONG_PARTNER = "wrong_partner"
    CONFLICT = "conflict"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_ANSWER_LOST = "store_answer_lost"
    FENCED = "fenced"
    BAD_SETTINGS = "bad_settings"


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorAnswer:
    """Answer that a caller or operator gets for one error kind."""

    http_status: int
    """Status code that the balancer returns to HTTP callers."""

    outcome: Outcome
    """``NOT_RUN`` only if the upstream certainly did not process the work."""

    action: str
    """Advice to the caller or operator, in one sentence."""


def _not_run(http_status: int, action: str) -> ErrorAnswer:
    return ErrorAnswer(http_status=http_status, outcome=Outcome.NOT_RUN, action=action)


def _unknown(http_status: int, action: str) -> ErrorAnswer:
    return ErrorAnswer(http_status=http_status, outcome=Outcome.UNKNOWN, action=action)


ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BUSY: _not_run(503, "Send the request again."),
    ErrorKind.QUEUE_FULL: _not_run(503, "Send the request again after a pause."),
    ErrorKind.DRAINING: _not_run(503, "Send the request again."),
    ErrorKind.SHED: _not_run(503, "Send the request again after a pause."),
    ErrorKind.DEADLINE: _not_run(504, "Allow more time or send again later."),
    ErrorKind.NO_SERVICE: _not_run(404, "Check the service address in the sheet."),
    ErrorKind.NO_UPSTREAM: _not_run(503, "Check the service's upstreams."),
    ErrorKind.WRONG_SERVICE: _not_run(421, "Check the service address."),
    ErrorKind.STALE_GENERATION: _not_run(503, "Send the request again."),
    ErrorKind.MOVED: _not_run(503, "Send the request again."),
    ErrorKind.RELEASED: _not_run(503, "Send the request again."),
    ErrorKind.FORGOTTEN: _unknown(502, "Check the effect before sending again."),
    ErrorKind.CANCELLED: _not_run(499, "Nothing: the caller cancelled."),
    ErrorKind.RETRY_BUDGET: _not_run(503, "Send the request again after a pause."),
    ErrorKind.PARTNER_LIMIT: _not_run(429, "Lower the rate or ask for a higher limit."),
    ErrorKind.AGENT_SILENT: _unknown(504, "Check the effect before sending again."),
    ErrorKind.UPSTREAM_FAILED: _unknown(502, "Check the effect before sending again."),
    ErrorKind.ANSWER_EVICTED: _unknown(502, "The request ran; its answer is gone."),
    ErrorKind.RECORD_UNKNOWN: _unknown(503, "Check the effect before sending again."),
    ErrorKind.ABANDONED: _unknown(499, "Nothing: the caller went away."),
    ErrorKind.TABLE_FULL: _not_run(503, "Open the connection again after a pause."),
    ErrorKind.HOP_LIMIT: _not_run(503, "Send the packet again."),
    ErrorKind.FLOW_SILENT: _unknown(504, "Open the flow again."),
    ErrorKind.BAD_FRAME: _not_run(400, "Check the sender's version and the link."),
    ErrorKind.BAD_VERSION: _not_run(400, "Upgrade the older process."),
    ErrorKind.FRAME_TOO_LARGE: _not_run(413, "Send a smaller message."),
    ErrorKind.BAD_REQUEST: _not_run(400, "Correct the request."),
    ErrorKind.BAD_SHEET: _not_run(400, "Correct the named rows of the sheet."),
    ErrorKind.WRONG_PARTNER: _not_run(403, "Use the partner's own credential."),
    ErrorKind.CONFLICT: _not_run(409, "Read the current sheet and apply again."),
    ErrorKind.STORE_UNAVAILABLE: _not_run(503, "Apply again when the store is back."),
    ErrorKind.STORE_ANSWER_LOST: _unknown(504, "Read the status, then apply again."),
    ErrorKind.FENCED: _not_run(409, "Nothing: another holder has the lease."),
    ErrorKind.BAD_SETTINGS: _not_run(400, "Correct the named field."),
}
"""Answer for each error kind; a test checks that no kind is missing."""


def counter_name(kind: ErrorKind, *, action: str = "refused") -> str:
    """Returns the name of the counter for an error kind.

    Args:
        kind: Reason for the refusal, retry or failure.
        action: First part of the name, such as ``refused``, ``retried`` or
            ``broken``.
    """
    return f"{action}.{kind.value}"
