"""How often each model is asked for on one host. Pure, with time given.

Hosts keep the averages, not the planner: a new leader then plans from the
demand of the last seconds with its first reports, instead of gathering it
anew while engines fill up.
"""

from __future__ import annotations

import dataclasses
import math

# Demand is averaged over about so many seconds: long enough to smooth a second
# without requests, short enough to follow a shift of a few seconds.
_AVERAGE_SECONDS = 4.0
# Rates below this many requests a second are forgotten: a single request
# counts for about ten seconds.
_LEAST_RATE = 0.02
# Rates are rounded to multiples of this many requests a second: numbers with
# few digits take less space in a packed frame.
_RATE_STEP = 1 / 256


@dataclasses.dataclass(kw_only=True)
class _Meter:
    """One average.

    Attributes:
        sum: Requests, each weighing less the longer ago it came.
        at: When the sum was last brought up to date.
    """

    sum: float = 0.0
    at: float = 0.0

    def bring_up(self, now: float) -> None:
        """Lets what was counted age."""
        self.sum *= math.exp(-(now - self.at) / _AVERAGE_SECONDS)
        self.at = now


class Meters:
    """Requests a second by service, model and adapter."""

    def __init__(self, *, now: float) -> None:
        self._since = now
        self._meters: dict[tuple[str, str, str], _Meter] = {}

    def __repr__(self) -> str:
        return f"<Meters of {len(self._meters)} models and adapters>"

    def count(self, key: tuple[str, str, str], now: float) -> None:
        """Counts one request."""
        meter = self._meters.setdefault(key, _Meter(at=now))
        meter.bring_up(now)
        meter.sum += 1.0

    def rates(self, now: float) -> dict[tuple[str, str, str], float]:
        """Returns requests a second of all that is asked for.

        A process that has run for less than the average counts only the time
        that it has run; else its first seconds would look quiet.
        """
        seconds = _AVERAGE_SECONDS * -math.expm1(
            -max(0.1, now - self._since) / _AVERAGE_SECONDS
        )
        rates = {}
        for key, meter in list(self._meters.items()):
            meter.bring_up(now)
            rate = meter.sum / seconds
            if rate < _LEAST_RATE:
                del self._meters[key]
            else:
                rates[key] = round(rate / _RATE_STEP) * _RATE_STEP
        return rates
