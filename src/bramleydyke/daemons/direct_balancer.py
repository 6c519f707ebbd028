"""Process of a balancer in the direct mode."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

import msgspec

from bramleydyke.adapters.http_client import HttpClient
from bramleydyke.adapters.http_server import HttpReply
from bramleydyke.daemons.direct import (
    EXIT_MARGIN_S,
    DirectNode,
    caller_ip,
)
from bramleydyke.direct.balancer import Balancer
from bramleydyke.direct.constants import BALANCER_LINGER_S, SNAPSHOT_TIMEOUT_S
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.entries import BalancerEntry
from bramleydyke.direct.entry_writer import EntryWriter
from bramleydyke.direct.gossip import Gossip
from bramleydyke.direct.messages import Announcement
from bramleydyke.direct.ports import PacketCodec
from bramleydyke.direct.registry import Registry
from bramleydyke.direct.routes import Routes, RouteSet
from bramleydyke.direct.settings import DirectSettings
from bramleydyke.direct.store import Era, Kind
from bramleydyke.direct.types import ConfigVersion, NodeIp, Packet
from bramleydyke.endpoints import host_of, port_of
from bramleydyke.types import AvailabilityZone

MAX_PACKETS_START_DELAY_S = 1.2
"""Longest delay after the start until packets are read.

Until then a balancer waits for routes and upstreams. Callers give up on a
flow after 1.4 s.
"""

NEVER_CONFIRMED_AGE_S = 1e9
"""Value of the age gauge if the configuration was never confirmed."""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State that a balancer sends to a peer on request.

    Attributes:
        routes: Current routes; None if the peer has the same version.
        upstreams: All known upstreams, if the peer asked for them.
    """

    routes: RouteSet | None
    upstreams: list[Announcement]


_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


