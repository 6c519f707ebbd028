"""Small HTTP server for health checks, upstream reports and metrics.

Other nodes send requests to it as well.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, NamedTuple

import h11
from twisted.internet.protocol import Factory, Protocol

from bramleydyke.endpoints import parse_endpoint

MAX_BODY_BYTES = 65_536
"""Maximum size of a request body; reports take a few hundred bytes."""


class HttpReply(NamedTuple):
    """Response to a request: status code, body, media type, other headers."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


class DeferredReply:
    """Response that becomes available after the handler has returned.

    The handler returns it and calls it later with the actual response.

    Attributes:
        reply: The response, None until it is available.
        send: Function that sends the response, set by the server.
    """

    def __init__(self) -> None:
        self.reply: HttpReply | None = None
        self.send: Callable[[HttpReply], None] | None = None

    def __call__(self, reply: HttpReply) -> None:
        """Provides the response; it is sent once ``send`` is set."""
        self.reply = reply
        if self.send is not None:
            self.send(reply)

    def send_with(self, send: Callable[[HttpReply], None]) -> None:
        """Sets ``send`` and calls it as soon as the response is available."""
        self.send = send
        if self.reply is not None:
            send(self.reply)


Handler = Callable[[str, str, bytes], HttpReply | DeferredReply]
"""Function that answers a request, given method, target and body."""


class _HttpServerProtocol(Protocol):
    """Handles the requests of one connection, one after another."""

    def __init__(self, handler: Handler, connections: set[_HttpServerProtocol]) -> None:
        self.handler = handler
        self.connections = connections
        self.state = h11.Connection(h11.SERVER)
        self.head: h11.Request | None = None
        self.body: list[bytes] = []
        self.open = True

    def connectionMade(self) -> None:  # noqa: N802 - name given by twisted
        """Adds this connection to the listener's open connections."""
        self.connections.add(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 - twisted
        """Removes this connection; responses to it are dropped from now on."""
        self.open = False
        self.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted's name
        """Parses requests; rejects invalid HTTP and closes the connection."""
        try:
            self.state.receive_data(data)
            self._read()
        except h11.RemoteProtocolError as error:
            if self.state.our_state is h11.IDLE:
                self._send(HttpReply(error.error_status_hint))
            self.transport.loseConnection()

    def _read(self) -> None:
        while self.open:
            event = self.state.next_event()
            if isinstance(event, h11.Request):
                self.head = event
                self.body.clear()
            elif isinstance(event, h11.Data):
                self.body.append(bytes(event.data))
                if sum(map(len, self.body)) > MAX_BODY_BYTES:
                    self._send(HttpReply(413))
                    self.transport.loseConnection()
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._handle()
            else:
                return

    def _handle(self) -> None:
        assert self.head is not None
        target = self.head.target.decode("ascii", "replace")
        method = self.head.method.decode("ascii")
        reply = self.handler(method, target, b"".join(self.body))
        if isinstance(reply, DeferredReply):
            reply.send_with(self._send_deferred)
        else:
            self._send(reply)
            self._next_request()

    def _send_deferred(self, reply: HttpReply) -> None:
        if self.open:
            self._send(reply)
            self._next_request()
            self._read()

    def _send(self, reply: HttpReply) -> None:
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
            *reply.headers,
        ]
        events = [
            h11.Response(status_code=reply.status, headers=headers),
            h11.Data(data=reply.body),
            h11.EndOfMessage(),
        ]
        self.transport.write(b"".join(self.state.send(e) or b"" for e in events))

    def _next_request(self) -> None:
        if self.state.our_state is h11.DONE and self.state.their_state is h11.DONE:
            self.state.start_next_cycle()
        else:
            self.transport.loseConnection()


class _HttpFactory(Factory):
    noisy = False

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections: set[_HttpServerProtocol] = set()

    def buildProtocol(self, address: Any) -> _HttpServerProtocol:  # noqa: N802 - twisted
        """Creates the protocol of an accepted connection."""
        return _HttpServerProtocol(self.handler, self.connections)


class HttpListener(NamedTuple):
    """A listening port and its open connections."""

    port: Any
    connections: set[_HttpServerProtocol]

    def close(self) -> None:
        """Stops listening and resets the open connections."""
        self.port.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()


def listen_http(
    reactor: Any,
    endpoint: str,
    handler: Handler,
    *,
    early: socket.socket | None = None,
) -> HttpListener:
    """Listens for HTTP requests at ``ip:port``.

    Args:
        reactor: Twisted's reactor.
        endpoint: Address to listen on, as ``ip:port``.
        handler: Called with each request.
        early: Socket that listens on the endpoint already (see
            ``early_sockets``), if any. It is duplicated and closed.
    """
    factory = _HttpFactory(handler)
    if early is not None:
        port = reactor.adoptStreamPort(early.fileno(), socket.AF_INET, factory)
        early.close()
        return HttpListener(port, factory.connections)
    address = parse_endpoint(endpoint)
    assert address is not None, endpoint
    port = reactor.listenTCP(address[1], factory, interface=address[0])
    return HttpListener(port, factory.connections)
