"""Queue for the slots of one engine. Does no I/O.

Load pattern: callers of several ranks compete for too few slots. If each host
sends when its own view shows a free slot, whichever request wakes first gets
it: urgent callers leave unserved while batch requests are served, and engines
refuse what several hosts have sent to the same slot.

The host that owns the queue counts what it has granted. The loads that the
leader publishes lag, so they only correct that count: they show requests that
were sent without a grant, and grants whose end was lost.
"""

from __future__ import annotations

import dataclasses
import math
from typing import NamedTuple

from endivestream.request.waiting import forecast as forecast_lib

# One slot in this number is left free, because an engine that has just ended a
# request may still count it.
_SLOTS_PER_HEADROOM = 16
# Engines with fewer slots than this get no headroom.
_MIN_HEADROOM_SLOTS = 8
# A waiting request that this many later requests of its rank have overtaken, or
# that has waited for this time, is overtaken by no more of them. The number is
# two fillings of an engine with 16 slots: with fewer, requests that are late
# already make those late that are not. The time is the shortest silence after
# which callers of streams leave.
MAX_OVERTAKEN = 32
MAX_OVERTAKING_SECONDS = 2.0
# Time for which a more urgent request that waited or was refused makes less
# urgent ones leave room, and share of the slots that is left at most.
_RESERVE_SECONDS = 2.0
_MAX_RESERVE_SHARE = 0.25
# Age of grants from which on published loads contain them, and contain them
# once: requests without a first byte are published twice.
_LOAD_LAG_SECONDS = 1.0
# Without published loads for this time, requests without a grant that they last
# showed have mostly ended.
_LOADS_STALE_SECONDS = 5.0
# Time for which the loads must show fewer requests than were granted, before
# the oldest grants are taken for ended.
_LOST_END_SECONDS = 2.0
# The same for grants of hosts that the list leaves out, which are likely dead.
_UNLISTED_END_SECONDS = 0.5
# Time by which a grant outlives the deadline of its request.
_GRANT_MARGIN_SECONDS = 1.0
# A refused caller that comes back within this time after, or this share of its
# wait before the time it was given goes ahead of new ones of its rank.
_RETURN_SECONDS = 2.0
_RETURN_EARLY_SHARE = 0.1
# Such times use this share of the freed slots. With all of them, every request
# of a lasting overload would be refused once and served late.
_RETURN_RATE_SHARE = 0.25
# Callers wait for this share of the time that they have left at most.
_HONORED_SHARE = 1 / 3
# Requests come faster than slots are freed if their measured rate is higher by
# this factor: an average over 20 arrivals varies by a quarter.
_OVERLOAD_RATIO = 1.25
# Bounds of memory. A queue of this length forecasts waits above any patience.
_MAX_WAITING = 256
_MAX_RETURNING = 512
_MIN_RETRY_SECONDS = 0.1
# Rank whose forecast deducts no demand of others.
_MOST_URGENT_RANK = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        request: Id of the attempt, unique among all hosts.
        host: Name of the entry host that asks.
        incarnation: Number of that host's process start.
        caller: What a caller's attempts have in common; empty if unknown.
        rank: Urgency; 0 is the most urgent.
        objective_at: Time until which a slot lets it meet its objective.
        patience_at: Time until which it can wait.
        deadline: Time by which it has ended.
    """

    request: str
    host: str
    incarnation: int = 0
    caller: str = ""
    rank: int
    objective_at: float
    patience_at: float
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """The request is sent now; it holds a slot until `release`."""

    request: str
    waited: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """The request is refused now; its caller is served after some seconds."""

    request: str
    retry_seconds: float
    waited: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wait:
    """Nothing is to be decided before a time, unless something changes."""

    until: float


Decision = Send | Refuse | Wait


class Occupancy(NamedTuple):
    """State of an engine's slots, for logs and metrics.

    Attributes:
        granted: Slots held by grants.
        unaccounted: Running requests that hold no grant.
        waiting: Waiting requests.
        elsewhere: Slots that another owner may have granted.
    """

    granted: int
    unaccounted: int
    waiting: int
    elsewhere: int = 0


@dataclasses.dataclass(kw_only=True)
class _Waiting:
    offer: SlotRequest
    # Order of arrival; a returning caller keeps that of its first arrival.
    number: int
    since: float
    returns: bool
    overtaken: int = 0
    # Whether it was checked that it can still be served once it is late.
    is_checked: bool = False

    def order(self, now: float) -> tuple[float, ...]:
        """Returns the place in the queue; the smallest goes first."""
        offer = self.offer
        if (
            self.overtaken >= MAX_OVERTAKEN
            or now - self.since >= MAX_OVERTAKING_SECONDS
        ):
            return (offer.rank, 0, self.number)
        if self.returns:
            return (offer.rank, 1, self.number)
        # All have the same time now, so the earliest time has the least slack.
        if now < offer.objective_at:
            return (offer.rank, 2, offer.objective_at, self.number)
        return (offer.rank, 3, offer.patience_at, self.number)


class _Grant(NamedTuple):
    offer: SlotRequest
    granted_at: float
    expires_at: float


class _Returning(NamedTuple):
    number: int
    since: float
    at: float
    earliest: float
    latest: float


class AdmissionQueue:
    """Grants the slots of one engine.

    The queue is short (callers that it cannot serve in time are refused), so a
    decision looks at all waiting requests.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._forecast = forecast_lib.SlotForecast()
        self._waiting: dict[str, _Waiting] = {}
        self._grants: dict[str, _Grant] = {}
        self._returning: dict[str, _Returning] = {}
        self._last_return_at = -math.inf
        self._next_number = 0
        # Refusals at arrival, returned by the next `advance`.
        self._refused: list[Refuse] = []
        self._unaccounted = 0
        # Slots that another owner of the queue may have granted, and since when
        # that is assumed.
        self._elsewhere = 0
        self._elsewhere_since = -math.inf
        # Whether another owner is asked for what it has granted.
        self._is_claiming = False
        # Hosts that the list leaves out while their grants go on.
        self._unlisted: set[str] = set()
        self._observed_at = -math.inf
        self._recent_ends: list[float] = []
        self._surplus_since: float | None = None
        self._min_surplus = 0
        # Per rank, when requests of it last waited or were refused.
        self._unserved_at: dict[int, list[float]] = {}

    def __repr__(self) -> str:
        return f"<AdmissionQueue {self.occupancy}>"

    @property
    def capacity(self) -> int:
        """Number of requests that the engine gets at a time."""
        if self._slots < _MIN_HEADROOM_SLOTS:
            return max(1, self._slots)
        return self._slots - math.ceil(self._slots / _SLOTS_PER_HEADROOM)

    @property
    def occupancy(self) -> Occupancy:
        """The number of grants, of other requests and of waiting ones."""
        return Occupancy(
            len(self._grants),
            self._unaccounted,
            len(self._waiting),
            self._elsewhere,
        )

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits and nothing is granted."""
        return not self._waiting and not self._grants and not self._refused

    @property
    def hosts(self) -> frozenset[str]:
        """Names of the hosts whose requests wait or hold slots."""
        return frozenset(offer.host for offer in self._offers())

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots that the engine has."""
        self._slots = slots

    def offer(self, offer: SlotRequest, now: float) -> None:
        """Adds a request; `advance` decides on it."""
        self._forecast.record_arrival(offer.rank, now)
        self._unlisted.discard(offer.host)
        number, since, returns = self._next_number, now, False
        self._next_number += 1
        returning = self._returning.get(offer.caller)
        if returning is not None and now >= returning.earliest:
            del self._returning[offer.caller]
            if now <= returning.latest:
                number, since = returning.number, returning.since
                returns = True
        entry = _Waiting(
            offer=offer,
            number=number,
            since=since,
            returns=returns,
            is_checked=now >= offer.objective_at,
        )
        wait = self._wait_of(entry, now)
        if wait > 0.0:
            self._record_unserved(offer.rank, now)
        if self._is_hopeless(entry, wait, now):
            self._refuse(entry, wait, now)
            return
        self._waiting[offer.request] = entry

    def withdraw(self, request: str) -> None:
        """Removes a waiting request whose caller has left."""
        self._waiting.pop(request, None)

    def release(self, request: str, now: float) -> None:
        """Ends a grant, or withdraws a request that has none."""
        self.withdraw(request)
        grant = self._grants.pop(request, None)
        if grant is not None:
            self._forecast.record_run(now - grant.granted_at)
            self._recent_ends.append(now)

    def holds(self, request: str) -> bool:
        """Returns whether a request waits or holds a slot."""
        return request in self._waiting or request in self._grants

    def is_waiting(self, request: str) -> bool:
        """Returns whether a request waits for a slot."""
        return request in self._waiting

    def assume_elsewhere(self, now: float) -> None:
        """Counts all slots that are not granted here as granted elsewhere.

        They are free again when the other owner has told what it has granted
        (`settle`), when it passes them on (`receive`), or when the published
        loads contain all that it can have granted.
        """
        self._elsewhere = max(0, self.capacity - len(self._grants))
        self._elsewhere_since = now

    def set_claiming(self, is_claiming: bool) -> None:
        """Sets whether nothing is granted because a claim is unanswered.

        Ends of requests that arrive meanwhile free no slot, because the other
        owner may have seen them in the loads.
        """
        self._is_claiming = is_claiming

    def is_settled(self, now: float) -> bool:
        """Returns whether the loads contain what others have granted."""
        return now - self._elsewhere_since >= _LOAD_LAG_SECONDS

    def settle(self, elsewhere: int) -> None:
        """Sets the number of slots that another owner may have granted."""
        self._elsewhere = elsewhere

    def receive(self) -> None:
        """Takes over a slot whose request has ended, from another owner."""
        self._elsewhere = max(0, self._elsewhere - 1)

    def pass_on(self, request: str, now: float) -> bool:
        """Ends a grant whose slot another owner may grant now.

        Returns:
            Whether the request held a slot.
        """
        held = request in self._grants
        self.release(request, now)
        if held:
            self._elsewhere += 1
            self._elsewhere_since = now
        return held

    def adopt(self, offer: SlotRequest, now: float) -> None:
        """Adds a grant of another owner."""
        self._add_grant(offer, now)

    def hand_over(self, now: float) -> list[SlotRequest]:
        """Returns all grants to another owner, which grants the slots now."""
        offers = [grant.offer for grant in self._grants.values()]
        self._grants.clear()
        self.assume_elsewhere(now)
        return offers

    def release_host(self, host: str, incarnation: int | None) -> list[str]:
        """Ends what a host holds that has gone or was started again.

        A host that is no longer listed may still run: its waiting requests
        end, but its grants go on until the published loads show their end.

        Args:
            host: Name of the host.
            incarnation: Process start whose requests are kept; None if the host
                is no longer listed.

        Returns:
            The requests that ended.
        """
        if incarnation is None:
            self._unlisted.add(host)
            ended = [
                request
                for request, entry in self._waiting.items()
                if entry.offer.host == host
            ]
        else:
            self._unlisted.discard(host)
            ended = [
                offer.request
                for offer in self._offers()
                if offer.host == host and offer.incarnation < incarnation
            ]
        for request in ended:
            self.withdraw(request)
            self._grants.pop(request, None)
        return ended

    @property
    def unlisted_grants(self) -> int:
        """Number of grants of hosts that the list leaves out."""
        return sum(
            grant.offer.host in self._unlisted
            for grant in self._grants.values()
        )

    def _offers(self) -> list[SlotRequest]:
        entries = (*self._waiting.values(), *self._grants.values())
        return [entry.offer for entry in entries]

    def observe_load(self, load: int, now: float) -> int:
        """Corrects the count of grants by the requests that were published.

        Args:
            load: Number of requests of all hosts on the engine.
            now: Current time.

        Returns:
            The number of grants that were taken for ended.
        """
        if self._elsewhere:
            if not self.is_settled(now):
                # The load does not yet contain all that others have granted.
                return 0
            self._unaccounted = max(self._unaccounted, self._elsewhere)
            self._elsewhere = 0
        self._recent_ends = [
            end for end in self._recent_ends if now - end < _LOAD_LAG_SECONDS
        ]
        settled = sum(
            now - grant.granted_at >= _LOAD_LAG_SECONDS
            for grant in self._grants.values()
        )
        # The load contains what began or ended within the lag not at all, once
        # or twice. Within these bounds the last value stays: after a change of
        # the owner the loads do not show yet what the new owner grants.
        recent = len(self._grants) - settled + len(self._recent_ends)
        lowest = load - settled - 2 * recent
        highest = load - settled
        self._unaccounted = max(0, lowest, min(highest, self._unaccounted))
        if now - self._observed_at > _LOAD_LAG_SECONDS:
            # A new leader's loads are incomplete at first.
            self._surplus_since = None
        self._observed_at = now
        if highest >= 0:
            self._surplus_since = None
            return 0
        if self._surplus_since is None:
            self._surplus_since, self._min_surplus = now, -highest
        self._min_surplus = min(self._min_surplus, -highest)
        surplus_seconds = now - self._surplus_since
        ended = self._min_surplus
        if surplus_seconds < _LOST_END_SECONDS:
            if surplus_seconds < _UNLISTED_END_SECONDS:
                return 0
            ended = min(ended, self.unlisted_grants)
            if not ended:
                return 0
        oldest = sorted(self._grants, key=self._end_order)[:ended]
        for request in oldest:
            del self._grants[request]
        self._surplus_since = None
        return len(oldest)

    def _end_order(self, request: str) -> tuple[bool, float]:
        """Returns which grants are taken for ended first."""
        grant = self._grants[request]
        return (grant.offer.host not in self._unlisted, grant.granted_at)

    def advance(self, now: float) -> list[Decision]:
        """Returns what is decided now, and when to call this again."""
        for request, grant in list(self._grants.items()):
            if grant.expires_at <= now:
                del self._grants[request]
        if now - self._elsewhere_since >= _LOADS_STALE_SECONDS:
            self._elsewhere = 0
        self._refuse_overdue(now)
        decisions: list[Decision] = list(self._refused)
        self._refused.clear()
        while self._waiting:
            entry = min(
                self._waiting.values(), key=lambda waiting: waiting.order(now)
            )
            if self._free_slots(entry.offer.rank, now) <= 0:
                break
            decisions.append(self._grant(entry, now))
        times = [e.offer.patience_at for e in self._waiting.values()]
        times += [
            e.offer.objective_at
            for e in self._waiting.values()
            if not e.is_checked
        ]
        if self._waiting:
            times += [g.expires_at for g in self._grants.values()]
            # The room that is kept for more urgent ranks ends, one slot after
            # the other.
            times += [
                at + _RESERVE_SECONDS
                for unserved in self._unserved_at.values()
                for at in unserved
                if now - at < _RESERVE_SECONDS
            ]
            if self._elsewhere:
                times += [
                    at
                    for lag in (_LOAD_LAG_SECONDS, _LOADS_STALE_SECONDS)
                    if (at := self._elsewhere_since + lag) > now
                ]
            if self._unaccounted and (
                now - self._observed_at < _LOADS_STALE_SECONDS
            ):
                # Without newer loads, these slots count as free from then on.
                times.append(self._observed_at + _LOADS_STALE_SECONDS)
        if times:
            decisions.append(Wait(until=min(times)))
        return decisions

    def _refuse_overdue(self, now: float) -> None:
        """Refuses requests that later ones of their rank leave no slot for."""
        for request, entry in list(self._waiting.items()):
            offer = entry.offer
            is_late = now >= offer.objective_at and not entry.is_checked
            if not is_late and now < offer.patience_at:
                continue
            entry.is_checked = True
            wait = self._wait_of(entry, now)
            if now + wait > offer.patience_at or now >= offer.patience_at:
                del self._waiting[request]
                self._refuse(entry, wait, now)

    def _grant(self, entry: _Waiting, now: float) -> Send:
        offer = entry.offer
        del self._waiting[offer.request]
        for other in self._waiting.values():
            if other.number < entry.number and other.offer.rank <= offer.rank:
                other.overtaken += 1
        self._add_grant(offer, now)
        return Send(request=offer.request, waited=now - entry.since)

    def _add_grant(self, offer: SlotRequest, now: float) -> None:
        self._grants[offer.request] = _Grant(
            offer, now, max(offer.deadline, now) + _GRANT_MARGIN_SECONDS
        )

    def _refuse(self, entry: _Waiting, wait: float, now: float) -> None:
        offer = entry.offer
        self._record_unserved(offer.rank, now)
        retry_seconds = self._promise_return(entry, wait, now)
        self._refused.append(
            Refuse(
                request=offer.request,
                retry_seconds=retry_seconds,
                waited=now - entry.since,
            )
        )

    def _promise_return(
        self, entry: _Waiting, wait: float, now: float
    ) -> float:
        """Returns the seconds after which a refused caller has a slot."""
        offer = entry.offer
        returning = self._returning.get(offer.caller)
        if returning is not None and returning.at > now:
            return returning.at - now
        freed_rate = self._freed_rate(offer.rank, now)
        at = max(
            now + max(_MIN_RETRY_SECONDS, wait),
            self._last_return_at + 1 / (_RETURN_RATE_SHARE * freed_rate),
        )
        honored_until = now + _HONORED_SHARE * (offer.deadline - now)
        if not offer.caller or at > honored_until:
            # Its caller does not wait that long and would waste the time.
            return at - now
        self._last_return_at = at
        self._returning.pop(offer.caller, None)
        self._returning[offer.caller] = _Returning(
            entry.number,
            entry.since,
            at,
            at - _RETURN_EARLY_SHARE * (at - now),
            at + _RETURN_SECONDS,
        )
        if len(self._returning) > _MAX_RETURNING:
            del self._returning[next(iter(self._returning))]
        return at - now

    def _freed_rate(self, rank: int, now: float) -> float:
        return self._forecast.freed_rate(
            rank=rank, capacity=self.capacity, now=now
        )

    def _wait_of(self, entry: _Waiting, now: float) -> float:
        """Returns the expected wait of a request; 0 if a slot is free."""
        offer = entry.offer
        order = entry.order(now)
        ahead = sum(
            other.order(now) < order for other in self._waiting.values()
        )
        if self._free_slots(offer.rank, now) > ahead:
            return 0.0
        freed_rate = self._freed_rate(offer.rank, now)
        wait = (ahead + 1) / freed_rate
        if entry.returns or now + wait < offer.objective_at:
            return wait
        # Its objective ends while it waits. Then requests of its rank whose
        # patience ends sooner go first, and later ones that are in time.
        ahead = sum(
            (other.offer.rank, other.offer.patience_at)
            < (offer.rank, offer.patience_at)
            for other in self._waiting.values()
        )
        late_wait = self._forecast.late_wait_seconds(
            ahead=ahead,
            overtaking=MAX_OVERTAKEN,
            rank=offer.rank,
            freed_rate=freed_rate,
            now=now,
        )
        return max(wait, late_wait)

    def _is_hopeless(self, entry: _Waiting, wait: float, now: float) -> bool:
        """Returns whether a new request is refused instead of waiting."""
        offer = entry.offer
        if len(self._waiting) >= _MAX_WAITING:
            return True
        if self._may_be_in_time(entry, now):
            return False
        if now + wait > offer.patience_at:
            return True
        if entry.returns or not now < offer.objective_at < now + wait:
            return False
        # It will be late. While requests come faster than slots are freed, its
        # slot would make another request late.
        rate = self._forecast.arrival_rate(offer.rank, now)
        return rate > _OVERLOAD_RATIO * self._freed_rate(offer.rank, now)

    def _may_be_in_time(self, entry: _Waiting, now: float) -> bool:
        """Returns whether slots freed before its objective ends may reach it.

        The forecast for a rank deducts the demand of more urgent ranks. If it
        alone decided, all requests of an overloaded rank would be refused at
        arrival, and the slots that are freed nevertheless would go to less
        urgent requests, which may wait for longer. While none of these waits,
        the forecast decides: more waiting makes more answers late.
        """
        offer = entry.offer
        if not now < offer.objective_at <= offer.patience_at:
            return False
        if all(w.offer.rank <= offer.rank for w in self._waiting.values()):
            return False
        order = entry.order(now)
        ahead = sum(
            other.order(now) < order for other in self._waiting.values()
        )
        freed_rate = self._freed_rate(_MOST_URGENT_RANK, now)
        return now + ahead / freed_rate < offer.objective_at

    def _free_slots(self, rank: int, now: float) -> int:
        if self._is_claiming:
            return 0
        unaccounted = 0
        if now - self._observed_at < _LOADS_STALE_SECONDS:
            unaccounted = self._unaccounted
        # The loads contain what was granted elsewhere.
        others = max(unaccounted, self._elsewhere)
        return (
            self.capacity
            - len(self._grants)
            - others
            - self._reserved(rank, now)
        )

    def _reserved(self, rank: int, now: float) -> int:
        """Returns the slots that a rank leaves to more urgent ones."""
        count = 0
        for other, times in self._unserved_at.items():
            if other < rank:
                count += sum(now - at < _RESERVE_SECONDS for at in times)
        return min(count, int(_MAX_RESERVE_SHARE * self.capacity))

    def _record_unserved(self, rank: int, now: float) -> None:
        times = self._unserved_at.setdefault(rank, [])
        times.append(now)
        del times[: -max(1, self.capacity)]
