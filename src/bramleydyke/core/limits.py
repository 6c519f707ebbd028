"""Per-partner limits, which keep one partner's flood from the other's work."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from bramleydyke.types import PartnerId

REQUESTS_PER_PARTNER = 4_000
"""Requests in flight of one partner at one balancer."""


@dataclass(slots=True, kw_only=True)
class PartnerLimits:
    """Requests in flight of each partner at one balancer."""

    max_requests: int = REQUESTS_PER_PARTNER
    requests: Counter[PartnerId] = field(default_factory=Counter)

    def start_request(self, partner_id: PartnerId) -> bool:
        """Counts a request, unless the partner has reached its limit."""
        if self.requests[partner_id] >= self.max_requests:
            return False
        self.requests[partner_id] += 1
        return True

    def end_request(self, partner_id: PartnerId) -> None:
        """Counts the end of a request."""
        self.requests[partner_id] -= 1
