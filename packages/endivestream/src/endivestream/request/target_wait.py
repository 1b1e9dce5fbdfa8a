"""Waits for a target: for one that is free, its prefill turn, its grant.

What may keep a request from being sent is checked in one order: the lease of
the configuration, the evidence against the request, the targets that it may
use, and time. Right before the first byte `sending` checks the target again.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Collection
from collections.abc import Mapping
import functools
from typing import NamedTuple

from endivestream import clock
from endivestream import findings
from endivestream import logs
from endivestream.request import active_requests
from endivestream.request import admission
from endivestream.request import forward_parts
from endivestream.request import progress as progress_lib
from endivestream.request import queue_deadlines
from endivestream.request import refusals
from endivestream.request import relay_hosts as relay_hosts_lib
from endivestream.request import sending
from endivestream.request import target_selection
from endivestream.request.buffering import target_memory
from endivestream.request.waiting import slot_answers

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
# Share of its objective after which a request asks the next copy of its model
# instead of waiting for a slot of this one.
_NEXT_COPY_OBJECTIVES = 0.3
# Copies of a model that are asked before the request waits at the best one.
_MAX_COPIES_ASKED = 3
# Time between two checks for a slot that this host may use without an answer.
_ASSUMED_SLOT_CHECK_SECONDS = 0.1
# Time after which a request that has no share asks for a slot again: an owner
# may answer by then.
_ASK_AGAIN_SECONDS = 1.0
# Longest time for which a slot is granted, to requests without a deadline.
_MAX_SLOT_SECONDS = 120.0


class Unreachable(NamedTuple):
    """This host reaches no target for the request; another one may."""


class _FullCopy(NamedTuple):
    """An engine that has no slot for the request in time.

    Attributes:
        selected: The engine.
        expected_at: When it expects to have one.
        was_patient: Whether the request would have waited there as long as it
            can.
    """

    selected: target_selection.Selected
    expected_at: float
    was_patient: bool


class TargetWait:
    """Waits for targets, for the lifetime of the process."""

    def __init__(self, *, parts: forward_parts.SharedParts) -> None:
        self._parts = parts
        self._retry_spread = queue_deadlines.RetrySpread()
        # Per engine, requests of this host that hold a slot. The view counts
        # them only once they are sent.
        self._held: collections.Counter[str] = collections.Counter()

    async def select(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
    ) -> target_selection.Selected | findings.Failure | Unreachable:
        """Waits for a target and for the prefill turn at it."""
        progress = active.progress
        progress.stage = "place"
        engine = work.service.engine
        if (
            self._parts.slots is not None
            and engine is not None
            and engine.is_slot_bound
            and work.model
        ):
            return await self._wait_for_slot(
                self._parts.slots, active, work, engine.slots
            )
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

    def end(self, progress: progress_lib.Progress) -> None:
        """Records that a request waits for no target any more."""
        self.release_slot(progress)
        if self._parts.target_memory is not None:
            self._parts.target_memory.waits.record_wait_end(progress.keys)

    def release_slot(self, progress: progress_lib.Progress) -> None:
        """Releases the slot that a request holds, if it holds one."""
        slot, progress.slot = progress.slot, None
        if slot is None:
            return
        self._held[slot.target] -= 1
        if not self._held[slot.target]:
            del self._held[slot.target]
        if slot.request and self._parts.slots is not None:
            self._parts.slots.end_slot(slot)

    def _hold(
        self, progress: progress_lib.Progress, slot: slot_answers.Slot
    ) -> None:
        progress.slot = slot
        self._held[slot.target] += 1

    async def _wait_for_slot(
        self,
        slots: forward_parts.SlotSource,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
        slot_count: int,
    ) -> target_selection.Selected | findings.Failure | Unreachable:
        """Waits in the queues of the engines that have the model.

        A copy that has no slot soon is left for the next one. If none has, the
        request waits at the one that expects a slot first.
        """
        progress = active.progress
        full: dict[str, _FullCopy] = {}
        while True:
            progress.stage = "place"
            selected = await self._next_copy(active, work, full)
            if not isinstance(selected, target_selection.Selected):
                return selected
            name = selected.target.registration.name
            self._record_selected(progress, name)
            asked = full.keys() | {name}
            is_patient = len(asked) >= _MAX_COPIES_ASKED or isinstance(
                self._pick_copy(work, progress, asked),
                target_selection.Unavailable,
            )
            answer = await slots.request_slot(
                self._slot_question(
                    work, progress, selected, slot_count, is_patient=is_patient
                ),
                is_wanted=functools.partial(
                    self._is_usable, work, progress, selected
                ),
            )
            match answer:
                case slot_answers.Full(retry_seconds=retry_seconds):
                    expected_at = clock.now() + retry_seconds
                    full[name] = _FullCopy(selected, expected_at, is_patient)
                case slot_answers.Unanswered():
                    assumed = await self._wait_without_queue(
                        slots, active, work, slot_count
                    )
                    if assumed is not None:
                        return assumed
                    full.clear()
                case slot_answers.Unwanted():
                    full.clear()
                case slot_answers.Granted(slot=slot, seconds=seconds):
                    self._hold(progress, slot)
                    await self._sleep_until_turn(
                        work, progress, selected, seconds
                    )
                    if self._is_usable(work, progress, selected):
                        return selected
                    self.release_slot(progress)
                    full.clear()

    async def _next_copy(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
        full: Mapping[str, _FullCopy],
    ) -> target_selection.Selected | findings.Failure | Unreachable:
        """Returns the engine that is asked next, or why there is none.

        Args:
            active: The request.
            work: What was admitted.
            full: The engines that have refused it, by name.
        """
        progress = active.progress
        if not full:
            return await self._wait(active, work, is_queued=True)
        failure = self.quarantine_failure(work, progress)
        if failure is not None:
            return failure
        if len(full) < _MAX_COPIES_ASKED:
            selected = self._pick_copy(work, progress, full)
            if isinstance(selected, target_selection.Selected):
                return selected
        if not self._parts.rules.can_finish(work.route):
            return refusals.stop_failure(work, progress)
        left = [copy for copy in full.values() if not copy.was_patient]
        best = min(left, key=lambda copy: copy.expected_at, default=None)
        if best is not None and best.expected_at <= wait_deadline_of(
            work, progress
        ):
            return best.selected
        return refusals.not_served(
            work,
            progress,
            "full",
            min(copy.expected_at for copy in full.values()),
        )

    def _pick_copy(
        self,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        excluded: Collection[str],
    ) -> target_selection.Selected | target_selection.Unavailable:
        """Selects an engine, other than those that were asked."""
        requirements = sending.target_requirements(
            work, progress, is_queued=True
        )
        return self._parts.view.pick(
            requirements._replace(tried=(*requirements.tried, *excluded)),
            clock.now(),
            limit=work.max_running,
        )

    def _slot_question(
        self,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        selected: target_selection.Selected,
        slot_count: int,
        *,
        is_patient: bool,
    ) -> slot_answers.SlotQuestion:
        """Returns what the owner of an engine's queue is asked.

        Args:
            work: The request.
            progress: State of its attempts.
            selected: The engine.
            slot_count: Number of slots of the service's engines.
            is_patient: Whether it waits there as long as it can; else it goes
                on to the next copy.
        """
        now = clock.now()
        assert progress.keys is not None, "set when the request was admitted"
        registration = selected.target.registration
        latest = wait_deadline_of(work, progress)
        if not is_patient:
            latest = work.arrived_at + (
                _NEXT_COPY_OBJECTIVES * work.route.objective
            )
        if not self._parts.rules.can_finish(work.route):
            latest = now
        # Without patience no owner is asked, and the request would be treated
        # as if the owners were unreachable.
        latest = max(latest, now + _MIN_TARGET_WAIT_SECONDS)
        timely = queue_deadlines.timely_turn_deadline(
            route=work.route, arrived_at=work.arrived_at
        )
        return slot_answers.SlotQuestion(
            target=registration.name,
            domain=registration.domain,
            # The prompt of a later attempt takes no turn, as it is overdue.
            tokens=0.0 if progress.request_attempts else work.prompt,
            rank=sending.priority(work),
            slots=min(registration.slots or slot_count, slot_count),
            objective_seconds=timely - now,
            patience_seconds=max(0.0, min(latest, work.deadline) - now),
            deadline_seconds=min(work.deadline - now, _MAX_SLOT_SECONDS),
            caller=progress.keys.content_key,
            gap_seconds=work.route.max_event_gap,
            has_other_copy=not is_patient,
        )

    def _is_usable(
        self,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        selected: target_selection.Selected,
    ) -> bool:
        """Returns whether a request may be sent to an engine now."""
        now = clock.now()
        return self._parts.rules.lease_until() >= now and (
            self._parts.view.is_usable(
                selected.target.registration,
                sending.target_requirements(work, progress),
                now,
            )
        )

    async def _sleep_until_turn(
        self,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        selected: target_selection.Selected,
        wait: float,
    ) -> None:
        """Waits for the prefill turn that came with a slot."""
        now = clock.now()
        progress.selected_at = now
        if progress.request_attempts or not work.prompt:
            return
        self._parts.view.set_turn(selected.target.registration.name, now + wait)
        latest_turn = queue_deadlines.turn_wait_deadline(
            route=work.route,
            arrived_at=work.arrived_at,
            now=now,
            deadline=work.deadline,
        )
        wait = min(wait, latest_turn - now)
        if wait > 0:
            progress.turn_seconds = wait
            progress.stage = "turn"
            await asyncio.sleep(wait)

    async def _wait_without_queue(
        self,
        slots: forward_parts.SlotSource,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
        slot_count: int,
    ) -> target_selection.Selected | findings.Failure | Unreachable | None:
        """Waits for an engine by this host's view, within the host's share.

        Returns:
            The engine, or why there is none; None if the owner of the queue is
            to be asked again.
        """
        progress = active.progress
        ask_again_at = clock.now() + _ASK_AGAIN_SECONDS
        view = self._parts.view
        logs.event("slot_unanswered", request=work.request)
        while True:
            selected = await self._wait(active, work)
            if not isinstance(selected, target_selection.Selected):
                return selected
            registration = selected.target.registration
            name = registration.name
            if slots.may_assume_slot(
                name,
                min(registration.slots or slot_count, slot_count),
                max(view.running(name), self._held[name]),
            ):
                # No owner has granted it, so it has no id.
                self._hold(progress, slot_answers.Slot(name, "", ""))
                return selected
            if not self._parts.rules.can_finish(work.route):
                return refusals.stop_failure(work, progress)
            left = wait_deadline_of(work, progress) - clock.now()
            if left <= 0:
                return refusals.not_served(work, progress, "full")
            if clock.now() >= ask_again_at:
                return None
            await self._parts.wait_for_change(
                min(left, _ASSUMED_SLOT_CHECK_SECONDS)
            )

    async def _wait(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
        *,
        is_queued: bool = False,
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
        is_delayed = False
        try:
            while True:
                now = clock.now()
                if self._parts.rules.lease_until() < now:
                    return admission.no_lease()
                failure = self.quarantine_failure(work, progress)
                if failure is not None:
                    return failure
                requirements = sending.target_requirements(
                    work,
                    progress,
                    can_wait=now < free_slot_deadline,
                    is_queued=is_queued,
                )
                pick = self._parts.view.pick(
                    requirements, now, limit=work.max_running
                )
                if self._should_relay(active, work, pick, now):
                    return Unreachable()
                if isinstance(pick, target_selection.Selected):
                    progress.selected_at = now
                    self._parts.target_assigned(work)
                    self._record_selected(
                        progress, pick.target.registration.name
                    )
                    return pick
                if pick.reason == target_memory.REASON and not is_delayed:
                    is_delayed = True
                    self._record_delayed(work)
                # Room stays kept while the target has no slot: others would
                # take the memory together with the next slot.
                if pick.reason != "full":
                    self._keep_memory(
                        work, requirements, pick.targets, wait_deadline, now
                    )
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
                    if pick.reason == target_memory.REASON:
                        self._record_refused()
                    return refusals.not_served(
                        work, progress, pick.reason, expected
                    )
                if not self._parts.rules.can_finish(work.route):
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

    def _record_delayed(self, work: admission.AdmittedRequest) -> None:
        """Records that a request fits no target now and waits."""
        if self._parts.target_memory is not None:
            self._parts.target_memory.record_delayed()
        logs.event(
            "target_memory_wait",
            request=work.request,
            body_bytes=work.load.body_bytes,
            tokens=work.load.tokens,
        )

    def _keep_memory(
        self,
        work: admission.AdmittedRequest,
        requirements: target_selection.TargetRequirements,
        targets: Collection[str],
        wait_deadline: float,
        now: float,
    ) -> None:
        """Keeps room for a request that smaller ones have passed."""
        memory = self._parts.target_memory
        if memory is None:
            return
        reservation = memory.waits.record_waiting(
            requirements.request,
            load=work.load,
            rank=requirements.rank,
            targets=targets,
            until=wait_deadline,
            now=now,
        )
        if reservation is not None:
            logs.event(
                "target_memory_reserved",
                request=work.request,
                target=reservation.target,
                body_bytes=work.load.body_bytes,
                tokens=work.load.tokens,
                sent_ahead=reservation.sent_ahead,
                waited_s=reservation.waited,
            )

    def _record_selected(
        self, progress: progress_lib.Progress, target: str
    ) -> None:
        if self._parts.target_memory is not None:
            self._parts.target_memory.waits.record_selected(
                progress.keys, target
            )

    def _record_refused(self) -> None:
        if self._parts.target_memory is not None:
            self._parts.target_memory.record_refused()

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
