"""The task that carries out what the agreement asks for: files, links, state.

`consensus.Replica` decides; this module owns the storage, the replicated
state and the clock, and passes messages on. Writes gather while the disk
syncs (group commit): nobody waits for a timer, and one sync serves all that
came meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import NamedTuple

from endivestream import clock
from endivestream import logs
from endivestream import tasks
from endivestream.version import consensus
from endivestream.version import members as members_lib
from endivestream.version import protocol
from endivestream.version import state as state_lib
from endivestream.version import storage as storage_lib

# A snapshot is taken after this many bytes of log; reading them back at a
# start takes well under a second.
SNAPSHOT_AFTER_BYTES = 8 * 1024 * 1024


class NotLeaderError(Exception):
    """This replica does not lead.

    Attributes:
        address: Where the leader listens, or empty if it is not known.
    """

    def __init__(self, address: str) -> None:
        super().__init__(f"not the leader; it is at {address or 'unknown'}")
        self.address = address


class LostError(Exception):
    """Leadership was lost before the commit: it may or may not last."""


class _Pending(NamedTuple):
    term: int
    done: asyncio.Future[state_lib.Result]


class Replicator:
    """One replica: its storage, its state, and its part in the agreement.

    Attributes:
        state: The replicated state; only this task changes it.
    """

    def __init__(
        self,
        *,
        storage: storage_lib.Storage,
        name: str,
        address: str,
        timing: protocol.Timing,
        send: Callable[[str, str, protocol.Message], Awaitable[None]],
        on_applied: Callable[[state_lib.Command, state_lib.Result], None],
        on_restored: Callable[[], None],
        on_role: Callable[[bool], None],
        on_failed: Callable[[OSError], None],
    ) -> None:
        self.state = state_lib.State()
        self._storage = storage
        self._name = name
        self._address = address
        self._timing = timing
        self._send = send
        self._on_applied = on_applied
        self._on_restored = on_restored
        self._on_role = on_role
        self._on_failed = on_failed
        self._random = random.Random()
        self._replica: consensus.Replica | None = None
        self._addresses: dict[str, str] = {}
        self._queue: list[tuple[state_lib.Command, asyncio.Future]] = []
        self._pending: dict[int, _Pending] = {}
        self._applied = 0
        self._led = False
        self._was = (consensus.Role.FOLLOWER, "")
        self._to_sync = 0
        self._sync_wanted = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._sending: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def identity(self) -> str:
        """This replica's identity."""
        return self._storage.identity

    @property
    def me(self) -> members_lib.Member:
        """This replica as a member."""
        return members_lib.Member(self.identity, self._name, self._address)

    @property
    def replica(self) -> consensus.Replica:
        """The agreement's state, to read."""
        assert self._replica is not None, "not started"
        return self._replica

    @property
    def index(self) -> int:
        """Index of the last applied entry."""
        return self._applied

    @property
    def term(self) -> int:
        """The newest term seen."""
        return self.replica.term

    @property
    def leads(self) -> bool:
        """Whether this leads and surely nobody else does."""
        return not self._closed and (self.replica.lease_until > clock.now())

    @property
    def leader_address(self) -> str:
        """Where the leader listens, or empty if it is unknown or this one."""
        leader = self.replica.leader
        return "" if leader == self.identity else self._address_of(leader)

    def _address_of(self, identity: str) -> str:
        """Returns where a replica listens: as it says itself, if heard."""
        member = self.replica.members.find(identity)
        known = member.address if member else ""
        return self._addresses.get(identity, known)

    def start(
        self,
        *,
        form: bool,
        alone: bool = False,
        founders: Sequence[members_lib.Member] = (),
    ) -> None:
        """Reads the state back and takes part.

        Args:
            form: Whether to form a new system if there is none in the folder.
            founders: With `form`: the voters of the new system, the same on
                all of them; only this one if empty.
            alone: Whether to go on as the only voter, after a majority of
                disks was lost for good.

        Raises:
            storage_lib.CorruptError: The stored data is damaged.
            OSError: It cannot be read or written.
        """
        begun = clock.now()
        self._storage.start()
        known = self._storage.snapshot.members.voters or self._storage.entries
        if form and not known:
            self._form(founders)
        if alone:
            self._stand_alone()
        snapshot = self._storage.snapshot
        if snapshot.data:
            self.state.restore(snapshot.data)
        self._applied = snapshot.index
        self._replica = consensus.Replica(
            identity=self.identity,
            timing=self._timing,
            vote=self._storage.vote,
            snapshot=(snapshot.index, snapshot.term),
            snapshot_members=snapshot.members,
            entries=self._storage.entries,
            now=clock.now(),
            jitter=self._random.random(),
        )
        logs.event(
            "log_opened",
            identity=self.identity[:8],
            term=self.term,
            index=self.replica.last_index,
            voters=len(self.replica.members.voters),
            seconds=clock.now() - begun,
        )
        self._tasks = [
            tasks.start(self._tick(), "tick"),
            tasks.start(self._sync(), "sync"),
        ]

    def _form(self, founders: Sequence[members_lib.Member]) -> None:
        """Makes this replica a voter of a new system.

        All founders write the same first members, so that any majority of
        them is one: nothing is accepted by fewer, not even at the start.
        """
        members = members_lib.Members(tuple(founders) or (self.me,))
        self._storage.save_snapshot(
            storage_lib.SnapshotFile(0, 0, b"", members)
        )
        logs.event("system_formed", identity=self.identity[:8])

    def _stand_alone(self) -> None:
        """Makes this replica the only voter of the system it was part of.

        All its entries count as accepted: some may not have been, and some
        that were may be on the lost disks only. An operator chose that.
        """
        state = state_lib.State()
        snapshot = self._storage.snapshot
        if snapshot.data:
            state.restore(snapshot.data)
        index, term = snapshot.index, snapshot.term
        for entry in self._storage.entries:
            if entry.payload[:1] not in (b"", members_lib.MARK):
                state.apply(entry.index, state_lib.decode(entry.payload))
            index, term = entry.index, entry.term
        self._storage.save_snapshot(
            storage_lib.SnapshotFile(
                index, term, state.snapshot(), members_lib.Members((self.me,))
            )
        )
        logs.warn("standing_alone", identity=self.identity[:8], index=index)

    async def close(self) -> None:
        """Hands leadership over if there is an heir, then stops."""
        if self._replica is not None and not self._closed:
            await self._hand_over()
        self._closed = True
        await tasks.cancel((*self._tasks, *self._sending))
        self._fail_pending(LostError("the host is stopping"))
        self._storage.close()

    async def _hand_over(self) -> None:
        """Makes a planned stop cost no election timeout."""
        until = clock.now() + self._timing.election
        while (
            self.replica.role == consensus.Role.LEADER
            and len(self.replica.members.voters) > 1
            and clock.now() < until
        ):
            self._step(protocol.Transfer())
            await asyncio.sleep(self._timing.heartbeat / 2)

    async def propose(self, command: state_lib.Command) -> state_lib.Result:
        """Commits a command and returns what applying it gave.

        Raises:
            NotLeaderError: Nothing was done.
            LostError: It may or may not last.
            OSError: The disk failed; it may or may not last.
        """
        if self._closed:
            raise NotLeaderError("")
        done = asyncio.get_running_loop().create_future()
        self._queue.append((command, done))
        if len(self._queue) == 1:
            asyncio.get_running_loop().call_soon(self._flush)
        return await done

    def _flush(self) -> None:
        """Proposes all that gathered in this turn of the loop."""
        batch, self._queue = self._queue, []
        first = self.replica.last_index + 1
        payloads = [state_lib.encode(command) for command, _ in batch]
        self._step(protocol.Proposed(payloads))
        taken = not self._closed and self.replica.last_index >= first
        for offset, (_, done) in enumerate(batch):
            if taken:
                self._pending[first + offset] = _Pending(self.term, done)
            elif not done.done():
                done.set_exception(NotLeaderError(self.leader_address))

    async def receive(
        self, sender: str, address: str, message: protocol.Message
    ) -> None:
        """Takes a message of another replica in."""
        self._addresses[sender] = address
        self._step(protocol.Received(sender, message))

    def change_members(self, members: members_lib.Members) -> bool:
        """Sets other members; False if that cannot be done now."""
        self._step(protocol.ChangeMembers(members))
        return self.replica.members == members

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(self._timing.heartbeat / 2)
            self._step(protocol.Tick(self._random.random()))

    async def _sync(self) -> None:
        while True:
            await self._sync_wanted.wait()
            self._sync_wanted.clear()
            number = self._to_sync
            try:
                # Milliseconds on a disk; requests go on meanwhile.
                await asyncio.to_thread(self._storage.prepare_sync())
            except OSError as error:
                self._fail(error)
                return
            self._step(protocol.Synced(number))

    def _step(self, event: protocol.Event) -> None:
        if self._closed:
            return
        try:
            for effect in self.replica.step(event, clock.now()):
                self._carry_out(effect)
            if self._storage.size > SNAPSHOT_AFTER_BYTES:
                self._compact()
        except OSError as error:
            # After a failed write or sync the kernel may have dropped the
            # pages and reported the error once: going on would acknowledge
            # entries that a crash then loses. So the process stops.
            self._fail(error)
            return
        self._note_role()

    def _carry_out(self, effect: protocol.Effect) -> None:
        match effect:
            case protocol.SaveVote(vote=vote):
                self._storage.save_vote(vote)
            case protocol.Truncate(index=index):
                self._storage.truncate_from(index)
            case protocol.Write(number=number, entries=entries):
                self._storage.append(entries)
                self._to_sync = number
                self._sync_wanted.set()
            case protocol.Restore(snapshot=snapshot, keep_log=keep_log):
                self._storage.save_snapshot(snapshot, keep_log=keep_log)
                self.state.restore(snapshot.data)
                self._applied = snapshot.index
                self._on_restored()
                logs.event("snapshot_taken_over", index=snapshot.index)
            case protocol.Send(to=to, message=message):
                self._post(to, message)
            case protocol.SendSnapshot(to=to, term=term, sent=sent):
                message = protocol.Install(
                    term=term, snapshot=self._storage.snapshot, sent=sent
                )
                self._post(to, message)
            case protocol.Commit(entries=entries):
                self._apply(entries)

    def _post(self, to: str, message: protocol.Message) -> None:
        address = self._address_of(to)
        if not address:
            return
        task = asyncio.create_task(self._send(to, address, message))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    def _apply(self, entries: list[storage_lib.Entry]) -> None:
        for entry in entries:
            result = None
            self._applied = entry.index
            if entry.payload[:1] not in (b"", members_lib.MARK):
                command = state_lib.decode(entry.payload)
                result = self.state.apply(entry.index, command)
                self._on_applied(command, result)
            pending = self._pending.pop(entry.index, None)
            if pending is None or pending.done.done():
                continue
            if pending.term == entry.term and result is not None:
                pending.done.set_result(result)
            else:
                pending.done.set_exception(LostError("another leader's entry"))

    def _compact(self) -> None:
        index = self._applied
        if index <= self._storage.snapshot.index:
            return
        snapshot = storage_lib.SnapshotFile(
            index,
            self.replica.term_at(index),
            self.state.snapshot(),
            self.replica.members_at(index),
        )
        self._storage.save_snapshot(snapshot)
        self.replica.step(protocol.Compacted(index), clock.now())
        logs.event("snapshot", index=index, bytes=len(snapshot.data))

    def _note_role(self) -> None:
        replica = self.replica
        if (replica.role, replica.leader) != self._was:
            self._was = (replica.role, replica.leader)
            logs.event(
                "role",
                role=replica.role,
                term=replica.term,
                leader=replica.leader[:8],
            )
        if replica.role != consensus.Role.LEADER and self._pending:
            self._fail_pending(LostError("leadership was lost"))
        if replica.ready != self._led:
            self._led = replica.ready
            self._on_role(self._led)

    def _fail_pending(self, error: Exception) -> None:
        pending, self._pending = self._pending, {}
        for each in pending.values():
            if not each.done.done():
                each.done.set_exception(error)

    def _fail(self, error: OSError) -> None:
        logs.warn("log_failed", error=repr(error))
        self._closed = True
        self._fail_pending(error)
        self._on_failed(error)
