"""Simulation of the network fabric in front of the balancers.

It distributes connections and datagrams at random over the balancers.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol
from twisted.python.failure import Failure

from bramleydyke.endpoints import parse_endpoint
from bramleydyke.types import Protocol as ServiceProtocol

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout in seconds, after which the next balancer is tried."""

MAX_CALLERS = 4_096
"""Maximum number of callers of one UDP address.

A further caller replaces the oldest.
"""


@dataclass(slots=True, kw_only=True)
class Fabric:
    """Forwards the traffic of each service address to the balancers.

    Attributes:
        targets: Balancer endpoints by service address. Entries are added as
            balancers join and stay when one stops: a connection then fails
            and the next balancer is tried.
        connections_by_balancer: Number of connections by balancer endpoint.
        balancer_by_port: Balancer endpoint of the last connection from each
            caller port.
        ports: Listening ports.
    """

    reactor: Any
    random_source: random.Random
    targets: dict[str, list[str]] = field(default_factory=dict)
    connections_by_balancer: dict[str, int] = field(default_factory=dict)
    balancer_by_port: dict[int, str] = field(default_factory=dict)
    ports: list[Any] = field(default_factory=list)

    def listen(self, address: str, protocol: ServiceProtocol) -> None:
        """Listens on a service address for traffic of its protocol."""
        if protocol is ServiceProtocol.UDP:
            self.listen_udp(address)
        else:
            self.listen_tcp(address)

    def listen_tcp(self, address: str) -> None:
        """Listens for connections to a service address."""
        factory = Factory.forProtocol(lambda: _CallerConnection(self, address))
        factory.noisy = False
        host, port = _host_port(address)
        self.ports.append(
            self.reactor.listenTCP(port, factory, interface=host, backlog=511)
        )

    def listen_udp(self, address: str) -> None:
        """Listens for datagrams to a service address."""
        host, port = _host_port(address)
        self.ports.append(
            self.reactor.listenUDP(
                port, _DatagramForwarder(self, address), interface=host
            )
        )

    def shuffled_targets(self, address: str) -> Sequence[str]:
        """Returns the balancer endpoints of an address in random order."""
        targets = self.targets.get(address, [])
        return self.random_source.sample(targets, len(targets))

    def stop(self) -> None:
        """Stops listening on all service addresses."""
        for port in self.ports:
            port.stopListening()


def _host_port(endpoint: str) -> tuple[str, int]:
    address = parse_endpoint(endpoint)
    assert address is not None, endpoint
    return address


class _CallerConnection(Protocol):
    """A caller's connection, forwarded to one balancer.

    Reading is paused until a balancer has accepted the connection.
    """

    def __init__(self, fabric: Fabric, address: str) -> None:
        self.fabric = fabric
        self.untried = list(fabric.shuffled_targets(address))
        self.balancer: _BalancerConnection | None = None
        self.open = True

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.pauseProducing()
        self._try_next_balancer()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.balancer is not None:
            self.balancer.transport.write(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self.open = False
        if self.balancer is not None:
            _propagate_close(self.balancer.transport, reason)

    def _try_next_balancer(self, _: object = None) -> None:
        if not self.open:
            return
        if not self.untried:
            self.transport.abortConnection()
            return
        endpoint = self.untried.pop()
        host, port = _host_port(endpoint)
        client = TCP4ClientEndpoint(
            self.fabric.reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        call = connectProtocol(client, _BalancerConnection(self))
        call.addCallbacks(
            self._balancer_connected, self._try_next_balancer, callbackArgs=(endpoint,)
        )

    def _balancer_connected(self, balancer: _BalancerConnection, endpoint: str) -> None:
        if not self.open:
            balancer.transport.abortConnection()
            return
        connections = self.fabric.connections_by_balancer
        connections[endpoint] = connections.get(endpoint, 0) + 1
        self.fabric.balancer_by_port[self.transport.getPeer().port] = endpoint
        self.balancer = balancer
        balancer.transport.setTcpNoDelay(True)
        balancer.transport.registerProducer(self.transport, True)
        self.transport.registerProducer(balancer.transport, True)
        self.transport.resumeProducing()


class _BalancerConnection(Protocol):
    """Connection to the balancer that serves a caller's connection."""

    def __init__(self, caller: _CallerConnection) -> None:
        self.caller = caller

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.caller.transport.write(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        if self.caller.open:
            _propagate_close(self.caller.transport, reason)


def _propagate_close(transport: Any, reason: Failure) -> None:
    """Closes one side in the way the other ended: cleanly or by a reset."""
    transport.unregisterProducer()
    if reason.check(ConnectionDone):
        transport.loseConnection()
    else:
        transport.abortConnection()


class _DatagramForwarder(DatagramProtocol):
    """Sends each datagram of a service address to a random balancer.

    Each caller gets its own socket towards the balancers, which take that
    socket's address as the caller's.
    """

    noisy = False

    def __init__(self, fabric: Fabric, address: str) -> None:
        self.fabric = fabric
        self.address = address
        self.sockets: dict[tuple[str, int], _CallerSocket] = {}

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, caller: tuple[str, int]
    ) -> None:
        shuffled_targets = self.fabric.shuffled_targets(self.address)
        if not shuffled_targets:
            return
        socket = self.sockets.get(caller) or self._open_socket(caller)
        socket.transport.write(datagram, _host_port(shuffled_targets[0]))

    def stopProtocol(self) -> None:  # noqa: N802
        for socket in self.sockets.values():
            socket.port.stopListening()
        self.sockets.clear()

    def _open_socket(self, caller: tuple[str, int]) -> _CallerSocket:
        if len(self.sockets) >= MAX_CALLERS:
            self.sockets.pop(next(iter(self.sockets))).port.stopListening()
        socket = _CallerSocket(self, caller)
        socket.port = self.fabric.reactor.listenUDP(
            0, socket, interface=_host_port(self.address)[0]
        )
        self.sockets[caller] = socket
        return socket


class _CallerSocket(DatagramProtocol):
    """Sends one caller's datagrams to balancers and returns the answers."""

    noisy = False
    port: Any = None

    def __init__(self, forwarder: _DatagramForwarder, caller: tuple[str, int]) -> None:
        self.forwarder = forwarder
        self.caller = caller

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, _: tuple[str, int]
    ) -> None:
        self.forwarder.transport.write(datagram, self.caller)
