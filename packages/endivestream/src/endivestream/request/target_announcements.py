"""Announcements in answers of targets that apply to later requests. Pure.

A target that refuses a request may name the seconds for which it accepts
nothing from this host; a target that is about to stop announces that in each
answer.
Both apply to one process of a target: a table update does not end them, a
restart of the target does. Times are seconds.

After a backoff a target gets one request, and more with each one that it
accepts, so that neither all hosts nor all requests that waited for its end
arrive at the same moment.
"""

from __future__ import annotations

from collections.abc import Collection
import dataclasses
import hashlib
import math
from typing import NamedTuple

from endivestream.connection import registry as registry_lib

# Announcements of targets that left the table are kept for this time: a table
# may lack a target for a moment while its process goes on.
_RETENTION_SECONDS = 60.0
# Maximum characters of a number that a target may send.
_MAX_TEXT_LENGTH = 32
# A host's backoff is longer than the target demands by up to this share, at
# most by this time. The share differs from host to host.
_JITTER_SHARE = 0.1
_MAX_JITTER_SECONDS = 1.0
# Share of the refusals that a brittle target survives which all hosts together
# may cause.
_BRITTLE_SHARE = 0.5
# Unanswered requests by which the window after a backoff grows with each
# request that the target accepts.
_WINDOW_GROWTH = 2


def parse_seconds(texts: Collection[str]) -> float | None:
    """Parses the Retry-After headers of an answer.

    Returns:
        Seconds, 0 or more, the longest if there are several; None if none of
        the texts is such a number. Dates are not supported: they would depend
        on the clocks of host and target.
    """
    values = []
    for text in texts:
        if len(text) > _MAX_TEXT_LENGTH:
            continue
        try:
            seconds = float(text)
        except ValueError:
            continue
        if math.isfinite(seconds) and seconds >= 0:
            values.append(seconds)
    return max(values, default=None)


@dataclasses.dataclass(kw_only=True)
class _Announcement:
    """Announcements of one process of a target.

    Attributes:
        started_at_ms: Start time of the process, in milliseconds of the wall
            clock.
        received_at: When it was last updated.
        backoff_until: When the longest of its backoffs ends.
        window: Number of requests without an answer that it may have after the
            backoff; None if it has accepted enough since. That of a brittle
            target grows by one with each round of requests that it accepts.
        is_resumed: Whether it was sent a request after the backoff.
        draining_since: When it first announced that it is about to stop; None
            if it has not.
        brittle_limit: Refusals for want of room in a second, over all hosts,
            above which it fails; None if it announces none.
    """

    started_at_ms: int
    received_at: float
    backoff_until: float = -math.inf
    window: float | None = None
    is_resumed: bool = False
    draining_since: float | None = None
    brittle_limit: int | None = None


class _Process(NamedTuple):
    """The current process of a target, and when it started."""

    registration: registry_lib.Registration
    started_at: float


