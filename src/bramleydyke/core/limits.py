"""Limits per partner, so that one partner cannot starve the others."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from bramleydyke.types import PartnerId

REQUESTS_PER_PARTNER = 4_000
"""Maximum number of requests in flight per partner at one balancer."""

STREAMS_PER_PARTNER = 4_000
"""Maximum number of open byte streams per partner at one balancer."""

FLOWS_PER_PARTNER = 400_000
"""Maximum number of datagram flows per partner in a balancer's table."""

PACKETS_PER_PARTNER_S = 50_000.0
"""Maximum rate of datagrams per partner at one balancer."""

ESTABLISHED_FLOW_RESERVE = 0.25
"""Fraction of a partner's packet tokens reserved for established flows."""


@dataclass(slots=True)
class TokenBucket:
    """Token bucket with a capacity of one second's tokens.

    Attributes:
        rate: Tokens added per second; also the capacity.
        tokens: Tokens left at ``updated_at``.
        updated_at: Time of the last refill, in seconds.
    """

    rate: float
    tokens: float
    updated_at: float

    def take(self, *, now: float, reserve: float = 0.0) -> bool:
        """Takes a token if at least ``reserve`` tokens remain after it.

        Returns whether a token was taken.
        """
        tokens = self.tokens
        if now > self.updated_at:
            tokens = min(self.rate, tokens + (now - self.updated_at) * self.rate)
            self.updated_at = now
        taken = tokens >= 1.0 + reserve
        self.tokens = tokens - 1.0 if taken else tokens
        return taken


@dataclass(slots=True, kw_only=True)
class PartnerLimits:
    """Limits per partner at one balancer, and the current use of each partner.

    Attributes:
        max_requests: Maximum number of requests in flight per partner.
        max_streams: Maximum number of open byte streams per partner.
        max_flows: Maximum number of datagram flows per partner.
        packets_per_s: Maximum number of datagrams per second and partner.
        requests: Number of requests in flight of each partner.
        streams: Number of open byte streams of each partner.
        packets: Token bucket of each partner's datagrams.
    """

    max_requests: int = REQUESTS_PER_PARTNER
    max_streams: int = STREAMS_PER_PARTNER
    max_flows: int = FLOWS_PER_PARTNER
    packets_per_s: float = PACKETS_PER_PARTNER_S
    requests: Counter[PartnerId] = field(default_factory=Counter)
    streams: Counter[PartnerId] = field(default_factory=Counter)
    packets: dict[PartnerId, TokenBucket] = field(default_factory=dict)

    def start_request(self, partner_id: PartnerId) -> bool:
        """Counts a request; returns False if the partner is at its limit."""
        return _increment_below(self.requests, partner_id, self.max_requests)

    def end_request(self, partner_id: PartnerId) -> None:
        """Ends a request that ``start_request`` has counted."""
        self.requests[partner_id] -= 1

    def start_stream(self, partner_id: PartnerId) -> bool:
        """Counts a stream; returns False if the partner is at its limit."""
        return _increment_below(self.streams, partner_id, self.max_streams)

    def end_stream(self, partner_id: PartnerId) -> None:
        """Ends a stream that ``start_stream`` has counted."""
        self.streams[partner_id] -= 1

    def packet_bucket(self, partner_id: PartnerId, *, now: float) -> TokenBucket:
        """Returns the token bucket of a partner's datagrams, full at first."""
        bucket = self.packets.get(partner_id)
        if bucket is None:
            bucket = TokenBucket(self.packets_per_s, self.packets_per_s, now)
            self.packets[partner_id] = bucket
        return bucket


def _increment_below(
    counts: Counter[PartnerId], partner_id: PartnerId, limit: int
) -> bool:
    if counts[partner_id] >= limit:
        return False
    counts[partner_id] += 1
    return True
