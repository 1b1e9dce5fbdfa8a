"""Replicated record of the entry hosts that may hold a lease.

A leader grants no lease to a host before the log names it as one that renews.
Otherwise a new leader could not know which hosts may act on an older state
until when, and each one would wait for the longest lease before it acknowledges
a change (symptom: with two changes of leader, a change has no acknowledgement
in time).
"""

from __future__ import annotations

import msgspec


class RecordLeaseHolders(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records changes of the hosts that may hold a lease.

    Attributes:
        renewing: Hosts that may renew their leases from now on.
        silent: Hosts that renew no more until they are recorded as renewing
            again, with the seconds for which their leases still last at most.
        ended: Hosts whose leases have ended.
        is_complete: Whether no other host holds a lease. The first record is.
    """

    renewing: tuple[str, ...] = ()
    silent: dict[str, float] = {}
    ended: tuple[str, ...] = ()
    is_complete: bool = False


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
            self._seconds.update(dict.fromkeys(command.renewing))
            self._seconds.update(command.silent)
            for host in command.ended:
                self._seconds.pop(host, None)
        return LeaseHoldersRecorded()

    def restore(self, seconds: dict[str, float | None] | None) -> None:
        """Replaces everything with an earlier value of `seconds`."""
        self._seconds = None if seconds is None else dict(seconds)
