"""The task that owns the target table and the scheduler of one pool."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Collection
import contextlib
import time

from endivestream import logs
from endivestream import messages
from endivestream import tasks
from endivestream.connection import targets as targets_lib
from endivestream.request import scheduler as scheduler_lib
from endivestream.version import replicate
from endivestream.version import rules as rules_lib

# How often silence and deadlines are looked at.
_TICK_SECONDS = 0.25
# A silent target is forgotten, and its name free for display, after this.
_FORGET_SECONDS = 600.0
# Ended requests remembered, against asks that come after their ending; at
# 1,000 requests a second those of the last 10 s.
_ENDED_KEPT = 10_000


class Dispatcher:
    """Hands out places on targets, and hears their reports.

    Attributes:
        targets: The target table.
    """

    def __init__(
        self, *, silence_seconds: float, settle_seconds: float
    ) -> None:
        self.targets = targets_lib.Targets(silence_seconds=silence_seconds)
        self._scheduler = scheduler_lib.Scheduler()
        self._teams: dict[str, rules_lib.Team] = {}
        self._waiting: dict[
            str, asyncio.Future[scheduler_lib.Grant | None]
        ] = {}
        self._ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._by_host: dict[str, set[str]] = {}
        self._host_of: dict[str, str] = {}
        self._settled_at = time.monotonic() + settle_seconds
        self._arrived = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts watching silence and deadlines."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops; places that are waited for are the next leader's to give."""
        await tasks.cancel([self._task])
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(replicate.NotLeaderError(""))

    def set_teams(self, teams: dict[str, rules_lib.Team]) -> None:
        """Follows the rules' weights."""
        self._teams = dict(teams)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            now = time.monotonic()
            for name in self.targets.forget(now, _FORGET_SECONDS):
                logs.event("target_forgotten", target=name)
            names = {*self.targets.sessions, *self._scheduler.targets}
            self._look_at(names, now)
            self._expire(now)
            self._wake(now)

    def _look_at(self, names: Collection[str], now: float) -> None:
        """Shows the scheduler what changed of some targets.

        Only of those: looking at all 650 with each of 80 messages a second
        took a third of a core.
        """
        for name in names:
            session = self.targets.sessions.get(name)
            known = name in self._scheduler.targets
            if session is not None and self.targets.is_live(session, now):
                self._scheduler.put_target(_as_target(session))
                if not known:
                    logs.event("target_in", target=name)
                    self._arrived.set()
            elif known:
                self._scheduler.drop_target(name)
                logs.warn("target_out", target=name)

    def _expire(self, now: float) -> None:
        for ask in self._scheduler.expire(now):
            self._answer(ask.request, None)

    def _wake(self, now: float) -> None:
        for grant in self._scheduler.ready(now):
            if not self._answer(grant.request, grant):
                self._scheduler.release(grant.request, tokens=0)

    def _answer(self, request: str, grant: scheduler_lib.Grant | None) -> bool:
        future = self._waiting.get(request)
        if future is None or future.done():
            return False
        future.set_result(grant)
        return True

    def announce(self, info: messages.TargetInfo) -> str:
        """Takes an announcement in; returns why it is refused, or empty."""
        now = time.monotonic()
        known = self.targets.sessions.get(info.name)
        refused = self.targets.announce(info, now)
        if not refused:
            if known and known.info.incarnation != info.incarnation:
                self._scheduler.forget(info.name)
            self._look_at([info.name], now)
            self._wake(now)
        return refused

    def report(self, reports: list[messages.TargetReport]) -> list[str]:
        """Takes reports in; returns targets that must announce themselves."""
        now = time.monotonic()
        unknown = [
            report.name
            for report in reports
            if not self.targets.report(report, now)
        ]
        self._look_at([report.name for report in reports], now)
        self._wake(now)
        return unknown

    def drain(self, name: str, draining: bool) -> bool:
        """Holds a target back, or lets it work again; False if unknown."""
        now = time.monotonic()
        known = self.targets.hold_back(name, draining)
        self._look_at([name], now)
        self._wake(now)
        return known

    async def ask(
        self, message: messages.AskTicket
    ) -> messages.Ticket | messages.Refused:
        """Answers with a place, after a wait if one comes in time."""
        await self._await_target(message)
        if message.request in self._ended:
            # A late send of an ask that is over: its place would be given
            # back by nobody, and the target would have one less for good.
            return _too_late(message)
        now = time.monotonic()
        team = self._teams.get(message.team)
        ask = scheduler_lib.Ask(
            message.request,
            message.team,
            team.weight if team else 1,
            message.needs,
            message.tokens,
            now + message.patience,
            frozenset(message.avoid),
            message.blocks,
        )
        answer = self._scheduler.ask(ask, now=now)
        if isinstance(answer, scheduler_lib.NoTarget):
            return _no_target(message.needs)
        if isinstance(answer, scheduler_lib.Queued):
            grant = await self._wait(message)
            if grant is None:
                if not self._scheduler.serves(ask.needs, ask.avoid):
                    return _no_target(message.needs)
                return _too_late(message)
        else:
            grant = answer
        return self._ticket(message, grant)

    async def _await_target(self, message: messages.AskTicket) -> None:
        """Waits, in a new leader, for what homes are about to tell.

        Refusing at once would turn away callers for targets that live; the
        homes tell of them within a tenth of a second.
        """
        until = min(self._settled_at, time.monotonic() + message.patience)
        avoid = frozenset(message.avoid)
        while not self._scheduler.serves(message.needs, avoid):
            left = until - time.monotonic()
            if left <= 0:
                return
            self._arrived.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._arrived.wait()

    async def _wait(
        self, message: messages.AskTicket
    ) -> scheduler_lib.Grant | None:
        # Asked again, it waits for the same place as its first send.
        future = self._waiting.get(message.request)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._waiting[message.request] = future
        try:
            async with asyncio.timeout(message.patience):
                return await asyncio.shield(future)
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(message.request, None)
            if not future.done():
                self._scheduler.release(message.request, tokens=0)

    def _ticket(
        self, message: messages.AskTicket, grant: scheduler_lib.Grant
    ) -> messages.Ticket:
        info = self.targets.sessions[grant.target].info
        self._by_host.setdefault(message.host, set()).add(message.request)
        self._host_of[message.request] = message.host
        logs.event(
            "route",
            request=message.request,
            team=message.team,
            needs=message.needs,
            target=grant.target,
            reason=grant.reason,
            waited_ms=grant.waited * 1000,
            queue=self._scheduler.waiting,
        )
        return messages.Ticket(
            target=grant.target,
            url=info.url,
            resumes=info.resumes,
            waited=grant.waited,
            reason=grant.reason,
        )

    def release(self, ending: messages.Ending) -> None:
        """Takes a place back. Idempotent."""
        now = time.monotonic()
        self._ended[ending.request] = None
        while len(self._ended) > _ENDED_KEPT:
            self._ended.popitem(last=False)
        host = self._host_of.pop(ending.request, None)
        if host is not None:
            self._by_host[host].discard(ending.request)
        if ending.failed or ending.answered:
            ejected = self._scheduler.ended(
                ending.request, failed=ending.failed, now=now
            )
            if ejected:
                logs.warn("target_ejected", target=ejected)
        self._scheduler.release(ending.request, tokens=ending.used)
        self._wake(now)

    def release_host(self, host: str) -> int:
        """Takes back every place of a host that is gone; returns how many."""
        requests = self._by_host.pop(host, set())
        for request in requests:
            del self._host_of[request]
            self._scheduler.release(request)
        self._wake(time.monotonic())
        return len(requests)


def _as_target(session: targets_lib.Session) -> scheduler_lib.Target:
    info, report = session.info, session.report
    serves = {f"service:{name}" for name in info.services} | session.loaded
    backlog = report.queued_tokens if report is not None else 0
    return scheduler_lib.Target(
        info.name, frozenset(serves), info.slots, backlog
    )


def _no_target(needs: str) -> messages.Refused:
    return messages.Refused(
        reason="no_target",
        detail=f"nothing that serves {needs!r} is live at the moment",
        retry_after=1.0,
    )


def _too_late(message: messages.AskTicket) -> messages.Refused:
    return messages.Refused(
        reason="overloaded",
        detail=f"no place for {message.needs!r} within "
        f"{message.patience:.1f} s",
        retry_after=1.0,
    )
