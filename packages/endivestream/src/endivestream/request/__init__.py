"""Handling of requests: admission, scheduling, limits and relaying."""
