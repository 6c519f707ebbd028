"""The answers to callers for each kind of error."""

from __future__ import annotations

from bramleydyke.errors import ANSWERS, ErrorKind


def test_every_error_kind_has_an_answer() -> None:
    """Guards against an error kind without status code and outcome."""
    assert set(ANSWERS) == set(ErrorKind)
