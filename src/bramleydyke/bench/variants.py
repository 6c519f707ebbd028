"""Settings of the real cores that are measured side by side."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.bench.cluster import Node
from bramleydyke.core.admission import Admission
from bramleydyke.core.agent import Agent
from bramleydyke.types import RequestId

Variant = Callable[[Node], None]
"""Changes the settings of a core before a run."""


@dataclass(slots=True, kw_only=True)
class FifoAdmission(Admission):
    """Queues in the order in which offers arrive at the agent."""

    arrivals: itertools.count[int] = field(default_factory=itertools.count)

    def enqueue(self, request_id: RequestId, *, since: float) -> None:
        """Adds a request at the end of the queue."""
        # The zero-argument super() fails in a dataclass with slots.
        Admission.enqueue(self, request_id, since=next(self.arrivals))


def ours(_: Node) -> None:
    """Leaves the core as it is built."""


def first_version(node: Node) -> None:
    """Offers to one candidate after the other; nothing else."""
    node.placer.probes = False
    node.placer.first_repeat_s = 0.0
    node.placer.candidates.max_limited_offers = 0
    without_release(node)
    in_order_of_arrival(node)
    short_queue(node)


def without_probes(node: Node) -> None:
    """Offers to one candidate after the other."""
    node.placer.probes = False


def without_early_repeat(node: Node) -> None:
    """Repeats a lost offer after the ordinary time-out only."""
    node.placer.first_repeat_s = 0.0


def without_release(node: Node) -> None:
    """Leaves queued requests at the agent that queued them."""
    if isinstance(node, Agent):
        node.requests.idle_fanout = 0


def in_order_of_arrival(node: Node) -> None:
    """Queues by arrival at the agent, whatever was waited before."""
    if isinstance(node, Agent):
        slots = node.announcement.slots
        node.requests.work.admission = FifoAdmission(slots=slots)


def short_queue(node: Node) -> None:
    """Queues at most eight requests for each slot."""
    if isinstance(node, Agent):
        node.requests.work.admission.queue_per_slot = 8


def chain_of_seven(node: Node) -> None:
    """Takes all upstreams of the larger services as candidates."""
    node.placer.candidates.chain_length = 7


def chain_of_two(node: Node) -> None:
    """Takes two candidates."""
    node.placer.candidates.chain_length = 2


def chain_of_three(node: Node) -> None:
    """Takes three candidates."""
    node.placer.candidates.chain_length = 3


REPORTED: dict[str, Variant] = {"bramleydyke": ours, "first_version": first_version}
"""Variants that ``make bench`` runs."""

VARIANTS: dict[str, Variant] = REPORTED | {
    "without_probes": without_probes,
    "without_early_repeat": without_early_repeat,
    "without_release": without_release,
    "in_order_of_arrival": in_order_of_arrival,
    "short_queue": short_queue,
    "chain_of_7": chain_of_seven,
    "chain_of_2": chain_of_two,
    "chain_of_3": chain_of_three,
}
"""All variants by the name under which they are reported."""
