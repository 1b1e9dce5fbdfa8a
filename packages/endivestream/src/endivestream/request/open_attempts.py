"""Attempts that are open at target processes. Does no I/O.

When a process ends, all answers that it was sending break off together, and
they are noticed one after the other. Attempts that broke off just before count
as open at the end of their process.

Not each end of an attempt shows whether its process has ended: an answer
without framing ends with its connection, a process may be replaced at once, or
nothing arrives any more. Such attempts are kept for later evidence.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import enum
import math
from typing import NamedTuple

from endivestream.connection import registry as registry_lib
from endivestream.request import crash_keys
from endivestream.request import request_index
from endivestream.request.buffering import target_memory

# Time within which the broken answers of an ended process are noticed.
_NOTICED_SECONDS = 0.5
# Time within which later evidence about a process applies to an attempt.
_UNSETTLED_SECONDS = 5.0
_MAX_UNSETTLED = 4096


class AttemptEnd(enum.Enum):
    """How an attempt at a process ended.

    SETTLED: The process was alive at its end, or did not get it. BROKEN: The
    process closed the connection before the end of the answer. UNSETTLED: It is
    not known whether the process ended with it.
    """

    SETTLED = enum.auto()
    BROKEN = enum.auto()
    UNSETTLED = enum.auto()


class TargetProcess(NamedTuple):
    """One process of a target.

    Attributes:
        target: Id of the target.
        started_at_ms: Start time of the process.
    """

    target: str
    started_at_ms: int

    @classmethod
    def of(cls, registration: registry_lib.Registration) -> TargetProcess:
        """Returns the process that a registration describes."""
        return cls(registration.name, registration.started_at_ms)


@dataclasses.dataclass(eq=False, kw_only=True)
class Attempt:
    """An attempt at one process.

    Attributes:
        process: The process.
        registration: Its entry in the table of targets.
        is_engine: Whether it states its start time.
        keys: Keys of the request.
        sent_at: When it was sent.
        end: How it ended; None while it is open.
        ended_at: When it ended.
        began_at: When the body of its answer began; infinite before.
        is_outlived: Whether the process has outlived the beginning.
        grant: Name of the attempt, if the leader has granted it; else empty.
        is_suspected: Whether an attempt at the same request gives reason to
            report that the process may have ended.
        load: What its request takes of the target's memory.
        is_given_up: Whether this host ended it, because its caller left or its
            time was over.
        opened_at: When its connection was opened; infinite before it has one.
        read_since: When its answer was read again after the last pause.
    """

    process: TargetProcess
    registration: registry_lib.Registration
    is_engine: bool
    keys: crash_keys.CrashKeys
    sent_at: float
    end: AttemptEnd | None = None
    ended_at: float = math.inf
    began_at: float = math.inf
    is_outlived: bool = False
    grant: str = ""
    is_suspected: bool = False
    load: target_memory.Load = target_memory.NO_LOAD
    is_given_up: bool = False
    opened_at: float = math.inf
    read_since: float = -math.inf


class OpenAttempts:
    """Attempts of one entry host by target process. Times are seconds."""

    def __init__(self) -> None:
        self._open: dict[TargetProcess, set[Attempt]] = {}
        # Those that did not end settled, the oldest first.
        self._unsettled: collections.OrderedDict[Attempt, None] = (
            collections.OrderedDict()
        )
        self._by_content: dict[str, set[Attempt]] = {}

    def record_sent(
        self,
        registration: registry_lib.Registration,
        keys: crash_keys.CrashKeys,
        now: float,
        *,
        is_engine: bool,
        load: target_memory.Load,
    ) -> Attempt:
        """Records that a request is sent to a process."""
        process = TargetProcess.of(registration)
        attempt = Attempt(
            process=process,
            registration=registration,
            is_engine=is_engine,
            keys=keys,
            sent_at=now,
            grant=keys.grant.attempt if keys.grant else "",
            load=load,
        )
        self._open.setdefault(process, set()).add(attempt)
        return attempt

    def record_end(
        self, attempt: Attempt, now: float, *, end: AttemptEnd
    ) -> None:
        """Records the end of an attempt."""
        attempts = self._open[attempt.process]
        attempts.remove(attempt)
        if not attempts:
            del self._open[attempt.process]
        attempt.end = end
        attempt.ended_at = now
        if end != AttemptEnd.SETTLED:
            self._keep(attempt)
        self._drop_old(now)

    @property
    def open(self) -> Collection[Attempt]:
        """The attempts that have not ended."""
        return [each for attempts in self._open.values() for each in attempts]

    def at_end_of(
        self, process: TargetProcess, now: float
    ) -> Sequence[Attempt]:
        """Returns the attempts that were open when a process ended."""
        ended = [
            each
            for each in self.unsettled(process, now)
            if now - each.ended_at <= _NOTICED_SECONDS
        ]
        return (*ended, *self._open.get(process, ()))

    def held_at_end_of(
        self, process: TargetProcess, now: float
    ) -> Sequence[Attempt]:
        """Returns the attempts that a process held in memory when it ended.

        Those that this host gave up before are not held any more.
        """
        return [
            each
            for each in self.at_end_of(process, now)
            if not each.is_given_up
        ]

    def broken_together(
        self, process: TargetProcess, now: float
    ) -> Sequence[Attempt]:
        """Returns the attempts that broke off last, at the same time.

        These are what a process held when it ended, if its end shows only
        later. Open ones are not: a process that is replaced may still run.
        """
        broken = [
            each
            for each in self.unsettled(process, now)
            if each.end == AttemptEnd.BROKEN
        ]
        last = max((each.ended_at for each in broken), default=now)
        return [
            each for each in broken if last - each.ended_at <= _NOTICED_SECONDS
        ]

    def unsettled(
        self, process: TargetProcess, now: float
    ) -> Sequence[Attempt]:
        """Returns the attempts that evidence about a process applies to."""
        self._drop_old(now)
        return [each for each in self._unsettled if each.process == process]

    def settle(self, process: TargetProcess) -> None:
        """Drops the unsettled attempts at a process whose end is known."""
        for attempt in list(self._unsettled):
            if attempt.process == process:
                self._drop(attempt)

    def unsettled_attempts(
        self, request: request_index.CallerRequest, now: float
    ) -> Sequence[Attempt]:
        """Returns the unsettled attempts at a caller's request."""
        if not self._unsettled:
            return ()
        self._drop_old(now)
        return [
            attempt
            for attempt in self._by_content.get(request.content, ())
            if attempt.keys.caller_request is not None
            and request_index.is_same(attempt.keys.caller_request, request)
        ]

    def _keep(self, attempt: Attempt) -> None:
        self._unsettled[attempt] = None
        request = attempt.keys.caller_request
        if request is not None:
            self._by_content.setdefault(request.content, set()).add(attempt)
        if len(self._unsettled) > _MAX_UNSETTLED:
            self._drop(next(iter(self._unsettled)))

    def _drop(self, attempt: Attempt) -> None:
        del self._unsettled[attempt]
        request = attempt.keys.caller_request
        if request is not None:
            attempts = self._by_content[request.content]
            attempts.remove(attempt)
            if not attempts:
                del self._by_content[request.content]

    def _drop_old(self, now: float) -> None:
        while self._unsettled:
            oldest = next(iter(self._unsettled))
            if now - oldest.ended_at <= _UNSETTLED_SECONDS:
                break
            self._drop(oldest)
