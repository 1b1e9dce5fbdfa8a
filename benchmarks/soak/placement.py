"""Placement under faults in virtual time: `python -m soak.placement`.

Replays the patterns of engines with few slots (`replay`) while engines crash,
also during loads, planners are away for seconds, and orders are carried out
seconds late. Reported are engines that hold more than fits into their memory,
steps for engines that execute one, and loads from the weight store above its
limit. Each seed then runs adapters under faults (`soak.adapters`): reported are
engines above their places, and runs without a load ahead of demand.
"""

from __future__ import annotations

import argparse
import collections
import random
import sys

from endivestream.version import plan as plan_lib
from endivestream.version import plan_types
from loguru import logger
from replay import patterns
from replay import site as site_lib

from soak import adapters

_PATTERNS = ("slots-calm", "slots-shift", "slots-rise", "slots-full")
_WINDOW_SECONDS = 5.0
_WINDOW_FACTOR = 1.1
# Mean seconds between faults.
_FAULT_SECONDS = 4.0
_MAX_AWAY_SECONDS = 5.0
_MIN_LATE_SECONDS = 2.0
_MAX_LATE_SECONDS = 12.0
_LATE_SHARE = 0.1


class FaultySite(site_lib.Site):
    """A site with crashes of engines, absent planners and late orders."""

    def __init__(self, *, seed: int, shape: patterns.Shape) -> None:
        super().__init__(seed=seed, shape=shape, plan=plan_lib.plan)
        self._faults = random.Random(f"faults of {seed}")
        self._away_until = 0.0
        self._store_starts: collections.deque[float] = collections.deque()
        self.violations: list[str] = []
        self.fault_counts: collections.Counter[str] = collections.Counter()
        self.clock.call_in(_FAULT_SECONDS, self._break)

    def _break(self) -> None:
        if self._faults.random() < 0.3:
            self.fault_counts["planner away"] += 1
            self._away_until = self.clock.now + self._faults.uniform(
                1.0, _MAX_AWAY_SECONDS
            )
        else:
            placed = self._faults.choice(list(self._placed.values()))
            self.fault_counts["crash"] += 1
            self.fault_counts["crash while loading"] += placed.step is not None
            # The weights on the disk and requests that run are kept.
            if placed.step is None:
                placed.loaded.clear()
                placed.in_memory.clear()
                self._push_table()
            else:
                placed.is_failed = True
        self.clock.call_in(
            self._faults.expovariate(1 / _FAULT_SECONDS), self._break
        )

    def _plan(self) -> None:
        if self.clock.now >= self._away_until:
            super()._plan()

    def _start_step(self, step: plan_types.Step) -> None:
        if self._placed[step.target].step is not None:
            self.violations.append(f"{step.target}: two steps")
        if step.from_store:
            self._check_store()
        if self._faults.random() < _LATE_SHARE:
            self.fault_counts["late order"] += 1
            late = self._faults.uniform(_MIN_LATE_SECONDS, _MAX_LATE_SECONDS)
            step = step._replace(load_seconds=step.load_seconds + late)
        super()._start_step(step)

    def _check_store(self) -> None:
        starts, now = self._store_starts, self.clock.now
        starts.append(now)
        while now - starts[0] > _WINDOW_SECONDS:
            starts.popleft()
        limit = self._shape.loads_per_second * _WINDOW_SECONDS * _WINDOW_FACTOR
        if len(starts) > limit:
            self.violations.append(f"{len(starts)} loads in the window")

    def _push_table(self) -> None:
        super()._push_table()
        self.violations += [
            f"{name}: {len(placed.loaded)} models"
            for name, placed in self._placed.items()
            if len(placed.loaded) > site_lib.RESIDENT
        ]


def _run_adapters(seed: int, seconds: float) -> int:
    """Runs adapters under faults; returns the number of violations."""
    result = adapters.run(seed=seed, seconds=seconds)
    violations = list(result.violations)
    if not result.ahead.get("loaded"):
        violations.append("no load ahead of demand")
    print(
        f"seed={seed} adapters",
        f"at_once={result.at_once / result.requests:.2f}",
        f"refused={result.refused / result.requests:.2f}",
        f"orders={result.orders}",
        {str(name): count for name, count in result.ahead.items()},
        result.faults,
        f"violations={len(violations)}",
        *violations[:3],
        flush=True,
    )
    return len(violations)


def main() -> int:
    """Runs the seeds and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("first", type=int, nargs="?", default=0)
    parser.add_argument("count", type=int, nargs="?", default=8)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    logger.remove()
    violation_count = 0
    for seed in range(options.first, options.first + options.count):
        name = _PATTERNS[seed % len(_PATTERNS)]
        pattern = patterns.PATTERNS[name]
        site = FaultySite(seed=seed, shape=pattern.shape)
        requests = patterns.draw(pattern, seed, options.seconds, site_lib.HOSTS)
        site.run(requests, pattern.shape.idle_seconds + options.seconds)
        served = sum(r.first_event_at is not None for r in requests)
        print(
            f"seed={seed} {name} served={served / len(requests):.2f}",
            dict(site.fault_counts),
            dict(site.loads),
            f"violations={len(site.violations)}",
            *site.violations[:3],
            flush=True,
        )
        violation_count += len(site.violations)
        violation_count += _run_adapters(seed, options.seconds)
    print(f"{options.count} seeds, {violation_count} violations")
    return 1 if violation_count else 0


if __name__ == "__main__":
    sys.exit(main())
