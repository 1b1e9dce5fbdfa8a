"""Request rates of models on one entry host. Does no I/O.

The averages are kept by entry hosts, not by the planner. With the first
reports a new leader can therefore plan from the demand of the last seconds
instead of measuring it again while engines fill up. The current time is passed
as an argument.
"""

from __future__ import annotations

import dataclasses
import math

# Time constant of the averages: long enough to smooth a second without
# requests, short enough to follow a shift of demand within a few seconds.
_AVERAGING_SECONDS = 4.0
# Rates below this many requests per second are dropped: a single request
# counts for about ten seconds.
_MIN_RATE = 0.02
# Rates are rounded to multiples of this many requests per second: numbers with
# few digits take less space in a packed frame.
_RATE_STEP = 1 / 256


@dataclasses.dataclass(kw_only=True)
class _Meter:
    """Exponentially decaying count of requests.

    Attributes:
        decayed_count: Number of requests, weighted less with increasing age.
        updated_at: Time at which the count was last decayed.
        rank: Most urgent rank of the requests of the last seconds.
        ranked_at: When a request of that rank was last counted.
    """

    decayed_count: float = 0.0
    updated_at: float = 0.0
    rank: int = 0
    ranked_at: float = -math.inf

    def decay(self, now: float) -> None:
        """Reduces the weight of counted requests by their age."""
        self.decayed_count *= math.exp(
            -(now - self.updated_at) / _AVERAGING_SECONDS
        )
        self.updated_at = now


class RequestRates:
    """Request rates by service, model and adapter."""

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._meters: dict[tuple[str, str, str], _Meter] = {}

    def __repr__(self) -> str:
        return f"<RequestRates of {len(self._meters)} models and adapters>"

    def count(
        self, key: tuple[str, str, str], now: float, rank: int = 0
    ) -> None:
        """Counts one request of a rank; 0 is the most urgent."""
        meter = self._meters.setdefault(key, _Meter(updated_at=now))
        meter.decay(now)
        meter.decayed_count += 1.0
        if rank <= meter.rank or now - meter.ranked_at > _AVERAGING_SECONDS:
            meter.rank, meter.ranked_at = rank, now

    def rank(self, key: tuple[str, str, str]) -> int:
        """Returns the most urgent rank of recent requests."""
        meter = self._meters.get(key)
        return meter.rank if meter else 0

    def rates(self, now: float) -> dict[tuple[str, str, str], float]:
        """Returns the rates in requests per second.

        A process that has run for less than the averaging time divides by its
        run time; otherwise the rates would be too low at first.
        """
        seconds = _AVERAGING_SECONDS * -math.expm1(
            -max(0.1, now - self._started_at) / _AVERAGING_SECONDS
        )
        rates = {}
        for key, meter in list(self._meters.items()):
            meter.decay(now)
            rate = meter.decayed_count / seconds
            if rate < _MIN_RATE:
                del self._meters[key]
            else:
                rates[key] = round(rate / _RATE_STEP) * _RATE_STEP
        return rates
