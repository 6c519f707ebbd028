"""Tests of the links with simulated ZeroMQ sockets and a simulated clock."""

from __future__ import annotations

from typing import Any

import zmq
from twisted.internet.task import Clock

from bramleydyke.adapters.links import MAX_QUEUE_AGE_S, MAX_QUEUED_FRAMES, Links
from bramleydyke.adapters.metrics import Metrics

ENDPOINT = "127.0.0.1:7001"


class FakeSocket:
    """Simulates how a libzmq socket processes a new connection.

    A new connection becomes usable only when the socket's events are read. A
    failed send does not process it, because libzmq limits how often a send
    checks for commands.
    """

    def __init__(self) -> None:
        self.connecting = False
        self.connected = False
        self.closed = False
        self.sent: list[bytes] = []

    def get(self, option: int) -> int:
        self.connected = self.connected or self.connecting
        return zmq.POLLOUT if option == zmq.EVENTS and self.connected else 0

    def send(self, frame: bytes, flags: int) -> None:
        if not self.connected:
            raise zmq.Again()
        self.sent.append(frame)

    def set(self, option: int, value: int) -> None:
        pass

    def bind(self, address: str) -> None:
        pass

    connect = bind

    def close(self, linger: int) -> None:
        self.closed = True


class FakeEnvironment:
    """Replaces both the reactor and the ZeroMQ context."""

    def __init__(self) -> None:
        self.sockets: list[FakeSocket] = []
        self.readers: list[Any] = []

    def socket(self, kind: int) -> FakeSocket:
        self.sockets.append(FakeSocket())
        return self.sockets[-1]

    def addReader(self, reader: Any) -> None:  # noqa: N802
        self.readers.append(reader)

    def removeReader(self, reader: Any) -> None:  # noqa: N802
        self.readers.remove(reader)


def new_links() -> tuple[Links, FakeEnvironment, Clock, Metrics]:
    environment, clock, metrics = FakeEnvironment(), Clock(), Metrics()
    links = Links(
        reactor=environment,
        clock=clock,
        context=environment,
        endpoint="127.0.0.1:7000",
        receive=lambda _: None,
        count=metrics.count,
    )
    return links, environment, clock, metrics


def test_one_signal_of_a_new_connection_sends_the_queued_frame() -> None:
    """Guards against a first frame that is sent only at the next sweep.

    The file descriptor signals a new connection once. If the events are not
    read again after that, the queued frame waits. In a run of two balancers
    and three agents, this left 5 offers without a reply in time.
    """
    links, environment, _, _ = new_links()
    links.send(ENDPOINT, b"first")
    socket = environment.sockets[1]
    socket.connecting = True
    environment.readers[1].doRead()
    assert socket.sent == [b"first"]


def test_old_frames_are_not_sent_to_a_node_that_comes_back() -> None:
    """Guards against an old offer that reaches the successor of an agent."""
    links, environment, clock, metrics = new_links()
    links.send(ENDPOINT, b"old")
    clock.pump([0.5] * int(MAX_QUEUE_AGE_S * 2 + 4))
    environment.sockets[1].connecting = True
    links.send(ENDPOINT, b"new")
    assert environment.sockets[1].sent == [b"new"]
    assert metrics.counts["links.expired"] == 1


def test_frames_for_an_unreachable_node_are_bounded() -> None:
    """Guards against unbounded memory for a node that stays unreachable."""
    links, _, _, metrics = new_links()
    for _ in range(MAX_QUEUED_FRAMES + 10):
        links.send(ENDPOINT, b"x")
    assert len(links.peers[ENDPOINT].queue) == MAX_QUEUED_FRAMES
    assert metrics.counts["links.dropped"] == 10


def test_idle_links_are_closed() -> None:
    """Guards against keeping a socket for every node that ever existed."""
    links, environment, clock, _ = new_links()
    links.send(ENDPOINT, b"x")
    environment.sockets[1].connecting = True
    clock.pump([1.0] * 70)
    assert environment.sockets[1].closed and not links.peers
