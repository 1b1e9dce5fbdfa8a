"""Credit shares of teams on one entry host. Does no I/O.

The leader owns each team's token bucket and grants credit shares to entry
hosts. A host spends its share without a request to the leader. While it
receives nothing from a leader it refills the share at the last granted rate,
for as long as the leader accounts for that. The current time is passed as an
argument.
"""

from __future__ import annotations

import dataclasses
import math

from endivestream import limit_messages

# A host requests credit for this many seconds of its recent demand: longer than
# an election, so that the share does not run out while there is no leader.
CREDIT_AHEAD_SECONDS = 1.5
# Approximate time over which demand is averaged.
_DEMAND_AVERAGE_SECONDS = 2.0
# A host that has received nothing from a leader for this time refills its
# shares itself. Longer than the interval between two lease renewals, whose
# refill the leader grants.
_LEADER_SILENCE_SECONDS = 0.8
# The host stops refilling this long after the last answer of a leader. Credit
# that it adds itself may be spent in addition to what a new leader grants to
# others. This bounds the excess to the host's part of the rate for this time.
_MAX_LEADERLESS_SECONDS = 4.0
# Credit above this multiple of the wanted credit is returned to the leader.
_MAX_SURPLUS_RATIO = 2.0
# A team is idle if less credit is wanted than this fraction of its last
# request's cost. Idle teams are omitted from reports, which keeps renewals
# small when there are many hosts and teams.
_IDLE_RATIO = 0.05


@dataclasses.dataclass(kw_only=True)
class _CreditShare:
    """Credit share of one team.

    Attributes:
        balance: Credit that may be spent.
        demand: Moving average of requested credit per second.
        requested: Credit requested by callers since the last report.
        last_cost: Cost of the last request.
        max_balance: Maximum credit that the leader lets this host hold.
        rate: Credit per second to add without a leader.
        refilled_at: Time up to which `rate` was added.
        short_until: Time until which the leader has no credit to grant.
        retry_at: Time at which refused callers should retry.
    """

    balance: float = 0.0
    demand: float = 0.0
    requested: float = 0.0
    last_cost: float = 0.0
    max_balance: float = math.inf
    rate: float = 0.0
    refilled_at: float = 0.0
    short_until: float = float("-inf")
    retry_at: float = float("-inf")


class CreditShares:
    """Credit shares of all teams on this host."""

    def __init__(self) -> None:
        self._shares: dict[str, _CreditShare] = {}
        self._leader_answered_at = float("-inf")
        self._averaged_at = float("-inf")

    def __repr__(self) -> str:
        return f"<CreditShares of {len(self._shares)} teams>"

    @property
    def last_answer_at(self) -> float:
        """Time of the leader's last answer."""
        return self._leader_answered_at

    def balance(self, team: str) -> float:
        """Returns the credit that this host holds for a team."""
        share = self._shares.get(team)
        return share.balance if share else 0.0

    def short_for(self, team: str, now: float) -> float:
        """Returns seconds until the leader has credit; 0 if it has some now."""
        share = self._shares.get(team)
        return max(0.0, share.short_until - now) if share else 0.0

    def retry_after(self, team: str, now: float) -> float:
        """Returns seconds after which a refused caller should retry."""
        share = self._shares.get(team)
        return max(0.0, share.retry_at - now) if share else 0.0

    def record_demand(self, team: str, cost: float) -> None:
        """Counts a request's cost as demand, whether it is spent or not."""
        share = self._shares.setdefault(team, _CreditShare())
        share.requested += cost
        share.last_cost = cost

    def spend(self, team: str, cost: float, now: float) -> bool:
        """Takes credit for a request; False if there is too little."""
        share = self._shares.setdefault(team, _CreditShare())
        self._refill_without_leader(share, now)
        if share.balance < cost:
            return False
        share.balance -= cost
        return True

    def _refill_without_leader(self, share: _CreditShare, now: float) -> None:
        start = max(
            share.refilled_at,
            self._leader_answered_at + _LEADER_SILENCE_SECONDS,
        )
        end = min(now, self._leader_answered_at + _MAX_LEADERLESS_SECONDS)
        if end > start:
            share.balance += share.rate * (end - start)
            share.refilled_at = end

    def refund(self, team: str, cost: float) -> None:
        """Refunds the credit of a request that has not run."""
        share = self._shares.setdefault(team, _CreditShare(last_cost=cost))
        share.balance += cost

    def needs(self, now: float) -> tuple[limit_messages.Need, ...]:
        """Returns the credit needs to report and starts a new report period.

        Idle teams are omitted once their credit has been returned. Amounts are
        integers.
        """
        seconds = min(
            _DEMAND_AVERAGE_SECONDS, max(0.0, now - self._averaged_at)
        )
        self._averaged_at = now
        needs = []
        for team, share in list(self._shares.items()):
            if seconds > 0:
                weight = seconds / _DEMAND_AVERAGE_SECONDS
                current_demand = share.requested / seconds
                share.demand += weight * (current_demand - share.demand)
            wanted = share.demand * CREDIT_AHEAD_SECONDS
            is_idle = wanted <= _IDLE_RATIO * share.last_cost
            if is_idle:
                wanted = 0.0
            # Deducted before the report is sent. If the report is lost, the
            # credit is lost too, but it never counts both on this host and at
            # the leader.
            kept = min(_MAX_SURPLUS_RATIO * wanted, share.max_balance)
            returned = float(math.floor(max(0.0, share.balance - kept)))
            share.balance -= returned
            share.requested = 0.0
            if not is_idle or returned:
                balance = float(math.ceil(share.balance))
                needs.append(
                    limit_messages.Need(
                        team, returned, balance, float(round(wanted))
                    )
                )
            elif max(share.short_until, share.retry_at) < now:
                del self._shares[team]
        return tuple(needs)

    def apply_grant(self, grant: limit_messages.Grant, now: float) -> None:
        """Applies a grant of the leader to a team's share."""
        share = self._shares.setdefault(grant.team, _CreditShare())
        share.balance += grant.credit
        share.rate = grant.rate
        share.max_balance = grant.max_balance
        share.short_until = now + grant.available_in
        share.retry_at = now + grant.retry_after

    def record_answer(self, now: float) -> None:
        """Records that the leader answered; refills count from this time."""
        self._leader_answered_at = now
