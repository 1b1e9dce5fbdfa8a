"""One attempt: sends a request to one target and relays its answer.

Streams are relayed as they arrive, other answers once they are complete. An
answer that broke off never appears complete to the caller, and an answer that
may belong to another request is not relayed.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
from typing import NamedTuple

from tornado import httputil

from endivestream import clock
from endivestream import logs
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import process_probe
from endivestream.connection import process_proof as process_proof_lib
from endivestream.connection import registry as registry_lib
from endivestream.connection import sse
from endivestream.process import crash_reporter as crash_reporter_lib
from endivestream.request import admission
from endivestream.request import answer_headers
from endivestream.request import awaited_answers
from endivestream.request import call as call_lib
from endivestream.request import crash_keys
from endivestream.request import homes
from endivestream.request import names as names_lib
from endivestream.request import open_attempts
from endivestream.request import relay_hosts as relay_hosts_lib
from endivestream.request import stream_origins
from endivestream.request import stream_state
from endivestream.request import target_selection
from endivestream.version import document as document_lib

# A target that is up accepts a connection within a few milliseconds; waiting
# longer for one whose packets are lost would exceed the objective of most
# requests.
_CONNECT_SECONDS = 0.4
# The same for a target whose path is in doubt: its failure is likely.
_TRIAL_CONNECT_SECONDS = 0.15
# An answer that is not a stream is buffered up to this size before any of it
# is relayed, so that after a break the request can be sent again or the
# failure reported; larger answers are relayed as they arrive.
_MAX_BUFFERED_ANSWER_BYTES = 256 * 1024
# An idempotent request that gets no answer within this multiple of its
# objective is sent to another target.
_HEDGE_OBJECTIVES = 2.0


@dataclasses.dataclass(kw_only=True)
class Progress:
    """State of a request and its attempts.

    Attributes:
        attempted_targets: Targets that may have run it.
        refusals: Number of refusals by targets that did not run it.
        request_attempts: Number of attempts.
        sent_attempts: Number of attempts that may have reached a target.
        failed_connections: Number of connections that could not be opened.
        may_have_run: Whether some target may have run it.
        stream: State of the answer, as far as it is a stream.
        selected_at: When its current target was selected.
        first_sent_at: When it was first sent, i.e. when its wait for a target
            ended.
        first_byte_at: When the first byte of the answer arrived.
        last_relayed_at: When a chunk of a stream was last relayed.
        turn_seconds: Seconds that it waited for its prefill turn at an engine.
        longest_gap: Longest pause between two chunks of a stream so far, in
            seconds.
        status: The status sent.
        outcome_reason: Reason of the outcome.
        target: The last target.
        starting: Requirements of the current attempt, until its first event.
        attempt: The current attempt at a target; None at a relay host.
        keys: By which it is recognized if targets end under it.
        stage: What it waits for: `lease`, `origin`, `credit`, `place`, `turn`,
            `limit`, `repeat` or `target`.
    """

    attempted_targets: list[str] = dataclasses.field(default_factory=list)
    refusals: int = 0
    request_attempts: int = 0
    sent_attempts: int = 0
    failed_connections: int = 0
    may_have_run: bool = False
    stream: stream_state.StreamState = dataclasses.field(
        default_factory=stream_state.StreamState
    )
    selected_at: float = 0.0
    first_sent_at: float = 0.0
    first_byte_at: float = 0.0
    last_relayed_at: float = 0.0
    turn_seconds: float = 0.0
    longest_gap: float = 0.0
    status: int = 0
    outcome_reason: str = ""
    target: str = ""
    starting: target_selection.TargetRequirements | None = None
    attempt: open_attempts.Attempt | None = None
    keys: crash_keys.CrashKeys | None = None
    stage: str = "lease"

    @property
    def is_sent(self) -> bool:
        """Whether an attempt at a target is in progress."""
        return self.stage == "target"


class Refused(NamedTuple):
    """The target refused the request without running it.

    Attributes:
        status: Status of its answer.
        missing_model: The model that the target lacks, or MODEL/ADAPTER, for
            status 421; else empty.
    """

    status: int
    missing_model: str


class Withdrawn(NamedTuple):
    """Nothing was sent: the target must not get the request any more."""


class BrokenAttempt(NamedTuple):
    """An attempt that ended without a complete answer.

    Attributes:
        bytes_sent: Whether any byte of the request may have been sent.
        reason: Reason, for the caller and the log.
        answer: The target's answer, if it is complete and has a status of 500
            or more.
    """

    bytes_sent: bool
    reason: str
    answer: Answer | None = None


class Answer(NamedTuple):
    """A complete answer of a target."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class Passed(NamedTuple):
    """The complete answer has been relayed to the caller."""

    status: int


