"""All interleavings of small systems of the direct mode."""

from __future__ import annotations

import pytest
from direct_model import DirectSystem
from explorer import MAX_STATES, explore

from bramleydyke.direct.types import NodeIp

BALANCERS = [NodeIp("b1"), NodeIp("b2")]
AGENT = NodeIp("a1")


def start_agent(system: DirectSystem) -> None:
    system.start_agent(AGENT)


def pause_agent(system: DirectSystem) -> None:
    system.pause_agent(AGENT)


def announce(system: DirectSystem) -> None:
    system.announce(AGENT)


def report_first(system: DirectSystem) -> None:
    system.report(AGENT, lifetime=5)


def report_first_late(system: DirectSystem) -> None:
    system.report_late(AGENT, lifetime=5)


def report_drain(system: DirectSystem) -> None:
    system.report(AGENT, lifetime=5, draining=True)


def report_second(system: DirectSystem) -> None:
    system.report(AGENT, lifetime=9)


def end_first(system: DirectSystem) -> None:
    system.deregister(AGENT)


def copy_store(system: DirectSystem) -> None:
    system.store.take_copy()


def restore_store(system: DirectSystem) -> None:
    system.store.restore()


SCRIPTS = {
    "start": [start_agent, report_first],
    "replacement": [end_first, report_second],
    "crash": [report_second, report_first_late],
    "drain and agent restart": [report_drain, start_agent],
    "drain and late report": [report_drain, report_first_late],
    "agent restart and replacement": [start_agent, report_second],
    "planned agent restart": [pause_agent, start_agent, announce],
    "end and agent restart": [end_first, start_agent, report_second],
    "drain lost in a restore": [copy_store, report_drain, restore_store],
    "end lost in a restore": [copy_store, end_first, restore_store],
    "upstream lost in a restore": [copy_store, report_second, restore_store],
    "restore and agent restart": [
        copy_store,
        report_second,
        restore_store,
        start_agent,
    ],
    "restore and replacement": [copy_store, end_first, restore_store, report_second],
}
"""What happens, in this order, between the messages and answers of the nodes.

All but the first start when every node knows the upstream of lifetime 5.
"""


def new_system(name: str, *, lost_answers: int) -> DirectSystem:
    script = [(step.__name__, step) for step in SCRIPTS[name]]
    system = DirectSystem(names=BALANCERS, script=script, lost_answers=lost_answers)
    if name != "start":
        start_agent(system)
        report_first(system)
        system.deliver_all()
    return system


@pytest.mark.parametrize("lost_answers", [0, 1])
@pytest.mark.parametrize("name", SCRIPTS)
def test_guarantees_hold_in_every_order(name, lost_answers):
    explored = explore(
        lambda: new_system(name, lost_answers=lost_answers), max_states=MAX_STATES
    )
    print(explored.states, explored.depth, explored.complete)
    assert {step.__name__ for step in SCRIPTS[name]} <= explored.labels
