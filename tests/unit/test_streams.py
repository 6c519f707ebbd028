"""Byte streams at message loss, reordering, link failures and restarts."""

from __future__ import annotations

import random
from collections import Counter, defaultdict

import pytest

from bramleydyke.bench.flow_setup import make_agent
from bramleydyke.constants import (
    STREAM_KEEPALIVE_S,
    STREAM_SILENT_S,
    STREAM_WINDOW_BYTES,
)
from bramleydyke.core.agent import Agent
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.config import ConfigDelta, ServiceConfig, UpstreamSpec
from bramleydyke.core.limits import PartnerLimits
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import (
    ConnectionAbort,
    ConnectionData,
    ConnectionEnd,
    ConnectionOpened,
    ConnectionPause,
    ConnectionReady,
    ConnectionWritten,
    Count,
    Envelope,
    OpenConnection,
    SetDrain,
)
from bramleydyke.types import (
    LOCAL_CALLER,
    LOCAL_PLATFORM,
    LOCAL_UPSTREAM,
    AvailabilityZone,
    Generation,
    Incarnation,
    NodeId,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
    agent_node,
    balancer_node,
)

PARTNER = PartnerId("federation")
SERVICE = ServiceId("federation/bulletin")
ADDRESS = ServiceAddress("127.0.0.1:8000")
ZONE = AvailabilityZone("meknes")
BALANCER = balancer_node("b1")
CALLER = "caller"


class StreamNetwork:
    """Simulates one balancer, its agents and the links between them.

    Attributes:
        loss: Probability that a message between nodes is lost.
        links_down: True if every message between nodes is lost.
        reorder: True if messages between nodes are delivered out of order.
        greeting: Bytes that the upstream sends as soon as it is connected.
        stalled: Connections whose port accepts bytes but never writes them.
        refuse_connect: Agents whose upstream refuses connections.
        transit: Arrival time, sequence number and message in flight.
        received: Bytes delivered to each connection.
        upstream_of: Agent of each upstream connection.
    """

    def __init__(self, *, upstreams: int = 1, seed: int = 1) -> None:
        self.now = 1000.0
        self.random = random.Random(seed)
        self.loss = 0.0
        self.links_down = False
        self.reorder = False
        self.greeting = b""
        self.stalled: set[str] = set()
        self.refuse_connect: set[NodeId] = set()
        self.transit: list[tuple[float, int, Envelope]] = []
        self.sent = 0
        self.received: dict[str, bytearray] = defaultdict(bytearray)
        self.ended: list[str] = []
        self.aborts: dict[str, ErrorKind] = {}
        self.paused: dict[str, bool] = {}
        self.counts: Counter[str] = Counter()
        self.upstream_of: dict[str, NodeId] = {}
        self.nodes: dict[NodeId, Balancer | Agent] = {
            BALANCER: Balancer(
                node_id=BALANCER,
                incarnation=Incarnation(1),
                random_source=random.Random(seed),
                limits=PartnerLimits(max_streams=3),
            )
        }
        self.names = [UpstreamId(f"u{index}") for index in range(upstreams)]
        for name in self.names:
            self.start_agent(name)
        service = ServiceConfig(
            service_id=SERVICE,
            partner_id=PARTNER,
            protocol=Protocol.TCP,
            addresses=(ADDRESS,),
            upstreams=tuple(UpstreamSpec(name, ZONE) for name in self.names),
            changed_at=Generation(1),
        )
        config = ConfigDelta(PARTNER, Generation(0), Generation(1), (service,))
        for node_id in self.nodes:
            self.receive(Envelope(LOCAL_PLATFORM, node_id, config))

    def start_agent(self, name: UpstreamId, *, incarnation: int = 1) -> None:
        agent = make_agent(
            SERVICE, name, incarnation=incarnation, balancers=[BALANCER], now=self.now
        )
        self.nodes[agent.node_id] = agent
        self.receive(Envelope(agent.node_id, BALANCER, agent.announcement))

    def receive(self, envelope: Envelope) -> None:
        node = self.nodes[envelope.receiver]
        self.route(node.receive(envelope, now=self.now))

    def send_from_caller(self, *payloads) -> None:
        for payload in payloads:
            self.receive(Envelope(LOCAL_CALLER, BALANCER, payload))

    def send_from_upstream(self, payload) -> None:
        node_id = self.upstream_of[payload.connection]
        self.receive(Envelope(LOCAL_UPSTREAM, node_id, payload))

    def route(self, envelopes: list[Envelope]) -> None:
        for item in envelopes:
            if isinstance(item.payload, Count):
                self.counts[item.payload.name] += 1
            elif item.receiver in (LOCAL_CALLER, LOCAL_UPSTREAM):
                self.deliver_to_port(item)
            elif not self.links_down and self.random.random() >= self.loss:
                reorder = self.reorder or self.loss > 0.0
                delay = self.random.uniform(0.001, 0.02 if reorder else 0.001)
                self.sent += 1
                self.transit.append((self.now + delay, self.sent, item))

    def deliver_to_port(self, item: Envelope) -> None:
        message = item.payload
        if isinstance(message, OpenConnection):
            self.upstream_of[message.connection] = item.sender
            reply = ConnectionReady(connection=message.connection)
            if item.sender in self.refuse_connect:
                reply = ConnectionAbort(
                    connection=message.connection, kind=ErrorKind.UPSTREAM_FAILED
                )
            self.receive(Envelope(LOCAL_UPSTREAM, item.sender, reply))
            if self.greeting:
                self.send_from_upstream(_data(message.connection, self.greeting))
        elif isinstance(message, ConnectionData):
            self.received[message.connection] += message.data
            written = ConnectionWritten(
                connection=message.connection, amount=len(message.data)
            )
            if message.connection not in self.stalled:
                self.receive(Envelope(item.receiver, item.sender, written))
        elif isinstance(message, ConnectionEnd):
            self.ended.append(message.connection)
        elif isinstance(message, ConnectionAbort):
            self.aborts[message.connection] = message.kind
        elif isinstance(message, ConnectionPause):
            self.paused[message.connection] = message.paused

    def run(self, seconds: float) -> None:
        ends_at = self.now + seconds
        while self.now < ends_at:
            times = [at for at, _, _ in self.transit]
            self.now = min([self.now + 0.05, ends_at, *times])
            due = sorted(entry for entry in self.transit if entry[0] <= self.now)
            self.transit = [entry for entry in self.transit if entry[0] > self.now]
            for _, _, item in due:
                self.receive(item)
            for node in self.nodes.values():
                at = node.next_wakeup()
                if at is not None and at <= self.now:
                    self.route(
                        node.wake(now=self.now)
                        if isinstance(node, Balancer)
                        else node.streams.wake(now=self.now)
                    )

    def open(self, connection: str = CALLER) -> str:
        self.send_from_caller(ConnectionOpened(connection=connection, address=ADDRESS))
        known = set(self.upstream_of)
        self.run(0.1)
        return next(iter(set(self.upstream_of) - known), "")


