"""Local simulations of external systems, for tests and the demo.

They cover the platform's object API, the network in front of the balancers
and the upstreams.
"""
