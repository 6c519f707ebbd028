"""Tests of balancers and agents on a simulated platform.

Routers, store, callers and upstreams are simulated;
everything runs in one reactor over loopback sockets.
"""

from __future__ import annotations

import socket
import sys
import time
from functools import reduce
from itertools import product
from pathlib import Path

import pytest

from bramleydyke.standins.platform_vm.system import (
    PORTS,
    REPORT_INTERVAL_S,
    ROUTE_IP,
    STORE_PORT,
    PlatformSystem,
)

sys.path.append(str(Path(__file__).parent.parent / "adapters"))
from reactor_harness import environment, reactor, run_until  # noqa: E402

BOARD, VAULT = 8443, 80
NETWORKS = iter(range(20, 250))

IN_FORCE_S = 3.0
"""Maximum time until a new configuration is in force."""

ENTRIES_BACK_S = 2.0
"""Maximum time until entries that a restore has lost are stored again."""


def free_network() -> str:
    """Returns a loopback network that no other run on this machine uses."""
    for number in NETWORKS:
        with socket.socket() as probe:
            # Connections of an earlier run may still be in TIME_WAIT.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f"127.{number}.9.1", STORE_PORT))
            except OSError:
                continue
            return f"127.{number}"
    raise OSError("no loopback network is free")


@pytest.fixture
def system():
    environment()
    new_system = PlatformSystem(reactor=reactor, network=free_network())
    new_system.start({BOARD: "board", VAULT: "vault"})
    for number in (1, 2):
        new_system.add_balancer(number)
    for number, service in enumerate(("board", "board", "board", "vault"), start=1):
        new_system.add_upstream(number, service)
    run_until(
        lambda: all(misses == 0 for misses in new_system.routers.failed_checks.values())
    )
    yield new_system
    assert new_system.callers.corrupted_packets == 0
    assert all(
        upstream.corrupted_packets == 0 for upstream in new_system.upstreams.values()
    )
    new_system.close()


def open_flows(system, number, port=BOARD):
    flows = [system.callers.open((ROUTE_IP, port)) for _ in range(number)]
    run_until(lambda: all(flow.state == "open" for flow in flows))
    return flows


def kill(system, ip: str) -> None:
    """Stops a process and runs the reactor until its sockets are closed."""
    system.kill(ip)
    for _ in range(3):
        reactor.iterate(0.01)


def open_when_in_force(system, port: int) -> float:
    """Opens flows until one is accepted; returns the elapsed seconds."""
    started_at = time.monotonic()
    attempts = [system.callers.open((ROUTE_IP, port))]

    def opened() -> bool:
        if attempts[-1].state == "reset":
            attempts.append(system.callers.open((ROUTE_IP, port)))
        return attempts[-1].state == "open"

    run_until(opened)
    return time.monotonic() - started_at


def send_requests(flows, text: bytes):
    for flow in flows:
        flow.request(text)
    run_until(lambda: all(text in flow.answers for flow in flows))


def test_requests_reach_their_service_and_load_is_spread(system):
    flows = open_flows(system, 30)
    send_requests(flows, b"q1")
    assert {flow.answers[b"q1"] for flow in flows} == {b"board q1"}
    [vault] = open_flows(system, 1, VAULT)
    send_requests([vault], b"q2")
    assert vault.answers[b"q2"] == b"vault q2"
    board = [u for u in system.upstreams.values() if u.service == "board"]
    assert sum(u.answered_requests[b"q1"] for u in board) >= 30
    assert all(5 <= u.answered_requests[b"q1"] <= 20 for u in board)


def test_flows_survive_the_loss_of_a_balancer_and_a_restart_of_an_agent(system):
    flows = open_flows(system, 12)
    send_requests(flows, b"q1")
    kill(system, f"{system.network}.1.1")
    send_requests(flows, b"q2")
    kill(system, f"{system.network}.2.1")
    system.start_agent(1, "board")
    send_requests(flows, b"q3")
    assert {flow.state for flow in flows} == {"open"}


def test_a_new_manifest_is_in_force_and_ends_dropped_routes(system):
    flows = open_flows(system, 4)
    [kept] = open_flows(system, 1, VAULT)
    system.configure({VAULT: "vault", 9000: "board"})
    assert open_when_in_force(system, 9000) < IN_FORCE_S
    for flow in flows:
        flow.request(b"q")
    run_until(lambda: all(flow.state == "reset" for flow in flows))
    send_requests([kept], b"q")


def test_a_drained_upstream_takes_no_new_flow_and_keeps_the_open_ones(system):
    flows = open_flows(system, 12)
    upstream = next(iter(system.upstreams.values()))
    upstream.draining = True
    run_until(lambda: upstream.acknowledged_drain)
    acknowledged_at = time.monotonic()
    open_flows(system, 20)
    assert upstream.last_opening_at <= acknowledged_at
    send_requests(flows, b"q")


