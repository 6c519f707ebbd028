"""All interleavings of configuration changes among balancers."""

from __future__ import annotations

import pytest
from config_model import ConfigSystem
from explorer import MAX_STATES, explore

from bramleydyke.direct.types import NodeIp

BALANCERS = [NodeIp("b1"), NodeIp("b2")]


def change_routes(system: ConfigSystem) -> None:
    system.change_routes()


def restart_first(system: ConfigSystem) -> None:
    system.restart(BALANCERS[0])


def restart_second(system: ConfigSystem) -> None:
    system.restart(BALANCERS[1])


SCRIPTS = {
    "changes": [change_routes, change_routes],
    "restart with the store": [change_routes, restart_first, change_routes],
    "restart without the store": [change_routes, restart_second, change_routes],
}


def new_system(name: str, *, cut_off: set[NodeIp], lost_answers: int) -> ConfigSystem:
    return ConfigSystem(
        names=BALANCERS,
        cut_off=cut_off,
        script=[(step.__name__, step) for step in SCRIPTS[name]],
        lost_answers=lost_answers,
    )


@pytest.mark.parametrize("lost_answers", [0, 1])
@pytest.mark.parametrize("cut_off", [set(), {BALANCERS[1]}], ids=["none", "one"])
@pytest.mark.parametrize("name", SCRIPTS)
def test_versions_rise_and_reach_every_balancer(name, cut_off, lost_answers):
    explored = explore(
        lambda: new_system(name, cut_off=cut_off, lost_answers=lost_answers),
        max_states=MAX_STATES,
    )
    print(explored.states, explored.depth, explored.complete)
    assert {step.__name__ for step in SCRIPTS[name]} <= explored.labels
