"""The balancer's side of requests: callers and their placements."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from bramleydyke.constants import (
    FIRST_ATTEMPT_VALID_S,
    MAX_REQUEST_TIMEOUT_S,
    STALL_S,
)
from bramleydyke.core.config import ConfigStore, ServiceConfig
from bramleydyke.core.limits import PartnerLimits
from bramleydyke.core.placement import Placement, placement_numbers
from bramleydyke.core.placer import Placer
from bramleydyke.core.stalls import StallWatch
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
class _Waiting:
    caller: int
    partner_id: PartnerId


@dataclass(slots=True, kw_only=True)
class RequestEdge:
    """Callers that wait at one balancer.

    Attributes:
        placer: Places the requests; calls ``ended`` at the end of each.
        limits: Requests in flight of each partner.
        waiting: Caller of each placement.
        numbers: Placement of each caller.
        stalls: Tells whether callers' messages may have waited here.
    """

    node_id: NodeId
    incarnation: Incarnation
    config: ConfigStore
    placer: Placer
    limits: PartnerLimits
    waiting: dict[int, _Waiting] = field(default_factory=dict)
    numbers: dict[int, int] = field(default_factory=dict)
    stalls: StallWatch = field(default_factory=StallWatch)
    _numbers: Iterator[int] = field(init=False)

    def __post_init__(self) -> None:
        self._numbers = placement_numbers(self.incarnation)

    def arrived(self, message: RequestArrived, *, now: float) -> list[Envelope]:
        """Starts to place a caller's request, or refuses it."""
        service_id = self.config.by_address.get(message.address)
        service = None if service_id is None else self.config.service(service_id)
        if service is None:
            return self._refuse_unplaced(message, ErrorKind.NO_SERVICE, now=now)
        if not self.limits.start_request(service.partner_id):
            return self._refuse_unplaced(message, ErrorKind.PARTNER_LIMIT, now=now)
        placement = self._placement(message, service, now=now)
        self.waiting[placement.number] = _Waiting(message.caller, service.partner_id)
        self.numbers[message.caller] = placement.number
        return self.placer.place(placement, now=now)

    def abandoned(self, message: RequestAbandoned, *, now: float) -> list[Envelope]:
        """Cancels the request of a caller that went away."""
        number = self.numbers.get(message.caller)
        return [] if number is None else self.placer.cancel(number, now=now)

    def ended(
        self, placement: Placement, result: Answer | ErrorKind, now: float
    ) -> list[Envelope]:
        """Tells a caller how its request ended."""
        waiting = self.waiting.pop(placement.number)
        self.numbers.pop(waiting.caller, None)
        self.limits.end_request(waiting.partner_id)
        if isinstance(result, ErrorKind):
            return self._refuse(waiting.caller, result)
        answer = AnswerCaller(caller=waiting.caller, payload=result.payload)
        return [Envelope(self.node_id, LOCAL_CALLER, answer)]

    def _placement(
        self, message: RequestArrived, service: ServiceConfig, *, now: float
    ) -> Placement:
        number = next(self._numbers)
        keyed = _keyed(message)
        made_id = f"{self.node_id}/{self.incarnation}/{number}"
        request_id = f"key/{message.request_id}" if keyed else made_id
        repeats = self._may_repeat(message, now=now)
        valid = 0.0 if repeats else FIRST_ATTEMPT_VALID_S - STALL_S
        return Placement(
            number=number,
            request_id=RequestId(request_id),
            partner_id=service.partner_id,
            service_id=service.service_id,
            generation=self.config.generation(service.partner_id),
            idempotent=message.idempotent,
            keyed=keyed,
            first_attempt_until=now + valid,
            deadline=now + min(message.timeout, MAX_REQUEST_TIMEOUT_S),
            payload=message.payload,
            earlier_may_have_run=repeats,
        )

    def _may_repeat(self, message: RequestArrived, *, now: float) -> bool:
        """Tells whether an earlier attempt of the request may have run.

        The caller of a first attempt that waited while this process was
        paused may have repeated it at another balancer.
        """
        first = message.first_attempt and not self.stalls.doubtful(now=now)
        return _keyed(message) and not first

    def _refuse_unplaced(
        self, message: RequestArrived, kind: ErrorKind, *, now: float
    ) -> list[Envelope]:
        """Refuses a request of which an earlier attempt may have run."""
        repeats = self._may_repeat(message, now=now)
        told = ErrorKind.RECORD_UNKNOWN if repeats else kind
        count = Count(name=counter_name(kind))
        counted = Envelope(self.node_id, LOCAL_METRICS, count)
        return [*self._refuse(message.caller, told), counted]

    def _refuse(self, caller: int, kind: ErrorKind) -> list[Envelope]:
        refusal = RefuseCaller(caller=caller, kind=kind)
        count = Count(name=counter_name(kind, action="answered"))
        return [
            Envelope(self.node_id, LOCAL_CALLER, refusal),
            Envelope(self.node_id, LOCAL_METRICS, count),
        ]


def _keyed(message: RequestArrived) -> bool:
    """Tells whether a repetition of the request must be recognised."""
    return message.request_id is not None and not message.idempotent
