"""End-to-end HTTP tests over real sockets, from the callers to upstreams."""

from __future__ import annotations

import io
import time
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from reactor_harness import environment, reactor, result_of, run_until
from twisted.web.client import FileBodyProducer
from twisted.web.http_headers import Headers
from twisted.web.server import Request

from bramleydyke.adapters.http_bodies import new_agent, read_body
from bramleydyke.adapters.http_payload import MAX_BODY_BYTES
from bramleydyke.constants import MIN_CALLER_RETRY_S
from bramleydyke.core.config import ServiceConfig, UpstreamSpec
from bramleydyke.demo.endpoints import free_endpoint
from bramleydyke.demo.sheets import SheetWriter
from bramleydyke.demo.system import DemoSystem
from bramleydyke.standins.platform import Faults
from bramleydyke.standins.upstream import Upstream
from bramleydyke.standins.work_counts import Work
from bramleydyke.types import (
    AvailabilityZone,
    MemberState,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)

ZONE = AvailabilityZone("fes")
PARTNERS = [PartnerId("federation"), PartnerId("studio")]
SEED = 7


def service_of(partner: PartnerId, upstreams: int, protocol: Protocol) -> ServiceConfig:
    return ServiceConfig(
        service_id=ServiceId(f"{partner}/s"),
        partner_id=partner,
        protocol=protocol,
        addresses=(ServiceAddress(free_endpoint()),),
        upstreams=tuple(
            UpstreamSpec(UpstreamId(f"{partner}-{n}"), ZONE) for n in range(upstreams)
        ),
    )


class SystemHarness:
    """A running system with two balancers and one service of each partner.

    Attributes:
        system: Platform, balancers, agents and upstreams.
        services: One service for each partner in ``PARTNERS``.
        writers: Writer of each partner's sheet, in the same order.
    """

    def __init__(self, upstreams: int, protocol: Protocol = Protocol.HTTP) -> None:
        self.env = environment()
        self.system = DemoSystem(
            environment=self.env,
            seed=SEED,
            partners=PARTNERS,
            balancer_names=("b1", "b2"),
        )
        self.system.start_platform()
        self.services = [
            service_of(partner, upstreams, protocol) for partner in PARTNERS
        ]
        for service in self.services:
            self.system.services[service.addresses[0]] = service
        for name in ("b1", "b2"):
            self.system.add_balancer(name, zone=ZONE)
        for service in self.services:
            self.system.add_service(service)
        self.writers = [self.writer(partner) for partner in PARTNERS]
        for writer, service in zip(self.writers, self.services, strict=True):
            writer.write([service])
        run_until(self.ready)

    def writer(self, partner: PartnerId) -> SheetWriter:
        return SheetWriter(
            partner_id=partner,
            client=self.system.operator_client(partner),
            clock=self.env.clock,
            in_force=self.system.in_force,
        )

    def ready(self) -> bool:
        """Returns whether all balancers know all agents and sheets."""
        known = [
            len(list(node.role.members.upstreams(item.service_id, MemberState.RUNNING)))
            for node in self.system.balancers.values()
            for item in self.services
        ]
        wanted = [len(item.upstreams) for item in self.services] * 2
        return known == wanted and not any(item.pending for item in self.writers)

    def call(
        self,
        work_id: str,
        *,
        service: int = 0,
        method: bytes = b"POST",
        padding: int = 0,
        **headers: str,
    ) -> list[Any]:
        """Sends a request without waiting for the response.

        Returns:
            A list that gets one item when the request has ended: a tuple of
            status, outcome and body, or a failure.
        """
        config = self.services[service]
        work = Work(work_id, config.service_id, idempotent=method == b"PUT")
        names = {name.replace("_", "-").encode(): [v] for name, v in headers.items()}
        results: list[Any] = []
        call = new_agent(reactor).request(
            method,
            f"http://{config.addresses[0]}/work".encode(),
            Headers(names),
            FileBodyProducer(io.BytesIO(msgspec.json.encode(work) + b" " * padding)),
        )
        call.addCallback(_read_response).addBoth(results.append)
        return results

    def call_and_wait(self, work_id: str, **options: Any) -> Any:
        results = self.call(work_id, **options)
        run_until(lambda: results)
        return results[0]

    def set_behaviour(self, **fields: Any) -> None:
        """Changes the behaviour of all upstreams."""
        for server in self.system.upstreams.values():
            for name, value in fields.items():
                setattr(server.upstream.behaviour, name, value)

    def busy_upstreams(self) -> list[UpstreamId]:
        return [
            name
            for name, server in self.system.upstreams.items()
            if server.upstream.running
        ]


