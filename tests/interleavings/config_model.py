"""Balancers that get the configuration from the store or from each other."""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from direct_model import ZONE, NodeClock, ignore
from explorer import Step
from store_model import StoreModel

from bramleydyke.daemons.direct_balancer import DirectBalancer
from bramleydyke.direct.balancer import Balancer
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.gossip import Gossip
from bramleydyke.direct.registry import Registry
from bramleydyke.direct.routes import Route, Routes, RouteSet, Share
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


class ConfigBalancer:
    """A balancer with the parts of ``DirectBalancer`` that use no socket."""

    fetch_snapshot = DirectBalancer.fetch_snapshot
    serve_snapshot = DirectBalancer._serve_snapshot
    _apply_snapshot = DirectBalancer._apply_snapshot
    settings = SimpleNamespace(mesh_port=1)
    count = schedule_wakeup = _start_packets_when_known = staticmethod(ignore)

    def __init__(self, system: ConfigSystem, node: NodeIp) -> None:
        self.clock = NodeClock()
        self.snapshot_pending = False
        self.lacks_upstreams = False
        self.newest = 0
        routes, directory = Routes(), Directory(ZONE)

        def request(method, endpoint, target, *, timeout_s, on_response):
            peer = NodeIp(endpoint.partition(":")[0])
            system.messages.append((node, peer, (target, on_response)))

        self.peer_calls = SimpleNamespace(request=request)
        gossip = Gossip(
            node=node,
            routes=routes,
            send=lambda to, message: system.send(node, to, message),
            fetch=self.fetch_snapshot,
            random_source=random.Random(1),
            peers=dict.fromkeys(set(system.names) - {node}, 0.0),
        )
        self.role = Balancer(
            node=node,
            codec=None,  # type: ignore[arg-type]
            routes=routes,
            directory=directory,
            gossip=gossip,
            send=gossip.send,
            reset=ignore,
            count=ignore,
            record=ignore,
            observe=ignore,
        )
        kinds = set() if node in system.cut_off else {Kind.CONFIGURATION}
        self.registry = Registry(
            store=system.store.client(node, kinds),
            clock=self.clock,
            random_source=random.Random(1),
            routes=routes,
            directory=directory,
            on_announcement=self.role.apply_announcement,
            gossip=gossip,
            count=ignore,
            record=ignore,
        )
        self.registry.start()
        gossip.configuration_changed(now=0.0)

    def fingerprint(self) -> Hashable:
        watch = self.registry.watches[0]
        return (
            (self.role.routes.version, self.snapshot_pending),
            (watch.revision, watch.lost),
            self.clock.fingerprint(),
        )


@dataclass(slots=True, kw_only=True)
class ConfigSystem:
    """Balancers and the store; implements ``Model``.

    Attributes:
        names: IP addresses of the balancers.
        cut_off: Balancers whose calls to the store get no answer.
        script: What the operator and the platform do, in this order, between
            the other steps.
        lost_answers: Number of calls to the store or to a balancer that may
            get no answer.
        messages: Messages on their way: sender, receiver and message. A
            snapshot request consists of its target and its callback.
    """

    names: list[NodeIp]
    cut_off: set[NodeIp]
    script: list[tuple[str, Callable[[ConfigSystem], None]]]
    lost_answers: int = 0
    version: int = 0
    store: StoreModel = field(default_factory=StoreModel)
    balancers: dict[NodeIp, ConfigBalancer] = field(default_factory=dict)
    messages: list[tuple[NodeIp, NodeIp, Any]] = field(default_factory=list)

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

    def send(self, sender: NodeIp, node: NodeIp, message: Any) -> None:
        sent = (sender, node, message)
        if sent not in self.messages:
            self.messages.append(sent)

    # For the explorer.

    def steps(self) -> list[Step]:
        steps: list[Step] = []
        if self.script:
            steps.append((self.script[0][0], self.take_script_step))
        for sent in self.messages:
            text = self.label(sent)
            steps.append((text, lambda sent=sent: self.deliver(sent)))
            if self.lost_answers and isinstance(sent[2], tuple):
                text = f"no answer to {text}"
                steps.append((text, lambda sent=sent: self.lose_request(sent)))
        for call in self.store.calls:
            if call.is_ready():
                steps.append((call.label, lambda call=call: self.store.answer(call)))
            if self.lost_answers:
                text = f"no answer to {call.label}"
                steps.append((text, lambda call=call: self.lose_call(call)))
        for node, balancer in self.balancers.items():
            text = f"periodic notices of {node}"
            steps.append((text, lambda balancer=balancer: self.notify(balancer)))
            for timer in balancer.clock.timers():
                text = f"timer {timer.func.__name__} of {node}"
                fire = balancer.clock.fire
                steps.append((text, lambda fire=fire, timer=timer: fire(timer)))
        return steps

    def label(self, sent: tuple[NodeIp, NodeIp, Any]) -> str:
        sender, node, message = sent
        text = message[0] if isinstance(message, tuple) else message
        return f"{sender} to {node}: {text}"

    def take_script_step(self) -> None:
        self.script.pop(0)[1](self)

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

    def lose_call(self, call: Any) -> None:
        self.lost_answers -= 1
        self.store.lose(call)

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
            while ready := [call for call in self.store.calls if call.is_ready()]:
                self.store.answer(ready[0])
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
