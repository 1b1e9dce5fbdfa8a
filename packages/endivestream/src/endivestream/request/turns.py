"""When an engine should get the next prompt. Pure, with time as an argument.

An engine reads prompts between the tokens of the requests that it runs. Each
engine has one owner among the entry hosts, which spreads the prompts of all
hosts in time; without it they come in heaps, and every stream on the engine
pauses while a heap is read. A turn is advice: whoever gets none sends anyway.
"""

from __future__ import annotations

# Prompt tokens a second that an engine is given. With more, most streams pause
# for longer than their callers count as in time.
PACE_TOKENS = 14_000.0
# What may come at once, in seconds of that pace: one long prompt or two.
AHEAD_SECONDS = 0.15
# 0 is the most urgent rank, this the least.
_LAST_RANK = 9
# Engines without a turn for so long are forgotten.
_FORGET_SECONDS = 60.0


class Turns:
    """Turns at the engines that one host owns."""

    def __init__(self) -> None:
        # For each engine and rank, until when the prompts of this rank and of
        # more urgent ones keep it busy.
        self._clocks: dict[str, list[float]] = {}

    def __repr__(self) -> str:
        return f"<Turns at {len(self._clocks)} engines>"

    def take(self, target: str, tokens: float, rank: int, now: float) -> float:
        """Returns how many seconds a prompt should wait for its turn.

        A prompt waits only behind prompts that are as urgent or more so, and
        keeps all less urgent ones waiting that come after it.

        Args:
            target: The engine.
            tokens: How long the prompt is.
            rank: 0 for the most urgent.
            now: The time.
        """
        rank = min(_LAST_RANK, max(0, rank))
        clocks = self._clocks.pop(target, [now] * (_LAST_RANK + 1))
        wait = max(0.0, clocks[rank] - AHEAD_SECONDS - now)
        for each in range(rank, _LAST_RANK + 1):
            clocks[each] = max(clocks[each], now) + tokens / PACE_TOKENS
        self._clocks[target] = clocks
        self._forget(now)
        return wait

    def _forget(self, now: float) -> None:
        """Forgets the engine that has been idle longest, if for long."""
        oldest = next(iter(self._clocks))
        if self._clocks[oldest][_LAST_RANK] < now - _FORGET_SECONDS:
            del self._clocks[oldest]
