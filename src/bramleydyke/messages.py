"""Every message between processes, and between a role and its local ports.

Messages are encoded as arrays: unknown trailing fields are skipped, and a
field is only ever added at the end, with a default.
"""

from __future__ import annotations

import msgspec

from bramleydyke.core.config import ConfigDelta
from bramleydyke.errors import ErrorKind
from bramleydyke.types import (
    AvailabilityZone,
    CallerAddress,
    FlowId,
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
    StreamId,
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


# Datagram flows: local ports.


class PacketIn(Message):
    """A caller's datagram arrived at a service address."""

    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class PacketOut(Message):
    """A datagram that leaves from a service address to a caller."""

    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class PacketDeliver(Message):
    """A caller's datagram for the upstream."""

    flow_id: FlowId
    binding: int
    """Number of the flow's upstream socket; a new number opens a new one."""

    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class PacketAnswered(Message):
    """A datagram that the upstream sent on a flow's socket."""

    flow_id: FlowId
    binding: int
    data: bytes


# Datagram flows: balancer and agent, agent and agent.


class PacketForward(Message):
    """A caller's datagram on its way to the agent that owns its flow."""

    flow_id: FlowId
    address: ServiceAddress
    caller: CallerAddress
    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation
    """Generation by which ``lookup`` and ``admit`` were made."""

    balancer: NodeId
    """The balancer that took the datagram; answers go back through it."""

    data: bytes
    hinted: UpstreamId | None = None
    """Owner that the balancer knew of; None if it knew of none."""

    hops: int = 0
    """Agents that have passed the datagram on."""

    visited: tuple[UpstreamId, ...] = ()
    """Upstreams that do not hold the flow or cannot be reached."""

    refused: tuple[UpstreamId, ...] = ()
    """Upstreams that do not admit the flow."""

    lookup: tuple[UpstreamId, ...] = ()
    """Upstreams that may hold the flow, most likely first."""

    admit: tuple[UpstreamId, ...] = ()
    """Upstreams in the order in which they may admit the flow."""

    followed: tuple[UpstreamId, ...] = ()
    """Upstreams that were asked because they had said that they hold it."""

    admissible: bool = True
    """False if the datagram is only for an established flow."""


class PacketReturn(Message):
    """An upstream's datagram on its way back to the caller."""

    flow_id: FlowId
    service_id: ServiceId
    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class FlowHint(Message):
    """Names the owner of a flow to a balancer, or to another agent."""

    flow_id: FlowId
    service_id: ServiceId
    address: ServiceAddress
    caller: CallerAddress
    owner: UpstreamId
    age: float = 0.0
    """Seconds since the owner admitted the flow."""

    reply: bool = False
    """True if it answers another agent that also holds the flow."""


class FlowReset(Message):
    """An upstream does not hold a flow any more, or never did."""

    flow_id: FlowId
    service_id: ServiceId
    upstream_id: UpstreamId
    kind: ErrorKind


class FlowProbe(Message):
    """Asks an agent whether it holds a flow, or a balancer whether it runs."""

    flow_id: FlowId
    service_id: ServiceId


class FlowAlive(Message):
    """Reply to ``FlowProbe``: the flow is held, or the balancer runs."""

    flow_id: FlowId
    service_id: ServiceId
    leaving: bool = False
    """True if the balancer is about to stop; answers should go elsewhere."""


# Byte streams: local caller port and local upstream port.


class ConnectionOpened(Message):
    """A caller opened a connection to a service address."""

    connection: str
    """Chosen by the port; unique at this balancer."""

    address: ServiceAddress


class OpenConnection(Message):
    """Asks the upstream port for a connection to the upstream."""

    connection: str


class ConnectionReady(Message):
    """The connection to the upstream is open."""

    connection: str


class ConnectionData(Message):
    """Bytes read from a connection, or to be written to it."""

    connection: str
    data: bytes


class ConnectionWritten(Message):
    """Bytes that the port has passed on; they free the window."""

    connection: str
    amount: int


class ConnectionEnd(Message):
    """No more bytes follow in this direction."""

    connection: str


class ConnectionAbort(Message):
    """The connection is broken, or is to be reset."""

    connection: str
    kind: ErrorKind


class ConnectionPause(Message):
    """Stops or resumes reading from a connection."""

    connection: str
    paused: bool


# Byte streams: balancer and agent. Offsets count bytes from 0 in each
# direction.


class StreamOpen(Message):
    """Asks an agent for a stream to its upstream; repeated until answered."""

    stream_id: StreamId
    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation


class StreamOpened(Message):
    """The connection to the upstream is open."""

    stream_id: StreamId


class StreamData(Message):
    """Bytes of one direction of a stream."""

    stream_id: StreamId
    offset: int
    data: bytes


class StreamAck(Message):
    """Everything below ``offset`` has arrived; ``limit`` may be sent."""

    stream_id: StreamId
    offset: int
    limit: int
    """First offset for which the receiver has no room."""


class StreamClose(Message):
    """One direction ends at ``offset``."""

    stream_id: StreamId
    offset: int


class StreamReset(Message):
    """The stream is refused or has broken."""

    stream_id: StreamId
    kind: ErrorKind


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


class Heartbeat(Message):
    """An announced process tells a home balancer that it is alive."""

    incarnation: Incarnation
    revision: int
    view: int = 0
    """Hash of the agents and balancers that an agent knows."""

    partner_id: PartnerId | None = None
    generation: Generation = Generation(0)
    """Generation of its partner that an agent has in force."""

    drained: bool = False
    """True if an agent drains and has no work in progress."""


class HeartbeatReply(Message):
    """What a home balancer knows of the sender of a heartbeat."""

    incarnation: Incarnation
    revision: int
    state: MemberState | None
    """None: the balancer does not know the sender."""

    generation: Generation = Generation(0)
    """Generation of the agent's partner at the balancer."""


class MemberDigest(Message):
    """Hash of the members in each bucket, 4 bytes a bucket."""

    buckets: bytes


class MemberVersion(msgspec.Struct, frozen=True, array_like=True):
    """Which announcement of a node a process holds."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    state: MemberState


class MemberSummary(Message):
    """The announcements that a process holds in one bucket."""

    bucket: int
    versions: tuple[MemberVersion, ...]


class MemberDelta(Message):
    """Announcements that the receiver may lack."""

    announcements: tuple[Announcement, ...]
    wanted: tuple[NodeId, ...] = ()
    """Nodes whose announcement the sender lacks."""

    complete: bool = False
    """True: all members that concern the receiving agent."""

    bulk: bool = False
    """True: for a process that has joined; not spread any further."""

    again: bool = False
    """True: the receiver should compare once more, as there may be more."""


class SuspectQuery(Message):
    """Asks the other home balancer whether a node is silent there too."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int


class SuspectReply(Message):
    """Reply to ``SuspectQuery``."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    silent: bool


# Configuration dissemination; ``ConfigDelta`` is in ``core.config``.


class ConfigDigest(Message):
    """Newest generation of each partner at the sender."""

    generations: dict[PartnerId, Generation]
    reply: bool = False
    """True: an answer to a digest, which needs no answer itself."""


class DeltaRequest(Message):
    """Asks for the entries that changed after a generation."""

    partner_id: PartnerId
    base: Generation
    service_id: ServiceId | None = None
    """Only this service, for an agent; None: all services."""


# Drain and status; sent by the holder of a lease with its fencing token.


class DrainOrder(Message):
    """An operator's drain object as a lease holder read it."""

    draining: bool
    version: int
    """Version of the drain object; older orders are ignored."""

    path: str
    """Path of the drain object."""

    lease: str
    token: int


class DrainAck(Message):
    """The receiver of a drain order acts on it."""

    path: str
    version: int
    incarnation: Incarnation


class StatusQuery(Message):
    """Asks a balancer of the zone for its share of the zone's status."""

    lease: str
    token: int


class StatusReply(Message):
    """Generations that a balancer and the agents it is home of hold."""

    generations: dict[PartnerId, Generation]
    agents: dict[PartnerId, dict[Generation, int]]
    drained: dict[PartnerId, list[str]] = {}
    """Upstreams without work whose agents drain, as ``service/upstream``."""


class Count(Message):
    """Adds to a counter."""

    name: str
    amount: int = 1


class SetDrain(Message):
    """Asks a process to drain, or to take new work again."""

    draining: bool


Payload = Message | ConfigDelta


class Envelope(msgspec.Struct, frozen=True):
    """A message on its way between two nodes or local ports.

    A struct, because each packet needs two and a frozen dataclass takes
    several times as long to make.
    """

    sender: NodeId
    receiver: NodeId
    payload: Payload


# Platform object API.


class PlatformRead(Message):
    """Reads an object, or waits until its version is above ``after``.

    A path that ends in ``/`` is a prefix: the value is then a JSON object of
    the paths below it and their versions, and the version is the highest of
    them. A wait that ends without a change is answered ``OK`` with an
    unchanged version and no value.
    """

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
