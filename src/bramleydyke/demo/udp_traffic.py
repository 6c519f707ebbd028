"""Simulated callers of one UDP service, each with one long flow."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from bramleydyke.daemons.environment import Environment
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.standins.board import Subscribe, Tick
from bramleydyke.types import ServiceId, UpstreamId

MEAN_SEND_INTERVAL_S = 0.4
"""Mean interval in seconds between packets of a flow."""

SILENCE_LIMIT_S = 3.0
"""Seconds without a tick after which a flow counts as broken."""


@dataclass(slots=True, kw_only=True)
class UdpTraffic:
    """Keeps flows to one service open until the traffic stops.

    A flow is broken if another upstream answers it, or none does for
    ``SILENCE_LIMIT_S``. Each flow counts at most once.

    Attributes:
        address: Endpoint of the service.
        flows: Number of flows to open.
        counts: ``flows``, ``broken_flows``, ``wrong_answer`` and
            ``wrong_service``.
        errors: Number of times that flows broke, by reason.
        open_flows: All flows until the traffic stops.
    """

    environment: Environment
    service_id: ServiceId
    address: str
    flows: int
    random_source: random.Random
    counts: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    stopped: bool = False
    open_flows: list[_Flow] = field(default_factory=list)

    def start(self) -> None:
        """Opens all flows, each from its own socket."""
        for number in range(self.flows):
            flow = _Flow(self, f"{self.service_id}/{number}")
            self.environment.reactor.listenUDP(0, flow, interface="127.0.0.1")
            self.open_flows.append(flow)
            self.counts["flows"] += 1

    def stop(self) -> None:
        """Checks all flows for silence and closes them."""
        self.stopped = True
        for flow in self.open_flows:
            flow.check_silence()
            flow.transport.stopListening()
        self.open_flows.clear()

    def ended(self) -> bool:
        """Returns whether the traffic has stopped."""
        return self.stopped


class _Flow(DatagramProtocol):
    noisy = False

    def __init__(self, traffic: UdpTraffic, name: str) -> None:
        self.traffic = traffic
        self.name = name
        self.number = 0
        self.upstream: UpstreamId | None = None
        self.broken = False
        self.clock = traffic.environment.clock
        self.last_tick_at = self.clock.seconds()
        address = parse_endpoint(traffic.address)
        assert address is not None, traffic.address
        self.service_address = address

    def startProtocol(self) -> None:  # noqa: N802 - name given by twisted
        self._send_packet()

    def datagramReceived(  # noqa: N802 - name given by twisted
        self, datagram: bytes, _: Any
    ) -> None:
        """Checks that a tick has the right flow, service and upstream."""
        tick = msgspec.json.decode(datagram, type=Tick)
        self.check_silence()
        self.last_tick_at = self.clock.seconds()
        if (tick.service, tick.flow) != (self.traffic.service_id, self.name):
            wrong_service = tick.service != self.traffic.service_id
            self.traffic.counts[
                "wrong_service" if wrong_service else "wrong_answer"
            ] += 1
            return
        if self.upstream is None:
            self.upstream = tick.upstream
        elif tick.upstream != self.upstream:
            self._count_broken("moved")

    def check_silence(self) -> None:
        """Counts the flow as broken if it has been silent for too long."""
        if self.clock.seconds() - self.last_tick_at > SILENCE_LIMIT_S:
            self._count_broken("silent")

    def _send_packet(self) -> None:
        if self.traffic.stopped:
            return
        self.number += 1
        packet = Subscribe(self.traffic.service_id, self.name, self.number)
        self.transport.write(msgspec.json.encode(packet), self.service_address)
        pause = self.traffic.random_source.uniform(0.5, 1.5) * MEAN_SEND_INTERVAL_S
        self.clock.callLater(pause, self._send_packet)

    def _count_broken(self, reason: str) -> None:
        self.traffic.errors[reason] += 1
        if not self.broken:
            self.broken = True
            self.traffic.counts["broken_flows"] += 1
