"""Counts the work that simulated upstreams received.

It shows whether work ran twice or reached the wrong service.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from bramleydyke.types import ServiceId


class Work(msgspec.Struct, frozen=True):
    """Request body that identifies a piece of work."""

    id: str
    """Id that the caller chose; repetitions of the work keep it."""

    service: ServiceId
    """Service that the caller addressed.

    The upstream compares it with its own service.
    """

    idempotent: bool = False
    """True if the work may run twice."""


@dataclass(slots=True)
class WorkCounts:
    """Counts of the work of one or several upstreams.

    Attributes:
        runs: Number of runs of each non-idempotent piece of work, by its id.
        idempotent_runs: Number of runs of idempotent work.
        wrong_service: Payloads addressed to another service.
        unrecognised: Payloads that could not be decoded.
    """

    runs: Counter[str] = field(default_factory=Counter)
    idempotent_runs: int = 0
    wrong_service: int = 0
    unrecognised: int = 0

    def record_run(self, body: bytes, *, service_id: ServiceId) -> None:
        """Counts a run of the work in a request body.

        Args:
            body: The request body.
            service_id: Service of the upstream that runs it.
        """
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
        """Counts a payload as misrouted if it was not for this service.

        Args:
            intended: Service that the caller addressed.
            service_id: Service of the upstream that received it.
        """
        if intended != service_id:
            self.wrong_service += 1

    def count_repeated_runs(self) -> int:
        """Returns how many non-idempotent pieces of work ran repeatedly."""
        return sum(1 for runs in self.runs.values() if runs > 1)
