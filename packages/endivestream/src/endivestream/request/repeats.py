"""Budget for repeated requests, over all hosts of a site. Pure.

Repeats under load multiply it (symptom: a slow service gets twice the requests
and stops). All hosts together may add a share of the requests that arrived,
and a fixed number in each window. Each host counts locally: its own requests,
and its part of the fixed number. With hundreds of hosts that part is about one
repeat, while a failing target affects only a few hosts at a time. The leader
then grants most of the fixed number on request, one repeat at a time.
"""

from __future__ import annotations

import collections

# Fraction of the allowed repeats that is used. The rest is a margin for what
# this host cannot observe: requests of others that arrive later than they were
# counted.
_USABLE_FRACTION = 0.6
# Usable repeats per window that a host needs from its equal part of the fixed
# number. The smaller the part, the larger the fraction that the leader grants.
_MIN_HOST_REPEATS = 8.0


def shared_fraction(slack: float, hosts: int) -> float:
    """Returns the fraction of the fixed number that the leader grants.

    Args:
        slack: Repeats that all hosts together may add in a window.
        hosts: Number of hosts.
    """
    equal_part = _USABLE_FRACTION * slack / max(1, hosts)
    return 1.0 - min(1.0, equal_part / _MIN_HOST_REPEATS)


class RepeatBudget:
    """Repeats of one host for one service. Times are seconds."""

    def __init__(
        self, *, ratio: float, window: float, slack: float, now: float
    ) -> None:
        """Starts without this host's part of the fixed number.

        The previous process on this host may just have spent the part, so it
        is available only after a complete window.

        Args:
            ratio: Repeats for each request that arrived.
            window: Seconds over which both are counted.
            slack: Repeats that all hosts together may add in a window.
            now: The time.
        """
        self._ratio = ratio
        self._window = window
        self._slack = slack
        self._started_at = now
        self._hosts = 1
        self._arrivals: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def __repr__(self) -> str:
        return f"<RepeatBudget {len(self._repeats)} of {len(self._arrivals)}>"

    def set_hosts(self, hosts: int) -> None:
        """Sets the number of hosts that share the fixed number."""
        self._hosts = max(1, hosts)

    def record_arrival(self, now: float) -> None:
        """Counts a request that arrived from a caller."""
        self._arrivals.append(now)

    def spend(self, now: float) -> bool:
        """Takes one repeat; False if there is none left."""
        for timestamps in (self._arrivals, self._repeats):
            while timestamps and now - timestamps[0] > self._window:
                timestamps.popleft()
        allowed = self._ratio * len(self._arrivals)
        if now - self._started_at > self._window:
            own_fraction = 1.0 - shared_fraction(self._slack, self._hosts)
            allowed += own_fraction * self._slack / self._hosts
        if len(self._repeats) + 1 > _USABLE_FRACTION * allowed:
            return False
        self._repeats.append(now)
        return True


class SharedRepeatBudget:
    """Repeats of one service that the leader grants to all hosts.

    Times are seconds.
    """

    def __init__(self, *, window: float, slack: float, now: float) -> None:
        """Starts without repeats.

        Grants none for a complete window, because the previous leader may
        have granted all of them just before.

        Args:
            window: Seconds over which repeats are counted.
            slack: Repeats that all hosts together may add in a window.
            now: The time.
        """
        self._window = window
        self._slack = slack
        self._started_at = now
        self._repeats: collections.deque[float] = collections.deque()

    def __repr__(self) -> str:
        return f"<SharedRepeatBudget {len(self._repeats)} of {self._slack:g}>"

    def spend(self, now: float, *, hosts: int) -> bool:
        """Takes one repeat for a host; False if there is none left.

        Args:
            now: The time.
            hosts: Number of hosts.
        """
        while self._repeats and now - self._repeats[0] > self._window:
            self._repeats.popleft()
        if now - self._started_at <= self._window:
            return False
        allowed = shared_fraction(self._slack, hosts) * self._slack
        if len(self._repeats) + 1 > _USABLE_FRACTION * allowed:
            return False
        self._repeats.append(now)
        return True
