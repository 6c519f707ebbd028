"""Process of a balancer: the role, its network and its callers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bramleydyke.adapters.http_edge import EdgeConnections, HttpEdge
from bramleydyke.adapters.tcp_edge import TcpEdge
from bramleydyke.adapters.udp_edge import UdpEdge
from bramleydyke.core.balancer import Balancer
from bramleydyke.daemons.environment import Environment, new_incarnation
from bramleydyke.daemons.node import Node, random_source
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.messages import AnswerCaller, PacketOut, Payload, RefuseCaller
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
    """Connects a ``Balancer`` to its sockets and to the callers.

    An edge is an address at which callers' traffic for a service arrives.

    Attributes:
        http_callers: HTTP requests that wait for an answer.
        udp_edge: Sockets of the UDP edges.
        tcp_edge: Connections of the TCP edges.
        http_factories: Protocol factories of the HTTP edges.
        listeners: Listening sockets of the HTTP and TCP edges.
    """

    def __init__(self, settings: BalancerSettings, *, environment: Environment) -> None:
        node_id = balancer_node(settings.name)
        role = Balancer(
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
            role=role,
            settings=settings,
            environment=environment,
        )
        self.edges = settings.edges
        self.http_callers = HttpEdge(
            deliver=self.runner.deliver_from_port, count=self.metrics.count
        )
        deliver = self.runner.deliver_from_port
        self.udp_edge = UdpEdge(
            reactor=environment.reactor, deliver=deliver, count=self.metrics.count
        )
        self.tcp_edge = TcpEdge(deliver=deliver)
        self.runner.ports[LOCAL_CALLER] = self._send_to_callers
        self.http_factories: list[EdgeConnections] = []
        self.listeners: list[Any] = []

    def start(self) -> None:
        """Starts the role and opens the edges."""
        super().start()
        for edge in self.edges:
            EDGE_OPENERS[edge.protocol](self, edge)

    def drain(self) -> None:
        """Accepts no new connections; requests on open ones are answered.

        UDP packets are still accepted: the network fabric may route any
        flow's packets here until it knows that this balancer has stopped.
        """
        self.log.info("draining")
        self.http_callers.draining = True
        self._close_listeners()

    def idle(self) -> bool:
        """Returns whether no caller's request or stream is open.

        The role may be idle earlier: it does not see the last bytes of a
        stream that are still in a connection's send buffer.
        """
        return (
            super().idle()
            and not self.http_callers.open_requests
            and not self.tcp_edge.open
        )

    def stop(self, *, abrupt: bool = False) -> None:
        """Stops at once and closes all sockets.

        Args:
            abrupt: True to abort callers' connections, as in a crash.
        """
        self._close_listeners()
        self.udp_edge.close()
        super().stop(**({"linger_ms": 0} if abrupt else {}))
        self.tcp_edge.abort_all()
        for factory in self.http_factories:
            if abrupt:
                factory.abort_all()
            else:
                factory.close_all()

    def listen_http(self, edge: Edge) -> None:
        """Opens a listening socket for an HTTP service."""
        reactor = self.environment.reactor
        factory = self.http_callers.connection_factory(
            service_address(edge), reactor=reactor
        )
        self.http_factories.append(factory)
        self._listen_for_connections(edge, factory)

    def listen_udp(self, edge: Edge) -> None:
        """Opens a socket for the packets of a UDP service."""
        self.udp_edge.listen(service_address(edge), edge.listen)

    def listen_tcp(self, edge: Edge) -> None:
        """Opens a listening socket for a TCP service."""
        self._listen_for_connections(
            edge, self.tcp_edge.connection_factory(service_address(edge))
        )

    def _listen_for_connections(self, edge: Edge, factory: Any) -> None:
        address = parse_endpoint(edge.listen)
        assert address is not None, edge.listen
        self.listeners.append(
            self.environment.reactor.listenTCP(
                address[1], factory, interface=address[0], backlog=511
            )
        )

    def _send_to_callers(self, payload: Payload) -> None:
        """Passes a message from the role to the edges of its protocol."""
        if isinstance(payload, PacketOut):
            self.udp_edge.handle(payload)
        elif isinstance(payload, AnswerCaller | RefuseCaller):
            self.http_callers.handle(payload)
        else:
            self.tcp_edge.handle(payload)

    def _close_listeners(self) -> None:
        for listener in self.listeners:
            listener.stopListening()
        self.listeners.clear()


EDGE_OPENERS: dict[Protocol, Callable[[BalancerNode, Edge], None]] = {
    Protocol.HTTP: BalancerNode.listen_http,
    Protocol.UDP: BalancerNode.listen_udp,
    Protocol.TCP: BalancerNode.listen_tcp,
}
"""Method that opens the socket of an edge, by protocol of the service."""
