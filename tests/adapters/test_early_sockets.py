"""Tests of the sockets that are opened before a process has started."""

from __future__ import annotations

import json
import socket
import urllib.request
from threading import Thread

import pytest
from reactor_harness import environment, reactor, run_until

from bramleydyke.adapters.early_sockets import bind_early, bound_socket
from bramleydyke.adapters.http_server import HttpReply, listen_http
from bramleydyke.adapters.raw_datagrams import RawDatagrams

IP = "127.0.67.1"
SETTINGS = {
    "role": "agent",
    "ip": IP,
    "mesh_port": 7720,
    "packet_endpoint": f"{IP}:8172",
    "egress_endpoint": f"{IP}:8162",
    "ready_endpoint": f"{IP}:8167",
}


@pytest.fixture
def bind(tmp_path):
    opened = {}

    def bind_with(**changes):
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(SETTINGS | changes))
        opened.update(bind_early(path))
        return opened

    yield bind_with
    for early in opened.values():
        early.close()


def test_each_role_opens_its_endpoints(bind):
    assert set(bind()) == {
        (socket.SOCK_DGRAM, f"{IP}:7720"),
        (socket.SOCK_DGRAM, f"{IP}:8162"),
        (socket.SOCK_STREAM, f"{IP}:8167"),
    }


def test_packets_before_the_start_are_not_lost(bind):
    environment()
    early = bind()[socket.SOCK_DGRAM, f"{IP}:8162"]
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.sendto(b"early", (IP, 8162))
    sender.close()
    received = []
    datagrams = RawDatagrams(
        reactor=reactor,
        endpoint=f"{IP}:8162",
        receive=lambda datagram, sender: received.append(datagram),
        count=lambda _: None,
        on_batch_read=lambda: None,
        early=early,
    )
    datagrams.start()
    run_until(lambda: received)
    datagrams.close()
    assert received == [b"early"]


def test_a_connection_before_the_start_is_answered(bind):
    environment()
    early = bind()[socket.SOCK_STREAM, f"{IP}:8167"]
    statuses = []

    def send_request() -> None:
        with urllib.request.urlopen(f"http://{IP}:8167/", timeout=5) as answer:
            statuses.append(answer.status)

    thread = Thread(target=send_request)
    thread.start()
    listener = listen_http(
        reactor, f"{IP}:8167", lambda *_: HttpReply(200), early=early
    )
    run_until(lambda: statuses)
    thread.join()
    listener.close()
    assert statuses == [200]


@pytest.mark.parametrize("content", ["", "{", "[]", "{}", '{"role": "other"}'])
def test_unusable_settings_are_left_to_the_program(tmp_path, content):
    path = tmp_path / "settings.json"
    path.write_text(content)
    assert bind_early(path) == {}
    assert bind_early(tmp_path / "missing.json") == {}


def test_an_address_in_use_or_unusable_is_left_to_the_program(bind):
    taken = bound_socket(socket.SOCK_DGRAM, f"{IP}:8162")
    opened = bind(ready_endpoint="not an endpoint")
    taken.close()
    assert set(opened) == {(socket.SOCK_DGRAM, f"{IP}:7720")}
