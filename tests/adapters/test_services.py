"""End-to-end tests of datagram flows and byte streams over real sockets."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

import msgspec
import pytest
from reactor_harness import reactor, run_until
from test_path import SystemHarness
from twisted.internet.protocol import DatagramProtocol, Protocol as Connection

from bramleydyke.adapters.udp_upstream import UdpUpstream
from bramleydyke.constants import STREAM_WINDOW_BYTES
from bramleydyke.daemons.agent import UPSTREAM_ADAPTERS
from bramleydyke.daemons.balancer import EDGE_OPENERS
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import FlowReset, PacketAnswered, PacketDeliver, Payload
from bramleydyke.settings import SUPPORTED
from bramleydyke.standins.board import Subscribe, Tick
from bramleydyke.standins.documents import Download, document_content
from bramleydyke.types import (
    CallerAddress,
    FlowId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)


class UdpCaller(DatagramProtocol):
    """Caller of a UDP service that records the ticks it receives."""

    noisy = False

    def __init__(self) -> None:
        self.ticks: list[Tick] = []
        reactor.listenUDP(0, self, interface="127.0.0.1")

    def datagramReceived(self, datagram: bytes, _: object) -> None:  # noqa: N802
        self.ticks.append(msgspec.json.decode(datagram, type=Tick))


class TcpCaller(Connection):
    """Caller of a TCP service that requests and records a document."""

    def __init__(self, download: Download) -> None:
        self.download = download
        self.data = b""
        self.ended = False

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(msgspec.json.encode(self.download) + b"\n")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.data += data

    def connectionLost(self, _: object) -> None:  # type: ignore[override] # noqa: N802
        self.ended = True


@pytest.fixture()
def start() -> Iterator[Callable[[Protocol], SystemHarness]]:
    harnesses = []

    def make(protocol: Protocol) -> SystemHarness:
        harnesses.append(SystemHarness(3, protocol))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.system.stop()
        run_until(lambda harness=harness: not harness.system.agents)


def subscribe(
    harness: SystemHarness, watcher: UdpCaller, number: int, service: int = 0
) -> None:
    config = harness.services[service]
    host, port = config.addresses[0].split(":")
    packet = Subscribe(config.service_id, f"f{service}", number)
    watcher.transport.write(msgspec.json.encode(packet), (host, int(port)))


def start_download(
    harness: SystemHarness, size: int, *, service: int = 0, pause_s: float = 0.0
) -> TcpCaller:
    config = harness.services[service]
    host, port = config.addresses[0].split(":")
    reader = TcpCaller(Download(config.service_id, "bulletin", size, pause_s))
    reactor.connectTCP(host, int(port), _single_use_factory(reader))
    return reader


def _single_use_factory(reader: TcpCaller) -> object:
    from twisted.internet.protocol import ClientFactory

    factory = ClientFactory.forProtocol(lambda: reader)
    factory.noisy = False
    return factory


def test_every_protocol_has_its_adapters() -> None:
    """Guards against a protocol that settings allow but no adapter serves."""
    assert set(EDGE_OPENERS) == set(UPSTREAM_ADAPTERS) == SUPPORTED == set(Protocol)


def test_flow_stays_at_its_upstream_when_a_balancer_dies(
    start: Callable[[Protocol], SystemHarness],
) -> None:
    """Guards against flows that end, change their upstream or get mixed up.

    After a balancer crashes, the packets of its flows reach the other one.
    """
    harness = start(Protocol.UDP)
    watchers = [UdpCaller(), UdpCaller()]

    def exchange(first: int) -> None:
        for number in range(first, first + 12):
            for service, watcher in enumerate(watchers):
                subscribe(harness, watcher, number, service)
            run_until(
                lambda number=number: all(
                    any(t.number == number and not t.pushed for t in w.ticks)
                    for w in watchers
                )
            )

    exchange(0)
    harness.system.kill_balancer("b1")
    harness.system.fabric.targets = {
        address: [edge for edge in edges if edge not in harness.system.killed_edges]
        for address, edges in harness.system.fabric.targets.items()
    }
    exchange(100)
    run_until(lambda: all(any(t.pushed for t in w.ticks) for w in watchers))
    for service, watcher in enumerate(watchers):
        assert {t.service for t in watcher.ticks} == {
            harness.services[service].service_id
        }
        assert len({t.upstream for t in watcher.ticks}) == 1
        watcher.transport.stopListening()
    assert harness.system.work_counts.wrong_service == 0


def test_documents_arrive_complete(start: Callable[[Protocol], SystemHarness]) -> None:
    """Guards against bytes that are lost, repeated or in the wrong stream."""
    harness = start(Protocol.TCP)
    size = 5 * STREAM_WINDOW_BYTES + 1
    readers = [start_download(harness, size, service=n % 2) for n in range(6)]
    run_until(lambda: all(reader.ended for reader in readers))
    for reader in readers:
        assert reader.data == document_content(reader.download)
    assert harness.system.work_counts.wrong_service == 0
    run_until(lambda: all(node.idle() for node in harness.system.balancers.values()))


def test_slow_caller_holds_back_the_upstream(
    start: Callable[[Protocol], SystemHarness],
) -> None:
    """Guards against buffers that grow while a caller does not read."""
    harness = start(Protocol.TCP)
    size = 64 * STREAM_WINDOW_BYTES
    reader = start_download(harness, size)
    run_until(lambda: reader.data)
    reader.transport.pauseProducing()
    edges = [node.tcp_edge for node in harness.system.balancers.values()]
    run_until(lambda: any(c.blocked for edge in edges for c in edge.open.values()))
    for _ in range(50):
        reactor.iterate(0.01)
    buffered = [c.unacknowledged for edge in edges for c in edge.open.values()]
    assert buffered and max(buffered) <= STREAM_WINDOW_BYTES
    reader.transport.resumeProducing()
    run_until(lambda: reader.ended)
    assert reader.data == document_content(reader.download)


def test_draining_balancer_keeps_its_stream(
    start: Callable[[Protocol], SystemHarness],
) -> None:
    """Guards against a drain that interrupts a download."""
    harness = start(Protocol.TCP)
    reader = start_download(harness, 20 * 16 * 1024, pause_s=0.02)
    run_until(lambda: reader.data)
    node = next(n for n in harness.system.balancers.values() if n.tcp_edge.open)
    node.drain()
    assert not node.idle()
    run_until(lambda: reader.ended)
    assert reader.data == document_content(reader.download)
    run_until(node.idle)


def test_sockets_follow_bindings_and_are_bounded() -> None:
    """Guards against a new binding that keeps its port, and extra sockets."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as upstream:
        upstream.bind(("127.0.0.1", 0))
        upstream.settimeout(5)
        received: list[Payload] = []
        counts: list[str] = []
        port = UdpUpstream(
            reactor=reactor,
            endpoint=f"127.0.0.1:{upstream.getsockname()[1]}",
            deliver=lambda _, payload: received.append(payload),
            count=counts.append,
            max_sockets=1,
        )

        def deliver(flow: int, binding: int) -> None:
            port.handle(
                PacketDeliver(
                    flow_id=FlowId(flow),
                    binding=binding,
                    address=ServiceAddress("127.0.0.1:1"),
                    caller=CallerAddress("127.0.0.1:2"),
                    data=b"x",
                )
            )

        deliver(1, 1)
        deliver(1, 1)
        deliver(1, 2)
        sources = [upstream.recvfrom(10)[1] for _ in range(3)]
        assert sources[0] == sources[1] != sources[2]
        upstream.sendto(b"late", sources[0])
        upstream.sendto(b"y", sources[2])
        run_until(lambda: received)
        assert received == [PacketAnswered(flow_id=FlowId(1), binding=2, data=b"y")]
        deliver(2, 1)
        assert counts == ["udp_upstream.sockets_full"]
        port.handle(
            FlowReset(
                flow_id=FlowId(1),
                service_id=ServiceId("p/s"),
                upstream_id=UpstreamId("u"),
                kind=ErrorKind.CANCELLED,
            )
        )
        deliver(2, 1)
        assert len(port.sockets) == 1
        port.close()
