"""Tests of the platform client against a simulated platform."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st
from reactor_harness import environment, reactor, result_of, run_until
from twisted.internet.protocol import Factory, Protocol

from bramleydyke.adapters.platform_client import PlatformClient
from bramleydyke.demo.endpoints import LOOPBACK_HOST, free_endpoint
from bramleydyke.messages import PlatformRead, PlatformReply, PlatformWrite
from bramleydyke.settings import PlatformSettings
from bramleydyke.standins.platform import Faults, PlatformServer
from bramleydyke.types import PlatformStatus

PATH = "sheets/federation"


class PlatformHarness:
    """A simulated platform, and clients with any of its credentials."""

    def __init__(self) -> None:
        self.env = environment()
        self.endpoint = free_endpoint()
        self.server = PlatformServer(
            PlatformSettings(
                listen=self.endpoint,
                partner_credentials={"federation": "fed", "studio": "stu"},
                node_credential="node",
                control_credential="control",
            ),
            environment=self.env,
        )
        self.server.start()

    def client(self, credential: str = "fed", endpoint: str = "") -> PlatformClient:
        return PlatformClient(
            reactor=reactor,
            clock=self.env.clock,
            base_url=f"http://{endpoint or self.endpoint}",
            credential=credential,
            deliver=lambda *_: None,
        )

    def write(
        self, value: bytes, expected: int, *, credential: str = "fed", path: str = PATH
    ) -> PlatformReply:
        message = PlatformWrite(call=1, path=path, value=value, expected=expected)
        return result_of(self.client(credential).call(message))

    def read(self, **fields: object) -> PlatformReply:
        message = PlatformRead(**{"call": 2, "path": PATH} | fields)
        return result_of(self.client().call(message))


@pytest.fixture()
def store() -> Iterator[PlatformHarness]:
    started = PlatformHarness()
    yield started
    started.server.stop()


def test_conditional_update(store: PlatformHarness) -> None:
    """Guards against overwriting a concurrent change."""
    assert store.read().status is PlatformStatus.NOT_FOUND
    assert store.write(b"one", 0) == PlatformReply(
        call=1, status=PlatformStatus.OK, version=1
    )
    lost = store.write(b"two", 0)
    assert (lost.status, lost.version) == (PlatformStatus.CONFLICT, 1)
    assert lost.value == b"one"
    assert store.read().value == b"one"


def test_watch_returns_at_the_change(store: PlatformHarness) -> None:
    """Guards against a watch that does not return when the object changes."""
    store.write(b"one", 0)
    replies: list[PlatformReply] = []
    watch = PlatformRead(call=3, path=PATH, after=1, timeout=30.0)
    store.client("node").call(watch).addCallback(replies.append)
    run_until(lambda: store.server.store.watchers)
    assert not replies
    store.write(b"two", 1)
    run_until(lambda: replies)
    assert (replies[0].version, replies[0].value) == (2, b"two")
    assert store.server.calls == {"PUT": 2, "GET": 1}


def test_watch_without_change_ends_unchanged(store: PlatformHarness) -> None:
    """Guards against reporting the end of a watch as an outage."""
    store.write(b"one", 0)
    reply = store.read(after=1, timeout=0.05)
    assert reply == PlatformReply(call=2, status=PlatformStatus.OK, version=1)


def test_lost_response_differs_from_a_refusal(store: PlatformHarness) -> None:
    """Guards against reporting a write as failed although it took effect."""
    store.server.set_faults(Faults(lose_answers=1))
    assert store.write(b"one", 0).status is PlatformStatus.LOST
    assert store.read().value == b"one"
    store.server.set_faults(Faults(outage=True))
    assert store.write(b"two", 1).status is PlatformStatus.UNAVAILABLE
    store.server.set_faults(Faults())
    assert store.read().value == b"one"


def test_outage_ends_pending_watches(store: PlatformHarness) -> None:
    """Guards against a simulated outage that leaves pending watches open."""
    replies: list[PlatformReply] = []
    watch = PlatformRead(call=3, path=PATH, after=0, timeout=30.0)
    store.client().call(watch).addCallback(replies.append)
    run_until(lambda: store.server.store.watchers)
    store.server.set_faults(Faults(outage=True))
    run_until(lambda: replies)
    assert replies[0].status is PlatformStatus.UNAVAILABLE


def test_slow_write_is_lost_and_unsent_one_is_unavailable(
    store: PlatformHarness,
) -> None:
    """Guards against a timeout that reports the wrong outcome."""
    store.server.set_faults(Faults(delay_s=0.5))
    slow = PlatformWrite(call=1, path=PATH, value=b"x", expected=0, timeout=0.1)
    assert result_of(store.client().call(slow)).status is PlatformStatus.LOST
    nowhere = store.client(endpoint=free_endpoint())
    assert result_of(nowhere.call(slow)).status is PlatformStatus.UNAVAILABLE


@pytest.mark.parametrize(
    ("credential", "path", "value", "allowed"),
    [
        ("stu", PATH, b"x", False),
        ("node", PATH, b"x", False),
        ("other", PATH, b"x", False),
        ("stu", "claims/1.2.3.4:5", b"studio", True),
        ("stu", "claims/1.2.3.4:5", b"federation", False),
        ("stu", "drains/federation/x", b"", False),
        ("fed", "drains/federation/x", b"", True),
        ("node", "leases/fes/0", b"b1", True),
        ("fed", "leases/fes/0", b"b1", False),
    ],
)
def test_each_credential_writes_its_own_objects(
    store: PlatformHarness, credential: str, path: str, value: bytes, allowed: bool
) -> None:
    """Guards against a partner that writes the objects of another."""
    reply = store.write(value, 0, credential=credential, path=path)
    expected = PlatformStatus.OK if allowed else PlatformStatus.FORBIDDEN
    assert reply.status is expected


class FixedResponse(Protocol):
    """Sends fixed bytes as the response and closes the connection."""

    data = b""

    def dataReceived(self, _: bytes) -> None:  # noqa: N802
        self.transport.write(type(self).data)
        self.transport.loseConnection()


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    head=st.sampled_from(
        [b"", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nVersion: 9\r\n\r\n"]
    ),
    tail=st.binary(max_size=100),
)
def test_noise_instead_of_replies_never_fails_the_client(
    noisy: str, store: PlatformHarness, head: bytes, tail: bytes
) -> None:
    """Guards against an invalid response that raises or implies a failure."""
    FixedResponse.data = head + tail
    client = store.client(endpoint=noisy)
    write = PlatformWrite(call=1, path=PATH, value=b"x", expected=0)
    reply = result_of(client.call(write))
    assert reply.status in (PlatformStatus.LOST, PlatformStatus.OK)
    assert not client.calls


@pytest.fixture()
def noisy() -> Iterator[str]:
    environment()
    factory = Factory.forProtocol(FixedResponse)
    factory.noisy = False
    port = reactor.listenTCP(0, factory, interface=LOOPBACK_HOST)
    yield f"{LOOPBACK_HOST}:{port.getHost().port}"
    port.stopListening()


def test_value_over_the_bound_is_refused(store: PlatformHarness) -> None:
    """Guards against storing a value that exceeds the platform's limit."""
    reply = store.write(b"x" * 1_000_001, 0)
    assert reply.status is PlatformStatus.UNAVAILABLE
    assert store.read().status is PlatformStatus.NOT_FOUND


def test_path_that_ends_in_a_slash_lists(store: PlatformHarness) -> None:
    """Guards against objects that cannot be listed."""
    store.write(b"", 0, path="drains/federation/x")
    assert store.read(path="drains/").value == b'{"drains/federation/x":1}'
