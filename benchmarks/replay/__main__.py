"""Compares policies on load patterns in virtual time.

    python -m replay PATTERN [--seeds 5] [--seconds 24] [--policies a,b]

A policy is a version of the deciders; see `POLICIES`. For each policy it prints
means over the seeds: the share of value that callers got (0.3 of an answer's
value if it was late), the shares of answers in time, with a late first event,
with a pause above the bound, and unserved, the shares in time of the ranks 0 to
2, the model loads from store, disk and memory, and the mean and longest time of
a planning round in milliseconds. With `--by-rank` it prints the results of each
rank instead; see `replay.by_rank`.
"""

from __future__ import annotations

import argparse
from collections.abc import Mapping
import statistics
import time
from typing import Any
from typing import NamedTuple

from endivestream.version import document as document_lib
from endivestream.version import plan as plan_lib
from endivestream.version import plan_types
import msgspec

from replay import by_rank
from replay import engine as engine_lib
from replay import patterns
from replay import site as site_lib

_MAX_GAP_SECONDS = 0.3
_LATE_VALUE = 0.3
_EXTRA_SECONDS = 8.0


def _plan_by_rate(
    *, capacity: document_lib.EngineCapacity, **arguments: Any
) -> plan_types.PlanResult:
    """Plans as for engines with many slots."""
    return plan_lib.plan(
        capacity=msgspec.structs.replace(capacity, slots=64), **arguments
    )


POLICIES = {"current": plan_lib.plan, "by_rate": _plan_by_rate}


class Result(NamedTuple):
    """Result of one run, as shares of all requests."""

    value: float
    in_time: float
    late_first: float
    paused: float
    unserved: float
    rank0: float
    rank1: float
    rank2: float
    store: float
    disk: float
    memory: float
    plan_ms: float
    plan_max_ms: float


def replay(pattern: str, policy: str, seed: int, seconds: float) -> Result:
    """Replays one pattern once."""
    times: list[float] = []
    requests, loads = _run(pattern, policy, seed, seconds, times)
    return _result(requests, loads, times)


def _run(
    pattern: str, policy: str, seed: int, seconds: float, times: list[float]
) -> tuple[list[engine_lib.Request], Mapping[str, int]]:
    """Replays one pattern once; returns its requests and loads."""
    shape = patterns.PATTERNS[pattern].shape
    requests = patterns.draw(
        patterns.PATTERNS[pattern], seed, seconds, site_lib.HOSTS
    )

    def plan(**arguments: Any) -> plan_types.PlanResult:
        started_at = time.perf_counter()
        result = POLICIES[policy](**arguments)
        times.append(1e3 * (time.perf_counter() - started_at))
        return result

    site = site_lib.Site(seed=seed, shape=shape, plan=plan)
    extra = max(_EXTRA_SECONDS, *(kind.objective for kind in shape.kinds))
    site.run(requests, shape.idle_seconds + seconds + extra)
    return requests, site.loads


def _result(
    requests: list[engine_lib.Request],
    loads: Mapping[str, int],
    times: list[float],
) -> Result:
    ranks: dict[int, list[bool]] = {0: [], 1: [], 2: []}
    got = in_time = late_first = paused = unserved = 0.0
    for request in requests:
        if request.ended_at is None or request.first_event_at is None:
            unserved += 1
            ranks[request.rank].append(False)
            continue
        wait = request.first_event_at - request.arrived_at
        has_pause = request.longest_gap > _MAX_GAP_SECONDS
        is_late_first = wait > request.objective
        paused += has_pause
        late_first += is_late_first
        is_in_time = not has_pause and not is_late_first
        in_time += is_in_time
        ranks[request.rank].append(is_in_time)
        got += request.value * (1.0 if is_in_time else _LATE_VALUE)
    total = len(requests)
    return Result(
        got / max(1.0, sum(request.value for request in requests)),
        in_time / total,
        late_first / total,
        paused / total,
        unserved / total,
        *(statistics.mean(each or [False]) for each in ranks.values()),
        *(loads[source] for source in ("store", "disk", "memory")),
        statistics.mean(times),
        max(times),
    )


def _print_by_rank(options: argparse.Namespace) -> None:
    print("pattern policy rank " + " ".join(by_rank.COLUMNS))
    for pattern in options.pattern:
        for policy in options.policies.split(","):
            runs = [
                by_rank.summarize(
                    _run(pattern, policy, seed, options.seconds, [])[0]
                )
                for seed in range(options.seeds)
            ]
            for name in runs[0]:
                columns = zip(*(run[name] for run in runs), strict=True)
                cells = [f"{statistics.mean(each):.3f}" for each in columns]
                print(pattern, policy, name, *cells, flush=True)


def main() -> None:
    """Prints a table of policies."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("pattern", choices=patterns.PATTERNS, nargs="+")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--by-rank", action="store_true")
    options = parser.parse_args()
    if options.by_rank:
        _print_by_rank(options)
        return
    print("pattern policy " + " ".join(Result._fields))
    for pattern in options.pattern:
        for policy in options.policies.split(","):
            results = [
                replay(pattern, policy, seed, options.seconds)
                for seed in range(options.seeds)
            ]
            means = [statistics.mean(c) for c in zip(*results, strict=True)]
            errors = [
                statistics.stdev(c) / len(results) ** 0.5
                if len(results) > 1
                else 0.0
                for c in zip(*results, strict=True)
            ]
            cells = [
                f"{m:.3f}±{e:.3f}" for m, e in zip(means, errors, strict=True)
            ]
            print(pattern, policy, *cells, flush=True)


if __name__ == "__main__":
    main()
