"""The attempts of one request: places on targets, one after another.

What a generation and a service call have in common: how many targets are
tried, how soon, with which budget, and that every place is given back.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple

from endivestream import findings
from endivestream import logs
from endivestream import messages
from endivestream.process import gateway as gateway_lib
from endivestream.request import retries


class Work(NamedTuple):
    """What a place is asked for.

    Attributes:
        request: The request's id.
        team: The caller's team.
        needs: A model's name or `service:NAME`.
        tokens: Expected work, in tokens.
        blocks: Names of the prompt's blocks; see `prefixes`.
        deadline: Latest time of use, by the steady clock.
    """

    request: str
    team: str
    needs: str
    tokens: int
    blocks: tuple[int, ...]
    deadline: float


class Attempts:
    """Asks for a place, gives it back, and decides about the next.

    Attributes:
        why: Why the last attempt broke off; empty before the first.
    """

    def __init__(
        self,
        *,
        gateway: gateway_lib.Gateway,
        budget: retries.Budget,
        rng: random.Random,
        work: Work,
    ) -> None:
        self.why = ""
        self._gateway = gateway
        self._budget = budget
        self._rng = rng
        self._work = work
        self._number = 0
        self._avoid: list[str] = []
        self._target = ""
        budget.request()

    @property
    def name(self) -> str:
        """The present attempt's id."""
        return f"{self._work.request}.{self._number}"

    async def place(self, *, begun: bool) -> messages.Ticket | findings.Failure:
        """Returns a place for the next attempt, or why there is none.

        Args:
            begun: Whether any byte of the request may have left already.
        """
        self._number += 1
        patience = self._work.deadline - time.monotonic()
        try:
            answer = await self._gateway.ticket(
                messages.AskTicket(
                    request=self.name,
                    team=self._work.team,
                    needs=self._work.needs,
                    tokens=self._work.tokens,
                    patience=max(0.05, patience),
                    avoid=self._avoid,
                    host=self._gateway.settings.host.name,
                    blocks=self._work.blocks,
                )
            )
        except asyncio.CancelledError:
            # The place may be granted after this; it must come back.
            self.give_back(used=0)
            raise
        if isinstance(answer, messages.Refused):
            return findings.not_run(
                answer.reason,
                answer.detail,
                status=503,
                retry_after=answer.retry_after,
            )
        # A host that was frozen or waited long must not begin work on what
        # was in force then. Work that has begun may end.
        failure = None if begun else self._gateway.lost_lease()
        if failure is not None:
            self.give_back(used=0)
            return failure
        self._target = answer.target
        return answer

    def give_back(
        self, *, used: int, failed: bool = False, answered: bool = False
    ) -> None:
        """Gives the present attempt's place back."""
        self._gateway.end(
            messages.Ending(
                request=self.name,
                team="",
                used=used,
                failed=failed,
                answered=answered,
            )
        )

    async def may_go_on(self, why: str, *, sent: bool) -> bool:
        """Tells whether another target may be tried, after a pause if so."""
        self.why = why
        logs.warn(
            "attempt_broken",
            request=self._work.request,
            attempt=self._number,
            target=self._target,
            sent=sent,
            why=why,
        )
        self._avoid.append(self._target)
        most = self._gateway.settings.requests.attempts
        if self._number >= most or not self._budget.retry():
            return False
        await asyncio.sleep(retries.backoff(self._number, rng=self._rng))
        return True
