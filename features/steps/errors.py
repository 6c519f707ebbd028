"""Steps that check the table of answers to callers."""

from __future__ import annotations

from behave import given, then

from bramleydyke.errors import ANSWERS, ErrorKind


@given("all error kinds")
def step_kinds(context):
    context.kinds = list(ErrorKind)


@then("each kind has an HTTP error status, an outcome and an action")
def step_answers(context):
    for kind in context.kinds:
        answer = ANSWERS[kind]
        assert 400 <= answer.http_status < 600, kind
        assert answer.outcome.value in ("not-run", "unknown"), kind
        assert answer.action, kind
