"""Processor time of balancers and agents per request, flow and heartbeat.

Also measures the memory of an agent's flows and the size of messages.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from bramleydyke.adapters.codec import encode
from bramleydyke.bench._fit import LinearFit, fit_line
from bramleydyke.bench.flow_setup import (
    PARTNER,
    SERVICE,
    UPSTREAMS,
    make_agent,
    make_balancer,
)
from bramleydyke.bench.slopes import make_announcement
from bramleydyke.core.agent import Agent
from bramleydyke.core.flow_hints import flow_id_of
from bramleydyke.messages import (
    Accepted,
    Answer,
    ConfigDigest,
    Envelope,
    Heartbeat,
    HeartbeatReply,
    MemberDigest,
    Offer,
    PacketForward,
    PacketIn,
    Payload,
    RequestArrived,
    RequestDone,
)
from bramleydyke.types import (
    LOCAL_CALLER,
    LOCAL_UPSTREAM,
    CallerAddress,
    Generation,
    Incarnation,
    MemberState,
    NodeId,
    PartnerId,
    Protocol,
    RequestId,
    ServiceAddress,
    balancer_node,
)

COUNTS = (500, 1_000, 2_000)
"""Numbers of requests, flows or heartbeats to measure."""

REPEATS = 5
ADDRESS = ServiceAddress("10.0.0.1:443")
BALANCER = balancer_node("b1")
PAYLOAD = b"x" * 200

Action = Callable[[], object]


def measure(*, seed: int) -> dict[str, object]:
    """Measures the costs of balancers and agents.

    Returns:
        ``slopes`` with a fitted line by name, as built-in types, and
        ``message_bytes`` with the size of a frame by message type.
    """
    slopes = {
        "balancer_request_cpu": _measure_cpu(
            lambda count: _prepare_balancer_requests(count, seed), "request"
        ),
        "agent_request_cpu": _measure_cpu(_prepare_agent_requests, "request"),
        "balancer_flow_cpu": _measure_cpu(
            lambda count: _prepare_balancer_flows(count, seed), "new flow"
        ),
        "agent_flow_cpu": _measure_cpu(_prepare_agent_flows, "new flow"),
        "balancer_heartbeat_cpu": _measure_cpu(
            lambda n: _prepare_heartbeats(n, seed), "heartbeat"
        ),
        "agent_flow_memory": _measure_flow_memory(),
    }
    return {
        "slopes": {key: msgspec.to_builtins(item) for key, item in slopes.items()},
        "message_bytes": message_bytes(),
    }


def message_bytes() -> dict[str, int]:
    """Returns the frame size of each frequent control message, by type."""
    announced = make_announcement(7)
    messages: list[Payload] = [
        announced,
        Heartbeat(
            incarnation=announced.incarnation,
            revision=1,
            view=2**31,
            partner_id=PARTNER,
            generation=Generation(9_999),
        ),
        HeartbeatReply(
            incarnation=announced.incarnation,
            revision=1,
            state=MemberState.RUNNING,
            generation=Generation(9_999),
        ),
        ConfigDigest(
            generations={
                PartnerId("federation"): Generation(9_999),
                PartnerId("studio"): Generation(9_999),
            }
        ),
        MemberDigest(buckets=b"x" * 1024),
    ]
    sizes = {}
    for message in messages:
        frame = encode(
            Envelope(announced.node_id, BALANCER, message), endpoint="10.1.0.7:7000"
        )
        sizes[type(message).__name__] = len(frame.unwrap())
    return sizes


def _measure_cpu(prepare: Callable[[int], Action], size: str) -> LinearFit:
    points = []
    for count in COUNTS:
        times = []
        for _ in range(REPEATS):
            action = prepare(count)
            started = time.process_time()
            action()
            times.append(time.process_time() - started)
        points.append((float(count), sorted(times)[REPEATS // 2]))
    return fit_line(points, unit="seconds", size=size)


def _prepare_balancer_requests(count: int, seed: int) -> Action:
    """Prepares requests that a balancer places and answers one by one."""
    balancer = make_balancer(ADDRESS, seed=seed, protocol=Protocol.HTTP)

    def run() -> None:
        for caller in range(count):
            now = 100.0 + caller * 0.01
            arrived = RequestArrived(
                caller=caller,
                address=ADDRESS,
                payload=PAYLOAD,
                idempotent=True,
                timeout=5.0,
            )
            sent = balancer.receive(Envelope(LOCAL_CALLER, BALANCER, arrived), now=now)
            offered = next(out for out in sent if isinstance(out.payload, Offer))
            for reply in _replies(offered.payload):
                balancer.receive(Envelope(offered.receiver, BALANCER, reply), now=now)

    return run


def _replies(offer: Offer) -> list[Payload]:
    accepted = Accepted(
        request_id=offer.request_id,
        placement=offer.placement,
        ask=offer.ask,
        backlog=1.0,
        incarnation=offer.incarnation,
    )
    answer = Answer(
        request_id=offer.request_id,
        placement=offer.placement,
        payload=PAYLOAD,
        backlog=0.0,
        incarnation=offer.incarnation,
    )
    return [accepted, answer]


def _make_agent(now: float) -> Agent:
    return make_agent(
        SERVICE, UPSTREAMS[0], incarnation=1, balancers=[BALANCER], now=now
    )


def _prepare_agent_requests(count: int) -> Action:
    """Prepares requests that an agent runs one after the other."""
    agent = _make_agent(0.0)

    def run() -> None:
        for number in range(count):
            now = 200.0 + number * 0.01
            agent.wake(now=now)
            offer = Offer(
                request_id=RequestId(f"balancer/b1/1/{number}"),
                placement=number,
                ask=1,
                partner_id=PARTNER,
                service_id=SERVICE,
                generation=Generation(1),
                incarnation=Incarnation(1),
                idempotent=False,
                keyed=False,
                first_attempt=False,
                ttl=5.0,
                backlog_limit=1.0,
                payload=PAYLOAD,
            )
            agent.receive(Envelope(BALANCER, agent.node_id, offer), now=now)
            done = RequestDone(request_id=offer.request_id, payload=PAYLOAD)
            agent.receive(Envelope(LOCAL_UPSTREAM, agent.node_id, done), now=now)

    return run


def _caller_address(number: int) -> CallerAddress:
    return CallerAddress(f"10.9.{number // 250}.{number % 250}:5000")


def _prepare_balancer_flows(count: int, seed: int) -> Action:
    balancer = make_balancer(ADDRESS, seed=seed)

    def run() -> None:
        for number in range(count):
            packet = PacketIn(
                address=ADDRESS, caller=_caller_address(number), data=PAYLOAD
            )
            balancer.receive(Envelope(LOCAL_CALLER, BALANCER, packet), now=100.0)

    return run


def _make_forward(number: int) -> PacketForward:
    caller = _caller_address(number)
    return PacketForward(
        flow_id=flow_id_of(ADDRESS, caller),
        address=ADDRESS,
        caller=caller,
        partner_id=PARTNER,
        service_id=SERVICE,
        generation=Generation(1),
        balancer=BALANCER,
        data=PAYLOAD,
        admit=(UPSTREAMS[0],),
    )


def _admit_flows(agent: Agent, count: int) -> None:
    for number in range(count):
        agent.receive(
            Envelope(BALANCER, agent.node_id, _make_forward(number)), now=200.0
        )


def _prepare_agent_flows(count: int) -> Action:
    agent = _make_agent(0.0)
    return lambda: _admit_flows(agent, count)


def _measure_flow_memory() -> LinearFit:
    """Fits an agent's memory to its number of flows."""
    points = []
    for count in COUNTS:
        agent = _make_agent(0.0)
        gc.collect()
        tracemalloc.start()
        _admit_flows(agent, count)
        gc.collect()
        points.append((float(count), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        assert len(agent.flows.table.flows) == count
    return fit_line(points, unit="bytes", size="flow")


def _prepare_heartbeats(count: int, seed: int) -> Action:
    balancer = make_balancer(ADDRESS, seed=seed)
    heartbeat = Heartbeat(
        incarnation=Incarnation(1),
        revision=1,
        partner_id=PARTNER,
        generation=Generation(1),
    )
    sender = NodeId(f"agent/{SERVICE}/{UPSTREAMS[0]}")

    def run() -> None:
        for number in range(count):
            envelope = Envelope(sender, BALANCER, heartbeat)
            balancer.receive(envelope, now=100.0 + number * 0.01)

    return run
