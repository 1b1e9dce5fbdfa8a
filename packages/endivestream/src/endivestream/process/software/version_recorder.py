"""Keeps the log's record of software versions ahead of the table of targets."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from endivestream import clock
from endivestream import logs
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import registry as registry_lib
from endivestream.version import observed_versions
from endivestream.version import replicate
from endivestream.version import software_versions as software_versions_lib


class VersionRecorder:
    """Record of software versions during one term of leadership."""

    def __init__(
        self,
        *,
        replicator: replicate.Replicator,
        known_since: float,
        sessions: Callable[[], Mapping[str, registry_lib.Session]],
        on_targets_changed: Callable[[Iterable[str]], None],
        counts: collections.Counter[str],
    ) -> None:
        """Starts with the record of former leaders.

        Args:
            replicator: The leader's replica.
            known_since: Time from which the leader knows all targets.
            sessions: Returns the table of targets.
            on_targets_changed: Called when targets are to be listed, or listed
                without the mark.
            counts: Counts decisions, over all terms of this host.
        """
        self._replicator = replicator
        self._sessions = sessions
        self._on_targets_changed = on_targets_changed
        self._counts = counts
        self._observed = observed_versions.ObservedVersions(
            record=replicator.state.software_versions, known_since=known_since
        )
        # Services at whose targets resumable streams begin; only their targets
        # wait for an entry.
        self._resumable_services: frozenset[str] = frozenset()
        self._moves = replicator.state.software_versions.moves
        self._update: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the record if no former leader has.

        It is complete only if it starts before the first configuration.
        """
        self._start_update()

    async def close(self) -> None:
        """Ends the update of the record."""
        await tasks.cancel([self._update])

    def set_resumable_services(self, services: Collection[str]) -> None:
        """Sets the services at whose targets resumable streams begin."""
        self._resumable_services = frozenset(services)

    def record_report(
        self, registration: registry_lib.Registration, now: float
    ) -> None:
        """Records the version of a target that has reported."""
        if self._observed.record_report(
            _version(registration),
            now,
            is_held=registration.service in self._resumable_services,
        ):
            self._start_update()

    def is_listed(self, registration: registry_lib.Registration) -> bool:
        """Returns whether the table lists a target."""
        return self._observed.is_listed(_version(registration))

    def is_recorded(self, registration: registry_lib.Registration) -> bool:
        """Returns whether the version of a target is recorded."""
        return self._observed.is_recorded(_version(registration))

    def answer(
        self,
        question: site_messages.AskSoftware,
        *,
        reported: tuple[str | None, ...],
        has_all_reports: bool,
    ) -> site_messages.ToldSoftware:
        """Answers which versions the targets of a service have had.

        Args:
            question: The question.
            reported: Versions of the targets that reported to this leader in
                the time of the question.
            has_all_reports: Whether it has known all targets in that time.
        """
        record = self._replicator.state.software_versions
        versions, source = reported, "none"
        if self._observed.has_unrecorded(question.service):
            source = "unrecorded"
        elif has_all_reports and self._observed.covers_moves(
            question.seconds, clock.now()
        ):
            source = "reports"
        elif question.is_resumable and record.covers(question.seconds):
            versions, source = record.versions(question.service), "record"
        self._counts[f"answered_{source}"] += 1
        logs.event(
            "software_told",
            service=question.service,
            seconds=question.seconds,
            versions=",".join(version or "" for version in versions),
            source=source,
        )
        return site_messages.ToldSoftware(
            versions=versions, is_complete=source in ("reports", "record")
        )

    def update(self, now: float) -> None:
        """Lists targets that waited for too long, and updates the record."""
        moves = self._replicator.state.software_versions.moves
        if moves != self._moves:
            self._moves = moves
            logs.event("streams_moved", moves=moves)
        overdue = self._observed.take_overdue(now)
        if overdue:
            self._counts["listed_unrecorded"] += len(overdue)
            for version in overdue:
                logs.warn(
                    "version_listed_unrecorded",
                    service=version.service,
                    software=version.software,
                )
            self._list_targets(overdue)
        self._start_update()

    def _list_targets(
        self, versions: Collection[software_versions_lib.ServiceVersion]
    ) -> None:
        names = [
            name
            for name, session in self._sessions().items()
            if _version(session.registration) in versions
        ]
        if names:
            self._on_targets_changed(names)

    def _start_update(self) -> None:
        if self._update is not None and not self._update.done():
            return
        command = self._observed.next_command(clock.now())
        if command is not None:
            self._update = tasks.start(
                self._propose(command), "software_versions"
            )

    async def _propose(
        self, command: software_versions_lib.RecordSoftware | None
    ) -> None:
        """Proposes a command, and those that have become due meanwhile."""
        while command is not None:
            try:
                await self._replicator.propose(command)
            except (
                replicate.NotLeaderError,
                replicate.LeadershipLostError,
                OSError,
            ) as error:
                logs.warn("software_not_recorded", why=repr(error))
                return
            self._counts["added"] += len(command.added)
            self._counts["removed"] += len(command.removed)
            record = self._replicator.state.software_versions
            logs.event(
                "software_recorded",
                added=_format(command.added),
                removed=_format(entry.version for entry in command.removed),
                versions=len(record),
                complete=record.is_complete,
            )
            recorded = self._observed.take_recorded()
            if recorded:
                self._list_targets(recorded)
            command = self._observed.next_command(clock.now())


def _version(
    registration: registry_lib.Registration,
) -> software_versions_lib.ServiceVersion:
    return software_versions_lib.ServiceVersion(
        registration.service, registration.software
    )


def _format(versions: Iterable[software_versions_lib.ServiceVersion]) -> str:
    return ",".join(
        f"{version.service}:{version.software or ''}" for version in versions
    )
