"""HTTP client of the platform's object API, which stores versioned values.

It is the local port ``local/platform`` of a node.
"""

from __future__ import annotations

import io
from typing import Any
from urllib.parse import quote

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.client import FileBodyProducer
from twisted.web.http_headers import Headers

from bramleydyke.adapters.http_bodies import failed_before_sending, new_agent, read_body
from bramleydyke.messages import Payload, PlatformRead, PlatformReply, PlatformWrite
from bramleydyke.ports import Clock, Deliver
from bramleydyke.types import LOCAL_PLATFORM, PlatformStatus

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value that the platform stores."""

WATCH_MARGIN_S = 2.0
"""Time added to the wait of a watch before its call times out.

The platform replies only at the end of the wait if nothing changes.
"""

_STATUS_BY_HTTP_CODE = {
    200: PlatformStatus.OK,
    304: PlatformStatus.OK,
    401: PlatformStatus.FORBIDDEN,
    403: PlatformStatus.FORBIDDEN,
    404: PlatformStatus.NOT_FOUND,
    409: PlatformStatus.CONFLICT,
    413: PlatformStatus.UNAVAILABLE,
    429: PlatformStatus.UNAVAILABLE,
    503: PlatformStatus.UNAVAILABLE,
}
"""Reply status by HTTP status code.

With any other code the outcome is unknown: a read gets ``UNAVAILABLE``, a
write ``LOST``.
"""


class PlatformClient:
    """Reads and writes objects of the platform for one node.

    Attributes:
        base_url: URL of the platform, without a trailing slash.
        credential: Bearer token that is sent with each call.
        calls: Calls in progress.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: Clock,
        base_url: str,
        credential: str,
        deliver: Deliver,
    ) -> None:
        self.clock = clock
        self.base_url = base_url.rstrip("/")
        self.credential = credential
        self.deliver = deliver
        self.agent = new_agent(reactor)
        self.calls: set[Deferred[Any]] = set()

    def handle(self, payload: Payload) -> None:
        """Makes the call in a role's message and delivers the reply."""
        if isinstance(payload, PlatformRead | PlatformWrite):
            self.call(payload).addCallback(
                lambda reply: self.deliver(LOCAL_PLATFORM, reply)
            )

    def call(self, message: PlatformRead | PlatformWrite) -> Deferred[PlatformReply]:
        """Makes a call.

        Returns:
            A Deferred of the reply. It never fails: errors and timeouts are
            given by the status of the reply.
        """
        if isinstance(message, PlatformWrite):
            return self._write(message)
        return self._read(message)

    def close(self) -> None:
        """Cancels all calls in progress."""
        for call in list(self.calls):
            call.cancel()

    def _read(self, message: PlatformRead) -> Deferred[PlatformReply]:
        limit = message.timeout
        if message.path.endswith("/"):
            url = f"{self.base_url}/list/{quote(message.path)}"
        else:
            url = f"{self.base_url}/objects/{quote(message.path)}"
        if message.after is not None:
            url += f"?after={message.after}&wait={message.timeout}"
            limit += WATCH_MARGIN_S
        status_if_unknown = PlatformStatus.UNAVAILABLE
        return self._request(b"GET", url, message, limit, status_if_unknown)

    def _write(self, message: PlatformWrite) -> Deferred[PlatformReply]:
        url = f"{self.base_url}/objects/{quote(message.path)}"
        status_if_unknown = PlatformStatus.LOST
        return self._request(b"PUT", url, message, message.timeout, status_if_unknown)

    def _request(
        self,
        method: bytes,
        url: str,
        message: PlatformRead | PlatformWrite,
        limit: float,
        status_if_unknown: PlatformStatus,
    ) -> Deferred[PlatformReply]:
        """Sends one HTTP request.

        Args:
            method: HTTP method.
            url: Complete URL of the object.
            message: The read or write to make.
            limit: Timeout of the call, in seconds.
            status_if_unknown: Status of the reply if the request may have
                been sent but its outcome is unknown.
        """
        bearer = f"Bearer {self.credential}".encode()
        headers = Headers({b"Authorization": [bearer]})
        body = None
        if isinstance(message, PlatformWrite):
            headers.setRawHeaders(b"If-Version", [str(message.expected).encode()])
            body = FileBodyProducer(io.BytesIO(message.value))
        call = self.agent.request(method, url.encode(), headers, body)
        call.addCallback(
            lambda response: _read_reply(response, message, status_if_unknown)
        )
        return self._with_timeout(call, message.call, limit, status_if_unknown)

    def _with_timeout(
        self,
        call: Deferred[PlatformReply],
        number: int,
        limit: float,
        status_if_unknown: PlatformStatus,
    ) -> Deferred[PlatformReply]:
        timer = self.clock.callLater(limit, call.cancel)
        self.calls.add(call)

        def finish(result: Any) -> Any:
            self.calls.discard(call)
            if timer.active():
                timer.cancel()
            if not isinstance(result, Failure):
                return result
            # A call cancelled while it is still connecting has sent nothing,
            # but Twisted raises the same error as after sending, so it counts
            # as possibly sent.
            unsent = failed_before_sending(result) and not result.check(CancelledError)
            status = PlatformStatus.UNAVAILABLE if unsent else status_if_unknown
            return PlatformReply(call=number, status=status)

        return call.addBoth(finish)


def _read_reply(
    response: Any,
    message: PlatformRead | PlatformWrite,
    status_if_unknown: PlatformStatus,
) -> Deferred[PlatformReply]:
    version = response.headers.getRawHeaders(b"Version", [b"0"])[0]
    status = _STATUS_BY_HTTP_CODE.get(response.code, status_if_unknown)
    has_value = isinstance(message, PlatformRead) or response.code == 409
    with_body = response.code in (200, 409) and has_value

    def build_reply(body: bytes) -> PlatformReply:
        return PlatformReply(
            call=message.call,
            status=status,
            version=int(version) if version.isdigit() else 0,
            value=body if with_body else None,
        )

    return read_body(response, limit=2 * MAX_VALUE_BYTES).addCallback(build_reply)
