"""One of two attempts that run at once, of which one answers the caller."""

from __future__ import annotations

import asyncio


class RacingAttempt:
    """An attempt whose answer is relayed only if no other one is.

    Attributes:
        task: The task that makes the attempt.
        other: The attempt that runs beside it; None while there is none.
        started_at: When the attempt started.
        first_byte_at: When the first byte of its answer arrived; 0 before.
        ended_at: When the target was done with it; 0 before.
    """

    def __init__(self, *, started_at: float) -> None:
        self.task: asyncio.Task[object] | None = None
        self.other: RacingAttempt | None = None
        self.started_at = started_at
        self.first_byte_at = 0.0
        self.ended_at = 0.0
        self._has_claimed = False
        self._deadline: float | None = None
        self._timeout: asyncio.Timeout | None = None

    def __repr__(self) -> str:
        return f"<RacingAttempt claimed={self._has_claimed}>"

    @property
    def has_claimed(self) -> bool:
        """Whether its answer is the one that the caller gets."""
        return self._has_claimed

    def claim(self) -> bool:
        """Returns whether the caller gets this attempt's answer.

        The first attempt that claims it does; the other one is cancelled. The
        answer must begin before the next pause of the calling task, or the
        caller could get a failure beside it.
        """
        other = self.other
        if other is not None and other.has_claimed:
            return False
        self._has_claimed = True
        if other is not None and other.task is not None and not other.ended_at:
            other.task.cancel()
        return True

    def set_timeout(self, timeout: asyncio.Timeout) -> None:
        """Sets the timeout of the attempt, which has just started."""
        self._timeout = timeout
        if self._deadline is not None:
            timeout.reschedule(self._deadline)

    def extend(self, deadline: float) -> None:
        """Lets the attempt run until a time of the event loop's clock.

        Otherwise it would be given up for a further attempt while the other
        one runs.
        """
        self._deadline = deadline
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(deadline)
