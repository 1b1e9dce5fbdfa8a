"""Consensus under lost, duplicated, reordered and one-way messages.

Replicas are deterministic state machines, so one object simulates a cluster
with its disks and its network, driven by one seed. Disks keep what was synced;
a crash keeps any prefix of the writes after the last sync.
"""

import collections
import random
import unittest

from endivestream.version import consensus
from endivestream.version import members as members_lib
from endivestream.version import protocol
from endivestream.version import storage
import hypothesis
from hypothesis import strategies as st

TIMING = protocol.Timing(
    heartbeat_seconds=0.1, election_seconds=0.5, lease_seconds=0.42
)
# Maximum relative rate error of a replica's clock.
MAX_CLOCK_DRIFT = 0.05

# Actions of an episode, with their relative frequencies.
_ACTIONS = {
    "deliver": 50,
    "drop": 3,
    "duplicate": 3,
    "tick": 20,
    "sync": 12,
    "propose": 25,
    "compact": 2,
    "members": 3,
    "transfer": 1,
    "round": 40,
}
# Faults at the start of an episode, with their relative frequencies.
_FAULTS = {
    "none": 3,
    "partition": 3,
    "one_way": 3,
    "leader_one_way": 2,
    "crash": 4,
    "crash_all": 1,
}


def _member(name):
    return members_lib.Member(name, name, name)


class _Disk:
    """Simulated disk of a replica: synced data and pending writes."""

    def __init__(self):
        self.vote = storage.Vote(0, "")
        self.snapshot = storage.SnapshotFile(0, 0, b"")
        self.entries = []
        self.pending = []

    def sync(self, count):
        """Makes the first `count` pending writes durable."""
        for operation in self.pending[:count]:
            match operation:
                case protocol.Truncate(index=index):
                    self._truncate(index)
                case protocol.Write(entries=entries):
                    self.entries += entries
        del self.pending[:count]

    def _truncate(self, index):
        self.entries = [e for e in self.entries if e.index < index]

    def restore(self, effect):
        # A real replica rewrites its log here, including pending writes.
        self.sync(len(self.pending))
        self.snapshot = effect.snapshot
        self.entries = [
            e
            for e in self.entries
            if effect.keep_log and e.index > effect.snapshot.index
        ]


