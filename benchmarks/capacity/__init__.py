"""Capacity benchmarks: measures the figures behind docs/CAPACITY.md."""
