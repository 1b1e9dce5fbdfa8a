"""Sends the leader the reports of targets that a control host receives.

With a message for each report, the reports of 3,000 targets take most of the
leader's processor. Reports that announce a departure are not sent here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection

from endivestream import clock
from endivestream import logs
from endivestream import messages
from endivestream import report_messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import registry as registry_lib
from endivestream.process import report_batches

# A target waits one second for the answer to its report and then sends it to
# another control host on a new connection. The difference is for the way and
# for a late event loop; an answer after that second costs both.
_ANSWER_TIMEOUT_SECONDS = 0.8
# Interval between log lines on refused reports.
_REFUSED_LOG_SECONDS = 1.0


class ReportSender:
    """Reports of targets to the leader, created once at process start."""

    def __init__(
        self, *, call: Callable[..., Awaitable[messages.Message | None]]
    ) -> None:
        """Sends nothing yet.

        Args:
            call: Sends the leader a message, within `seconds`; None if it does
                not answer.
        """
        self._call = call
        self._batches = report_batches.ReportBatches()
        self._in_flight: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False
        self._refused = 0
        self._refused_logged_at = float("-inf")

    @property
    def counts(self) -> dict[str, int]:
        """Messages, and reports by how they were sent, or their result."""
        return self._batches.counts

    async def close(self) -> None:
        """Cancels the messages in flight; nothing is sent afterwards."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        await tasks.cancel(list(self._in_flight))

    def forget(self, target: str) -> None:
        """Sends the next report of a target in full."""
        self._batches.forget(target)

    async def report(self, registration: registry_lib.Registration) -> bool:
        """Returns whether the leader has recorded a report, or a later one."""
        answer = asyncio.get_running_loop().create_future()

        def acknowledge() -> None:
            if not answer.done():
                answer.set_result(True)

        report = report_batches.PendingReport(
            registration=registration,
            deadline=clock.now() + _ANSWER_TIMEOUT_SECONDS,
            on_acknowledged=acknowledge,
        )
        if not self._batches.add(report):
            self._log_refusal()
            return False
        self._send_due()
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
                return await answer
        except TimeoutError:
            return False

    def _log_refusal(self) -> None:
        self._refused += 1
        now = clock.now()
        if now >= self._refused_logged_at + _REFUSED_LOG_SECONDS:
            logs.warn("reports_refused", reports=self._refused)
            self._refused = 0
            self._refused_logged_at = now

    def _send_due(self) -> None:
        """Sends what may be sent now, and the rest when it may be sent."""
        if self._is_closed:
            return
        while (batch := self._batches.take(clock.now())) is not None:
            task = tasks.start(self._exchange(batch), "reports")
            self._in_flight.add(task)
            task.add_done_callback(self._on_exchange_done)
        due_at = self._batches.next_send_at()
        if due_at is not None and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                max(0.0, due_at - clock.now()), self._on_timer
            )

    def _on_timer(self) -> None:
        self._timer = None
        self._send_due()

    def _on_exchange_done(self, task: asyncio.Task[None]) -> None:
        self._in_flight.discard(task)
        if not task.cancelled():
            self._send_due()

    async def _exchange(self, batch: report_batches.Batch) -> None:
        sent_at = clock.now()
        deadline = max(report.deadline for report in batch.reports)
        answer = None
        try:
            answer = await self._call(
                batch.message, seconds=max(0.0, deadline - sent_at)
            )
        finally:
            unknown = _unknown_targets(answer)
            if unknown is None:
                self._batches.record_failure(batch)
            else:
                self._batches.record_answer(batch, unknown, clock.now())
        if unknown is None:
            logs.warn(
                "reports_unanswered",
                reports=len(batch.reports),
                seconds=clock.now() - sent_at,
            )
        elif unknown:
            logs.event("report_contents_requested", targets=len(unknown))


def _unknown_targets(answer: messages.Message | None) -> Collection[str] | None:
    """Returns the targets whose content is requested; None if unanswered."""
    match answer:
        case site_messages.Registered():
            return ()
        case report_messages.RegisteredAll(unknown=unknown):
            return frozenset(unknown)
        case _:
            return None
