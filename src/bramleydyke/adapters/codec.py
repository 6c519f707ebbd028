"""Encodes and decodes the frames that balancers and agents exchange.

A frame is a msgpack array: wire version, sender, the sender's endpoint,
receiver, message. Further elements are ignored, so that a newer version may
append some.
"""

from __future__ import annotations

import functools
import math
import typing
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from bramleydyke.constants import MAX_FRAME_BYTES, WIRE_VERSION
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import Envelope, Message, Payload
from bramleydyke.types import NodeId

LOCAL_MESSAGES = frozenset(
    {
        "RequestArrived",
        "RequestAbandoned",
        "AnswerCaller",
        "RefuseCaller",
        "RunRequest",
        "StopRequest",
        "RequestDone",
        "RequestShed",
        "RequestFailed",
        "PacketIn",
        "PacketOut",
        "PacketDeliver",
        "PacketAnswered",
        "ConnectionOpened",
        "OpenConnection",
        "ConnectionReady",
        "ConnectionData",
        "ConnectionWritten",
        "ConnectionEnd",
        "ConnectionAbort",
        "ConnectionPause",
        "PlatformRead",
        "PlatformWrite",
        "PlatformReply",
        "SetDrain",
        "Count",
    }
)
"""Messages between a role and the local ports of the same process.

A frame that carries one is rejected, because any peer could otherwise forge
the end of a request or a platform reply.
"""

DATAGRAM_MESSAGES = frozenset(
    {
        "PacketForward",
        "PacketReturn",
        "FlowHint",
        "FlowReset",
        "FlowProbe",
        "FlowAlive",
        "BacklogQuery",
        "BacklogReport",
        "IdleNotice",
        "Announcement",
        "Heartbeat",
        "HeartbeatReply",
        "MemberDigest",
        "MemberSummary",
        "MemberDelta",
        "SuspectQuery",
        "SuspectReply",
        "ConfigDigest",
        "DeltaRequest",
        "ConfigDelta",
        "DrainOrder",
        "DrainAck",
        "StatusQuery",
        "StatusReply",
    }
)
"""Messages sent over UDP if they fit in a datagram.

All other messages, and larger ones of these, are sent over a ZeroMQ link.
"""


class _Frame(msgspec.Struct, array_like=True, frozen=True):
    version: int
    sender: NodeId
    endpoint: str
    receiver: NodeId
    payload: msgspec.Raw


class _Header(msgspec.Struct, array_like=True, frozen=True):
    version: int


class ReceivedFrame(msgspec.Struct, frozen=True):
    """A decoded frame.

    Attributes:
        envelope: The message with its sender and receiver.
        endpoint: Endpoint at which the sender receives frames, as
            ``ip:port``. Taken from the frame, not from the socket.
    """

    envelope: Envelope
    endpoint: str


def _subclasses(base: type) -> list[type]:
    return [
        cls
        for direct in base.__subclasses__()
        for cls in [direct, *_subclasses(direct)]
    ]


@functools.cache
def remote_types() -> tuple[type, ...]:
    """Returns the types of all messages that other nodes may send.

    The result is cached, so all message modules must have been imported.
    """
    others = [cls for cls in typing.get_args(Payload) if cls is not Message]
    messages = [
        cls for cls in _subclasses(Message) if cls.__name__ not in LOCAL_MESSAGES
    ]
    return tuple(messages + others)


@functools.cache
def _payload_decoder() -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(typing.Union[remote_types()])  # noqa: UP007


@functools.cache
def _float_fields(cls: type) -> tuple[str, ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        name
        for name, hint in hints.items()
        if hint is float or float in typing.get_args(hint)
    )


_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER = msgspec.msgpack.Decoder(_Frame)
_HEADER_DECODER = msgspec.msgpack.Decoder(_Header)


def encode(envelope: Envelope, *, endpoint: str) -> Result[bytes, ErrorKind]:
    """Encodes a message as a frame.

    Args:
        envelope: The message with its sender and receiver.
        endpoint: Endpoint at which the sender receives frames, as
            ``ip:port``.

    Returns:
        The frame, or ``FRAME_TOO_LARGE`` if it exceeds ``MAX_FRAME_BYTES``.
    """
    frame = _ENCODER.encode(
        (WIRE_VERSION, envelope.sender, endpoint, envelope.receiver, envelope.payload)
    )
    if len(frame) > MAX_FRAME_BYTES:
        return Failure(ErrorKind.FRAME_TOO_LARGE)
    return Success(frame)


def decode(
    frame: bytes, *, max_bytes: int = MAX_FRAME_BYTES
) -> Result[ReceivedFrame, ErrorKind]:
    """Decodes a frame and validates its content.

    Args:
        frame: The bytes that were received.
        max_bytes: Size above which the frame is rejected.

    Returns:
        The message, or ``FRAME_TOO_LARGE``, ``BAD_VERSION`` or
        ``BAD_FRAME``. Never raises, whatever the bytes.
    """
    if len(frame) > max_bytes:
        return Failure(ErrorKind.FRAME_TOO_LARGE)
    try:
        decoded = _FRAME_DECODER.decode(frame)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Failure(_rejection_reason(frame))
    if decoded.version != WIRE_VERSION:
        return Failure(ErrorKind.BAD_VERSION)
    return _decode_payload(decoded)


def _rejection_reason(frame: bytes) -> ErrorKind:
    """Returns why a frame that does not decode is rejected.

    Another version may have another layout, so the version is decoded alone:
    ``BAD_VERSION`` if it differs from ours, otherwise ``BAD_FRAME``.
    """
    try:
        header = _HEADER_DECODER.decode(frame)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return ErrorKind.BAD_FRAME
    known = header.version == WIRE_VERSION
    return ErrorKind.BAD_FRAME if known else ErrorKind.BAD_VERSION


def _decode_payload(decoded: _Frame) -> Result[ReceivedFrame, ErrorKind]:
    if decoded.sender.startswith("local/") or parse_endpoint(decoded.endpoint) is None:
        return Failure(ErrorKind.BAD_FRAME)
    try:
        payload = _payload_decoder().decode(decoded.payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Failure(ErrorKind.BAD_FRAME)
    if not _floats_are_finite(payload):
        return Failure(ErrorKind.BAD_FRAME)
    envelope = Envelope(decoded.sender, decoded.receiver, payload)
    return Success(ReceivedFrame(envelope, decoded.endpoint))


def _floats_are_finite(payload: Payload) -> bool:
    """Returns whether no float field is NaN or infinite.

    Comparisons with NaN are always false, which would break the order of
    timers.
    """
    values = (getattr(payload, name) for name in _float_fields(type(payload)))
    return all(value is None or math.isfinite(value) for value in values)


def prefers_datagram(payload: Payload) -> bool:
    """Returns whether a message is sent over UDP if its frame fits."""
    return type(payload).__name__ in DATAGRAM_MESSAGES
