"""HTTP calls to the store and to other nodes, each with its own timeout.

``h11`` reads and writes the messages. Twisted's web client would double the
time that a process takes to start.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.protocol import ClientFactory, Protocol

from bramleydyke.endpoints import parse_endpoint
from bramleydyke.ports import Clock, DelayedCall

CONNECT_TIMEOUT_S = 0.3
"""Wait for a connection, several round trips between regions.

A server whose queue is full, as when many processes start at once, drops the
first packet, and the kernel repeats it only after seconds.
"""

IDLE_CONNECTION_S = 8.0
"""Time for which an unused connection is kept."""

MAX_IDLE_CONNECTIONS = 4
"""Unused connections that are kept to one endpoint."""

Done = Callable[[int | None, bytes], None]
"""Takes the status and body; the status is None if no whole answer came."""


class HttpConnection(Protocol):
    """A connection that makes one call at a time.

    Attributes:
        idle: Called when the connection may make another call.
        lost: Called when the connection has ended.
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
        self.done: Done | None = None
        self.timer: DelayedCall | None = None
        self.status = 0
        self.body: list[bytes] = []

    def request(
        self, head: h11.Request, body: bytes | None, done: Done, timer: DelayedCall
    ) -> None:
        """Makes a call."""
        self.done = done
        self.timer = timer
        self.body.clear()
        events = [head] if body is None else [head, h11.Data(data=body)]
        data = b"".join(
            self.state.send(event) or b"" for event in [*events, h11.EndOfMessage()]
        )
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted's name
        """Reads the answer."""
        try:
            self.state.receive_data(data)
            self._read()
        except h11.RemoteProtocolError:
            self.abort()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Ends the call that is being made, if there is one."""
        self.lost(self)
        if self.status and self._ends_with_connection():
            self._finish(self.status)
        else:
            self._finish(None)

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abortConnection()

    def _ends_with_connection(self) -> bool:
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
                self._answered()
                return
            else:
                return

    def _answered(self) -> None:
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
        done, self.done = self.done, None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if done is not None:
            done(status, b"".join(self.body))


class _Connect(ClientFactory):
    """Makes one connection and reports if that fails."""

    noisy = False

    def __init__(
        self, make: Callable[[], HttpConnection], failed: Callable[[], None]
    ) -> None:
        self.make = make
        self.failed = failed

    def buildProtocol(self, address: Any) -> HttpConnection:  # noqa: N802
        """Returns the protocol of the connection."""
        return self.make()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Reports that there is no connection."""
        self.failed()


class HttpCalls:
    """HTTP client that keeps connections.

    Attributes:
        content_type: Sent with each body.
        unused: Connections that wait for a call, by endpoint.
    """

    def __init__(self, *, reactor: Any, clock: Clock, content_type: str) -> None:
        self.reactor = reactor
        self.clock = clock
        self.content_type = content_type
        self.unused: dict[str, list[tuple[HttpConnection, float]]] = {}

    def call(
        self,
        method: str,
        endpoint: str,
        target: str,
        *,
        timeout_s: float,
        done: Done,
        body: bytes | None = None,
    ) -> None:
        """Makes a call; ``done`` is called once.

        A connection whose answer is overdue may have gone silent, so it is
        closed.

        Args:
            method: HTTP method.
            endpoint: ``ip:port`` of the server.
            target: Path and query.
            timeout_s: Longest wait for the whole answer, in seconds.
            done: Takes the answer.
            body: Body of the request, if any.
        """
        headers = [("Host", endpoint)]
        if body is not None:
            headers += [
                ("Content-Type", self.content_type),
                ("Content-Length", str(len(body))),
            ]
        head = h11.Request(method=method, target=target, headers=headers)
        kept = self._kept(endpoint)
        if kept is not None:
            timer = self.clock.callLater(timeout_s, kept.abort)
            kept.request(head, body, done, timer)
            return
        self._connect(endpoint, head, body, timeout_s, done)

    def close(self) -> None:
        """Closes the connections that wait for a call."""
        for connections in self.unused.values():
            for connection, _ in connections:
                connection.abort()
        self.unused.clear()

    def _kept(self, endpoint: str) -> HttpConnection | None:
        """Returns a connection that is young enough to be open."""
        oldest = self.clock.seconds() - IDLE_CONNECTION_S
        connections = self.unused.get(endpoint, [])
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
        done: Done,
    ) -> None:
        address = parse_endpoint(endpoint)
        if address is None:
            done(None, b"")
            return

        def idle(connection: HttpConnection) -> None:
            waiting = self.unused.setdefault(endpoint, [])
            if len(waiting) < MAX_IDLE_CONNECTIONS:
                waiting.append((connection, self.clock.seconds()))
            else:
                connection.abort()

        def lost(connection: HttpConnection) -> None:
            waiting = self.unused.get(endpoint, [])
            self.unused[endpoint] = [one for one in waiting if one[0] is not connection]

        def connected() -> HttpConnection:
            connection = HttpConnection(idle=idle, lost=lost)
            timer = self.clock.callLater(timeout_s, connection.abort)
            connection.connectionMade = lambda: connection.request(  # type: ignore[method-assign]
                head, body, done, timer
            )
            return connection

        connect = _Connect(connected, lambda: done(None, b""))
        self.reactor.connectTCP(*address, connect, timeout=CONNECT_TIMEOUT_S)
