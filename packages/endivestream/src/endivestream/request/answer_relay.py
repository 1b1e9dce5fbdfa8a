"""Relays the answers of targets to callers.

Streams are relayed as they arrive, other answers once they are complete. An
answer that broke off never appears complete to the caller.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import math

from tornado import httputil

from endivestream import clock
from endivestream import logs
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import sse
from endivestream.process import crash_reporter as crash_reporter_lib
from endivestream.request import admission
from endivestream.request import attempt_results
from endivestream.request import call as call_lib
from endivestream.request import progress as progress_lib
from endivestream.request import queue_deadlines
from endivestream.request import relay_hosts as relay_hosts_lib
from endivestream.request import stream_origins
from endivestream.request import target_selection
from endivestream.request.buffering import answer_buffer

# An answer that is not a stream is buffered up to this size before any of it
# is relayed, so that after a break the request can be sent again or the
# failure reported; larger answers are relayed as they arrive.
_MAX_BUFFERED_ANSWER_BYTES = 256 * 1024


class AnswerRelay:
    """Relays answers, for the lifetime of the process."""

    def __init__(
        self,
        *,
        view: target_selection.TargetView,
        stream_bound: Callable[
            [Iterable[str], stream_origins.StreamOrigin, float], None
        ],
        crash_reporter: crash_reporter_lib.CrashReporter,
        buffers: answer_buffer.AnswerBuffers | None = None,
    ) -> None:
        """Initializes the relay.

        Args:
            view: This host's view of the targets.
            stream_bound: Called before the first event of a stream is relayed,
                with the caller's attempts that may name the stream, its origin
                and the seconds for which it may be resumed.
            crash_reporter: Records which processes outlive their answers.
            buffers: Hold what callers do not take; None if targets wait for
                them.
        """
        self._buffers = buffers
        self._view = view
        self._stream_bound = stream_bound
        self._crash_reporter = crash_reporter

    async def relay_buffered(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        exchange: exchange_lib.Exchange,
        head: exchange_lib.Head,
    ) -> (
        attempt_results.BrokenAttempt
        | attempt_results.Passed
        | attempt_results.Superseded
    ):
        """Relays an answer once it is complete, or too large to buffer."""
        outlet = self._outlet(call, work, progress, exchange)
        # None once the answer is relayed as it arrives.
        parts: list[bytes] | None = None if call.head_sent else []
        if parts is None and not progress.claim_answer():
            return attempt_results.Superseded()
        size = 0
        async for chunk in exchange.chunks(silence=work.route.timeout):
            progress.first_byte_at = progress.first_byte_at or clock.now()
            self._view.record_bytes(progress.target, clock.now())
            self._crash_reporter.record_bytes(progress.attempt)
            size += len(chunk)
            if parts is None:
                await outlet.write(chunk)
                continue
            parts.append(chunk)
            if progress.buffer is not None:
                progress.buffer.set_collected(size)
            if size > _MAX_BUFFERED_ANSWER_BYTES:
                if not progress.claim_answer():
                    return attempt_results.Superseded()
                _keep_attempt(work, progress)
                headers = end_to_end_headers(head.headers)
                progress.status = head.status
                progress.stream.can_continue = False
                buffered, parts = b"".join(parts), None
                if progress.buffer is not None:
                    progress.buffer.set_collected(0)
                await outlet.send_head(head.status, headers, buffered)
        if parts is None:
            outlet.finish()
            return attempt_results.Passed(head.status)
        answer = attempt_results.Answer(
            head.status, head.headers, b"".join(parts)
        )
        if head.status >= 500:
            return attempt_results.BrokenAttempt(
                True, f"target_{head.status}", answer
            )
        if not progress.claim_answer():
            return attempt_results.Superseded()
        await self.relay_complete_answer(outlet, progress, answer)
        return attempt_results.Passed(head.status)

    async def relay_complete_answer(
        self,
        outlet: call_lib.Call | answer_buffer.AnswerBuffer,
        progress: progress_lib.Progress,
        answer: attempt_results.Answer,
    ) -> None:
        """Relays a complete answer unchanged."""
        headers = end_to_end_headers(answer.headers)
        if "Transfer-Encoding" in answer.headers or (
            "Content-Length" not in headers
        ):
            headers["Content-Length"] = str(len(answer.body))
        progress.status = answer.status
        if progress.buffer is not None:
            progress.buffer.set_collected(0)
        await outlet.send_head(answer.status, headers, answer.body)
        outlet.finish()

    async def relay_stream(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        exchange: exchange_lib.Exchange,
        head: exchange_lib.Head,
    ) -> attempt_results.BrokenAttempt | attempt_results.Passed:
        """Relays events as they arrive."""
        outlet = self._outlet(call, work, progress, exchange)
        stream = progress.stream
        splitter = None
        if work.route.has_resumable_streams and sse.is_event_stream(
            head.headers.get("Content-Type", "")
        ):
            splitter = sse.EventSplitter()
        headers = end_to_end_headers(head.headers)
        # The length is that of this attempt. Without it the answer is chunked,
        # and can be ended early or continued by another target.
        headers.pop("Content-Length", None)
        previous = math.inf
        async for chunk in exchange.chunks(silence=work.route.timeout):
            now = clock.now()
            # The target does not send while it is not read.
            gap = now - previous - progress.paused_seconds
            progress.longest_gap = max(progress.longest_gap, gap)
            progress.paused_seconds = 0.0
            previous = now
            self._view.record_bytes(progress.target, now)
            self._crash_reporter.record_bytes(progress.attempt)
            self.record_start(progress)
            chunk = stream.take_complete_events(splitter, chunk)
            if not chunk:
                continue
            if not stream.may_relay():
                return attempt_results.BrokenAttempt(True, "other_software")
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
                await outlet.send_head(head.status, headers, chunk)
            else:
                await outlet.write(chunk)
        if not call.head_sent:
            await outlet.send_head(head.status, headers)
        if splitter is not None and splitter.rest:
            await outlet.write(splitter.rest)
        outlet.finish()
        return attempt_results.Passed(head.status)

    def _outlet(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        exchange: exchange_lib.Exchange,
    ) -> call_lib.Call | answer_buffer.AnswerBuffer:
        """Returns what an answer is written to: its caller, or a buffer."""
        if self._buffers is None:
            return call
        if progress.buffer is None:
            progress.buffer = self._buffers.open(
                call,
                request=work.request,
                task=progress.task,
                unread_seconds=queue_deadlines.unread_limit(work.route),
                on_pause=lambda: self._record_paused(work, progress),
                on_resume=lambda seconds: self._record_resumed(
                    progress, seconds
                ),
            )
        progress.paused_seconds = 0.0
        progress.buffer.set_source(lambda: exchange.buffered_bytes)
        return progress.buffer

    def _record_paused(
        self, work: admission.AdmittedRequest, progress: progress_lib.Progress
    ) -> None:
        """Records that a target is not read on, as its caller reads slowly."""
        self._view.record_paused(progress.target)
        _keep_attempt(work, progress)

    def _record_resumed(
        self, progress: progress_lib.Progress, seconds: float
    ) -> None:
        """Records that a target is read again after some seconds."""
        progress.paused_seconds += seconds
        self._view.record_resumed(progress.target, clock.now())
        self._crash_reporter.record_paused(progress.attempt, seconds)

    def _bind(
        self, work: admission.AdmittedRequest, progress: progress_lib.Progress
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
        if work.route.has_resumable_streams:
            attempts = {work.request, stream.resumes} - {""}
            seconds = stream_origins.resumable_seconds(work.route.timeout)
            self._stream_bound(attempts, origin, seconds)

    def record_start(self, progress: progress_lib.Progress) -> None:
        """Records once per attempt that its prompt has been processed."""
        if progress.starting is not None:
            self._view.record_started(progress.target, progress.starting)
            progress.starting = None


def _keep_attempt(
    work: admission.AdmittedRequest, progress: progress_lib.Progress
) -> None:
    """Lets an attempt whose answer is being relayed run until the deadline.

    No other attempt can replace it, so a failover would only break the answer
    off.
    """
    timeout = progress.timeout
    if timeout is not None and not timeout.expired():
        timeout.reschedule(clock.loop_time(work.deadline))


def end_to_end_headers(headers: httputil.HTTPHeaders) -> httputil.HTTPHeaders:
    """Returns a target's headers without the hop-by-hop headers."""
    passed = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name not in call_lib.HOP_HEADERS:
            passed.add(name, value)
    return passed
