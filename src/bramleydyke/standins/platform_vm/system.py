"""A small deployment on the platform's stand-ins, in one reactor.

It serves the tests of the programs and the demo of the direct mode.
"""

from __future__ import annotations

import os
import random
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from bramleydyke.adapters.clock import MonotonicClock
from bramleydyke.direct.settings import DirectSettings
from bramleydyke.platform.main import new_node
from bramleydyke.standins.platform_vm.store import StoreStandIn
from bramleydyke.standins.platform_vm.traffic import Callers, Routers, UpstreamStandIn

PORTS = {"packet": 8172, "ready": 8167, "control": 8166, "outbound": 8162}
UPSTREAM_PORT = 8165
MESH_PORT = 7720
STORE_PORT = 8169
ROUTE_IP = "198.18.0.1"
REPORT_INTERVAL_S = 0.2


@dataclass(slots=True, kw_only=True)
class PlatformSystem:
    """Store, balancers, agents with their upstreams, routers and callers.

    Balancers have addresses in the third octet 1, upstreams with their agents
    in 2, callers in 3 and the store in 9.

    Attributes:
        network: First two octets of all IP numbers, as ``127.20``.
        version: Version of the newest manifest.
        nodes: Running balancers and agents by IP number.
        upstreams: Last upstream started on each IP number.
        null_log: Descriptor of the null device, to which the nodes log.
    """

    reactor: Any
    network: str
    seed: int = 1
    version: int = 0
    store: StoreStandIn = field(init=False)
    clock: MonotonicClock = field(init=False)
    routers: Routers = field(init=False)
    callers: Callers = field(init=False)
    nodes: dict[str, Any] = field(default_factory=dict)
    upstreams: dict[str, UpstreamStandIn] = field(default_factory=dict)
    null_log: int = field(init=False)

    def __post_init__(self) -> None:
        self.clock = MonotonicClock(self.reactor)
        self.null_log = os.open(os.devnull, os.O_WRONLY)
        self.store = StoreStandIn(
            clock=self.clock, random_source=random.Random(self.seed)
        )
        self.routers = Routers(
            reactor=self.reactor,
            clock=self.clock,
            packet_port=PORTS["packet"],
            ready_port=PORTS["ready"],
        )
        self.callers = Callers(
            reactor=self.reactor,
            clock=self.clock,
            ip=f"{self.network}.3.1",
            routers=self.routers,
        )

    @property
    def store_endpoint(self) -> str:
        """Endpoint at which the store listens."""
        return f"{self.network}.9.1:{STORE_PORT}"

    def start(self, routes: dict[int, str]) -> None:
        """Starts the store, the routers and the callers.

        Args:
            routes: Service by port of the route address.
        """
        self.store.listen(self.reactor, self.store_endpoint)
        self.configure(routes)
        self.routers.start()
        self.callers.start()

    def configure(self, routes: dict[int, str]) -> None:
        """Writes the next version of the manifest, which lists all routes."""
        self.version += 3
        manifest = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{port}",
                    "hostname": ROUTE_IP,
                    "path_prefix": f"/{port}/",
                    "service": service,
                    "priority": 1,
                }
                for port, service in routes.items()
            ],
            "services": [{"name": name} for name in sorted(set(routes.values()))],
            "limits": {"idle_timeout_ms": 15_000},
        }
        self.store.put("config", "main", manifest)

    def add_balancer(self, number: int) -> Any:
        """Starts a balancer and adds it to the routers."""
        ip = f"{self.network}.1.{number}"
        node = self._start(
            "balancer",
            ip,
            control_endpoint=f"{ip}:{PORTS['control']}",
        )
        self.routers.add(ip)
        return node

    def add_upstream(self, number: int, service: str) -> UpstreamStandIn:
        """Starts an upstream and the agent beside it."""
        ip = f"{self.network}.2.{number}"
        self.start_agent(number, service)
        upstream = UpstreamStandIn(
            reactor=self.reactor,
            clock=self.clock,
            name=f"i-{ip}-{len(self.upstreams)}",
            service=service,
            zone="z1",
            endpoint=f"{ip}:{UPSTREAM_PORT}",
            outbound=f"{ip}:{PORTS['outbound']}",
            control=f"{ip}:{PORTS['control']}",
            born=time.time_ns() // 1_000_000,
            report_s=REPORT_INTERVAL_S,
        )
        upstream.start()
        self.upstreams[ip] = upstream
        return upstream

    def start_agent(self, number: int, service: str) -> Any:
        """Starts only the agent, as after a crash of the agent alone."""
        ip = f"{self.network}.2.{number}"
        return self._start(
            "agent",
            ip,
            control_endpoint=f"{ip}:{PORTS['control']}",
            egress_endpoint=f"{ip}:{PORTS['outbound']}",
            upstream_endpoint=f"{ip}:{UPSTREAM_PORT}",
            service=service,
        )

    def kill(self, ip: str) -> None:
        """Stops a balancer or an agent without notice, as a crash does."""
        self.nodes.pop(ip).close()

    def close(self) -> None:
        """Stops all nodes, upstreams, callers and readiness checks."""
        for ip in list(self.nodes):
            self.kill(ip)
        for upstream in self.upstreams.values():
            if upstream.alive:
                upstream.stop()
        self.callers.socket.close()
        self.routers.failed_checks.clear()

    def _start(self, role: str, ip: str, **fields: Any) -> Any:
        document = {
            "role": role,
            "node": f"{role}-{ip}",
            "ip": ip,
            "availability_zone": "z1",
            "packet_endpoint": f"{ip}:{PORTS['packet']}",
            "ready_endpoint": f"{ip}:{PORTS['ready']}",
            "mesh_port": MESH_PORT,
            "seed_endpoints": [f"{self.network}.1.1:{PORTS['control']}"],
            "store_endpoint": self.store_endpoint,
            "report_interval_s": REPORT_INTERVAL_S,
            **fields,
        }
        settings = msgspec.convert(document, DirectSettings)
        node = new_node(
            self.reactor, settings, Path(os.devnull), log_descriptor=self.null_log
        )
        with node.log_writer.applicationbound():
            node.start()
        self.nodes[ip] = node
        return node
