"""Input and output: sockets, HTTP, the platform's API, counters, logs."""