class Cluster:
    """Simulated cluster: replicas, disks, messages in flight, invariants."""

    def __init__(self, seed, voters=3, spare_count=2):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.disks = {f"r{n}": _Disk() for n in range(voters + spare_count)}
        self.clock_rates = {
            name: 1 + self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
            for name in self.disks
        }
        first = members_lib.Members(
            tuple(_member(f"r{n}") for n in range(voters))
        )
        for disk in self.disks.values():
            disk.snapshot = storage.SnapshotFile(0, 0, b"", first)
        self.replicas = {}
        self.in_flight = []
        self.blocked_links = set()
        self.committed = {}
        self.applied = collections.defaultdict(int)
        self.leader_by_term = {}
        self.acknowledged = 0
        for name in self.disks:
            self.start(name)

    def local_time(self, name):
        return self.now * self.clock_rates[name]

    def start(self, name):
        disk = self.disks[name]
        self.replicas[name] = consensus.Replica(
            identity=name,
            timing=TIMING,
            vote=disk.vote,
            snapshot=(disk.snapshot.index, disk.snapshot.term),
            snapshot_members=disk.snapshot.members,
            entries=disk.entries,
            now=self.local_time(name),
            jitter=self.rng.random(),
        )
        self.applied[name] = disk.snapshot.index

    def crash(self, name):
        disk = self.disks[name]
        disk.sync(self.rng.randint(0, len(disk.pending)))
        disk.pending.clear()
        del self.replicas[name]

    def step(self, name, event):
        replica = self.replicas.get(name)
        if replica is None:
            return
        disk = self.disks[name]
        for effect in replica.step(event, self.local_time(name)):
            match effect:
                case protocol.SaveVote(vote=vote):
                    disk.vote = vote
                case protocol.Truncate() | protocol.Write():
                    disk.pending.append(effect)
                case protocol.Restore(snapshot=snapshot):
                    disk.restore(effect)
                    self.applied[name] = snapshot.index
                case protocol.Send(to=to, message=message):
                    self.in_flight.append((name, to, message))
                case protocol.SendSnapshot(to=to, term=term, sent=sent):
                    message = protocol.Install(
                        term=term, snapshot=disk.snapshot, sent=sent
                    )
                    self.in_flight.append((name, to, message))
                case protocol.Commit(entries=entries):
                    self._apply(name, entries)
        self._check(name, replica)

    def sync(self, name):
        if name not in self.replicas:
            return
        writes = [
            operation.number
            for operation in self.disks[name].pending
            if isinstance(operation, protocol.Write)
        ]
        self.disks[name].sync(len(self.disks[name].pending))
        if writes:
            self.step(name, protocol.Synced(writes[-1]))

    def _apply(self, name, entries):
        for entry in entries:
            assert entry.index == self.applied[name] + 1, (name, entry)
            self.applied[name] = entry.index
            first_applied = self.committed.setdefault(entry.index, entry)
            assert first_applied == entry, (
                f"{name}: {entry} against {first_applied}"
            )

    def _check(self, name, replica):
        leads = replica.role == consensus.Role.LEADER
        if leads and replica.term not in self.leader_by_term:
            for index, entry in self.committed.items():
                found_term = replica.term_at(index)
                compacted = index <= self.disks[name].snapshot.index
                if entry.term <= replica.term and not compacted:
                    assert found_term == entry.term, (
                        name,
                        index,
                        found_term,
                        entry,
                    )
        if leads:
            other = self.leader_by_term.setdefault(replica.term, name)
            assert other == name, f"two leaders in term {replica.term}"
        lease_holders = [
            other
            for other, r in self.replicas.items()
            if r.lease_until > self.local_time(other)
        ]
        assert len(lease_holders) <= 1, f"leases of {lease_holders}"

    def deliver(self, position):
        sender, to, message = self.in_flight.pop(position)
        if (sender, to) not in self.blocked_links:
            self.step(to, protocol.Received(sender, message))

    def tick(self, seconds):
        self.now += seconds
        for name in list(self.replicas):
            self.step(name, protocol.Tick(self.rng.random()))

    def leader(self):
        for name, replica in self.replicas.items():
            if replica.ready:
                return name
        return None

    def episode(self):
        """Injects one fault, then runs random actions."""
        rng = self.rng
        names = sorted(self.disks)
        match rng.choices(list(_FAULTS), list(_FAULTS.values()))[0]:
            case "none":
                self.blocked_links.clear()
                self.run_rounds(rng.randint(5, 40))
            case "partition":
                group = set(rng.sample(names, rng.randint(1, len(names) - 1)))
                self.blocked_links = {
                    (a, b)
                    for a in names
                    for b in names
                    if (a in group) != (b in group)
                }
            case "one_way":
                self.blocked_links = {
                    (a, b) for a in names for b in names if rng.random() < 0.3
                }
            case "leader_one_way":
                # Blocks all messages from the leader, or all messages to it.
                leader = self.leader() or names[0]
                outward = rng.random() < 0.5
                self.blocked_links = {
                    (leader, n) if outward else (n, leader) for n in names
                }
            case "crash":
                for name in rng.sample(names, rng.randint(1, 2)):
                    if name in self.replicas:
                        self.crash(name)
            case "crash_all":
                for name in list(self.replicas):
                    self.crash(name)
        for _ in range(rng.randint(5, 40)):
            self.run_action()
        for name in names:
            if name not in self.replicas and rng.random() < 0.7:
                self.start(name)

    def run_action(self):
        rng = self.rng
        name = rng.choice(sorted(self.disks))
        match rng.choices(list(_ACTIONS), list(_ACTIONS.values()))[0]:
            case "deliver" if self.in_flight:
                # Mostly in order, sometimes out of order.
                last = len(self.in_flight) - 1
                in_order = rng.random() < 0.7
                self.deliver(0 if in_order else rng.randint(0, last))
            case "drop" if self.in_flight:
                self.in_flight.pop(rng.randrange(len(self.in_flight)))
            case "duplicate" if self.in_flight:
                self.in_flight.append(rng.choice(self.in_flight))
            case "tick":
                self.tick(rng.choice((0.05, 0.1, 0.1, 0.3, 0.6)))
            case "sync":
                self.sync(name)
            case "propose":
                for other in sorted(self.disks):
                    payload = b"c%d" % rng.randrange(10**6)
                    self.step(other, protocol.Proposed([payload]))
            case "compact":
                self.compact(name)
            case "members":
                self.change_members(name)
            case "transfer":
                self.step(name, protocol.Transfer())
            case "round":
                self.round()

    def round(self):
        """Runs one heartbeat interval; most messages and writes succeed."""
        for name in sorted(self.replicas):
            if self.rng.random() < 0.6:
                self.sync(name)
        for _ in range(len(self.in_flight)):
            draw = self.rng.random()
            if draw < 0.85:
                self.deliver(0)
            elif draw < 0.9:
                self.in_flight.append(self.in_flight.pop(0))
        self.tick(0.1)

    def compact(self, name):
        replica = self.replicas.get(name)
        disk = self.disks[name]
        if replica is None or replica.commit <= disk.snapshot.index:
            return
        # As in `replicate.Replicator`: snapshots cover synced entries only.
        self.sync(name)
        index = replica.commit
        term = replica.term_at(index)
        members = replica.members_at(index)
        snapshot = storage.SnapshotFile(index, term, b"", members)
        disk.restore(protocol.Restore(snapshot, True))
        self.step(name, protocol.Compacted(index))

    def change_members(self, name):
        leader = self.leader()
        if leader is None:
            return
        members = self.replicas[leader].members
        if members.is_voter(name):
            changed = members.without(name)
        elif members.find(name):
            changed = members.with_promoted(name)
        else:
            changed = members.with_learner(_member(name))
        if len(changed.voters) >= 2:
            self.step(leader, protocol.ChangeMembers(changed))

    def run_rounds(self, rounds):
        """Runs heartbeat intervals in which nothing fails."""
        for _ in range(rounds):
            for name in sorted(self.replicas):
                self.sync(name)
            for _ in range(len(self.in_flight)):
                self.deliver(0)
            self.tick(0.1)

    def recover(self):
        """Ends all faults and checks that the cluster commits again."""
        self.blocked_links.clear()
        for name in self.disks:
            if name not in self.replicas:
                self.start(name)
        before = len(self.committed)
        for _ in range(40):
            self.run_rounds(5)
            leader = self.leader()
            if leader:
                self.step(leader, protocol.Proposed([b"last"]))
        assert len(self.committed) > before, self.replicas


