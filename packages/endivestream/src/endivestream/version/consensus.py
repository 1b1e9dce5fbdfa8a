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

from endivestream.version import entry_log
from endivestream.version import members as members_lib
from endivestream.version import protocol
from endivestream.version import storage as storage_lib


class Role(enum.StrEnum):
    """What a replica does."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


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
        self._effects: list[protocol.Effect] = []

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
    def first_own(self) -> int:
        """The first entry of its own term, for a leader; 1 if none led before.

        Every leader's first act is an entry, and one elected later has all
        that were committed.
        """
        return self._first_own

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

    def step(self, event: protocol.Event, now: float) -> list[protocol.Effect]:
        """Takes one event; returns effects to carry out in order."""
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
                self._synced(write)
            case protocol.Compacted(index=index):
                self._compact(index)
            case protocol.ChangeMembers(members=members):
                self._change_members(members)
            case protocol.Transfer():
                self._transfer()
        return self._effects

    def _answered(self, member: members_lib.Member) -> float:
        """Returns when the newest message that a voter answered was sent."""
        if member.identity == self.identity:
            return self._now
        peer = self._peers.get(member.identity)
        return peer.answered if peer else float("-inf")

    def _send(self, to: str, message: protocol.Message) -> None:
        self._effects.append(protocol.Send(to, message))

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
                protocol.PreVote(
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
                protocol.RequestVote(
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
        self._effects.append(protocol.SaveVote(vote))

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
            and not self._bound_to_leader()
            and self._up_to_date(message.last_term, message.last_index)
        )
        term = message.term if granted else self.term
        self._send(sender, protocol.PreVoteReply(term=term, granted=granted))

    def _on_pre_vote_reply(
        self, sender: str, message: protocol.PreVoteReply
    ) -> None:
        if not message.granted:
            if message.term > self.term:
                self._follow(message.term, "")
            return
        if self.role != Role.PRE_CANDIDATE or message.term != self.term + 1:
            return
        self._votes.add(sender)
        if self._won():
            self._start_election(transfer=False)

    def _on_request_vote(
        self, sender: str, message: protocol.RequestVote
    ) -> None:
        if not message.transfer and self._bound_to_leader():
            # Not even the term is taken over: a leader's lease rests on this.
            self._send(
                sender, protocol.VoteReply(term=self.term, granted=False)
            )
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
        self._send(sender, protocol.VoteReply(term=self.term, granted=granted))

    def _on_vote_reply(self, sender: str, message: protocol.VoteReply) -> None:
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
            protocol.AppendReply(
                term=self.term, matched=matched, rejected=rejected, sent=sent
            ),
        )

    def _on_append(self, sender: str, message: protocol.Append) -> None:
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
        self._effects.append(protocol.Truncate(index))

    def _write(self, entries: list[storage_lib.Entry]) -> None:
        self._log.append(entries)
        for entry in entries:
            self._note_members(entry)
        self._write_number += 1
        self._writes.append((self._write_number, entries[-1].index))
        self._effects.append(protocol.Write(self._write_number, entries))

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

    def _on_install(self, sender: str, message: protocol.Install) -> None:
        if not self._hear_leader(sender, message.term):
            self._reply(sender, message.sent, rejected=True, matched=0)
            return
        self._leader_sent = message.sent
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            keep = self._log.term_at(snapshot.index) == snapshot.term
            self._effects.append(protocol.Restore(snapshot, keep))
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
        # Assumed to arrive; if not, the next is rejected with a hint.
        peer.next = prev + len(entries) + 1

    def _on_append_reply(
        self, sender: str, message: protocol.AppendReply
    ) -> None:
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
        self._effects.append(protocol.Commit(entries))

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
        self._send(heir, protocol.TimeoutNow(term=self.term))
