"""Steps that run the fault matrix; see tests/history/matrix.py."""

from __future__ import annotations

from behave import step, then
from matrix import FAULTS, STEPS, Report, pairs


def run(context, name, combinations):
    """Adds the cells of one step to the scenario's report."""
    if not hasattr(context, "report"):
        context.report = Report()
    context.report.run(name, combinations)


@step('each fault occurs once while a request is at "{name}"')
def step_once(context, name):
    run(context, name, [(fault,) for fault in FAULTS])
    context.exercised |= context.report.exercised


@step('each fault occurs twice while a request is at "{name}"')
def step_twice(context, name):
    run(context, name, [(fault, fault) for fault in FAULTS])


@step('{count:d} pairs of faults occur while a request is at "{name}"')
def step_pairs(context, count, name):
    run(context, name, pairs(name, count))


@then("every guarantee held")
def step_kept(context):
    assert not context.report.broken, "\n".join(context.report.broken)


@then('every fault had an effect at "{name}"')
def step_took_effect(context, name):
    missing = {(name, fault) for fault in FAULTS} - context.exercised
    assert not missing, f"faults without effect: {sorted(missing)}"


@then("every fault had an effect at every step")
def step_complete(context):
    cells = {(name, fault) for name in STEPS for fault in FAULTS}
    missing = cells - context.exercised
    assert not missing, f"faults without effect: {sorted(missing)}"
