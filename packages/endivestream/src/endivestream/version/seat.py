"""Which host places models, as the log knows it.

Engines must see one holder at a time, and a new one only after a pause in
which nobody orders. While the leader placed models itself, each new leader
began with that pause, and models that callers waited for stayed away for
several seconds (symptom: a lost leader costs as many refusals as a lost rack).
The holder is therefore recorded apart from leadership: whoever leads, it
stays.
"""

from __future__ import annotations

import msgspec


class Appoint(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Gives the seat to a host, if it is still as the proposer knows it.

    Attributes:
        holder: The host.
        after: The fence of the holder before; 0 if there was none.
        term: The proposer's term.
        settled: Whether nobody can have ordered lately, so that it may order
            at once.
    """

    holder: str
    after: int
    term: int
    settled: bool = False


class Settle(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Notes that the pause before a holder's first order has passed.

    Until this is in the log each new leader begins the pause anew: it cannot
    know when its predecessor appointed the holder.
    """

    fence: int


class Appointed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `Appoint` and `Settle`: who holds the seat now."""

    holder: str
    fence: int


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Who holds the seat.

    Attributes:
        holder: The host; empty before the first.
        fence: The fencing token of its orders; rises with each holder.
        settled: Whether the pause before its first order has passed.
    """

    holder: str = ""
    fence: int = 0
    settled: bool = False


class Seat:
    """The seat in the replicated state."""

    def __init__(self) -> None:
        self.record = Record()

    def __repr__(self) -> str:
        return f"<Seat of {self.record.holder!r}, fence {self.record.fence}>"

    def apply(self, command: Appoint | Settle) -> Appointed:
        """Applies a command in log order; the same on every replica."""
        match command:
            case Appoint(after=after) if after == self.record.fence:
                # Never below the term: orders used to bear that as their
                # token.
                self.record = Record(
                    holder=command.holder,
                    fence=max(after + 1, command.term),
                    settled=command.settled,
                )
            case Settle(fence=fence) if fence == self.record.fence:
                self.record = msgspec.structs.replace(self.record, settled=True)
        return Appointed(holder=self.record.holder, fence=self.record.fence)
