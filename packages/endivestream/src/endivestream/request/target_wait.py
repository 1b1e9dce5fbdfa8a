"""Waits of a request for a target and for its turn there.

A request waits for as long as it can still be answered: for a target with its
model, for a free slot, then for the turn at the target. What surely cannot be
served in time is refused immediately, with the time at which it could be.
"""

from __future__ import annotations

import asyncio

from endivestream import clock
from endivestream import findings
from endivestream.request import admission
from endivestream.request import forward_parts
from endivestream.request import queue_deadlines
from endivestream.request import sending
from endivestream.request import target_selection

# Multiple of the route's objective for which a request waits for an engine
# with a free slot; after that it joins the queue of a full engine.
_FREE_SLOT_OBJECTIVES = 0.3
# Minimum wait for a target, also for a request whose attempt failed late.
_MIN_TARGET_WAIT_SECONDS = 0.1
# Multiple of the route's objective for which a whole request waits for its turn
# at a target before the other targets have been asked.
_FIRST_TURN_OBJECTIVES = 0.25


class TargetWaiter:
    """Finds targets for requests, for the lifetime of the process."""

    def __init__(self, *, parts: forward_parts.SharedParts) -> None:
        self._parts = parts

    async def select(
        self, work: admission.AdmittedRequest, progress: sending.Progress
    ) -> target_selection.Selected | findings.Failure:
        """Waits for a target and for the turn at it."""
        progress.stage = "place"
        if work.service.engine is None:
            selected = await self._select_with_slot_turn(work, progress)
        else:
            selected = await self._select_with_prefill_turn(work, progress)
        if isinstance(selected, findings.Failure) or progress.stage == "place":
            return selected
        now = clock.now()
        # The turn is for this target. Another one would get the request beside
        # those that have turns there.
        has_lease = self._parts.rules.lease_until() >= now
        if has_lease and self._parts.view.is_usable(
            selected.target.registration,
            sending.target_requirements(work, progress),
            now,
        ):
            return selected
        progress.stage = "place"
        return await self._wait_for_target(work, progress)

    def wait_deadline(
        self, work: admission.AdmittedRequest, progress: sending.Progress
    ) -> float:
        """Returns the time until which a request waits for a target."""
        return queue_deadlines.target_wait_deadline(
            route=work.route,
            arrived_at=work.arrived_at,
            last_sent_at=progress.last_relayed_at,
            deadline=work.deadline,
        )

    async def _wait_for_target(
        self, work: admission.AdmittedRequest, progress: sending.Progress
    ) -> target_selection.Selected | findings.Failure:
        """Returns a target, waiting for one if it can still be in time."""
        free_slot_deadline = (
            work.arrived_at + work.route.objective * _FREE_SLOT_OBJECTIVES
        )
        wait_deadline = self.wait_deadline(work, progress)
        wait_deadline = min(
            work.deadline,
            max(wait_deadline, clock.now() + _MIN_TARGET_WAIT_SECONDS),
        )
        stop_reporting_missing = None
        try:
            while True:
                now = clock.now()
                if self._parts.rules.lease_until() < now:
                    return admission.no_lease()
                requirements = sending.target_requirements(
                    work, progress, can_wait=now < free_slot_deadline
                )
                pick = self._parts.view.pick(
                    requirements, now, limit=work.max_running
                )
                if isinstance(pick, target_selection.Selected):
                    self._parts.target_assigned(work)
                    return pick
                if (
                    now >= wait_deadline
                    or pick.is_lasting
                    or (pick.expected or now) > wait_deadline
                ):
                    return not_served(
                        work, progress, pick.reason, pick.expected
                    )
                if not self._parts.rules.can_finish(work.route.kind):
                    # It could still be waiting when the process ends; its
                    # caller would get a closed connection.
                    return stop_failure(work, progress)
                if stop_reporting_missing is None and pick.reason in (
                    "no_model",
                    "no_adapter",
                ):
                    stop_reporting_missing = self._parts.report_missing(work)
                await self._parts.wait_for_change(min(wait_deadline - now, 0.1))
        finally:
            if stop_reporting_missing is not None:
                stop_reporting_missing()

    async def _select_with_prefill_turn(
        self, work: admission.AdmittedRequest, progress: sending.Progress
    ) -> target_selection.Selected | findings.Failure:
        """Waits for an engine, and for its turn if the prompt is long."""
        selected = await self._wait_for_target(work, progress)
        if (
            isinstance(selected, findings.Failure)
            or progress.request_attempts
            or not work.prompt
        ):
            return selected
        registration = selected.target.registration
        wait = await self._parts.prefill_delay(
            registration.name,
            registration.domain,
            work.prompt,
            sending.priority(work),
        )
        now = clock.now()
        self._parts.view.set_turn(registration.name, now + wait)
        latest_turn = queue_deadlines.turn_wait_deadline(
            route=work.route,
            arrived_at=work.arrived_at,
            now=now,
            deadline=work.deadline,
        )
        await _wait_for_turn(progress, min(wait, latest_turn - now))
        return selected

    async def _select_with_slot_turn(
        self, work: admission.AdmittedRequest, progress: sending.Progress
    ) -> target_selection.Selected | findings.Failure:
        """Waits for a target of whole requests and for the turn at it.

        The answer of a turn owner changes which target has the least load. A
        request whose turn comes too late at all targets that are picked is
        refused immediately.
        """
        first_wait = _FIRST_TURN_OBJECTIVES * work.route.objective
        asked: set[str] = set()
        while True:
            selected = await self._wait_for_target(work, progress)
            if isinstance(selected, findings.Failure):
                return selected
            registration = selected.target.registration
            is_last = registration.name in asked
            asked.add(registration.name)
            max_wait = self.wait_deadline(work, progress) - clock.now()
            max_wait = max(_MIN_TARGET_WAIT_SECONDS, max_wait)
            if not is_last:
                max_wait = min(max_wait, first_wait)
            wait = await self._parts.slot_delay(
                registration.name,
                registration.domain,
                registration.slots,
                sending.priority(work),
                max_wait,
            )
            now = clock.now()
            self._parts.view.set_turn(registration.name, now + wait)
            if wait <= max_wait:
                await _wait_for_turn(progress, wait)
                return selected
            if is_last:
                return not_served(work, progress, "full", now + wait)


