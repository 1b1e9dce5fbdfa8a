"""Pace at which a target gets requests, learned from its answers. Pure.

Targets differ in speed, and some become slower the more requests wait in them.
Times are seconds.
"""

from __future__ import annotations

import collections
import statistics

# Prompt tokens a second that are sent to an engine before its rate is known.
START_TOKENS_PER_SECOND = 10_000.0
# Limits of the pace, as multiples of the start value. Below, the prompts of an
# engine that is slow for a moment would wait for longer than it is.
_MIN_START_FACTOR = 0.35
_MAX_START_FACTOR = 6.0
# Share of the shown prefill rate at which an engine gets prompts. With more,
# streams pause for longer than the gap that their callers count as in time.
_PREFILL_RATE_SHARE = 0.8
# Quantile of the samples that is taken as the prefill rate. Most prompts also
# wait for others, which lowers their samples; those that the engine finds in
# its cache have samples that are too high.
_PREFILL_QUANTILE = 0.8
# Shorter prompts show the duration of steps instead of the prefill rate.
_MIN_SAMPLE_TOKENS = 400.0
# Share of a target's slots that requests keep busy on average. The rest absorbs
# the variation of their durations; with more, a queue in the target lengthens
# the durations that the pace is learned from.
_BUSY_SLOT_SHARE = 0.7
# Longer durations count as this long, so that a target which hung once still
# gets requests that show its recovery.
_MAX_SERVICE_SECONDS = 1.0
# Bound of the mean duration, as a multiple of the quantile of a longer period
# that shows the duration without a queue. Turns are granted for seconds ahead;
# with a slower pace during an overload, targets would be idle after it.
_MAX_MEAN_FACTOR = 3.0
_UNQUEUED_QUANTILE = 0.2
_LONG_SAMPLES = 200
# Samples of one target that are kept, and the number from which on they count.
_MAX_SAMPLES = 40
_MIN_SAMPLES = 8


class _Samples:
    """The latest values that a target's answers showed."""

    def __init__(self, count: int) -> None:
        self._values: collections.deque[float] = collections.deque(maxlen=count)

    @property
    def values(self) -> list[float]:
        """All values, or none while there are too few of them."""
        return list(self._values) if len(self._values) >= _MIN_SAMPLES else []

    def quantile(self, share: float) -> float:
        """Returns a quantile of the values, of which there must be some."""
        return sorted(self._values)[int(len(self._values) * share)]

    def add(self, value: float) -> None:
        """Adds a value in place of the oldest."""
        self._values.append(value)


class PrefillPace:
    """Pace of prompts for one engine."""

    def __init__(self) -> None:
        self._samples = _Samples(_MAX_SAMPLES)

    @property
    def tokens_per_second(self) -> float | None:
        """The pace in prompt tokens a second; None with too few samples."""
        if not self._samples.values:
            return None
        rate = self._samples.quantile(_PREFILL_QUANTILE)
        return min(
            max(
                _PREFILL_RATE_SHARE * rate,
                _MIN_START_FACTOR * START_TOKENS_PER_SECOND,
            ),
            _MAX_START_FACTOR * START_TOKENS_PER_SECOND,
        )

    def record(self, tokens: float, seconds: float) -> None:
        """Records how long the engine took until a prompt's first event."""
        if tokens >= _MIN_SAMPLE_TOKENS and seconds > 0:
            self._samples.add(tokens / seconds)


class SlotPace:
    """Pace of requests for one target that answers them as a whole.

    Load pattern: bursts of requests from many hosts. What a target has no slot
    for waits in it, and some targets slow down meanwhile. Requests then arrive
    faster than they end although few are in progress elsewhere (symptom: most
    requests are late or refused until the load falls). The pace follows the
    durations that requests have, so it falls until the target's queue is empty.
    """

    def __init__(self) -> None:
        self._recent = _Samples(_MAX_SAMPLES)
        self._long = _Samples(_LONG_SAMPLES)

    def seconds_per_request(self, slots: int) -> float:
        """Returns the time between two requests; 0 with too few samples."""
        durations = self._recent.values
        if not durations or slots < 1:
            return 0.0
        mean = min(
            statistics.fmean(durations),
            _MAX_MEAN_FACTOR * self._long.quantile(_UNQUEUED_QUANTILE),
        )
        return mean / (_BUSY_SLOT_SHARE * slots)

    def record(self, seconds: float) -> None:
        """Records the duration of a request that the target served."""
        if seconds > 0:
            self._recent.add(min(seconds, _MAX_SERVICE_SECONDS))
            self._long.add(min(seconds, _MAX_SERVICE_SECONDS))
