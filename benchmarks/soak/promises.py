"""What hosts owe a target after its answers, for both kinds of targets."""

from __future__ import annotations

import dataclasses

# From this time after a refusal on, a host must keep to its Retry-After.
_REACTION_SECONDS = 0.5
# Requests of one host that may still arrive between that time and the end.
_MAX_REQUESTS = 2


@dataclasses.dataclass(kw_only=True)
class Backoff:
    """A refusal of one host that named a Retry-After.

    Attributes:
        start: Time of the answer.
        end: Time until which the target accepts nothing from the host.
        arrivals: Requests of the host since, once it must have reacted.
    """

    start: float
    end: float
    arrivals: int = 0

    def covers(self, now: float) -> bool:
        """Whether the host must have reacted and the backoff has not ended."""
        return self.start + _REACTION_SECONDS < now < self.end

    def record_arrival(self) -> bool:
        """Counts a request; returns whether it is one too many."""
        self.arrivals += 1
        return self.arrivals > _MAX_REQUESTS
