"""Settings of each process: JSON files decoded into typed structs."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from bramleydyke.endpoints import ENDPOINT_PATTERN, URL_PATTERN, Endpoint, HttpUrl
from bramleydyke.types import (
    AvailabilityZone,
    NodeId,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)

NAME_PATTERN = r"^[A-Za-z0-9_.-]{1,64}$"
SERVICE_PATTERN = r"^[A-Za-z0-9_.-]{1,64}/[A-Za-z0-9_.-]{1,64}$"
NODE_PATTERN = r"^(balancer/[^/]+|agent/[^/]+/[^/]+/[^/]+)$"
CREDENTIAL_PATTERN = r"^[!-~]+$"
LOG_LEVEL_PATTERN = "^(debug|info|notice|warning|error|critical)$"

PATTERN_DESCRIPTIONS = {
    ENDPOINT_PATTERN: "ip:port",
    URL_PATTERN: "http://ip:port",
    NAME_PATTERN: "1 to 64 letters, digits, '.', '_' or '-'",
    SERVICE_PATTERN: "partner/name",
    NODE_PATTERN: "balancer/name or agent/partner/service/upstream",
    CREDENTIAL_PATTERN: "printable ASCII without spaces",
    LOG_LEVEL_PATTERN: "debug, info, notice, warning, error or critical",
}
"""Description of each pattern for error messages."""

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
FullServiceName = Annotated[str, Meta(pattern=SERVICE_PATTERN)]
NodeName = Annotated[str, Meta(pattern=NODE_PATTERN)]
Credential = Annotated[str, Meta(pattern=CREDENTIAL_PATTERN)]
LogLevel = Annotated[str, Meta(pattern=LOG_LEVEL_PATTERN)]
SlotCount = Annotated[int, Meta(ge=1, le=100_000)]


SUPPORTED = frozenset({Protocol.HTTP, Protocol.TCP, Protocol.UDP})
"""Protocols for which both a balancer and an agent have an adapter."""


def _check_protocol(protocol: Protocol) -> None:
    """Raises ``ValueError`` for a protocol that has no adapter yet."""
    if protocol not in SUPPORTED:
        names = ", ".join(sorted(item.value for item in SUPPORTED))
        raise ValueError(f"protocol is `{protocol.value}`, expected one of: {names}")


class _Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all settings; a file with an unknown field is invalid."""


class Seed(_Settings, kw_only=True):
    """Node whose address a process knows before it joins the system."""

    node_id: NodeName
    """Node id, such as ``balancer/b1``."""

    endpoint: Endpoint
    """Address at which the node listens for other nodes."""


class Edge(_Settings, kw_only=True):
    """Service address for which a balancer accepts callers' traffic."""

    address: Endpoint
    """Service address that callers use, as the sheet gives it."""

    listen: Endpoint
    """Address at which the network fabric delivers that traffic here."""

    protocol: Protocol = Protocol.HTTP
    """Protocol between callers and the service."""

    def __post_init__(self) -> None:
        _check_protocol(self.protocol)


class PlatformAccess(_Settings, kw_only=True):
    """Address of the platform's object API and the credential for it."""

    url: HttpUrl
    """Base URL of the API."""

    credential: Credential
    """Bearer token that is sent with each call."""


class NodeSettings(_Settings, kw_only=True):
    """Settings that balancers and agents share."""

    zone: Name
    """Availability zone of the VM."""

    listen: Endpoint
    """Address for other nodes: UDP, and TCP for links, on the same port."""

    platform: PlatformAccess
    """Access to the platform's object API."""

    seeds: tuple[Seed, ...] = ()
    """Nodes that this one contacts first."""

    statsd: Endpoint | None = None
    """statsd server; without one the counters are not sent anywhere."""

    log_level: LogLevel = "info"
    """Least severe level that is logged."""

    random_seed: int | None = None
    """Seed of the random source; if absent, it is random and logged."""


class BalancerSettings(NodeSettings, kw_only=True):
    """Settings of a balancer process."""

    name: Name
    """Name of the balancer, unique among all balancers."""

    partner_credentials: Annotated[dict[Name, Credential], Meta(min_length=1)]
    """Credential of each partner whose services this balancer handles.

    It verifies the announcements of the partner's agents.
    """

    edges: tuple[Edge, ...] = ()
    """Service addresses for which this balancer accepts traffic."""


