"""Retry budget and backoff. Pure."""

from __future__ import annotations

import random

# Retries available before requests have earned any, so that a host with little
# traffic can still retry.
_INITIAL_CREDIT = 10.0
# Credit is capped, so that a long time without failures does not permit a burst
# of retries.
_MAX_CREDIT = 100.0


class RetryBudget:
    """Retries as a share of recent requests.

    When targets fail for all requests, retries would multiply the load by the
    number of attempts when capacity is lowest (symptom: a short fault that
    does not end). The share bounds the extra load.
    """

    def __init__(self, *, share: float) -> None:
        self._share = share
        self._credit = _INITIAL_CREDIT

    @property
    def credit(self) -> float:
        """Retries that may be made now."""
        return self._credit

    def count_request(self) -> None:
        """Counts a first attempt."""
        self._credit = min(_MAX_CREDIT, self._credit + self._share)

    def take_retry(self) -> bool:
        """Takes one retry, if there is credit."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


def backoff(
    attempt: int,
    *,
    rng: random.Random,
    base: float = 0.02,
    max_bound: float = 1.0,
) -> float:
    """Returns the seconds before the next attempt, with full jitter.

    Args:
        attempt: Attempts made so far, from 1.
        rng: Source of the jitter.
        base: The upper bound after one attempt, in seconds.
        max_bound: The maximum upper bound, in seconds.
    """
    return rng.uniform(0.0, min(max_bound, base * 2 ** (attempt - 1)))
