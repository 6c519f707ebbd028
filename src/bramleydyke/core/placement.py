"""State of a request that is offered to agents until one answers it."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from xxhash import xxh32_intdigest

from bramleydyke.constants import (
    ACCEPTED_POLL_S,
    BACKLOG_REPORT_TIMEOUT_S,
    MAX_UNANSWERED_OFFERS,
    OFFER_TIMEOUT_S,
)
from bramleydyke.core.backlog_probe import BacklogProbe
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

MAX_HOME_REDIRECTS = 4
"""Maximum number of redirects of a keyed request to another home agent.

The limit applies to one round of offers.
"""

MAX_DOUBLINGS = 3
"""Maximum number of times that the wait between repeated offers doubles."""


def placement_numbers(incarnation: Incarnation) -> Iterator[int]:
    """Returns an iterator over the placement numbers of one process.

    The first number depends on the incarnation. A late reply to an earlier
    incarnation therefore does not match a new placement of the same request.
    """
    return itertools.count(xxh32_intdigest(str(incarnation).encode()) << 20)


@dataclass(slots=True, kw_only=True)
class Placement:
    """State of a request that is offered to agents until one answers it.

    Attributes:
        number: Identifies the placement within its process.
        keyed: Whether the request is offered only to the home agent of its
            id.
        first_attempt_until: Time before which the caller cannot have
            repeated the request.
        deadline: Time at which the placement ends, in seconds.
        free_slot_only: Whether the request is offered only in one round and
            only to agents with a free slot.
        candidates: Upstreams that have not been offered the request in this
            round, best first.
        placed_at: Start of the placement, in seconds.
        backlogs: Backlog per slot of upstreams that reported it in this
            round or refused as busy.
        probe: Backlog queries of this round that are in progress, if any.
        probed: Whether the backlog queries of this round have been sent or
            are not needed.
        limited_offers: Number of offers in this round to upstreams that were
            chosen by their backlog.
        upstream_id: Upstream that holds the current offer, if any.
        incarnation: Incarnation of the agent that was offered the request.
        backlog_limit: Backlog per slot at which the agent refuses the offer;
            None if only its maximum queue length applies.
        ask: Sequence number of the newest message to an agent; a refusal with
            another number is ignored.
        unanswered_offers: Consecutive messages about the current offer without
            a reply; the first message does not count if it was repeated early.
        rounds: Rounds of offers that ended without success.
        repeated: Whether the early repeat of the current offer was sent, or
            is disabled.
        accepted: Whether the agent has confirmed that it holds the request.
        cancelling: Whether the caller has disconnected and the agent has not
            yet confirmed the cancellation.
        may_have_run: Whether an agent that was lost may have run the request.
        earlier_may_have_run: Whether an earlier attempt of the caller may
            have run; False once a home agent has ruled this out.
        home_redirects: Redirects to another home agent in this round.
        excluded: Upstreams that are draining or whose agents cannot be a home
            agent yet. Cleared once it contains every usable upstream.
        last_kind: Reason why the newest offer failed, reported if no other
            agent is left.
    """

    number: int
    request_id: RequestId
    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation
    idempotent: bool
    keyed: bool
    first_attempt_until: float
    deadline: float
    payload: bytes
    free_slot_only: bool = False
    candidates: list[UpstreamId] = field(default_factory=list)
    placed_at: float = 0.0
    backlogs: dict[UpstreamId, float] = field(default_factory=dict)
    probe: BacklogProbe | None = None
    probed: bool = False
    limited_offers: int = 0
    upstream_id: UpstreamId | None = None
    incarnation: Incarnation = Incarnation(0)
    backlog_limit: float | None = None
    ask: int = 0
    unanswered_offers: int = 0
    rounds: int = 0
    repeated: bool = False
    accepted: bool = False
    cancelling: bool = False
    may_have_run: bool = False
    earlier_may_have_run: bool = False
    home_redirects: int = 0
    excluded: set[UpstreamId] = field(default_factory=set)
    last_kind: ErrorKind = ErrorKind.NO_UPSTREAM

    @property
    def node_id(self) -> NodeId | None:
        """Node id of the agent that holds the current offer, if any."""
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
        """Makes an upstream the holder of the current offer.

        Args:
            upstream_id: Upstream that the request is offered to.
            incarnation: Incarnation of the agent that is offered the request.
            backlog_limit: Backlog per slot at which the agent refuses; None
                if only its maximum queue length applies.
            repeated: True disables the early repeat of the offer.
        """
        self.upstream_id = upstream_id
        self.incarnation = incarnation
        self.backlog_limit = backlog_limit
        self.unanswered_offers = 0
        self.repeated = repeated
        self.accepted = False

    def reply_wait(self, *, first_repeat_s: float) -> float:
        """Returns the seconds to wait before the offer is repeated.

        The wait before the first repeat is short; later waits grow
        exponentially.
        """
        if not self.accepted and not self.repeated:
            return first_repeat_s
        wait = ACCEPTED_POLL_S if self.accepted else OFFER_TIMEOUT_S
        return wait * 2 ** min(self.unanswered_offers, MAX_DOUBLINGS)

    def agent_lost(self, member: Announcement | None) -> bool:
        """Returns whether the agent that holds the offer is considered lost.

        True if the agent is unknown, has stopped or has restarted, or if it
        left ``MAX_UNANSWERED_OFFERS`` offers of an idempotent request
        unanswered.

        Args:
            member: Newest announcement of the agent that holds the offer,
                None if the agent is unknown.
        """
        absent = member is None or member.state is MemberState.STOPPED
        restarted = member is not None and member.incarnation != self.incarnation
        unresponsive = (
            self.idempotent and self.unanswered_offers >= MAX_UNANSWERED_OFFERS
        )
        return absent or restarted or unresponsive

    def apply_refusal(self, message: Refusal, upstream_id: UpstreamId) -> None:
        """Updates the candidates from the reason and backlog of a refusal."""
        if message.kind is ErrorKind.MOVED and self.keyed:
            self.home_redirects += 1
            if self.home_redirects <= MAX_HOME_REDIRECTS and message.home is not None:
                self.candidates.insert(0, message.home)
        elif message.kind in (ErrorKind.DRAINING, ErrorKind.NO_UPSTREAM):
            self.excluded.add(upstream_id)
        elif message.kind is ErrorKind.BUSY:
            self.backlogs[upstream_id] = message.backlog

    def begin_probe(self, *, now: float) -> BacklogQuery:
        """Starts a probe; returns the query to send to all candidates."""
        self.probed = True
        self.ask += 1
        self.probe = BacklogProbe(
            ask=self.ask,
            expires_at=now + BACKLOG_REPORT_TIMEOUT_S,
            awaited=set(self.candidates),
        )
        return BacklogQuery(
            placement=self.number, ask=self.ask, service_id=self.service_id
        )

    def end_probe(self) -> None:
        """Ends the probe and stores the backlogs that were reported.

        If any backlog was reported, candidates without a report are dropped.
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
        """Returns an offer message with the current ``ask``."""
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
        """Returns a cancellation message with the current ``ask``."""
        return CancelRequest(
            request_id=self.request_id,
            placement=self.number,
            ask=self.ask,
            incarnation=self.incarnation,
        )

    def error_to_report(self, kind: ErrorKind) -> ErrorKind:
        """Returns the error to report when the placement ends with ``kind``.

        Replaces an error that means "not run" by one with an unknown outcome
        if another agent or an earlier attempt may have run the request.
        """
        if ANSWERS[kind].outcome is Outcome.UNKNOWN:
            return kind
        if self.may_have_run:
            return ErrorKind.AGENT_SILENT
        return ErrorKind.RECORD_UNKNOWN if self.earlier_may_have_run else kind


EndedCallback = Callable[[Placement, Answer | ErrorKind, float], list[Envelope]]
"""Handles the end of a placement.

The arguments are the placement, its answer or error, and the current time.
"""


class SilentAgentCallback(Protocol):
    """Callback for an agent that did not reply to repeated offers."""

    def __call__(self, node_id: NodeId, *, now: float) -> None:
        """Handles an agent that has been silent until ``now``."""
