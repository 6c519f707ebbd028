"""Process of an agent in the direct mode."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from bramleydyke.daemons.direct import (
    EXIT_MARGIN_S,
    DirectNode,
    caller_ip,
)
from bramleydyke.direct.agent import Agent
from bramleydyke.direct.constants import AGENT_LINGER_S, BALANCER_LIST_S
from bramleydyke.direct.entries import BalancerEntry, UpstreamEntry, entry_of
from bramleydyke.direct.entry_writer import EntryWriter
from bramleydyke.direct.messages import EntryOutdated
from bramleydyke.direct.ports import PacketCodec
from bramleydyke.direct.settings import DirectSettings
from bramleydyke.direct.store import CallStatus, Era, Kind, Listing, StoredObject
from bramleydyke.direct.types import NodeIp, Packet, UpstreamState
from bramleydyke.direct.upstream_view import Report, ReportResult, UpstreamView
from bramleydyke.endpoints import host_of, parse_endpoint, port_of
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId

DRAIN_STORE_TIMEOUT_S = 0.7
"""Longest wait for a drain to be stored before it is acknowledged.

Upstreams wait 1 s for the acknowledgement.
"""

STORE_POLL_INTERVAL_S = 0.01
"""Interval between checks whether a pending write has been stored."""

STORED_STATES = frozenset({UpstreamState.READY, UpstreamState.DRAINING})
"""States that are written to the store.

