"""In-memory log entries after the snapshot."""

from __future__ import annotations

from collections.abc import Sequence

from endivestream.version import storage as storage_lib

# Target size of the entries in one message. A follower that lags further
# behind receives several messages.
_BATCH_TARGET_BYTES = 1024 * 1024


class EntryLog:
    """Log entries, with index and term of the snapshot that precedes them.

    Attributes:
        snapshot_index: Index of the last entry that the snapshot contains.
    """

    def __init__(
        self, *, snapshot: tuple[int, int], entries: Sequence[storage_lib.Entry]
    ) -> None:
        self.snapshot_index, self._snapshot_term = snapshot
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Returns the term of an entry; -1 if it is not in memory."""
        if index == self.snapshot_index:
            return self._snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self._entries[index - self.snapshot_index - 1].term
        return -1

    def between(self, after: int, last: int) -> list[storage_lib.Entry]:
        """Returns the entries after `after`, up to and including `last`."""
        return self._entries[
            after - self.snapshot_index : last - self.snapshot_index
        ]

    def batch(self, after: int) -> list[storage_lib.Entry]:
        """Returns entries after `after` for one message.

        The batch ends with the entry that exceeds the target size.
        """
        selected, size = [], 0
        for entry in self._entries[after - self.snapshot_index :]:
            selected.append(entry)
            size += len(entry.payload)
            if size > _BATCH_TARGET_BYTES:
                break
        return selected

    def append(self, entries: Sequence[storage_lib.Entry]) -> None:
        """Appends entries."""
        self._entries += entries

    def truncate(self, index: int) -> None:
        """Removes the entries from `index` on."""
        del self._entries[index - self.snapshot_index - 1 :]

    def compact(self, index: int) -> None:
        """Removes the entries up to `index`, which a snapshot contains."""
        term = self.term_at(index)
        self._entries = self.between(index, self.last_index)
        self.snapshot_index, self._snapshot_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Replaces all entries by a snapshot of a divergent history."""
        self.snapshot_index, self._snapshot_term = index, term
        self._entries = []
