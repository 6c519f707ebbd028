"""Stand-ins for the users' platform: store, routers, upstreams and callers.

They speak the platform's published protocol on 127.0.0.0/8, with one address
for each VM, so that the programs run unchanged. Only this package and the
adapter in ``bramleydyke.platform`` use the names of that protocol.
"""
