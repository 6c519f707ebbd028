"""Variants of the real cores that the placement benchmark compares."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.bench.cluster import Node
from bramleydyke.core.admission import Admission
from bramleydyke.core.agent import Agent
from bramleydyke.types import RequestId

Variant = Callable[[Node], None]
"""Function that changes the settings of a balancer or agent before a run."""


@dataclass(slots=True, kw_only=True)
class FifoAdmission(Admission):
    """Orders the queue by arrival at this agent, not by total waiting time."""

    arrivals: itertools.count[int] = field(default_factory=itertools.count)

    def enqueue(self, request_id: RequestId, *, since: float) -> None:
        """Adds a request at the end of the queue."""
        # The zero-argument super() fails in a dataclass with slots.
        Admission.enqueue(self, request_id, since=next(self.arrivals))


def unchanged(_: Node) -> None:
    """Leaves the balancer or agent unchanged."""


def first_version(node: Node) -> None:
    """Restores the placement of the first version of bramleydyke.

    It offered a request to one candidate after the other, without asking for
    their backlogs first or repeating lost offers early. Agents' queues were
    short and first in, first out. No queued request moved to another agent.
    """
    node.placer.probing_enabled = False
    node.placer.first_repeat_s = 0.0
    node.placer.candidates.max_limited_offers = 0
    without_release(node)
    in_order_of_arrival(node)
    short_queue(node)


def without_probes(node: Node) -> None:
    """Offers to one candidate at a time, without asking for backlogs."""
    node.placer.probing_enabled = False


def without_early_repeat(node: Node) -> None:
    """Repeats a lost offer only after the ordinary timeout."""
    node.placer.first_repeat_s = 0.0


def without_release(node: Node) -> None:
    """Sends no idle notices, so that queued requests stay at their agent."""
    if isinstance(node, Agent):
        node.requests.idle_fanout = 0


def in_order_of_arrival(node: Node) -> None:
    """Orders queues by arrival at the agent, not by total waiting time."""
    if isinstance(node, Agent):
        slots = node.announcement.slots
        node.requests.executor.admission = FifoAdmission(slots=slots)


def short_queue(node: Node) -> None:
    """Queues at most eight requests for each slot."""
    if isinstance(node, Agent):
        node.requests.executor.admission.queue_per_slot = 8


def seven_candidates(node: Node) -> None:
    """Chooses seven candidates: all upstreams of the larger services."""
    node.placer.candidates.max_candidates = 7


def two_candidates(node: Node) -> None:
    """Chooses two candidates for each request."""
    node.placer.candidates.max_candidates = 2


def three_candidates(node: Node) -> None:
    """Chooses three candidates for each request."""
    node.placer.candidates.max_candidates = 3


DEFAULT_VARIANTS: dict[str, Variant] = {
    "bramleydyke": unchanged,
    "first_version": first_version,
}
"""Variants that ``make bench`` runs."""

VARIANTS: dict[str, Variant] = DEFAULT_VARIANTS | {
    "without_probes": without_probes,
    "without_early_repeat": without_early_repeat,
    "without_release": without_release,
    "in_order_of_arrival": in_order_of_arrival,
    "short_queue": short_queue,
    "chain_of_7": seven_candidates,
    "chain_of_2": two_candidates,
    "chain_of_3": three_candidates,
}
"""All variants by their names in the results."""
