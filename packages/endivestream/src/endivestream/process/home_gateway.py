"""Home gateway of targets: forwards their reports to the leader in batches.

The home gateway keeps the announcement and the last report of each of its
targets. A new leader starts without any target. The home gateways then forward
everything to it immediately, so that targets need not announce themselves
again.
"""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from endivestream import logs
from endivestream import messages
from endivestream import tasks
from endivestream.connection import links
from endivestream.process import gateway as gateway_lib

# Reports are batched for this long. It adds to the time until a departing
# target gets no new requests, and is short compared with the second between
# reports.
_BATCH_SECONDS = 0.1
# A report older than this many report intervals is not forwarded: a silent
# target would appear to be live.
_MAX_REPORT_AGE_INTERVALS = 1.5
# A target without reports for this long is removed. It may have another home
# gateway by then, or none.
_REMOVE_AFTER_SECONDS = 60.0


class _TargetState(NamedTuple):
    info: messages.TargetInfo
    report: messages.TargetReport | None
    last_report_at: float


class HomeGateway:
    """Forwards the reports of targets whose home gateway is this host."""

    def __init__(self, *, gateway: gateway_lib.Gateway) -> None:
        self._gateway = gateway
        self._targets: dict[str, _TargetState] = {}
        self._changed: set[str] = set()
        self._reports_due = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to forward reports."""
        self._gateway.on_leader_change(self._queue_all)
        self._task = asyncio.create_task(self._run_forwarding())

    async def close(self) -> None:
        """Stops; reports not yet forwarded are replaced by later ones."""
        await tasks.cancel([self._task])

    async def announce(self, info: messages.TargetInfo) -> str:
        """Forwards the announcement of a target to the leader.

        Args:
            info: The announcement.

        Returns:
            Why the leader refused it, or an empty string.

        Raises:
            links.LinkDownError: No leader answered.
        """
        answer = await self._gateway.request_leader(
            messages.Announce(info=info),
            seconds=self._gateway.settings.peers.request_seconds,
        )
        assert isinstance(answer, messages.Known), answer
        if not answer.reason:
            self._targets[info.name] = _TargetState(
                info, None, time.monotonic()
            )
        return answer.reason

    def report(self, report: messages.TargetReport) -> bool:
        """Queues a target's report for the leader.

        Args:
            report: The report.

        Returns:
            False if the target must announce itself first.
        """
        state = self._targets.get(report.name)
        if state is None or state.info.incarnation != report.incarnation:
            return False
        last = state.report
        if last is None or last.sequence < report.sequence:
            self._targets[report.name] = state._replace(
                report=report, last_report_at=time.monotonic()
            )
            self._changed.add(report.name)
            self._reports_due.set()
        return True

    def _queue_all(self) -> None:
        """Queues all reports, for a new leader that may have none of them."""
        oldest = time.monotonic() - _REMOVE_AFTER_SECONDS
        for name, target in list(self._targets.items()):
            if target.last_report_at < oldest:
                del self._targets[name]
        self._changed.update(self._targets)
        self._reports_due.set()

    async def _run_forwarding(self) -> None:
        while True:
            await self._reports_due.wait()
            await asyncio.sleep(_BATCH_SECONDS)
            self._reports_due.clear()
            changed, self._changed = self._changed, set()
            try:
                await self._forward(changed)
            except links.LinkDownError as error:
                # These reports are not sent again: the next ones replace them.
                logs.warn("reports_lost", count=len(changed), why=error)

    async def _forward(self, names: set[str]) -> None:
        unknown = await self._send_reports(names)
        if not unknown:
            return
        for name in unknown:
            if name in self._targets:
                await self._announce_again(name)
        await self._send_reports(set(unknown))

    async def _announce_again(self, name: str) -> None:
        """Forwards a target's announcement to a leader that lacks it."""
        state = self._targets[name]
        refusal = await self.announce(state.info)
        if refusal:
            del self._targets[name]
            logs.warn("target_refused", target=name, why=refusal)
        else:
            self._targets[name] = state

    async def _send_reports(self, names: set[str]) -> list[str]:
        """Sends targets' reports to the leader.

        Args:
            names: The targets.

        Returns:
            Targets whose announcement the leader lacks.
        """
        seconds = self._gateway.settings.timing.report_seconds
        now = time.monotonic()
        reports = [
            target.report
            for name in sorted(names & self._targets.keys())
            for target in [self._targets[name]]
            if target.report is not None
            and now - target.last_report_at
            < _MAX_REPORT_AGE_INTERVALS * seconds
        ]
        if not reports:
            return []
        answer = await self._gateway.request_leader(
            messages.Report(reports=reports),
            seconds=self._gateway.settings.peers.request_seconds,
        )
        assert isinstance(answer, messages.Known), answer
        return answer.unknown
