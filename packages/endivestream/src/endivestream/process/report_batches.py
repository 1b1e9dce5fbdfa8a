"""Which reports of targets a control host sends in one message, and when. Pure.

A report is sent at once while few are, and else together with those that arrive
within a short time. Reports with the content of the last acknowledged report of
the same process are sent without it; the leader requests the content that it
lacks. Times are seconds of one clock.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Collection
import dataclasses
from typing import NamedTuple

import msgspec

from endivestream import report_messages
from endivestream import site_messages
from endivestream.connection import registry as registry_lib

# Interval between messages of a control host with many reports. With nine such
# hosts the leader reads 180 messages a second in place of 2,500.
INTERVAL_SECONDS = 0.05
# Messages that may be sent without that interval, so that a control host of a
# small site delays no report.
_MAX_BURST = 8
# More than one, so that a lost message does not delay all others.
_MAX_IN_FLIGHT = 2
# The leader handles as many within two milliseconds.
_MAX_REPORTS = 128
# Bounds memory. So many wait only for a leader that is too slow to answer
# further ones before their deadline.
_MAX_WAITING = 1024
# A target that has not reported here for this long reports elsewhere.
_CONTENT_KEPT_SECONDS = 10.0


@dataclasses.dataclass(kw_only=True, eq=False)
class PendingReport:
    """A report that waits for its acknowledgement.

    Attributes:
        registration: The report.
        deadline: Time at which it is refused if it is not acknowledged.
        on_acknowledged: Called when the leader has recorded it.
        is_content_requested: Whether the leader lacks its content.
    """

    registration: registry_lib.Registration
    deadline: float
    on_acknowledged: Callable[[], None] = lambda: None
    is_content_requested: bool = False


class Batch(NamedTuple):
    """Reports that are sent in one message.

    Attributes:
        reports: The reports.
        message: The message.
    """

    reports: tuple[PendingReport, ...]
    message: site_messages.Register | report_messages.RegisterAll


class _Content(NamedTuple):
    """The last acknowledged report of a target.

    Attributes:
        registration: The report.
        received_at: When it was acknowledged.
    """

    registration: registry_lib.Registration
    received_at: float


class ReportBatches:
    """Reports of targets at one control host."""

    def __init__(self) -> None:
        self._waiting: collections.deque[PendingReport] = collections.deque()
        self._contents: dict[str, _Content] = {}
        self._contents_dropped_at = float("-inf")
        self._in_flight = 0
        # Time until which the messages sent so far would take if each took
        # the interval.
        self._busy_until = float("-inf")
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> dict[str, int]:
        """Messages, and reports by how they were sent or what became of them.

        A report that is sent again with its content is counted each time.
        """
        return dict(self._counts)

    def add(self, report: PendingReport) -> bool:
        """Adds a report to the next message; returns False if it is refused."""
        if len(self._waiting) >= _MAX_WAITING:
            self._counts["refused"] += 1
            return False
        self._waiting.append(report)
        return True

    def next_send_at(self) -> float | None:
        """Returns when the next message may be sent; None if there is none.

        There is none while no report waits, and while the largest number of
        messages is unanswered.
        """
        if not self._waiting or self._in_flight >= _MAX_IN_FLIGHT:
            return None
        return self._busy_until - (_MAX_BURST - 1) * INTERVAL_SECONDS

    def take(self, now: float) -> Batch | None:
        """Returns the next message, which counts as sent; None if not due.

        Reports that are past their deadline are dropped.
        """
        while self._waiting and self._waiting[0].deadline <= now:
            self._waiting.popleft()
        due_at = self.next_send_at()
        if due_at is None or now < due_at:
            return None
        count = min(len(self._waiting), _MAX_REPORTS)
        reports = tuple(self._waiting.popleft() for _ in range(count))
        self._in_flight += 1
        self._busy_until = max(self._busy_until, now) + INTERVAL_SECONDS
        self._counts["messages"] += 1
        return Batch(reports, self._message(reports))

    def _message(
        self, reports: tuple[PendingReport, ...]
    ) -> site_messages.Register | report_messages.RegisterAll:
        if len(reports) == 1:
            # Leaders of the previous build understand it.
            self._counts["in_full"] += 1
            return site_messages.Register(registration=reports[0].registration)
        registrations: list[registry_lib.Registration] = []
        unchanged: list[report_messages.UnchangedReport] = []
        for report in reports:
            basis = self._basis(report)
            if basis is None:
                registrations.append(report.registration)
                continue
            unchanged.append(
                report_messages.UnchangedReport(
                    name=report.registration.name,
                    started_at_ms=report.registration.started_at_ms,
                    report_number=report.registration.report_number,
                    basis=basis,
                )
            )
        self._counts["in_full"] += len(registrations)
        self._counts["unchanged"] += len(unchanged)
        return report_messages.RegisterAll(
            registrations=tuple(registrations), unchanged=tuple(unchanged)
        )

    def _basis(self, report: PendingReport) -> int | None:
        """Returns the number of the report whose content a report repeats."""
        registration = report.registration
        content = self._contents.get(registration.name)
        if content is None or report.is_content_requested:
            return None
        basis = content.registration.report_number
        repeated = msgspec.structs.replace(registration, report_number=basis)
        return basis if repeated == content.registration else None

    def record_answer(
        self, batch: Batch, unknown: Collection[str], now: float
    ) -> None:
        """Records that the leader has answered a message.

        Args:
            batch: The message.
            unknown: Targets whose content the leader requests. Their reports
                are in the next message.
            now: The time.
        """
        self._in_flight -= 1
        self._drop_contents(now)
        requested = []
        for report in batch.reports:
            registration = report.registration
            if registration.name in unknown:
                self.forget(registration.name)
                report.is_content_requested = True
                requested.append(report)
                continue
            content = self._contents.get(registration.name)
            if (
                content is None
                or content.registration.order < registration.order
            ):
                self._contents[registration.name] = _Content(registration, now)
            report.on_acknowledged()
        self._counts["content_requested"] += len(requested)
        self._waiting.extendleft(reversed(requested))

    def record_failure(self, batch: Batch) -> None:
        """Records that no leader has answered a message in time."""
        self._in_flight -= 1
        self._counts["unanswered"] += len(batch.reports)
        for report in batch.reports:
            # The next leader has no content.
            self.forget(report.registration.name)

    def forget(self, target: str) -> None:
        """Sends the next report of a target in full."""
        self._contents.pop(target, None)

    def _drop_contents(self, now: float) -> None:
        if now < self._contents_dropped_at + _CONTENT_KEPT_SECONDS:
            return
        self._contents_dropped_at = now
        self._contents = {
            name: content
            for name, content in self._contents.items()
            if now - content.received_at <= _CONTENT_KEPT_SECONDS
        }
