"""HTTP client for requests to the store and to other nodes.

It keeps connections open for reuse and gives each request its own timeout. It
parses HTTP with ``h11``, because importing Twisted's web client would double
the startup time of a process.
"""

from __future__ import annotations

from collections.abc import Callable
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

IDLE_CONNECTION_S = 8.0
"""Maximum idle time after which a connection is still reused."""

MAX_IDLE_CONNECTIONS = 4
"""Maximum number of idle connections kept open to one endpoint."""

ResponseCallback = Callable[[int | None, bytes], None]
"""Callback for the status code and body of a response.

The status is None if the request failed or its response was incomplete.
"""


class HttpConnection(Protocol):
    """A client connection that carries one request at a time.

    Attributes:
        idle: Callback for when the connection is ready for another request.
        lost: Callback for when the connection is closed.
        state: State of the HTTP protocol.
        on_response: Callback of the current request, None if there is none.
        timer: Timeout of the current request.
        status: Status code of the current response, 0 before it arrives.
        body: Parts of the current response body.
    """

    def __init__(
        self,
        *,
        idle: Callable[[HttpConnection], None],
        lost: Callable[[HttpConnection], None],
    ) -> None:
        self.idle = idle
        self.lost = lost
        self.state = h11.Connection(h11.CLIENT)
        self.on_response: ResponseCallback | None = None
        self.timer: DelayedCall | None = None
        self.status = 0
        self.body: list[bytes] = []

    def request(
        self,
        head: h11.Request,
        body: bytes | None,
        on_response: ResponseCallback,
        timer: DelayedCall,
    ) -> None:
        """Sends a request; the connection must be idle.

        Args:
            head: Request line and headers.
            body: Body of the request, if any.
            on_response: Called once, when the response is complete or the
                request has failed.
            timer: Timeout of the request, cancelled when it ends.
        """
        self.on_response = on_response
        self.timer = timer
        self.body.clear()
        events = [head] if body is None else [head, h11.Data(data=body)]
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
        """Finishes the current request, if any.

        The request fails, unless its response has no length: the end of the
        connection then marks the end of the body.
        """
        self.lost(self)
        if self.status and self._complete_at_close():
            self._finish(self.status)
        else:
            self._finish(None)

    def abort(self) -> None:
        """Resets the connection; the current request fails."""
        if self.transport is not None:
            self.transport.abortConnection()

    def _complete_at_close(self) -> bool:
        try:
            self.state.receive_data(b"")
            return isinstance(self.state.next_event(), h11.EndOfMessage)
        except h11.RemoteProtocolError:
            return False

    def _read(self) -> None:
        while True:
            event = self.state.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.Data):
                self.body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._response_complete()
                return
            else:
                return

    def _response_complete(self) -> None:
        status, self.status = self.status, 0
        reusable = (
            self.state.our_state is h11.DONE and self.state.their_state is h11.DONE
        )
        if reusable:
            self.state.start_next_cycle()
            self.idle(self)
        else:
            self.transport.loseConnection()
        self._finish(status)

    def _finish(self, status: int | None) -> None:
        on_response, self.on_response = self.on_response, None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if on_response is not None:
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
    """HTTP client with a pool of connections for each endpoint.

    Attributes:
        content_type: ``Content-Type`` of all request bodies.
        idle_connections: Idle connections by endpoint, each with the time
            at which it became idle.
    """

    def __init__(self, *, reactor: Any, clock: Clock, content_type: str) -> None:
        self.reactor = reactor
        self.clock = clock
        self.content_type = content_type
        self.idle_connections: dict[str, list[tuple[HttpConnection, float]]] = {}

    def request(
        self,
        method: str,
        endpoint: str,
        target: str,
        *,
        timeout_s: float,
        on_response: ResponseCallback,
        body: bytes | None = None,
    ) -> None:
        """Sends a request on an idle or new connection.

        A timeout closes the connection, because its peer may not be reachable
        any more.

        Args:
            method: HTTP method.
            endpoint: ``ip:port`` of the server.
            target: Path and query.
            timeout_s: Time limit for the complete response, in seconds. It
                starts when the connection is established.
            on_response: Called exactly once, with the response or with None.
            body: Body of the request, if any.
        """
        headers = [("Host", endpoint)]
        if body is not None:
            headers += [
                ("Content-Type", self.content_type),
                ("Content-Length", str(len(body))),
            ]
        head = h11.Request(method=method, target=target, headers=headers)
        reused = self._idle_connection(endpoint)
        if reused is not None:
            timer = self.clock.callLater(timeout_s, reused.abort)
            reused.request(head, body, on_response, timer)
            return
        self._connect(endpoint, head, body, timeout_s, on_response)

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self.idle_connections.values():
            for connection, _ in connections:
                connection.abort()
        self.idle_connections.clear()

    def _idle_connection(self, endpoint: str) -> HttpConnection | None:
        """Returns an idle connection to an endpoint, or None.

        Connections that have been idle for too long are closed, because the
        server may have closed them.
        """
        oldest = self.clock.seconds() - IDLE_CONNECTION_S
        connections = self.idle_connections.get(endpoint, [])
        while connections:
            connection, since = connections.pop()
            if since >= oldest:
                return connection
            connection.abort()
        return None

    def _connect(
        self,
        endpoint: str,
        head: h11.Request,
        body: bytes | None,
        timeout_s: float,
        on_response: ResponseCallback,
    ) -> None:
        address = parse_endpoint(endpoint)
        if address is None:
            on_response(None, b"")
            return

        def idle(connection: HttpConnection) -> None:
            waiting = self.idle_connections.setdefault(endpoint, [])
            if len(waiting) < MAX_IDLE_CONNECTIONS:
                waiting.append((connection, self.clock.seconds()))
            else:
                connection.abort()

        def lost(connection: HttpConnection) -> None:
            waiting = self.idle_connections.get(endpoint, [])
            self.idle_connections[endpoint] = [
                one for one in waiting if one[0] is not connection
            ]

        def connected() -> HttpConnection:
            connection = HttpConnection(idle=idle, lost=lost)
            timer = self.clock.callLater(timeout_s, connection.abort)
            connection.connectionMade = lambda: connection.request(  # type: ignore[method-assign]
                head, body, on_response, timer
            )
            return connection

        connect = _ConnectionFactory(connected, lambda: on_response(None, b""))
        self.reactor.connectTCP(*address, connect, timeout=CONNECT_TIMEOUT_S)
