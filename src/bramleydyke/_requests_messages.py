"""Messages of requests: local ports, placers and agents.

A placer chooses the agent of a request. It runs in a balancer, or in the home
agent of a keyed request. That agent keeps the record of the request's
idempotency key, so that the request is not run twice.
"""

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

# Between a balancer and its local caller port.


class RequestArrived(Message):
    """From the caller port: a caller sent a request."""

    caller: int
    """Number that identifies the waiting caller at this balancer."""

    address: ServiceAddress
    payload: bytes
    idempotent: bool
    timeout: float
    """Seconds until the caller's timeout."""

    request_id: RequestId | None = None
    """The caller's idempotency key, if it gave one."""

    first_attempt: bool = False
    """True if the caller states that it has not sent the request before."""


class RequestAbandoned(Message):
    """From the caller port: a caller disconnected or cancelled its request."""

    caller: int


class AnswerCaller(Message):
    """Tells the caller port to send the complete response to a caller."""

    caller: int
    payload: bytes


class RefuseCaller(Message):
    """Tells the caller port to send an error response to a caller."""

    caller: int
    kind: ErrorKind


# Between a placer and an agent.


class Offer(Message):
    """Asks an agent to run a request.

    If the agent already has the request, it replies with the current state.
    """

    request_id: RequestId
    placement: int
    """Number that identifies the placement at its placer."""

    ask: int
    """Sequence number of the offer within the placement."""

    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation
    incarnation: Incarnation
    """Incarnation of the addressed agent that the placer knows."""

    idempotent: bool
    keyed: bool
    """True if the agent is asked as the home of the request's key."""

    first_attempt: bool
    ttl: float
    """Seconds left until the deadline."""

    backlog_limit: float | None
    """Backlog per slot at which the agent refuses the offer.

    None if only the maximum queue length applies.
    """

    payload: bytes
    waited: float = 0.0
    """Seconds since the placer received the request; orders the queue."""


class Accepted(Message):
    """Reply to ``Offer``: the agent has accepted the request.

    The agent runs or queues the request, places it at another agent, or first
    queries the other agents for a record of it.
    """

    request_id: RequestId
    placement: int
    ask: int
    backlog: float
    incarnation: Incarnation


class Refusal(Message):
    """Reply to ``Offer``: the agent does not run the request.

    The offer did not cause the request to run, unless ``kind`` is an error
    with an unknown outcome.
    """

    request_id: RequestId
    placement: int
    ask: int
    kind: ErrorKind
    backlog: float
    incarnation: Incarnation
    home: UpstreamId | None = None
    """For ``MOVED``: upstream whose agent holds the record of the request."""

    never_ran: bool = False
    """For a keyed request: True if no attempt with its id ran anywhere."""

    free: UpstreamId | None = None
    """For ``RELEASED``: upstream with a free slot to offer the request to."""


class Answer(Message):
    """Reply to ``Offer``: the complete response of the upstream."""

    request_id: RequestId
    placement: int
    payload: bytes
    backlog: float
    incarnation: Incarnation


class CancelRequest(Message):
    """Asks an agent to cancel a request, whether queued or running."""

    request_id: RequestId
    placement: int
    ask: int
    incarnation: Incarnation


class Cancelled(Message):
    """Reply to ``CancelRequest``."""

    request_id: RequestId
    placement: int
    not_run: bool
    """True if the request has not run at this agent and will not run there."""


class BacklogQuery(Message):
    """Asks an agent for its backlog, as a candidate for a request."""

    placement: int
    ask: int
    """Sequence number of the query, returned in the report."""

    service_id: ServiceId


class BacklogReport(Message):
    """Reply to ``BacklogQuery``: the backlog per slot.

    The report reserves no capacity: the agent may refuse a later offer.
    """

    placement: int
    ask: int
    upstream_id: UpstreamId
    backlog: float
    draining: bool


class IdleNotice(Message):
    """Asks another agent for a queued request; the sender has a free slot."""

    service_id: ServiceId
    upstream_id: UpstreamId


class RecordQuery(Message):
    """Asks another agent of the service what it knows of a keyed request.

    Sent by the home agent of the request before it runs or places the request.
    """

    request_id: RequestId
    service_id: ServiceId
    home: UpstreamId
    first_attempt: bool = False
    """Whether this is a first attempt, which no agent can have run before."""


class RecordReply(Message):
    """Reply to ``RecordQuery``: what the agent knows of the request."""

    request_id: RequestId
    upstream_id: UpstreamId
    knowledge: RecordKnowledge
    payload: bytes | None = None
    """For ``DONE``: the response, if the agent still has it."""


# Between an agent and its local upstream port.


class RunRequest(Message):
    """Tells the upstream port to send a request to the upstream."""

    request_id: RequestId
    payload: bytes
    ttl: float
    """Seconds left until the deadline."""


class StopRequest(Message):
    """Tells the upstream port to cancel a request at the upstream."""

    request_id: RequestId


class RequestDone(Message):
    """From the upstream port: the upstream sent its complete response."""

    request_id: RequestId
    payload: bytes


class RequestShed(Message):
    """From the upstream port: the upstream refused the request unprocessed."""

    request_id: RequestId


class RequestFailed(Message):
    """From the upstream port: the request failed after it was sent.

    Whether the upstream processed the request is unknown.
    """

    request_id: RequestId
