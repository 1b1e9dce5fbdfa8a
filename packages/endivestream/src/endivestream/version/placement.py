"""Plans the loads that give models their minimum number of copies. Pure.

This first planner only makes models reachable: a model with fewer copies than
its rule requires is loaded where memory is free, models without any copy
first. It never unloads; moving copies according to demand comes with issue 6.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

from endivestream.version import ledger
from endivestream.version import rules as rules_lib


class Load(NamedTuple):
    """A planned order to load a model.

    Attributes:
        target: Name of the target.
        incarnation: The target's incarnation at planning time.
        model: Model to load.
        memory: Size of the model, in MiB.
        reason: Reason of the load, for the log.
    """

    target: str
    incarnation: int
    model: str
    memory: int
    reason: str


class Unplaced(NamedTuple):
    """A required copy that fits on no target.

    Attributes:
        model: The model.
        memory: Size of the model, in MiB.
        largest_free: Maximum of free memory on one live target, in MiB.
    """

    model: str
    memory: int
    largest_free: int


class Plan(NamedTuple):
    """Loads to order, and copies that fit on no target."""

    loads: list[Load]
    unplaced: list[Unplaced]


class LoadRateLimiter:
    """Token bucket that limits loads to the rate of the weight store.

    The store slows down all concurrent loads when they exceed its rate
    (symptom: after the loss of a failure domain every model is late, instead
    of the first ones being ready early).
    """

    def __init__(self, *, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = 1.0
        self._refilled_at = now

    def available(self, now: float) -> int:
        """Returns how many loads may start now; at most a second's worth."""
        added = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(max(1.0, self._rate), self._tokens + added)
        self._refilled_at = max(self._refilled_at, now)
        return int(self._tokens)

    def take(self, loads: int) -> None:
        """Takes the tokens of loads that start."""
        self._tokens -= loads


def plan(
    models: Mapping[str, rules_lib.Model],
    targets: Mapping[str, ledger.Target],
    *,
    live: Collection[str],
    max_loads: int,
    max_new: int,
) -> Plan:
    """Plans loads for models that lack copies.

    Args:
        models: The models of the rules, by name.
        targets: The targets of the ledger, by name.
        live: Names of targets that report and are not draining.
        max_loads: Maximum of concurrent orders, including those of the ledger
            that are not confirmed yet.
        max_new: Maximum of new orders; see `LoadRateLimiter`.

    Returns:
        New loads within both limits, and copies that fit on no target.
    """
    free_memory = {
        name: targets[name].memory - targets[name].reserved_mib
        for name in live
        if name in targets
    }
    holders_by_model: dict[str, set[str]] = {}
    unconfirmed = 0
    for name in free_memory:
        for model, entry in targets[name].entries.items():
            holders_by_model.setdefault(model, set()).add(name)
            unconfirmed += not entry.loaded
    budget = min(max_new, max(0, max_loads - unconfirmed))
    loads: list[Load] = []
    unplaced: list[Unplaced] = []
    # Models without a copy come first, and among those the large ones, which
    # fit on the fewest targets.
    missing_copies = sorted(
        (len(holders_by_model.get(m.name, ())) + extra, -m.memory, m.name)
        for m in models.values()
        for extra in range(m.copies - len(holders_by_model.get(m.name, ())))
    )
    for copies, negative_memory, name in missing_copies:
        memory = -negative_memory
        holders = holders_by_model.setdefault(name, set())
        domains = {targets[holder].domain for holder in holders}
        candidates = [
            (targets[t].domain in domains, -free, t)
            for t, free in free_memory.items()
            if free >= memory and t not in holders
        ]
        if not candidates:
            largest_free = max(free_memory.values(), default=0)
            unplaced.append(Unplaced(name, memory, largest_free))
            continue
        if len(loads) >= budget:
            continue
        # Prefers another failure domain, then the target with the most free
        # memory.
        chosen = min(candidates)[2]
        free_memory[chosen] -= memory
        holders.add(chosen)
        reason = "no_copy" if copies == 0 else "too_few_copies"
        loads.append(
            Load(chosen, targets[chosen].incarnation, name, memory, reason)
        )
    return Plan(loads, unplaced)