def test_new_flows_open_while_the_store_is_down(system):
    system.store.down = True
    send_requests(open_flows(system, 6), b"q")
    upstream = next(iter(system.upstreams.values()))
    upstream.draining = True
    started_at = time.monotonic()
    run_until(lambda: upstream.acknowledged_drain)
    assert time.monotonic() - started_at < 1.0 + 2 * REPORT_INTERVAL_S


def test_all_processes_restart_and_serve_from_the_store(system):
    flows = open_flows(system, 8)
    for ip in list(system.nodes):
        kill(system, ip)
    for number in (1, 2):
        system.add_balancer(number)
    for number, service in enumerate(("board", "board", "board", "vault"), start=1):
        system.start_agent(number, service)
    send_requests(flows, b"after")
    send_requests(open_flows(system, 8), b"new")
    assert {flow.state for flow in flows} == {"open"}


@pytest.fixture
def deep_recursion():
    """Lets the simulated store encode what the programs cannot decode."""
    limit = sys.getrecursionlimit()
    sys.setrecursionlimit(10_000)
    yield
    sys.setrecursionlimit(limit)


def test_odd_entries_of_another_writer_change_nothing(system, deep_recursion):
    """Guards against processes that follow the store no longer."""
    nested = reduce(lambda inner, _: [inner], range(3_000), [])
    entry = {
        "node": "10.9.9.9",
        "zone": "z1",
        "service": "board",
        "upstream": "i-odd",
        "lifetime": 10**30,
        "sequence": 1,
        "revision": 1,
        "state": "ready",
        "slots": 0,
    }
    port = {"node": "10.9.9.9:99999", "zone": "z1"}
    odd = {"text": {"x": "\ud800"}, "nested": nested, "10.9.9.9": entry, "port": port}
    kinds = ["bramleydyke-upstreams", "bramleydyke-balancers"]
    for kind, (name, value) in product(kinds, odd.items()):
        system.store.put(kind, name, value)
    flows = open_flows(system, 8)
    system.configure({BOARD: "board", VAULT: "vault", 9001: "board"})
    assert open_when_in_force(system, 9001) < IN_FORCE_S
    system.add_upstream(9, "board")
    name = f"{system.network}.2.9"
    run_until(lambda: (kinds[0], name) in system.store.objects)
    for _ in range(6):
        send_requests(open_flows(system, 8), b"q")
    assert system.upstreams[name].open
    for ip in list(system.nodes):
        kill(system, ip)
    # The seed of all processes is not among them.
    for number in (3, 4):
        system.add_balancer(number)
    services = {1: "board", 2: "board", 3: "board", 4: "vault", 9: "board"}
    for number, service in services.items():
        system.start_agent(number, service)
    send_requests(flows, b"after")
    send_requests(open_flows(system, 8), b"new")
    system.configure({BOARD: "board", VAULT: "vault", 9002: "board"})
    assert open_when_in_force(system, 9002) < IN_FORCE_S


def test_a_lost_history_and_lost_answers_delay_nothing_for_long(system):
    system.store.lost_reply_share = 0.5
    system.store.compact()
    system.configure({BOARD: "board", VAULT: "vault", 9001: "board"})
    assert open_when_in_force(system, 9001) < IN_FORCE_S
    system.store.lost_reply_share = 0.0
    system.add_upstream(9, "board")
    name = f"{system.network}.2.9"
    kind = "bramleydyke-upstreams"
    run_until(lambda: (kind, name) in system.store.objects)


def test_a_configuration_written_after_a_restore_is_in_force(system):
    """It gets the revision of the last configuration before the restore."""
    copy = system.store.copy()
    for port in (9001, 9002):
        system.configure({BOARD: "board", VAULT: "vault", port: "board"})
        assert open_when_in_force(system, port) < IN_FORCE_S
    revision = system.store.objects["config", "main"]["meta"]["revision"]
    system.store.restore(copy)
    system.configure({BOARD: "board", VAULT: "vault", 9003: "board"})
    assert system.store.objects["config", "main"]["meta"]["revision"] == revision
    assert open_when_in_force(system, 9003) < IN_FORCE_S


def entry_of(system, ip):
    """Returns the stored entry of an agent, or None."""
    stored = system.store.objects.get(("bramleydyke-upstreams", ip))
    return None if stored is None else stored["spec"]


def restore_after_outage(system, copy):
    """Lets the store be away for a moment and come back as a copy."""
    system.store.down = True
    system.store.fail_watches()
    ends_at = time.monotonic() + 0.3
    run_until(lambda: time.monotonic() > ends_at)
    system.store.down = False
    system.store.restore(copy)


