"""Entries that balancers and agents keep in the store."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from bramleydyke.direct.messages import Announcement
from bramleydyke.direct.types import Lifetime, NodeIp, UpstreamState
from bramleydyke.direct.upstream_view import Report
from bramleydyke.endpoints import IP_PATTERN
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId

MAX_NUMBER = 2**62
"""Maximum of the numbers in an entry.

Messages between nodes encode 64 bits, and numbers increase by one at a time.
"""

MAX_SLOTS = 2**16
"""Maximum number of slots of an upstream."""

MAX_NAME_LENGTH = 256
"""Maximum number of characters of a name."""

EntryIp = Annotated[NodeIp, Meta(pattern=IP_PATTERN)]
EntryNumber = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
EntryLifetime = Annotated[Lifetime, Meta(ge=0, le=MAX_NUMBER)]
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]


class BalancerEntry(msgspec.Struct, frozen=True):
    """Stored entry of a balancer that is running or ran recently."""

    node: EntryIp
    zone: AvailabilityZone


class UpstreamEntry(msgspec.Struct, frozen=True):
    """Stored entry of an upstream: an ``Announcement`` without the load."""

    node: EntryIp
    zone: Annotated[AvailabilityZone, Meta(max_length=MAX_NAME_LENGTH)]
    service: Annotated[ServiceId, Meta(max_length=MAX_NAME_LENGTH)]
    upstream: Annotated[UpstreamId, Meta(max_length=MAX_NAME_LENGTH)]
    lifetime: EntryLifetime
    sequence: EntryNumber
    revision: EntryNumber
    state: UpstreamState
    slots: Slots = 1
    start_ms: EntryNumber = 0
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
            start_ms=self.start_ms or self.lifetime,
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
            start_ms=self.start_ms,
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
        start_ms=announcement.start_ms,
    )