def _data(connection: str, data: bytes) -> ConnectionData:
    return ConnectionData(connection=connection, data=data)


@pytest.mark.parametrize("seed", range(20))
def test_bytes_arrive_once_and_in_order_despite_loss(seed: int) -> None:
    """Lost or reordered messages must not lose, repeat or reorder bytes.

    Closing one direction must not end the other.
    """
    print(f"seed {seed}")
    network = StreamNetwork(seed=seed)
    remote = network.open()
    network.loss = 0.2
    source = random.Random(seed)
    up, down = b"", b""
    for _ in range(30):
        piece = source.randbytes(source.randrange(1, 40_000))
        up += piece
        network.send_from_caller(_data(CALLER, piece))
        answer = source.randbytes(source.randrange(1, 9_000))
        down += answer
        network.send_from_upstream(_data(remote, answer))
        network.run(0.05)
    network.send_from_caller(ConnectionEnd(connection=CALLER))
    network.run(30.0)
    assert network.ended == [remote]
    network.send_from_upstream(_data(remote, b"last"))
    network.send_from_upstream(ConnectionEnd(connection=remote))
    network.run(30.0)
    assert bytes(network.received[remote]) == up
    assert bytes(network.received[CALLER]) == down + b"last"
    assert network.ended == [remote, CALLER]
    assert network.aborts == {}
    assert network.nodes[BALANCER].limits.streams[PARTNER] == 0
    assert not network.nodes[BALANCER].streams.table.streams
    assert network.nodes[agent_node(SERVICE, UpstreamId("u0"))].streams.idle()


@pytest.mark.parametrize("seed", range(8))
def test_data_that_overtakes_stream_opened_is_delivered(seed: int) -> None:
    """Bytes that arrive before ``StreamOpened`` must not reset the stream."""
    network = StreamNetwork(seed=seed)
    network.reorder = True
    network.greeting = b"220 bulletin"
    network.open()
    network.run(1.0)
    assert network.received[CALLER] == b"220 bulletin"
    assert network.aborts == {}


def test_stream_resumes_after_a_link_failure() -> None:
    """A short link failure must not end a caller's connection."""
    network = StreamNetwork()
    remote = network.open()
    network.send_from_caller(_data(CALLER, b"a" * 50_000))
    network.links_down = True
    network.run(STREAM_SILENT_S / 2)
    network.send_from_caller(_data(CALLER, b"b" * 50_000))
    network.links_down = False
    network.run(5.0)
    assert bytes(network.received[remote]) == b"a" * 50_000 + b"b" * 50_000
    assert network.aborts == {}


