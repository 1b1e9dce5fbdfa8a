"""Forecast of the wait for a slot of one engine. Does no I/O.

Load pattern: more callers than slots. A request that waits until its caller has
left costs the caller the time in which it could have come back.
"""

from __future__ import annotations

import math

# Weight of the last observation in the moving averages. The average covers
# about one filling of an engine of 16 slots.
_WEIGHT = 0.1
# The same for the time between two requests, which varies more.
_ARRIVAL_WEIGHT = 0.05
# Shorter runs are attempts that ended before the engine ran them.
_MIN_RUN_SECONDS = 0.02
# Minimum share of the freed slots that is left to a rank, whatever arrives of
# more urgent ranks: that demand ends when its callers are refused.
_MIN_RATE_SHARE = 0.1


class SlotForecast:
    """Measures how long slots are held, and how often each rank asks."""

    def __init__(self) -> None:
        self._run_seconds: float | None = None
        self._intervals: dict[int, float] = {}
        self._last_arrivals: dict[int, float] = {}

    @property
    def run_seconds(self) -> float | None:
        """Mean time for which a slot is held; None if none was freed yet."""
        return self._run_seconds

    def record_run(self, seconds: float) -> None:
        """Records for how long a slot was held."""
        if seconds < _MIN_RUN_SECONDS:
            return
        if self._run_seconds is None:
            self._run_seconds = seconds
        self._run_seconds += _WEIGHT * (seconds - self._run_seconds)

    def record_arrival(self, rank: int, now: float) -> None:
        """Records that a request has asked for a slot."""
        last = self._last_arrivals.get(rank)
        self._last_arrivals[rank] = now
        if last is None:
            return
        interval = self._intervals.setdefault(rank, now - last)
        self._intervals[rank] += _ARRIVAL_WEIGHT * (now - last - interval)

    def arrival_rate(self, rank: int, now: float) -> float:
        """Returns the requests a second of a rank."""
        interval = self._intervals.get(rank)
        if interval is None:
            return 0.0
        return 1.0 / max(interval, now - self._last_arrivals[rank], 1e-3)

    def freed_rate(self, *, rank: int, capacity: int, now: float) -> float:
        """Returns the slots a second that are freed for a rank.

        Args:
            rank: The rank; more urgent ones take theirs first.
            capacity: Number of requests that the engine gets at a time.
            now: Current time.

        Returns:
            The rate; infinite as long as no slot was freed.
        """
        if self._run_seconds is None:
            return math.inf
        rate = max(1, capacity) / self._run_seconds
        urgent = sum(
            self.arrival_rate(other, now)
            for other in self._intervals
            if other < rank
        )
        return max(_MIN_RATE_SHARE * rate, rate - urgent)

    def late_wait_seconds(
        self,
        *,
        ahead: int,
        overtaking: int,
        rank: int,
        freed_rate: float,
        now: float,
    ) -> float:
        """Returns the expected wait of a request that later ones overtake.

        Args:
            ahead: Number of waiting requests that go first.
            overtaking: Maximum number of later requests that go first.
            rank: Rank of these requests.
            freed_rate: Slots a second that are freed for the rank.
            now: Current time.
        """
        longest = (ahead + overtaking + 1) / freed_rate
        left = freed_rate - self.arrival_rate(rank, now)
        return min(longest, (ahead + 1) / left) if left > 0 else longest
