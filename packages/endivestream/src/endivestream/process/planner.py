"""The task that gets models and adapters to where they are asked for.

`version.plan` decides; this module knows what is under way. One worker for
each engine sends its orders, one at a time, each with the number of orders
that the engine should have accepted before: a late or doubled one then finds
another number and does nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from endivestream import clock
from endivestream import logs
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import engines as engines_lib
from endivestream.connection import registry as registry_lib
from endivestream.process import site_settings
from endivestream.version import document as document_lib
from endivestream.version import plan as plan_lib

_PLAN_SECONDS = 0.05
# An engine answers an order within a few milliseconds.
_ORDER_SECONDS = 0.5
_ORDER_TRIES = 6
# An engine that was busy is tried again after so long.
_BUSY_SECONDS = 0.06
# What an engine reports may be so much older than its answer.
_REPORT_OLD_SECONDS = 0.4
# After a victim is announced to entry hosts, until its unload is ordered: the
# push takes a few milliseconds, and requests on their way arrive first.
_CLOSE_SECONDS = 0.03
# A load that has not been reported so long after it should have been is asked
# about.
_OVERDUE_SECONDS = 1.0
# An unload waits for the runs of its model; these end within this time.
_UNLOAD_SECONDS = 8.0
# An adapter is there so long after its order was taken, and entry hosts are
# told then.
_ADAPTER_SECONDS = 0.012
# Adapters that may be on their way to one engine at once.
_ADAPTERS_AT_ONCE = 4
# An adapter that was asked for within this time is not taken off.
_ADAPTER_KEEP_SECONDS = 0.6
# A report may be so much older than an order that took an adapter off.
_REPORT_LAG_SECONDS = 3.0
# After a step that failed, before an engine is tried again.
_AGAIN_SECONDS = 0.3
# A victim's runs are waited for so long before its unload is ordered: until
# then the engine can still take adapters.
_RUNS_SECONDS = 5.0
# How often it is looked whether they have ended.
_RUNS_POLL_SECONDS = 0.02
# An engine is asked what it holds at most so often.
_ASK_SECONDS = 1.0
# Demand is averaged over about so many seconds: long enough to smooth a
# second without requests, short enough to follow a shift of a few seconds.
_AVERAGE_SECONDS = 4.0
# Left between an old holder's last order and the first of a new one.
_HOLDER_MARGIN_SECONDS = 0.4
# What the store may be asked for, as a part of what it allows.
_STORE_SHARE = 0.9


@dataclasses.dataclass(kw_only=True)
class _Asked:
    """How much one model or adapter is asked for.

    Attributes:
        rate: Requests a second, averaged.
        at: When the average was last brought up to date.
        last: When it was last asked for.
        objective: Least objective seen, in seconds; 0 if none.
    """

    rate: float = 0.0
    at: float = 0.0
    last: float = float("-inf")
    objective: float = 0.0

    def add(self, arrivals: int, now: float) -> None:
        """Counts requests that came since the last call."""
        self.rate *= math.exp(-(now - self.at) / _AVERAGE_SECONDS)
        self.rate += arrivals / _AVERAGE_SECONDS
        self.at = now
        if arrivals:
            self.last = now


class _Worker:
    """What is known and under way at one engine.

    Attributes:
        said: Its newest registration.
        closing: Models that entry hosts were told to leave alone.
        adapters: `MODEL/ADAPTER` that it holds, with the time of the order.
        dropped: The same for those taken off.
        leaving: Those that are about to be taken off.
        pending: `MODEL/ADAPTER` that are ordered and not there yet.
        task: The step or adapter order under way.
        step: The step under way, or None.
        accepted: Orders that it has accepted; None if that is not known.
        is_busy: Whether it carries out an order for a model, and takes none.
        blocked_until: When it may be tried again after a step that failed.
        asked_at: When it was last asked what it holds.
        taken_at: When it last accepted an order.
    """

    def __init__(self, *, said: registry_lib.Registration) -> None:
        self.said = said
        self.closing: set[str] = set()
        self.adapters: dict[str, float] = {}
        self.dropped: dict[str, float] = {}
        self.leaving: dict[str, float] = {}
        self.pending: set[str] = set()
        self.is_busy = False
        self.blocked_until = float("-inf")
        self.asked_at = float("-inf")
        self.taken_at = float("-inf")
        self.step: plan_lib.Step | None = None
        self.loading = ""
        self.accepted: int | None = None
        self.lock = asyncio.Lock()
        self.reported = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    @property
    def models(self) -> set[str]:
        """Models that it holds."""
        return {loaded.model for loaded in self.said.loaded}


class Planner:
    """Placement of models and adapters while this host leads."""

    def __init__(
        self,
        *,
        settings: site_settings.SiteSettings,
        engines: engines_lib.Engines,
        fence: int,
        first: bool,
        may_order: Callable[[], bool],
        changed: Callable[[Iterable[str]], None],
    ) -> None:
        """Orders nothing before `start`.

        Args:
            settings: The host's settings.
            engines: Calls to engines.
            fence: The fencing token of all its orders.
            first: Whether nobody can have ordered before it.
            may_order: Whether this host surely leads, asked before each order.
            changed: Told of targets whose closing models or adapters changed.
        """
        self._settings = settings
        self._engines = engines
        self._fence = fence
        self._first = first
        self._may_order = may_order
        self._changed = changed
        self._services: dict[str, document_lib.Engine] = {}
        self._workers: dict[str, _Worker] = {}
        self._silent: set[str] = set()
        self._complete = False
        self._asked: dict[tuple[str, str, str], _Asked] = {}
        self._waiting: dict[tuple[str, str, str], dict[str, int]] = {}
        self._running: dict[str, dict[tuple[str, str], int]] = {}
        self._starting: dict[str, dict[str, int]] = {}
        self._store_loads: list[float] = []
        self._begun = clock.now()
        self._poked = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._adapter_tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Starts to plan."""
        self._tasks = [tasks.start(self._run(), type(self).__name__)]

    async def close(self) -> None:
        """Stops; orders under way are not followed further."""
        running = [w.task for w in self._workers.values()]
        await tasks.cancel((*self._tasks, *self._adapter_tasks, *running))

    # What others tell.

    def set_document(self, document: document_lib.Document) -> None:
        """Takes over which services have engines."""
        self._services = {
            service.name: service.engine
            for service in document.services
            if service.engine is not None
        }

    def set_sessions(
        self,
        sessions: Mapping[str, registry_lib.Session],
        silent: set[str],
        *,
        complete: bool,
    ) -> None:
        """Takes over which targets there are.

        Args:
            sessions: All targets by name.
            silent: Those that miss reports.
            complete: Whether every sound one has been heard of.
        """
        self._complete = complete
        self._silent = set(silent)
        for name in self._workers.keys() - sessions.keys():
            worker = self._workers.pop(name)
            if worker.task is not None:
                worker.task.cancel()

    def reported(self, said: registry_lib.Registration) -> None:
        """Takes a target's own report in."""
        worker = self._workers.get(said.name)
        if worker is None or worker.said.born != said.born:
            if worker is not None and worker.task is not None:
                worker.task.cancel()
            worker = _Worker(said=said)
            self._workers[said.name] = worker
        worker.said = said
        self._add_adapters(worker, said.loaded)
        worker.reported.set()
        self._poked.set()

    def demanded(
        self, host: str, demand: Iterable[site_messages.Demand]
    ) -> None:
        """Takes an entry host's counts in."""
        now = clock.now()
        for waiting in self._waiting.values():
            waiting.pop(host, None)
        for each in demand:
            self._note(host, each, now)

    def missing(
        self, host: str, demand: Iterable[site_messages.Demand]
    ) -> None:
        """Takes in at once what requests wait for."""
        now = clock.now()
        for each in demand:
            self._note(host, each, now)
        self._poked.set()

    def _note(self, host: str, each: site_messages.Demand, now: float) -> None:
        key = (each.service, each.model, each.adapter)
        asked = self._asked.setdefault(key, _Asked(at=now))
        asked.add(each.arrivals, now)
        if each.urgency:
            known = asked.objective or each.urgency
            asked.objective = min(known, each.urgency)
        if each.waiting:
            self._waiting.setdefault(key, {})[host] = each.waiting
            asked.last = now

    def used(self, host: str, uses: Iterable[site_messages.Use]) -> None:
        """Takes in what runs where for an entry host."""
        self._running[host] = {}
        self._starting[host] = {}
        now = clock.now()
        for use in uses:
            key = (use.target, use.model)
            running = self._running[host]
            running[key] = running.get(key, 0) + use.running
            starting = self._starting[host]
            starting[use.target] = starting.get(use.target, 0) + use.starting
            worker = self._workers.get(use.target)
            name = f"{use.model}/{use.adapter}"
            if worker is not None and use.adapter and name in worker.adapters:
                worker.adapters[name] = now

    def loads(self, host: str) -> dict[str, int]:
        """Returns what runs on targets for all entry hosts but one.

        Requests whose prompts are still being read count twice.
        """
        loads: dict[str, int] = {}
        for other, uses in self._running.items():
            if other == host:
                continue
            for (target, _), count in uses.items():
                loads[target] = loads.get(target, 0) + count
            for target, count in self._starting.get(other, {}).items():
                loads[target] = loads.get(target, 0) + count
        return loads

    def forget_host(self, host: str) -> None:
        """An entry host is gone, and with it what waited there."""
        self._running.pop(host, None)
        self._starting.pop(host, None)
        for waiting in self._waiting.values():
            waiting.pop(host, None)

    # What others ask.

    def closing(self, target: str) -> tuple[str, ...]:
        """Returns the models that must get no new requests at a target."""
        worker = self._workers.get(target)
        return tuple(sorted(worker.closing)) if worker else ()

    def adapters(self, target: str) -> tuple[str, ...]:
        """Returns the adapters that a target holds, as `MODEL/ADAPTER`."""
        worker = self._workers.get(target)
        if worker is None:
            return ()
        return tuple(sorted(worker.adapters.keys() - worker.leaving.keys()))

    # Planning.

    async def _run(self) -> None:
        # An older holder may have ordered until just before it was replaced;
        # engines see only one holder within this time.
        if not self._first:
            lease = self._settings.bounds.lease
            await asyncio.sleep(lease + _HOLDER_MARGIN_SECONDS)
        logs.event("planner_started", fence=self._fence)
        while True:
            self._poked.clear()
            if self._may_order():
                self._plan()
            try:
                async with asyncio.timeout(_PLAN_SECONDS):
                    await self._poked.wait()
            except TimeoutError:
                pass

    def _plan(self) -> None:
        now = clock.now()
        for service, engine in self._services.items():
            workers = {
                name: worker
                for name, worker in self._workers.items()
                if worker.said.service == service
            }
            planned = plan_lib.steps(
                engine=engine,
                places=[self._place(w) for w in workers.values()],
                wants=self._wants(service, now),
                store_loads=self._store_room(engine, now),
                complete=self._complete,
            )
            for step in planned:
                self._begin(workers[step.target], step, engine)
            self._plan_adapters(service, engine, workers, now)

    def _place(self, worker: _Worker) -> plan_lib.Place:
        name = worker.said.name
        running: dict[str, int] = {}
        for uses in self._running.values():
            for (target, model), count in uses.items():
                if target == name:
                    running[model] = running.get(model, 0) + count
        return plan_lib.Place(
            target=name,
            domain=worker.said.domain,
            loaded=tuple(sorted(worker.models - worker.closing)),
            coming=worker.loading,
            busy=worker.step is not None or clock.now() < worker.blocked_until,
            usable=not worker.said.draining and name not in self._silent,
            in_memory=worker.said.in_memory,
            on_disk=worker.said.on_disk,
            running=running,
            is_home=worker.step is not None and worker.step.reason == "home",
        )

    def _wants(self, service: str, now: float) -> dict[str, plan_lib.Want]:
        wants: dict[str, plan_lib.Want] = {}
        for key, asked in self._asked.items():
            if key[0] != service:
                continue
            asked.add(0, now)
            waiting = sum(self._waiting.get(key, {}).values())
            before = wants.get(key[1], plan_lib.Want(0.0, 0, math.inf))
            wants[key[1]] = plan_lib.Want(
                before.rate + asked.rate,
                before.waiting + waiting,
                min(before.objective, asked.objective or 1.0),
            )
        return wants

    def _store_room(self, engine: document_lib.Engine, now: float) -> int:
        """Returns how many loads from the store may begin now."""
        window = self._settings.bounds.store_window
        self._store_loads = [t for t in self._store_loads if now - t < window]
        allowed = int(engine.loads_per_second * window * _STORE_SHARE)
        return allowed - len(self._store_loads)

    # Steps.

    def _begin(
        self, worker: _Worker, step: plan_lib.Step, engine: document_lib.Engine
    ) -> None:
        logs.event(
            "placement",
            target=step.target,
            model=step.model,
            victims=",".join(step.victims),
            reason=step.reason,
            store=step.from_store,
            gain=step.gain,
            loss=step.loss,
        )
        if step.from_store:
            self._store_loads.append(clock.now())
        worker.step = step
        worker.loading = step.model
        worker.closing.update(step.victims)
        if step.victims:
            self._changed([step.target])
        worker.task = tasks.start(
            self._carry_out(worker, step, engine), "placement"
        )

    async def _carry_out(
        self, worker: _Worker, step: plan_lib.Step, engine: document_lib.Engine
    ) -> None:
        begun = clock.now()
        done = False
        try:
            done = await self._swap(worker, step, engine)
        finally:
            worker.step = None
            worker.loading = ""
            worker.closing.clear()
            worker.is_busy = False
            if not done:
                worker.blocked_until = clock.now() + _AGAIN_SECONDS
            logs.event(
                "placed" if done else "placement_failed",
                target=step.target,
                model=step.model,
                seconds=clock.now() - begun,
            )
            if worker.said.name in self._workers:
                self._changed([step.target])
            self._poked.set()

    async def _swap(
        self, worker: _Worker, step: plan_lib.Step, engine: document_lib.Engine
    ) -> bool:
        if step.victims:
            await asyncio.sleep(_CLOSE_SECONDS)
            await self._until_idle(worker, step.victims)
        worker.is_busy = True
        for victim in step.victims:
            if not await self._unload(worker, victim):
                return False
        if not self._fits(worker, step.model, engine):
            logs.warn("no_room", target=step.target, model=step.model)
            return False
        if not await self._order(worker, load=True, model=step.model):
            return False
        seconds = next(
            (m.load_seconds for m in engine.models if m.name == step.model), 5.0
        )
        return await self._until(
            worker,
            lambda: step.model in worker.models,
            2 * seconds + _OVERDUE_SECONDS,
        )

    async def _unload(self, worker: _Worker, victim: str) -> bool:
        if not await self._order(worker, load=False, model=victim):
            return False
        gone = await self._until(
            worker, lambda: victim not in worker.models, _UNLOAD_SECONDS
        )
        if gone:
            self._forget_adapters(worker, victim)
        return gone

    async def _until_idle(
        self, worker: _Worker, victims: tuple[str, ...]
    ) -> None:
        """Waits for the runs of models that are about to go.

        An engine that has been ordered to unload takes no other order until
        those runs have ended, and requests for its adapters would wait.
        """
        until = clock.now() + _RUNS_SECONDS
        while clock.now() < until:
            running = self._place(worker).running
            if not any(running.get(victim) for victim in victims):
                return
            await asyncio.sleep(_RUNS_POLL_SECONDS)

    def _fits(
        self, worker: _Worker, model: str, engine: document_lib.Engine
    ) -> bool:
        """Whether a report shows the room.

        An engine that is ordered to hold more than it can crashes, with all
        that runs on it.
        """
        sizes = {m.name: m for m in engine.models}
        held = {*worker.models, model}
        weights = sum(sizes[m].weights_mb for m in held if m in sizes)
        adapters = engine.adapter_places * max(
            (m.adapter_mb for m in engine.models), default=0.0
        )
        return weights + adapters <= engine.weights_mb

    async def _until(
        self, worker: _Worker, holds: Callable[[], bool], seconds: float
    ) -> bool:
        """Waits for a report that shows an effect; False if none does."""
        until = clock.now() + seconds
        while not holds():
            worker.reported.clear()
            left = until - clock.now()
            if left <= 0:
                return False
            try:
                async with asyncio.timeout(left):
                    await worker.reported.wait()
            except TimeoutError:
                worker.accepted = None
        return True

    async def _order(
        self, worker: _Worker, *, load: bool, model: str, adapter: str = ""
    ) -> bool:
        """Sends one order; whether it was taken or holds already."""
        async with worker.lock:
            for attempt in range(_ORDER_TRIES):
                if worker.accepted is None and not await self._learn(worker):
                    return False
                if not self._may_order():
                    return False
                order = engines_lib.Order(
                    load=load,
                    model=model,
                    adapter=adapter,
                    expected=worker.accepted or 0,
                    holder=self._settings.name,
                    fence=self._fence,
                )
                outcome = await self._engines.order(
                    worker.said.address,
                    worker.said.name,
                    order,
                    seconds=_ORDER_SECONDS,
                )
                logs.event(
                    "order",
                    target=worker.said.name,
                    load=load,
                    model=model,
                    adapter=adapter,
                    expected=order.expected,
                    fence=self._fence,
                    attempt=attempt,
                    outcome=outcome,
                )
                match outcome:
                    case (
                        engines_lib.Outcome.ACCEPTED | engines_lib.Outcome.DONE
                    ):
                        # What holds already is counted like any other.
                        worker.accepted = order.expected + 1
                        worker.taken_at = clock.now()
                        return True
                    case engines_lib.Outcome.REFUSED:
                        return False
                    case engines_lib.Outcome.BUSY if attempt % 2 == 0:
                        # Another order is still under way, or ours is not
                        # the number that the engine expects. The first is
                        # likelier and passes by itself.
                        await asyncio.sleep(_BUSY_SECONDS)
                    case _:
                        worker.accepted = None
        return False

    async def _learn(self, worker: _Worker) -> bool:
        """Asks how many orders an engine has accepted."""
        # A report is a little older than its answer. Asked right after an
        # order, it would give the number before that (symptom: every further
        # order is refused).
        wait = worker.taken_at + _REPORT_OLD_SECONDS - clock.now()
        await asyncio.sleep(max(0.0, wait))
        report = await self._engines.report(
            worker.said.address, seconds=_ORDER_SECONDS
        )
        if report is None:
            return False
        worker.accepted = report.accepted
        worker.is_busy = report.busy
        # Asked for under the lock: no order of ours is under way that this
        # does not show yet.
        held = {
            f"{loaded.model}/{adapter}"
            for loaded in report.loaded
            for adapter in loaded.adapters
        }
        for name in worker.adapters.keys() - held - set(report.coming):
            if clock.now() - worker.adapters[name] > _REPORT_LAG_SECONDS:
                del worker.adapters[name]
        self._add_adapters(worker, report.loaded)
        return True

    # Adapters.

    def _add_adapters(
        self, worker: _Worker, loaded: Iterable[registry_lib.Loaded]
    ) -> None:
        """Adds adapters that an engine says it holds.

        None is ever taken off by a report: it may be older than the order
        that loaded one, and an engine that is ordered to hold one too many
        crashes. Engines lose adapters only by orders and restarts.
        """
        now = clock.now()
        for held in loaded:
            for adapter in held.adapters:
                name = f"{held.model}/{adapter}"
                if now - worker.dropped.get(name, 0.0) > _REPORT_LAG_SECONDS:
                    worker.adapters.setdefault(name, now)

    def _forget_adapters(self, worker: _Worker, model: str) -> None:
        for name in list(worker.adapters):
            if name.startswith(f"{model}/"):
                del worker.adapters[name]

    def _plan_adapters(
        self,
        service: str,
        engine: document_lib.Engine,
        workers: Mapping[str, _Worker],
        now: float,
    ) -> None:
        for key, hosts in list(self._waiting.items()):
            if key[0] != service or not hosts or not key[2]:
                continue
            name = f"{key[1]}/{key[2]}"
            holders = [
                w
                for w in workers.values()
                if key[1] in w.models - w.closing
                and not w.said.draining
                and w.said.name not in self._silent
            ]
            if any(name in w.pending for w in holders):
                continue
            known = [w for w in holders if name in w.adapters]
            if known:
                self._check_adapters(known, now)
                continue
            free = [
                w
                for w in holders
                if not w.is_busy and len(w.pending) < _ADAPTERS_AT_ONCE
            ]
            if not free:
                continue
            worker = min(
                free,
                key=lambda w: len(w.adapters) + len(w.pending),
            )
            victim = self._adapter_victim(worker, engine, now)
            if victim is None:
                continue
            worker.pending.add(name)
            if victim:
                # Entry hosts stop sending at once; it still counts until the
                # engine has confirmed that it is gone.
                worker.leaving[victim] = worker.adapters[victim]
                self._changed([worker.said.name])
            task = tasks.start(
                self._place_adapter(worker, name, victim), "adapter"
            )
            self._adapter_tasks.add(task)
            task.add_done_callback(self._adapter_tasks.discard)

    def _check_adapters(self, workers: list[_Worker], now: float) -> None:
        """Asks engines that should hold what requests still wait for."""
        for worker in workers:
            if now - worker.asked_at > _ASK_SECONDS and not worker.leaving:
                worker.asked_at = now
                worker.accepted = None
                task = tasks.start(self._ask_adapters(worker), "ask_adapters")
                self._adapter_tasks.add(task)
                task.add_done_callback(self._adapter_tasks.discard)

    async def _ask_adapters(self, worker: _Worker) -> None:
        async with worker.lock:
            if worker.accepted is None:
                await self._learn(worker)
        self._changed([worker.said.name])

    def _adapter_victim(
        self, worker: _Worker, engine: document_lib.Engine, now: float
    ) -> str | None:
        """Returns an adapter to take off, empty if none needs to, or None."""
        held = len(worker.adapters) + len(worker.pending)
        held -= len(worker.leaving)
        if held < engine.adapter_places:
            return ""
        old = [
            (used, name)
            for name, used in worker.adapters.items()
            if now - used > _ADAPTER_KEEP_SECONDS and name not in worker.leaving
        ]
        return min(old)[1] if old else None

    async def _place_adapter(
        self, worker: _Worker, name: str, victim: str
    ) -> None:
        try:
            if victim:
                model, _, adapter = victim.partition("/")
                await asyncio.sleep(_CLOSE_SECONDS)
                taken = await self._order(
                    worker, load=False, model=model, adapter=adapter
                )
                if not taken:
                    return
                worker.adapters.pop(victim, None)
                worker.leaving.pop(victim, None)
                worker.dropped[victim] = clock.now()
            model, _, adapter = name.partition("/")
            if await self._order(
                worker, load=True, model=model, adapter=adapter
            ):
                await asyncio.sleep(_ADAPTER_SECONDS)
                worker.adapters[name] = clock.now()
        finally:
            worker.pending.discard(name)
            worker.leaving.pop(victim, None)
            if worker.said.name in self._workers:
                self._changed([worker.said.name])
