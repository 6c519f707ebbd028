"""Whole HTTP requests and answers as bytes.

They are the opaque payload of the messages between balancer and agent.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from returns.result import Failure, Result, Success

from bramleydyke.constants import MAX_FRAME_BYTES
from bramleydyke.errors import ErrorKind

MAX_BODY_BYTES = MAX_FRAME_BYTES - 256 * 1024
"""Largest body; the rest of a frame is for headers and the message."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers of one connection, in lower case; the length is set anew."""

Headers = tuple[tuple[bytes, bytes], ...]
"""Names and values, in the order of the message."""


class HttpRequest(msgspec.Struct, frozen=True, array_like=True):
    """A caller's request."""

    method: bytes
    path: bytes
    """Path and query."""

    headers: Headers
    body: bytes


class HttpAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An upstream's answer."""

    status: int
    headers: Headers
    body: bytes


_ENCODER = msgspec.msgpack.Encoder()
_REQUESTS = msgspec.msgpack.Decoder(HttpRequest)
_ANSWERS = msgspec.msgpack.Decoder(HttpAnswer)


def pack(message: HttpRequest | HttpAnswer) -> bytes:
    """Returns a request or answer as a payload."""
    return _ENCODER.encode(message)


def unpack_request(payload: bytes) -> Result[HttpRequest, ErrorKind]:
    """Returns the request in a payload."""
    try:
        return Success(_REQUESTS.decode(payload))
    except msgspec.DecodeError:
        return Failure(ErrorKind.BAD_REQUEST)


def unpack_answer(payload: bytes) -> Result[HttpAnswer, ErrorKind]:
    """Returns the answer in a payload."""
    try:
        return Success(_ANSWERS.decode(payload))
    except msgspec.DecodeError:
        return Failure(ErrorKind.UPSTREAM_FAILED)


def end_to_end(
    headers: Iterable[tuple[bytes, Iterable[bytes]]],
) -> Headers:
    """Returns the headers that travel with a message beyond one connection.

    Headers that ``Connection`` names belong to the connection as well.
    """
    listed = [(name, list(values)) for name, values in headers]
    named = {
        token.strip().lower()
        for name, values in listed
        if name.lower() == b"connection"
        for value in values
        for token in value.split(b",")
    }
    return tuple(
        (name, value)
        for name, values in listed
        if name.lower() not in HOP_BY_HOP | named
        for value in values
    )
