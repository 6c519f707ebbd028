"""Settings of a balancer or an agent, read from a JSON file."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Literal

import msgspec

from bramleydyke.endpoints import Endpoint
from bramleydyke.types import ServiceId


class Role(Enum):
    """Program that a settings file configures."""

    BALANCER = "balancer"
    AGENT = "agent"


class SettingsError(Exception):
    """Invalid settings; the message states the file, field and reason."""


class DirectSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Settings of a balancer or an agent.

    Attributes:
        node: Name of the VM.
        ip: IP address of the VM.
        packet_endpoint: UDP endpoint at which a balancer receives callers'
            packets. Packets to a caller go to the same port number there.
        ready_endpoint: HTTP endpoint of the readiness check.
        control_endpoint: HTTP endpoint for upstreams' reports. A balancer
            rejects reports.
        egress_endpoint: UDP endpoint at which an agent receives its upstream's
            packets.
        upstream_endpoint: UDP endpoint at which the upstream receives packets.
        service: Service of an agent's upstream.
        mesh_port: UDP port for messages between nodes, the same on all VMs.
            Balancers also serve their configuration at this TCP port.
        metrics_port: HTTP port of the metrics; 0 for none.
        seed_endpoints: Control endpoints of some balancers. Their hosts are
            the balancers that a process knows when it starts.
        store_endpoint: HTTP endpoint of the store.
        report_interval_s: Expected time between two reports of an upstream.
        stop_within_s: Time within which a stopping process must exit.
        log_lines_per_s: Maximum number of log lines of each event per second.
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
                    raise ValueError(f"{name}: required for an agent")
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
