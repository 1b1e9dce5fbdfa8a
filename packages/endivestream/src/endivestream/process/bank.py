"""The leader's buckets of the teams' credit, given out in portions. Pure.

The load patterns that it answers:

- After an outage the requests of some seconds come at once. The rate covers
  them within a second or two, and each gets its own moment in the team's line
  instead of a refusal.
- A team's rate is used up by large requests. Its small ones, a sixth of the
  size, would wait behind them or be refused, though a few hundredths of the
  rate serve them all; they have a part of it to themselves.
- A team asks for many times its rate. A long line would make every answer
  late, so it stays short: who gets a place is answered in time, and all others
  are refused at once.

Each team has one bucket, so no window gives more than rate and burst. What
was given out is gone from it; hosts return what they do not need. A new
leader starts empty: what its predecessor gave out may still be spent.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math

from endivestream import logs
from endivestream import site_messages
from endivestream.request import allowance
from endivestream.version import document as document_lib

# One host gets at most this part of what is there at once, so that one report
# does not empty the bucket for all others.
_MOST_SHARE = 0.5
# What stays here of a burst, for whoever lacks credit for one request, in
# multiples of the largest request seen lately. A burst is often worth fewer
# requests than there are hosts: with all of it on hosts, teams at three fifths
# of their rate were refused one request in ten.
_KEPT_REQUESTS = 3.0
# What hosts hold between them of a burst, at least and at most.
_LEAST_HELD = 0.25
_MOST_HELD = 0.75
# The largest request is forgotten over about so many seconds.
_LARGEST_SECONDS = 30.0
# Requests that cost less than this part of what the team's requests cost on
# average are small.
_SMALL_COST = 0.3
# The part of the rate that goes to small requests first, and the part of the
# burst that is saved up for them.
_SMALL_RATE = 0.15
_SMALL_BURST = 0.05
# What one request adds to the average of costs.
_USUAL_WEIGHT = 0.05
# Credit that is meant for one request only, and may be spent at once.
_AT_ONCE_SECONDS = 1e-6
# Of the rate, what is left to callers who come back after a refusal while new
# ones keep coming.
_RETURNING_SHARE = 0.5
# Changes of amounts between two sums over all of them.
_CHANGES_SUMMED = 1000
# Hosts that hear no leader count on this part of the rate between them; the
# rest is margin for hosts of which this leader has not heard.
_ALONE_SHARE = 0.8


class _Shares:
    """An amount for each host, with their total."""

    def __init__(self) -> None:
        self._amounts: dict[str, float] = {}
        self._total = 0.0
        self._changes = 0

    @property
    def total(self) -> float:
        """The sum over all hosts."""
        return self._total

    def of(self, host: str) -> float:
        """Returns a host's amount."""
        return self._amounts.get(host, 0.0)

    def set(self, host: str, amount: float) -> None:
        """Sets a host's amount; zero forgets it."""
        self._total += amount - self._amounts.pop(host, 0.0)
        if amount:
            self._amounts[host] = amount
        self._changes += 1
        if self._changes >= _CHANGES_SUMMED or not self._amounts:
            # Rounding errors must not add up.
            self._total = sum(self._amounts.values())
            self._changes = 0


@dataclasses.dataclass(kw_only=True)
class _Bucket:
    """One team's credit.

    Attributes:
        team: The team's rule.
        level: Credit that may be given out.
        small: Credit for small requests only.
        usual: What requests cost on average lately.
        filled: When it was last refilled.
        largest: Cost of the largest request that was asked for lately.
        wanted: What each host wants to hold.
        held: What each host held when it last reported, with what it was
            given since.
        turned_away: Credit that refused callers will ask for again.
    """

    team: document_lib.Team
    level: float
    filled: float
    small: float = 0.0
    usual: float = 0.0
    largest: float = 0.0
    wanted: _Shares = dataclasses.field(default_factory=lambda: _Shares())
    held: _Shares = dataclasses.field(default_factory=lambda: _Shares())
    turned_away: float = 0.0

    @property
    def is_steady(self) -> bool:
        """Whether the team asks for no more than its rate lately.

        It then works a long line off; otherwise that would stay full.
        """
        asked = self.wanted.total / allowance.AHEAD_SECONDS
        return asked <= self.team.rate

    def refill(self, now: float) -> None:
        """Adds what the rate has brought since the last time.

        What hosts hold counts as part of the bucket: filled up beside it, a
        team could spend its burst and all portions on top within a moment.
        """
        past = max(0.0, now - self.filled)
        gained = self.team.rate * past
        lacking = max(0.0, _SMALL_BURST * self.team.burst - self.small)
        to_small = min(_SMALL_RATE * gained, lacking)
        self.small += to_small
        held = self.held.total
        room = max(0.0, self.team.burst - held - self.small)
        self.level = min(room, self.level + gained - to_small)
        self.largest *= math.exp(-past / _LARGEST_SECONDS)
        returned = _RETURNING_SHARE * self.team.rate * past
        self.turned_away = max(0.0, self.turned_away - returned)
        self.filled = now

    def note_cost(self, cost: float) -> None:
        """Takes a request into the average of costs."""
        weight = _USUAL_WEIGHT if self.usual else 1.0
        self.usual += weight * (cost - self.usual)

    def takes_small(self, cost: float) -> bool:
        """Takes credit for a small request; False if there is none."""
        if cost > min(self.small, _SMALL_COST * self.usual):
            return False
        self.small -= cost
        return True

    def share(self, host: str) -> float:
        """Returns a host's part of what all hosts want."""
        total = self.wanted.total
        return self.wanted.of(host) / total if total > 0 else 0.0

    def most_held(self, host: str) -> float:
        """Returns the most that a host may hold."""
        kept = _KEPT_REQUESTS * self.largest / max(1.0, self.team.burst)
        held = min(_MOST_HELD, max(_LEAST_HELD, 1.0 - kept))
        return self.team.burst * held * self.share(host)


