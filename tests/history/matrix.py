"""Fault matrix: injects every fault at every step of a request.

A cell is one run: a request, a step, and the faults that are injected when the
request reaches this step. Steps and faults are tables, so that adding one
extends the whole matrix.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

from checker import Result
from fakes import BOARD, Behaviour
from harness import World

from bramleydyke.core.rendezvous import owner_order
from bramleydyke.messages import (
    Accepted,
    Answer,
    AnswerCaller,
    CancelRequest,
    Envelope,
    Offer,
    RequestArrived,
    RunRequest,
)
from bramleydyke.types import NodeId, agent_node, balancer_node

KEY = "lot-1"
REQUEST_KINDS = {
    "keyed": {"keyed": True, "first": True},
    "unkeyed": {"keyed": False},
    "idempotent": {"keyed": False, "idempotent": True},
}
"""Arguments of ``World.call`` for each kind of request."""

CELL_DURATION_S = 40.0
"""Duration of a cell's run in seconds; all faults end well before."""

REORDER_DELAY_S = 1.5
"""Delay of a reordered message in seconds; later messages overtake it.

It is longer than an agent's poll interval, so that at least one poll is sent
in the meantime.
"""


@dataclass(frozen=True, slots=True)
class Step:
    """A point in the course of a request at which faults are injected.

    Attributes:
        matches: Returns whether an envelope marks this point.
        delay_s: Time from the matching envelope to the injection, in seconds.
        caller_leaves: The caller disconnects while the request runs.
        owner_busy: The agent that owns the request's key has no free slot,
            so it forwards the request to another agent.
    """

    matches: Callable[[Envelope], bool]
    delay_s: float = 0.0
    caller_leaves: bool = False
    owner_busy: bool = False


def _message(
    kind: type, sender: str = "", receiver: str = ""
) -> Callable[[Envelope], bool]:
    """Returns a predicate for messages, by class and prefixes of the nodes."""
    return lambda item: (
        isinstance(item.payload, kind)
        and item.sender.startswith(sender)
        and item.receiver.startswith(receiver)
    )


STEPS = {
    "opening sent": Step(_message(RequestArrived)),
    "offered": Step(_message(Offer)),
    "admitted": Step(_message(Accepted)),
    "forwarded": Step(_message(Offer, sender="agent/"), owner_busy=True),
    "running": Step(_message(RunRequest), delay_s=0.02),
    "answer sent": Step(_message(Answer)),
    "answer relayed": Step(_message(AnswerCaller)),
    "closing": Step(_message(CancelRequest), caller_leaves=True),
    "idle": Step(_message(AnswerCaller), delay_s=0.5),
}


