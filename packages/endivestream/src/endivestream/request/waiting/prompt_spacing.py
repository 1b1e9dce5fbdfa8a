"""When an engine with few slots gets its next prompt. Pure.

Load pattern: several prompts reach an engine while streams run there. An engine
reads prompts within the steps that generate tokens, so the prompts that are
read between two events of a stream lengthen the pause between them. Running
requests alone do not: the steps of an event take 40 to 70 ms with 16 of them,
whereas two long prompts take 300 ms.

Prompts are sent in groups. The prompts of a group may be read within one pause
of a stream, so together they take less than the shortest gap objective of the
engine's streams. The next group is sent when the group has been read and every
stream has had an event since, so that no pause contains prompts of two groups.

Prompts take their turns in the order in which the queue for slots grants them,
which is by rank. An engine with many slots has no such queue; its prompts are
spread by `request/turns.py`.
"""

from __future__ import annotations

import collections
import itertools
import statistics
from typing import NamedTuple

from endivestream.request import turns

# Share of the gap objective that a group fills at most: read times vary by a
# few percent, and events are relayed after a few milliseconds.
_GAP_SHARE = 0.9
# Samples of one engine that are kept, the number from which on they count, and
# the number after which the engine's speed is determined again.
_MAX_SAMPLES = 40
_MIN_SAMPLES = 8
_SAMPLES_PER_FIT = 8
# Pairs of samples show the speed if their prompts differ by this many tokens.
# With less, the difference in time shows the duration of steps.
_MIN_PAIR_TOKENS = 400.0
_MIN_PAIRS = 8
# Limits of what an engine's answers may show, in tokens per second and in
# seconds for the steps of one event.
_TOKENS_PER_SECOND = (3_500.0, 100_000.0)
_EVENT_SECONDS = (0.01, 0.15)
# Engines that have had no prompt for this time are removed.
_IDLE_RETENTION_SECONDS = 60.0


class EngineSpeed(NamedTuple):
    """How long an engine takes until the first event of an answer.

    Attributes:
        event_seconds: Time for the steps of one event.
        tokens_per_second: Prompt tokens that it reads per second.
    """

    event_seconds: float
    tokens_per_second: float


_START_SPEED = EngineSpeed(0.05, turns.START_PACE_TOKENS)


class _Engine:
    """Samples of an engine, and the last group of prompts sent to it.

    Attributes:
        speed: Its speed; None with too few samples.
        gap: Shortest gap objective of its streams, in seconds; 0 if none.
        last_at: When the last prompt is sent.
        read_until: When the last group has been read.
        group_seconds: Time to read the last group.
    """

    def __init__(self) -> None:
        self.speed: EngineSpeed | None = None
        self.gap = 0.0
        self.last_at = 0.0
        self.read_until = 0.0
        self.group_seconds = 0.0
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )
        self._unused_samples = 0

    def record(self, tokens: float, seconds: float) -> None:
        """Records the time until the first event of an answer."""
        self._samples.append((tokens, seconds))
        self._unused_samples += 1
        if (
            len(self._samples) >= _MIN_SAMPLES
            and self._unused_samples >= _SAMPLES_PER_FIT
        ):
            self._unused_samples = 0
            self.speed = _fit(list(self._samples)) or self.speed


class PromptSpacing:
    """Turns of prompts at the engines whose slots this host grants."""

    def __init__(self) -> None:
        self._engines: dict[str, _Engine] = {}

    def __repr__(self) -> str:
        return f"<PromptSpacing at {len(self._engines)} engines>"

    def speed(self, target: str) -> EngineSpeed:
        """Returns the speed of an engine.

        An engine without samples gets the medians of the others.
        """
        own = self._engines.get(target)
        if own is not None and own.speed is not None:
            return own.speed
        known = [e.speed for e in self._engines.values() if e.speed is not None]
        if not known:
            return _START_SPEED
        return EngineSpeed(
            statistics.median(speed.event_seconds for speed in known),
            statistics.median(speed.tokens_per_second for speed in known),
        )

    def record_start(self, target: str, tokens: float, seconds: float) -> None:
        """Records how long an engine took until a prompt's first event."""
        engine = self._engines.get(target)
        if engine is not None and tokens > 0 and seconds > 0:
            engine.record(tokens, seconds)

    def is_too_long(self, target: str, tokens: float, gap: float) -> bool:
        """Returns whether a prompt alone makes streams pause for too long.

        That is not known of an engine without samples.

        Args:
            target: The engine.
            tokens: Length of the prompt.
            gap: Gap objective of its stream, in seconds; 0 if it has none.
        """
        engine = self._engines.get(target)
        if engine is None or engine.speed is None:
            return False
        gap = min(gap or engine.gap, engine.gap or gap)
        seconds = (
            tokens / engine.speed.tokens_per_second + engine.speed.event_seconds
        )
        return 0 < _GAP_SHARE * gap < seconds

    def take(self, target: str, tokens: float, gap: float, now: float) -> float:
        """Returns the seconds that a prompt should wait for its turn.

        Args:
            target: The engine.
            tokens: Length of the prompt; 0 for one that takes no turn.
            gap: Gap objective of its stream, in seconds; 0 if it has none.
            now: The time.
        """
        if tokens <= 0:
            return 0.0
        # The engine with the oldest turn is the first one.
        engine = self._engines.pop(target, None) or _Engine()
        self._engines[target] = engine
        self._remove_idle(now)
        if gap > 0:
            engine.gap = min(gap, engine.gap or gap)
        speed = self.speed(target)
        seconds = tokens / speed.tokens_per_second
        sent_at = max(now, engine.last_at)
        next_group_at = engine.read_until + speed.event_seconds
        room = _GAP_SHARE * engine.gap - speed.event_seconds
        is_in_group = sent_at < next_group_at
        if is_in_group and engine.gap and engine.group_seconds + seconds > room:
            sent_at, is_in_group = next_group_at, False
        if is_in_group:
            engine.group_seconds += seconds
        else:
            engine.group_seconds = seconds
        engine.read_until = max(engine.read_until, sent_at) + seconds
        engine.last_at = sent_at
        return sent_at - now

    def _remove_idle(self, now: float) -> None:
        oldest = next(iter(self._engines))
        last_at = self._engines[oldest].last_at
        # The only one just got a prompt, also if it was idle before.
        if len(self._engines) > 1 and last_at < now - _IDLE_RETENTION_SECONDS:
            del self._engines[oldest]


def _fit(samples: list[tuple[float, float]]) -> EngineSpeed | None:
    """Returns the speed that samples show; None if prompts are too alike.

    The median of the slopes of all pairs (Theil-Sen) is not changed by a few
    prompts that waited for others or were found in the engine's cache.

    Args:
        samples: Tokens of prompts, and the seconds until their first events.
    """
    slopes = [
        (one[1] - other[1]) / (one[0] - other[0])
        for one, other in itertools.combinations(samples, 2)
        if abs(one[0] - other[0]) >= _MIN_PAIR_TOKENS
    ]
    if len(slopes) < _MIN_PAIRS:
        return None
    slowest, fastest = _TOKENS_PER_SECOND
    slope = min(1 / slowest, max(1 / fastest, statistics.median(slopes)))
    shortest, longest = _EVENT_SECONDS
    # Waits for other prompts are part of it, so it is rather too long: with a
    # lower quantile than the median, more streams pause.
    event_seconds = statistics.median(
        seconds - tokens * slope for tokens, seconds in samples
    )
    return EngineSpeed(min(longest, max(shortest, event_seconds)), 1 / slope)
