"""Decides which engines load which models. Performs no I/O.

A service has more models than its engines can hold at once. A few models are
requested all the time and have several copies; many are requested
occasionally and are loaded again from an engine's host memory or disk in under
a second. A plan is a list of steps, at most one for each engine; the next step
for an engine is planned once the effect of the previous one has been reported.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from endivestream.version import document as document_lib
from endivestream.version import plan_costs
from endivestream.version import plan_types
from endivestream.version.capacity import slot_plan

# Cost of removing one copy of a model, as a share of the model's requests, by
# its number of copies. Removing the last copy costs all of them; with two
# copies the other one continues, in another failure domain for some callers
# and without a spare.
_LOSS_SHARE_BY_COPIES = {1: 1.0, 2: 0.06, 3: 0.004}
_LOSS_SHARE_MANY_COPIES = 0.001
# Cost of a request that runs in another failure domain than its caller, as a
# share of the request: prompt and answer, some 12 KB, cross between the
# domains, and operators pay for that traffic.
_CROSS_DOMAIN_LOSS_SHARE = 0.07
# Cost of a request that waits for a model swap, as a share of the request: the
# first if its objective is too short for a swap, the second if it is not.
_LATE_LOSS_SHARE = 1.0
_IN_TIME_LOSS_SHARE = 0.3
# Duration of a swap besides the load itself: the push to entry hosts, two
# orders and a report.
_SWAP_OVERHEAD_SECONDS = 0.25
# The gain of a further copy must exceed this multiple of the loss of the models
# that it displaces.
_HYSTERESIS_FACTOR = 3.0
# Period for which demand is assumed to last when the gain of a step is weighed
# against its cost.
_HORIZON_SECONDS = 10.0
# Costs in requests. The first covers an order, a push and a busy engine. The
# second is added for a load from the weight store, which blocks swaps on its
# engine for four seconds and evicts another model from the disk.
_STEP_COST_REQUESTS = 0.3
_STORE_LOAD_COST_REQUESTS = 12.0
# Demand assumed for a model without recent requests: requests per second, and
# their objective.
_ASSUMED_RATE = 0.02
_ASSUMED_OBJECTIVE_SECONDS = 4.0
# Cost, in requests per second, of a model that no engine has on its disk: its
# next request waits for the weight store.
_NO_DISK_COPY_COST = 0.05
# Cost, in requests per second, of evicting the last disk copy of a model. It is
# far higher than `_NO_DISK_COPY_COST`: models come back into demand, and
# loading them then takes several times as long.
_DISK_EVICTION_COST = 1.0
# A further copy that gains at least this many requests per second is planned
# before missing models that few requests wait for. Otherwise those keep every
# free engine busy.
_URGENT_GAIN = 4.0
# A missing model is not loaded if the loss of its victims exceeds its gain by
# this many requests per second or more. The allowance lets rare models be
# loaded at all. Without a limit, one waiting caller displaced a model that had
# just been loaded and whose demand was rising.
_MAX_EXCESS_LOSS = 0.3
# At most one engine in this many loads an overdue model at a time; the others
# serve the models that the most requests wait for.
_OVERDUE_ENGINES_DIVISOR = 3
# An overdue model that an engine has on its disk waits for that engine until it
# has been unserved for this long. A load from the store takes several times as
# long as one from the disk, and blocks its engine meanwhile.
_DISK_COPY_WAIT_SECONDS = 2 * plan_types.OVERDUE_SECONDS
# One engine in this many is reserved for steps that gain at least
# `_URGENT_GAIN`. Otherwise all engines could be busy for four seconds with
# loads from the store, for models with one waiting caller each, when a model
# that thirty callers wait for is missing.
_RESERVED_ENGINES_DIVISOR = 4
# Candidates for a further copy in one round: the busiest models of the engines
# with the highest load.
_COPY_CANDIDATE_MODELS = 4
# Concurrent loads, over all engines, that only put a model on a disk. Each
# blocks swaps on its engine for four seconds.
_MAX_DISK_COPY_LOADS = 1


def plan(
    *,
    capacity: document_lib.EngineCapacity,
    engines: Sequence[plan_types.EngineState],
    demands: Mapping[str, plan_types.ModelDemand],
    store_loads: int,
    complete: bool = True,
    bound: Sequence[plan_types.BoundModel] = (),
) -> plan_types.PlanResult:
    """Plans one round.

    Args:
        capacity: Capacity and models of the engines of the service.
        engines: States of all engines of the service.
        demands: Demand for each model.
        store_loads: Loads from the weight store that may start now.
        complete: Whether all engines have reported. If so, a model that none
            of them has on its disk is on no disk.
        bound: Models that resumed streams need at their software versions.
    """
    if capacity.is_slot_bound:
        return slot_plan.plan(
            capacity=capacity,
            engines=engines,
            demands=demands,
            store_loads=store_loads,
            complete=complete,
            bound=bound,
        )
    planner = _RoundPlanner(capacity, engines, demands, store_loads)
    planner.load_bound(bound)
    planner.load_overdue()
    planner.add_copies(min_net_gain=_URGENT_GAIN)
    planner.load_missing()
    planner.add_copies(min_net_gain=0.0)
    if complete:
        planner.add_disk_copies()
    return plan_types.PlanResult(planner.steps, planner.unplaced)


class _RoundPlanner:
    """Plans one round and collects its steps."""

    def __init__(
        self,
        capacity: document_lib.EngineCapacity,
        engines: Sequence[plan_types.EngineState],
        demands: Mapping[str, plan_types.ModelDemand],
        store_loads: int,
    ) -> None:
        self._models = {model.name: model for model in capacity.models}
        self._model_capacity_mb = (
            capacity.weights_mb
            - capacity.adapter_places
            * max((model.adapter_mb for model in capacity.models), default=0.0)
        )
        self._engines = {engine.target: engine for engine in engines}
        self._demands = demands
        self._domain_count = max(1, len({engine.domain for engine in engines}))
        self._store_loads = store_loads
        # Engines that have a step in this round.
        self._assigned: set[str] = set()
        self._copy_counts: dict[str, int] = {}
        self._disk_copy_counts: dict[str, int] = {}
        # Usable engines that hold a model or are loading it, by model.
        self._holders: dict[str, list[str]] = {}
        self._disk_copy_loads = 0
        self._overdue_loads = 0
        # Requests per second by engine; computed again after each step.
        self._cached_engine_rates: dict[str, float] | None = None
        # Results of `_has_free_local_copy`; cleared after each step.
        self._free_local_copies: dict[str, bool] = {}
        # Results of `_redistribution_costs` by model; cleared after each step.
        self._cached_redistribution_costs: dict[str, dict[str, float]] = {}
        for engine in engines:
            self._disk_copy_loads += engine.is_disk_copy_load
            self._overdue_loads += engine.is_overdue
            if not engine.usable:
                continue
            for model in engine.on_disk:
                self._disk_copy_counts[model] = (
                    self._disk_copy_counts.get(model, 0) + 1
                )
            for model in engine.loaded_or_loading:
                self._holders.setdefault(model, []).append(engine.target)
                self._copy_counts[model] = self._copy_counts.get(model, 0) + 1
        self.steps: list[plan_types.Step] = []
        self.unplaced: list[plan_types.Unplaced] = []

    def load_bound(self, bound: Sequence[plan_types.BoundModel]) -> None:
        """Loads models that resumed streams need at a software version.

        Copies at other versions serve none of these streams (symptom: a stream
        waits for a model that engines of other versions hold).
        """
        for demand in sorted(bound, key=lambda each: -each.waiting):
            targets = {
                engine.target
                for engine in self._engines.values()
                if engine.usable and engine.software == demand.software
            }
            if demand.model not in self._models or not targets:
                continue
            if targets.intersection(self._holders.get(demand.model, ())):
                continue
            gain = demand.waiting / max(0.5, demand.objective_seconds)
            step = self._cheapest_step(
                demand.model, "bound", gain, among=targets
            )
            if step is not None and step.loss < gain + _MAX_EXCESS_LOSS:
                self._add_step(step)
                self._holders.setdefault(step.model, []).append(step.target)

    def load_overdue(self) -> None:
        """Loads overdue models, those that were unserved for longest first.

        Under load the loss of each victim exceeds the gain of a rare model, so
        without this a rare model might never be loaded (symptom: every caller
        of the model is refused, all day).
        """
        usable_count = sum(engine.usable for engine in self._engines.values())
        max_loads = max(1, usable_count // _OVERDUE_ENGINES_DIVISOR)
        overdue = [
            item for item in self._missing_models() if item[1].is_overdue
        ]
        overdue.sort(key=lambda item: -item[1].unserved_seconds)
        for name, demand in overdue:
            if self._overdue_loads >= max_loads:
                return
            step = self._cheapest_step(
                name,
                "overdue",
                self._missing_gain(demand),
                ignore_busy_disk_copies=(
                    demand.unserved_seconds >= _DISK_COPY_WAIT_SECONDS
                ),
            )
            if step is not None:
                self._add_step(step)
                self._overdue_loads += 1

    def _missing_models(self) -> list[tuple[str, plan_types.ModelDemand]]:
        """Returns models with waiting requests and without any copy."""
        return [
            (name, demand)
            for name, demand in self._demands.items()
            if demand.waiting
            and name in self._models
            and not self._copy_counts.get(name)
        ]

    def _missing_gain(self, demand: plan_types.ModelDemand) -> float:
        """Returns the gain of loading a missing model, in requests/second."""
        return max(
            demand.rate, demand.waiting / max(0.5, demand.objective_seconds)
        )

    def load_missing(self) -> None:
        """Loads missing models, in descending order of their urgency.

        The urgency is the number of waiting requests over their objective.
        """
        missing = self._missing_models()
        missing.sort(
            key=lambda item: -item[1].waiting / item[1].objective_seconds
        )
        for name, demand in missing:
            gain = self._missing_gain(demand)
            if not self._may_use_free_engine(gain):
                self._add_unplaced(
                    name, demand, self._find_obstacle(name, gain), gain
                )
                continue
            step = self._cheapest_step(name, "missing", gain)
            if step is None:
                self._add_unplaced(
                    name, demand, self._find_obstacle(name, gain), gain
                )
            elif step.loss >= gain + _MAX_EXCESS_LOSS:
                obstacle = plan_types.Obstacle.LOSS_EXCEEDS_GAIN
                self._add_unplaced(name, demand, obstacle, gain, step.loss)
            else:
                self._add_step(step)

    def _add_unplaced(
        self,
        model: str,
        demand: plan_types.ModelDemand,
        obstacle: plan_types.Obstacle,
        gain: float,
        loss: float = 0.0,
    ) -> None:
        self.unplaced.append(
            plan_types.Unplaced(model, obstacle, demand.waiting, gain, loss)
        )

    def _find_obstacle(self, model: str, gain: float) -> plan_types.Obstacle:
        """Returns why no engine can be ordered to load a model."""
        if not any(
            engine.usable and self._is_free(engine.target)
            for engine in self._engines.values()
        ):
            return plan_types.Obstacle.ENGINES_BUSY
        if not self._may_use_free_engine(gain):
            return plan_types.Obstacle.ENGINES_RESERVED
        if self._disk_copy_counts.get(model):
            return plan_types.Obstacle.DISK_COPY_BUSY
        return plan_types.Obstacle.STORE_RATE

    def add_copies(self, *, min_net_gain: float) -> None:
        """Adds copies of models of highly loaded engines to idle engines.

        The gain is the rate of requests that would no longer be late or lost.
        It follows from the load of the engines, with the requests of a model
        spread evenly over its copies; copies that are being loaded count.

        Args:
            min_net_gain: Minimum of the gain less its cost, in requests per
                second.
        """
        engine_rates = self._engine_rates()
        by_load = sorted(engine_rates, key=lambda target: -engine_rates[target])
        models = dict.fromkeys(
            name
            for target in by_load
            for name in self._sorted_by_rate(
                self._engines[target].loaded_or_loading
            )
            if name in self._models
        )
        candidates = [t for t in reversed(by_load) if self._is_free(t)]
        for name in list(models)[:_COPY_CANDIDATE_MODELS]:
            copies = self._copy_counts.get(name, 0)
            if copies:
                self._add_copy(
                    name, copies, engine_rates, candidates, min_net_gain
                )

    def _add_copy(
        self,
        name: str,
        copies: int,
        engine_rates: Mapping[str, float],
        candidates: Sequence[str],
        min_net_gain: float,
    ) -> None:
        # Draining engines still hold models but relieve no other engine. An
        # engine that is loading its first copy counts: a swap may take eight
        # seconds, and if that engine will be overloaded, a second copy must
        # not wait for it (symptom: its callers are refused meanwhile).
        holders = self._holders.get(name, [])
        rate = self._rate(name)
        rate_decrease = rate / copies - rate / (copies + 1)
        relief = sum(
            self._overload_cost(t, engine_rates[t])
            - self._overload_cost(t, engine_rates[t] - rate_decrease)
            for t in holders
        )
        domains = {self._engines[target].domain for target in holders}
        best, best_net_gain = None, float("-inf")
        for target in candidates:
            engine = self._engines[target]
            if target in self._assigned or name in engine.loaded_or_loading:
                continue
            added_rate = rate / (copies + 1)
            gain = relief + self._overload_cost(target, engine_rates[target])
            gain -= self._overload_cost(
                target, engine_rates[target] + added_rate
            )
            if engine.domain not in domains:
                # Callers in that domain are served locally, and the copy is a
                # spare for the other domains.
                gain += rate * _CROSS_DOMAIN_LOSS_SHARE / self._domain_count
                gain += rate * _LOSS_SHARE_BY_COPIES.get(
                    copies + 1, _LOSS_SHARE_MANY_COPIES
                )
            if gain - _STEP_COST_REQUESTS / _HORIZON_SECONDS <= min_net_gain:
                # No step gains more: its other costs are not negative.
                continue
            step = self._plan_step(engine, name, "copy", gain)
            if step is None:
                continue
            cost = (
                _STEP_COST_REQUESTS
                + step.from_store * _STORE_LOAD_COST_REQUESTS
            )
            net_gain = gain - step.loss - cost / _HORIZON_SECONDS
            net_gain -= self._eviction_cost(engine, step)
            if (
                gain <= _HYSTERESIS_FACTOR * step.loss
                or net_gain <= min_net_gain
            ):
                continue
            # The delay does not decide whether a copy is worth its cost, only
            # which engine gets it.
            net_gain -= (
                gain
                * (step.victim_run_seconds + step.load_seconds)
                / _HORIZON_SECONDS
            )
            if net_gain > best_net_gain:
                best, best_net_gain = step, net_gain
        if best is not None and self._may_use_free_engine(best.gain):
            self._add_step(best)

    def _has_free_local_copy(self, model: str) -> bool:
        """Whether a free engine has the weights in host memory or on disk."""
        if model not in self._free_local_copies:
            self._free_local_copies[model] = any(
                engine.usable
                and self._is_free(engine.target)
                and model in (*engine.in_memory, *engine.on_disk)
                for engine in self._engines.values()
            )
        return self._free_local_copies[model]

    def _may_use_free_engine(self, gain: float) -> bool:
        """Whether a step with this gain may occupy one of the free engines."""
        if gain >= _URGENT_GAIN:
            return True
        usable = [e.target for e in self._engines.values() if e.usable]
        free = sum(map(self._is_free, usable))
        return free > len(usable) // _RESERVED_ENGINES_DIVISOR

    def _engine_rates(self) -> dict[str, float]:
        """Returns the requests per second at each usable engine."""
        if self._cached_engine_rates is None:
            self._cached_engine_rates = self._compute_engine_rates()
        return self._cached_engine_rates

    def _compute_engine_rates(self) -> dict[str, float]:
        return {
            target: sum(
                self._copy_rate(name, 0) for name in engine.loaded_or_loading
            )
            for target, engine in self._engines.items()
            if engine.usable
        }

    def _sorted_by_rate(self, models: Sequence[str]) -> list[str]:
        return sorted(models, key=lambda name: -self._rate(name))

    def _rate(self, model: str) -> float:
        demand = self._demands.get(model)
        return demand.rate if demand else 0.0

    def _is_free(self, target: str) -> bool:
        engine = self._engines[target]
        return not engine.busy and target not in self._assigned

    def add_disk_copies(self) -> None:
        """Loads models that are on no disk, while no requests wait.

        Otherwise the first request for such a model waits for the weight
        store, which takes longer than any objective; later loads come from the
        disk.
        """
        if any(demand.waiting for demand in self._demands.values()):
            return
        idle = all(
            demand.rate < _ASSUMED_RATE for demand in self._demands.values()
        )
        # Without traffic, the loads compete with nothing.
        remaining_loads = (
            len(self._engines)
            if idle
            else _MAX_DISK_COPY_LOADS - self._disk_copy_loads
        )
        if not idle and not self._may_use_free_engine(_NO_DISK_COPY_COST):
            return
        for name in self._models:
            has_copy = self._copy_counts.get(
                name
            ) or self._disk_copy_counts.get(name)
            if has_copy or self._store_loads <= 0 or remaining_loads <= 0:
                continue
            step = self._cheapest_step(name, "home", _NO_DISK_COPY_COST)
            if step is not None and step.loss < _NO_DISK_COPY_COST:
                self._add_step(step)
                remaining_loads -= 1

    def _add_step(self, step: plan_types.Step) -> None:
        self.steps.append(step)
        self._assigned.add(step.target)
        self._store_loads -= step.from_store
        self._cached_engine_rates = None
        self._free_local_copies = {}
        self._cached_redistribution_costs = {}
        self._copy_counts[step.model] = self._copy_counts.get(step.model, 0) + 1
        for victim in step.victims:
            self._copy_counts[victim] -= 1

    def _cheapest_step(
        self,
        model: str,
        reason: str,
        gain: float,
        *,
        ignore_busy_disk_copies: bool = False,
        among: Collection[str] | None = None,
    ) -> plan_types.Step | None:
        """Returns the step with the lowest cost that loads a model, or None.

        Args:
            model: The model.
            reason: Reason of the step, as in `plan_types.Step`.
            gain: Gain of the load, in requests per second.
            ignore_busy_disk_copies: Whether the model may be loaded from the
                store although an engine that takes no orders now has it on its
                disk.
            among: Names of the engines that may load it; None for all.
        """
        best, lowest_cost = None, float("inf")
        domains = {
            engine.domain
            for engine in self._engines.values()
            if model in engine.loaded_or_loading
        }
        for engine in self._engines.values():
            if (
                not engine.usable
                or engine.busy
                or engine.target in self._assigned
            ):
                continue
            if model in engine.loaded_or_loading:
                continue
            if among is not None and engine.target not in among:
                continue
            if lowest_cost <= plan_costs.load_cost(
                gain, self._load_seconds(engine, model)
            ):
                # The load alone costs as much: other costs are not negative.
                continue
            step = self._plan_step(
                engine,
                model,
                reason,
                gain,
                ignore_busy_disk_copies=ignore_busy_disk_copies,
            )
            if step is None:
                continue
            cost = step.loss + plan_costs.delay_cost(step)
            cost += self._eviction_cost(engine, step)
            if engine.domain in domains:
                cost += gain / 4
            cost += self._crowding_cost(engine, step)
            if cost < lowest_cost:
                best, lowest_cost = step, cost
        return best

    def _plan_step(
        self,
        engine: plan_types.EngineState,
        model: str,
        reason: str,
        gain: float,
        *,
        ignore_busy_disk_copies: bool = False,
    ) -> plan_types.Step | None:
        """Returns the step that loads a model on an engine, or None."""
        from_store = model not in engine.in_memory + engine.on_disk
        # A model that is on some engine's disk is not loaded from the store,
        # even if that engine is busy for a second: the new disk copy would
        # evict the last disk copy of another model, whose next request then
        # needs the store in turn (symptom: most loads come from the store, and
        # all engines are busy with them).
        # Exempt are further copies, which must gain enough to pay for it, and
        # models with an urgent gain while no engine with the model on its disk
        # can take an order.
        has_disk_copy = reason in (
            "missing",
            "overdue",
        ) and self._disk_copy_counts.get(model)
        if (
            from_store
            and has_disk_copy
            and (ignore_busy_disk_copies or gain >= _URGENT_GAIN)
        ):
            has_disk_copy = self._has_free_local_copy(model)
        if from_store and (self._store_loads <= 0 or has_disk_copy):
            return None
        listed = [name for name in engine.loaded if name in self._models]
        free_mb = self._model_capacity_mb - sum(
            self._models[name].weights_mb for name in listed
        )
        # The size of a model that the configuration no longer lists is unknown.
        # No route needs it, so it is unloaded before anything is loaded.
        victims = [name for name in engine.loaded if name not in self._models]
        loss = 0.0
        urgency = max(1.0, gain)
        candidates = sorted(
            (name for name in listed if name not in engine.protected),
            key=lambda name: (
                self._removal_loss(engine, name)
                + plan_costs.DELAY_COST_PER_SECOND
                * urgency
                * plan_costs.remaining_run_seconds(engine, name)
            ),
        )
        for name in candidates:
            if free_mb >= self._models[model].weights_mb:
                break
            free_mb += self._models[name].weights_mb
            victims.append(name)
            loss += self._removal_loss(engine, name)
        if free_mb < self._models[model].weights_mb:
            return None
        return plan_types.Step(
            target=engine.target,
            model=model,
            victims=tuple(victims),
            from_store=from_store,
            reason=reason,
            load_seconds=self._load_seconds(engine, model),
            victim_run_seconds=max(
                (plan_costs.remaining_run_seconds(engine, v) for v in victims),
                default=0.0,
            ),
            gain=gain,
            loss=loss,
        )

    def _removal_loss(
        self, engine: plan_types.EngineState, model: str
    ) -> float:
        """Returns the loss from removing a model's copy from an engine."""
        copies = max(1, self._copy_counts.get(model, 1))
        demand = self._demands.get(model)
        if demand is None or demand.rate < _ASSUMED_RATE:
            demand = plan_types.ModelDemand(
                _ASSUMED_RATE, 0, _ASSUMED_OBJECTIVE_SECONDS
            )
        share = _LOSS_SHARE_BY_COPIES.get(copies, _LOSS_SHARE_MANY_COPIES)
        if copies == 1:
            reload_seconds = (
                _SWAP_OVERHEAD_SECONDS + self._models[model].disk_seconds
            )
            in_time = demand.objective_seconds > 2 * reload_seconds
            share = _IN_TIME_LOSS_SHARE if in_time else _LATE_LOSS_SHARE
        loss = demand.rate * share + self._redistribution_cost(
            engine, model, copies
        )
        return (
            loss
            + plan_costs.DELAY_COST_PER_SECOND
            * plan_costs.remaining_run_seconds(engine, model)
        )

    def _redistribution_cost(
        self, engine: plan_types.EngineState, model: str, copies: int
    ) -> float:
        """Returns the cost of moving a copy's requests to the other copies.

        Without it the copies of a model in high demand would seem idle as soon
        as there are enough of them, and the next step would remove one again
        right after it was loaded.
        """
        if copies < 2:
            return 0.0
        costs = self._redistribution_costs(model, copies)
        return costs[""] - costs.get(engine.target, 0.0)

    def _redistribution_costs(
        self, model: str, copies: int
    ) -> Mapping[str, float]:
        """Returns the cost of a moved copy at each holder; their sum under "".

        It is computed once for a model: with 1,000 engines, a sum over the
        other holders for each engine took seconds of each round.
        """
        if model not in self._cached_redistribution_costs:
            rate = self._rate(model)
            added_rate = rate / (copies - 1) - rate / copies
            engine_rates = self._engine_rates()
            costs = {
                target: self._overload_cost(
                    target, engine_rates[target] + added_rate
                )
                - self._overload_cost(target, engine_rates[target])
                for target in self._holders.get(model, ())
            }
            costs[""] = sum(costs.values())
            self._cached_redistribution_costs[model] = costs
        return self._cached_redistribution_costs[model]

    def _crowding_cost(
        self, engine: plan_types.EngineState, step: plan_types.Step
    ) -> float:
        """Returns the cost of the added load for the engine's other models."""
        current_rate = sum(
            self._copy_rate(name, 0)
            for name in engine.loaded
            if name not in step.victims
        )
        added_rate = self._copy_rate(step.model, 1)
        return self._overload_cost(
            engine.target, current_rate + added_rate
        ) - self._overload_cost(engine.target, current_rate)

    def _overload_cost(self, target: str, rate: float) -> float:
        """Returns the cost of a rate at an engine, in requests per second."""
        return plan_costs.overload_cost(rate, self._engines[target].rate_limit)

    def _copy_rate(self, model: str, extra_copies: int) -> float:
        """Returns the requests per second at one of a model's copies."""
        return self._rate(model) / max(
            1, self._copy_counts.get(model, 0) + extra_copies
        )

    def _eviction_cost(
        self, engine: plan_types.EngineState, step: plan_types.Step
    ) -> float:
        """Returns the cost of the disk copy that a load evicts."""
        if not step.from_store or not engine.on_disk:
            return 0.0
        oldest = engine.on_disk[0]
        is_last = (
            oldest in self._models
            and self._disk_copy_counts.get(oldest, 0) <= 1
            and oldest not in engine.loaded
        )
        return _DISK_EVICTION_COST if is_last else 0.0

    def _load_seconds(self, engine: plan_types.EngineState, name: str) -> float:
        """Returns how long an engine takes to load a model."""
        model = self._models[name]
        if name in engine.in_memory:
            return model.memory_seconds
        if name in engine.on_disk:
            return model.disk_seconds
        return model.load_seconds
