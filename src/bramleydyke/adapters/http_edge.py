"""HTTP server of a balancer, which accepts the callers' requests.

It is the local port ``local/caller`` for HTTP services: it passes each
request to the balancer and returns the balancer's response to the caller.
"""

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
    HttpRequest,
    HttpResponse,
    end_to_end_headers,
    pack,
    unpack_response,
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
"""Idempotent methods (RFC 9110); other requests must not run twice."""

MAX_IDEMPOTENCY_KEY_BYTES = 256
"""Maximum length of an ``Idempotency-Key``; longer ones are rejected."""

KEEP_ALIVE_S = 60.0
"""Time after which a caller's idle connection is closed."""

RETRY_AFTER_S = 1
"""Value of ``Retry-After`` in responses with status 429 and 503.

The header allows whole seconds only.
"""

_INVALID_HTTP_RESPONSE = b"HTTP/1.1 400 "
"""Start of Twisted's own response to bytes that are not HTTP."""


@dataclass(frozen=True, slots=True)
class _RequestOptions:
    """Options for running a request, taken from its headers.

    Attributes:
        request_id: ``Idempotency-Key``, None if the caller gave none.
        first_attempt: True if ``Request-Attempt`` is 0; False if it is absent.
        timeout: ``Request-Timeout``, or the default, in seconds.
    """

    request_id: RequestId | None
    first_attempt: bool
    timeout: float


class _EdgeRequest(Request):
    """A request whose body size is checked while the body arrives.

    Attributes:
        body_bytes: Size of the body received so far.
    """

    body_bytes = 0

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Adds a part of the body.

        If the body exceeds ``MAX_BODY_BYTES``, answers with status 413 and
        closes the connection without waiting for the rest.
        """
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
        """Handles the complete request, unless its body was too large."""
        if self.body_bytes <= MAX_BODY_BYTES:
            super().process()


class EdgeSite(Site):
    """A Twisted site with a limited body size and without access log."""

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
        """Disables the access log; counters and JSON logs cover requests."""


class _CallerConnection(ProtocolWrapper):
    """A caller's connection that counts requests which are not valid HTTP.

    Twisted answers such requests itself; they are detected by its response.
    """

    def write(self, data: bytes) -> None:
        if data.startswith(_INVALID_HTTP_RESPONSE):
            self.factory.wrappedFactory.count(counter_name(ErrorKind.BAD_REQUEST))
        super().write(data)


class EdgeConnections(WrappingFactory):
    """Tracks all connections of one site, so that they can be closed."""

    noisy = False
    protocol = _CallerConnection

    def abort_all(self) -> None:
        """Resets all connections, as a crash of the process would."""
        for connection in list(self.protocols):
            connection.transport.abortConnection()

    def close_all(self) -> None:
        """Closes each connection once its pending output is sent."""
        for connection in list(self.protocols):
            connection.transport.loseConnection()


class HttpEdge:
    """Translates between HTTP requests and messages of one balancer.

    Each request gets a number that identifies it in the messages (their field
    ``caller``).

    Attributes:
        open_requests: Requests without a response yet, by number.
        draining: If True, each response closes its connection, so that the
            caller reconnects for its next request.
    """

    def __init__(self, *, deliver: Deliver, count: Counter) -> None:
        self.deliver = deliver
        self.count = count
        self.log = logger("callers")
        self.draining = False
        self.open_requests: dict[int, Request] = {}
        self._numbers = itertools.count(1)

    def connection_factory(
        self, address: ServiceAddress, *, reactor: Any
    ) -> EdgeConnections:
        """Returns a factory for the connections to a service address."""
        resource = _ServiceResource(self, address)
        return EdgeConnections(EdgeSite(resource, reactor=reactor, count=self.count))

    def request_received(self, request: Request, address: ServiceAddress) -> None:
        """Passes a caller's request to the balancer.

        A request with a malformed header is rejected with status 400. If the
        caller closes its connection before the response, the balancer gets
        ``RequestAbandoned``.
        """
        options = _request_options(request)
        if options is None:
            self.count(counter_name(ErrorKind.BAD_REQUEST))
            self._send_refusal(request, ErrorKind.BAD_REQUEST)
            return
        number = next(self._numbers)
        self.open_requests[number] = request
        request.notifyFinish().addErrback(lambda _: self._caller_disconnected(number))
        message = RequestArrived(
            caller=number,
            address=address,
            payload=pack(_http_request(request)),
            idempotent=request.method in IDEMPOTENT_METHODS,
            timeout=options.timeout,
            request_id=options.request_id,
            first_attempt=options.first_attempt,
        )
        self.deliver(LOCAL_CALLER, message)

    def handle(self, payload: Payload) -> None:
        """Sends a caller the response or refusal in a balancer's message.

        Other messages, and those for a caller that is no longer connected,
        are ignored.
        """
        if not isinstance(payload, AnswerCaller | RefuseCaller):
            return
        request = self.open_requests.pop(payload.caller, None)
        if request is None:
            return
        if isinstance(payload, RefuseCaller):
            self._send_refusal(request, payload.kind)
            return
        match unpack_response(payload.payload):
            case Success(response):
                self._send_response(request, response)
            case Failure(kind):
                self._send_refusal(request, kind)

    def _caller_disconnected(self, number: int) -> None:
        if self.open_requests.pop(number, None) is not None:
            self.deliver(LOCAL_CALLER, RequestAbandoned(caller=number))

    def _send_response(self, request: Request, response: HttpResponse) -> None:
        request.setResponseCode(response.status)
        for name in {name.lower() for name, _ in response.headers}:
            # The upstream's headers replace the defaults that Twisted sets,
            # Date and Server.
            request.responseHeaders.removeHeader(name)
        for name, value in response.headers:
            request.responseHeaders.addRawHeader(name, value)
        self._finish(request, response.body)

    def _send_refusal(self, request: Request, kind: ErrorKind) -> None:
        answer = ANSWERS[kind]
        self.log.debug("refused", extra=_log_fields(request) | {"kind": kind.value})
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

    def __init__(self, port: HttpEdge, address: ServiceAddress) -> None:
        super().__init__()
        self.port = port
        self.address = address

    def render(self, request: Request) -> int:
        """Passes on a request of any method; the response is sent later."""
        self.port.request_received(request, self.address)
        return NOT_DONE_YET


def _log_fields(request: Request) -> dict[str, str]:
    """Returns the log fields that identify a request."""
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
        headers=end_to_end_headers(request.requestHeaders.getAllRawHeaders()),
        body=request.content.read(),
    )


def _request_options(request: Request) -> _RequestOptions | None:
    """Parses the headers that set options; None if one is malformed."""
    key = request.getHeader(b"Idempotency-Key")
    timeout = _parse_timeout(request.getHeader(b"Request-Timeout"))
    attempt = request.getHeader(b"Request-Attempt")
    if timeout is None or (attempt is not None and not attempt.isdigit()):
        return None
    try:
        request_id = None if key is None else RequestId(key.decode("ascii"))
    except UnicodeDecodeError:
        return None
    if request_id is not None and not 0 < len(request_id) <= MAX_IDEMPOTENCY_KEY_BYTES:
        return None
    first = attempt is not None and int(attempt[:9]) == 0
    return _RequestOptions(request_id=request_id, first_attempt=first, timeout=timeout)


def _parse_timeout(value: bytes | None) -> float | None:
    """Parses a timeout header.

    Returns:
        Seconds, ``REQUEST_TIMEOUT_S`` if there is no header, or None if the
        value is not a positive finite number.
    """
    if value is None:
        return REQUEST_TIMEOUT_S
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None
