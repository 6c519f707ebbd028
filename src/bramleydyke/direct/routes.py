"""Routes: which services get the new flows of each address."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import accumulate

import msgspec
from xxhash import xxh3_64_intdigest

from bramleydyke.direct.types import ConfigVersion, FlowTuple, RouteAddress
from bramleydyke.types import ServiceId


class Share(msgspec.Struct, array_like=True, frozen=True):
    """A service of a route with its weight for new flows."""

    service: ServiceId
    weight: float


class Route(msgspec.Struct, array_like=True, frozen=True):
    """Weighted services that get the new flows of one address."""

    shares: list[Share]
    priority: int = 0
    """Priority of the route's flows; 0 is the most urgent."""

    timeout_s: float = 0.0
    """Time after which callers of the route give up; 0 if unknown."""


class RouteSet(msgspec.Struct, array_like=True, frozen=True):
    """One version of the configuration, as stored and exchanged."""

    version: ConfigVersion
    routes: dict[RouteAddress, Route]


def pick_service(shares: list[Share], flow: FlowTuple) -> ServiceId | None:
    """Returns the service of a new flow; None if all weights are 0.

    The choice depends on a hash of the flow, so it is the same at every
    balancer that has the same configuration.
    """
    if len(shares) == 1:
        return shares[0].service if shares[0].weight > 0 else None
    bounds = list(accumulate(share.weight for share in shares))
    if not bounds or bounds[-1] <= 0:
        return None
    point = xxh3_64_intdigest(flow) / 2**64 * bounds[-1]
    return next(
        share.service
        for share, bound in zip(shares, bounds, strict=True)
        if point < bound
    )


@dataclass(slots=True)
class Routes:
    """The newest configuration known to this process.

    Attributes:
        current: Configuration in force; None until the first one.
        confirmed_at: When the store last confirmed ``current``, in seconds.
        earlier: Former services of each address, which may still hold open
            flows of it.
    """

    current: RouteSet | None = None
    confirmed_at: float = float("-inf")
    earlier: dict[RouteAddress, set[ServiceId]] = field(default_factory=dict)

    @property
    def version(self) -> ConfigVersion:
        """Version in force; 0 before the first configuration."""
        return ConfigVersion(0) if self.current is None else self.current.version

    def apply(self, routes: RouteSet) -> bool:
        """Applies a configuration; returns False if it is not newer.

        Newer means a higher version than that of ``current``.
        """
        if self.current is not None and routes.version <= self.current.version:
            return False
        old = {} if self.current is None else self.current.routes
        for address, route in old.items():
            names = {share.service for share in route.shares}
            if address in routes.routes:
                now = {share.service for share in routes.routes[address].shares}
                if names != now:
                    self.earlier.setdefault(address, set()).update(names)
            else:
                self.earlier.pop(address, None)
        self.current = routes
        return True

    def confirm(self, *, now: float) -> None:
        """Records that the store had no newer configuration at this time."""
        self.confirmed_at = max(self.confirmed_at, now)

    def doubt(self) -> None:
        """Discards the store's confirmation, after a pause of this process."""
        self.confirmed_at = float("-inf")

    def find(self, address: RouteAddress) -> Route | None:
        """Returns the route of an address, or None if there is none."""
        return None if self.current is None else self.current.routes.get(address)

    def holders(self, address: RouteAddress) -> list[ServiceId]:
        """Returns the services that may hold flows of an address."""
        route = self.find(address)
        shares = [] if route is None else route.shares
        names = {share.service: None for share in shares}
        names.update(dict.fromkeys(sorted(self.earlier.get(address, ()))))
        return list(names)

    def is_fresh(self, *, within: float, now: float) -> bool:
        """Returns whether the store confirmed the configuration recently.

        Only a fresh configuration proves that a missing route does not exist.

        Args:
            within: Maximum age of the confirmation, in seconds.
            now: Time in seconds.
        """
        return self.current is not None and now - self.confirmed_at <= within
