"""Dispatcher of the leader: owns the target table and the scheduler."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Collection
import contextlib
import time

from endivestream import logs
from endivestream import messages
from endivestream import tasks
from endivestream.connection import targets as targets_lib
from endivestream.request import scheduler as scheduler_lib
from endivestream.version import replicate
from endivestream.version import rules as rules_lib

# Interval between checks for silent targets and expired deadlines.
_CHECK_INTERVAL_SECONDS = 0.25
# A silent target is removed, and its name disappears from views, after this.
_TARGET_EXPIRY_SECONDS = 600.0
# Completed requests that are remembered, to refuse ticket requests that arrive
# after the completion; at 1,000 requests a second those of the last 10 s.
_MAX_COMPLETED_REQUESTS = 10_000


class Dispatcher:
    """Assigns slots on targets to requests and processes targets' reports.

    Attributes:
        targets: The target table.
    """

    def __init__(
        self, *, silence_seconds: float, settle_seconds: float
    ) -> None:
        self.targets = targets_lib.Targets(silence_seconds=silence_seconds)
        self._scheduler = scheduler_lib.Scheduler()
        self._teams: dict[str, rules_lib.Team] = {}
        self._waiting_requests: dict[
            str, asyncio.Future[scheduler_lib.Grant | None]
        ] = {}
        self._completed_requests: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._requests_by_host: dict[str, set[str]] = {}
        self._host_by_request: dict[str, str] = {}
        self._tables_filled_at = time.monotonic() + settle_seconds
        self._target_added = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts checking for silent targets and expired deadlines."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops; waiting requests must be repeated with the next leader."""
        await tasks.cancel([self._task])
        for future in self._waiting_requests.values():
            if not future.done():
                future.set_exception(replicate.NotLeaderError(""))

    def set_teams(self, teams: dict[str, rules_lib.Team]) -> None:
        """Sets the teams of the rules, whose weights the scheduler uses."""
        self._teams = dict(teams)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            now = time.monotonic()
            for name in self.targets.forget(now, _TARGET_EXPIRY_SECONDS):
                logs.event("target_expired", target=name)
            names = {*self.targets.sessions, *self._scheduler.targets}
            self._update_targets(names, now)
            self._expire_requests(now)
            self._grant_ready(now)

    def _update_targets(self, names: Collection[str], now: float) -> None:
        """Updates the scheduler's state of some targets.

        Each message updates only the targets that it concerns: updating all 650
        with each of 80 messages a second took a third of a core.
        """
        for name in names:
            session = self.targets.sessions.get(name)
            is_known = name in self._scheduler.targets
            if session is not None and self.targets.is_live(session, now):
                self._scheduler.upsert_target(_scheduler_target(session))
                if not is_known:
                    logs.event("target_live", target=name)
                    self._target_added.set()
            elif is_known:
                self._scheduler.remove_target(name)
                logs.warn("target_unavailable", target=name)

    def _expire_requests(self, now: float) -> None:
        for expired in self._scheduler.expire(now):
            self._set_answer(expired.request, None)

    def _grant_ready(self, now: float) -> None:
        for grant in self._scheduler.grant_free_slots(now):
            if not self._set_answer(grant.request, grant):
                self._scheduler.release(grant.request, tokens=0)

    def _set_answer(
        self, request: str, grant: scheduler_lib.Grant | None
    ) -> bool:
        future = self._waiting_requests.get(request)
        if future is None or future.done():
            return False
        future.set_result(grant)
        return True

    def announce(self, info: messages.TargetInfo) -> str:
        """Handles a target's announcement.

        Returns:
            The reason for a refusal, or empty.
        """
        now = time.monotonic()
        previous = self.targets.sessions.get(info.name)
        refusal = self.targets.announce(info, now)
        if not refusal:
            if previous and previous.info.incarnation != info.incarnation:
                self._scheduler.clear_history(info.name)
            self._update_targets([info.name], now)
            self._grant_ready(now)
        return refusal

    def report(self, reports: list[messages.TargetReport]) -> list[str]:
        """Handles targets' reports.

        Returns:
            Names of targets that must announce themselves first.
        """
        now = time.monotonic()
        unknown = [
            report.name
            for report in reports
            if not self.targets.report(report, now)
        ]
        self._update_targets([report.name for report in reports], now)
        self._grant_ready(now)
        return unknown

    def drain(self, name: str, draining: bool) -> bool:
        """Starts or stops draining a target; returns False if unknown."""
        now = time.monotonic()
        is_known = self.targets.set_operator_drain(name, draining)
        self._update_targets([name], now)
        self._grant_ready(now)
        return is_known

    async def request_ticket(
        self, message: messages.AskTicket
    ) -> messages.Ticket | messages.Refused:
        """Assigns a slot, after waiting for one within the patience."""
        await self._wait_for_target(message)
        if message.request in self._completed_requests:
            # A late message of a completed request: its slot would never be
            # released, and the target would permanently have one slot less.
            return _timeout_refusal(message)
        now = time.monotonic()
        team = self._teams.get(message.team)
        slot_request = scheduler_lib.SlotRequest(
            message.request,
            message.team,
            team.weight if team else 1,
            message.needs,
            message.tokens,
            now + message.max_wait_seconds,
            self._avoided(message),
            message.blocks,
        )
        answer = self._scheduler.request_slot(slot_request, now=now)
        if isinstance(answer, scheduler_lib.NoTarget):
            return _no_target_refusal(message.needs)
        if isinstance(answer, scheduler_lib.AllBackOff):
            return messages.Refused(
                reason="target_backoff",
                detail=f"all targets of {message.needs!r} accept no requests "
                f"for {answer.seconds:.1f} s",
                retry_after=answer.seconds,
            )
        if isinstance(answer, scheduler_lib.Queued):
            grant = await self._wait_for_grant(message)
            if grant is None:
                if not self._scheduler.serves(
                    slot_request.needs, slot_request.avoid
                ):
                    return _no_target_refusal(message.needs)
                return _timeout_refusal(message)
        else:
            grant = answer
        return self._create_ticket(message, grant)

    def _avoided(self, message: messages.AskTicket) -> frozenset[str]:
        """Returns the targets that a request must not use."""
        avoided = set(message.avoid)
        if message.software is not None:
            avoided.update(
                name
                for name, session in self.targets.sessions.items()
                if session.info.software != message.software
            )
        return frozenset(avoided)

    async def _wait_for_target(self, message: messages.AskTicket) -> None:
        """Waits in a new leader for reports of gateways about their targets.

        Refusing immediately would reject callers although targets are live; the
        home gateways report them within a tenth of a second.
        """
        deadline = min(
            self._tables_filled_at, time.monotonic() + message.max_wait_seconds
        )
        avoid = self._avoided(message)
        while not self._scheduler.serves(message.needs, avoid):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return
            self._target_added.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self._target_added.wait()

    async def _wait_for_grant(
        self, message: messages.AskTicket
    ) -> scheduler_lib.Grant | None:
        # A repeated ticket request waits for the same slot as the first one.
        future = self._waiting_requests.get(message.request)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._waiting_requests[message.request] = future
        try:
            async with asyncio.timeout(message.max_wait_seconds):
                return await asyncio.shield(future)
        except TimeoutError:
            return None
        finally:
            self._waiting_requests.pop(message.request, None)
            if not future.done():
                self._scheduler.release(message.request, tokens=0)

    def _create_ticket(
        self, message: messages.AskTicket, grant: scheduler_lib.Grant
    ) -> messages.Ticket:
        info = self.targets.sessions[grant.target].info
        self._requests_by_host.setdefault(message.host, set()).add(
            message.request
        )
        self._host_by_request[message.request] = message.host
        logs.event(
            "route",
            request=message.request,
            team=message.team,
            needs=message.needs,
            target=grant.target,
            reason=grant.reason,
            waited_ms=grant.waited * 1000,
            queue=self._scheduler.waiting,
        )
        return messages.Ticket(
            target=grant.target,
            url=info.url,
            resumes=info.resumes,
            waited=grant.waited,
            reason=grant.reason,
            software=info.software,
        )

    def complete_request(self, completion: messages.Completion) -> None:
        """Releases the slot of a completed request. Idempotent."""
        now = time.monotonic()
        self._completed_requests[completion.request] = None
        while len(self._completed_requests) > _MAX_COMPLETED_REQUESTS:
            self._completed_requests.popitem(last=False)
        host = self._host_by_request.pop(completion.request, None)
        if host is not None:
            self._requests_by_host[host].discard(completion.request)
        if completion.failed or completion.answered:
            ejected_target = self._scheduler.record_outcome(
                completion.request, failed=completion.failed, now=now
            )
            if ejected_target:
                logs.warn("target_ejected", target=ejected_target)
        if completion.backoff_seconds > 0:
            logs.event(
                "target_backoff",
                request=completion.request,
                target=self._scheduler.record_backoff(
                    completion.request,
                    seconds=completion.backoff_seconds,
                    now=now,
                ),
                seconds=completion.backoff_seconds,
            )
        self._scheduler.release(completion.request, tokens=completion.used)
        self._grant_ready(now)

    def release_host(self, host: str) -> int:
        """Releases all slots of an expired host; returns their number."""
        requests = self._requests_by_host.pop(host, set())
        for request in requests:
            del self._host_by_request[request]
            self._scheduler.release(request)
        self._grant_ready(time.monotonic())
        return len(requests)


def _scheduler_target(session: targets_lib.Session) -> scheduler_lib.Target:
    info, report = session.info, session.report
    serves = {f"service:{name}" for name in info.services} | session.loaded
    backlog = report.queued_tokens if report is not None else 0
    return scheduler_lib.Target(
        info.name, frozenset(serves), info.slots, backlog
    )


def _no_target_refusal(needs: str) -> messages.Refused:
    return messages.Refused(
        reason="no_target",
        detail=f"no live target serves {needs!r} at the moment",
        retry_after=1.0,
    )


def _timeout_refusal(message: messages.AskTicket) -> messages.Refused:
    return messages.Refused(
        reason="overloaded",
        detail=f"no free slot for {message.needs!r} within "
        f"{message.max_wait_seconds:.1f} s",
        retry_after=1.0,
    )
