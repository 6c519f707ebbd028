"""Converts the example deployments to services of a sheet."""

from __future__ import annotations

import itertools
from pathlib import Path

import msgspec

from bramleydyke.core.config import ServiceConfig, UpstreamSpec
from bramleydyke.types import (
    AvailabilityZone,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
"""Directory of the examples in a checkout of the repository."""


class DeployedService(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service of a deployment, as an example file describes it."""

    name: str
    protocol: Protocol
    upstreams: int
    """Number of upstreams."""

    slots: int
    """Requests that each upstream serves at the same time."""

    connections: int
    """Open connections of each upstream; the demo does not use it."""


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One partner's services and the availability zones they run in."""

    deployment: str
    partner: PartnerId
    places: tuple[AvailabilityZone, ...]
    delay_between_places_ms: float
    """One-way network delay between two availability zones."""

    delay_to_clients_ms: float
    """One-way network delay between an availability zone and callers."""

    services: tuple[DeployedService, ...]


UDP_SERVICES = {
    PartnerId("federation"): "price-board",
    PartnerId("studio"): "preview-stream",
}
"""Name of the UDP service that the demo adds for each partner."""


def with_udp_service(deployment: Deployment) -> Deployment:
    """Returns a copy of a deployment with the demo's UDP service added."""
    udp_service = DeployedService(
        name=UDP_SERVICES[deployment.partner],
        protocol=Protocol.UDP,
        upstreams=4,
        slots=2,
        connections=2_000,
    )
    services = (*deployment.services, udp_service)
    return msgspec.structs.replace(deployment, services=services)


def load_deployments(directory: Path = EXAMPLES) -> list[Deployment]:
    """Returns the two example deployments.

    Args:
        directory: Directory of their JSON files.
    """
    return [
        msgspec.json.decode((directory / f"{name}.json").read_bytes(), type=Deployment)
        for name in ("maroc-nord", "nam-central")
    ]


def service_config(
    deployment: Deployment, service: DeployedService, *, address: str
) -> ServiceConfig:
    """Returns a service as an entry of a sheet.

    Args:
        deployment: The deployment of the service.
        service: The service; its upstreams are spread evenly over the
            availability zones.
        address: Endpoint to which callers connect.
    """
    places = itertools.cycle(deployment.places)
    return ServiceConfig(
        service_id=ServiceId(f"{deployment.partner}/{service.name}"),
        partner_id=deployment.partner,
        protocol=service.protocol,
        addresses=(ServiceAddress(address),),
        upstreams=tuple(
            UpstreamSpec(
                UpstreamId(f"{service.name}-{number}"),
                next(places),
                1.0,
                service.slots,
            )
            for number in range(1, service.upstreams + 1)
        ),
    )
