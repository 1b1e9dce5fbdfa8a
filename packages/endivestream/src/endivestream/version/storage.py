"""Files of one replica of the log.

    DIR/identity   random identity of the replica; written once
    DIR/vote       term and vote; replaced atomically
    DIR/log        entries after the snapshot
    DIR/snapshot   state up to some entry; replaced atomically

A log entry is encoded as `length, checksum, term, index, payload`. A write
that a crash interrupts leaves a torn tail, which was never acknowledged and
is truncated at the next start. A damaged entry that valid entries follow is
not a torn tail but a disk fault. Opening such a log raises `CorruptError`
with file and offset, because truncating it would lose acknowledged entries.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import os
import pathlib
import struct
from typing import NamedTuple
import uuid
import zlib

import msgspec

from endivestream.version import members as members_lib

_HEADER = struct.Struct("<IIQQ")
_CHECKSUM = struct.Struct("<I")
# A larger length field means corruption; rules texts are far smaller.
_MAX_PAYLOAD_BYTES = 64 * 1024 * 1024
# More than one block, so that a disk with a few bytes left counts as full.
_PROBE_BYTES = 64 * 1024


class Entry(NamedTuple):
    """One entry of the log.

    Attributes:
        term: Term of the leader that created it.
        index: Position in the log, starting at 1.
        payload: An encoded command; empty for a leader's first entry.
    """

    term: int
    index: int
    payload: bytes


class Vote(NamedTuple):
    """Election state that a replica must keep across restarts.

    Attributes:
        term: The newest term seen.
        voted_for: Identity of the replica voted for in that term, or empty.
    """

    term: int
    voted_for: str


class SnapshotFile(NamedTuple):
    """A stored snapshot.

    Attributes:
        index: Index of the last entry it contains.
        term: Term of that entry.
        data: The encoded state.
        members: The members in effect at that entry.
    """

    index: int
    term: int
    data: bytes
    members: members_lib.Members = members_lib.Members()


class CorruptError(Exception):
    """Stored data is damaged in a way that a crash cannot cause."""


class Storage:
    """The files of one replica. Not shared between threads."""

    def __init__(self, *, folder: pathlib.Path, new_identity: str = "") -> None:
        """Initializes the storage without accessing the folder.

        Args:
            folder: Folder of the files.
            new_identity: Identity to use if the folder is new; random if
                empty.
        """
        self._folder = folder
        self._new_identity = new_identity
        self._log_fd: int | None = None
        self._entries: list[Entry] = []
        self._offsets: list[int] = []
        self._end_offset = 0
        self._identity = ""
        self._vote = Vote(0, "")
        self._snapshot = SnapshotFile(0, 0, b"")

    @property
    def identity(self) -> str:
        """Identity of the replica, created together with its folder.

        If a replica kept its identity after losing its disk, it could vote
        twice in one term, and two leaders could commit (symptom: an accepted
        rule disappears). A new folder therefore gets a new identity.
        """
        return self._identity

    @property
    def vote(self) -> Vote:
        """The stored term and vote."""
        return self._vote

    @property
    def snapshot(self) -> SnapshotFile:
        """The newest stored snapshot; index 0 if there is none."""
        return self._snapshot

    @property
    def entries(self) -> list[Entry]:
        """The entries after the snapshot, oldest first."""
        return list(self._entries)

    @property
    def log_size(self) -> int:
        """Size of the log file in bytes."""
        return self._end_offset

    def start(self) -> None:
        """Opens the files and truncates a torn tail of the log.

        Raises:
            CorruptError: A file is damaged; the message gives file and offset.
            OSError: A file cannot be read or written.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        self._read_identity()
        vote = self._read_checksummed("vote")
        if vote is not None:
            self._vote = msgspec.msgpack.decode(vote, type=Vote)
        snapshot = self._read_checksummed("snapshot")
        if snapshot is not None:
            self._snapshot = msgspec.msgpack.decode(snapshot, type=SnapshotFile)
        self._read_log()

    def close(self) -> None:
        """Closes the log file."""
        if self._log_fd is not None:
            os.close(self._log_fd)
            self._log_fd = None

    def _read_identity(self) -> None:
        stored = self._read_checksummed("identity")
        if stored is None:
            if (self._folder / "log").exists():
                raise CorruptError(
                    f"{self._folder / 'identity'}: missing although a log "
                    "exists"
                )
            stored = (self._new_identity or uuid.uuid4().hex).encode()
            self._replace_file("identity", stored)
        self._identity = stored.decode()

    def _read_checksummed(self, name: str) -> bytes | None:
        path = self._folder / name
        try:
            raw = path.read_bytes()
        except FileNotFoundError:
            return None
        if len(raw) < _CHECKSUM.size:
            raise CorruptError(
                f"{path}: {len(raw)} bytes are too few for a checksum"
            )
        (checksum,) = _CHECKSUM.unpack_from(raw)
        data = raw[_CHECKSUM.size :]
        if zlib.crc32(data) != checksum:
            raise CorruptError(f"{path}: checksum does not match")
        return data

    def _replace_file(self, name: str, data: bytes) -> None:
        """Replaces a file atomically and durably."""
        path = self._folder / name
        temporary = path.with_suffix(".tmp")
        with open(temporary, "wb") as file:
            file.write(_CHECKSUM.pack(zlib.crc32(data)))
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        # Without this a crash can undo the rename after the new file was
        # acknowledged.
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _read_log(self) -> None:
        path = self._folder / "log"
        created = not path.exists()
        self._log_fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        if created:
            self._sync_folder()
        raw = path.read_bytes()
        offset = 0
        while offset < len(raw):
            entry = _parse_entry(raw, offset)
            if entry is None:
                if _has_valid_entry_after(raw, offset):
                    raise CorruptError(
                        f"{path}: damaged entry at offset {offset}, followed "
                        "by valid entries"
                    )
                os.ftruncate(self._log_fd, offset)
                os.fsync(self._log_fd)
                break
            if entry.index > self._snapshot.index:
                self._check_next_index(path, offset, entry)
                self._entries.append(entry)
                self._offsets.append(offset)
            offset += _HEADER.size + len(entry.payload)
        self._end_offset = offset

    def _check_next_index(
        self, path: pathlib.Path, offset: int, entry: Entry
    ) -> None:
        last = self._entries[-1].index if self._entries else 0
        expected = (last or self._snapshot.index) + 1
        if entry.index != expected:
            raise CorruptError(
                f"{path}: entry {entry.index} at offset {offset}, "
                f"expected entry {expected}"
            )

    def append(self, entries: Sequence[Entry]) -> None:
        """Writes entries; they are durable only after `sync`."""
        assert self._log_fd is not None, "not started"
        parts = []
        for entry in entries:
            body = entry.payload
            checksum = _entry_checksum(entry.term, entry.index, body)
            header = _HEADER.pack(len(body), checksum, entry.term, entry.index)
            parts += [header, body]
            self._entries.append(entry)
            self._offsets.append(self._end_offset)
            self._end_offset += len(header) + len(body)
        data = b"".join(parts)
        start = self._end_offset - len(data)
        written = 0
        while written < len(data):
            written += os.pwrite(self._log_fd, data[written:], start + written)

    def prepare_sync(self) -> Callable[[], None]:
        """Returns a function that makes the entries written so far durable.

        The function may run in another thread while the log is appended to
        or rewritten. The file descriptor is duplicated here and not in that
        thread, where the old log might be closed and the new one not yet open
        (symptom: a bad descriptor stops the process during a snapshot). A
        rewritten log is durable before it replaces the old one, so syncing
        the old one at that point is harmless.
        """
        assert self._log_fd is not None, "not started"
        descriptor = os.dup(self._log_fd)

        def sync() -> None:
            try:
                os.fdatasync(descriptor)
            finally:
                os.close(descriptor)

        return sync

    def sync(self) -> None:
        """Makes the entries written so far durable; raises OSError."""
        self.prepare_sync()()

    def truncate_from(self, index: int) -> None:
        """Removes the entries from `index` on."""
        assert self._log_fd is not None, "not started"
        first = self._entries[0].index if self._entries else index
        kept_count = max(0, index - first)
        if kept_count >= len(self._entries):
            return
        self._end_offset = self._offsets[kept_count]
        del self._entries[kept_count:]
        del self._offsets[kept_count:]
        os.ftruncate(self._log_fd, self._end_offset)
        # Synced before the next write: if a crash left old bytes after new
        # ones, the log would look damaged in the middle.
        os.fdatasync(self._log_fd)

    def save_vote(self, vote: Vote) -> None:
        """Stores term and vote durably; must precede any reply."""
        self._replace_file("vote", msgspec.msgpack.encode(vote))
        self._vote = vote

    def save_snapshot(
        self, snapshot: SnapshotFile, *, keep_log: bool = True
    ) -> None:
        """Stores a snapshot durably, then removes the entries it contains.

        A crash in between leaves entries that the snapshot contains; they are
        skipped when the log is read.

        Args:
            snapshot: The snapshot to store.
            keep_log: Whether to keep the entries after the snapshot. False if
                they diverge from the history of the snapshot.
        """
        self._replace_file("snapshot", msgspec.msgpack.encode(snapshot))
        self._snapshot = snapshot
        self._rewrite_log(
            [e for e in self._entries if keep_log and e.index > snapshot.index]
        )

    def _rewrite_log(self, entries: list[Entry]) -> None:
        assert self._log_fd is not None, "not started"
        path = self._folder / "log"
        temporary = path.with_suffix(".tmp")
        os.close(self._log_fd)
        self._log_fd = os.open(
            temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600
        )
        self._entries = []
        self._offsets = []
        self._end_offset = 0
        self.append(entries)
        os.fsync(self._log_fd)
        os.replace(temporary, path)
        self._sync_folder()


