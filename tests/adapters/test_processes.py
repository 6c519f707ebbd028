"""Tests of the programs as separate processes that are stopped by signals."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import pytest

from bramleydyke.constants import DRAIN_NOTICE_S
from bramleydyke.core.config import (
    PartnerConfig,
    ServiceConfig,
    UpstreamSpec,
    next_config,
)
from bramleydyke.demo.endpoints import free_endpoint
from bramleydyke.types import (
    AvailabilityZone,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)

SOURCES = Path(__file__).parents[2] / "src"
ADDRESS = "127.0.0.1:9000"
TIMEOUT_S = 20.0


class Programs:
    """Starts programs whose settings files are in a directory."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.running: list[subprocess.Popen[bytes]] = []

    def start(self, role: str, **settings: object) -> subprocess.Popen[bytes]:
        path = self.directory / f"{role}.json"
        path.write_bytes(msgspec.json.encode(settings))
        process = subprocess.Popen(
            [sys.executable, "-m", "bramleydyke.cli.main", role, str(path)],
            env=os.environ | {"PYTHONPATH": str(SOURCES)},
            stderr=subprocess.PIPE,
        )
        self.running.append(process)
        return process


@pytest.fixture()
def programs(tmp_path: Path) -> Iterator[Programs]:
    started = Programs(tmp_path)
    yield started
    for process in started.running:
        if process.poll() is None:
            process.kill()
        process.communicate()


def wait_until(condition: Callable[[], bool]) -> None:
    ends_at = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < ends_at, "condition did not hold in time"
        time.sleep(0.05)


def status_of(url: str, *, data: bytes | None = None, **headers: str) -> int:
    """Returns the status of a GET, or of a PUT with ``data``.

    Returns 0 if there is no response.
    """
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    method = "GET" if data is None else "PUT"
    call = urllib.request.Request(url, data=data, headers=names, method=method)
    try:
        with urllib.request.urlopen(call, timeout=5) as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def sheet(protocol: Protocol = Protocol.HTTP) -> bytes:
    service = ServiceConfig(
        service_id=ServiceId("federation/s"),
        partner_id=PartnerId("federation"),
        protocol=protocol,
        addresses=(ServiceAddress(ADDRESS),),
        upstreams=(UpstreamSpec(UpstreamId("u"), AvailabilityZone("fes")),),
    )
    empty = PartnerConfig(PartnerId("federation"))
    return msgspec.json.encode(next_config(empty, [service], change_id="test"))


def start_service(
    programs: Programs,
    *,
    store: str,
    edge: str,
    upstream: str,
    protocol: Protocol = Protocol.HTTP,
) -> tuple[subprocess.Popen[bytes], subprocess.Popen[bytes]]:
    """Starts platform, balancer and agent, and writes the sheet.

    Returns the processes of the balancer and the agent.
    """
    control, kind = free_endpoint(), protocol.value
    programs.start(
        "platform",
        listen=store,
        partner_credentials={"federation": "fed"},
        node_credential="node",
        control_credential="control",
    )
    balancer = programs.start(
        "balancer",
        name="b1",
        zone="fes",
        listen=control,
        platform={"url": f"http://{store}", "credential": "node"},
        partner_credentials={"federation": "fed"},
        edges=[{"address": ADDRESS, "listen": edge, "protocol": kind}],
    )
    agent = programs.start(
        "agent",
        zone="fes",
        listen=free_endpoint(),
        platform={"url": f"http://{store}", "credential": "fed"},
        seeds=[{"node_id": "balancer/b1", "endpoint": control}],
        service="federation/s",
        upstream="u",
        upstream_address=upstream,
        protocol=kind,
        credential="fed",
    )
    url = f"http://{store}/objects/sheets/federation"
    write = {"Authorization": "Bearer fed", "If_Version": "0"}
    wait_until(lambda: status_of(url, data=sheet(protocol), **write) in (200, 409))
    return balancer, agent


def send_slowly(listener: socket.socket, pieces: list[bytes]) -> None:
    """Serves connections one after another, pausing 0.1 s after each piece."""
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        with connection, contextlib.suppress(OSError):
            for piece in pieces:
                connection.sendall(piece)
                time.sleep(0.1)


