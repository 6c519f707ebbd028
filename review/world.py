"""Starts the programs as processes beside the project's own stand-ins.

Each case is a script that builds a ``World``: a small deployment on loopback
addresses. The programs start with the commands of ``deploy/system.toml``; the
store, the routers, the callers and the upstreams are the stand-ins of
``bramleydyke.standins.platform_vm``.
"""

from __future__ import annotations

import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bramleydyke.adapters.clock import MonotonicClock
from bramleydyke.standins.platform_vm.store import StoreStandIn
from bramleydyke.standins.platform_vm.traffic import Callers, Routers, UpstreamStandIn

ROOT = Path(__file__).resolve().parent.parent
PACKET, READY, CONTROL, OUTBOUND, UPSTREAM, MESH, STORE = (
    8172,
    8167,
    8166,
    8162,
    8165,
    7720,
    8169,
)
ROUTE_IP = "198.18.0.1"
REPORT_S = 1.2
"""Interval of an upstream's reports, as in the example of DEPLOY.md."""

RESTART_S = 0.3
"""Delay of the platform before it starts an ended process again."""

GRACE_S = 6.0
"""Time between SIGTERM and SIGKILL."""

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
"""Exit statuses of a case."""


@dataclass(slots=True)
class Node:
    """A balancer or an agent, in a process of its own.

    Attributes:
        ip: Its loopback address.
        command: Its ``run`` command in the deploy file.
        settings: Its settings file.
        log: File with its output of all runs.
        restart: Whether the platform starts it again after it has ended.
        starts: When each of its processes was started, in seconds.
        ends: Exit statuses of its processes; negative for a signal.
    """

    ip: str
    command: list[str]
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None
    restart: bool = True
    starts: list[float] = field(default_factory=list)
    ends: list[int] = field(default_factory=list)

    def start(self) -> None:
        """Starts the process as the platform does."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BRAMLEYDYKE_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts.append(time.monotonic())

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclass(slots=True, kw_only=True)
class World:
    """Processes and stand-ins of one run.

    Attributes:
        record: File that gets what was sent, answered and run.
        network: First two bytes of all addresses, as ``127.90``.
        trouble: Whether the disruption is injected.
        seeds: Control endpoints in the settings of every process.
        broken: Broken rules, one line each.
    """

    record: Path
    reactor: Any = None
    network: str = ""
    trouble: bool = os.environ.get("TROUBLE", "1") != "0"
    seeds: list[str] = field(default_factory=list)
    folder: Path = field(init=False)
    clock: MonotonicClock = field(init=False)
    store: StoreStandIn = field(init=False)
    store_port: Any = None
    routers: Routers = field(init=False)
    callers: Callers = field(init=False)
    nodes: dict[str, Node] = field(default_factory=dict)
    upstreams: dict[str, UpstreamStandIn] = field(default_factory=dict)
    version: int = 0
    closed: bool = False
    started_at: float = 0.0
    broken: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        from twisted.internet import reactor

        self.reactor = reactor
        if not self.reactor.running:
            self.reactor.startRunning(installSignalHandlers=False)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = self.network or free_network()
        self.clock = MonotonicClock(self.reactor)
        self.started_at = self.now()
        self.record.write_text("")
        self.store = StoreStandIn(clock=self.clock, random_source=random.Random(1))
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
        self.store_port = self.store.listen(self.reactor, f"{self.network}.9.1:{STORE}")
        self.routers.start()
        self.callers.start()
        self._supervise()

    def now(self) -> float:
        """Returns the steady time in seconds."""
        return self.clock.seconds()

    def note(self, text: str) -> None:
        """Adds a line to the record, with the time since the start."""
        with self.record.open("a") as record:
            record.write(f"{self.now() - self.started_at:8.3f} {text}\n")

    def break_rule(self, text: str) -> None:
        """Records a broken rule."""
        self.note(f"BROKEN {text}")
        self.broken.append(text)

    def configure(self, routes: dict[int, str], *, timeout_ms: int = 2_000) -> None:
        """Writes the next manifest, as the operator."""
        self.version += 3
        manifest = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{port}",
                    "hostname": ROUTE_IP,
                    "path_prefix": f"/{port}/",
                    "service": service,
                    "route_type": "safe",
                    "timeout_ms": timeout_ms,
                    "priority": 1,
                }
                for port, service in routes.items()
            ],
            "services": [{"name": name} for name in sorted(set(routes.values()))],
            "limits": {"idle_timeout_ms": 15_000},
        }
        self.store.put("config", "main", manifest)
        self.note(f"operator writes manifest {self.version}: {routes}")

    def add_balancer(self, number: int) -> Node:
        """Starts a balancer; the routers check its readiness from now on."""
        ip = f"{self.network}.1.{number}"
        node = self._add("balancer", ip, control_endpoint=f"{ip}:{CONTROL}")
        self.routers.add(ip)
        return node

    def add_agent(self, number: int, service: str) -> Node:
        """Starts an agent without an upstream."""
        ip = f"{self.network}.2.{number}"
        return self._add(
            "agent",
            ip,
            control_endpoint=f"{ip}:{CONTROL}",
            egress_endpoint=f"{ip}:{OUTBOUND}",
            upstream_endpoint=f"{ip}:{UPSTREAM}",
            service=service,
        )

    def add_upstream(
        self, number: int, service: str, *, name: str = "", ahead_ms: int = 0
    ) -> UpstreamStandIn:
        """Starts an upstream beside the agent with this number.

        Args:
            number: Number of the agent.
            service: Service of the upstream.
            name: Id of an earlier lifetime, if it is used again.
            ahead_ms: How far the time of day of its machine is ahead.
        """
        ip = f"{self.network}.2.{number}"
        upstream = UpstreamStandIn(
            reactor=self.reactor,
            clock=self.clock,
            name=name or f"i-{number}-{time.time_ns() % 1_000_000:06}",
            service=service,
            zone="z1",
            endpoint=f"{ip}:{UPSTREAM}",
            outbound=f"{ip}:{OUTBOUND}",
            control=f"{ip}:{CONTROL}",
            born=time.time_ns() // 1_000_000 + ahead_ms,
            report_s=REPORT_S,
        )
        upstream.start()
        self.upstreams[ip] = upstream
        self.note(f"upstream {upstream.name} of {service} starts at {ip}")
        return upstream

    def request(self, flow: Any, text: bytes) -> None:
        """Sends a request on an open flow."""
        self.note(f"caller {flow.source[1]} sends {text.decode()}")
        flow.request(text)

    def open_flow(self, port: int, text: bytes) -> Any:
        """Opens a flow that sends one request as soon as it is open."""
        flow = self.callers.open((ROUTE_IP, port))
        self.note(f"caller {flow.source[1]} opens a flow to port {port}")
        flow.opened = lambda: self.request(flow, text)
        return flow

    def note_answer(self, flow: Any, text: bytes) -> None:
        """Adds to the record what a caller got for a request."""
        answer = flow.answers.get(text)
        state = f"{flow.state} at {self.holder(flow)}"
        self.note(f"caller {flow.source[1]}, {state}, got {answer!r}")

    def holder(self, flow: Any) -> str | None:
        """Returns the address of the running upstream that has a flow open."""
        key = (flow.source, flow.target)
        return next(
            (ip for ip, up in self.upstreams.items() if up.alive and key in up.open),
            None,
        )

    def note_runs(self) -> None:
        """Adds to the record what each upstream has run."""
        for ip, upstream in self.upstreams.items():
            runs = sorted(text.decode() for text in upstream.answered_requests)
            self.note(f"{upstream.name} at {ip} ran {len(runs)}: {' '.join(runs)}")

    def kill(self, node: Node) -> None:
        """Kills a process; the platform starts it again."""
        self.note(f"SIGKILL to {node.ip}")
        node.signal(signal.SIGKILL)

    def terminate(self, node: Node) -> None:
        """Stops a process as planned; SIGKILL follows after ``GRACE_S``."""
        self.note(f"SIGTERM to {node.ip}")
        node.signal(signal.SIGTERM)
        process = node.process

        def end() -> None:
            if process is not None and process.poll() is None:
                self.note(f"SIGKILL to {node.ip}: it did not end in time")
                process.kill()

        self.clock.callLater(GRACE_S, end)

    def run(self, seconds: float) -> None:
        """Runs the stand-ins for some seconds."""
        until = self.now() + seconds
        while self.now() < until:
            self.reactor.iterate(0.005)

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Runs until a condition holds; returns False if it takes too long."""
        until = self.now() + seconds
        while not condition():
            if self.now() >= until:
                return False
            self.reactor.iterate(0.005)
        return True

    def close(self) -> None:
        """Ends all processes that were started; removes settings and logs.

        With ``KEEP`` in the environment, these files stay.
        """
        self.closed = True
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _add(self, role: str, ip: str, **fields: Any) -> Node:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"][role]["run"])
        settings = self.folder / f"{ip}.json"
        document = {
            "role": role,
            "node": f"{role}-{ip}",
            "ip": ip,
            "availability_zone": "z1",
            "packet_endpoint": f"{ip}:{PACKET}",
            "ready_endpoint": f"{ip}:{READY}",
            "mesh_port": MESH,
            "metrics_port": 9464,
            "seed_endpoints": self.seeds or [f"{self.network}.1.1:{CONTROL}"],
            "store_endpoint": f"{self.network}.9.1:{STORE}",
            "report_interval_s": REPORT_S,
            "stop_within_s": GRACE_S,
            **fields,
        }
        settings.write_text(json.dumps(document))
        node = Node(ip, command, settings, self.folder / f"{ip}.log")
        self.nodes[ip] = node
        node.start()
        return node

    def _supervise(self) -> None:
        """Starts ended processes again, as the platform does."""
        if self.closed:
            return
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is not None:
                node.ends.append(node.process.returncode)
                self.note(f"process of {node.ip} ended: {node.process.returncode}")
                node.process = None
                if node.restart:
                    self.clock.callLater(RESTART_S, self._restart, node)
        self.clock.callLater(0.02, self._supervise)

    def _restart(self, node: Node) -> None:
        if not self.closed and node.process is None:
            node.start()
            self.note(f"process of {node.ip} starts again")


def free_network() -> str:
    """Returns the first two bytes of a loopback network that is not in use."""
    numbers = list(range(20, 250))
    random.SystemRandom().shuffle(numbers)
    for number in numbers:
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{number}.9.1", STORE))
            except OSError:
                continue
            return f"127.{number}"
    raise OSError("no free loopback network")


def main(folder: Path, case: Callable[[World], bool]) -> None:
    """Runs a case and exits with its status.

    Args:
        folder: Folder of the case, which gets ``record.txt``.
        case: Runs the case; returns False if it could not run.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    world: World | None = None
    status = COULD_NOT_RUN
    try:
        world = World(record=folder / "record.txt")
        if case(world):
            status = BROKEN if world.broken else HELD
        world.note_runs()
    except Exception:
        traceback.print_exc()
        status = COULD_NOT_RUN
    finally:
        if world is not None:
            world.close()
            words = ["the rule held", "the rule was broken", "the case could not run"]
            world.note(words[status])
            print(words[status], *world.broken, sep="\n", flush=True)
    sys.stdout.flush()
    os._exit(status)
