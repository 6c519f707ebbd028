"""Runs the demo: ``python -m bramleydyke.demo``."""

from __future__ import annotations

from bramleydyke.cli.programs import demo

if __name__ == "__main__":
    demo()
