"""Tests of the HTTP server for callers and the HTTP client for upstreams.

Both use real sockets.
"""

from __future__ import annotations

import io
import random
import socket
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings, strategies as st
from reactor_harness import environment, reactor, result_of, run_until
from twisted.internet.protocol import Factory, Protocol
from twisted.web.client import FileBodyProducer
from twisted.web.http_headers import Headers

from bramleydyke.adapters.http_bodies import new_agent, read_body
from bramleydyke.adapters.http_edge import HttpEdge
from bramleydyke.adapters.http_payload import (
    MAX_BODY_BYTES,
    HttpRequest,
    HttpResponse,
    end_to_end_headers,
    pack,
    unpack_request,
    unpack_response,
)
from bramleydyke.adapters.http_upstream import HttpUpstream
from bramleydyke.adapters.metrics import Metrics
from bramleydyke.demo.endpoints import LOOPBACK_HOST, free_endpoint
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.errors import ANSWERS, ErrorKind
from bramleydyke.messages import (
    AnswerCaller,
    Payload,
    RefuseCaller,
    RequestAbandoned,
    RequestArrived,
    RequestDone,
    RequestFailed,
    RequestShed,
    RunRequest,
    StopRequest,
)
from bramleydyke.standins.upstream import Behaviour, Upstream, UpstreamServer
from bramleydyke.standins.work_counts import Work, WorkCounts
from bramleydyke.types import RequestId, ServiceAddress, ServiceId

SERVICE = ServiceId("federation/bourse-beurre")
ADDRESS = ServiceAddress("10.0.0.1:80")


class EdgeHarness:
    """An HTTP server whose requests stay open until the test answers them."""

    def __init__(self) -> None:
        environment()
        self.metrics = Metrics()
        self.received: list[Any] = []
        self.port = HttpEdge(
            deliver=lambda _, message: self.received.append(message),
            count=self.metrics.count,
        )
        factory = self.port.connection_factory(ADDRESS, reactor=reactor)
        self.listener = reactor.listenTCP(0, factory, interface=LOOPBACK_HOST)
        self.url = (
            f"http://{LOOPBACK_HOST}:{self.listener.getHost().port}/x?y=1".encode()
        )
        self.results: list[Any] = []

    def call(self, method: bytes = b"POST", body: bytes = b"", **headers: str) -> Any:
        names = {name.replace("_", "-").encode(): [v] for name, v in headers.items()}
        producer = FileBodyProducer(io.BytesIO(body)) if body else None
        agent = new_agent(reactor)
        call = agent.request(method, self.url, Headers(names), producer)
        call.addBoth(self.results.append)
        return call

    def received_request(self, count: int = 1) -> RequestArrived:
        run_until(lambda: len(self.received) >= count)
        return self.received[count - 1]

    def response(self) -> tuple[int, Headers, bytes]:
        run_until(lambda: self.results)
        response = self.results.pop()
        body = result_of(read_body(response, limit=10_000))
        return response.code, response.headers, body


@pytest.fixture()
def edge() -> Iterator[EdgeHarness]:
    started = EdgeHarness()
    yield started
    started.listener.stopListening()


def test_request_options_reach_the_balancer(edge: EdgeHarness) -> None:
    """Guards against request headers that do not reach the balancer."""
    edge.call(
        body=b"lot",
        Idempotency_Key="k",
        Request_Timeout="2.5",
        Request_Attempt="0",
        Connection="close",
    )
    message = edge.received_request()
    assert (message.address, message.request_id) == (ADDRESS, "k")
    assert (message.timeout, message.first_attempt) == (2.5, True)
    assert not message.idempotent
    request = unpack_request(message.payload).unwrap()
    assert (request.method, request.path, request.body) == (b"POST", b"/x?y=1", b"lot")
    assert b"connection" not in {name.lower() for name, _ in request.headers}


@pytest.mark.parametrize(
    ("headers", "method", "idempotent", "first"),
    [
        ({}, b"GET", True, False),
        ({}, b"PUT", True, False),
        ({}, b"POST", False, False),
        ({"Request_Attempt": "1"}, b"PATCH", False, False),
    ],
)
def test_method_determines_idempotency(
    edge: EdgeHarness,
    headers: dict[str, str],
    method: bytes,
    idempotent: bool,
    first: bool,
) -> None:
    """Guards against running a non-idempotent request twice."""
    edge.call(method, **headers)
    message = edge.received_request()
    assert (message.idempotent, message.first_attempt) == (idempotent, first)


