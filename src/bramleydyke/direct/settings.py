"""Settings of the programs of the direct mode: one JSON file a process."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Literal

import msgspec

from bramleydyke.endpoints import Endpoint
from bramleydyke.types import ServiceId


class Role(Enum):
    """Programs of the direct mode."""

    BALANCER = "balancer"
    AGENT = "agent"


class SettingsError(Exception):
    """The settings cannot be used; the text names file, field and reason."""


class DirectSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Settings of a balancer or an agent.

    Attributes:
        packet_endpoint: Where a balancer takes callers' packets. Packets to
            callers go to the same port number of the caller.
        ready_endpoint: Serves the readiness check.
        control_endpoint: Serves upstreams' reports.
        egress_endpoint: Where an agent takes its upstream's packets.
        upstream_endpoint: Where an agent's upstream takes packets.
        mesh_port: Port for messages between nodes, the same on all VMs.
        metrics_port: Serves counters; 0 for none.
        seed_endpoints: Control addresses of some balancers.
        stop_within_s: Time that a stopping process has.
        log_lines_per_s: Limit of the log lines of each event a second.
    """

    role: Role
    node: str
    ip: str
    availability_zone: str
    packet_endpoint: Endpoint
    ready_endpoint: Endpoint | None = None
    control_endpoint: Endpoint | None = None
    egress_endpoint: Endpoint | None = None
    upstream_endpoint: Endpoint | None = None
    service: ServiceId | None = None
    mesh_port: int
    metrics_port: int = 0
    seed_endpoints: list[Endpoint] = []
    store_endpoint: Endpoint
    report_interval_s: float = 1.0
    stop_within_s: float = 6.0
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    log_lines_per_s: int = 20

    def __post_init__(self) -> None:
        if self.role is Role.AGENT:
            needed = ("egress_endpoint", "upstream_endpoint", "service")
            for name in needed:
                if getattr(self, name) is None:
                    raise ValueError(f"{name}: an agent needs it")
        if not 0 < self.mesh_port < 65_536:
            raise ValueError("mesh_port: expected 1 to 65535")


def load_settings(path: Path) -> DirectSettings:
    """Reads a settings file.

    Raises:
        SettingsError: The file cannot be read or a field is wrong.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=DirectSettings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{path}: {error}") from error
