"""bramleydyke, a layer-4 load balancer for services of several partners."""
