"""Cost and speed of the control plane as the number of balancers grows.

Each size is simulated with gossip, which the balancers use to distribute the
configuration, and with each alternative in ``ways``. The ratio of
agents and services to balancers is that of the target deployment. 1% of the
messages are lost, and some balancers crash between changes.
"""

from __future__ import annotations

import gc
import random
import statistics
from dataclasses import dataclass, field

import msgspec

from bramleydyke.bench.cores import SimulatedNetwork
from bramleydyke.bench.ways import Wrapper, gossip, tree, watch_per_process
from bramleydyke.constants import WATCHERS_PER_ZONE
from bramleydyke.core.agent import Agent
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.config import (
    PartnerConfig,
    ServiceConfig,
    UpstreamSpec,
    full_delta,
    next_config,
)
from bramleydyke.messages import Envelope, SetDrain
from bramleydyke.types import (
    LOCAL_PLATFORM,
    AvailabilityZone,
    Incarnation,
    NodeId,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
    balancer_node,
)

SIZES = (10, 50, 200)
"""Numbers of balancers to measure."""

TARGET_NODES = 550
AGENTS_PER_NODE = 3_800 / TARGET_NODES
SERVICES_PER_NODE = 830 / TARGET_NODES
ZONES = [AvailabilityZone(f"r{index // 3}-z{index % 3}") for index in range(9)]
PARTNERS = [PartnerId("federation"), PartnerId("studio")]

LOSS = 0.01
"""Fraction of messages between nodes that are lost."""

TIMED_CHANGES = 3
"""Number of timed configuration changes; balancers crash after the first."""

CRASH_SHARE = 0.05
"""Fraction of the balancers that crash after the first change."""

WARM_UP_S = 2.5
"""Time to acquire leases and start watches before the measurement."""

IDLE_S = 2.0
"""Measured time without changes: one anti-entropy interval."""

CHANGES_PER_S = 2_800 / 86_400
"""Rate of configuration changes at the target: 2,800 a day."""

CHANGE_INTERVAL_S = 2.5
"""Minimum time between timed changes; at the target the mean is 31 s."""

PROPAGATION_TIMEOUT_S = 20.0
"""Time after which the wait for a change to reach all processes ends."""


@dataclass(slots=True)
class ControlPlaneCosts:
    """Measurements of one deployment with one distribution method."""

    in_force_s: float
    """Longest time that a change took to reach all balancers and agents."""

    control_bytes_per_node_s: float
    """Mean bytes per second sent and received by a balancer during changes.

    Replies of the platform are included.
    """

    busiest_node_bytes_s: float
    """Bytes per second of the balancer with the most traffic in changes."""

    quiet_bytes_per_node_s: float
    """Mean bytes per second of a balancer while nothing changes."""

    busiest_bytes_per_change: float
    """Bytes that a change adds at the balancer with the most traffic.

    The mean bytes of the same time without changes are subtracted.
    """

    store_calls_per_change: float
    """Store calls for sheets; changes cause none for leases or status."""

    processor_s_per_node_s: float
    """Mean processor time of a balancer during changes, per second."""


