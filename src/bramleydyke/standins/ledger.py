"""What ran at the upstream stand-ins, counted from the payloads."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from bramleydyke.types import ServiceId


class Work(msgspec.Struct, frozen=True):
    """Body of a request that a stand-in can recognise."""

    id: str
    """The caller's own id of the work, the same in each repetition."""

    service: ServiceId
    """The service that the caller means."""

    idempotent: bool = False
    """True if the work may run twice."""


@dataclass(slots=True)
class Ledger:
    """Counts of one or several upstreams.

    Attributes:
        runs: Number of runs of each non-idempotent piece of work.
        wrong_service: Payloads that were meant for another service.
        unrecognised: Payloads that no caller stand-in sent.
    """

    runs: Counter[str] = field(default_factory=Counter)
    idempotent_runs: int = 0
    wrong_service: int = 0
    unrecognised: int = 0

    def record_run(self, body: bytes, *, service_id: ServiceId) -> None:
        """Counts a run at an upstream of a service."""
        try:
            work = msgspec.json.decode(body, type=Work)
        except msgspec.DecodeError:
            self.unrecognised += 1
            return
        self.check_service(work.service, service_id=service_id)
        if work.idempotent:
            self.idempotent_runs += 1
        else:
            self.runs[work.id] += 1

    def check_service(self, intended: ServiceId, *, service_id: ServiceId) -> None:
        """Counts a payload that was meant for another service."""
        if intended != service_id:
            self.wrong_service += 1

    def ran_twice(self) -> int:
        """Returns how many non-idempotent pieces of work ran twice."""
        return sum(1 for runs in self.runs.values() if runs > 1)
