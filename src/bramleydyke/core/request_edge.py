"""Handling of callers' requests at a balancer."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from bramleydyke.constants import (
    MAX_REQUEST_TIMEOUT_S,
    MIN_CALLER_RETRY_S,
    PAUSE_THRESHOLD_S,
)
from bramleydyke.core.config import ConfigStore, ServiceConfig
from bramleydyke.core.limits import PartnerLimits
from bramleydyke.core.pause_detector import PauseDetector
from bramleydyke.core.placement import Placement, placement_numbers
from bramleydyke.core.placer import Placer
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.messages import (
    Answer,
    AnswerCaller,
    Count,
    Envelope,
    RefuseCaller,
    RequestAbandoned,
    RequestArrived,
)
from bramleydyke.types import (
    LOCAL_CALLER,
    LOCAL_METRICS,
    Incarnation,
    NodeId,
    PartnerId,
    RequestId,
)


@dataclass(frozen=True, slots=True)
class _WaitingCaller:
    caller: int
    partner_id: PartnerId


@dataclass(slots=True, kw_only=True)
class RequestEdge:
    """Creates placements for callers' requests and returns the results.

    Attributes:
        node_id: Node id of the balancer.
        incarnation: Incarnation of the balancer, part of the request ids that
            the balancer generates.
        config: Configuration, to find the service of an address.
        placer: Offers the requests to agents. Its ``on_ended`` must call
            ``ended``.
        limits: Limits and counts the requests in flight of each partner.
        callers: Waiting caller of each placement, by placement number.
        placement_by_caller: Placement number by the number of the waiting
            caller.
        pause_detector: Detects pauses of the process, which may have delayed
            callers' messages.
    """

    node_id: NodeId
    incarnation: Incarnation
    config: ConfigStore
    placer: Placer
    limits: PartnerLimits
    callers: dict[int, _WaitingCaller] = field(default_factory=dict)
    placement_by_caller: dict[int, int] = field(default_factory=dict)
    pause_detector: PauseDetector = field(default_factory=PauseDetector)
    _placement_numbers: Iterator[int] = field(init=False)

    def __post_init__(self) -> None:
        self._placement_numbers = placement_numbers(self.incarnation)

    def arrived(self, message: RequestArrived, *, now: float) -> list[Envelope]:
        """Starts the placement of a caller's request, or refuses it."""
        service_id = self.config.by_address.get(message.address)
        service = None if service_id is None else self.config.service(service_id)
        if service is None:
            return self._refuse_unplaced(message, ErrorKind.NO_SERVICE, now=now)
        if not self.limits.start_request(service.partner_id):
            return self._refuse_unplaced(message, ErrorKind.PARTNER_LIMIT, now=now)
        placement = self._make_placement(message, service, now=now)
        self.callers[placement.number] = _WaitingCaller(
            message.caller, service.partner_id
        )
        self.placement_by_caller[message.caller] = placement.number
        return self.placer.place(placement, now=now)

    def abandoned(self, message: RequestAbandoned, *, now: float) -> list[Envelope]:
        """Cancels the request of a caller that has disconnected."""
        number = self.placement_by_caller.get(message.caller)
        return [] if number is None else self.placer.cancel(number, now=now)

    def ended(
        self, placement: Placement, result: Answer | ErrorKind, now: float
    ) -> list[Envelope]:
        """Sends the answer or the error of a placement to its caller."""
        waiting = self.callers.pop(placement.number)
        self.placement_by_caller.pop(waiting.caller, None)
        self.limits.end_request(waiting.partner_id)
        if isinstance(result, ErrorKind):
            return self._refuse(waiting.caller, result)
        answer = AnswerCaller(caller=waiting.caller, payload=result.payload)
        return [Envelope(self.node_id, LOCAL_CALLER, answer)]

    def _make_placement(
        self, message: RequestArrived, service: ServiceConfig, *, now: float
    ) -> Placement:
        number = next(self._placement_numbers)
        keyed = _keyed(message)
        generated_id = f"{self.node_id}/{self.incarnation}/{number}"
        request_id = f"key/{message.request_id}" if keyed else generated_id
        repetition = self._may_be_repetition(message, now=now)
        valid_s = 0.0 if repetition else MIN_CALLER_RETRY_S - PAUSE_THRESHOLD_S
        return Placement(
            number=number,
            request_id=RequestId(request_id),
            partner_id=service.partner_id,
            service_id=service.service_id,
            generation=self.config.generation(service.partner_id),
            idempotent=message.idempotent,
            keyed=keyed,
            first_attempt_until=now + valid_s,
            deadline=now + min(message.timeout, MAX_REQUEST_TIMEOUT_S),
            payload=message.payload,
            earlier_may_have_run=repetition,
        )

    def _may_be_repetition(self, message: RequestArrived, *, now: float) -> bool:
        """Returns whether an earlier attempt of the request may have run.

        Right after a pause of this process, this is also possible for a first
        attempt: its message may have waited here for so long that the caller
        has repeated the request at another balancer.
        """
        first = message.first_attempt and not self.pause_detector.recent_pause(now=now)
        return _keyed(message) and not first

    def _refuse_unplaced(
        self, message: RequestArrived, kind: ErrorKind, *, now: float
    ) -> list[Envelope]:
        """Refuses a request that was never placed.

        If an earlier attempt may have run, the caller gets ``RECORD_UNKNOWN``
        instead of ``kind``, which means that the request did not run.
        """
        repetition = self._may_be_repetition(message, now=now)
        reported = ErrorKind.RECORD_UNKNOWN if repetition else kind
        count = Count(name=counter_name(kind))
        counted = Envelope(self.node_id, LOCAL_METRICS, count)
        return [*self._refuse(message.caller, reported), counted]

    def _refuse(self, caller: int, kind: ErrorKind) -> list[Envelope]:
        refusal = RefuseCaller(caller=caller, kind=kind)
        count = Count(name=counter_name(kind, action="answered"))
        return [
            Envelope(self.node_id, LOCAL_CALLER, refusal),
            Envelope(self.node_id, LOCAL_METRICS, count),
        ]


def _keyed(message: RequestArrived) -> bool:
    """Returns whether the request is keyed.

    A keyed request has an id from its caller and is not idempotent, so
    repetitions of it must be recognised.
    """
    return message.request_id is not None and not message.idempotent
