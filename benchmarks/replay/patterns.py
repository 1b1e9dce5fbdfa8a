"""Load patterns: requests by arrival time, drawn from a seed.

The sizes follow two sites. The first has 30 engines with 131 models: short
questions and long ones for a few busy models, and requests with a long
objective for the rest. The second has 45 engines with 16 slots and 196 models,
which take 9 s from the weight store: urgent streams whose callers leave after
2.4 s for 30 busy models, and batch requests for 120 rare ones. It starts empty
and without traffic.
"""

from __future__ import annotations

from collections.abc import Callable
import math
import random
from typing import NamedTuple

from replay import engine as engine_lib


class RequestKind(NamedTuple):
    """One kind of request.

    Attributes:
        rate: Requests a second at load 1.
        prompt: Mean prompt tokens.
        events: Mean events of an answer.
        objective: Seconds to the first event.
        value: Value of an answer in time.
        rank: Urgency; 0 is the most urgent.
        busy_models: Whether its requests are for the busy models.
        silence: Seconds without an event after which its callers leave; 0 for
            four objectives, at least 4 s.
    """

    rate: float
    prompt: float
    events: float
    objective: float
    value: float
    rank: int
    busy_models: bool
    silence: float = 0.0


class Shape(NamedTuple):
    """Engines and models of a site.

    Attributes:
        engines: Number of engines.
        models: Number of models.
        listed_busy: Number of models that may become busy.
        busy: Number of busy models at a time.
        rare: Number of models with requests of a long objective.
        speed: Speed of the engines.
        slowdowns: Factors on the time that engines take.
        load_seconds: Duration of a load from the weight store.
        disk_seconds: Duration of a load from a disk.
        memory_seconds: Duration of a load from host memory.
        loads_per_second: Rate limit of the weight store.
        kinds: Kinds of requests.
        idle_seconds: Time before the traffic starts; nothing is placed at its
            beginning. 0 if models are placed at random.
    """

    engines: int
    models: int
    listed_busy: int
    busy: int
    rare: int
    speed: engine_lib.EngineSpeed
    slowdowns: tuple[float, ...]
    load_seconds: float
    disk_seconds: float
    memory_seconds: float
    loads_per_second: float
    kinds: tuple[RequestKind, ...]
    idle_seconds: float = 0.0


_KINDS = (
    RequestKind(91.1, 1460.0, 34.5, 1.0, 2.0, 1, True),
    RequestKind(21.9, 1460.0, 34.5, 5.0, 1.0, 2, False),
    RequestKind(55.9, 646.0, 13.9, 0.8, 1.4, 0, True),
)
# Share of a prompt that engines find in their caches.
_CACHED_SHARE = 0.15
_MANY_SLOTS = Shape(
    engines=30,
    models=131,
    listed_busy=50,
    busy=20,
    rare=81,
    speed=engine_lib.EngineSpeed(),
    slowdowns=(1.0, 1.0, 1.3),
    load_seconds=5.8,
    disk_seconds=1.2,
    memory_seconds=0.63,
    loads_per_second=9.0,
    kinds=_KINDS,
)
_FEW_SLOTS = Shape(
    engines=45,
    models=196,
    listed_busy=60,
    busy=30,
    rare=120,
    speed=engine_lib.EngineSpeed(
        step_seconds=0.00887, prefill_rate=19_100.0, slots=16
    ),
    slowdowns=(1.0,),
    load_seconds=9.0,
    disk_seconds=2.0,
    memory_seconds=0.8,
    loads_per_second=13.0,
    kinds=(
        RequestKind(92.6, 1460.0, 43.0, 0.508, 2.0, 0, True, 2.4),
        RequestKind(57.2, 646.0, 17.0, 0.606, 1.5, 1, True, 2.42),
        RequestKind(19.0, 1460.0, 43.0, 15.0, 1.1, 2, False, 24.7),
    ),
    idle_seconds=16.0,
)
# Engines of three speeds, and models that load sooner.
_UNEVEN = _FEW_SLOTS._replace(
    models=156,
    rare=90,
    speed=engine_lib.EngineSpeed(
        step_seconds=0.0082, prefill_rate=25_800.0, slots=16
    ),
    slowdowns=(1 / 0.6, 1.0, 1 / 1.6),
    load_seconds=5.0,
    disk_seconds=1.3,
    memory_seconds=0.6,
    kinds=(
        RequestKind(70.2, 646.0, 14.0, 0.507, 2.0, 0, True, 2.4),
        RequestKind(15.6, 1460.0, 34.0, 5.01, 2.8, 1, False, 17.0),
        RequestKind(113.0, 1460.0, 34.0, 0.51, 1.4, 2, True, 2.4),
    ),
)
_SKEW = 0.4
_SPREAD = 0.9
_SILENCE_SECONDS = 4.0


