"""Replicated record of the targets that depart.

A target that has deregistered, or announced that it leaves, must get no more
requests, whichever host is the leader. The table of targets is only in the
leader's memory, so a new leader would take a delayed report of such a target
for one of a live target (symptom: requests reach a target seconds after its
departure was acknowledged, or another service at its address). Every later
leader has applied the departures committed here before it answers any request.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

# Departures that are kept; the oldest are dropped first. Reports are delayed by
# seconds at most; in a system of the intended size 74 targets depart in a day.
_MAX_DEPARTURES = 512


class Depart(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records that a target has deregistered, or announced that it leaves.

    A replica of a build without announcements takes one for a deregistration,
    after which the target gets no new requests, either.

    Attributes:
        name: The target's id.
        started_at_ms: Start time of its process, in milliseconds of wall-clock
            time; None if the leader had no report of it yet.
        report_number: Number of the report that announces it; None for a
            deregistration.
    """

    name: str
    started_at_ms: int | None = msgspec.field(name="born")
    report_number: int | None = msgspec.field(default=None, name="number")


class Announcement(NamedTuple):
    """The report with which a process has announced that it leaves.

    Attributes:
        started_at_ms: Start time of the process, in milliseconds of wall-clock
            time.
        report_number: Number of the report.
    """

    started_at_ms: int
    report_number: int


class Departed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `Depart`: the departure is committed."""


class Departures:
    """Target processes that deregistered or announced it, by target."""

    def __init__(self) -> None:
        self._start_times_ms: dict[str, int | None] = {}
        self._announcements: dict[str, Announcement] = {}

    def __repr__(self) -> str:
        return f"<Departures of {len(self._start_times_ms)} targets>"

    @property
    def start_times_ms(self) -> dict[str, int | None]:
        """Start time of the process that deregistered, by target name."""
        return dict(self._start_times_ms)

    @property
    def announcements(self) -> dict[str, Announcement]:
        """The latest announcement of each target, by name."""
        return dict(self._announcements)

    def apply(self, command: Depart) -> Departed:
        """Applies a command in log order; deterministic on every replica."""
        if command.report_number is not None:
            return self._apply_announcement(command, command.report_number)
        previous = self._start_times_ms.pop(command.name, None)
        starts = [s for s in (previous, command.started_at_ms) if s is not None]
        self._start_times_ms[command.name] = max(starts) if starts else None
        while len(self._start_times_ms) > _MAX_DEPARTURES:
            del self._start_times_ms[next(iter(self._start_times_ms))]
        return Departed()

    def _apply_announcement(
        self, command: Depart, report_number: int
    ) -> Departed:
        announcement = Announcement(command.started_at_ms or 0, report_number)
        previous = self._announcements.pop(command.name, announcement)
        self._announcements[command.name] = max(previous, announcement)
        while len(self._announcements) > _MAX_DEPARTURES:
            del self._announcements[next(iter(self._announcements))]
        return Departed()

    def restore(
        self,
        start_times_ms: dict[str, int | None],
        announcements: dict[str, Announcement],
    ) -> None:
        """Replaces everything with earlier values of the properties."""
        self._start_times_ms = dict(start_times_ms)
        self._announcements = dict(announcements)
