"""Small stand-ins for targets, for tests, the demo and benchmarks."""
