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


class GrantPlannerLease(
    msgspec.Struct, frozen=True, kw_only=True, tag="Appoint"
):
    """Grants the planner lease, if its fencing token is `previous_fence`.

    Attributes:
        holder: The host that gets the lease.
        previous_fence: Fencing token of the previous holder; 0 if there was
            none.
        term: Term of the proposer.
        settled: Whether no host can have sent orders recently, so that the
            holder may send orders immediately.
    """

    holder: str
    previous_fence: int = msgspec.field(name="after")
    term: int
    settled: bool = False


class ConfirmPlannerLease(
    msgspec.Struct, frozen=True, kw_only=True, tag="Settle"
):
    """Records that the pause before a holder's first order has passed.

    Until this is in the log, each new leader starts the pause again: it has no
    record of when its predecessor granted the lease.
    """

    fence: int


class PlannerLeaseGranted(
    msgspec.Struct, frozen=True, kw_only=True, tag="Appointed"
):
    """Result of both commands: the current lease holder."""

    holder: str
    fence: int


class PlannerLeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The current planner lease.

    Attributes:
        holder: The host that holds the lease; empty if none was granted yet.
        fence: Fencing token of the holder's orders; increases with each holder.
        settled: Whether the pause before its first order has passed.
    """

    holder: str = ""
    fence: int = 0
    settled: bool = False


class PlannerLease:
    """The planner lease in the replicated state."""

    def __init__(self) -> None:
        self.record = PlannerLeaseRecord()

    def __repr__(self) -> str:
        return (
            f"<PlannerLease of {self.record.holder!r}, "
            f"fence {self.record.fence}>"
        )

    def apply(
        self, command: GrantPlannerLease | ConfirmPlannerLease
    ) -> PlannerLeaseGranted:
        """Applies a command in log order; deterministic on every replica."""
        match command:
            case GrantPlannerLease(previous_fence=previous_fence) if (
                previous_fence == self.record.fence
            ):
                # Never below the term: earlier releases used the term as the
                # fencing token of orders.
                self.record = PlannerLeaseRecord(
                    holder=command.holder,
                    fence=max(previous_fence + 1, command.term),
                    settled=command.settled,
                )
            case ConfirmPlannerLease(fence=fence) if fence == self.record.fence:
                self.record = msgspec.structs.replace(self.record, settled=True)
        return PlannerLeaseGranted(
            holder=self.record.holder, fence=self.record.fence
        )
