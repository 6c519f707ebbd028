"""Decodes the liveness reports of upstreams."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from bramleydyke.direct.entries import EntryNumber, Slots
from bramleydyke.direct.types import Lifetime
from bramleydyke.direct.upstream_view import Report
from bramleydyke.endpoints import Endpoint
from bramleydyke.types import ServiceId, UpstreamId

MAX_COLD_MS = 3_600_000.0
"""Maximum time for which an upstream is slow after its start."""


class _LivenessReport(msgspec.Struct):
    service: str
    address: Endpoint
    state: Literal["ready", "draining"]
    sequence: EntryNumber
    born: EntryNumber
    """Start time of the upstream, in Unix milliseconds."""

    slots: Slots = 1
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)] = 0.0


def read_report(upstream: str, body: bytes) -> Report:
    """Returns an upstream's report; unknown fields are ignored.

    Args:
        upstream: Id of the upstream, from the path of the request.
        body: JSON body of the request.

    Raises:
        ValueError: The body is not JSON, or a field is missing, mistyped or
            out of range.
    """
    try:
        report = msgspec.json.decode(body, type=_LivenessReport)
    except RecursionError as error:
        raise ValueError("the report is nested too deeply") from error
    return Report(
        upstream=UpstreamId(upstream),
        service=ServiceId(report.service),
        lifetime=Lifetime(report.born),
        start_ms=report.born,
        sequence=report.sequence,
        draining=report.state == "draining",
        slots=report.slots,
        cold_s=report.cold_remaining_ms / 1_000,
    )
