"""Starts the programs as processes, with stand-ins for the platform."""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from proxy import StoreProxy

from bramleydyke.adapters.clock import MonotonicClock
from bramleydyke.standins.platform_vm.store import StoreStandIn
from bramleydyke.standins.platform_vm.traffic import Callers, Routers, UpstreamStandIn

SOURCE = Path(__file__).resolve().parents[2] / "src"
PACKET, READY, CONTROL, EGRESS, UPSTREAM, MESH, STORE = (
    8172,
    8167,
    8166,
    8162,
    8165,
    7720,
    8169,
)
ROUTE_IP = "198.18.0.1"
REPORT_S = 0.5
"""Interval of an upstream's reports to its agent, in seconds."""

RESTART_S = 0.3
"""Delay before an ended process is restarted, in seconds."""


@dataclass(slots=True)
class Node:
    """A balancer or agent in a process of its own.

    Attributes:
        ip: Its loopback address.
        settings: Its settings file.
        log: File that collects its output over all restarts.
        proxy: Proxy of its connections to the store.
        process: Its process, None while it waits for a restart.
        last_fault_at: When its last unplanned fault ended, or will end, in
            seconds. Planned stops do not count.
        end_expected: True from the moment its process is told to end until it
            is restarted.
        paused: True while its process is stopped by SIGSTOP.
    """

    ip: str
    settings: Path
    log: Path
    proxy: StoreProxy
    process: subprocess.Popen[bytes] | None = None
    last_fault_at: float = float("-inf")
    end_expected: bool = False
    paused: bool = False

    def start(self) -> None:
        """Starts the process, with all output appended to the log."""
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join([str(SOURCE), *filter(None, sys.path)]),
            "BRAMLEYDYKE_SETTINGS": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bramleydyke.platform"],
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.end_expected = False

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Returns whether no process is running."""
        return self.process is None or self.process.poll() is not None


@dataclass(slots=True, kw_only=True)
class World:
    """All processes and stand-ins of one run.

    Attributes:
        network: First two bytes of all IP addresses, such as ``127.90``.
        folder: Directory for settings and logs.
        random_source: Random source for the choice of faults.
        balancers: Balancers by IP address.
        agents: Agents by IP address.
        upstreams: Current upstreams by the IP address of their agent.
        drains_acknowledged_at: When each upstream's drain was first seen to be
            acknowledged, in seconds.
        routes: Service by target port.
        added_at: When each port outside the initial routes got its route, in
            seconds.
        removed_at: When each of these ports lost its route, in seconds.
        last_store_fault_at: When the last fault of the store ended, or will
            end, in seconds.
        version: Version of the last manifest in the store.
        upstreams_started: Number of upstreams started so far.
        closed: True once the run is over.
        failures: Broken guarantees, one line each.
    """

    reactor: Any
    network: str
    folder: Path
    random_source: random.Random
    clock: MonotonicClock = field(init=False)
    store: StoreStandIn = field(init=False)
    routers: Routers = field(init=False)
    callers: Callers = field(init=False)
    store_port: Any = None
    balancers: dict[str, Node] = field(default_factory=dict)
    agents: dict[str, Node] = field(default_factory=dict)
    upstreams: dict[str, UpstreamStandIn] = field(default_factory=dict)
    drains_acknowledged_at: dict[str, float] = field(default_factory=dict)
    routes: dict[int, str] = field(default_factory=dict)
    added_at: dict[int, float] = field(default_factory=dict)
    removed_at: dict[int, float] = field(default_factory=dict)
    last_store_fault_at: float = float("-inf")
    version: int = 0
    upstreams_started: int = 0
    closed: bool = False
    failures: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.clock = MonotonicClock(self.reactor)
        losses = random.Random(self.random_source.getrandbits(32))
        self.store = StoreStandIn(clock=self.clock, random_source=losses)
        self.routers = Routers(
            reactor=self.reactor,
            clock=self.clock,
            packet_port=PACKET,
            ready_port=READY,
        )
        self.callers = Callers(
            reactor=self.reactor,
            clock=self.clock,
            ip=f"{self.network}.3.1",
            routers=self.routers,
        )

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.clock.seconds()

    def start(self, routes: dict[int, str], *, balancers: int, upstreams: int) -> None:
        """Starts all processes; services are assigned to upstreams in turn."""
        self.store_port = self.store.listen(self.reactor, f"{self.network}.9.1:{STORE}")
        self.routes = dict(routes)
        self.configure()
        self.routers.start()
        self.callers.start()
        for number in range(1, balancers + 1):
            ip = f"{self.network}.1.{number}"
            self.balancers[ip] = self._node("balancer", ip)
            self.routers.add(ip)
        services = sorted(set(routes.values()))
        for number in range(1, upstreams + 1):
            ip = f"{self.network}.2.{number}"
            service = services[number % len(services)]
            self.agents[ip] = self._node(
                "agent",
                ip,
                egress_endpoint=f"{ip}:{EGRESS}",
                upstream_endpoint=f"{ip}:{UPSTREAM}",
                service=service,
            )
            self.start_upstream(ip, service)
        self._supervise()

    def nodes(self) -> list[Node]:
        """Returns all balancers and agents, running or not."""
        return [*self.balancers.values(), *self.agents.values()]

    def configure(self) -> None:
        """Stores the current routes as the next version of the manifest."""
        self.version += 2
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
                for port, service in self.routes.items()
            ],
            "services": [{"name": name} for name in sorted(set(self.routes.values()))],
            "limits": {"idle_timeout_ms": 15_000},
        }
        self.store.put("config", "main", manifest)

    def start_upstream(self, ip: str, service: str) -> UpstreamStandIn:
        """Starts an upstream under a new instance name."""
        self.upstreams_started += 1
        upstream = UpstreamStandIn(
            reactor=self.reactor,
            clock=self.clock,
            name=f"i-{self.upstreams_started}",
            service=service,
            zone="z1",
            endpoint=f"{ip}:{UPSTREAM}",
            outbound=f"{ip}:{EGRESS}",
            control=f"{ip}:{CONTROL}",
            born=time.time_ns() // 1_000_000,
            report_s=REPORT_S,
        )
        upstream.start()
        self.upstreams[ip] = upstream
        self.drains_acknowledged_at.pop(ip, None)
        return upstream

    def replace_upstream(self, upstream: UpstreamStandIn) -> None:
        """Stops an upstream and starts another one at its address.

        Does nothing if another fault has already replaced it.
        """
        ip = upstream.endpoint.partition(":")[0]
        if self.upstreams[ip] is upstream:
            if upstream.alive:
                upstream.stop()
            self.start_upstream(ip, upstream.service)

    def kill(self, node: Node) -> None:
        """Kills a process; it is restarted after ``RESTART_S``."""
        node.last_fault_at = self.now()
        node.end_expected = True
        node.signal(signal.SIGKILL)

    def terminate(self, node: Node) -> None:
        """Sends SIGTERM; the process is restarted after it has ended."""
        node.end_expected = True
        node.signal(signal.SIGTERM)

    def pause(self, node: Node, seconds: float) -> None:
        """Stops a process by SIGSTOP and continues it after some seconds."""
        node.last_fault_at = self.now()
        node.paused = True
        node.signal(signal.SIGSTOP)

        def resume() -> None:
            node.paused = False
            node.last_fault_at = self.now()
            node.signal(signal.SIGCONT)

        self.call_later(seconds, resume)

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Calls a function after some seconds, unless the run has ended."""
        self.clock.callLater(seconds, lambda: self.closed or call())

    def is_quiet(self, *ips: str, for_s: float) -> bool:
        """Returns whether nodes and the store have had no recent fault.

        Args:
            ips: Addresses of the nodes.
            for_s: Required time without a fault, in seconds.
        """
        at = [self.last_store_fault_at]
        for ip in ips:
            node = self.balancers.get(ip) or self.agents[ip]
            at.append(self.now() if node.paused else node.last_fault_at)
        return self.now() - max(at) > for_s

    def close(self) -> None:
        """Ends all processes, upstreams and sockets of this run."""
        self.closed = True
        for node in self.nodes():
            node.end_expected = True
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
            node.proxy.close()
        for upstream in self.upstreams.values():
            if upstream.alive:
                upstream.stop()
        self.routers.failed_checks.clear()
        if self.callers.socket is not None:
            self.callers.socket.close()
        if self.store_port is not None:
            self.store_port.close()

    def _node(self, role: str, ip: str, **fields: Any) -> Node:
        number = len(self.balancers) + len(self.agents) + 1
        listen = (f"{self.network}.8.{number}", STORE)
        proxy = StoreProxy(self.reactor, listen, (f"{self.network}.9.1", STORE))
        settings = self.folder / f"{ip}.json"
        document = {
            "role": role,
            "node": f"{role}-{ip}",
            "ip": ip,
            "availability_zone": "z1",
            "packet_endpoint": f"{ip}:{PACKET}",
            "ready_endpoint": f"{ip}:{READY}",
            "control_endpoint": f"{ip}:{CONTROL}",
            "mesh_port": MESH,
            "seed_endpoints": [f"{self.network}.1.1:{CONTROL}"],
            "store_endpoint": f"{listen[0]}:{STORE}",
            "report_interval_s": REPORT_S,
            **fields,
        }
        settings.write_text(json.dumps(document))
        node = Node(ip, settings, self.folder / f"{ip}.log", proxy)
        node.start()
        return node

    def _supervise(self) -> None:
        """Restarts ended processes; records a failure for unexpected ends."""
        for node in self.nodes():
            if not node.has_ended():
                continue
            if not node.end_expected:
                self.failures.append(f"{node.ip} ended without being stopped")
            if node.process is not None:
                node.process = None
                node.end_expected = True
                self.call_later(RESTART_S, node.start)
        self.call_later(0.05, self._supervise)