class Pattern(NamedTuple):
    """A load pattern.

    Attributes:
        load: Factor on the rates, by time.
        first_busy: Index of the busiest model in the list, by time.
        shape: Engines and models.
        factor: Factor on the weight of one busy model, by time.
    """

    load: Callable[[float], float]
    first_busy: Callable[[float], float]
    shape: Shape = _MANY_SLOTS
    factor: Callable[[float], float] = lambda now: 1.0


def _shift(*starts: float) -> Callable[[float], float]:
    """Demand moves on by two models within 7 s from each start."""
    return lambda now: sum(
        2.0 * min(1.0, max(0.0, (now - start) / 7.0)) for start in starts
    )


PATTERNS = {
    "calm": Pattern(lambda now: 0.9, _shift(1.0, 14.0)),
    "shift": Pattern(lambda now: 1.25, _shift(1.0, 13.0, 24.0)),
    "surge": Pattern(
        lambda now: 1.1 * (1.8 if 8.0 < now < 14.0 else 1.0), _shift(1.0, 14.0)
    ),
    "slots-calm": Pattern(lambda now: 1.0, _shift(), _FEW_SLOTS),
    "slots-shift": Pattern(
        lambda now: 1.0, _shift(4.0, 12.0, 20.0), _FEW_SLOTS
    ),
    "slots-rise": Pattern(
        lambda now: 1.0,
        _shift(),
        _FEW_SLOTS,
        lambda now: 10.0 if 8.0 < now < 18.0 else 1.0,
    ),
    "slots-uneven": Pattern(lambda now: 1.0, _shift(4.0, 12.0, 20.0), _UNEVEN),
    "slots-full": Pattern(lambda now: 1.8, _shift(4.0, 14.0), _FEW_SLOTS),
}


def model_names(shape: Shape) -> tuple[str, ...]:
    """Returns the names of all models."""
    return tuple(f"m{n}" for n in range(shape.models))


def _model_weights(shape: Shape, shift: float, factor: float) -> list[float]:
    """Weights of the listed models; those that rise and fall have a part."""
    weights = [0.0] * shape.listed_busy
    for offset in (math.floor(shift), math.floor(shift) + 1):
        part = 1.0 - abs(shift - offset)
        for position in range(shape.busy):
            weights[(offset + position) % shape.listed_busy] += (
                part * (position + 1) ** -_SKEW
            )
    # The model in the middle rises, not the one with the most copies.
    weights[(math.floor(shift) + shape.busy // 2) % shape.listed_busy] *= factor
    return weights


def draw(
    pattern: Pattern, seed: int, seconds: float, hosts: int
) -> list[engine_lib.Request]:
    """Returns the requests of one run, by arrival time."""
    source = random.Random(seed)
    shape = pattern.shape
    order = list(model_names(shape))
    source.shuffle(order)
    busy, rare = order[: shape.listed_busy], order[shape.listed_busy :]
    rare = rare[: shape.rare]
    rare_weights = [(n + 1) ** -_SKEW for n in range(len(rare))]
    requests = []
    for kind in shape.kinds:
        now = 0.0
        while True:
            now += source.expovariate(kind.rate * pattern.load(now))
            if now >= seconds:
                break
            if kind.busy_models:
                weights = _model_weights(
                    shape, pattern.first_busy(now), pattern.factor(now)
                )
                model = source.choices(busy, weights)[0]
            else:
                model = source.choices(rare, rare_weights)[0]
            requests.append(
                engine_lib.Request(
                    arrived_at=shape.idle_seconds + now,
                    model=model,
                    prompt=(1 - _CACHED_SHARE)
                    * _size(source, kind.prompt, 3.4),
                    output=int(5 * max(1.0, _size(source, kind.events, 4.0))),
                    objective=kind.objective,
                    silence=kind.silence
                    or max(_SILENCE_SECONDS, 4 * kind.objective),
                    value=kind.value,
                    rank=kind.rank,
                    host=source.randrange(hosts),
                )
            )
    requests.sort(key=lambda request: request.arrived_at)
    return requests


def _size(source: random.Random, mean: float, most: float) -> float:
    """Draws a size with a long tail, at most `most` times the mean."""
    size = mean * math.exp(source.gauss(-(_SPREAD**2) / 2, _SPREAD))
    return max(1.0, min(size, most * mean))