async def _wait_for_turn(progress: sending.Progress, seconds: float) -> None:
    if seconds > 0:
        progress.turn_seconds = seconds
        progress.stage = "turn"
        await asyncio.sleep(seconds)


def stop_failure(
    work: admission.AdmittedRequest, progress: sending.Progress
) -> findings.Failure:
    """Returns the failure for a request that waits on a stopping host."""
    if progress.may_have_run:
        return not_served(work, progress, "stopping")
    return admission.stopping()


def not_served(
    work: admission.AdmittedRequest,
    progress: sending.Progress,
    reason: str,
    expected: float | None = None,
) -> findings.Failure:
    """Returns the failure for a request that was not served.

    Args:
        work: The request.
        progress: State of its attempts.
        reason: For the caller and the log.
        expected: When it could be served, if known.
    """
    now = clock.now()
    is_past_deadline = now >= work.deadline
    if not progress.may_have_run:
        retry_after = queue_deadlines.retry_after_seconds(
            expected=expected,
            now=now,
            usual=admission.DEFAULT_RETRY_SECONDS,
        )
        return findings.not_run(
            reason,
            f"no target accepted the request: {reason}",
            status=503,
            retry_after=None if is_past_deadline else retry_after,
        )
    return findings.Failure(
        outcome=findings.RunState.UNKNOWN,
        reason=reason,
        detail=f"the request may have run: {reason}",
        status=504 if is_past_deadline else 502,
    )
