"""The leader's allocation of team credit to entry hosts, in shares.

The module has no tasks and reads no clock: callers pass the time. It is
designed for these load patterns:

- After an outage the requests of several seconds arrive in a burst. The rate
  covers them within a second or two, so each gets its own moment in the team's
  reservation queue instead of a refusal.
- Large requests use up a team's rate. Its small requests, a sixth of the size,
  would wait behind them or be refused, though a few hundredths of the rate
  cover them all. A part of the rate is reserved for them.
- A team requests many times its rate. A long reservation queue would make
  every answer late, so the queue stays short: requests with a reservation are
  answered in time, and all others are refused immediately.

Each team has one token bucket, so no window grants more than rate and burst.
Granted credit is taken out of the bucket; hosts return what they do not need.
A new leader starts with empty buckets, because credit granted by its
predecessor may still be spent.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math

from endivestream import limit_messages
from endivestream import logs
from endivestream.request import credit_shares as credit_shares_lib
from endivestream.version import document as document_lib

# Maximum fraction of the available credit in one grant, so that one report does
# not empty the bucket for all other hosts.
_MAX_GRANT_FRACTION = 0.5
# Part of a burst that stays in the bucket, for hosts that lack credit for one
# request, in multiples of the largest recent request. A burst often covers
# fewer requests than there are hosts: with all of it held by hosts, teams at
# three fifths of their rate were refused one request in ten.
_RESERVED_REQUESTS = 3.0
# Minimum and maximum fraction of a burst that all hosts together may hold.
_MIN_HELD_FRACTION = 0.25
_MAX_HELD_FRACTION = 0.75
# Time constant of the exponential decay of the largest request.
_LARGEST_DECAY_SECONDS = 30.0
# Requests that cost less than this fraction of the team's average cost are
# small.
_SMALL_COST_FRACTION = 0.3
# Fraction of the rate that is reserved for small requests, and the fraction of
# the burst that may accumulate for them.
_SMALL_RATE_FRACTION = 0.15
_SMALL_BURST_FRACTION = 0.05
# Weight of one request in the moving average of costs.
_AVERAGE_COST_WEIGHT = 0.05
# Delay of a grant for a single request that may be spent immediately. It is
# not 0, which marks a grant to the host's balance.
_IMMEDIATE_SECONDS = 1e-6
# Fraction of the rate that is assumed to serve callers who retry after a
# refusal while new requests keep arriving.
_REFUSED_RATE_FRACTION = 0.5
# Changes between two recalculations of a total.
_CHANGES_PER_SUM = 1000
# Hosts without a leader share this fraction of the rate; the rest is margin for
# hosts that have not reported to this leader.
_LEADERLESS_RATE_FRACTION = 0.8


class _HostAmounts:
    """Amounts by host, with their total."""

    def __init__(self) -> None:
        self._amounts: dict[str, float] = {}
        self._total = 0.0
        self._changes_since_sum = 0

    @property
    def total(self) -> float:
        """Sum over all hosts."""
        return self._total

    def of(self, host: str) -> float:
        """Returns a host's amount."""
        return self._amounts.get(host, 0.0)

    def set(self, host: str, amount: float) -> None:
        """Sets a host's amount; zero removes the host."""
        self._total += amount - self._amounts.pop(host, 0.0)
        if amount:
            self._amounts[host] = amount
        self._changes_since_sum += 1
        if self._changes_since_sum >= _CHANGES_PER_SUM or not self._amounts:
            # Prevents rounding errors from accumulating.
            self._total = sum(self._amounts.values())
            self._changes_since_sum = 0


