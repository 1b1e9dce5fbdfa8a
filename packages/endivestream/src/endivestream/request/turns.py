"""Prefill turns: when an engine should get the next prompt. Pure.

Load pattern: a model becomes busy, and the hosts send its prompts to one engine
at the same time.

An engine processes prompts (prefill) between the decoding steps of its running
requests. Each engine has one turn owner among the entry hosts, which spreads
the prompts of all hosts in time; without it they arrive in bursts, and every
stream on the engine pauses during the prefill of a burst. Turns are advisory: a
host that gets none sends its prompt anyway. Time is an argument.

Engines differ in speed, so the pace at which an engine gets prompts is a share
of the prefill rate that its answers show.
"""

from __future__ import annotations

import collections
import statistics

# Prompt tokens a second that are sent to an engine before its rate is known.
START_PACE_TOKENS = 10_000.0
# Limits of the pace, as multiples of the start value. Below, the prompts of an
# engine that is slow for a moment would wait for longer than it is.
_MIN_PACE_FACTOR = 0.35
_MAX_PACE_FACTOR = 6.0
# Share of the shown prefill rate at which an engine gets prompts. With more,
# streams pause for longer than the gap that their callers count as in time.
_RATE_SHARE = 0.8
# Samples of one engine that are kept, and the number from which on they count.
_MAX_SAMPLES = 40
_MIN_SAMPLES = 8
# Quantile of the samples that is taken as the prefill rate. Most prompts also
# wait for others, which lowers their samples; those that the engine finds in
# its cache have samples that are too high.
_SAMPLE_QUANTILE = 0.8
# Shorter prompts show the duration of steps instead of the prefill rate.
_MIN_SAMPLE_TOKENS = 400.0
# Permitted burst, in seconds of the pace: one or two long prompts.
MAX_BURST_SECONDS = 0.15
# 0 is the most urgent rank, this the least urgent one.
_LEAST_URGENT_RANK = 9
# Engines that have been idle for this time are removed.
_IDLE_RETENTION_SECONDS = 60.0


class PrefillPace:
    """Pace of prompts for one engine, learned from its answers."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_MAX_SAMPLES
        )

    @property
    def tokens_per_second(self) -> float | None:
        """The pace in prompt tokens a second; None with too few samples."""
        if len(self._samples) < _MIN_SAMPLES:
            return None
        ordered = sorted(self._samples)
        rate = ordered[int(len(ordered) * _SAMPLE_QUANTILE)]
        return min(
            max(_RATE_SHARE * rate, _MIN_PACE_FACTOR * START_PACE_TOKENS),
            _MAX_PACE_FACTOR * START_PACE_TOKENS,
        )

    def record(self, tokens: float, seconds: float) -> None:
        """Records how long the engine took until a prompt's first event."""
        if tokens >= _MIN_SAMPLE_TOKENS and seconds > 0:
            self._samples.append(tokens / seconds)


class PrefillTurns:
    """Prefill turns at the engines whose turn owner is this host."""

    def __init__(self) -> None:
        self._paces: dict[str, PrefillPace] = {}
        # Per engine and rank, the time until which prompts of this rank and of
        # more urgent ones keep the engine busy.
        self._busy_until: dict[str, list[float]] = {}

    def __repr__(self) -> str:
        return f"<PrefillTurns at {len(self._busy_until)} engines>"

    def pace(self, target: str) -> float:
        """Returns the prompt tokens a second that an engine should get.

        An engine without samples gets the median of the others.
        """
        own = self._paces.get(target)
        pace = own.tokens_per_second if own is not None else None
        if pace is not None:
            return pace
        known = [
            pace
            for other in self._paces.values()
            if (pace := other.tokens_per_second) is not None
        ]
        return statistics.median(known) if known else START_PACE_TOKENS

    def record_start(self, target: str, tokens: float, seconds: float) -> None:
        """Records how long an engine took until a prompt's first event."""
        self._paces.setdefault(target, PrefillPace()).record(tokens, seconds)

    def take(self, target: str, tokens: float, rank: int, now: float) -> float:
        """Returns the seconds that a prompt should wait for its turn.

        A prompt waits only for earlier prompts of the same or a more urgent
        rank; it delays later prompts of the same or a less urgent rank.

        Args:
            target: The engine.
            tokens: Length of the prompt.
            rank: 0 is the most urgent.
            now: The time.
        """
        rank = min(_LEAST_URGENT_RANK, max(0, rank))
        busy_until = self._busy_until.pop(
            target, [now] * (_LEAST_URGENT_RANK + 1)
        )
        wait = max(0.0, busy_until[rank] - MAX_BURST_SECONDS - now)
        seconds = tokens / self.pace(target)
        for affected_rank in range(rank, _LEAST_URGENT_RANK + 1):
            busy_until[affected_rank] = (
                max(busy_until[affected_rank], now) + seconds
            )
        self._busy_until[target] = busy_until
        self._remove_idle(now)
        return wait

    def _remove_idle(self, now: float) -> None:
        """Removes the engine whose last turn is oldest, if it was long idle."""
        oldest = next(iter(self._busy_until))
        if (
            self._busy_until[oldest][_LEAST_URGENT_RANK]
            < now - _IDLE_RETENTION_SECONDS
        ):
            del self._busy_until[oldest]
            self._paces.pop(oldest, None)
