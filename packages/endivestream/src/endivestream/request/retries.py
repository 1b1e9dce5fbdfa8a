"""When a request may be tried again, and how soon. Pure."""

from __future__ import annotations

import random

# Retries allowed before any request has earned some, so that a quiet host can
# still retry.
_LEAST = 10.0
# Credit is capped, so that a long quiet time does not pay for a storm.
_MOST = 100.0


class Budget:
    """Retries as a share of recent requests.

    When targets fail for everybody, retries would multiply the load by the
    number of attempts just when there is least capacity (symptom: a short
    fault that does not end). A share bounds the extra load.
    """

    def __init__(self, *, share: float) -> None:
        self._share = share
        self._credit = _LEAST

    @property
    def credit(self) -> float:
        """Retries that may be made now."""
        return self._credit

    def request(self) -> None:
        """Notes a first attempt."""
        self._credit = min(_MOST, self._credit + self._share)

    def retry(self) -> bool:
        """Takes one retry, if there is credit."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


def backoff(
    attempt: int, *, rng: random.Random, base: float = 0.02, most: float = 1.0
) -> float:
    """Returns seconds before a further attempt, with full jitter.

    Args:
        attempt: Attempts made so far, from 1.
        rng: Source of the jitter.
        base: The first upper bound, in seconds.
        most: The largest upper bound, in seconds.
    """
    return rng.uniform(0.0, min(most, base * 2 ** (attempt - 1)))
