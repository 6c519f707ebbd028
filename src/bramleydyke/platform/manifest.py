"""The operator's manifest, read as the routes of the product."""

from __future__ import annotations

import socket

import msgspec

from bramleydyke.direct.routes import Route, RouteSet, Share
from bramleydyke.direct.types import ConfigVersion, RouteAddress
from bramleydyke.types import ServiceId


class _Split(msgspec.Struct):
    service: str
    weight: float = 0.0


class _Route(msgspec.Struct):
    hostname: str
    """The route's IP number, as text."""

    path_prefix: str
    """The route's port between slashes."""

    service: str | None = None
    traffic_split: list[_Split] | None = None
    priority: int = 0


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route]


def _address(route: _Route) -> RouteAddress:
    port = int(route.path_prefix.strip("/"))
    return RouteAddress(socket.inet_aton(route.hostname) + port.to_bytes(2, "big"))


def _shares(route: _Route) -> list[Share]:
    if route.traffic_split:
        return [Share(ServiceId(s.service), s.weight) for s in route.traffic_split]
    return [Share(ServiceId(route.service or ""), 1.0)]


def read_manifest(body: bytes) -> RouteSet:
    """Returns the routes of a manifest.

    Raises:
        ValueError: The manifest is not in the form that the store accepts.
    """
    manifest = msgspec.json.decode(body, type=_Manifest)
    try:
        routes = {
            _address(route): Route(_shares(route), route.priority)
            for route in manifest.routes
        }
    except (OSError, OverflowError) as error:
        raise ValueError(f"route address: {error}") from error
    return RouteSet(ConfigVersion(manifest.version), routes)