@dataclasses.dataclass(kw_only=True)
class _Bucket:
    """Token bucket of one team.

    Attributes:
        team: The team's rule.
        level: Credit that may be granted.
        small_credit: Credit for small requests only.
        average_cost: Moving average of the cost of requests.
        refilled_at: Time of the last refill.
        largest_cost: Cost of the largest recent request.
        wanted: Credit that each host wants to hold.
        held: Credit that each host held at its last report, with what it was
            granted since.
        refused_credit: Credit that refused callers are expected to request
            again.
    """

    team: document_lib.Team
    level: float
    refilled_at: float
    small_credit: float = 0.0
    average_cost: float = 0.0
    largest_cost: float = 0.0
    wanted: _HostAmounts = dataclasses.field(
        default_factory=lambda: _HostAmounts()
    )
    held: _HostAmounts = dataclasses.field(
        default_factory=lambda: _HostAmounts()
    )
    refused_credit: float = 0.0

    @property
    def is_steady(self) -> bool:
        """Whether the team's recent demand is within its rate.

        A long reservation queue then drains; otherwise it would stay full.
        """
        demand_rate = self.wanted.total / credit_shares_lib.CREDIT_AHEAD_SECONDS
        return demand_rate <= self.team.rate

    def refill(self, now: float) -> None:
        """Adds the credit for the time since the last refill.

        Credit held by hosts counts as part of the bucket. If the bucket were
        filled up without regard to it, a team could spend its burst and all
        credit shares in a short time.
        """
        elapsed = max(0.0, now - self.refilled_at)
        refilled = self.team.rate * elapsed
        small_shortfall = max(
            0.0, _SMALL_BURST_FRACTION * self.team.burst - self.small_credit
        )
        to_small = min(_SMALL_RATE_FRACTION * refilled, small_shortfall)
        self.small_credit += to_small
        held_credit = self.held.total
        capacity = max(0.0, self.team.burst - held_credit - self.small_credit)
        self.level = min(capacity, self.level + refilled - to_small)
        self.largest_cost *= math.exp(-elapsed / _LARGEST_DECAY_SECONDS)
        retried = _REFUSED_RATE_FRACTION * self.team.rate * elapsed
        self.refused_credit = max(0.0, self.refused_credit - retried)
        self.refilled_at = now

    def note_cost(self, cost: float) -> None:
        """Adds a request to the moving average of costs."""
        weight = _AVERAGE_COST_WEIGHT if self.average_cost else 1.0
        self.average_cost += weight * (cost - self.average_cost)

    def take_small(self, cost: float) -> bool:
        """Takes credit reserved for small requests; False if not possible."""
        if cost > min(
            self.small_credit, _SMALL_COST_FRACTION * self.average_cost
        ):
            return False
        self.small_credit -= cost
        return True

    def share(self, host: str) -> float:
        """Returns a host's fraction of the credit that all hosts want."""
        total = self.wanted.total
        return self.wanted.of(host) / total if total > 0 else 0.0

    def max_credit(self, host: str) -> float:
        """Returns the maximum credit that a host may hold."""
        reserved = (
            _RESERVED_REQUESTS * self.largest_cost / max(1.0, self.team.burst)
        )
        held_fraction = min(
            _MAX_HELD_FRACTION, max(_MIN_HELD_FRACTION, 1.0 - reserved)
        )
        return self.team.burst * held_fraction * self.share(host)


