"""Status of a zone, which a lease holder writes for operators."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import MAX_STATUS_NAMES
from bramleydyke.core.config import ConfigStore
from bramleydyke.core.members import ABSENT_STATES, Members
from bramleydyke.messages import StatusReply
from bramleydyke.types import (
    AvailabilityZone,
    Generation,
    MemberState,
    NodeId,
    PartnerId,
)

Names = dict[str, float]
"""Time in a condition in seconds, by ``service/upstream``."""


class PartnerStatus(msgspec.Struct, frozen=True):
    """Status of a partner's configuration and upstreams in one zone."""

    generation: Generation
    """Newest generation that the writer of the status has applied."""

    balancers: dict[Generation, int]
    """Number of the zone's balancers that hold each generation."""

    agents: dict[Generation, int]
    """Number of the zone's agents that hold each generation."""

    in_force: bool
    """True if all balancers replied and all nodes hold the newest generation.

    The nodes are the zone's balancers and its running, declared agents.
    """

    for_s: float
    """Time since ``generation`` or ``in_force`` changed, in seconds.

    Measured when the status was written.
    """

    announced: int
    """Number of the zone's declared upstreams with running agents."""

    missing: Names
    draining: Names
    suspect: Names
    undeclared: Names
    """Announced upstreams that are not in the sheet; they get no work."""

    drained: tuple[str, ...] = ()
    """Draining upstreams that have no work left, as ``service/upstream``.

    Reported by a home balancer of each agent.
    """


class ZoneStatus(msgspec.Struct, frozen=True):
    """Content of ``status/<zone>``, as JSON."""

    zone: AvailabilityZone
    writer: NodeId
    token: int
    """Fencing token of the writer's lease."""

    balancers: int
    """Number of the zone's balancers that were queried."""

    replied: int
    """Number of the zone's balancers that replied in time."""

    partners: dict[PartnerId, PartnerStatus]


def without_timing(status: ZoneStatus) -> ZoneStatus:
    """Returns a status without times, writer and reply count.

    Two results differ only if the zone's state has changed.
    """
    partners = {
        partner_id: msgspec.structs.replace(
            item,
            for_s=0.0,
            **{
                name: dict.fromkeys(getattr(item, name), 0.0)
                for name in ("missing", "draining", "suspect", "undeclared")
            },
        )
        for partner_id, item in status.partners.items()
    }
    return msgspec.structs.replace(
        status, writer=NodeId(""), token=0, replied=0, partners=partners
    )


@dataclass(slots=True, kw_only=True)
class StatusBuilder:
    """Computes a zone's status from what one balancer knows.

    Attributes:
        zone: The availability zone.
        members: Newest announcement of each known node.
        config: Configuration in force at this balancer.
        condition_since: When each condition began, in seconds, by partner,
            condition and upstream.
    """

    zone: AvailabilityZone
    members: Members
    config: ConfigStore
    condition_since: dict[tuple[PartnerId, str, str], float] = field(
        default_factory=dict
    )

    def partner(
        self,
        partner_id: PartnerId,
        replies: Iterable[StatusReply],
        *,
        complete: bool,
        now: float,
    ) -> PartnerStatus:
        """Returns a partner's status in the zone.

        Args:
            partner_id: Partner to report on.
            replies: Replies of the zone's balancers, including this one.
            complete: Whether all balancers of the zone have replied.
            now: Time in seconds.
        """
        replies = list(replies)
        newest = self.config.generation(partner_id)
        balancers = Counter(
            reply.generations.get(partner_id, Generation(0)) for reply in replies
        )
        agents: Counter[Generation] = Counter()
        for reply in replies:
            agents.update(reply.agents.get(partner_id, {}))
        announced = sum(1 for _ in self._names(partner_id, "running"))
        same = not (balancers.keys() | agents.keys()) - {newest}
        in_force = same and complete and agents.total() >= announced
        progress = "in force" if in_force else "spreading"
        since = self._ages(partner_id, "generation", {f"{newest} {progress}"}, now=now)
        return PartnerStatus(
            generation=newest,
            balancers=dict(balancers),
            agents=dict(agents),
            in_force=in_force,
            for_s=min(since.values()),
            announced=announced,
            missing=self._condition_ages(partner_id, "missing", now=now),
            draining=self._condition_ages(partner_id, "draining", now=now),
            suspect=self._condition_ages(partner_id, "suspect", now=now),
            undeclared=self._condition_ages(partner_id, "undeclared", now=now),
            drained=tuple(
                sorted(
                    name
                    for reply in replies
                    for name in reply.drained.get(partner_id, ())
                )
            ),
        )

    def _condition_ages(
        self, partner_id: PartnerId, condition: str, *, now: float
    ) -> Names:
        names = itertools.islice(self._names(partner_id, condition), MAX_STATUS_NAMES)
        return self._ages(partner_id, condition, set(names), now=now)

    def _ages(
        self, partner_id: PartnerId, condition: str, names: set[str], *, now: float
    ) -> Names:
        """Returns the time that each name has been in a condition, in seconds.

        Start times of names that left the condition are removed.
        """
        ended = [
            key
            for key in self.condition_since
            if key[:2] == (partner_id, condition) and key[2] not in names
        ]
        for key in ended:
            del self.condition_since[key]
        return {
            name: round(
                now
                - self.condition_since.setdefault((partner_id, condition, name), now),
                3,
            )
            for name in sorted(names)
        }

    def _names(self, partner_id: PartnerId, condition: str) -> Iterator[str]:
        """Yields a partner's upstreams in the zone that have a condition."""
        if condition == "undeclared":
            return self._undeclared(partner_id)
        return (
            name for name, state in self._declared(partner_id) if state == condition
        )

    def _declared(self, partner_id: PartnerId) -> Iterator[tuple[str, str]]:
        for service in self.config.services.values():
            if service.partner_id != partner_id or service.deleted:
                continue
            for spec in service.upstreams:
                if spec.zone != self.zone:
                    continue
                known = self.members.agent(service.service_id, spec.upstream_id)
                missing = known is None or known.state is MemberState.STOPPED
                state = "missing" if missing else known.state.value
                yield f"{service.service_id}/{spec.upstream_id}", state

    def _undeclared(self, partner_id: PartnerId) -> Iterator[str]:
        for service_id, upstreams in self.members.agents.items():
            service = self.config.service(service_id)
            declared = {} if service is None else service.weights()
            for upstream_id, node_id in upstreams.items():
                known = self.members.by_node[node_id]
                own = known.partner_id == partner_id and known.zone == self.zone
                if (
                    own
                    and known.state not in ABSENT_STATES
                    and upstream_id not in declared
                ):
                    yield f"{service_id}/{upstream_id}"
