"""Stand-ins for callers and upstreams: packet rules of the platform."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from bramleydyke.platform.packets import ACK, RST, SYN
from bramleydyke.standins.platform_vm.traffic import (
    CallerFlow,
    Callers,
    Routers,
    Segment,
    UpstreamStandIn,
)

CALLER = ("127.0.0.1", 20_000)
ROUTE = ("198.18.0.1", 80)
INITIAL = 5_000_000


def new_flow() -> CallerFlow:
    clock = Clock()
    routers = Routers(reactor=None, clock=clock, packet_port=1, ready_port=2)
    callers = Callers(reactor=None, clock=clock, ip=CALLER[0], routers=routers)
    return CallerFlow(caller=callers, source=CALLER, target=ROUTE, sequence=1)


def reset_at(sequence: int) -> Segment:
    return Segment(ROUTE, CALLER, RST, sequence)


@pytest.mark.parametrize(
    ("sequence", "state"),
    [
        (INITIAL + 1, "reset"),
        (INITIAL + 1 + 76_800, "reset"),
        (INITIAL + 1 - 76_800, "reset"),
        (INITIAL + 2 + 76_800, "open"),
        (INITIAL - 76_800, "open"),
        (0, "open"),
    ],
)
def test_an_open_flow_ignores_resets_with_distant_numbers(sequence, state):
    """Guards against a caller that obeys the refusal of an opening packet.

    A balancer that holds a copy of the packet may refuse it after the flow has
    opened through another balancer.
    """
    flow = new_flow()
    flow.received(Segment(ROUTE, CALLER, SYN | ACK, INITIAL))
    flow.received(reset_at(sequence))
    assert flow.state == state


def test_a_flow_that_is_not_open_obeys_any_reset():
    flow = new_flow()
    flow.received(reset_at(0))
    assert flow.state == "reset"


def test_upstreams_accept_a_flow_with_different_numbers():
    """Guards against a flow that is open at two upstreams at once."""
    numbers = {
        UpstreamStandIn(
            reactor=None,
            clock=Clock(),
            name=f"i-{number}",
            service="board",
            zone="z1",
            endpoint="",
            outbound="",
            control="",
            born=0,
        ).initial_sequence((CALLER, ROUTE))
        for number in range(50)
    }
    assert len(numbers) == 50
