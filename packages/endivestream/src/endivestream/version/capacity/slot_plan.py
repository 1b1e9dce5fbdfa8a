"""Plans model loads for engines with few slots. Performs no I/O.

All steps of a round compete by one figure, the worth that they gain per second
of engine time (`step_worth`): loads of missing models, further copies, and
spare copies of models whose only engine fails. A step is ordered only if its
figure exceeds the price of engine time, which rises as free engines become
scarce. Loads that only put a model on a disk are planned last.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import heapq
import math
from typing import NamedTuple

from endivestream.version import document as document_lib
from endivestream.version import plan_types
from endivestream.version.capacity import room as room_lib
from endivestream.version.capacity import step_worth

# Duration of a swap besides the load itself: the push to entry hosts, two
# orders and a report.
_SWAP_OVERHEAD_SECONDS = 0.25
# Run time of requests until hosts have observed it.
_ASSUMED_RUN_SECONDS = 2.0
# Demand assumed for a loaded model without recent requests, in requests per
# second.
_ASSUMED_RATE = 0.02
# Callers that report no patience leave when they receive nothing for the
# longest of these: seconds and multiples of the objective.
_SILENCE_SECONDS = 2.0
_SILENCE_OBJECTIVES = 4.0
# Share of the requests that an engine serves while an entry host reports it as
# failing: some engines fail half of their requests for seconds.
_SUSPECT_SHARE = 0.5
# Gain of the first copy in a further failure domain, as a share of the model's
# requests: local callers pay no transfer between domains, and a second copy is
# a spare for the first.
_LOCAL_SHARE = 0.07
_SPARE_SHARE = 0.06
# Models considered for a load in one round, of those without a copy and of
# those with one. The bounds limit the time of a round.
_MAX_MISSING_MODELS = 12
_MAX_COPIED_MODELS = 4
# Concurrent loads of one model: as many as it has loaded copies, this share of
# the copies that its requests lack, and at least this many. Overloaded engines
# take longer for each request, so a model seems to need more copies than it
# does once the first of these are loaded.
_LOADING_SHARE = 0.75
_MIN_LOADING_COPIES = 3
# Engines for which the worth of a load is computed in detail, of those that
# need the least time and displace the least.
_MAX_DETAILED_ENGINES = 3
# Models that a disk is assumed to hold, as a multiple of those in memory.
_ASSUMED_DISK_FACTOR = 2
# Concurrent loads that only put a model on a disk: one for each this many
# engines while there is traffic.
_DISK_COPY_ENGINES_DIVISOR = 15
# No such load is started while more than this share of the engines is
# occupied.
_MAX_DISK_COPY_OCCUPANCY = 0.5


def plan(
    *,
    capacity: document_lib.EngineCapacity,
    engines: Sequence[plan_types.EngineState],
    demands: Mapping[str, plan_types.ModelDemand],
    store_loads: int,
    complete: bool = True,
    bound: Sequence[plan_types.BoundModel] = (),
) -> plan_types.PlanResult:
    """Plans one round; the arguments are those of `plan.plan`."""
    planner = _RoundPlanner(capacity, engines, demands, store_loads)
    planner.load_bound(bound)
    planner.load_by_worth()
    if complete:
        planner.add_disk_copies()
    return plan_types.PlanResult(planner.steps, planner.unplaced)


class _Victim(NamedTuple):
    """A model that can be displaced from an engine.

    Attributes:
        loss: Worth per second that its removal costs.
        model: The model.
        weights_mb: Size of its weights.
        run_seconds: Time until its running requests end.
    """

    loss: float
    model: str
    weights_mb: float
    run_seconds: float


class _Displacement(NamedTuple):
    """What a load displaces on an engine.

    Attributes:
        free_mb: Free memory for weights once the unlisted models are unloaded.
        unlisted: Models that the configuration does not list, of unknown size.
            Each load displaces them.
        victims: Models that can be displaced, those of the least loss first.
        cost: Rough cost of a load, to select engines.
    """

    free_mb: float
    unlisted: Sequence[str]
    victims: Sequence[_Victim]
    cost: float


class _Candidate(NamedTuple):
    """The best step for a model.

    Attributes:
        step: The step.
        worth: Its figure; see `step_worth.worth`.
    """

    step: plan_types.Step
    worth: float


class _RoundPlanner:
    """Plans one round and collects its steps."""

    def __init__(
        self,
        capacity: document_lib.EngineCapacity,
        engines: Sequence[plan_types.EngineState],
        demands: Mapping[str, plan_types.ModelDemand],
        store_loads: int,
    ) -> None:
        self._slots = float(capacity.slots)
        self._models = {model.name: model for model in capacity.models}
        self._room_mb = capacity.weights_mb - capacity.adapter_places * max(
            (model.adapter_mb for model in capacity.models), default=0.0
        )
        self._largest_mb = max(
            (model.weights_mb for model in capacity.models), default=0.0
        )
        self._engines = {engine.target: engine for engine in engines}
        self._demands = demands
        self._store_loads = store_loads
        self._usable = [engine for engine in engines if engine.usable]
        self._domain_count = max(1, len({e.domain for e in engines}))
        self._free = {e.target: e for e in self._usable if not e.busy}
        self._disk_copy_loads = sum(e.is_disk_copy_load for e in engines)
        self._disk_places = self._find_disk_places(engines)
        self._loading_copies = collections.Counter(
            e.loading for e in self._usable if e.loading
        )
        self._disk_holders: dict[str, list[plan_types.EngineState]] = {}
        self._holders: dict[str, list[str]] = {}
        for engine in self._usable:
            for model in engine.on_disk:
                self._disk_holders.setdefault(model, []).append(engine)
            for model in engine.loaded_or_loading:
                self._holders.setdefault(model, []).append(engine.target)
        self._weights = {
            name: step_worth.rank_weight(demand.rank)
            for name, demand in demands.items()
        }
        self._rooms = {e.target: self._room(e) for e in self._usable}
        self._served = {
            e.target: _SUSPECT_SHARE if e.is_suspect else 1.0
            for e in self._usable
        }
        # Busy slots of each model at each engine, and of all models and the
        # worth per second of their requests by engine.
        self._parts: dict[str, dict[str, float]] = {}
        self._loads = dict.fromkeys(self._rooms, 0.0)
        self._worths = dict.fromkeys(self._rooms, 0.0)
        for model in sorted(self._holders, key=lambda m: -self._busy_slots(m)):
            self._distribute(model)
        # Results of `_displacement` and `_is_sooner_from_disk`, by engine and
        # by model; removed when a step changes them.
        self._displacements: dict[str, _Displacement] = {}
        self._sooner_from_disk: dict[str, bool] = {}
        self._total_worth = sum(map(self._arriving_worth, demands))
        self.steps: list[plan_types.Step] = []
        self.unplaced: list[plan_types.Unplaced] = []

    def _find_disk_places(
        self, engines: Sequence[plan_types.EngineState]
    ) -> int:
        """Returns how many models a disk holds, as far as it shows.

        The configuration does not state it. Each load puts its model on the
        disk, so a loaded model that is not there was evicted, and the fullest
        disk is full. Until that is seen, a disk counts as full with twice the
        models that fit into the memory.
        """
        fullest = max((len(engine.on_disk) for engine in engines), default=0)
        if any(set(e.loaded).difference(e.on_disk) for e in engines):
            return fullest
        loaded = int(self._room_mb // max(1.0, self._largest_mb))
        return max(fullest, _ASSUMED_DISK_FACTOR * loaded)

    # Load of the engines.

    def _room(self, engine: plan_types.EngineState) -> float:
        """Returns how many slots of an engine may be busy."""
        if engine.rate_limit is None:
            return self._slots
        run_seconds = max(
            map(self._run_seconds, engine.loaded), default=_ASSUMED_RUN_SECONDS
        )
        return max(1.0, min(self._slots, engine.rate_limit * run_seconds))

    def _rate(self, model: str) -> float:
        demand = self._demands.get(model)
        return demand.rate if demand else 0.0

    def _run_seconds(self, model: str) -> float:
        demand = self._demands.get(model)
        seconds = demand.run_seconds if demand else 0.0
        return seconds or _ASSUMED_RUN_SECONDS

    def _busy_slots(self, model: str) -> float:
        return self._rate(model) * self._run_seconds(model)

    def _worth_per_slot(self, model: str) -> float:
        """Returns the worth per second of one busy slot of a model."""
        return self._weights.get(model, 0.0) / self._run_seconds(model)

    def _arriving_worth(self, model: str) -> float:
        """Returns the worth per second of a model's requests."""
        return self._rate(model) * self._weights.get(model, 0.0)

    def _distribute(self, model: str) -> None:
        """Distributes the requests of a model over its holders."""
        value = self._worth_per_slot(model)
        for target, part in self._parts.pop(model, {}).items():
            self._loads[target] -= part
            self._worths[target] -= part * value
        parts = self._split(model, self._holders.get(model, ()))
        for target, part in parts.items():
            self._loads[target] += part
            self._worths[target] += part * value
        self._parts[model] = parts

    def _split(
        self,
        model: str,
        targets: Collection[str],
        loads: Mapping[str, float] | None = None,
    ) -> dict[str, float]:
        """Returns the busy slots of a model at each of some engines.

        Args:
            model: The model.
            targets: The engines that hold it.
            loads: Load of other models by engine, where it differs from now.
        """
        busy = self._busy_slots(model)
        if not busy or not targets:
            return dict.fromkeys(targets, 0.0)
        if len(targets) == 1:
            return dict.fromkeys(targets, busy)
        own = self._parts.get(model, {})
        loaded_engines = [
            room_lib.EngineLoad(
                loads[target]
                if loads and target in loads
                else self._loads[target] - own.get(target, 0.0),
                # An engine that fails requests is avoided by entry hosts.
                self._rooms[target] * self._served[target],
            )
            for target in targets
        ]
        return dict(
            zip(targets, room_lib.fill(busy, loaded_engines), strict=True)
        )

    def _lost(self, target: str, load: float, worth: float) -> float:
        """Returns the worth per second that is lost at an engine."""
        blocked = room_lib.blocked_share(load, self._rooms[target])
        return worth * (1.0 - self._served[target] * (1.0 - blocked))

    def _lost_with(
        self,
        model: str,
        targets: Collection[str],
        base: Mapping[str, tuple[float, float]] | None = None,
    ) -> float:
        """Returns the worth lost if some engines hold a model.

        Args:
            model: The model.
            targets: The engines that would hold it.
            base: Load and worth of the other models by engine, where they
                differ from now.
        """
        if not targets:
            return self._arriving_worth(model)
        base = base or {}
        parts = self._split(
            model, targets, {target: each[0] for target, each in base.items()}
        )
        own = self._parts.get(model, {})
        value = self._worth_per_slot(model)
        lost = 0.0
        for target, part in parts.items():
            load, worth = base.get(target) or (
                self._loads[target] - own.get(target, 0.0),
                self._worths[target] - own.get(target, 0.0) * value,
            )
            lost += self._lost(target, load + part, worth + part * value)
        return lost

    def _lost_now(self, targets: Collection[str]) -> float:
        return sum(
            self._lost(target, self._loads[target], self._worths[target])
            for target in targets
        )

    def _displacement(self, target: str) -> _Displacement:
        """Returns what a load displaces on an engine."""
        known = self._displacements.get(target)
        if known is not None:
            return known
        engine = self._engines[target]
        listed = [name for name in engine.loaded if name in self._models]
        unlisted = [name for name in engine.loaded if name not in self._models]
        free_mb = self._room_mb - sum(
            self._models[name].weights_mb for name in listed
        )
        victims = sorted(
            _Victim(
                self._removal_loss(target, name),
                name,
                self._models[name].weights_mb,
                self._remaining(engine, name),
            )
            for name in listed
            if name not in engine.protected
        )
        cost = self._loads[target] / self._rooms[target]
        if free_mb < self._largest_mb and victims:
            cost += victims[0].loss + victims[0].run_seconds
        cost += self._longest_remaining(engine, unlisted)
        found = _Displacement(free_mb, unlisted, victims, cost)
        self._displacements[target] = found
        return found

    def _removal_loss(self, target: str, model: str) -> float:
        """Returns the worth per second lost without a model's copy."""
        holders = self._holders.get(model, ())
        others = [each for each in holders if each != target]
        if self._rate(model) < _ASSUMED_RATE:
            return 0.0 if others else _ASSUMED_RATE
        if not others:
            return self._arriving_worth(model)
        part = self._parts[model].get(target, 0.0)
        value = self._worth_per_slot(model)
        # The engine's other models gain nothing from the removal here; that
        # the slots become free counts as gain of the loaded model.
        without = self._lost(
            target,
            self._loads[target] - part,
            self._worths[target] - part * value,
        )
        loss = self._lost_with(model, others) + without
        loss -= self._lost_now(holders)
        domains = {self._engines[each].domain for each in others}
        return max(0.0, loss) + self._spread_gain(
            model, self._engines[target].domain, domains
        )

    def _spread_gain(
        self, model: str, domain: str, others: Collection[str]
    ) -> float:
        """Returns the worth of a copy in a failure domain without one."""
        if domain in others:
            return 0.0
        share = _LOCAL_SHARE / self._domain_count
        if len(others) == 1:
            share += _SPARE_SHARE
        return share * self._arriving_worth(model)

    # Steps.

    def load_bound(self, bound: Sequence[plan_types.BoundModel]) -> None:
        """Loads models that resumed streams need at a software version."""
        for demand in sorted(bound, key=lambda each: -each.waiting):
            targets = {
                engine.target
                for engine in self._usable
                if engine.software == demand.software
            }
            holders = self._holders.get(demand.model, ())
            if demand.model not in self._models or targets.intersection(
                holders
            ):
                continue
            group = plan_types.WaitingGroup(
                demand.waiting,
                0,
                demand.objective_seconds,
                _assumed_patience(demand.objective_seconds),
            )
            best = self._best_step(
                demand.model, "bound", (group,), among=targets
            )
            if best is not None and best.worth > 0.0:
                self._add_step(best.step)

    def load_by_worth(self) -> None:
        """Plans the steps of the highest worth until engines are too scarce."""
        if not self._free:
            self._add_unplaced({}, ())
            return
        queue: list[tuple[float, str]] = []
        best: dict[str, _Candidate] = {}
        considered = self._considered_models()
        for model in considered:
            candidate = self._best_for(model)
            if candidate is None:
                continue
            best[model] = candidate
            heapq.heappush(queue, (-candidate.worth, model))
        while queue and self._free:
            _, model = heapq.heappop(queue)
            candidate = best[model]
            if self.steps:
                # An earlier step may have taken the engine.
                current = self._best_for(model)
                if current is None:
                    del best[model]
                    continue
                best[model] = current
                if queue and current.worth < -queue[0][0]:
                    heapq.heappush(queue, (-current.worth, model))
                    continue
                candidate = current
            if candidate.worth <= max(0.0, self._price()):
                break
            self._add_step(candidate.step)
            # The first copies of a model with rising demand start together:
            # the next copy competes in the same round.
            following = self._best_for(model)
            if following is not None:
                best[model] = following
                heapq.heappush(queue, (-following.worth, model))
        self._add_unplaced(best, considered)

    def _considered_models(self) -> list[str]:
        missing = [
            name
            for name, demand in self._demands.items()
            if name in self._models
            and not self._holders.get(name)
            and (demand.waiting or demand.rate >= _ASSUMED_RATE)
        ]
        missing.sort(key=lambda name: -self._urgency(name))
        losses = {
            name: sum(
                part
                * (
                    1.0
                    - self._served[target]
                    * (
                        1.0
                        - room_lib.blocked_share(
                            self._loads[target], self._rooms[target]
                        )
                    )
                )
                for target, part in parts.items()
            )
            * self._worth_per_slot(name)
            + self._missing_spread(name)
            for name, parts in self._parts.items()
            if name in self._models
            and self._rate(name) >= _ASSUMED_RATE
            and self._holders.get(name)
            and self._may_load_copy(name)
        }
        copied = heapq.nlargest(
            _MAX_COPIED_MODELS, losses, key=lambda name: losses[name]
        )
        return missing[:_MAX_MISSING_MODELS] + copied

    def _missing_spread(self, model: str) -> float:
        """Returns the worth of a copy in a further failure domain."""
        domains = {self._engines[t].domain for t in self._holders[model]}
        if len(domains) >= self._domain_count:
            return 0.0
        return self._spread_gain(model, "", domains)

    def _urgency(self, model: str) -> float:
        demand = self._demands[model]
        return self._weights[model] * (demand.rate + demand.waiting)

    def _best_for(self, model: str) -> _Candidate | None:
        demand = self._demands[model]
        holders = len(self._holders.get(model, ()))
        if holders:
            if not self._may_load_copy(model):
                return None
            return self._best_step(model, "copy", ())
        reason = "overdue" if demand.is_overdue else "missing"
        return self._best_step(model, reason, _groups(demand))

    def _may_load_copy(self, model: str) -> bool:
        """Returns whether a further copy of a loaded model may be loaded."""
        loading = self._loading_copies[model]
        loaded = len(self._holders[model]) - loading
        missing = self._busy_slots(model) / self._slots - loaded
        limit = max(
            _MIN_LOADING_COPIES,
            loaded,
            math.ceil(_LOADING_SHARE * missing),
        )
        return loading < limit

    def _price(self) -> float:
        """Returns the figure that a step must exceed."""
        return step_worth.engine_price(
            arriving_worth=self._total_worth,
            engines=len(self._usable),
            occupied=len(self._usable) - len(self._free),
        )

    def _best_step(
        self,
        model: str,
        reason: str,
        groups: Collection[plan_types.WaitingGroup],
        *,
        among: Collection[str] | None = None,
    ) -> _Candidate | None:
        """Returns the step of the highest worth that loads a model."""
        holders = self._holders.get(model, [])
        domains = {self._engines[target].domain for target in holders}
        rough: list[tuple[float, str]] = []
        for target, engine in self._free.items():
            if among is not None and target not in among:
                continue
            cost = self._load_seconds(engine, model)
            if cost is None:
                continue
            cost += self._displacement(target).cost
            cost += self._blocked_worth(engine, model)
            rough.append((cost - (engine.domain not in domains), target))
        options = [
            (target, step)
            for _, target in heapq.nsmallest(_MAX_DETAILED_ENGINES, rough)
            if (step := self._plan_step(self._engines[target], model, reason))
        ]
        before = self._lost_now(holders) if holders else 0.0
        best: _Candidate | None = None
        for target, step in options:
            candidate = self._evaluate(
                step, groups, before, holders, domains, target
            )
            if best is None or candidate.worth > best.worth:
                best = candidate
        return best

    def _evaluate(
        self,
        step: plan_types.Step,
        groups: Collection[plan_types.WaitingGroup],
        before: float,
        holders: Sequence[str],
        domains: Collection[str],
        target: str,
    ) -> _Candidate:
        model, engine = step.model, self._engines[target]
        load, worth = self._loads[target], self._worths[target]
        lost_before = before + self._lost(target, load, worth)
        for victim in step.victims:
            part = self._parts.get(victim, {}).get(target, 0.0)
            load -= part
            worth -= part * self._worth_per_slot(victim)
        load, worth = max(0.0, load), max(0.0, worth)
        # What the victims' requests lost here is part of the victims' loss.
        relieved = self._lost(
            target, self._loads[target], self._worths[target]
        ) - self._lost(target, load, worth)
        if not holders:
            lost_before += self._arriving_worth(model)
        after = self._lost_with(
            model, (*holders, target), {target: (load, worth)}
        )
        gain = lost_before - after - max(0.0, relieved)
        if holders:
            gain += self._spread_gain(model, engine.domain, domains)
        demand = self._demands.get(model)
        if demand is not None and not holders:
            # Rare models get their turn: a model is worth more the longer it
            # has been unserved.
            gain *= 1.0 + demand.unserved_seconds / plan_types.OVERDUE_SECONDS
        seconds = (
            _SWAP_OVERHEAD_SECONDS + step.victim_run_seconds + step.load_seconds
        )
        figure = step_worth.worth(
            step_worth.Effect(
                waiting_gain=step_worth.waiting_gain(groups, seconds),
                gain_rate=gain,
                loss_rate=step.loss,
                seconds=seconds,
                induced_seconds=self._induced_seconds(engine, step),
                blocked_rate=self._blocked_worth(engine, model),
            )
        )
        return _Candidate(step._replace(gain=figure), figure)

    def _blocked_worth(
        self, engine: plan_types.EngineState, model: str
    ) -> float:
        """Returns the worth per second that can be loaded only on an engine.

        An engine that loads one model for seconds cannot load another one from
        its disk (symptom: rare models stay missing beside copies of busy ones).
        """
        return sum(
            self._worth_while_missing(other)
            for other in engine.on_disk
            if other != model
            and self._demands.get(other)
            and not self._holders.get(other)
            and not any(
                holder.target in self._free and holder is not engine
                for holder in self._disk_holders[other]
            )
        )

    def _worth_while_missing(self, model: str) -> float:
        """Returns the worth per second that a model without a copy has.

        Rare models get their turn: a model is worth more the longer it has been
        unserved.
        """
        unserved = self._demands[model].unserved_seconds
        return self._arriving_worth(model) * (
            1.0 + unserved / plan_types.OVERDUE_SECONDS
        )

    def _induced_seconds(
        self, engine: plan_types.EngineState, step: plan_types.Step
    ) -> float:
        """Returns the engine time that the eviction from a disk costs later."""
        if not step.from_store or not self._evicts_last_copy(engine):
            return 0.0
        model = self._models[engine.on_disk[0]]
        return max(0.0, model.load_seconds - model.disk_seconds)

    def _evicts_last_copy(self, engine: plan_types.EngineState) -> bool:
        """Whether a load from the store evicts a last copy from the disk."""
        if not engine.on_disk or len(engine.on_disk) < self._disk_places:
            return False
        oldest = engine.on_disk[0]
        return (
            oldest in self._models
            and len(self._disk_holders.get(oldest, ())) <= 1
        )

    def _plan_step(
        self, engine: plan_types.EngineState, model: str, reason: str
    ) -> plan_types.Step | None:
        """Returns the step that loads a model on an engine, or None."""
        load_seconds = self._load_seconds(engine, model)
        if load_seconds is None and reason == "home" and self._store_loads > 0:
            # A further disk copy comes from the store, whatever other disks
            # have the model.
            load_seconds = self._models[model].load_seconds
        if load_seconds is None or model in engine.loaded_or_loading:
            return None
        needed_mb = self._models[model].weights_mb
        free_mb, unlisted, candidates, _ = self._displacement(engine.target)
        victims = list(unlisted)
        loss = 0.0
        run_seconds = self._longest_remaining(engine, unlisted)
        for victim in candidates:
            if free_mb >= needed_mb:
                break
            victims.append(victim.model)
            loss += victim.loss
            run_seconds = max(run_seconds, victim.run_seconds)
            free_mb += victim.weights_mb
        if free_mb < needed_mb:
            return None
        from_store = (
            model not in engine.in_memory and model not in engine.on_disk
        )
        return plan_types.Step(
            target=engine.target,
            model=model,
            victims=tuple(victims),
            from_store=from_store,
            reason=reason,
            load_seconds=load_seconds,
            victim_run_seconds=run_seconds,
            gain=0.0,
            loss=loss,
        )

    def _load_seconds(
        self, engine: plan_types.EngineState, model: str
    ) -> float | None:
        """Returns how long a load takes, or None if it may not start."""
        if model in engine.loaded_or_loading:
            return None
        spec = self._models[model]
        if model in engine.in_memory:
            return spec.memory_seconds
        if model in engine.on_disk:
            return spec.disk_seconds
        if self._store_loads <= 0:
            return None
        if self._holders.get(model):
            # Further copies compete by worth: the engine that has the model on
            # its disk may be of more use for another one.
            return spec.load_seconds
        if model not in self._sooner_from_disk:
            self._sooner_from_disk[model] = self._is_sooner_from_disk(model)
        return None if self._sooner_from_disk[model] else spec.load_seconds

    def _remaining(self, engine: plan_types.EngineState, model: str) -> float:
        """Estimates how long a model's running requests still take.

        The longest of several that began at random times takes nearly the
        whole run time.
        """
        running = engine.running.get(model, 0)
        return self._run_seconds(model) * running / (running + 1.0)

    def _longest_remaining(
        self, engine: plan_types.EngineState, models: Collection[str]
    ) -> float:
        return max((self._remaining(engine, m) for m in models), default=0.0)

    def _is_sooner_from_disk(self, model: str) -> bool:
        """Whether waiting for an engine with a disk copy is faster."""
        spec = self._models[model]
        return any(
            model not in engine.loaded_or_loading
            and (
                engine.target in self._free
                or engine.busy_seconds + spec.disk_seconds < spec.load_seconds
            )
            for engine in self._disk_holders.get(model, ())
        )

    def _add_step(self, step: plan_types.Step) -> None:
        self.steps.append(step)
        self._loading_copies[step.model] += 1
        del self._free[step.target]
        self._store_loads -= step.from_store
        for victim in step.victims:
            if step.target in self._holders.get(victim, ()):
                self._holders[victim].remove(step.target)
                self._distribute(victim)
        self._holders.setdefault(step.model, []).append(step.target)
        self._distribute(step.model)
        self._sooner_from_disk.clear()
        changed = {step.target}
        for name in (step.model, *step.victims):
            changed.update(self._holders.get(name, ()))
        for target in changed:
            self._displacements.pop(target, None)

    def _add_unplaced(
        self, best: Mapping[str, _Candidate], considered: Collection[str]
    ) -> None:
        for name, demand in self._demands.items():
            if (
                not demand.waiting
                or name not in self._models
                or self._holders.get(name)
            ):
                continue
            candidate = best.get(name)
            if not self._free:
                obstacle = plan_types.Obstacle.ENGINES_BUSY
            elif name not in considered or (
                candidate is not None and candidate.worth > 0.0
            ):
                obstacle = plan_types.Obstacle.ENGINES_RESERVED
            elif candidate is not None:
                obstacle = plan_types.Obstacle.LOSS_EXCEEDS_GAIN
            elif self._disk_holders.get(name):
                obstacle = plan_types.Obstacle.DISK_COPY_BUSY
            else:
                obstacle = plan_types.Obstacle.STORE_RATE
            self.unplaced.append(
                plan_types.Unplaced(
                    name,
                    obstacle,
                    demand.waiting,
                    candidate.worth if candidate else 0.0,
                    candidate.step.loss if candidate else 0.0,
                )
            )

    # Disk copies.

    def add_disk_copies(self) -> None:
        """Loads models that are on no disk, at a bounded rate.

        Later loads of the model then take two seconds instead of nine. Such a
        load takes no engine that a model with waiting requests has its weights
        on, and none while a model waits for an engine.
        """
        idle = all(d.rate < _ASSUMED_RATE for d in self._demands.values())
        limit = len(self._usable)
        if not idle:
            limit = max(1, len(self._usable) // _DISK_COPY_ENGINES_DIVISOR)
            limit -= self._disk_copy_loads
        waiting = {name for name, d in self._demands.items() if d.waiting}
        if any(
            item.obstacle != plan_types.Obstacle.LOSS_EXCEEDS_GAIN
            for item in self.unplaced
        ):
            return
        targets = [
            target
            for target, engine in self._free.items()
            if waiting.isdisjoint((*engine.in_memory, *engine.on_disk))
            and not self._evicts_last_copy(engine)
        ]
        targets.sort(key=lambda target: self._displacement(target).cost)
        models = self._disk_copy_candidates()
        for target in targets:
            occupied = 1.0 - len(self._free) / max(1, len(self._usable))
            if limit <= 0 or self._store_loads <= 0:
                return
            if not idle and occupied >= _MAX_DISK_COPY_OCCUPANCY:
                return
            domain = self._engines[target].domain
            model = next(
                (m for m in models if domain not in self._disk_domains(m)), None
            )
            if model is None:
                continue
            step = self._plan_step(self._engines[target], model, "home")
            if step is not None and step.loss <= _ASSUMED_RATE:
                self._add_step(step)
                models.remove(model)
                limit -= 1

    def _disk_copy_candidates(self) -> list[str]:
        """Returns models to put on a disk, those likely needed next first.

        Models on no disk come before those with demand whose disks are all in
        one failure domain.
        """
        missing = [
            name
            for name in self._models
            if not self._disk_holders.get(name) and not self._holders.get(name)
        ]
        single = [
            name
            for name in self._disk_holders
            if self._rate(name) >= _ASSUMED_RATE
            and name in self._models
            and not self._holders.get(name)
            and len(self._disk_domains(name)) == 1 < self._domain_count
        ]
        missing.sort(key=lambda name: -self._arriving_worth(name))
        single.sort(key=lambda name: -self._arriving_worth(name))
        return missing + single

    def _disk_domains(self, model: str) -> set[str]:
        """Returns the failure domains in which a disk holds a model."""
        return {e.domain for e in self._disk_holders.get(model, ())}


def _groups(
    demand: plan_types.ModelDemand,
) -> tuple[plan_types.WaitingGroup, ...]:
    """Returns the waiting requests; hosts may report only their number."""
    if demand.groups or not demand.waiting:
        return demand.groups
    return (
        plan_types.WaitingGroup(
            demand.waiting,
            demand.rank,
            demand.objective_seconds,
            _assumed_patience(demand.objective_seconds),
        ),
    )


def _assumed_patience(objective_seconds: float) -> float:
    return max(_SILENCE_SECONDS, _SILENCE_OBJECTIVES * objective_seconds)