def check_writable(folder: pathlib.Path) -> None:
    """Writes and removes a probe file; raises OSError if that fails."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "probe.tmp"
    try:
        with open(path, "wb") as file:
            file.write(bytes(_PROBE_BYTES))
            file.flush()
            os.fsync(file.fileno())
    finally:
        path.unlink(missing_ok=True)


def _entry_checksum(term: int, index: int, payload: bytes) -> int:
    head = _HEADER.pack(len(payload), 0, term, index)
    return zlib.crc32(payload, zlib.crc32(head))


def _parse_entry(raw: bytes, offset: int) -> Entry | None:
    """Returns the entry at `offset`; None if it is truncated or damaged."""
    if offset + _HEADER.size > len(raw):
        return None
    length, checksum, term, index = _HEADER.unpack_from(raw, offset)
    start = offset + _HEADER.size
    if length > _MAX_PAYLOAD_BYTES or start + length > len(raw):
        return None
    payload = raw[start : start + length]
    if _entry_checksum(term, index, payload) != checksum:
        return None
    return Entry(term, index, payload)


def _has_valid_entry_after(raw: bytes, offset: int) -> bool:
    """Returns whether a valid entry starts anywhere after `offset`.

    A torn write damages only the end of the file, so no valid entry can
    follow it. Every position is tried because the length field of the damaged
    entry is unreliable.
    """
    for position in range(offset + 1, len(raw) - _HEADER.size + 1):
        length = _CHECKSUM.unpack_from(raw, position)[0]
        if length > len(raw) - position - _HEADER.size:
            continue
        if _parse_entry(raw, position) is not None:
            return True
    return False
