"""Routing of datagram flows at a balancer: sends each packet to an agent.

The configuration determines which agent is asked first for a flow, and the
agents find its owner from there. A hint is the cached owner of a flow and
saves that lookup. Probes detect agents that no longer reply.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bramleydyke.constants import (
    FLOW_SILENT_S,
    MAX_PACKET_BYTES,
    MIN_UNANSWERED_PACKETS,
    PROBES_PER_S,
)
from bramleydyke.core.config import ConfigStore
from bramleydyke.core.flow_hints import FlowHints, Hint, flow_id_of, flow_key
from bramleydyke.core.health import HealthView
from bramleydyke.core.limits import ESTABLISHED_FLOW_RESERVE, PartnerLimits, TokenBucket
from bramleydyke.core.members import Members
from bramleydyke.core.probes import Probes
from bramleydyke.core.rendezvous import first_usable, owner_order
from bramleydyke.errors import ANSWERS, ErrorKind, counter_name
from bramleydyke.messages import (
    Count,
    Envelope,
    FlowAlive,
    FlowHint,
    FlowProbe,
    FlowReset,
    PacketForward,
    PacketIn,
    PacketOut,
    PacketReturn,
)
from bramleydyke.types import (
    LOCAL_CALLER,
    LOCAL_METRICS,
    FlowId,
    Generation,
    MemberState,
    NodeId,
    Outcome,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
    agent_node,
)

LEAVING_NOTICE_INTERVAL_S = 1.0
"""Minimum interval between stop notices to the same agent."""


@dataclass(slots=True)
class Route:
    """Cached routing data of a service address.

    Discarded when the configuration changes.
    """

    service_id: ServiceId
    partner_id: PartnerId
    generation: Generation
    nodes: dict[UpstreamId, NodeId]
    """Node id of the agent of each declared upstream."""

    agent_prefix: str
    hints: FlowHints
    bucket: TokenBucket
    established_flow_reserve: float
    """Tokens of ``bucket`` that only packets of established flows may use."""


@dataclass(slots=True, kw_only=True)
class FlowRouter:
    """Forwards callers' datagrams to agents, and the answers to the callers.

    Attributes:
        usable: Returns the upstreams of a service that may take new flows.
        draining: True if this balancer will stop and announces it to agents.
        routes: Cached route of each address; cleared by ``configured``.
        hints: Cached flow owners of each partner.
        probes: Unanswered probes of agents, and the time of the last message
            from each agent.
        leaving_notified_at: Time of the last notice to each agent that this
            balancer is about to stop.
        probe_budgets: Rate limit of each partner's probes.
    """

    node_id: NodeId
    config: ConfigStore
    members: Members
    health: HealthView
    limits: PartnerLimits
    usable: Callable[[ServiceId], Iterable[UpstreamId]]
    draining: bool = False
    routes: dict[ServiceAddress, Route] = field(default_factory=dict)
    hints: dict[PartnerId, FlowHints] = field(default_factory=dict)
    probes: Probes = field(default_factory=Probes)
    leaving_notified_at: dict[NodeId, float] = field(default_factory=dict)
    probe_budgets: dict[PartnerId, TokenBucket] = field(default_factory=dict)

    def configured(self) -> None:
        """Clears the route cache after a change of the configuration."""
        self.routes.clear()

    def next_wakeup(self) -> float | None:
        """Returns the time at which ``wake`` is due, or None if nothing is."""
        return self.probes.timers.next()

    def wake(self, *, now: float) -> list[Envelope]:
        """Repeats unanswered probes and ejects agents that answered none."""
        repeated, silent = self.probes.due(now=now)
        sent = [Envelope(self.node_id, node_id, probe) for node_id, probe in repeated]
        for node_id in silent:
            self.health.eject_silent(node_id, now=now)
            sent += self._count(counter_name(ErrorKind.AGENT_SILENT, action="probed"))
        return sent

    # Packets.

    def packet_in(self, _: NodeId, message: PacketIn, now: float) -> list[Envelope]:
        """Sends a caller's packet to the owner of its flow."""
        address = message.address
        route = self.routes.get(address) or self._route(address, now=now)
        if route is None:
            return self._refuse(ErrorKind.NO_SERVICE)
        if len(message.data) > MAX_PACKET_BYTES:
            return self._refuse(ErrorKind.FRAME_TOO_LARGE)
        flow_id = flow_id_of(address, message.caller)
        hint = route.hints.get(flow_id, now=now)
        reserve = route.established_flow_reserve if hint is None else 0.0
        if not route.bucket.take(now=now, reserve=reserve):
            return self._refuse(ErrorKind.PARTNER_LIMIT)
        if hint is None:
            return self._forward_unhinted(message, route, flow_id, now=now)
        owner = hint.owner
        node_id = route.nodes.get(owner) or agent_node(route.service_id, owner)
        member = self.members.by_node.get(node_id)
        if (
            member is None
            or member.state is MemberState.STOPPED
            or self.health.is_unresponsive(node_id, now=now)
        ):
            return self._reroute(message, route, flow_id, now=now)
        hint.seen = now
        if hint.unanswered == 0:
            hint.since = now
        hint.unanswered += 1
        forward = PacketForward(
            flow_id=flow_id,
            address=address,
            caller=message.caller,
            partner_id=route.partner_id,
            service_id=route.service_id,
            generation=route.generation,
            balancer=self.node_id,
            data=message.data,
            hinted=owner if hint.confirmed else None,
        )
        sent = [Envelope(self.node_id, node_id, forward)]
        if (
            hint.unanswered >= MIN_UNANSWERED_PACKETS
            and now - hint.since >= FLOW_SILENT_S
        ):
            sent += self._probe_flow(node_id, flow_id, route, hint, now=now)
        return sent

    def returned(
        self, sender: NodeId, message: PacketReturn, now: float
    ) -> list[Envelope]:
        """Passes an upstream's packet to the caller.

        The packet is dropped unless its service address belongs to the
        sending agent's service: the caller must not receive another service's
        data.
        """
        address = message.address
        route = self.routes.get(address) or self._route(address, now=now)
        if route is None or not sender.startswith(route.agent_prefix):
            return self._refuse(ErrorKind.WRONG_SERVICE)
        self._record_contact(sender, now=now)
        hint = route.hints.entries.get(message.flow_id)
        if hint is not None:
            hint.seen = now
            hint.unanswered = 0
        out = PacketOut(address=address, caller=message.caller, data=message.data)
        sent = [Envelope(self.node_id, LOCAL_CALLER, out)]
        if self.draining:
            sent += self._notify_leaving(sender, message, now=now)
        return sent

    # Flow messages from agents.

    def hinted(
        self, sender: NodeId, message: FlowHint, *, now: float
    ) -> list[Envelope]:
        """Stores the owner of a flow, as reported by the owner's agent.

        A hint from an agent whose announcement has not arrived yet is ignored:
        the agent's address is unknown, so another agent must forward the
        flow's packets.
        """
        service_id = self.config.by_address.get(message.address)
        expected = agent_node(message.service_id, message.owner)
        if service_id != message.service_id or sender != expected:
            return self._refuse(ErrorKind.WRONG_SERVICE)
        self._record_contact(sender, now=now)
        hints = self._service_hints(message.service_id)
        if hints is None or sender not in self.members.by_node:
            return []
        hint = hints.entries.get(message.flow_id)
        if hint is None or hint.owner != message.owner:
            hint = hints.add(message.flow_id, message.owner, now=now)
        if hint is not None:
            hint.confirmed = True
        return []

    def reset(
        self, sender: NodeId, message: FlowReset, *, now: float
    ) -> list[Envelope]:
        """Drops the hint of a flow that the agent does not hold.

        The flow counts as broken if an agent had confirmed it and the kind of
        the reset does not tell whether its packets were delivered.
        """
        if not sender.startswith(f"agent/{message.service_id}/"):
            return self._refuse(ErrorKind.WRONG_SERVICE)
        self._record_contact(sender, now=now)
        hints = self._service_hints(message.service_id)
        if hints is None:
            return []
        self.health.record_refusal(sender, message.kind, now=now)
        hint = hints.drop(message.flow_id, message.upstream_id)
        unknown = ANSWERS[message.kind].outcome is Outcome.UNKNOWN
        if hint is None or not hint.confirmed or not unknown:
            return []
        return self._count_broken(message.kind)

    def alive(
        self, sender: NodeId, message: FlowAlive, *, now: float
    ) -> list[Envelope]:
        """Handles the reply of an agent that holds the probed flow."""
        if not sender.startswith(f"agent/{message.service_id}/"):
            return self._refuse(ErrorKind.WRONG_SERVICE)
        self._record_contact(sender, now=now)
        hints = self._service_hints(message.service_id)
        hint = None if hints is None else hints.entries.get(message.flow_id)
        if hint is not None:
            hint.unanswered = 0
        return []

    def probed(self, sender: NodeId, message: FlowProbe) -> list[Envelope]:
        """Replies to a probe; tells the agent if this balancer will stop."""
        reply = FlowAlive(
            flow_id=message.flow_id,
            service_id=message.service_id,
            leaving=self.draining,
        )
        return [Envelope(self.node_id, sender, reply)]

    # Routes, and packets of flows without a hint.

    def _route(self, address: ServiceAddress, *, now: float) -> Route | None:
        service_id = self.config.by_address.get(address)
        service = None if service_id is None else self.config.service(service_id)
        if service is None or service.protocol is not Protocol.UDP:
            return None
        partner_id = service.partner_id
        bucket = self.limits.packet_bucket(partner_id, now=now)
        route = self.routes[address] = Route(
            service_id=service.service_id,
            partner_id=partner_id,
            generation=self.config.generation(partner_id),
            nodes={up: agent_node(service.service_id, up) for up in service.weights()},
            agent_prefix=f"agent/{service.service_id}/",
            hints=self._partner_hints(partner_id),
            bucket=bucket,
            established_flow_reserve=ESTABLISHED_FLOW_RESERVE * bucket.rate,
        )
        return route

    def _partner_hints(self, partner_id: PartnerId) -> FlowHints:
        hints = self.hints.get(partner_id)
        if hints is None:
            hints = FlowHints(max_flows=self.limits.max_flows)
            self.hints[partner_id] = hints
        return hints

    def _service_hints(self, service_id: ServiceId) -> FlowHints | None:
        service = self.config.services.get(service_id)
        return None if service is None else self._partner_hints(service.partner_id)

    def _reroute(
        self, message: PacketIn, route: Route, flow_id: FlowId, *, now: float
    ) -> list[Envelope]:
        """Reroutes the packet of a flow whose agent cannot be reached."""
        hint = route.hints.drop(flow_id)
        sent = self._forward_unhinted(message, route, flow_id, now=now)
        if hint is None or not hint.confirmed:
            return sent
        return sent + self._count_broken(ErrorKind.AGENT_SILENT)

    def _forward_unhinted(
        self,
        message: PacketIn,
        route: Route,
        flow_id: FlowId,
        *,
        now: float,
    ) -> list[Envelope]:
        """Sends the packet of a flow without a hint to the first usable agent.

        Upstreams that must not take new flows are listed as ``refused``, but
        the packet still visits their agents, which may hold the flow.
        Unreachable upstreams are also listed as ``visited``, so the packet
        skips them. If the partner has reached its flow limit here, the packet
        is not ``admissible``: an agent delivers it only if the flow was
        established through another balancer.
        """
        service = self.config.service(route.service_id)
        assert service is not None
        order = owner_order(flow_key(flow_id), service.weights())
        usable = set(self.usable(route.service_id))
        silent = tuple(up for up in order if self._is_unreachable(route, up, now=now))
        target = first_usable(order, usable - set(silent))
        if target is None:
            return self._refuse(ErrorKind.NO_UPSTREAM)
        hint = route.hints.add(flow_id, target, now=now)
        forward = PacketForward(
            flow_id=flow_id,
            address=message.address,
            caller=message.caller,
            partner_id=route.partner_id,
            service_id=route.service_id,
            generation=route.generation,
            balancer=self.node_id,
            data=message.data,
            visited=silent,
            admissible=hint is not None,
            refused=tuple(up for up in order if up not in usable or up in silent),
        )
        receiver = agent_node(route.service_id, target)
        return [Envelope(self.node_id, receiver, forward)]

    def _is_unreachable(
        self, route: Route, upstream_id: UpstreamId, *, now: float
    ) -> bool:
        """Returns whether an upstream's agent is stopped or unreachable.

        An agent whose announcement has not arrived here counts as reachable,
        because other agents may reach it.
        """
        node_id = agent_node(route.service_id, upstream_id)
        member = self.members.by_node.get(node_id)
        if member is None:
            return False
        if member.state is MemberState.STOPPED:
            return True
        heard = self.probes.heard_within(node_id, FLOW_SILENT_S, now=now)
        suspect = member.state is MemberState.SUSPECT and not heard
        return suspect or self.health.is_unresponsive(node_id, now=now)

    # Probes.

    def _record_contact(self, node_id: NodeId, *, now: float) -> None:
        self.probes.heard(node_id, now=now)
        if node_id in self.health.outcomes:
            self.health.record_reply(node_id, now=now)

    def _probe_flow(
        self, node_id: NodeId, flow_id: FlowId, route: Route, hint: Hint, *, now: float
    ) -> list[Envelope]:
        """Probes the agent of a flow whose packets get no answers.

        A running agent replies even if it does not hold the flow. An agent
        that does not reply counts as unreachable, and all its flows are
        rerouted.
        """
        budget = self.probe_budgets.setdefault(
            route.partner_id, TokenBucket(PROBES_PER_S, PROBES_PER_S, now)
        )
        if node_id in self.probes.pending or not budget.take(now=now):
            return []
        probe = FlowProbe(flow_id=flow_id, service_id=route.service_id)
        self.probes.start(node_id, probe, now=now)
        hint.unanswered = 0
        return [Envelope(self.node_id, node_id, probe)]

    def _notify_leaving(
        self, node_id: NodeId, message: PacketReturn, *, now: float
    ) -> list[Envelope]:
        notified_at = self.leaving_notified_at.get(node_id)
        if notified_at is not None and now - notified_at < LEAVING_NOTICE_INTERVAL_S:
            return []
        self.leaving_notified_at[node_id] = now
        alive = FlowAlive(
            flow_id=message.flow_id, service_id=message.service_id, leaving=True
        )
        return [Envelope(self.node_id, node_id, alive)]

    def _count_broken(self, kind: ErrorKind) -> list[Envelope]:
        return self._count(counter_name(kind, action="broken"))

    def _refuse(self, kind: ErrorKind) -> list[Envelope]:
        return self._count(counter_name(kind))

    def _count(self, name: str) -> list[Envelope]:
        return [Envelope(self.node_id, LOCAL_METRICS, Count(name=name))]
