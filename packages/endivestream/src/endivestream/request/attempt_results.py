"""Results of an attempt, and what each shows about its target. Pure."""

from __future__ import annotations

from typing import NamedTuple

from tornado import httputil

from endivestream.connection import exchange as exchange_lib
from endivestream.request import open_attempts

# Reason of an attempt that ended while its target was not read on.
NOT_READ = "not_read"


class Refused(NamedTuple):
    """The target refused the request without running it.

    Attributes:
        status: Status of its answer.
        missing_model: The model that the target lacks, or MODEL/ADAPTER, for
            status 421; else empty.
    """

    status: int
    missing_model: str


class Withdrawn(NamedTuple):
    """Nothing was sent: the target must not get the request any more."""


class Answer(NamedTuple):
    """A complete answer of a target."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class BrokenAttempt(NamedTuple):
    """An attempt that ended without a complete answer.

    Attributes:
        bytes_sent: Whether any byte of the request may have been sent.
        reason: Reason, for the caller and the log.
        answer: The target's answer, if it is complete and has a status of 500
            or more.
    """

    bytes_sent: bool
    reason: str
    answer: Answer | None = None


class Passed(NamedTuple):
    """The complete answer has been relayed to the caller."""

    status: int


class Superseded(NamedTuple):
    """The answer was received, but that of another attempt is relayed."""


class NotRelayed(NamedTuple):
    """A relay host answered with a failure of its own.

    Attributes:
        reason: Its reason.
        status: Status of its answer.
        retry_after: Seconds after which to retry, if it states them.
    """

    reason: str
    status: int
    retry_after: float | None

    @property
    def has_not_run(self) -> bool:
        """Whether the relay host states that the request has not run."""
        return self.status in (401, 404, 429, 503)


Result = Refused | Withdrawn | BrokenAttempt | Passed | Superseded


def is_framed(exchange: exchange_lib.Exchange) -> bool:
    """Returns whether the end of an answer is not that of its connection."""
    end = exchange.answer_end
    return end is not None and end.framing != exchange_lib.Framing.CLOSE


def process_end(
    result: Result, exchange: exchange_lib.Exchange
) -> open_attempts.AttemptEnd:
    """Returns what the end of an attempt shows about its process."""
    match result:
        case Passed() | Superseded() | BrokenAttempt(answer=Answer()) if (
            is_framed(exchange)
        ):
            return open_attempts.AttemptEnd.SETTLED
        case Refused() | Withdrawn() | BrokenAttempt(bytes_sent=False):
            return open_attempts.AttemptEnd.SETTLED
        case BrokenAttempt(reason="broke_off"):
            end = exchange.answer_end
            if end is None or end.ending in (
                exchange_lib.Ending.CLOSED,
                exchange_lib.Ending.RESET,
            ):
                return open_attempts.AttemptEnd.BROKEN
    return open_attempts.AttemptEnd.UNSETTLED


def is_given_up(result: Result | None) -> bool:
    """Returns whether this host ended an attempt; None if it has no result."""
    match result:
        case None:
            return True
        case BrokenAttempt(reason=reason):
            return reason in ("timeout", NOT_READ)
    return False


def is_target_failure(result: Result) -> bool:
    """Returns whether a result counts as a failure of its target."""
    match result:
        case BrokenAttempt(reason=reason) if reason == NOT_READ:
            return False
        case BrokenAttempt(answer=answer):
            return answer is None
        case Refused(status=status, missing_model=what):
            # Another target now has this address.
            return status == 421 and not what
    return False
