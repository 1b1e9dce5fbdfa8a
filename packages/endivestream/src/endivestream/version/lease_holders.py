"""Replicated record of the entry hosts that may hold a lease.

A leader grants no lease that outlasts the one a host may have from a former
leader before the log names the host as one that renews. Otherwise a new leader
could not know which hosts may act on an older state until when, and each one
would wait for the longest lease before it acknowledges a change (symptom: with
two changes of leader, a change has no acknowledgement in time).
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec


class RecordLeaseHolders(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records changes of the hosts that may hold a lease.

    Attributes:
        renewing: Hosts that may renew their leases from now on.
        silent: Hosts that renew no more until they are recorded as renewing
            again, with the seconds for which their leases still last at most.
        ended: Hosts whose leases have ended.
        is_complete: Whether no other host holds a lease. The first record is.
        former_seconds: Set by a new leader, which has granted no lease yet:
            seconds for which the leases of hosts that renewed until then last
            at most. From now on they count as silent.
    """

    renewing: tuple[str, ...] = ()
    silent: dict[str, float] = {}
    ended: tuple[str, ...] = ()
    is_complete: bool = False
    former_seconds: float | None = None


class LeaseHoldersRecorded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `RecordLeaseHolders`: the record is committed."""


class LeaseHolders:
    """Hosts that may hold a lease, in the replicated state."""

    def __init__(self) -> None:
        self._seconds: dict[str, float | None] | None = None

    def __repr__(self) -> str:
        return f"<LeaseHolders of {len(self._seconds or ())} hosts>"

    @property
    def seconds(self) -> dict[str, float | None] | None:
        """How long the lease of each host lasts at most without a leader.

        In seconds from when this replica applied the record; None for a host
        that renews. None instead of the mapping if other hosts may hold leases,
        because no complete record is in the log yet.
        """
        return None if self._seconds is None else dict(self._seconds)

    def apply(self, command: RecordLeaseHolders) -> LeaseHoldersRecorded:
        """Applies a command in log order; deterministic on every replica."""
        if command.is_complete:
            self._seconds = {}
        if self._seconds is not None:
            if command.former_seconds is not None:
                self._seconds = {
                    host: command.former_seconds if left is None else left
                    for host, left in self._seconds.items()
                }
            self._seconds.update(dict.fromkeys(command.renewing))
            self._seconds.update(command.silent)
            for host in command.ended:
                self._seconds.pop(host, None)
        return LeaseHoldersRecorded()

    def restore(self, seconds: dict[str, float | None] | None) -> None:
        """Replaces everything with an earlier value of `seconds`."""
        self._seconds = None if seconds is None else dict(seconds)


class _SilentHost(NamedTuple):
    """A silent host's record, as this replica received it.

    Attributes:
        seconds: How long its lease lasted at most when it was recorded.
        lease_end: Local time at which it ends at the latest.
    """

    seconds: float
    lease_end: float


class ReceivedRecords:
    """When one replica received the records of silent hosts.

    A lease ends at the latest its recorded seconds after any replica has
    received the record, so a new leader that received it earlier waits only
    for what is left. These times are not replicated.
    """

    def __init__(self) -> None:
        self._silent: dict[str, _SilentHost] = {}

    def update(
        self, seconds: Mapping[str, float | None] | None, now: float
    ) -> None:
        """Records the time of a record that was just applied.

        Args:
            seconds: The lease holders after the record.
            now: Current time in seconds.
        """
        self._silent = {
            host: self._find(host, left) or _SilentHost(left, now + left)
            for host, left in (seconds or {}).items()
            if left is not None
        }

    def clear(self) -> None:
        """Forgets all times: records may have been skipped by a snapshot."""
        self._silent = {}

    def remaining(
        self, seconds: Mapping[str, float | None] | None, now: float
    ) -> dict[str, float | None] | None:
        """Returns how long the lease of each host still lasts at most.

        Args:
            seconds: The lease holders in the replicated state.
            now: Current time in seconds.

        Returns:
            Seconds by host; None for one that renews. None instead of the
            mapping if other hosts may hold leases.
        """
        if seconds is None:
            return None
        remaining = dict(seconds)
        for host, left in seconds.items():
            silent = self._find(host, left)
            if silent is not None:
                remaining[host] = max(0.0, silent.lease_end - now)
        return remaining

    def _find(self, host: str, left: float | None) -> _SilentHost | None:
        """Returns the received record of a host unless it is another one."""
        silent = self._silent.get(host)
        return silent if silent and silent.seconds == left else None
