"""Entries that balancers and agents keep in the store."""

from __future__ import annotations

import msgspec

from bramleydyke.direct.messages import Announcement
from bramleydyke.direct.types import Lifetime, NodeIp, UpstreamState
from bramleydyke.direct.upstream_view import Report
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId


class BalancerEntry(msgspec.Struct, frozen=True):
    """Stored entry of a balancer that is running or ran recently."""

    node: NodeIp
    zone: AvailabilityZone


class UpstreamEntry(msgspec.Struct, frozen=True):
    """Stored entry of an upstream: an ``Announcement`` without the load."""

    node: NodeIp
    zone: AvailabilityZone
    service: ServiceId
    upstream: UpstreamId
    lifetime: Lifetime
    sequence: int
    revision: int
    state: UpstreamState
    slots: int = 1
    born: Lifetime = Lifetime(0)
    """Start of the upstream if ``lifetime`` is another number, otherwise 0."""

    def report(self) -> Report:
        """Returns the report that the entry is based on.

        The entry does not contain the whole report: any state but ``READY``
        counts as draining, and ``cold_s`` is 0.
        """
        return Report(
            upstream=self.upstream,
            service=self.service,
            lifetime=self.lifetime,
            sequence=self.sequence,
            draining=self.state is not UpstreamState.READY,
            slots=self.slots,
            born=self.born,
        )

    def announcement(self) -> Announcement:
        """Returns the entry as an announcement with no load."""
        return Announcement(
            node=self.node,
            zone=self.zone,
            service=self.service,
            upstream=self.upstream,
            lifetime=self.lifetime,
            sequence=self.sequence,
            revision=self.revision,
            state=self.state,
            slots=self.slots,
            born=self.born,
        )


def entry_of(announcement: Announcement) -> UpstreamEntry:
    """Returns the entry to store for an announcement, without its load."""
    return UpstreamEntry(
        node=announcement.node,
        zone=announcement.zone,
        service=announcement.service,
        upstream=announcement.upstream,
        lifetime=announcement.lifetime,
        sequence=announcement.sequence,
        revision=announcement.revision,
        state=announcement.state,
        slots=announcement.slots,
        born=announcement.born,
    )
