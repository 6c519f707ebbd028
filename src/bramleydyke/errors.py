"""Error kinds and the response that callers or operators get for each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bramleydyke.types import Outcome


class ErrorKind(Enum):
    """Reason why work is refused, retried or reported as failed.

    The value is used in answers, log lines and the names of counters.
    """

    BUSY = "busy"
    """The agent has no free capacity at the moment; another agent may."""

    QUEUE_FULL = "queue_full"
    """The queue of the agent is full."""

    DRAINING = "draining"
    """The agent or upstream is being drained and accepts no new work."""

    SHED = "shed"
    """The request was refused unprocessed.

    The agent's process had been paused, or the upstream refused the request.
    """

    DEADLINE = "deadline"
    """The deadline passed, or would pass, before the work could start."""

    NO_SERVICE = "no_service"
    """No service has the address."""

    NO_UPSTREAM = "no_upstream"
    """No upstream of the service can accept the work."""

    WRONG_SERVICE = "wrong_service"
    """The message is for a service other than that of the agent."""

    STALE_GENERATION = "stale_generation"
    """The agent does not know the configuration or its upstream yet."""

    MOVED = "moved"
    """Another agent holds the request or flow."""

    RELEASED = "released"
    """The agent released a queued request to an agent with a free slot."""

    FORGOTTEN = "forgotten"
    """The agent no longer holds the request, flow or stream."""

    CANCELLED = "cancelled"
    """The caller cancelled the work before it was processed."""

    RETRY_BUDGET = "retry_budget"
    """The retry budget of the service is exhausted."""

    PARTNER_LIMIT = "partner_limit"
    """The partner has reached its limit of requests, flows or streams."""

    AGENT_SILENT = "agent_silent"
    """The agent that was given the work does not reply."""

    UPSTREAM_FAILED = "upstream_failed"
    """The upstream failed.

    It closed the connection early, responded invalidly or did not respond.
    """

    ANSWER_EVICTED = "answer_evicted"
    """The request was processed, but its response is no longer kept."""

    RECORD_UNKNOWN = "record_unknown"
    """The agent cannot know whether an earlier attempt was processed."""

    ABANDONED = "abandoned"
    """Work in progress was aborted; it may have had an effect."""

    TABLE_FULL = "table_full"
    """The agent has reached its maximum number of flows or streams."""

    HOP_LIMIT = "hop_limit"
    """``MAX_HOPS`` agents have forwarded a packet without finding its flow."""

    FLOW_SILENT = "flow_silent"
    """The upstream does not answer the packets of a flow."""

    BAD_FRAME = "bad_frame"
    """A frame or message cannot be decoded."""

    BAD_VERSION = "bad_version"
    """The protocol version of a frame is not supported."""

    FRAME_TOO_LARGE = "frame_too_large"
    """A frame, datagram or payload exceeds the size limit."""

    BAD_REQUEST = "bad_request"
    """A request or order is malformed."""

    BAD_SHEET = "bad_sheet"
    """A sheet is invalid."""

    WRONG_PARTNER = "wrong_partner"
    """The credential belongs to another partner."""

    CONFLICT = "conflict"
    """The stored object has changed since it was read."""

    STORE_UNAVAILABLE = "store_unavailable"
    """The platform's store cannot be reached or refuses calls."""

    STORE_ANSWER_LOST = "store_answer_lost"
    """The store's answer did not arrive; a write may have taken effect."""

    FENCED = "fenced"
    """The sender's lease has been taken over by another holder."""

    BAD_SETTINGS = "bad_settings"
    """The settings file is invalid."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorAnswer:
    """Error response that a caller or operator gets for one error kind."""

    http_status: int
    """Status code that the balancer returns to HTTP callers."""

    outcome: Outcome
    """``NOT_RUN`` only if the upstream certainly did not process the work."""

    action: str
    """Recommended action for the caller or operator, in one sentence."""


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
"""Error response for each kind; a test checks that no kind is missing."""


def counter_name(kind: ErrorKind, *, action: str = "refused") -> str:
    """Returns the name of the counter for an error kind.

    Args:
        kind: Reason for the refusal, retry or failure.
        action: First part of the name, such as ``refused``, ``retried`` or
            ``broken``.
    """
    return f"{action}.{kind.value}"
