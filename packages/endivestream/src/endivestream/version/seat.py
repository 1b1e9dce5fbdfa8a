"""Replicated record of the planner lease: which host places models.

Engines must take orders from one lease holder at a time, and from a new one
only after a pause in which no host sends orders. When the leader itself placed
models, each new leader began with that pause, and requested models stayed
unloaded for several seconds (symptom: losing the leader causes as many refused
requests as losing a rack). The lease is therefore recorded apart from
leadership: a change of leader does not change its holder.
"""

from __future__ import annotations

import msgspec


class Appoint(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Grants the planner lease, if its record is unchanged since `after`.

    Attributes:
        holder: The host that gets the lease.
        after: Fencing token of the previous holder; 0 if there was none.
        term: Term of the proposer.
        settled: Whether no host can have sent orders recently, so that the
            holder may send orders immediately.
    """

    holder: str
    after: int
    term: int
    settled: bool = False


class Settle(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records that the pause before a holder's first order has passed.

    Until this is in the log, each new leader starts the pause again: it has no
    record of when its predecessor granted the lease.
    """

    fence: int


class Appointed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `Appoint` and `Settle`: the current lease holder."""

    holder: str
    fence: int


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """The current planner lease.

    Attributes:
        holder: The host that holds the lease; empty if none was granted yet.
        fence: Fencing token of the holder's orders; increases with each holder.
        settled: Whether the pause before its first order has passed.
    """

    holder: str = ""
    fence: int = 0
    settled: bool = False


class Seat:
    """The planner lease in the replicated state."""

    def __init__(self) -> None:
        self.record = Record()

    def __repr__(self) -> str:
        return f"<Seat of {self.record.holder!r}, fence {self.record.fence}>"

    def apply(self, command: Appoint | Settle) -> Appointed:
        """Applies a command in log order; deterministic on every replica."""
        match command:
            case Appoint(after=after) if after == self.record.fence:
                # Never below the term: earlier releases used the term as the
                # fencing token of orders.
                self.record = Record(
                    holder=command.holder,
                    fence=max(after + 1, command.term),
                    settled=command.settled,
                )
            case Settle(fence=fence) if fence == self.record.fence:
                self.record = msgspec.structs.replace(self.record, settled=True)
        return Appointed(holder=self.record.holder, fence=self.record.fence)
