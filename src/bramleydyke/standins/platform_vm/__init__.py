"""Stand-ins for the users' platform: store, routers, upstreams and callers.

They speak its published protocol on 127.0.0.0/8, one address for each VM, so
that the programs run unchanged. Only these modules and the adapter know its
names.
"""
