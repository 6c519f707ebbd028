"""Per-partner limits, which keep one partner's flood from the other's work."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from bramleydyke.types import PartnerId

REQUESTS_PER_PARTNER = 4_000
"""Requests in flight of one partner at one balancer."""

STREAMS_PER_PARTNER = 4_000
"""Byte streams of one partner at one balancer."""

FLOWS_PER_PARTNER = 400_000
"""Datagram flows of one partner that one balancer remembers."""

PACKETS_PER_PARTNER_S = 50_000.0
"""Datagrams a second from callers of one partner at one balancer."""

NEW_WORK_RESERVE = 0.25
"""Share of the packet allowance that only established flows may use."""


@dataclass(slots=True)
class TokenBucket:
    """Allowance that refills at a rate, up to one second's worth.

    Attributes:
        rate: Tokens a second.
        tokens: Tokens that are left now.
        updated_at: Time of the last refill, in seconds.
    """

    rate: float
    tokens: float
    updated_at: float

    def take(self, *, now: float, reserve: float = 0.0) -> bool:
        """Takes one token, unless no more than ``reserve`` are left."""
        tokens = self.tokens
        if now > self.updated_at:
            tokens = min(self.rate, tokens + (now - self.updated_at) * self.rate)
            self.updated_at = now
        taken = tokens >= 1.0 + reserve
        self.tokens = tokens - 1.0 if taken else tokens
        return taken


@dataclass(slots=True, kw_only=True)
class PartnerLimits:
    """What each partner may use of one balancer.

    Attributes:
        requests: Requests in flight of each partner.
        streams: Byte streams of each partner.
        packets: Datagram allowance of each partner.
    """

    max_requests: int = REQUESTS_PER_PARTNER
    max_streams: int = STREAMS_PER_PARTNER
    max_flows: int = FLOWS_PER_PARTNER
    packets_per_s: float = PACKETS_PER_PARTNER_S
    requests: Counter[PartnerId] = field(default_factory=Counter)
    streams: Counter[PartnerId] = field(default_factory=Counter)
    packets: dict[PartnerId, TokenBucket] = field(default_factory=dict)

    def start_request(self, partner_id: PartnerId) -> bool:
        """Counts a request, unless the partner has reached its limit."""
        return _start(self.requests, partner_id, self.max_requests)

    def end_request(self, partner_id: PartnerId) -> None:
        """Counts the end of a request."""
        self.requests[partner_id] -= 1

    def start_stream(self, partner_id: PartnerId) -> bool:
        """Counts a stream, unless the partner has reached its limit."""
        return _start(self.streams, partner_id, self.max_streams)

    def end_stream(self, partner_id: PartnerId) -> None:
        """Counts the end of a stream."""
        self.streams[partner_id] -= 1

    def packet_bucket(self, partner_id: PartnerId, *, now: float) -> TokenBucket:
        """Returns the datagram allowance of a partner, full at first."""
        bucket = self.packets.get(partner_id)
        if bucket is None:
            bucket = TokenBucket(self.packets_per_s, self.packets_per_s, now)
            self.packets[partner_id] = bucket
        return bucket


def _start(counts: Counter[PartnerId], partner_id: PartnerId, limit: int) -> bool:
    if counts[partner_id] >= limit:
        return False
    counts[partner_id] += 1
    return True
