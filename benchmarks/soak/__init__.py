"""Faults in overlapping series, which follow from a seed.

`python -m soak` runs the product's forwarder before simulated targets in
virtual time (`simulated_site`, `simulated_target`); `python -m soak.processes`
runs real processes (`processes`, `targets`, `callers`).
"""
