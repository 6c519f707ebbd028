"""Weighted rendezvous hashing: the owner order of a key.

Every process that holds the same upstreams and weights computes the same
order, so owners need no exchange. When one of n upstreams changes, only the
keys that it owned move.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable, Mapping
from typing import TypeVar

from xxhash import xxh3_64_intdigest

from bramleydyke.types import UpstreamId

_HASH_SPAN = float(2**64)

Name = TypeVar("Name", bound=Hashable)


def score(key: bytes, upstream_id: UpstreamId, weight: float) -> float:
    """Returns the rank value of an upstream for a key; the largest owns it."""
    digest = xxh3_64_intdigest(upstream_id.encode(), seed=xxh3_64_intdigest(key))
    uniform = (digest + 1) / (_HASH_SPAN + 2)
    return -weight / math.log(uniform)


def owner_order(key: bytes, weights: Mapping[UpstreamId, float]) -> list[UpstreamId]:
    """Returns the upstreams with a positive weight, the key's owner first.

    Args:
        key: Flow key or request id.
        weights: Weight of each upstream; zero takes it out.
    """
    return sorted(
        (upstream for upstream, weight in weights.items() if weight > 0),
        key=lambda upstream: (score(key, upstream, weights[upstream]), upstream),
        reverse=True,
    )


def order_of_equals(key: bytes, names: Mapping[Name, bytes]) -> list[Name]:
    """Returns the order of upstreams of equal weight, as ``owner_order`` does.

    The scores of equals rank as their digests do, which are cheaper.

    Args:
        key: Flow key.
        names: Each upstream's name as bytes.
    """
    seed = xxh3_64_intdigest(key)
    digests = {
        upstream: xxh3_64_intdigest(name, seed=seed) for upstream, name in names.items()
    }
    return sorted(digests, key=digests.__getitem__, reverse=True)


def first_usable(
    order: Iterable[UpstreamId], usable: set[UpstreamId]
) -> UpstreamId | None:
    """Returns the first upstream of an order that may take new work."""
    return next((upstream for upstream in order if upstream in usable), None)
