"""What lives as long as one request: limits, scheduling, relaying."""
