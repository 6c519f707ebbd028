"""One request on its way to an agent."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from xxhash import xxh32_intdigest

from bramleydyke.constants import (
    ACCEPTED_POLL_S,
    OFFER_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    SILENT_OFFERS,
)
from bramleydyke.core.backlog_probe import Probe
from bramleydyke.errors import ANSWERS, ErrorKind
from bramleydyke.messages import (
    Announcement,
    Answer,
    BacklogQuery,
    CancelRequest,
    Envelope,
    Offer,
    Refusal,
)
from bramleydyke.types import (
    Generation,
    Incarnation,
    MemberState,
    NodeId,
    Outcome,
    PartnerId,
    RequestId,
    ServiceId,
    UpstreamId,
    agent_node,
)

MAX_MOVES = 4
"""Times that a keyed request follows a pointer to another home in a round."""

MAX_DOUBLINGS = 3
"""Doublings of the wait for a reply after offers without one."""


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

    @property
    def node_id(self) -> NodeId | None:
        """The agent that has the request now, if any."""
        if self.upstream_id is None:
            return None
        return agent_node(self.service_id, self.upstream_id)

    def begin_offer(
        self,
        upstream_id: UpstreamId,
        *,
        incarnation: Incarnation,
        backlog_limit: float | None,
        repeated: bool,
    ) -> None:
        """Notes which upstream the request is offered to next.

        Args:
            upstream_id: The upstream.
            incarnation: Run of its agent that the offer is for.
            backlog_limit: Backlog above which the agent refuses.
            repeated: True if the offer is not to be repeated early.
        """
        self.upstream_id = upstream_id
        self.incarnation = incarnation
        self.backlog_limit = backlog_limit
        self.silent = 0
        self.repeated = repeated
        self.accepted = False

    def reply_wait(self, *, first_repeat_s: float) -> float:
        """Returns how long to wait for a reply, in seconds."""
        if not self.accepted and not self.repeated:
            return first_repeat_s
        wait = ACCEPTED_POLL_S if self.accepted else OFFER_TIMEOUT_S
        return wait * 2 ** min(self.silent, MAX_DOUBLINGS)

    def agent_lost(self, member: Announcement | None) -> bool:
        """Tells whether waiting for the agent any longer is useless.

        Args:
            member: What is known of the agent that has the request.
        """
        gone = member is None or member.state is MemberState.STOPPED
        restarted = member is not None and member.incarnation != self.incarnation
        silent = self.idempotent and self.silent >= SILENT_OFFERS
        return gone or restarted or silent

    def learn_from_refusal(self, message: Refusal, upstream_id: UpstreamId) -> None:
        """Notes what a refusal says about where to offer the request next."""
        if message.kind is ErrorKind.MOVED and self.keyed:
            self.moves += 1
            if self.moves <= MAX_MOVES and message.home is not None:
                self.candidates.insert(0, message.home)
        elif message.kind in (ErrorKind.DRAINING, ErrorKind.NO_UPSTREAM):
            self.excluded.add(upstream_id)
        elif message.kind is ErrorKind.BUSY:
            self.backlogs[upstream_id] = message.backlog

    def begin_probe(self, *, now: float) -> BacklogQuery:
        """Starts to wait for reports; returns the query for the candidates."""
        self.probed = True
        self.ask += 1
        self.probe = Probe(
            ask=self.ask,
            until=now + PROBE_TIMEOUT_S,
            awaited=set(self.candidates),
        )
        return BacklogQuery(
            placement=self.number, ask=self.ask, service_id=self.service_id
        )

    def end_probe(self) -> None:
        """Takes over the reports that came.

        Candidates that did not report are left out, unless none did.
        """
        probe = self.probe
        if probe is None:
            return
        self.probe = None
        self.excluded |= probe.draining
        self.backlogs |= probe.backlogs
        if probe.backlogs:
            self.candidates = []

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


Ended = Callable[[Placement, Answer | ErrorKind, float], list[Envelope]]
"""Told how and when a placement ended: the answer, or why there is none."""


class Silent(Protocol):
    """Told that an agent did not reply to repeated offers."""

    def __call__(self, node_id: NodeId, *, now: float) -> None:
        """Notes the agent."""
