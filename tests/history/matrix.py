"""Fault matrix: injects every fault at every step of a request.

A cell is one run: a request, a step, and the faults that are injected when the
request reaches this step. Steps and faults are tables, so that adding one
extends the whole matrix.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

from checker import Got
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
KINDS = {
    "keyed": {"keyed": True, "first": True},
    "unkeyed": {"keyed": False},
    "idempotent": {"keyed": False, "idempotent": True},
}
"""Arguments of ``World.call`` for each kind of request."""

CELL_S = 40.0
"""Duration of a cell's run in seconds; all faults end well before."""

CROSSING_S = 1.5
"""Delay, in seconds, that lets later messages overtake a message.

It is longer than an agent's poll interval, so that at least one poll is sent
in the meantime.
"""


@dataclass(frozen=True, slots=True)
class Step:
    """A point in the course of a request at which faults are injected.

    Attributes:
        seen: Returns whether an envelope marks this point.
        wait_s: Time from the envelope to the injection, in seconds.
        leaves: The caller disconnects while the request runs.
        home_busy: The agent that owns the request's key has no free slot, so
            it forwards the request to another agent.
    """

    seen: Callable[[Envelope], bool]
    wait_s: float = 0.0
    leaves: bool = False
    home_busy: bool = False


def _is(kind: type, sender: str = "", receiver: str = "") -> Callable[[Envelope], bool]:
    return lambda item: (
        isinstance(item.payload, kind)
        and item.sender.startswith(sender)
        and item.receiver.startswith(receiver)
    )


STEPS = {
    "opening sent": Step(_is(RequestArrived)),
    "offered": Step(_is(Offer)),
    "admitted": Step(_is(Accepted)),
    "forwarded": Step(_is(Offer, sender="agent/"), home_busy=True),
    "running": Step(_is(RunRequest), wait_s=0.02),
    "answer sent": Step(_is(Answer)),
    "answer relayed": Step(_is(AnswerCaller)),
    "closing": Step(_is(CancelRequest), leaves=True),
    "idle": Step(_is(AnswerCaller), wait_s=0.5),
}


