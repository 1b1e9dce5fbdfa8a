"""Adapters that engines load before requests wait for them. Performs no I/O.

Load pattern: half of a route's requests need one of hundreds of adapters, and
engines load models for seconds. An engine accepts no adapter while it loads a
model, so a request whose adapter is not loaded by then is refused although its
model is there. Loading an adapter takes milliseconds and pauses nothing, so
free places are filled with the adapters that are requested most.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

# A loaded adapter that no request uses is replaced if the new one would be
# requested this many times as often; otherwise two adapters of similar demand
# would replace each other in turn.
_REPLACE_FACTOR = 3.0
# Requests a second below which an adapter is not loaded in advance: about one
# request in the time for which rates are averaged.
_MIN_RATE = 0.05


class AdapterPlaces(NamedTuple):
    """Adapters of one engine.

    Attributes:
        target: Name of the engine.
        models: Models whose adapters it can load now.
        adapters: Loaded adapters as `MODEL/ADAPTER`, pending loads included.
        idle: Those of them that no request uses.
        reserved: Adapters that it may have loaded without an answer. They have
            a place, and are ordered again without evicting another.
        free_places: Number of further adapters that it can hold.
        accepts_loads: Whether it can be ordered to load an adapter now.
    """

    target: str
    models: Collection[str]
    adapters: Collection[str]
    idle: Collection[str]
    reserved: Collection[str]
    free_places: int
    accepts_loads: bool


class AdapterLoad(NamedTuple):
    """An adapter to load on an engine.

    Attributes:
        target: Name of the engine.
        adapter: The adapter as `MODEL/ADAPTER`.
        victim: The adapter to unload first, or empty.
    """

    target: str
    adapter: str
    victim: str


def plan(
    engines: Sequence[AdapterPlaces], rates: Mapping[str, float]
) -> list[AdapterLoad]:
    """Returns at most one load for each engine.

    The value of a copy of an adapter is its share of the adapter's requests,
    with these spread evenly over all copies.

    Args:
        engines: All usable engines of a service.
        rates: Requests a second by `MODEL/ADAPTER`.
    """
    copies: dict[str, int] = {}
    for engine in engines:
        for name in engine.adapters:
            copies[name] = copies.get(name, 0) + 1
    by_model: dict[str, list[str]] = {}
    for name, rate in rates.items():
        if rate >= _MIN_RATE:
            by_model.setdefault(name.partition("/")[0], []).append(name)
    loads = []
    for engine in engines:
        if not engine.accepts_loads:
            continue
        load = _best_load(engine, rates, copies, by_model)
        if load is not None:
            loads.append(load)
            copies[load.adapter] = copies.get(load.adapter, 0) + 1
            if load.victim:
                copies[load.victim] -= 1
    return loads


def _best_load(
    engine: AdapterPlaces,
    rates: Mapping[str, float],
    copies: Mapping[str, int],
    by_model: Mapping[str, Sequence[str]],
) -> AdapterLoad | None:
    candidates = [
        name
        for model in engine.models
        for name in by_model.get(model, ())
        if name not in engine.adapters
    ]
    if not candidates:
        return None
    best = max(
        candidates, key=lambda name: rates[name] / (copies.get(name, 0) + 1)
    )
    if engine.free_places > 0 or best in engine.reserved:
        return AdapterLoad(engine.target, best, "")
    if not engine.idle:
        return None

    def share(name: str) -> float:
        return rates.get(name, 0.0) / max(1, copies.get(name, 0))

    victim = min(engine.idle, key=share)
    value = rates[best] / (copies.get(best, 0) + 1)
    if value <= _REPLACE_FACTOR * share(victim):
        return None
    return AdapterLoad(engine.target, best, victim)
