"""Keys of requests: how often sent, and when answered and outlived. Pure.

A part of prompts that ends targets ends each one that begins to answer it, so
one process that answers it and lives on clears it. The content of requests that
many callers send is cleared by a complete answer. Times are seconds.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

from endivestream.request import open_attempts

# A process has outlived an answer when it runs for this long after the
# beginning of the answer.
OUTLIVED_SECONDS = 1.0
# Time for which a key counts as answered.
_ANSWERED_SECONDS = 60.0
# Maximum number of keys; those answered longest ago are dropped first.
_MAX_KEYS = 8192


class _Complete(NamedTuple):
    """A complete answer whose process has to live on.

    Attributes:
        outlived_at: From when the process has outlived it.
        process: The process.
        keys: Keys of its request.
    """

    outlived_at: float
    process: open_attempts.TargetProcess
    keys: tuple[str, ...]


class KeyHistory:
    """Keys of requests that one entry host has sent to targets."""

    def __init__(self) -> None:
        self._sends: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._answered_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._complete: collections.deque[_Complete] = collections.deque()

    def record_sent(self, parts: Iterable[str]) -> None:
        """Records that a request with some parts is sent."""
        for part in parts:
            self._sends[part] = self._sends.get(part, 0) + 1
            self._sends.move_to_end(part)
        while len(self._sends) > _MAX_KEYS:
            self._sends.popitem(last=False)

    def sends(self, part: str) -> int:
        """Returns how many requests with a part were sent."""
        return self._sends.get(part, 0)

    def record_complete(
        self,
        process: open_attempts.TargetProcess,
        keys: tuple[str, ...],
        began_at: float,
    ) -> None:
        """Records a complete answer; it counts once its process outlives it."""
        self._complete.append(
            _Complete(began_at + OUTLIVED_SECONDS, process, keys)
        )

    def record_process_end(self, process: open_attempts.TargetProcess) -> None:
        """Records that a process has ended."""
        self._complete = collections.deque(
            each for each in self._complete if each.process != process
        )

    def record_outlived(self, keys: Iterable[str], now: float) -> None:
        """Records keys of an answer that its process has outlived."""
        for key in keys:
            self._answered_at[key] = now
            self._answered_at.move_to_end(key)
        while len(self._answered_at) > _MAX_KEYS:
            self._answered_at.popitem(last=False)

    def take_outlived(self, now: float) -> Collection[str]:
        """Returns the keys of answers that were outlived since the last call.

        These answers were complete earlier.
        """
        outlived: set[str] = set()
        while self._complete and self._complete[0].outlived_at <= now:
            outlived.update(self._complete.popleft().keys)
        self.record_outlived(outlived, now)
        return outlived

    def is_answered(self, key: str, now: float) -> bool:
        """Returns whether a key was answered lately."""
        answered_at = self._answered_at.get(key)
        return answered_at is not None and now - answered_at < _ANSWERED_SECONDS
