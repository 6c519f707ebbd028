"""Tests of nodes over real sockets: links, datagrams and invalid input."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import msgspec
import pytest
import zmq
from hypothesis import HealthCheck, given, settings, strategies as st
from reactor_harness import environment, reactor, run_until

from bramleydyke.adapters.metrics import Metrics
from bramleydyke.adapters.network import Network
from bramleydyke.constants import MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, WIRE_VERSION
from bramleydyke.core.members import Members
from bramleydyke.demo.endpoints import free_endpoint
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.messages import Announcement, Answer, Envelope, Payload
from bramleydyke.types import (
    AvailabilityZone,
    Incarnation,
    MemberState,
    NodeId,
    RequestId,
)

A, B = NodeId("balancer/a"), NodeId("balancer/b")


def answer(payload: bytes) -> Answer:
    return Answer(
        request_id=RequestId("r"),
        placement=1,
        payload=payload,
        backlog=0.0,
        incarnation=Incarnation(1),
    )


ANNOUNCEMENT = Announcement(
    node_id=A,
    incarnation=Incarnation(1),
    revision=1,
    state=MemberState.RUNNING,
    zone=AvailabilityZone("fes"),
    endpoint="127.0.0.1:1",
)


class NodeHarness:
    """A node that records the messages it receives."""

    def __init__(
        self, node_id: NodeId, endpoint: str, seeds: dict[NodeId, str] | None = None
    ) -> None:
        self.metrics = Metrics()
        self.received: list[Payload] = []
        env = environment()
        self.network = Network(
            reactor=reactor,
            clock=env.clock,
            context=env.context,
            node_id=node_id,
            endpoint=endpoint,
            members=Members(),
            seeds=seeds or {},
            deliver=lambda envelope: self.received.append(envelope.payload),
            count=self.metrics.count,
        )
        self.node_id = node_id

    def send(self, receiver: NodeId, payload: Payload) -> None:
        self.network.send(Envelope(self.node_id, receiver, payload))


@pytest.fixture()
def peers() -> Iterator[list[NodeHarness]]:
    started: list[NodeHarness] = []
    yield started
    for peer in started:
        peer.network.close(linger_ms=0)


def pair(peers: list[NodeHarness]) -> tuple[NodeHarness, NodeHarness]:
    endpoint = free_endpoint()
    peers.append(NodeHarness(B, endpoint))
    peers.append(NodeHarness(A, free_endpoint(), {B: endpoint}))
    return peers[1], peers[0]


def test_burst_on_a_link_arrives_whole_and_in_order(peers: list[NodeHarness]) -> None:
    """Guards against frames that are lost or reordered between two reads."""
    sender, receiver = pair(peers)
    for number in range(500):
        sender.send(B, answer(str(number).encode()))
    run_until(lambda: len(receiver.received) == 500)
    assert [item.payload for item in receiver.received] == [
        b"%d" % n for n in range(500)
    ]


def test_reply_reaches_a_sender_that_is_known_by_its_frame_only(
    peers: list[NodeHarness],
) -> None:
    """Guards against an agent that cannot reply to a new balancer.

    The balancer's announcement may arrive later than its first message.
    """
    sender, receiver = pair(peers)
    sender.send(B, ANNOUNCEMENT)
    run_until(lambda: receiver.received)
    receiver.send(A, answer(b"back"))
    run_until(lambda: sender.received)
    assert sender.received == [answer(b"back")]


def test_large_control_message_goes_by_link(peers: list[NodeHarness]) -> None:
    """Guards against sending a message over UDP that exceeds a datagram."""
    sender, receiver = pair(peers)
    big = msgspec.structs.replace(ANNOUNCEMENT, credential="x" * MAX_DATAGRAM_BYTES)
    sender.send(B, big)
    run_until(lambda: receiver.received)
    assert receiver.received == [big]


def test_frame_waits_for_a_node_that_starts(peers: list[NodeHarness]) -> None:
    """Guards against losing messages to a node that is starting."""
    endpoint = free_endpoint()
    peers.append(NodeHarness(A, free_endpoint(), {B: endpoint}))
    peers[0].send(B, answer(b"early"))
    run_until(lambda: peers[0].network.links.peers)
    peers.append(NodeHarness(B, endpoint))
    run_until(lambda: peers[1].received)


def test_frame_for_another_node_is_refused(peers: list[NodeHarness]) -> None:
    """Guards against handling messages meant for a previous node."""
    sender, receiver = pair(peers)
    sender.network.seeds[NodeId("balancer/old")] = receiver.network.endpoint
    sender.send(NodeId("balancer/old"), answer(b"x"))
    run_until(lambda: receiver.metrics.counts["network.other_receiver"])
    assert receiver.received == []


HOSTILE = st.one_of(
    st.binary(max_size=200),
    st.binary(max_size=50).map(lambda tail: bytes([0x95, WIRE_VERSION]) + tail),
    st.integers(WIRE_VERSION + 1, 2**40).map(
        lambda version: msgspec.msgpack.encode([version, "a", "b", "c", []])
    ),
)
"""Random bytes, corrupted frames, and frames of another wire version."""


def refusals(peer: NodeHarness) -> int:
    counts = peer.metrics.counts
    return sum(counts[name] for name in counts if name.startswith("refused."))


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(frames=st.lists(HOSTILE, min_size=1, max_size=5))
def test_hostile_frames_are_counted_and_the_node_serves_on(
    peers: list[NodeHarness], frames: list[bytes]
) -> None:
    """Guards against invalid input that stops a node or is not counted."""
    if not peers:
        pair(peers)
    receiver, sender = peers
    before, served = refusals(receiver), len(receiver.received)
    endpoint = parse_endpoint(receiver.network.endpoint)
    assert endpoint is not None
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
        zmq.Context() as context,
        context.socket(zmq.DEALER) as link,
    ):
        link.connect(f"tcp://{receiver.network.endpoint}")
        for frame in frames:
            datagrams.sendto(frame, endpoint)
            link.send(frame)
        link.send_multipart([b"two", b"parts"])
        run_until(lambda: refusals(receiver) == before + 2 * len(frames) + 1)
    sender.send(B, answer(b"still"))
    run_until(lambda: len(receiver.received) == served + 1)


def test_oversized_input_is_counted(peers: list[NodeHarness]) -> None:
    """Guards against oversized input that fills memory or is not counted."""
    sender, receiver = pair(peers)
    endpoint = parse_endpoint(receiver.network.endpoint)
    assert endpoint is not None
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
        socket.create_connection(endpoint) as raw,
        zmq.Context() as context,
        context.socket(zmq.DEALER) as link,
    ):
        raw.sendall(b"GET / HTTP/1.1\r\n\r\n" * 1000)
        datagrams.sendto(b"x" * (MAX_DATAGRAM_BYTES + 1), endpoint)
        link.connect(f"tcp://{receiver.network.endpoint}")
        link.send(b"x" * (MAX_FRAME_BYTES + 1))
        run_until(lambda: receiver.metrics.counts["refused.frame_too_large"] == 2)
    sender.send(B, answer(b"still"))
    run_until(lambda: receiver.received)