class AgentSettings(NodeSettings, kw_only=True):
    """Settings of an agent process, which serves one upstream."""

    service: FullServiceName
    """Service of the upstream, as ``partner/name``."""

    upstream: Name
    """Name of the upstream in the sheet."""

    upstream_address: Endpoint
    """Address at which the upstream accepts requests."""

    protocol: Protocol = Protocol.HTTP
    """Protocol between callers and the service."""

    credential: Credential
    """Credential of the partner, used to sign the agent's announcements."""

    slots: SlotCount = 1
    """Requests that the upstream processes at the same time."""

    def __post_init__(self) -> None:
        _check_protocol(self.protocol)

    @property
    def partner_id(self) -> PartnerId:
        """Partner that owns the service: the part before the slash."""
        return PartnerId(self.service.partition("/")[0])

    @property
    def service_id(self) -> ServiceId:
        """``service`` as a ``ServiceId``."""
        return ServiceId(self.service)

    @property
    def upstream_id(self) -> UpstreamId:
        """``upstream`` as an ``UpstreamId``."""
        return UpstreamId(self.upstream)


class OperatorSettings(_Settings, kw_only=True):
    """Settings of the command-line tools of a partner's operator."""

    partner: Name
    """Partner whose sheet and upstreams the operator manages."""

    platform: PlatformAccess
    """Access to the platform's object API, with the operator's credential."""

    @property
    def partner_id(self) -> PartnerId:
        """``partner`` as a ``PartnerId``."""
        return PartnerId(self.partner)


class PlatformSettings(_Settings, kw_only=True):
    """Settings of the stand-in for the platform, for tests and demos."""

    listen: Endpoint
    """Address at which the object API is served."""

    partner_credentials: dict[Name, Credential]
    """Credential of the operators and agents of each partner."""

    node_credential: Credential
    """Credential of the balancers."""

    control_credential: Credential
    """Credential for the requests that inject faults."""

    log_level: LogLevel = "info"
    """Least severe level that is logged."""


def zone_of(settings: NodeSettings) -> AvailabilityZone:
    """Returns the zone as an ``AvailabilityZone``."""
    return AvailabilityZone(settings.zone)


def seeds_of(settings: NodeSettings) -> dict[NodeId, str]:
    """Returns the endpoint of each seed node by node id."""
    return {NodeId(seed.node_id): seed.endpoint for seed in settings.seeds}


def balancer_seeds(settings: NodeSettings) -> list[NodeId]:
    """Returns the node ids of the seeds that are balancers."""
    return [node for node in seeds_of(settings) if node.startswith("balancer/")]


def partner_secrets(settings: BalancerSettings) -> dict[PartnerId, bytes]:
    """Returns the key that verifies the announcements of each partner."""
    return {
        PartnerId(name): credential.encode()
        for name, credential in settings.partner_credentials.items()
    }


def service_address(edge: Edge) -> ServiceAddress:
    """Returns the address of an edge as a ``ServiceAddress``."""
    return ServiceAddress(edge.address)


SettingsType = TypeVar("SettingsType")


def load(path: Path, kind: type[SettingsType]) -> Result[SettingsType, str]:
    """Returns the settings in a file, or an error message of one line.

    The message names the file, the field, its value and what was expected.

    Args:
        path: JSON file with the settings.
        kind: Class to decode the file into.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        return Failure(f"{path}: cannot be read: {error.strerror}")
    try:
        return Success(msgspec.json.decode(text, type=kind))
    except msgspec.ValidationError as error:
        return Failure(f"{path}: {_describe_error(text, str(error))}")
    except msgspec.DecodeError as error:
        return Failure(f"{path}: not JSON: {error}")


def _describe_error(text: bytes, message: str) -> str:
    """Adds the field and its value to an error message of msgspec.

    The values of credentials are left out, as are objects and lists, which
    may contain credentials.
    """
    expected, _, field_path = message.partition(" - at `")
    for pattern, description in PATTERN_DESCRIPTIONS.items():
        expected = expected.replace(f"`str` matching regex {pattern!r}", description)
    field = field_path.rstrip("`") or "$"
    value = _value_at(msgspec.json.decode(text), field)
    if "credential" in field or isinstance(value, dict | list):
        return f"field {field}: {expected}"
    value_text = msgspec.json.encode(value).decode()[:120]
    return f"field {field}: {expected}; the value is {value_text}"


def _value_at(value: Any, field: str) -> Any:
    """Returns the value at a path such as ``$.seeds[0].endpoint``.

    None if there is no such value.
    """
    for name, index in re.findall(r"\.(\w+)|\[(\d+)\]", field):
        try:
            value = value[name] if name else value[int(index)]
        except (KeyError, IndexError, TypeError):
            return None
    return value
