"""One figure for each placement step, by which steps compete. Pure.

The load pattern: callers of urgent streams leave after 2.4 s, batch callers
wait for 10 s and more, and a load takes 9 s from the weight store, 2 s from a
disk and 0.8 s from host memory. Counted by waiting requests, models with one
patient batch caller keep all engines busy with loads from the store while a
busy model lacks a copy (symptom: batch requests are served more often than the
most urgent streams, and engines load constantly).

The figure is the worth that a step gains for each second for which it occupies
its engine. A load from memory therefore comes before one from a disk, and a
load from the store for a caller who will have left comes last.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from endivestream.version import plan_types

# Worth of a request, relative to the next more urgent rank.
_RANK_FACTOR = 0.7
# Worth of an answer after its objective, as a share of one in time.
_LATE_SHARE = 0.25
# Rates are averages over this time (`request.demand`), so demand is known to
# last about as long.
_DEMAND_SECONDS = 4.0
# Cost of an order and a push to all hosts, in urgent requests.
_ORDER_COST = 0.3
# The loss of victims counts this much more than an equal gain. Otherwise two
# models of equal demand would displace each other in turn.
_LOSS_FACTOR = 1.5
# Exponent of the share of occupied engines in the price of engine time. The
# price is a sixty-fourth of the full one while half of the engines are free,
# and half of it when a tenth is.
_PRICE_EXPONENT = 6


def rank_weight(rank: int) -> float:
    """Returns the worth of a request in time; 1 for the most urgent."""
    return _RANK_FACTOR ** max(0, rank)


def waiting_gain(
    groups: Iterable[plan_types.WaitingGroup], seconds: float
) -> float:
    """Returns the worth of the waiting requests that a step serves.

    Args:
        groups: Waiting requests.
        seconds: Seconds until the step has completed.
    """
    gain = 0.0
    for group in groups:
        if seconds > group.patience_seconds:
            continue
        is_late = seconds > group.objective_seconds
        share = _LATE_SHARE if is_late else 1.0
        gain += group.count * rank_weight(group.rank) * share
    return gain


class Effect(NamedTuple):
    """Effect of a step.

    Attributes:
        waiting_gain: Worth of the waiting requests that it serves.
        gain_rate: Worth per second gained for requests that arrive afterwards.
        loss_rate: Worth per second that its victims lose.
        blocked_rate: Worth per second of requests for models that no other
            engine has on its disk, which cannot be loaded meanwhile.
        seconds: Time for which it occupies its engine.
        induced_seconds: Engine time of later steps that it makes necessary: a
            model whose last disk copy is evicted is loaded from the store.
    """

    waiting_gain: float
    gain_rate: float
    loss_rate: float
    seconds: float
    induced_seconds: float = 0.0
    blocked_rate: float = 0.0


def worth(effect: Effect) -> float:
    """Returns the net worth of a step per second of engine time.

    Its model is expected to be of use for as long as demand is known to last
    and as long again as the step takes; its victims are missing during the
    step too.
    """
    used_seconds = _DEMAND_SECONDS + effect.seconds
    net = (
        effect.waiting_gain
        + effect.gain_rate * used_seconds
        - _LOSS_FACTOR * effect.loss_rate * (used_seconds + effect.seconds)
        - effect.blocked_rate * effect.seconds
        - _ORDER_COST
    )
    return net / (effect.seconds + effect.induced_seconds)


def engine_price(
    *, arriving_worth: float, engines: int, occupied: int
) -> float:
    """Returns the worth per engine second below which an engine stays free.

    An engine occupied for nine seconds is missing when a busy model needs a
    copy. Its time is worth its share of all requests when no other engine is
    free, and next to nothing while most are.

    Args:
        arriving_worth: Worth per second of all requests that arrive.
        engines: Number of engines that can take orders.
        occupied: Number of these that execute a step.
    """
    if not engines:
        return 0.0
    share = min(1.0, occupied / engines)
    return arriving_worth / engines * share**_PRICE_EXPONENT
