"""The task that commits commands: one writer, batched, synced, then applied.

Callers hand over commands and wait. Whatever has gathered while the last
batch was being synced forms the next batch (group commit), so the cost of one
sync is shared under load and nobody waits for a timer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import time
from typing import NamedTuple

from endivestream import logs
from endivestream.version import state as state_lib
from endivestream.version import storage as storage_lib

# A snapshot is taken after this many bytes of log; reading them back at a
# start takes well under a second.
SNAPSHOT_AFTER_BYTES = 8 * 1024 * 1024


class _Proposal(NamedTuple):
    command: state_lib.Command
    done: asyncio.Future[state_lib.Result]


class Committer:
    """Owns the storage and the state of a log with one replica.

    Attributes:
        state: The replicated state; only this task changes it.
    """

    def __init__(
        self,
        *,
        storage: storage_lib.Storage,
        on_applied: Callable[[state_lib.Command, state_lib.Result], None],
        on_failed: Callable[[OSError], None],
    ) -> None:
        self.state = state_lib.State()
        self._storage = storage
        self._on_applied = on_applied
        self._on_failed = on_failed
        self._queue: asyncio.Queue[_Proposal] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None
        self._index = 0
        self._term = 1

    @property
    def index(self) -> int:
        """Index of the last applied entry."""
        return self._index

    @property
    def term(self) -> int:
        """The term under which this process commits."""
        return self._term

    def start(self) -> None:
        """Reads the state back and starts to commit.

        Raises:
            storage_lib.CorruptError: The stored data is damaged.
            OSError: It cannot be read or written.
        """
        begun = time.monotonic()
        self._storage.start()
        snapshot = self._storage.snapshot
        if snapshot.index:
            self.state.restore(snapshot.data)
            self._index = snapshot.index
        for entry in self._storage.entries:
            if entry.payload:
                command = state_lib.decode(entry.payload)
                self.state.apply(entry.index, command)
            self._index = entry.index
        self._term = self._storage.vote.term + 1
        self._storage.save_vote(
            storage_lib.Vote(self._term, self._storage.identity)
        )
        logs.event(
            "log_opened",
            identity=self._storage.identity[:8],
            term=self._term,
            index=self._index,
            seconds=time.monotonic() - begun,
        )
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Commits what was handed over, then stops."""
        if self._task is not None:
            while not self._queue.empty() and not self._task.done():
                await asyncio.sleep(0)
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self._storage.close()

    async def propose(self, command: state_lib.Command) -> state_lib.Result:
        """Commits a command and returns what applying it gave.

        Raises:
            OSError: The disk failed. The command may or may not last.
        """
        if self._task is None or self._task.done():
            raise OSError("the log is closed")
        done = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_Proposal(command, done))
        return await done

    async def _run(self) -> None:
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty():
                batch.append(self._queue.get_nowait())
            entries = [
                storage_lib.Entry(
                    self._term,
                    self._index + offset,
                    state_lib.encode(p.command),
                )
                for offset, p in enumerate(batch, start=1)
            ]
            try:
                self._storage.append(entries)
                # The sync may take milliseconds; requests go on meanwhile.
                await asyncio.to_thread(self._storage.sync)
            except OSError as error:
                # After a failed sync the kernel may have dropped the pages
                # and reported the error once: going on would acknowledge
                # entries that a crash then loses. So the process stops.
                self._fail(batch, error)
                return
            self._apply(batch, entries)
            if self._storage.size > SNAPSHOT_AFTER_BYTES:
                self._save_snapshot()

    def _fail(self, batch: list[_Proposal], error: OSError) -> None:
        logs.warn("log_failed", error=repr(error))
        while not self._queue.empty():
            batch.append(self._queue.get_nowait())
        for proposal in batch:
            if not proposal.done.done():
                proposal.done.set_exception(error)
        self._on_failed(error)

    def _apply(
        self, batch: list[_Proposal], entries: list[storage_lib.Entry]
    ) -> None:
        for proposal, entry in zip(batch, entries, strict=True):
            result = self.state.apply(entry.index, proposal.command)
            self._index = entry.index
            if not proposal.done.done():
                proposal.done.set_result(result)
            self._on_applied(proposal.command, result)

    def _save_snapshot(self) -> None:
        data = self.state.snapshot()
        snapshot = storage_lib.SnapshotFile(self._index, self._term, data)
        self._storage.save_snapshot(snapshot)
        logs.event("snapshot", index=self._index, bytes=len(data))
