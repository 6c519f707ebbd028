"""Settings of each program: JSON files decoded into typed structs."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from bramleydyke.endpoints import ENDPOINT, URL, Endpoint, HttpUrl
from bramleydyke.types import (
    AvailabilityZone,
    NodeId,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)

NAME = r"^[A-Za-z0-9_.-]{1,64}$"
SERVICE = r"^[A-Za-z0-9_.-]{1,64}/[A-Za-z0-9_.-]{1,64}$"
NODE = r"^(balancer/[^/]+|agent/[^/]+/[^/]+/[^/]+)$"
CREDENTIAL = r"^[!-~]+$"
LEVEL = "^(debug|info|notice|warning|error|critical)$"

EXPECTED = {
    ENDPOINT: "ip:port",
    URL: "http://ip:port",
    NAME: "1 to 64 letters, digits, '.', '_' or '-'",
    SERVICE: "partner/name",
    NODE: "balancer/name or agent/partner/service/upstream",
    CREDENTIAL: "printable ASCII without spaces",
    LEVEL: "debug, info, notice, warning, error or critical",
}
"""What each pattern stands for, in the words of an error message."""

Name = Annotated[str, Meta(pattern=NAME)]
FullServiceName = Annotated[str, Meta(pattern=SERVICE)]
Node = Annotated[str, Meta(pattern=NODE)]
Credential = Annotated[str, Meta(pattern=CREDENTIAL)]
LogLevel = Annotated[str, Meta(pattern=LEVEL)]
Slots = Annotated[int, Meta(ge=1, le=100_000)]


SUPPORTED = frozenset({Protocol.HTTP, Protocol.TCP, Protocol.UDP})
"""Protocols with an edge and an upstream port; extend it with them."""


def _check_protocol(protocol: Protocol) -> None:
    """Refuses a protocol that no adapter carries yet."""
    if protocol not in SUPPORTED:
        names = ", ".join(sorted(item.value for item in SUPPORTED))
        raise ValueError(f"protocol is `{protocol.value}`, expected one of: {names}")


class _Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all settings: unknown fields are refused."""


class Seed(_Settings, kw_only=True):
    """A node that is known from the start."""

    node_id: Node
    """The node, as ``balancer/b1``."""

    endpoint: Endpoint
    """Its control and data address."""


class Edge(_Settings, kw_only=True):
    """One service address that a balancer takes traffic for."""

    address: Endpoint
    """The service address in the sheet, which callers use."""

    listen: Endpoint
    """Where the fabric passes that traffic to this balancer."""

    protocol: Protocol = Protocol.HTTP
    """Kind of traffic."""

    def __post_init__(self) -> None:
        _check_protocol(self.protocol)


class PlatformAccess(_Settings, kw_only=True):
    """How a node reaches the platform's object API."""

    url: HttpUrl
    """Base address."""

    credential: Credential
    """Sent as the bearer token of each call."""


class NodeSettings(_Settings, kw_only=True):
    """Settings that balancers and agents share."""

    zone: Name
    """Availability zone of the VM."""

    listen: Endpoint
    """Control and data address: UDP, and TCP for links, on the same port."""

    platform: PlatformAccess
    """The platform's object API."""

    seeds: tuple[Seed, ...] = ()
    """Nodes to start with."""

    statsd: Endpoint | None = None
    """statsd server; without it the counters stay in the process."""

    log_level: LogLevel = "info"
    """Lowest level that is logged."""

    random_seed: int | None = None
    """Seed of the random source; one is drawn and logged if not given."""


class BalancerSettings(NodeSettings, kw_only=True):
    """Settings of one balancer."""

    name: Name
    """Name, unique among the balancers."""

    partner_credentials: Annotated[dict[Name, Credential], Meta(min_length=1)]
    """Credential of each partner whose sheet is in force here.

    Announcements of the partner's agents are checked with it.
    """

    edges: tuple[Edge, ...] = ()
    """Where callers' traffic arrives."""


