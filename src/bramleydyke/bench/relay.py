"""Compares a balancer's datagram rate with that of a Twisted echo server.

Both use real UDP sockets. Datagrams are put into the receive buffers first,
and only the time in which Twisted reads and handles them is measured, so that
neither result includes the work of the senders in the same process.
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
    establish_flow,
    make_balancer,
)
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.flow_hints import flow_id_of
from bramleydyke.daemons.environment import new_environment
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
"""Number of pairs of runs: the echo server, then the balancer."""

RUN_S = 0.4
"""Duration of each run, in seconds."""

CALLERS = 64
"""Number of sockets that send datagrams as callers."""

BATCH = 128
"""Number of datagrams in a batch; the receive buffers hold about 250."""

OTHER_FLOWS = 20_000
"""Additional open flows, without traffic."""

PAYLOAD_BYTES = 200

Address = tuple[str, int]


class Echo(DatagramProtocol):
    """UDP server that sends each datagram back to its sender.

    Attributes:
        handled: Number of datagrams handled so far.
    """

    def __init__(self) -> None:
        self.handled = 0

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:  # noqa: N802
        """Handles a datagram that Twisted has read."""
        self.handled += 1
        self.transport.write(datagram, addr)


class CountingDelivery:
    """Wraps a function that delivers messages, and counts its calls.

    Attributes:
        handled: Number of messages delivered so far.
    """

    def __init__(self, deliver: Callable[..., None]) -> None:
        self.deliver = deliver
        self.handled = 0

    def __call__(self, *message: object) -> None:
        """Counts and delivers a message."""
        self.handled += 1
        self.deliver(*message)


class Relay:
    """A balancer with the network adapters of a balancer process.

    Attributes:
        counter_names: Names of the counters that the adapters and the balancer
            incremented.
        from_callers: Delivers the packets of callers to the balancer.
        from_agents: Delivers the messages of agents to the balancer.
    """

    def __init__(self, balancer: Balancer, *, address: str, endpoint: str) -> None:
        environment = new_environment(reactor)
        clock = environment.clock
        self.context = environment.context
        self.counter_names: list[str] = []
        self.runner = Runner(role=balancer, clock=clock, count=self.count)
        self.from_callers = CountingDelivery(self.runner.deliver_from_port)
        self.from_agents = CountingDelivery(self.runner.deliver)
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
        self.runner.ports[LOCAL_CALLER] = self.edge.handle
        self.runner.ports[LOCAL_METRICS] = lambda count: self.count(count.name)

    def count(self, name: str, _: int = 1) -> None:
        """Records the name of a counter, such as one for dropped datagrams."""
        self.counter_names.append(name)

    def ports(self) -> list[Any]:
        """Returns the Twisted ports that receive from callers and agents."""
        edges = [socket.transport for socket in self.edge.sockets.values()]
        return [*edges, self.network.datagrams.port]

    def close(self) -> None:
        """Stops the balancer and closes its sockets."""
        self.runner.stop()
        self.edge.close()
        self.network.close(linger_ms=0)
        self.context.destroy(linger=0)


def _open_socket() -> socket.socket:
    new_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    new_socket.bind(("127.0.0.1", 0))
    new_socket.setblocking(False)
    return new_socket


def _read_all(sockets: list[socket.socket]) -> int:
    """Reads all received datagrams; returns their number."""
    count = 0
    for item in sockets:
        while True:
            try:
                item.recv(65536)
            except BlockingIOError:
                break
            count += 1
    return count


class Testbed:
    """Sockets of callers and an agent, an echo server and a balancer."""

    def __init__(self, *, seed: int) -> None:
        self.payload = random.Random(seed).randbytes(PAYLOAD_BYTES)
        self.callers = [_open_socket() for _ in range(CALLERS)]
        self.agent = _open_socket()
        self.echo = Echo()
        self.echo_port = _listen(self.echo)
        self.setup_balancer(seed)

    def setup_balancer(self, seed: int) -> None:
        """Starts the balancer and opens its flows."""
        address, self.endpoint = free_endpoint(), free_endpoint()
        self.balancer = make_balancer(
            ServiceAddress(address),
            seed=seed,
            agents="{}:{}".format(*self.agent.getsockname()),
        )
        self.relay = Relay(self.balancer, address=address, endpoint=self.endpoint)
        self.service_endpoint = parse_endpoint(address)
        address = ServiceAddress(address)
        now = time.monotonic()
        for number in range(OTHER_FLOWS):
            other = CallerAddress(f"10.0.{number >> 8}.{number & 255}:5000")
            owner = UPSTREAMS[number % len(UPSTREAMS)]
            establish_flow(self.balancer, address, other, owner=owner, now=now)
        self.reply_frames = [self.open_flow(item, address) for item in self.callers]

    def open_flow(self, caller: socket.socket, address: ServiceAddress) -> bytes:
        """Opens a caller's flow; returns an encoded reply from its agent."""
        name = CallerAddress("{}:{}".format(*caller.getsockname()))
        owner = establish_flow(
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
        """Returns the seconds that the echo server takes for one batch."""
        target = self.echo_port.getHost()
        for number in range(BATCH):
            caller = self.callers[number % CALLERS]
            caller.sendto(self.payload, (target.host, target.port))
        elapsed = _read_with_twisted([self.echo_port], [self.echo], BATCH)
        return _check_count(elapsed, _read_all(self.callers))

    def relay_batch(self) -> float:
        """Returns the seconds that the balancer takes for one batch.

        Half of the datagrams come from callers, half from agents.
        """
        agents = parse_endpoint(self.endpoint)
        for number in range(BATCH // 2):
            caller = self.callers[number % CALLERS]
            caller.sendto(self.payload, self.service_endpoint)
            frame = self.reply_frames[number % CALLERS]
            self.agent.sendto(frame, agents)
        counters = [self.relay.from_callers, self.relay.from_agents]
        elapsed = _read_with_twisted(self.relay.ports(), counters, BATCH)
        return _check_count(elapsed, _read_all([*self.callers, self.agent]))

    def close(self) -> None:
        """Closes all sockets of the measurement."""
        self.echo_port.stopListening()
        self.relay.close()
        for item in (*self.callers, self.agent):
            item.close()


def _listen(protocol: DatagramProtocol):
    return reactor.listenUDP(0, protocol, interface="127.0.0.1")


def _read_with_twisted(ports: list[Any], protocols: list[Any], expected: int) -> float:
    """Reads datagrams through Twisted; returns the seconds it took.

    Raises:
        RuntimeError: Not all expected datagrams were read within 1 s.
    """
    target_count = sum(item.handled for item in protocols) + expected
    started = time.perf_counter()
    while sum(item.handled for item in protocols) < target_count:
        for port in ports:
            port.doRead()
        reactor.runUntilCurrent()
        if time.perf_counter() - started > 1.0:
            raise RuntimeError("not all datagrams arrived over loopback within 1 s")
    return time.perf_counter() - started


def _check_count(elapsed: float, passed: int) -> float:
    if passed != BATCH:
        raise RuntimeError(f"{passed} of {BATCH} datagrams were sent on")
    return elapsed


def _datagrams_per_s(batch: Callable[[], float]) -> float:
    """Returns the datagrams per second over ``RUN_S`` of measured time."""
    elapsed, batches = 0.0, 0
    while elapsed < RUN_S:
        elapsed += batch()
        batches += 1
    return batches * BATCH / elapsed


def measure(*, seed: int) -> dict[str, object]:
    """Measures the echo server and the balancer in alternation.

    Returns:
        Medians of the datagrams per second, ``relay_per_s`` for the balancer
        and ``echo_per_s``. ``relay_ratio`` is the median over the pairs of the
        balancer's rate divided by that of the echo server.
    """
    testbed = Testbed(seed=seed)
    try:
        pairs = [
            (
                _datagrams_per_s(testbed.echo_batch),
                _datagrams_per_s(testbed.relay_batch),
            )
            for _ in range(PAIRS)
        ]
    finally:
        testbed.close()
    ratio = statistics.median(relay / echo for echo, relay in pairs)
    return {
        "relay_ratio": round(ratio, 3),
        "relay_per_s": round(statistics.median(relay for _, relay in pairs)),
        "echo_per_s": round(statistics.median(echo for echo, _ in pairs)),
    }
