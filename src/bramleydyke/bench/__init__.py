"""Benchmarks that ``make bench`` runs.

Each benchmark is a module with a ``measure`` function. The other modules hold
the simulations and helpers that the benchmarks share.
"""
