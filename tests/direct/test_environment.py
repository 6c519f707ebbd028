"""HTTP calls, datagrams, event log, metrics and settings."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock

from bramleydyke.adapters.clock import MonotonicClock
from bramleydyke.adapters.event_log import EventLog, LineWriter, flow_text
from bramleydyke.adapters.http_client import HttpClient
from bramleydyke.adapters.http_server import (
    MAX_BODY_BYTES,
    DeferredReply,
    HttpReply,
    listen_http,
)
from bramleydyke.adapters.metrics_page import MetricsPage
from bramleydyke.adapters.raw_datagrams import RawDatagrams
from bramleydyke.direct.settings import Role, SettingsError, load_settings

sys.path.append(str(Path(__file__).parent.parent / "adapters"))
from reactor_harness import environment, reactor, run_until  # noqa: E402


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


@pytest.fixture
def server():
    environment()
    later: list[DeferredReply] = []

    def handle(method: str, path: str, body: bytes):
        if path == "/later":
            later.append(DeferredReply())
            return later[-1]
        return HttpReply(200, f"{method} {path} ".encode() + body)

    endpoint = f"127.0.0.1:{free_port()}"
    listener = listen_http(reactor, endpoint, handle)
    yield endpoint, later
    listener.close()


def calls() -> HttpClient:
    return HttpClient(
        reactor=reactor, clock=MonotonicClock(reactor), content_type="text/plain"
    )


def test_each_call_has_a_connection_of_its_own(server):
    endpoint, _ = server
    client = calls()
    seen = []
    for number in range(3):
        client.request(
            "PUT",
            endpoint,
            f"/x{number}?a=1",
            timeout_s=5.0,
            body=b"body",
            on_response=lambda status, body: seen.append((status, body)),
        )
        run_until(lambda count=number + 1: len(seen) == count)
    assert seen == [(200, b"PUT /x%d?a=1 body" % n) for n in range(3)]
    run_until(lambda: not client.connections)


def test_headers_of_a_response_are_reported_before_it(server):
    endpoint, _ = server
    client = calls()
    seen = []
    client.request(
        "GET",
        endpoint,
        "/",
        timeout_s=5.0,
        on_response=lambda status, body: seen.append(status),
        on_headers=lambda headers: seen.append(headers["content-type"]),
    )
    run_until(lambda: len(seen) == 2)
    assert seen == ["application/json", 200]


class AnswersTwice(Protocol):
    """Answers each request, and once more before the next one's answer."""

    last_answer = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        target = data.split(b" ", 2)[1]
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
        late_copy, self.last_answer = self.last_answer, answer % (len(target), target)
        self.transport.write(late_copy + self.last_answer)


def test_a_late_copy_of_an_answer_never_answers_another_call():
    """Guards against a write that counts as stored because of a read.

    A server sends an answer a second time, when the connection carries the
    next request. HTTP has no request numbers that would tell the two apart.
    """
    environment()
    factory = Factory.forProtocol(AnswersTwice)
    listener = reactor.listenTCP(0, factory, interface="127.0.0.1")
    endpoint = f"127.0.0.1:{listener.getHost().port}"
    client = calls()
    seen = []
    for number, target in enumerate(("/first", "/second", "/third"), start=1):
        client.request(
            "GET",
            endpoint,
            target,
            timeout_s=5.0,
            on_response=lambda _, body: seen.append(body),
        )
        run_until(lambda count=number: len(seen) == count)
    listener.stopListening()
    client.close()
    assert seen == [b"/first", b"/second", b"/third"]


def test_an_answer_may_come_later(server):
    endpoint, later = server
    client = calls()
    seen = []
    client.request(
        "GET",
        endpoint,
        "/later",
        timeout_s=5.0,
        on_response=lambda status, body: seen.append((status, body)),
    )
    run_until(lambda: later)
    assert seen == []
    later[0](HttpReply(202, b"now"))
    run_until(lambda: seen)
    assert seen == [(202, b"now")]
    client.close()


