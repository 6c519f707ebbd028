"""Process of an agent: the role, its network and its upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol as TypingProtocol

from bramleydyke.adapters.http_upstream import HttpUpstream
from bramleydyke.adapters.tcp_upstream import TcpUpstream
from bramleydyke.adapters.udp_upstream import UdpUpstream
from bramleydyke.core.agent import Agent
from bramleydyke.core.credentials import make_credential
from bramleydyke.daemons.environment import Environment, new_incarnation
from bramleydyke.daemons.node import Node, random_source
from bramleydyke.messages import Payload, SetDrain
from bramleydyke.settings import AgentSettings, balancer_seeds, zone_of
from bramleydyke.types import LOCAL_UPSTREAM, NodeId, Protocol, agent_node

LOCAL_OPERATOR = NodeId("local/operator")
"""Sender of commands that are triggered by signals to this process."""


class AgentNode(Node):
    """Connects an ``Agent`` to its sockets and to its upstream.

    Attributes:
        agent: The role, which makes all decisions.
        upstream: Adapter for the upstream's protocol.
    """

    def __init__(self, settings: AgentSettings, *, environment: Environment) -> None:
        node_id = agent_node(settings.service_id, settings.upstream_id)
        incarnation = new_incarnation()
        self.agent = Agent(
            partner_id=settings.partner_id,
            service_id=settings.service_id,
            upstream_id=settings.upstream_id,
            incarnation=incarnation,
            zone=zone_of(settings),
            endpoint=settings.listen,
            slots=settings.slots,
            credential=make_credential(
                settings.credential.encode(), node_id, incarnation
            ),
            balancers=balancer_seeds(settings),
            random_source=random_source(settings, node_id=node_id),
            now=environment.clock.seconds(),
        )
        super().__init__(
            role=self.agent,
            settings=settings,
            environment=environment,
        )
        self.upstream = UPSTREAM_ADAPTERS[settings.protocol](self, settings)
        self.runner.ports[LOCAL_UPSTREAM] = self.upstream.handle

    def drain(self) -> None:
        """Refuses new work; requests in progress are completed."""
        self.log.info("draining")
        self.runner.deliver_from_port(LOCAL_OPERATOR, SetDrain(draining=True))

    def stop(self, *, abrupt: bool = False) -> None:
        """Stops at once and closes all sockets.

        Args:
            abrupt: True to notify no other node, as in a crash.
        """
        if not abrupt:
            now = self.environment.clock.seconds()
            self.runner.send_all(self.agent.stop(now=now))
        super().stop(**({"linger_ms": 0} if abrupt else {}))
        self.upstream.close()


class UpstreamAdapter(TypingProtocol):
    """Interface of the adapters between an agent and its upstream."""

    def handle(self, payload: Payload) -> None:
        """Handles a message from the agent to the upstream."""

    def close(self) -> None:
        """Aborts all requests and connections at the upstream."""


def http_upstream(node: AgentNode, settings: AgentSettings) -> UpstreamAdapter:
    """Returns the adapter for an upstream that speaks HTTP."""
    return HttpUpstream(
        reactor=node.environment.reactor,
        base_url=f"http://{settings.upstream_address}",
        deliver=node.runner.deliver_from_port,
        count=node.metrics.count,
    )


def udp_upstream(node: AgentNode, settings: AgentSettings) -> UpstreamAdapter:
    """Returns the adapter for an upstream that receives UDP datagrams."""
    return UdpUpstream(
        reactor=node.environment.reactor,
        endpoint=settings.upstream_address,
        deliver=node.runner.deliver_from_port,
        count=node.metrics.count,
    )


def tcp_upstream(node: AgentNode, settings: AgentSettings) -> UpstreamAdapter:
    """Returns the adapter for an upstream that accepts TCP connections."""
    return TcpUpstream(
        reactor=node.environment.reactor,
        endpoint=settings.upstream_address,
        deliver=node.runner.deliver_from_port,
        count=node.metrics.count,
    )


UPSTREAM_ADAPTERS: dict[
    Protocol, Callable[[AgentNode, AgentSettings], UpstreamAdapter]
] = {
    Protocol.HTTP: http_upstream,
    Protocol.UDP: udp_upstream,
    Protocol.TCP: tcp_upstream,
}
"""Factory of the upstream adapter, by protocol of the service."""
