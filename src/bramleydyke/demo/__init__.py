"""Demo that runs the whole system on one machine under traffic and faults."""
