"""Entry hosts before targets that refuse, drain and restart, in virtual time.

Requests run through the product's own forwarder; callers, connections and
targets are simulated. All draws follow from a seed.
"""
