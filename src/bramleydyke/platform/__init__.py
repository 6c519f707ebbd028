"""Adapter to the users' platform: its packets, store, reports and settings.

Nothing outside this package knows the platform's names. The package decides
nothing; it translates into the types of ``bramleydyke.direct``.
"""
