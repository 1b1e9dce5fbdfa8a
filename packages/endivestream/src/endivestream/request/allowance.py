"""A team's credit on one entry host. Pure, with time as an argument.

The leader holds each team's bucket and hands credit out in portions. What a
host holds is spent without asking. While it hears from no leader it counts on
the rate that it was last told, for as long as the leader reckons with that.
"""

from __future__ import annotations

import dataclasses
import math

from endivestream import site_messages

# A host likes to hold credit for so many seconds of its recent demand: longer
# than an election, so that none is missed while there is no leader.
AHEAD_SECONDS = 1.5
# Demand is averaged over about so many seconds.
_AVERAGE_SECONDS = 2.0
# A host that hears no leader for so long counts on its rate alone: longer than
# the pause between two renewals, whose refill the leader hands out itself.
_SILENT_SECONDS = 0.8
# So long after it last heard a leader it stops. What it spends alone may come
# on top of what a new leader gives to others, so this bounds the excess: its
# part of the rate for this time.
_ALONE_SECONDS = 4.0
# Credit above this multiple of what is wanted goes back to the leader.
_SURPLUS = 2.0
# A team is idle if less credit is wanted than this fraction of its last
# request's cost. Idle teams are omitted from reports, which keeps renewals
# small when there are many hosts and teams.
_IDLE_SHARE = 0.05


@dataclasses.dataclass(kw_only=True)
class _Purse:
    """Credit of one team.

    Attributes:
        balance: Credit that may be spent.
        demand: Credit a second that was asked for lately.
        asked: Credit asked for since the last report.
        last_cost: Cost of the last request.
        most: The most that the leader lets this host hold.
        rate: Credit a second to count on without a leader.
        refilled: When `rate` was last added.
        short_until: Until when the leader has none to give.
        told_until: When refused callers were told to come back.
    """

    balance: float = 0.0
    demand: float = 0.0
    asked: float = 0.0
    last_cost: float = 0.0
    most: float = math.inf
    rate: float = 0.0
    refilled: float = 0.0
    short_until: float = float("-inf")
    told_until: float = float("-inf")


class Allowance:
    """Credit of all teams on this host."""

    def __init__(self) -> None:
        self._purses: dict[str, _Purse] = {}
        self._heard = float("-inf")
        self._averaged = float("-inf")

    def __repr__(self) -> str:
        return f"<Allowance of {len(self._purses)} teams>"

    @property
    def heard(self) -> float:
        """When the leader last answered."""
        return self._heard

    def balance(self, team: str) -> float:
        """Returns the credit held for a team."""
        purse = self._purses.get(team)
        return purse.balance if purse else 0.0

    def short_for(self, team: str, now: float) -> float:
        """Returns seconds until the leader has credit again; 0 if it has."""
        purse = self._purses.get(team)
        return max(0.0, purse.short_until - now) if purse else 0.0

    def told_for(self, team: str, now: float) -> float:
        """Returns seconds after which a refused caller should come back."""
        purse = self._purses.get(team)
        return max(0.0, purse.told_until - now) if purse else 0.0

    def ask(self, team: str, cost: float) -> None:
        """Counts a request's cost as demand, whether it is spent or not."""
        purse = self._purses.setdefault(team, _Purse())
        purse.asked += cost
        purse.last_cost = cost

    def spend(self, team: str, cost: float, now: float) -> bool:
        """Takes credit for a request; False if there is too little."""
        purse = self._purses.setdefault(team, _Purse())
        self._refill_alone(purse, now)
        if purse.balance < cost:
            return False
        purse.balance -= cost
        return True

    def _refill_alone(self, purse: _Purse, now: float) -> None:
        since = max(purse.refilled, self._heard + _SILENT_SECONDS)
        until = min(now, self._heard + _ALONE_SECONDS)
        if until > since:
            purse.balance += purse.rate * (until - since)
            purse.refilled = until

    def refund(self, team: str, cost: float) -> None:
        """Gives back the credit of a request that has not run."""
        purse = self._purses.setdefault(team, _Purse(last_cost=cost))
        purse.balance += cost

    def needs(self, now: float) -> tuple[site_messages.Need, ...]:
        """Returns what to report and ask for; starts a new report.

        Idle teams are omitted once their credit has been returned. Amounts are
        whole numbers.
        """
        seconds = min(_AVERAGE_SECONDS, max(0.0, now - self._averaged))
        self._averaged = now
        needs = []
        for team, purse in list(self._purses.items()):
            if seconds > 0:
                share = seconds / _AVERAGE_SECONDS
                now_asked = purse.asked / seconds
                purse.demand += share * (now_asked - purse.demand)
            wanted = purse.demand * AHEAD_SECONDS
            is_idle = wanted <= _IDLE_SHARE * purse.last_cost
            if is_idle:
                wanted = 0.0
            # Taken out before the report leaves: if that is lost, so is the
            # credit, but it is never both here and at the leader.
            keep = min(_SURPLUS * wanted, purse.most)
            returned = float(math.floor(max(0.0, purse.balance - keep)))
            purse.balance -= returned
            purse.asked = 0.0
            if not is_idle or returned:
                balance = float(math.ceil(purse.balance))
                needs.append(
                    site_messages.Need(
                        team, returned, balance, float(round(wanted))
                    )
                )
            elif max(purse.short_until, purse.told_until) < now:
                del self._purses[team]
        return tuple(needs)

    def take(self, grant: site_messages.Grant, now: float) -> None:
        """Adds what the leader gives."""
        purse = self._purses.setdefault(grant.team, _Purse())
        purse.balance += grant.credit
        purse.rate = grant.rate
        purse.most = grant.most
        purse.short_until = now + grant.short
        purse.told_until = now + grant.told

    def heard_leader(self, now: float) -> None:
        """Notes that the leader answered: it counts the refill from here."""
        self._heard = now
