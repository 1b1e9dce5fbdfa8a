"""Driver of the consensus state machine: storage, messages, replicated state.

`consensus.Replica` makes the decisions; this module owns the storage, the
replicated state and the clock, and executes the effects. Writes are
group-committed: those that arrive during a sync share the next one, and no
write waits for a timer.
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

# Log size that triggers a snapshot. Replaying a log of this size at startup
# takes well under a second.
SNAPSHOT_AFTER_BYTES = 8 * 1024 * 1024


class NotLeaderError(Exception):
    """This replica is not the leader.

    Attributes:
        address: Listening address of the leader; empty if unknown.
    """

    def __init__(self, address: str) -> None:
        super().__init__(
            f"not the leader; leader address: {address or 'unknown'}"
        )
        self.address = address


class LeadershipLostError(Exception):
    """The outcome of a proposal is unknown: it may or may not be committed."""


class _PendingProposal(NamedTuple):
    term: int
    future: asyncio.Future[state_lib.Result]


class Replicator:
    """One replica: its storage, replicated state and consensus state.

    Attributes:
        state: The replicated state, modified only by this class.
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
        on_leadership_changed: Callable[[bool], None],
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
        self._on_leadership_changed = on_leadership_changed
        self._on_failed = on_failed
        self._random = random.Random()
        self._replica: consensus.Replica | None = None
        self._addresses: dict[str, str] = {}
        self._proposal_queue: list[
            tuple[state_lib.Command, asyncio.Future]
        ] = []
        self._pending: dict[int, _PendingProposal] = {}
        self._applied_index = 0
        self._reported_ready = False
        self._logged_role = (consensus.Role.FOLLOWER, "")
        self._last_write_number = 0
        self._sync_requested = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._send_tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def identity(self) -> str:
        """This replica's identity."""
        return self._storage.identity

    @property
    def own_member(self) -> members_lib.Member:
        """This replica as a member."""
        return members_lib.Member(self.identity, self._name, self._address)

    @property
    def replica(self) -> consensus.Replica:
        """The consensus state; callers only read it."""
        assert self._replica is not None, "not started"
        return self._replica

    @property
    def index(self) -> int:
        """Index of the last applied entry."""
        return self._applied_index

    @property
    def term(self) -> int:
        """The newest term seen."""
        return self.replica.term

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader and holds a valid lease."""
        return not self._closed and (self.replica.lease_until > clock.now())

    @property
    def leader_address(self) -> str:
        """Listening address of another leader; empty if unknown or itself."""
        leader = self.replica.leader
        return "" if leader == self.identity else self._address_of(leader)

    def _address_of(self, identity: str) -> str:
        """Returns the listening address of a replica; empty if unknown.

        The address in the replica's own messages takes precedence over the
        one in the membership entry.
        """
        member = self.replica.members.find(identity)
        registered = member.address if member else ""
        return self._addresses.get(identity, registered)

    def start(
        self,
        *,
        bootstrap: bool,
        sole_voter: bool = False,
        founders: Sequence[members_lib.Member] = (),
    ) -> None:
        """Loads the stored state and joins the consensus group.

        Args:
            bootstrap: Whether to bootstrap a new system if the folder holds
                none.
            founders: With `bootstrap`: the initial voters, identical on all of
                them; only this replica if empty.
            sole_voter: Whether to continue as the only voter, after the disks
                of a majority were lost permanently.

        Raises:
            storage_lib.CorruptError: The stored data is damaged.
            OSError: The stored data cannot be read or written.
        """
        started_at = clock.now()
        self._storage.start()
        has_stored_state = (
            self._storage.snapshot.members.voters or self._storage.entries
        )
        if bootstrap and not has_stored_state:
            self._form_system(founders)
        if sole_voter:
            self._stand_alone()
        snapshot = self._storage.snapshot
        if snapshot.data:
            self.state.restore(snapshot.data)
        self._applied_index = snapshot.index
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
            seconds=clock.now() - started_at,
        )
        self._tasks = [
            tasks.start_restarting(self._tick, "tick"),
            tasks.start_restarting(self._sync, "sync"),
        ]

    def _form_system(self, founders: Sequence[members_lib.Member]) -> None:
        """Bootstraps a new system with this replica as a voter.

        All founders store the same initial members, so a majority of the
        founders is required from the first commit on.
        """
        members = members_lib.Members(tuple(founders) or (self.own_member,))
        self._storage.save_snapshot(
            storage_lib.SnapshotFile(0, 0, b"", members)
        )
        logs.event("system_formed", identity=self.identity[:8])

    def _stand_alone(self) -> None:
        """Makes this replica the only voter of its system.

        All of its entries are treated as committed. Some of them may not
        have been, and some committed entries may exist only on the lost
        disks. Runs only when an operator requests it.
        """
        state = state_lib.State()
        snapshot = self._storage.snapshot
        if snapshot.data:
            state.restore(snapshot.data)
        index, term = snapshot.index, snapshot.term
        for entry in self._storage.entries:
            if entry.payload[:1] not in (b"", members_lib.MEMBERSHIP_PREFIX):
                state.apply(entry.index, state_lib.decode(entry.payload))
            index, term = entry.index, entry.term
        self._storage.save_snapshot(
            storage_lib.SnapshotFile(
                index,
                term,
                state.snapshot(),
                members_lib.Members((self.own_member,)),
            )
        )
        logs.warn("standing_alone", identity=self.identity[:8], index=index)

    async def close(self) -> None:
        """Transfers leadership if there are other voters, then stops."""
        if self._replica is not None and not self._closed:
            await self._transfer_leadership()
        self._closed = True
        await tasks.cancel((*self._tasks, *self._send_tasks))
        self._fail_pending(LeadershipLostError("the host is stopping"))
        self._storage.close()

    async def _transfer_leadership(self) -> None:
        """Transfers leadership, to avoid an election timeout on shutdown."""
        deadline = clock.now() + self._timing.election_seconds
        while (
            self.replica.role == consensus.Role.LEADER
            and len(self.replica.members.voters) > 1
            and clock.now() < deadline
        ):
            self._step(protocol.Transfer())
            await asyncio.sleep(self._timing.heartbeat_seconds / 2)

    async def propose(self, command: state_lib.Command) -> state_lib.Result:
        """Commits a command and returns the result of applying it.

        Raises:
            NotLeaderError: The command was not appended.
            LeadershipLostError: Leadership was lost; the command may be
                committed.
            OSError: The disk failed; the command may be committed.
            OverflowError, TypeError, ValueError: The command cannot be encoded;
                it was not appended.
        """
        if self._closed:
            raise NotLeaderError("")
        future = asyncio.get_running_loop().create_future()
        self._proposal_queue.append((command, future))
        if len(self._proposal_queue) == 1:
            asyncio.get_running_loop().call_soon(self._flush_proposals)
        return await future

    def _flush_proposals(self) -> None:
        """Proposes the commands queued in this event loop iteration."""
        queue, self._proposal_queue = self._proposal_queue, []
        first = self.replica.last_index + 1
        batch, payloads = [], []
        for command, future in queue:
            try:
                payloads.append(state_lib.encode(command))
            except (OverflowError, TypeError, ValueError) as error:
                # The other commands of the batch are proposed.
                logs.log_error(
                    "proposal_invalid", error, command=type(command).__name__
                )
                if not future.done():
                    future.set_exception(error)
                continue
            batch.append((command, future))
        if not batch:
            return
        self._step(protocol.Proposed(payloads))
        accepted = not self._closed and self.replica.last_index >= first
        for offset, (_, future) in enumerate(batch):
            if accepted:
                self._pending[first + offset] = _PendingProposal(
                    self.term, future
                )
            elif not future.done():
                future.set_exception(NotLeaderError(self.leader_address))

    async def receive(
        self, sender: str, address: str, message: protocol.Message
    ) -> None:
        """Processes a message from another replica."""
        self._addresses[sender] = address
        self._step(protocol.Received(sender, message))

    def change_members(self, members: members_lib.Members) -> bool:
        """Proposes a membership change; returns False if it was rejected."""
        self._step(protocol.ChangeMembers(members))
        return self.replica.members == members

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(self._timing.heartbeat_seconds / 2)
            self._step(protocol.Tick(self._random.random()))

    async def _sync(self) -> None:
        while True:
            await self._sync_requested.wait()
            self._sync_requested.clear()
            number = self._last_write_number
            try:
                # In a thread: a sync takes milliseconds, and the event loop
                # must keep serving requests.
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
                self._execute(effect)
            if self._storage.log_size > SNAPSHOT_AFTER_BYTES:
                self._compact()
        except OSError as error:
            # After a failed write or sync the kernel may drop the dirty pages
            # and report the error only once. Continuing would acknowledge
            # entries that a crash then loses, so the process stops.
            self._fail(error)
            return
        self._report_role()

    def _execute(self, effect: protocol.Effect) -> None:
        match effect:
            case protocol.SaveVote(vote=vote):
                self._storage.save_vote(vote)
            case protocol.Truncate(index=index):
                self._storage.truncate_from(index)
            case protocol.Write(number=number, entries=entries):
                self._storage.append(entries)
                self._last_write_number = number
                self._sync_requested.set()
            case protocol.Restore(snapshot=snapshot, keep_log=keep_log):
                self._storage.save_snapshot(snapshot, keep_log=keep_log)
                self.state.restore(snapshot.data)
                self._applied_index = snapshot.index
                self._on_restored()
                logs.event("snapshot_taken_over", index=snapshot.index)
            case protocol.Send(to=to, message=message):
                self._start_send(to, message)
            case protocol.SendSnapshot(to=to, term=term, sent=sent):
                message = protocol.Install(
                    term=term, snapshot=self._storage.snapshot, sent=sent
                )
                self._start_send(to, message)
            case protocol.Commit(entries=entries):
                self._apply(entries)

    def _start_send(self, to: str, message: protocol.Message) -> None:
        address = self._address_of(to)
        if not address:
            return
        task = asyncio.create_task(self._send(to, address, message))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    def _apply(self, entries: list[storage_lib.Entry]) -> None:
        for entry in entries:
            result: state_lib.Result | None = None
            failure: Exception | None = None
            self._applied_index = entry.index
            try:
                result = self._apply_entry(entry)
            except Exception as error:
                # Replicas commit entries in different batches: without the
                # rest of a batch their states would differ.
                logs.log_error("entry_not_applied", error, index=entry.index)
                failure = error
            pending = self._pending.pop(entry.index, None)
            if pending is None or pending.future.done():
                continue
            if pending.term != entry.term or (
                result is None and failure is None
            ):
                failure = LeadershipLostError(
                    "the entry was replaced by one of another leader"
                )
            if failure is not None:
                pending.future.set_exception(failure)
            else:
                pending.future.set_result(result)

    def _apply_entry(self, entry: storage_lib.Entry) -> state_lib.Result | None:
        """Returns the result of an entry; None if it is no command."""
        if entry.payload[:1] in (b"", members_lib.MEMBERSHIP_PREFIX):
            return None
        command = state_lib.decode(entry.payload)
        result = self.state.apply(entry.index, command)
        try:
            self._on_applied(command, result)
        except Exception as error:
            logs.log_error(
                "applied_entry_unused",
                error,
                index=entry.index,
                command=type(command).__name__,
            )
        return result

    def _compact(self) -> None:
        index = self._applied_index
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

    def _report_role(self) -> None:
        replica = self.replica
        if (replica.role, replica.leader) != self._logged_role:
            self._logged_role = (replica.role, replica.leader)
            logs.event(
                "role",
                role=replica.role,
                term=replica.term,
                leader=replica.leader[:8],
            )
        if replica.role != consensus.Role.LEADER and self._pending:
            self._fail_pending(
                LeadershipLostError("this host is no longer the leader")
            )
        if replica.ready != self._reported_ready:
            self._reported_ready = replica.ready
            self._on_leadership_changed(self._reported_ready)

    def _fail_pending(self, error: Exception) -> None:
        pending, self._pending = self._pending, {}
        for proposal in pending.values():
            if not proposal.future.done():
                proposal.future.set_exception(error)

    def _fail(self, error: OSError) -> None:
        logs.warn("log_failed", error=repr(error))
        self._closed = True
        self._fail_pending(error)
        self._on_failed(error)
