"""Departures of targets, and when they may be acknowledged. Pure.

A target that departs may stop some time after the acknowledgement, so no host
may send to it after that time: the table without it is rolled out to all hosts.
Calls of a target are repeated, and reports arrive late and out of order. A
departure belongs to one process; only a newer one, or a newer report that takes
it back, ends it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import dataclasses
from typing import Any

from endivestream.process import rollouts as rollouts_lib


@dataclasses.dataclass(kw_only=True, eq=False)
class Departure:
    """Departure of one process of a target.

    Attributes:
        target: Name of the target.
        started_at_ms: Start time of the process, in milliseconds of the wall
            clock; None if it is unknown.
        is_removal: Whether it has deregistered; otherwise it has announced
            that.
        rollout: Rollout of the table without the target.
        commit: Commit of the deregistration to the log.
    """

    target: str
    started_at_ms: int | None
    is_removal: bool
    rollout: rollouts_lib.Rollout
    commit: asyncio.Task[Any] | None = None

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
        begin_rollout: Callable[[], rollouts_lib.Rollout],
    ) -> Departure:
        """Returns the departure of a process, which may have begun before.

        Args:
            target: Name of the target.
            started_at_ms: Start time of the process; None if it is unknown.
            is_removal: Whether it has deregistered.
            begin_rollout: Returns the rollout of the table as it is now.
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
            rollout=begin_rollout(),
        )
        return departure

    def cancel(self, target: str) -> None:
        """Records that a target accepts requests."""
        self._by_target.pop(target, None)

    def retain(self, targets: Collection[str]) -> None:
        """Forgets the departures of all targets except these."""
        for name in [n for n in self._by_target if n not in targets]:
            del self._by_target[name]
