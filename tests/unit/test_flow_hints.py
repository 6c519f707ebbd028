"""Eviction and expiry of the flow hints of a balancer."""

from __future__ import annotations

from bramleydyke.constants import FLOW_IDLE_S
from bramleydyke.core.flow_hints import ACTIVE_FLOW_S, FlowHints
from bramleydyke.types import FlowId, UpstreamId

OWNER = UpstreamId("u0")


def test_full_cache_evicts_the_least_recently_used_inactive_flow() -> None:
    """The cache must stay bounded without evicting active flows."""
    hints = FlowHints(max_flows=2)
    hints.add(FlowId(1), OWNER, now=0.0)
    hints.add(FlowId(2), OWNER, now=0.0)
    assert hints.add(FlowId(3), OWNER, now=ACTIVE_FLOW_S / 2) is None
    used = hints.get(FlowId(1), now=ACTIVE_FLOW_S / 2)
    used.seen = ACTIVE_FLOW_S / 2
    assert hints.add(FlowId(3), OWNER, now=ACTIVE_FLOW_S) is not None
    assert list(hints.entries) == [1, 3]


def test_idle_hint_expires_and_late_reset_is_ignored() -> None:
    """An idle flow must not count as broken, and late resets have no effect.

    A reset is late if a confirmed hint already names another owner.
    """
    hints = FlowHints()
    hints.add(FlowId(1), OWNER, now=0.0).confirmed = True
    assert hints.drop(FlowId(1), UpstreamId("u1")) is None
    assert hints.get(FlowId(1), now=FLOW_IDLE_S) is not None
    assert hints.get(FlowId(1), now=FLOW_IDLE_S + 1.0) is None
    assert not hints.entries
