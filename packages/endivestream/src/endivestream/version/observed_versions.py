"""Decides which software versions a leader records, lists and removes. Pure.

Load pattern: thousands of targets that report every second. A report of a
recorded version costs two look-ups and causes no entry; a new version causes
one entry, however many targets report it until that is committed.
"""

from __future__ import annotations

from endivestream.version import software_versions as software_versions_lib

# Time for which targets of a version wait for its entry before they are listed
# without it. The leader checks it every 0.1 s, so they wait for at most 1 s.
HOLD_SECONDS = 0.9


class ObservedVersions:
    """Versions of the targets that reported during one term of leadership."""

    def __init__(
        self,
        *,
        record: software_versions_lib.SoftwareVersions,
        known_since: float,
    ) -> None:
        """Initializes without reports.

        Args:
            record: The replicated record; read, never changed.
            known_since: Time from which the leader knows all targets.
        """
        self._record = record
        self._known_since = known_since
        # When a configuration last moved streams to other services.
        self._moved_at = float("-inf")
        self._moves = record.moves
        self._seen_at: dict[software_versions_lib.ServiceVersion, float] = {}
        # When each version was first reported that is not recorded.
        self._unrecorded: dict[software_versions_lib.ServiceVersion, float] = {}
        # Unrecorded versions whose targets are listed.
        self._listed: set[software_versions_lib.ServiceVersion] = set()
        # Numbers of entries whose removal was proposed, which may be in the
        # log of the next leader.
        self._removed: dict[software_versions_lib.ServiceVersion, int] = {}

    @property
    def unrecorded(self) -> tuple[software_versions_lib.ServiceVersion, ...]:
        """Reported versions without an entry."""
        return tuple(self._unrecorded)

    def is_recorded(
        self, version: software_versions_lib.ServiceVersion
    ) -> bool:
        """Returns whether a version has an entry that is not to be removed."""
        number = self._record.number(version)
        return number is not None and number != self._removed.get(version)

    def is_listed(self, version: software_versions_lib.ServiceVersion) -> bool:
        """Returns whether the table lists targets of a version."""
        return version in self._listed or self.is_recorded(version)

    def has_unrecorded(self, service: str) -> bool:
        """Returns whether a service has a version without an entry."""
        return any(version.service == service for version in self._unrecorded)

    def covers_moves(self, seconds: float, now: float) -> bool:
        """Returns whether no stream has moved to another service for so long.

        Args:
            seconds: Time up to now.
            now: Current time.
        """
        if self._record.moves != self._moves:
            self._moves, self._moved_at = self._record.moves, now
        return now - self._moved_at >= seconds

    def record_report(
        self,
        version: software_versions_lib.ServiceVersion,
        now: float,
        *,
        is_held: bool,
    ) -> bool:
        """Records a target's report.

        Args:
            version: The target's version.
            now: Current time.
            is_held: Whether targets of its service wait for the entry.

        Returns:
            Whether the version has no entry.
        """
        self._seen_at[version] = now
        if self.is_recorded(version):
            return False
        if version not in self._unrecorded:
            self._unrecorded[version] = now
            if not is_held:
                self._listed.add(version)
        return True

    def take_recorded(
        self,
    ) -> tuple[software_versions_lib.ServiceVersion, ...]:
        """Returns the versions that have got their entry since the last call.

        Their targets are to be listed, or listed without the mark.
        """
        recorded = tuple(filter(self.is_recorded, self._unrecorded))
        for version in recorded:
            del self._unrecorded[version]
            self._listed.discard(version)
        return recorded

    def take_overdue(
        self, now: float
    ) -> tuple[software_versions_lib.ServiceVersion, ...]:
        """Returns the versions whose targets are listed without an entry."""
        overdue = tuple(
            version
            for version, since in self._unrecorded.items()
            if now - since >= HOLD_SECONDS and version not in self._listed
        )
        self._listed.update(overdue)
        return overdue

    def next_command(
        self, now: float
    ) -> software_versions_lib.RecordSoftware | None:
        """Returns the next change of the record, or None.

        The caller proposes it, and asks again once it has ended.

        Args:
            now: Current time.
        """
        if not self._record.is_started:
            return software_versions_lib.RecordSoftware(added=self.unrecorded)
        removed = self._removable(now)
        memory = software_versions_lib.MEMORY_SECONDS
        is_covered = (
            # First: it also notes when streams have moved.
            self.covers_moves(memory, now)
            and not self._record.is_complete
            and now - self._known_since >= memory
            and not self._unrecorded
        )
        if not self._unrecorded and not removed and not is_covered:
            return None
        return software_versions_lib.RecordSoftware(
            added=self.unrecorded,
            removed=removed,
            covers_streams=is_covered,
            moves=self._record.moves,
        )

    def _removable(
        self, now: float
    ) -> tuple[software_versions_lib.RecordedVersion, ...]:
        """Returns the entries of versions that were not seen for long."""
        oldest = now - software_versions_lib.MEMORY_SECONDS
        self._removed = {
            version: number
            for version, number in self._removed.items()
            if self._record.number(version) == number
        }
        removable = tuple(
            entry
            for entry in self._record.recorded
            if oldest
            > max(
                self._known_since,
                self._seen_at.get(entry.version, self._known_since),
            )
        )
        self._removed.update(removable)
        self._seen_at = {
            version: seen_at
            for version, seen_at in self._seen_at.items()
            if seen_at >= oldest
        }
        return removable
