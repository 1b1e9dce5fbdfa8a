"""Adapters under faults in virtual time; a part of `python -m soak.placement`.

The product's planner loads adapters on engines of few slots while orders are
lost, carried out seconds late or without an answer, engines restart or execute
orders of a previous planner, and the planner is replaced. Reported are engines
that hold more models or adapters than fit.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Iterator
import itertools
import random
from typing import NamedTuple

from endivestream import clock
from endivestream import placement_messages
from endivestream.connection import engines as engines_lib
from endivestream.connection import registry as registry_lib
from endivestream.process import planner as planner_lib
from endivestream.process import site_settings
from endivestream.request import demand as demand_lib
from endivestream.version import document as document_lib

from soak import virtual_time

_ENGINES = 6
_MODELS = ("a", "b", "c", "d")
_ADAPTERS = 24
_PLACES = 8
_RESIDENT = 2
_LOAD_SECONDS = 2.0
_REQUEST_RATE = 25.0
_RUN_SECONDS = 0.4
_PATIENCE_SECONDS = 1.0
_POLL_SECONDS = 0.02
_RENEW_SECONDS = 0.3
_FAULT_SECONDS = 1.5
_LATE_SECONDS = (0.6, 4.0)
_LOST_SHARE = 0.06
_ANSWER_SECONDS = 0.002


class Engine:
    """A fake engine.

    Attributes:
        name: Its name, which is also its address.
        loaded: Its models.
        adapters: Its adapters as `MODEL/ADAPTER`.
        running: Number of requests by adapter.
        is_busy: Whether it executes an order for a model.
        violations: What must not happen.
    """

    def __init__(self, name: str, loaded: set[str]) -> None:
        self.name = name
        self.loaded = loaded
        self.adapters: set[str] = set()
        self.running: collections.Counter[str] = collections.Counter()
        self.is_busy = False
        self.violations: list[str] = []
        self.accepted = 0
        self._started_at_ms = 1
        self._reports = 0

    @property
    def held(self) -> tuple[registry_lib.Loaded, ...]:
        """What its reports list."""
        return tuple(
            registry_lib.Loaded(
                model,
                1,
                tuple(
                    sorted(
                        name.partition("/")[2]
                        for name in self.adapters
                        if name.startswith(f"{model}/")
                    )
                ),
            )
            for model in sorted(self.loaded)
        )

    def registration(self) -> registry_lib.Registration:
        """Returns its next report."""
        self._reports += 1
        return registry_lib.Registration(
            name=self.name,
            service="s",
            address=self.name,
            domain="a",
            started_at_ms=self._started_at_ms,
            report_number=self._reports,
            slots=16,
            loaded=self.held,
            on_disk=_MODELS,
        )

    def restart(self) -> None:
        """Starts a new process, which has the models but no adapters."""
        self._started_at_ms += 1000
        self.adapters.clear()
        self.accepted = 0
        self.is_busy = False

    def receive(self, order: engines_lib.Order) -> engines_lib.Outcome:
        """Carries out an order."""
        if self.is_busy or order.expected != self.accepted:
            return engines_lib.Outcome.BUSY
        if order.adapter and order.model not in self.loaded:
            return engines_lib.Outcome.REFUSED
        self.accepted += 1
        name = f"{order.model}/{order.adapter}"
        if order.adapter and order.load:
            self.adapters.add(name)
            if len(self.adapters) > _PLACES:
                self.violations.append(f"{self.name}: above its places")
        elif order.adapter:
            self.adapters.discard(name)
            return engines_lib.Outcome.DONE
        else:
            self.execute(order)
        return engines_lib.Outcome.ACCEPTED

    def execute(self, order: engines_lib.Order) -> None:
        """Loads or unloads a model, and is busy meanwhile."""
        self.is_busy = True
        seconds = _LOAD_SECONDS if order.load else 0.01
        asyncio.get_running_loop().call_later(
            seconds, self._finish, order, self._started_at_ms
        )

    def _finish(self, order: engines_lib.Order, started_at_ms: int) -> None:
        if self._started_at_ms != started_at_ms:
            return
        self.is_busy = False
        if order.load:
            self.loaded.add(order.model)
            if len(self.loaded) > _RESIDENT:
                self.violations.append(f"{self.name}: above its memory")
            return
        self.loaded.discard(order.model)
        self.adapters = {
            name
            for name in self.adapters
            if not name.startswith(f"{order.model}/")
        }


class _Client:
    """Replaces `engines.Engines`; some orders are lost or late."""

    def __init__(self, engines: list[Engine], source: random.Random) -> None:
        self._engines = {engine.name: engine for engine in engines}
        self._source = source
        self.orders = 0
        self.is_disturbed = True

    async def order(
        self,
        address: str,
        target: str,
        order: engines_lib.Order,
        *,
        seconds: float,
    ) -> engines_lib.Outcome:
        await asyncio.sleep(_ANSWER_SECONDS)
        self.orders += 1
        engine = self._engines[target]
        draw = self._source.random() / _LOST_SHARE
        if not self.is_disturbed or draw >= 1:
            return engine.receive(order)
        if draw < 0.4:
            engine.receive(order)
        elif draw < 0.7:
            late = self._source.uniform(*_LATE_SECONDS)
            asyncio.get_running_loop().call_later(late, engine.receive, order)
        await asyncio.sleep(seconds)
        return engines_lib.Outcome.UNANSWERED

    async def report(
        self, address: str, *, seconds: float
    ) -> engines_lib.Report:
        await asyncio.sleep(_ANSWER_SECONDS)
        engine = self._engines[address]
        return engines_lib.Report(
            accepted=engine.accepted,
            busy=engine.is_busy,
            loaded=engine.held,
            loading=(),
        )


class Result(NamedTuple):
    """Outcome of a run.

    Attributes:
        requests: Number of requests with an adapter.
        at_once: Those that did not wait for it.
        refused: Those that waited in vain.
        orders: Number of orders.
        ahead: Number of loads ahead of demand, by result.
        faults: Number of faults by kind.
        violations: What must not happen.
    """

    requests: int
    at_once: int
    refused: int
    orders: int
    ahead: dict[str, int]
    faults: dict[str, int]
    violations: list[str]


class Site:
    """Engines, a planner that may be replaced, and callers of one host."""

    def __init__(self, *, seed: int) -> None:
        self._source = random.Random(f"adapters of {seed}")
        self.engines = [
            Engine(f"e{n}", set(models))
            for n, models in zip(
                range(_ENGINES),
                itertools.cycle(itertools.combinations(_MODELS, _RESIDENT)),
            )
        ]
        self.client = _Client(self.engines, self._source)
        self.ahead: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self._rates = demand_lib.RequestRates(now=clock.now())
        self._waiting: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._fence = 0
        self._calls: set[asyncio.Task[None]] = set()
        self.planner: planner_lib.Planner | None = None

    async def run(self, seconds: float, *, has_faults: bool) -> Result:
        """Runs callers and faults for some time."""
        self.client.is_disturbed = has_faults
        self._start_planner()
        end = clock.now() + seconds
        work = [self._report(), self._renew(), self._call_until(end)]
        if has_faults:
            work.append(self._disturb())
        tasks = [asyncio.create_task(each) for each in work]
        await tasks[2]
        await asyncio.wait(self._calls)
        for task in tasks:
            task.cancel()
        await self._stop_planner()
        return Result(
            requests=self.counts["requests"],
            at_once=self.counts["at once"],
            refused=self.counts["refused"],
            orders=self.client.orders,
            ahead=dict(self.ahead),
            faults=dict(self.faults),
            violations=[
                violation
                for engine in self.engines
                for violation in engine.violations
            ],
        )

    def _start_planner(self) -> None:
        self._fence += 1
        self.planner = planner_lib.Planner(
            settings=_settings(),
            engines=self.client,
            fence=self._fence,
            may_order=lambda: True,
            on_targets_changed=lambda names: None,
        )
        self.planner.set_document(_document())
        for engine in self.engines:
            self.planner.apply_report(engine.registration())
        self.planner.set_targets(
            [engine.name for engine in self.engines], set(), complete=True
        )
        self.planner.start()

    async def _stop_planner(self) -> None:
        planner, self.planner = self.planner, None
        if planner is not None:
            await planner.close()
            self.ahead.update(planner.ahead_results)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(_RENEW_SECONDS)
            if self.planner is not None:
                for engine in self.engines:
                    self.planner.apply_report(engine.registration())

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(_RENEW_SECONDS)
            rates = self._rates.rates(clock.now())
            if self.planner is None:
                continue
            self.planner.replace_demand(
                "h1",
                [
                    placement_messages.Demand(
                        *key, rates.get(key, 0.0), self._waiting[key], 0.5, 0.0
                    )
                    for key in {*rates, *(+self._waiting)}
                ],
            )
            self.planner.replace_uses("h1", list(self._uses()))

    def _uses(self) -> Iterator[placement_messages.Use]:
        for engine in self.engines:
            for name, count in engine.running.items():
                if count:
                    model, _, adapter = name.partition("/")
                    yield placement_messages.Use(
                        engine.name, model, adapter, count
                    )

    async def _call_until(self, end: float) -> None:
        weights = [1 / (n + 1) for n in range(_ADAPTERS)]
        names = [f"x{n}" for n in range(_ADAPTERS)]
        while clock.now() < end:
            await asyncio.sleep(self._source.expovariate(_REQUEST_RATE))
            model = self._source.choice(_MODELS)
            (adapter,) = self._source.choices(names, weights)
            task = asyncio.create_task(self._call(model, adapter))
            self._calls.add(task)

    async def _call(self, model: str, adapter: str) -> None:
        key = ("s", model, adapter)
        self._rates.count(key, clock.now())
        self.counts["requests"] += 1
        started_at = clock.now()
        name = f"{model}/{adapter}"
        engine = self._find(model, name)
        self.counts["at once"] += engine is not None
        self._waiting[key] += engine is None
        if engine is None and self.planner is not None:
            demand = placement_messages.Demand(*key, 0.25, 1, 0.5, 0.0)
            self.planner.add_waiting_demand("h1", (demand,))
        is_waiting = engine is None
        while engine is None and clock.now() < started_at + _PATIENCE_SECONDS:
            await asyncio.sleep(_POLL_SECONDS)
            engine = self._find(model, name)
        self._waiting[key] -= is_waiting
        if engine is None:
            self.counts["refused"] += 1
            return
        engine.running[name] += 1
        await asyncio.sleep(_RUN_SECONDS)
        engine.running[name] -= 1

    def _find(self, model: str, name: str) -> Engine | None:
        """Returns an engine that holds an adapter, as entry hosts know it."""
        planner = self.planner
        if planner is None:
            return None
        return next(
            (
                engine
                for engine in self.engines
                if name in engine.adapters
                and name in planner.usable_adapters(engine.name)
                and model not in planner.closing_models(engine.name)
            ),
            None,
        )

    async def _disturb(self) -> None:
        while True:
            await asyncio.sleep(self._source.expovariate(1 / _FAULT_SECONDS))
            engine = self._source.choice(self.engines)
            match self._source.randrange(3):
                case 0:
                    self.faults["restart"] += 1
                    engine.restart()
                    await asyncio.sleep(self._source.uniform(0.0, 0.3))
                    if self.planner is not None:
                        self.planner.apply_report(engine.registration())
                case 1:
                    self.faults["planner replaced"] += 1
                    await self._stop_planner()
                    if not engine.is_busy and len(engine.loaded) < _RESIDENT:
                        # An order of the previous planner that comes late.
                        self.faults["unknown order"] += 1
                        model = self._source.choice(_MODELS)
                        engine.accepted += 1
                        engine.execute(_order(model))
                    await asyncio.sleep(self._source.uniform(0.1, 2.0))
                    self._start_planner()
                case 2:
                    if engine.loaded and not engine.is_busy:
                        self.faults["model lost"] += 1
                        model = self._source.choice(sorted(engine.loaded))
                        engine.loaded.discard(model)
                        engine.restart()


def _order(model: str) -> engines_lib.Order:
    return engines_lib.Order(
        load=True, model=model, adapter="", expected=0, holder="c0", fence=0
    )


def _settings() -> site_settings.SiteSettings:
    return site_settings.SiteSettings(
        name="c1",
        domain="a",
        domains={},
        region="",
        callers="",
        peers="",
        controls=("tcp://127.0.0.1:1",),
        data_folder="",
        first_start=True,
        losses=1,
        report=1.0,
        bounds=site_settings.Bounds(),
    )


def _document() -> document_lib.Document:
    engine = document_lib.EngineCapacity(
        slots=16,
        cache_tokens=100_000,
        weights_mb=70.0 * _RESIDENT + _PLACES,
        adapter_places=_PLACES,
        loads_per_second=3.0,
        models=tuple(
            document_lib.Model(
                name=name,
                weights_mb=70.0,
                load_seconds=_LOAD_SECONDS,
                disk_seconds=_LOAD_SECONDS,
                memory_seconds=_LOAD_SECONDS,
                adapters=_ADAPTERS,
                adapter_mb=1.0,
            )
            for name in _MODELS
        ),
    )
    service = document_lib.Service(
        name="s", health_path="/", connections=99, engine=engine
    )
    return document_lib.Document(version=1, services=(service,))


def run(*, seed: int, seconds: float, has_faults: bool = True) -> Result:
    """Runs a site in virtual time."""
    with virtual_time.running() as runner:
        return runner.run(_run(seed, seconds, has_faults))


async def _run(seed: int, seconds: float, has_faults: bool) -> Result:
    return await Site(seed=seed).run(seconds, has_faults=has_faults)
