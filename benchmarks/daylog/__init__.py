"""Reads a run's logs into tables of what was lost, when and why."""
