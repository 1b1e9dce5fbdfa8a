"""Token bucket of a team, in exact integers and with idempotent refunds.

One owner keeps one bucket per team for all hosts. A charge is admitted
immediately, or waits for the refill in order of arrival, or is refused
immediately if the refill would come after the caller's deadline.

The owner may fail at any moment, and the next owner must not grant the same
credit again. The owner therefore spends only from a *reserve* that was
committed to the log in advance: the log has the level without the reserve, and
the next owner continues from that level. Charges within a reserve commute and
need no order; only reserves are ordered relative to a change of owner.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

# Levels are in millionths of a token and times in microseconds, so that the
# refill over any number of microseconds is an integer and nothing is lost by
# rounding.
_MICROS_PER_UNIT = 1_000_000


class Charge(NamedTuple):
    """Credit requested for one attempt.

    Attributes:
        request: Id, unique per attempt of a caller's request.
        tokens: Prompt tokens plus the maximum number of generated tokens.
    """

    request: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The charge was admitted and its credit taken."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wait:
    """The charge is queued; its credit is available in `seconds`."""

    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TooLarge:
    """The charge exceeds the burst and can never be admitted."""

    burst: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TooLate:
    """The credit would be available in `seconds`, after the deadline."""

    seconds: float


Answer = Admitted | Wait | TooLarge | TooLate


class ReservedCredit(NamedTuple):
    """Credit reserved for the current owner, in millionths of a token.

    Attributes:
        size: Credit that the current owner may spend.
        level_without_reserve: Level without the reserve, from which the next
            owner continues.
        max_level: Maximum level of the next owner. Without this bound a full
            bucket would be counted twice: the current owner spends its reserve
            at the last moment, and the next owner refills the rest to the full
            burst.
    """

    size: int
    level_without_reserve: int
    max_level: int


class Bucket:
    """Credit of one team over all hosts.

    Times are in microseconds of a monotonic clock.
    """

    def __init__(
        self, *, rate: int, burst: int, now: int, level: int | None = None
    ) -> None:
        self._rate = rate
        self._burst = burst
        capacity = burst * _MICROS_PER_UNIT
        self._level = (
            capacity if level is None else max(0, min(level, capacity))
        )
        self._reserve = 0
        self._reserve_size = 0
        self._proposed: ReservedCredit | None = None
        # Spent minus refunded credit since the last reserve was proposed.
        self._spent_since_proposal = 0
        self._refilled_at = now
        self._queue: collections.deque[Charge] = collections.deque()
        self._queued_tokens = 0
        self._unsettled: dict[str, int] = {}

    @property
    def waiting(self) -> int:
        """Number of charges that wait for credit."""
        return len(self._queue)

    @property
    def open(self) -> int:
        """Number of admitted charges that are not settled yet."""
        return len(self._unsettled)

    def level(self, now: int) -> float:
        """Returns the level in tokens."""
        self._refill(now)
        return self._level / _MICROS_PER_UNIT

    def __repr__(self) -> str:
        return (
            f"<Bucket {self._level // _MICROS_PER_UNIT}/{self._burst} tokens, "
            f"{self._rate}/s, {len(self._queue)} waiting>"
        )

    def _refill(self, now: int) -> None:
        if now <= self._refilled_at:
            return
        refill = (now - self._refilled_at) * self._rate
        self._level = min(self._burst * _MICROS_PER_UNIT, self._level + refill)
        self._refilled_at = now

    @property
    def reserve(self) -> float:
        """Credit in tokens that may be spent without another log entry."""
        return self._reserve / _MICROS_PER_UNIT

    def propose_reserve(self, now: int) -> ReservedCredit | None:
        """Returns a reserve to be committed, or None if none is needed.

        The reserve covers the waiting charges and the refill of one second, but
        at most half of the burst unless more credit is waited for, because the
        team loses the reserve if the owner fails. A new reserve is proposed
        when half of the current one is spent, so that charges rarely wait for
        the log.
        """
        if self._proposed is not None:
            return None
        self._refill(now)
        usual_size = (
            min(self._rate, max(1, self._burst // 2)) * _MICROS_PER_UNIT
        )
        wanted = max(usual_size, self._queued_tokens * _MICROS_PER_UNIT)
        size = min(self._level, wanted)
        first_cost = (
            self._queue[0].tokens * _MICROS_PER_UNIT if self._queue else 0
        )
        is_starved = self._reserve < first_cost <= self._level
        # Without this minimum, a team without credit would cause one commit
        # after another, each for the few tokens refilled since the last one.
        is_large_enough = size - self._reserve >= usual_size // 4
        if not is_starved and (
            2 * self._reserve >= usual_size or not is_large_enough
        ):
            return None
        self._proposed = ReservedCredit(
            size,
            self._level - size,
            self._burst * _MICROS_PER_UNIT - size,
        )
        self._spent_since_proposal = 0
        return self._proposed

    def confirm_reserve(self, reserved: ReservedCredit) -> None:
        """Applies a proposed reserve that was committed."""
        if self._proposed is reserved:
            # Refunds since the proposal do not increase the reserve: the next
            # owner may grant everything except the size of the reserve.
            self._reserve = reserved.size - max(0, self._spent_since_proposal)
            self._reserve_size = reserved.size
            self._proposed = None

    def drop_reserve(self, reserved: ReservedCredit) -> None:
        """Drops a proposed reserve that was not committed."""
        if self._proposed is reserved:
            self._proposed = None

    def _fits(self, tokens: int) -> bool:
        return tokens * _MICROS_PER_UNIT <= min(self._level, self._reserve)

    def change(self, *, rate: int, burst: int, now: int) -> list[Charge]:
        """Sets a new rate and burst; running and waiting charges are kept.

        Credit above a smaller burst is lost. A larger burst fills over time.

        Returns:
            Waiting charges that exceed the new burst. They can never be
            admitted and were removed from the queue.
        """
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst * _MICROS_PER_UNIT)
        # A reserve of the old burst and one of the new burst together could
        # exceed either, so a new reserve has to be committed first.
        self._reserve = 0
        self._proposed = None
        dropped = [c for c in self._queue if c.tokens > burst]
        for charge in dropped:
            self.cancel(charge.request)
        return dropped

    def charge(self, charge: Charge, *, now: int, deadline: int) -> Answer:
        """Admits, queues or refuses a charge.

        Args:
            charge: The requested credit. A repeated request is charged once.
            now: Current time.
            deadline: Latest time at which the credit is useful.
        """
        self._refill(now)
        if charge.request in self._unsettled:
            return Admitted()
        if charge.tokens > self._burst:
            return TooLarge(burst=self._burst)
        if not self._queue and self._fits(charge.tokens):
            self._take(charge)
            return Admitted()
        wait_microseconds = self._microseconds_until(
            self._queued_tokens + charge.tokens
        )
        if now + wait_microseconds > deadline:
            return TooLate(seconds=wait_microseconds / _MICROS_PER_UNIT)
        if all(waiting.request != charge.request for waiting in self._queue):
            self._queue.append(charge)
            self._queued_tokens += charge.tokens
        return Wait(seconds=wait_microseconds / _MICROS_PER_UNIT)

    def _microseconds_until(self, tokens: int) -> int:
        deficit = tokens * _MICROS_PER_UNIT - self._level
        return max(0, -(-deficit // self._rate))

    def _take(self, charge: Charge) -> None:
        self._spend(charge.tokens * _MICROS_PER_UNIT)
        self._unsettled[charge.request] = charge.tokens

    def _spend(self, amount: int) -> None:
        """Takes credit, or refunds it if the amount is negative."""
        self._level -= amount
        self._reserve = min(self._reserve_size, self._reserve - amount)
        self._spent_since_proposal += amount

    def ready(self, now: int) -> list[Charge]:
        """Admits waiting charges whose credit is available, in order."""
        self._refill(now)
        admitted = []
        while self._queue and self._fits(self._queue[0].tokens):
            charge = self._queue.popleft()
            self._queued_tokens -= charge.tokens
            self._take(charge)
            admitted.append(charge)
        return admitted

    def next_ready(self, now: int) -> int | None:
        """Returns when the first waiting charge has its credit, or None."""
        if not self._queue:
            return None
        self._refill(now)
        return now + self._microseconds_until(self._queue[0].tokens)

    def cancel(self, request: str) -> None:
        """Removes a waiting charge from the queue."""
        for charge in self._queue:
            if charge.request == request:
                self._queue.remove(charge)
                self._queued_tokens -= charge.tokens
                return

    def settle(self, request: str, *, used: int, now: int) -> int:
        """Refunds the unused credit of an admitted charge.

        Idempotent: a second settlement of the same request, or one for a
        request that was never admitted, refunds nothing. A target that
        generated more tokens than were charged costs nothing extra, because
        the maximum was passed to it.

        Returns:
            Number of refunded tokens.
        """
        charged = self._unsettled.pop(request, None)
        if charged is None:
            return 0
        refund = max(0, charged - max(0, used))
        self._refill(now)
        # A refund must not raise the level above the burst; otherwise a later
        # time window would exceed its bound.
        headroom = self._burst * _MICROS_PER_UNIT - self._level
        self._spend(-min(refund * _MICROS_PER_UNIT, headroom))
        return refund
