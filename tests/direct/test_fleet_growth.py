"""What a balancer sends for one flow does not grow with the fleet.

The deployments have up to 136 agents today; the aim is 3,800.
"""

from __future__ import annotations

import pytest
from codec import TestCodec, flow_tuple, pack
from network import SERVICE, ZONE

from bramleydyke.direct.constants import CANDIDATES, MAX_LOOKUP_AGENTS
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.lookups import Lookups
from bramleydyke.direct.messages import Announcement, HolderQuery
from bramleydyke.direct.types import Lifetime, NodeIp, UpstreamState
from bramleydyke.types import ServiceId, UpstreamId

UPSTREAMS_PER_SERVICE = 109
SIZES = [30, 136, 300, 1_000, 4_000]


class Fleet:
    """Lookups of one balancer over a directory of many agents.

    Attributes:
        queries: Number of queries sent.
        resets: Flows that were reset.
    """

    def __init__(self, agents: int) -> None:
        self.directory = Directory(ZONE, complete=True)
        for number in range(agents):
            group = number // UPSTREAMS_PER_SERVICE
            announcement = Announcement(
                node=NodeIp(f"10.{number // 250}.0.{number % 250}"),
                zone=ZONE,
                service=ServiceId(f"other-{group}") if group else SERVICE,
                upstream=UpstreamId(f"u{number}"),
                lifetime=Lifetime(1),
                sequence=1,
                revision=1,
                state=UpstreamState.READY,
            )
            self.directory.apply(announcement, now=0.0, from_agent=False)
        self.queries = 0
        self.asked: list[NodeIp] = []
        self.resets: list[object] = []
        self.lookups = Lookups(
            directory=self.directory,
            send=self.send,
            reset=self.resets.append,
            count=lambda name: None,
            record=lambda event, **inputs: None,
        )

    def send(self, node: NodeIp, message: object) -> None:
        assert isinstance(message, HolderQuery)
        self.queries += 1
        self.asked.append(node)

    def look_up(self, number: int, *, holder: NodeIp | None) -> None:
        """Runs a lookup whose agents answer at once; None: no one holds it."""
        flow = flow_tuple(number)
        packet = TestCodec().from_caller(pack(flow=flow, acknowledged=7, payload=b"x"))
        now = float(number)
        self.lookups.packet_in(packet, [SERVICE], now=now)
        for _ in range(4):
            self.lookups.wake(now=now)
            asked, self.asked = self.asked, []
            if holder in asked:
                self.lookups.found(flow)
                return
            for node in asked:
                self.lookups.absent(flow, node, now=now)
            now += 0.01


@pytest.mark.parametrize("agents", SIZES)
def test_a_lookup_of_a_held_flow_asks_few_agents(agents):
    fleet = Fleet(agents)
    for number in range(50):
        owners = fleet.directory.owners(SERVICE, flow_tuple(number))
        before = fleet.queries
        fleet.look_up(number, holder=owners[number % CANDIDATES])
        limit = CANDIDATES if agents > 16 else agents
        assert fleet.queries - before <= limit


@pytest.mark.parametrize("agents", [n for n in SIZES if n <= MAX_LOOKUP_AGENTS])
def test_a_lost_flow_is_reset_in_a_fleet_that_can_be_asked(agents):
    """Guards against callers that wait in vain.

    With 136 agents, only those of the flow's services were asked, and its
    caller waited until its deadline.
    """
    fleet = Fleet(agents)
    fleet.look_up(1, holder=None)
    assert len(fleet.resets) == 1


@pytest.mark.parametrize("agents", [n for n in SIZES if n > MAX_LOOKUP_AGENTS])
def test_a_lost_flow_costs_only_the_agents_of_its_services_in_a_large_fleet(agents):
    fleet = Fleet(agents)
    fleet.look_up(1, holder=None)
    assert fleet.queries == UPSTREAMS_PER_SERVICE
    assert not fleet.resets


def test_fleets_of_today_can_be_asked():
    assert MAX_LOOKUP_AGENTS >= 300
