"""Adapters brought to engines that hold their model, as requests wait for them.

An adapter takes milliseconds and needs no pause of its engine, so each is
loaded when it is waited for; the one that was not asked for longest makes room.
Where all places are in use for good, the one with the fewest requests makes
room for an adapter that has not been served for long.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
import math

from endivestream import clock
from endivestream import tasks
from endivestream.process import engine_worker as worker_lib
from endivestream.version import document as document_lib

# After an adapter that is to go is announced to entry hosts, until its unload
# is ordered: requests on their way arrive first.
_CLOSE_SECONDS = 0.03
# An adapter is there so long after its order was taken, and entry hosts are
# told then.
_ADAPTER_SECONDS = 0.012
# Adapters that may be on their way to one engine at once.
_ADAPTERS_AT_ONCE = 4
# An adapter that was asked for within this time is not taken off.
_KEEP_SECONDS = 0.6
# An adapter that has not been served for so long displaces one in use.
_OVERDUE_SECONDS = 3.0
# Before an engine that refused an adapter is asked to take another.
_REFUSED_SECONDS = 0.3
# One in use that is to go gets no new requests and ends within this time.
_RUNS_SECONDS = 8.0
_RUNS_POLL_SECONDS = 0.05
# An engine is asked what it holds at most so often.
_ASK_SECONDS = 1.0


class AdapterPlacer:
    """Orders for adapters under way. Lives as long as its planner."""

    def __init__(
        self,
        *,
        changed: Callable[[Iterable[str]], None],
        running: Callable[[str], Mapping[str, int]],
    ) -> None:
        """Orders nothing yet.

        Args:
            changed: Told of engines whose adapters changed.
            running: Returns the requests that run on an engine, by
                `MODEL/ADAPTER`.
        """
        self._running = running
        self._changed = changed
        self._tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Stops; orders under way are not followed further."""
        await tasks.cancel(tuple(self._tasks))

    def plan(
        self,
        *,
        engine: document_lib.Engine,
        workers: Collection[worker_lib.EngineWorker],
        waited_for: Mapping[str, float],
        now: float,
    ) -> None:
        """Begins to bring adapters that requests wait for.

        Args:
            engine: What engines of the service can hold.
            workers: The engines of the service that may be used.
            waited_for: Each `MODEL/ADAPTER` waited for, with the seconds for
                which it has not been served.
            now: The time.
        """
        longest_first = sorted(waited_for.items(), key=lambda item: -item[1])
        for name, unserved in longest_first:
            model = name.partition("/")[0]
            holders = [w for w in workers if model in w.models - w.closing]
            if any(name in w.pending for w in holders):
                continue
            known = [w for w in holders if name in w.adapters]
            if known:
                self._check(known, now)
            else:
                is_overdue = unserved >= _OVERDUE_SECONDS
                self._bring(name, holders, engine, now, is_overdue=is_overdue)

    def _bring(
        self,
        name: str,
        holders: list[worker_lib.EngineWorker],
        engine: document_lib.Engine,
        now: float,
        *,
        is_overdue: bool,
    ) -> None:
        free = [
            w
            for w in holders
            if not w.is_busy
            and len(w.pending) < _ADAPTERS_AT_ONCE
            and now >= w.adapters_blocked_until
        ]
        if not free:
            return
        worker = min(free, key=lambda w: len(w.adapters) + len(w.pending))
        victim = _victim(worker, engine, now)
        if victim is None and is_overdue and not worker.leaving:
            victim = _least_used(worker, self._running(worker.said.name))
        if victim is None:
            return
        worker.pending.add(name)
        if victim:
            # Entry hosts stop sending at once; it still counts until the
            # engine has confirmed that it is gone.
            worker.leaving.add(victim)
            self._changed([worker.said.name])
        self._start(self._place(worker, name, victim, engine), "adapter")

    def _check(
        self, workers: Iterable[worker_lib.EngineWorker], now: float
    ) -> None:
        """Asks engines that should hold what requests still wait for."""
        for worker in workers:
            if now - worker.asked_at > _ASK_SECONDS and not worker.leaving:
                worker.asked_at = now
                self._start(self._ask(worker), "ask_adapters")

    def _start(self, work: Coroutine[object, object, None], name: str) -> None:
        task = tasks.start(work, name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, worker: worker_lib.EngineWorker) -> None:
        await worker.ask()
        self._changed([worker.said.name])

    async def _place(
        self,
        worker: worker_lib.EngineWorker,
        name: str,
        victim: str,
        engine: document_lib.Engine,
    ) -> None:
        try:
            if victim:
                model, _, adapter = victim.partition("/")
                await asyncio.sleep(_CLOSE_SECONDS)
                if not await _until_unused(worker, victim):
                    return
                taken = await worker.order(
                    load=False, model=model, adapter=adapter, engine=engine
                )
                if not taken or not await worker.until_gone(victim):
                    worker.adapters_blocked_until = (
                        clock.now() + _REFUSED_SECONDS
                    )
                    return
                worker.adapter_gone(victim)
            model, _, adapter = name.partition("/")
            if await worker.order(
                load=True, model=model, adapter=adapter, engine=engine
            ):
                await asyncio.sleep(_ADAPTER_SECONDS)
            else:
                worker.adapters_blocked_until = clock.now() + _REFUSED_SECONDS
        finally:
            worker.pending.discard(name)
            worker.leaving.discard(victim)
            self._changed([worker.said.name])


def _victim(
    worker: worker_lib.EngineWorker, engine: document_lib.Engine, now: float
) -> str | None:
    """Returns an adapter to take off, empty if none needs to, or None."""
    if worker.adapter_room(engine) > 0:
        return ""
    old = [
        (used, name)
        for name, used in worker.adapters.items()
        if now - used > _KEEP_SECONDS and name not in worker.leaving
    ]
    return min(old)[1] if old else None


def _least_used(
    worker: worker_lib.EngineWorker, running: Mapping[str, int]
) -> str | None:
    """Returns the adapter with the fewest requests, or None.

    Of several the one that has been there longest: adapters are listed in the
    order in which they came.
    """
    held = [name for name in worker.adapters if name not in worker.leaving]
    return min(held, key=lambda name: running.get(name, 0), default=None)


async def _until_unused(worker: worker_lib.EngineWorker, name: str) -> bool:
    """Waits until no request has used an adapter for a while.

    Entry hosts have been told to send it no more.
    """
    until = clock.now() + _RUNS_SECONDS
    while clock.now() - worker.adapters.get(name, -math.inf) <= _KEEP_SECONDS:
        if clock.now() >= until:
            return False
        await asyncio.sleep(_RUNS_POLL_SECONDS)
    return True