class AgentSettings(NodeSettings, kw_only=True):
    """Settings of the agent beside one upstream."""

    service: FullServiceName
    """The service, as ``partner/name``."""

    upstream: Name
    """The upstream's name in the sheet."""

    upstream_address: Endpoint
    """Where the upstream serves."""

    protocol: Protocol = Protocol.HTTP
    """Kind of traffic of the service."""

    credential: Credential
    """The partner's credential, which proves the announcement."""

    slots: Slots = 1
    """Requests that the upstream serves at the same time."""

    def __post_init__(self) -> None:
        _check_protocol(self.protocol)

    @property
    def partner_id(self) -> PartnerId:
        """The partner that owns the service."""
        return PartnerId(self.service.partition("/")[0])

    @property
    def service_id(self) -> ServiceId:
        """The service."""
        return ServiceId(self.service)

    @property
    def upstream_id(self) -> UpstreamId:
        """The upstream."""
        return UpstreamId(self.upstream)


class OperatorSettings(_Settings, kw_only=True):
    """Settings of a partner's operator."""

    partner: Name
    """The partner whose sheet and upstreams are operated."""

    platform: PlatformAccess
    """The platform's object API, with the operator's credential."""

    @property
    def partner_id(self) -> PartnerId:
        """The partner."""
        return PartnerId(self.partner)


class PlatformSettings(_Settings, kw_only=True):
    """Settings of the platform stand-in."""

    listen: Endpoint
    """Where the object API listens."""

    partner_credentials: dict[Name, Credential]
    """Credential of each partner's operators and agents."""

    node_credential: Credential
    """Credential of the balancers."""

    control_credential: Credential
    """Credential for injecting faults."""

    log_level: LogLevel = "info"
    """Lowest level that is logged."""


def zone_of(settings: NodeSettings) -> AvailabilityZone:
    """Returns the availability zone as its own type."""
    return AvailabilityZone(settings.zone)


def seeds_of(settings: NodeSettings) -> dict[NodeId, str]:
    """Returns the endpoint of each seed."""
    return {NodeId(seed.node_id): seed.endpoint for seed in settings.seeds}


def balancer_seeds(settings: NodeSettings) -> list[NodeId]:
    """Returns the balancers among the seeds."""
    return [node for node in seeds_of(settings) if node.startswith("balancer/")]


def partner_secrets(settings: BalancerSettings) -> dict[PartnerId, bytes]:
    """Returns the secret that proves each partner's announcements."""
    return {
        PartnerId(name): credential.encode()
        for name, credential in settings.partner_credentials.items()
    }


def service_address(edge: Edge) -> ServiceAddress:
    """Returns the service address as its own type."""
    return ServiceAddress(edge.address)


SettingsType = TypeVar("SettingsType")


def load(path: Path, kind: type[SettingsType]) -> Result[SettingsType, str]:
    """Returns the settings in a file, or one line that says what is wrong.

    The line names the file, the field, its value and what was expected.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        return Failure(f"{path}: cannot be read: {error.strerror}")
    try:
        return Success(msgspec.json.decode(text, type=kind))
    except msgspec.ValidationError as error:
        return Failure(f"{path}: {_describe(text, str(error))}")
    except msgspec.DecodeError as error:
        return Failure(f"{path}: not JSON: {error}")


def _describe(text: bytes, message: str) -> str:
    """Adds field and value to msgspec's message.

    Credentials are left out, as are whole objects, which may hold some.
    """
    expected, _, where = message.partition(" - at `")
    for pattern, words in EXPECTED.items():
        expected = expected.replace(f"`str` matching regex {pattern!r}", words)
    field = where.rstrip("`") or "$"
    value = _value_at(msgspec.json.decode(text), field)
    if "credential" in field or isinstance(value, dict | list):
        return f"field {field}: {expected}"
    shown = msgspec.json.encode(value).decode()[:120]
    return f"field {field}: {expected}; the value is {shown}"


def _value_at(value: Any, field: str) -> Any:
    """Returns the value that a path like ``$.seeds[0].endpoint`` names."""
    for name, index in re.findall(r"\.(\w+)|\[(\d+)\]", field):
        try:
            value = value[name] if name else value[int(index)]
        except (KeyError, IndexError, TypeError):
            return None
    return value
