"""Tests of the frame codec: round trips, and rejection of invalid frames."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from bramleydyke.adapters.codec import (
    DATAGRAM_MESSAGES,
    LOCAL_MESSAGES,
    ReceivedFrame,
    decode,
    encode,
    remote_types,
)
from bramleydyke.constants import MAX_FRAME_BYTES, WIRE_VERSION
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import (
    CancelRequest,
    Envelope,
    Message,
    Offer,
    Payload,
    RequestDone,
)
from bramleydyke.types import Generation, Incarnation, NodeId, PartnerId, RequestId

ENDPOINT = "127.0.0.1:7001"
CANCEL = CancelRequest(
    request_id=RequestId("r"), placement=1, ask=2, incarnation=Incarnation(3)
)
LINK_MESSAGES = frozenset(
    {
        "Offer",
        "CancelRequest",
        "Accepted",
        "Refusal",
        "Answer",
        "Cancelled",
        "RecordQuery",
        "RecordReply",
        "StreamOpen",
        "StreamOpened",
        "StreamData",
        "StreamAck",
        "StreamClose",
        "StreamReset",
    }
)
"""Messages that are sent over a link whatever their size."""

REFUSALS = {ErrorKind.BAD_FRAME, ErrorKind.BAD_VERSION, ErrorKind.FRAME_TOO_LARGE}


def offer(**fields: object) -> Offer:
    values = {
        "request_id": "r",
        "placement": 1,
        "ask": 1,
        "partner_id": PartnerId("p"),
        "service_id": "p/s",
        "generation": Generation(1),
        "incarnation": Incarnation(1),
        "idempotent": True,
        "keyed": False,
        "first_attempt": False,
        "ttl": 1.0,
        "backlog_limit": None,
        "payload": b"x",
    }
    return Offer(**values | fields)


def frame(payload: Payload, *, version: int = WIRE_VERSION, sender: str = "a") -> bytes:
    return msgspec.msgpack.encode((version, sender, ENDPOINT, "balancer/b", payload))


def test_message_round_trip() -> None:
    """Guards against a field that is lost when a message is encoded."""
    envelope = Envelope(NodeId("agent/x"), NodeId("balancer/b"), offer())
    data = encode(envelope, endpoint=ENDPOINT).unwrap()
    assert decode(data) == Success(ReceivedFrame(envelope, ENDPOINT))


def test_unknown_trailing_fields_are_skipped() -> None:
    """Guards against a frame of a newer process that an older one rejects."""
    tagged = [*msgspec.msgpack.decode(msgspec.msgpack.encode(CANCEL)), "new field"]
    elements = [WIRE_VERSION, "a", ENDPOINT, "balancer/b", tagged, "new element"]
    assert decode(msgspec.msgpack.encode(elements)).unwrap().envelope.payload == CANCEL


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"", ErrorKind.BAD_FRAME),
        (frame(CANCEL)[:-1], ErrorKind.BAD_FRAME),
        (frame(CANCEL, version=WIRE_VERSION + 1), ErrorKind.BAD_VERSION),
        (msgspec.msgpack.encode([99, {"other": "layout"}]), ErrorKind.BAD_VERSION),
        (b"\0" * (MAX_FRAME_BYTES + 1), ErrorKind.FRAME_TOO_LARGE),
        (frame(offer(ttl=float("nan"))), ErrorKind.BAD_FRAME),
        (frame(offer(backlog_limit=float("inf"))), ErrorKind.BAD_FRAME),
        (frame(CANCEL, sender="local/upstream"), ErrorKind.BAD_FRAME),
    ],
    ids=["empty", "cut", "newer", "layout", "large", "nan", "infinite", "local"],
)
def test_bad_frames_are_refused_by_kind(data: bytes, kind: ErrorKind) -> None:
    """Guards against an invalid frame that is accepted or counted wrongly."""
    assert decode(data) == Failure(kind)


def test_messages_of_local_ports_are_refused() -> None:
    """Guards against a peer that forges the result of a request."""
    forged = RequestDone(request_id=RequestId("r"), payload=b"")
    assert decode(frame(forged)) == Failure(ErrorKind.BAD_FRAME)


def test_every_message_has_one_transport() -> None:
    """Guards against a new message without a transport.

    Each message is either local to a process, sent over a link, or sent over
    UDP. A local message that peers may send could be forged.
    """
    remote = {cls.__name__ for cls in remote_types()}
    assert remote == LINK_MESSAGES | DATAGRAM_MESSAGES
    assert not LINK_MESSAGES & DATAGRAM_MESSAGES
    assert not LOCAL_MESSAGES & (LINK_MESSAGES | DATAGRAM_MESSAGES)
    assert {cls.__name__ for cls in Message.__subclasses__()} >= LOCAL_MESSAGES


def test_oversized_message_is_not_encoded() -> None:
    """Guards against sending a frame that every receiver would reject."""
    big = Envelope(NodeId("a"), NodeId("b"), offer(payload=b"x" * MAX_FRAME_BYTES))
    assert encode(big, endpoint=ENDPOINT) == Failure(ErrorKind.FRAME_TOO_LARGE)


@pytest.mark.parametrize("text", ["", ":", "a:1", "127.0.0.1:0", "1.2.3.4:65536", "²"])
def test_bad_endpoints_are_refused(text: str) -> None:
    """Guards against connecting to an invalid endpoint that a peer sent."""
    assert parse_endpoint(text) is None


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=300))
def test_random_bytes_never_pass_or_raise(data: bytes) -> None:
    """Guards against random bytes that raise an exception or are accepted."""
    assert decode(data).failure() in REFUSALS


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 200), st.integers(0, 255), st.integers(0, 200))
def test_damaged_frames_decode_or_are_refused(at: int, byte: int, cut: int) -> None:
    """Guards against a corrupted frame that raises an exception."""
    data = bytearray(frame(offer()))
    data[at % len(data)] = byte
    result = decode(bytes(data[: len(data) - cut % 3]))
    assert isinstance(result, Success) or result.failure() in REFUSALS
