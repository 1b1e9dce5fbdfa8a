"""Examines broken answers of an entry host: which process ended, under what.

Ends are reported to the leader before the requests go on that ran there, so
what follows from them is in force at other hosts before callers can retry.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
from typing import Any
from typing import TypeVar

import msgspec

from endivestream import clock
from endivestream import logs
from endivestream import messages
from endivestream import quarantine_messages
from endivestream import table_position
from endivestream import tasks
from endivestream.connection import process_probe
from endivestream.connection import registry as registry_lib
from endivestream.request import crash_keys
from endivestream.request import key_history
from endivestream.request import open_attempts as open_attempts_lib
from endivestream.request import quarantine as quarantine_lib
from endivestream.request import request_evidence
from endivestream.request import request_index
from endivestream.request.buffering import provisional_bounds
from endivestream.request.buffering import target_memory as target_memory_lib

# A leader acknowledges within milliseconds; callers wait for it.
_REPORT_SECONDS = 0.25
# Time after which an answer is reported again if its key is still suspected.
_ANSWERED_RETRY_SECONDS = 1.0
# Time after which a host asks for a trial again.
_TRIAL_RETRY_SECONDS = 1.0
# Time for which the end of a process is remembered.
_ENDED_SECONDS = 60.0
# Reports that are sent to the next leader, and their age.
_MAX_REPORTS = 32
_REPORT_AGE_SECONDS = 60.0
# Requests that one log line names.
_MAX_LOGGED_REQUESTS = 16

_Entry = TypeVar(
    "_Entry",
    quarantine_messages.QuarantineEntry,
    quarantine_messages.ListedRequest,
)


@dataclasses.dataclass(eq=False, kw_only=True)
class _Report:
    """A report of an ended process.

    Attributes:
        message: The report.
        ended_at: When the process ended.
        is_acknowledged: Whether a leader has acknowledged it.
    """

    message: quarantine_messages.ProcessEnded
    ended_at: float
    is_acknowledged: bool = False


class CrashReporter:
    """Finds ends of target processes; lives as long as the process."""

    def __init__(
        self,
        *,
        probe: process_probe.ProcessProbe,
        host: str,
        request_leader: Callable[..., Awaitable[messages.Message | None]],
        target_memory: target_memory_lib.TargetMemory | None = None,
        is_draining: Callable[[str], bool] = lambda target: False,
    ) -> None:
        """Starts without evidence.

        Args:
            probe: Tells whether a process has ended.
            host: Name of this host.
            request_leader: Sends the leader a request within some `seconds`;
                None if it is not answered.
            target_memory: Bounds the load of targets that have ended under it;
                None where none is bounded.
            is_draining: Returns whether a target is about to stop. Its end is
                no crash.
        """
        self._probe = probe
        self._target_memory = target_memory
        self._is_draining = is_draining
        self._host = host
        self._request_leader = request_leader
        self._quarantine = quarantine_lib.Quarantine()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._counts: collections.Counter[str] = collections.Counter()
        self._attempts = open_attempts_lib.OpenAttempts()
        self._ended: dict[open_attempts_lib.TargetProcess, float] = {}
        self._examinations: dict[
            open_attempts_lib.TargetProcess,
            asyncio.Task[process_probe.ProcessState],
        ] = {}
        self._answers = key_history.KeyHistory()
        self._reports: collections.deque[_Report] = collections.deque(
            maxlen=_MAX_REPORTS
        )
        self._grant_numbers = itertools.count()
        # Listed requests, and whether several processes ended under them.
        self._listed: frozenset[tuple[str, bool]] = frozenset()
        # What was known under a leader that may have been replaced.
        self._kept_revision: table_position.Position | None = None
        self._kept_entries: tuple[quarantine_messages.QuarantineEntry, ...] = ()
        self._kept_requests: tuple[quarantine_messages.ListedRequest, ...] = ()
        # Keys whose requests were answered: those to report with the next
        # renewal, and when others were reported.
        self._answered: dict[str, None] = {}
        self._answered_reported_at: dict[str, float] = {}
        # Reports in the renewal that is under way.
        self._renewing: tuple[_Report, ...] = ()

    @property
    def examinations(self) -> Mapping[str, int]:
        """Number of examined processes by state."""
        return self._counts

    @property
    def revision(self) -> table_position.Position:
        """Revision of the quarantine that renewals report."""
        return self._kept_revision or self._quarantine.revision

    @property
    def quarantined_keys(self) -> int:
        """Number of quarantined keys."""
        return self._quarantine.size

    async def close(self) -> None:
        """Cancels examinations in progress."""
        await tasks.cancel((*self._examinations.values(), *self._tasks))

    def entries(self) -> tuple[quarantine_messages.QuarantineEntry, ...]:
        """Returns the quarantined keys, for a leader that may lack them."""
        entries = self._quarantine.entries(clock.now())
        return _merge_by_key(entries, self._kept_entries)

    def listed_requests(self) -> tuple[quarantine_messages.ListedRequest, ...]:
        """Returns the listed requests, for a leader that may lack them."""
        listed = self._quarantine.listed_requests(clock.now())
        return _merge_by_key(listed, self._kept_requests)

    def keep_table(self) -> None:
        """Keeps what is known now, before the answer of a leader is applied.

        The table of a leader that was replaced is needed by the next one.
        """
        self._kept_revision = self.revision
        self._kept_entries = self.entries()
        self._kept_requests = self.listed_requests()

    def drop_kept(self) -> None:
        """Drops what was kept: the leader is the same, or has got it."""
        self._kept_revision = None
        self._kept_entries = ()
        self._kept_requests = ()

    def take_reports(
        self, *, everything: bool
    ) -> tuple[quarantine_messages.ProcessEnded, ...]:
        """Returns reports for a renewal.

        Args:
            everything: Whether the leader has just been found. It lacks what
                the previous one knew; otherwise, those that were not
                acknowledged are returned.
        """
        now = clock.now()
        self._quarantine.drop_old(now)
        self._renewing = tuple(
            report
            for report in self._reports
            if now - report.ended_at < _REPORT_AGE_SECONDS
            and (everything or not report.is_acknowledged)
        )
        return tuple(
            _as_of(report.message, now - report.ended_at)
            for report in self._renewing
        )

    def take_answered(self) -> tuple[str, ...]:
        """Returns the suspected keys that were answered, for a renewal."""
        answered, self._answered = self._answered, {}
        return tuple(answered)

    def mark_reported(self) -> None:
        """Records that the leader has answered the last renewal."""
        for report in self._renewing:
            report.is_acknowledged = True
        self._renewing = ()

    def set_table(self, table: quarantine_messages.QuarantineTable) -> None:
        """Applies the leader's quarantine; reports what disproves it."""
        now = clock.now()
        if self._quarantine.set_table(table, now):
            self._report_answered(
                entry.key
                for entry in table.entries
                if self._answers.is_answered(entry.key, now)
            )
            listed = frozenset(
                (each.key, each.ends > 1) for each in table.requests
            )
            if listed - self._listed:
                self._report_listed(now)
            self._listed = listed
            logs.event(
                "quarantine_applied",
                term=table.revision.term,
                number=table.revision.number,
                keys=self._quarantine.size,
            )

    def _report_listed(self, now: float) -> None:
        """Reports the attempts of this host at requests that are listed."""
        for request in self._quarantine.caller_requests:
            if self._attempts.unsettled_attempts(request, now):
                self._start_task(
                    self._examine_attempts(request), "examine_listed"
                )
        held = []
        for attempt in self._attempts.open:
            request = self._caller_request(attempt.keys)
            if request is None or attempt.grant:
                continue
            key = self._quarantine.listed_key(request)
            if key is not None and self._quarantine.needs_grant(request):
                grant = crash_keys.Grant(key, self._new_attempt(attempt.keys))
                attempt.keys.grant = grant
                attempt.grant = grant.attempt
                held.append((key, grant.attempt))
        if held:
            message = quarantine_messages.HoldAttempts(attempts=tuple(held))
            self._start_task(
                self._request_leader(message, seconds=_REPORT_SECONDS),
                "hold_attempts",
            )

    def _new_attempt(self, keys: crash_keys.CrashKeys) -> str:
        """Returns a name that no other attempt has."""
        return f"{keys.request}/{self._host}/{next(self._grant_numbers)}"

    def quarantined_until(self, keys: crash_keys.CrashKeys) -> float | None:
        """Returns when a request may be sent again; None if it may now."""
        if self._quarantine.is_empty:
            return None
        now = clock.now()
        until = self._quarantine.request_until(self._caller_request(keys), now)
        if until is not None:
            return until
        blocked = self._quarantine.blocked(keys.all, now)
        blocked.pop(keys.trial_key, None)
        return max(blocked.values(), default=None)

    async def acquire_trial(self, keys: crash_keys.CrashKeys) -> None:
        """Asks the leader for a trial of a request's only quarantined part.

        A trial is granted to one request over all hosts; until then, and if the
        leader does not answer, the part stays in quarantine.
        """
        if self._quarantine.is_empty:
            return
        now = clock.now()
        match list(self._quarantine.blocked(keys.all, now).items()):
            case [(key, until)] if crash_keys.is_part(key) and until <= now:
                self._quarantine.postpone_trial(key, now + _TRIAL_RETRY_SECONDS)
                answer = await self._request_leader(
                    quarantine_messages.AskTrial(key=key),
                    seconds=_REPORT_SECONDS,
                )
                match answer:
                    case quarantine_messages.GiveTrial(is_granted=True):
                        keys.trial_key = key
                        logs.event(
                            "quarantine_trial", request=keys.request, key=key
                        )

    def record_answered(self, attempt: open_attempts_lib.Attempt) -> None:
        """Records a complete answer of a target."""
        keys, now = attempt.keys, clock.now()
        if attempt.end == open_attempts_lib.AttemptEnd.SETTLED:
            self._record_sign_of_life(attempt, now)
            self._answers.record_outlived([keys.content_key], now)
        if not attempt.is_outlived:
            # An empty answer begins with its end.
            began_at = min(attempt.began_at, now)
            self._answers.record_complete(
                attempt.process, (keys.content_key, *keys.parts), began_at
            )
        if not self._quarantine.is_empty:
            self._report_answered((keys.attempt_key, keys.content_key))

    def record_bytes(self, attempt: open_attempts_lib.Attempt | None) -> None:
        """Records that a part of an answer's body has arrived.

        None stands for an answer through another entry host.
        """
        if attempt is None or (
            attempt.is_outlived and self._target_memory is None
        ):
            return
        now = clock.now()
        self._record_sign_of_life(attempt, now)
        if attempt.is_outlived:
            return
        attempt.began_at = min(attempt.began_at, now)
        if now - attempt.began_at >= key_history.OUTLIVED_SECONDS:
            attempt.is_outlived = True
            self._answers.record_outlived(attempt.keys.parts, now)
            self._report_answered(attempt.keys.parts)

    def has_evidence(self, keys: crash_keys.CrashKeys) -> bool:
        """Returns whether targets may have ended under a request's keys."""
        return (
            bool(keys.trial_key)
            or keys.grant is not None
            or self._quarantine.has_known_key(keys)
        )

    def record_paused(
        self, attempt: open_attempts_lib.Attempt | None, seconds: float
    ) -> None:
        """Records that an answer was not read for some seconds.

        Bytes that are read then may have arrived before; they do not show that
        the process has lived on meanwhile.
        """
        if attempt is not None:
            attempt.began_at += seconds
            attempt.read_since = clock.now()

    def needs_examination(self, keys: crash_keys.CrashKeys) -> bool:
        """Returns whether the end of an answer's connection is examined.

        Its process may have ended with it, and only one that lives on answers
        for the keys of the request.
        """
        now = clock.now()
        return self._quarantine.has_known_key(keys) or any(
            not self._answers.is_answered(part, now) for part in keys.parts
        )

    def _report_answered(self, keys: Iterable[str]) -> None:
        """Reports those keys to the leader that are suspected wrongly.

        Requests with quarantined ones are refused until it knows; what is only
        suspected is reported with the next renewal.
        """
        if self._quarantine.is_empty:
            return
        now = clock.now()
        disproved = self._quarantine.record_answered(tuple(keys), now)
        due = {
            key
            for key in disproved
            if now - self._answered_reported_at.get(key, float("-inf"))
            >= _ANSWERED_RETRY_SECONDS
        }
        if not due:
            return
        self._answered_reported_at = {
            key: reported_at
            for key, reported_at in self._answered_reported_at.items()
            if now - reported_at < _ANSWERED_RETRY_SECONDS
        } | dict.fromkeys(due, now)
        self._answered |= dict.fromkeys(due)
        if any(map(self._quarantine.is_quarantined, due)):
            message = quarantine_messages.Answered(
                host=self._host, keys=self.take_answered()
            )
            self._start_task(
                self._request_leader(message, seconds=_REPORT_SECONDS),
                "answered",
            )

    def record_sent(
        self,
        registration: registry_lib.Registration,
        keys: crash_keys.CrashKeys,
        *,
        is_engine: bool = False,
        load: target_memory_lib.Load = target_memory_lib.NO_LOAD,
    ) -> open_attempts_lib.Attempt:
        """Records that a request is sent to a target; returns the attempt."""
        self._answers.record_sent(keys.parts)
        attempt = self._attempts.record_sent(
            registration, keys, clock.now(), is_engine=is_engine, load=load
        )
        if self._target_memory is not None:
            self._target_memory.record_sent(
                registration.name,
                attempt,
                load,
                request=keys,
                now=attempt.sent_at,
            )
        return attempt

    async def acquire_attempt(self, keys: crash_keys.CrashKeys) -> bool:
        """Returns whether a caller's request may be sent to a target now.

        Once targets have ended under it, the leader grants its attempts over
        all hosts. Without an answer this host leaves the last one of the
        allowed ends to others.
        """
        request = self._caller_request(keys)
        if request is None or keys.grant is not None:
            return True
        await self._examine_attempts(request)
        if self._quarantine.is_empty or not self._quarantine.needs_grant(
            request
        ):
            return True
        attempt = self._new_attempt(keys)
        answer = await self._request_leader(
            quarantine_messages.AskAttempt(
                request=quarantine_messages.OpenRequest(
                    content=request.content,
                    left=request.deadline - clock.now(),
                    is_shared=request.is_shared,
                ),
                attempt=attempt,
            ),
            seconds=_REPORT_SECONDS,
        )
        match answer:
            case quarantine_messages.GiveAttempt(
                is_granted=is_granted, key=key
            ):
                if is_granted and key:
                    keys.grant = crash_keys.Grant(key, attempt)
                return is_granted
        ends = self._quarantine.possible_ends(request)
        return ends < request_evidence.MAX_ENDS - 1

    def release_attempt(self, keys: crash_keys.CrashKeys) -> None:
        """Returns a grant that no attempt has used up."""
        if keys.grant is not None:
            self._start_task(self.return_grant(keys), "return_grant")

    async def return_grant(self, keys: crash_keys.CrashKeys) -> None:
        """Returns a grant, before another host asks for one."""
        grant, keys.grant = keys.grant, None
        if grant is not None:
            message = quarantine_messages.ReleaseAttempt(
                key=grant.key, attempt=grant.attempt
            )
            await self._request_leader(message, seconds=_REPORT_SECONDS)

    async def _examine_attempts(
        self, request: request_index.CallerRequest
    ) -> None:
        """Examines processes of earlier attempts at a caller's request.

        That the caller sends it again is a reason to doubt their answers.
        """
        attempts = self._attempts.unsettled_attempts(request, clock.now())
        by_process: dict[
            open_attempts_lib.TargetProcess, open_attempts_lib.Attempt
        ] = {}
        for attempt in attempts:
            if attempt.is_suspected:
                continue
            attempt.is_suspected = True
            by_process[attempt.process] = attempt
        await asyncio.gather(
            *(
                self.examine(
                    attempt.registration,
                    is_engine=attempt.is_engine,
                    sent_at=attempt.sent_at,
                )
                for attempt in by_process.values()
            )
        )

    def record_end(
        self,
        attempt: open_attempts_lib.Attempt,
        *,
        end: open_attempts_lib.AttemptEnd,
        is_given_up: bool = False,
    ) -> None:
        """Records the end of an attempt.

        A granted trial is for one attempt.

        Args:
            attempt: The attempt.
            end: What its end shows about its process.
            is_given_up: Whether this host ended it.
        """
        now = clock.now()
        attempt.is_given_up = is_given_up
        if self._target_memory is not None:
            self._target_memory.record_end(attempt.process.target, attempt)
        attempt.keys.trial_key = ""
        if end != open_attempts_lib.AttemptEnd.SETTLED:
            # The grant stays open until an end is reported.
            attempt.keys.grant = None
        self._attempts.record_end(attempt, now, end=end)
        if end == open_attempts_lib.AttemptEnd.BROKEN:
            self._bound_provisionally(attempt.process, now)
        outlived = self._answers.take_outlived(now)
        if outlived:
            self._report_answered(outlived)

    async def examine(
        self,
        registration: registry_lib.Registration,
        *,
        is_engine: bool,
        sent_at: float = 0.0,
    ) -> process_probe.ProcessState:
        """Finds out whether the process of a broken answer has ended.

        Requests whose answers break off together share one examination.

        Args:
            registration: The process.
            is_engine: Whether it states its start time.
            sent_at: When the request was sent. After an end that is known, it
                was sent to the next process.
        """
        process = open_attempts_lib.TargetProcess.of(registration)
        running = self._examinations.get(process)
        if running is not None:
            # It may have found the process alive before this answer broke off.
            await asyncio.shield(running)
        if sent_at <= self._ended.get(process, float("-inf")):
            return process_probe.ProcessState.ENDED
        task = self._examinations.get(process)
        if task is None:
            task = tasks.start(
                self._examine(registration, is_engine=is_engine), "examine"
            )
            self._examinations[process] = task
            task.add_done_callback(
                lambda _: self._examinations.pop(process, None)
            )
        return await asyncio.shield(task)

    async def _examine(
        self, registration: registry_lib.Registration, *, is_engine: bool
    ) -> process_probe.ProcessState:
        examined_at = clock.now()
        state = await self._probe.state(registration, is_engine=is_engine)
        process = open_attempts_lib.TargetProcess.of(registration)
        now = clock.now()
        self._counts[state] += 1
        attempts = self._attempts.at_end_of(process, now)
        unsettled = self._attempts.unsettled(process, now)
        logs.event(
            "process_examined",
            target=registration.name,
            born=registration.started_at_ms,
            address=registration.address,
            state=state,
            open=len(attempts),
            unsettled=len(unsettled),
            requests=",".join(
                each.keys.request for each in attempts[:_MAX_LOGGED_REQUESTS]
            ),
        )
        if state == process_probe.ProcessState.ENDED:
            # Before the attempts are settled; some have ended here already.
            self._bound_target(
                process, self._attempts.held_at_end_of(process, now), now
            )
            self._ended = {
                known: ended_at
                for known, ended_at in self._ended.items()
                if now - ended_at < _ENDED_SECONDS
            } | {process: now}
            self._answers.record_process_end(process)
            self._attempts.settle(process)
            await self._report(process, attempts, unsettled, now)
        elif state == process_probe.ProcessState.RUNNING:
            if self._target_memory is not None:
                is_disproved = self._target_memory.provisional.record_alive(
                    *process, alive_at=examined_at, now=now
                )
                if is_disproved:
                    self._log_disproved(process, "examination")
        else:
            broken = [
                each
                for each in unsettled
                if each.is_suspected
                or each.end == open_attempts_lib.AttemptEnd.BROKEN
            ]
            await self._report_unproved(process, broken, now)
        return state

    async def _report_unproved(
        self,
        process: open_attempts_lib.TargetProcess,
        attempts: Sequence[open_attempts_lib.Attempt],
        now: float,
    ) -> None:
        """Reports a process that may have ended under some requests."""
        requests = self._open_requests(attempts, now)
        if not requests:
            return
        self._quarantine.record_possible_end(process, requests, now)
        message = quarantine_messages.ProcessEnded(
            host=self._host,
            target=process.target,
            started_at_ms=process.started_at_ms,
            requests=requests,
            is_proved=False,
        )
        await self._send_report(message, now)

    def record_refused(
        self, registration: registry_lib.Registration, *, is_engine: bool
    ) -> None:
        """Examines a process that takes no connections, if that is of use.

        The request that could not connect does not wait for it.
        """
        process = open_attempts_lib.TargetProcess.of(registration)
        if self._attempts.unsettled(process, clock.now()):
            examination = self.examine(
                registration, is_engine=is_engine, sent_at=float("inf")
            )
            self._start_task(examination, "examine_refused")

    def record_replaced(self, registration: registry_lib.Registration) -> None:
        """Reports the end of a process whose successor the table shows."""
        process = open_attempts_lib.TargetProcess.of(registration)
        now = clock.now()
        unsettled = self._attempts.unsettled(process, now)
        self._bound_target(
            process, self._attempts.broken_together(process, now), now
        )
        if unsettled:
            self._attempts.settle(process)
            self._start_task(
                self._report(process, (), unsettled, now), "replaced"
            )

    def _bound_target(
        self,
        process: open_attempts_lib.TargetProcess,
        held: Collection[open_attempts_lib.Attempt],
        now: float,
    ) -> None:
        """Bounds the load of a target whose process ended under requests."""
        memory = self._target_memory
        if memory is None:
            return
        if self._is_draining(process.target):
            memory.provisional.record_process_end(*process)
            return
        bound = memory.record_crash(
            process.target,
            process.started_at_ms,
            [each.load for each in held],
            now,
        )
        if bound is None:
            return
        logs.event(
            "target_memory_bound",
            target=process.target,
            born=process.started_at_ms,
            open=len(held),
            body_bytes=bound.body_bytes,
            tokens=bound.tokens,
            requests=",".join(
                each.keys.request for each in list(held)[:_MAX_LOGGED_REQUESTS]
            ),
        )

    def _bound_provisionally(
        self, process: open_attempts_lib.TargetProcess, now: float
    ) -> None:
        """Bounds the load of a target whose process may have ended."""
        memory = self._target_memory
        if (
            memory is None
            or process in self._ended
            or self._is_draining(process.target)
        ):
            return
        broken = self._attempts.broken_together(process, now)
        held = self._attempts.held_at_end_of(process, now)
        bound = memory.record_breaks(
            *process,
            breaks=[
                provisional_bounds.Break(each.sent_at, each.ended_at)
                for each in broken
            ],
            held=[each.load for each in held],
            now=now,
        )
        if bound is None:
            return
        logs.event(
            "target_memory_provisional",
            target=process.target,
            born=process.started_at_ms,
            open=len(held),
            body_bytes=bound.body_bytes,
            tokens=bound.tokens,
            seconds=provisional_bounds.PROVISIONAL_SECONDS,
            requests=",".join(
                each.keys.request for each in broken[:_MAX_LOGGED_REQUESTS]
            ),
        )

    def _record_sign_of_life(
        self, attempt: open_attempts_lib.Attempt, now: float
    ) -> None:
        """Removes a provisional bound that an answer disproves."""
        memory = self._target_memory
        if memory is not None and memory.provisional.record_answer(
            *attempt.process,
            opened_at=attempt.opened_at,
            sent_at=attempt.sent_at,
            read_since=attempt.read_since,
            now=now,
        ):
            self._log_disproved(attempt.process, "answer")

    def record_report(self, registration: registry_lib.Registration) -> None:
        """Records a new report of a process that the table shows."""
        process = open_attempts_lib.TargetProcess.of(registration)
        memory = self._target_memory
        if memory is not None and memory.provisional.record_report(
            *process, now=clock.now()
        ):
            self._log_disproved(process, "report")

    def _log_disproved(
        self, process: open_attempts_lib.TargetProcess, reason: str
    ) -> None:
        logs.event(
            "target_memory_disproved",
            target=process.target,
            born=process.started_at_ms,
            reason=reason,
        )

    def _start_task(
        self, coroutine: Coroutine[Any, Any, Any], name: str
    ) -> None:
        task = tasks.start(coroutine, name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report(
        self,
        process: open_attempts_lib.TargetProcess,
        attempts: Sequence[open_attempts_lib.Attempt],
        unsettled: Sequence[open_attempts_lib.Attempt],
        now: float,
    ) -> None:
        """Reports the end of a process.

        Args:
            process: The process.
            attempts: Attempts that were open at its end.
            unsettled: Attempts that ended earlier, perhaps with it.
            now: Current time.
        """
        open_seconds: dict[str, float] = {}
        for attempt in attempts:
            seconds = now - attempt.sent_at
            for key in attempt.keys.all:
                if self._answers.is_answered(key, now):
                    continue
                open_seconds[key] = min(seconds, open_seconds.get(key, seconds))
        sends = {
            key: self._answers.sends(key)
            for key in open_seconds
            if crash_keys.is_part(key)
        }
        requests = self._open_requests({*attempts, *unsettled}, now)
        self._quarantine.record_end(process, open_seconds, sends, now, requests)
        answered = sum(
            self._answers.is_answered(attempt.keys.content_key, now)
            for attempt in attempts
        )
        logs.event(
            "process_end_reported",
            target=process.target,
            born=process.started_at_ms,
            open=len(attempts),
            answered_contents=answered,
        )
        message = quarantine_messages.ProcessEnded(
            host=self._host,
            target=process.target,
            started_at_ms=process.started_at_ms,
            open_seconds=open_seconds,
            sends=sends,
            requests=requests,
        )
        await self._send_report(message, now)

    async def _send_report(
        self, message: quarantine_messages.ProcessEnded, now: float
    ) -> None:
        report = _Report(message=message, ended_at=now)
        self._reports.append(report)
        answer = await self._request_leader(message, seconds=_REPORT_SECONDS)
        match answer:
            case quarantine_messages.EvidenceRecorded():
                report.is_acknowledged = True
            case _:
                logs.warn("process_end_unreported", target=message.target)

    def _caller_request(
        self, keys: crash_keys.CrashKeys
    ) -> request_index.CallerRequest | None:
        """Returns a caller's request; None if it states no time."""
        request = keys.caller_request
        if request is None:
            return None
        is_shared = self._answers.is_answered(keys.content_key, clock.now())
        return request._replace(is_shared=is_shared)

    def _open_requests(
        self, attempts: Collection[open_attempts_lib.Attempt], now: float
    ) -> tuple[quarantine_messages.OpenRequest, ...]:
        """Returns the callers' requests of some attempts."""
        by_request: dict[
            request_index.CallerRequest, list[open_attempts_lib.Attempt]
        ] = {}
        for attempt in attempts:
            request = self._caller_request(attempt.keys)
            if request is not None:
                by_request.setdefault(request, []).append(attempt)
        return tuple(
            quarantine_messages.OpenRequest(
                content=request.content,
                left=request.deadline - now,
                open_seconds=now - max(each.sent_at for each in same),
                attempts=tuple(sorted({each.grant for each in same} - {""})),
                is_shared=request.is_shared,
            )
            for request, same in by_request.items()
        )


def _as_of(
    message: quarantine_messages.ProcessEnded, seconds_ago: float
) -> quarantine_messages.ProcessEnded:
    """Returns a report as it is sent later."""
    return msgspec.structs.replace(
        message,
        seconds_ago=seconds_ago,
        requests=tuple(
            each._replace(left=each.left - seconds_ago)
            for each in message.requests
        ),
    )


def _merge_by_key(
    entries: tuple[_Entry, ...], older: tuple[_Entry, ...]
) -> tuple[_Entry, ...]:
    """Returns entries, and older ones with other keys."""
    keys = {entry.key for entry in entries}
    return entries + tuple(each for each in older if each.key not in keys)