def test_stalled_receiver_pauses_the_sender() -> None:
    """Buffers must stay bounded when an upstream stops reading."""
    network = StreamNetwork()
    remote = network.open()
    network.stalled = {remote}
    sent = 0
    while not network.paused.get(CALLER):
        network.send_from_caller(_data(CALLER, b"x" * 30_000))
        sent += 30_000
        network.run(0.05)
        assert sent < 3 * STREAM_WINDOW_BYTES
    network.run(2 * STREAM_SILENT_S)
    assert len(network.received[remote]) == STREAM_WINDOW_BYTES
    assert network.aborts == {}
    network.stalled.clear()
    network.send_from_upstream(
        ConnectionWritten(connection=remote, amount=STREAM_WINDOW_BYTES)
    )
    network.run(0.2)
    assert len(network.received[remote]) == sent
    assert network.paused[CALLER] is False


def test_refused_stream_is_opened_at_the_next_agent() -> None:
    """A caller must not be refused while another upstream is available.

    One agent drains and the upstream of a second one refuses connections.
    """
    network = StreamNetwork(upstreams=3)
    first, second, third = (agent_node(SERVICE, name) for name in network.names)
    network.receive(Envelope(LOCAL_PLATFORM, first, SetDrain(draining=True)))
    network.refuse_connect = {second}
    for connection in ("c1", "c2", "c3"):
        network.send_from_caller(_data(connection, b"early"))
        remote = network.open(connection)
        network.send_from_caller(_data(connection, b"hello"))
        network.run(0.5)
        found = [key for key, node in network.upstream_of.items() if node == third]
        remote = found[-1]
        assert bytes(network.received[remote]) == b"hello"
    assert network.aborts == {
        key: ErrorKind.UPSTREAM_FAILED
        for key, node in network.upstream_of.items()
        if node == second and key in network.aborts
    }


def test_stream_is_opened_at_another_agent_if_one_is_silent() -> None:
    """A caller must not wait for an agent that has failed."""
    network = StreamNetwork(upstreams=2)
    del network.nodes[agent_node(SERVICE, UpstreamId("u0"))]
    dropped = agent_node(SERVICE, UpstreamId("u0"))
    route = network.route
    network.route = lambda items: route([i for i in items if i.receiver != dropped])
    for connection in ("c1", "c2", "c3"):
        network.send_from_caller(
            ConnectionOpened(connection=connection, address=ADDRESS)
        )
    network.run(9.0)
    assert set(network.upstream_of.values()) == {agent_node(SERVICE, UpstreamId("u1"))}
    assert len(network.upstream_of) == 3
    assert network.aborts == {}


def test_agent_restart_resets_its_streams() -> None:
    """A stream must be reset, not hang or reopen, when its agent restarts."""
    network = StreamNetwork()
    network.open()
    network.start_agent(UpstreamId("u0"), incarnation=2)
    network.run(STREAM_KEEPALIVE_S + 1.0)
    assert network.aborts == {CALLER: ErrorKind.FORGOTTEN}
    assert network.counts["broken.forgotten"] == 1
    assert network.nodes[BALANCER].limits.streams[PARTNER] == 0


def test_stream_ends_at_both_sides_of_a_failed_link() -> None:
    """Both connections must close when the peer stays unreachable."""
    network = StreamNetwork()
    remote = network.open()
    network.links_down = True
    network.run(STREAM_KEEPALIVE_S + STREAM_SILENT_S + 5.0)
    assert network.aborts == {
        CALLER: ErrorKind.AGENT_SILENT,
        remote: ErrorKind.AGENT_SILENT,
    }


def test_draining_agent_keeps_its_open_streams() -> None:
    """A drain must leave open streams running and refuse new ones."""
    network = StreamNetwork()
    remote = network.open()
    agent = agent_node(SERVICE, UpstreamId("u0"))
    network.receive(Envelope(LOCAL_PLATFORM, agent, SetDrain(draining=True)))
    network.send_from_caller(_data(CALLER, b"still"))
    network.run(1.0)
    assert bytes(network.received[remote]) == b"still"
    assert not network.nodes[agent].idle()
    network.open("late")
    network.run(12.0)
    assert set(network.aborts) == {"late"}
    assert network.aborts["late"] in (ErrorKind.NO_UPSTREAM, ErrorKind.DRAINING)


def test_partner_cannot_open_more_streams_than_its_limit() -> None:
    """One partner must not use up all streams of a balancer."""
    network = StreamNetwork()
    for connection in ("c1", "c2", "c3", "c4"):
        network.open(connection)
    assert network.aborts == {"c4": ErrorKind.PARTNER_LIMIT}
    network.send_from_caller(ConnectionAbort(connection="c1", kind=ErrorKind.ABANDONED))
    network.open("c5")
    assert "c5" not in network.aborts
