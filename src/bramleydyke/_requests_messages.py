"""Messages of requests: local ports, placers and agents.

A placer chooses the agent of a request. It runs in a balancer, or in the home
agent of a keyed request: the agent that keeps the record of the request's
idempotency key and so prevents a second run.
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
    """Caller port: a caller sent a request."""

    caller: int
    """Number of the waiting caller, unique at this balancer."""

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
    """Caller port: a caller disconnected or cancelled its request."""

    caller: int


class AnswerCaller(Message):
    """Asks the caller port to send a complete answer."""

    caller: int
    payload: bytes


class RefuseCaller(Message):
    """Asks the caller port to send an error instead of an answer."""

    caller: int
    kind: ErrorKind


# Between a placer and an agent.


class Offer(Message):
    """Asks an agent to run a request, or for the state of one it holds."""

    request_id: RequestId
    placement: int
    """Number of the placement, chosen by the placer, echoed in each reply."""

    ask: int
    """Number of the offer within the placement; higher is newer."""

    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation
    incarnation: Incarnation
    """Incarnation of the agent, as the placer knows it."""

    idempotent: bool
    keyed: bool
    """True if the agent is asked as the home of the request's key."""

    first_attempt: bool
    ttl: float
    """Seconds left until the deadline."""

    backlog_limit: float | None
    """The agent refuses at this backlog per slot; None: at its queue bound."""

    payload: bytes
    waited: float = 0.0
    """Seconds since the placer received the request; orders the queue."""


class Accepted(Message):
    """Reply to ``Offer``: the agent runs, queues or places the request."""

    request_id: RequestId
    placement: int
    ask: int
    backlog: float
    incarnation: Incarnation


class Refusal(Message):
    """Reply to ``Offer``: the agent does not run the request.

    The request has not run for this offer, unless the kind is one whose
    outcome is unknown.
    """

    request_id: RequestId
    placement: int
    ask: int
    kind: ErrorKind
    backlog: float
    incarnation: Incarnation
    home: UpstreamId | None = None
    """For ``MOVED``: the upstream whose agent holds the request's record."""

    never_ran: bool = False
    """For a keyed request: True if no attempt with its id ran anywhere."""

    free: UpstreamId | None = None
    """For ``RELEASED``: the upstream with a free slot that asked for it."""


class Answer(Message):
    """The complete answer to a request."""

    request_id: RequestId
    placement: int
    payload: bytes
    backlog: float
    incarnation: Incarnation


class CancelRequest(Message):
    """Asks the agent not to start a request, or to stop it."""

    request_id: RequestId
    placement: int
    ask: int
    incarnation: Incarnation


class Cancelled(Message):
    """Reply to ``CancelRequest``."""

    request_id: RequestId
    placement: int
    not_run: bool
    """True if the request neither ran nor will run at this agent."""


class BacklogQuery(Message):
    """Asks a candidate for its backlog, before an offer is made to it."""

    placement: int
    ask: int
    """Number of the query within the placement, echoed in the report."""

    service_id: ServiceId


class BacklogReport(Message):
    """Reply to ``BacklogQuery``: the backlog per slot.

    It reserves nothing: the agent may refuse the offer that follows.
    """

    placement: int
    ask: int
    upstream_id: UpstreamId
    backlog: float
    draining: bool


class IdleNotice(Message):
    """Asks another agent for one of its queued requests.

    The sender has a free slot.
    """

    service_id: ServiceId
    upstream_id: UpstreamId


class RecordQuery(Message):
    """Asks another agent of the service what it knows of a keyed request.

    The home of the request sends it before it lets the request run.
    """

    request_id: RequestId
    service_id: ServiceId
    home: UpstreamId
    first_attempt: bool = False
    """True if no earlier incarnation of an agent can have run the request."""


class RecordReply(Message):
    """Reply to ``RecordQuery``: what the agent knows of the request."""

    request_id: RequestId
    upstream_id: UpstreamId
    knowledge: RecordKnowledge
    payload: bytes | None = None
    """For ``DONE``: the answer, if the agent still has it."""


# Between an agent and its local upstream port.


class RunRequest(Message):
    """Asks the upstream port to send a request to the upstream."""

    request_id: RequestId
    payload: bytes
    ttl: float
    """Seconds left until the deadline."""


class StopRequest(Message):
    """Asks the upstream port to cancel a request at the upstream."""

    request_id: RequestId


class RequestDone(Message):
    """Upstream port: the upstream sent its complete answer."""

    request_id: RequestId
    payload: bytes


class RequestShed(Message):
    """Upstream port: the upstream refused the request before it ran."""

    request_id: RequestId


class RequestFailed(Message):
    """Upstream port: the connection broke after the request was sent.

    Whether the request ran is unknown.
    """

    request_id: RequestId
