"""Messages of requests: callers, placers, agents and upstreams."""

from __future__ import annotations

from bramleydyke._message_base import Message
from bramleydyke.errors import ErrorKind
from bramleydyke.types import (
    Generation,
    Incarnation,
    PartnerId,
    RecordKnowledge,
    RequestId,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)

# Requests: local caller port.


class RequestArrived(Message):
    """A caller sent a request to a balancer."""

    caller: int
    """Identifies the waiting caller at this balancer."""

    address: ServiceAddress
    payload: bytes
    idempotent: bool
    timeout: float
    """Seconds until the caller gives up."""

    request_id: RequestId | None = None
    """The caller's idempotency key, if it gave one."""

    first_attempt: bool = False
    """True if the caller says that it never sent this request before."""


class RequestAbandoned(Message):
    """A caller went away or cancelled its request."""

    caller: int


class AnswerCaller(Message):
    """The whole answer for a caller."""

    caller: int
    payload: bytes


class RefuseCaller(Message):
    """No answer for a caller, with the reason."""

    caller: int
    kind: ErrorKind


# Requests: placer (a balancer or a home agent) and agent.


class Offer(Message):
    """Asks an agent to run a request, or for the state of one it has."""

    request_id: RequestId
    placement: int
    """Chosen by the placer, echoed in each reply."""

    ask: int
    """Number of the offer within the placement; higher is newer."""

    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation
    incarnation: Incarnation
    """The agent's incarnation that the placer knows."""

    idempotent: bool
    keyed: bool
    """True if the agent is asked as the home of the request id."""

    first_attempt: bool
    ttl: float
    """Seconds left until the deadline."""

    backlog_limit: float | None
    """Refuse if the backlog per slot is not below this; None: queue bound."""

    payload: bytes
    waited: float = 0.0
    """Seconds since the placer got the request; orders the agent's queue."""


class Accepted(Message):
    """The agent runs or queues the request, or is placing it as its home."""

    request_id: RequestId
    placement: int
    ask: int
    backlog: float
    incarnation: Incarnation


class Refusal(Message):
    """The agent does not run the request for this offer.

    A definite refusal, except for kinds whose outcome is unknown.
    """

    request_id: RequestId
    placement: int
    ask: int
    kind: ErrorKind
    backlog: float
    incarnation: Incarnation
    home: UpstreamId | None = None
    """For ``MOVED``: the upstream whose agent holds the record."""

    never_ran: bool = False
    """For a keyed request: no attempt with this id had run anywhere."""
    free: UpstreamId | None = None
    """For ``RELEASED``: the upstream that asked for a queued request."""


class Answer(Message):
    """The whole answer to a request."""

    request_id: RequestId
    placement: int
    payload: bytes
    backlog: float
    incarnation: Incarnation


class CancelRequest(Message):
    """Asks the agent not to run, or to stop, a request."""

    request_id: RequestId
    placement: int
    ask: int
    incarnation: Incarnation


class Cancelled(Message):
    """Reply to ``CancelRequest``."""

    request_id: RequestId
    placement: int
    not_run: bool
    """True: it did not run and will not run at this agent."""


class BacklogQuery(Message):
    """Asks an agent for its backlog before an offer."""

    placement: int
    ask: int
    """Echoed in the report."""

    service_id: ServiceId


class BacklogReport(Message):
    """An agent's backlog per slot; promises nothing."""

    placement: int
    ask: int
    upstream_id: UpstreamId
    backlog: float
    draining: bool


class IdleNotice(Message):
    """An agent with a free slot asks another for a queued request."""

    service_id: ServiceId
    upstream_id: UpstreamId


class RecordQuery(Message):
    """The home of a keyed request asks another agent of the service for it."""

    request_id: RequestId
    service_id: ServiceId
    home: UpstreamId
    first_attempt: bool = False
    """True if no incarnation can have run the request before."""


class RecordReply(Message):
    """What an agent knows of a keyed request."""

    request_id: RequestId
    upstream_id: UpstreamId
    knowledge: RecordKnowledge
    payload: bytes | None = None
    """The answer, for ``DONE``."""


# Requests: agent and its upstream port.


class RunRequest(Message):
    """Send a request to the upstream."""

    request_id: RequestId
    payload: bytes
    ttl: float


class StopRequest(Message):
    """Cancel a request at the upstream."""

    request_id: RequestId


class RequestDone(Message):
    """The upstream's whole answer."""

    request_id: RequestId
    payload: bytes


class RequestShed(Message):
    """The upstream refused the request before it ran."""

    request_id: RequestId


class RequestFailed(Message):
    """The connection to the upstream broke after the request was sent."""

    request_id: RequestId
