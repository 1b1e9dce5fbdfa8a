"""Load patterns: requests by arrival time, drawn from a seed.

The sizes follow a site of 30 engines with 131 models: short questions and long
ones for a few busy models, and requests with a long objective for the rest.
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
    """

    rate: float
    prompt: float
    events: float
    objective: float
    value: float
    rank: int
    busy_models: bool


_KINDS = (
    RequestKind(91.1, 1460.0, 34.5, 1.0, 2.0, 1, True),
    RequestKind(21.9, 1460.0, 34.5, 5.0, 1.0, 2, False),
    RequestKind(55.9, 646.0, 13.9, 0.8, 1.4, 0, True),
)
# Share of a prompt that engines find in their caches.
_CACHED_SHARE = 0.15
MODELS = tuple(f"m{n}" for n in range(131))
_LISTED_BUSY = 50
BUSY = 20
_SKEW = 0.4
_SPREAD = 0.9
_SILENCE_SECONDS = 4.0


class Pattern(NamedTuple):
    """A load pattern.

    Attributes:
        load: Factor on the rates, by time.
        first_busy: Index of the busiest model in the list, by time.
    """

    load: Callable[[float], float]
    first_busy: Callable[[float], float]


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
}


def _model_weights(shift: float) -> list[float]:
    """Weights of the listed models; those that rise and fall have a part."""
    weights = [0.0] * _LISTED_BUSY
    for offset in (math.floor(shift), math.floor(shift) + 1):
        part = 1.0 - abs(shift - offset)
        for position in range(BUSY):
            weights[(offset + position) % _LISTED_BUSY] += (
                part * (position + 1) ** -_SKEW
            )
    return weights


def draw(
    pattern: Pattern, seed: int, seconds: float, hosts: int
) -> list[engine_lib.Request]:
    """Returns the requests of one run, by arrival time."""
    source = random.Random(seed)
    order = list(MODELS)
    source.shuffle(order)
    busy, rare = order[:_LISTED_BUSY], order[_LISTED_BUSY:]
    rare_weights = [(n + 1) ** -_SKEW for n in range(len(rare))]
    requests = []
    for kind in _KINDS:
        now = 0.0
        while True:
            now += source.expovariate(kind.rate * pattern.load(now))
            if now >= seconds:
                break
            if kind.busy_models:
                weights = _model_weights(pattern.first_busy(now))
                model = source.choices(busy, weights)[0]
            else:
                model = source.choices(rare, rare_weights)[0]
            requests.append(
                engine_lib.Request(
                    arrived_at=now,
                    model=model,
                    prompt=(1 - _CACHED_SHARE)
                    * _size(source, kind.prompt, 3.4),
                    output=int(5 * max(1.0, _size(source, kind.events, 4.0))),
                    objective=kind.objective,
                    silence=max(_SILENCE_SECONDS, 4 * kind.objective),
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