@dataclass(slots=True)
class Cell:
    """One run of a request with faults at a step.

    Attributes:
        step: Key in ``STEPS``.
        kind: Key in ``REQUEST_KINDS``.
        faults: Keys in ``FAULTS``; the first is injected at the step, others
            up to 1.5 s later.
        agent: Agent that last sent or received a message of the request; it
            is the target of the faults.
        effective_faults: Faults that had an effect in this run.
        pending_faults: Message faults not yet applied; each one affects the
            next message between processes.
        injected: True once the first fault was injected.
        reorder_until: Time at which a reordered message arrives; a message
            sent earlier overtakes it.
    """

    step: str
    kind: str
    faults: tuple[str, ...]
    seed: int
    world: World = field(init=False)
    agent: NodeId = field(init=False)
    random: random.Random = field(init=False)
    effective_faults: set[str] = field(default_factory=set)
    pending_faults: list[str] = field(default_factory=list)
    injected: bool = False
    reorder_until: float = 0.0

    def run(self) -> list[str]:
        """Runs the cell; returns broken guarantees and other failures."""
        self.random = random.Random(self.seed)
        self.world = World(self.seed, upstreams=3)
        for node_id in self.world.agents():
            self.world.behaviour[node_id] = Behaviour(mean_time_s=0.4)
        self.agent = self._owner()
        if STEPS[self.step].owner_busy:
            self._occupy_slot(self.agent)
        self.world.taps.append(self._tap)
        self.world.after(0.0, lambda: self._call("b0"))
        if self.kind == "keyed":
            for delay in (1.2, 3.0, 9.0):
                self.world.after(delay, lambda: self._call())
        self.world.run(self.world.now + CELL_DURATION_S)
        return [
            *self.world.violations(),
            *self._interruptions(),
            *self._service_failures(),
        ]

    def _call(self, balancer: str | None = None) -> None:
        fields = dict(REQUEST_KINDS[self.kind])
        if balancer is None:
            balancer = self.random.choice(self.world.balancers()[-2:])
            fields["first"] = False
        self.world.call(BOARD, KEY, balancer=balancer, **fields)

    def _owner(self) -> NodeId:
        return agent_node(BOARD, self._owner_order(f"key/{KEY}")[0])

    def _owner_order(self, key: str) -> list:
        names = self.world.upstreams(BOARD)
        return owner_order(key.encode(), dict.fromkeys(names, 1.0))

    def _occupy_slot(self, owner: NodeId) -> None:
        """Fills the owner's only slot with a request that gets no reply.

        The request's key is one that this agent owns. The request times out
        after 20 s.
        """
        keys = (f"blocker{index}" for index in range(100))
        upstream = self._owner_order(f"key/{KEY}")[0]
        key = next(
            key for key in keys if self._owner_order(f"key/{key}")[0] == upstream
        )
        previous, self.world.behaviour[owner] = (
            self.world.behaviour[owner],
            Behaviour(no_reply=1.0),
        )
        self.world.call(BOARD, key, balancer="b1", first=True, timeout=20.0)
        self.world.run(self.world.now + 0.5)
        self.world.behaviour[owner] = previous

    # Fault injection.

    def _tap(self, envelope: Envelope) -> list[float] | None:
        if not self._belongs_to_request(envelope):
            return None
        step = STEPS[self.step]
        if isinstance(envelope.payload, RunRequest) and step.caller_leaves:
            self.world.after(0.05, lambda: self._abandon())
        if not self.injected and step.matches(envelope):
            self.injected = True
            self._update_agent(envelope)
            if step.delay_s:
                self.world.after(step.delay_s, self._inject)
            else:
                self._inject()
        self._update_agent(envelope)
        return self._apply_message_fault(envelope)

    def _belongs_to_request(self, envelope: Envelope) -> bool:
        payload = getattr(envelope.payload, "payload", b"") or b""
        request_id = getattr(envelope.payload, "request_id", "") or ""
        blocker = b"blocker" in payload or "blocker" in request_id
        return not blocker and "studio" not in envelope.receiver

    def _update_agent(self, envelope: Envelope) -> None:
        for node_id in (envelope.sender, envelope.receiver):
            if node_id.startswith("agent/"):
                self.agent = node_id

    def _abandon(self) -> None:
        for attempt in [*self.world.open]:
            if self.world.open[attempt].key == KEY:
                self.world.abandon(attempt)

    def _inject(self) -> None:
        first, *others = self.faults
        FAULTS[first](self)
        for fault in others:
            delay = self.random.choice([0.0, 0.2, 0.6, 1.5])
            self.world.after(delay, lambda fault=fault: FAULTS[fault](self))

    def _apply_message_fault(self, envelope: Envelope) -> list[float] | None:
        """Applies the next pending fault to a message between processes.

        Returns:
            The delay of each copy of the message, None for the link's delays.
        """
        between = envelope.sender.startswith(("agent/", "balancer/"))
        if envelope.receiver.startswith("local/") or not between:
            return None
        if self.world.now < self.reorder_until:
            self.effective_faults.add("packet crossed")
        if not self.pending_faults:
            return None
        fault_name = self.pending_faults.pop(0)
        if fault_name == "packet crossed":
            self.reorder_until = self.world.now + REORDER_DELAY_S
            return [REORDER_DELAY_S]
        self.effective_faults.add(fault_name)
        return {
            "packet lost": [],
            "packet doubled": [0.001, 0.7],
            "packet delayed": [2.5],
        }[fault_name]

    # Checks after the run.

    def _interruptions(self) -> Iterator[str]:
        """Yields a failure if a planned change made the first attempt fail."""
        if not set(self.faults) <= PLANNED_CHANGES or STEPS[self.step].caller_leaves:
            return
        for outcome in self.world.outcomes():
            if (
                outcome.result is not Result.ANSWER
                and outcome.attempt == self._first_attempt()
            ):
                yield f"planned change interrupted a request: {outcome}"

    def _first_attempt(self) -> int:
        invokes = (item for item in self.world.history if hasattr(item, "balancer"))
        return next(item.attempt for item in invokes if item.key == KEY)

    def _service_failures(self) -> Iterator[str]:
        """Yields a failure if a new request gets no answer within 6 s."""
        self.world.behaviour.clear()
        balancer = self.world.balancers()[-1]
        attempt = self.world.call(
            BOARD, "fresh", balancer=balancer, keyed=False, idempotent=True
        )
        self.world.run(self.world.now + 6.0)
        results = [
            item.result for item in self.world.outcomes() if item.attempt == attempt
        ]
        if results != [Result.ANSWER]:
            yield f"no answer to a new request after the faults: {results}"


# Faults.

Fault = Callable[[Cell], None]


