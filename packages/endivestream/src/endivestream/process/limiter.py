"""The task that owns the buckets of teams and wakes their waiting charges."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from endivestream import messages
from endivestream import tasks
from endivestream.request import buckets
from endivestream.version import credit as credit_lib
from endivestream.version import replicate
from endivestream.version import rules as rules_lib

# A leader is new for so long; a portion is a second's worth of the rate.
_YOUNG_SECONDS = 2.0


def _now() -> int:
    return time.monotonic_ns() // 1000


class Limiter:
    """Answers charges of all hosts, while this process leads."""

    def __init__(
        self,
        *,
        set_aside: Callable[[dict[str, credit_lib.Level]], Awaitable[bool]],
    ) -> None:
        self._set_aside = set_aside
        self._young_until = _now() + int(_YOUNG_SECONDS * 1e6)
        self._buckets: dict[str, buckets.Bucket] = {}
        self._teams: dict[str, rules_lib.Team] = {}
        self._waiting: dict[str, asyncio.Future[None]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._short: set[str] = set()
        self._setting_aside: asyncio.Task[None] | None = None

    async def close(self) -> None:
        """Stops; waiting charges are to be asked of the next leader."""
        for timer in self._timers.values():
            timer.cancel()
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(replicate.NotLeaderError(""))
        await tasks.cancel([self._setting_aside])

    def levels(self) -> dict[str, float]:
        """Returns each team's credit in tokens."""
        now = _now()
        return {
            name: round(bucket.level(now), 1)
            for name, bucket in self._buckets.items()
        }

    def set_teams(
        self,
        teams: dict[str, rules_lib.Team],
        *,
        levels: dict[str, int] | None = None,
    ) -> None:
        """Follows the rules; running and waiting charges stay.

        Args:
            teams: The teams of the rules.
            levels: At the start of a leadership, what each team surely has,
                in millionths of a token; one without a level has nothing.
                Later, None: a new name is a new team, with its whole burst.
        """
        now = _now()
        for name, team in teams.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                level = None if levels is None else levels.get(name, 0)
                self._buckets[name] = buckets.Bucket(
                    rate=team.rate, burst=team.burst, now=now, level=level
                )
            elif team != self._teams.get(name):
                bucket.change(rate=team.rate, burst=team.burst, now=now)
                self._wake(name)
        for name in set(self._buckets) - set(teams):
            del self._buckets[name]
        self._teams = dict(teams)

    async def charge(
        self, message: messages.Charge
    ) -> messages.Charged | messages.Refused:
        """Answers a charge, after the refill if it comes in time."""
        bucket = self._buckets.get(message.team)
        if bucket is None:
            return messages.Refused(
                reason="unknown_team",
                detail=f"team {message.team!r} is not in the rules",
                retry_after=-1,
            )
        begun = _now()
        patience = message.patience
        if not message.firm:
            # The last leader's portions are gone. Teams inside their rate
            # wait for that; they are not refused for it.
            patience = max(patience, (self._young_until - begun) / 1e6)
        charge = buckets.Charge(message.request, message.tokens)
        deadline = begun + int(patience * 1e6)
        match bucket.charge(charge, now=begun, deadline=deadline):
            case buckets.Admitted():
                self._look_at_portion(message.team)
                return messages.Charged(waited=0.0)
            case buckets.TooLarge(burst=burst):
                return messages.Refused(
                    reason="above_burst",
                    detail=f"the request costs {message.tokens} tokens, above "
                    f"the team's burst of {burst}; it can never be admitted",
                    retry_after=-1,
                )
            case buckets.TooLate(seconds=seconds):
                return messages.Refused(
                    reason="over_rate",
                    detail="the team is over its rate; its credit for this "
                    f"request comes in {seconds:.1f} s",
                    retry_after=seconds,
                )
            case buckets.Wait():
                return await self._wait(bucket, message, begun, patience)

    async def _wait(
        self,
        bucket: buckets.Bucket,
        message: messages.Charge,
        begun: int,
        patience: float,
    ) -> messages.Charged | messages.Refused:
        # A charge that was sent again, after its link was lost, waits for the
        # same credit as its first send.
        future = self._waiting.get(message.request)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._waiting[message.request] = future
        self._wake(message.team)
        try:
            async with asyncio.timeout(patience):
                await asyncio.shield(future)
        except TimeoutError:
            # A rate that was lowered while this waited moved its refill.
            bucket.cancel(message.request)
            return messages.Refused(
                reason="over_rate",
                detail="the team's credit did not come in time",
                retry_after=1.0,
            )
        finally:
            self._waiting.pop(message.request, None)
        return messages.Charged(waited=(_now() - begun) / 1e6)

    def settle(self, ending: messages.Ending) -> None:
        """Gives unused credit back, and takes a waiting charge out."""
        bucket = self._buckets.get(ending.team)
        if bucket is None:
            return
        bucket.cancel(ending.request)
        bucket.settle(ending.request, used=ending.used, now=_now())
        self._wake(ending.team)

    def _wake(self, team: str) -> None:
        """Admits what is ready and sets the timer for the next."""
        bucket = self._buckets[team]
        now = _now()
        for charge in bucket.ready(now):
            future = self._waiting.get(charge.request)
            if future is not None and not future.done():
                future.set_result(None)
            else:
                # The one who waited is gone: nothing of it was used.
                bucket.settle(charge.request, used=0, now=now)
        self._look_at_portion(team)
        timer = self._timers.pop(team, None)
        if timer is not None:
            timer.cancel()
        at = bucket.next_ready(now)
        if at is not None and at > now:
            loop = asyncio.get_running_loop()
            self._timers[team] = loop.call_later(
                (at - now) / 1e6, self._wake_if_there, team
            )

    def _look_at_portion(self, team: str) -> None:
        """Has a portion set aside for a team that runs short of it."""
        self._short.add(team)
        if self._setting_aside is None or self._setting_aside.done():
            self._setting_aside = asyncio.create_task(self._set_all_aside())

    async def _set_all_aside(self) -> None:
        """Commits portions of all teams that run short, many in one entry."""
        while self._short:
            names, self._short = self._short, set()
            now = _now()
            proposed = {}
            for name in names & self._buckets.keys():
                portion = self._buckets[name].propose_portion(now)
                if portion is not None:
                    proposed[name] = portion
            if not proposed:
                continue
            accepted = await self._set_aside(
                {
                    name: credit_lib.Level(portion.rest, portion.most)
                    for name, portion in proposed.items()
                }
            )
            for name in proposed.keys() & self._buckets.keys():
                bucket = self._buckets[name]
                if accepted:
                    bucket.confirm_portion(proposed[name])
                else:
                    bucket.drop_portion(proposed[name])
                self._wake(name)
            if not accepted:
                return

    def _wake_if_there(self, team: str) -> None:
        if team in self._buckets:
            self._wake(team)
