"""Tests of what a process does around its start."""

from __future__ import annotations

import gc

from bramleydyke.daemons.direct import end_startup


def test_collections_skip_the_objects_of_the_startup():
    gc.disable()
    try:
        end_startup()
        assert gc.isenabled()
        assert gc.get_freeze_count() > 10_000
        assert len(gc.get_objects()) < 1_000
    finally:
        gc.unfreeze()
        gc.enable()
