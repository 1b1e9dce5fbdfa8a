"""Model of a site: entry hosts and a planner with the product's deciders.

Entry hosts pick targets with `request.target_selection`, wait for prefill turns
of `request.turns` and report demand; the planner runs `version.plan`. Engines
with few slots have the queues of `request.waiting.admission_queue` and the
turns of `request.waiting.prompt_spacing`. Messages take no time, but reports
and loads of other hosts are as old as renewals make them. Times are seconds.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import math
import random

from endivestream import placement_messages
from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.process import demand_table
from endivestream.request import demand as demand_lib
from endivestream.request import target_selection
from endivestream.request import turns as turns_lib
from endivestream.request.waiting import admission_queue
from endivestream.request.waiting import prompt_spacing
from endivestream.version import document as document_lib
from endivestream.version import plan_types

from replay import clock as clock_lib
from replay import engine as engine_lib
from replay import patterns
from replay import slots as slots_lib

_DOMAINS = 3
RESIDENT = 3
_DISK_MODELS = 6
_HOST_MODELS = 2
HOSTS = 36
_RENEW_SECONDS = 0.3
_PLAN_SECONDS = 0.05
_POLL_SECONDS = 0.05
_TURN_OBJECTIVE_SHARE = 0.6
_FREE_SLOT_OBJECTIVES = 0.3
_WAIT_SHARE = 0.85
_NEXT_COPY_OBJECTIVES = 0.3
_MAX_COPIES_ASKED = 3
# Gap objective of all streams.
_GAP_SECONDS = 0.3
# Time until an answer has ended, for callers that state none.
_DEADLINE_SECONDS = 15.0
_REPORT_DELAY_SECONDS = 0.1
_MAX_VICTIM_RUN_SECONDS = 5.0
_UNUSED_PIN_SECONDS = 5.0
_USED_PIN_SECONDS = 1.0
_STORE_WINDOW_SECONDS = 5.0
_STORE_RATE_SHARE = 0.9
_WEIGHTS_MB = 72_700.0


@dataclasses.dataclass(kw_only=True, eq=False)
class _Placed:
    """Placement state of one engine.

    Attributes:
        engine: The engine.
        loaded: Its loaded models.
        in_memory: Models in its host memory, least recently used first.
        on_disk: Models on its disk, least recently used first.
        step: The step in progress.
        ready_at: When the last step was expected to end.
        is_failed: Whether the engine crashed during its step: it then holds
            nothing at the end.
        pinned_until: Until when a model loaded for waiting requests is kept.
    """

    engine: engine_lib.Engine
    loaded: list[str]
    in_memory: list[str]
    on_disk: list[str]
    step: plan_types.Step | None = None
    ready_at: float = 0.0
    is_failed: bool = False
    pinned_until: dict[str, float] = dataclasses.field(default_factory=dict)

    def running(self) -> collections.Counter[str]:
        """Returns the running requests by model."""
        return collections.Counter(r.model for r in self.engine.running)


class Site:
    """A site that replays one list of requests."""

    def __init__(
        self,
        *,
        seed: int,
        shape: patterns.Shape,
        plan: Callable[..., plan_types.PlanResult],
    ) -> None:
        """Initializes a site with models placed at random.

        Args:
            seed: Seed of the initial placement.
            shape: Engines and models.
            plan: Plans one round, as `version.plan.plan` does.
        """
        self.clock = clock_lib.VirtualClock()
        self._shape = shape
        self._plan_round = plan
        self._source = random.Random(seed)
        self._capacity = document_lib.EngineCapacity(
            slots=shape.speed.slots,
            cache_tokens=103_909,
            weights_mb=230_000.0,
            adapter_places=8,
            loads_per_second=shape.loads_per_second,
            models=tuple(
                document_lib.Model(
                    name=name,
                    weights_mb=_WEIGHTS_MB,
                    load_seconds=shape.load_seconds,
                    disk_seconds=shape.disk_seconds,
                    memory_seconds=shape.memory_seconds,
                )
                for name in patterns.model_names(shape)
            ),
        )
        self._placed: dict[str, _Placed] = {}
        self._create_engines()
        self._hosts = [_EntryHost(f"d{n % _DOMAINS}") for n in range(HOSTS)]
        self._demand = demand_table.DemandTable()
        self._turns = turns_lib.PrefillTurns()
        self._spacing = prompt_spacing.PromptSpacing()
        self._queues = slots_lib.SlotQueues(
            clock=self.clock, slots=shape.speed.slots
        )
        self._store_loads: list[float] = []
        self._waiting: list[engine_lib.Request] = []
        # Loads by source: store, disk or memory.
        self.loads: collections.Counter[str] = collections.Counter()
        self._numbers = 0
        self._registrations: dict[str, registry_lib.Registration] = {}

    def _create_engines(self) -> None:
        shape = self._shape
        models = list(patterns.model_names(shape))
        self._source.shuffle(models)
        names = [f"t{n}" for n in range(shape.engines)]
        slowdowns = shape.slowdowns
        for number, name in enumerate(names):
            engine = engine_lib.Engine(
                name,
                f"d{number % _DOMAINS}",
                shape.speed.scaled(
                    slowdowns[number // _DOMAINS % len(slowdowns)]
                ),
                self.clock,
                self._on_start,
                self._on_end,
            )
            on_disk = models[number :: shape.engines]
            on_disk += self._source.sample(models, 2)
            if shape.idle_seconds:
                on_disk = []
            loaded = list(dict.fromkeys(on_disk))[:RESIDENT]
            self._placed[name] = _Placed(
                engine=engine,
                loaded=loaded,
                in_memory=loaded[:_HOST_MODELS],
                on_disk=on_disk[:_DISK_MODELS],
            )

    def run(self, requests: list[engine_lib.Request], seconds: float) -> None:
        """Replays requests, and some seconds more for their answers."""
        for request in requests:
            self.clock.call_in(
                request.arrived_at, lambda r=request: self._arrive(r)
            )
        self._push_table()
        self.clock.call_every(_RENEW_SECONDS, self._renew)
        self.clock.call_every(_PLAN_SECONDS, self._plan)
        self.clock.run(seconds)

    # Requests.

    def _arrive(self, request: engine_lib.Request) -> None:
        host = self._hosts[request.host % HOSTS]
        key = ("s", request.model, "")
        host.rates.count(key, self.clock.now, request.rank)
        self._try_send(request)

    def _requirements(
        self, request: engine_lib.Request, tried: tuple[str, ...] = ()
    ) -> target_selection.TargetRequirements:
        waited = self.clock.now - request.arrived_at
        return target_selection.TargetRequirements(
            service="s",
            model=request.model,
            rank=request.rank,
            tried=tried,
            can_wait=waited < _FREE_SLOT_OBJECTIVES * request.objective,
            is_queued=self._capacity.is_slot_bound,
        )

    def _try_send(self, request: engine_lib.Request) -> None:
        if self._capacity.is_slot_bound:
            self._ask_for_slot(request, {})
            return
        now = self.clock.now
        host = self._hosts[request.host % HOSTS]
        pick = host.view.pick(
            self._requirements(request), now, limit=self._shape.speed.slots
        )
        if isinstance(pick, target_selection.Unavailable):
            self._wait_or_refuse(request, pick)
            return
        self._stop_waiting(request)
        self._wait_for_turn(request, pick.target.registration)

    def _ask_for_slot(
        self, request: engine_lib.Request, full: dict[str, float]
    ) -> None:
        """Waits in the queues of engines, as `request/target_wait` does.

        Args:
            request: The request.
            full: When the engines that refused it expect to have a slot; only
                those at which it can still wait.
        """
        now = self.clock.now
        host = self._hosts[request.host % HOSTS]
        latest = request.arrived_at + _WAIT_SHARE * request.silence

        def pick(tried: tuple[str, ...]):
            return host.view.pick(
                self._requirements(request, tried),
                now,
                limit=self._shape.speed.slots,
            )

        picked = pick(tuple(full))
        if isinstance(picked, target_selection.Unavailable) and not full:
            self._wait_or_refuse(request, picked)
            return
        self._stop_waiting(request)
        if (
            isinstance(picked, target_selection.Unavailable)
            or len(full) >= _MAX_COPIES_ASKED
        ):
            name = min(full, key=lambda each: full[each])
            if full[name] > latest:
                request.is_refused = True
                request.reason = request.reason or "forecast"
                return
            is_patient = True
        else:
            name = picked.target.registration.name
            is_patient = len(full) + 1 >= _MAX_COPIES_ASKED or isinstance(
                pick((*full, name)), target_selection.Unavailable
            )
        if (
            not is_patient
            and self._queues.granted(name)
            and self._spacing.is_too_long(name, request.prompt, _GAP_SECONDS)
        ):
            full[name] = now
            self._ask_for_slot(request, full)
            return
        until = latest
        if not is_patient:
            until = request.arrived_at + (
                _NEXT_COPY_OBJECTIVES * request.objective
            )

        def decide(answer: slots_lib.Answer) -> None:
            match answer:
                case admission_queue.Send():
                    self._wait_for_turn(
                        request, self._registrations[name], is_granted=True
                    )
                case admission_queue.Refuse(
                    retry_seconds=seconds, waited=waited
                ):
                    request.reason = "full" if waited else "forecast"
                    expected = self.clock.now + seconds
                    full[name] = math.inf if is_patient else expected
                    self._ask_for_slot(request, full)

        self._queues.ask(
            name,
            admission_queue.SlotRequest(
                request=str(id(request)),
                host=str(request.host),
                rank=request.rank,
                objective_at=request.arrived_at
                + _TURN_OBJECTIVE_SHARE * request.objective,
                patience_at=max(until, now + 0.1),
                deadline=request.arrived_at + 2 * _DEADLINE_SECONDS,
            ),
            decide,
        )

    def _wait_for_turn(
        self,
        request: engine_lib.Request,
        registration: registry_lib.Registration,
        *,
        is_granted: bool = False,
    ) -> None:
        now = self.clock.now
        host = self._hosts[request.host % HOSTS]
        name = registration.name
        if is_granted:
            wait = self._spacing.take(name, request.prompt, _GAP_SECONDS, now)
        else:
            wait = self._turns.take(name, request.prompt, request.rank, now)
        host.view.set_turn(name, now + wait)
        latest = request.arrived_at + _TURN_OBJECTIVE_SHARE * request.objective
        if now >= latest:
            latest = request.arrived_at + _WAIT_SHARE * request.silence
        wait = min(wait, latest - now)

        def send_if_usable() -> None:
            requirements = self._requirements(request)
            if host.view.is_usable(registration, requirements, self.clock.now):
                self._send(request, name)
                return
            if is_granted:
                self._queues.end(name, str(id(request)))
            self._try_send(request)

        if wait <= 0:
            send_if_usable()
        else:
            self.clock.call_in(wait, send_if_usable)

    def _send(self, request: engine_lib.Request, name: str) -> None:
        now = self.clock.now
        request.sent_at = now
        request.engine = name
        host = self._hosts[request.host % HOSTS]
        host.view.record_sent(name, self._requirements(request), now)
        placed = self._placed[name]
        if request.model in placed.pinned_until:
            placed.pinned_until[request.model] = min(
                placed.pinned_until[request.model], now + _USED_PIN_SECONDS
            )
        placed.engine.send(request)

    def _wait_or_refuse(
        self,
        request: engine_lib.Request,
        pick: target_selection.Unavailable,
    ) -> None:
        latest = request.arrived_at + _WAIT_SHARE * request.silence
        if self.clock.now >= latest or (pick.expected or 0.0) > latest:
            request.is_refused = True
            request.reason = pick.reason
            self._stop_waiting(request)
            return
        if pick.reason == "no_model" and request not in self._waiting:
            self._waiting.append(request)
        self.clock.call_in(_POLL_SECONDS, lambda: self._try_send(request))

    def _stop_waiting(self, request: engine_lib.Request) -> None:
        if request in self._waiting:
            self._waiting.remove(request)

    def _on_start(self, request: engine_lib.Request) -> None:
        host = self._hosts[request.host % HOSTS]
        host.view.record_started(request.engine, self._requirements(request))
        host.view.record_bytes(request.engine, self.clock.now)
        assert request.sent_at is not None
        seconds = self.clock.now - request.sent_at
        self._turns.record_start(request.engine, request.prompt, seconds)
        self._spacing.record_start(request.engine, request.prompt, seconds)

    def _on_end(self, request: engine_lib.Request) -> None:
        host = self._hosts[request.host % HOSTS]
        host.view.record_result(
            request.engine,
            self._requirements(request),
            self.clock.now,
            failed=False,
            sent_at=request.sent_at,
        )
        if self._capacity.is_slot_bound:
            self._queues.end(request.engine, str(id(request)))

    # Reports.

    def _renew(self) -> None:
        now = self.clock.now
        loads: collections.Counter[str] = collections.Counter()
        for host in self._hosts:
            for use in host.view.uses():
                loads[use.target] += use.running + use.starting
        waiting: dict[tuple[int, str], list[engine_lib.Request]] = {}
        for request in self._waiting:
            key = (request.host % HOSTS, request.model)
            waiting.setdefault(key, []).append(request)
        for number, host in enumerate(self._hosts):
            host.view.set_all_loads(loads, now)
            for name, placed in self._placed.items():
                if placed.engine.running:
                    host.view.record_bytes(name, now)
            self._demand.remove_host(str(number))
            rates = host.rates.rates(now)
            models = {key[1] for key in rates}
            models |= {model for n, model in waiting if n == number}
            for model in models:
                waits = waiting.get((number, model), [])
                rank = host.rates.rank(("s", model, ""))
                self._demand.record_demand(
                    str(number),
                    placement_messages.Demand(
                        "s",
                        model,
                        "",
                        rates.get(("s", model, ""), 0.0),
                        len(waits),
                        min((r.objective for r in waits), default=0.0),
                    ),
                    now,
                    slots=placement_messages.SlotDemand(
                        "s",
                        model,
                        "",
                        rank=min((r.rank for r in waits), default=rank),
                        patience_seconds=max(
                            (
                                r.arrived_at + _WAIT_SHARE * r.silence - now
                                for r in waits
                            ),
                            default=0.0,
                        ),
                        run_seconds=host.view.run_seconds(model),
                    ),
                )

    def _push_table(self) -> None:
        self._numbers += 1
        targets = [
            site_messages.Target(
                registration=registry_lib.Registration(
                    name=name,
                    service="s",
                    address=name,
                    domain=placed.engine.domain,
                    report_number=self._numbers,
                    slots=placed.engine.speed.slots,
                    loaded=tuple(map(registry_lib.Loaded, placed.loaded)),
                ),
                unloading=placed.step.victims if placed.step else (),
            )
            for name, placed in self._placed.items()
        ]
        self._registrations = {
            target.registration.name: target.registration for target in targets
        }
        for host in self._hosts:
            host.view.set_targets(targets, [], self.clock.now)

    # Placement.

    def _plan(self) -> None:
        now = self.clock.now
        self._store_loads = [
            at for at in self._store_loads if now - at < _STORE_WINDOW_SECONDS
        ]
        allowed = int(
            self._shape.loads_per_second
            * _STORE_WINDOW_SECONDS
            * _STORE_RATE_SHARE
        )
        result = self._plan_round(
            capacity=self._capacity,
            engines=[self._describe(p) for p in self._placed.values()],
            demands=self._demand.demands("s", now),
            store_loads=allowed - len(self._store_loads),
        )
        for step in result.steps:
            self._start_step(step)

    def _describe(self, placed: _Placed) -> plan_types.EngineState:
        step = placed.step
        victims = step.victims if step else ()
        return plan_types.EngineState(
            target=placed.engine.name,
            domain=placed.engine.domain,
            loaded=tuple(m for m in placed.loaded if m not in victims),
            loading=step.model if step else "",
            busy=step is not None,
            usable=True,
            in_memory=tuple(placed.in_memory),
            on_disk=tuple(placed.on_disk),
            running=placed.running(),
            is_disk_copy_load=step is not None and step.reason == "home",
            is_overdue=step is not None and step.reason == "overdue",
            busy_seconds=max(0.0, placed.ready_at - self.clock.now),
            protected=frozenset(
                model
                for model, until in placed.pinned_until.items()
                if until > self.clock.now
            ),
        )

    def _start_step(self, step: plan_types.Step) -> None:
        placed = self._placed[step.target]
        placed.step = step
        placed.ready_at = (
            self.clock.now + step.victim_run_seconds + step.load_seconds
        )
        source = "disk"
        if step.from_store:
            source = "store"
        elif step.model in placed.in_memory:
            source = "memory"
        self.loads[source] += 1
        if step.from_store:
            self._store_loads.append(self.clock.now)
        self._push_table()
        started_at = self.clock.now

        def unload() -> None:
            running = placed.running()
            is_late = self.clock.now - started_at > _MAX_VICTIM_RUN_SECONDS
            if not is_late and any(running[v] for v in step.victims):
                self.clock.call_in(0.02, unload)
                return
            for victim in step.victims:
                placed.loaded.remove(victim)
            self.clock.call_in(
                step.load_seconds + _REPORT_DELAY_SECONDS, finish
            )

        def finish() -> None:
            placed.step = None
            if placed.is_failed:
                placed.is_failed = False
                placed.loaded.clear()
                placed.in_memory.clear()
                self._push_table()
                return
            placed.loaded.append(step.model)
            if step.reason in ("missing", "overdue"):
                placed.pinned_until[step.model] = (
                    self.clock.now + _UNUSED_PIN_SECONDS
                )
            for kept, most in (
                (placed.in_memory, _HOST_MODELS),
                (placed.on_disk, _DISK_MODELS),
            ):
                if step.model in kept:
                    kept.remove(step.model)
                kept.append(step.model)
                del kept[:-most]
            self._push_table()

        self.clock.call_in(_REPORT_DELAY_SECONDS, unload)


class _EntryHost:
    """State of one entry host."""

    def __init__(self, domain: str) -> None:
        self.view = target_selection.TargetView(domain=domain)
        self.view.set_hosts(HOSTS)
        self.rates = demand_lib.RequestRates(now=0.0)