@pytest.mark.parametrize(
    "headers",
    [
        {"Request_Timeout": "nan"},
        {"Request_Timeout": "-1"},
        {"Request_Attempt": "x"},
        {"Idempotency_Key": "k" * 300},
    ],
)
def test_malformed_options_are_rejected(
    edge: EdgeHarness, headers: dict[str, str]
) -> None:
    """Guards against running a request with default or wrong options."""
    edge.call(**headers)
    code, answer, _ = edge.response()
    assert (code, edge.received) == (400, [])
    assert answer.getRawHeaders("Bramleydyke-Outcome") == ["not-run"]


def test_response_is_forwarded_unchanged(edge: EdgeHarness) -> None:
    """Guards against a truncated or changed response."""
    edge.call()
    payload = pack(HttpResponse(201, ((b"X-Lot", b"7"), (b"Server", b"up")), b"a\0b"))
    edge.port.handle(
        AnswerCaller(caller=edge.received_request().caller, payload=payload)
    )
    code, headers, body = edge.response()
    assert (code, body, headers.getRawHeaders("X-Lot")) == (201, b"a\0b", ["7"])
    assert headers.getRawHeaders("Server") == ["up"]


@pytest.mark.parametrize("kind", [ErrorKind.SHED, ErrorKind.AGENT_SILENT])
def test_refusal_reports_its_outcome(edge: EdgeHarness, kind: ErrorKind) -> None:
    """Guards against a refusal that reports the wrong outcome."""
    edge.call()
    edge.port.handle(RefuseCaller(caller=edge.received_request().caller, kind=kind))
    code, headers, body = edge.response()
    answer = ANSWERS[kind]
    assert code == answer.http_status
    assert headers.getRawHeaders("Bramleydyke-Outcome") == [answer.outcome.value]
    assert msgspec.json.decode(body)["error"] == kind.value


def test_disconnected_caller_abandons_its_request(edge: EdgeHarness) -> None:
    """Guards against running requests of callers that have disconnected."""
    call = edge.call()
    caller = edge.received_request().caller
    call.cancel()
    run_until(lambda: len(edge.received) == 2)
    assert edge.received[1] == RequestAbandoned(caller=caller)
    edge.port.handle(AnswerCaller(caller=caller, payload=b""))


def test_body_over_the_bound_is_refused(edge: EdgeHarness) -> None:
    """Guards against buffering a request that is too large for a frame."""
    edge.call(body=b"x" * (MAX_BODY_BYTES + 1))
    run_until(lambda: edge.metrics.counts["refused.frame_too_large"])
    run_until(lambda: edge.results)
    assert edge.received == []


NOISE = st.one_of(
    st.binary(min_size=1, max_size=200),
    st.binary(max_size=50).map(lambda tail: b"POST / HTTP/1.1\r\nHost: " + tail),
    st.binary(max_size=50).map(
        lambda tail: b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + tail
    ),
)
"""Random bytes, and valid starts of requests followed by random bytes."""


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(noise=NOISE)
def test_noise_does_not_stop_the_edge(edge: EdgeHarness, noise: bytes) -> None:
    """Guards against invalid input that affects other callers."""
    address = edge.listener.getHost()
    with socket.create_connection((address.host, address.port)) as caller:
        caller.sendall(noise)
        edge.received.clear()
        edge.call(b"GET")
        run_until(
            lambda: any(b"GET" in item.payload for item in received_requests(edge))
        )
        for item in received_requests(edge):
            edge.port.handle(RefuseCaller(caller=item.caller, kind=ErrorKind.BUSY))
        assert edge.response()[0] == 503


def received_requests(edge: EdgeHarness) -> list[RequestArrived]:
    return [item for item in edge.received if isinstance(item, RequestArrived)]


@pytest.mark.parametrize(
    "noise", [b"\0\1\2\r\n\r\n", b"GET / HTTP/1.1\r\nno colon\r\n\r\n"]
)
def test_bytes_that_are_not_http_are_counted(edge: EdgeHarness, noise: bytes) -> None:
    """Guards against invalid input that no counter shows."""
    address = edge.listener.getHost()
    with socket.create_connection((address.host, address.port)) as caller:
        caller.sendall(noise)
        run_until(lambda: edge.metrics.counts["refused.bad_request"] == 1)


def test_headers_named_by_connection_are_not_forwarded() -> None:
    """Guards against forwarding headers that apply to one connection only."""
    headers = [(b"Connection", [b"close, X-Hop"]), (b"X-Hop", [b"1"]), (b"A", [b"2"])]
    assert end_to_end_headers(headers) == ((b"A", b"2"),)


