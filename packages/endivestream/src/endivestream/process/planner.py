"""The task that places models and adapters on engines according to demand.

`version.plan` makes the decisions; this module tracks the steps in progress.
One worker per engine sends the orders, one at a time. Each order carries the
number of orders that the engine is expected to have accepted before, so a late
or duplicate order does not match the engine's count and has no effect.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools
import math

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import placement_messages
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

_PLAN_INTERVAL_SECONDS = 0.05
# Rounds that take longer than this are followed by a pause, so that they take
# at most the share below of the event loop's time. Without it the rounds of
# 1,000 engines, each begun by a report, leave no time to renew the planner
# lease.
_LONG_ROUND_SECONDS = 0.02
_MAX_ROUND_SHARE = 0.25
# Delay between the announcement of a victim to entry hosts and the order to
# unload it: the push takes a few milliseconds, and requests already sent must
# arrive first.
_CLOSING_DELAY_SECONDS = 0.03
# The engine is queried if a load is not reported within this time after it was
# due.
_LOAD_GRACE_SECONDS = 1.0
# An unload waits for the running requests of its model; these end within this
# time.
_UNLOAD_TIMEOUT_SECONDS = 8.0
# Delay after a failed step before the engine is used again.
_STEP_RETRY_SECONDS = 0.3
# Number of times that this delay doubles while steps of an engine fail. The
# longest is shorter than the time after which an engine that has crashed and
# come back reports.
_MAX_RETRY_DOUBLINGS = 3
# Delay between two loads of models on an engine whose adapters are loaded
# ahead. The next load takes seconds, and the engine accepts no adapters
# meanwhile; eight adapters, four at a time, take less than this.
_ADAPTERS_FIRST_SECONDS = 0.2
# Maximum wait for a victim's running requests before its unload is ordered;
# during the wait the engine still accepts adapters.
_RUNS_TIMEOUT_SECONDS = 5.0
# A step that waits longer than this does not prevent loading its model on
# another engine.
_STUCK_AFTER_SECONDS = 1.0
_RUNS_POLL_SECONDS = 0.02
# Interval at which an engine that executes an unknown order is queried.
_UNKNOWN_ORDER_POLL_SECONDS = 0.3
# An entry host that reports more than this share of the engines as failing is
# likely cut off from them.
_MAX_FAILING_SHARE = 0.25
# Number of entry hosts that must report a target as failing before it counts
# as unreachable.
_MIN_FAILING_HOSTS = 2
# Fraction of the weight store's rate limit that the planner uses.
_STORE_RATE_SHARE = 0.9
# A model loaded for waiting requests is not displaced for the first of these
# times, or for the second once a request runs: callers received a Retry-After
# for it, and loads take longer than callers wait.
_UNUSED_PIN_SECONDS = 5.0
_USED_PIN_SECONDS = 1.0
# Minimum interval between log lines about one model that is not placed.
_UNPLACED_LOG_INTERVAL_SECONDS = 1.0


class Planner:
    """Places models and adapters while this host holds the planner lease."""

    def __init__(
        self,
        *,
        settings: site_settings.SiteSettings,
        engines: engines_lib.Engines,
        fence: int,
        may_order: Callable[[], bool],
        on_targets_changed: Callable[[Iterable[str]], None],
        on_request_sent: Callable[[str], None] = lambda target: None,
        evacuated_domains: Callable[[], Collection[str]] = frozenset,
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Sends no orders before `start`.

        Args:
            settings: The host's settings.
            engines: Client for calls to engines.
            fence: The fencing token of all orders.
            may_order: Returns whether this host is certain to be the only one
                that sends orders; called before each order.
            on_targets_changed: Called with the targets whose closing models or
                adapters changed.
            on_request_sent: Called for each order or query to a target that
                names a rate limit.
            evacuated_domains: Returns the failure domains whose engines get
                neither requests nor models.
            meter: Records the time spent on planning.
        """
        self._meter = meter or loop_meter.LoopMeter()
        self._settings = settings
        self._engines = engines
        self._fence = fence
        self._may_order = may_order
        self._on_targets_changed = on_targets_changed
        self._on_request_sent = on_request_sent
        self._evacuated_domains = evacuated_domains
        # Rate limits named by targets, in requests per second.
        self._rate_limits: dict[str, float] = {}
        self._services: dict[str, document_lib.EngineCapacity] = {}
        self._workers: dict[str, worker_lib.EngineWorker] = {}
        self._silent_targets: set[str] = set()
        self._is_table_complete = False
        self._demand = demand_table.DemandTable()
        # Resumed streams that wait for models, by entry host.
        self._bound_demand: dict[
            str, tuple[placement_messages.BoundDemand, ...]
        ] = {}
        self._uses = use_table.UseTable()
        # Targets that fail, by the entry host that reported them.
        self._failing_targets: dict[str, frozenset[str]] = {}
        # Times of orders that load from the weight store.
        self._store_loads: list[float] = []
        self._started_at = clock.now()
        # Models that requests wait for and that no step loads, by service.
        self._unplaced: dict[str, list[plan_types.Unplaced]] = {}
        self._unplaced_logged_at: dict[tuple[str, str], float] = {}
        self._wake_up = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        # Tasks that query engines which execute unknown orders, by engine.
        self._unknown_orders: dict[str, asyncio.Task[None]] = {}
        self._adapters = adapter_placer.AdapterPlacer(
            on_targets_changed=on_targets_changed, running=self._uses.adapters
        )

    def start(self) -> None:
        """Starts planning."""
        self._tasks = [tasks.start_restarting(self._run, type(self).__name__)]

    async def close(self) -> None:
        """Stops planning; orders already sent are not tracked further."""
        running = [w.task for w in self._workers.values()]
        await tasks.cancel(
            (*self._tasks, *running, *self._unknown_orders.values())
        )
        await self._adapters.close()

    # Input.

    def set_document(self, document: document_lib.Document) -> None:
        """Sets the services that have engines."""
        self._services = {
            service.name: service.engine
            for service in document.services
            if service.engine is not None
        }
        self._unplaced = {
            service: unplaced
            for service, unplaced in self._unplaced.items()
            if service in self._services
        }

    def set_targets(
        self, names: Iterable[str], silent: set[str], *, complete: bool
    ) -> None:
        """Sets the registered targets.

        Args:
            names: Names of all targets.
            silent: Targets from which no reports were received recently.
            complete: Whether the leader has received a report from every
                healthy target.
        """
        self._is_table_complete = complete
        self._silent_targets = set(silent)
        if not complete:
            # A new leader's table lists only the targets that have reported to
            # it. Removing the others would cancel their running steps.
            return
        for name in self._workers.keys() - set(names):
            worker = self._workers.pop(name)
            self._adapters.drop(worker)
            if worker.task is not None:
                worker.task.cancel()

    def set_rate_limits(self, rates: dict[str, float]) -> None:
        """Sets the rate limits of targets, in requests per second."""
        self._rate_limits = dict(rates)

    def _count_send(self, target: str) -> None:
        if target in self._rate_limits:
            self._on_request_sent(target)

    def apply_report(self, registration: registry_lib.Registration) -> None:
        """Applies a report of a target."""
        worker = self._workers.get(registration.name)
        if (
            worker is None
            or worker.registration.started_at_ms != registration.started_at_ms
        ):
            if worker is not None:
                self._adapters.drop(worker)
                if worker.task is not None:
                    worker.task.cancel()
            worker = worker_lib.EngineWorker(
                registration=registration,
                engines=self._engines,
                holder=self._settings.name,
                fence=self._fence,
                may_order=self._may_order,
                on_request_sent=self._count_send,
            )
            self._workers[registration.name] = worker
        worker.apply_report(registration)
        self._wake_up.set()

    def replace_demand(
        self,
        host: str,
        demand: Iterable[placement_messages.Demand],
        slot_demand: Iterable[placement_messages.SlotDemand] = (),
    ) -> None:
        """Replaces the demand of an entry host."""
        self._demand.remove_host(host)
        self._record_demand(host, demand, slot_demand)

    def add_waiting_demand(
        self,
        host: str,
        demand: Iterable[placement_messages.Demand],
        slot_demand: Iterable[placement_messages.SlotDemand] = (),
    ) -> None:
        """Adds demand of waiting requests and plans immediately."""
        self._record_demand(host, demand, slot_demand)
        self._wake_up.set()

    def _record_demand(
        self,
        host: str,
        demand: Iterable[placement_messages.Demand],
        slot_demand: Iterable[placement_messages.SlotDemand],
    ) -> None:
        slots = {
            (each.service, each.model, each.adapter): each
            for each in slot_demand
        }
        for entry in demand:
            self._demand.record_demand(
                host, entry, clock.now(), slots=slots.get(entry[:3])
            )

    def replace_bound_demand(
        self, host: str, demand: Iterable[placement_messages.BoundDemand]
    ) -> None:
        """Replaces the resumed streams of an entry host that wait."""
        self._bound_demand[host] = tuple(demand)

    def add_bound_demand(
        self, host: str, demand: Iterable[placement_messages.BoundDemand]
    ) -> None:
        """Adds resumed streams that wait, and plans immediately."""
        self._bound_demand[host] = (
            *self._bound_demand.get(host, ()),
            *demand,
        )
        self._wake_up.set()

    def replace_uses(
        self, host: str, uses: Iterable[placement_messages.Use]
    ) -> None:
        """Replaces the running requests of an entry host."""
        uses = tuple(uses)
        self._uses.note(host, uses)
        now = clock.now()
        for use in uses:
            worker = self._workers.get(use.target)
            name = f"{use.model}/{use.adapter}"
            if worker is None:
                continue
            worker.limit_pin(use.model, now + _USED_PIN_SECONDS)
            if use.adapter and name in worker.adapters:
                worker.adapters[name] = now

    def replace_failing_targets(
        self, host: str, targets: Iterable[str]
    ) -> None:
        """Replaces the targets that an entry host reports as failing."""
        failing = frozenset(targets)
        if failing != self._failing_targets.get(host, frozenset()):
            self._failing_targets[host] = failing
            self._wake_up.set()

    def _is_failing(self, target: str) -> bool:
        """Returns whether enough entry hosts report a target as failing.

        Missing reports reveal a crashed engine only after three seconds; until
        then, models that it alone held would not be loaded elsewhere (symptom:
        callers of its models are refused, although their connections failed
        immediately). One host is not sufficient: it may be the one that is
        partitioned from the target.
        """
        hosts = sum(
            target in failing for failing in self._failing_targets.values()
        )
        return hosts >= min(_MIN_FAILING_HOSTS, len(self._failing_targets))

    def _counts_as_lost(self, target: str) -> bool:
        return bool(self._failing_targets) and self._is_failing(target)

    def _is_suspect(self, target: str) -> bool:
        """Returns whether any entry host reports only few targets with it."""
        limit = _MAX_FAILING_SHARE * len(self._workers)
        return any(
            target in failing and len(failing) <= limit
            for failing in self._failing_targets.values()
        )

    def remove_host(self, host: str) -> None:
        """Removes the state of an entry host that was removed."""
        self._failing_targets.pop(host, None)
        self._uses.forget(host)
        self._demand.remove_host(host)
        self._bound_demand.pop(host, None)

    # Output.

    @property
    def targets(self) -> tuple[str, ...]:
        """Names of all known engines."""
        return tuple(self._workers)

    @property
    def occupied_count(self) -> int:
        """Number of engines that execute a step or an unknown order."""
        return sum(
            worker.step is not None or _has_unknown_order(worker)
            for worker in self._workers.values()
        )

    @property
    def ahead_results(self) -> Mapping[str, int]:
        """Number of adapter loads ahead of demand, by result."""
        return self._adapters.ahead_results

    @property
    def unplaced_count(self) -> int:
        """Number of models that requests wait for and that no step loads."""
        return sum(map(len, self._unplaced.values()))

    def closing_models(self, target: str) -> tuple[str, ...]:
        """Returns the models that get no new requests on a target."""
        worker = self._workers.get(target)
        return tuple(sorted(worker.closing)) if worker else ()

    def pending_loads(
        self, target: str
    ) -> tuple[placement_messages.LoadingModel, ...]:
        """Returns the models being loaded on a target, with the time left."""
        worker = self._workers.get(target)
        if worker is None or worker.step is None:
            return ()
        remaining = max(0.0, worker.expected_ready_at - clock.now())
        return (placement_messages.LoadingModel(worker.step.model, remaining),)

    def usable_adapters(self, target: str) -> tuple[str, ...]:
        """Returns the adapters usable on a target, as `MODEL/ADAPTER`."""
        worker = self._workers.get(target)
        if worker is None:
            return ()
        excluded = worker.evicting_adapters | worker.pending_adapters
        return tuple(sorted(worker.adapters.keys() - excluded))

    # Planning.

    async def _run(self) -> None:
        started = False
        while True:
            self._wake_up.clear()
            if self._may_order():
                if not started:
                    logs.event("planner_started", fence=self._fence)
                    started = True
                began_at = clock.now()
                self._plan()
                pause = _pause_seconds(clock.now() - began_at)
                if pause:
                    await asyncio.sleep(pause)
            try:
                async with asyncio.timeout(_PLAN_INTERVAL_SECONDS):
                    await self._wake_up.wait()
            except TimeoutError:
                pass

    def _plan(self) -> None:
        """Plans one round and logs exceptions, so that the next round runs.

        An uncaught exception would end placement until the next leader
        (symptom: more and more requests find no model). The next round starts
        from new reports. A service whose round fails does not affect others.
        """
        now = clock.now()
        with self._meter.span("plan"):
            for service, engine in self._services.items():
                try:
                    self._plan_service(service, engine, now)
                except Exception as error:
                    logs.log_error("plan_failed", error, service=service)

    def _plan_service(
        self, service: str, engine: document_lib.EngineCapacity, now: float
    ) -> None:
        workers = {
            name: worker
            for name, worker in self._workers.items()
            if worker.registration.service == service
        }
        if engine.is_slot_bound:
            self._watch_unknown_orders(workers.values())
        self._demand.record_servable(
            self._servable_keys(service, workers.values()), now
        )
        planned = plan_lib.plan(
            capacity=engine,
            engines=[
                self._describe_engine(worker, engine)
                for worker in workers.values()
            ],
            demands=self._demand.demands(service, now),
            bound=self._bound_models(service),
            store_loads=self._allowed_store_loads(engine, now),
            complete=self._is_table_complete,
        )
        for step in planned.steps:
            self._start_step(workers[step.target], step, engine)
        self._unplaced[service] = planned.unplaced
        self._log_unplaced(service, now)
        usable = [
            worker
            for worker in workers.values()
            if self._accepts_requests(worker)
        ]
        waiting = self._demand.waiting_adapters(service, now)
        self._adapters.plan(
            engine=engine, workers=usable, requested=waiting, now=now
        )
        if engine.is_slot_bound:
            self._adapters.load_ahead(
                engine=engine,
                workers=[
                    worker
                    for worker in usable
                    if not self._counts_as_lost(worker.registration.name)
                ],
                rates=self._demand.adapter_rates(service),
                waiting={*waiting, *self._bound_adapters(service)},
                now=now,
            )
        self._plan_bound_adapters(service, engine, usable, now)

    def _watch_unknown_orders(
        self, workers: Iterable[worker_lib.EngineWorker]
    ) -> None:
        """Queries engines that execute orders of a previous lease holder.

        They get no steps until a query shows no such order (symptom: a new
        planner plans for the same engines in each round, and each step fails).
        """
        for worker in workers:
            name = worker.registration.name
            if _has_unknown_order(worker) and name not in self._unknown_orders:
                self._unknown_orders[name] = tasks.start(
                    self._await_unknown_order(worker), "unknown_order"
                )

    async def _await_unknown_order(
        self, worker: worker_lib.EngineWorker
    ) -> None:
        name = worker.registration.name
        started_at = clock.now()
        logs.event("unknown_order", target=name)
        try:
            while (
                worker.has_unknown_order and self._workers.get(name) is worker
            ):
                await asyncio.sleep(_UNKNOWN_ORDER_POLL_SECONDS)
                await worker.query()
        finally:
            del self._unknown_orders[name]
        logs.event(
            "unknown_order_ended",
            target=name,
            seconds=clock.now() - started_at,
        )
        self._wake_up.set()

    def _bound_models(self, service: str) -> list[plan_types.BoundModel]:
        """Returns the models that resumed streams of a service wait for."""
        waiting: collections.Counter[tuple[str, str]] = collections.Counter()
        objectives: dict[tuple[str, str], float] = {}
        for demand in itertools.chain(*self._bound_demand.values()):
            if demand.service != service:
                continue
            key = demand.software, demand.model
            waiting[key] += demand.waiting
            objectives[key] = min(
                objectives.get(key, math.inf), demand.shortest_objective
            )
        return [
            plan_types.BoundModel(*key, count, objectives[key])
            for key, count in waiting.items()
        ]

    def _bound_adapters(self, service: str) -> Iterator[str]:
        """Yields each `MODEL/ADAPTER` that resumed streams wait for."""
        for demand in itertools.chain(*self._bound_demand.values()):
            if demand.service == service and demand.adapter:
                yield f"{demand.model}/{demand.adapter}"

    def _plan_bound_adapters(
        self,
        service: str,
        engine: document_lib.EngineCapacity,
        usable: Collection[worker_lib.EngineWorker],
        now: float,
    ) -> None:
        """Loads adapters for resumed streams at their software versions."""
        requested: dict[str, dict[str, float]] = {}
        for demand in itertools.chain(*self._bound_demand.values()):
            if demand.service == service and demand.adapter:
                name = f"{demand.model}/{demand.adapter}"
                requested.setdefault(demand.software, {})[name] = 0.0
        for software, names in requested.items():
            self._adapters.plan(
                engine=engine,
                workers=[
                    worker
                    for worker in usable
                    if worker.registration.software == software
                ],
                requested=names,
                now=now,
            )

    def _log_unplaced(self, service: str, now: float) -> None:
        logged = self._unplaced_logged_at
        for key, logged_at in list(logged.items()):
            if now - logged_at >= _UNPLACED_LOG_INTERVAL_SECONDS:
                del logged[key]
        for entry in self._unplaced[service]:
            key = (service, entry.model)
            if key in logged:
                continue
            logged[key] = now
            logs.event(
                "unplaced",
                model=entry.model,
                reason=entry.obstacle,
                waiting=entry.waiting,
                gain=entry.gain,
                loss=entry.loss,
            )

    def _servable_keys(
        self, service: str, workers: Iterable[worker_lib.EngineWorker]
    ) -> Iterator[demand_table.Key]:
        """Yields keys of the models and adapters that can serve requests."""
        for worker in workers:
            if not self._accepts_requests(worker):
                continue
            for model in worker.models - worker.closing:
                yield (service, model, "")
            for name in self.usable_adapters(worker.registration.name):
                model, _, adapter = name.partition("/")
                yield (service, model, adapter)

    def _accepts_requests(self, worker: worker_lib.EngineWorker) -> bool:
        """Returns whether entry hosts send requests to an engine."""
        registration = worker.registration
        return (
            not registration.draining
            and registration.name not in self._silent_targets
            and registration.domain not in self._evacuated_domains()
        )

    def _describe_engine(
        self,
        worker: worker_lib.EngineWorker,
        engine: document_lib.EngineCapacity,
    ) -> plan_types.EngineState:
        name = worker.registration.name
        return plan_types.EngineState(
            target=name,
            domain=worker.registration.domain,
            software=worker.registration.software,
            loaded=tuple(sorted(worker.models - worker.closing)),
            loading="" if self._is_stuck(worker) else worker.loading,
            busy=worker.step is not None
            or (engine.is_slot_bound and worker.has_unknown_order)
            or clock.now() < worker.blocked_until,
            usable=self._accepts_requests(worker)
            and not self._counts_as_lost(name),
            in_memory=worker.registration.in_memory,
            on_disk=worker.registration.on_disk,
            running=self._uses.running(name),
            is_disk_copy_load=worker.step is not None
            and worker.step.reason == "home",
            is_overdue=worker.step is not None
            and worker.step.reason == "overdue",
            protected=worker.pinned_models(clock.now()),
            rate_limit=self._rate_limits.get(name),
            busy_seconds=_busy_seconds(worker),
            is_suspect=self._is_suspect(name),
        )

    def _is_stuck(self, worker: worker_lib.EngineWorker) -> bool:
        """Returns whether a step still waits for requests of its victims.

        Its model may then be loaded on another engine. Otherwise one stream of
        several seconds would delay all requests for the model while other
        engines are idle.
        """
        is_waiting = worker.step is not None and not worker.is_busy
        return (
            is_waiting
            and clock.now() - worker.step_started_at > _STUCK_AFTER_SECONDS
        )

    def _allowed_store_loads(
        self, engine: document_lib.EngineCapacity, now: float
    ) -> int:
        """Returns how many loads from the weight store may start now."""
        window = self._settings.bounds.store_window
        self._store_loads = [t for t in self._store_loads if now - t < window]
        allowed = int(engine.loads_per_second * window * _STORE_RATE_SHARE)
        pending = sum(
            worker.will_load_from_store for worker in self._workers.values()
        )
        return allowed - len(self._store_loads) - pending

    # Steps.

    def _start_step(
        self,
        worker: worker_lib.EngineWorker,
        step: plan_types.Step,
        engine: document_lib.EngineCapacity,
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
            seconds=step.victim_run_seconds + step.load_seconds,
        )
        worker.step = step
        worker.has_ordered_load = False
        worker.step_started_at = clock.now()
        worker.expected_ready_at = (
            clock.now()
            + _CLOSING_DELAY_SECONDS
            + step.victim_run_seconds
            + step.load_seconds
        )
        worker.closing.update(step.victims)
        self._on_targets_changed([step.target])
        worker.task = tasks.start(
            self._run_step(worker, step, engine), "placement"
        )

    async def _run_step(
        self,
        worker: worker_lib.EngineWorker,
        step: plan_types.Step,
        engine: document_lib.EngineCapacity,
    ) -> None:
        started_at = clock.now()
        succeeded = False
        try:
            succeeded = await self._execute_step(worker, step, engine)
        finally:
            worker.step = None
            worker.closing.clear()
            worker.is_busy = False
            if not succeeded:
                worker.blocked_until = clock.now() + _step_retry_seconds(
                    worker, engine
                )
                worker.failed_steps += 1
            else:
                worker.failed_steps = 0
            if succeeded and step.reason in ("missing", "overdue", "bound"):
                worker.pin_model(step.model, clock.now() + _UNUSED_PIN_SECONDS)
            if succeeded and engine.is_slot_bound:
                worker.blocked_until = clock.now() + _ADAPTERS_FIRST_SECONDS
            logs.event(
                "placed" if succeeded else "placement_failed",
                target=step.target,
                model=step.model,
                seconds=clock.now() - started_at,
            )
            if worker.registration.name in self._workers:
                self._on_targets_changed([step.target])
            self._wake_up.set()

    async def _execute_step(
        self,
        worker: worker_lib.EngineWorker,
        step: plan_types.Step,
        engine: document_lib.EngineCapacity,
    ) -> bool:
        if step.victims:
            await asyncio.sleep(_CLOSING_DELAY_SECONDS)
            await self._wait_until_idle(worker, step.victims)
        worker.is_busy = True
        for victim in step.victims:
            if not await self._unload(worker, victim, engine):
                return False
        if not await self._order_load(worker, step, engine):
            return False
        worker.expected_ready_at = clock.now() + step.load_seconds
        self._on_targets_changed([step.target])
        seconds = next(
            (m.load_seconds for m in engine.models if m.name == step.model), 5.0
        )
        return await self._wait_for_effect(
            worker,
            lambda: step.model in worker.models,
            2 * seconds + _LOAD_GRACE_SECONDS,
        )

    async def _order_load(
        self,
        worker: worker_lib.EngineWorker,
        step: plan_types.Step,
        engine: document_lib.EngineCapacity,
    ) -> bool:
        sent_before = worker.sent_orders
        try:
            return await worker.order(
                load=True, model=step.model, engine=engine
            )
        finally:
            worker.has_ordered_load = True
            # An order without an answer may be executed. A step that sent no
            # order does not count: an engine that has crashed would use up
            # the rate (symptom: no loads from the store for seconds).
            if step.from_store and worker.sent_orders > sent_before:
                self._store_loads.append(clock.now())

    async def _unload(
        self,
        worker: worker_lib.EngineWorker,
        victim: str,
        engine: document_lib.EngineCapacity,
    ) -> bool:
        if not await worker.order(load=False, model=victim, engine=engine):
            return False
        unloaded = await self._wait_for_effect(
            worker, lambda: victim not in worker.models, _UNLOAD_TIMEOUT_SECONDS
        )
        if unloaded:
            worker.remove_model_state(victim)
        return unloaded

    async def _wait_until_idle(
        self, worker: worker_lib.EngineWorker, victims: tuple[str, ...]
    ) -> None:
        """Waits for the running requests of models to be unloaded.

        An engine that was ordered to unload accepts no other order until those
        requests have ended, and requests for its adapters would wait.
        """
        deadline = clock.now() + _RUNS_TIMEOUT_SECONDS
        while clock.now() < deadline:
            running = self._uses.running(worker.registration.name)
            if not any(running.get(victim) for victim in victims):
                return
            await asyncio.sleep(_RUNS_POLL_SECONDS)

    async def _wait_for_effect(
        self,
        worker: worker_lib.EngineWorker,
        condition: Callable[[], bool],
        seconds: float,
    ) -> bool:
        """Waits until reports show an effect; returns False on a timeout."""
        deadline = clock.now() + seconds
        while not condition():
            worker.report_received.clear()
            remaining = deadline - clock.now()
            if remaining <= 0:
                return False
            try:
                async with asyncio.timeout(remaining):
                    await worker.report_received.wait()
            except TimeoutError:
                worker.invalidate_order_count()
        return True


