"""Takes requests' credit from this host's credit share or the leader."""

from __future__ import annotations

import asyncio

from endivestream import clock
from endivestream import limit_messages
from endivestream.connection import watch as watch_lib
from endivestream.process import credit_requests
from endivestream.request import credit_shares as credit_shares_lib
from endivestream.request import forward_parts
from endivestream.version import document as document_lib

# Suggested to a caller as the time until a retry if no leader answered its
# credit request.
_RETRY_AFTER_SECONDS = 0.25
# Delay before a credit request is sent again to a leader that did not answer.
_RESEND_DELAY_SECONDS = 0.05
# A leader that has not answered a renewal for this long may have been
# replaced. Its successor starts without credit. If a reservation granted by
# the old leader remained valid beside that, the same refill would be spent
# twice.
_RESERVATION_VALID_SECONDS = 0.6


class EntryCredit(forward_parts.Credit):
    """Teams' credit on one entry host, created once at process start."""

    def __init__(
        self,
        *,
        credit_shares: credit_shares_lib.CreditShares,
        watch: watch_lib.LeaderSession,
        host: str,
    ) -> None:
        self._credit_shares = credit_shares
        self._credit_requester = credit_requests.CreditRequester(
            watch=watch, host=host, on_unclaimed=self._return_unclaimed
        )

    async def take(
        self,
        team: document_lib.Team,
        cost: float,
        *,
        timely_within: float,
        patience: float,
    ) -> float | None:
        """Takes credit, waiting in the team's reservation queue if useful.

        Args:
            team: The team of the request.
            cost: The request's cost.
            timely_within: Seconds that the request can wait and still be in
                time.
            patience: Seconds for which the request may wait.

        Returns:
            None if the credit was taken, else the seconds after which the
            caller may retry.
        """
        credit_shares = self._credit_shares
        credit_shares.record_demand(team.name, cost)
        if cost > team.burst:
            # The balance never reaches this cost, however long the wait.
            return max(1.0, cost / team.rate)
        deadline = clock.now() + patience
        timely_deadline = clock.now() + timely_within
        resend_deadline = deadline + patience
        while not credit_shares.spend(team.name, cost, clock.now()):
            now = clock.now()
            remaining = max(0.0, deadline - now)
            if credit_shares.short_for(team.name, now) > remaining:
                # The leader's reservation queue is too long: a credit request
                # would not be granted in time.
                return credit_shares.retry_after(team.name, now)
            grant = await self._request_credit(
                team.name,
                cost,
                timely_within=max(0.0, timely_deadline - now),
                patience=remaining,
            )
            if grant is None:
                # Without an answer it is unknown whether the team is over its
                # rate. Over a link that loses packets, the answer to a second
                # request usually arrives in time.
                if clock.now() < resend_deadline:
                    continue
                return _RETRY_AFTER_SECONDS
            if grant.usable_in and await self._wait_for_reservation(grant):
                return None
            if grant.available_in:
                return max(grant.available_in, grant.retry_after)
        return None

    async def _request_credit(
        self, team: str, cost: float, *, timely_within: float, patience: float
    ) -> limit_messages.Grant | None:
        """Requests credit from the leader; None if it did not answer."""
        balance = self._credit_shares.balance(team)
        need = limit_messages.Need(team, 0.0, balance, cost)
        grant = await self._credit_requester.request(
            limit_messages.CreditRequest(need, timely_within, patience)
        )
        if grant is None:
            # Without a leader, the call above returns immediately.
            await asyncio.sleep(_RESEND_DELAY_SECONDS)
            return None
        immediate_grant = (
            grant._replace(credit=0.0) if grant.usable_in else grant
        )
        self._credit_shares.apply_grant(immediate_grant, clock.now())
        return grant

    def _return_unclaimed(self, grant: limit_messages.Grant) -> None:
        """Returns to the team the credit of a disconnected caller's request."""
        if grant.usable_in:
            loop = asyncio.get_running_loop()
            loop.call_later(grant.usable_in, self._return_reserved, grant)
        else:
            self._credit_shares.apply_grant(grant, clock.now())

    async def _wait_for_reservation(self, grant: limit_messages.Grant) -> bool:
        """Waits for reserved credit; returns whether it is still valid."""
        due_at = clock.now() + grant.usable_in
        try:
            await asyncio.sleep(grant.usable_in)
        except asyncio.CancelledError:
            # The caller has disconnected. The credit is returned to the team,
            # but not before it is due.
            asyncio.get_running_loop().call_later(
                max(0.0, due_at - clock.now()), self._return_reserved, grant
            )
            raise
        return self._is_reservation_valid()

    def _return_reserved(self, grant: limit_messages.Grant) -> None:
        if self._is_reservation_valid():
            self._credit_shares.refund(grant.team, grant.credit)

    def _is_reservation_valid(self) -> bool:
        """Returns whether the leader that made the reservation still leads."""
        return (
            clock.now() - self._credit_shares.last_answer_at
            <= _RESERVATION_VALID_SECONDS
        )

    async def close(self) -> None:
        """Cancels credit requests in flight."""
        await self._credit_requester.close()

    def refund(self, team: document_lib.Team, cost: float) -> None:
        """Returns the credit of a request that was not run."""
        self._credit_shares.refund(team.name, cost)
