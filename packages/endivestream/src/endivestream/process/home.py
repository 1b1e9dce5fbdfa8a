"""The gateway's part as home of targets: passes their reports on, packed."""

from __future__ import annotations

import asyncio
import contextlib

from endivestream import logs
from endivestream import messages
from endivestream.connection import links
from endivestream.process import gateway as gateway_lib

# Reports gather for this long. It adds to the time until a leaving target
# gets no new work, and is small beside the second between reports.
_GATHER_SECONDS = 0.1


class Home:
    """Gathers the newest report of each target that reports here."""

    def __init__(self, *, gateway: gateway_lib.Gateway) -> None:
        self._gateway = gateway
        self._reports: dict[str, messages.TargetReport] = {}
        self._unknown: set[str] = set()
        self._news = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to pass reports on."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops; what was not passed on comes with the next report."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def report(self, report: messages.TargetReport) -> bool:
        """Takes a report in; False if the target must announce itself."""
        known = self._reports.get(report.name)
        newer = known is None or (
            (known.incarnation, known.sequence)
            < (report.incarnation, report.sequence)
        )
        if newer:
            self._reports[report.name] = report
            self._news.set()
        if report.name in self._unknown:
            self._unknown.discard(report.name)
            return False
        return True

    async def _run(self) -> None:
        while True:
            await self._news.wait()
            await asyncio.sleep(_GATHER_SECONDS)
            self._news.clear()
            reports = list(self._reports.values())
            self._reports.clear()
            try:
                answer = await self._gateway.ask(
                    messages.Report(reports=reports),
                    seconds=self._gateway.settings.peers.request_seconds,
                )
            except links.LinkDownError as error:
                # Stale by design: the next reports replace these.
                logs.warn("reports_lost", count=len(reports), why=error)
                continue
            if isinstance(answer, messages.Known):
                self._unknown.update(answer.unknown)
