"""Credit for one request, from this host's portions or from the leader."""

from __future__ import annotations

import asyncio

from endivestream import clock
from endivestream import site_messages
from endivestream.connection import watch as watch_lib
from endivestream.process import credit_questions
from endivestream.request import allowance as allowance_lib
from endivestream.request import forward_parts
from endivestream.version import document as document_lib

# A caller that nobody answered about credit comes back after so long.
_COME_BACK_SECONDS = 0.25
# Before a leader that did not answer is asked again.
_ASK_AGAIN_SECONDS = 0.05
# A leader that has not answered a renewal for so long may have been replaced.
# Its successor starts without credit, and a promise of the old leader beside
# that would give the same refill twice.
_PROMISE_SECONDS = 0.6


class EntryCredit(forward_parts.Credit):
    """Teams' credit on one entry host. Lives as long as the process."""

    def __init__(
        self,
        *,
        allowance: allowance_lib.Allowance,
        watch: watch_lib.Watch,
        host: str,
    ) -> None:
        self._allowance = allowance
        self._questions = credit_questions.CreditQuestions(
            watch=watch, host=host, unclaimed=self._unclaimed
        )

    async def take(
        self,
        team: document_lib.Team,
        cost: float,
        *,
        soon: float,
        patience: float,
    ) -> float | None:
        """Takes credit, waiting for it in the team's line if that pays."""
        allowance = self._allowance
        allowance.ask(team.name, cost)
        if cost > team.burst:
            # It would never fit, however long it waits.
            return max(1.0, cost / team.rate)
        until = clock.now() + patience
        in_time = clock.now() + soon
        unanswered_until = until + patience
        while not allowance.spend(team.name, cost, clock.now()):
            now = clock.now()
            left = max(0.0, until - now)
            if allowance.short_for(team.name, now) > left:
                # Asking is of no use before the leader's line is shorter.
                return allowance.told_for(team.name, now)
            grant = await self._ask(
                team.name, cost, soon=max(0.0, in_time - now), patience=left
            )
            if grant is None:
                # Nobody has said that the team is over its rate. Over a link
                # that loses packets the next answer comes in time more often
                # than not.
                if clock.now() < unanswered_until:
                    continue
                return _COME_BACK_SECONDS
            if grant.after and await self._matured(grant):
                return None
            if grant.short:
                return max(grant.short, grant.told)
        return None

    async def _ask(
        self, team: str, cost: float, *, soon: float, patience: float
    ) -> site_messages.Grant | None:
        """Asks the leader for credit; None without an answer."""
        balance = self._allowance.balance(team)
        need = site_messages.Need(team, 0.0, balance, cost)
        grant = await self._questions.ask(
            site_messages.CreditAsk(need, soon, patience)
        )
        if grant is None:
            # Without a leader the answer is there at once.
            await asyncio.sleep(_ASK_AGAIN_SECONDS)
            return None
        kept = grant._replace(credit=0.0) if grant.after else grant
        self._allowance.take(kept, clock.now())
        return grant

    def _unclaimed(self, grant: site_messages.Grant) -> None:
        """Keeps the credit of a request whose caller has left."""
        if grant.after:
            loop = asyncio.get_running_loop()
            loop.call_later(grant.after, self._keep, grant)
        else:
            self._allowance.take(grant, clock.now())

    async def _matured(self, grant: site_messages.Grant) -> bool:
        """Waits for promised credit; False if the promise does not hold."""
        due = clock.now() + grant.after
        try:
            await asyncio.sleep(grant.after)
        except asyncio.CancelledError:
            # Its caller has left. The credit is the team's, but not before it
            # is due.
            asyncio.get_running_loop().call_later(
                max(0.0, due - clock.now()), self._keep, grant
            )
            raise
        return self._holds()

    def _keep(self, grant: site_messages.Grant) -> None:
        if self._holds():
            self._allowance.refund(grant.team, grant.credit)

    def _holds(self) -> bool:
        """Whether the leader that promised surely leads."""
        return clock.now() - self._allowance.heard <= _PROMISE_SECONDS

    async def close(self) -> None:
        """Ends questions under way."""
        await self._questions.close()

    def refund(self, team: document_lib.Team, cost: float) -> None:
        """Gives back the credit of a request that has not run."""
        self._allowance.refund(team.name, cost)
