"""The placement planner: which model to load where. A pure function.

This first planner only makes models reachable: a model with fewer copies than
its rule asks for is loaded where memory is free, models without any copy
first. It never unloads; moving copies after demand comes with issue 6.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

from endivestream.version import ledger
from endivestream.version import rules as rules_lib


class Load(NamedTuple):
    """An order to propose.

    Attributes:
        target: Target's name.
        incarnation: The incarnation planned for.
        model: Model to load.
        memory: Its size in MiB.
        reason: Why, for the log line.
    """

    target: str
    incarnation: int
    model: str
    memory: int
    reason: str


class Unplaced(NamedTuple):
    """A copy that has no room.

    Attributes:
        model: The model.
        memory: Its size in MiB.
        largest_free: The most free memory on one live target, in MiB.
    """

    model: str
    memory: int
    largest_free: int


class Plan(NamedTuple):
    """What to do, and what cannot be done."""

    loads: list[Load]
    unplaced: list[Unplaced]


class Pace:
    """How many loads the weight store's rate allows now.

    The store slows all loads down when asked too fast (symptom: after a lost
    domain every model comes late, in place of the first ones soon).
    """

    def __init__(self, *, rate: float, now: float) -> None:
        self._rate = rate
        self._credit = 1.0
        self._at = now

    def allowed(self, now: float) -> int:
        """Returns how many loads may start now; at most a second's worth."""
        gained = max(0.0, now - self._at) * self._rate
        self._credit = min(max(1.0, self._rate), self._credit + gained)
        self._at = max(self._at, now)
        return int(self._credit)

    def started(self, loads: int) -> None:
        """Notes loads that start."""
        self._credit -= loads


def plan(
    models: Mapping[str, rules_lib.Model],
    targets: Mapping[str, ledger.Target],
    *,
    live: Collection[str],
    most_loads: int,
    most_new: int,
) -> Plan:
    """Plans loads for models that lack copies.

    Args:
        models: The models of the rules, by name.
        targets: The ledger's targets, by name.
        live: Names of targets that report and are not draining.
        most_loads: How many orders may be under way at once, those of the
            ledger that are not confirmed yet included.
        most_new: How many orders may be added now; see `Pace`.

    Returns:
        New loads, at most as many as the budget leaves, and copies without
        room.
    """
    free = {
        name: targets[name].memory - targets[name].held
        for name in live
        if name in targets
    }
    held: dict[str, set[str]] = {}
    under_way = 0
    for name in free:
        for model, entry in targets[name].entries.items():
            held.setdefault(model, set()).add(name)
            under_way += not entry.loaded
    budget = min(most_new, max(0, most_loads - under_way))
    loads: list[Load] = []
    unplaced: list[Unplaced] = []
    # Models without a copy come first, and among those the large ones, which
    # fit in the fewest places.
    missing = sorted(
        (len(held.get(m.name, ())) + extra, -m.memory, m.name)
        for m in models.values()
        for extra in range(m.copies - len(held.get(m.name, ())))
    )
    for copies, negative, name in missing:
        memory = -negative
        holders = held.setdefault(name, set())
        domains = {targets[holder].domain for holder in holders}
        fitting = [
            (targets[t].domain in domains, -room, t)
            for t, room in free.items()
            if room >= memory and t not in holders
        ]
        if not fitting:
            largest = max(free.values(), default=0)
            unplaced.append(Unplaced(name, memory, largest))
            continue
        if len(loads) >= budget:
            continue
        # Another failure domain first, then the emptiest target.
        chosen = min(fitting)[2]
        free[chosen] -= memory
        holders.add(chosen)
        reason = "no_copy" if copies == 0 else "too_few_copies"
        loads.append(
            Load(chosen, targets[chosen].incarnation, name, memory, reason)
        )
    return Plan(loads, unplaced)
