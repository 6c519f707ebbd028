"""Comparison of a partner's sheet with the status of each zone."""

from __future__ import annotations

import itertools
from collections.abc import Generator

import msgspec

from bramleydyke.core.config import PartnerConfig
from bramleydyke.core.status import Names, PartnerStatus, ZoneStatus
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import PlatformRead, PlatformReply
from bramleydyke.types import Generation, PartnerId, PlatformStatus

STATUS_PREFIX = "status/"

_call_ids = itertools.count(1)


class PlaceReport(msgspec.Struct, frozen=True, kw_only=True):
    """Rollout of a sheet in one place, which is an availability zone."""

    place: str
    reported: bool
    """False if the place's status is missing or omits the partner."""

    in_force: bool
    generation: Generation
    """Newest generation that the writer of the status has applied."""

    balancers_asked: int
    balancers_replied: int
    balancers: dict[Generation, int]
    """Number of balancers that hold each generation."""

    agents: dict[Generation, int]
    """Number of agents that hold each generation."""

    for_s: float
    """Time since the generation or ``in_force`` changed, in seconds.

    Measured when the status was written.
    """


class ServiceReport(msgspec.Struct, frozen=True, kw_only=True):
    """Upstreams of a service in one place, by condition.

    Each condition maps upstreams to the time in the condition, in seconds.
    """

    service: str
    place: str
    declared: int
    announced: int
    missing: Names
    draining: Names
    suspect: Names
    undeclared: Names
    drained: list[str]
    """Draining upstreams that have no work left."""


class SheetReport(msgspec.Struct, frozen=True, kw_only=True):
    """A partner's sheet in the store, and its rollout in each place."""

    partner: PartnerId
    generation: Generation
    in_force: bool
    """True if all nodes of all places have applied the generation."""

    places: list[PlaceReport]
    services: list[ServiceReport]


ReadSteps = Generator[PlatformRead, PlatformReply, "SheetReport | ErrorKind"]


def read_status(partner_id: PartnerId) -> ReadSteps:
    """Reads a partner's sheet and the status of all zones.

    Yields:
        Platform calls; the caller sends back the reply to each.

    Returns:
        The report, or the error kind if a read failed.
    """
    reply = yield PlatformRead(call=next(_call_ids), path=f"sheets/{partner_id}")
    kind = _failure(reply)
    if kind is not None:
        return kind
    config = PartnerConfig(partner_id=partner_id)
    if reply.value:
        config = msgspec.json.decode(reply.value, type=PartnerConfig)
    reply = yield PlatformRead(call=next(_call_ids), path=STATUS_PREFIX)
    kind = _failure(reply)
    if kind is not None:
        return kind
    paths = msgspec.json.decode(reply.value or b"{}", type=dict[str, int])
    zones: dict[str, ZoneStatus] = {}
    for path in paths:
        reply = yield PlatformRead(call=next(_call_ids), path=path)
        kind = _failure(reply)
        if kind is not None:
            return kind
        if reply.value:
            zone = msgspec.json.decode(reply.value, type=ZoneStatus)
            zones[zone.zone] = zone
    return report(config, zones)


def report(config: PartnerConfig, zones: dict[str, ZoneStatus]) -> SheetReport:
    """Returns a report on the sheet in the store.

    Args:
        config: The partner's sheet, as stored.
        zones: Status of each zone for which one is stored.
    """
    declared: dict[tuple[str, str], int] = {}
    for service in config.services:
        for spec in () if service.deleted else service.upstreams:
            key = (str(service.service_id), str(spec.zone))
            declared[key] = declared.get(key, 0) + 1
    statuses = {
        place: zone.partners[config.partner_id]
        for place, zone in zones.items()
        if config.partner_id in zone.partners
    }
    undeclared = {
        (name.rpartition("/")[0], place): 0
        for place, status in statuses.items()
        for name in status.undeclared
    }
    # An agent's home balancer may be in another place than the agent.
    drained = {name for status in statuses.values() for name in status.drained}
    names = dict.fromkeys((*(place for _, place in declared), *statuses))
    places = [
        _place_report(place, zones.get(place), statuses.get(place), config.generation)
        for place in sorted(names)
    ]
    return SheetReport(
        partner=config.partner_id,
        generation=config.generation,
        in_force=config.generation > 0 and all(item.in_force for item in places),
        places=places,
        services=[
            _service_report(service, place, count, statuses.get(place), drained)
            for (service, place), count in sorted((undeclared | declared).items())
        ],
    )


def _place_report(
    place: str,
    zone: ZoneStatus | None,
    status: PartnerStatus | None,
    wanted: Generation,
) -> PlaceReport:
    """Returns the report on one place.

    A balancer that did not reply may have any generation, so the sheet counts
    as in force only if all balancers have replied.
    """
    if zone is None or status is None:
        return PlaceReport(
            place=place,
            reported=False,
            in_force=False,
            generation=Generation(0),
            balancers_asked=0,
            balancers_replied=0,
            balancers={},
            agents={},
            for_s=0.0,
        )
    answered = zone.replied >= zone.balancers
    return PlaceReport(
        place=place,
        reported=True,
        in_force=status.in_force and status.generation == wanted and answered,
        generation=status.generation,
        balancers_asked=zone.balancers,
        balancers_replied=zone.replied,
        balancers=status.balancers,
        agents=status.agents,
        for_s=status.for_s,
    )


def _service_report(
    service: str,
    place: str,
    count: int,
    status: PartnerStatus | None,
    drained: set[str],
) -> ServiceReport:
    def of_service(names: Names) -> Names:
        prefix = f"{service}/"
        return {
            name.removeprefix(prefix): age
            for name, age in names.items()
            if name.startswith(prefix)
        }

    empty: Names = {}
    missing = empty if status is None else of_service(status.missing)
    draining = empty if status is None else of_service(status.draining)
    suspect = empty if status is None else of_service(status.suspect)
    unavailable = len(missing) + len(draining) + len(suspect)
    return ServiceReport(
        service=service,
        place=place,
        declared=count,
        announced=0 if status is None else max(0, count - unavailable),
        missing=missing,
        draining=draining,
        suspect=suspect,
        undeclared=empty if status is None else of_service(status.undeclared),
        drained=[name for name in draining if f"{service}/{name}" in drained],
    )


def _failure(reply: PlatformReply) -> ErrorKind | None:
    if reply.status in (PlatformStatus.OK, PlatformStatus.NOT_FOUND):
        return None
    if reply.status is PlatformStatus.FORBIDDEN:
        return ErrorKind.WRONG_PARTNER
    return ErrorKind.STORE_UNAVAILABLE
