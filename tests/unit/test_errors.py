from __future__ import annotations

from bramleydyke.errors import ANSWERS, ErrorKind


def test_every_error_kind_has_an_answer() -> None:
    """Guards against a new error kind that reaches a caller without answer."""
    assert set(ANSWERS) == set(ErrorKind)
