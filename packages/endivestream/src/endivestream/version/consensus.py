"""The replicated log's agreement, as a pure step function.

Raft's rules: terms, votes, log matching, commitment by a majority in the
leader's own term; with pre-vote, check-quorum, leader leases, learners and
voter changes one at a time. `Replica.step` takes one event and returns the
effects, in the order in which the caller must carry them out. There is no
clock, socket, file or random source inside: time and jitter come in with the
events.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import enum
from typing import NamedTuple

import msgspec

from endivestream.version import members as members_lib
from endivestream.version import storage as storage_lib

# Bytes of entries in one message; a follower that is far behind gets several.
_BATCH_BYTES = 1024 * 1024


class Timing(NamedTuple):
    """Times in seconds.

    Attributes:
        heartbeat: How often a leader speaks to each follower.
        election: The least time without a leader before an election; the
            greatest is twice that.
        lease: How long after a majority heard it a leader may assume that no
            other is elected. Less than `election` by more than clocks drift
            in that time.
    """

    heartbeat: float
    election: float
    lease: float


# Messages between replicas. `sent` is the leader's clock when it sent; the
# reply gives it back, so that the leader's lease counts from the sending.


class PreVote(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks whether an election in `term` could be won. Binds nobody."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `PreVote`; `term` is the asked one if granted."""

    term: int
    granted: bool


