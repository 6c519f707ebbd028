"""Decodes the operator's manifest into the routes of the direct mode."""

from __future__ import annotations

import socket

import msgspec

from bramleydyke.direct.routes import Route, RouteSet, Share
from bramleydyke.direct.types import ConfigVersion, RouteAddress
from bramleydyke.types import ServiceId


class _WeightedService(msgspec.Struct):
    service: str
    weight: float = 0.0


class _Route(msgspec.Struct):
    hostname: str
    """IPv4 address of the route, in dotted form."""

    path_prefix: str
    """Port of the route between slashes, as ``/8443/``."""

    service: str | None = None
    traffic_split: list[_WeightedService] | None = None
    priority: int = 0
    timeout_ms: float = 0.0


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route]


def _route_address(route: _Route) -> RouteAddress:
    port = int(route.path_prefix.strip("/"))
    return RouteAddress(socket.inet_aton(route.hostname) + port.to_bytes(2, "big"))


def _route_shares(route: _Route) -> list[Share]:
    if route.traffic_split:
        return [
            Share(ServiceId(split.service), split.weight)
            for split in route.traffic_split
        ]
    return [Share(ServiceId(route.service or ""), 1.0)]


def read_manifest(body: bytes) -> RouteSet:
    """Returns the routes of a manifest.

    Fields that routing does not need are ignored.

    Args:
        body: JSON text of the manifest.

    Raises:
        ValueError: The text is not JSON, a field is missing or mistyped, or
            a route has no valid IPv4 address and port.
    """
    manifest = msgspec.json.decode(body, type=_Manifest)
    try:
        routes = {
            _route_address(route): Route(
                _route_shares(route), route.priority, route.timeout_ms / 1_000
            )
            for route in manifest.routes
        }
    except (OSError, OverflowError) as error:
        raise ValueError(f"invalid route address: {error}") from error
    return RouteSet(ConfigVersion(manifest.version), routes)
