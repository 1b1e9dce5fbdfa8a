"""Departures of targets, and when they may be acknowledged. Pure.

A target that departs may stop some time after the acknowledgement, so no host
may send to it after that time. A host that has received the table without it
sends nothing; any other one until its lease ends, which it renewed before the
departure: the answer to each later renewal contains the table. Calls of a
target are repeated, and reports arrive late and out of order. A departure
belongs to one process; only a newer one, or a newer report that takes it back,
ends it. Times are seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

from endivestream import table_position


@dataclasses.dataclass(kw_only=True, eq=False)
class Departure:
    """Departure of one process of a target.

    Attributes:
        target: Name of the target.
        started_at_ms: Start time of the process, in milliseconds of the wall
            clock; None if it is unknown.
        is_removal: Whether it has deregistered; otherwise it has announced
            that.
        began_at: When the leader learned of it.
        position: First position of the table without the target.
        renewals: When each host had renewed its lease last before that.
        commit: Commit of the deregistration to the log.
    """

    target: str
    started_at_ms: int | None
    is_removal: bool
    began_at: float
    position: table_position.Position
    renewals: Mapping[str, float]
    commit: asyncio.Task[Any] | None = None

    def leases_end_at(self, lagging: Iterable[str], lease: float) -> float:
        """Returns when the leases of hosts with an older table have ended.

        Args:
            lagging: The hosts.
            lease: Duration of a lease.
        """
        return max(
            (
                self.renewals[host] + lease
                for host in lagging
                if host in self.renewals
            ),
            default=self.began_at,
        )

    def is_of(self, started_at_ms: int | None) -> bool:
        """Returns whether it is of a process, or of a newer one."""
        return (
            started_at_ms is None
            or self.started_at_ms is None
            or self.started_at_ms >= started_at_ms
        )


class TargetDepartures:
    """Departures by target, during one term of leadership."""

    def __init__(self) -> None:
        self._by_target: dict[str, Departure] = {}

    def find(self, target: str) -> Departure | None:
        """Returns the departure of a target, or None."""
        return self._by_target.get(target)

    def begin(
        self,
        target: str,
        *,
        started_at_ms: int | None,
        is_removal: bool,
        position: table_position.Position,
        renewals: Mapping[str, float],
        now: float,
    ) -> Departure:
        """Returns the departure of a process, which may have begun before.

        Args:
            target: Name of the target.
            started_at_ms: Start time of the process; None if it is unknown.
            is_removal: Whether it has deregistered.
            position: Position of the table now.
            renewals: When each host renewed its lease last.
            now: Current time.
        """
        known = self._by_target.get(target)
        if (
            known is not None
            and known.is_of(started_at_ms)
            and known.is_removal >= is_removal
        ):
            return known
        departure = self._by_target[target] = Departure(
            target=target,
            started_at_ms=started_at_ms,
            is_removal=is_removal,
            began_at=now,
            position=position,
            renewals=dict(renewals),
        )
        return departure

    def cancel(self, target: str) -> None:
        """Records that a target accepts requests."""
        self._by_target.pop(target, None)

    def retain(self, targets: Collection[str]) -> None:
        """Forgets the departures of all targets except these."""
        for name in [n for n in self._by_target if n not in targets]:
            del self._by_target[name]
