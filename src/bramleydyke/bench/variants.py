"""Settings of the real cores that are measured side by side."""

from __future__ import annotations

from collections.abc import Callable

from bramleydyke.core.placement import Placer

Variant = Callable[[Placer], None]
"""Changes the settings of a placer before a run."""


def ours(_: Placer) -> None:
    """Leaves the placer as it is built."""


VARIANTS: dict[str, Variant] = {"bramleydyke": ours}
"""Variants by the name under which they are reported."""
