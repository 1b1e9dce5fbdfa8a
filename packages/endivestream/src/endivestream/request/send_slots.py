"""Scheduling of requests to rate-limited targets. Pure, with time given.

A target has a limit because it reports one or because it is cold
(`request/cold_targets.py`). All hosts together must keep it, and it may be less
than one request a second and host. The leader therefore grants sends one by
one, each for its own time, and returns the time of the next request to those it
denies.
If a limit is large relative to the number of hosts, each host uses a share of
it without a request to the leader, so that limits above the load cost no
messages.

Times are seconds.
"""

from __future__ import annotations

import dataclasses

# How far ahead the leader grants sends. A new leader grants none during this
# time, because sends granted by the previous leader may still be made.
GRANT_AHEAD_SECONDS = 1.0
# Sends that may be made together after a pause.
_BURST_SENDS = 2.0
# Sends a second to a target with a lower limit, also of 0: only an answer of
# the target can end the limit.
_MIN_SENDS_PER_SECOND = 0.125
# Fraction of a limit that hosts use without a grant, and the requests a second
# per host from which on they do so.
_HOST_FRACTION = 0.5
_MIN_REQUESTS_PER_SECOND_AND_HOST = 2.0
# Hosts and leader may count different numbers of hosts for a while. The leader
# therefore reserves the hosts' fraction from this share of the limit at which
# hosts begin to use it.
_HOST_COUNT_MARGIN = 0.75
# Time without sends after which a target's schedule is removed.
_IDLE_RETENTION_SECONDS = 60.0
# Maximum time after which a denied host requests again.
_MAX_RETRY_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """The request may be sent after `wait` seconds."""

    wait: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Denied:
    """Nothing may be sent; request again after `seconds`."""

    seconds: float


def host_rate(rate: float, hosts: int) -> float:
    """Returns the sends a second that each host may make without a grant.

    Each host may make its first send at any time, so the rate is 0 for small
    limits.

    Args:
        rate: The target's limit.
        hosts: Number of entry hosts; 0 if unknown.
    """
    if hosts < 1 or rate < _MIN_REQUESTS_PER_SECOND_AND_HOST * hosts:
        return 0.0
    return _HOST_FRACTION * rate / hosts


def _leader_rate(rate: float, hosts: int) -> float:
    """Returns the sends a second that the leader grants."""
    hosts_may_use_share = (
        rate >= _HOST_COUNT_MARGIN * _MIN_REQUESTS_PER_SECOND_AND_HOST * hosts
    )
    host_fraction = _HOST_FRACTION if hosts_may_use_share else 0.0
    return max(_MIN_SENDS_PER_SECOND, rate * (1 - host_fraction))


class HostShare:
    """Sends of one host to one target, within its share of the limit."""

    def __init__(self) -> None:
        self._next_send_at = float("-inf")

    def spend(self, rate: float, hosts: int, now: float) -> bool:
        """Takes one send; False if it needs a grant of the leader."""
        own_rate = host_rate(rate, hosts)
        if own_rate <= 0 or now < self._next_send_at:
            return False
        self._next_send_at = now + 1 / own_rate
        return True


@dataclasses.dataclass(kw_only=True)
class _SendSchedule:
    """Send schedule for one process of a target.

    Attributes:
        born: Start time of the process, in milliseconds of the wall clock.
        rate: Sends a second, as of the last call.
        next_send_at: When the next send may be made.
        next_retry_at: When the next denied host may request again.
    """

    born: int
    rate: float
    next_send_at: float
    next_retry_at: float = float("-inf")


class SendSlots:
    """Sends to rate-limited targets, during one term of a leader."""

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._schedules: dict[str, _SendSchedule] = {}

    def __repr__(self) -> str:
        return f"<SendSlots of {len(self._schedules)} targets>"

    def take(
        self,
        target: str,
        born: int,
        rate: float,
        *,
        hosts: int,
        patience: float,
        now: float,
    ) -> Granted | Denied:
        """Grants a send, or denies it until a later time.

        Args:
            target: The target.
            born: Start time of its process.
            rate: Its limit.
            hosts: Number of entry hosts.
            patience: Maximum seconds that the request can wait.
            now: The time.
        """
        schedule = self._schedule(target, born, _leader_rate(rate, hosts), now)
        wait = max(0.0, schedule.next_send_at - now)
        if wait <= min(patience, GRANT_AHEAD_SECONDS):
            schedule.next_send_at = max(
                schedule.next_send_at, self._earliest_send(schedule, now)
            )
            schedule.next_send_at += 1 / schedule.rate
            return Granted(wait=wait)
        # Hosts that are denied together get different times, so that they do
        # not all request again simultaneously.
        retry_at = min(
            max(schedule.next_retry_at, schedule.next_send_at),
            now + _MAX_RETRY_SECONDS,
        )
        schedule.next_retry_at = retry_at + 1 / schedule.rate
        return Denied(seconds=retry_at - now)

    def count_send(
        self, target: str, born: int, rate: float, now: float
    ) -> None:
        """Counts a send that was made without a grant."""
        schedule = self._schedule(
            target, born, max(_MIN_SENDS_PER_SECOND, rate), now
        )
        schedule.next_send_at = (
            max(schedule.next_send_at, self._earliest_send(schedule, now))
            + 1 / schedule.rate
        )

    def remove_idle(self, now: float) -> None:
        """Removes targets that have long had no send."""
        for name, schedule in list(self._schedules.items()):
            if now - schedule.next_send_at > _IDLE_RETENTION_SECONDS:
                del self._schedules[name]

    def _earliest_send(self, schedule: _SendSchedule, now: float) -> float:
        """Returns the earliest time whose unused sends may still be made."""
        return max(
            self._started_at + GRANT_AHEAD_SECONDS,
            now - (_BURST_SENDS - 1) / schedule.rate,
        )

    def _schedule(
        self, target: str, born: int, rate: float, now: float
    ) -> _SendSchedule:
        schedule = self._schedules.get(target)
        if schedule is None or schedule.born != born:
            first_send_at = max(now, self._started_at + GRANT_AHEAD_SECONDS)
            schedule = _SendSchedule(
                born=born, rate=rate, next_send_at=first_send_at
            )
            self._schedules[target] = schedule
        if rate > schedule.rate:
            # Sends made at a lower limit do not delay those at a higher one.
            schedule.next_send_at = min(
                schedule.next_send_at, now + GRANT_AHEAD_SECONDS
            )
            schedule.next_retry_at = min(schedule.next_retry_at, now)
        schedule.rate = rate
        return schedule
