"""Replicated record of the targets that have deregistered.

A target that has deregistered must get no more requests, whichever host is the
leader. The table of targets is only in the leader's memory, so a new leader
would take a delayed report of such a target for one of a live target (symptom:
requests reach a target seconds after its deregistration was acknowledged, or
another service at its address). Every later leader has applied the departures
committed here before it answers any request.
"""

from __future__ import annotations

import msgspec

# Departures that are kept; the oldest are dropped first. Reports are delayed by
# seconds at most; in a system of the intended size 74 targets depart in a day.
_MAX_DEPARTURES = 512


class Depart(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records that a target has deregistered.

    Attributes:
        name: The target's id.
        started_at_ms: Start time of the process that deregistered, in
            milliseconds of wall-clock time; None if the leader had no report of
            it yet.
    """

    name: str
    started_at_ms: int | None = msgspec.field(name="born")


class Departed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `Depart`: the departure is committed."""


class Departures:
    """Start times of the target processes that deregistered, by target."""

    def __init__(self) -> None:
        self._start_times_ms: dict[str, int | None] = {}

    def __repr__(self) -> str:
        return f"<Departures of {len(self._start_times_ms)} targets>"

    @property
    def start_times_ms(self) -> dict[str, int | None]:
        """Start time of the process that deregistered, by target name."""
        return dict(self._start_times_ms)

    def apply(self, command: Depart) -> Departed:
        """Applies a command in log order; deterministic on every replica."""
        previous = self._start_times_ms.pop(command.name, None)
        starts = [s for s in (previous, command.started_at_ms) if s is not None]
        self._start_times_ms[command.name] = max(starts) if starts else None
        while len(self._start_times_ms) > _MAX_DEPARTURES:
            del self._start_times_ms[next(iter(self._start_times_ms))]
        return Departed()

    def restore(self, start_times_ms: dict[str, int | None]) -> None:
        """Replaces all departures with an earlier value of `start_times_ms`."""
        self._start_times_ms = dict(start_times_ms)
