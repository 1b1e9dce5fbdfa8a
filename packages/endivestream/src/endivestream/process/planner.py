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
from collections.abc import Iterator

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import engines as engines_lib
from endivestream.connection import registry as registry_lib
from endivestream.process import adapter_placer
from endivestream.process import demand_table
from endivestream.process import engine_worker as worker_lib
from endivestream.process import site_settings
from endivestream.process import use_table
from endivestream.version import document as document_lib
from endivestream.version import plan as plan_lib
from endivestream.version import plan_types

_PLAN_SECONDS = 0.05
# After a victim is announced to entry hosts, until its unload is ordered: the
# push takes a few milliseconds, and requests on their way arrive first.
_CLOSE_SECONDS = 0.03
# A load that has not been reported so long after it should have been is asked
# about.
_OVERDUE_SECONDS = 1.0
# An unload waits for the runs of its model; these end within this time.
_UNLOAD_SECONDS = 8.0
# After a step that failed, before an engine is tried again.
_AGAIN_SECONDS = 0.3
# A victim's runs are waited for so long before its unload is ordered: until
# then the engine can still take adapters.
_RUNS_SECONDS = 5.0
# A step that waits for them longer does not keep its model from coming
# another way.
_STUCK_SECONDS = 1.0
# How often it is looked whether they have ended.
_RUNS_POLL_SECONDS = 0.02
# Entry hosts that a target must fail before it counts as lost.
_FAILED_HOSTS = 2
# What the store may be asked for, as a part of what it allows.
_STORE_SHARE = 0.9
# A model that requests have waited for is not displaced for so long after it
# has come, or, once one of them runs, for the second of these: callers were
# told to come back for it, and loads take longer than callers wait.
_UNUSED_SECONDS = 5.0
_USED_SECONDS = 1.0
# Least time between two lines about one model that is left out.
_UNPLACED_LOG_SECONDS = 1.0


