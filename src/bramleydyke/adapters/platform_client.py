"""Client of the platform's object API: the platform port of a node."""

from __future__ import annotations

import io
from typing import Any
from urllib.parse import quote

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.client import FileBodyProducer
from twisted.web.http_headers import Headers

from bramleydyke.adapters.http_bodies import new_agent, not_sent, read_body
from bramleydyke.messages import Payload, PlatformRead, PlatformReply, PlatformWrite
from bramleydyke.ports import Clock, Deliver
from bramleydyke.types import LOCAL_PLATFORM, PlatformStatus

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the platform stores."""

WATCH_MARGIN_S = 2.0
"""Time beyond a watch's wait until its reply is taken for lost."""

_STATUS = {
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
"""Status of each HTTP code; another code leaves the outcome open."""


class PlatformClient:
    """Calls of one node to the platform.

    Attributes:
        calls: Calls that have not ended.
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

    def take(self, payload: Payload) -> None:
        """Takes a call; its reply goes to the platform port's owner."""
        if isinstance(payload, PlatformRead | PlatformWrite):
            self.call(payload).addCallback(
                lambda reply: self.deliver(LOCAL_PLATFORM, reply)
            )

    def call(self, message: PlatformRead | PlatformWrite) -> Deferred[PlatformReply]:
        """Makes a call; the result never fails."""
        if isinstance(message, PlatformWrite):
            return self._write(message)
        return self._read(message)

    def close(self) -> None:
        """Breaks off all calls."""
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
        unfinished = PlatformStatus.UNAVAILABLE
        return self._request(b"GET", url, message, limit, unfinished)

    def _write(self, message: PlatformWrite) -> Deferred[PlatformReply]:
        url = f"{self.base_url}/objects/{quote(message.path)}"
        unfinished = PlatformStatus.LOST
        return self._request(b"PUT", url, message, message.timeout, unfinished)

    def _request(
        self,
        method: bytes,
        url: str,
        message: PlatformRead | PlatformWrite,
        limit: float,
        unfinished: PlatformStatus,
    ) -> Deferred[PlatformReply]:
        """Makes one HTTP call.

        Args:
            method: HTTP method.
            url: Whole address of the object.
            message: The call.
            limit: Seconds until the call is broken off.
            unfinished: Status if the call was sent and no reply came.
        """
        bearer = f"Bearer {self.credential}".encode()
        headers = Headers({b"Authorization": [bearer]})
        body = None
        if isinstance(message, PlatformWrite):
            headers.setRawHeaders(b"If-Version", [str(message.expected).encode()])
            body = FileBodyProducer(io.BytesIO(message.value))
        call = self.agent.request(method, url.encode(), headers, body)
        call.addCallback(lambda response: _reply(response, message, unfinished))
        return self._bounded(call, message.call, limit, unfinished)

    def _bounded(
        self,
        call: Deferred[PlatformReply],
        number: int,
        limit: float,
        unfinished: PlatformStatus,
    ) -> Deferred[PlatformReply]:
        timer = self.clock.callLater(limit, call.cancel)
        self.calls.add(call)

        def ended(result: Any) -> Any:
            self.calls.discard(call)
            if timer.active():
                timer.cancel()
            if not isinstance(result, Failure):
                return result
            # A call that is cancelled while it connects has sent nothing,
            # but twisted reports that with the same error as a later one.
            unsent = not_sent(result) and not result.check(CancelledError)
            status = PlatformStatus.UNAVAILABLE if unsent else unfinished
            return PlatformReply(call=number, status=status)

        return call.addBoth(ended)


def _reply(
    response: Any,
    message: PlatformRead | PlatformWrite,
    unfinished: PlatformStatus,
) -> Deferred[PlatformReply]:
    version = response.headers.getRawHeaders(b"Version", [b"0"])[0]
    status = _STATUS.get(response.code, unfinished)
    has_value = isinstance(message, PlatformRead) or response.code == 409
    with_body = response.code in (200, 409) and has_value

    def whole(body: bytes) -> PlatformReply:
        return PlatformReply(
            call=message.call,
            status=status,
            version=int(version) if version.isdigit() else 0,
            value=body if with_body else None,
        )

    return read_body(response, limit=2 * MAX_VALUE_BYTES).addCallback(whole)
