"""Simulated targets for tests, the demo and benchmarks."""
