"""The replicated state, its consensus log, and placement planning."""
