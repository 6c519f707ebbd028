"""Direct server return: packets pass unchanged, answers skip the balancer.

A balancer sends each packet of a caller to the agent beside an upstream; the
agent hands it over and sends the upstream's packets straight to the caller.
Decisions are free of input and output: they take the time as an argument and
send through the callables that they are given.
"""
