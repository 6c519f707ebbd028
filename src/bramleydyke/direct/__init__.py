"""Direct server return: upstreams' answers do not pass the balancer.

A balancer sends each packet of a caller unchanged to the agent beside an
upstream. The agent hands it to the upstream and sends the upstream's packets
straight to the caller. The classes here do no input or output themselves: they
take the time as an argument and send through the callables they are given.
"""
