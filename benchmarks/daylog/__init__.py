"""Summarizes the logs of a run: unserved requests by time and reason."""
