"""Entries in memory after a snapshot, as the agreement sees them."""

from __future__ import annotations

from collections.abc import Sequence

from endivestream.version import storage as storage_lib

# Bytes of entries in one message; a follower that is far behind gets several.
_BATCH_BYTES = 1024 * 1024


class EntryLog:
    """The entries, and index and term of the snapshot before them.

    Attributes:
        start: Index of the last entry that the snapshot contains.
    """

    def __init__(
        self, *, snapshot: tuple[int, int], entries: Sequence[storage_lib.Entry]
    ) -> None:
        self.start, self._start_term = snapshot
        self._entries = list(entries)

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.start + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last)

    def term_at(self, index: int) -> int:
        """Returns an entry's term; -1 for one that is not here."""
        if index == self.start:
            return self._start_term
        if self.start < index <= self.last:
            return self._entries[index - self.start - 1].term
        return -1

    def between(self, after: int, last: int) -> list[storage_lib.Entry]:
        """Returns the entries after `after`, up to `last`."""
        return self._entries[after - self.start : last - self.start]

    def batch(self, after: int) -> list[storage_lib.Entry]:
        """Returns entries after `after`, as many as fit in one message."""
        taken, size = [], 0
        for entry in self._entries[after - self.start :]:
            taken.append(entry)
            size += len(entry.payload)
            if size > _BATCH_BYTES:
                break
        return taken

    def append(self, entries: Sequence[storage_lib.Entry]) -> None:
        """Adds entries at the end."""
        self._entries += entries

    def truncate(self, index: int) -> None:
        """Drops the entries from `index` on."""
        del self._entries[index - self.start - 1 :]

    def compact(self, index: int) -> None:
        """Drops the entries up to `index`, which a snapshot contains."""
        term = self.term_at(index)
        self._entries = self.between(index, self.last)
        self.start, self._start_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Drops all entries; a snapshot of another history replaces them."""
        self.start, self._start_term = index, term
        self._entries = []
