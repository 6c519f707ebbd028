"""Datagrams a second through a balancer, against a bare echo on twisted.

Both run on real UDP sockets. Datagrams are put into the receive buffers
first, and only the time in which twisted reads and handles them is counted,
so that the sender's work in the same process is in neither figure.
"""

from __future__ import annotations

import random
import socket
import statistics
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from twisted.internet.protocol import DatagramProtocol

from bramleydyke.adapters.codec import encode
from bramleydyke.adapters.network import Network
from bramleydyke.adapters.runner import Runner
from bramleydyke.adapters.udp_edge import UdpEdge
from bramleydyke.bench.flow_setup import (
    SERVICE,
    UPSTREAMS,
    establish,
    make_balancer,
)
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.flow_hints import flow_id_of
from bramleydyke.daemons.environment import environment_of
from bramleydyke.demo.endpoints import free_endpoint
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.messages import Envelope, PacketReturn
from bramleydyke.types import (
    LOCAL_CALLER,
    LOCAL_METRICS,
    CallerAddress,
    ServiceAddress,
)

PAIRS = 9
"""Runs of each kind, in alternation."""

RUN_S = 0.4
"""Time that is counted in each run, in seconds."""

CALLERS = 64
"""Sockets that send to the balancer."""

BATCH = 128
"""Datagrams in the receive buffers at a time; they hold about 250."""

OTHER_FLOWS = 20_000
"""Further open flows in the balancer."""

PAYLOAD_BYTES = 200

Address = tuple[str, int]


class Echo(DatagramProtocol):
    """Sends each datagram back."""

    def __init__(self) -> None:
        self.handled = 0

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:  # noqa: N802
        """Takes a datagram."""
        self.handled += 1
        self.transport.write(datagram, addr)


class Counted:
    """Counts the messages that pass to a delivery.

    Attributes:
        handled: Messages so far.
    """

    def __init__(self, deliver: Callable[..., None]) -> None:
        self.deliver = deliver
        self.handled = 0

    def __call__(self, *message: object) -> None:
        """Passes a message on."""
        self.handled += 1
        self.deliver(*message)


class Relay:
    """A balancer behind the sockets that a node of its kind has.

    Attributes:
        counts: What the adapters refused or failed on.
        from_callers: Packets of callers.
        from_agents: Messages of agents.
    """

    def __init__(self, balancer: Balancer, *, address: str, endpoint: str) -> None:
        environment = environment_of(reactor)
        clock = environment.clock
        self.context = environment.context
        self.counts: list[str] = []
        self.runner = Runner(facade=balancer, clock=clock, count=self.count)
        self.from_callers = Counted(self.runner.from_port)
        self.from_agents = Counted(self.runner.deliver)
        self.network = Network(
            reactor=reactor,
            clock=clock,
            context=environment.context,
            node_id=balancer.node_id,
            endpoint=endpoint,
            members=balancer.members,
            seeds={},
            deliver=self.from_agents,
            count=self.count,
        )
        self.edge = UdpEdge(
            reactor=reactor, deliver=self.from_callers, count=self.count
        )
        self.edge.listen(ServiceAddress(address), address)
        self.runner.send = self.network.send
        self.runner.ports[LOCAL_CALLER] = self.edge.take
        self.runner.ports[LOCAL_METRICS] = lambda count: self.count(count.name)

    def count(self, name: str, _: int = 1) -> None:
        """Notes that a datagram was not passed on."""
        self.counts.append(name)

    def ports(self) -> list[Any]:
        """Returns the UDP ports towards callers and agents."""
        edges = [socket.transport for socket in self.edge.sockets.values()]
        return [*edges, self.network.datagrams.port]

    def close(self) -> None:
        """Closes all sockets."""
        self.runner.stop()
        self.edge.close()
        self.network.close(linger_ms=0)
        self.context.destroy(linger=0)


def _socket() -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.bind(("127.0.0.1", 0))
    made.setblocking(False)
    return made


def _drain(sockets: list[socket.socket]) -> int:
    """Empties receive buffers; returns the number of datagrams."""
    count = 0
    for item in sockets:
        while True:
            try:
                item.recv(65536)
            except BlockingIOError:
                break
            count += 1
    return count


