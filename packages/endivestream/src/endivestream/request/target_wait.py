"""Waits for a target: for one that is free, its prefill turn, its grant.

What may keep a request from being sent is checked in one order: the lease of
the configuration, the evidence against the request, the targets that it may
use, and time. Right before the first byte `sending` checks the target again.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from endivestream import clock
from endivestream import findings
from endivestream.request import active_requests
from endivestream.request import admission
from endivestream.request import forward_parts
from endivestream.request import progress as progress_lib
from endivestream.request import queue_deadlines
from endivestream.request import refusals
from endivestream.request import relay_hosts as relay_hosts_lib
from endivestream.request import sending
from endivestream.request import target_selection

# Multiple of the route's objective for which a request waits for an engine
# with a free slot; after that it joins the queue of a full engine.
_FREE_SLOT_OBJECTIVES = 0.3
# Failed connections after which a request is sent through a relay host.
MAX_FAILED_CONNECTIONS = 2
# Time for which a relayed request waits while all targets fail; its caller's
# host may know another relay host.
_RELAYED_WAIT_SECONDS = 0.3
# Minimum wait for a target, also for a request whose attempt failed late.
_MIN_TARGET_WAIT_SECONDS = 0.1
# Time for which a request waits while its other attempts may end targets, and
# between two questions whether they still may.
_MAX_GRANT_WAIT_SECONDS = 1.0
_GRANT_RETRY_SECONDS = 0.1


class Unreachable(NamedTuple):
    """This host reaches no target for the request; another one may."""


class TargetWait:
    """Waits for targets, for the lifetime of the process."""

    def __init__(self, *, parts: forward_parts.SharedParts) -> None:
        self._parts = parts
        self._retry_spread = queue_deadlines.RetrySpread()

    async def select(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
    ) -> target_selection.Selected | findings.Failure | Unreachable:
        """Waits for a target and for the prefill turn at it."""
        progress = active.progress
        progress.stage = "place"
        selected = await self._wait(active, work)
        if not isinstance(
            selected, target_selection.Selected
        ) or not await self._wait_for_prefill_turn(work, progress, selected):
            return selected
        now = clock.now()
        # The turn is for this engine. Another one would get the prompt beside
        # those that have turns there.
        has_lease = self._parts.rules.lease_until() >= now
        if has_lease and self._parts.view.is_usable(
            selected.target.registration,
            sending.target_requirements(work, progress),
            now,
        ):
            return selected
        progress.stage = "place"
        return await self._wait(active, work)

    async def _wait(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
    ) -> target_selection.Selected | findings.Failure | Unreachable:
        """Returns a target, waiting for one if it can still be in time."""
        progress = active.progress
        free_slot_deadline = (
            work.arrived_at + work.route.objective * _FREE_SLOT_OBJECTIVES
        )
        wait_deadline = wait_deadline_of(work, progress)
        wait_deadline = min(
            work.deadline,
            max(wait_deadline, clock.now() + _MIN_TARGET_WAIT_SECONDS),
        )
        relay_wait_deadline = clock.now() + _RELAYED_WAIT_SECONDS
        stop_reporting_missing = None
        try:
            while True:
                now = clock.now()
                if self._parts.rules.lease_until() < now:
                    return admission.no_lease()
                failure = self.quarantine_failure(work, progress)
                if failure is not None:
                    return failure
                requirements = sending.target_requirements(
                    work, progress, can_wait=now < free_slot_deadline
                )
                pick = self._parts.view.pick(
                    requirements, now, limit=work.max_running
                )
                if self._should_relay(active, work, pick, now):
                    return Unreachable()
                if isinstance(pick, target_selection.Selected):
                    progress.selected_at = now
                    self._parts.target_assigned(work)
                    return pick
                if (
                    active.relayed is not None
                    and pick.reason == "all_failing"
                    and now >= relay_wait_deadline
                ):
                    return refusals.not_served(work, progress, pick.reason)
                if (
                    now >= wait_deadline
                    or pick.is_lasting
                    or (pick.expected or now) > wait_deadline
                ):
                    expected = pick.expected
                    if expected is not None and pick.reason == "target_backoff":
                        expected = self._retry_spread.spread(expected, now)
                    return refusals.not_served(
                        work, progress, pick.reason, expected
                    )
                if not self._parts.rules.can_finish(work.route.kind):
                    # It could still be waiting when the process ends; its
                    # caller would get a closed connection.
                    return refusals.stop_failure(work, progress)
                if stop_reporting_missing is None and pick.reason in (
                    "no_model",
                    "no_adapter",
                ):
                    stop_reporting_missing = self._parts.report_missing(
                        work, progress.stream.origin
                    )
                await self._parts.wait_for_change(min(wait_deadline - now, 0.1))
        finally:
            if stop_reporting_missing is not None:
                stop_reporting_missing()

    def _should_relay(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
        pick: target_selection.Selected | target_selection.Unavailable,
        now: float,
    ) -> bool:
        """Returns whether a request is sent through another entry host.

        Its targets fail only for this host if they still send reports.
        """
        progress = active.progress
        if active.relayed is not None or now >= work.deadline:
            return False
        match pick:
            case target_selection.Selected():
                is_cut_off = (
                    progress.failed_connections >= MAX_FAILED_CONNECTIONS
                )
            case target_selection.Unavailable(reason=reason):
                is_cut_off = reason == "all_failing" and pick.is_reported
        return is_cut_off and self._parts.relay_hosts.can_serve(
            relay_key(work, progress), now
        )

    async def _wait_for_prefill_turn(
        self,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        picked: target_selection.Selected,
    ) -> bool:
        """Waits for the prefill turn; returns whether it waited."""
        if (
            progress.request_attempts
            or not work.prompt
            or work.service.engine is None
        ):
            return False
        registration = picked.target.registration
        rank = sending.priority(work)
        wait = await self._parts.prefill_delay(
            registration.name, registration.domain, work.prompt, rank
        )
        now = clock.now()
        self._parts.view.set_turn(registration.name, now + wait)
        latest_turn = queue_deadlines.turn_wait_deadline(
            route=work.route,
            arrived_at=work.arrived_at,
            now=now,
            deadline=work.deadline,
        )
        wait = min(wait, latest_turn - now)
        if wait <= 0:
            return False
        progress.turn_seconds = wait
        progress.stage = "turn"
        await asyncio.sleep(wait)
        return True

    def quarantine_failure(
        self, work: admission.AdmittedRequest, progress: progress_lib.Progress
    ) -> findings.Failure | None:
        """Returns the failure for a request that may end its next target."""
        assert progress.keys is not None, "set when the request was admitted"
        until = self._parts.crash_reporter.quarantined_until(progress.keys)
        if until is None:
            return None
        expected = self._retry_spread.spread(until, clock.now())
        return refusals.not_served(work, progress, "quarantined", expected)

    async def acquire_attempt(
        self, work: admission.AdmittedRequest, progress: progress_lib.Progress
    ) -> findings.Failure | None:
        """Returns the failure for a request that may not be sent now.

        Targets have ended under it, and others of its attempts are open.
        """
        assert progress.keys is not None, "set when the request was admitted"
        wait_deadline = min(
            work.deadline, clock.now() + _MAX_GRANT_WAIT_SECONDS
        )
        while not await self._parts.crash_reporter.acquire_attempt(
            progress.keys
        ):
            failure = self.quarantine_failure(work, progress)
            if failure is None and clock.now() >= wait_deadline:
                failure = refusals.not_served(work, progress, "quarantined")
            if failure is not None:
                return failure
            await self._parts.wait_for_change(_GRANT_RETRY_SECONDS)
        return None


def wait_deadline_of(
    work: admission.AdmittedRequest, progress: progress_lib.Progress
) -> float:
    """Returns until when a request waits for a target."""
    return queue_deadlines.target_wait_deadline(
        route=work.route,
        arrived_at=work.arrived_at,
        last_sent_at=progress.last_relayed_at,
        deadline=work.deadline,
    )


def relay_key(
    work: admission.AdmittedRequest, progress: progress_lib.Progress
) -> relay_hosts_lib.Key:
    """Returns what decides which relay hosts can serve a request."""
    software = progress.stream.software or ""
    return work.service.name, work.model, software
