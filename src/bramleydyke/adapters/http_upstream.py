"""HTTP client of an agent, which sends requests to its upstream.

It is the local port ``local/upstream`` for HTTP services.
"""

from __future__ import annotations

import io
from typing import Any

from returns.result import Failure as ResultFailure, Success
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import FileBodyProducer
from twisted.web.http_headers import Headers

from bramleydyke.adapters.http_bodies import (
    BodyTooLargeError,
    failed_before_sending,
    new_agent,
    read_body,
)
from bramleydyke.adapters.http_payload import (
    MAX_BODY_BYTES,
    HttpRequest,
    HttpResponse,
    end_to_end_headers,
    pack,
    unpack_request,
)
from bramleydyke.adapters.logs import logger
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.messages import (
    Payload,
    RequestDone,
    RequestFailed,
    RequestShed,
    RunRequest,
    StopRequest,
)
from bramleydyke.ports import Counter, Deliver
from bramleydyke.types import LOCAL_UPSTREAM, RequestId

SHED_STATUS = 503
"""Status that means the request did not run, if ``Retry-After`` is set.

The request may then run at another upstream.
"""


class HttpUpstream:
    """Sends HTTP requests to one upstream and reports their results.

    Attributes:
        base_url: URL of the upstream, without a trailing slash.
        running: Deferreds of the requests in progress, by request id.
    """

    def __init__(
        self, *, reactor: Any, base_url: str, deliver: Deliver, count: Counter
    ) -> None:
        self.base_url = base_url.rstrip("/").encode()
        self.deliver = deliver
        self.count = count
        self.agent = new_agent(reactor)
        self.log = logger("upstream")
        self.running: dict[RequestId, Deferred[Any]] = {}

    def handle(self, payload: Payload) -> None:
        """Starts or cancels the request in the agent's message."""
        if isinstance(payload, RunRequest):
            self._run(payload)
        elif isinstance(payload, StopRequest):
            call = self.running.pop(payload.request_id, None)
            if call is not None:
                call.cancel()

    def close(self) -> None:
        """Cancels all requests, which closes their connections."""
        for call in list(self.running.values()):
            call.cancel()
        self.running.clear()

    def _run(self, message: RunRequest) -> None:
        match unpack_request(message.payload):
            case Success(request):
                self._call(message, request)
            case ResultFailure(kind):
                self.count(counter_name(kind))
                shed = RequestShed(request_id=message.request_id)
                self.deliver(LOCAL_UPSTREAM, shed)

    def _call(self, message: RunRequest, request: HttpRequest) -> None:
        request_id = message.request_id
        headers = Headers()
        for name, value in request.headers:
            headers.addRawHeader(name, value)
        headers.setRawHeaders(b"Request-Timeout", [f"{message.ttl:.3f}".encode()])
        headers.setRawHeaders(b"Request-Id", [request_id.encode()])
        body = FileBodyProducer(io.BytesIO(request.body)) if request.body else None
        call = self.agent.request(
            request.method, self.base_url + request.path, headers, body
        )
        self.running[request_id] = call
        call.addCallback(self._read_response)
        call.addCallbacks(
            lambda response: self._request_ended(
                request_id, call, _result_message(request_id, response)
            ),
            lambda failure: self._request_ended(
                request_id, call, self._failure_message(request_id, failure)
            ),
        )

    def _read_response(self, response: Any) -> Deferred[HttpResponse]:
        headers = end_to_end_headers(response.headers.getAllRawHeaders())
        if response.request.method == b"HEAD":
            # There is no body; the header gives the length that the body of a
            # GET response would have.
            lengths = response.headers.getRawHeaders(b"Content-Length", [])
            headers += tuple((b"Content-Length", value) for value in lengths)
        body = read_body(response, limit=MAX_BODY_BYTES)
        return body.addCallback(
            lambda data: HttpResponse(status=response.code, headers=headers, body=data)
        )

    def _failure_message(self, request_id: RequestId, failure: Failure) -> Payload:
        if failed_before_sending(failure):
            self.count("upstream.not_reached")
            return RequestShed(request_id=request_id)
        if failure.check(BodyTooLargeError):
            self.count(counter_name(ErrorKind.FRAME_TOO_LARGE))
        self.count("upstream.broken")
        extra = {"request": request_id, "error": failure.type.__name__}
        self.log.warning("upstream broke after sending", extra=extra)
        return RequestFailed(request_id=request_id)

    def _request_ended(
        self, request_id: RequestId, call: Deferred[Any], result: Payload
    ) -> None:
        """Delivers the result, unless the agent has cancelled the request."""
        if self.running.get(request_id) is call:
            del self.running[request_id]
            self.deliver(LOCAL_UPSTREAM, result)


def _result_message(request_id: RequestId, response: HttpResponse) -> Payload:
    names = {name.lower() for name, _ in response.headers}
    if response.status == SHED_STATUS and b"retry-after" in names:
        return RequestShed(request_id=request_id)
    return RequestDone(request_id=request_id, payload=pack(response))