def test_flows_of_an_upstream_that_a_restored_store_lacks_stay_open(system):
    copy = system.store.copy()
    for number in (1, 2, 3):
        system.upstreams[f"{system.network}.2.{number}"].draining = True
    system.add_upstream(9, "board")
    ip = f"{system.network}.2.9"
    run_until(lambda: entry_of(system, ip) is not None)
    balancers = [system.nodes[f"{system.network}.1.{number}"] for number in (1, 2)]
    run_until(lambda: all(ip in node.registry.listed for node in balancers))
    flows = open_flows(system, 12)
    restore_after_outage(system, copy)
    run_until(lambda: all(node.counts.get("store.restored") for node in balancers))
    run_until(lambda: all(not node.registry.restored_era for node in balancers))
    send_requests(flows, b"q")
    assert {flow.state for flow in flows} == {"open"}


def test_entries_are_as_before_soon_after_a_restore(system):
    """A new, a draining, an ended and an unchanged upstream."""
    new, leaving, ended = (f"{system.network}.2.{number}" for number in (9, 1, 2))
    run_until(lambda: all(entry_of(system, ip) for ip in system.upstreams))
    copy = system.store.copy()
    system.add_upstream(9, "board")
    system.upstreams[leaving].draining = True
    system.upstreams[ended].deregister()
    run_until(lambda: entry_of(system, new) is not None)
    run_until(lambda: entry_of(system, leaving)["state"] == "draining")
    run_until(lambda: entry_of(system, ended) is None)
    before = dict(system.store.objects)
    restore_after_outage(system, copy)
    restored_at = time.monotonic()
    run_until(
        lambda: all(
            system.store.objects.get(key, {}).get("spec") == stored["spec"]
            for key, stored in before.items()
        )
    )
    run_until(lambda: entry_of(system, ended) is None)
    assert time.monotonic() - restored_at < ENTRIES_BACK_S


def test_dead_flows_are_reset_once_their_upstream_is_known_to_be_new(system):
    [flow] = open_flows(system, 1, VAULT)
    ip = f"{system.network}.2.4"
    system.upstreams[ip].stop()
    kill(system, ip)
    system.add_upstream(4, "vault")
    run_until(lambda: system.upstreams[ip].sequence > 2)
    flow.request(b"q")
    run_until(lambda: flow.state == "reset")


def test_metrics_and_readiness_of_a_stopping_balancer(system):
    node = system.nodes[f"{system.network}.1.1"]
    assert node.ready()
    node.reactor = type("Quiet", (), {"stop": lambda self: None})()
    node.terminate()
    assert not node.ready()
    flows = open_flows(system, 4)
    send_requests(flows, b"q")
    page = node.metrics_page("GET", "/metrics", b"").body.decode()
    assert "bramleydyke_configuration_version 3.0\n" in page
    assert 'bramleydyke_store_call_seconds_bucket{le="+Inf"}' in page
    assert "bramleydyke_store_calls_total" in page
    assert PORTS["ready"] in {server.port.getHost().port for server in node.servers}


def test_an_agent_stops_once_the_store_knows_that_its_upstream_is_gone(system):
    """Guards against stale entries in the store.

    An agent that stopped while the store was down did not remove the entry of
    its upstream, which had ended.
    """
    ip = f"{system.network}.2.1"
    node = system.nodes[ip]
    stopped = []
    node.reactor = type("Quiet", (), {"stop": lambda self: stopped.append(1)})()
    system.store.down = True
    node.on_upstream_ended(system.upstreams[ip].name)
    node.terminate()
    ends_at = time.monotonic() + 1.0
    run_until(lambda: time.monotonic() > ends_at)
    assert not stopped
    system.store.down = False
    run_until(lambda: stopped)
    assert ("bramleydyke-upstreams", ip) not in system.store.objects
    del system.nodes[ip]


def test_an_end_during_an_outage_of_the_store_removes_the_entry(system):
    """Guards against an acknowledged end that a restarted agent forgets."""
    ip = f"{system.network}.2.1"
    run_until(lambda: entry_of(system, ip) is not None)
    system.store.down = True
    kill(system, ip)
    agent = system.start_agent(1, "board")
    system.upstreams[ip].deregister()
    run_until(
        lambda: agent.role.view.ended_unknown is not None or agent.role.view.ended
    )
    system.store.down = False
    run_until(lambda: entry_of(system, ip) is None)


def test_a_restarted_agent_does_not_write_an_unchanged_entry(system):
    """Guards against a write of each agent when many start at once."""
    ip = f"{system.network}.2.1"
    run_until(lambda: entry_of(system, ip) is not None)
    system.upstreams[ip].stop()
    revision = system.store.revision
    kill(system, ip)
    agent = system.start_agent(1, "board")
    run_until(lambda: agent.role.view.stored_report is not None)
    started_at = time.monotonic()
    run_until(lambda: time.monotonic() > started_at + 0.5)
    assert system.store.revision == revision