@dataclass(slots=True)
class SimulatedDeployment:
    """A simulated deployment with the proportions of the target.

    Attributes:
        nodes: Number of balancers.
        network: Simulated network and platform of all cores.
        balancers: Balancers that are running.
        agents: Agents of all services.
        configs: Newest configuration of each partner.
    """

    nodes: int
    seed: int
    random_source: random.Random = field(init=False)
    network: SimulatedNetwork = field(init=False)
    balancers: list[Balancer] = field(default_factory=list)
    agents: list[Agent] = field(default_factory=list)
    configs: dict[PartnerId, PartnerConfig] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random_source = random.Random(self.seed)
        self.network = SimulatedNetwork(
            random_source=self.random_source, delay=self._delay, loss=LOSS
        )

    def _delay(self, sender: NodeId, receiver: NodeId) -> float:
        """Returns a random delay in seconds, as between availability zones."""
        return 0.001 + self.random_source.expovariate(1 / 0.005)

    def balancer_ids(self) -> list[NodeId]:
        """Returns the node ids of all balancers, including crashed ones."""
        return [balancer_node(f"b{index}") for index in range(self.nodes)]

    def build(self, wrap: Wrapper, *, leases: bool) -> None:
        """Creates the cores and gives them all members and the first sheets.

        Args:
            wrap: Adapts each core to the distribution method.
            leases: Whether balancers that hold a lease watch the platform.
        """
        for partner_id in PARTNERS:
            self._write(partner_id, self._services(partner_id))
        partners = PARTNERS if leases else []
        self.balancers = [
            self._balancer(index, partners) for index in range(self.nodes)
        ]
        services = [item for one in self.configs.values() for item in one.services]
        self.agents = [
            self._agent(service, spec)
            for service in services
            for spec in service.upstreams
        ]
        self._load_initial_state()
        for core in (*self.balancers, *self.agents):
            self.network.add(wrap(core))

    def change(self, step: int) -> None:
        """Changes the weights of one service of one partner."""
        partner_id = PARTNERS[step % len(PARTNERS)]
        services = list(self.configs[partner_id].services)
        changed = services[step % len(services)]
        upstreams = tuple(
            msgspec.structs.replace(spec, weight=spec.weight + 1.0)
            for spec in changed.upstreams
        )
        position = services.index(changed)
        services[position] = msgspec.structs.replace(changed, upstreams=upstreams)
        self._write(partner_id, services)
        self.network.store_changed()

    def start_drain(self, step: int) -> None:
        """Starts to drain one agent, which changes the membership."""
        agent = self.agents[step * 7 % len(self.agents)]
        order = Envelope(LOCAL_PLATFORM, agent.node_id, SetDrain(draining=True))
        self.network.send(agent.receive(order, now=self.network.now))

    def crash_balancers(self) -> None:
        """Removes some balancers without a shutdown, as in a crash.

        The crashed balancers come soon after the roots in the order of all
        balancers, so they are inner nodes of the tree.
        """
        count = max(1, round(self.nodes * CRASH_SHARE))
        first = min(_root_count(self.nodes), self.nodes - count - 1)
        inner = self.balancers[first : first + 2 * count]
        for balancer in self.random_source.sample(inner, min(count, len(inner))):
            self.balancers.remove(balancer)
            self.network.remove(balancer.node_id)

    def in_force(self) -> bool:
        """Returns whether every process has the newest configuration."""
        return all(
            core.config.generation(partner_id) == config.generation
            for partner_id, config in self.configs.items()
            for core in (*self.balancers, *self.agents)
            if isinstance(core, Balancer) or core.announcement.partner_id == partner_id
        )

    def _write(self, partner_id: PartnerId, services: list[ServiceConfig]) -> None:
        before = self.configs.get(partner_id, PartnerConfig(partner_id))
        self.configs[partner_id] = next_config(before, services, change_id="bench")
        value = msgspec.json.encode(self.configs[partner_id])
        self.network.store.put(f"sheets/{partner_id}", value)

    def _services(self, partner_id: PartnerId) -> list[ServiceConfig]:
        services = max(1, round(self.nodes * SERVICES_PER_NODE / len(PARTNERS)))
        upstreams = round(AGENTS_PER_NODE / SERVICES_PER_NODE)
        return [
            ServiceConfig(
                service_id=ServiceId(f"{partner_id}/service-{index}"),
                partner_id=partner_id,
                protocol=Protocol.HTTP,
                addresses=(ServiceAddress(f"10.{len(partner_id)}.0.1:{index}"),),
                upstreams=tuple(
                    UpstreamSpec(UpstreamId(f"upstream-{at}"), ZONES[(index + at) % 9])
                    for at in range(upstreams)
                ),
            )
            for index in range(services)
        ]

    def _balancer(self, index: int, partners: list[PartnerId]) -> Balancer:
        return Balancer(
            node_id=balancer_node(f"b{index}"),
            incarnation=Incarnation(1),
            random_source=random.Random(self.random_source.getrandbits(32)),
            zone=ZONES[index % len(ZONES)],
            endpoint=f"10.0.{index // 250}.{index % 250}:7000",
            seeds=self.balancer_ids()[:3],
            partners=partners,
        )

    def _agent(self, service: ServiceConfig, spec: UpstreamSpec) -> Agent:
        return Agent(
            partner_id=service.partner_id,
            service_id=service.service_id,
            upstream_id=spec.upstream_id,
            incarnation=Incarnation(1),
            zone=spec.zone,
            endpoint="10.1.100.100:7000",
            slots=1,
            credential="0" * 32,
            balancers=self.balancer_ids()[:3],
            random_source=random.Random(self.random_source.getrandbits(32)),
            now=0.0,
        )

    def _load_initial_state(self) -> None:
        """Gives every process the members and sheets that it needs."""
        announcements = [
            *(item.control.membership.announcement for item in self.balancers),
            *(agent.announcement for agent in self.agents),
        ]
        for balancer in self.balancers:
            for announcement in announcements:
                balancer.members.merge(announcement, now=0.0)
            for config in self.configs.values():
                balancer.config.apply(full_delta(config), now=0.0)
        members = self.balancers[0].members
        for agent in self.agents:
            own = agent.announcement
            for item in members.members_for_agent(agent.service_id, own.zone)[1]:
                agent.members.merge(item, now=0.0)
            assert own.partner_id is not None
            delta = full_delta(self.configs[own.partner_id])
            entries = [
                item for item in delta.services if item.service_id == agent.service_id
            ]
            reduced = msgspec.structs.replace(delta, services=tuple(entries))
            agent.config.apply(reduced, now=0.0)


