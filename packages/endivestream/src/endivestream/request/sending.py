"""One attempt: sends a request to one target and relays its answer.

Streams are relayed as they arrive, other answers once they are complete. An
answer that broke off never appears complete to the caller, and an answer that
may belong to another request is not relayed.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import NamedTuple

from tornado import httputil

from endivestream import clock
from endivestream import logs
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import header_text
from endivestream.connection import process_probe
from endivestream.connection import process_proof as process_proof_lib
from endivestream.connection import registry as registry_lib
from endivestream.connection import sse
from endivestream.process import crash_reporter as crash_reporter_lib
from endivestream.request import admission
from endivestream.request import answer_headers
from endivestream.request import answer_relay as answer_relay_lib
from endivestream.request import attempt_results
from endivestream.request import awaited_answers
from endivestream.request import call as call_lib
from endivestream.request import homes
from endivestream.request import names as names_lib
from endivestream.request import open_attempts
from endivestream.request import progress as progress_lib
from endivestream.request import stream_origins
from endivestream.request import target_selection
from endivestream.request.buffering import target_memory
from endivestream.version import document as document_lib

# A target that is up accepts a connection within a few milliseconds; waiting
# longer for one whose packets are lost would exceed the objective of most
# requests.
_CONNECT_SECONDS = 0.4
# The same for a target whose path is in doubt: its failure is likely.
_TRIAL_CONNECT_SECONDS = 0.15
# An idempotent request that gets no answer within this multiple of its
# objective is sent to another target.
FAILOVER_OBJECTIVES = 2.0
# Largest deadline that is sent; targets may read it as an integer of 32 bits.
_MAX_DEADLINE_MS = 2**31 - 1


class BegunAttempt(NamedTuple):
    """An attempt that counts at its target and is not sent yet.

    Attributes:
        registration: The target.
        requirements: Requirements of the request.
        attempt: The attempt.
    """

    registration: registry_lib.Registration
    requirements: target_selection.TargetRequirements
    attempt: open_attempts.Attempt


class Sender:
    """Sends requests to targets, for the lifetime of the process."""

    def __init__(
        self,
        *,
        names: names_lib.HeaderNames,
        view: target_selection.TargetView,
        pool: exchange_lib.Pool,
        model_idle: Callable[[], None],
        slot_freed: Callable[[], None],
        rate_limit_reported: Callable[
            [registry_lib.Registration, str | None], None
        ],
        prefill_observed: Callable[[str, str, float, float], None],
        answer_relay: answer_relay_lib.AnswerRelay,
        process_proof: process_proof_lib.ProcessProof,
        crash_reporter: crash_reporter_lib.CrashReporter,
        query_sent: Callable[[str], None] = lambda target: None,
    ) -> None:
        """Initializes the sender; opens no connection.

        Args:
            names: Header names.
            view: This host's view of the targets; records every attempt.
            pool: Connections to targets.
            model_idle: Called when the last run of a model that is to be
                unloaded has ended.
            slot_freed: Called when a slot on a target may be free.
            rate_limit_reported: Called for each answer of a target with the
                text of its rate limit header; None without the header.
            prefill_observed: Called with an engine, its failure domain, the
                tokens of a prompt and the seconds until its first event.
            answer_relay: Relays the answers.
            process_proof: Proves which processes connections belong to.
            crash_reporter: Examines targets whose answers break off.
            query_sent: Called with a rate-limited target before a query that
                counts against its limit.
        """
        self._query_sent = query_sent
        self._crash_reporter = crash_reporter
        self._withdrawn_sends: collections.Counter[str] = collections.Counter()
        self._prefill_observed = prefill_observed
        self._answer_relay = answer_relay
        self._process_proof = process_proof
        self._names = names
        self._view = view
        self._pool = pool
        self._model_idle = model_idle
        self._slot_freed = slot_freed
        self._awaited_answers = awaited_answers.AwaitedAnswers()
        self._answer_headers = answer_headers.AnswerHeaders(
            names=names,
            announcements=view.announcements,
            rate_limit_reported=rate_limit_reported,
            window_opened=slot_freed,
        )

    @property
    def withdrawn_sends(self) -> Mapping[str, int]:
        """Number of sends that were withdrawn, by reason."""
        return self._withdrawn_sends

    async def send(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        picked: target_selection.Selected,
    ) -> attempt_results.Result:
        """Makes one attempt and records its outcome in `progress`.

        The target is checked once more, before and after its connection is
        acquired: answers and updates may have arrived since it was selected.
        Answers that have arrived are read before the second check.
        """
        begun = self.begin(work, progress, picked)
        if isinstance(begun, attempt_results.Withdrawn):
            return begun
        return await self.finish(call, work, progress, begun)

    def begin(
        self,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        picked: target_selection.Selected,
    ) -> BegunAttempt | attempt_results.Withdrawn:
        """Begins an attempt, which `finish` must make.

        Until this returns, other requests may select the same target.
        """
        registration = picked.target.registration
        view = self._view
        requirements = target_requirements(work, progress)
        now = clock.now()
        if not view.is_usable(registration, requirements, now):
            obstacle = view.obstacle(registration, requirements, now)
            if not obstacle and not view.has_memory(
                registration.name, requirements, now
            ):
                obstacle = target_memory.REASON
            return self._withdraw(work, registration, obstacle or "busy")
        progress.target = registration.name
        progress.stream.serving = stream_origins.StreamOrigin.of(registration)
        progress.stage = "target"
        progress.request_attempts += 1
        progress.first_sent_at = progress.first_sent_at or clock.now()
        view.record_sent(registration.name, requirements, clock.now())
        progress.starting = requirements
        keys = progress.keys
        assert keys is not None, "set when the request was admitted"
        attempt = self._crash_reporter.record_sent(
            registration,
            keys,
            is_engine=work.service.engine is not None,
            load=work.load,
        )
        progress.attempt = attempt
        return BegunAttempt(registration, requirements, attempt)

    async def finish(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        begun: BegunAttempt,
    ) -> attempt_results.Result:
        """Makes an attempt that has begun and records its outcome."""
        registration, requirements, attempt = begun
        view = self._view
        exchange = exchange_lib.Exchange(
            pool=self._pool, url=f"http://{registration.address}/"
        )
        end = open_attempts.AttemptEnd.UNSETTLED
        result: attempt_results.Result | None = None
        # Stays None if the caller disconnects before the attempt has a result:
        # that proves neither a fault of the target nor that it works.
        failed: bool | None = None
        passed_since: float | None = None
        sent_at = clock.now()
        try:
            result = await self._exchange_with_target(
                call, work, progress, exchange, registration
            )
            if isinstance(result, attempt_results.Withdrawn):
                progress.request_attempts -= 1
                if not progress.request_attempts:
                    progress.first_sent_at = 0.0
                return result
            failed = attempt_results.is_target_failure(result)
            if isinstance(result, attempt_results.Passed):
                passed_since = sent_at
            self._record_prefill(work, progress, registration)
            end = attempt_results.process_end(result, exchange)
        finally:
            progress.sent_attempts += exchange.sent
            exchange.close()
            if progress.racing is not None:
                progress.racing.ended_at = clock.now()
            if not exchange.sent:
                end = open_attempts.AttemptEnd.SETTLED
            self._crash_reporter.record_end(
                attempt,
                end=end,
                is_given_up=attempt_results.is_given_up(result),
            )
            _log_answer_end(work, registration, exchange.answer_end)
            self._answer_relay.record_start(progress)
            if view.record_result(
                registration.name,
                requirements,
                clock.now(),
                failed=failed,
                sent_at=passed_since,
            ):
                self._model_idle()
            self._slot_freed()
        await self._examine_end(work, registration, attempt, result)
        return result

    async def _examine_end(
        self,
        work: admission.AdmittedRequest,
        registration: registry_lib.Registration,
        attempt: open_attempts.Attempt,
        result: attempt_results.Result,
    ) -> None:
        """Finds out whether a process ended with an attempt, where needed."""
        is_engine = attempt.is_engine
        is_passed = isinstance(result, attempt_results.Passed)
        match attempt.end:
            case open_attempts.AttemptEnd.SETTLED:
                if is_passed:
                    self._crash_reporter.record_answered(attempt)
                elif (
                    isinstance(result, attempt_results.BrokenAttempt)
                    and not result.bytes_sent
                ):
                    self._crash_reporter.record_refused(
                        registration, is_engine=is_engine
                    )
            case open_attempts.AttemptEnd.UNSETTLED if not (
                is_passed
                and self._crash_reporter.needs_examination(attempt.keys)
            ):
                pass
            case _:
                state = await self._crash_reporter.examine(
                    registration, is_engine=is_engine, sent_at=attempt.sent_at
                )
                if is_passed and state in (
                    process_probe.ProcessState.RUNNING,
                    process_probe.ProcessState.LISTENING,
                ):
                    self._crash_reporter.record_answered(attempt)

    def _withdraw(
        self,
        work: admission.AdmittedRequest,
        registration: registry_lib.Registration,
        obstacle: str,
    ) -> attempt_results.Withdrawn:
        self._withdrawn_sends[obstacle] += 1
        logs.event(
            "send_withdrawn",
            request=work.request,
            target=registration.name,
            reason=obstacle,
        )
        return attempt_results.Withdrawn()

    async def _exchange_with_target(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        exchange: exchange_lib.Exchange,
        registration: registry_lib.Registration,
    ) -> attempt_results.Result:
        try:
            async with asyncio.timeout_at(
                clock.loop_time(self._attempt_deadline(work, progress))
            ) as timeout:
                progress.timeout = timeout
                if progress.racing is not None:
                    progress.racing.set_timeout(timeout)
                now = clock.now()
                remaining = work.deadline - now
                is_trial = self._view.needs_new_connection(registration, now)
                seconds = (
                    _TRIAL_CONNECT_SECONDS if is_trial else _CONNECT_SECONDS
                )
                await exchange.connect(
                    seconds=min(seconds, max(0.01, remaining)), is_new=is_trial
                )
                if progress.attempt is not None:
                    progress.attempt.opened_at = exchange.opened_at
                if not await self._is_listed_process(
                    work, exchange, registration
                ):
                    return self._withdraw(work, registration, "restarted")
                await self._awaited_answers.read_received(registration.name)
                sent_at = clock.now()
                requirements = target_requirements(work, progress)
                obstacle = self._view.obstacle(
                    registration, requirements, sent_at
                )
                if not obstacle and self._view.exceeds_window(registration):
                    obstacle = "window"
                keys = progress.keys
                if keys and self._crash_reporter.quarantined_until(keys):
                    obstacle = "quarantined"
                if obstacle:
                    return self._withdraw(work, registration, obstacle)
                if self._view.announcements.record_sent(registration):
                    logs.event("target_backoff_ended", target=registration.name)
                exchange.send(
                    call.method,
                    call.uri,
                    self._request_headers(
                        call, work, progress, registration.name
                    ),
                    call.body,
                )
                with self._awaited_answers.add(registration.name, exchange):
                    head = await exchange.head(seconds=work.route.timeout)
                self._answer_headers.record(
                    work.request, registration, head, sent_at
                )
                return await self._relay_answer(
                    call, work, progress, exchange, head
                )
        except TimeoutError:
            progress.may_have_run = progress.may_have_run or exchange.sent
            reason = "timeout"
            if progress.buffer is not None and progress.buffer.is_paused:
                reason = attempt_results.NOT_READ
            return attempt_results.BrokenAttempt(exchange.sent, reason)
        except sse.TooLongError:
            return attempt_results.BrokenAttempt(True, "event_too_long")
        except exchange_lib.ExchangeError as error:
            progress.may_have_run = progress.may_have_run or error.sent
            return attempt_results.BrokenAttempt(
                error.sent, "broke_off" if error.sent else "no_way"
            )
        except (asyncio.CancelledError, Exception):
            progress.may_have_run = progress.may_have_run or exchange.sent
            raise

    async def _is_listed_process(
        self,
        work: admission.AdmittedRequest,
        exchange: exchange_lib.Exchange,
        registration: registry_lib.Registration,
    ) -> bool:
        """Returns whether a stream may use an acquired connection.

        The process that answers on it determines the software version that a
        stream is bound to.
        """
        if not work.route.has_resumable_streams or work.service.engine is None:
            return True
        if self._view.is_rate_limited(
            registration, clock.now()
        ) and not self._process_proof.is_queried(exchange):
            self._query_sent(registration.name)
        started_at_ms = await self._process_proof.started_at_ms(
            exchange, registration
        )
        if started_at_ms > registration.started_at_ms:
            self._view.record_restart(registration)
        return started_at_ms == registration.started_at_ms

    def _record_prefill(
        self,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        registration: registry_lib.Registration,
    ) -> None:
        """Records how long an engine took until the first event."""
        is_first_attempt = progress.request_attempts == 1
        if work.service.engine and is_first_attempt and progress.first_byte_at:
            self._prefill_observed(
                registration.name,
                registration.domain,
                work.prompt,
                progress.first_byte_at - progress.first_sent_at,
            )

    def _attempt_deadline(
        self, work: admission.AdmittedRequest, progress: progress_lib.Progress
    ) -> float:
        """Returns the deadline of one attempt."""
        has_further_attempts = (
            len(progress.attempted_targets) + 1 < work.route.max_attempts
        )
        if (
            work.route.kind == document_lib.Kind.IDEMPOTENT
            and has_further_attempts
        ):
            failover_deadline = (
                clock.now() + FAILOVER_OBJECTIVES * work.route.objective
            )
            return min(work.deadline, failover_deadline)
        return work.deadline

    def _request_headers(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        target: str,
    ) -> httputil.HTTPHeaders:
        names = self._names
        dropped = {
            *call_lib.HOP_HEADERS,
            *(
                name.strip().title()
                for name in call.headers.get("Connection", "").split(",")
            ),
            "Content-Length",
            "Authorization",
            names.deadline_ms,
            names.team,
            names.instance,
            names.priority,
            *names.reserved,
        }
        fields = httputil.HTTPHeaders()
        for name, value in call.headers.get_all():
            if name not in dropped:
                fields.add(name, value)
        remaining = work.deadline - clock.now()
        if math.isfinite(remaining):
            remaining_ms = min(remaining * 1000, _MAX_DEADLINE_MS)
            fields[names.deadline_ms] = str(max(1, int(remaining_ms)))
        fields[names.instance] = header_text.encode(target)
        if work.team is not None:
            fields[names.team] = header_text.encode(work.team.name)
        fields[names.priority] = str(priority(work))
        last_event = progress.stream.last_event
        if last_event:
            fields[names.last_event] = last_event.decode("latin-1")
        return fields

    async def _relay_answer(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        exchange: exchange_lib.Exchange,
        head: exchange_lib.Head,
    ) -> attempt_results.Result:
        names = self._names
        self._view.record_bytes(progress.target, clock.now())
        if head.headers.get(names.request, "") != work.request:
            # A late answer to an earlier request on this connection. One
            # without a request id may be such an answer as well.
            progress.may_have_run = True
            return attempt_results.BrokenAttempt(True, "crossed_answer")
        if head.status == 421 or names.not_run in head.headers:
            missing = ""
            if head.status == 421:
                missing = _model_or_adapter(work)
            if not missing:
                self._view.record_refusal(progress.target, clock.now())
            logs.event(
                "target_refusal",
                request=work.request,
                target=progress.target,
                status=head.status,
                retry_after=head.headers.get(names.retry_after, ""),
                draining=head.headers.get(names.draining, ""),
                since_selected_ms=(clock.now() - progress.selected_at) * 1e3,
            )
            return attempt_results.Refused(head.status, missing)
        self._view.record_accepted(progress.target)
        if progress.racing is not None and head.status < 500:
            progress.racing.first_byte_at = clock.now()
        progress.may_have_run = True
        if call.head_sent and head.status >= 300:
            # This attempt resumes a stream; an error answer is no part of it.
            return attempt_results.BrokenAttempt(True, f"target_{head.status}")
        if work.route.kind == document_lib.Kind.STREAM and head.status < 300:
            return await self._answer_relay.relay_stream(
                call, work, progress, exchange, head
            )
        return await self._answer_relay.relay_buffered(
            call, work, progress, exchange, head
        )


def target_requirements(
    work: admission.AdmittedRequest,
    progress: progress_lib.Progress,
    *,
    can_wait: bool = False,
    is_queued: bool = False,
) -> target_selection.TargetRequirements:
    """Returns a request's requirements of a target.

    Args:
        work: The request.
        progress: State of its attempts.
        can_wait: Whether it can still wait for a free slot on a full engine.
        is_queued: Whether it waits for a slot in the queue of its engine.
    """
    on_engine = work.service.engine is not None
    return target_selection.TargetRequirements(
        service=work.service.name,
        model=work.model if on_engine else "",
        adapter=work.adapter if on_engine else "",
        session=work.session,
        tried=tuple(progress.attempted_targets),
        rank=priority(work),
        # Callers of a begun stream hold a part of the answer already.
        can_wait=can_wait and progress.stream.origin is None,
        is_queued=is_queued,
        regions=homes.allowed_regions(work.route, work.team),
        origin=progress.stream.origin,
        load=work.load,
        request=progress.keys,
        needs_record=work.route.has_resumable_streams,
    )


def _log_answer_end(
    work: admission.AdmittedRequest,
    registration: registry_lib.Registration,
    end: exchange_lib.AnswerEnd | None,
) -> None:
    """Logs an answer that broke off or whose end is only that of its bytes."""
    is_framed = end is not None and end.framing != exchange_lib.Framing.CLOSE
    if end is None or (is_framed and end.is_complete):
        return
    logs.event(
        "answer_end",
        request=work.request,
        target=registration.name,
        framing=end.framing,
        ending=end.ending,
        inside_event=end.is_inside_event,
    )


def priority(work: admission.AdmittedRequest) -> int:
    """Returns a rank of 0 to 9: the team's, or the route's if it has none."""
    rank = work.route.priority
    if work.team is not None and work.team.priority is not None:
        rank = work.team.priority
    return min(9, max(0, rank))


def _model_or_adapter(work: admission.AdmittedRequest) -> str:
    """Returns the model, or MODEL/ADAPTER, that a request needs."""
    return f"{work.model}/{work.adapter}" if work.adapter else work.model
