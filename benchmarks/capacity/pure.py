"""Time and memory of in-process code, against the size of its input."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from typing import Any

from endivestream.request import buckets
from endivestream.request import scheduler as scheduler_lib
from endivestream.version import calls
from endivestream.version import configuration
from endivestream.version import ledger as ledger_lib
from endivestream.version import placement
from endivestream.version import rules as rules_lib

from capacity import fit

_REPEATS = 5


def _min_seconds(workload: Any) -> float:
    """Returns the minimum time of several runs: noise only adds time."""
    min_seconds = float("inf")
    for _ in range(_REPEATS):
        gc.collect()
        started_at = time.perf_counter()
        workload()
        min_seconds = min(min_seconds, time.perf_counter() - started_at)
    return min_seconds


def _retained_bytes(build: Any) -> tuple[int, Any]:
    """Returns the memory that `build()` leaves allocated, and its result."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, result


def rules_text(models: int, teams: int = 5) -> str:
    """Returns a rules text with adapters and bindings for `models`."""
    lines = [
        f"team team{n} rate=100000 burst=400000 # capacity"
        for n in range(teams)
    ]
    for n in range(models):
        lines.append(f"model model{n} memory={100 + n % 7} # capacity")
        lines.append(f"adapter ad{n} model=model{n} memory=2 # capacity")
        lines.append(f"allow team{n % teams} model{n} ad{n} # capacity")
    return "\n".join(lines) + "\n"


def parsing() -> fit.Line:
    """Returns the seconds to parse a rules text, against its lines."""
    points = []
    for models in (50, 100, 200, 400):
        text = rules_text(models)
        seconds = _min_seconds(lambda text=text: rules_lib.parse(text))
        points.append((float(len(text.splitlines())), seconds))
    return fit.line(points)


def scheduling() -> fit.Line:
    """Returns the seconds to grant and release, against targets in the pool."""
    points = []
    for targets in (16, 64, 256, 650):
        scheduler = scheduler_lib.Scheduler()
        for n in range(targets):
            scheduler.upsert_target(
                scheduler_lib.Target(f"t{n}", frozenset(["m"]), 64, n % 9)
            )

        def workload(scheduler: scheduler_lib.Scheduler = scheduler) -> None:
            for n in range(200):
                ask = scheduler_lib.SlotRequest(
                    str(n), f"team{n % 5}", 1, "m", 100, 1e9, frozenset()
                )
                scheduler.request_slot(ask, now=0.0)
            for n in range(200):
                scheduler.release(str(n), tokens=50)
                scheduler.grant_free_slots(0.0)

        points.append((float(targets), _min_seconds(workload) / 200))
    return fit.line(points)


def bucket_memory() -> fit.Line:
    """Returns the bytes of a token bucket, against its open charges."""
    points = []
    for count in (1000, 2000, 4000, 8000):

        def build(count: int = count) -> Any:
            bucket = buckets.Bucket(rate=1, burst=10**9, now=0)
            for n in range(count):
                charge = buckets.Charge(f"host-17-1a2b3c4d-{n:x}", 500)
                bucket.charge(charge, now=0, deadline=0)
            return bucket

        points.append((float(count), float(_retained_bytes(build)[0])))
    return fit.line(points)


def call_memory() -> fit.Line:
    """Returns the bytes of call records with 200-byte responses, by count."""
    points = []
    for count in (1000, 2000, 4000, 8000):

        def build(count: int = count) -> Any:
            state = calls.Calls()
            for n in range(count):
                name = f"1790000000-{n:032x}"
                holder = f"host-17/1790000000000/{n:x}"
                state.apply(
                    calls.ClaimCall(
                        team="team1",
                        service="desk",
                        key=name,
                        fingerprint=f"{n:032x}",
                        holder=holder,
                        at=1790000000.0,
                    )
                )
                state.apply(
                    calls.CompleteCall(
                        team="team1",
                        service="desk",
                        key=name,
                        holder=holder,
                        outcome="done",
                        status=200,
                        content_type="application/json",
                        body=bytes(200),
                    )
                )
            return state

        points.append((float(count), float(_retained_bytes(build)[0])))
    return fit.line(points)


def view_memory() -> fit.Line:
    """Returns the bytes of a gateway's configuration, against models."""
    points = []
    for models in (50, 100, 200, 400):

        def build(models: int = models) -> Any:
            view = configuration.ConfigurationView()
            view.update(
                configuration.Update(
                    base=0,
                    version=1,
                    rules_version=1,
                    text=rules_text(models),
                    keys=[
                        configuration.KeyRecord(
                            f"{n:064x}", f"key{n}", "team1", 1, False, False
                        )
                        for n in range(models)
                    ],
                )
            )
            return view

        points.append((float(models), float(_retained_bytes(build)[0])))
    return fit.line(points)


def planning() -> list[dict[str, float]]:
    """Returns the planning time for several numbers of models and targets.

    Each is measured with no model placed and with all models placed.
    """
    rows = []
    rng = random.Random(7)
    for models, targets in ((48, 81), (95, 162), (190, 325), (380, 650)):
        rules = {
            f"m{n}": rules_lib.Model(f"m{n}", rng.randint(20, 60), 3, 512)
            for n in range(models)
        }
        ledger = ledger_lib.MemoryLedger()
        for n in range(targets):
            ledger.apply(
                n + 1,
                ledger_lib.RegisterTarget(
                    target=f"t{n}",
                    incarnation=1,
                    domain=f"d{n % 5}",
                    memory=640,
                    checks_fencing=True,
                    loaded={},
                ),
            )
        live = list(ledger.targets)

        def plan(
            rules: Any = rules, ledger: Any = ledger, live: Any = live
        ) -> placement.Plan:
            return placement.plan(
                rules,
                ledger.targets,
                live=live,
                max_loads=10**6,
                max_new=10**6,
            )

        empty_seconds = _min_seconds(plan)
        for index, load in enumerate(plan().loads, start=10_000):
            ledger.apply(
                index,
                ledger_lib.ReserveLoad(
                    target=load.target,
                    incarnation=1,
                    model=load.model,
                    memory=load.memory,
                ),
            )
        rows.append(
            {
                "models": models,
                "targets": targets,
                "empty_s": empty_seconds,
                "placed_s": _min_seconds(plan),
            }
        )
    return rows
