"""Balancers, agents and the store, whose messages the explorer orders.

The nodes run the real code; only the sockets are replaced. Each message, each
answer of the store and each timer is a step of its own, so they may happen in
any order, late or never.
"""

from __future__ import annotations

import random
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Any

from explorer import Step
from system_model import ZONE, BalancerProcess, NodeClock, System, ignore

from bramleydyke.daemons.direct_agent import DirectAgent
from bramleydyke.direct.agent import Agent
from bramleydyke.direct.entry_writer import EntryWriter
from bramleydyke.direct.store import Era, Kind
from bramleydyke.direct.types import Lifetime, NodeIp, UpstreamState
from bramleydyke.direct.upstream_view import Report, UpstreamView
from bramleydyke.types import ServiceId, UpstreamId

SERVICE = ServiceId("board")
REPORT_S = 0.8
SETTLE_S = 12.0
"""Time in which a system without faults must reach its final state."""

SETTLE_STEP_S = 0.4
"""Time between two deliveries of all messages while the system settles."""

MAX_MESSAGES = 200
"""Messages in answer to one event; a change needs fewer than ten."""

KINDS = {Kind.UPSTREAMS}
"""Kinds whose calls are answered; calls for other kinds stay open."""


@dataclass(slots=True)
class UpstreamProcess:
    """An upstream: what it has reported, and what its agent acknowledged."""

    node: NodeIp
    lifetime: int
    sequence: int = 0
    draining: bool = False
    acknowledged_drain: bool = False

    def next_report(self) -> Report:
        self.sequence += 1
        return Report(
            upstream=UpstreamId(f"i-{self.lifetime}"),
            service=SERVICE,
            lifetime=Lifetime(self.lifetime),
            start_ms=self.lifetime,
            sequence=self.sequence,
            draining=self.draining,
        )


class AgentProcess:
    """An agent with the parts of ``DirectAgent`` that use no socket."""

    on_report = DirectAgent.on_report
    on_upstream_ended = DirectAgent.on_upstream_ended
    _store_entry = DirectAgent._store_entry
    _restore_entry = DirectAgent._restore_entry
    _acknowledge_when_stored = DirectAgent._acknowledge_when_stored
    on_entry_outdated = DirectAgent.on_entry_outdated
    _check_entry = DirectAgent._check_entry
    count = observe = record = staticmethod(ignore)

    def __init__(self, system: DirectSystem, node: NodeIp) -> None:
        self.log = self
        self.checked_era = Era(0)
        self.clock = NodeClock()
        self.role = Agent(
            node=node,
            zone=ZONE,
            service=SERVICE,
            codec=None,  # type: ignore[arg-type]
            view=UpstreamView(report_interval_s=REPORT_S),
            started_at=0.0,
            send=lambda to, message: system.send(node, to, message),
            send_to_caller=ignore,
            deliver=ignore,
            count=ignore,
            record=ignore,
            on_entry_outdated=self.on_entry_outdated,
        )
        store = system.store.client(node, KINDS)
        store.on_restored = self._check_entry
        self.entry_writer = EntryWriter(
            kind=Kind.UPSTREAMS,
            name=node,
            store=store,
            clock=self.clock,
            random_source=random.Random(1),
            count=ignore,
            on_found=self._restore_entry,
        )
        for balancer in system.balancers:
            self.role.announcer.add_balancer(balancer)
        self.entry_writer.start()

    def accepts_flows(self) -> bool:
        now = self.clock.seconds()
        return self.role.admission.refusal(SERVICE, now=now) is None

    def fingerprint(self) -> Hashable:
        view, writer = self.role.view, self.entry_writer
        return (
            (view.report, view.stored_report, view.ended, self.role.announcer.revision),
            (writer.desired, writer.has_desired, writer.stored, writer.known),
            (writer.busy, writer.has_read, writer.read_again, self.checked_era),
            (writer.store.era, self.clock.fingerprint()),
        )


class DirectBalancerProcess(BalancerProcess):
    """A balancer that is compared by what it knows of the upstreams."""

    def fingerprint(self) -> Hashable:
        entries = self.role.directory.entries.items()
        watch = self.registry.watches[1]
        return (
            sorted((node, entry.announcement) for node, entry in entries),
            sorted(self.registry.listed.items()),
            (watch.revision, watch.lost, watch.listing),
            (self.registry.restored_era, self.role.directory.complete),
            (self.registry.store.era, self.registry.lost_entries.era),
            self.clock.fingerprint(),
        )


