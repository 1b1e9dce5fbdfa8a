"""Path of one caller's request through an entry host.

    admission   checks lease, route and key; a refusal here means "not run"
    credit      charges the team, from this host's credit shares
    selection   picks a target, waiting for one if it can still be in time
    sending     makes one attempt at one target and relays its answer
    relay       sends the request through another entry host, if this one
                reaches no target for it
    repeat      uses another target if nothing ran or running twice is allowed

Control hosts are queried only for what this host lacks: credit, a repeat from
the shared budget, a send to a rate-limited target, or proof that its
configuration is current.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import math
from typing import NamedTuple

from endivestream import clock
from endivestream import findings
from endivestream import logs
from endivestream.request import active_requests
from endivestream.request import admission
from endivestream.request import answer_relay as answer_relay_lib
from endivestream.request import attempt_results
from endivestream.request import call as call_lib
from endivestream.request import crash_keys
from endivestream.request import forward_parts
from endivestream.request import lease_queue
from endivestream.request import progress as progress_lib
from endivestream.request import queue_deadlines
from endivestream.request import refusals
from endivestream.request import relay_hosts as relay_hosts_lib
from endivestream.request import relay_sender
from endivestream.request import resumptions
from endivestream.request import sending
from endivestream.request import stream_state
from endivestream.request import target_selection
from endivestream.request import target_wait
from endivestream.request.hedging import hedged_sender

# A request that gets its credit within this multiple of the route's objective
# can still be in time.
_TIMELY_CREDIT_OBJECTIVES = 0.5
# Refusals by targets after which a request fails.
_MAX_REFUSALS = 6
# Relay hosts that a request is sent to before this host gives up.
_MAX_RELAY_HOSTS = 4
# Maximum number of requests that this host relays for others at a time.
_MAX_RELAYED = 128
# Failures of a relay host that concern all requests, and those that concern
# the service and model of one; another relay host may serve the request.
_RELAY_HOST_FAILURES = frozenset(
    {
        "cut_off",
        "near_limit",
        "no_lease",
        "no_memory",
        "older_configuration",
        "relays_full",
        "stopping",
        "unsupported",
    }
)
_RELAY_TARGET_FAILURES = frozenset(
    {
        "all_failing",
        "no_route",
        "no_software",
        "no_target",
        "no_way",
        "unknown_key",
        "version_unrecorded",
    }
)
# Stages in which a request waits until a target can take it.
_WAITING_STAGES = frozenset({"place", "turn", "limit"})
# Pause after a refusal by a target, multiplied by the number of refusals.
_REFUSAL_PAUSE_SECONDS = 0.02
# Characters of a caller's header that are logged.
_MAX_LOGGED_HEADER = 64


class _AnswerFinal(NamedTuple):
    """The answer to the caller is final; nothing more is sent."""


class Forwarder:
    """Serves callers' requests, for the lifetime of the process."""

    def __init__(self, *, parts: forward_parts.SharedParts) -> None:
        self._parts = parts
        self._answer_relay = answer_relay_lib.AnswerRelay(
            view=parts.view,
            stream_bound=parts.stream_bound,
            crash_reporter=parts.crash_reporter,
            buffers=parts.buffers,
        )
        self._relay_sender = relay_sender.RelaySender(
            names=parts.rules.names,
            pool=parts.pool,
            answer_relay=self._answer_relay,
        )
        self._sender = sending.Sender(
            names=parts.rules.names,
            view=parts.view,
            pool=parts.pool,
            model_idle=parts.model_idle,
            slot_freed=parts.slot_freed,
            rate_limit_reported=parts.rate_limit_reported,
            prefill_observed=parts.prefill_observed,
            answer_relay=self._answer_relay,
            process_proof=parts.process_proof,
            crash_reporter=parts.crash_reporter,
            query_sent=parts.query_sent,
        )
        self._hedged_sender = hedged_sender.HedgedSender(
            sender=self._sender,
            view=parts.view,
            crash_reporter=parts.crash_reporter,
            permits=parts.hedge_permits,
            waiting=self.count_waiting,
        )
        self._resumptions = resumptions.Resumptions(
            rules=parts.rules,
            find_origin=parts.find_origin,
            sole_software=parts.sole_software,
        )
        self._target_wait = target_wait.TargetWait(parts=parts)
        self._active: dict[
            asyncio.Task[None], active_requests.ActiveRequest
        ] = {}
        self._lease_queue = lease_queue.LeaseQueue(
            rules=parts.rules,
            wait_for_change=parts.wait_for_change,
            confirm_configuration=parts.confirm_configuration,
        )

    @property
    def withdrawn_sends(self) -> Mapping[str, int]:
        """Number of sends withdrawn after the selection, by reason."""
        return self._sender.withdrawn_sends

    @property
    def resumptions(self) -> Mapping[str, int]:
        """Number of resumed streams by how their beginning was found."""
        return self._resumptions.outcomes

    @property
    def hedges(self) -> hedged_sender.HedgedSender:
        """Numbers of hedged requests."""
        return self._hedged_sender

    async def serve(self, call: call_lib.Call) -> None:
        """Serves one request until it is answered or its caller disconnects."""
        await self._run(
            active_requests.ActiveRequest(
                call=call, progress=progress_lib.Progress()
            )
        )

    async def serve_relayed(self, call: call_lib.Call) -> None:
        """Serves a request of another entry host's caller.

        Without the header of relayed requests it is refused.
        """
        relayed = relay_hosts_lib.take_relayed_request(call.headers)
        if relayed is None:
            await call.answer(400, {}, b"not a relayed request\n")
            return
        try:
            last_event = relayed.last_event.encode("latin-1")
        except UnicodeEncodeError:
            await call.answer(400, {}, b"not an event id\n")
            return
        call.arrived_at -= relayed.waited
        progress = progress_lib.Progress(
            attempted_targets=list(relayed.tried),
            sent_attempts=relayed.sent_attempts,
            stream=stream_state.StreamState(
                last_event=last_event,
                origin=relayed.origin,
                is_relayed=True,
            ),
        )
        active = active_requests.ActiveRequest(
            call=call, progress=progress, relayed=relayed
        )
        await self._run(active)

    async def _run(self, active: active_requests.ActiveRequest) -> None:
        progress = active.progress
        task = asyncio.current_task()
        assert task is not None
        self._active[task] = active
        progress.task = task
        try:
            await self._serve(active)
        except call_lib.CallerDisconnectedError:
            progress.outcome_reason = "caller_gone"
        except asyncio.CancelledError:
            progress.outcome_reason = "caller_gone"
            if not active.is_stopped:
                raise
            task.uncancel()
            await self._answer_stopped(active)
        except Exception as error:
            await self._answer_error(active, error)
        finally:
            if progress.buffer is not None:
                ended = progress.buffer.end_reason
                progress.outcome_reason = ended or progress.outcome_reason
                progress.buffer.close()
            if progress.keys is not None:
                self._parts.crash_reporter.release_attempt(progress.keys)
            del self._active[task]
            self._log_completion(active)

    async def _serve(self, active: active_requests.ActiveRequest) -> None:
        call, progress = active.call, active.progress
        failure: findings.Failure | None
        admitted: admission.AdmittedRequest | findings.Failure
        refusal = self._memory_refusal(call)
        if refusal is not None:
            admitted = refusal
        elif active.relayed is not None:
            admitted = self._admit_relayed(call, active.relayed)
        else:
            admitted = await self._lease_queue.admit(call)
        if not isinstance(admitted, findings.Failure):
            active.work = admitted
            progress.stage = "origin"
            admitted = await self._resumptions.bind(
                call.headers, admitted, progress.stream
            )
        if isinstance(admitted, findings.Failure):
            failure = admitted
        else:
            active.work = admitted
            progress.keys = crash_keys.CrashKeys(
                call=call, names=self._parts.rules.names
            )
            if active.relayed is not None:
                failure = await self._attempt_until_final(active, admitted)
            else:
                if not _is_slot_bound(admitted):
                    self._parts.request_received(admitted)
                failure = await self._serve_admitted(active, admitted)
        await _deliver(progress)
        if failure is not None:
            progress.outcome_reason = failure.reason
            await self._answer_failure(active, failure)

    def _memory_refusal(self, call: call_lib.Call) -> findings.Failure | None:
        """Returns the refusal of a request that there is no memory for."""
        buffers = self._parts.buffers
        refusal = buffers.refusal() if buffers is not None else None
        if refusal is not None:
            logs.event(
                "request_refused_for_memory",
                request=call.headers.get(self._parts.rules.names.request, ""),
                held=buffers.budget.held,
            )
        return refusal

    def _admit_relayed(
        self, call: call_lib.Call, relayed: relay_hosts_lib.RelayedRequest
    ) -> admission.AdmittedRequest | findings.Failure:
        """Admits a request that its caller's host has admitted and charged."""
        table = self._parts.rules.table()
        if table is None or table.document.version < relayed.version:
            return findings.not_run(
                "older_configuration",
                f"this host's configuration is older than {relayed.version}",
                status=503,
            )
        if self._parts.view.is_cut_off(clock.now()):
            return findings.not_run(
                "cut_off",
                "this host reaches less than half of the targets",
                status=503,
            )
        relayed_count = sum(
            each.relayed is not None for each in self._active.values()
        )
        if relayed_count > _MAX_RELAYED:
            return findings.not_run(
                "relays_full",
                f"this host relays {_MAX_RELAYED} requests",
                status=503,
            )
        return admission.admit(call, self._parts.rules)

    def stop_waiting(self) -> None:
        """Refuses waiting requests that a stopping host cannot finish."""
        for task, active in list(self._active.items()):
            route = active.work.route if active.work is not None else None
            if not active.progress.is_sent and not self._parts.rules.can_finish(
                route
            ):
                self._stop_request(task, active)

    def stop_all(self) -> None:
        """Answers all requests that have not been answered yet."""
        for task, active in list(self._active.items()):
            self._stop_request(task, active)

    def _stop_request(
        self, task: asyncio.Task[None], active: active_requests.ActiveRequest
    ) -> None:
        for progress in (active.progress, active.progress.second):
            if progress is not None and progress.buffer is not None:
                progress.buffer.abandon("stopping")
        if active.is_stopped or active.call.head_sent:
            # A partly sent answer continues while the process runs.
            return
        active.is_stopped = True
        logs.event(
            "request_stopped",
            request=active.call.headers.get(
                self._parts.rules.names.request, ""
            ),
            stage=active.progress.stage,
        )
        task.cancel()

    async def _answer_stopped(
        self, active: active_requests.ActiveRequest
    ) -> None:
        progress, work = active.progress, active.work
        failure = admission.stopping()
        if work is not None:
            failure = refusals.stop_failure(work, progress)
        progress.outcome_reason = "stopping"
        try:
            await self._answer_failure(active, failure)
        except call_lib.CallerDisconnectedError:
            progress.outcome_reason = "caller_gone"

    async def _answer_error(
        self, active: active_requests.ActiveRequest, error: Exception
    ) -> None:
        """Answers a request whose handling raised, or breaks its answer off."""
        call, progress = active.call, active.progress
        logs.log_error(
            "request_error",
            error,
            request=call.headers.get(self._parts.rules.names.request, ""),
            stage=progress.stage,
            target=progress.target,
        )
        progress.outcome_reason = refusals.INTERNAL_ERROR
        if call.is_finished:
            return
        try:
            await self._answer_failure(
                active, refusals.internal_error(progress)
            )
        except call_lib.CallerDisconnectedError:
            progress.outcome_reason = "caller_gone"

    def _log_completion(self, active: active_requests.ActiveRequest) -> None:
        call, work, progress = active.call, active.work, active.progress
        now = clock.now()
        is_admitted = work is not None
        summary = forward_parts.RequestSummary(
            route=work.route.name if is_admitted else "",
            kind=work.route.kind if is_admitted else "",
            team=work.team.name if is_admitted and work.team else "",
            status=progress.status,
            reason=progress.outcome_reason,
            waited=(progress.first_sent_at or now) - call.arrived_at,
            first=(progress.first_byte_at or now) - call.arrived_at,
            total=now - call.arrived_at,
            gap=progress.longest_gap,
            tries=progress.request_attempts,
        )
        if active.relayed is None:
            self._parts.record_metrics(summary)
        table = self._parts.rules.table()
        logs.event(
            "request",
            request=call.headers.get(self._parts.rules.names.request, ""),
            route=summary.route,
            team=summary.team,
            cost=work.cost if is_admitted else 0.0,
            model=work.model if is_admitted else "",
            adapter=work.adapter if is_admitted else "",
            target=progress.target,
            software=progress.stream.serving_software,
            began_at=progress.stream.software,
            resumes=self._logged_header(call, self._parts.rules.names.resumes),
            after=self._logged_header(call, self._parts.rules.names.last_event),
            status=summary.status,
            reason=summary.reason,
            tries=summary.tries,
            refusals=progress.refusals,
            waited_ms=summary.waited * 1e3,
            first_ms=summary.first * 1e3,
            gap_ms=progress.longest_gap * 1e3,
            turn_ms=progress.turn_seconds * 1e3,
            total_ms=summary.total * 1e3,
            relayed_for=active.relayed.host if active.relayed else "",
            version=table.document.version if table else 0,
            lease_s=self._parts.rules.lease_until() - now,
        )

    def _logged_header(self, call: call_lib.Call, name: str) -> str:
        return call.headers.get(name, "")[:_MAX_LOGGED_HEADER]

    def count_waiting(self, service: str) -> int:
        """Returns how many requests of a service wait for a target."""
        return sum(
            each.progress.stage in _WAITING_STAGES
            for each in self._active.values()
            if each.work is not None and each.work.service.name == service
        )

    # Stages of a request.

    async def _serve_admitted(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
    ) -> findings.Failure | None:
        """Returns None once a complete answer has been relayed."""
        progress = active.progress
        assert progress.keys is not None, "set when the request was admitted"
        await self._parts.crash_reporter.acquire_trial(progress.keys)
        failure = self._target_wait.quarantine_failure(work, progress)
        if failure is not None:
            return failure
        progress.stage = "credit"
        refusal = await self._charge(work)
        if refusal is not None:
            return refusal
        if _is_slot_bound(work):
            # A team far above its rate would otherwise get copies of its models
            # on engines that others need, for requests that are never sent.
            self._parts.request_received(work)
        self._parts.repeats(work.service.name).record_arrival(clock.now())
        if self._parts.hedge_permits is not None:
            self._parts.hedge_permits.record_arrival(work.route)
        try:
            return await self._attempt_until_final(active, work)
        finally:
            if not progress.may_have_run and work.team is not None:
                self._parts.credit.refund(work.team, work.cost)

    async def _charge(
        self, work: admission.AdmittedRequest
    ) -> findings.Failure | None:
        if work.team is None or work.team.rate <= 0:
            return None
        now = clock.now()
        wait_deadline = queue_deadlines.target_wait_deadline(
            route=work.route,
            arrived_at=work.arrived_at,
            last_sent_at=0.0,
            deadline=work.deadline,
        )
        timely_wait = min(
            work.deadline - now,
            work.route.objective * _TIMELY_CREDIT_OBJECTIVES,
        )
        retry_after = await self._parts.credit.take(
            work.team,
            work.cost,
            timely_within=max(0.0, timely_wait),
            patience=max(0.0, wait_deadline - now),
        )
        if retry_after is None:
            return None
        detail = f"team {work.team.name} exceeded its rate"
        return findings.not_run(
            "over_rate", detail, status=429, retry_after=retry_after
        )

    async def _attempt_until_final(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
    ) -> findings.Failure | None:
        """Returns None once the answer is final."""
        try:
            return await self._attempt_repeatedly(active, work)
        finally:
            # Also for a relayed request, which another host has charged.
            self._target_wait.end(active.progress)

    async def _attempt_repeatedly(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
    ) -> findings.Failure | None:
        progress = active.progress
        has_repeat = False
        while True:
            self._target_wait.release_slot(progress)
            failure: findings.Failure | _AnswerFinal | None
            failure = self._target_wait.quarantine_failure(work, progress)
            if failure is not None:
                return failure
            target = await self._target_wait.select(active, work)
            if isinstance(target, findings.Failure):
                return target
            if isinstance(target, target_wait.Unreachable):
                self._target_wait.end(progress)
                if progress.keys is not None:
                    await self._parts.crash_reporter.return_grant(progress.keys)
                ended = await self._send_through_others(active, work)
                if ended is None:
                    continue
                return None if isinstance(ended, _AnswerFinal) else ended
            if not await self._acquire_send_permit(work, progress, target):
                continue
            progress.stage = "repeat"
            if progress.sent_attempts and not has_repeat:
                has_repeat = await self._acquire_repeat(work)
                if not has_repeat:
                    return refusals.not_served(
                        work, progress, "no_repeats_left"
                    )
            failure = await self._target_wait.acquire_attempt(work, progress)
            if failure is not None:
                return failure
            result = await self._hedged_sender.send(active, work, target)
            self._target_wait.release_slot(progress)
            if isinstance(result, attempt_results.Withdrawn):
                continue
            has_repeat = False
            match result:
                case attempt_results.Passed(status=status):
                    progress.status = status
                    progress.outcome_reason = "served"
                    return None
                case attempt_results.Refused():
                    failure = await self._after_refusal(work, progress, result)
                case attempt_results.BrokenAttempt():
                    failure = await self._after_broken_attempt(
                        active, work, result
                    )
            if isinstance(failure, _AnswerFinal):
                return None
            if failure is not None:
                return failure

    async def _acquire_send_permit(
        self,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        picked: target_selection.Selected,
    ) -> bool:
        """Waits for a rate-limited target; returns whether to send now."""
        registration = picked.target.registration
        view = self._parts.view
        now = clock.now()
        if not view.is_rate_limited(registration, now):
            return True
        progress.stage = "limit"
        wait_deadline = target_wait.wait_deadline_of(work, progress)
        retry_seconds = await self._parts.acquire_send(
            registration,
            max(0.0, wait_deadline - now),
            view.cold_rate(registration, now),
        )
        if retry_seconds is not None:
            view.block(registration.name, clock.now() + retry_seconds)
            return False
        # The target may have begun to drain or to unload the model meanwhile.
        return view.is_usable(
            registration,
            sending.target_requirements(work, progress),
            clock.now(),
        )

    async def _acquire_repeat(self, work: admission.AdmittedRequest) -> bool:
        service = work.service.name
        if self._parts.repeats(service).spend(clock.now()):
            return True
        return await self._parts.request_repeat(service)

    async def _after_refusal(
        self,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        refusal: attempt_results.Refused,
    ) -> findings.Failure | None:
        progress.refusals += 1
        if refusal.missing_model:
            self._parts.view.record_denied(
                progress.target, refusal.missing_model
            )
        remaining = work.deadline - clock.now()
        if (
            progress.refusals >= _MAX_REFUSALS
            or remaining <= _REFUSAL_PAUSE_SECONDS
        ):
            return refusals.not_served(
                work, progress, f"refused_{refusal.status}"
            )
        if not refusal.missing_model:
            await asyncio.sleep(_REFUSAL_PAUSE_SECONDS * progress.refusals)
        return None

    async def _after_broken_attempt(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
        broken: attempt_results.BrokenAttempt,
    ) -> findings.Failure | _AnswerFinal | None:
        """Decides whether a request is sent again after a failed attempt.

        Returns:
            None to send it again, the failure to answer with, or
            `_AnswerFinal` if the answer to the caller has ended here.
        """
        call, progress = active.call, active.progress
        if not broken.bytes_sent:
            progress.refusals += 1
            progress.failed_connections += 1
            # The caller's host tries another relay host.
            is_relay_cut_off = (
                active.relayed is not None
                and progress.failed_connections
                >= target_wait.MAX_FAILED_CONNECTIONS
            )
            if progress.refusals >= _MAX_REFUSALS or is_relay_cut_off:
                return refusals.not_served(work, progress, broken.reason)
            return None
        progress.attempted_targets.append(progress.target)
        await _deliver(progress)
        may_repeat = (
            work.route.is_repeatable
            and progress.stream.can_continue
            and len(progress.attempted_targets) < work.route.max_attempts
            and clock.now() < work.deadline
        )
        if may_repeat:
            return None
        return await self._end_after_break(call, work, progress, broken)

    async def _end_after_break(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        broken: attempt_results.BrokenAttempt,
    ) -> findings.Failure | _AnswerFinal:
        """Ends a request whose last attempt broke off."""
        await _deliver(progress)
        if call.head_sent:
            # Part of an answer has been sent; it must not appear complete.
            call.abort()
            progress.outcome_reason = broken.reason
            return _AnswerFinal()
        if broken.answer is not None:
            await self._answer_relay.relay_complete_answer(
                progress.buffer or call, progress, broken.answer
            )
            progress.outcome_reason = broken.reason
            return _AnswerFinal()
        return refusals.not_served(work, progress, broken.reason)

    # Choice of a target.

    async def _send_through_others(
        self,
        active: active_requests.ActiveRequest,
        work: admission.AdmittedRequest,
    ) -> findings.Failure | _AnswerFinal | None:
        """Sends a request through a relay host, or through another one.

        Returns:
            None if no relay host that was tried could serve the request and it
            has not run through them; these are avoided for a while.
        """
        call, progress = active.call, active.progress
        hosts = self._parts.relay_hosts
        table = self._parts.rules.table()
        assert table is not None, "the request was admitted"
        relayed = relay_hosts_lib.RelayedRequest(
            host=self._parts.host,
            version=table.document.version,
            waited=clock.now() - work.arrived_at,
            sent_attempts=progress.sent_attempts,
            tried=tuple(progress.attempted_targets),
            last_event=progress.stream.last_event.decode("latin-1"),
            origin=progress.stream.origin,
        )
        key = target_wait.relay_key(work, progress)
        tried: list[str] = []
        while len(tried) < _MAX_RELAY_HOSTS and clock.now() < work.deadline:
            host = hosts.pick(key, clock.now(), tried)
            if host is None:
                break
            tried.append(host.name)
            hosts.record_sent(host.name)
            try:
                result = await self._relay_sender.relay(
                    call, work, progress, host, relayed
                )
            finally:
                hosts.record_end(host.name)
            logs.event(
                "relayed",
                request=work.request,
                through=host.name,
                result=type(result).__name__,
                reason=getattr(result, "reason", ""),
                waited_ms=(clock.now() - work.arrived_at) * 1e3,
            )
            match result:
                case attempt_results.Passed(status=status):
                    progress.status = status
                    progress.outcome_reason = "served"
                    return _AnswerFinal()
                case attempt_results.NotRelayed(
                    reason=reason, has_not_run=True
                ) if reason in _RELAY_HOST_FAILURES:
                    hosts.record_unavailable(host.name, clock.now())
                case attempt_results.NotRelayed(
                    reason=reason, has_not_run=True
                ) if reason in _RELAY_TARGET_FAILURES:
                    hosts.record_unserved(key, clock.now(), host.name)
                case attempt_results.NotRelayed():
                    return refusals.relay_failure(result, progress)
                case attempt_results.BrokenAttempt(bytes_sent=False):
                    hosts.record_unavailable(host.name, clock.now())
                case attempt_results.BrokenAttempt():
                    # It is unknown at which targets the request has been.
                    return await self._end_after_break(
                        call, work, progress, result
                    )
        if hosts.pick(key, clock.now(), tried) is None:
            hosts.record_unserved(key, clock.now())
        return None

    # Answers to callers.

    async def _answer_failure(
        self, active: active_requests.ActiveRequest, failure: findings.Failure
    ) -> None:
        call, progress = active.call, active.progress
        if call.head_sent:
            call.abort()
            return
        progress.status = failure.status
        headers = {"Content-Type": "text/plain; charset=utf-8"}
        if active.relayed is not None:
            headers[relay_hosts_lib.FAILURE_HEADER] = failure.reason
        if failure.retry_after is not None:
            # Rounded up: a retry before that time would be refused again.
            seconds = math.ceil(failure.retry_after * 100) / 100
            headers[self._parts.rules.names.retry_after] = (
                f"{max(0.05, seconds):g}"
            )
        body = f"{failure.reason}: {failure.detail}\n".encode()
        if failure.reason != admission.NEAR_LIMIT:
            await call.answer(failure.status, headers, body)
            return
        # An idle connection would also take a descriptor.
        headers["Connection"] = "close"
        await call.answer(failure.status, headers, body)
        call.close_connection()


async def _deliver(progress: progress_lib.Progress) -> None:
    """Waits until the caller's connection has taken what was relayed to it.

    Raises:
        CallerDisconnectedError: The caller has left, or does not read.
    """
    if progress.buffer is not None:
        await progress.buffer.drain()


def _is_slot_bound(work: admission.AdmittedRequest) -> bool:
    engine = work.service.engine
    return engine is not None and engine.is_slot_bound
