"""Which models and adapters should be on which engine. Pure.

There are more models than places. A few are asked for all the time and have
several copies; many are asked for now and then, and come back from an engine's
own memory or disk in under a second. A plan is a list of steps, one for an
engine at a time; the next is made when its effect has been reported.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from endivestream.version import document as document_lib
from endivestream.version import plan_costs
from endivestream.version import plan_types

# What the loss of one copy of a model costs, as a share of the model's
# requests, by how many copies it has. The last copy costs all of them; with
# two, the other one carries on, farther away for some and without a spare.
_LOSS = {1: 1.0, 2: 0.06, 3: 0.004}
_LOSS_MORE = 0.001
# What a request loses that runs in another failure domain than its caller: the
# bytes of prompt and answer cross over, some 12 KB, which operators pay for.
_AWAY_LOSS = 0.07
# What a request loses that waits for a swap, by whether its objective leaves
# time for one.
_LATE = 1.0
_IN_TIME = 0.3
# A swap takes this long on top of the load: the push to entry hosts, two
# orders and a report.
_SWAP_SECONDS = 0.25
# A further copy must gain this multiple of what it displaces.
_HYSTERESIS = 3.0
# Demand is taken to last so long when a gain is weighed against its cost.
_HORIZON_SECONDS = 10.0
# What an order, a push and a busy engine cost, in requests; and what a load
# from the store costs: it keeps its engine from swaps for four seconds and
# pushes another model off the disk.
_STEP_COSTS = 0.3
_STORE_COSTS = 12.0
# What is expected of a model that nobody has asked for lately.
_UNKNOWN_RATE = 0.02
_UNKNOWN_OBJECTIVE = 4.0
# What it costs, in requests a second, that no engine's disk has a model any
# more: its next request waits for the store.
_HOMELESS = 0.05
# What it costs, likewise, to push a model's last copy off a disk. Far more
# than an empty home is worth: models come back into demand, and then take
# several times as long to be there.
_EVICTION_COSTS = 1.0
# A further copy that saves so many requests a second comes before models that
# few requests wait for: else every free engine is busy with those.
_PRESSING = 4.0
# How much more the victims of a model that requests wait for may lose than it
# gains: rare models must come to their turn. Without a limit one waiting
# caller took a model off that was just loaded and asked for more and more.
_RARE_WORTH = 0.3
# One engine of so many may load such a model at a time; the others go on with
# what most requests wait for.
_OVERDUE_SHARE = 3
# An overdue model that an engine has on its disk waits for that engine until it
# has not been served for so long. A load from the store takes several times as
# long, and keeps its engine from others.
_HOME_PATIENCE_SECONDS = 2 * plan_types.OVERDUE_SECONDS
# One engine of so many is kept free for steps that gain as much as that. All
# would be busy with models that one caller each waits for, from the store for
# four seconds, when one that thirty wait for is missing.
_KEPT_FREE = 4
# Models and engines that are looked at for a further copy in one round: the
# fullest engines' busiest models, and the emptiest engines.
_COPY_MODELS = 4
_COPY_PLACES = 4
# Loads that only give models a home, at once over all engines: each keeps its
# engine from swaps for four seconds.
_HOME_LOADS = 1


def plan(
    *,
    engine: document_lib.Engine,
    places: Sequence[plan_types.Place],
    wants: Mapping[str, plan_types.Want],
    store_loads: int,
    complete: bool = True,
) -> plan_types.Round:
    """Plans one round.

    Args:
        engine: What engines of the service can hold.
        places: All its engines.
        wants: How much each model is asked for.
        store_loads: Loads from the store that may begin now.
        complete: Whether all engines have been heard of: what none of them
            has on its disk is then on no disk.
    """
    planner = _Planning(engine, places, wants, store_loads)
    planner.load_overdue()
    planner.add_copies(least=_PRESSING)
    planner.load_missing()
    planner.add_copies(least=0.0)
    if complete:
        planner.give_homes()
    return plan_types.Round(planner.made, planner.unplaced)


class _Planning:
    """One round of planning."""

    def __init__(
        self,
        engine: document_lib.Engine,
        places: Sequence[plan_types.Place],
        wants: Mapping[str, plan_types.Want],
        store_loads: int,
    ) -> None:
        self._models = {model.name: model for model in engine.models}
        self._room = engine.weights_mb - engine.adapter_places * max(
            (model.adapter_mb for model in engine.models), default=0.0
        )
        self._places = {place.target: place for place in places}
        self._wants = wants
        self._domains = max(1, len({place.domain for place in places}))
        self._store_loads = store_loads
        self._taken: set[str] = set()
        self._copies: dict[str, int] = {}
        self._homes: dict[str, int] = {}
        # Usable engines that hold a model or will shortly, by model.
        self._holders: dict[str, list[str]] = {}
        self._home_loads = 0
        self._overdue_loads = 0
        # Requests a second by engine, counted anew after each step.
        self._known_loads: dict[str, float] | None = None
        # The answers of `_has_free_home`, likewise.
        self._free_homes: dict[str, bool] = {}
        for place in places:
            self._home_loads += place.is_home
            self._overdue_loads += place.is_overdue
            if not place.usable:
                continue
            for model in place.on_disk:
                self._homes[model] = self._homes.get(model, 0) + 1
            for model in place.holds:
                self._holders.setdefault(model, []).append(place.target)
                self._copies[model] = self._copies.get(model, 0) + 1
        self.made: list[plan_types.Step] = []
        self.unplaced: list[plan_types.Unplaced] = []

    def load_overdue(self) -> None:
        """Loads models that have not been served for long, longest first.

        Under load each victim loses more than a rare model gains, so without
        this it need never be loaded (symptom: every caller of a model is
        refused, all day).
        """
        usable = sum(place.usable for place in self._places.values())
        most = max(1, usable // _OVERDUE_SHARE)
        overdue = [item for item in self._missing() if item[1].is_overdue]
        overdue.sort(key=lambda item: -item[1].unserved)
        for name, want in overdue:
            if self._overdue_loads >= most:
                return
            step = self._best(
                name,
                "overdue",
                self._gain(want),
                any_home=want.unserved >= _HOME_PATIENCE_SECONDS,
            )
            if step is not None:
                self._make(step)
                self._overdue_loads += 1

    def _missing(self) -> list[tuple[str, plan_types.Want]]:
        """Returns what requests wait for and no engine holds or loads."""
        return [
            (name, want)
            for name, want in self._wants.items()
            if want.waiting
            and name in self._models
            and not self._copies.get(name)
        ]

    def _gain(self, want: plan_types.Want) -> float:
        """Returns the requests a second that gain by a missing model."""
        return max(want.rate, want.waiting / max(0.5, want.objective))

    def load_missing(self) -> None:
        """Loads models that requests wait for, the most waited for first."""
        missing = self._missing()
        missing.sort(key=lambda item: -item[1].waiting / item[1].objective)
        for name, want in missing:
            gain = self._gain(want)
            if not self._may_begin(gain):
                self._leave_out(name, want, self._obstacle(name, gain), gain)
                continue
            step = self._best(name, "missing", gain)
            if step is None:
                self._leave_out(name, want, self._obstacle(name, gain), gain)
            elif step.loss >= gain + _RARE_WORTH:
                obstacle = plan_types.Obstacle.DISPLACES_MORE
                self._leave_out(name, want, obstacle, gain, step.loss)
            else:
                self._make(step)

    def _leave_out(
        self,
        model: str,
        want: plan_types.Want,
        obstacle: plan_types.Obstacle,
        gain: float,
        loss: float = 0.0,
    ) -> None:
        self.unplaced.append(
            plan_types.Unplaced(model, obstacle, want.waiting, gain, loss)
        )

    def _obstacle(self, model: str, gain: float) -> plan_types.Obstacle:
        """Returns why no engine can be ordered to load a model."""
        if not any(
            place.usable and self._is_free(place.target)
            for place in self._places.values()
        ):
            return plan_types.Obstacle.ENGINES_BUSY
        if not self._may_begin(gain):
            return plan_types.Obstacle.ENGINES_KEPT
        if self._homes.get(model):
            return plan_types.Obstacle.HOME_BUSY
        return plan_types.Obstacle.STORE_RATE

    def add_copies(self, *, least: float) -> None:
        """Gives models on full engines a further copy on empty ones.

        The gain is the requests a second that would no longer be late or
        lost, by how full engines are with the model's requests spread evenly;
        copies on their way count as if they were there.

        Args:
            least: Least gain, less what it costs, in requests a second.
        """
        loads = self._loads()
        full = sorted(loads, key=lambda target: -loads[target])
        models = dict.fromkeys(
            name
            for target in full
            for name in self._by_rate(self._places[target].holds)
        )
        empty = [t for t in reversed(full) if self._is_free(t)]
        for name in list(models)[:_COPY_MODELS]:
            copies = self._copies.get(name, 0)
            if copies:
                self._add_copy(name, copies, loads, empty[:_COPY_PLACES], least)

    def _add_copy(
        self,
        name: str,
        copies: int,
        loads: Mapping[str, float],
        empty: Sequence[str],
        least: float,
    ) -> None:
        # Engines that leave still hold models; they are no help any more. One
        # that is to get its first copy counts: a swap may take eight seconds,
        # and if that engine is going to be too full, a second copy must not
        # wait for it (symptom: its callers are refused meanwhile).
        holders = self._holders.get(name, [])
        rate = self._rate(name)
        less = rate / copies - rate / (copies + 1)
        relief = sum(
            self._lost(t, loads[t]) - self._lost(t, loads[t] - less)
            for t in holders
        )
        domains = {self._places[target].domain for target in holders}
        best, most = None, float("-inf")
        for target in empty:
            place = self._places[target]
            if target in self._taken or name in place.holds:
                continue
            more = rate / (copies + 1)
            gain = relief + self._lost(target, loads[target])
            gain -= self._lost(target, loads[target] + more)
            if place.domain not in domains:
                # It saves the way for callers there, and is a spare.
                gain += rate * _AWAY_LOSS / self._domains
                gain += rate * _LOSS.get(copies + 1, _LOSS_MORE)
            step = self._step(place, name, "copy", gain)
            if step is None:
                continue
            costs = _STEP_COSTS + step.from_store * _STORE_COSTS
            net = gain - step.loss - costs / _HORIZON_SECONDS
            net -= self._eviction(place, step)
            if gain <= _HYSTERESIS * step.loss or net <= least:
                continue
            # Whether a copy pays is a question of its whole gain; where it
            # goes, also of how soon it is there.
            net -= gain * (step.wait + step.seconds) / _HORIZON_SECONDS
            if net > most:
                best, most = step, net
        if best is not None and self._may_begin(best.gain):
            self._make(best)

    def _has_free_home(self, model: str) -> bool:
        """Whether an engine that can take an order has a model's weights."""
        if model not in self._free_homes:
            self._free_homes[model] = any(
                place.usable
                and self._is_free(place.target)
                and model in (*place.in_memory, *place.on_disk)
                for place in self._places.values()
            )
        return self._free_homes[model]

    def _may_begin(self, gain: float) -> bool:
        """Whether a step of so much gain may take a free engine."""
        if gain >= _PRESSING:
            return True
        usable = [p.target for p in self._places.values() if p.usable]
        free = sum(map(self._is_free, usable))
        return free > len(usable) // _KEPT_FREE

    def _loads(self) -> dict[str, float]:
        """Returns the requests a second at each usable engine."""
        if self._known_loads is None:
            self._known_loads = self._count_loads()
        return self._known_loads

    def _count_loads(self) -> dict[str, float]:
        return {
            target: sum(self._copy_rate(name, 0) for name in place.holds)
            for target, place in self._places.items()
            if place.usable
        }

    def _by_rate(self, models: Sequence[str]) -> list[str]:
        return sorted(models, key=lambda name: -self._rate(name))

    def _rate(self, model: str) -> float:
        want = self._wants.get(model)
        return want.rate if want else 0.0

    def _is_free(self, target: str) -> bool:
        place = self._places[target]
        return not place.busy and target not in self._taken

    def give_homes(self) -> None:
        """Loads models that no engine has on its disk, while it is quiet.

        Their first request would wait for the store, which takes longer than
        any objective; afterwards they come back from the disk.
        """
        if any(want.waiting for want in self._wants.values()):
            return
        quiet = all(want.rate < _UNKNOWN_RATE for want in self._wants.values())
        # Before there is any traffic nothing is in the way.
        left = len(self._places) if quiet else _HOME_LOADS - self._home_loads
        if not quiet and not self._may_begin(_HOMELESS):
            return
        for name in self._models:
            known = self._copies.get(name) or self._homes.get(name)
            if known or self._store_loads <= 0 or left <= 0:
                continue
            step = self._best(name, "home", _HOMELESS)
            if step is not None and step.loss < _HOMELESS:
                self._make(step)
                left -= 1

    def _make(self, step: plan_types.Step) -> None:
        self.made.append(step)
        self._taken.add(step.target)
        self._store_loads -= step.from_store
        self._known_loads = None
        self._free_homes = {}
        self._copies[step.model] = self._copies.get(step.model, 0) + 1
        for victim in step.victims:
            self._copies[victim] -= 1

    def _best(
        self, model: str, reason: str, gain: float, *, any_home: bool = False
    ) -> plan_types.Step | None:
        """Returns the cheapest way to load a model, or None.

        Args:
            model: The model.
            reason: Why it is loaded.
            gain: Requests a second that gain by it.
            any_home: Whether it may come from the store although an engine
                that takes no order now has it on its disk.
        """
        found, least = None, float("inf")
        domains = {
            place.domain
            for place in self._places.values()
            if model in place.holds
        }
        for place in self._places.values():
            if not place.usable or place.busy or place.target in self._taken:
                continue
            if model in place.holds:
                continue
            step = self._step(place, model, reason, gain, any_home=any_home)
            if step is None:
                continue
            cost = step.loss + plan_costs.delay_costs(step)
            cost += self._eviction(place, step)
            if place.domain in domains:
                cost += gain / 4
            cost += self._crowding(place, step)
            if cost < least:
                found, least = step, cost
        return found

    def _step(
        self,
        place: plan_types.Place,
        model: str,
        reason: str,
        gain: float,
        *,
        any_home: bool = False,
    ) -> plan_types.Step | None:
        from_store = model not in place.in_memory + place.on_disk
        # Where an engine has it on its disk, the store is not asked, even if
        # that engine is busy for a second: the copy would push another
        # model's last one off a disk, whose next request goes to the store in
        # turn (symptom: most loads come from the store, and all engines are
        # busy with them).
        # A further copy may come from there, where it gains enough, and so may
        # what many wait for while no engine that has it can take an order.
        has_home = reason in ("missing", "overdue") and self._homes.get(model)
        if from_store and has_home and (any_home or gain >= _PRESSING):
            has_home = self._has_free_home(model)
        if from_store and (self._store_loads <= 0 or has_home):
            return None
        room = self._room - sum(
            self._models[name].weights_mb
            for name in place.loaded
            if name in self._models
        )
        victims: list[str] = []
        loss = 0.0
        hurry = max(1.0, gain)
        by_loss = sorted(
            (name for name in place.loaded if name not in place.kept),
            key=lambda name: (
                self._loss(place, name)
                + plan_costs.SECOND_COSTS
                * hurry
                * plan_costs.run_seconds(place, name)
            ),
        )
        for name in by_loss:
            if room >= self._models[model].weights_mb:
                break
            room += self._models[name].weights_mb if name in self._models else 0
            victims.append(name)
            loss += self._loss(place, name)
        if room < self._models[model].weights_mb:
            return None
        return plan_types.Step(
            target=place.target,
            model=model,
            victims=tuple(victims),
            from_store=from_store,
            reason=reason,
            seconds=self._seconds(place, model),
            wait=max(
                (plan_costs.run_seconds(place, v) for v in victims), default=0.0
            ),
            gain=gain,
            loss=loss,
        )

    def _loss(self, place: plan_types.Place, model: str) -> float:
        """Returns what a model's requests lose with its copy at a place."""
        copies = max(1, self._copies.get(model, 1))
        want = self._wants.get(model)
        if want is None or want.rate < _UNKNOWN_RATE:
            want = plan_types.Want(_UNKNOWN_RATE, 0, _UNKNOWN_OBJECTIVE)
        share = _LOSS.get(copies, _LOSS_MORE)
        if copies == 1:
            again = _SWAP_SECONDS + self._models[model].disk_seconds
            in_time = want.objective > 2 * again
            share = _IN_TIME if in_time else _LATE
        loss = want.rate * share + self._burden(place, model, copies)
        return loss + plan_costs.SECOND_COSTS * plan_costs.run_seconds(
            place, model
        )

    def _burden(
        self, place: plan_types.Place, model: str, copies: int
    ) -> float:
        """Returns what a copy's requests cost on the engines they go to.

        Without it the copies of a model that many ask for look idle as soon as
        there are enough of them, and the next step takes one off again, right
        after it was loaded.
        """
        if copies < 2:
            return 0.0
        rate = self._rate(model)
        more = rate / (copies - 1) - rate / copies
        loads = self._loads()
        return sum(
            self._lost(target, loads[target] + more)
            - self._lost(target, loads[target])
            for target in self._holders.get(model, ())
            if target != place.target
        )

    def _crowding(
        self, place: plan_types.Place, step: plan_types.Step
    ) -> float:
        """Returns what a model costs others by coming."""
        there = sum(
            self._copy_rate(name, 0)
            for name in place.loaded
            if name not in step.victims
        )
        more = self._copy_rate(step.model, 1)
        return self._lost(place.target, there + more) - self._lost(
            place.target, there
        )

    def _lost(self, target: str, rate: float) -> float:
        """Returns what a rate at an engine costs, in requests a second."""
        return plan_costs.lost(rate, self._places[target].rate_limit)

    def _copy_rate(self, model: str, more: int) -> float:
        """Returns the requests a second at one of a model's copies."""
        return self._rate(model) / max(1, self._copies.get(model, 0) + more)

    def _eviction(
        self, place: plan_types.Place, step: plan_types.Step
    ) -> float:
        """Returns what it costs that a load pushes a copy off the disk."""
        if not step.from_store or not place.on_disk:
            return 0.0
        oldest = place.on_disk[0]
        last = self._homes.get(oldest, 0) <= 1 and oldest not in place.loaded
        return _EVICTION_COSTS if last else 0.0

    def _seconds(self, place: plan_types.Place, name: str) -> float:
        """Returns how long an engine takes to load a model."""
        model = self._models[name]
        if name in place.in_memory:
            return model.memory_seconds
        if name in place.on_disk:
            return model.disk_seconds
        return model.load_seconds
