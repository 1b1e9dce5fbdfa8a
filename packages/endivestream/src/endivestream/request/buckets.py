"""A team's token bucket: exact, in integers, refunds idempotent.

One owner keeps one bucket per team for the whole fleet. A charge either fits
now, or waits for the refill in the order of arrival, or is refused at once
when the refill would come after the caller's deadline.

The owner may die at any moment, and the next one must not give credit that
was given already. So the owner spends only from a *portion* that the log has
set aside: the log holds the level without the portion, and the next owner goes
on from there. Charges inside a portion commute and need no order among each
other; only portions are ordered against the change of owner.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

# Levels are kept in millionths of a token, so that a refill over any number
# of microseconds is a whole number and nothing is lost to rounding.
_MICRO = 1_000_000


class Charge(NamedTuple):
    """Credit asked for one attempt.

    Attributes:
        request: Unique per attempt of a caller's request.
        tokens: Prompt plus largest generated count.
    """

    request: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The credit was taken."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wait:
    """The charge is queued; `seconds` until its credit is there."""

    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TooLarge:
    """The cost is above the burst and can never fit."""

    burst: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TooLate:
    """The credit comes after the deadline; `seconds` until it would."""

    seconds: float


Answer = Admitted | Wait | TooLarge | TooLate


class Portion(NamedTuple):
    """Credit to be set aside for the present owner, in millionths of a token.

    Attributes:
        size: What the owner may spend.
        rest: The level without it, which the next owner may go on from.
        most: What the next owner may have at most. Without this bound a full
            bucket would be counted twice: the owner spends its portion at the
            last moment, and the next one refills the rest to the whole burst.
    """

    size: int
    rest: int
    most: int


class Bucket:
    """One team's credit over all hosts together.

    Times are microseconds of any clock that does not go back.
    """

    def __init__(
        self, *, rate: int, burst: int, now: int, level: int | None = None
    ) -> None:
        self._rate = rate
        self._burst = burst
        most = burst * _MICRO
        self._level = most if level is None else max(0, min(level, most))
        self._portion = 0
        self._size = 0
        self._proposed: Portion | None = None
        # Spent less given back, since the last portion was proposed.
        self._spent = 0
        self._at = now
        self._queue: collections.deque[Charge] = collections.deque()
        self._queued = 0
        self._open: dict[str, int] = {}

    @property
    def waiting(self) -> int:
        """How many charges wait for credit."""
        return len(self._queue)

    @property
    def open(self) -> int:
        """How many admitted charges were not settled yet."""
        return len(self._open)

    def level(self, now: int) -> float:
        """Returns the credit in tokens."""
        self._refill(now)
        return self._level / _MICRO

    def __repr__(self) -> str:
        return (
            f"<Bucket {self._level // _MICRO}/{self._burst} tokens, "
            f"{self._rate}/s, {len(self._queue)} waiting>"
        )

    def _refill(self, now: int) -> None:
        if now <= self._at:
            return
        gained = (now - self._at) * self._rate
        self._level = min(self._burst * _MICRO, self._level + gained)
        self._at = now

    @property
    def portion(self) -> float:
        """Credit in tokens that may be spent without the log."""
        return self._portion / _MICRO

    def propose_portion(self, now: int) -> Portion | None:
        """Returns a portion to be committed, or None if none is needed.

        It covers what waits, and what the rate gives in a second, but no
        more than half of the burst unless more waits: all that is set aside
        is lost to the team when the owner dies. It is renewed when half of it
        is spent, so that charges seldom wait for the log.
        """
        if self._proposed is not None:
            return None
        self._refill(now)
        usual = min(self._rate, max(1, self._burst // 2)) * _MICRO
        wanted = max(usual, self._queued * _MICRO)
        size = min(self._level, wanted)
        first = self._queue[0].tokens * _MICRO if self._queue else 0
        starved = self._portion < first <= self._level
        # A team at the end of its credit would otherwise have each few tokens
        # that it regains set aside, in a commit of their own, for ever.
        worth = size - self._portion >= usual // 4
        if not starved and (2 * self._portion >= usual or not worth):
            return None
        self._proposed = Portion(
            size, self._level - size, self._burst * _MICRO - size
        )
        self._spent = 0
        return self._proposed

    def confirm_portion(self, portion: Portion) -> None:
        """Notes that a proposed portion was committed."""
        if self._proposed is portion:
            # What was given back since does not add to it: the next owner
            # may have everything but its size.
            self._portion = portion.size - max(0, self._spent)
            self._size = portion.size
            self._proposed = None

    def drop_portion(self, portion: Portion) -> None:
        """Notes that a proposed portion was not committed."""
        if self._proposed is portion:
            self._proposed = None

    def _fits(self, tokens: int) -> bool:
        return tokens * _MICRO <= min(self._level, self._portion)

    def change(self, *, rate: int, burst: int, now: int) -> list[Charge]:
        """Sets a new rate and burst while charges run and wait.

        Credit above a smaller burst is lost; a larger burst fills with time.

        Returns:
            Waiting charges that are now above the burst; they can never be
            admitted and left the queue.
        """
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst * _MICRO)
        # A portion of the old burst and one of the new could add up to more
        # than either; a new one has to be committed first.
        self._portion = 0
        self._proposed = None
        dropped = [c for c in self._queue if c.tokens > burst]
        for charge in dropped:
            self.cancel(charge.request)
        return dropped

    def charge(self, charge: Charge, *, now: int, deadline: int) -> Answer:
        """Takes credit, queues, or refuses.

        Args:
            charge: What is asked for. A repeated request is admitted once.
            now: The time.
            deadline: The latest time at which credit is of use.
        """
        self._refill(now)
        if charge.request in self._open:
            return Admitted()
        if charge.tokens > self._burst:
            return TooLarge(burst=self._burst)
        if not self._queue and self._fits(charge.tokens):
            self._take(charge)
            return Admitted()
        micros = self._micros_until(self._queued + charge.tokens)
        if now + micros > deadline:
            return TooLate(seconds=micros / _MICRO)
        if all(waiting.request != charge.request for waiting in self._queue):
            self._queue.append(charge)
            self._queued += charge.tokens
        return Wait(seconds=micros / _MICRO)

    def _micros_until(self, tokens: int) -> int:
        missing = tokens * _MICRO - self._level
        return max(0, -(-missing // self._rate))

    def _take(self, charge: Charge) -> None:
        self._spend(charge.tokens * _MICRO)
        self._open[charge.request] = charge.tokens

    def _spend(self, amount: int) -> None:
        """Takes credit, or gives it back if negative."""
        self._level -= amount
        self._portion = min(self._size, self._portion - amount)
        self._spent += amount

    def ready(self, now: int) -> list[Charge]:
        """Admits the waiting charges whose credit is there, in order."""
        self._refill(now)
        admitted = []
        while self._queue and self._fits(self._queue[0].tokens):
            charge = self._queue.popleft()
            self._queued -= charge.tokens
            self._take(charge)
            admitted.append(charge)
        return admitted

    def next_ready(self, now: int) -> int | None:
        """Returns when the first waiting charge has its credit, or None."""
        if not self._queue:
            return None
        self._refill(now)
        return now + self._micros_until(self._queue[0].tokens)

    def cancel(self, request: str) -> None:
        """Takes a waiting charge out of the queue."""
        for charge in self._queue:
            if charge.request == request:
                self._queue.remove(charge)
                self._queued -= charge.tokens
                return

    def settle(self, request: str, *, used: int, now: int) -> int:
        """Gives back what an admitted charge did not use.

        Idempotent: a second settlement of the same request, or one that was
        never admitted, gives back nothing. A target that generated more than
        was charged costs nothing extra: the maximum was passed to it.

        Returns:
            Tokens given back.
        """
        charged = self._open.pop(request, None)
        if charged is None:
            return 0
        refund = max(0, charged - max(0, used))
        self._refill(now)
        # A refund is credit that was taken and not used; it may not lift the
        # level above the burst, or a later window would exceed its bound.
        room = self._burst * _MICRO - self._level
        self._spend(-min(refund * _MICRO, room))
        return refund
