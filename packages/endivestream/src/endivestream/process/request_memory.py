"""Memory that the requests of all listeners of a process hold."""

from __future__ import annotations

from collections.abc import Callable

from endivestream import clock
from endivestream.request.buffering import budget as budget_lib

# Reason of a refusal by a host that has no memory for a request.
NO_MEMORY = "no_memory"


class RequestMemory:
    """Holds requests within a budget, and drops unfinished ones for others."""

    def __init__(self, *, budget: budget_lib.Budget) -> None:
        self._budget = budget
        self._on_drop: dict[int, Callable[[], None]] = {}

    @property
    def held(self) -> int:
        """Bytes held for all requests."""
        return self._budget.held_for_requests

    def open(self, on_drop: Callable[[], None]) -> int:
        """Returns the key of a request.

        Args:
            on_drop: Called if the request is dropped before it is complete.
        """
        key = self._budget.open_request(clock.now())
        self._on_drop[key] = on_drop
        return key

    def hold(self, key: int, size: int) -> bool:
        """Holds a part of a request, if there is or can be made room for it."""
        now = clock.now()
        if self._budget.hold(key, size, now):
            return True
        for other in self._budget.find_droppable(key, size, now):
            self._on_drop[other]()
        return self._budget.hold(key, size, now)

    def complete(self, key: int) -> None:
        """Records that a request has been read; it is not dropped any more."""
        self._budget.complete_request(key)

    def release(self, key: int) -> None:
        """Releases all that is held for a request."""
        self._budget.release(key)
        del self._on_drop[key]