def _pause_seconds(round_seconds: float) -> float:
    """Returns the pause after a round of planning; 0 after a short one."""
    if round_seconds <= _LONG_ROUND_SECONDS:
        return 0.0
    return round_seconds * (1.0 / _MAX_ROUND_SHARE - 1.0)


def _step_retry_seconds(
    worker: worker_lib.EngineWorker, engine: document_lib.EngineCapacity
) -> float:
    """Returns the pause before the next step of an engine after a failed one.

    An engine that has crashed is listed until its reports are overdue, and
    would get a step in each round.
    """
    if not engine.is_slot_bound:
        return _STEP_RETRY_SECONDS
    doublings = min(worker.failed_steps, _MAX_RETRY_DOUBLINGS)
    return _STEP_RETRY_SECONDS * 2**doublings


def _has_unknown_order(worker: worker_lib.EngineWorker) -> bool:
    """Returns whether an engine executes an order that is none of this planner.

    A query also reports an order of the planner's own step as one in progress.
    """
    return worker.step is None and worker.has_unknown_order


def _busy_seconds(worker: worker_lib.EngineWorker) -> float:
    """Returns the time until the order in progress is expected to end."""
    if worker.step is not None:
        # A query also reports an order of this step as one in progress.
        return max(0.0, worker.expected_ready_at - clock.now())
    return math.inf if worker.has_unknown_order else 0.0
