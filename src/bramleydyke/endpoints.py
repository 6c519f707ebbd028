"""Parsing and validation of endpoints in the form ``ip:port``."""

from __future__ import annotations

import functools
import ipaddress
from typing import Annotated

from msgspec import Meta

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = (
    "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}"
    "|[1-9][0-9]{0,3})"
)
_IP = rf"({_OCTET}\.){{3}}{_OCTET}"

IP_PATTERN = rf"^{_IP}\Z"
"""Pattern of an IPv4 address in dotted form."""

ENDPOINT_PATTERN = rf"^{_IP}:{_PORT}\Z"
"""Pattern of an IPv4 address and a port from 1 to 65535."""

URL_PATTERN = rf"^http://{_IP}:{_PORT}\Z"
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