class Bed:
    """Sockets, ports and the balancer of one measurement."""

    def __init__(self, *, seed: int) -> None:
        self.payload = random.Random(seed).randbytes(PAYLOAD_BYTES)
        self.callers = [_socket() for _ in range(CALLERS)]
        self.agent = _socket()
        self.echo = Echo()
        self.echo_port = _listen(self.echo)
        self.setup_balancer(seed)

    def setup_balancer(self, seed: int) -> None:
        """Starts the balancer and establishes its flows."""
        address, self.endpoint = free_endpoint(), free_endpoint()
        self.balancer = make_balancer(
            ServiceAddress(address),
            seed=seed,
            agents="{}:{}".format(*self.agent.getsockname()),
        )
        self.relay = Relay(self.balancer, address=address, endpoint=self.endpoint)
        self.service = parse_endpoint(address)
        address = ServiceAddress(address)
        now = time.monotonic()
        for number in range(OTHER_FLOWS):
            other = CallerAddress(f"10.0.{number >> 8}.{number & 255}:5000")
            owner = UPSTREAMS[number % len(UPSTREAMS)]
            establish(self.balancer, address, other, owner=owner, now=now)
        self.returns = [self.open_flow(item, address) for item in self.callers]

    def open_flow(self, caller: socket.socket, address: ServiceAddress) -> bytes:
        """Establishes a caller's flow; returns the frame of an answer."""
        name = CallerAddress("{}:{}".format(*caller.getsockname()))
        owner = establish(
            self.balancer, address, name, owner=UPSTREAMS[0], now=time.monotonic()
        )
        answer = PacketReturn(
            flow_id=flow_id_of(address, name),
            service_id=SERVICE,
            address=address,
            caller=name,
            data=self.payload,
        )
        envelope = Envelope(owner, self.balancer.node_id, answer)
        endpoint = "{}:{}".format(*self.agent.getsockname())
        return encode(envelope, endpoint=endpoint).unwrap()

    def echo_batch(self) -> float:
        """Returns the time in which the echo handles a batch, in seconds."""
        target = self.echo_port.getHost()
        for number in range(BATCH):
            caller = self.callers[number % CALLERS]
            caller.sendto(self.payload, (target.host, target.port))
        spent = _read([self.echo_port], [self.echo], BATCH)
        return _checked(spent, _drain(self.callers))

    def relay_batch(self) -> float:
        """Returns the time in which the balancer handles a batch.

        Half of the datagrams come from callers, half from agents.
        """
        agents = parse_endpoint(self.endpoint)
        for number in range(BATCH // 2):
            caller = self.callers[number % CALLERS]
            caller.sendto(self.payload, self.service)
            frame = self.returns[number % CALLERS]
            self.agent.sendto(frame, agents)
        counted = [self.relay.from_callers, self.relay.from_agents]
        spent = _read(self.relay.ports(), counted, BATCH)
        return _checked(spent, _drain([*self.callers, self.agent]))

    def close(self) -> None:
        """Closes all sockets."""
        self.echo_port.stopListening()
        self.relay.close()
        for item in (*self.callers, self.agent):
            item.close()


def _listen(protocol: DatagramProtocol):
    return reactor.listenUDP(0, protocol, interface="127.0.0.1")


def _read(ports: list[Any], protocols: list[Any], expected: int) -> float:
    """Lets twisted read all datagrams; returns the time it took."""
    goal = sum(item.handled for item in protocols) + expected
    started = time.perf_counter()
    while sum(item.handled for item in protocols) < goal:
        for port in ports:
            port.doRead()
        reactor.runUntilCurrent()
        if time.perf_counter() - started > 1.0:
            raise RuntimeError("datagrams were lost on the loopback")
    return time.perf_counter() - started


def _checked(spent: float, passed: int) -> float:
    if passed != BATCH:
        raise RuntimeError(f"{passed} of {BATCH} datagrams came out")
    return spent


def _rate(batch: Callable[[], float]) -> float:
    """Returns datagrams a second over ``RUN_S`` of counted time."""
    spent, batches = 0.0, 0
    while spent < RUN_S:
        spent += batch()
        batches += 1
    return batches * BATCH / spent


def measure(*, seed: int) -> dict[str, object]:
    """Returns ``relay_ratio``, the median over pairs of runs.

    The datagrams a second of both kinds come with it, as medians.
    """
    bed = Bed(seed=seed)
    try:
        pairs = [(_rate(bed.echo_batch), _rate(bed.relay_batch)) for _ in range(PAIRS)]
    finally:
        bed.close()
    ratio = statistics.median(relay / echo for echo, relay in pairs)
    return {
        "relay_ratio": round(ratio, 3),
        "relay_per_s": round(statistics.median(relay for _, relay in pairs)),
        "echo_per_s": round(statistics.median(echo for echo, _ in pairs)),
    }