def _read_response(response: Any) -> Any:
    outcome = response.headers.getRawHeaders(b"Bramleydyke-Outcome", [b""])[0]
    body = read_body(response, limit=2 * MAX_BODY_BYTES)
    return body.addCallback(lambda data: (response.code, outcome, data))


@pytest.fixture()
def harness(request: pytest.FixtureRequest) -> Iterator[SystemHarness]:
    started = SystemHarness(getattr(request, "param", 3))
    yield started
    started.system.stop()
    run_until(lambda: not started.system.agents)


def test_every_caller_gets_its_own_answer(harness: SystemHarness) -> None:
    """Guards against responses that are lost or reach another caller."""
    harness.set_behaviour(service_time_s=0.005)
    open_calls = {
        (service, number): harness.call(f"{service}/{number}", service=service)
        for service in (0, 1)
        for number in range(15)
    }
    run_until(lambda: all(open_calls.values()))
    for (service, number), results in open_calls.items():
        status, _, body = results[0]
        assert status == 200
        assert msgspec.json.decode(body)["id"] == f"{service}/{number}"
    assert harness.system.work_counts.count_repeated_runs() == 0
    assert harness.system.work_counts.wrong_service == 0
    assert len(harness.system.fabric.connections_by_balancer) == 4


def test_largest_body_passes_both_ways(harness: SystemHarness) -> None:
    """Guards against a maximum body size that does not fit in a frame."""
    padding = MAX_BODY_BYTES - 200
    status, _, body = harness.call_and_wait("big", padding=padding)
    assert status == 200
    assert len(body) > padding
    assert harness.system.work_counts.runs == {"big": 1}


def test_head_reports_the_length_without_a_body(harness: SystemHarness) -> None:
    """Guards against a HEAD response with the length of its empty body."""
    url = f"http://{harness.services[0].addresses[0]}/work".encode()
    body = FileBodyProducer(io.BytesIO(b"12345"))
    response = result_of(new_agent(reactor).request(b"HEAD", url, Headers(), body))
    assert response.code == 200
    assert response.headers.getRawHeaders("Content-Length") == ["5"]
    assert result_of(read_body(response, limit=10)) == b""


def test_repeated_key_after_a_balancer_crash_runs_once(harness: SystemHarness) -> None:
    """Guards against running a request twice when a balancer crashes.

    The caller repeats the request with the same key at another balancer.
    """
    harness.set_behaviour(service_time_s=5.0)
    first = harness.call("order", Idempotency_Key="k", Request_Attempt="0")
    run_until(harness.busy_upstreams)
    for server in harness.system.upstreams.values():
        for job in server.upstream.running:
            job.completion_timer.reset(MIN_CALLER_RETRY_S + 1.0)
    holder = next(
        name
        for name, node in harness.system.balancers.items()
        if node.http_callers.open_requests
    )
    harness.system.kill_balancer(holder)
    run_until(lambda: first)
    assert not isinstance(first[0], tuple)
    status, _, body = harness.call_and_wait(
        "order", Idempotency_Key="k", Request_Attempt="1"
    )
    assert (status, msgspec.json.decode(body)["id"]) == (200, "order")
    assert harness.system.work_counts.runs == {"order": 1}


