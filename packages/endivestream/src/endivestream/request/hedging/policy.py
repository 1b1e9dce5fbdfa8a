"""When a second attempt joins an open first one. Pure.

Load pattern: a few targets are slow for a moment, so that one answer in twenty
takes several times as long as the others. A second attempt at another target
shortens these answers. Under overload it would lengthen all of them, so none is
sent while requests wait or when the other targets are as busy.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from endivestream.version import document as document_lib

# Quantile of the first-byte times after which an attempt counts as slow. A
# lower one costs more extra work than operators accept; a higher one needs
# hundreds of answers to be known.
SLOW_QUANTILE = 0.95


class Reason(enum.StrEnum):
    """Why no second attempt is sent."""

    OFF = "off"
    KIND = "kind"
    RELAYED = "relayed"
    EVIDENCE = "evidence"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    ANSWERED = "answered"
    WAITING = "waiting"
    NO_TARGET = "no_target"
    LOADED = "loaded"
    RATE_LIMITED = "rate_limited"
    RATIO = "ratio"
    CONCURRENCY = "concurrency"
    REPEATS = "repeats"


class SecondAttempt(NamedTuple):
    """A second attempt is due.

    Attributes:
        at: When to send it, if the first attempt is open then.
    """

    at: float


class NoHedge(NamedTuple):
    """No second attempt may be sent."""

    reason: Reason


class FirstAttempt(NamedTuple):
    """A first attempt that is about to be sent. Times are seconds.

    Attributes:
        kind: Kind of its route.
        ratio: Hedges for each request of the route.
        is_relayed: Whether another entry host relays the request to this one.
        has_evidence: Whether targets may have ended under the same keys.
        attempts: Attempts of the request so far, this one included.
        max_attempts: Maximum number of targets that it may be sent to.
        sent_at: When it is sent.
        slow_after: Time after which it counts as slow.
        deadline: The caller's deadline.
    """

    kind: document_lib.Kind
    ratio: float
    is_relayed: bool
    has_evidence: bool
    attempts: int
    max_attempts: int
    sent_at: float
    slow_after: float
    deadline: float


def plan(attempt: FirstAttempt) -> SecondAttempt | NoHedge:
    """Returns when a second attempt is due, or why none may be sent."""
    at = attempt.sent_at + attempt.slow_after
    if attempt.kind != document_lib.Kind.IDEMPOTENT:
        return NoHedge(Reason.KIND)
    if attempt.ratio <= 0:
        return NoHedge(Reason.OFF)
    if attempt.is_relayed:
        return NoHedge(Reason.RELAYED)
    if attempt.has_evidence:
        return NoHedge(Reason.EVIDENCE)
    if attempt.attempts >= attempt.max_attempts:
        return NoHedge(Reason.ATTEMPTS)
    if at >= attempt.deadline:
        return NoHedge(Reason.DEADLINE)
    return SecondAttempt(at)


class OtherTarget(NamedTuple):
    """The target that a second attempt would be sent to.

    Attributes:
        load: Its load, in running requests.
        is_rate_limited: Whether sends to it need a permit.
    """

    load: float
    is_rate_limited: bool


class Moment(NamedTuple):
    """What is known when a second attempt is due.

    Attributes:
        now: The time.
        deadline: The caller's deadline.
        has_evidence: Whether targets may have ended under the same keys.
        waiting: Requests of the service that wait for a target on this host.
        first_load: Load of the first attempt's target, this attempt included.
        other: The least loaded other target; None if there is none.
    """

    now: float
    deadline: float
    has_evidence: bool
    waiting: int
    first_load: float
    other: OtherTarget | None


def obstacle(moment: Moment) -> Reason | None:
    """Returns why a second attempt that is due is not sent; None if it is.

    The limits are not considered.
    """
    if moment.now >= moment.deadline:
        return Reason.DEADLINE
    if moment.has_evidence:
        return Reason.EVIDENCE
    if moment.waiting:
        return Reason.WAITING
    if moment.other is None:
        return Reason.NO_TARGET
    if moment.other.load >= moment.first_load:
        return Reason.LOADED
    if moment.other.is_rate_limited:
        # A permit may take seconds, and first attempts need all of them.
        return Reason.RATE_LIMITED
    return None
