"""Replicated credit level of each team, without the leader's reserve.

The leader owns the token buckets and spends only from credit that is reserved
for it: before it spends a reserve, the level without that reserve is committed
here. A later leader continues from the committed level plus the refill since
it received that level, which never exceeds the actual credit.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class CreditLevel(NamedTuple):
    """Credit of a team without the leader's reserve.

    Attributes:
        level_without_reserve: Level when the reserve was proposed.
        max_level: Maximum level for a later leader, however much it refills.
    """

    level_without_reserve: int
    max_level: int


class ReserveCredit(msgspec.Struct, frozen=True, kw_only=True, tag="SetAside"):
    """Reserves credit of teams for the leader.

    Attributes:
        term: Term of the leader: a reserve proposed by an older leader must
            not replace one committed by a newer leader.
        levels: Level of each team without its reserve, in millionths of a
            token.
    """

    term: int
    levels: dict[str, CreditLevel]


class CreditReserved(
    msgspec.Struct, frozen=True, kw_only=True, tag="DoneSettingAside"
):
    """Result of `ReserveCredit`; rejected if its term is outdated."""

    accepted: bool


class Credit:
    """The replicated credit levels."""

    def __init__(self) -> None:
        self._term = 0
        self._levels: dict[str, CreditLevel] = {}

    @property
    def levels(self) -> dict[str, CreditLevel]:
        """Level of each team without the leader's reserve."""
        return self._levels

    def __repr__(self) -> str:
        return f"<Credit of {len(self._levels)} teams, term {self._term}>"

    def apply(self, command: ReserveCredit) -> CreditReserved:
        """Applies one command in log order, deterministically."""
        if command.term < self._term:
            return CreditReserved(accepted=False)
        self._term = command.term
        self._levels.update(command.levels)
        return CreditReserved(accepted=True)

    def snapshot(self) -> tuple[int, dict[str, CreditLevel]]:
        """Returns term and levels."""
        return self._term, dict(self._levels)

    def restore(self, snapshot: tuple[int, dict[str, CreditLevel]]) -> None:
        """Replaces term and levels."""
        self._term, levels = snapshot
        self._levels = dict(levels)