class ConsensusTest(unittest.TestCase):
    @hypothesis.settings(max_examples=120)
    @hypothesis.given(st.integers(0, 2**32), st.sampled_from([1, 3, 5]))
    def test_agreement_under_chaos(self, seed, voters):
        """No accepted entry is lost or changed, whatever the network does.

        Messages are dropped, doubled, reordered and cut one way; replicas
        crash with torn tails; members change, leadership is handed over,
        logs are compacted. In each term at most one leads, at any moment at
        most one holds a lease, and when all faults end entries are committed.
        """
        cluster = Cluster(seed, voters=voters)
        for _ in range(40):
            cluster.episode()
        cluster.recover()

    def test_partitioned_leader_steps_down(self):
        """Callers of a leader without incoming messages would wait forever.

        The leader receives nothing but can still send, so the others keep
        receiving heartbeats and elect nobody. The leader must step down
        within one election timeout.
        """
        cluster = Cluster(1)
        cluster.run_rounds(40)
        leader = cluster.leader()
        cluster.blocked_links = {(other, leader) for other in cluster.disks}
        cluster.run_rounds(15)
        self.assertFalse(cluster.replicas[leader].ready)
        cluster.run_rounds(40)
        self.assertNotIn(cluster.leader(), (None, leader))

    def test_rejoining_replica_does_not_depose_the_leader(self):
        """A replica that rejoins after a partition would depose the leader.

        Without pre-vote it would return with a higher term.
        """
        cluster = Cluster(2)
        cluster.run_rounds(40)
        leader = cluster.leader()
        other = next(n for n in ("r0", "r1", "r2") if n != leader)
        all_names = list(cluster.disks)
        cluster.blocked_links = {(other, n) for n in all_names}
        cluster.blocked_links |= {(n, other) for n in all_names}
        cluster.run_rounds(100)
        term = cluster.replicas[leader].term
        cluster.blocked_links.clear()
        cluster.run_rounds(40)
        self.assertEqual(cluster.leader(), leader)
        self.assertEqual(cluster.replicas[leader].term, term)

    def test_second_voter_failure_after_replacement_keeps_majority(self):
        """The cluster would lose its majority after two successive crashes.

        One of three voters crashes; a spare replica joins as learner, is
        promoted, and the crashed voter is removed. Then another of the
        original voters crashes.
        """
        cluster = Cluster(3)
        cluster.run_rounds(40)
        leader = cluster.leader()
        first_failed, second_failed = (
            n for n in ("r0", "r1", "r2") if n != leader
        )
        cluster.crash(first_failed)
        replica = cluster.replicas[leader]
        for change in (
            lambda m: m.with_learner(_member("r3")),
            lambda m: m.with_promoted("r3"),
            lambda m: m.without(first_failed),
        ):
            before = replica.members
            cluster.step(
                leader, protocol.ChangeMembers(change(replica.members))
            )
            self.assertNotEqual(replica.members, before)
            cluster.run_rounds(10)
        cluster.crash(second_failed)
        before = len(cluster.committed)
        cluster.run_rounds(40)
        cluster.step(cluster.leader(), protocol.Proposed([b"x"]))
        cluster.run_rounds(10)
        self.assertGreater(len(cluster.committed), before)

    def test_restarted_replica_catches_up_by_one_snapshot(self):
        """A replica that was down for 500 entries would not catch up.

        The entries that it lacks were compacted on the leader.
        """
        cluster = Cluster(4)
        cluster.run_rounds(40)
        leader = cluster.leader()
        other = next(n for n in ("r0", "r1", "r2") if n != leader)
        cluster.crash(other)
        for number in range(500):
            cluster.step(leader, protocol.Proposed([b"%d" % number]))
            if number % 50 == 0:
                cluster.run_rounds(1)
        cluster.run_rounds(20)
        cluster.compact(leader)
        cluster.start(other)
        cluster.run_rounds(40)
        self.assertEqual(
            cluster.replicas[other].commit, cluster.replicas[leader].commit
        )
        self.assertGreater(cluster.disks[other].snapshot.index, 400)

    def test_two_voters_cannot_change_in_one_step(self):
        """Two disjoint majorities could commit different entries.

        Removing two voters at a time, or a second voter before the first change
        is committed, must be ignored.
        """
        cluster = Cluster(5)
        cluster.run_rounds(40)
        leader = cluster.leader()
        replica = cluster.replicas[leader]
        before = replica.members
        others = [n for n in ("r0", "r1", "r2") if n != leader]
        for changed in (
            members_lib.Members((_member(leader),)),
            members_lib.Members(()),
        ):
            cluster.step(leader, protocol.ChangeMembers(changed))
            self.assertEqual(replica.members, before)
        cluster.step(leader, protocol.ChangeMembers(before.without(others[0])))
        after_first_change = replica.members
        cluster.step(
            leader,
            protocol.ChangeMembers(after_first_change.without(others[1])),
        )
        self.assertEqual(replica.members, after_first_change)


