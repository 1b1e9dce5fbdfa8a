"""Turns: when a target should get the next request. Pure.

Load pattern: a model becomes busy, or callers return after an outage, and many
hosts send to one target at the same time.

An engine processes prompts (prefill) between the decoding steps of its running
requests; a burst of prompts pauses every stream on it. A target that answers
whole requests queues those that it has no slot for. Each target has one turn
owner among the entry hosts, which spreads the requests of all hosts in time, at
the pace that the target's answers show (`request/pace.py`). Turns are advisory:
a host that gets none sends its request anyway. Time is an argument.
"""

from __future__ import annotations

import math
import statistics

from endivestream.request import pace as pace_lib

# Permitted burst of prompts, in seconds of the pace: one or two long prompts.
MAX_BURST_SECONDS = 0.15
# 0 is the most urgent rank, this the least urgent one.
_LEAST_URGENT_RANK = 9
# Targets of which samples are kept; departed ones are removed as the oldest.
_MAX_SAMPLED_TARGETS = 1024
# Targets that have been idle for this time are removed.
_IDLE_RETENTION_SECONDS = 60.0


class Turns:
    """Turns at the targets whose turn owner is this host."""

    def __init__(self) -> None:
        # Per target and rank, the time until which requests of this rank and of
        # more urgent ones keep the target busy.
        self._busy_until: dict[str, list[float]] = {}
        self._prefill_paces: dict[str, pace_lib.PrefillPace] = {}
        self._slot_paces: dict[str, pace_lib.SlotPace] = {}

    def __repr__(self) -> str:
        return f"<Turns at {len(self._busy_until)} targets>"

    def prefill_pace(self, target: str) -> float:
        """Returns the prompt tokens a second that an engine should get.

        An engine without samples gets the median of the others.
        """
        own = self._prefill_paces.get(target)
        pace = own.tokens_per_second if own is not None else None
        if pace is not None:
            return pace
        known = [
            pace
            for other in self._prefill_paces.values()
            if (pace := other.tokens_per_second) is not None
        ]
        if known:
            return statistics.median(known)
        return pace_lib.START_TOKENS_PER_SECOND

    def record_start(self, target: str, tokens: float, seconds: float) -> None:
        """Records how long an engine took until a prompt's first event."""
        pace = self._prefill_paces.pop(target, None) or pace_lib.PrefillPace()
        pace.record(tokens, seconds)
        self._prefill_paces[target] = pace
        _remove_oldest(self._prefill_paces)

    def record_service(self, target: str, seconds: float) -> None:
        """Records the duration of a whole request that a target served."""
        pace = self._slot_paces.pop(target, None) or pace_lib.SlotPace()
        pace.record(seconds)
        self._slot_paces[target] = pace
        _remove_oldest(self._slot_paces)

    def take_prefill(
        self, target: str, tokens: float, rank: int, now: float
    ) -> float:
        """Returns the seconds that a prompt should wait for its turn.

        A prompt waits only for earlier prompts of the same or a more urgent
        rank; it delays later prompts of the same or a less urgent rank.

        Args:
            target: The engine.
            tokens: Length of the prompt.
            rank: 0 is the most urgent.
            now: The time.
        """
        return self._take(
            target,
            tokens / self.prefill_pace(target),
            burst=MAX_BURST_SECONDS,
            rank=rank,
            now=now,
            max_wait=math.inf,
        )

    def take_slot(
        self, target: str, slots: int, rank: int, now: float, max_wait: float
    ) -> float:
        """Returns the seconds that a whole request should wait for its turn.

        Ranks count as for prompts.

        Args:
            target: The target.
            slots: Requests that it processes at the same time.
            rank: 0 is the most urgent.
            now: The time.
            max_wait: Seconds that the request can wait. If its turn comes
                later, it takes none.
        """
        pace = self._slot_paces.get(target)
        seconds = pace.seconds_per_request(slots) if pace else 0.0
        return self._take(
            target,
            seconds,
            burst=slots * seconds,
            rank=rank,
            now=now,
            max_wait=max_wait,
        )

    def _take(
        self,
        target: str,
        seconds: float,
        *,
        burst: float,
        rank: int,
        now: float,
        max_wait: float,
    ) -> float:
        """Takes `seconds` of a target's time; returns the wait for them."""
        rank = min(_LEAST_URGENT_RANK, max(0, rank))
        busy_until = self._busy_until.pop(
            target, [now] * (_LEAST_URGENT_RANK + 1)
        )
        self._busy_until[target] = busy_until
        wait = max(0.0, busy_until[rank] - burst - now)
        if wait <= max_wait:
            for affected_rank in range(rank, _LEAST_URGENT_RANK + 1):
                busy_until[affected_rank] = (
                    max(busy_until[affected_rank], now) + seconds
                )
        self._remove_idle(now)
        return wait

    def _remove_idle(self, now: float) -> None:
        """Removes the target whose last turn is oldest, if it was long idle."""
        oldest = next(iter(self._busy_until))
        if (
            self._busy_until[oldest][_LEAST_URGENT_RANK]
            < now - _IDLE_RETENTION_SECONDS
        ):
            del self._busy_until[oldest]
            self._prefill_paces.pop(oldest, None)
            self._slot_paces.pop(oldest, None)


def _remove_oldest(paces: dict[str, object]) -> None:
    """Keeps the paces of the targets that had the latest samples."""
    if len(paces) > _MAX_SAMPLED_TARGETS:
        del paces[next(iter(paces))]