def _root_count(nodes: int) -> int:
    return min(WATCHERS_PER_ZONE * len(ZONES), max(1, nodes // 4))


def measure_deployment(nodes: int, method: str, *, seed: int) -> ControlPlaneCosts:
    """Measures one deployment.

    Args:
        nodes: Number of balancers.
        method: ``gossip``, ``watch_per_process`` or ``tree``.
        seed: Seed of the simulation.
    """
    deployment = SimulatedDeployment(nodes, seed)
    wrappers: dict[str, Wrapper] = {
        "gossip": gossip,
        "watch_per_process": watch_per_process(PARTNERS, deployment.random_source),
        "tree": tree(
            PARTNERS,
            deployment.random_source,
            deployment.balancer_ids(),
            _root_count(nodes),
        ),
    }
    deployment.build(wrappers[method], leases=method == "gossip")
    gc.collect()
    gc.freeze()
    try:
        return _measure(deployment)
    finally:
        gc.unfreeze()


def _measure(deployment: SimulatedDeployment) -> ControlPlaneCosts:
    network = deployment.network
    network.run(WARM_UP_S)
    before = _usage_by_node(deployment)
    network.run(network.now + IDLE_S)
    quiet = (
        statistics.fmean(size for size, _ in _usage_since(deployment, before)) / IDLE_S
    )
    started, before = network.now, _usage_by_node(deployment)
    calls_before = network.store.calls["sheets"]
    times = [_timed_change(deployment, step) for step in range(TIMED_CHANGES)]
    seconds = network.now - started
    used = _usage_since(deployment, before)
    busiest = max(size for size, _ in used)
    return ControlPlaneCosts(
        in_force_s=round(max(times), 3),
        control_bytes_per_node_s=round(
            statistics.fmean(size for size, _ in used) / seconds, 1
        ),
        busiest_node_bytes_s=round(busiest / seconds, 1),
        quiet_bytes_per_node_s=round(quiet, 1),
        busiest_bytes_per_change=round((busiest - quiet * seconds) / TIMED_CHANGES, 1),
        store_calls_per_change=round(
            (network.store.calls["sheets"] - calls_before) / TIMED_CHANGES, 1
        ),
        processor_s_per_node_s=round(
            statistics.fmean(processor for _, processor in used) / seconds, 6
        ),
    )


def _timed_change(deployment: SimulatedDeployment, step: int) -> float:
    """Makes a change; returns the seconds until all processes have it.

    Returns ``PROPAGATION_TIMEOUT_S`` if some process does not have it by then.
    """
    network = deployment.network
    if step == 1:
        deployment.crash_balancers()
    changed_at = network.now
    deployment.change(step)
    deployment.start_drain(step)
    network.run_until(
        deployment.in_force, step=0.05, end=changed_at + PROPAGATION_TIMEOUT_S
    )
    elapsed = network.now - changed_at
    network.run(max(network.now, changed_at + CHANGE_INTERVAL_S))
    return elapsed


def _usage_since(
    deployment: SimulatedDeployment, before: dict[NodeId, tuple[float, float]]
) -> list[tuple[float, float]]:
    """Returns each balancer's bytes and processor seconds since ``before``."""
    return [
        (after[0] - before[node_id][0], after[1] - before[node_id][1])
        for node_id, after in _usage_by_node(deployment).items()
    ]


def _usage_by_node(
    deployment: SimulatedDeployment,
) -> dict[NodeId, tuple[float, float]]:
    used = {
        item.node_id: deployment.network.usage[item.node_id]
        for item in deployment.balancers
    }
    return {
        node_id: (usage.sent_bytes + usage.received_bytes, usage.processor_s)
        for node_id, usage in used.items()
    }


def extrapolate_to_target(values: dict[str, float]) -> float:
    """Extrapolates linearly from the two largest sizes to the target.

    If the value decreases between them, returns the largest size's value.

    Args:
        values: Measured value by number of balancers, in ascending order.
    """
    (small, low), (large, high) = list(values.items())[-2:]
    slope = (high - low) / (int(large) - int(small))
    return round(high + max(0.0, slope) * (TARGET_NODES - int(large)), 6)


def _values_by_size(
    results: dict[str, ControlPlaneCosts],
) -> dict[str, dict[str, float]]:
    return {
        name: {nodes: getattr(result, name) for nodes, result in results.items()}
        for name in ControlPlaneCosts.__dataclass_fields__
    }


def measure(*, seed: int) -> dict[str, object]:
    """Measures gossip and the alternatives.

    Returns:
        The results of gossip as ``{result: {nodes: value}}``; ``at_target``
        with these results extrapolated to the target size; ``weighed`` with
        the results of each alternative. At the target size, the bytes of the
        busiest balancer are those at the target's rate of changes.
    """
    by_method = {
        method: _values_by_size(
            {
                str(nodes): measure_deployment(nodes, method, seed=seed)
                for nodes in SIZES
            }
        )
        for method in ("gossip", "watch_per_process", "tree")
    }
    gossip_values = by_method.pop("gossip")
    target = {
        name: extrapolate_to_target(values) for name, values in gossip_values.items()
    }
    target["busiest_node_bytes_s"] = round(
        target["quiet_bytes_per_node_s"]
        + target["busiest_bytes_per_change"] * CHANGES_PER_S,
        1,
    )
    return {"seed": seed, **gossip_values, "at_target": target, "weighed": by_method}
