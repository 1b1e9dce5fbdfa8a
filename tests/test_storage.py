import os
import pathlib
import tempfile
import unittest

from endivestream.version import storage
import hypothesis
from hypothesis import strategies as st


class StorageTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def _open(self):
        opened = storage.Storage(folder=self.folder)
        opened.start()
        self.addCleanup(opened.close)
        return opened

    def _write(self, count, first=1):
        opened = self._open()
        entries = [
            storage.Entry(1, n, b"entry %d" % n)
            for n in range(first, first + count)
        ]
        opened.append(entries)
        opened.sync()
        opened.close()
        return entries

    def test_synced_entries_are_read_back(self):
        """Synced entries would be lost, or removed entries would reappear.

        The log is truncated and continued after it was read back.
        """
        entries = self._write(5)
        opened = self._open()
        self.assertEqual(opened.entries, entries)
        opened.truncate_from(4)
        opened.append([storage.Entry(2, 4, b"other")])
        opened.close()
        self.assertEqual(
            [entry.term for entry in self._open().entries], [1, 1, 1, 2]
        )

    @hypothesis.given(st.integers(0, 200))
    def test_torn_tail_is_cut_off(self, lost):
        """After a crash the acknowledged entries are there, and more fit.

        The last write reached the disk only in part; it was never
        acknowledged.
        """
        with tempfile.TemporaryDirectory() as name:
            self.folder = pathlib.Path(name)
            entries = self._write(5)
            path = self.folder / "log"
            size = path.stat().st_size
            os.truncate(path, max(0, size - lost))
            opened = self._open()
            left = opened.entries
            self.assertEqual(left, entries[: len(left)])
            opened.append([storage.Entry(2, len(left) + 1, b"next")])
            opened.close()
            self.assertEqual(self._open().entries[-1].payload, b"next")

    def test_corrupt_middle_is_rejected_with_file_and_offset(self):
        """Acknowledged entries would be lost by truncation.

        A bit flips in an entry that others follow. Opening the log must fail
        with file and offset, so that an operator can decide.
        """
        self._write(5)
        path = self.folder / "log"
        raw = bytearray(path.read_bytes())
        raw[40] ^= 1
        path.write_bytes(raw)
        with self.assertRaisesRegex(storage.CorruptError, r"log: .*offset 31"):
            self._open()

    def test_corrupt_vote_or_snapshot_is_rejected(self):
        """A replica would start with a wrong vote or state.

        The last byte of the file is damaged, so its checksum does not match.
        """
        opened = self._open()
        opened.save_vote(storage.Vote(3, "a"))
        opened.save_snapshot(storage.SnapshotFile(0, 0, b"state"))
        opened.close()
        for name in ("vote", "snapshot"):
            path = self.folder / name
            valid = path.read_bytes()
            path.write_bytes(valid[:-1] + b"\xff")
            with self.assertRaisesRegex(storage.CorruptError, name):
                self._open()
            path.write_bytes(valid)
        self.assertEqual(self._open().vote, storage.Vote(3, "a"))

    def test_crash_between_snapshot_and_log_rewrite_is_harmless(self):
        """Entries that the snapshot contains would be loaded again.

        The process crashes after the snapshot was renamed into place and
        before the log is rewritten.
        """
        self._write(5)
        before = (self.folder / "log").read_bytes()
        opened = self._open()
        opened.save_snapshot(storage.SnapshotFile(3, 1, b"state"))
        opened.close()
        (self.folder / "log").write_bytes(before)
        opened = self._open()
        self.assertEqual([e.index for e in opened.entries], [4, 5])
        self.assertEqual(opened.snapshot.index, 3)

    def test_sync_succeeds_while_the_log_is_rewritten(self):
        """A snapshot during a sync would stop the process.

        After the sync was prepared, the log is rewritten and its old
        descriptor closed; then the sync runs.
        """
        opened = self._open()
        opened.append([storage.Entry(1, 1, b"x")])
        sync = opened.prepare_sync()
        opened.save_snapshot(storage.SnapshotFile(1, 1, b"state"))
        sync()
        opened.append([storage.Entry(1, 2, b"y")])
        opened.sync()
        self.assertEqual([e.index for e in opened.entries], [2])

    def test_missing_identity_beside_a_log_is_rejected(self):
        """A replica with an existing log would get a new identity."""
        self._write(1)
        (self.folder / "identity").unlink()
        with self.assertRaisesRegex(storage.CorruptError, "identity"):
            self._open()

    def test_new_folder_gets_a_new_identity(self):
        """A replica that lost its disk could vote twice in one term.

        Its new folder must not give it the old identity.
        """
        first = self._open().identity
        self.assertEqual(self._open().identity, first)
        with tempfile.TemporaryDirectory() as other:
            self.folder = pathlib.Path(other)
            self.assertNotEqual(self._open().identity, first)
