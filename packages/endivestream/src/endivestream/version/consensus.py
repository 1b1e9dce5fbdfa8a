"""Raft consensus for the replicated log, as a deterministic state machine.

Implements terms, votes, log matching and commitment by a majority in the
leader's own term, with pre-vote, check-quorum, leader leases, learners and
membership changes of one voter at a time. `Replica.step` takes one event and
returns effects that the caller must execute in the given order. The module
uses no clock, socket, file or random source: time and jitter are passed in
with the events.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import enum

from endivestream.version import entry_log
from endivestream.version import members as members_lib
from endivestream.version import protocol
from endivestream.version import storage as storage_lib


class Role(enum.StrEnum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class _Peer:
    """Replication progress of one follower, as tracked by the leader."""

    def __init__(self, *, next_index: int, now: float) -> None:
        self.next_index = next_index
        self.match_index = 0
        # When the newest message that the follower acknowledged was sent.
        self.acked_sent_at = float("-inf")
        self.last_reply_at = now
        self.snapshot_sent_at = float("-inf")


class Replica:
    """Consensus state of one replica.

    Attributes:
        identity: Identity of this replica.
        role: Its current role.
        term: The newest term seen.
        leader: Identity of the current leader; empty if unknown.
        commit: Index of the last entry known to be committed.
        members: Members set by the newest membership entry in the log.
    """

    def __init__(
        self,
        *,
        identity: str,
        timing: protocol.Timing,
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
        self._log = entry_log.EntryLog(snapshot=snapshot, entries=entries)
        self._now = now
        self._base_members = snapshot_members
        self._member_changes: list[tuple[int, members_lib.Members]] = []
        for entry in entries:
            self._record_members(entry)
        # Index of the last durable entry; entries read from disk are durable.
        self._durable_index = self._log.last_index
        # Index of the last entry that is known to match the leader's log.
        self._verified_index = 0
        self._pending_writes: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self._write_number = 0
        self._votes: set[str] = set()
        self._peers: dict[str, _Peer] = {}
        self._next_heartbeat_at = now
        self._first_index_of_term = 0
        self._transferring = False
        self._transfer_deadline = 0.0
        self._leader_sent_at = 0.0
        # The time of the leader's last message is not stored. A restarted
        # replica therefore refuses to vote for one election timeout, because
        # a leader's lease may still rely on it (symptom otherwise: two
        # leaders that both hold a lease).
        self._leader_seen_at = now
        self._leader_contact_at = float("-inf")
        self._election_deadline = now
        self._jitter = jitter
        sole_voter = [m.identity for m in self.members.voters] == [identity]
        if not sole_voter:
            self._reset_election_deadline()
        self._effects: list[protocol.Effect] = []

    @property
    def members(self) -> members_lib.Members:
        """Members set by the newest membership entry in the log."""
        if self._member_changes:
            return self._member_changes[-1][1]
        return self._base_members

    @property
    def needs_admission(self) -> bool:
        """Whether this replica must ask the leader to be added as a learner.

        A removed replica is not sent the entry that removes it. Its own log may
        name it as a member for good, so it asks for as long as no leader has
        contacted it.
        """
        return (
            self.members.find(self.identity) is None
            or self.seconds_since_leader > 2 * self._timing.election_seconds
        )

    @property
    def seconds_since_leader(self) -> float:
        """Seconds since this replica led or received a message of a leader.

        Infinite if neither has happened since its start.
        """
        if self.role == Role.LEADER:
            return 0.0
        return self._now - self._leader_contact_at

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._log.last_index

    @property
    def first_index_of_term(self) -> int:
        """Index of a leader's first entry; 1 if it is the first leader ever.

        A new leader immediately appends an entry of its own term, and its
        log contains every entry that was committed before its election.
        """
        return self._first_index_of_term

    @property
    def ready(self) -> bool:
        """Whether this replica leads and has committed in its own term.

        Until then its commit index may lag behind that of earlier leaders.
        """
        return (
            self.role == Role.LEADER
            and self.commit >= self._first_index_of_term
        )

    @property
    def lease_until(self) -> float:
        """End of the leader lease; minus infinity if there is none.

        No other replica can be elected before this time.
        """
        if not self.ready or self._transferring:
            return float("-inf")
        sent_times = sorted(map(self._acked_sent_at, self.members.voters))
        sent_times.reverse()
        return (
            sent_times[self.members.majority - 1] + self._timing.lease_seconds
        )

    @property
    def silent_voter_count(self) -> int:
        """Voters without a reply for an election timeout; 0 if no leader."""
        if self.role != Role.LEADER:
            return 0
        return sum(
            self.seconds_since_reply(m.identity) > self._timing.election_seconds
            for m in self.members.voters
        )

    def match_index(self, identity: str) -> int:
        """Returns the index of the last entry that a follower has synced.

        Valid on the leader only; 0 if the follower is unknown.
        """
        peer = self._peers.get(identity)
        return peer.match_index if peer else 0

    def seconds_since_reply(self, identity: str) -> float:
        """Returns the seconds since the last reply of a follower.

        Valid on the leader only; 0 if the follower is unknown.
        """
        peer = self._peers.get(identity)
        return self._now - peer.last_reply_at if peer else 0.0

    def members_at(self, index: int) -> members_lib.Members:
        """Returns the members in effect at `index`, for a snapshot."""
        effective = self._base_members
        for changed_at, members in self._member_changes:
            if changed_at <= index:
                effective = members
        return effective

    def term_at(self, index: int) -> int:
        """Returns the term of an entry; -1 if it is not in memory."""
        return self._log.term_at(index)

    def __repr__(self) -> str:
        return (
            f"<Replica {self.identity[:8]} {self.role} term {self.term} "
            f"commit {self.commit}/{self._log.last_index}>"
        )

    def step(self, event: protocol.Event, now: float) -> list[protocol.Effect]:
        """Processes one event and returns effects to execute in order."""
        self._now = max(self._now, now)
        self._effects = []
        match event:
            case protocol.Tick(jitter=jitter):
                self._tick(jitter)
            case protocol.Received(sender=sender, message=message):
                self._receive(sender, message)
            case protocol.Proposed(payloads=payloads):
                self._propose(payloads)
            case protocol.Synced(write=write):
                self._on_synced(write)
            case protocol.Compacted(index=index):
                self._compact(index)
            case protocol.ChangeMembers(members=members):
                self._change_members(members)
            case protocol.Transfer():
                self._transfer()
        return self._effects

    def _acked_sent_at(self, member: members_lib.Member) -> float:
        """Returns when the newest message that a voter acked was sent."""
        if member.identity == self.identity:
            return self._now
        peer = self._peers.get(member.identity)
        return peer.acked_sent_at if peer else float("-inf")

    def _send(self, to: str, message: protocol.Message) -> None:
        self._effects.append(protocol.Send(to, message))

    def _other_voters(self) -> list[str]:
        return [
            m.identity
            for m in self.members.voters
            if m.identity != self.identity
        ]

    # Timers.

    def _reset_election_deadline(self) -> None:
        self._election_deadline = self._now + self._timing.election_seconds * (
            1 + self._jitter
        )

    def _tick(self, jitter: float) -> None:
        self._jitter = jitter
        if self.role == Role.LEADER:
            self._tick_leader()
            return
        if self._now < self._election_deadline:
            return
        self._reset_election_deadline()
        if self.members.is_voter(self.identity):
            self._start_pre_vote()

    def _tick_leader(self) -> None:
        transfer_expired = (
            self._transferring and self._now >= self._transfer_deadline
        )
        if transfer_expired or not self._has_quorum_contact():
            # Without a majority nothing can be committed: step down, so that
            # pending proposals fail immediately. After an unsuccessful
            # leadership transfer this replica must not lead again in this
            # term: the successor may still receive `TimeoutNow`, and its
            # election ignores leases.
            self._become_follower(self.term, "")
            self._reset_election_deadline()
        elif self._now >= self._next_heartbeat_at:
            self._broadcast()

    def _has_quorum_contact(self) -> bool:
        reachable = sum(
            m.identity == self.identity
            or self._now - self._peer(m.identity).last_reply_at
            <= self._timing.election_seconds
            for m in self.members.voters
        )
        return reachable >= self.members.majority

    # Elections.

    def _start_pre_vote(self) -> None:
        """Checks that an election can be won before incrementing the term.

        Otherwise a replica that rejoins after a network partition could
        depose a working leader with a term that it incremented on its own.
        """
        self.role = Role.PRE_CANDIDATE
        self.leader = ""
        self._votes = {self.identity}
        if self._has_majority_of_votes():
            self._start_election(transfer=False)
            return
        for other in self._other_voters():
            self._send(
                other,
                protocol.PreVote(
                    term=self.term + 1,
                    last_index=self._log.last_index,
                    last_term=self._log.last_term,
                ),
            )

    def _start_election(self, *, transfer: bool) -> None:
        self.role = Role.CANDIDATE
        self.leader = ""
        self._save_vote(self.term + 1, self.identity)
        self._votes = {self.identity}
        if self._has_majority_of_votes():
            self._become_leader()
            return
        for other in self._other_voters():
            self._send(
                other,
                protocol.RequestVote(
                    term=self.term,
                    last_index=self._log.last_index,
                    last_term=self._log.last_term,
                    transfer=transfer,
                ),
            )

    def _has_majority_of_votes(self) -> bool:
        voters = {m.identity for m in self.members.voters}
        return len(self._votes & voters) >= self.members.majority

    def _save_vote(self, term: int, voted_for: str) -> None:
        self.term = term
        self._voted_for = voted_for
        vote = storage_lib.Vote(term, voted_for)
        self._effects.append(protocol.SaveVote(vote))

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.term:
            self._save_vote(term, "")
        if leader != self.leader or self.role == Role.LEADER:
            self._verified_index = 0
        self.role = Role.FOLLOWER
        self.leader = leader
        self._votes = set()
        self._peers = {}
        self._transferring = False

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.identity
        self._peers = {}
        self._transferring = False
        self._first_index_of_term = self._log.last_index + 1
        self._append_payloads([b""])
        self._broadcast()

    def _is_up_to_date(self, last_term: int, last_index: int) -> bool:
        own_position = (self._log.last_term, self._log.last_index)
        return (last_term, last_index) >= own_position

    def _supports_leader_lease(self) -> bool:
        """Returns whether a leader's lease may rely on this replica."""
        if self.role == Role.LEADER:
            return True
        return self._now - self._leader_seen_at < self._timing.election_seconds

    # Messages.

    def _receive(self, sender: str, message: protocol.Message) -> None:
        match message:
            case protocol.PreVote():
                self._on_pre_vote(sender, message)
            case protocol.PreVoteReply():
                self._on_pre_vote_reply(sender, message)
            case protocol.RequestVote():
                self._on_request_vote(sender, message)
            case protocol.VoteReply():
                self._on_vote_reply(sender, message)
            case protocol.Append():
                self._on_append(sender, message)
            case protocol.AppendReply():
                self._on_append_reply(sender, message)
            case protocol.Install():
                self._on_install(sender, message)
            case protocol.TimeoutNow(term=term):
                if term == self.term and self.members.is_voter(self.identity):
                    self._start_election(transfer=True)

    def _on_pre_vote(self, sender: str, message: protocol.PreVote) -> None:
        granted = (
            message.term > self.term
            and not self._supports_leader_lease()
            and self._is_up_to_date(message.last_term, message.last_index)
        )
        term = message.term if granted else self.term
        self._send(sender, protocol.PreVoteReply(term=term, granted=granted))

    def _on_pre_vote_reply(
        self, sender: str, message: protocol.PreVoteReply
    ) -> None:
        if not message.granted:
            if message.term > self.term:
                self._become_follower(message.term, "")
            return
        if self.role != Role.PRE_CANDIDATE or message.term != self.term + 1:
            return
        self._votes.add(sender)
        if self._has_majority_of_votes():
            self._start_election(transfer=False)

    def _on_request_vote(
        self, sender: str, message: protocol.RequestVote
    ) -> None:
        if not message.transfer and self._supports_leader_lease():
            # The higher term is not adopted either: leader leases are only
            # valid if followers ignore such candidates.
            self._send(
                sender, protocol.VoteReply(term=self.term, granted=False)
            )
            return
        if message.term > self.term:
            self._become_follower(message.term, "")
        granted = (
            message.term == self.term
            and self._voted_for in ("", sender)
            and self._is_up_to_date(message.last_term, message.last_index)
        )
        if granted:
            if not self._voted_for:
                self._save_vote(self.term, sender)
            self._reset_election_deadline()
        self._send(sender, protocol.VoteReply(term=self.term, granted=granted))

    def _on_vote_reply(self, sender: str, message: protocol.VoteReply) -> None:
        if message.term > self.term:
            self._become_follower(message.term, "")
            return
        if self.role != Role.CANDIDATE or message.term != self.term:
            return
        if message.granted:
            self._votes.add(sender)
            if self._has_majority_of_votes():
                self._become_leader()

    def _accept_leader(self, sender: str, term: int) -> bool:
        """Records contact with a leader; returns False if its term is old."""
        if term < self.term:
            return False
        if term > self.term or self.role != Role.FOLLOWER:
            self._become_follower(term, sender)
        elif self.leader != sender:
            self._verified_index = 0
        self.leader = sender
        self._leader_seen_at = self._leader_contact_at = self._now
        self._reset_election_deadline()
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
            matched = min(self._verified_index, self._durable_index)
        self._send(
            sender,
            protocol.AppendReply(
                term=self.term, matched=matched, rejected=rejected, sent=sent
            ),
        )

    def _on_append(self, sender: str, message: protocol.Append) -> None:
        if not self._accept_leader(sender, message.term):
            self._reply(sender, message.sent, rejected=True, matched=0)
            return
        self._leader_sent_at = message.sent
        prev = message.prev_index
        entries = message.entries
        if prev < self._log.snapshot_index:
            # These entries are in the snapshot and therefore committed.
            entries = entries[self._log.snapshot_index - prev :]
            prev = min(self._log.snapshot_index, prev + len(message.entries))
        elif self._log.term_at(prev) != message.prev_term:
            hint = self._match_hint(prev)
            self._reply(sender, message.sent, rejected=True, matched=hint)
            return
        self._merge_entries(entries)
        self._verified_index = max(self._verified_index, prev + len(entries))
        self._advance_commit(min(message.commit, self._verified_index))
        self._reply(sender, message.sent)

    def _match_hint(self, prev: int) -> int:
        """Returns the index that the leader tries next after a mismatch."""
        if prev > self._log.last_index:
            return self._log.last_index
        # Skips the complete conflicting term instead of one entry per reply.
        term = self._log.term_at(prev)
        hint = prev - 1
        while hint > self.commit and self._log.term_at(hint) == term:
            hint -= 1
        return hint

    def _merge_entries(self, entries: list[storage_lib.Entry]) -> None:
        for position, entry in enumerate(entries):
            stored_term = self._log.term_at(entry.index)
            if stored_term == entry.term:
                continue
            if stored_term != -1:
                self._truncate(entry.index)
            self._write(entries[position:])
            return

    def _truncate(self, index: int) -> None:
        assert index > self.commit, (index, self.commit)
        self._log.truncate(index)
        self._member_changes = [
            change for change in self._member_changes if change[0] < index
        ]
        self._durable_index = min(self._durable_index, index - 1)
        self._verified_index = min(self._verified_index, index - 1)
        self._pending_writes = collections.deque(
            (number, min(last, index - 1))
            for number, last in self._pending_writes
        )
        self._effects.append(protocol.Truncate(index))

    def _write(self, entries: list[storage_lib.Entry]) -> None:
        self._log.append(entries)
        for entry in entries:
            self._record_members(entry)
        self._write_number += 1
        self._pending_writes.append((self._write_number, entries[-1].index))
        self._effects.append(protocol.Write(self._write_number, entries))

    def _record_members(self, entry: storage_lib.Entry) -> None:
        members = members_lib.decode(entry.payload)
        if members is not None:
            self._member_changes.append((entry.index, members))

    def _on_synced(self, write: int) -> None:
        while self._pending_writes and self._pending_writes[0][0] <= write:
            _, last = self._pending_writes.popleft()
            self._durable_index = max(self._durable_index, last)
        if self.role == Role.LEADER:
            self._commit_by_majority()
        elif self.leader:
            self._reply(self.leader, self._leader_sent_at)

    def _on_install(self, sender: str, message: protocol.Install) -> None:
        if not self._accept_leader(sender, message.term):
            self._reply(sender, message.sent, rejected=True, matched=0)
            return
        self._leader_sent_at = message.sent
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            keep_log = self._log.term_at(snapshot.index) == snapshot.term
            self._effects.append(protocol.Restore(snapshot, keep_log))
            if keep_log:
                self._log.compact(snapshot.index)
            else:
                self._log.reset(snapshot.index, snapshot.term)
                self._pending_writes.clear()
                self._durable_index = snapshot.index
            self._base_members = snapshot.members
            self._member_changes = [
                change
                for change in self._member_changes
                if snapshot.index < change[0] <= self._log.last_index
            ]
            self._durable_index = max(self._durable_index, snapshot.index)
            self.commit = snapshot.index
        self._verified_index = max(self._verified_index, snapshot.index)
        self._reply(sender, message.sent)

    # Replication by the leader.

    def _propose(self, payloads: list[bytes]) -> None:
        if self.role == Role.LEADER and not self._transferring and payloads:
            self._append_payloads(payloads)
            self._broadcast()

    def _append_payloads(self, payloads: list[bytes]) -> None:
        first = self._log.last_index + 1
        self._write(
            [
                storage_lib.Entry(self.term, first + offset, payload)
                for offset, payload in enumerate(payloads)
            ]
        )

    def _peer(self, identity: str) -> _Peer:
        peer = self._peers.get(identity)
        if peer is None:
            peer = _Peer(next_index=self._log.last_index + 1, now=self._now)
            self._peers[identity] = peer
        return peer

    def _broadcast(self) -> None:
        self._next_heartbeat_at = self._now + self._timing.heartbeat_seconds
        for member in self.members.all:
            if member.identity != self.identity:
                self._send_entries(member.identity)

    def _send_entries(self, to: str) -> None:
        peer = self._peer(to)
        prev = peer.next_index - 1
        if prev < self._log.snapshot_index:
            # Not resent with every heartbeat: delivery takes longer than that.
            if (
                self._now - peer.snapshot_sent_at
                >= 2 * self._timing.election_seconds
            ):
                peer.snapshot_sent_at = self._now
                self._effects.append(
                    protocol.SendSnapshot(to, self.term, self._now)
                )
            return
        entries = self._log.batch(prev)
        self._send(
            to,
            protocol.Append(
                term=self.term,
                prev_index=prev,
                prev_term=self._log.term_at(prev),
                entries=entries,
                commit=self.commit,
                sent=self._now,
            ),
        )
        # Optimistic: if the message is lost, the follower rejects the next
        # one and its reply says where to resume.
        peer.next_index = prev + len(entries) + 1

    def _on_append_reply(
        self, sender: str, message: protocol.AppendReply
    ) -> None:
        if message.term > self.term:
            self._become_follower(message.term, "")
            return
        if self.role != Role.LEADER or message.term != self.term:
            return
        peer = self._peer(sender)
        peer.last_reply_at = self._now
        peer.acked_sent_at = max(peer.acked_sent_at, message.sent)
        if message.rejected:
            # A delayed rejection must not move back before `match_index`.
            peer.next_index = max(peer.match_index, message.matched) + 1
            self._send_entries(sender)
            return
        peer.match_index = max(peer.match_index, message.matched)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        self._commit_by_majority()
        if peer.next_index <= self._log.last_index:
            self._send_entries(sender)

    def _commit_by_majority(self) -> None:
        matched = sorted(
            (
                self._durable_index
                if m.identity == self.identity
                else self._peer(m.identity).match_index
                for m in self.members.voters
            ),
            reverse=True,
        )
        index = matched[self.members.majority - 1]
        # An entry of an older term that is on a majority can still be
        # overwritten by a leader that lacks it. Committing an entry of the
        # current term also commits all entries before it.
        if self._log.term_at(index) != self.term:
            return
        before = self.commit
        self._advance_commit(index)
        if self.commit > before:
            self._broadcast()
            if self.members.find(self.identity) is None:
                self._become_follower(self.term, "")

    def _advance_commit(self, index: int) -> None:
        if index <= self.commit:
            return
        entries = self._log.between(self.commit, index)
        self.commit = index
        self._effects.append(protocol.Commit(entries))

    # Membership changes, snapshots and leadership transfer.

    def _change_members(self, members: members_lib.Members) -> None:
        old_voters = {m.identity for m in self.members.voters}
        new_voters = {m.identity for m in members.voters}
        pending = (
            self._member_changes and self._member_changes[-1][0] > self.commit
        )
        # With one voter changed at a time, every old majority overlaps every
        # new one. Until an entry of the leader's own term is committed, a
        # change by an earlier leader may exist on other replicas only.
        if (
            not self.ready
            or pending
            or not new_voters
            or len(old_voters ^ new_voters) > 1
        ):
            return
        self._append_payloads([members_lib.encode(members)])
        # If a member is added again, its silence counts from then.
        self._peers = {
            identity: peer
            for identity, peer in self._peers.items()
            if members.find(identity)
        }
        self._broadcast()

    def _compact(self, index: int) -> None:
        if self._log.snapshot_index < index <= self.commit:
            self._base_members = self.members_at(index)
            self._member_changes = [
                change for change in self._member_changes if change[0] > index
            ]
            self._log.compact(index)

    def _transfer(self) -> None:
        if self.role != Role.LEADER or self._transferring:
            return
        others = [(self._peer(o).match_index, o) for o in self._other_voters()]
        if not others:
            return
        matched, successor = max(others)
        if matched < self._log.last_index:
            self._send_entries(successor)
            return  # The caller repeats the `Transfer` event until it is done.
        # The lease is given up here, before the successor can be elected.
        self._transferring = True
        self._transfer_deadline = self._now + self._timing.election_seconds
        self._send(successor, protocol.TimeoutNow(term=self.term))
