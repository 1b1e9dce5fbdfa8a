"""The task that owns the buckets of teams and wakes their waiting charges."""

from __future__ import annotations

import asyncio
import time

from endivestream import messages
from endivestream.request import buckets
from endivestream.version import rules as rules_lib


def _now() -> int:
    return time.monotonic_ns() // 1000


class Limiter:
    """Answers charges of all hosts, for the teams this process owns."""

    def __init__(self) -> None:
        self._buckets: dict[str, buckets.Bucket] = {}
        self._teams: dict[str, rules_lib.Team] = {}
        self._waiting: dict[str, asyncio.Future[None]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def close(self) -> None:
        """Stops the timers; waiting charges end by their own time limit."""
        for timer in self._timers.values():
            timer.cancel()

    def levels(self) -> dict[str, float]:
        """Returns each team's credit in tokens."""
        now = _now()
        return {
            name: round(bucket.level(now), 1)
            for name, bucket in self._buckets.items()
        }

    def set_teams(
        self, teams: dict[str, rules_lib.Team], *, fresh: bool
    ) -> None:
        """Follows the rules; running and waiting charges stay.

        Args:
            teams: The teams of the rules.
            fresh: Whether new names are new teams. After a restart they are
                not: what they spent before is forgotten here, so they start
                without credit, and never get more than their rate allows.
        """
        now = _now()
        for name, team in teams.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = buckets.Bucket(
                    rate=team.rate, burst=team.burst, now=now
                )
                if not fresh:
                    bucket.empty()
                self._buckets[name] = bucket
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
        charge = buckets.Charge(message.request, message.tokens)
        deadline = begun + int(message.patience * 1e6)
        match bucket.charge(charge, now=begun, deadline=deadline):
            case buckets.Admitted():
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
                return await self._wait(bucket, message, begun)

    async def _wait(
        self, bucket: buckets.Bucket, message: messages.Charge, begun: int
    ) -> messages.Charged | messages.Refused:
        future = asyncio.get_running_loop().create_future()
        self._waiting[message.request] = future
        self._wake(message.team)
        try:
            async with asyncio.timeout(message.patience):
                await future
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
        timer = self._timers.pop(team, None)
        if timer is not None:
            timer.cancel()
        at = bucket.next_ready(now)
        if at is not None:
            delay = max(0.0, (at - now) / 1e6)
            loop = asyncio.get_running_loop()
            self._timers[team] = loop.call_later(
                delay, self._wake_if_there, team
            )

    def _wake_if_there(self, team: str) -> None:
        if team in self._buckets:
            self._wake(team)
