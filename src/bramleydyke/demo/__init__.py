"""The whole system on one machine, under traffic and faults."""
