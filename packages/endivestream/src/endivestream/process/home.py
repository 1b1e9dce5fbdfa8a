"""The gateway's part as home of targets: passes their reports on, packed.

The home remembers what its targets announced and last reported. A new leader
knows no target; the homes tell it at once, so that targets need not notice.
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

# Reports gather for this long. It adds to the time until a leaving target
# gets no new work, and is small beside the second between reports.
_GATHER_SECONDS = 0.1
# A report older than this many report times is not passed on: it would make
# a target that fell silent look alive.
_FRESH_REPORTS = 1.5
# A target that reports elsewhere by now, or nowhere, is forgotten.
_FORGET_SECONDS = 60.0


class _Target(NamedTuple):
    info: messages.TargetInfo
    report: messages.TargetReport | None
    heard: float


class Home:
    """Passes on what the targets that report here say."""

    def __init__(self, *, gateway: gateway_lib.Gateway) -> None:
        self._gateway = gateway
        self._targets: dict[str, _Target] = {}
        self._changed: set[str] = set()
        self._news = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to pass reports on."""
        self._gateway.on_leader_change(self._tell_all)
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops; what was not passed on comes with the next report."""
        await tasks.cancel([self._task])

    async def announce(self, info: messages.TargetInfo) -> str:
        """Passes an announcement on; returns why it is refused, or empty.

        Raises:
            links.LinkDownError: No leader answered.
        """
        answer = await self._gateway.ask(
            messages.Announce(info=info),
            seconds=self._gateway.settings.peers.request_seconds,
        )
        assert isinstance(answer, messages.Known), answer
        if not answer.reason:
            self._targets[info.name] = _Target(info, None, time.monotonic())
        return answer.reason

    def report(self, report: messages.TargetReport) -> bool:
        """Takes a report in; False if the target must announce itself."""
        known = self._targets.get(report.name)
        if known is None or known.info.incarnation != report.incarnation:
            return False
        last = known.report
        if last is None or last.sequence < report.sequence:
            self._targets[report.name] = known._replace(
                report=report, heard=time.monotonic()
            )
            self._changed.add(report.name)
            self._news.set()
        return True

    def _tell_all(self) -> None:
        """Has everything told again, to a leader that may know nothing."""
        gone = time.monotonic() - _FORGET_SECONDS
        for name, target in list(self._targets.items()):
            if target.heard < gone:
                del self._targets[name]
        self._changed.update(self._targets)
        self._news.set()

    async def _run(self) -> None:
        while True:
            await self._news.wait()
            await asyncio.sleep(_GATHER_SECONDS)
            self._news.clear()
            changed, self._changed = self._changed, set()
            try:
                await self._pass_on(changed)
            except links.LinkDownError as error:
                # Stale by design: the next reports replace these.
                logs.warn("reports_lost", count=len(changed), why=error)

    async def _pass_on(self, names: set[str]) -> None:
        unknown = await self._send_reports(names)
        if not unknown:
            return
        for name in unknown:
            if name in self._targets:
                await self._announce_again(name)
        await self._send_reports(set(unknown))

    async def _announce_again(self, name: str) -> None:
        """Tells a leader that does not know it what a target announced."""
        known = self._targets[name]
        refused = await self.announce(known.info)
        if refused:
            del self._targets[name]
            logs.warn("target_refused", target=name, why=refused)
        else:
            self._targets[name] = known

    async def _send_reports(self, names: set[str]) -> list[str]:
        """Sends the named targets' reports; returns whom nobody knows."""
        seconds = self._gateway.settings.timing.report_seconds
        now = time.monotonic()
        reports = [
            target.report
            for name in sorted(names & self._targets.keys())
            for target in [self._targets[name]]
            if target.report is not None
            and now - target.heard < _FRESH_REPORTS * seconds
        ]
        if not reports:
            return []
        answer = await self._gateway.ask(
            messages.Report(reports=reports),
            seconds=self._gateway.settings.peers.request_seconds,
        )
        assert isinstance(answer, messages.Known), answer
        return answer.unknown
