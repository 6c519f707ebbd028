"""A balancer with its sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bramleydyke.adapters.codec import parse_endpoint
from bramleydyke.adapters.http_edge import CallerPort, EdgeConnections
from bramleydyke.core.balancer import Balancer
from bramleydyke.daemons.environment import Environment, new_incarnation
from bramleydyke.daemons.node import Node, random_source
from bramleydyke.settings import (
    BalancerSettings,
    Edge,
    balancer_seeds,
    partner_secrets,
    service_address,
    zone_of,
)
from bramleydyke.types import LOCAL_CALLER, Protocol, balancer_node


class BalancerNode(Node):
    """One balancer.

    Attributes:
        callers: Callers that wait.
        listeners: Ports that take callers' connections.
    """

    def __init__(self, settings: BalancerSettings, *, environment: Environment) -> None:
        node_id = balancer_node(settings.name)
        facade = Balancer(
            node_id=node_id,
            incarnation=new_incarnation(),
            random_source=random_source(settings, node_id=node_id),
            zone=zone_of(settings),
            endpoint=settings.listen,
            seeds=balancer_seeds(settings),
            credentials=partner_secrets(settings),
            partners=partner_secrets(settings),
        )
        super().__init__(
            facade=facade,
            settings=settings,
            environment=environment,
        )
        self.edges = settings.edges
        self.callers = CallerPort(
            deliver=self.runner.from_port, count=self.metrics.count
        )
        self.runner.ports[LOCAL_CALLER] = self.callers.take
        self.factories: list[EdgeConnections] = []
        self.listeners: list[Any] = []

    def start(self) -> None:
        """Starts to work and opens the edges."""
        super().start()
        for edge in self.edges:
            LISTEN[edge.protocol](self, edge)

    def drain(self) -> None:
        """Takes no new connections; open ones still get answers."""
        self.log.info("draining")
        self.callers.draining = True
        self._close_listeners()

    def stop(self, *, abrupt: bool = False) -> None:
        """Stops.

        Args:
            abrupt: True breaks callers' connections, as a crash does.
        """
        self._close_listeners()
        super().stop(**({"linger_ms": 0} if abrupt else {}))
        for factory in self.factories:
            if abrupt:
                factory.break_all()
            else:
                factory.close_all()

    def listen_http(self, edge: Edge) -> None:
        """Opens the edge of an HTTP service."""
        reactor = self.environment.reactor
        factory = self.callers.connections(service_address(edge), reactor=reactor)
        address = parse_endpoint(edge.listen)
        assert address is not None, edge.listen
        self.factories.append(factory)
        self.listeners.append(
            reactor.listenTCP(address[1], factory, interface=address[0], backlog=511)
        )

    def _close_listeners(self) -> None:
        for listener in self.listeners:
            listener.stopListening()
        self.listeners.clear()


LISTEN: dict[Protocol, Callable[[BalancerNode, Edge], None]] = {
    Protocol.HTTP: BalancerNode.listen_http,
}
"""Opens an edge, by protocol; settings refuse all others."""
