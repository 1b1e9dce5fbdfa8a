"""The leader's evidence about requests that end targets, and its quarantine.

Entry hosts report ends of target processes and answers that disprove a
suspicion. Each change of the quarantine is pushed to all of them before the
report is acknowledged: a caller's retry must not be faster.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from endivestream import clock
from endivestream import logs
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import registry as registry_lib
from endivestream.request import crash_evidence
from endivestream.request import crash_keys
from endivestream.request import open_attempts
from endivestream.request import request_evidence
from endivestream.request import request_index

# Time until a key that an operator has quarantined is tried again or sent.
_OPERATOR_QUARANTINE_SECONDS = 3600.0

# Ends under a request from which each further one is logged.
_LOGGED_ENDS = 2

# Time for which changes are collected that need not be known before the next
# end.
_PUSH_PAUSE_SECONDS = 0.01
# Time within which hosts report their open attempts at a listed request.
_HOLD_SECONDS = 0.02


class QuarantineManager:
    """Evidence and quarantine during one term of leadership."""

    def __init__(
        self,
        *,
        term: int,
        push: Callable[[site_messages.QuarantineTable], Awaitable[None]],
    ) -> None:
        """Starts without evidence.

        Args:
            term: The leader's term.
            push: Pushes the table to all entry hosts.
        """
        self._term = term
        self._push = push
        self._number = 0
        self._evidence = crash_evidence.CrashEvidence()
        self._push_task: asyncio.Task[None] | None = None
        self._requests = request_evidence.RequestEvidence()

    @property
    def revision(self) -> site_messages.Position:
        """Revision of the table that applies now."""
        return site_messages.Position(self._term, self._number)

    @property
    def table(self) -> site_messages.QuarantineTable:
        """The table that applies now."""
        return site_messages.QuarantineTable(
            revision=self.revision,
            entries=self._evidence.entries(clock.now()),
            requests=self._requests.listed(clock.now()),
        )

    @property
    def entries(self) -> tuple[site_messages.QuarantineEntry, ...]:
        """All suspects and quarantined keys, for operators."""
        table = self.table
        return table.entries + tuple(
            site_messages.QuarantineEntry(
                key=each.key,
                is_quarantined=each.ends >= request_evidence.MAX_ENDS,
                seconds=max(0.0, each.left + request_evidence.KEPT_SECONDS),
            )
            for each in table.requests
        )

    async def record_end(
        self, report: site_messages.ProcessEnded
    ) -> site_messages.EvidenceRecorded:
        """Records the end of a target process that a host reports."""
        changed = self._add_end(report)
        why = f"end of {report.target}"
        urgent = frozenset(filter(self._is_urgent, changed))
        if urgent:
            await self._push_changes(urgent, why)
        elif changed:
            self._push_soon()
        return site_messages.EvidenceRecorded()

    def _push_soon(self) -> None:
        """Pushes the table shortly, together with further changes.

        After the loss of many processes nearly each report has new requests.
        """
        self._number += 1
        if self._push_task is None or self._push_task.done():
            self._push_task = tasks.start(self._push_later(), "push_quarantine")

    async def _push_later(self) -> None:
        await asyncio.sleep(_PUSH_PAUSE_SECONDS)
        await self._push(self.table)

    def _is_urgent(self, key: str) -> bool:
        """Returns whether the next end must not happen before hosts know."""
        return self._state(key) != request_evidence.RequestState.OBSERVED

    def _add_end(self, report: site_messages.ProcessEnded) -> frozenset[str]:
        process = open_attempts.TargetProcess(
            report.target, report.started_at_ms
        )
        changed: frozenset[str] = frozenset()
        if report.is_proved:
            changed = self._evidence.record_end(
                process,
                report.open_seconds,
                clock.now(),
                sends=report.sends,
                host=report.host,
                seconds_ago=report.seconds_ago,
            )
        logs.event(
            "process_ended",
            target=report.target,
            born=report.started_at_ms,
            reported_by=report.host,
            keys=len(report.open_seconds),
            requests=len(report.requests),
            proved=report.is_proved,
            seconds_ago=report.seconds_ago,
        )
        self._log_evidence(report)
        changed |= self._requests.record_end(
            process,
            report.requests,
            clock.now(),
            seconds_ago=report.seconds_ago,
            is_proved=report.is_proved,
        )
        return changed

    def has_unproved_end(self, registration: registry_lib.Registration) -> bool:
        """Returns whether a process may have ended under some request."""
        return self._requests.is_unproved(
            open_attempts.TargetProcess.of(registration)
        )

    async def record_report(
        self, registration: registry_lib.Registration
    ) -> None:
        """Records that a process has sent a report, so it is alive."""
        process = open_attempts.TargetProcess.of(registration)
        changed = self._requests.record_report(process)
        await self._push_changes(changed, f"reports of {registration.name}")

    def _log_evidence(self, report: site_messages.ProcessEnded) -> None:
        """Logs requests under which further processes have ended."""
        for key in report.open_seconds:
            counts = self._evidence.counts(key)
            if crash_keys.is_part(key) or counts.ends < _LOGGED_ENDS:
                continue
            logs.event(
                "request_evidence",
                key=key,
                ends=counts.ends,
                rounds=counts.rounds,
                target=report.target,
                reported_by=report.host,
            )

    async def record_answered(
        self, report: site_messages.Answered
    ) -> site_messages.EvidenceRecorded:
        """Drops evidence against keys whose requests were answered."""
        changed = self._evidence.record_answered(report.keys, clock.now())
        await self._push_changes(changed, f"answer at {report.host}")
        return site_messages.EvidenceRecorded()

    async def grant_trial(self, key: str) -> site_messages.GiveTrial:
        """Grants one request with a quarantined key, if a trial is due."""
        is_granted = self._evidence.start_trial(key, clock.now())
        if is_granted:
            await self._push_changes(frozenset({key}), "trial")
        return site_messages.GiveTrial(is_granted=is_granted)

    async def grant_attempt(
        self, message: site_messages.AskAttempt
    ) -> site_messages.GiveAttempt:
        """Grants an attempt at a request unless it could be a fourth end.

        Not before hosts have reported the attempts that they had sent when the
        request was listed.
        """
        if self._push_task is not None and not self._push_task.done():
            await asyncio.shield(self._push_task)
            await asyncio.sleep(_HOLD_SECONDS)
        request = message.request
        key = self._requests.find(
            request_index.CallerRequest(
                request.content,
                clock.now() + request.left,
                request.is_shared,
            )
        )
        is_granted = key is None or self._requests.grant(key, message.attempt)
        logs.event(
            "attempt_granted" if is_granted else "attempt_denied",
            request=message.attempt,
            key=key or "",
            ends=self._requests.ends(key) if key else 0,
        )
        return site_messages.GiveAttempt(is_granted=is_granted, key=key or "")

    def hold_attempts(self, attempts: Sequence[tuple[str, str]]) -> None:
        """Records attempts that were sent without a grant."""
        for key, attempt in attempts:
            self._requests.hold(key, attempt)

    def release_attempt(self, message: site_messages.ReleaseAttempt) -> None:
        """Records that no target can end under an attempt any more."""
        self._requests.release(message.key, message.attempt)

    async def set_key(
        self, key: str, *, is_quarantined: bool
    ) -> site_messages.QuarantineRead:
        """Applies an operator's decision on a key."""
        now = clock.now()
        if is_quarantined:
            entry = site_messages.QuarantineEntry(
                key=key,
                is_quarantined=True,
                seconds=_OPERATOR_QUARANTINE_SECONDS,
            )
            changed = self._evidence.restore([entry], now)
        else:
            changed = self._evidence.record_answered([key], now)
            changed |= self._requests.drop([key])
        await self._push_changes(changed, "operator")
        return site_messages.QuarantineRead(entries=self.entries)

    def restore(
        self,
        entries: Sequence[site_messages.QuarantineEntry],
        ends: Sequence[site_messages.ProcessEnded],
        listed_requests: Sequence[site_messages.ListedRequest] = (),
    ) -> bool:
        """Merges evidence that this leader may lack, as a host has it.

        Returns:
            Whether the table has changed.
        """
        changed = self._evidence.restore(entries, clock.now())
        changed |= self._requests.restore(listed_requests, clock.now())
        for report in ends:
            changed |= self._add_end(report)
        return self._record_changes(changed, "renewal")

    def drop_old(self) -> None:
        """Drops evidence that is too old."""
        is_changed = self._evidence.drop_old(clock.now())
        is_changed |= self._requests.drop_old(clock.now())
        self._number += is_changed

    def _state(self, key: str) -> str:
        if key.startswith(request_index.PREFIX):
            return self._requests.state(key)
        return self._evidence.state(key, clock.now())

    async def _push_changes(self, changed: frozenset[str], why: str) -> None:
        if self._record_changes(changed, why):
            await self._push(self.table)

    def _record_changes(self, changed: frozenset[str], why: str) -> bool:
        for key in sorted(changed):
            logs.event("quarantine", key=key, state=self._state(key), why=why)
        self._number += bool(changed)
        return bool(changed)
