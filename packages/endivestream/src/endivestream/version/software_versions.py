"""Replicated record of the software versions that targets of services had.

After the loss of all entry hosts and of the leader, nobody else knows at which
version a stream began. A service with a single recorded version is then proof
that its streams began at that version, so that they can go on.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

# Time without any target of a version after which the version is removed. A
# stream that began longer ago cannot be proved to be of a single version.
MEMORY_SECONDS = 600.0


class ServiceVersion(NamedTuple):
    """A software version of a service's targets.

    Attributes:
        service: Name of the service.
        software: The version; None for targets that name none.
    """

    service: str
    software: str | None


class RecordedVersion(NamedTuple):
    """A version with the identity of its entry.

    Attributes:
        version: The version.
        number: Number of the entry that recorded it last.
    """

    version: ServiceVersion
    number: int


class RecordSoftware(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Changes the record; the first such command starts it.

    Attributes:
        added: Versions to record. One that is recorded gets a new number.
        removed: Versions to remove, unless they were recorded again since.
        covers_streams: Whether the record has all versions at which a stream
            of the last `MEMORY_SECONDS` can have begun.
        moves: Value of `SoftwareVersions.moves` for which this was found; it
            is ignored if a later configuration has moved streams.
    """

    added: tuple[ServiceVersion, ...] = ()
    removed: tuple[RecordedVersion, ...] = ()
    covers_streams: bool = False
    moves: int = 0


class SoftwareRecorded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `RecordSoftware`: the change is committed."""


class SoftwareRecord(NamedTuple):
    """All of the record, for snapshots.

    Attributes:
        versions: The recorded versions.
        last_number: Number of the last entry.
        is_complete: Whether no stream can have begun at another version.
        moves: Number of configurations that moved streams to other services.
    """

    versions: tuple[RecordedVersion, ...]
    last_number: int
    is_complete: bool
    moves: int = 0


class SoftwareVersions:
    """Software versions of all services, in the replicated state."""

    def __init__(self) -> None:
        self._numbers: dict[ServiceVersion, int] = {}
        self._last_number = 0
        self._is_started = False
        self._is_complete = False
        self._moves = 0

    def __repr__(self) -> str:
        return f"<SoftwareVersions of {len(self._numbers)} versions>"

    def __len__(self) -> int:
        return len(self._numbers)

    @property
    def is_started(self) -> bool:
        """Whether the log has an entry of the record."""
        return self._is_started

    @property
    def is_complete(self) -> bool:
        """Whether no stream can have begun at a version that is missing."""
        return self._is_complete

    @property
    def moves(self) -> int:
        """Number of configurations that moved streams to other services."""
        return self._moves

    @property
    def recorded(self) -> tuple[RecordedVersion, ...]:
        """All recorded versions."""
        return tuple(
            RecordedVersion(version, number)
            for version, number in self._numbers.items()
        )

    def number(self, version: ServiceVersion) -> int | None:
        """Returns the number of a version's entry; None if it has none."""
        return self._numbers.get(version)

    def versions(self, service: str) -> tuple[str | None, ...]:
        """Returns the recorded versions of a service."""
        return tuple(
            version.software
            for version in self._numbers
            if version.service == service
        )

    def covers(self, seconds: float) -> bool:
        """Returns whether no version of the last seconds is missing."""
        return self._is_complete and seconds <= MEMORY_SECONDS

    def apply(
        self, command: RecordSoftware, *, has_configuration: bool
    ) -> SoftwareRecorded:
        """Applies a command in log order; deterministic on every replica.

        Args:
            command: The command.
            has_configuration: Whether a configuration has been in force. No
                stream can have begun without one, so a record that starts
                before is complete.
        """
        if not self._is_started:
            self._is_started = True
            self._is_complete = not has_configuration
        for version, number in command.removed:
            if self._numbers.get(version) == number:
                del self._numbers[version]
        for version in command.added:
            self._last_number += 1
            self._numbers[version] = self._last_number
        if command.covers_streams and command.moves == self._moves:
            self._is_complete = True
        return SoftwareRecorded()

    def record_moved_streams(self) -> None:
        """Records that streams may have begun at other services than now.

        It also holds for routes that have become resumable: their streams may
        have begun at versions that were not recorded. A record
        that starts later than the configuration is incomplete anyway.
        """
        if not self._is_started:
            return
        self._moves += 1
        self._is_complete = False

    def snapshot(self) -> SoftwareRecord | None:
        """Returns all of the record; None if it has not been started."""
        if not self._is_started:
            return None
        return SoftwareRecord(
            self.recorded, self._last_number, self._is_complete, self._moves
        )

    def restore(self, record: SoftwareRecord | None) -> None:
        """Replaces everything with a snapshot; None is nothing recorded."""
        self._is_started = record is not None
        record = record or SoftwareRecord((), 0, False)
        self._numbers = dict(record.versions)
        self._last_number = record.last_number
        self._is_complete = record.is_complete
        self._moves = record.moves