def first_bytes(edge: str) -> tuple[socket.socket, bytes]:
    """Connects repeatedly until data arrives; returns connection and data."""
    host, port = edge.split(":")
    ends_at = time.monotonic() + TIMEOUT_S
    while time.monotonic() < ends_at:
        with contextlib.suppress(OSError):
            connection = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
            data = connection.recv(1 << 16)
            if data:
                return connection, data
            connection.close()
        time.sleep(0.1)
    raise AssertionError("no agent served in time")


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_terminated_program_finishes_its_download(
    programs: Programs, role: str
) -> None:
    """Guards against a planned stop that interrupts a download.

    The download takes longer than ``DRAIN_NOTICE_S``, after which a program
    without open work stops.
    """
    pieces = [bytes([number]) * 10_000 for number in range(50)]
    edge = free_endpoint()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        upstream = "{}:{}".format(*listener.getsockname())
        threading.Thread(
            target=send_slowly, args=(listener, pieces), daemon=True
        ).start()
        nodes = start_service(
            programs,
            store=free_endpoint(),
            edge=edge,
            upstream=upstream,
            protocol=Protocol.TCP,
        )
        process = nodes[role == "agent"]
        connection, data = first_bytes(edge)
        with connection:
            process.send_signal(signal.SIGTERM)
            time.sleep(DRAIN_NOTICE_S + 0.5)
            assert process.poll() is None
            while more := connection.recv(1 << 16):
                data += more
    assert data == b"".join(pieces)
    assert process.wait(timeout=TIMEOUT_S) == 0


SLOW_RESPONSE = b"x" * 2_000_000
"""Response body that is larger than the send buffers of a connection."""


def serve_requests(listener: socket.socket, started: threading.Event) -> None:
    """Serves HTTP requests; ``/slow`` takes longer than ``DRAIN_NOTICE_S``."""
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        with connection, contextlib.suppress(OSError):
            slow = b"/slow" in connection.recv(1 << 16)
            if slow:
                started.set()
                time.sleep(DRAIN_NOTICE_S + 1.0)
            body = SLOW_RESPONSE if slow else b"ready"
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            connection.sendall(head.encode() + b"Connection: close\r\n\r\n" + body)


def read_response_slowly(edge: str, pause_s: float) -> bytes:
    """Reads a response with a pause, as over a slow connection."""
    with urllib.request.urlopen(f"http://{edge}/slow", timeout=TIMEOUT_S) as response:
        data = response.read(10_000)
        time.sleep(pause_s)
        return data + response.read()


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_terminated_program_finishes_its_request(programs: Programs, role: str) -> None:
    """Guards against a planned stop that interrupts a request or response."""
    edge, started = free_endpoint(), threading.Event()
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        ThreadPoolExecutor(2) as threads,
    ):
        threads.submit(serve_requests, listener, started)
        upstream = "{}:{}".format(*listener.getsockname())
        nodes = start_service(
            programs, store=free_endpoint(), edge=edge, upstream=upstream
        )
        process = nodes[role == "agent"]
        try:
            wait_until(lambda: status_of(f"http://{edge}/", Request_Timeout="1") == 200)
            answer = threads.submit(read_response_slowly, edge, 1.0)
            assert started.wait(TIMEOUT_S)
            process.send_signal(signal.SIGTERM)
            assert answer.result(TIMEOUT_S) == SLOW_RESPONSE
            assert process.wait(timeout=TIMEOUT_S) == 0
        finally:
            listener.shutdown(socket.SHUT_RDWR)


def test_programs_serve_drain_and_stop(programs: Programs) -> None:
    """Guards against a program that does not start, serve, drain or stop.

    The platform itself is the upstream: its ``/control`` page can be read by
    any HTTP client.
    """
    store, edge = free_endpoint(), free_endpoint()
    balancer, agent = start_service(programs, store=store, edge=edge, upstream=store)
    page = f"http://{edge}/control"
    read = {"Authorization": "Bearer control", "Request_Timeout": "1"}
    wait_until(lambda: status_of(page, **read) == 200)
    agent.send_signal(signal.SIGTERM)
    wait_until(lambda: status_of(page, **read) == 503)
    _, log = agent.communicate(timeout=TIMEOUT_S)
    assert agent.returncode == 0
    messages = [msgspec.json.decode(line)["message"] for line in log.splitlines()]
    assert messages[-2:] == ["draining", "stopped"]
    balancer.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    balancer.send_signal(signal.SIGTERM)
    assert balancer.wait(timeout=TIMEOUT_S) == 0


def test_port_in_use_is_reported_in_one_line(programs: Programs) -> None:
    """Guards against a success exit code when the port is already in use."""
    listen = free_endpoint()
    settings = {
        "listen": listen,
        "partner_credentials": {},
        "node_credential": "node",
        "control_credential": "control",
    }
    programs.start("platform", **settings)
    wait_until(lambda: status_of(f"http://{listen}/control") == 403)
    second = programs.start("platform", **settings)
    _, errors = second.communicate(timeout=TIMEOUT_S)
    assert second.returncode == 3
    assert errors.count(b"\n") == 1 and listen.encode()[-5:] in errors
