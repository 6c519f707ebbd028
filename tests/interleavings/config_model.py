"""Balancers that get the configuration from the store or from each other."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from explorer import Step
from system_model import BalancerProcess, System, ignore

from bramleydyke.daemons.direct_balancer import DirectBalancer
from bramleydyke.direct.routes import Route, RouteSet, Share
from bramleydyke.direct.store import Kind
from bramleydyke.direct.types import ConfigVersion, NodeIp, RouteAddress
from bramleydyke.types import ServiceId

IN_FORCE_S = 3.0
"""Time in which a change must be in force at every balancer."""

SETTLE_STEP_S = 0.1
"""Time between two deliveries of all messages while the system settles."""

ADDRESS = RouteAddress(b"rrrrpp")


def routes_of(version: int) -> RouteSet:
    """Returns a configuration that differs from that of other versions."""
    service = ServiceId(f"service-{version}")
    return RouteSet(ConfigVersion(version), {ADDRESS: Route([Share(service, 1.0)])})


class ConfigBalancer(BalancerProcess):
    """A balancer with the parts of ``DirectBalancer`` that use no socket."""

    fetch_snapshot = DirectBalancer.fetch_snapshot
    serve_snapshot = DirectBalancer._serve_snapshot
    _apply_snapshot = DirectBalancer._apply_snapshot
    settings = SimpleNamespace(mesh_port=1)
    count = schedule_wakeup = _start_packets_when_known = staticmethod(ignore)

    def __init__(self, system: ConfigSystem, node: NodeIp) -> None:
        self.snapshot_pending = False
        self.lacks_upstreams = False
        self.newest = 0

        def request(method, endpoint, target, *, timeout_s, on_response):
            peer = NodeIp(endpoint.partition(":")[0])
            system.messages.append((node, peer, (target, on_response)))

        self.peer_calls = SimpleNamespace(request=request)
        kinds = set() if node in system.cut_off else {Kind.CONFIGURATION}
        super().__init__(system, node, kinds=kinds, fetch=self.fetch_snapshot)
        self.role.gossip.configuration_changed(now=0.0)

    def fingerprint(self) -> Hashable:
        watch = self.registry.watches[0]
        return (
            (self.role.routes.version, self.snapshot_pending),
            (watch.revision, watch.lost),
            self.clock.fingerprint(),
        )


@dataclass(slots=True, kw_only=True)
class ConfigSystem(System):
    """Balancers and the store; implements ``Model``.

    Attributes:
        cut_off: Balancers whose calls to the store get no answer.
        version: Version of the newest configuration in the store.
    """

    cut_off: set[NodeIp]
    version: int = 0
    balancers: dict[NodeIp, ConfigBalancer] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for node in self.names:
            self.balancers[node] = ConfigBalancer(self, node)

    # What the script of a test may do.

    def change_routes(self) -> None:
        self.version += 2
        self.store.put(Kind.CONFIGURATION, "main", routes_of(self.version))

    def restart(self, node: NodeIp) -> None:
        """Kills a balancer and starts it again, which then knows nothing."""
        self.store.drop_calls(node)
        self.messages = [
            sent
            for sent in self.messages
            if sent[0] != node or not isinstance(sent[2], tuple)
        ]
        self.balancers[node] = ConfigBalancer(self, node)

    # For the explorer.

    def steps(self) -> list[Step]:
        steps = self.script_steps()
        for sent in self.messages:
            text = self.label(sent)
            steps.append((text, lambda sent=sent: self.deliver(sent)))
            if self.lost_answers and isinstance(sent[2], tuple):
                text = f"no answer to {text}"
                steps.append((text, lambda sent=sent: self.lose_request(sent)))
        for node, balancer in self.balancers.items():
            text = f"periodic notices of {node}"
            steps.append((text, lambda balancer=balancer: self.notify(balancer)))
        clocks = ((node, b.clock) for node, b in self.balancers.items())
        return steps + self.call_steps() + self.timer_steps(clocks)

    def label(self, sent: tuple[NodeIp, NodeIp, Any]) -> str:
        sender, node, message = sent
        text = message[0] if isinstance(message, tuple) else message
        return f"{sender} to {node}: {text}"

    def notify(self, balancer: ConfigBalancer) -> None:
        gossip = balancer.role.gossip
        gossip.wake(now=gossip.due_at)

    def deliver(self, sent: tuple[NodeIp, NodeIp, Any]) -> None:
        self.messages.remove(sent)
        sender, node, message = sent
        balancer = self.balancers[node]
        if isinstance(message, tuple):
            target, on_response = message
            reply = balancer.serve_snapshot("GET", target, b"")
            on_response(reply.status, reply.body)
        else:
            now = balancer.clock.seconds()
            balancer.role.message_in(sender, message, now=now)

    def lose_request(self, sent: tuple[NodeIp, NodeIp, Any]) -> None:
        self.lost_answers -= 1
        self.messages.remove(sent)
        sent[2][1](None, b"")

    def fingerprint(self) -> Hashable:
        balancers = self.balancers.items()
        return repr(
            (
                [(node, balancer.fingerprint()) for node, balancer in balancers],
                self.store.fingerprint(),
                sorted(map(self.label, self.messages)),
                (len(self.script), self.lost_answers),
            )
        )

    def check(self) -> None:
        for node, balancer in self.balancers.items():
            routes = balancer.role.routes
            assert routes.version >= balancer.newest, (
                f"{node} went back from {balancer.newest} to {routes.version}"
            )
            balancer.newest = routes.version
            if routes.current is not None:
                assert routes.current == routes_of(routes.version)

    def settle(self) -> None:
        """Runs the rest of the script, then all balancers without faults."""
        while self.script:
            self.take_script_step()
        self.lost_answers = 0
        for _ in range(round(IN_FORCE_S / SETTLE_STEP_S)):
            self.answer_calls()
            while self.messages:
                self.deliver(self.messages[0])
            for balancer in self.balancers.values():
                balancer.clock.advance(SETTLE_STEP_S)
                balancer.role.gossip.wake(now=balancer.clock.seconds())
            self.check()
        versions = {n: b.role.routes.version for n, b in self.balancers.items()}
        assert set(versions.values()) == {self.version}, (
            f"{versions} {IN_FORCE_S} s after version {self.version}"
        )
