"""Each team's credit as the log knows it: the level without what is set aside.

The leader that owns the buckets spends from portions; before it may spend one,
the level without it is committed here. A later leader goes on from this level
and the refill since it learnt of it, which is never more than the truth.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Level(NamedTuple):
    """What a team has without the leader's portion.

    Attributes:
        rest: When the portion was proposed.
        most: However long ago that was.
    """

    rest: int
    most: int


class SetAside(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Sets portions aside.

    Attributes:
        term: The leader's term: a portion proposed by an older leader must
            not replace what a newer one committed.
        levels: Team to its level without its portion, and the most that a
            later leader may have of it; in millionths of a token.
    """

    term: int
    levels: dict[str, Level]


class DoneSettingAside(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The portions are set aside, or, from an older term, were refused."""

    accepted: bool


class Credit:
    """The replicated levels."""

    def __init__(self) -> None:
        self._term = 0
        self._levels: dict[str, Level] = {}

    @property
    def levels(self) -> dict[str, Level]:
        """Team to its level without the leader's portion."""
        return self._levels

    def __repr__(self) -> str:
        return f"<Credit of {len(self._levels)} teams, term {self._term}>"

    def apply(self, command: SetAside) -> DoneSettingAside:
        """Applies a command in log order; the same on every replica."""
        if command.term < self._term:
            return DoneSettingAside(accepted=False)
        self._term = command.term
        self._levels.update(command.levels)
        return DoneSettingAside(accepted=True)

    def snapshot(self) -> tuple[int, dict[str, Level]]:
        """Returns term and levels."""
        return self._term, dict(self._levels)

    def restore(self, snapshot: tuple[int, dict[str, Level]]) -> None:
        """Replaces term and levels."""
        self._term, levels = snapshot
        self._levels = dict(levels)
