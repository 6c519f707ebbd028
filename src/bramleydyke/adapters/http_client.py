"""HTTP client for requests to the store and to other nodes.

Each request has a connection and a timeout of its own. On a connection that is
used again, a late copy of an earlier answer would count as the answer to the
next request: HTTP/1.1 has nothing that tells the two apart.

HTTP is parsed with ``h11``, because importing Twisted's web client would
double the startup time of a process.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import h11
from twisted.internet.protocol import ClientFactory, Protocol

from bramleydyke.endpoints import parse_endpoint
from bramleydyke.ports import Clock, DelayedCall

CONNECT_TIMEOUT_S = 0.3
"""Time limit for establishing a connection: several inter-region round trips.

A server whose accept queue is full, for example when many processes start at
once, drops the SYN packet, and the kernel retransmits it only after seconds.
With this limit the caller can retry sooner.
"""

ResponseCallback = Callable[[int | None, bytes], None]
"""Callback for the status code and body of a response.

The status is None if the request failed or its response was incomplete.
"""

HeadersCallback = Callable[[Mapping[str, str]], None]
"""Callback for the headers of a complete response, by lower-case name."""


def _ignore_headers(_: Mapping[str, str]) -> None:
    """Default ``HeadersCallback``."""


class HttpConnection(Protocol):
    """A client connection that carries a single request.

    Attributes:
        lost: Callback for when the connection is closed.
        head: Request line and headers.
        request_body: Body of the request, if any.
        on_response: Callback for the response; None once it was called.
        on_headers: Callback for the headers, called before ``on_response``.
        timer: Timeout of the request.
        state: State of the HTTP protocol.
        status: Status code of the response, 0 before it arrives.
        headers: Headers of the response, by lower-case name.
        body: Parts of the response body.
    """

    def __init__(
        self,
        *,
        head: h11.Request,
        request_body: bytes | None,
        on_response: ResponseCallback,
        on_headers: HeadersCallback,
        timer: DelayedCall,
        lost: Callable[[HttpConnection], None],
    ) -> None:
        self.head = head
        self.request_body = request_body
        self.on_response: ResponseCallback | None = on_response
        self.on_headers = on_headers
        self.timer = timer
        self.lost = lost
        self.state = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802 - twisted's name
        """Sends the request."""
        body = self.request_body
        events = [self.head] if body is None else [self.head, h11.Data(data=body)]
        data = b"".join(
            self.state.send(event) or b"" for event in [*events, h11.EndOfMessage()]
        )
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted's name
        """Parses the response; aborts the connection if it is not HTTP."""
        try:
            self.state.receive_data(data)
            self._read()
        except h11.RemoteProtocolError:
            self.abort()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Ends the request, if its response is not complete.

        The request fails, unless its response has no length: the end of the
        connection then marks the end of the body.
        """
        self.lost(self)
        complete = self.status and self._complete_at_close()
        self._finish(self.status if complete else None)

    def abort(self) -> None:
        """Resets the connection; the request fails."""
        if self.transport is not None:
            self.transport.abortConnection()

    def _complete_at_close(self) -> bool:
        try:
            self.state.receive_data(b"")
            return isinstance(self.state.next_event(), h11.EndOfMessage)
        except h11.RemoteProtocolError:
            return False

    def _read(self) -> None:
        while self.on_response is not None:
            event = self.state.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = {
                    name.decode("ascii"): value.decode("ascii", "replace")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                self.body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.transport.loseConnection()
                self._finish(self.status)
            else:
                return

    def _finish(self, status: int | None) -> None:
        on_response, self.on_response = self.on_response, None
        if self.timer.active():
            self.timer.cancel()
        if on_response is not None:
            if status is not None:
                self.on_headers(self.headers)
            on_response(status, b"".join(self.body))


class _ConnectionFactory(ClientFactory):
    """Factory for a single connection that reports a failure to connect."""

    noisy = False

    def __init__(
        self, make: Callable[[], HttpConnection], failed: Callable[[], None]
    ) -> None:
        self.make = make
        self.failed = failed

    def buildProtocol(self, address: Any) -> HttpConnection:  # noqa: N802
        """Creates the protocol once the connection is established."""
        return self.make()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Calls ``failed`` when the connection was refused or timed out."""
        self.failed()


class HttpClient:
    """HTTP client that opens a connection for each request.

    Attributes:
        content_type: ``Content-Type`` of all request bodies.
        connections: Open connections.
    """

    def __init__(self, *, reactor: Any, clock: Clock, content_type: str) -> None:
        self.reactor = reactor
        self.clock = clock
        self.content_type = content_type
        self.connections: set[HttpConnection] = set()

    def request(
        self,
        method: str,
        endpoint: str,
        target: str,
        *,
        timeout_s: float,
        on_response: ResponseCallback,
        on_headers: HeadersCallback = _ignore_headers,
        body: bytes | None = None,
    ) -> None:
        """Sends a request.

        Args:
            method: HTTP method.
            endpoint: ``ip:port`` of the server.
            target: Path and query.
            timeout_s: Time limit for the complete response, in seconds. It
                starts when the connection is established.
            on_response: Called exactly once, with the response or with None.
            on_headers: Called with the headers of a complete response, before
                ``on_response``.
            body: Body of the request, if any.
        """
        address = parse_endpoint(endpoint)
        if address is None:
            on_response(None, b"")
            return
        headers = [("Host", endpoint), ("Connection", "close")]
        if body is not None:
            headers += [
                ("Content-Type", self.content_type),
                ("Content-Length", str(len(body))),
            ]
        head = h11.Request(method=method, target=target, headers=headers)

        def connected() -> HttpConnection:
            connection = HttpConnection(
                head=head,
                request_body=body,
                on_response=on_response,
                on_headers=on_headers,
                timer=self.clock.callLater(timeout_s, lambda: connection.abort()),
                lost=self.connections.discard,
            )
            self.connections.add(connection)
            return connection

        connect = _ConnectionFactory(connected, lambda: on_response(None, b""))
        self.reactor.connectTCP(*address, connect, timeout=CONNECT_TIMEOUT_S)

    def close(self) -> None:
        """Resets all connections; their requests fail."""
        for connection in list(self.connections):
            connection.abort()
