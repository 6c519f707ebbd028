"""TCP proxy that delays or drops data, or resets connections to the store."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol


class Mode(Enum):
    """How the proxy treats connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    """Data is dropped in both directions; connections stay open."""

    ONE_WAY = "one_way"
    """Data from the server is dropped; data to the server is forwarded."""

    REFUSE = "refuse"
    """Open connections are reset, and new ones as soon as they open."""


class StoreProxy:
    """Proxy between one node and the store.

    A connection whose data was dropped once stays that way after the mode
    changes, since bytes are missing from its stream. The node has to connect
    again.
    """

    def __init__(
        self, reactor: Any, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self.reactor = reactor
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.connections: set[_NodeConnection] = set()
        factory = Factory.forProtocol(lambda: _NodeConnection(self))
        factory.noisy = False
        self.port = reactor.listenTCP(listen[1], factory, interface=listen[0])

    def set_mode(self, mode: Mode, *, delay_s: float = 0.0) -> None:
        """Changes the mode of open and new connections.

        Args:
            mode: How connections are treated from now on.
            delay_s: Delay of all data in ``Mode.DELAY``, in seconds.
        """
        self.mode = mode
        self.delay_s = delay_s
        for connection in list(self.connections):
            connection.drops_all |= mode is Mode.SILENT
            connection.drops_replies |= mode is Mode.ONE_WAY
            if mode is Mode.REFUSE:
                connection.transport.abortConnection()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self.port.stopListening()
        self.set_mode(Mode.REFUSE)

    def forward_later(self, write: Callable[[], None]) -> None:
        """Calls a function that forwards data, delayed in ``Mode.DELAY``."""
        if self.mode is Mode.DELAY:
            self.reactor.callLater(self.delay_s, write)
        else:
            write()


class _NodeConnection(Protocol):
    def __init__(self, proxy: StoreProxy) -> None:
        self.proxy = proxy
        self.store_connection: _StoreConnection | None = None
        self.buffered: list[bytes] = []
        self.drops_all = proxy.mode is Mode.SILENT
        self.drops_replies = proxy.mode is Mode.ONE_WAY

    def connectionMade(self) -> None:  # noqa: N802
        if self.proxy.mode is Mode.REFUSE:
            self.transport.abortConnection()
            return
        self.proxy.connections.add(self)
        self.proxy.reactor.connectTCP(*self.proxy.target, _StoreConnectionFactory(self))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.drops_all:
            self.proxy.forward_later(lambda: self.forward(data))

    def forward(self, data: bytes) -> None:
        if self.store_connection is None:
            self.buffered.append(data)
        else:
            self.store_connection.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.proxy.connections.discard(self)
        if self.store_connection is not None:
            self.store_connection.transport.abortConnection()


class _StoreConnection(Protocol):
    def __init__(self, node_connection: _NodeConnection) -> None:
        self.node_connection = node_connection

    def connectionMade(self) -> None:  # noqa: N802
        self.node_connection.store_connection = self
        for data in self.node_connection.buffered:
            self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not (self.node_connection.drops_all or self.node_connection.drops_replies):
            self.node_connection.proxy.forward_later(
                lambda: self.node_connection.transport.write(data)
            )

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if not self.node_connection.drops_all:
            self.node_connection.transport.loseConnection()


class _StoreConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, node_connection: _NodeConnection) -> None:
        self.node_connection = node_connection

    def buildProtocol(self, address: Any) -> _StoreConnection:  # noqa: N802
        return _StoreConnection(self.node_connection)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self.node_connection.transport.abortConnection()
