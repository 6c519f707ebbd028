"""Parts of the models: balancers, clocks and what a system delivers."""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any

from explorer import Step
from store_model import Call, StoreModel
from twisted.internet.task import Clock

from bramleydyke.direct.balancer import Balancer
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.gossip import Fetch, Gossip
from bramleydyke.direct.registry import Registry
from bramleydyke.direct.routes import Routes
from bramleydyke.direct.store import Kind
from bramleydyke.direct.types import NodeIp
from bramleydyke.types import AvailabilityZone

ZONE = AvailabilityZone("z1")

PERIODIC = ("_poll", "_expire", "_list_balancers")
"""Timers that do not concern the explored kinds."""


def ignore(*_: Any, **__: Any) -> None:
    """Takes the place of counters and logs."""


class NodeClock(Clock):
    """Clock of one node, whose timers fire one by one in any order."""

    def timers(self) -> list[Any]:
        names = (call.func.__name__ for call in self.calls)
        pairs = zip(self.calls, names, strict=True)
        return [call for call, name in pairs if name not in PERIODIC]

    def fingerprint(self) -> Hashable:
        """Returns the timers with the revisions that they carry."""
        return sorted(
            (call.func.__name__, [a for a in call.args if isinstance(a, int)])
            for call in self.timers()
        )

    def fire(self, call: Any) -> None:
        self.rightNow = max(self.rightNow, call.getTime())
        self.calls.remove(call)
        call.called = 1
        call.func(*call.args, **call.kw)


class BalancerProcess:
    """A balancer and its registry.

    Args:
        system: System that carries its messages and its calls.
        node: IP address.
        kinds: Kinds of objects for which the store answers it.
        fetch: Fetches the configuration from another balancer.
    """

    def __init__(
        self,
        system: System,
        node: NodeIp,
        *,
        kinds: set[Kind],
        fetch: Fetch = ignore,
    ) -> None:
        self.clock = NodeClock()
        routes, directory = Routes(), Directory(ZONE)
        gossip = Gossip(
            node=node,
            routes=routes,
            send=lambda to, message: system.send(node, to, message),
            fetch=fetch,
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
        store = system.store.client(node, kinds)
        self.registry = Registry(
            store=store,
            clock=self.clock,
            random_source=random.Random(1),
            routes=routes,
            directory=directory,
            on_announcement=self.role.apply_announcement,
            gossip=gossip,
            send=gossip.send,
            count=ignore,
            record=ignore,
        )
        store.on_restored = self.registry.store_restored
        self.registry.start()


@dataclass(slots=True, kw_only=True)
class System:
    """What the models have in common.

    Attributes:
        names: IP addresses of the balancers.
        script: What happens from outside, in this order, between the other
            steps.
        lost_answers: Number of calls that may get no answer.
        messages: Messages on their way: sender, receiver and message. Any of
            them may arrive next, so they may overtake each other.
    """

    names: list[NodeIp]
    script: list[tuple[str, Callable[[Any], None]]]
    lost_answers: int = 0
    store: StoreModel = field(default_factory=StoreModel)
    messages: list[tuple[NodeIp, NodeIp, Any]] = field(default_factory=list)

    def send(self, sender: NodeIp, node: NodeIp, message: Any) -> None:
        sent = (sender, node, message)
        if sent not in self.messages:
            self.messages.append(sent)

    def take_script_step(self) -> None:
        self.script.pop(0)[1](self)

    def script_steps(self) -> list[Step]:
        return [(self.script[0][0], self.take_script_step)] if self.script else []

    def call_steps(self) -> list[Step]:
        """Returns the answers and losses of the calls to the store."""
        steps: list[Step] = []
        for call in self.store.calls:
            if call.is_ready():
                steps.append((call.label, lambda call=call: self.store.answer(call)))
            if self.lost_answers:
                text = f"no answer to {call.label}"
                steps.append((text, lambda call=call: self.lose_call(call)))
        for call in self.store.late:
            text = f"late {call.label}"
            steps.append((text, lambda call=call: self.store.run_late(call)))
        return steps

    def timer_steps(self, clocks: Iterable[tuple[NodeIp, NodeClock]]) -> list[Step]:
        return [
            (
                f"timer {timer.func.__name__} of {node}",
                lambda clock=clock, timer=timer: clock.fire(timer),
            )
            for node, clock in clocks
            for timer in clock.timers()
        ]

    def lose_call(self, call: Call) -> None:
        self.lost_answers -= 1
        self.store.lose(call)

    def answer_calls(self) -> None:
        """Answers all calls, in order, until none of them is ready."""
        while ready := [call for call in self.store.calls if call.is_ready()]:
            self.store.answer(ready[0])
