"""Random histories with faults, in which every guarantee must hold.

``HISTORIES`` sets the number of random seeds. Without it the seeds are fixed:
Hypothesis derives them from the source text of the test function, so a change
of its name, docstring or code also changes the seeds.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck, Phase, given, settings, strategies as st
from scenario import run_history

HISTORIES = int(os.environ.get("HISTORIES", "2000"))


@settings(
    max_examples=HISTORIES,
    derandomize="HISTORIES" not in os.environ,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=[HealthCheck.too_slow],
    print_blob=False,
)
@given(seed=st.integers(min_value=0, max_value=2**63))
def test_history_keeps_every_promise(seed: int) -> None:
    """Guards against a broken promise under any mix of faults."""
    found = run_history(seed).violations()
    assert not found, f"seed {seed}:\n" + "\n".join(found)
