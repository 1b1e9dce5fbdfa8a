"""What placement costs the requests of models, in requests a second. Pure."""

from __future__ import annotations

from endivestream.version import plan_types

# Requests that still run for a victim hold its unload up by about so long.
_RUNNING_SECONDS = 1.5
# Running requests of a victim that hold its unload up by another 1.5 s: an
# engine that runs many is slow with each.
_RUNNING_STEP = 8.0
# Seconds of loading weigh as much as this loss of requests a second.
SECOND_COSTS = 0.3
# Requests a second at one engine. Prompts are read between the tokens of
# running requests (1,460 tokens take 66 ms); up to the first figure pauses stay
# short, at the second every answer has a long one.
_EASY_RATE = 4.0
_FULL_RATE = 14.0
# What a late answer loses of its worth.
_LATE_LOSS = 0.7
# What each request a second above the full rate costs: it makes all that wait
# behind it later still, until they give up. Steeper than the cost below the
# full rate ever is, or a third copy would look useless where a fourth is
# needed too (symptom: two engines drown, others stay idle).
_OVER_LOSS = 2.0


def run_seconds(place: plan_types.Place, model: str) -> float:
    """Returns how long a model's runs on an engine will still take, about."""
    running = place.running.get(model, 0)
    if not running:
        return 0.0
    return _RUNNING_SECONDS * (1.0 + running / _RUNNING_STEP)


def delay_costs(step: plan_types.Step) -> float:
    """Returns what it costs until a step has its effect.

    What many wait for goes where it is soonest there, not where the fewest
    are displaced: a victim's streams may run for as long as a load takes.
    """
    return SECOND_COSTS * max(1.0, step.gain) * (step.seconds + step.wait)


def lost(rate: float, limit: float | None = None) -> float:
    """Returns what an engine's rate costs.

    Args:
        rate: Requests a second that go there.
        limit: Requests a second that it takes, if it names a limit.
    """
    full = _FULL_RATE if limit is None else min(limit, _FULL_RATE)
    below = min(max(0.0, rate), full)
    share = max(0.0, below - _EASY_RATE) / (_FULL_RATE - _EASY_RATE)
    return _LATE_LOSS * below * share + _OVER_LOSS * max(0.0, rate - full)
