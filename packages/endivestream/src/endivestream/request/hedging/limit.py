"""Limits on second attempts, over all hosts of a site. Pure.

Load pattern: a service slows down as a whole, and every request becomes
eligible for a second attempt at once. Hosts count locally, so that the limits
hold without messages; single slots that cannot be divided are granted by the
leader.
"""

from __future__ import annotations

import collections
import math
import sys

# Longest grant of a slot, in seconds. A new leader grants none for as long, as
# it does not know the grants of the former one.
MAX_GRANT_SECONDS = 10.0
# Of a host that has received no list of hosts yet.
_UNKNOWN_HOSTS = sys.maxsize


class HedgeShare:
    """Hedges of one host for one route, as a share of its requests.

    Times are seconds. It starts without requests, so a restarted host has no
    hedges until requests have arrived.
    """

    def __init__(self, *, window: float) -> None:
        """Starts without requests.

        Args:
            window: Seconds over which requests and hedges are counted.
        """
        self._window = window
        self._arrivals: collections.deque[float] = collections.deque()
        self._hedges: collections.deque[float] = collections.deque()

    def __repr__(self) -> str:
        return f"<HedgeShare {len(self._hedges)} of {len(self._arrivals)}>"

    def record_arrival(self, now: float) -> None:
        """Counts a request that arrived from a caller."""
        self._remove_old(now)
        self._arrivals.append(now)

    def left(self, ratio: float, now: float) -> float:
        """Returns the hedges that are left, with a fraction of one.

        Args:
            ratio: Hedges for each request.
            now: The time.
        """
        self._remove_old(now)
        return ratio * len(self._arrivals) - len(self._hedges)

    def spend(self, ratio: float, now: float) -> bool:
        """Takes one hedge; False if there is none left."""
        # Without the tolerance, 0.1 of 30 requests would be two.
        if self.left(ratio, now) < 1.0 - 1e-9:
            return False
        self._hedges.append(now)
        return True

    def take_arrivals(self, ratio: float, now: float) -> int:
        """Removes the requests that no hedge was spent on.

        They count at the leader instead, together with those of other hosts.

        Args:
            ratio: Hedges for each request.
            now: The time.

        Returns:
            The number of removed requests.
        """
        self._remove_old(now)
        spent = math.ceil(len(self._hedges) / ratio)
        taken = max(0, len(self._arrivals) - spent)
        for _ in range(taken):
            # The oldest ones stay: they are forgotten before the hedges that
            # were spent on them, so none of them allows a second hedge.
            self._arrivals.pop()
        return taken

    def _remove_old(self, now: float) -> None:
        for timestamps in (self._arrivals, self._hedges):
            while timestamps and now - timestamps[0] > self._window:
                timestamps.popleft()


class SharedShares:
    """Hedges that the leader grants to hosts with too few requests for one.

    Each request counts either at its host or here, so hedges never exceed the
    share, however many leaders there were. Times are seconds.
    """

    def __init__(self, *, window: float) -> None:
        """Starts without requests.

        Args:
            window: Seconds for which requests count.
        """
        self._window = window
        self._parts: dict[str, collections.deque[tuple[float, float]]] = {}

    def add(self, route: str, hedges: float, now: float) -> None:
        """Adds a host's part of a hedge; negative for a granted one."""
        self._parts.setdefault(route, collections.deque()).append((now, hedges))

    def spend(self, route: str, now: float) -> bool:
        """Takes one hedge for a host; False if there is none left."""
        parts = self._parts.get(route, collections.deque())
        while parts and now - parts[0][0] > self._window:
            parts.popleft()
        if sum(hedges for _, hedges in parts) < 1.0 - 1e-9:
            return False
        self.add(route, -1.0, now)
        return True


def own_slots(limit: int, hosts: int) -> int:
    """Returns a host's equal part of the hedges at once, rounded down.

    Args:
        limit: Hedges at once over all hosts.
        hosts: Number of hosts.
    """
    return limit // max(1, hosts)


class HostCounts:
    """Numbers of hosts among which open hedges may have been divided.

    A host that leaves the list of hosts may still run hedges and start others
    until its lease ends. When one joins, the others may still run as many as
    their former, larger parts allowed. So each part is the least that any
    number of hosts within the longest time of a hedge and a lease allows. Times
    are seconds.
    """

    def __init__(self, *, lease: float) -> None:
        """Starts with an unknown number, which leaves a host without slots.

        Args:
            lease: Duration of a host's lease.
        """
        self._window = MAX_GRANT_SECONDS + lease
        self._hosts = _UNKNOWN_HOSTS
        self._former: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, hosts: int, now: float) -> None:
        """Records the present number of hosts."""
        hosts = max(1, hosts)
        if hosts != self._hosts:
            # Without a limit, nothing else removes old numbers.
            self._remove_old(now)
            self._former.append((now, self._hosts))
            self._hosts = hosts

    def own_slots(self, limit: int, now: float) -> int:
        """Returns the hedges at once that one host may run on its own."""
        return min(own_slots(limit, hosts) for hosts in self._recent(now))

    def shared_slots(self, limit: int, now: float) -> int:
        """Returns the hedges at once that the leader may grant."""
        return min(
            limit - own_slots(limit, hosts) * hosts
            for hosts in self._recent(now)
            if hosts != _UNKNOWN_HOSTS
        )

    def _remove_old(self, now: float) -> None:
        while self._former and now - self._former[0][0] > self._window:
            self._former.popleft()

    def _recent(self, now: float) -> list[int]:
        self._remove_old(now)
        return [self._hosts, *(hosts for _, hosts in self._former)]


class SharedSlots:
    """Slots for hedges that the leader grants out of the shared part.

    Times are seconds.
    """

    def __init__(self, *, now: float, lease: float) -> None:
        """Starts without slots, as the former leader may have granted all.

        Args:
            now: The time.
            lease: Duration of a host's lease.
        """
        self._started_at = now
        self._hosts = HostCounts(lease=lease)
        self._ends: dict[str, dict[str, float]] = {}

    def record_hosts(self, hosts: int, now: float) -> None:
        """Records the present number of hosts."""
        self._hosts.record(hosts, now)

    def take(
        self,
        scope: str,
        grant: str,
        *,
        limit: int,
        hosts: int,
        seconds: float,
        now: float,
    ) -> bool:
        """Grants a slot for one hedge; False if there is none left.

        Args:
            scope: What the limit applies to.
            grant: Name of the grant, which no other grant has.
            limit: Hedges at once over all hosts.
            hosts: Present number of hosts.
            seconds: Time after which the slot is free again in any case.
            now: The time.
        """
        self.record_hosts(hosts, now)
        if now - self._started_at <= MAX_GRANT_SECONDS:
            return False
        ends = self._ends.setdefault(scope, {})
        for name in [name for name, end in ends.items() if end <= now]:
            del ends[name]
        shared = self._hosts.shared_slots(limit, now)
        if len(ends) >= shared or seconds > MAX_GRANT_SECONDS:
            return False
        ends[grant] = now + seconds
        return True

    def release(self, scope: str, grant: str) -> None:
        """Frees a slot before its time."""
        self._ends.get(scope, {}).pop(grant, None)