@dataclass(slots=True)
class Cell:
    """One run of a request with faults at a step.

    Attributes:
        step: Key in ``STEPS``.
        kind: Key in ``KINDS``.
        faults: Keys in ``FAULTS``; the first is injected at the step, others
            up to 1.5 s later.
        agent: Agent that last sent or received a message of the request; it
            is the target of the faults.
        effects: Faults that changed something in this run.
        tricks: Message faults not yet applied; each one affects the next
            message between processes.
        struck: True once the first fault was injected.
        in_flight_until: Time at which a reordered message arrives; a message
            sent earlier overtakes it.
    """

    step: str
    kind: str
    faults: tuple[str, ...]
    seed: int
    world: World = field(init=False)
    agent: NodeId = field(init=False)
    random: random.Random = field(init=False)
    effects: set[str] = field(default_factory=set)
    tricks: list[str] = field(default_factory=list)
    struck: bool = False
    in_flight_until: float = 0.0

    def run(self) -> list[str]:
        """Runs the cell; returns broken guarantees and other failures."""
        self.random = random.Random(self.seed)
        self.world = World(self.seed, upstreams=3)
        for node_id in self.world.agents():
            self.world.behaviour[node_id] = Behaviour(time_s=0.4)
        self.agent = self._home()
        if STEPS[self.step].home_busy:
            self._occupy(self.agent)
        self.world.taps.append(self._tap)
        self.world.after(0.0, lambda: self._call("b0"))
        if self.kind == "keyed":
            for delay in (1.2, 3.0, 9.0):
                self.world.after(delay, lambda: self._call())
        self.world.run(self.world.now + CELL_S)
        return [*self.world.violations(), *self._interrupted(), *self._stuck()]

    def _call(self, balancer: str | None = None) -> None:
        fields = dict(KINDS[self.kind])
        if balancer is None:
            balancer = self.random.choice(self.world.balancers()[-2:])
            fields["first"] = False
        self.world.call(BOARD, KEY, balancer=balancer, **fields)

    def _home(self) -> NodeId:
        return agent_node(BOARD, self._order(f"key/{KEY}")[0])

    def _order(self, key: str) -> list:
        names = self.world.upstreams(BOARD)
        return owner_order(key.encode(), dict.fromkeys(names, 1.0))

    def _occupy(self, home: NodeId) -> None:
        """Fills the owner's only slot with a request that gets no reply."""
        keys = (f"blocker{index}" for index in range(100))
        upstream = self._order(f"key/{KEY}")[0]
        key = next(key for key in keys if self._order(f"key/{key}")[0] == upstream)
        usual, self.world.behaviour[home] = (
            self.world.behaviour[home],
            Behaviour(mute=1.0),
        )
        self.world.call(BOARD, key, balancer="b1", first=True, timeout=20.0)
        self.world.run(self.world.now + 0.5)
        self.world.behaviour[home] = usual

    # Fault injection.

    def _tap(self, envelope: Envelope) -> list[float] | None:
        if not self._concerns(envelope):
            return None
        step = STEPS[self.step]
        if isinstance(envelope.payload, RunRequest) and step.leaves:
            self.world.after(0.05, lambda: self._leave())
        if not self.struck and step.seen(envelope):
            self.struck = True
            self._note_agent(envelope)
            if step.wait_s:
                self.world.after(step.wait_s, self._strike)
            else:
                self._strike()
        self._note_agent(envelope)
        return self._play_trick(envelope)

    def _concerns(self, envelope: Envelope) -> bool:
        payload = getattr(envelope.payload, "payload", b"") or b""
        request_id = getattr(envelope.payload, "request_id", "") or ""
        blocker = b"blocker" in payload or "blocker" in request_id
        return not blocker and "studio" not in envelope.receiver

    def _note_agent(self, envelope: Envelope) -> None:
        for node_id in (envelope.sender, envelope.receiver):
            if node_id.startswith("agent/"):
                self.agent = node_id

    def _leave(self) -> None:
        for attempt in [*self.world.open]:
            if self.world.open[attempt].key == KEY:
                self.world.abandon(attempt)

    def _strike(self) -> None:
        first, *others = self.faults
        FAULTS[first](self)
        for fault in others:
            delay = self.random.choice([0.0, 0.2, 0.6, 1.5])
            self.world.after(delay, lambda fault=fault: FAULTS[fault](self))

    def _play_trick(self, envelope: Envelope) -> list[float] | None:
        """Applies the next pending fault to a message between processes.

        Returns:
            The delay of each copy of the message, None to leave it as it is.
        """
        between = envelope.sender.startswith(("agent/", "balancer/"))
        if envelope.receiver.startswith("local/") or not between:
            return None
        if self.world.now < self.in_flight_until:
            self.effects.add("packet crossed")
        if not self.tricks:
            return None
        trick = self.tricks.pop(0)
        if trick == "packet crossed":
            self.in_flight_until = self.world.now + CROSSING_S
            return [CROSSING_S]
        self.effects.add(trick)
        return {
            "packet lost": [],
            "packet doubled": [0.001, 0.7],
            "packet delayed": [2.5],
        }[trick]

    # Checks after the run.

    def _interrupted(self) -> Iterator[str]:
        """Yields a first attempt that planned changes kept from its answer."""
        if not set(self.faults) <= PLANNED or STEPS[self.step].leaves:
            return
        for outcome in self.world.outcomes():
            if outcome.got is not Got.ANSWER and outcome.attempt == self._first():
                yield f"planned change interrupted a request: {outcome}"

    def _first(self) -> int:
        invokes = (item for item in self.world.history if hasattr(item, "balancer"))
        return next(item.attempt for item in invokes if item.key == KEY)

    def _stuck(self) -> Iterator[str]:
        """Yields a failure if a new request gets no answer within 6 s."""
        self.world.behaviour.clear()
        balancer = self.world.balancers()[-1]
        attempt = self.world.call(
            BOARD, "fresh", balancer=balancer, keyed=False, idempotent=True
        )
        self.world.run(self.world.now + 6.0)
        got = [item.got for item in self.world.outcomes() if item.attempt == attempt]
        if got != [Got.ANSWER]:
            yield f"no answer to a new request after the faults: {got}"


