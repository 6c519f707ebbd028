"""Decisions of the balancer and the agent, free of input and output."""
