"""Adapter to the users' platform: packets, store, reports and configuration.

Only this package uses the names of the platform's protocol. It makes no
load-balancing decisions; it translates packets, calls and documents to and
from the types of ``bramleydyke.direct``.
"""