class DirectBalancer(DirectNode):
    """Connects a balancer to its sockets, the store and its peers.

    Attributes:
        caller_port: UDP port to which packets for callers are sent.
        peer_calls: HTTP client for snapshots of other balancers.
        snapshot_pending: True while a snapshot request is pending.
        lacks_upstreams: True until a snapshot with upstreams was received.
        entry_writer: Keeps this balancer's entry in the store.
        packet_socket: Socket for callers' packets.
    """

    def __init__(
        self,
        reactor: Any,
        settings: DirectSettings,
        settings_path: Path,
        *,
        codec: PacketCodec,
        **options: Any,
    ) -> None:
        super().__init__(reactor, settings, settings_path, **options)
        own_ip = NodeIp(settings.ip)
        zone = AvailabilityZone(settings.availability_zone)
        self.caller_port = port_of(settings.packet_endpoint)
        self.peer_calls = HttpClient(
            reactor=reactor, clock=self.clock, content_type="application/msgpack"
        )
        self.snapshot_pending = False
        self.lacks_upstreams = True
        routes = Routes()
        directory = Directory(zone)
        gossip = Gossip(
            node=own_ip,
            routes=routes,
            send=self.send,
            fetch=self.fetch_snapshot,
            random_source=self.random_source,
        )
        self.role: Balancer = Balancer(
            node=own_ip,
            codec=codec,
            routes=routes,
            directory=directory,
            gossip=gossip,
            send=self.send,
            reset=self._send_to_caller,
            count=self.count,
            record=self.log.record,
            observe=self.observe,
        )
        self.registry = Registry(
            store=self.store,
            clock=self.clock,
            random_source=self.random_source,
            routes=routes,
            directory=directory,
            on_announcement=self.role.apply_announcement,
            gossip=gossip,
            send=self.send,
            count=self.count,
            record=self.log.record,
            on_listed=self._start_packets_when_known,
        )
        self.role.on_resumed = self.registry.resumed
        self.entry_writer = EntryWriter(
            kind=Kind.BALANCERS,
            name=own_ip,
            store=self.store,
            clock=self.clock,
            random_source=self.random_source,
            count=self.count,
        )
        self.packet_socket = self.open_datagrams(
            settings.packet_endpoint, self._receive_packet
        )

    def start(self) -> None:
        """Starts serving.

        Packets are read once routes and upstreams are known, or after
        ``MAX_PACKETS_START_DELAY_S``.
        """
        settings = self.settings
        now = self.clock.seconds()
        for seed in settings.seed_endpoints:
            self.role.gossip.add_peer(NodeIp(host_of(seed)), now=now)
        self.listen(f"{settings.ip}:{settings.mesh_port}", self._serve_snapshot)
        self.registry.start()
        self.entry_writer.set_value(
            BalancerEntry(self.role.node, self.role.directory.zone)
        )
        super().start()
        self.role.gossip.configuration_changed(now=now)
        self.clock.callLater(MAX_PACKETS_START_DELAY_S, self.packet_socket.start)

    def _start_packets_when_known(self) -> None:
        """Starts reading packets if routes and upstreams are known.

        Packets that arrived earlier wait in the socket's receive buffer.
        """
        upstreams_known = self.role.directory.complete or not self.lacks_upstreams
        if self.role.routes.current is not None and upstreams_known:
            self.packet_socket.start()

    def ready(self) -> bool:
        """Returns whether this balancer can serve callers."""
        return self.role.ready(now=self.clock.seconds())

    def gauges(self) -> dict[str, float]:
        """Returns the current value of each gauge, by name."""
        now = self.clock.seconds()
        role = self.role
        entries = role.directory.entries.values()
        confirmed = min(now - role.routes.confirmed_at, NEVER_CONFIRMED_AGE_S)
        return super().gauges() | {
            "configuration_version": role.routes.version,
            "configuration_stored_version": self.registry.stored_version,
            "configuration_confirmed_age_seconds": round(confirmed, 3),
            "routes": len(role.routes.current.routes) if role.routes.current else 0,
            "upstreams": len(entries),
            "upstreams_suspect": sum(e.suspect_until > now for e in entries),
            "upstreams_followed": float(role.directory.complete),
            "balancers_heard": role.gossip.live_peers(now=now),
            "flows_known": len(role.holders.open),
            "openings_parked": len(role.openings.parked),
            "agent_timeout_seconds": role.openings.round_trip.timeout_s(),
        }

    def terminate(self) -> None:
        """Reports not ready, informs the other balancers, stops after a delay.

        Packets are forwarded until the routers have seen the readiness check
        fail.
        """
        if self.role.gossip.leaving:
            return
        self.role.gossip.leave()
        limit = self.settings.stop_within_s - EXIT_MARGIN_S
        self.stop(after_s=min(BALANCER_LINGER_S, limit), reason="SIGTERM")

    def finish(self) -> None:
        """Hands over the openings that wait here."""
        self.role.stop(now=self.clock.seconds())

    def close(self) -> None:
        """Closes all sockets and stops the calls to the store and to peers."""
        self.registry.stop()
        self.entry_writer.stop()
        self.peer_calls.close()
        super().close()

    def store_restored(self, era: Era) -> None:
        """Reads everything again and restores what the store has lost."""
        super().store_restored(era)
        self.registry.store_restored(era)
        self.entry_writer.store_restored()

    def fetch_snapshot(self, node: NodeIp, version: ConfigVersion) -> None:
        """Requests a snapshot from another balancer.

        Does nothing while a request is pending: several responses at once
        would fill a slow link.

        Args:
            node: Balancer to ask.
            version: Version of its configuration; not used here.
        """
        if self.snapshot_pending:
            return
        self.snapshot_pending = True

        def on_response(status: int | None, body: bytes) -> None:
            self.snapshot_pending = False
            if status != 200:
                self.count("peers.fetch_failed")
                return
            self._apply_snapshot(node, body)

        self.peer_calls.request(
            "GET",
            f"{node}:{self.settings.mesh_port}",
            f"/snapshot?version={self.role.routes.version}&all={self.lacks_upstreams:d}",
            timeout_s=SNAPSHOT_TIMEOUT_S,
            on_response=on_response,
        )

    def _apply_snapshot(self, node: NodeIp, body: bytes) -> None:
        try:
            snapshot = _SNAPSHOT_DECODER.decode(body)
        except msgspec.MsgspecError:
            self.count("peers.bad_snapshot")
            return
        if snapshot.routes is not None:
            self.registry.apply_routes(snapshot.routes, source=node)
        now = self.clock.seconds()
        self.lacks_upstreams = self.lacks_upstreams and not snapshot.upstreams
        for announcement in snapshot.upstreams:
            self.role.apply_announcement(announcement, now=now, source=node)
        self._start_packets_when_known()
        self.schedule_wakeup()

    def _serve_snapshot(self, method: str, target: str, body: bytes) -> HttpReply:
        """Returns a snapshot for another balancer.

        It holds the routes if ``version`` in the query differs from this
        balancer's version, and all upstreams if ``all`` is 1.
        """
        query = dict(parse_qsl(target.partition("?")[2]))
        known_version = query.get("version", "0")
        routes = self.role.routes.current
        routes_changed = routes is not None and str(routes.version) != known_version
        entries = self.role.directory.entries.values()
        upstreams = [e.announcement for e in entries] if query.get("all") == "1" else []
        snapshot = Snapshot(routes if routes_changed else None, upstreams)
        content = msgspec.msgpack.encode(snapshot)
        return HttpReply(200, content, "application/msgpack")

    def _receive_packet(self, datagram: bytes, sender: str) -> None:
        self.role.packet_in(datagram, now=self.clock.seconds())

    def _send_to_caller(self, packet: Packet, datagram: bytes) -> None:
        self.packet_socket.send(datagram, caller_ip(packet), self.caller_port)
