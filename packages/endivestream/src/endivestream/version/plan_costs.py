"""Cost model of the placement planner, in requests per second. Pure."""

from __future__ import annotations

from endivestream.version import plan_types

# Running requests of a victim delay its unload by about this long.
_BASE_RUN_SECONDS = 1.5
# Number of running requests of a victim that delay its unload by another 1.5 s:
# an engine that runs many requests is slow with each.
_REQUESTS_PER_EXTRA_DELAY = 8.0
# Loss, in requests per second, that weighs as much as one second of delay.
DELAY_COST_PER_SECOND = 0.3
# Requests per second at one engine. Prompts are processed between the tokens of
# running requests (1,460 tokens take 66 ms). Up to the first rate the pauses
# between tokens stay short; at the second every answer has a long one.
_UNDELAYED_RATE = 4.0
_FULL_RATE = 14.0
# Share of its value that an answer loses by being late.
_LATE_LOSS_SHARE = 0.7
# Cost of each request per second above the full rate: it delays all requests
# that wait behind it further, until their callers give up. The slope is higher
# than anywhere below the full rate, or a third copy would seem useless where a
# fourth is needed too (symptom: two engines are overloaded, others are idle).
_OVERLOAD_COST_PER_REQUEST = 2.0


def remaining_run_seconds(engine: plan_types.EngineState, model: str) -> float:
    """Estimates how long a model's running requests on an engine still take."""
    running = engine.running.get(model, 0)
    if not running:
        return 0.0
    return _BASE_RUN_SECONDS * (1.0 + running / _REQUESTS_PER_EXTRA_DELAY)


def delay_cost(step: plan_types.Step) -> float:
    """Returns the cost of the time until a step has completed.

    A model that many requests wait for is loaded where it is ready first, not
    where it displaces the fewest requests: the streams of a victim may run for
    as long as a load takes.
    """
    return load_cost(step.gain, step.load_seconds + step.victim_run_seconds)


def load_cost(gain: float, seconds: float) -> float:
    """Returns the cost of the time that a load with a gain takes."""
    return DELAY_COST_PER_SECOND * max(1.0, gain) * seconds


def overload_cost(rate: float, limit: float | None = None) -> float:
    """Returns the cost of the load of an engine.

    Args:
        rate: Requests per second sent to the engine.
        limit: Requests per second that it accepts; None if it reports no
            limit.
    """
    full_rate = _FULL_RATE if limit is None else min(limit, _FULL_RATE)
    accepted = min(max(0.0, rate), full_rate)
    late_share = max(0.0, accepted - _UNDELAYED_RATE) / (
        _FULL_RATE - _UNDELAYED_RATE
    )
    return (
        _LATE_LOSS_SHARE * accepted * late_share
        + _OVERLOAD_COST_PER_REQUEST * max(0.0, rate - full_rate)
    )
