"""A UDP upstream: answers each packet and pushes ticks, as a price board."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall

from bramleydyke.endpoints import parse_endpoint
from bramleydyke.ports import Clock
from bramleydyke.standins.ledger import Ledger
from bramleydyke.types import ServiceId, UpstreamId

PUSH_INTERVAL_S = 0.25
"""Interval at which ticks are pushed."""

SUBSCRIPTION_TIMEOUT_S = 3.0
"""Time without a packet after which a caller gets no more ticks."""


class Subscribe(msgspec.Struct, frozen=True):
    """A caller's packet."""

    service: ServiceId
    """The service that the caller means."""

    flow: str
    """The caller's own name of the flow."""

    number: int


class Tick(msgspec.Struct, frozen=True):
    """An upstream's packet."""

    service: ServiceId
    upstream: UpstreamId
    flow: str
    number: int
    """Number of the packet that is answered, or was last heard."""

    pushed: bool = False


@dataclass(slots=True)
class _Subscription:
    packet: Subscribe
    last_packet_at: float


class BoardServer(DatagramProtocol):
    """A board that listens.

    Attributes:
        subscriptions: Last packet of each socket that has sent one.
    """

    noisy = False

    def __init__(
        self,
        *,
        service_id: ServiceId,
        upstream_id: UpstreamId,
        ledger: Ledger,
        clock: Clock,
        reactor: Any,
        listen: str,
    ) -> None:
        self.service_id = service_id
        self.upstream_id = upstream_id
        self.ledger = ledger
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
        """Answers a packet and notes its sender."""
        try:
            packet = msgspec.json.decode(datagram, type=Subscribe)
        except msgspec.DecodeError:
            self.ledger.unrecognised += 1
            return
        self.ledger.check_service(packet.service, service_id=self.service_id)
        self.subscriptions[source] = _Subscription(packet, self.clock.seconds())
        self._send(packet, source, pushed=False)

    def stop(self) -> None:
        """Stops to listen and to push."""
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
