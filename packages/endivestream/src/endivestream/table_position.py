"""Position of a table of the leader: its term and the number of a change."""

from __future__ import annotations

from typing import NamedTuple


class Position(NamedTuple):
    """Version of a leader's table of targets.

    Attributes:
        term: Term of the leader.
        number: Version within the term; rises with each change.
    """

    term: int = 0
    number: int = 0
