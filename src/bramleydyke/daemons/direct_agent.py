"""Program of an agent in the direct mode."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from bramleydyke.daemons.direct import END_MARGIN_S, DirectNode, NewStore, caller_ip
from bramleydyke.direct.agent import Agent
from bramleydyke.direct.constants import AGENT_LINGER_S, BALANCER_LIST_S
from bramleydyke.direct.entry_writer import EntryWriter
from bramleydyke.direct.ports import PacketCodec
from bramleydyke.direct.registry import BalancerEntry, UpstreamEntry, entry_of
from bramleydyke.direct.settings import DirectSettings
from bramleydyke.direct.store import CallStatus, Kind, Listing, Store, StoredObject
from bramleydyke.direct.types import NodeIp, Packet, UpstreamState
from bramleydyke.direct.upstream_view import Report, UpstreamView
from bramleydyke.endpoints import host_of, parse_endpoint, port_of
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId

DRAIN_STORE_WAIT_S = 0.7
"""Wait for a drain to be stored; upstreams wait a second for the answer."""

STORED_POLL_S = 0.01
"""Interval at which the store's answer is looked for."""

STORED_STATES = frozenset({UpstreamState.READY, UpstreamState.DRAINING})
"""States that the store keeps; the others pass or are seen by balancers."""