def test_a_silent_server_ends_the_call_at_its_timeout(server):
    endpoint, later = server
    client = calls()
    seen = []
    client.request(
        "GET",
        endpoint,
        "/later",
        timeout_s=0.05,
        on_response=lambda status, body: seen.append((status, body)),
    )
    run_until(lambda: seen)
    assert seen == [(None, b"")]
    # The late answer must not reach the next call.
    later[0](HttpReply(200, b"late"))
    client.request(
        "GET",
        endpoint,
        "/next",
        timeout_s=5.0,
        on_response=lambda status, body: seen.append((status, body)),
    )
    run_until(lambda: len(seen) == 2)
    assert seen[1] == (200, b"GET /next ")
    client.close()


def test_a_closed_port_ends_the_call():
    environment()
    seen = []
    calls().request(
        "GET",
        f"127.0.0.1:{free_port()}",
        "/",
        timeout_s=5.0,
        on_response=lambda status, body: seen.append(status),
    )
    run_until(lambda: seen)
    assert seen == [None]


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"\x00\x01garbage\r\n\r\n", b"400"),
        (
            b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
            % (MAX_BODY_BYTES + 10)
            + bytes(MAX_BODY_BYTES + 10),
            b"413",
        ),
    ],
)
def test_bad_requests_are_refused(server, request_bytes, status):
    endpoint, _ = server
    host, port = endpoint.split(":")
    client = socket.create_connection((host, int(port)))
    client.setblocking(False)
    client.sendall(request_bytes[:60_000])
    rest = request_bytes[60_000:]
    received = bytearray()

    def read() -> bool:
        nonlocal rest
        try:
            rest = rest[client.send(rest) :] if rest else rest
        except OSError:
            rest = b""
        try:
            received.extend(client.recv(4_096))
        except OSError:
            pass
        return b"\r\n" in received

    run_until(read)
    assert received.startswith(b"HTTP/1.1 " + status)
    client.close()


def test_datagrams_carry_their_sender():
    environment()
    port = free_port(socket.SOCK_DGRAM)
    seen = []
    datagrams = RawDatagrams(
        reactor=reactor,
        endpoint=f"127.0.0.1:{port}",
        receive=lambda data, sender: seen.append((data, sender)),
        count=seen.append,
        on_batch_read=lambda: None,
    )
    datagrams.start()
    datagrams.send(b"hello", "127.0.0.1", port)
    run_until(lambda: seen)
    assert seen == [(b"hello", "127.0.0.1")]
    datagrams.close()
    datagrams.close()


# The event log.


def log_to_pipe(clock: Clock, *, max_lines_per_s: int = 5):
    reader, writer = os.pipe()
    handler = LineWriter(writer, node="n1", level="info")
    counts: list[str] = []
    log = EventLog(
        handler=handler,
        clock=clock,
        max_lines_per_s=max_lines_per_s,
        count=counts.append,
    )
    return reader, handler, log, counts


def lines_of(reader: int) -> list[dict]:
    os.set_blocking(reader, False)
    data = b""
    try:
        while chunk := os.read(reader, 65_536):
            data += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_events_are_json_lines_with_their_flow():
    clock = Clock()
    reader, handler, log, _ = log_to_pipe(clock)
    flow = bytes((100, 64, 0, 7, 0, 80, 198, 18, 0, 1, 1, 187))
    with handler.applicationbound():
        log.record("flow_placed", flow=flow, agent="10.0.0.1", node="shadowed")
    [line] = lines_of(reader)
    assert line["event"] == "flow_placed"
    assert line["flow"] == "100.64.0.7:80>198.18.0.1:443" == flow_text(flow)
    assert line["node"] == "n1"


