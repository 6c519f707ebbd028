"""HTTP side towards callers: the caller port of a balancer."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass
from typing import Any

import msgspec
from returns.result import Failure, Success
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from bramleydyke.adapters.http_payload import (
    MAX_BODY_BYTES,
    HttpAnswer,
    HttpRequest,
    end_to_end,
    pack,
    unpack_answer,
)
from bramleydyke.adapters.logs import logger
from bramleydyke.constants import REQUEST_TIMEOUT_S
from bramleydyke.errors import ANSWERS, ErrorKind, counter_name
from bramleydyke.messages import (
    AnswerCaller,
    Payload,
    RefuseCaller,
    RequestAbandoned,
    RequestArrived,
)
from bramleydyke.ports import Counter, Deliver
from bramleydyke.types import LOCAL_CALLER, RequestId, ServiceAddress

IDEMPOTENT_METHODS = frozenset(
    {b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE", b"TRACE"}
)
"""Methods whose requests may run twice, by RFC 9110."""

MAX_KEY_BYTES = 256
"""Longest ``Idempotency-Key``."""

KEEP_ALIVE_S = 60.0
"""Time after which an idle connection of a caller is closed."""

RETRY_AFTER_S = 1
"""Pause that refused callers are asked for; rounded up to whole seconds."""

_NOT_HTTP = b"HTTP/1.1 400 "
"""What twisted itself answers to bytes that are not a request."""


@dataclass(frozen=True, slots=True)
class _Terms:
    """What a request's headers say about how to run it."""

    request_id: RequestId | None
    first_attempt: bool
    timeout: float


class _EdgeRequest(Request):
    """A request whose body is bounded while it arrives."""

    body_bytes = 0

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Takes a part of the body; ends the connection if it is too much."""
        if self.body_bytes > MAX_BODY_BYTES:
            return
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES:
            self.channel.site.count(counter_name(ErrorKind.FRAME_TOO_LARGE))
            self.channel.writeSequence(
                [b"HTTP/1.1 413 Content Too Large\r\n", b"Content-Length: 0\r\n\r\n"]
            )
            self.channel.loseConnection()
            return
        super().handleContentChunk(data)

    def process(self) -> None:
        """Takes the whole request, unless its body was refused."""
        if self.body_bytes <= MAX_BODY_BYTES:
            super().process()


class EdgeSite(Site):
    """A site without access log, whose requests are bounded."""

    noisy = False

    def __init__(self, resource: Resource, *, reactor: Any, count: Counter) -> None:
        super().__init__(
            resource,
            requestFactory=_EdgeRequest,
            timeout=KEEP_ALIVE_S,
            reactor=reactor,
        )
        self.count = count

    def log(self, request: Request) -> None:
        """Writes nothing: counters and JSON lines tell of requests."""


class _Connection(ProtocolWrapper):
    """A caller's connection, which counts bytes that are not HTTP."""

    def write(self, data: bytes) -> None:
        if data.startswith(_NOT_HTTP):
            self.factory.wrappedFactory.count(counter_name(ErrorKind.BAD_REQUEST))
        super().write(data)


class EdgeConnections(WrappingFactory):
    """All connections of one site."""

    noisy = False
    protocol = _Connection

    def break_all(self) -> None:
        """Breaks all connections, as a crash does."""
        for connection in list(self.protocols):
            connection.transport.abortConnection()

    def close_all(self) -> None:
        """Closes all connections once what was written has left."""
        for connection in list(self.protocols):
            connection.transport.loseConnection()


