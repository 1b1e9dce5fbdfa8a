"""Replicated set of the failure domains that are evacuated.

No entry host sends requests to the targets of an evacuated domain. A change
names the revision that its author read. An operator's order that was delayed,
for example by a partition, and arrives after a later order was acknowledged is
therefore refused instead of undoing the later one.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class EvacuationRecord(NamedTuple):
    """Evacuated failure domains after some change.

    Attributes:
        revision: Number of changes so far.
        domains: The evacuated domains, sorted.
    """

    revision: int = 0
    domains: tuple[str, ...] = ()

    def with_domain(
        self, domain: str, *, evacuated: bool
    ) -> EvacuationRecord | None:
        """Returns the record after a change; None if it changes nothing."""
        if (domain in self.domains) == evacuated:
            return None
        domains = {*self.domains, domain} if evacuated else {*self.domains}
        if not evacuated:
            domains.discard(domain)
        return EvacuationRecord(self.revision + 1, tuple(sorted(domains)))


class SetEvacuation(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Starts or ends the evacuation of a failure domain.

    Attributes:
        domain: The failure domain.
        evacuated: Whether it is evacuated from now on.
        expected_revision: Revision that the author read.
    """

    domain: str
    evacuated: bool
    expected_revision: int


class EvacuationSet(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `SetEvacuation`.

    Attributes:
        record: The evacuations in force after the command.
        changed: Whether the command changed them.
        outdated: Whether the command was refused because its expected revision
            is not the current one.
    """

    record: EvacuationRecord
    changed: bool
    outdated: bool


class Evacuations:
    """Evacuated failure domains, in the replicated state."""

    def __init__(self) -> None:
        self.record = EvacuationRecord()

    def __repr__(self) -> str:
        return f"<Evacuations of {', '.join(self.record.domains) or 'none'}>"

    def apply(self, command: SetEvacuation) -> EvacuationSet:
        """Applies a command in log order; deterministic on every replica."""
        if command.expected_revision != self.record.revision:
            return EvacuationSet(
                record=self.record, changed=False, outdated=True
            )
        changed_record = self.record.with_domain(
            command.domain, evacuated=command.evacuated
        )
        if changed_record is not None:
            self.record = changed_record
        return EvacuationSet(
            record=self.record,
            changed=changed_record is not None,
            outdated=False,
        )
