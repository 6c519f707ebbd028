"""TCP proxy that delays, drops or resets connections to the store."""

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
    """Data from the server is dropped; data to it passes."""

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
        self.pairs: set[_Inbound] = set()
        factory = Factory.forProtocol(lambda: _Inbound(self))
        factory.noisy = False
        self.port = reactor.listenTCP(listen[1], factory, interface=listen[0])

    def set(self, mode: Mode, *, delay_s: float = 0.0) -> None:
        """Changes the mode of open and new connections.

        Args:
            mode: How connections are treated from now on.
            delay_s: Delay of all data in ``Mode.DELAY``, in seconds.
        """
        self.mode = mode
        self.delay_s = delay_s
        for pair in list(self.pairs):
            pair.silenced |= mode is Mode.SILENT
            pair.deaf |= mode is Mode.ONE_WAY
            if mode is Mode.REFUSE:
                pair.transport.abortConnection()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self.port.stopListening()
        self.set(Mode.REFUSE)

    def later(self, write: Callable[[], None]) -> None:
        """Calls a function that forwards data, delayed in ``Mode.DELAY``."""
        if self.mode is Mode.DELAY:
            self.reactor.callLater(self.delay_s, write)
        else:
            write()


class _Inbound(Protocol):
    def __init__(self, proxy: StoreProxy) -> None:
        self.proxy = proxy
        self.outbound: _Outbound | None = None
        self.waiting: list[bytes] = []
        self.silenced = proxy.mode is Mode.SILENT
        self.deaf = proxy.mode is Mode.ONE_WAY

    def connectionMade(self) -> None:  # noqa: N802
        if self.proxy.mode is Mode.REFUSE:
            self.transport.abortConnection()
            return
        self.proxy.pairs.add(self)
        self.proxy.reactor.connectTCP(*self.proxy.target, _Connect(self))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.silenced:
            self.proxy.later(lambda: self.pass_on(data))

    def pass_on(self, data: bytes) -> None:
        if self.outbound is None:
            self.waiting.append(data)
        else:
            self.outbound.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.proxy.pairs.discard(self)
        if self.outbound is not None:
            self.outbound.transport.abortConnection()


class _Outbound(Protocol):
    def __init__(self, inbound: _Inbound) -> None:
        self.inbound = inbound

    def connectionMade(self) -> None:  # noqa: N802
        self.inbound.outbound = self
        for data in self.inbound.waiting:
            self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not (self.inbound.silenced or self.inbound.deaf):
            self.inbound.proxy.later(lambda: self.inbound.transport.write(data))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if not self.inbound.silenced:
            self.inbound.transport.loseConnection()


class _Connect(ClientFactory):
    noisy = False

    def __init__(self, inbound: _Inbound) -> None:
        self.inbound = inbound

    def buildProtocol(self, address: Any) -> _Outbound:  # noqa: N802
        return _Outbound(self.inbound)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self.inbound.transport.abortConnection()
