"""Steps that run the fault matrix; see tests/history/matrix.py."""

from __future__ import annotations

from behave import step, then
from matrix import FAULTS, STEPS, Report, pairs


def run_cells(context, name, combinations):
    """Adds the cells of one step to the scenario's report."""
    if not hasattr(context, "report"):
        context.report = Report()
    context.report.run(name, combinations)


@step('each fault occurs once while a request is at "{name}"')
def step_once(context, name):
    run_cells(context, name, [(fault,) for fault in FAULTS])
    context.effective_pairs |= context.report.effective_pairs


@step('each fault occurs twice while a request is at "{name}"')
def step_twice(context, name):
    run_cells(context, name, [(fault, fault) for fault in FAULTS])


@step('{count:d} pairs of faults occur while a request is at "{name}"')
def step_pairs(context, count, name):
    run_cells(context, name, pairs(name, count))


@then("every guarantee held")
def step_kept(context):
    assert not context.report.failures, "\n".join(context.report.failures)


@then('every fault had an effect at "{name}"')
def step_took_effect(context, name):
    missing = {(name, fault) for fault in FAULTS} - context.effective_pairs
    assert not missing, f"faults without effect: {sorted(missing)}"


@then("every fault had an effect at every step")
def step_complete(context):
    cells = {(name, fault) for name in STEPS for fault in FAULTS}
    missing = cells - context.effective_pairs
    assert not missing, f"faults without effect: {sorted(missing)}"
