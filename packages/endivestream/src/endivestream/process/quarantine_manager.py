"""The leader's evidence about requests that end targets, and its quarantine.

Entry hosts report ends of target processes and answers that disprove a
suspicion. A change that the next end must not precede is pushed to all of them
before the report is acknowledged: a caller's retry must not be faster.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from endivestream import clock
from endivestream import logs
from endivestream import quarantine_messages
from endivestream import site_messages
from endivestream import table_position
from endivestream.connection import registry as registry_lib
from endivestream.process import quarantine_updates
from endivestream.request import crash_evidence
from endivestream.request import crash_keys
from endivestream.request import open_attempts
from endivestream.request import request_evidence
from endivestream.request import request_index

# Time until a key that an operator has quarantined is tried again or sent.
_OPERATOR_QUARANTINE_SECONDS = 3600.0

# Ends under a request from which each further one is logged.
_LOGGED_ENDS = 2

# Time within which hosts report their open attempts at a listed request.
_HOLD_SECONDS = 0.02
# Interval at which evidence is examined for its age.
_DROP_INTERVAL_SECONDS = 1.0


class QuarantineManager:
    """Evidence and quarantine during one term of leadership."""

    def __init__(
        self,
        *,
        term: int,
        push: Callable[[quarantine_messages.QuarantineTable], Awaitable[None]],
    ) -> None:
        """Starts without evidence.

        Args:
            term: The leader's term.
            push: Pushes the table to all entry hosts.
        """
        self._evidence = crash_evidence.CrashEvidence()
        self._requests = request_evidence.RequestEvidence()
        self._updates = quarantine_updates.QuarantineUpdates(
            term=term,
            push=push,
            current=self._current,
            format_state=self._state,
        )
        self._term = term
        self._next_drop_at = clock.now() + _DROP_INTERVAL_SECONDS

    async def close(self) -> None:
        """Ends the pushes."""
        await self._updates.close()

    @property
    def revision(self) -> table_position.Position:
        """Revision of the table that hosts have, or get with a push."""
        return self._updates.revision

    @property
    def table(self) -> quarantine_messages.QuarantineTable:
        """The table that hosts have, or get with a push."""
        return self._updates.table

    def update_since(
        self, revision: table_position.Position
    ) -> quarantine_messages.QuarantineTable | None:
        """Returns the update that a host at a revision lacks, if any."""
        return self._updates.update_since(revision)

    @property
    def entries(self) -> tuple[quarantine_messages.QuarantineEntry, ...]:
        """All suspects and quarantined keys, for operators."""
        table = self.table
        return table.entries + tuple(
            quarantine_messages.QuarantineEntry(
                key=each.key,
                is_quarantined=each.ends >= request_evidence.MAX_ENDS,
                seconds=max(0.0, each.left + request_evidence.KEPT_SECONDS),
            )
            for each in table.requests
        )

    async def record_end(
        self, report: quarantine_messages.ProcessEnded
    ) -> quarantine_messages.EvidenceRecorded:
        """Records the end of a target process that a host reports."""
        changed = self._add_end(report)
        is_urgent = any(map(self._is_urgent, changed))
        self._updates.record(changed, f"end of {report.target}")
        if is_urgent:
            await self._updates.flush()
        return quarantine_messages.EvidenceRecorded()

    def _is_urgent(self, key: str) -> bool:
        """Returns whether the next end must not happen before hosts know."""
        if key.startswith(request_index.PREFIX):
            observed = request_evidence.RequestState.OBSERVED
            return self._requests.state(key) != observed
        return self._evidence.is_notable(key)

    def _add_end(
        self, report: quarantine_messages.ProcessEnded
    ) -> frozenset[str]:
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

    def record_report(self, registration: registry_lib.Registration) -> None:
        """Records that a process has sent a report, so it is alive."""
        process = open_attempts.TargetProcess.of(registration)
        changed = self._requests.record_report(process)
        why = f"reports of {registration.name}"
        self._updates.record(changed, why, is_urgent=True)

    def _log_evidence(self, report: quarantine_messages.ProcessEnded) -> None:
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
        self, report: quarantine_messages.Answered
    ) -> quarantine_messages.EvidenceRecorded:
        """Drops evidence against keys whose requests were answered."""
        self.drop_answered(report.host, report.keys)
        return quarantine_messages.EvidenceRecorded()

    def drop_answered(self, host: str, keys: Sequence[str]) -> None:
        """Drops evidence against keys whose requests a host got answered."""
        quarantined = crash_evidence.KeyState.QUARANTINED
        # Requests with these are refused until hosts know.
        is_urgent = any(self._state(key) == quarantined for key in keys)
        changed = self._evidence.record_answered(keys, clock.now())
        self._updates.record(changed, f"answer at {host}", is_urgent=is_urgent)

    async def grant_trial(self, key: str) -> quarantine_messages.GiveTrial:
        """Grants one request with a quarantined key, if a trial is due."""
        is_granted = self._evidence.start_trial(key, clock.now())
        if is_granted:
            self._updates.record([key], "trial")
            await self._updates.flush()
        return quarantine_messages.GiveTrial(is_granted=is_granted)

    async def grant_attempt(
        self, message: quarantine_messages.AskAttempt
    ) -> quarantine_messages.GiveAttempt:
        """Grants an attempt at a request unless it could be a fourth end.

        Not before hosts have reported the attempts that they had sent when the
        request was listed.
        """
        request = message.request
        key = self._requests.find(
            request_index.CallerRequest(
                request.content,
                clock.now() + request.left,
                request.is_shared,
            )
        )
        if key is not None and self._updates.is_pending(key):
            await self._updates.flush()
        if key is not None:
            listed_at = self._updates.first_published_at(key)
            await asyncio.sleep(
                max(0.0, listed_at + _HOLD_SECONDS - clock.now())
            )
        is_granted = key is None or self._requests.grant(key, message.attempt)
        logs.event(
            "attempt_granted" if is_granted else "attempt_denied",
            request=message.attempt,
            key=key or "",
            ends=self._requests.ends(key) if key else 0,
        )
        return quarantine_messages.GiveAttempt(
            is_granted=is_granted, key=key or ""
        )

    def hold_attempts(self, attempts: Sequence[tuple[str, str]]) -> None:
        """Records attempts that were sent without a grant."""
        for key, attempt in attempts:
            self._requests.hold(key, attempt)

    def release_attempt(
        self, message: quarantine_messages.ReleaseAttempt
    ) -> None:
        """Records that no target can end under an attempt any more."""
        self._requests.release(message.key, message.attempt)

    async def set_key(
        self, key: str, *, is_quarantined: bool
    ) -> quarantine_messages.QuarantineRead:
        """Applies an operator's decision on a key."""
        now = clock.now()
        if is_quarantined:
            entry = quarantine_messages.QuarantineEntry(
                key=key,
                is_quarantined=True,
                seconds=_OPERATOR_QUARANTINE_SECONDS,
            )
            changed = self._evidence.restore([entry], now)
        else:
            changed = self._evidence.record_answered([key], now)
            changed |= self._requests.drop([key])
        self._updates.record(changed, "operator")
        await self._updates.flush()
        return quarantine_messages.QuarantineRead(entries=self.entries)

    def restore(self, renewal: site_messages.Renew) -> None:
        """Merges evidence that this leader may lack, as a host has it."""
        changed: frozenset[str] = frozenset()
        # What a host has from this leader may have been disproved since.
        if renewal.quarantine.term != self._term:
            now = clock.now()
            changed = self._evidence.restore(renewal.quarantined, now)
            changed |= self._requests.restore(renewal.listed_requests, now)
        for report in renewal.ends:
            changed |= self._add_end(report)
        self._updates.record(changed, "renewal", is_urgent=True)
        if renewal.answered:
            self.drop_answered(renewal.host.name, renewal.answered)

    def drop_old(self) -> None:
        """Drops evidence that is too old."""
        now = clock.now()
        if now < self._next_drop_at:
            return
        self._next_drop_at = now + _DROP_INTERVAL_SECONDS
        changed = self._evidence.drop_old(now) | self._requests.drop_old(now)
        self._updates.record(changed, "age")

    def _state(self, key: str) -> str:
        if key.startswith(request_index.PREFIX):
            return self._requests.state(key)
        return self._evidence.state(key, clock.now())

    def _current(
        self, keys: Iterable[str]
    ) -> Mapping[str, quarantine_updates.Published | None]:
        """Returns what hosts have to know of some keys, and of all requests."""
        now = clock.now()
        current: dict[str, quarantine_updates.Published | None] = {}
        for key in keys:
            entry = None
            if not key.startswith(request_index.PREFIX):
                entry = self._evidence.entry(key, now)
            current[key] = entry and quarantine_updates.Published(
                entry.is_quarantined, now + entry.seconds
            )
        for key in self._updates.keys:
            if key.startswith(request_index.PREFIX):
                current[key] = None
        for listed in self._requests.listed(now):
            current[listed.key] = quarantine_updates.Published(
                listed.ends >= request_evidence.MAX_ENDS,
                now + listed.left,
                listed.ends,
                listed.proved,
            )
        return current
