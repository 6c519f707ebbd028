"""Direct mode (direct server return): answers bypass the balancer.

A balancer sends each packet of a caller unchanged to the agent beside an
upstream. The agent forwards it to the upstream and sends the answers directly
to the caller. The classes here do no input or output themselves: the time is
an argument of their methods, and they send through the callables that they
are given.
"""
