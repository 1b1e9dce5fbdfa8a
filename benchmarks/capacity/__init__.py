"""Measures the slopes behind docs/CAPACITY.md with real processes."""