class TargetAnnouncements:
    """Announcements of all targets to one host."""

    def __init__(self, *, host: str = "") -> None:
        """Starts without any announcement.

        Args:
            host: Name of this host; spreads the ends of the hosts' backoffs.
        """
        self._host = host
        self._hosts = 1
        self._by_target: dict[str, _Announcement] = {}
        self._processes: dict[str, _Process] = {}
        self._events = dict.fromkeys(("backoff", "resumed", "draining"), 0)

    def __repr__(self) -> str:
        return f"<TargetAnnouncements of {len(self._by_target)} targets>"

    @property
    def events(self) -> dict[str, int]:
        """Number of backoffs, of sends that ended one, and of drains."""
        return dict(self._events)

    def count_backoffs(self, now: float) -> int:
        """Returns the number of targets that get no requests now."""
        return sum(
            each.backoff_until > now for each in self._by_target.values()
        )

    def record_backoff(
        self,
        registration: registry_lib.Registration,
        seconds: float,
        now: float,
    ) -> bool:
        """Records that a target accepts nothing for some time.

        An announcement never shortens an earlier one: the target counts the
        seconds of each of its answers.

        Args:
            registration: The target, as the request was sent to it.
            seconds: Seconds from now.
            now: Current time.

        Returns:
            Whether the target gets no requests for longer than before.
        """
        announcement = self._update(registration, now)
        if announcement is None or seconds <= 0:
            return False
        until = now + seconds + self._jitter(registration.name, seconds)
        if until <= announcement.backoff_until:
            return False
        self._events["backoff"] += announcement.backoff_until <= now
        announcement.backoff_until = until
        announcement.window = 1
        announcement.is_resumed = False
        return True

    def set_hosts(self, hosts: int) -> None:
        """Sets how many entry hosts there are, this one included."""
        self._hosts = max(1, hosts)

    def record_brittle_limit(
        self,
        registration: registry_lib.Registration,
        limit: int | None,
        now: float,
    ) -> bool:
        """Records that a target fails if it refuses too many requests.

        Args:
            registration: The target, as the request was sent to it.
            limit: Refusals for want of room in a second, over all hosts, that
                it survives; None if it no longer announces a limit.
            now: Current time.

        Returns:
            Whether the limit has changed.
        """
        if limit is None and self._find(registration) is None:
            return False
        announcement = self._update(registration, now)
        if announcement is None or announcement.brittle_limit == limit:
            return False
        announcement.brittle_limit = limit
        if limit is None:
            announcement.window = None
        return True

    def record_full(
        self, registration: registry_lib.Registration, now: float
    ) -> bool:
        """Records that a target refused a request for want of room.

        A brittle target gets no requests until this host may cause the next
        refusal.

        Returns:
            Whether the target gets no requests for longer than before.
        """
        announcement = self._find(registration)
        if announcement is None or announcement.brittle_limit is None:
            return False
        # Each refusal counts, also those of requests sent at the same time.
        seconds = max(0.0, announcement.backoff_until - now)
        seconds += 1.0 / self._refusals_per_second(announcement.brittle_limit)
        window = max(1.0, (announcement.window or 1.0) / 2)
        is_longer = self.record_backoff(registration, seconds, now)
        announcement.window = window
        return is_longer

    def _refusals_per_second(self, limit: int) -> float:
        """Returns this host's share of the refusals of a brittle target."""
        return _BRITTLE_SHARE * max(1, limit) / self._hosts

    def record_draining(
        self, registration: registry_lib.Registration, now: float
    ) -> bool:
        """Records that a target is about to stop; returns whether it is new."""
        announcement = self._update(registration, now)
        if announcement is None or announcement.draining_since is not None:
            return False
        announcement.draining_since = now
        self._events["draining"] += 1
        return True

    def record_restart(
        self, registration: registry_lib.Registration, started_at: float
    ) -> None:
        """Records that a target has a new process.

        What this host received since the process started is from that process,
        although the requests were sent to the one before.

        Args:
            registration: The new process.
            started_at: When it started.
        """
        self._processes[registration.name] = _Process(registration, started_at)
        announcement = self._by_target.get(registration.name)
        if (
            announcement is not None
            and announcement.started_at_ms < registration.started_at_ms
            and announcement.received_at >= started_at
        ):
            announcement.started_at_ms = registration.started_at_ms
            drained_at = announcement.draining_since
            if drained_at is not None and drained_at < started_at:
                announcement.draining_since = None

    def find_process(
        self, registration: registry_lib.Registration, sent_at: float
    ) -> registry_lib.Registration:
        """Returns the process of a target that answered a request.

        A request that is sent after a restart, but before the table shows it,
        reaches the new process. So does one that is sent right before the new
        process states its start, if that has the address: the previous one
        answers there no longer.

        Args:
            registration: The target, as the request was sent to it.
            sent_at: When the request was sent.
        """
        process = self._processes.get(registration.name)
        if (
            process is not None
            and process.registration.started_at_ms > registration.started_at_ms
            and (
                process.started_at <= sent_at
                or process.registration.address == registration.address
            )
        ):
            return process.registration
        return registration

    def record_accepted(
        self, registration: registry_lib.Registration, sent_at: float
    ) -> bool:
        """Records that a target accepted a request.

        Args:
            registration: The target, as the request was sent to it.
            sent_at: When the request was sent.

        Returns:
            Whether the target may get more requests than before.
        """
        announcement = self._find(registration)
        if (
            announcement is None
            or announcement.window is None
            or sent_at < announcement.backoff_until
        ):
            return False
        if announcement.brittle_limit is not None:
            announcement.window += 1 / announcement.window
            return True
        announcement.window += _WINDOW_GROWTH
        if announcement.window >= registration.slots:
            announcement.window = None
        return True

    def record_sent(self, registration: registry_lib.Registration) -> bool:
        """Records a send; returns whether it is the first after a backoff."""
        announcement = self._find(registration)
        if (
            announcement is None
            or announcement.window is None
            or announcement.is_resumed
        ):
            return False
        announcement.is_resumed = True
        self._events["resumed"] += 1
        return True

    def backoff_until(
        self, registration: registry_lib.Registration, now: float
    ) -> float | None:
        """Returns when a target's backoff ends; None if it has none."""
        announcement = self._find(registration)
        if announcement is None or announcement.backoff_until <= now:
            return None
        return announcement.backoff_until

    def has_window(
        self, registration: registry_lib.Registration, unanswered: int
    ) -> bool:
        """Returns whether a target may get one more request.

        Args:
            registration: The target.
            unanswered: Number of this host's requests that it has not answered.
        """
        announcement = self._find(registration)
        return (
            announcement is None
            or announcement.window is None
            or unanswered < announcement.window
        )

    def is_draining(self, registration: registry_lib.Registration) -> bool:
        """Returns whether a target announced that it is about to stop."""
        announcement = self._find(registration)
        return (
            announcement is not None and announcement.draining_since is not None
        )

    def remove_stale(self, targets: Collection[str], now: float) -> None:
        """Removes announcements of targets that left the table long ago.

        Args:
            targets: All current targets.
            now: Current time.
        """
        for name, announcement in list(self._by_target.items()):
            last_at = max(announcement.received_at, announcement.backoff_until)
            if name not in targets and now - last_at > _RETENTION_SECONDS:
                del self._by_target[name]
        for name, process in list(self._processes.items()):
            age = now - process.started_at
            if name not in targets and age > _RETENTION_SECONDS:
                del self._processes[name]

    def _find(
        self, registration: registry_lib.Registration
    ) -> _Announcement | None:
        announcement = self._by_target.get(registration.name)
        if (
            announcement is None
            or announcement.started_at_ms != registration.started_at_ms
        ):
            return None
        return announcement

    def _update(
        self, registration: registry_lib.Registration, now: float
    ) -> _Announcement | None:
        """Returns the announcement to update; None for an earlier process."""
        announcement = self._by_target.get(registration.name)
        born = registration.started_at_ms
        if announcement is None or announcement.started_at_ms < born:
            announcement = _Announcement(started_at_ms=born, received_at=now)
            self._by_target[registration.name] = announcement
        elif announcement.started_at_ms > born:
            return None
        announcement.received_at = now
        return announcement

    def _jitter(self, target: str, seconds: float) -> float:
        digest = hashlib.blake2b(
            f"{self._host}\0{target}".encode(), digest_size=4
        ).digest()
        share = int.from_bytes(digest, "big") / 2**32
        return share * min(_JITTER_SHARE * seconds, _MAX_JITTER_SECONDS)
