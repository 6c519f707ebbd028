"""Adapters that do all input and output: sockets, HTTP, metrics, logs."""