class Planner:
    """Placement of models and adapters while this host holds the seat."""

    def __init__(
        self,
        *,
        settings: site_settings.SiteSettings,
        engines: engines_lib.Engines,
        fence: int,
        may_order: Callable[[], bool],
        changed: Callable[[Iterable[str]], None],
        sent: Callable[[str], None] = lambda target: None,
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Orders nothing before `start`.

        Args:
            settings: The host's settings.
            engines: Calls to engines.
            fence: The fencing token of all its orders.
            may_order: Whether this host surely is the only one that orders,
                asked before each order.
            changed: Told of targets whose closing models or adapters changed.
            sent: Told of each order or question to a target that names a
                limit.
            meter: Counts what planning costs.
        """
        self._meter = meter or loop_meter.LoopMeter()
        self._settings = settings
        self._engines = engines
        self._fence = fence
        self._may_order = may_order
        self._changed = changed
        self._sent = sent
        # Requests a second that targets take, where they name a limit.
        self._limits: dict[str, float] = {}
        self._services: dict[str, document_lib.Engine] = {}
        self._workers: dict[str, worker_lib.EngineWorker] = {}
        self._silent: set[str] = set()
        self._complete = False
        self._demand = demand_table.DemandTable()
        self._uses = use_table.UseTable()
        # Targets that fail entry hosts, by host.
        self._failing: dict[str, frozenset[str]] = {}
        self._store_loads: list[float] = []
        self._begun = clock.now()
        # Models that requests wait for and no step loads, by service.
        self._unplaced: dict[str, list[plan_types.Unplaced]] = {}
        self._unplaced_logged: dict[tuple[str, str], float] = {}
        self._poked = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._adapters = adapter_placer.AdapterPlacer(
            changed=changed, running=self._uses.adapters
        )

    def start(self) -> None:
        """Starts to plan."""
        self._tasks = [tasks.start(self._run(), type(self).__name__)]

    async def close(self) -> None:
        """Stops; orders under way are not followed further."""
        running = [w.task for w in self._workers.values()]
        await tasks.cancel((*self._tasks, *running))
        await self._adapters.close()

    # What others tell.

    def set_document(self, document: document_lib.Document) -> None:
        """Takes over which services have engines."""
        self._services = {
            service.name: service.engine
            for service in document.services
            if service.engine is not None
        }

    def set_targets(
        self, names: Iterable[str], silent: set[str], *, complete: bool
    ) -> None:
        """Takes over which targets there are.

        Args:
            names: All of them.
            silent: Those that miss reports.
            complete: Whether every sound one has been heard of.
        """
        self._complete = complete
        self._silent = set(silent)
        if not complete:
            # A new leader's table lists only the targets that have reported to
            # it. Dropping the others would cancel their running steps.
            return
        for name in self._workers.keys() - set(names):
            worker = self._workers.pop(name)
            if worker.task is not None:
                worker.task.cancel()

    def set_limits(self, rates: dict[str, float]) -> None:
        """Takes over the limits that targets name, in requests a second."""
        self._limits = dict(rates)

    def _count_send(self, target: str) -> None:
        if target in self._limits:
            self._sent(target)

    def reported(self, said: registry_lib.Registration) -> None:
        """Takes a target's own report in."""
        worker = self._workers.get(said.name)
        if worker is None or worker.said.born != said.born:
            if worker is not None and worker.task is not None:
                worker.task.cancel()
            worker = worker_lib.EngineWorker(
                said=said,
                engines=self._engines,
                holder=self._settings.name,
                fence=self._fence,
                may_order=self._may_order,
                sent=self._count_send,
            )
            self._workers[said.name] = worker
        worker.take_report(said)
        self._poked.set()

    def demanded(
        self, host: str, demand: Iterable[site_messages.Demand]
    ) -> None:
        """Takes an entry host's counts in."""
        self._demand.forget(host)
        for each in demand:
            self._demand.note(host, each, clock.now())

    def missing(
        self, host: str, demand: Iterable[site_messages.Demand]
    ) -> None:
        """Takes in at once what requests wait for."""
        for each in demand:
            self._demand.note(host, each, clock.now())
        self._poked.set()

    def used(self, host: str, uses: Iterable[site_messages.Use]) -> None:
        """Takes in what runs where for an entry host."""
        uses = tuple(uses)
        self._uses.note(host, uses)
        now = clock.now()
        for use in uses:
            worker = self._workers.get(use.target)
            name = f"{use.model}/{use.adapter}"
            if worker is None:
                continue
            worker.used(use.model, now + _USED_SECONDS)
            if use.adapter and name in worker.adapters:
                worker.adapters[name] = now

    def failed(self, host: str, targets: Iterable[str]) -> None:
        """Takes in which targets fail an entry host."""
        failing = frozenset(targets)
        if failing != self._failing.get(host, frozenset()):
            self._failing[host] = failing
            self._poked.set()

    def _fails(self, target: str) -> bool:
        """Whether a target counts as lost, by what entry hosts see of it.

        A crashed engine is missed by its reports only after three seconds;
        until then no other would get what it alone held (symptom: callers of
        its models are refused, though they met a closed port at once). One
        host alone may be cut off from it.
        """
        hosts = sum(target in failing for failing in self._failing.values())
        return hosts >= min(_FAILED_HOSTS, len(self._failing))

    def forget_host(self, host: str) -> None:
        """An entry host is gone, and with it what waited there."""
        self._failing.pop(host, None)
        self._uses.forget(host)
        self._demand.forget(host)

    # What others ask.

    @property
    def targets(self) -> tuple[str, ...]:
        """All engines that are known."""
        return tuple(self._workers)

    @property
    def unplaced(self) -> int:
        """Models that requests wait for and that no step loads."""
        return sum(map(len, self._unplaced.values()))

    def closing(self, target: str) -> tuple[str, ...]:
        """Returns the models that must get no new requests at a target."""
        worker = self._workers.get(target)
        return tuple(sorted(worker.closing)) if worker else ()

    def coming(self, target: str) -> tuple[site_messages.Coming, ...]:
        """Returns the models that a target is about to hold, and when."""
        worker = self._workers.get(target)
        if worker is None or worker.step is None:
            return ()
        left = max(0.0, worker.there_at - clock.now())
        return (site_messages.Coming(worker.step.model, left),)

    def adapters(self, target: str) -> tuple[str, ...]:
        """Returns the adapters that a target holds, as `MODEL/ADAPTER`."""
        worker = self._workers.get(target)
        if worker is None:
            return ()
        away = worker.leaving | worker.pending
        return tuple(sorted(worker.adapters.keys() - away))

    # Planning.

    async def _run(self) -> None:
        started = False
        while True:
            self._poked.clear()
            if self._may_order():
                if not started:
                    logs.event("planner_started", fence=self._fence)
                    started = True
                self._plan_safely()
            try:
                async with asyncio.timeout(_PLAN_SECONDS):
                    await self._poked.wait()
            except TimeoutError:
                pass

    def _plan_safely(self) -> None:
        """Plans one round; a fault in it must not end placement for good.

        Models would stay where they are until the next leader (symptom: more
        and more requests find none). The next round starts from new reports.
        """
        try:
            with self._meter.span("plan"):
                self._plan()
        except Exception as error:
            logs.failed("plan_failed", error)

    def _plan(self) -> None:
        now = clock.now()
        for service, engine in self._services.items():
            workers = {
                name: worker
                for name, worker in self._workers.items()
                if worker.said.service == service
            }
            self._demand.note_held(self._held(service, workers.values()), now)
            planned = plan_lib.plan(
                engine=engine,
                places=[self._place(w) for w in workers.values()],
                wants=self._demand.wants(service, now),
                store_loads=self._store_room(engine, now),
                complete=self._complete,
            )
            for step in planned.steps:
                self._begin(workers[step.target], step, engine)
            self._unplaced[service] = planned.unplaced
            self._log_unplaced(service, now)
            self._adapters.plan(
                engine=engine,
                workers=[
                    worker
                    for name, worker in workers.items()
                    if not worker.said.draining and name not in self._silent
                ],
                waited_for=self._demand.adapters(service, now),
                now=now,
            )

    def _log_unplaced(self, service: str, now: float) -> None:
        logged = self._unplaced_logged
        for key, when in list(logged.items()):
            if now - when >= _UNPLACED_LOG_SECONDS:
                del logged[key]
        for each in self._unplaced[service]:
            key = (service, each.model)
            if key in logged:
                continue
            logged[key] = now
            logs.event(
                "unplaced",
                model=each.model,
                reason=each.obstacle,
                waiting=each.waiting,
                gain=each.gain,
                loss=each.loss,
            )

    def _held(
        self, service: str, workers: Iterable[worker_lib.EngineWorker]
    ) -> Iterator[demand_table.Key]:
        """Yields the models and adapters that requests can be sent to."""
        for worker in workers:
            if worker.said.draining or worker.said.name in self._silent:
                continue
            for model in worker.models - worker.closing:
                yield (service, model, "")
            for name in self.adapters(worker.said.name):
                model, _, adapter = name.partition("/")
                yield (service, model, adapter)

    def _place(self, worker: worker_lib.EngineWorker) -> plan_types.Place:
        name = worker.said.name
        return plan_types.Place(
            target=name,
            domain=worker.said.domain,
            loaded=tuple(sorted(worker.models - worker.closing)),
            coming="" if self._is_stuck(worker) else worker.loading,
            busy=worker.step is not None or clock.now() < worker.blocked_until,
            usable=not worker.said.draining
            and name not in self._silent
            and not (self._failing and self._fails(name)),
            in_memory=worker.said.in_memory,
            on_disk=worker.said.on_disk,
            running=self._uses.running(name),
            is_home=worker.step is not None and worker.step.reason == "home",
            is_overdue=worker.step is not None
            and worker.step.reason == "overdue",
            kept=worker.kept(clock.now()),
            rate_limit=self._limits.get(name),
        )

    def _is_stuck(self, worker: worker_lib.EngineWorker) -> bool:
        """Whether a step still waits for streams of what it displaces.

        Its model may then be begun elsewhere: a stream of some seconds would
        keep all that wait for the model waiting, while other engines are idle.
        """
        waits = worker.step is not None and not worker.is_busy
        return waits and clock.now() - worker.step_begun > _STUCK_SECONDS

    def _store_room(self, engine: document_lib.Engine, now: float) -> int:
        """Returns how many loads from the store may begin now."""
        window = self._settings.bounds.store_window
        self._store_loads = [t for t in self._store_loads if now - t < window]
        allowed = int(engine.loads_per_second * window * _STORE_SHARE)
        return allowed - len(self._store_loads)

    # Steps.

    def _begin(
        self,
        worker: worker_lib.EngineWorker,
        step: plan_types.Step,
        engine: document_lib.Engine,
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
        worker.step_begun = clock.now()
        worker.there_at = (
            clock.now() + _CLOSE_SECONDS + step.wait + step.seconds
        )
        worker.closing.update(step.victims)
        self._changed([step.target])
        worker.task = tasks.start(
            self._carry_out(worker, step, engine), "placement"
        )

    async def _carry_out(
        self,
        worker: worker_lib.EngineWorker,
        step: plan_types.Step,
        engine: document_lib.Engine,
    ) -> None:
        begun = clock.now()
        done = False
        try:
            done = await self._swap(worker, step, engine)
        finally:
            worker.step = None
            worker.closing.clear()
            worker.is_busy = False
            if not done:
                worker.blocked_until = clock.now() + _AGAIN_SECONDS
            elif step.reason in ("missing", "overdue"):
                worker.keep(step.model, clock.now() + _UNUSED_SECONDS)
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
        self,
        worker: worker_lib.EngineWorker,
        step: plan_types.Step,
        engine: document_lib.Engine,
    ) -> bool:
        if step.victims:
            await asyncio.sleep(_CLOSE_SECONDS)
            await self._until_idle(worker, step.victims)
        worker.is_busy = True
        for victim in step.victims:
            if not await self._unload(worker, victim, engine):
                return False
        if not await worker.order(load=True, model=step.model, engine=engine):
            return False
        worker.there_at = clock.now() + step.seconds
        self._changed([step.target])
        seconds = next(
            (m.load_seconds for m in engine.models if m.name == step.model), 5.0
        )
        return await self._until(
            worker,
            lambda: step.model in worker.models,
            2 * seconds + _OVERDUE_SECONDS,
        )

    async def _unload(
        self,
        worker: worker_lib.EngineWorker,
        victim: str,
        engine: document_lib.Engine,
    ) -> bool:
        if not await worker.order(load=False, model=victim, engine=engine):
            return False
        gone = await self._until(
            worker, lambda: victim not in worker.models, _UNLOAD_SECONDS
        )
        if gone:
            worker.forget_adapters(victim)
        return gone

    async def _until_idle(
        self, worker: worker_lib.EngineWorker, victims: tuple[str, ...]
    ) -> None:
        """Waits for the runs of models that are about to go.

        An engine that has been ordered to unload takes no other order until
        those runs have ended, and requests for its adapters would wait.
        """
        until = clock.now() + _RUNS_SECONDS
        while clock.now() < until:
            running = self._uses.running(worker.said.name)
            if not any(running.get(victim) for victim in victims):
                return
            await asyncio.sleep(_RUNS_POLL_SECONDS)

    async def _until(
        self,
        worker: worker_lib.EngineWorker,
        holds: Callable[[], bool],
        seconds: float,
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
                worker.distrust()
        return True