class Bank:
    """Credit of all teams. Times are seconds."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def __repr__(self) -> str:
        return f"<Bank of {len(self._buckets)} teams>"

    @property
    def levels(self) -> dict[str, float]:
        """Each team's credit that is not given out."""
        return {name: b.level + b.small for name, b in self._buckets.items()}

    def set_teams(
        self,
        teams: tuple[document_lib.Team, ...],
        now: float,
        *,
        full: bool,
    ) -> None:
        """Takes over the teams of a configuration.

        Args:
            teams: All teams.
            now: The time.
            full: Whether teams that are new start with their burst. False for
                a new leader: they may be new only to it.
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
                level = team.burst if full else 0.0
                bucket = _Bucket(team=team, level=level, filled=now)
            else:
                bucket.refill(now)
                bucket.team = team
                bucket.level = min(bucket.level, team.burst)
                bucket.small = min(bucket.small, _SMALL_BURST * team.burst)
            buckets[team.name] = bucket
        self._buckets = buckets

    def report(
        self, host: str, need: site_messages.Need, now: float
    ) -> site_messages.Grant | None:
        """Takes a host's report in and gives it credit; None without limit."""
        bucket = self._buckets.get(need.team)
        if bucket is None:
            return None
        # In this order: what the host has spent makes room for the refill.
        bucket.held.set(host, need.balance)
        bucket.level += need.returned
        bucket.refill(now)
        bucket.wanted.set(host, need.wanted)
        wanted = min(need.wanted, bucket.most_held(host))
        lacking = max(0.0, wanted - need.balance)
        given = min(lacking, max(0.0, bucket.level) * _MOST_SHARE)
        return self._give(host, bucket, float(math.floor(given)), 0.0)

    def forget_teams(self, host: str, teams: Iterable[str]) -> None:
        """Clears a host's demand and credit in teams it no longer reports."""
        for team in teams:
            bucket = self._buckets.get(team)
            if bucket is not None:
                bucket.wanted.set(host, 0.0)
                bucket.held.set(host, 0.0)

    def ask(
        self,
        host: str,
        need: site_messages.Need,
        now: float,
        *,
        soon: float = 0.0,
        patience: float = 0.0,
    ) -> site_messages.Grant | None:
        """Gives credit for one request that waits; None without limit.

        What is promised for later is gone from the bucket at once, so no
        other request gets the same refill.

        Args:
            host: Who asks.
            need: What is needed.
            now: The time.
            soon: Seconds that the request can wait and still be in time.
            patience: Seconds that it can wait at all.
        """
        bucket = self._buckets.get(need.team)
        if bucket is None:
            return None
        bucket.held.set(host, need.balance)
        bucket.refill(now)
        bucket.largest = max(bucket.largest, need.wanted)
        bucket.note_cost(need.wanted)
        lacking = max(0.0, need.wanted - need.balance)
        if lacking <= bucket.level:
            return self._give(host, bucket, lacking, 0.0)
        if bucket.takes_small(need.wanted):
            grant = self._grant(host, bucket, need.wanted, 0.0)
            return grant._replace(after=_AT_ONCE_SECONDS)
        # Small requests may take their part of the refill meanwhile.
        rate = bucket.team.rate * (1.0 - _SMALL_RATE)
        after = (need.wanted - bucket.level) / rate
        longest = patience if bucket.is_steady else soon
        if after <= longest:
            bucket.level -= need.wanted
            grant = self._grant(host, bucket, need.wanted, 0.0)
            return grant._replace(after=after)
        told = after + bucket.turned_away / rate
        bucket.turned_away += need.wanted
        short = (lacking - bucket.level) / bucket.team.rate
        return self._grant(host, bucket, 0.0, short)._replace(told=told)

    def forget(self, host: str) -> None:
        """A host is gone; what it held is lost."""
        for bucket in self._buckets.values():
            bucket.wanted.set(host, 0.0)
            bucket.held.set(host, 0.0)

    def _give(
        self, host: str, bucket: _Bucket, credit: float, short: float
    ) -> site_messages.Grant:
        bucket.level -= credit
        bucket.held.set(host, bucket.held.of(host) + credit)
        return self._grant(host, bucket, credit, short)

    def _grant(
        self, host: str, bucket: _Bucket, credit: float, short: float
    ) -> site_messages.Grant:
        # Whole numbers take less space in a packed frame.
        rate = float(
            math.floor(bucket.team.rate * _ALONE_SHARE * bucket.share(host))
        )
        most = float(math.floor(bucket.most_held(host)))
        return site_messages.Grant(bucket.team.name, credit, rate, short, most)
