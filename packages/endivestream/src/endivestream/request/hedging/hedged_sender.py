"""Sends a request to a target, and to a second one if the first is slow.

The first whole answer is relayed. The other attempt is cancelled, so that its
connection is closed and its target stops.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import NamedTuple

from endivestream import clock
from endivestream import logs
from endivestream.process import crash_reporter as crash_reporter_lib
from endivestream.request import active_requests
from endivestream.request import admission
from endivestream.request import attempt_results
from endivestream.request import observed_times
from endivestream.request import progress as progress_lib
from endivestream.request import sending
from endivestream.request import target_selection
from endivestream.request.hedging import permits as permits_lib
from endivestream.request.hedging import policy
from endivestream.request.hedging import racing_attempt


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class _Attempt:
    """An attempt with the state that it does not share with the other one."""

    target: str
    progress: progress_lib.Progress
    racing: racing_attempt.RacingAttempt
    task: asyncio.Task[attempt_results.Result]

    @property
    def is_open(self) -> bool:
        """Whether its target has it and none of its answer is relayed."""
        return not (
            self.task.done() or self.racing.ended_at or self.racing.has_claimed
        )

    @property
    def result(self) -> attempt_results.Result | None:
        """Its result; None while it runs or if it was cancelled or failed."""
        if not self.task.done() or self.task.cancelled():
            return None
        return None if self.task.exception() else self.task.result()


class _Hedge(NamedTuple):
    """A second attempt, and what was known when it started.

    Attributes:
        attempt: The second attempt.
        delay: Time after which the first attempt counted as slow.
        left: Hedges of the route that were left on this host.
    """

    attempt: _Attempt
    delay: float
    left: float


class HedgedSender:
    """Sends requests, for the lifetime of the process."""

    def __init__(
        self,
        *,
        sender: sending.Sender,
        view: target_selection.TargetView,
        crash_reporter: crash_reporter_lib.CrashReporter,
        permits: permits_lib.HedgePermits | None,
        waiting: Callable[[str], int],
    ) -> None:
        """Initializes the sender.

        Args:
            sender: Makes the attempts.
            view: This host's view of the targets.
            crash_reporter: Knows the evidence against requests.
            permits: Limits of second attempts; None if none are sent.
            waiting: Returns how many requests of a service wait for a target.
        """
        self._sender = sender
        self._view = view
        self._crash_reporter = crash_reporter
        self._permits = permits
        self._waiting = waiting
        self._times = observed_times.ObservedTimes()
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._denials: collections.Counter[str] = collections.Counter()
        self._wasted_seconds = 0.0

    @property
    def outcomes(self) -> Mapping[str, int]:
        """Number of second attempts that were sent, won, lost or failed."""
        return self._outcomes

    @property
    def denials(self) -> Mapping[str, int]:
        """Number of second attempts that were not sent, by reason."""
        return self._denials

    @property
    def wasted_seconds(self) -> float:
        """Time for which targets ran attempts that were not relayed."""
        return self._wasted_seconds

    async def send(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
        picked: target_selection.Selected,
    ) -> attempt_results.Result:
        """Makes one attempt, or two at once, and records them in `progress`.

        After two attempts the result is that of the relayed one. If none was
        relayed, it is the one that a further attempt has to consider, and the
        other is counted here.
        """
        progress = active.progress
        permits = self._permits
        if permits is None or permits.ratio(work.route) <= 0:
            return await self._sender.send(active.call, work, progress, picked)
        now = clock.now()
        slow_after = self._times.quantile(
            work.service.name,
            work.route.kind,
            policy.SLOW_QUANTILE,
            initial=work.route.objective,
        )
        plan = policy.plan(
            policy.FirstAttempt(
                kind=work.route.kind,
                ratio=permits.ratio(work.route),
                is_relayed=active.relayed is not None,
                has_evidence=self._has_evidence(progress),
                attempts=len(progress.attempted_targets) + 1,
                max_attempts=work.route.max_attempts,
                sent_at=now,
                slow_after=slow_after,
                deadline=work.deadline,
            )
        )
        # Not in the task: another request must not select the target before.
        begun = self._sender.begin(work, progress, picked)
        if isinstance(begun, attempt_results.Withdrawn):
            return begun
        first = self._start(
            progress,
            picked,
            self._sender.finish(active.call, work, progress, begun),
        )
        hedge = None
        try:
            match plan:
                case policy.NoHedge(reason=reason):
                    self._denials[reason] += 1
                    # A task that is cancelled before it runs would not end the
                    # attempt, which then counts as running for ever.
                    await asyncio.sleep(0)
                case policy.SecondAttempt(at=at):
                    await asyncio.wait({first.task}, timeout=at - now)
                    if first.is_open:
                        hedge = await self._start_second(
                            active, work, permits, first, slow_after
                        )
            if hedge is None:
                return await first.task
            return await self._settle(progress, first, hedge.attempt)
        except asyncio.CancelledError:
            first.task.cancel()
            if hedge is not None:
                hedge.attempt.task.cancel()
                if hedge.attempt.racing.has_claimed:
                    _adopt(progress, hedge.attempt.progress)
            raise
        finally:
            await self._end(work, progress, first, hedge)

    def _has_evidence(self, progress: progress_lib.Progress) -> bool:
        assert progress.keys is not None, "set when the request was admitted"
        return self._crash_reporter.has_evidence(progress.keys)

    def _start(
        self,
        progress: progress_lib.Progress,
        picked: target_selection.Selected,
        make_attempt: Coroutine[Any, Any, attempt_results.Result],
    ) -> _Attempt:
        racing = racing_attempt.RacingAttempt(started_at=clock.now())
        progress.racing = racing
        task = asyncio.create_task(make_attempt, name="attempt")
        racing.task = task
        return _Attempt(
            target=picked.target.registration.name,
            progress=progress,
            racing=racing,
            task=task,
        )

    async def _start_second(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
        permits: permits_lib.HedgePermits,
        first: _Attempt,
        slow_after: float,
    ) -> _Hedge | None:
        """Starts the second attempt, if nothing is against it."""
        progress = first.progress
        selected, reason = self._select(work, progress)
        if reason is None:
            permit = await permits.acquire(
                work.route,
                work.service.name,
                seconds=work.deadline - clock.now(),
            )
            if isinstance(permit, policy.Reason):
                reason = permit
            else:
                # The answer of the leader may have taken a while.
                selected, reason = self._select(work, progress)
                if not first.is_open:
                    reason = policy.Reason.ANSWERED
                if reason is not None:
                    permit.release()
        if reason is not None:
            self._denials[reason] += 1
            logs.event("hedge_denied", request=work.request, reason=str(reason))
            return None
        assert selected is not None
        assert isinstance(permit, permits_lib.Permit)
        deadline = clock.loop_time(work.deadline)
        second_progress = progress_lib.Progress(
            attempted_targets=[*progress.attempted_targets, progress.target],
            selected_at=clock.now(),
            keys=progress.keys,
            task=progress.task,
        )
        # In the task, because the first attempt may cancel it before it begins.
        second = self._start(
            second_progress,
            selected,
            self._sender.send(active.call, work, second_progress, selected),
        )
        second.task.add_done_callback(lambda task: permit.release())
        progress.second = second_progress
        first.racing.other, second.racing.other = second.racing, first.racing
        first.racing.extend(deadline)
        second.racing.extend(deadline)
        self._outcomes["sent"] += 1
        return _Hedge(second, slow_after, permit.left)

    def _select(
        self, work: admission.AdmittedRequest, progress: progress_lib.Progress
    ) -> tuple[target_selection.Selected | None, policy.Reason | None]:
        """Returns the second target, or why there is no second attempt."""
        now = clock.now()
        requirements = sending.target_requirements(work, progress)
        picked = self._view.pick(
            requirements._replace(
                tried=(*requirements.tried, progress.target),
                # The session's next requests go where its answer comes from.
                session="",
            ),
            now,
            limit=work.max_running,
        )
        other = None
        if isinstance(picked, target_selection.Selected):
            registration = picked.target.registration
            other = policy.OtherTarget(
                load=self._view.load(registration.name),
                is_rate_limited=self._view.is_rate_limited(registration, now),
            )
        reason = policy.obstacle(
            policy.Moment(
                now=now,
                deadline=work.deadline,
                has_evidence=self._has_evidence(progress),
                waiting=self._waiting(work.service.name),
                first_load=self._view.load(progress.target),
                other=other,
            )
        )
        if reason is not None or not isinstance(
            picked, target_selection.Selected
        ):
            return None, reason
        return picked, None

    async def _settle(
        self,
        progress: progress_lib.Progress,
        first: _Attempt,
        second: _Attempt,
    ) -> attempt_results.Result:
        """Waits for the first whole answer, or for both to fail."""
        both = (first, second)
        pending = {each.task for each in both if not each.task.done()}
        while pending and not any(
            each.racing.has_claimed and each.task.done() for each in both
        ):
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        for each in both:
            if each.racing.has_claimed:
                if each is second:
                    _adopt(progress, second.progress)
                # Raises an error if the caller has disconnected.
                return await each.task
        results = {each: await each.task for each in both}
        main, other = sorted(both, key=lambda each: _rank(results[each]))
        if main is second:
            _adopt(progress, second.progress)
        match results[other]:
            case attempt_results.BrokenAttempt(bytes_sent=True):
                progress.attempted_targets.append(other.target)
            case attempt_results.BrokenAttempt():
                progress.refusals += 1
                progress.failed_connections += 1
            case attempt_results.Refused(missing_model=missing):
                progress.refusals += 1
                if missing:
                    self._view.record_denied(other.target, missing)
        return results[main]

    async def _end(
        self,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        first: _Attempt,
        hedge: _Hedge | None,
    ) -> None:
        """Ends what still runs, and records both attempts."""
        both = [first] if hedge is None else [first, hedge.attempt]
        for each in both:
            # Where the target is done with an attempt, it may still be examined
            # whether its process has ended.
            if not each.task.done() and not each.racing.ended_at:
                each.task.cancel()
        try:
            await asyncio.wait([each.task for each in both])
        finally:
            # Also if the request is cancelled meanwhile.
            progress.racing = progress.second = None
            if hedge is not None:
                _include(progress, hedge.attempt)
        is_cancelled = first.task.cancelled() and (
            hedge is None or not hedge.attempt.racing.has_claimed
        )
        if not is_cancelled:
            self._record_first_byte(work, first)
        if hedge is not None:
            self._record_hedge(work, first, hedge)
        for each in both:
            error = None if each.task.cancelled() else each.task.exception()
            if error is not None and not each.racing.has_claimed:
                logs.log_error("attempt_failed", error, target=each.target)

    def _record_first_byte(
        self, work: admission.AdmittedRequest, first: _Attempt
    ) -> None:
        """Records the time of a first attempt until its answer began.

        An attempt that was given up counts with the time that it had run.
        Otherwise all slow attempts would be missing, and the quantile would
        sink with each hedge. Second attempts do not count: the slow ones of
        them are cancelled early.
        """
        racing = first.racing
        end = racing.first_byte_at
        if not end and (
            first.task.cancelled()
            or (
                isinstance(first.result, attempt_results.BrokenAttempt)
                and first.result.reason == "timeout"
            )
        ):
            end = racing.ended_at
        if end:
            self._times.record(
                work.service.name, work.route.kind, end - racing.started_at
            )

    def _record_hedge(
        self,
        work: admission.AdmittedRequest,
        first: _Attempt,
        hedge: _Hedge,
    ) -> None:
        second = hedge.attempt
        now = clock.now()
        winner = next(
            (each for each in (first, second) if each.racing.has_claimed), None
        )
        loser = first if winner is second else second
        loser_end = loser.racing.ended_at or now
        wasted = max(0.0, loser_end - loser.racing.started_at)
        if winner is second:
            outcome = "won"
            given_up_at = first.racing.started_at + (
                sending.FAILOVER_OBJECTIVES * work.route.objective
            )
            gained = max(0.0, given_up_at - second.racing.ended_at)
        else:
            outcome = "lost" if winner is first else "failed"
            gained = -wasted
        self._outcomes[outcome] += 1
        self._wasted_seconds += wasted
        logs.event(
            "hedge",
            request=work.request,
            route=work.route.name,
            delay_ms=hedge.delay * 1e3,
            quantile=policy.SLOW_QUANTILE,
            left=hedge.left,
            first=first.target,
            second=second.target,
            winner=winner.target if winner is not None else "",
            outcome=outcome,
            gained_ms=gained * 1e3,
            wasted_ms=wasted * 1e3,
        )


def _adopt(
    progress: progress_lib.Progress, second: progress_lib.Progress
) -> None:
    """Makes the second attempt the current one of a request."""
    progress.target = second.target
    progress.attempt = second.attempt
    progress.starting = second.starting
    progress.selected_at = second.selected_at
    progress.first_byte_at = second.first_byte_at
    progress.last_relayed_at = second.last_relayed_at
    progress.status = second.status
    progress.stream = second.stream
    progress.timeout = second.timeout
    # The one that is not used is closed with the second attempt.
    progress.buffer, second.buffer = second.buffer, progress.buffer


def _include(progress: progress_lib.Progress, attempt: _Attempt) -> None:
    """Adds what a second attempt sent, and releases what it still holds."""
    second = attempt.progress
    progress.sent_attempts += second.sent_attempts
    progress.request_attempts += second.request_attempts
    # One that has not ended yet may have been sent.
    progress.may_have_run |= second.may_have_run or not attempt.task.done()
    progress.first_sent_at = progress.first_sent_at or second.first_sent_at
    if second.buffer is not None:
        second.buffer.close()
        second.buffer = None


def _rank(result: attempt_results.Result) -> int:
    """Returns the order in which a result decides what follows.

    What has run counts more than what has not, and a complete answer of the
    target, which can be relayed, counts most.
    """
    match result:
        case attempt_results.BrokenAttempt(bytes_sent=True, answer=answer):
            return 1 if answer is None else 0
        case attempt_results.Refused():
            return 2
        case attempt_results.BrokenAttempt():
            return 3
    return 4