# Faults.

Fault = Callable[[Cell], None]


def _effect(name: str, act: Fault) -> Fault:
    """Returns a fault that acts at once, if the target agent is running."""

    def strike(cell: Cell) -> None:
        if cell.agent in cell.world.nodes:
            act(cell)
            cell.effects.add(name)

    return strike


def _trick(name: str) -> Fault:
    return lambda cell: cell.tricks.append(name)


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
    cell.world.cut.add(agent)
    cell.world.after(2.0, lambda: cell.world.cut.discard(agent))


def _behave(**fields: float) -> Fault:
    def act(cell: Cell) -> None:
        cell.world.behaviour[cell.agent] = replace(
            cell.world.behaviour.get(cell.agent, Behaviour()), **fields
        )

    return act


def _configure(cell: Cell) -> None:
    """Removes the request's upstream, or adds one if only two are left.

    The change reaches each process at its own time, up to 3 s later.
    """
    names = cell.world.upstreams(BOARD)
    name = cell.agent.rpartition("/")[2]
    cell.world.spread_s = 3.0
    kept = [item for item in names if item != name]
    cell.world.configure(BOARD, kept if len(names) > 2 else [*names, "u9"])


def _store_down(cell: Cell) -> None:
    """Delays a configuration change, while a balancer joins without it."""
    cell.world.after(6.0, lambda: _configure(cell))
    cell.world.join_balancer(f"learns{cell.random.random()}")


def _store_answer_lost(cell: Cell) -> None:
    """Makes a change twice, as an operator who got no confirmation does."""
    _configure(cell)
    names = cell.world.upstreams(BOARD)
    cell.world.after(1.0, lambda: cell.world.configure(BOARD, names))


def _join(cell: Cell) -> None:
    cell.world.join_balancer(f"joined{cell.random.random()}")


_ACTS: dict[str, Fault] = {
    "balancer dies": _balancer_dies,
    "balancer joins": _join,
    "agent dies": lambda cell: cell.world.kill(cell.agent),
    "agent restarts": _agent_restarts,
    "agent paused past its lease": _agent_paused,
    "link silent": _link_silent,
    "upstream drains": lambda cell: cell.world.drain(cell.agent),
    "upstream sheds": _behave(shed=1.0),
    "upstream cold": _behave(time_s=2.0),
    "upstream lies about health": _behave(fail=1.0),
    "configuration change seen unevenly": _configure,
    "store down": _store_down,
    "store answer lost": _store_answer_lost,
}
_TRICKS = ("packet lost", "packet doubled", "packet delayed", "packet crossed")

FAULTS: dict[str, Fault] = {name: _effect(name, act) for name, act in _ACTS.items()} | {
    name: _trick(name) for name in _TRICKS
}

PLANNED = {
    "balancer joins",
    "upstream drains",
    "configuration change seen unevenly",
    "store down",
    "store answer lost",
}
"""Planned changes; none of them may keep a request from its answer."""


@dataclass(slots=True)
class Report:
    """Results of many cells.

    Attributes:
        broken: Failures, one line each.
        exercised: Steps and faults of which the fault took effect.
    """

    broken: list[str] = field(default_factory=list)
    exercised: set[tuple[str, str]] = field(default_factory=set)

    def run(self, step: str, combinations: Iterable[tuple[str, ...]]) -> None:
        """Runs one cell for each combination of faults and kind of request."""
        for seed, faults in enumerate(combinations):
            for kind in KINDS:
                cell = Cell(step, kind, faults, seed)
                for item in cell.run():
                    self.broken.append(f"{step} x {faults} {kind} {seed=}: {item}")
                self.exercised |= {(step, fault) for fault in cell.effects}


def pairs(step: str, count: int) -> list[tuple[str, ...]]:
    """Returns random pairs of different faults, the same ones for a step."""
    source = random.Random(step)
    return [tuple(source.sample([*FAULTS], 2)) for _ in range(count)]
