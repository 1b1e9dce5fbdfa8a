"""Which targets have left for good, as the log knows it.

A target that says good-bye must get nothing more, whoever leads. The table of
targets is the leader's memory, so a new leader would take a report that was
held up on its way for that of a sound target (symptom: requests reach a target
seconds after its good-bye was acknowledged, or another service at its
address). What is committed here is known to every later leader before it
answers anything.
"""

from __future__ import annotations

import msgspec

# Departures that are remembered, the oldest forgotten first. A report is late
# by seconds; at the target size 74 targets leave in a day.
_MOST = 512


class Depart(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A target leaves.

    Attributes:
        name: The target's id.
        born: When the process that leaves was started, in milliseconds of the
            time of day; None if the leader had not heard of it yet.
    """

    name: str
    born: int | None


class Departed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `Depart`: every later leader knows of it."""


class Departures:
    """Targets that have left, by name, with the start that left."""

    def __init__(self) -> None:
        self._born: dict[str, int | None] = {}

    def __repr__(self) -> str:
        return f"<Departures of {len(self._born)} targets>"

    @property
    def born(self) -> dict[str, int | None]:
        """The start that left, by name of the target."""
        return dict(self._born)

    def apply(self, command: Depart) -> Departed:
        """Applies a command in log order; the same on every replica."""
        known = self._born.pop(command.name, None)
        starts = [s for s in (known, command.born) if s is not None]
        self._born[command.name] = max(starts) if starts else None
        while len(self._born) > _MOST:
            del self._born[next(iter(self._born))]
        return Departed()

    def restore(self, born: dict[str, int | None]) -> None:
        """Replaces all of it with what `born` gave."""
        self._born = dict(born)
