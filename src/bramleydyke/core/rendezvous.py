"""Weighted rendezvous hashing.

Ranks the upstreams for a key; the first one is the owner of the key. Processes
with the same upstreams and weights compute the same order, so they need not
exchange owners. Adding, removing or reweighting an upstream changes the owner
only of those keys that the upstream owns before or after the change.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable, Mapping
from typing import TypeVar

from xxhash import xxh3_64_intdigest

from bramleydyke.types import UpstreamId

_HASH_SPAN = float(2**64)

Upstream = TypeVar("Upstream", bound=Hashable)


def score(key: bytes, upstream_id: UpstreamId, weight: float) -> float:
    """Returns the weighted rendezvous score of an upstream for a key.

    The upstream with the highest score owns the key.
    """
    digest = xxh3_64_intdigest(upstream_id.encode(), seed=xxh3_64_intdigest(key))
    uniform = (digest + 1) / (_HASH_SPAN + 2)
    return -weight / math.log(uniform)


def owner_order(key: bytes, weights: Mapping[UpstreamId, float]) -> list[UpstreamId]:
    """Returns the upstreams by descending score, so the key's owner first.

    Args:
        key: Flow key or request id.
        weights: Weight of each upstream; a weight of zero excludes it.
    """
    return sorted(
        (upstream for upstream, weight in weights.items() if weight > 0),
        key=lambda upstream: (score(key, upstream, weights[upstream]), upstream),
        reverse=True,
    )


def unweighted_owner_order(
    key: bytes, names: Mapping[Upstream, bytes]
) -> list[Upstream]:
    """Returns the same order as ``owner_order`` for upstreams of equal weight.

    With equal weights the scores have the same order as the digests, which
    are cheaper to compute.

    Args:
        key: Flow key.
        names: Name of each upstream, as bytes.
    """
    seed = xxh3_64_intdigest(key)
    digests = {
        upstream: xxh3_64_intdigest(name, seed=seed) for upstream, name in names.items()
    }
    return sorted(digests, key=digests.__getitem__, reverse=True)


def first_usable(
    order: Iterable[UpstreamId], usable: set[UpstreamId]
) -> UpstreamId | None:
    """Returns the first upstream of ``order`` that is usable, or None."""
    return next((upstream for upstream in order if upstream in usable), None)