def _entries(*terms):
    return [
        storage.Entry(term, index, b"%d-%d" % (term, index))
        for index, term in enumerate(terms, start=1)
    ]


def _replica(terms=(), *, term=None, now=100.0):
    """Returns replica `a` of voters a, b, c with entries of these terms."""
    voters = tuple(_member(name) for name in "abc")
    latest_term = max(terms, default=0) if term is None else term
    return consensus.Replica(
        identity="a",
        timing=TIMING,
        vote=storage.Vote(latest_term, ""),
        snapshot=(0, 0),
        snapshot_members=members_lib.Members(voters),
        entries=_entries(*terms),
        now=now,
        jitter=0.0,
    )


def _new_leader(terms=()):
    """Returns a replica elected at time 101 that has synced nothing."""
    replica = _replica(terms)
    replica.step(protocol.Tick(0.0), 101.0)
    term = replica.term + 1
    reply = protocol.PreVoteReply(term=term, granted=True)
    replica.step(protocol.Received("b", reply), 101.0)
    reply = protocol.VoteReply(term=term, granted=True)
    replica.step(protocol.Received("b", reply), 101.0)
    assert replica.role == consensus.Role.LEADER
    return replica


def _append_message(term, prev, prev_term, terms, commit=0):
    entries = [
        storage.Entry(t, prev + n, b"%d-%d" % (t, prev + n))
        for n, t in enumerate(terms, start=1)
    ]
    return protocol.Append(
        term=term,
        prev_index=prev,
        prev_term=prev_term,
        entries=entries,
        commit=commit,
        sent=1.0,
    )


