"""One request on its way to an agent."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from xxhash import xxh32_intdigest

from bramleydyke.core.backlog_probe import Probe
from bramleydyke.errors import ANSWERS, ErrorKind
from bramleydyke.messages import (
    CancelRequest,
    Offer,
)
from bramleydyke.types import (
    Generation,
    Incarnation,
    Outcome,
    PartnerId,
    RequestId,
    ServiceId,
    UpstreamId,
)


def placement_numbers(incarnation: Incarnation) -> Iterator[int]:
    """Returns the numbers of a process's placements.

    Each incarnation starts elsewhere, so that a late reply to an earlier one
    does not match a placement of the same request.
    """
    return itertools.count(xxh32_intdigest(str(incarnation).encode()) << 20)


@dataclass(slots=True, kw_only=True)
class Placement:
    """One request on its way to an agent.

    Attributes:
        placed_at: Start of the placement, in seconds.
        candidates: Upstreams not yet asked in this round, best first.
        backlogs: Backlog of upstreams that reported it or were busy with it.
        probe: Reports that are awaited from the other candidates.
        probed: True once a probe is of no more use in this round.
        limited_offers: Offers of this round to upstreams in ``backlogs``.
        upstream_id: The upstream that has the request now, if any.
        repeated: True once the present offer was repeated early.
        accepted: True once the agent has said that it has the request.
        may_have_run: True once an agent was left that did not refuse it.
        earlier_may_have_run: True until a home has ruled out that an earlier
            attempt of the caller ran.
        excluded: Upstreams that said they are leaving, or not yet a home;
            asked again once all others have refused too.
    """

    number: int
    request_id: RequestId
    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation
    idempotent: bool
    keyed: bool
    first_attempt_until: float
    """Until then the caller cannot have repeated the request."""

    deadline: float
    payload: bytes
    first_pass_only: bool = False
    candidates: list[UpstreamId] = field(default_factory=list)
    placed_at: float = 0.0
    backlogs: dict[UpstreamId, float] = field(default_factory=dict)
    probe: Probe | None = None
    probed: bool = False
    limited_offers: int = 0
    upstream_id: UpstreamId | None = None
    incarnation: Incarnation = Incarnation(0)
    backlog_limit: float | None = None
    ask: int = 0
    silent: int = 0
    rounds: int = 0
    repeated: bool = False
    accepted: bool = False
    cancelling: bool = False
    may_have_run: bool = False
    earlier_may_have_run: bool = False
    moves: int = 0
    excluded: set[UpstreamId] = field(default_factory=set)
    last_kind: ErrorKind = ErrorKind.NO_UPSTREAM

    def offer(self, *, now: float) -> Offer:
        """Returns the offer of the present ask."""
        return Offer(
            request_id=self.request_id,
            placement=self.number,
            ask=self.ask,
            partner_id=self.partner_id,
            service_id=self.service_id,
            generation=self.generation,
            incarnation=self.incarnation,
            idempotent=self.idempotent,
            keyed=self.keyed,
            first_attempt=now < self.first_attempt_until,
            ttl=self.deadline - now,
            backlog_limit=self.backlog_limit,
            payload=self.payload,
            waited=now - self.placed_at,
        )

    def cancel_request(self) -> CancelRequest:
        """Returns the request to cancel, with the present ask."""
        return CancelRequest(
            request_id=self.request_id,
            placement=self.number,
            ask=self.ask,
            incarnation=self.incarnation,
        )

    def certain(self, kind: ErrorKind) -> ErrorKind:
        """Returns a kind that does not say "not run" without certainty."""
        if ANSWERS[kind].outcome is Outcome.UNKNOWN:
            return kind
        if self.may_have_run:
            return ErrorKind.AGENT_SILENT
        return ErrorKind.RECORD_UNKNOWN if self.earlier_may_have_run else kind
