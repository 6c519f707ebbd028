"""The deployments in ``examples/`` as services of a sheet."""

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
"""The examples in a checkout of the sources."""


class DeployedService(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service of a deployment."""

    name: str
    protocol: Protocol
    upstreams: int
    slots: int
    connections: int
    """Open connections of each upstream."""


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One partner's services and places."""

    deployment: str
    partner: PartnerId
    places: tuple[AvailabilityZone, ...]
    delay_between_places_ms: float
    """One-way delay."""

    delay_to_clients_ms: float
    """One-way delay."""

    services: tuple[DeployedService, ...]


UDP_SERVICES = {
    PartnerId("federation"): "price-board",
    PartnerId("studio"): "preview-stream",
}
"""Each partner's UDP service, which only the demo has."""


def with_udp_service(deployment: Deployment) -> Deployment:
    """Returns a deployment with the partner's UDP service of the demo."""
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
    """Returns both deployments."""
    return [
        msgspec.json.decode((directory / f"{name}.json").read_bytes(), type=Deployment)
        for name in ("maroc-nord", "nam-central")
    ]


def service_config(
    deployment: Deployment, service: DeployedService, *, address: str
) -> ServiceConfig:
    """Returns a service as the sheet has it; upstreams go round the places."""
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
