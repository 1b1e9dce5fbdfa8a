"""Keeps the log's record of lease holders ahead of the leases of a leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping

from endivestream import clock
from endivestream import logs
from endivestream import tasks
from endivestream.version import lease_holders as lease_holders_lib
from endivestream.version import replicate

# Minimum time between two records of silent hosts.
_UPDATE_INTERVAL_SECONDS = 1.0
# A leader that is late takes sound hosts for silent. If more than this share of
# hosts seems to be, none is recorded: each would need an entry to return.
_MAX_SILENT_SHARE = 0.125


class LeaseRecorder:
    """Record of lease holders during one term of leadership."""

    def __init__(
        self,
        *,
        replicator: replicate.Replicator,
        lease: float,
        lease_ends: Callable[[], Mapping[str, float]],
    ) -> None:
        """Starts with the record of former leaders.

        Args:
            replicator: The leader's replica.
            lease: Duration of a lease in seconds.
            lease_ends: Returns when the lease of each host ends.
        """
        self._replicator = replicator
        self._lease = lease
        self._lease_ends = lease_ends
        self._started_at = clock.now()
        recorded = replicator.state.lease_holders.seconds
        # When the leases of former leaders end at the latest, of hosts that
        # are recorded as renewing. The next leader may have received the
        # record of a silent host earlier and assume an earlier end for it.
        self._former_ends = {
            host: end
            for host, end in lease_ends().items()
            if recorded is not None and recorded.get(host, 0.0) is None
        }
        # Hosts that may renew. None until a complete record is in the log: all
        # hosts may, and the next leader waits for unknown ones.
        self._renewing: set[str] | None = None
        if recorded is not None:
            self._renewing = set()
        # Hosts that are to be recorded as renewing, and those being recorded.
        self._wanted: set[str] = set()
        self._admitting: frozenset[str] = frozenset()
        self._admission: asyncio.Task[None] | None = None
        self._update: asyncio.Task[None] | None = None
        self._next_update_at = self._started_at

    def start(self) -> None:
        """Records that the leases of former leaders are extended no more.

        Otherwise each of several leaders in a row would wait for the longest
        lease of a host that renewed at none of them.
        """
        if self._renewing is not None:
            self._update = tasks.start(
                self._propose(
                    lease_holders_lib.RecordLeaseHolders(
                        former_seconds=self._lease
                    )
                ),
                "lease_holders",
            )

    async def close(self) -> None:
        """Ends the update of the record."""
        await tasks.cancel([self._update])

    async def admit(self, host: str) -> float:
        """Returns until when a host may be granted a lease.

        A host that the log does not name as renewing in this term waits for
        that record, unless former leaders recorded it as renewing and it may
        hold a lease of theirs for a while yet: an extension up to the end that
        all leaders assume for that lease needs no record, so hosts keep their
        leases while commits are slow.

        Returns:
            The latest end of the lease.

        Raises:
            replicate.NotLeaderError: This replica does not lead.
            replicate.LeadershipLostError: Leadership was lost meanwhile.
            OSError: The disk failed.
        """
        while self._renewing is not None and host not in self._renewing:
            self._wanted.add(host)
            admission = self._admission or self._start_admission()
            former_end = self._former_ends.get(host, 0.0)
            if former_end > clock.now() + self._lease / 2:
                return former_end
            await asyncio.shield(admission)
        return clock.now() + self._lease

    def _start_admission(self) -> asyncio.Task[None]:
        self._admission = asyncio.create_task(self._admit_wanted())
        self._admission.add_done_callback(_retrieve_error)
        return self._admission

    async def _admit_wanted(self) -> None:
        self._admitting = frozenset(self._wanted)
        self._wanted.clear()
        is_recorded = False
        try:
            await self._replicator.propose(
                lease_holders_lib.RecordLeaseHolders(
                    renewing=tuple(sorted(self._admitting))
                )
            )
            is_recorded = True
        finally:
            # Reset here and not by a callback: a renewal that finds a finished
            # admission would await it again and again without a pause.
            self._admission = None
            admitted, self._admitting = self._admitting, frozenset()
            if is_recorded:
                assert self._renewing is not None
                self._renewing |= admitted
                if self._wanted:
                    self._start_admission()
        logs.event("lease_holders_admitted", hosts=len(admitted))

    def update(self, silence: float) -> None:
        """Records hosts that have stopped renewing, in the background.

        Args:
            silence: Seconds without a renewal after which a host counts as
                silent.
        """
        now = clock.now()
        if now < self._next_update_at or (
            self._update is not None and not self._update.done()
        ):
            return
        command = (
            self._first_record(now)
            if self._renewing is None
            else self._changes(now, silence)
        )
        if command is not None:
            self._next_update_at = now + _UPDATE_INTERVAL_SECONDS
            self._update = tasks.start(self._propose(command), "lease_holders")

    def _first_record(
        self, now: float
    ) -> lease_holders_lib.RecordLeaseHolders | None:
        """Returns the first record once no lease of a former leader is left."""
        if now < self._started_at + self._lease:
            return None
        self._renewing = {
            h for h, end in self._lease_ends().items() if end > now
        }
        return lease_holders_lib.RecordLeaseHolders(
            renewing=tuple(sorted(self._renewing)), is_complete=True
        )

    def _changes(
        self, now: float, silence: float
    ) -> lease_holders_lib.RecordLeaseHolders | None:
        assert self._renewing is not None
        ends = self._lease_ends()
        joining = self._wanted | self._admitting
        silent = {
            host: ends[host] - now
            for host in self._renewing - joining
            if now < ends.get(host, now) <= now + self._lease - silence
        }
        if len(silent) > max(1.0, _MAX_SILENT_SHARE * len(self._renewing)):
            silent = {}
        recorded = self._replicator.state.lease_holders.seconds or {}
        ended = {
            host
            for host in recorded.keys() - joining
            if ends.get(host, now) <= now
        }
        if not silent and not ended:
            return None
        # From now on these need a new record before they get a lease.
        self._renewing -= silent.keys() | ended
        return lease_holders_lib.RecordLeaseHolders(
            silent=silent, ended=tuple(sorted(ended))
        )

    async def _propose(
        self, command: lease_holders_lib.RecordLeaseHolders
    ) -> None:
        try:
            await self._replicator.propose(command)
        except (
            replicate.NotLeaderError,
            replicate.LeadershipLostError,
            OSError,
        ) as error:
            logs.warn("lease_holders_not_recorded", why=repr(error))
            return
        logs.event(
            "lease_holders_recorded",
            renewing=len(command.renewing),
            silent=",".join(command.silent),
            ended=",".join(command.ended),
            former=command.former_seconds is not None,
        )


def _retrieve_error(admission: asyncio.Task[None]) -> None:
    """Marks an error as retrieved; renewals that wait raise it, if any do."""
    if not admission.cancelled():
        admission.exception()