class CallerPort:
    """Callers that wait for an answer at one balancer.

    Attributes:
        waiting: Request of each caller number.
        draining: True makes each answer close its connection.
    """

    def __init__(self, *, deliver: Deliver, count: Counter) -> None:
        self.deliver = deliver
        self.count = count
        self.log = logger("callers")
        self.draining = False
        self.waiting: dict[int, Request] = {}
        self._numbers = itertools.count(1)

    def connections(self, address: ServiceAddress, *, reactor: Any) -> EdgeConnections:
        """Returns what takes connections for a service address."""
        resource = _ServiceResource(self, address)
        return EdgeConnections(EdgeSite(resource, reactor=reactor, count=self.count))

    def arrived(self, request: Request, address: ServiceAddress) -> None:
        """Hands a caller's request to the balancer."""
        terms = _terms(request)
        if terms is None:
            self.count(counter_name(ErrorKind.BAD_REQUEST))
            self._refuse(request, ErrorKind.BAD_REQUEST)
            return
        number = next(self._numbers)
        self.waiting[number] = request
        request.notifyFinish().addErrback(lambda _: self._abandoned(number))
        message = RequestArrived(
            caller=number,
            address=address,
            payload=pack(_http_request(request)),
            idempotent=request.method in IDEMPOTENT_METHODS,
            timeout=terms.timeout,
            request_id=terms.request_id,
            first_attempt=terms.first_attempt,
        )
        self.deliver(LOCAL_CALLER, message)

    def take(self, payload: Payload) -> None:
        """Takes a message from the balancer to a caller."""
        if not isinstance(payload, AnswerCaller | RefuseCaller):
            return
        request = self.waiting.pop(payload.caller, None)
        if request is None:
            return
        if isinstance(payload, RefuseCaller):
            self._refuse(request, payload.kind)
            return
        match unpack_answer(payload.payload):
            case Success(answer):
                self._answer(request, answer)
            case Failure(kind):
                self._refuse(request, kind)

    def _abandoned(self, number: int) -> None:
        if self.waiting.pop(number, None) is not None:
            self.deliver(LOCAL_CALLER, RequestAbandoned(caller=number))

    def _answer(self, request: Request, answer: HttpAnswer) -> None:
        request.setResponseCode(answer.status)
        for name in {name.lower() for name, _ in answer.headers}:
            # The upstream's Date and Server replace those of this edge.
            request.responseHeaders.removeHeader(name)
        for name, value in answer.headers:
            request.responseHeaders.addRawHeader(name, value)
        self._finish(request, answer.body)

    def _refuse(self, request: Request, kind: ErrorKind) -> None:
        answer = ANSWERS[kind]
        self.log.debug("refused", extra=_ids(request) | {"kind": kind.value})
        request.setResponseCode(answer.http_status)
        request.setHeader(b"Bramleydyke-Outcome", answer.outcome.value.encode())
        request.setHeader(b"Content-Type", b"application/json")
        if answer.http_status in (429, 503):
            request.setHeader(b"Retry-After", str(RETRY_AFTER_S).encode())
        body = {
            "error": kind.value,
            "outcome": answer.outcome.value,
            "action": answer.action,
        }
        self._finish(request, msgspec.json.encode(body))

    def _finish(self, request: Request, body: bytes) -> None:
        if self.draining:
            request.setHeader(b"Connection", b"close")
        if request.method != b"HEAD":
            request.setHeader(b"Content-Length", str(len(body)).encode())
        request.write(body)
        request.finish()


class _ServiceResource(Resource):
    isLeaf = True  # noqa: N815 - name given by twisted

    def __init__(self, port: CallerPort, address: ServiceAddress) -> None:
        super().__init__()
        self.port = port
        self.address = address

    def render(self, request: Request) -> int:
        """Takes a request of any method."""
        self.port.arrived(request, self.address)
        return NOT_DONE_YET


def _ids(request: Request) -> dict[str, str]:
    """Returns what tells a request in the log."""
    key = request.getHeader(b"Idempotency-Key") or b""
    return {
        "request": key.decode("latin-1"),
        "path": request.uri.decode("latin-1"),
        "caller": str(request.getClientAddress().host),
    }


def _http_request(request: Request) -> HttpRequest:
    return HttpRequest(
        method=request.method,
        path=request.uri,
        headers=end_to_end(request.requestHeaders.getAllRawHeaders()),
        body=request.content.read(),
    )


def _terms(request: Request) -> _Terms | None:
    """Returns the terms in the headers, or None if one is malformed."""
    key = request.getHeader(b"Idempotency-Key")
    timeout = _seconds(request.getHeader(b"Request-Timeout"))
    attempt = request.getHeader(b"Request-Attempt")
    if timeout is None or (attempt is not None and not attempt.isdigit()):
        return None
    try:
        request_id = None if key is None else RequestId(key.decode("ascii"))
    except UnicodeDecodeError:
        return None
    if request_id is not None and not 0 < len(request_id) <= MAX_KEY_BYTES:
        return None
    first = attempt is not None and int(attempt[:9]) == 0
    return _Terms(request_id=request_id, first_attempt=first, timeout=timeout)


def _seconds(value: bytes | None) -> float | None:
    """Returns the seconds in a header, or None if it is malformed."""
    if value is None:
        return REQUEST_TIMEOUT_S
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None