@dataclass(slots=True, kw_only=True)
class DirectSystem(System):
    """A small system; implements ``Model``.

    Attributes:
        upstreams: Running upstream of each agent.
    """

    balancers: dict[NodeIp, DirectBalancerProcess] = field(default_factory=dict)
    agents: dict[NodeIp, AgentProcess] = field(default_factory=dict)
    upstreams: dict[NodeIp, UpstreamProcess] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for node in self.names:
            self.balancers[node] = DirectBalancerProcess(self, node, kinds=KINDS)

    # What the script of a test may do.

    def start_agent(self, node: NodeIp) -> None:
        """Starts an agent; an earlier process at this address is killed."""
        self.store.drop_calls(node)
        self.agents[node] = AgentProcess(self, node)

    def pause_agent(self, node: NodeIp) -> None:
        """Announces that the agent is about to stop."""
        agent = self.agents[node]
        agent.role.pause(now=agent.clock.seconds())

    def announce(self, node: NodeIp) -> None:
        """Sends the agent's periodic announcement."""
        agent = self.agents[node]
        agent.role.announce(now=agent.clock.seconds())

    def report(self, node: NodeIp, *, lifetime: int, draining: bool = False) -> None:
        """Sends a report; a new lifetime replaces the running upstream."""
        upstream = self.upstreams.get(node)
        if upstream is None or upstream.lifetime != lifetime:
            upstream = self.upstreams[node] = UpstreamProcess(node, lifetime)
        upstream.draining = draining
        reporter = upstream

        def acknowledge(accepted: bool) -> None:
            reporter.acknowledged_drain |= accepted and draining

        self.agents[node].on_report(upstream.next_report(), acknowledge)

    def report_late(self, node: NodeIp, *, lifetime: int) -> None:
        """Delivers a copy of the first report of a lifetime once more."""
        copy = UpstreamProcess(node, lifetime).next_report()
        self.agents[node].on_report(copy, ignore)

    def deregister(self, node: NodeIp) -> None:
        """Ends the upstream of an agent, which is told."""
        ended = self.upstreams.pop(node)
        self.agents[node].on_upstream_ended(UpstreamId(f"i-{ended.lifetime}"))

    def deliver_all(self) -> None:
        """Delivers and answers all that is pending, in order of arrival."""
        for call in list(self.store.late):
            self.store.run_late(call)
        for balancer in self.balancers.values():
            balancer.registry.store.observe_era()
        self.answer_calls()
        delivered = 0
        while self.messages:
            self.deliver(self.messages[0])
            delivered += 1
            assert delivered < MAX_MESSAGES, "the nodes never stop sending"

    # For the explorer.

    def steps(self) -> list[Step]:
        steps = self.script_steps()
        for sent in self.messages:
            text = f"{sent[0]} to {sent[1]}: {sent[2]}"
            steps.append((text, lambda sent=sent: self.deliver(sent)))
        # Balancers poll the configuration, too, which shows them the era.
        steps += [
            (f"{node} sees the restore", balancer.registry.store.observe_era)
            for node, balancer in self.balancers.items()
            if balancer.registry.store.era < self.store.era
        ]
        processes = {**self.balancers, **self.agents}.items()
        clocks = ((node, process.clock) for node, process in processes)
        return steps + self.call_steps() + self.timer_steps(clocks)

    def deliver(self, sent: tuple[NodeIp, NodeIp, Any]) -> None:
        self.messages.remove(sent)
        sender, node, message = sent
        process = self.balancers.get(node) or self.agents[node]
        process.role.message_in(sender, message, now=process.clock.seconds())

    def fingerprint(self) -> Hashable:
        processes = {**self.balancers, **self.agents}
        return repr(
            (
                [(node, process.fingerprint()) for node, process in processes.items()],
                self.store.fingerprint(),
                sorted(map(repr, self.messages)),
                sorted(map(repr, self.upstreams.values())),
                (len(self.script), self.lost_answers),
            )
        )

    def check(self) -> None:
        for upstream in self.upstreams.values():
            for node, balancer in self.balancers.items():
                ended = balancer.role.directory.lifetime_ended(
                    upstream.node, upstream.lifetime
                )
                assert not ended, f"{node} resets flows of a running {upstream}"
            accepts = self.agents[upstream.node].accepts_flows()
            assert not (upstream.acknowledged_drain and accepts), (
                f"new flows at {upstream} after its drain was acknowledged"
            )

    def settle(self) -> None:
        """Runs the rest of the script, then all nodes without faults."""
        while self.script:
            self.take_script_step()
        self.lost_answers = 0
        elapsed = 0.0
        while elapsed < SETTLE_S:
            self.deliver_all()
            for process in {**self.balancers, **self.agents}.values():
                process.clock.advance(SETTLE_STEP_S)
            elapsed += SETTLE_STEP_S
            if elapsed % REPORT_S < SETTLE_STEP_S:
                self._report_all()
            for agent in self.agents.values():
                agent.role.wake(now=agent.clock.seconds())
            self.check()
        self._check_settled()

    def _report_all(self) -> None:
        for node, upstream in self.upstreams.items():
            self.report(node, lifetime=upstream.lifetime, draining=upstream.draining)

    def _check_settled(self) -> None:
        for node in self.agents:
            upstream = self.upstreams.get(node)
            expected = None if upstream is None else self._state(upstream)
            stored = self.store.objects.get((Kind.UPSTREAMS, node))
            found = (
                None if stored is None else (stored.value.lifetime, stored.value.state)
            )
            assert found == expected, f"the store has {found}, not {expected}"
            for name, balancer in self.balancers.items():
                entry = balancer.role.directory.entries.get(node)
                known = entry.announcement if entry else None
                gone = known is None or known.state is UpstreamState.GONE
                held = None if gone else (known.lifetime, known.state)
                assert held == expected, f"{name} has {held}, not {expected}"

    @staticmethod
    def _state(upstream: UpstreamProcess) -> tuple[int, UpstreamState]:
        draining = upstream.draining
        state = UpstreamState.DRAINING if draining else UpstreamState.READY
        return upstream.lifetime, state