class DirectAgent(DirectNode):
    """An agent with its sockets."""

    def __init__(
        self,
        reactor: Any,
        settings: DirectSettings,
        path: Path,
        *,
        codec: PacketCodec,
        new_store: NewStore,
        **options: Any,
    ) -> None:
        super().__init__(reactor, settings, path, **options)
        me = NodeIp(settings.ip)
        upstream = parse_endpoint(settings.upstream_endpoint or "")
        assert upstream is not None
        self.upstream = upstream
        self.caller_port = port_of(settings.packet_endpoint)
        self.store: Store = new_store(reactor, self.clock, self.count, self.observe)
        self.role: Agent = Agent(
            node=me,
            zone=AvailabilityZone(settings.availability_zone),
            service=ServiceId(settings.service or ""),
            codec=codec,
            view=UpstreamView(report_interval_s=settings.report_interval_s),
            started_at=self.clock.seconds(),
            send=self.send,
            send_to_caller=self._to_caller,
            deliver=self._deliver,
            count=self.count,
            record=self.log.record,
        )
        self.entry = EntryWriter(
            kind=Kind.UPSTREAMS,
            name=me,
            store=self.store,
            clock=self.clock,
            random_source=self.random_source,
            count=self.count,
            recalled=self._recalled,
        )
        self.egress = self.datagrams(
            settings.egress_endpoint or "", self._from_upstream
        )

    def start(self) -> None:
        """Starts to serve."""
        for seed in self.settings.seed_endpoints:
            self.role.announcer.add_balancer(NodeIp(host_of(seed)))
        self.egress.start()
        self.entry.start()
        self._list_balancers(stale=False)
        super().start()

    def report(self, report: Report, acknowledge: Callable[[bool], None]) -> None:
        """Takes a report of the upstream.

        A drain is acknowledged once it is stored, so that a later process of
        this VM knows of it, or at the end of the time to acknowledge.

        Args:
            report: What the upstream says of itself.
            acknowledge: Called with False if the report is not taken.
        """
        taken = self.role.report(report, now=self.clock.seconds())
        self._store_entry()
        if not (taken and report.draining) or self.entry.settled():
            acknowledge(taken)
            return
        reported_at = self.clock.seconds()

        def stored(taken: bool) -> None:
            waited = self.clock.seconds() - reported_at
            self.observe("drain_acknowledged", waited)
            acknowledge(taken)

        self._when_stored(reported_at + DRAIN_STORE_WAIT_S, stored)

    def _when_stored(self, until: float, acknowledge: Callable[[bool], None]) -> None:
        if self.entry.settled():
            acknowledge(True)
        elif self.clock.seconds() >= until:
            self.count("drains.acknowledged_unstored")
            acknowledge(True)
        else:
            self.clock.callLater(STORED_POLL_S, self._when_stored, until, acknowledge)

    def left(self, upstream: UpstreamId) -> None:
        """Takes an upstream's word that it is gone."""
        self.role.left(upstream, now=self.clock.seconds())
        self._store_entry()

    def gauges(self) -> dict[str, float]:
        """Returns what this agent believes now."""
        now = self.clock.seconds()
        role = self.role
        state = role.view.state(now=now)
        return {
            "upstream_ready": float(state is UpstreamState.READY),
            "upstream_report_age_seconds": round(now - role.view.reported_at, 3),
            "flows_unfinished": role.flows.unfinished,
            "requests_waiting": len(role.flows.requests),
            "balancers_known": len(role.announcer.balancers),
            "entry_stored": float(self.entry.settled()),
        }

    def terminate(self) -> None:
        """Takes no new flow, lets short ones end and stops."""
        if self.role.announcer.pausing:
            return
        now = self.clock.seconds()
        self.role.pause(now=now)
        until = now + self.settings.stop_within_s - END_MARGIN_S
        self.clock.callLater(AGENT_LINGER_S, self._stop_when_removed, until)

    def _stop_when_removed(self, until: float) -> None:
        """Stops; if the upstream is gone, once the store knows or time is up.

        An entry that stays behind makes balancers wait for this VM later.
        """
        now = self.clock.seconds()
        gone = self.role.view.state(now=now) is UpstreamState.GONE
        if gone and not self.entry.settled() and now < until:
            self.clock.callLater(STORED_POLL_S, self._stop_when_removed, until)
        else:
            self.stop(after_s=0.0, reason="SIGTERM")

    def close(self) -> None:
        """Closes all sockets and makes no more calls."""
        self.entry.stop()
        super().close()

    def _store_entry(self) -> None:
        """Writes the upstream's entry if its state or lifetime changed."""
        announcement = self.role.announcer.announcement(now=self.clock.seconds())
        if announcement is None:
            return
        if announcement.state is UpstreamState.GONE:
            self.entry.want(None)
            return
        if announcement.state not in STORED_STATES:
            return
        wanted = self.entry.wanted
        if isinstance(wanted, UpstreamEntry):
            same = (wanted.upstream, wanted.lifetime, wanted.state)
            new = (announcement.upstream, announcement.lifetime, announcement.state)
            if same == new:
                return
        self.entry.want(entry_of(announcement))

    def _recalled(self, stored: StoredObject) -> None:
        """Takes the entry that an earlier process of this VM left."""
        entry = stored.value
        if not isinstance(entry, UpstreamEntry) or entry.service != self.role.service:
            return
        self.log.record(
            "entry_recalled",
            upstream=entry.upstream,
            state=entry.state.value,
            lifetime=entry.lifetime,
            sequence=entry.sequence,
        )
        self.role.recall(entry.report(), now=self.clock.seconds())

    def _list_balancers(self, *, stale: bool = True) -> None:
        """Reads the balancers; those that send packets are known without."""
        if self.stopped:
            return
        self.store.list(Kind.BALANCERS, self._on_balancers, stale=stale)
        if not self.stopped:
            self.clock.callLater(BALANCER_LIST_S, self._list_balancers)

    def _on_balancers(self, status: CallStatus, listing: Listing | None) -> None:
        if status is not CallStatus.OK or listing is None:
            self.count(f"store.balancers.{status.value}")
            return
        entries = [
            stored.value
            for stored in listing.objects
            if isinstance(stored.value, BalancerEntry)
        ]
        new = [self.role.announcer.add_balancer(entry.node) for entry in entries]
        if any(new):
            self.role.announce(now=self.clock.seconds())

    def _from_upstream(self, datagram: bytes, sender: str) -> None:
        self.role.upstream_packet(datagram, now=self.clock.seconds())

    def _deliver(self, datagram: bytes) -> None:
        self.egress.send(datagram, *self.upstream)

    def _to_caller(self, packet: Packet, datagram: bytes) -> None:
        self.egress.send(datagram, caller_ip(packet), self.caller_port)