class RequestVote(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for the vote in `term`.

    Attributes:
        term: The candidate's term.
        last_index: Its last entry.
        last_term: That entry's term.
        transfer: The old leader asked for this election.
    """

    term: int
    last_index: int
    last_term: int
    transfer: bool


class VoteReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `RequestVote`."""

    term: int
    granted: bool


class Append(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entries after `prev_index`, or a heartbeat without any."""

    term: int
    prev_index: int
    prev_term: int
    entries: list[storage_lib.Entry]
    commit: int
    sent: float


class AppendReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `Append` and `Install`.

    Attributes:
        term: The follower's term.
        matched: Entries up to here are the leader's and synced.
        rejected: The follower lacks `prev_index`; `matched` is where to try.
        sent: As in the message answered.
    """

    term: int
    matched: int
    rejected: bool
    sent: float


class Install(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A whole snapshot, for a follower whose next entry is gone."""

    term: int
    snapshot: storage_lib.SnapshotFile
    sent: float


class TimeoutNow(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a follower to stand for election at once."""

    term: int


Message = (
    PreVote
    | PreVoteReply
    | RequestVote
    | VoteReply
    | Append
    | AppendReply
    | Install
    | TimeoutNow
)


# Events.


class Tick(NamedTuple):
    """Time has passed. `jitter` is from 0 to 1, anew each time."""

    jitter: float


class Received(NamedTuple):
    """A message came."""

    sender: str
    message: Message


class Proposed(NamedTuple):
    """Payloads to commit; only a leader takes them."""

    payloads: list[bytes]


class Synced(NamedTuple):
    """The write of that number, and all before it, are durable."""

    write: int


class Compacted(NamedTuple):
    """A snapshot up to `index` is durable; entries up to it may go."""

    index: int


class ChangeMembers(NamedTuple):
    """Set other members; one voter's difference at a time."""

    members: members_lib.Members


class Transfer(NamedTuple):
    """Hand leadership over before a planned stop."""


Event = (
    Tick | Received | Proposed | Synced | Compacted | ChangeMembers | Transfer
)


# Effects.


class SaveVote(NamedTuple):
    """Make term and vote durable before the next effect."""

    vote: storage_lib.Vote


class Truncate(NamedTuple):
    """Drop entries from `index` on."""

    index: int


class Write(NamedTuple):
    """Append entries; `Synced(number)` once they are durable."""

    number: int
    entries: list[storage_lib.Entry]


class Restore(NamedTuple):
    """Make a snapshot durable and take its state, before the next effect.

    Attributes:
        snapshot: The snapshot.
        keep_log: Whether entries after it stay; if not, all go, but only once
            the snapshot is durable: some were acknowledged.
    """

    snapshot: storage_lib.SnapshotFile
    keep_log: bool


class Send(NamedTuple):
    """Send a message; it may be lost."""

    to: str
    message: Message


class SendSnapshot(NamedTuple):
    """Send the stored snapshot in an `Install`."""

    to: str
    term: int
    sent: float


class Commit(NamedTuple):
    """Apply these entries, in order."""

    entries: list[storage_lib.Entry]


Effect = SaveVote | Truncate | Write | Restore | Send | SendSnapshot | Commit


class Role(enum.StrEnum):
    """What a replica does."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class _Log:
    """Entries in memory after a snapshot."""

    def __init__(
        self, *, snapshot: tuple[int, int], entries: Sequence[storage_lib.Entry]
    ) -> None:
        self.start, self._start_term = snapshot
        self._entries = list(entries)

    @property
    def last(self) -> int:
        return self.start + len(self._entries)

    @property
    def last_term(self) -> int:
        return self.term_at(self.last)

    def term_at(self, index: int) -> int:
        """Returns an entry's term; -1 for one that is not here."""
        if index == self.start:
            return self._start_term
        if self.start < index <= self.last:
            return self._entries[index - self.start - 1].term
        return -1

    def after(self, index: int) -> list[storage_lib.Entry]:
        return self._entries[index - self.start :]

    def between(self, after: int, last: int) -> list[storage_lib.Entry]:
        return self._entries[after - self.start : last - self.start]

    def batch(self, after: int) -> list[storage_lib.Entry]:
        taken, size = [], 0
        for entry in self._entries[after - self.start :]:
            taken.append(entry)
            size += len(entry.payload)
            if size > _BATCH_BYTES:
                break
        return taken

    def append(self, entries: Sequence[storage_lib.Entry]) -> None:
        self._entries += entries

    def truncate(self, index: int) -> None:
        del self._entries[index - self.start - 1 :]

    def compact(self, index: int) -> None:
        term = self.term_at(index)
        self._entries = self.after(index)
        self.start, self._start_term = index, term

    def reset(self, index: int, term: int) -> None:
        self.start, self._start_term = index, term
        self._entries = []


class _Peer:
    """What a leader knows of one follower."""

    def __init__(self, *, next_index: int, now: float) -> None:
        self.next = next_index
        self.matched = 0
        # The sending time of the newest message that it answered.
        self.answered = float("-inf")
        self.heard = now
        self.snapshot_at = float("-inf")


class Replica:
    """One replica's part in the agreement.

    Attributes:
        identity: Who this is.
        role: What it does now.
        term: The newest term seen.
        leader: The leader's identity, or empty.
        commit: Entries up to here are committed.
        members: Who takes part, by the newest entry that says so.
    """

    def __init__(
        self,
        *,
        identity: str,
        timing: Timing,
        vote: storage_lib.Vote,
        snapshot: tuple[int, int],
        snapshot_members: members_lib.Members,
        entries: Sequence[storage_lib.Entry],
        now: float,
        jitter: float,
    ) -> None:
        self.identity = identity
        self.role = Role.FOLLOWER
        self.term = vote.term
        self.leader = ""
        self.commit = snapshot[0]
        self._voted_for = vote.voted_for
        self._timing = timing
        self._log = _Log(snapshot=snapshot, entries=entries)
        self._now = now
        self._base_members = snapshot_members
        self._member_changes: list[tuple[int, members_lib.Members]] = []
        for entry in entries:
            self._note_members(entry)
        # Everything read back from the disk is durable.
        self._durable = self._log.last
        self._verified = 0
        self._writes: collections.deque[tuple[int, int]] = collections.deque()
        self._write_number = 0
        self._votes: set[str] = set()
        self._peers: dict[str, _Peer] = {}
        self._beat_at = now
        self._first_own = 0
        self._transferring = False
        self._transfer_ends = 0.0
        self._leader_sent = 0.0
        # A restarted replica has forgotten whom it heard last. It must not
        # vote within the time that it may have promised a leader's lease
        # (symptom: two leaders, each sure that it is the only one).
        self._heard = now
        self._deadline = now
        self._jitter = jitter
        alone = [m.identity for m in self.members.voters] == [identity]
        if not alone:
            self._set_deadline()
        self._effects: list[Effect] = []

    @property
    def members(self) -> members_lib.Members:
        """Who takes part, by the newest entry that says so."""
        if self._member_changes:
            return self._member_changes[-1][1]
        return self._base_members

    @property
    def last_index(self) -> int:
        """The last entry's index."""
        return self._log.last

    @property
    def ready(self) -> bool:
        """Whether this leads and has committed an entry of its own term.

        Before that it may not know all that is committed.
        """
        return self.role == Role.LEADER and self.commit >= self._first_own

    @property
    def lease_until(self) -> float:
        """Until when no other replica can lead; in the past if unknown."""
        if not self.ready or self._transferring:
            return float("-inf")
        answered = sorted(map(self._answered, self.members.voters))
        answered.reverse()
        return answered[self.members.majority - 1] + self._timing.lease

    def matched(self, identity: str) -> int:
        """Returns the last entry that a follower has synced; for a leader."""
        peer = self._peers.get(identity)
        return peer.matched if peer else 0

    def silent_for(self, identity: str) -> float:
        """Returns seconds since a follower was heard of; for a leader."""
        peer = self._peers.get(identity)
        return self._now - peer.heard if peer else 0.0

    def members_at(self, index: int) -> members_lib.Members:
        """Returns the members as of an entry, for a snapshot up to it."""
        found = self._base_members
        for changed, members in self._member_changes:
            if changed <= index:
                found = members
        return found

    def term_at(self, index: int) -> int:
        """Returns an entry's term; -1 if it is not in memory."""
        return self._log.term_at(index)

    def __repr__(self) -> str:
        return (
            f"<Replica {self.identity[:8]} {self.role} term {self.term} "
            f"commit {self.commit}/{self._log.last}>"
        )

    def step(self, event: Event, now: float) -> list[Effect]:
        """Takes one event; returns effects to carry out in order."""
        self._now = max(self._now, now)
        self._effects = []
        match event:
            case Tick(jitter=jitter):
                self._tick(jitter)
            case Received(sender=sender, message=message):
                self._receive(sender, message)
            case Proposed(payloads=payloads):
                self._propose(payloads)
            case Synced(write=write):
                self._synced(write)
            case Compacted(index=index):
                self._compact(index)
            case ChangeMembers(members=members):
                self._change_members(members)
            case Transfer():
                self._transfer()
        return self._effects

    def _answered(self, member: members_lib.Member) -> float:
        """Returns when the newest message that a voter answered was sent."""
        if member.identity == self.identity:
            return self._now
        peer = self._peers.get(member.identity)
        return peer.answered if peer else float("-inf")

    def _send(self, to: str, message: Message) -> None:
        self._effects.append(Send(to, message))

    def _others(self) -> list[str]:
        return [
            m.identity
            for m in self.members.voters
            if m.identity != self.identity
        ]

    # Time.

    def _set_deadline(self) -> None:
        self._deadline = self._now + self._timing.election * (1 + self._jitter)

    def _tick(self, jitter: float) -> None:
        self._jitter = jitter
        if self.role == Role.LEADER:
            self._tick_leader()
            return
        if self._now < self._deadline:
            return
        self._set_deadline()
        if self.members.is_voter(self.identity):
            self._start_pre_vote()

    def _tick_leader(self) -> None:
        late = self._transferring and self._now >= self._transfer_ends
        if late or not self._quorum_heard():
            # Cut off from a majority it can commit nothing, and callers
            # should learn that now. After a hand-over that did not come
            # about it may not lead on in this term: the heir may still get
            # the request and would then not respect a lease.
            self._follow(self.term, "")
            self._set_deadline()
        elif self._now >= self._beat_at:
            self._broadcast()

    def _quorum_heard(self) -> bool:
        heard = sum(
            m.identity == self.identity
            or self._now - self._peer(m.identity).heard <= self._timing.election
            for m in self.members.voters
        )
        return heard >= self.members.majority

    # Elections.

    def _start_pre_vote(self) -> None:
        """Asks whether an election could be won, before a term is spent.

        A replica that was cut off and comes back must not depose a working
        leader with the high term that it reached alone.
        """
        self.role = Role.PRE_CANDIDATE
        self.leader = ""
        self._votes = {self.identity}
        if self._won():
            self._start_election(transfer=False)
            return
        for other in self._others():
            self._send(
                other,
                PreVote(
                    term=self.term + 1,
                    last_index=self._log.last,
                    last_term=self._log.last_term,
                ),
            )

    def _start_election(self, *, transfer: bool) -> None:
        self.role = Role.CANDIDATE
        self.leader = ""
        self._save_vote(self.term + 1, self.identity)
        self._votes = {self.identity}
        if self._won():
            self._lead()
            return
        for other in self._others():
            self._send(
                other,
                RequestVote(
                    term=self.term,
                    last_index=self._log.last,
                    last_term=self._log.last_term,
                    transfer=transfer,
                ),
            )

    def _won(self) -> bool:
        voters = {m.identity for m in self.members.voters}
        return len(self._votes & voters) >= self.members.majority

    def _save_vote(self, term: int, voted_for: str) -> None:
        self.term = term
        self._voted_for = voted_for
        vote = storage_lib.Vote(term, voted_for)
        self._effects.append(SaveVote(vote))

    def _follow(self, term: int, leader: str) -> None:
        if term > self.term:
            self._save_vote(term, "")
        if leader != self.leader or self.role == Role.LEADER:
            self._verified = 0
        self.role = Role.FOLLOWER
        self.leader = leader
        self._votes = set()
        self._peers = {}
        self._transferring = False

    def _lead(self) -> None:
        self.role = Role.LEADER
        self.leader = self.identity
        self._peers = {}
        self._transferring = False
        self._first_own = self._log.last + 1
        self._append([b""])
        self._broadcast()

    def _up_to_date(self, last_term: int, last_index: int) -> bool:
        mine = (self._log.last_term, self._log.last)
        return (last_term, last_index) >= mine

    def _bound_to_leader(self) -> bool:
        """Whether a leader may rely on this replica for its lease."""
        if self.role == Role.LEADER:
            return True
        return self._now - self._heard < self._timing.election

    # Messages.

    def _receive(self, sender: str, message: Message) -> None:
        match message:
            case PreVote():
                self._on_pre_vote(sender, message)
            case PreVoteReply():
                self._on_pre_vote_reply(sender, message)
            case RequestVote():
                self._on_request_vote(sender, message)
            case VoteReply():
                self._on_vote_reply(sender, message)
            case Append():
                self._on_append(sender, message)
            case AppendReply():
                self._on_append_reply(sender, message)
            case Install():
                self._on_install(sender, message)
            case TimeoutNow(term=term):
                if term == self.term and self.members.is_voter(self.identity):
                    self._start_election(transfer=True)

    def _on_pre_vote(self, sender: str, message: PreVote) -> None:
        granted = (
            message.term > self.term
            and not self._bound_to_leader()
            and self._up_to_date(message.last_term, message.last_index)
        )
        term = message.term if granted else self.term
        self._send(sender, PreVoteReply(term=term, granted=granted))

    def _on_pre_vote_reply(self, sender: str, message: PreVoteReply) -> None:
        if not message.granted:
            if message.term > self.term:
                self._follow(message.term, "")
            return
        if self.role != Role.PRE_CANDIDATE or message.term != self.term + 1:
            return
        self._votes.add(sender)
        if self._won():
            self._start_election(transfer=False)

    def _on_request_vote(self, sender: str, message: RequestVote) -> None:
        if not message.transfer and self._bound_to_leader():
            # Not even the term is taken over: a leader's lease rests on this.
            self._send(sender, VoteReply(term=self.term, granted=False))
            return
        if message.term > self.term:
            self._follow(message.term, "")
        granted = (
            message.term == self.term
            and self._voted_for in ("", sender)
            and self._up_to_date(message.last_term, message.last_index)
        )
        if granted:
            if not self._voted_for:
                self._save_vote(self.term, sender)
            self._set_deadline()
        self._send(sender, VoteReply(term=self.term, granted=granted))

    def _on_vote_reply(self, sender: str, message: VoteReply) -> None:
        if message.term > self.term:
            self._follow(message.term, "")
            return
        if self.role != Role.CANDIDATE or message.term != self.term:
            return
        if message.granted:
            self._votes.add(sender)
            if self._won():
                self._lead()

    def _hear_leader(self, sender: str, term: int) -> bool:
        """Notes a leader's message; False if its term is over."""
        if term < self.term:
            return False
        if term > self.term or self.role != Role.FOLLOWER:
            self._follow(term, sender)
        elif self.leader != sender:
            self._verified = 0
        self.leader = sender
        self._heard = self._now
        self._set_deadline()
        return True

    def _reply(
        self,
        sender: str,
        sent: float,
        *,
        rejected: bool = False,
        matched: int | None = None,
    ) -> None:
        if matched is None:
            matched = min(self._verified, self._durable)
        self._send(
            sender,
            AppendReply(
                term=self.term, matched=matched, rejected=rejected, sent=sent
            ),
        )

    def _on_append(self, sender: str, message: Append) -> None:
        if not self._hear_leader(sender, message.term):
            self._reply(sender, message.sent, rejected=True, matched=0)
            return
        self._leader_sent = message.sent
        prev = message.prev_index
        entries = message.entries
        if prev < self._log.start:
            # The snapshot holds these; what it holds is committed.
            entries = entries[self._log.start - prev :]
            prev = min(self._log.start, prev + len(message.entries))
        elif self._log.term_at(prev) != message.prev_term:
            hint = self._hint(prev)
            self._reply(sender, message.sent, rejected=True, matched=hint)
            return
        self._take(entries)
        self._verified = max(self._verified, prev + len(entries))
        self._advance(min(message.commit, self._verified))
        self._reply(sender, message.sent)

    def _hint(self, prev: int) -> int:
        """Returns where the leader should try after `prev` did not match."""
        if prev > self._log.last:
            return self._log.last
        # Skip the whole term that differs, not one entry an exchange.
        term = self._log.term_at(prev)
        hint = prev - 1
        while hint > self.commit and self._log.term_at(hint) == term:
            hint -= 1
        return hint

    def _take(self, entries: list[storage_lib.Entry]) -> None:
        for position, entry in enumerate(entries):
            known = self._log.term_at(entry.index)
            if known == entry.term:
                continue
            if known != -1:
                self._truncate(entry.index)
            self._write(entries[position:])
            return

    def _truncate(self, index: int) -> None:
        assert index > self.commit, (index, self.commit)
        self._log.truncate(index)
        self._member_changes = [
            change for change in self._member_changes if change[0] < index
        ]
        self._durable = min(self._durable, index - 1)
        self._verified = min(self._verified, index - 1)
        self._writes = collections.deque(
            (number, min(last, index - 1)) for number, last in self._writes
        )
        self._effects.append(Truncate(index))

    def _write(self, entries: list[storage_lib.Entry]) -> None:
        self._log.append(entries)
        for entry in entries:
            self._note_members(entry)
        self._write_number += 1
        self._writes.append((self._write_number, entries[-1].index))
        self._effects.append(Write(self._write_number, entries))

    def _note_members(self, entry: storage_lib.Entry) -> None:
        members = members_lib.decode(entry.payload)
        if members is not None:
            self._member_changes.append((entry.index, members))

    def _synced(self, write: int) -> None:
        while self._writes and self._writes[0][0] <= write:
            _, last = self._writes.popleft()
            self._durable = max(self._durable, last)
        if self.role == Role.LEADER:
            self._commit_by_majority()
        elif self.leader:
            self._reply(self.leader, self._leader_sent)

    def _on_install(self, sender: str, message: Install) -> None:
        if not self._hear_leader(sender, message.term):
            self._reply(sender, message.sent, rejected=True, matched=0)
            return
        self._leader_sent = message.sent
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            keep = self._log.term_at(snapshot.index) == snapshot.term
            self._effects.append(Restore(snapshot, keep))
            if keep:
                self._log.compact(snapshot.index)
            else:
                self._log.reset(snapshot.index, snapshot.term)
                self._writes.clear()
                self._durable = snapshot.index
            self._base_members = snapshot.members
            self._member_changes = [
                change
                for change in self._member_changes
                if snapshot.index < change[0] <= self._log.last
            ]
            self._durable = max(self._durable, snapshot.index)
            self.commit = snapshot.index
        self._verified = max(self._verified, snapshot.index)
        self._reply(sender, message.sent)

    # Leading.

    def _propose(self, payloads: list[bytes]) -> None:
        if self.role == Role.LEADER and not self._transferring and payloads:
            self._append(payloads)
            self._broadcast()

    def _append(self, payloads: list[bytes]) -> None:
        first = self._log.last + 1
        self._write(
            [
                storage_lib.Entry(self.term, first + offset, payload)
                for offset, payload in enumerate(payloads)
            ]
        )

    def _peer(self, identity: str) -> _Peer:
        peer = self._peers.get(identity)
        if peer is None:
            peer = _Peer(next_index=self._log.last + 1, now=self._now)
            self._peers[identity] = peer
        return peer

    def _broadcast(self) -> None:
        self._beat_at = self._now + self._timing.heartbeat
        for member in self.members.all:
            if member.identity != self.identity:
                self._send_entries(member.identity)

    def _send_entries(self, to: str) -> None:
        peer = self._peer(to)
        prev = peer.next - 1
        if prev < self._log.start:
            # Not with each heartbeat: a snapshot takes a while to arrive.
            if self._now - peer.snapshot_at >= 2 * self._timing.election:
                peer.snapshot_at = self._now
                self._effects.append(SendSnapshot(to, self.term, self._now))
            return
        entries = self._log.batch(prev)
        self._send(
            to,
            Append(
                term=self.term,
                prev_index=prev,
                prev_term=self._log.term_at(prev),
                entries=entries,
                commit=self.commit,
                sent=self._now,
            ),
        )
        # Assumed to arrive; if not, the next is rejected with a hint.
        peer.next = prev + len(entries) + 1

    def _on_append_reply(self, sender: str, message: AppendReply) -> None:
        if message.term > self.term:
            self._follow(message.term, "")
            return
        if self.role != Role.LEADER or message.term != self.term:
            return
        peer = self._peer(sender)
        peer.heard = self._now
        peer.answered = max(peer.answered, message.sent)
        if message.rejected:
            # A late rejection must not go back behind what is known.
            peer.next = max(peer.matched, message.matched) + 1
            self._send_entries(sender)
            return
        peer.matched = max(peer.matched, message.matched)
        peer.next = max(peer.next, peer.matched + 1)
        self._commit_by_majority()
        if peer.next <= self._log.last:
            self._send_entries(sender)

    def _commit_by_majority(self) -> None:
        matched = sorted(
            (
                self._durable
                if m.identity == self.identity
                else self._peer(m.identity).matched
                for m in self.members.voters
            ),
            reverse=True,
        )
        index = matched[self.members.majority - 1]
        # An older term's entry on a majority can still be overwritten by a
        # leader that lacks it; only one of this term settles those before.
        if self._log.term_at(index) != self.term:
            return
        before = self.commit
        self._advance(index)
        if self.commit > before:
            self._broadcast()
            if self.members.find(self.identity) is None:
                self._follow(self.term, "")

    def _advance(self, index: int) -> None:
        if index <= self.commit:
            return
        entries = self._log.between(self.commit, index)
        self.commit = index
        self._effects.append(Commit(entries))

    # Members, snapshots, hand-over.

    def _change_members(self, members: members_lib.Members) -> None:
        before = {m.identity for m in self.members.voters}
        after = {m.identity for m in members.voters}
        pending = (
            self._member_changes and self._member_changes[-1][0] > self.commit
        )
        # One voter at a time keeps every old majority overlapping every new
        # one; before an own entry is committed an older change may be hidden.
        if not self.ready or pending or not after or len(before ^ after) > 1:
            return
        self._append([members_lib.encode(members)])
        self._broadcast()

    def _compact(self, index: int) -> None:
        if self._log.start < index <= self.commit:
            self._base_members = self.members_at(index)
            self._member_changes = [
                change for change in self._member_changes if change[0] > index
            ]
            self._log.compact(index)

    def _transfer(self) -> None:
        if self.role != Role.LEADER or self._transferring:
            return
        others = [(self._peer(o).matched, o) for o in self._others()]
        if not others:
            return
        matched, heir = max(others)
        if matched < self._log.last:
            self._send_entries(heir)
            return  # Asked again with the next tick of the stop.
        # The lease ends before the heir may win: it is given up here.
        self._transferring = True
        self._transfer_ends = self._now + self._timing.election
        self._send(heir, TimeoutNow(term=self.term))
