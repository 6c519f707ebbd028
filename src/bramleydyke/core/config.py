"""Configuration in force, with an increasing generation for each partner."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import HOME_MIN_AGE_S, MAX_PREVIOUS_OWNER_SETS
from bramleydyke.types import (
    AvailabilityZone,
    Generation,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)


class UpstreamSpec(msgspec.Struct, frozen=True, array_like=True):
    """An upstream as the sheet declares it."""

    upstream_id: UpstreamId
    zone: AvailabilityZone
    weight: float = 1.0
    """Relative load: an upstream with twice the weight gets twice the work."""

    slots: int = 1
    """Maximum number of requests that the upstream serves concurrently."""


WeightSet = tuple[tuple[UpstreamId, float], ...]
"""Weights of all upstreams of a service in one generation."""


class ServiceConfig(msgspec.Struct, frozen=True, array_like=True):
    """Configuration of one service, or the tombstone of a deleted one."""

    service_id: ServiceId
    partner_id: PartnerId
    protocol: Protocol
    addresses: tuple[ServiceAddress, ...]
    upstreams: tuple[UpstreamSpec, ...]
    changed_at: Generation = Generation(0)
    """Generation of the partner's sheet in which the service last changed."""

    deleted: bool = False
    """True for a tombstone: the service was removed from the sheet."""

    earlier: tuple[WeightSet, ...] = ()
    """Previous upstreams and weights, newest first.

    Distributed with the service, so that a process that has just started can
    look up flows that were established under previous weights.
    """

    def weights(self) -> dict[UpstreamId, float]:
        """Returns the weight of each declared upstream."""
        return {spec.upstream_id: spec.weight for spec in self.upstreams}


class PartnerConfig(msgspec.Struct, frozen=True, array_like=True):
    """One partner's sheet in force, as the platform stores it.

    The writer sets ``changed_at`` of the services, so that all processes have
    the same values. A reader that set it and had missed a generation could
    send deltas without a change that was reverted.
    """

    partner_id: PartnerId
    generation: Generation = Generation(0)
    services: tuple[ServiceConfig, ...] = ()
    """All services, tombstones included."""

    change_id: str = ""
    """Chosen by the writer, to recognize its write after a lost reply."""


