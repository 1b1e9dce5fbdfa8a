"""Files of one log replica: the log, the vote, the snapshot, the identity.

    DIR/identity   who this replica is; made once
    DIR/vote       term and vote, replaced as a whole
    DIR/log        entries after the snapshot
    DIR/snapshot   state up to some entry, replaced as a whole

An entry in the log is `length, checksum, term, index, payload`. A write that
a crash cut short leaves a torn tail, which was never acknowledged and is cut
off at the next start. A damaged entry with sound ones after it is no torn
tail but a failing disk: opening it is refused, with file and offset, because
dropping it would lose acknowledged entries.
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
# A length above this is damage, not an entry; rules texts are far smaller.
_LONGEST_PAYLOAD = 64 * 1024 * 1024


# More than one block, so that a disk with a few bytes left counts as full.
_PROBE_BYTES = 64 * 1024


class Entry(NamedTuple):
    """One entry of the log.

    Attributes:
        term: Term of the leader that made it.
        index: Place in the log, from 1.
        payload: An encoded command; empty for a leader's first entry.
    """

    term: int
    index: int
    payload: bytes


class Vote(NamedTuple):
    """What a replica must remember of elections.

    Attributes:
        term: The newest term seen.
        voted_for: The replica voted for in it, or empty.
    """

    term: int
    voted_for: str


class SnapshotFile(NamedTuple):
    """A stored snapshot.

    Attributes:
        index: Last entry it contains.
        term: That entry's term.
        data: The state.
        members: Who takes part, as of that entry.
    """

    index: int
    term: int
    data: bytes
    members: members_lib.Members = members_lib.Members()


class CorruptError(Exception):
    """Stored data is damaged in a way that a crash cannot explain."""


class Storage:
    """The files of one replica. Not shared between threads."""

    def __init__(self, *, folder: pathlib.Path, new_identity: str = "") -> None:
        """Does not touch the folder yet.

        Args:
            folder: Where the files live.
            new_identity: Who this is if the folder is new; random if empty.
        """
        self._folder = folder
        self._new_identity = new_identity
        self._log: int | None = None
        self._entries: list[Entry] = []
        self._offsets: list[int] = []
        self._end = 0
        self._identity = ""
        self._vote = Vote(0, "")
        self._snapshot = SnapshotFile(0, 0, b"")

    @property
    def identity(self) -> str:
        """A random name made with the folder.

        A replica that lost its disk would vote twice in one term, and two
        leaders would each commit (symptom: an accepted rule disappears). A
        fresh folder gets a fresh identity and so cannot vote as the old one.
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
    def size(self) -> int:
        """Bytes in the log file."""
        return self._end

    def start(self) -> None:
        """Opens the files, cutting a torn tail off.

        Raises:
            CorruptError: A file is damaged; the text names file and offset.
            OSError: A file cannot be read or written.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        self._read_identity()
        vote = self._read_checked("vote")
        if vote is not None:
            self._vote = msgspec.msgpack.decode(vote, type=Vote)
        snapshot = self._read_checked("snapshot")
        if snapshot is not None:
            self._snapshot = msgspec.msgpack.decode(snapshot, type=SnapshotFile)
        self._read_log()

    def close(self) -> None:
        """Closes the log file."""
        if self._log is not None:
            os.close(self._log)
            self._log = None

    def _read_identity(self) -> None:
        stored = self._read_checked("identity")
        if stored is None:
            if (self._folder / "log").exists():
                raise CorruptError(
                    f"{self._folder / 'identity'}: missing beside a log"
                )
            stored = (self._new_identity or uuid.uuid4().hex).encode()
            self._replace("identity", stored)
        self._identity = stored.decode()

    def _read_checked(self, name: str) -> bytes | None:
        path = self._folder / name
        try:
            raw = path.read_bytes()
        except FileNotFoundError:
            return None
        if len(raw) < _CHECKSUM.size:
            raise CorruptError(f"{path}: {len(raw)} bytes are too few")
        (checksum,) = _CHECKSUM.unpack_from(raw)
        data = raw[_CHECKSUM.size :]
        if zlib.crc32(data) != checksum:
            raise CorruptError(f"{path}: checksum does not match")
        return data

    def _replace(self, name: str, data: bytes) -> None:
        """Replaces a small file as a whole, durably."""
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
        # Without this a crash can bring the old name back after the new
        # file was acknowledged.
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _read_log(self) -> None:
        path = self._folder / "log"
        fresh = not path.exists()
        self._log = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        if fresh:
            self._sync_folder()
        raw = path.read_bytes()
        offset = 0
        while offset < len(raw):
            entry = _entry_at(raw, offset)
            if entry is None:
                if _sound_entry_after(raw, offset):
                    raise CorruptError(
                        f"{path}: damaged entry at offset {offset} with sound "
                        "entries after it"
                    )
                os.ftruncate(self._log, offset)
                os.fsync(self._log)
                break
            if entry.index > self._snapshot.index:
                self._check_order(path, offset, entry)
                self._entries.append(entry)
                self._offsets.append(offset)
            offset += _HEADER.size + len(entry.payload)
        self._end = offset

    def _check_order(
        self, path: pathlib.Path, offset: int, entry: Entry
    ) -> None:
        last = self._entries[-1].index if self._entries else 0
        expected = (last or self._snapshot.index) + 1
        if entry.index != expected:
            raise CorruptError(
                f"{path}: entry {entry.index} at offset {offset}, "
                f"expected {expected}"
            )

    def append(self, entries: Sequence[Entry]) -> None:
        """Writes entries; they last only after `sync`."""
        assert self._log is not None, "not started"
        parts = []
        for entry in entries:
            body = entry.payload
            checksum = _entry_checksum(entry.term, entry.index, body)
            header = _HEADER.pack(len(body), checksum, entry.term, entry.index)
            parts += [header, body]
            self._entries.append(entry)
            self._offsets.append(self._end)
            self._end += len(header) + len(body)
        data = b"".join(parts)
        start = self._end - len(data)
        written = 0
        while written < len(data):
            written += os.pwrite(self._log, data[written:], start + written)

    def prepare_sync(self) -> Callable[[], None]:
        """Returns what makes the entries written so far durable.

        It may be called in another thread while the log is written to or
        rewritten. Its descriptor is taken here: taken in the thread, it could
        fall between the closing of the old log and the opening of the new one
        (symptom: a bad descriptor stops the process during a snapshot). A
        rewritten log is durable before it takes the old one's place, so to
        sync the old one then is harmless.
        """
        assert self._log is not None, "not started"
        descriptor = os.dup(self._log)

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
        """Drops the entries from `index` on."""
        assert self._log is not None, "not started"
        first = self._entries[0].index if self._entries else index
        keep = max(0, index - first)
        if keep >= len(self._entries):
            return
        self._end = self._offsets[keep]
        del self._entries[keep:]
        del self._offsets[keep:]
        os.ftruncate(self._log, self._end)
        # Before anything is written there: a crash must not leave old bytes
        # after new ones, which would look like a damaged middle.
        os.fdatasync(self._log)

    def save_vote(self, vote: Vote) -> None:
        """Stores term and vote durably before any answer leaves."""
        self._replace("vote", msgspec.msgpack.encode(vote))
        self._vote = vote

    def save_snapshot(
        self, snapshot: SnapshotFile, *, keep_log: bool = True
    ) -> None:
        """Stores a snapshot durably, then drops the entries it contains.

        With `keep_log` false all entries go: they follow another history.

        A crash in between leaves entries that the snapshot contains; they are
        skipped when the log is read.
        """
        self._replace("snapshot", msgspec.msgpack.encode(snapshot))
        self._snapshot = snapshot
        self._rewrite_log(
            [e for e in self._entries if keep_log and e.index > snapshot.index]
        )

    def _rewrite_log(self, entries: list[Entry]) -> None:
        assert self._log is not None, "not started"
        path = self._folder / "log"
        temporary = path.with_suffix(".tmp")
        os.close(self._log)
        self._log = os.open(
            temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600
        )
        self._entries = []
        self._offsets = []
        self._end = 0
        self.append(entries)
        os.fsync(self._log)
        os.replace(temporary, path)
        self._sync_folder()


def check_writable(folder: pathlib.Path) -> None:
    """Writes and removes a file; raises OSError if the disk takes no bytes."""
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


def _entry_at(raw: bytes, offset: int) -> Entry | None:
    """Reads the entry at `offset`; None if it is cut short or damaged."""
    if offset + _HEADER.size > len(raw):
        return None
    length, checksum, term, index = _HEADER.unpack_from(raw, offset)
    start = offset + _HEADER.size
    if length > _LONGEST_PAYLOAD or start + length > len(raw):
        return None
    payload = raw[start : start + length]
    if _entry_checksum(term, index, payload) != checksum:
        return None
    return Entry(term, index, payload)


def _sound_entry_after(raw: bytes, offset: int) -> bool:
    """Tells whether a sound entry starts anywhere after `offset`.

    A torn write damages only the end of the file: nothing sound can follow
    it. Every position is tried because the damaged entry's length cannot be
    trusted.
    """
    for position in range(offset + 1, len(raw) - _HEADER.size + 1):
        length = _CHECKSUM.unpack_from(raw, position)[0]
        if length > len(raw) - position - _HEADER.size:
            continue
        if _entry_at(raw, position) is not None:
            return True
    return False
