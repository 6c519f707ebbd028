"""A UDP upstream that simulates a price feed.

It answers each packet with a tick and pushes further ticks to recent senders.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall

from bramleydyke.endpoints import parse_endpoint
from bramleydyke.ports import Clock
from bramleydyke.standins.work_counts import WorkCounts
from bramleydyke.types import ServiceId, UpstreamId

PUSH_INTERVAL_S = 0.25
"""Interval in seconds between pushed ticks."""

SUBSCRIPTION_TIMEOUT_S = 3.0
"""Seconds without a packet after which a subscription expires."""


class Subscribe(msgspec.Struct, frozen=True):
    """Packet by which a caller subscribes to ticks or stays subscribed."""

    service: ServiceId
    """Service that the caller addressed.

    The upstream compares it with its own service.
    """

    flow: str
    """Name that the caller chose for the flow; ticks repeat it."""

    number: int
    """Number of the packet on this flow, from 1."""


class Tick(msgspec.Struct, frozen=True):
    """Packet that an upstream sends as a response or unsolicited."""

    service: ServiceId
    upstream: UpstreamId
    flow: str
    number: int
    """Number of the last packet received on this flow."""

    pushed: bool = False
    """False if the tick answers a packet."""


@dataclass(slots=True)
class _Subscription:
    packet: Subscribe
    last_packet_at: float


class BoardServer(DatagramProtocol):
    """UDP server of one price board upstream.

    Attributes:
        subscriptions: Last packet of each caller, by its socket address.
    """

    noisy = False

    def __init__(
        self,
        *,
        service_id: ServiceId,
        upstream_id: UpstreamId,
        work_counts: WorkCounts,
        clock: Clock,
        reactor: Any,
        listen: str,
    ) -> None:
        self.service_id = service_id
        self.upstream_id = upstream_id
        self.work_counts = work_counts
        self.clock = clock
        self.subscriptions: dict[tuple[str, int], _Subscription] = {}
        address = parse_endpoint(listen)
        assert address is not None, listen
        self.port = reactor.listenUDP(address[1], self, interface=address[0])
        self.push_loop = LoopingCall(self._push_ticks)
        self.push_loop.clock = clock
        self.push_loop.start(PUSH_INTERVAL_S, now=False)

    def datagramReceived(  # noqa: N802 - name given by twisted
        self, datagram: bytes, source: tuple[str, int]
    ) -> None:
        """Answers a packet and subscribes its sender to ticks."""
        try:
            packet = msgspec.json.decode(datagram, type=Subscribe)
        except msgspec.DecodeError:
            self.work_counts.unrecognised += 1
            return
        self.work_counts.check_service(packet.service, service_id=self.service_id)
        self.subscriptions[source] = _Subscription(packet, self.clock.seconds())
        self._send(packet, source, pushed=False)

    def stop(self) -> None:
        """Stops listening and pushing ticks."""
        self.push_loop.stop()
        self.port.stopListening()

    def _push_ticks(self) -> None:
        earliest = self.clock.seconds() - SUBSCRIPTION_TIMEOUT_S
        self.subscriptions = {
            source: subscription
            for source, subscription in self.subscriptions.items()
            if subscription.last_packet_at >= earliest
        }
        for source, subscription in self.subscriptions.items():
            self._send(subscription.packet, source, pushed=True)

    def _send(
        self, packet: Subscribe, source: tuple[str, int], *, pushed: bool
    ) -> None:
        tick = Tick(
            self.service_id, self.upstream_id, packet.flow, packet.number, pushed
        )
        self.transport.write(msgspec.json.encode(tick), source)