The other states are temporary, or balancers detect them themselves.
"""


class DirectAgent(DirectNode):
    """Connects an agent to its sockets, its store entry and its upstream.

    Attributes:
        upstream: Address of the upstream, as IP address and port.
        caller_port: UDP port to which packets for callers are sent.
        entry_writer: Keeps the upstream's entry in the store up to date.
        checked_era: Newest era of the store in which the entry was read again.
        egress_socket: Socket for packets to and from the upstream and to
            callers.
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
        upstream = parse_endpoint(settings.upstream_endpoint or "")
        assert upstream is not None
        self.upstream = upstream
        self.caller_port = port_of(settings.packet_endpoint)
        self.role: Agent = Agent(
            node=own_ip,
            zone=AvailabilityZone(settings.availability_zone),
            service=ServiceId(settings.service or ""),
            codec=codec,
            view=UpstreamView(report_interval_s=settings.report_interval_s),
            started_at=self.clock.seconds(),
            send=self.send,
            send_to_caller=self._send_to_caller,
            deliver=self._send_to_upstream,
            count=self.count,
            record=self.log.record,
            on_entry_outdated=self.on_entry_outdated,
        )
        self.checked_era = Era(0)
        self.entry_writer = EntryWriter(
            kind=Kind.UPSTREAMS,
            name=own_ip,
            store=self.store,
            clock=self.clock,
            random_source=self.random_source,
            count=self.count,
            on_found=self._restore_entry,
        )
        self.egress_socket = self.open_datagrams(
            settings.egress_endpoint or "", self._receive_from_upstream
        )

    def start(self) -> None:
        """Starts serving.

        Reads the balancers and the entry of an earlier process from the store.
        """
        for seed in self.settings.seed_endpoints:
            self.role.announcer.add_balancer(NodeIp(host_of(seed)))
        self.egress_socket.start()
        self.entry_writer.start()
        self._list_balancers(stale=False)
        super().start()

    def on_report(
        self, report: Report, acknowledge: Callable[[ReportResult], None]
    ) -> None:
        """Handles a report of the upstream.

        A drain is acknowledged once it is stored, so that the agent knows of
        it after a restart, or after ``DRAIN_STORE_TIMEOUT_S``.

        Args:
            report: State of the upstream.
            acknowledge: Called with what was done with the report. A drain
                that is not in force is never acknowledged.
        """
        result = self.role.report(report, now=self.clock.seconds())
        self._store_entry()
        drained = result is ReportResult.ACCEPTED and report.draining
        if not drained or self.entry_writer.is_up_to_date():
            acknowledge(result)
            return
        reported_at = self.clock.seconds()

        def observe_and_acknowledge() -> None:
            waited = self.clock.seconds() - reported_at
            self.observe("drain_acknowledged", waited)
            acknowledge(result)

        self._acknowledge_when_stored(
            reported_at + DRAIN_STORE_TIMEOUT_S, observe_and_acknowledge
        )

    def _acknowledge_when_stored(
        self, deadline: float, acknowledge: Callable[[], None]
    ) -> None:
        if self.entry_writer.is_up_to_date():
            acknowledge()
        elif self.clock.seconds() >= deadline:
            self.count("drains.acknowledged_unstored")
            acknowledge()
        else:
            self.clock.callLater(
                STORE_POLL_INTERVAL_S,
                self._acknowledge_when_stored,
                deadline,
                acknowledge,
            )

    def on_upstream_ended(self, upstream: UpstreamId) -> None:
        """Handles an upstream's notice that it has ended."""
        self.role.upstream_ended(upstream, now=self.clock.seconds())
        self._store_entry()

    def store_restored(self, era: Era) -> None:
        """Writes the entry again if the store has lost it."""
        super().store_restored(era)
        self._check_entry(era)

    def on_entry_outdated(self, message: EntryOutdated) -> None:
        """Writes the entry again if a balancer has found an older one."""
        self._check_entry(message.era)
        self.entry_writer.newer_seen(message.revision)

    def _check_entry(self, era: Era) -> None:
        """Reads the entry again, once in each era of the store."""
        if era > self.checked_era:
            self.checked_era = era
            self.count("store.entry_checked")
            self.entry_writer.store_restored()

    def gauges(self) -> dict[str, float]:
        """Returns the current value of each gauge, by name."""
        now = self.clock.seconds()
        role = self.role
        state = role.view.state(now=now)
        return super().gauges() | {
            "upstream_ready": float(state is UpstreamState.READY),
            "upstream_report_age_seconds": round(now - role.view.reported_at, 3),
            "flows_unfinished": role.flows.unfinished,
            "requests_waiting": len(role.flows.requests),
            "balancers_known": len(role.announcer.balancers),
            "entry_stored": float(self.entry_writer.is_up_to_date()),
        }

    def terminate(self) -> None:
        """Rejects new flows, lets short flows end and then stops."""
        if self.role.announcer.stopping:
            return
        now = self.clock.seconds()
        self.role.pause(now=now)
        deadline = now + self.settings.stop_within_s - EXIT_MARGIN_S
        self.clock.callLater(AGENT_LINGER_S, self._stop_when_removed, deadline)

    def _stop_when_removed(self, deadline: float) -> None:
        """Stops the process.

        If the upstream has ended, first waits until its entry is removed from
        the store, but no longer than until ``deadline``. A stale entry would
        make balancers wait later for replies from this VM.

        Args:
            deadline: End of the wait, in seconds of the node's clock.
        """
        now = self.clock.seconds()
        upstream_ended = self.role.view.state(now=now) is UpstreamState.GONE
        if upstream_ended and not self.entry_writer.is_up_to_date() and now < deadline:
            self.clock.callLater(
                STORE_POLL_INTERVAL_S, self._stop_when_removed, deadline
            )
        else:
            self.stop(after_s=0.0, reason="SIGTERM")

    def close(self) -> None:
        """Closes all sockets and stops writing the store entry."""
        self.entry_writer.stop()
        super().close()

    def _store_entry(self) -> None:
        """Updates the upstream's entry in the store.

        Writes only if id, lifetime or state of the upstream has changed, and
        removes the entry if the upstream has ended.
        """
        announcement = self.role.announcer.announcement(now=self.clock.seconds())
        if announcement is None:
            return
        if announcement.state is UpstreamState.GONE:
            self.entry_writer.set_value(None)
            return
        if announcement.state not in STORED_STATES:
            return
        desired = self.entry_writer.desired
        if isinstance(desired, UpstreamEntry):
            written = (desired.upstream, desired.lifetime, desired.state)
            current = (announcement.upstream, announcement.lifetime, announcement.state)
            if written == current:
                return
        self.entry_writer.set_value(entry_of(announcement))

    def _restore_entry(self, stored: StoredObject) -> None:
        """Restores the state that an earlier process of this VM stored.

        An entry of another service is ignored.
        """
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
        now = self.clock.seconds()
        self.role.restore(entry.report(), now=now)
        if self.role.view.state(now=now) is UpstreamState.GONE:
            self._store_entry()

    def _list_balancers(self, *, stale: bool = True) -> None:
        """Lists the balancers in the store and repeats this periodically.

        The interval is ``BALANCER_LIST_S``.

        Balancers that send packets are also known without the list.
        """
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
            and stored.value.node == stored.name
        ]
        added = [self.role.announcer.add_balancer(entry.node) for entry in entries]
        if any(added):
            self.role.announce(now=self.clock.seconds())

    def _receive_from_upstream(self, datagram: bytes, sender: str) -> None:
        self.role.upstream_packet(datagram, now=self.clock.seconds())

    def _send_to_upstream(self, datagram: bytes) -> None:
        self.egress_socket.send(datagram, *self.upstream)

    def _send_to_caller(self, packet: Packet, datagram: bytes) -> None:
        self.egress_socket.send(datagram, caller_ip(packet), self.caller_port)