def test_each_event_has_a_budget_and_says_what_was_left_out():
    clock = Clock()
    reader, handler, log, counts = log_to_pipe(clock, max_lines_per_s=2)
    with handler.applicationbound():
        for number in range(10):
            log.record("often", number=number)
        log.record("seldom")
        clock.advance(1.0)
        log.record("often", number=10)
    lines = lines_of(reader)
    assert [line["event"] for line in lines] == ["often", "often", "seldom", "often"]
    assert lines[-1]["left_out"] == 8
    assert counts == ["log.left_out"] * 8


def test_a_reader_that_stops_reading_does_not_block():
    clock = Clock()
    reader, handler, log, _ = log_to_pipe(clock, max_lines_per_s=100_000)
    with handler.applicationbound():
        for number in range(5_000):
            log.record("often", number=number, text="x" * 100)
    assert handler.dropped > 0
    whole = [line["number"] for line in lines_of(reader)[:100]]
    assert whole == list(range(100))


# Metrics.


def test_a_start_does_not_load_the_writer_of_the_metrics_page():
    """Guards against slow restarts caused by an unneeded import.

    Importing prometheus_client takes 5% of the start-up time of a process.
    """
    program = (
        "import sys; import bramleydyke.platform.main;"
        "import bramleydyke.platform.agent, bramleydyke.platform.balancer;"
        "sys.exit('prometheus_client' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", program]).returncode == 0


@pytest.mark.parametrize(
    ("role", "others"),
    [
        ("agent", {"balancer", "lookups", "openings", "registry", "kind_watch"}),
        ("balancer", {"agent", "admission", "announcer", "upstream_flows"}),
    ],
)
def test_a_start_loads_the_modules_of_its_own_role_only(role, others):
    program = (
        f"import sys; import bramleydyke.platform.{role};"
        "print(*(n.rpartition('.')[2] for n in sys.modules"
        " if n.startswith('bramleydyke.direct.')))"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], check=True, capture_output=True, text=True
    )
    assert not others & set(result.stdout.split())


def test_the_metrics_page_has_counters_gauges_and_latencies():
    counts = {"refused.busy": 3}
    page = MetricsPage(counts=counts, gauges=lambda: {"upstreams": 7})
    page.observe("opening", 0.02)
    counts["refused.busy"] += 1
    lines = page.render().decode().splitlines()
    assert "bramleydyke_refused_busy_total 4.0" in lines
    assert "bramleydyke_upstreams 7.0" in lines
    assert 'bramleydyke_opening_seconds_bucket{le="0.01"} 0.0' in lines
    assert 'bramleydyke_opening_seconds_bucket{le="0.025"} 1.0' in lines
    assert "bramleydyke_opening_seconds_count 1.0" in lines


# Settings.

SETTINGS = {
    "role": "agent",
    "node": "side-1",
    "ip": "10.0.0.1",
    "availability_zone": "z1",
    "packet_endpoint": "10.0.0.1:8172",
    "egress_endpoint": "10.0.0.1:8162",
    "upstream_endpoint": "10.0.0.1:8165",
    "service": "board",
    "mesh_port": 7720,
    "store_endpoint": "10.9.9.9:8169",
}


def write_settings(tmp_path: Path, change: dict) -> Path:
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS | change))
    return path


def test_settings_are_read_with_their_defaults(tmp_path):
    settings = load_settings(write_settings(tmp_path, {"unknown": 1}))
    assert settings.role is Role.AGENT
    assert settings.log_lines_per_s == 20


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"role": "cook"}, "role"),
        ({"mesh_port": "7720"}, "mesh_port"),
        ({"mesh_port": 70_000}, "mesh_port"),
        ({"packet_endpoint": "somewhere:1"}, "packet_endpoint"),
        ({"service": None}, "service"),
        ({"log_level": "loud"}, "log_level"),
    ],
)
def test_wrong_settings_name_file_and_field(tmp_path, change, named):
    path = write_settings(tmp_path, change)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert str(path) in str(caught.value)
    assert named in str(caught.value)


def test_a_missing_file_is_named(tmp_path):
    with pytest.raises(SettingsError, match=r"none\.json"):
        load_settings(tmp_path / "none.json")
