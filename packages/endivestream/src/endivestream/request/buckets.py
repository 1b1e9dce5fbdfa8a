"""A team's token bucket: exact, in integers, refunds idempotent.

One owner keeps one bucket per team for the whole fleet. A charge either fits
now, or waits for the refill in the order of arrival, or is refused at once
when the refill would come after the caller's deadline.
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


class Bucket:
    """One team's credit over all hosts together.

    Times are microseconds of any clock that does not go back.
    """

    def __init__(self, *, rate: int, burst: int, now: int) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst * _MICRO
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

    def empty(self) -> None:
        """Takes all credit away, for an owner that cannot know the level."""
        self._level = 0

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
        if not self._queue and charge.tokens * _MICRO <= self._level:
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
        self._level -= charge.tokens * _MICRO
        self._open[charge.request] = charge.tokens

    def ready(self, now: int) -> list[Charge]:
        """Admits the waiting charges whose credit is there, in order."""
        self._refill(now)
        admitted = []
        while self._queue and self._queue[0].tokens * _MICRO <= self._level:
            charge = self._queue.popleft()
            self._queued -= charge.tokens
            self._take(charge)
            admitted.append(charge)
        return admitted

    def next_ready(self, now: int) -> int | None:
        """Returns the time at which the first waiting charge fits, or None."""
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
        self._level = min(self._burst * _MICRO, self._level + refund * _MICRO)
        return refund