def _append_reply(replica, matched, *, sent=101.0):
    return protocol.AppendReply(
        term=replica.term, matched=matched, rejected=False, sent=sent
    )


def _matched_indices(effects):
    return [
        effect.message.matched
        for effect in effects
        if isinstance(effect, protocol.Send)
        and isinstance(effect.message, protocol.AppendReply)
    ]


class SafeguardTest(unittest.TestCase):
    """Tests of one safeguard each; docstrings name the failure it prevents.

    Random runs rarely reach these orders of events, so each is set up here.
    """

    def test_older_term_entry_is_not_committed_by_replica_count(self):
        """A committed entry would be overwritten by a later leader.

        A leader of term 4 sees an entry of term 2 on a majority. A replica
        with an entry of term 3 can still be elected and overwrite it.
        """
        replica = _new_leader((1, 2))
        replica.step(protocol.Synced(1), 101.0)
        replica.step(protocol.Received("b", _append_reply(replica, 2)), 101.1)
        self.assertEqual(replica.commit, 0)
        replica.step(protocol.Received("b", _append_reply(replica, 3)), 101.2)
        self.assertEqual(replica.commit, 3)

    def test_follower_acknowledges_only_synced_entries(self):
        """A crash of the follower would lose an entry that it acknowledged."""
        replica = _replica()
        effects = replica.step(
            protocol.Received("b", _append_message(1, 0, 0, [1, 1])), 100.1
        )
        self.assertEqual(_matched_indices(effects), [0])
        self.assertEqual(
            _matched_indices(replica.step(protocol.Synced(1), 100.2)), [2]
        )

    def test_leader_counts_own_entry_only_when_synced(self):
        """A crash of the leader would lose a committed entry.

        The entry was synced by one follower only.
        """
        replica = _new_leader()
        replica.step(protocol.Received("b", _append_reply(replica, 1)), 101.1)
        self.assertEqual(replica.commit, 0)
        replica.step(protocol.Synced(1), 101.2)
        self.assertEqual(replica.commit, 1)

    def test_late_sync_of_overwritten_entries_is_not_counted(self):
        """An entry would count as durable although only the one it replaced is.

        Entries of term 1 are being synced when a new leader overwrites them;
        the first sync completes after that.
        """
        replica = _replica()
        replica.step(
            protocol.Received("b", _append_message(1, 0, 0, [1, 1])), 100.1
        )
        replica.step(
            protocol.Received("c", _append_message(2, 0, 0, [2, 2])), 100.2
        )
        self.assertEqual(
            _matched_indices(replica.step(protocol.Synced(1), 100.3)), [0]
        )

    def test_unmatched_entries_of_an_older_leader_are_not_acknowledged(self):
        """The leader would count entries that it does not have.

        A heartbeat matches at the start of the log; the follower's log
        continues with entries that the leader never received.
        """
        replica = _replica((1, 1, 1))
        effects = replica.step(
            protocol.Received("b", _append_message(2, 0, 0, [])), 100.1
        )
        self.assertEqual(_matched_indices(effects), [0])

    def test_vote_is_refused_during_a_leader_lease(self):
        """Two leaders would hold a lease at the same time.

        The replica received a heartbeat 0.1 s ago; a candidate that received
        none requests its vote. The candidate's term is not adopted either.
        """
        replica = _replica()
        replica.step(
            protocol.Received("b", _append_message(1, 0, 0, [])), 105.0
        )
        vote = protocol.RequestVote(
            term=9, last_index=5, last_term=5, transfer=False
        )
        replica.step(protocol.Received("c", vote), 105.1)
        self.assertEqual(replica.term, 1)
        replica.step(protocol.Received("c", vote), 106.0)
        self.assertEqual(replica.term, 9)

    def test_restarted_replica_does_not_vote_during_an_old_lease(self):
        """Two leaders would hold a lease at the same time.

        The replica restarts within the lease of its leader, has lost the time
        of the last heartbeat, and receives a vote request.
        """
        replica = _replica(now=100.0)
        vote = protocol.RequestVote(
            term=9, last_index=5, last_term=5, transfer=False
        )
        replica.step(protocol.Received("c", vote), 100.1)
        self.assertEqual(replica.term, 0)

    def test_lease_starts_at_the_sending_time(self):
        """A slow reply would extend the lease past a new election."""
        replica = _new_leader()
        replica.step(protocol.Synced(1), 101.0)
        reply = _append_reply(replica, 1, sent=101.0)
        replica.step(protocol.Received("b", reply), 101.3)
        self.assertAlmostEqual(
            replica.lease_until, 101.0 + TIMING.lease_seconds
        )

    def test_leadership_transfer_ends_the_lease_permanently(self):
        """The old leader would hold a lease while its successor leads.

        The successor may win at any time after `TimeoutNow` was sent, even if
        the transfer seems to have failed: the message may still be in flight,
        and the votes that it triggers ignore leases.
        """
        replica = _new_leader()
        replica.step(protocol.Synced(1), 101.0)
        replica.step(protocol.Received("b", _append_reply(replica, 1)), 101.0)
        self.assertGreater(replica.lease_until, 101.0)
        replica.step(protocol.Transfer(), 101.0)
        self.assertLess(replica.lease_until, 101.0)
        for tenth in range(1, 8):
            now = 101.0 + tenth / 10
            reply = _append_reply(replica, 1, sent=now)
            replica.step(protocol.Received("b", reply), now)
            replica.step(protocol.Tick(0.0), now)
            self.assertLess(replica.lease_until, now)
        self.assertEqual(replica.role, consensus.Role.FOLLOWER)

    def test_snapshot_keeps_matching_entries_after_it(self):
        """Acknowledged entries after the snapshot would be removed."""
        replica = _replica((1, 1, 1))
        install = protocol.Install(
            term=1, snapshot=storage.SnapshotFile(2, 1, b""), sent=1.0
        )
        effects = replica.step(protocol.Received("b", install), 100.1)
        (restore,) = (e for e in effects if isinstance(e, protocol.Restore))
        self.assertTrue(restore.keep_log)
        self.assertEqual(replica.last_index, 3)

    def test_snapshot_drops_entries_of_a_divergent_history(self):
        """Entries that conflict with the snapshot would stay in the log.

        The follower's entry at the snapshot's index has another term.
        """
        replica = _replica((1, 1, 1))
        install = protocol.Install(
            term=2, snapshot=storage.SnapshotFile(2, 2, b""), sent=1.0
        )
        effects = replica.step(protocol.Received("b", install), 100.1)
        (restore,) = (e for e in effects if isinstance(e, protocol.Restore))
        self.assertFalse(restore.keep_log)
        self.assertEqual(replica.last_index, 2)
