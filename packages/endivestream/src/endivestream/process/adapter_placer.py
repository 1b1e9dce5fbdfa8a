"""Loads adapters on demand on engines that hold their model.

An adapter load takes milliseconds and does not pause the engine, so adapters
are loaded once requests wait for them; the least recently used adapter is
evicted. Where all places stay in use, the adapter with the fewest requests is
evicted for one that has been unserved for `_OVERDUE_SECONDS`.

Loads ahead of demand (`version.capacity.adapter_copies`) give way: they are not
ordered at engines that execute an order for a model, and evict no adapter that
requests wait for.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math

from endivestream import clock
from endivestream import logs
from endivestream import tasks
from endivestream.process import engine_worker as worker_lib
from endivestream.version import document as document_lib
from endivestream.version.capacity import adapter_copies

# Delay between the announcement of an eviction to entry hosts and the order to
# unload the adapter: requests already sent must arrive first.
_CLOSING_DELAY_SECONDS = 0.03
# Time from the acceptance of a load order until the adapter is usable and entry
# hosts are notified.
_ADAPTER_LOAD_SECONDS = 0.012
# Maximum number of concurrent adapter loads per engine.
_MAX_PENDING_ADAPTERS = 4
# An adapter used within this time is not evicted as idle.
_MIN_IDLE_SECONDS = 0.6
# An adapter that has been unserved for this time displaces one in use.
_OVERDUE_SECONDS = 3.0
# Delay after a failed adapter load before the engine gets the next one.
_REFUSAL_RETRY_SECONDS = 0.3
# An adapter in use that is to be evicted gets no new requests; the running ones
# end within this time.
_RUNS_TIMEOUT_SECONDS = 8.0
_RUNS_POLL_SECONDS = 0.05
# Minimum interval between queries to one engine.
_QUERY_INTERVAL_SECONDS = 1.0


class _LoadResult(enum.StrEnum):
    """How a load of an adapter ended.

    LOADED: The engine has it. REFUSED: The engine refused an order or did not
    answer. IN_USE: The adapter to evict stayed in use. BUSY: The engine began
    to execute an order for a model. CANCELLED: The engine was restarted or
    removed, or this host stopped.
    """

    LOADED = enum.auto()
    REFUSED = enum.auto()
    IN_USE = enum.auto()
    BUSY = enum.auto()
    CANCELLED = enum.auto()


class AdapterPlacer:
    """Adapter loads and evictions in progress; lives as long as its planner."""

    def __init__(
        self,
        *,
        on_targets_changed: Callable[[Iterable[str]], None],
        running: Callable[[str], Mapping[str, int]],
    ) -> None:
        """Sends no orders yet.

        Args:
            on_targets_changed: Called with the engines whose adapters changed.
            running: Returns the number of requests that run on an engine, by
                `MODEL/ADAPTER`.
        """
        self._running = running
        self._on_targets_changed = on_targets_changed
        # The engine of each task.
        self._tasks: dict[asyncio.Task[None], worker_lib.EngineWorker] = {}
        self._ahead_results: collections.Counter[str] = collections.Counter()

    @property
    def ahead_results(self) -> Mapping[str, int]:
        """Number of adapter loads ahead of demand, by result."""
        return self._ahead_results

    async def close(self) -> None:
        """Stops; orders already sent are not tracked further."""
        await tasks.cancel(tuple(self._tasks))

    def drop(self, worker: worker_lib.EngineWorker) -> None:
        """Stops what is under way at an engine that was removed or restarted.

        Its address may be that of another engine or of its next process, whose
        adapters are in use.
        """
        for task, engine in self._tasks.items():
            if engine is worker:
                task.cancel()

    def plan(
        self,
        *,
        engine: document_lib.EngineCapacity,
        workers: Collection[worker_lib.EngineWorker],
        requested: Mapping[str, float],
        now: float,
    ) -> None:
        """Starts loading adapters that requests wait for.

        Args:
            engine: Capacity of the service's engines.
            workers: The usable engines of the service.
            requested: Each `MODEL/ADAPTER` that requests wait for, with the
                seconds for which it has been unserved.
            now: The current time.
        """
        longest_first = sorted(requested.items(), key=lambda item: -item[1])
        for name, unserved in longest_first:
            model = name.partition("/")[0]
            holders = [w for w in workers if model in w.models - w.closing]
            if any(name in w.pending_adapters for w in holders):
                continue
            loaded_on = [w for w in holders if name in w.adapters]
            if loaded_on:
                self._query_holders(loaded_on, now)
            else:
                is_overdue = unserved >= _OVERDUE_SECONDS
                self._start_load(
                    name, holders, engine, now, is_overdue=is_overdue
                )

    def load_ahead(
        self,
        *,
        engine: document_lib.EngineCapacity,
        workers: Collection[worker_lib.EngineWorker],
        rates: Mapping[str, float],
        waiting: Collection[str],
        now: float,
    ) -> None:
        """Starts loading adapters that requests will probably need.

        Args:
            engine: Capacity of the service's engines.
            workers: The usable engines of the service.
            rates: Requests a second by `MODEL/ADAPTER`.
            waiting: Each `MODEL/ADAPTER` that requests wait for.
            now: The current time.
        """
        by_name = {worker.registration.name: worker for worker in workers}
        # Each plan has one load for each engine. An engine gets its next model
        # too soon for one in each round.
        for _ in range(_MAX_PENDING_ADAPTERS):
            loads = adapter_copies.plan(
                [
                    self._describe(worker, engine, waiting, now)
                    for worker in workers
                ],
                rates,
            )
            if not loads:
                return
            for load in loads:
                logs.event(
                    "adapter_ahead",
                    target=load.target,
                    adapter=load.adapter,
                    victim=load.victim,
                    rate=rates[load.adapter],
                )
                self._start_replacement(
                    by_name[load.target],
                    load.adapter,
                    load.victim,
                    engine,
                    is_ahead=True,
                )

    def _describe(
        self,
        worker: worker_lib.EngineWorker,
        engine: document_lib.EngineCapacity,
        waiting: Collection[str],
        now: float,
    ) -> adapter_copies.AdapterPlaces:
        running = self._running(worker.registration.name)
        return adapter_copies.AdapterPlaces(
            target=worker.registration.name,
            models=worker.models - worker.closing,
            adapters={*worker.adapters, *worker.pending_adapters},
            idle=[
                name
                for name, last_used in worker.adapters.items()
                if now - last_used > _MIN_IDLE_SECONDS
                and not running.get(name)
                and name not in worker.evicting_adapters
                and name not in waiting
            ],
            reserved=worker.unconfirmed_adapters,
            free_places=worker.free_adapter_places(engine),
            accepts_loads=_accepts_loads(worker, now)
            and not worker.has_unknown_order,
        )

    def _start_load(
        self,
        name: str,
        holders: list[worker_lib.EngineWorker],
        engine: document_lib.EngineCapacity,
        now: float,
        *,
        is_overdue: bool,
    ) -> None:
        free = [w for w in holders if _accepts_loads(w, now)]
        if not free:
            return
        worker = min(
            free, key=lambda w: len(w.adapters) + len(w.pending_adapters)
        )
        victim = _choose_victim(worker, engine, now)
        if victim is None and is_overdue and not worker.evicting_adapters:
            victim = _least_used(
                worker, self._running(worker.registration.name)
            )
        if victim is not None:
            self._start_replacement(worker, name, victim, engine)

    def _start_replacement(
        self,
        worker: worker_lib.EngineWorker,
        name: str,
        victim: str,
        engine: document_lib.EngineCapacity,
        *,
        is_ahead: bool = False,
    ) -> None:
        worker.pending_adapters.add(name)
        if victim:
            # Entry hosts stop sending immediately; the adapter still counts as
            # held until the engine has confirmed its unload.
            worker.evicting_adapters.add(victim)
            self._on_targets_changed([worker.registration.name])
        self._start_task(
            worker,
            self._replace(worker, name, victim, engine, is_ahead=is_ahead),
            "adapter",
        )

    def _query_holders(
        self, workers: Iterable[worker_lib.EngineWorker], now: float
    ) -> None:
        """Queries engines whose known adapters requests still wait for."""
        for worker in workers:
            if (
                now - worker.queried_at > _QUERY_INTERVAL_SECONDS
                and not worker.evicting_adapters
            ):
                worker.queried_at = now
                self._start_task(worker, self._query(worker), "ask_adapters")

    def _start_task(
        self,
        worker: worker_lib.EngineWorker,
        work: Coroutine[object, object, None],
        name: str,
    ) -> None:
        task = tasks.start(work, name)
        self._tasks[task] = worker
        task.add_done_callback(self._tasks.pop)

    async def _query(self, worker: worker_lib.EngineWorker) -> None:
        await worker.query()
        self._on_targets_changed([worker.registration.name])

    async def _replace(
        self,
        worker: worker_lib.EngineWorker,
        name: str,
        victim: str,
        engine: document_lib.EngineCapacity,
        *,
        is_ahead: bool,
    ) -> None:
        result = _LoadResult.CANCELLED
        try:
            result = await _load(
                worker, name, victim, engine, is_ahead=is_ahead
            )
            if result == _LoadResult.REFUSED:
                worker.adapters_blocked_until = (
                    clock.now() + _REFUSAL_RETRY_SECONDS
                )
        finally:
            worker.pending_adapters.discard(name)
            worker.evicting_adapters.discard(victim)
            if is_ahead:
                self._ahead_results[result] += 1
            self._on_targets_changed([worker.registration.name])


async def _load(
    worker: worker_lib.EngineWorker,
    name: str,
    victim: str,
    engine: document_lib.EngineCapacity,
    *,
    is_ahead: bool,
) -> _LoadResult:
    """Loads an adapter, after the unload of a victim if there is one.

    An order that a busy engine refuses is repeated for about a second, in which
    the orders for its model wait. Requests that wait for an adapter are worth
    that; a load ahead of demand is not.
    """
    if victim:
        model, _, adapter = victim.partition("/")
        await asyncio.sleep(_CLOSING_DELAY_SECONDS)
        if not await _wait_until_unused(worker, victim):
            return _LoadResult.IN_USE
        if is_ahead and worker.is_busy:
            return _LoadResult.BUSY
        accepted = await worker.order(
            load=False, model=model, adapter=adapter, engine=engine
        )
        if not accepted or not await worker.wait_until_unloaded(victim):
            return _LoadResult.REFUSED
        worker.note_adapter_unloaded(victim)
    if is_ahead and worker.is_busy:
        return _LoadResult.BUSY
    model, _, adapter = name.partition("/")
    if not await worker.order(
        load=True, model=model, adapter=adapter, engine=engine
    ):
        return _LoadResult.REFUSED
    await asyncio.sleep(_ADAPTER_LOAD_SECONDS)
    return _LoadResult.LOADED


def _accepts_loads(worker: worker_lib.EngineWorker, now: float) -> bool:
    return (
        not worker.is_busy
        and len(worker.pending_adapters) < _MAX_PENDING_ADAPTERS
        and now >= worker.adapters_blocked_until
    )


def _choose_victim(
    worker: worker_lib.EngineWorker,
    engine: document_lib.EngineCapacity,
    now: float,
) -> str | None:
    """Returns an adapter to evict.

    Returns:
        An idle adapter, empty if there is a free place, or None if there is
        neither.
    """
    if worker.free_adapter_places(engine) > 0:
        return ""
    idle = [
        (last_used, name)
        for name, last_used in worker.adapters.items()
        if now - last_used > _MIN_IDLE_SECONDS
        and name not in worker.evicting_adapters
    ]
    return min(idle)[1] if idle else None


def _least_used(
    worker: worker_lib.EngineWorker, running: Mapping[str, int]
) -> str | None:
    """Returns the adapter with the fewest requests, or None.

    Of several, this is the one loaded earliest: adapters are stored in the
    order in which they were added.
    """
    held = [
        name for name in worker.adapters if name not in worker.evicting_adapters
    ]
    return min(held, key=lambda name: running.get(name, 0), default=None)


async def _wait_until_unused(
    worker: worker_lib.EngineWorker, name: str
) -> bool:
    """Waits until no request has used an adapter for `_MIN_IDLE_SECONDS`.

    Entry hosts were notified earlier and send it no new requests.

    Returns:
        Whether it is idle; False after `_RUNS_TIMEOUT_SECONDS`.
    """
    deadline = clock.now() + _RUNS_TIMEOUT_SECONDS
    while (
        clock.now() - worker.adapters.get(name, -math.inf) <= _MIN_IDLE_SECONDS
    ):
        if clock.now() >= deadline:
            return False
        await asyncio.sleep(_RUNS_POLL_SECONDS)
    return True