def _immediate_fault(name: str, act: Fault) -> Fault:
    """Returns a fault that acts at once, if the target agent is running."""

    def inject(cell: Cell) -> None:
        if cell.agent in cell.world.nodes:
            act(cell)
            cell.effective_faults.add(name)

    return inject


def _message_fault(name: str) -> Fault:
    return lambda cell: cell.pending_faults.append(name)


def _balancer_dies(cell: Cell) -> None:
    names = cell.world.balancers()
    if len(names) > 1:
        cell.world.kill(balancer_node(names[0]))


def _agent_restarts(cell: Cell) -> None:
    upstream = cell.agent.rpartition("/")[2]
    cell.world.kill(cell.agent)
    cell.world.after(0.3, lambda: cell.world.start_agent(BOARD, upstream))


def _agent_paused(cell: Cell) -> None:
    agent = cell.agent
    cell.world.pause(agent)
    cell.world.after(4.5, lambda: cell.world.resume(agent))


def _link_silent(cell: Cell) -> None:
    agent = cell.agent
    cell.world.isolated.add(agent)
    cell.world.after(2.0, lambda: cell.world.isolated.discard(agent))


def _change_upstream(**fields: float) -> Fault:
    def act(cell: Cell) -> None:
        cell.world.behaviour[cell.agent] = replace(
            cell.world.behaviour.get(cell.agent, Behaviour()), **fields
        )

    return act


def _configure(cell: Cell) -> None:
    """Removes the request's upstream, or adds one if only two are left.

    The change reaches each process after a random delay of up to 3 s.
    """
    names = cell.world.upstreams(BOARD)
    name = cell.agent.rpartition("/")[2]
    cell.world.max_propagation_s = 3.0
    kept = [item for item in names if item != name]
    cell.world.configure(BOARD, kept if len(names) > 2 else [*names, "u9"])


def _store_down(cell: Cell) -> None:
    """Delays a configuration change, while a balancer joins without it."""
    cell.world.after(6.0, lambda: _configure(cell))
    cell.world.join_balancer(f"learns{cell.random.random()}")


def _store_answer_lost(cell: Cell) -> None:
    """Applies a change twice, as an operator without confirmation would."""
    _configure(cell)
    names = cell.world.upstreams(BOARD)
    cell.world.after(1.0, lambda: cell.world.configure(BOARD, names))


def _join(cell: Cell) -> None:
    cell.world.join_balancer(f"joined{cell.random.random()}")


_IMMEDIATE_FAULTS: dict[str, Fault] = {
    "balancer dies": _balancer_dies,
    "balancer joins": _join,
    "agent dies": lambda cell: cell.world.kill(cell.agent),
    "agent restarts": _agent_restarts,
    "agent paused past its lease": _agent_paused,
    "link silent": _link_silent,
    "upstream drains": lambda cell: cell.world.drain(cell.agent),
    "upstream sheds": _change_upstream(shed=1.0),
    "upstream cold": _change_upstream(mean_time_s=2.0),
    "upstream lies about health": _change_upstream(fail=1.0),
    "configuration change seen unevenly": _configure,
    "store down": _store_down,
    "store answer lost": _store_answer_lost,
}
_MESSAGE_FAULTS = ("packet lost", "packet doubled", "packet delayed", "packet crossed")

FAULTS: dict[str, Fault] = {
    name: _immediate_fault(name, act) for name, act in _IMMEDIATE_FAULTS.items()
} | {name: _message_fault(name) for name in _MESSAGE_FAULTS}

PLANNED_CHANGES = {
    "balancer joins",
    "upstream drains",
    "configuration change seen unevenly",
    "store down",
    "store answer lost",
}
"""Planned changes; none of them may cause a request to fail."""


@dataclass(slots=True)
class Report:
    """Results of many cells.

    Attributes:
        failures: Broken guarantees and other failures, one line each.
        effective_pairs: Pairs of a step and a fault that had an effect there.
    """

    failures: list[str] = field(default_factory=list)
    effective_pairs: set[tuple[str, str]] = field(default_factory=set)

    def run(self, step: str, combinations: Iterable[tuple[str, ...]]) -> None:
        """Runs one cell for each combination of faults and kind of request."""
        for seed, faults in enumerate(combinations):
            for kind in REQUEST_KINDS:
                cell = Cell(step, kind, faults, seed)
                for item in cell.run():
                    self.failures.append(f"{step} x {faults} {kind} {seed=}: {item}")
                self.effective_pairs |= {
                    (step, fault) for fault in cell.effective_faults
                }


def pairs(step: str, count: int) -> list[tuple[str, ...]]:
    """Returns random pairs of different faults, seeded by the step's name."""
    source = random.Random(step)
    return [tuple(source.sample([*FAULTS], 2)) for _ in range(count)]
