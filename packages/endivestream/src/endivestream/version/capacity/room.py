"""How many requests engines with few slots serve without delay. Pure.

The load pattern: engines have 16 slots, and some hold 16 requests while others
hold three. Counted in requests per second an engine seems to have room as long
as its rate is low, although a slow model keeps each slot for seconds. Load is
therefore counted in expected busy slots: arrivals per second times run time.
"""

from __future__ import annotations

from collections.abc import Sequence
import functools
from typing import NamedTuple

# Resolution of the table of blocked shares, in busy slots.
_LOAD_STEPS_PER_SLOT = 4
# Loads above this multiple of the room are extrapolated.
_MAX_TABLE_FACTOR = 4
# Weight of one observation in an average.
_OBSERVATION_WEIGHT = 0.1
# A run time counts for at most this multiple of the mean.
_MAX_RUN_FACTOR = 4.0
# An estimate of room shrinks by this factor after an answer that missed its
# goals and grows by this many slots after one that met them.
_LATE_FACTOR = 0.93
_IN_TIME_GAIN = 0.05
# Minimum room, as a share of the slots: with less, an engine would get too few
# requests to show that it has recovered.
_MIN_ROOM_SHARE = 0.25


def blocked_share(load: float, room: float) -> float:
    """Returns the share of arrivals that find no free slot.

    This is the loss formula of Erlang: a stream that finds no slot within a
    part of its objective is late.

    Args:
        load: Expected busy slots if no arrival were blocked.
        room: Slots that may be busy.
    """
    slots = max(1, round(room))
    if load <= 0.0:
        return 0.0
    table = _blocked_table(slots)
    position = load * _LOAD_STEPS_PER_SLOT
    index = int(position)
    if index + 1 >= len(table):
        return max(table[-1], 1.0 - slots / load)
    part = position - index
    return table[index] * (1.0 - part) + table[index + 1] * part


@functools.lru_cache(maxsize=64)
def _blocked_table(slots: int) -> tuple[float, ...]:
    return tuple(
        _erlang_loss(step / _LOAD_STEPS_PER_SLOT, slots)
        for step in range(_MAX_TABLE_FACTOR * _LOAD_STEPS_PER_SLOT * slots + 1)
    )


def _erlang_loss(load: float, slots: int) -> float:
    blocked = 1.0
    for slot in range(1, slots + 1):
        blocked = load * blocked / (slot + load * blocked)
    return blocked


class EngineLoad(NamedTuple):
    """Load and room of one engine.

    Attributes:
        load: Busy slots that are taken already.
        room: Slots that may be busy.
    """

    load: float
    room: float


def fill(amount: float, engines: Sequence[EngineLoad]) -> list[float]:
    """Distributes load so that the fullest engine is as empty as possible.

    Args:
        amount: Busy slots to distribute.
        engines: Engines that can take a part.

    Returns:
        The part of each engine.
    """
    ordered = sorted(engines, key=lambda engine: engine.load / engine.room)
    level = taken = total_room = 0.0
    for position, engine in enumerate(ordered):
        taken += engine.load
        total_room += engine.room
        level = (amount + taken) / total_room
        is_last = position + 1 == len(ordered)
        if is_last or level <= (
            ordered[position + 1].load / ordered[position + 1].room
        ):
            break
    return [max(0.0, level * each.room - each.load) for each in engines]


class RunTimes:
    """Mean run times of requests by model, from observed answers."""

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"<RunTimes of {len(self._seconds)} models>"

    def record(self, model: str, seconds: float) -> None:
        """Records the time from sending a request to the end of its answer.

        One answer counts for at most four times the mean: an engine that was
        suspended says nothing about the model.
        """
        known = self._seconds.get(model, seconds)
        change = min(seconds, _MAX_RUN_FACTOR * known) - known
        self._seconds[model] = known + _OBSERVATION_WEIGHT * change

    def seconds(self, model: str) -> float:
        """Returns the mean run time of a model's requests; 0 if unknown."""
        return self._seconds.get(model, 0.0)


class RoomEstimates:
    """Room by engine and model, from observed answers.

    Room starts at the slots of the configuration. It shrinks with answers that
    miss the first-event or gap objective of their route while the engine ran
    as many requests as the estimate allows, and grows with answers that meet
    them, so that one slow answer of an idle engine changes nothing.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = float(slots)
        self._rooms: dict[tuple[str, str], float] = {}

    def __repr__(self) -> str:
        return f"<RoomEstimates of {len(self._rooms)} engines and models>"

    def record_answer(
        self, target: str, model: str, *, running: int, in_time: bool
    ) -> None:
        """Records whether an answer met the objectives of its route.

        Args:
            target: Name of the engine.
            model: The model.
            running: Requests that ran on the engine when it was sent.
            in_time: Whether first event and gaps were within the objectives.
        """
        key = target, model
        room = self._rooms.get(key, self._slots)
        if in_time:
            room = min(self._slots, room + _IN_TIME_GAIN)
        elif running >= room * _LATE_FACTOR:
            room = max(_MIN_ROOM_SHARE * self._slots, room * _LATE_FACTOR)
        self._rooms[key] = room

    def room(self, target: str, model: str) -> float:
        """Returns how many requests may run without missing objectives."""
        return self._rooms.get((target, model), self._slots)

    def forget(self, target: str) -> None:
        """Removes what is known about an engine that restarted or left."""
        for key in [key for key in self._rooms if key[0] == target]:
            del self._rooms[key]
