"""Virtual time: a queue of actions."""

from __future__ import annotations

from collections.abc import Callable
import heapq


class VirtualClock:
    """Runs actions in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def call_in(self, seconds: float, action: Callable[[], None]) -> None:
        """Runs an action after some seconds."""
        self._count += 1
        heapq.heappush(self._actions, (self.now + seconds, self._count, action))

    def call_every(self, seconds: float, action: Callable[[], None]) -> None:
        """Runs an action periodically."""

        def run() -> None:
            action()
            self.call_in(seconds, run)

        self.call_in(seconds, run)

    def run(self, until: float) -> None:
        """Runs all actions up to a time."""
        while self._actions and self._actions[0][0] <= until:
            self.now, _, action = heapq.heappop(self._actions)
            action()