def test_drain_finishes_requests_and_diverts_new_ones(harness: SystemHarness) -> None:
    """Guards against a drain that interrupts a request or gets new ones."""
    harness.set_behaviour(service_time_s=0.3)
    open_call = harness.call("old")
    run_until(harness.busy_upstreams)
    leaving = harness.busy_upstreams()[0]
    harness.system.drain_agent(leaving, notice_s=0.0)
    for number in range(4):
        assert harness.call_and_wait(f"new-{number}")[0] == 200
    run_until(lambda: open_call)
    assert open_call[0][0] == 200
    run_until(lambda: leaving not in harness.system.agents)
    assert harness.system.upstreams[leaving].upstream.counts["done"] == 1


def test_traffic_goes_on_without_the_platform(harness: SystemHarness) -> None:
    """Guards against requests that fail while the platform is unavailable."""
    harness.system.platform.set_faults(Faults(outage=True))
    assert harness.call_and_wait("a")[0] == 200
    harness.system.platform.stop()
    assert harness.call_and_wait("b")[0] == 200


@pytest.mark.parametrize("harness", [2], indirect=True)
def test_shed_request_moves_to_another_upstream(harness: SystemHarness) -> None:
    """Guards against passing on a refusal while other upstreams are free."""
    first = harness.services[0].upstreams[0].upstream_id
    harness.system.upstreams[first].upstream.behaviour.draining = True
    for number in range(6):
        assert harness.call_and_wait(f"work-{number}")[0] == 200
    assert harness.system.work_counts.count_repeated_runs() == 0


@pytest.mark.parametrize("stall_s", [0.0, 0.7])
def test_refusal_by_all_upstreams_is_not_run(
    harness: SystemHarness, monkeypatch: pytest.MonkeyPatch, stall_s: float
) -> None:
    """Guards against a refusal that reports the wrong outcome.

    On a busy machine the test's process may not run for longer than the
    request's deadline. This must not change the result.
    """
    harness.set_behaviour(draining=True)
    handle_request, stalls = Upstream.handle_request, [stall_s]

    def handle_after_stall(upstream: Upstream, request: Request) -> None:
        time.sleep(stalls.pop() if stalls else 0.0)
        handle_request(upstream, request)

    monkeypatch.setattr(Upstream, "handle_request", handle_after_stall)
    status, outcome, _ = harness.call_and_wait("work", Request_Timeout="0.5")
    assert (status, outcome) == (503, b"not-run")
    assert not harness.system.work_counts.runs


def test_broken_upstream_is_unknown_unless_idempotent(harness: SystemHarness) -> None:
    """Guards against repeating a request that is not idempotent."""
    harness.set_behaviour(break_share=1.0)
    assert harness.call_and_wait("order")[:2] == (502, b"unknown")
    assert harness.system.work_counts.runs == {"order": 1}
    harness.set_behaviour(break_share=0.0)
    assert harness.call_and_wait("read", method=b"PUT")[0] == 200


def test_crashed_agent_leaves_the_outcome_unknown(harness: SystemHarness) -> None:
    """Guards against reporting a request as not run when its agent crashed."""
    harness.set_behaviour(service_time_s=30.0)
    open_call = harness.call("order", Request_Timeout="0.8")
    run_until(harness.busy_upstreams)
    agent = harness.system.agents.pop(harness.busy_upstreams()[0])
    agent.stop(abrupt=True)
    run_until(lambda: open_call)
    assert open_call[0][:2] == (504, b"unknown")
    assert harness.system.work_counts.runs == {"order": 1}


def test_partner_cannot_change_the_others_service(harness: SystemHarness) -> None:
    """Guards against a partner that changes the service of another."""
    studio, federation = harness.writers[1], harness.services[0]
    forged = msgspec.structs.replace(federation, upstreams=())
    result_of(studio.write([harness.services[1], forged]))
    run_until(lambda: not studio.pending)
    assert harness.call_and_wait("order")[0] == 200
