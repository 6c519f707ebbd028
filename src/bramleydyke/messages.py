"""Every message between processes, and between a role and its local ports.

Messages are encoded as arrays: unknown trailing fields are skipped, and a
field is only ever added at the end, with a default.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from bramleydyke.core.config import ConfigDelta
from bramleydyke.errors import ErrorKind
from bramleydyke.types import (
    AvailabilityZone,
    Generation,
    Incarnation,
    MemberState,
    NodeId,
    PartnerId,
    PlatformStatus,
    RecordKnowledge,
    RequestId,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)


class Message(msgspec.Struct, tag=True, frozen=True, array_like=True, kw_only=True):
    """Base of all messages."""


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


# Membership.


class Announcement(Message):
    """An agent or balancer as it describes itself."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    """Grows with each change within an incarnation."""

    state: MemberState
    zone: AvailabilityZone
    endpoint: str
    """Control and data address as ``ip:port``."""

    partner_id: PartnerId | None = None
    service_id: ServiceId | None = None
    upstream_id: UpstreamId | None = None
    slots: int = 1
    credential: str = ""
    """Proof that the announcement is made for the partner."""


class Count(Message):
    """Adds to a counter."""

    name: str
    amount: int = 1


class SetDrain(Message):
    """Asks a process to drain, or to take new work again."""

    draining: bool


Payload = Message | ConfigDelta


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message on its way between two nodes or local ports."""

    sender: NodeId
    receiver: NodeId
    payload: Payload


# Platform object API.


class PlatformRead(Message):
    """Reads an object, or waits until its version is above ``after``."""

    call: int
    """Chosen by the role, echoed in the reply."""

    path: str
    after: int | None = None
    """None: read at once. Else wait for a version above this."""

    timeout: float = 5.0
    """Seconds until the call is given up."""


class PlatformWrite(Message):
    """Writes an object if its version is still ``expected`` (0: absent)."""

    call: int
    path: str
    value: bytes
    expected: int
    timeout: float = 5.0


class PlatformReply(Message):
    """Result of a platform call."""

    call: int
    status: PlatformStatus
    version: int = 0
    """Version of the object now; 0 if it is absent."""

    value: bytes | None = None
