"""Requests through a balancer and its agents on a simulated network."""

from __future__ import annotations

import random
from collections import deque

from bramleydyke.core.agent import Agent
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.config import ConfigDelta, ServiceConfig, UpstreamSpec
from bramleydyke.messages import (
    AnswerCaller,
    Envelope,
    RefuseCaller,
    RequestArrived,
    RequestDone,
    RunRequest,
)
from bramleydyke.types import (
    LOCAL_CALLER,
    LOCAL_PLATFORM,
    LOCAL_UPSTREAM,
    AvailabilityZone,
    Generation,
    Incarnation,
    PartnerId,
    Protocol,
    RequestId,
    ServiceAddress,
    ServiceId,
    UpstreamId,
    balancer_node,
)

PARTNER = PartnerId("federation")
SERVICE = ServiceId("federation/bourse-beurre")
ADDRESS = ServiceAddress("127.0.0.1:9000")
ZONE = AvailabilityZone("meknes")


class Network:
    """Simulated network that delivers messages in order and without delay.

    The upstreams answer each request with its payload, prefixed by ``re:``.

    Attributes:
        ran: Ids of the requests that the upstreams ran, in order.
        to_callers: Messages to the callers, in order.
    """

    def __init__(self, upstreams: int) -> None:
        self.now = 1000.0
        self.ran: list[RequestId] = []
        self.to_callers: list[object] = []
        self.balancer = Balancer(
            node_id=balancer_node("b1"),
            incarnation=Incarnation(1),
            random_source=random.Random(7),
        )
        names = [UpstreamId(f"u{index}") for index in range(upstreams)]
        self.agents = [self._agent(name) for name in names]
        self.nodes = {node.node_id: node for node in [self.balancer, *self.agents]}
        config = ConfigDelta(
            partner_id=PARTNER,
            base=Generation(0),
            generation=Generation(1),
            services=(
                ServiceConfig(
                    service_id=SERVICE,
                    partner_id=PARTNER,
                    protocol=Protocol.HTTP,
                    addresses=(ADDRESS,),
                    upstreams=tuple(UpstreamSpec(name, ZONE) for name in names),
                    changed_at=Generation(1),
                ),
            ),
        )
        for node in self.nodes.values():
            self.send(Envelope(LOCAL_PLATFORM, node.node_id, config))
        for agent in self.agents:
            for envelope in agent.announce():
                self.send(envelope)

    def _agent(self, name: UpstreamId) -> Agent:
        return Agent(
            partner_id=PARTNER,
            service_id=SERVICE,
            upstream_id=name,
            incarnation=Incarnation(1),
            zone=ZONE,
            endpoint="127.0.0.1:1",
            slots=1,
            credential="",
            balancers=[balancer_node("b1")],
            random_source=random.Random(7),
            now=0.0,
        )

    def send(self, envelope: Envelope) -> None:
        queue = deque([envelope])
        while queue:
            item = queue.popleft()
            if item.receiver == LOCAL_CALLER:
                self.to_callers.append(item.payload)
            elif item.receiver == LOCAL_UPSTREAM:
                if isinstance(item.payload, RunRequest):
                    self.ran.append(item.payload.request_id)
                    done = RequestDone(
                        request_id=item.payload.request_id,
                        payload=b"re:" + item.payload.payload,
                    )
                    queue.append(Envelope(LOCAL_UPSTREAM, item.sender, done))
            elif item.receiver in self.nodes:
                queue.extend(self.nodes[item.receiver].receive(item, now=self.now))

    def request(self, caller: int, **fields: object) -> None:
        message = RequestArrived(
            caller=caller,
            address=ADDRESS,
            payload=b"lot",
            timeout=5.0,
            **{"idempotent": False} | fields,
        )
        self.send(Envelope(LOCAL_CALLER, self.balancer.node_id, message))


def test_request_gets_its_answer() -> None:
    """Guards against lost requests or answers between caller and upstream."""
    network = Network(upstreams=3)
    network.request(1)
    assert network.to_callers == [AnswerCaller(caller=1, payload=b"re:lot")]
    assert len(network.ran) == 1


def test_repeated_key_runs_once_and_gets_the_same_answer() -> None:
    """Guards against a second run when a caller repeats a request id."""
    network = Network(upstreams=3)
    network.request(1, request_id="k", first_attempt=True)
    network.request(2, request_id="k")
    assert [type(item) for item in network.to_callers] == [AnswerCaller] * 2
    assert len(network.ran) == 1


def test_unknown_address_is_refused_as_not_run() -> None:
    """Guards against forwarding a request to an unknown address."""
    network = Network(upstreams=1)
    message = RequestArrived(
        caller=1,
        address=ServiceAddress("127.0.0.1:1"),
        payload=b"",
        idempotent=True,
        timeout=1.0,
    )
    network.send(Envelope(LOCAL_CALLER, network.balancer.node_id, message))
    assert [type(item) for item in network.to_callers] == [RefuseCaller]
    assert network.ran == []