class UpstreamHarness:
    """A simulated upstream and the client that sends requests to it."""

    def __init__(self, listen: str | None = None) -> None:
        env = environment()
        self.work_counts = WorkCounts()
        self.metrics = Metrics()
        self.received: list[Payload] = []
        endpoint = listen or free_endpoint()
        self.upstream = Upstream(
            service_id=SERVICE,
            behaviour=Behaviour(service_time_s=0.01),
            work_counts=self.work_counts,
            clock=env.clock,
            random_source=random.Random(7),
        )
        self.server = (
            None
            if listen
            else UpstreamServer(self.upstream, reactor=reactor, listen=endpoint)
        )
        self.client = HttpUpstream(
            reactor=reactor,
            base_url=f"http://{endpoint}",
            deliver=lambda _, message: self.received.append(message),
            count=self.metrics.count,
        )

    def run(self, request_id: str = "r", *, ttl: float = 5.0) -> None:
        body = msgspec.json.encode(Work(request_id, SERVICE))
        payload = pack(HttpRequest(b"POST", b"/work", (), body))
        message = RunRequest(request_id=RequestId(request_id), payload=payload, ttl=ttl)
        self.client.handle(message)

    def result(self) -> Payload:
        run_until(lambda: self.received)
        return self.received.pop()


@pytest.fixture()
def harness() -> Iterator[UpstreamHarness]:
    started = UpstreamHarness()
    yield started
    started.client.close()
    started.server.stop()


def test_request_runs_and_its_answer_comes_back(harness: UpstreamHarness) -> None:
    """Guards against a request or response lost between agent and upstream."""
    harness.run()
    result = harness.result()
    assert isinstance(result, RequestDone)
    assert (
        msgspec.json.decode(unpack_response(result.payload).unwrap().body)["id"] == "r"
    )
    assert harness.work_counts.runs == {"r": 1}


def test_refusal_before_running_is_shed(harness: UpstreamHarness) -> None:
    """Guards against passing an upstream's refusal to the caller.

    The request did not run, so another upstream can run it.
    """
    harness.upstream.behaviour.draining = True
    harness.run()
    assert harness.result() == RequestShed(request_id=RequestId("r"))
    assert not harness.work_counts.runs


def test_connection_that_breaks_after_sending_is_failed(
    harness: UpstreamHarness,
) -> None:
    """Guards against reporting a request as not run although it ran."""
    harness.upstream.behaviour.break_share = 1.0
    harness.run()
    assert harness.result() == RequestFailed(request_id=RequestId("r"))
    assert harness.work_counts.runs == {"r": 1}


def test_upstream_that_does_not_listen_is_shed() -> None:
    """Guards against an unknown outcome of a request that was never sent."""
    environment()
    harness = UpstreamHarness(listen=free_endpoint())
    harness.run()
    assert harness.result() == RequestShed(request_id=RequestId("r"))


def test_stop_cancels_the_request_without_a_result(harness: UpstreamHarness) -> None:
    """Guards against a cancelled request that goes on or reports a result."""
    harness.upstream.behaviour.service_time_s = 1_000.0
    harness.run()
    run_until(lambda: harness.upstream.running)
    harness.client.handle(StopRequest(request_id=RequestId("r")))
    run_until(lambda: harness.upstream.counts["cancelled"])
    assert harness.received == [] and not harness.client.running


def test_deadline_is_passed_on(harness: UpstreamHarness) -> None:
    """Guards against running a request after its deadline."""
    harness.upstream.behaviour.service_time_s = 1_000.0
    harness.run("first")
    run_until(lambda: harness.upstream.running)
    harness.run("second", ttl=0.05)
    assert harness.result() == RequestShed(request_id=RequestId("second"))
    assert harness.work_counts.runs == {"first": 1}


class FixedResponse(Protocol):
    """Sends fixed bytes as the response and closes the connection."""

    data = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.transport.write(self.data)
        self.transport.loseConnection()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\0\xff" * 50,
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (MAX_BODY_BYTES + 1),
    ],
    ids=["nothing", "noise", "cut", "length", "large"],
)
def test_broken_answers_are_failed(data: bytes) -> None:
    """Guards against passing invalid or incomplete responses to callers."""
    environment()
    endpoint = free_endpoint()
    factory = Factory.forProtocol(type("Once", (FixedResponse,), {"data": data}))
    factory.noisy = False
    port = reactor.listenTCP(
        parse_endpoint(endpoint)[1], factory, interface=LOOPBACK_HOST
    )
    harness = UpstreamHarness(listen=endpoint)
    harness.run()
    assert harness.result() == RequestFailed(request_id=RequestId("r"))
    port.stopListening()
