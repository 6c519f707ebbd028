"""Fraction of flows whose owner changes when one of n upstreams changes."""

from __future__ import annotations

import random

from bramleydyke.core.rendezvous import owner_order
from bramleydyke.types import UpstreamId

FLOWS = {7: 20_000, 70: 8_000, 700: 2_000}
"""Number of flows to examine, by number of upstreams."""

CHANGED_UPSTREAMS = {7: 2, 70: 8, 700: 250}
"""Number of upstreams that change, one at a time, by number of upstreams.

Few flows move when one of many upstreams changes. With 700 upstreams, the 250
changes move about 700 flows, so that the sampling error is about 4%.
"""


def measure(*, seed: int) -> dict[str, object]:
    """Measures the fraction of flows that a change of one upstream moves.

    Returns:
        ``rerouted_times_n``: by number of upstreams n, the share times n. It
        is the larger of the shares for a removal and for a doubled weight.
    """
    shares = {}
    for n, flows in FLOWS.items():
        random_source = random.Random(seed)
        keys = [random_source.randbytes(8) for _ in range(flows)]
        shares[str(n)] = round(_rerouted(n, keys, random_source) * n, 3)
    return {"rerouted_times_n": shares}


def _rerouted(n: int, keys: list[bytes], random_source: random.Random) -> float:
    weights = {UpstreamId(f"u{index}"): 1.0 for index in range(n)}
    changed = random_source.sample(sorted(weights), CHANGED_UPSTREAMS[n])
    removed = reweighted = 0
    for key in keys:
        order = owner_order(key, weights)
        removed += sum(_owner_changes(key, order, up, {up: 0.0}) for up in changed)
        reweighted += sum(_owner_changes(key, order, up, {up: 2.0}) for up in changed)
    return max(removed, reweighted) / (len(keys) * len(changed))


def _owner_changes(
    key: bytes,
    order: list[UpstreamId],
    upstream_id: UpstreamId,
    change: dict[UpstreamId, float],
) -> bool:
    """Returns whether a change of one upstream's weight moves a flow.

    The scores of the other upstreams do not depend on that weight, so the new
    owner is either the changed upstream or the first of the others.
    """
    others = [up for up in order[:2] if up != upstream_id]
    weights = {up: 1.0 for up in others} | change
    return owner_order(key, weights)[0] != order[0]
