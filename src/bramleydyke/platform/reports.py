"""Decodes the liveness reports of upstreams."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from bramleydyke.direct.types import Lifetime
from bramleydyke.direct.upstream_view import Report
from bramleydyke.types import ServiceId, UpstreamId

_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class _LivenessReport(msgspec.Struct):
    service: str
    address: str
    state: Literal["ready", "draining"]
    sequence: _NonNegativeInt
    born: _NonNegativeInt
    """Start time of the upstream, in Unix milliseconds."""

    slots: Annotated[int, msgspec.Meta(ge=1)] = 1
    cold_remaining_ms: float = 0.0


def read_report(upstream: str, body: bytes) -> Report:
    """Returns an upstream's report; unknown fields are ignored.

    Args:
        upstream: Id of the upstream, from the path of the request.
        body: JSON body of the request.

    Raises:
        ValueError: The body is not JSON, or a field is missing, mistyped or
            out of range.
    """
    report = msgspec.json.decode(body, type=_LivenessReport)
    return Report(
        upstream=UpstreamId(upstream),
        service=ServiceId(report.service),
        lifetime=Lifetime(report.born),
        sequence=report.sequence,
        draining=report.state == "draining",
        slots=report.slots,
        cold_s=report.cold_remaining_ms / 1_000,
    )
