"""Logic of the balancer and the agent, without input and output."""
