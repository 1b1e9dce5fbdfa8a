"""Rate limiter of the leader: owns the teams' token buckets.

It admits waiting charges when their credit is refilled.
"""

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

# A leader counts as new for this long. The reserve that its predecessor
# committed is worth one second of the rate.
_NEW_LEADER_SECONDS = 2.0


def _now_us() -> int:
    return time.monotonic_ns() // 1000


class Limiter:
    """Charges requests of all hosts to their teams while this process leads."""

    def __init__(
        self,
        *,
        reserve_credit: Callable[
            [dict[str, credit_lib.CreditLevel]], Awaitable[bool]
        ],
    ) -> None:
        self._reserve_credit = reserve_credit
        self._new_leader_until = _now_us() + int(_NEW_LEADER_SECONDS * 1e6)
        self._buckets: dict[str, buckets.Bucket] = {}
        self._teams: dict[str, rules_lib.Team] = {}
        self._waiting_charges: dict[str, asyncio.Future[None]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._short_teams: set[str] = set()
        self._reserve_task: asyncio.Task[None] | None = None

    async def close(self) -> None:
        """Stops; waiting charges must be repeated with the next leader."""
        for timer in self._timers.values():
            timer.cancel()
        for future in self._waiting_charges.values():
            if not future.done():
                future.set_exception(replicate.NotLeaderError(""))
        await tasks.cancel([self._reserve_task])

    def levels(self) -> dict[str, float]:
        """Returns the credit of each team in tokens."""
        now = _now_us()
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
        """Applies the teams of the rules; running and waiting charges stay.

        Args:
            teams: The teams of the rules.
            levels: At the start of a term, the credit that each team has at
                least, in millionths of a token; a team without a level starts
                with none. None later in the term: a new name is a new team and
                starts with its full burst.
        """
        now = _now_us()
        for name, team in teams.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                level = None if levels is None else levels.get(name, 0)
                self._buckets[name] = buckets.Bucket(
                    rate=team.rate, burst=team.burst, now=now, level=level
                )
            elif team != self._teams.get(name):
                bucket.change(rate=team.rate, burst=team.burst, now=now)
                self._admit_ready(name)
        for name in set(self._buckets) - set(teams):
            del self._buckets[name]
        self._teams = dict(teams)

    async def charge(
        self, message: messages.Charge
    ) -> messages.Charged | messages.Refused:
        """Answers a charge, after waiting for a refill within its patience."""
        bucket = self._buckets.get(message.team)
        if bucket is None:
            return messages.Refused(
                reason="unknown_team",
                detail=f"team {message.team!r} is not defined in the rules",
                retry_after=-1,
            )
        started_at = _now_us()
        patience = message.max_wait_seconds
        if not message.firm:
            # The credit reserved by the previous leader is lost. Teams within
            # their rate wait for its refill and are not refused because of it.
            patience = max(
                patience, (self._new_leader_until - started_at) / 1e6
            )
        charge = buckets.Charge(message.request, message.tokens)
        deadline = started_at + int(patience * 1e6)
        match bucket.charge(charge, now=started_at, deadline=deadline):
            case buckets.Admitted():
                self._request_reserve(message.team)
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
                    detail="the team exceeded its rate; credit for this "
                    f"request is available in {seconds:.1f} s",
                    retry_after=seconds,
                )
            case buckets.Wait():
                return await self._wait(bucket, message, started_at, patience)

    async def _wait(
        self,
        bucket: buckets.Bucket,
        message: messages.Charge,
        started_at: int,
        patience: float,
    ) -> messages.Charged | messages.Refused:
        # A charge that is sent again after the loss of a link waits for the
        # same credit as the first send.
        future = self._waiting_charges.get(message.request)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._waiting_charges[message.request] = future
        self._admit_ready(message.team)
        try:
            async with asyncio.timeout(patience):
                await asyncio.shield(future)
        except TimeoutError:
            # The rate was lowered meanwhile, which delayed the refill.
            bucket.cancel(message.request)
            return messages.Refused(
                reason="over_rate",
                detail="the team's credit was not available in time",
                retry_after=1.0,
            )
        finally:
            self._waiting_charges.pop(message.request, None)
        return messages.Charged(waited=(_now_us() - started_at) / 1e6)

    def complete_charge(self, completion: messages.Completion) -> None:
        """Returns unused credit and cancels a charge that still waits."""
        bucket = self._buckets.get(completion.team)
        if bucket is None:
            return
        bucket.cancel(completion.request)
        bucket.settle(completion.request, used=completion.used, now=_now_us())
        self._admit_ready(completion.team)

    def _admit_ready(self, team: str) -> None:
        """Admits charges whose credit is there; sets the timer for the next."""
        bucket = self._buckets[team]
        now = _now_us()
        for charge in bucket.ready(now):
            future = self._waiting_charges.get(charge.request)
            if future is not None and not future.done():
                future.set_result(None)
            else:
                # The waiting call has ended, so none of the credit was used.
                bucket.settle(charge.request, used=0, now=now)
        self._request_reserve(team)
        timer = self._timers.pop(team, None)
        if timer is not None:
            timer.cancel()
        at = bucket.next_ready(now)
        if at is not None and at > now:
            loop = asyncio.get_running_loop()
            self._timers[team] = loop.call_later(
                (at - now) / 1e6, self._on_timer, team
            )

    def _request_reserve(self, team: str) -> None:
        """Requests a reserve for a team that runs short."""
        self._short_teams.add(team)
        if self._reserve_task is None or self._reserve_task.done():
            self._reserve_task = asyncio.create_task(self._commit_reserves())

    async def _commit_reserves(self) -> None:
        """Commits reserves for all teams that run short, many in one entry."""
        while self._short_teams:
            names, self._short_teams = self._short_teams, set()
            now = _now_us()
            proposed = {}
            for name in names & self._buckets.keys():
                reserved = self._buckets[name].propose_reserve(now)
                if reserved is not None:
                    proposed[name] = reserved
            if not proposed:
                continue
            accepted = await self._reserve_credit(
                {
                    name: credit_lib.CreditLevel(
                        reserved.level_without_reserve, reserved.max_level
                    )
                    for name, reserved in proposed.items()
                }
            )
            for name in proposed.keys() & self._buckets.keys():
                bucket = self._buckets[name]
                if accepted:
                    bucket.confirm_reserve(proposed[name])
                else:
                    bucket.drop_reserve(proposed[name])
                self._admit_ready(name)
            if not accepted:
                return

    def _on_timer(self, team: str) -> None:
        if team in self._buckets:
            self._admit_ready(team)
