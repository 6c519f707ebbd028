"""Serialises complete HTTP requests and responses with msgpack.

The result is the payload of messages between balancer and agent, which do not
interpret it.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from returns.result import Failure, Result, Success

from bramleydyke.constants import MAX_FRAME_BYTES
from bramleydyke.errors import ErrorKind

MAX_BODY_BYTES = MAX_FRAME_BYTES - 256 * 1024
"""Maximum body size; leaves room in a frame for headers and the message."""

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
"""Headers that apply to one connection only, in lower case.

``Content-Length`` is here because each connection sets it from the body.
"""

Headers = tuple[tuple[bytes, bytes], ...]
"""Pairs of name and value, in the order of the HTTP message."""


class HttpRequest(msgspec.Struct, frozen=True, array_like=True):
    """A caller's HTTP request without its hop-by-hop headers."""

    method: bytes
    path: bytes
    """Path and query string, as in the request line."""

    headers: Headers
    body: bytes


class HttpResponse(msgspec.Struct, frozen=True, array_like=True):
    """An upstream's HTTP response without its hop-by-hop headers."""

    status: int
    headers: Headers
    body: bytes


_ENCODER = msgspec.msgpack.Encoder()
_REQUEST_DECODER = msgspec.msgpack.Decoder(HttpRequest)
_RESPONSE_DECODER = msgspec.msgpack.Decoder(HttpResponse)


def pack(message: HttpRequest | HttpResponse) -> bytes:
    """Serialises a request or response."""
    return _ENCODER.encode(message)


def unpack_request(payload: bytes) -> Result[HttpRequest, ErrorKind]:
    """Deserialises a request; ``BAD_REQUEST`` if the payload is invalid."""
    try:
        return Success(_REQUEST_DECODER.decode(payload))
    except msgspec.DecodeError:
        return Failure(ErrorKind.BAD_REQUEST)


def unpack_response(payload: bytes) -> Result[HttpResponse, ErrorKind]:
    """Deserialises a response; ``UPSTREAM_FAILED`` if it is invalid."""
    try:
        return Success(_RESPONSE_DECODER.decode(payload))
    except msgspec.DecodeError:
        return Failure(ErrorKind.UPSTREAM_FAILED)


def end_to_end_headers(
    headers: Iterable[tuple[bytes, Iterable[bytes]]],
) -> Headers:
    """Returns the headers that a proxy forwards.

    Leaves out hop-by-hop headers: those in ``HOP_BY_HOP`` and those that the
    ``Connection`` header names (RFC 9110, section 7.6.1).

    Args:
        headers: Pairs of a name and all its values.
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