class ConfigDelta(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """All services of a partner that changed after a base generation.

    A process applies it only if its own generation is at least ``base``.
    """

    partner_id: PartnerId
    base: Generation
    generation: Generation
    services: tuple[ServiceConfig, ...]
    part: int = 0
    parts: int = 1
    """Number of messages that the delta is split into.

    The delta is applied only when all of them have arrived.
    """


def full_delta(config: PartnerConfig) -> ConfigDelta:
    """Returns a delta with base 0, which every process can apply."""
    return ConfigDelta(
        partner_id=config.partner_id,
        base=Generation(0),
        generation=config.generation,
        services=config.services,
    )


@dataclass(slots=True)
class ReplacedSet:
    """Weights of a service, and when this process saw them replaced."""

    weights: dict[UpstreamId, float]
    replaced_at: float


@dataclass(slots=True)
class ConfigStore:
    """Configuration that one process has applied.

    Attributes:
        generations: Newest applied generation of each partner.
        services: Configuration of each service, tombstones included.
        replaced: Recently replaced weights of each service. Those replaced
            more than ``HOME_MIN_AGE_S`` ago are dropped at the next read.
        by_address: Service to which each address in force belongs.
        listeners: Called with the time after each applied delta.
    """

    generations: dict[PartnerId, Generation] = field(default_factory=dict)
    services: dict[ServiceId, ServiceConfig] = field(default_factory=dict)
    replaced: dict[ServiceId, list[ReplacedSet]] = field(default_factory=dict)
    by_address: dict[ServiceAddress, ServiceId] = field(default_factory=dict)
    listeners: list[Callable[[float], None]] = field(default_factory=list)

    def generation(self, partner_id: PartnerId) -> Generation:
        """Returns a partner's newest applied generation; 0 if none."""
        return self.generations.get(partner_id, Generation(0))

    def service(self, service_id: ServiceId) -> ServiceConfig | None:
        """Returns a service; None if it is unknown or deleted."""
        entry = self.services.get(service_id)
        return None if entry is None or entry.deleted else entry

    def apply(self, delta: ConfigDelta, *, now: float) -> bool:
        """Applies a newer delta whose base this process has reached.

        Entries of another partner's services are skipped, and an address
        stays with the service that holds it, so that no partner can change
        another partner's services.

        Returns:
            True if the delta was applied.
        """
        current = self.generation(delta.partner_id)
        if delta.parts != 1:
            return False
        if delta.generation <= current or delta.base > current:
            return False
        for entry in delta.services:
            if self._is_allowed(entry, delta.partner_id):
                self._record_replaced(entry, now=now)
                self.services[entry.service_id] = entry
        self._assign_addresses()
        self.generations[delta.partner_id] = delta.generation
        for listener in self.listeners:
            listener(now)
        return True

    def delta_since(self, partner_id: PartnerId, base: Generation) -> ConfigDelta:
        """Returns the entries that changed after generation ``base``."""
        return ConfigDelta(
            partner_id=partner_id,
            base=base,
            generation=self.generation(partner_id),
            services=tuple(
                entry
                for entry in self.services.values()
                if entry.partner_id == partner_id and entry.changed_at > base
            ),
        )

    def previous_weights(self, service_id: ServiceId) -> list[dict[UpstreamId, float]]:
        """Returns a service's previous upstreams and weights, newest first."""
        entry = self.service(service_id)
        return [] if entry is None else [dict(weights) for weights in entry.earlier]

    def established_weights(
        self, service_id: ServiceId, *, now: float
    ) -> dict[UpstreamId, float]:
        """Returns the weights of upstreams that all processes know by now.

        Omits upstreams that were declared less than ``HOME_MIN_AGE_S`` ago,
        unless none would remain.
        """
        entry = self.service(service_id)
        if entry is None:
            return {}
        recent = [
            item
            for item in self.replaced.pop(service_id, ())
            if item.replaced_at > now - HOME_MIN_AGE_S
        ]
        if recent:
            self.replaced[service_id] = recent
        settled = {
            upstream: weight
            for upstream, weight in entry.weights().items()
            if all(upstream in item.weights for item in recent)
        }
        return settled or entry.weights()

    def _is_allowed(self, entry: ServiceConfig, partner_id: PartnerId) -> bool:
        known = self.services.get(entry.service_id)
        return entry.partner_id == partner_id and (
            known is None or known.partner_id == partner_id
        )

    def _assign_addresses(self) -> None:
        """Gives each address to one service.

        The service that holds an address keeps it until its own partner
        removes it, in whatever order the partners' changes arrive.
        """
        in_force = [entry for entry in self.services.values() if not entry.deleted]
        wanted = [
            (address, entry.service_id)
            for entry in in_force
            for address in entry.addresses
        ]
        kept = dict(pair for pair in wanted if self.by_address.get(pair[0]) == pair[1])
        self.by_address = dict(wanted) | kept

    def _record_replaced(self, entry: ServiceConfig, *, now: float) -> None:
        """Records the weights that an entry replaces.

        A process that has just joined does not know when the newest previous
        weights were replaced, and assumes that it was just now.
        """
        known = self.services.get(entry.service_id)
        if known is not None:
            weights = known.weights()
        elif entry.earlier:
            weights = dict(entry.earlier[0])
        else:
            return
        if weights != entry.weights():
            replaced = ReplacedSet(weights=weights, replaced_at=now)
            self.replaced.setdefault(entry.service_id, []).append(replaced)


def next_config(
    previous: PartnerConfig, wanted: Iterable[ServiceConfig], *, change_id: str
) -> PartnerConfig:
    """Returns the next generation of a partner's configuration.

    Unchanged services keep their ``changed_at``; removed services become
    tombstones.

    Args:
        previous: The configuration in force.
        wanted: All services of the new sheet; ``changed_at`` is ignored.
        change_id: Identifies this write.
    """
    generation = Generation(previous.generation + 1)
    known = {entry.service_id: entry for entry in previous.services}
    kept = [
        _stamped(entry, known.get(entry.service_id), generation) for entry in wanted
    ]
    kept_ids = {entry.service_id for entry in kept}
    removed = [
        entry if entry.deleted else _tombstone(entry, generation)
        for entry in previous.services
        if entry.service_id not in kept_ids
    ]
    return PartnerConfig(
        partner_id=previous.partner_id,
        generation=generation,
        services=tuple(kept + removed),
        change_id=change_id,
    )


def _stamped(
    entry: ServiceConfig, known: ServiceConfig | None, generation: Generation
) -> ServiceConfig:
    if known is None:
        return msgspec.structs.replace(entry, changed_at=generation, earlier=())
    same = msgspec.structs.replace(
        entry, changed_at=known.changed_at, earlier=known.earlier
    )
    if same == known:
        return known
    return msgspec.structs.replace(
        entry, changed_at=generation, earlier=_previous_weight_sets(entry, known)
    )


def _previous_weight_sets(
    entry: ServiceConfig, known: ServiceConfig
) -> tuple[WeightSet, ...]:
    """Returns the previous weight sets that differ from the current one.

    At most ``MAX_PREVIOUS_OWNER_SETS`` distinct sets, newest first.
    """
    current = tuple(entry.weights().items())
    previous = (tuple(known.weights().items()), *known.earlier)
    distinct = dict.fromkeys(weights for weights in previous if weights != current)
    return tuple(itertools.islice(filter(None, distinct), MAX_PREVIOUS_OWNER_SETS))


def _tombstone(entry: ServiceConfig, generation: Generation) -> ServiceConfig:
    return msgspec.structs.replace(
        entry, deleted=True, addresses=(), upstreams=(), changed_at=generation
    )
