"""Bounds on targets whose process may have ended under load.

Addresses this load: a target ends under large requests and starts again at
once, and gets the same load before its end is proved.

Attempts that break off together are the first sign of a crash; its proof may
come much later, or never, as a cut network path breaks them as well. Any sign
of life removes the bound. Does no I/O and reads no clock.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses
import itertools
import math
from typing import NamedTuple

from endivestream.request.buffering import loads

# Time for which a provisional bound lasts without any further evidence: that
# for which a later proof of the end applies to attempts that broke off
# (`open_attempts`).
PROVISIONAL_SECONDS = 5.0
# Age from which what arrives from a process cannot have been on its way before
# its end: answers that broke off together are noticed within this time.
_IN_FLIGHT_SECONDS = 0.5
# Reports of a process after which it has lived on: one may have been on its
# way when the attempts broke off.
_REPORTS_OF_LIFE = 2


class Break(NamedTuple):
    """An attempt that its target broke off.

    Attributes:
        sent_at: When it was sent.
        ended_at: When it broke off.
    """

    sent_at: float
    ended_at: float


@dataclasses.dataclass(kw_only=True)
class Bound:
    """The bound of one target whose process may have ended.

    Attributes:
        load: The load allowed over all hosts.
        started_at_ms: Start time of the process.
        since: When the first attempt broke off.
        sent_at: When the last of these attempts was sent. Connections that
            were open then belong to the process.
        reports: Reports of the process since.
    """

    load: loads.Load
    started_at_ms: int
    since: float
    sent_at: float
    reports: int = 0

    def is_over(self, now: float) -> bool:
        """Returns whether nothing has proved the end in time."""
        return now >= self.since + PROVISIONAL_SECONDS


class ProvisionalBounds:
    """The provisional bounds of an entry host's targets."""

    def __init__(self, *, counts: collections.Counter[str]) -> None:
        """Starts without bounds.

        Args:
            counts: Counts the bounds, and those that were disproved.
        """
        self._counts = counts
        self._bounds: dict[str, Bound] = {}
        # When the processes of targets were last proved to run, by target and
        # start time; as long as it matters.
        self._alive_at: dict[tuple[str, int], float] = {}

    def find(self, target: str, now: float) -> Bound | None:
        """Returns the bound of a target, if it has one."""
        bound = self._bounds.get(target)
        return None if bound is None or bound.is_over(now) else bound

    def count(self, now: float) -> int:
        """Returns the number of targets with a bound."""
        return sum(not each.is_over(now) for each in self._bounds.values())

    def record_breaks(
        self,
        target: str,
        started_at_ms: int,
        *,
        breaks: Sequence[Break],
        load: loads.Load,
        now: float,
    ) -> bool:
        """Records that attempts broke off within a short time.

        Attempts that followed each other, as those of a request that is sent
        again, were not held at the same time and show no load.

        Args:
            target: The target.
            started_at_ms: Start time of its process, which may have ended.
            breaks: The attempts.
            load: What is allowed over all hosts if it has ended.
            now: Current time.

        Returns:
            Whether the target has a new bound.
        """
        self._drop_old(now)
        alive_at = self._alive_at.get((target, started_at_ms), -math.inf)
        breaks = [each for each in breaks if each.ended_at > alive_at]
        known = self._bounds.get(target)
        if not _were_open_together(breaks) or (
            known is not None and started_at_ms <= known.started_at_ms
        ):
            return False
        self._bounds[target] = Bound(
            load=load,
            started_at_ms=started_at_ms,
            since=min(each.ended_at for each in breaks),
            sent_at=max(each.sent_at for each in breaks),
        )
        self._counts["provisional"] += 1
        return True

    def record_answer(
        self,
        target: str,
        started_at_ms: int,
        *,
        opened_at: float,
        sent_at: float,
        read_since: float,
        now: float,
    ) -> bool:
        """Records that a part of an answer has arrived.

        It disproves the end of the process if its connection was open before
        the attempts broke off, and it cannot have been on its way then.

        Args:
            target: The target.
            started_at_ms: Start time of the process, as the table lists it. The
                next one may answer at the same address.
            opened_at: When the connection was opened.
            sent_at: When the request was sent.
            read_since: Since when the answer is read without a pause.
            now: Current time.

        Returns:
            Whether a provisional bound was removed.
        """
        bound = self._bounds.get(target)
        if bound is None or opened_at > bound.sent_at:
            return False
        alive_at = now - _IN_FLIGHT_SECONDS
        is_newer = sent_at >= bound.since
        if not is_newer and alive_at < max(bound.since, read_since):
            return False
        return self.record_alive(
            target, started_at_ms, max(sent_at, alive_at), now
        )

    def record_report(
        self, target: str, started_at_ms: int, now: float
    ) -> bool:
        """Records a new report of a process.

        Returns:
            Whether a provisional bound was removed.
        """
        bound = self._bounds.get(target)
        if bound is None or bound.started_at_ms != started_at_ms:
            return False
        bound.reports += 1
        if bound.reports < _REPORTS_OF_LIFE:
            return False
        return self.record_alive(target, started_at_ms, bound.since, now)

    def record_alive(
        self, target: str, started_at_ms: int, alive_at: float, now: float
    ) -> bool:
        """Records that a process was running at some time.

        Returns:
            Whether a provisional bound was removed.
        """
        self._drop_old(now)
        self._alive_at[target, started_at_ms] = alive_at
        bound = self._bounds.get(target)
        if (
            bound is None
            or bound.started_at_ms != started_at_ms
            or alive_at < bound.since
        ):
            return False
        del self._bounds[target]
        self._counts["disproved"] += 1
        return True

    def record_process_end(self, target: str, started_at_ms: int) -> None:
        """Records that a process no longer runs, whatever the reason."""
        bound = self._bounds.get(target)
        if bound is not None and bound.started_at_ms <= started_at_ms:
            del self._bounds[target]

    def _drop_old(self, now: float) -> None:
        self._bounds = {
            name: bound
            for name, bound in self._bounds.items()
            if not bound.is_over(now)
        }
        self._alive_at = {
            process: alive_at
            for process, alive_at in self._alive_at.items()
            if now < alive_at + PROVISIONAL_SECONDS
        }


def _were_open_together(breaks: Sequence[Break]) -> bool:
    """Returns whether two of some attempts were open at the same time."""
    # If any two were, so were two that ended one after the other.
    by_end = sorted(breaks, key=lambda each: each.ended_at)
    return any(
        later.sent_at < earlier.ended_at
        for earlier, later in itertools.pairwise(by_end)
    )
