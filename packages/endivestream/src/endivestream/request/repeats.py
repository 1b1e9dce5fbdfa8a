"""How many requests may be sent again, over all hosts of a site. Pure.

Sending again under load multiplies it (symptom: a slow service gets twice the
requests and stops). All hosts together may add a share of the requests that
came, and a fixed number in each window. A host counts by itself: its own
requests, and its part of the fixed number. With hundreds of hosts that part is
about one repeat, while a failing target affects only a few hosts at a time. The
leader then grants most of the fixed number on request, one repeat at a time.
"""

from __future__ import annotations

import collections

# Part of what is allowed that is really used. The rest is for what this host
# cannot see: requests of others that arrive later than they were counted.
_USED_SHARE = 0.6
# Usable repeats per window that a host needs from its equal part of the fixed
# number. The smaller the part, the more of the number the leader grants.
_SUFFICIENT_HOST_REPEATS = 8.0


def shared_fraction(slack: float, hosts: int) -> float:
    """Returns the fraction of the fixed number that the leader grants.

    Args:
        slack: Repeats that all hosts together may add in a window.
        hosts: How many hosts there are.
    """
    part = _USED_SHARE * slack / max(1, hosts)
    return 1.0 - min(1.0, part / _SUFFICIENT_HOST_REPEATS)


class RepeatBudget:
    """Repeats of one host for one service. Times are seconds."""

    def __init__(
        self, *, ratio: float, window: float, slack: float, now: float
    ) -> None:
        """Starts without the fixed number.

        The process before may have spent its part just now; nobody knows, so
        it counts only after a whole window.

        Args:
            ratio: Repeats for each request that came.
            window: Seconds over which both are counted.
            slack: Repeats that all hosts together may add in a window.
            now: The time.
        """
        self._ratio = ratio
        self._window = window
        self._slack = slack
        self._born = now
        self._hosts = 1
        self._came: collections.deque[float] = collections.deque()
        self._spent: collections.deque[float] = collections.deque()

    def __repr__(self) -> str:
        return f"<RepeatBudget {len(self._spent)} of {len(self._came)}>"

    def set_hosts(self, hosts: int) -> None:
        """Sets how many hosts share the fixed number."""
        self._hosts = max(1, hosts)

    def came(self, now: float) -> None:
        """Counts a request of a caller."""
        self._came.append(now)

    def spend(self, now: float) -> bool:
        """Takes one repeat; False if there is none left."""
        for times in (self._came, self._spent):
            while times and now - times[0] > self._window:
                times.popleft()
        allowed = self._ratio * len(self._came)
        if now - self._born > self._window:
            own_fraction = 1.0 - shared_fraction(self._slack, self._hosts)
            allowed += own_fraction * self._slack / self._hosts
        if len(self._spent) + 1 > _USED_SHARE * allowed:
            return False
        self._spent.append(now)
        return True


class SharedRepeatBudget:
    """Repeats of one service that the leader grants to all hosts.

    Times are seconds.
    """

    def __init__(self, *, window: float, slack: float, now: float) -> None:
        """Starts without repeats.

        Grants none for a whole window, because the previous leader may have
        granted all of them just before.

        Args:
            window: Seconds over which repeats are counted.
            slack: Repeats that all hosts together may add in a window.
            now: The time.
        """
        self._window = window
        self._slack = slack
        self._born = now
        self._spent: collections.deque[float] = collections.deque()

    def __repr__(self) -> str:
        return f"<SharedRepeatBudget {len(self._spent)} of {self._slack:g}>"

    def spend(self, now: float, *, hosts: int) -> bool:
        """Takes one repeat for a host; False if there is none left.

        Args:
            now: The time.
            hosts: How many hosts there are.
        """
        while self._spent and now - self._spent[0] > self._window:
            self._spent.popleft()
        if now - self._born <= self._window:
            return False
        allowed = shared_fraction(self._slack, hosts) * self._slack
        if len(self._spent) + 1 > _USED_SHARE * allowed:
            return False
        self._spent.append(now)
        return True
