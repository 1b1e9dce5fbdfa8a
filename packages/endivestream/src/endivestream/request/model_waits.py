"""Requests of one entry host that wait for models, and what they need. Pure.

A load that takes nine seconds serves a batch caller that waits for 20 s, and
not one that leaves after 2.4 s. The planner can tell them apart only if hosts
report how long their callers still wait. Times are seconds.
"""

from __future__ import annotations

import dataclasses

Key = tuple[str, str, str]


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class Wait:
    """A request that waits for a model or adapter.

    Attributes:
        rank: Its urgency; 0 is the most urgent.
        objective: Objective of its route.
        until: Time until which it waits.
    """

    rank: int
    objective: float
    until: float


class ModelWaits:
    """Waiting requests by service, model and adapter."""

    def __init__(self) -> None:
        self._waits: dict[Key, list[Wait]] = {}

    def __repr__(self) -> str:
        return f"<ModelWaits of {len(self._waits)} models and adapters>"

    @property
    def keys(self) -> frozenset[Key]:
        """Models and adapters that requests wait for."""
        return frozenset(self._waits)

    def add(self, key: Key, wait: Wait) -> bool:
        """Adds a request; returns whether it is the only one of its key."""
        waits = self._waits.setdefault(key, [])
        waits.append(wait)
        return len(waits) == 1

    def remove(self, key: Key, wait: Wait) -> None:
        """Removes a request that no longer waits."""
        self._waits[key].remove(wait)
        if not self._waits[key]:
            del self._waits[key]

    def count(self, key: Key) -> int:
        """Returns how many requests wait."""
        return len(self._waits.get(key, ()))

    def shortest_objective(self, key: Key) -> float:
        """Returns their shortest objective; 0 if none waits."""
        return min((w.objective for w in self._waits.get(key, ())), default=0.0)

    def most_urgent_rank(self, key: Key, default: int) -> int:
        """Returns their most urgent rank."""
        return min((w.rank for w in self._waits.get(key, ())), default=default)

    def longest_patience(self, key: Key, now: float) -> float:
        """Returns how long the most patient of them still waits.

        Rounded to tenths: numbers with few digits take less space in a packed
        frame.
        """
        until = max((w.until for w in self._waits.get(key, ())), default=now)
        return round(max(0.0, until - now), 1)
