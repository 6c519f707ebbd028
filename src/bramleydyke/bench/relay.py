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

import msgspec
from twisted.internet import reactor
from twisted.internet.protocol import DatagramProtocol

from bramleydyke.bench.flow_setup import (
    SERVICE,
    UPSTREAMS,
    establish,
    make_balancer,
)
from bramleydyke.constants import WIRE_VERSION
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.flow_hints import flow_id_of
from bramleydyke.messages import Envelope, PacketForward, PacketIn, PacketReturn
from bramleydyke.types import (
    LOCAL_CALLER,
    CallerAddress,
    NodeId,
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


class CallerSide(DatagramProtocol):
    """The balancer's socket for a service address."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.handled = 0
        self.address = ServiceAddress("")
        self.agents: AgentSide

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:  # noqa: N802
        """Takes a caller's datagram and sends what the core returns."""
        self.handled += 1
        packet = PacketIn(
            address=self.address,
            caller=CallerAddress(f"{addr[0]}:{addr[1]}"),
            data=datagram,
        )
        envelope = Envelope(LOCAL_CALLER, self.balancer.node_id, packet)
        for sent in self.balancer.receive(envelope, now=time.monotonic()):
            self.agents.send(sent)


class AgentSide(DatagramProtocol):
    """The balancer's socket towards the agents."""

    def __init__(self, balancer: Balancer, callers: CallerSide) -> None:
        self.balancer = balancer
        self.callers = callers
        self.handled = 0
        self.endpoints: dict[NodeId, Address] = {}
        self.nodes: dict[Address, NodeId] = {}
        self.encoder = msgspec.msgpack.Encoder()
        self.frame = bytearray((WIRE_VERSION,))
        self.decode = msgspec.msgpack.Decoder(PacketForward | PacketReturn).decode

    def send(self, envelope: Envelope) -> None:
        """Sends a message to an agent, with the version in front."""
        self.encoder.encode_into(envelope.payload, self.frame, 1)
        self.transport.write(self.frame, self.endpoints[envelope.receiver])

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:  # noqa: N802
        """Takes an agent's datagram and sends what the core returns."""
        self.handled += 1
        if datagram[0] != WIRE_VERSION:
            return
        message = self.decode(memoryview(datagram)[1:])
        envelope = Envelope(self.nodes[addr], self.balancer.node_id, message)
        for sent in self.balancer.receive(envelope, now=time.monotonic()):
            host, port = sent.payload.caller.rsplit(":", 1)
            self.callers.transport.write(sent.payload.data, (host, int(port)))


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
        port = reactor.listenUDP(0, DatagramProtocol(), interface="127.0.0.1")
        number = port.getHost().port
        address = ServiceAddress(f"127.0.0.1:{number}")
        self.balancer = make_balancer(address, seed=seed)
        self.caller_side = CallerSide(self.balancer)
        self.agent_side = AgentSide(self.balancer, self.caller_side)
        self.caller_side.agents = self.agent_side
        self.caller_side.address = address
        port.protocol = self.caller_side
        self.caller_side.makeConnection(port)
        self.caller_port = port
        self.agent_port = _listen(self.agent_side)
        now = time.monotonic()
        for number in range(OTHER_FLOWS):
            other = CallerAddress(f"10.0.{number >> 8}.{number & 255}:5000")
            owner = UPSTREAMS[number % len(UPSTREAMS)]
            establish(self.balancer, address, other, owner=owner, now=now)
        self.returns = [self.open_flow(item, address) for item in self.callers]

    def open_flow(self, caller: socket.socket, address: ServiceAddress) -> bytes:
        """Establishes a caller's flow; returns the frame of an answer."""
        name = CallerAddress("{}:{}".format(*caller.getsockname()))
        endpoint, now = self.agent.getsockname(), time.monotonic()
        owner = establish(self.balancer, address, name, owner=UPSTREAMS[0], now=now)
        self.agent_side.endpoints[owner] = endpoint
        self.agent_side.nodes[endpoint] = owner
        answer = PacketReturn(
            flow_id=flow_id_of(address, name),
            service_id=SERVICE,
            address=address,
            caller=name,
            data=self.payload,
        )
        return bytes((WIRE_VERSION,)) + msgspec.msgpack.encode(answer)

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
        service, agents = self.caller_port.getHost(), self.agent_port.getHost()
        for number in range(BATCH // 2):
            caller = self.callers[number % CALLERS]
            caller.sendto(self.payload, (service.host, service.port))
            frame = self.returns[number % CALLERS]
            self.agent.sendto(frame, (agents.host, agents.port))
        ports = [self.caller_port, self.agent_port]
        spent = _read(ports, [self.caller_side, self.agent_side], BATCH)
        return _checked(spent, _drain([*self.callers, self.agent]))

    def close(self) -> None:
        """Closes all sockets."""
        for port in (self.echo_port, self.caller_port, self.agent_port):
            port.stopListening()
        for item in (*self.callers, self.agent):
            item.close()


def _listen(protocol: DatagramProtocol):
    return reactor.listenUDP(0, protocol, interface="127.0.0.1")


def _read(ports: list, protocols: list, expected: int) -> float:
    """Lets twisted read all datagrams; returns the time it took."""
    goal = sum(item.handled for item in protocols) + expected
    started = time.perf_counter()
    while sum(item.handled for item in protocols) < goal:
        for port in ports:
            port.doRead()
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
