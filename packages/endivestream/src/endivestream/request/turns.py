"""Prefill turns: when an engine should get the next prompt. Pure.

An engine processes prompts (prefill) between the decoding steps of its running
requests. Each engine has one turn owner among the entry hosts, which spreads
the prompts of all hosts in time; without it they arrive in bursts, and every
stream on the engine pauses during the prefill of a burst. Turns are advisory: a
host that gets none sends its prompt anyway. Time is an argument.
"""

from __future__ import annotations

# Prompt tokens a second that are sent to an engine. With more, most streams
# pause for longer than the gap that their callers count as in time.
PACE_TOKENS = 14_000.0
# Permitted burst, in seconds of that pace: one or two long prompts.
MAX_BURST_SECONDS = 0.15
# 0 is the most urgent rank, this the least urgent one.
_LEAST_URGENT_RANK = 9
# Engines that have been idle for this time are removed.
_IDLE_RETENTION_SECONDS = 60.0


class PrefillTurns:
    """Prefill turns at the engines whose turn owner is this host."""

    def __init__(self) -> None:
        # Per engine and rank, the time until which prompts of this rank and of
        # more urgent ones keep the engine busy.
        self._busy_until: dict[str, list[float]] = {}

    def __repr__(self) -> str:
        return f"<PrefillTurns at {len(self._busy_until)} engines>"

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
        for affected_rank in range(rank, _LEAST_URGENT_RANK + 1):
            busy_until[affected_rank] = (
                max(busy_until[affected_rank], now) + tokens / PACE_TOKENS
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
