"""Runnable processes: each connects one role to its sockets and timers.

A role is a balancer or an agent; its decisions are in ``core`` and ``direct``,
which do no input or output.
"""
