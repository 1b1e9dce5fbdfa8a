"""Room that is kept at bounded targets for requests that wait.

Addresses this load: a large request does not fit a bounded target, and smaller
ones keep the target in use, so that the large one would wait until its caller
leaves. Does no I/O and reads no clock.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Hashable
from collections.abc import Sequence
import dataclasses
import itertools
import math
from typing import NamedTuple

from endivestream.request.buffering import loads

# Smaller requests that are sent ahead of one that waits before room is kept for
# it; as many as may overtake a request in the queue for an engine's slots.
_MAX_SENT_AHEAD = 32
# Part of its wait after which room is kept for a request anyway. The rest is
# for the target to answer what it holds.
_RESERVE_WAIT_SHARE = 0.25


class Reservation(NamedTuple):
    """Room of a target that is kept for a request.

    Attributes:
        target: The target.
        sent_ahead: Requests that were sent to its targets while it waited.
        waited: Seconds for which it has waited.
    """

    target: str
    sent_ahead: int
    waited: float


@dataclasses.dataclass(kw_only=True)
class _Waiting:
    """A request that fits no target.

    Attributes:
        order: Sort key; a request goes ahead of those with a greater one.
        load: What it takes of a target's memory.
        since: Start of its wait.
        reserve_at: When room is kept for it at the latest.
        targets: Targets that could take it, but for their memory.
        sent_ahead: Requests that were sent to these meanwhile.
        reserved: The target where room is kept for it; empty if there is none.
        is_reported: Whether its first reservation has been returned.
    """

    order: tuple[int, int]
    load: loads.Load
    since: float
    reserve_at: float
    targets: Collection[str] = ()
    sent_ahead: int = 0
    reserved: str = ""
    is_reported: bool = False


class MemoryWaits:
    """Requests of this host that fit no target."""

    def __init__(
        self,
        *,
        counts: collections.Counter[str],
        used_share: Callable[[str, float], float],
    ) -> None:
        """Starts without requests.

        Args:
            counts: Counts the requests that room is kept for.
            used_share: Returns what part of this host's share of a target is
                in use at a time.
        """
        self._counts = counts
        self._used_share = used_share
        self._waiting: dict[Hashable, _Waiting] = {}
        self._numbers = itertools.count()

    @property
    def count(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    def record_waiting(
        self,
        request: Hashable,
        *,
        load: loads.Load,
        rank: int,
        targets: Collection[str],
        until: float,
        now: float,
    ) -> Reservation | None:
        """Records that a request waits, and keeps room for it in due time.

        Room is kept at one target, so that the others serve smaller requests.

        Args:
            request: The request; the same one after each check of targets.
            load: What it takes of a target's memory.
            rank: Urgency; 0 is the most urgent.
            targets: Targets that could take it, but for their memory. Without
                any, no room is kept for it.
            until: Until when it can wait.
            now: Current time.

        Returns:
            Where room is kept for it, once; else None.
        """
        waiting = self._waiting.get(request)
        if waiting is None:
            if not targets:
                return None
            waiting = self._waiting[request] = _Waiting(
                order=(rank, next(self._numbers)),
                load=load,
                since=now,
                reserve_at=now + _RESERVE_WAIT_SHARE * max(0.0, until - now),
            )
        waiting.targets = targets
        if waiting.reserved not in targets:
            waiting.reserved = ""
        if not waiting.reserved and (
            now >= waiting.reserve_at or waiting.sent_ahead >= _MAX_SENT_AHEAD
        ):
            self._reserve(waiting, now)
        if not waiting.reserved or waiting.is_reported:
            return None
        waiting.is_reported = True
        self._counts["reserved"] += 1
        return Reservation(
            waiting.reserved, waiting.sent_ahead, now - waiting.since
        )

    def record_selected(self, request: Hashable, target: str) -> None:
        """Records which target a request that waited is about to use.

        It may still wait there for a slot or a prefill turn.
        """
        waiting = self._waiting.get(request)
        if waiting is not None:
            waiting.targets = (target,)
            if waiting.reserved:
                waiting.reserved = target

    def record_wait_end(self, request: Hashable) -> None:
        """Records that a request is sent, or waits no more."""
        self._waiting.pop(request, None)

    def record_sent_ahead(self, target: str, now: float) -> None:
        """Records that another request is sent to a target."""
        for waiting in self._waiting.values():
            if target in waiting.targets:
                waiting.sent_ahead += 1
                if (
                    waiting.sent_ahead >= _MAX_SENT_AHEAD
                    and not waiting.reserved
                ):
                    self._reserve(waiting, now)

    def reserved_ahead(
        self, target: str, request: Hashable, rank: float
    ) -> Sequence[loads.Load]:
        """Returns what is kept at a target for requests ahead of one."""
        if not self._waiting:
            return ()
        own = self._waiting.get(request)
        order = own.order if own is not None else (rank, math.inf)
        return [
            each.load
            for each in self._waiting.values()
            if each.reserved == target and each.order < order
        ]

    def _reserve(self, waiting: _Waiting, now: float) -> None:
        """Keeps room where the least of this host's share is in use."""
        waiting.reserved = min(
            waiting.targets,
            key=lambda target: (
                len(self.reserved_ahead(target, None, math.inf)),
                self._used_share(target, now),
            ),
            default="",
        )
