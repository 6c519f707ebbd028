"""Liveness probes of other processes, with retries and a timeout."""

from __future__ import annotations

from dataclasses import dataclass, field

from bramleydyke.constants import PROBE_TIMEOUT_S, PROBE_TRIES
from bramleydyke.core.timers import Timers
from bramleydyke.messages import FlowProbe
from bramleydyke.types import NodeId


@dataclass(slots=True)
class _PendingProbe:
    probe: FlowProbe
    tries: int = 1


@dataclass(slots=True)
class Probes:
    """Tracks at most one unanswered probe for each process.

    Any message from the process counts as an answer. A process that answers
    none of ``PROBE_TRIES`` probes is reported as silent.

    Attributes:
        heard_at: Time of the last message from each process.
        pending: Unanswered probe of each process.
        timers: Timeout of each unanswered probe.
    """

    heard_at: dict[NodeId, float] = field(default_factory=dict)
    pending: dict[NodeId, _PendingProbe] = field(default_factory=dict)
    timers: Timers[NodeId] = field(default_factory=Timers)

    def heard(self, node_id: NodeId, *, now: float) -> None:
        """Records a message from a process, which answers its probe."""
        self.heard_at[node_id] = now
        if node_id in self.pending:
            del self.pending[node_id]
            self.timers.cancel(node_id)

    def heard_within(self, node_id: NodeId, seconds: float, *, now: float) -> bool:
        """Returns whether a process sent a message in the last ``seconds``."""
        heard_at = self.heard_at.get(node_id)
        return heard_at is not None and now - heard_at < seconds

    def start(self, node_id: NodeId, probe: FlowProbe, *, now: float) -> None:
        """Records a new probe, which the caller of this method sends."""
        self.pending[node_id] = _PendingProbe(probe)
        self.timers.set(node_id, now + PROBE_TIMEOUT_S)

    def due(self, *, now: float) -> tuple[list[tuple[NodeId, FlowProbe]], list[NodeId]]:
        """Returns the probes to repeat, and processes that became silent."""
        repeated, silent = [], []
        for node_id in self.timers.pop_due(now):
            pending = self.pending[node_id]
            if pending.tries >= PROBE_TRIES:
                del self.pending[node_id]
                silent.append(node_id)
                continue
            pending.tries += 1
            self.timers.set(node_id, now + PROBE_TIMEOUT_S)
            repeated.append((node_id, pending.probe))
        return repeated, silent
