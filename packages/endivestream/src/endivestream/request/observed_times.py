"""Observed times of answers, by a name and a route kind. Pure.

Load pattern: the pace of a service changes over minutes, and a host serves from
one request in five seconds to hundreds a second. Times are counted in a fixed
number of logarithmic buckets, and older ones lose weight as newer ones arrive.
"""

from __future__ import annotations

import math

# Lower end of the first bucket with a bound, and the ratio of the bounds of a
# bucket: a quantile is exact to 5 percent. The last bucket begins at 95 s.
_MIN_SECONDS = 0.001
_GROWTH = 1.05
_BUCKETS = 237
# Number of times at which all counts are halved. The quantile follows a changed
# pace after a few hundred answers.
_MAX_TIMES = 512.0
# Number of times below which the quantile is unknown: with fewer, the slowest
# twentieth is less than one time.
_MIN_TIMES = 20.0
# Maximum number of names and kinds; the configuration has the names.
_MAX_SERIES = 256


class _Histogram:
    """Counts of times, by logarithmic bucket."""

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKETS
        self._total = 0.0

    def record(self, seconds: float) -> None:
        index = 0
        if seconds > _MIN_SECONDS:
            index = 1 + int(math.log(seconds / _MIN_SECONDS, _GROWTH))
        self._counts[min(_BUCKETS - 1, index)] += 1.0
        self._total += 1.0
        if self._total >= _MAX_TIMES:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def quantile(self, share: float) -> float | None:
        if self._total < _MIN_TIMES:
            return None
        left = share * self._total
        for index, count in enumerate(self._counts):
            left -= count
            if left <= 0:
                return _MIN_SECONDS * _GROWTH**index
        return _MIN_SECONDS * _GROWTH**_BUCKETS


class ObservedTimes:
    """Times of this host's requests, such as those until the first byte."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], _Histogram] = {}

    def record(self, name: str, kind: str, seconds: float) -> None:
        """Records one time.

        Args:
            name: Name of the service or the route.
            kind: Kind of the route.
            seconds: The time; for what was given up, the time until then.
        """
        histogram = self._histograms.get((name, kind))
        if histogram is None:
            if len(self._histograms) >= _MAX_SERIES:
                # The name that appeared first may have been removed.
                del self._histograms[next(iter(self._histograms))]
            histogram = self._histograms[name, kind] = _Histogram()
        histogram.record(max(0.0, seconds))

    def quantile(
        self, name: str, kind: str, share: float, *, initial: float
    ) -> float:
        """Returns the time within which a share of the requests were.

        Args:
            name: Name of the service or the route.
            kind: Kind of the route.
            share: The share, from 0 to 1.
            initial: Returned until enough times are known.
        """
        histogram = self._histograms.get((name, kind))
        seconds = histogram.quantile(share) if histogram is not None else None
        return initial if seconds is None else seconds