class CreditAllocator:
    """Allocates the credit of all teams to entry hosts. Times are seconds."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def __repr__(self) -> str:
        return f"<CreditAllocator of {len(self._buckets)} teams>"

    @property
    def levels(self) -> dict[str, float]:
        """Credit of each team that is not granted to hosts."""
        return {
            name: b.level + b.small_credit for name, b in self._buckets.items()
        }

    def set_teams(
        self,
        teams: tuple[document_lib.Team, ...],
        now: float,
        *,
        start_full: bool,
    ) -> None:
        """Sets the teams of a configuration.

        Args:
            teams: All teams.
            now: Current time.
            start_full: Whether new teams start with a full burst. False for a
                new leader, because the teams may be new only to this leader.
        """
        buckets = {}
        for team in teams:
            if team.rate <= 0:
                continue
            bucket = self._buckets.get(team.name)
            if bucket is None or bucket.team != team:
                logs.event(
                    "team", team=team.name, rate=team.rate, burst=team.burst
                )
            if bucket is None:
                level = team.burst if start_full else 0.0
                bucket = _Bucket(team=team, level=level, refilled_at=now)
            else:
                bucket.refill(now)
                bucket.team = team
                bucket.level = min(bucket.level, team.burst)
                bucket.small_credit = min(
                    bucket.small_credit, _SMALL_BURST_FRACTION * team.burst
                )
            buckets[team.name] = bucket
        self._buckets = buckets

    def handle_report(
        self, host: str, need: limit_messages.Need, now: float
    ) -> limit_messages.Grant | None:
        """Records a host's report and grants credit; None if not limited."""
        bucket = self._buckets.get(need.team)
        if bucket is None:
            return None
        # Before the refill: credit that the host has spent leaves room for it.
        bucket.held.set(host, need.balance)
        bucket.level += need.returned
        bucket.refill(now)
        bucket.wanted.set(host, need.wanted)
        wanted = min(need.wanted, bucket.max_credit(host))
        shortfall = max(0.0, wanted - need.balance)
        granted = min(shortfall, max(0.0, bucket.level) * _MAX_GRANT_FRACTION)
        return self._allocate(host, bucket, float(math.floor(granted)), 0.0)

    def clear_teams(self, host: str, teams: Iterable[str]) -> None:
        """Clears a host's demand and credit in teams it no longer reports."""
        for team in teams:
            bucket = self._buckets.get(team)
            if bucket is not None:
                bucket.wanted.set(host, 0.0)
                bucket.held.set(host, 0.0)

    def request_credit(
        self,
        host: str,
        need: limit_messages.Need,
        now: float,
        *,
        timely_within: float = 0.0,
        max_wait_seconds: float = 0.0,
    ) -> limit_messages.Grant | None:
        """Grants credit for one request; None if the team has no limit.

        Credit reserved for later is taken out of the bucket immediately, so no
        other request gets the same refill.

        Args:
            host: The entry host that needs the credit.
            need: Balance of the host and cost of the request.
            now: Current time.
            timely_within: Seconds that the request can wait and still be
                answered in time.
            max_wait_seconds: Maximum seconds that the request can wait.
        """
        bucket = self._buckets.get(need.team)
        if bucket is None:
            return None
        bucket.held.set(host, need.balance)
        bucket.refill(now)
        bucket.largest_cost = max(bucket.largest_cost, need.wanted)
        bucket.note_cost(need.wanted)
        shortfall = max(0.0, need.wanted - need.balance)
        if shortfall <= bucket.level:
            return self._allocate(host, bucket, shortfall, 0.0)
        if bucket.take_small(need.wanted):
            grant = self._create_grant(host, bucket, need.wanted, 0.0)
            return grant._replace(usable_in=_IMMEDIATE_SECONDS)
        # Small requests may take their fraction of the refill meanwhile.
        rate = bucket.team.rate * (1.0 - _SMALL_RATE_FRACTION)
        delay = (need.wanted - bucket.level) / rate
        max_wait = max_wait_seconds if bucket.is_steady else timely_within
        if delay <= max_wait:
            bucket.level -= need.wanted
            grant = self._create_grant(host, bucket, need.wanted, 0.0)
            return grant._replace(usable_in=delay)
        retry_after = delay + bucket.refused_credit / rate
        bucket.refused_credit += need.wanted
        short = (shortfall - bucket.level) / bucket.team.rate
        return self._create_grant(host, bucket, 0.0, short)._replace(
            retry_after=retry_after
        )

    def remove_host(self, host: str) -> None:
        """Removes an expired host; the credit that it held is lost."""
        for bucket in self._buckets.values():
            bucket.wanted.set(host, 0.0)
            bucket.held.set(host, 0.0)

    def _allocate(
        self, host: str, bucket: _Bucket, credit: float, short: float
    ) -> limit_messages.Grant:
        bucket.level -= credit
        bucket.held.set(host, bucket.held.of(host) + credit)
        return self._create_grant(host, bucket, credit, short)

    def _create_grant(
        self, host: str, bucket: _Bucket, credit: float, short: float
    ) -> limit_messages.Grant:
        # Whole numbers take less space in a packed frame.
        rate = float(
            math.floor(
                bucket.team.rate
                * _LEADERLESS_RATE_FRACTION
                * bucket.share(host)
            )
        )
        max_credit = float(math.floor(bucket.max_credit(host)))
        return limit_messages.Grant(
            bucket.team.name, credit, rate, short, max_credit
        )