class NotRelayed(NamedTuple):
    """A relay host answered with a failure of its own.

    Attributes:
        reason: Its reason.
        status: Status of its answer.
        retry_after: Seconds after which to retry, if it states them.
    """

    reason: str
    status: int
    retry_after: float | None

    @property
    def has_not_run(self) -> bool:
        """Whether the relay host states that the request has not run."""
        return self.status in (401, 404, 429, 503)


Result = Refused | Withdrawn | BrokenAttempt | Passed


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
        stream_bound: Callable[
            [Iterable[str], stream_origins.StreamOrigin, float], None
        ],
        process_proof: process_proof_lib.ProcessProof,
        crash_reporter: crash_reporter_lib.CrashReporter,
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
            stream_bound: Called before the first event of a stream is relayed,
                with the caller's attempts that may name the stream, its origin
                and the seconds for which it may be resumed.
            process_proof: Proves which processes connections belong to.
            crash_reporter: Examines targets whose answers break off.
        """
        self._crash_reporter = crash_reporter
        self._withdrawn_sends: collections.Counter[str] = collections.Counter()
        self._prefill_observed = prefill_observed
        self._stream_bound = stream_bound
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
        progress: Progress,
        picked: target_selection.Selected,
    ) -> Result:
        """Makes one attempt and records its outcome in `progress`.

        The target is checked once more, before and after its connection is
        acquired: answers and updates may have arrived since it was selected.
        Answers that have arrived are read before the second check.
        """
        registration = picked.target.registration
        view = self._view
        requirements = target_requirements(work, progress)
        if not view.is_usable(registration, requirements, clock.now()):
            obstacle = view.obstacle(registration, requirements, clock.now())
            return self._withdraw(work, registration, obstacle or "busy")
        progress.target = registration.name
        progress.stream.serving = stream_origins.StreamOrigin.of(registration)
        progress.stage = "target"
        progress.request_attempts += 1
        progress.first_sent_at = progress.first_sent_at or clock.now()
        exchange = exchange_lib.Exchange(
            pool=self._pool, url=f"http://{registration.address}/"
        )
        view.record_sent(registration.name, requirements, clock.now())
        progress.starting = requirements
        keys = progress.keys
        assert keys is not None, "set when the request was admitted"
        attempt = self._crash_reporter.record_sent(
            registration, keys, is_engine=work.service.engine is not None
        )
        progress.attempt = attempt
        end = open_attempts.AttemptEnd.UNSETTLED
        # Stays None if the caller disconnects before the attempt has a result:
        # that proves neither a fault of the target nor that it works.
        failed: bool | None = None
        try:
            result = await self._exchange_with_target(
                call, work, progress, exchange, registration
            )
            if isinstance(result, Withdrawn):
                progress.request_attempts -= 1
                if not progress.request_attempts:
                    progress.first_sent_at = 0.0
                return result
            failed = _is_target_failure(result)
            self._record_prefill(work, progress, registration)
            end = _attempt_end(result, exchange)
        finally:
            progress.sent_attempts += exchange.sent
            exchange.close()
            if not exchange.sent:
                end = open_attempts.AttemptEnd.SETTLED
            self._crash_reporter.record_end(attempt, end=end)
            _log_answer_end(work, registration, exchange.answer_end)
            self._record_start(progress)
            if view.record_result(
                registration.name, requirements, clock.now(), failed=failed
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
        result: Result,
    ) -> None:
        """Finds out whether a process ended with an attempt, where needed."""
        is_engine = attempt.is_engine
        is_passed = isinstance(result, Passed)
        match attempt.end:
            case open_attempts.AttemptEnd.SETTLED:
                if is_passed:
                    self._crash_reporter.record_answered(attempt)
                elif (
                    isinstance(result, BrokenAttempt) and not result.bytes_sent
                ):
                    await self._crash_reporter.record_refused(
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
    ) -> Withdrawn:
        self._withdrawn_sends[obstacle] += 1
        logs.event(
            "send_withdrawn",
            request=work.request,
            target=registration.name,
            reason=obstacle,
        )
        return Withdrawn()

    async def _exchange_with_target(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: Progress,
        exchange: exchange_lib.Exchange,
        registration: registry_lib.Registration,
    ) -> Result:
        try:
            async with asyncio.timeout_at(
                _loop_time(self._attempt_deadline(work, progress))
            ):
                now = clock.now()
                remaining = work.deadline - now
                is_trial = self._view.needs_new_connection(registration, now)
                seconds = (
                    _TRIAL_CONNECT_SECONDS if is_trial else _CONNECT_SECONDS
                )
                await exchange.connect(
                    seconds=min(seconds, max(0.01, remaining)), is_new=is_trial
                )
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
            return BrokenAttempt(exchange.sent, "timeout")
        except sse.TooLongError:
            return BrokenAttempt(True, "event_too_long")
        except exchange_lib.ExchangeError as error:
            progress.may_have_run = progress.may_have_run or error.sent
            return BrokenAttempt(
                error.sent, "broke_off" if error.sent else "no_way"
            )
        except asyncio.CancelledError:
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
        if not work.route.resumable or work.service.engine is None:
            return True
        if self._view.is_rate_limited(registration, clock.now()):
            # A query would count against the limit.
            return True
        started_at_ms = await self._process_proof.started_at_ms(
            exchange, registration
        )
        if started_at_ms > registration.started_at_ms:
            self._view.record_restart(registration)
        return started_at_ms == registration.started_at_ms

    async def relay(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: Progress,
        host: relay_hosts_lib.RelayHost,
        relayed: relay_hosts_lib.RelayedRequest,
    ) -> BrokenAttempt | Passed | NotRelayed:
        """Sends a request to a relay host and relays its answer."""
        progress.target = host.name
        progress.stream.serving = None
        progress.attempt = None
        progress.stage = "target"
        progress.starting = None
        progress.request_attempts += 1
        progress.first_sent_at = progress.first_sent_at or clock.now()
        exchange = exchange_lib.Exchange(
            pool=self._pool, url=f"http://{host.address}/"
        )
        has_not_run = False
        try:
            async with asyncio.timeout_at(_loop_time(work.deadline)):
                await exchange.connect(seconds=_CONNECT_SECONDS)
                exchange.send(
                    call.method,
                    call.uri,
                    self._relayed_headers(call, work, relayed),
                    call.body,
                )
                head = await exchange.head(seconds=work.route.timeout)
                failure = await self._read_relay_failure(exchange, head)
                if failure is not None:
                    has_not_run = failure.has_not_run
                    return failure
                return await self._relay_from_host(
                    call, work, progress, exchange, head
                )
        except TimeoutError:
            return BrokenAttempt(exchange.sent, "timeout")
        except sse.TooLongError:
            return BrokenAttempt(True, "event_too_long")
        except exchange_lib.ExchangeError as error:
            return BrokenAttempt(
                error.sent, "broke_off" if error.sent else "no_way"
            )
        finally:
            if exchange.sent and not has_not_run:
                progress.may_have_run = True
                progress.sent_attempts += 1
            exchange.close()

    def _relayed_headers(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        relayed: relay_hosts_lib.RelayedRequest,
    ) -> httputil.HTTPHeaders:
        """Returns the caller's own headers and those of the relay."""
        fields = _end_to_end_headers(call.headers)
        fields.pop("Content-Length", None)
        # The relay host counts from the arrival at this host, too.
        seconds = work.deadline - work.arrived_at
        if math.isfinite(seconds):
            milliseconds = max(1, int(seconds * 1000))
            fields[self._names.deadline_ms] = str(milliseconds)
        relay_hosts_lib.take_relayed_request(fields)
        header = relay_hosts_lib.request_header(work.route)
        fields[header] = relayed.encode()
        return fields

    async def _read_relay_failure(
        self, exchange: exchange_lib.Exchange, head: exchange_lib.Head
    ) -> NotRelayed | None:
        """Returns the failure of a relay host; None if a target answered."""
        reason = head.headers.get(relay_hosts_lib.FAILURE_HEADER)
        if reason is None:
            is_target_answer = self._names.request in head.headers
            if head.status != 400 or is_target_answer:
                return None
            # An older build does not know the header of relayed streams.
            return NotRelayed("unsupported", 503, None)
        async for _ in exchange.chunks(silence=_CONNECT_SECONDS):
            pass
        retry_after = None
        text = head.headers.get(self._names.retry_after)
        if text is not None:
            retry_after = float(text)
        return NotRelayed(reason, head.status, retry_after)

    async def _relay_from_host(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: Progress,
        exchange: exchange_lib.Exchange,
        head: exchange_lib.Head,
    ) -> BrokenAttempt | Passed:
        """Relays the answer of a target that a relay host got."""
        if head.headers.get(self._names.request, "") != work.request:
            return BrokenAttempt(True, "crossed_answer")
        if call.head_sent and head.status >= 300:
            return BrokenAttempt(True, f"target_{head.status}")
        text = head.headers.pop(relay_hosts_lib.ORIGIN_HEADER, "")
        progress.stream.serving = relay_hosts_lib.decode_origin(text)
        if work.route.kind == document_lib.Kind.STREAM and head.status < 300:
            return await self._relay_stream(
                call, work, progress, exchange, head
            )
        return await self._relay_buffered(call, work, progress, exchange, head)

    def _record_start(self, progress: Progress) -> None:
        """Records once per attempt that its prompt has been processed."""
        if progress.starting is not None:
            self._view.record_started(progress.target, progress.starting)
            progress.starting = None

    def _record_prefill(
        self,
        work: admission.AdmittedRequest,
        progress: Progress,
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
        self, work: admission.AdmittedRequest, progress: Progress
    ) -> float:
        """Returns the deadline of one attempt."""
        has_further_attempts = (
            len(progress.attempted_targets) + 1 < work.route.max_attempts
        )
        if (
            work.route.kind == document_lib.Kind.IDEMPOTENT
            and has_further_attempts
        ):
            hedge_deadline = (
                clock.now() + _HEDGE_OBJECTIVES * work.route.objective
            )
            return min(work.deadline, hedge_deadline)
        return work.deadline

    def _request_headers(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: Progress,
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
            fields[names.deadline_ms] = str(max(1, int(remaining * 1000)))
        fields[names.instance] = target
        if work.team is not None:
            fields[names.team] = work.team.name
        fields[names.priority] = str(priority(work))
        last_event = progress.stream.last_event
        if last_event:
            fields[names.last_event] = last_event.decode("latin-1")
        return fields

    async def _relay_answer(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: Progress,
        exchange: exchange_lib.Exchange,
        head: exchange_lib.Head,
    ) -> Result:
        names = self._names
        self._view.record_bytes(progress.target, clock.now())
        if head.headers.get(names.request, "") != work.request:
            # A late answer to an earlier request on this connection. One
            # without a request id may be such an answer as well.
            progress.may_have_run = True
            return BrokenAttempt(True, "crossed_answer")
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
            return Refused(head.status, missing)
        self._view.record_accepted(progress.target)
        progress.may_have_run = True
        if call.head_sent and head.status >= 300:
            # This attempt resumes a stream; an error answer is no part of it.
            return BrokenAttempt(True, f"target_{head.status}")
        if work.route.kind == document_lib.Kind.STREAM and head.status < 300:
            return await self._relay_stream(
                call, work, progress, exchange, head
            )
        return await self._relay_buffered(call, work, progress, exchange, head)

    async def _relay_buffered(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: Progress,
        exchange: exchange_lib.Exchange,
        head: exchange_lib.Head,
    ) -> BrokenAttempt | Passed:
        """Relays an answer once it is complete, or too large to buffer."""
        parts: list[bytes] = []
        size = 0
        async for chunk in exchange.chunks(silence=work.route.timeout):
            progress.first_byte_at = progress.first_byte_at or clock.now()
            self._view.record_bytes(progress.target, clock.now())
            self._crash_reporter.record_bytes(progress.attempt)
            size += len(chunk)
            if call.head_sent:
                await call.write(chunk)
                continue
            parts.append(chunk)
            if size > _MAX_BUFFERED_ANSWER_BYTES:
                headers = _end_to_end_headers(head.headers)
                progress.status = head.status
                progress.stream.can_continue = False
                await call.send_head(head.status, headers, b"".join(parts))
        if call.head_sent:
            call.finish()
            return Passed(head.status)
        answer = Answer(head.status, head.headers, b"".join(parts))
        if head.status >= 500:
            return BrokenAttempt(True, f"target_{head.status}", answer)
        await self.relay_complete_answer(call, progress, answer)
        return Passed(head.status)

    async def relay_complete_answer(
        self, call: call_lib.Call, progress: Progress, answer: Answer
    ) -> None:
        """Relays a complete answer unchanged."""
        headers = _end_to_end_headers(answer.headers)
        if "Transfer-Encoding" in answer.headers or (
            "Content-Length" not in headers
        ):
            headers["Content-Length"] = str(len(answer.body))
        progress.status = answer.status
        await call.send_head(answer.status, headers, answer.body)
        call.finish()

    async def _relay_stream(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: Progress,
        exchange: exchange_lib.Exchange,
        head: exchange_lib.Head,
    ) -> BrokenAttempt | Passed:
        """Relays events as they arrive."""
        stream = progress.stream
        splitter = None
        if work.route.resumable and sse.is_event_stream(
            head.headers.get("Content-Type", "")
        ):
            splitter = sse.EventSplitter()
        headers = _end_to_end_headers(head.headers)
        # The length is that of this attempt. Without it the answer is chunked,
        # and can be ended early or continued by another target.
        headers.pop("Content-Length", None)
        previous = math.inf
        async for chunk in exchange.chunks(silence=work.route.timeout):
            now = clock.now()
            progress.longest_gap = max(progress.longest_gap, now - previous)
            previous = now
            self._view.record_bytes(progress.target, now)
            self._crash_reporter.record_bytes(progress.attempt)
            self._record_start(progress)
            chunk = stream.take_complete_events(splitter, chunk)
            if not chunk:
                continue
            if not stream.may_relay():
                return BrokenAttempt(True, "other_software")
            self._bind(work, progress)
            progress.last_relayed_at = clock.now()
            progress.first_byte_at = (
                progress.first_byte_at or progress.last_relayed_at
            )
            if not call.head_sent:
                progress.status = head.status
                if stream.is_relayed and stream.origin is not None:
                    headers[relay_hosts_lib.ORIGIN_HEADER] = (
                        relay_hosts_lib.encode_origin(stream.origin)
                    )
                await call.send_head(head.status, headers, chunk)
            else:
                await call.write(chunk)
        if not call.head_sent:
            await call.send_head(head.status, headers)
        if splitter is not None and splitter.rest:
            await call.write(splitter.rest)
        call.finish()
        return Passed(head.status)

    def _bind(
        self, work: admission.AdmittedRequest, progress: Progress
    ) -> None:
        """Records where a stream began, before its first event is relayed."""
        stream = progress.stream
        origin = stream.bind()
        if origin is None:
            return
        logs.event(
            "stream_bound",
            request=work.request,
            resumes=stream.resumes,
            service=origin.service,
            software=origin.software,
            target=origin.target,
            born=origin.started_at_ms,
        )
        if work.route.resumable:
            attempts = {work.request, stream.resumes} - {""}
            seconds = stream_origins.resumable_seconds(work.route.timeout)
            self._stream_bound(attempts, origin, seconds)


def target_requirements(
    work: admission.AdmittedRequest,
    progress: Progress,
    *,
    can_wait: bool = False,
) -> target_selection.TargetRequirements:
    """Returns a request's requirements of a target.

    Args:
        work: The request.
        progress: State of its attempts.
        can_wait: Whether it can still wait for a free slot on a full engine.
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
        regions=homes.allowed_regions(work.route, work.team),
        origin=progress.stream.origin,
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


def _is_framed(exchange: exchange_lib.Exchange) -> bool:
    """Returns whether the end of an answer is not that of its connection."""
    end = exchange.answer_end
    return end is not None and end.framing != exchange_lib.Framing.CLOSE


def _attempt_end(
    result: Result, exchange: exchange_lib.Exchange
) -> open_attempts.AttemptEnd:
    """Returns what the end of an attempt shows about its process."""
    match result:
        case Passed() | BrokenAttempt(answer=Answer()) if _is_framed(exchange):
            return open_attempts.AttemptEnd.SETTLED
        case Refused() | Withdrawn() | BrokenAttempt(bytes_sent=False):
            return open_attempts.AttemptEnd.SETTLED
        case BrokenAttempt(reason="broke_off"):
            end = exchange.answer_end
            if end is None or end.ending in (
                exchange_lib.Ending.CLOSED,
                exchange_lib.Ending.RESET,
            ):
                return open_attempts.AttemptEnd.BROKEN
    return open_attempts.AttemptEnd.UNSETTLED


def _is_target_failure(result: Result) -> bool:
    """Returns whether a result counts as a failure of its target."""
    match result:
        case BrokenAttempt(answer=answer):
            return answer is None
        case Refused(status=status, missing_model=what):
            # Another target now has this address.
            return status == 421 and not what
    return False


def priority(work: admission.AdmittedRequest) -> int:
    """Returns a rank of 0 to 9: the team's, or the route's if it has none."""
    rank = work.route.priority
    if work.team is not None and work.team.priority is not None:
        rank = work.team.priority
    return min(9, max(0, rank))


def _model_or_adapter(work: admission.AdmittedRequest) -> str:
    """Returns the model, or MODEL/ADAPTER, that a request needs."""
    return f"{work.model}/{work.adapter}" if work.adapter else work.model


def _end_to_end_headers(headers: httputil.HTTPHeaders) -> httputil.HTTPHeaders:
    """Returns a target's headers without the hop-by-hop headers."""
    passed = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name not in call_lib.HOP_HEADERS:
            passed.add(name, value)
    return passed


def _loop_time(when: float) -> float | None:
    """Converts a time of the boot clock to a time of the event loop."""
    if math.isinf(when):
        return None
    return asyncio.get_running_loop().time() + (when - clock.now())
