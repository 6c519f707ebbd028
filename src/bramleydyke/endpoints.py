"""Parsing and validation of endpoints in the form ``ip:port``."""

from __future__ import annotations

import functools
import ipaddress
from typing import Annotated

from msgspec import Meta

_OCTET = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PORT = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})"
_ENDPOINT = rf"({_OCTET}\.){{3}}{_OCTET}:{_PORT}"

ENDPOINT_PATTERN = f"^{_ENDPOINT}$"
"""Pattern of an IPv4 address and a port from 1 to 65535."""

URL_PATTERN = f"^http://{_ENDPOINT}$"
"""Pattern of an HTTP URL with an IPv4 address and a port, without a path."""

Endpoint = Annotated[str, Meta(pattern=ENDPOINT_PATTERN)]
HttpUrl = Annotated[str, Meta(pattern=URL_PATTERN)]


@functools.lru_cache(maxsize=16_384)
def parse_endpoint(endpoint: str) -> tuple[str, int] | None:
    """Returns the IP address and the port, or None if one is invalid.

    Host names are invalid: resolving one would block the process.
    """
    host, _, port = endpoint.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
        return None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return host, int(port)


def host_of(endpoint: str) -> str:
    """Returns the IP address of an endpoint that is known to be valid."""
    return endpoint.rpartition(":")[0]


def port_of(endpoint: str) -> int:
    """Returns the port of an endpoint that is known to be valid."""
    return int(endpoint.rpartition(":")[2])
