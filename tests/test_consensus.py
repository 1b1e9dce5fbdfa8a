"""The agreement under dropped, doubled, reordered and one-way messages.

Replicas are pure, so a whole cluster with its disks and its network fits
into one object, driven by one seed. Disks keep what was synced; a crash keeps
any prefix of what was written after that.
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

TIMING = protocol.Timing(heartbeat=0.1, election=0.5, lease=0.42)
# Clocks of replicas run up to this much fast or slow.
DRIFT = 0.05

# What may happen next, and how often.
_DEEDS = {
    "deliver": 50,
    "drop": 3,
    "double": 3,
    "tick": 20,
    "sync": 12,
    "propose": 25,
    "compact": 2,
    "members": 3,
    "transfer": 1,
    "round": 40,
}
# What an episode begins with, and how often.
_FAULTS = {
    "none": 3,
    "partition": 3,
    "one_way": 3,
    "mute": 2,
    "crash": 4,
    "crash_all": 1,
}


def _member(name):
    return members_lib.Member(name, name, name)


class _Disk:
    """What of a replica outlives a crash."""

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
                    self._cut(index)
                case protocol.Write(entries=entries):
                    self.entries += entries
        del self.pending[:count]

    def _cut(self, index):
        self.entries = [e for e in self.entries if e.index < index]

    def restore(self, effect):
        # A real replica rewrites its log here, pending writes and all.
        self.sync(len(self.pending))
        self.snapshot = effect.snapshot
        self.entries = [
            e
            for e in self.entries
            if effect.keep_log and e.index > effect.snapshot.index
        ]


class Cluster:
    """Replicas, disks, a bag of messages, and the invariants."""

    def __init__(self, seed, voters=3, spares=2):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.disks = {f"r{n}": _Disk() for n in range(voters + spares)}
        self.rates = {
            name: 1 + self.rng.uniform(-DRIFT, DRIFT) for name in self.disks
        }
        first = members_lib.Members(
            tuple(_member(f"r{n}") for n in range(voters))
        )
        for disk in self.disks.values():
            disk.snapshot = storage.SnapshotFile(0, 0, b"", first)
        self.replicas = {}
        self.bag = []
        self.cut = set()
        self.committed = {}
        self.applied = collections.defaultdict(int)
        self.leaders = {}
        self.acknowledged = 0
        for name in self.disks:
            self.start(name)

    def clock(self, name):
        return self.now * self.rates[name]

    def start(self, name):
        disk = self.disks[name]
        self.replicas[name] = consensus.Replica(
            identity=name,
            timing=TIMING,
            vote=disk.vote,
            snapshot=(disk.snapshot.index, disk.snapshot.term),
            snapshot_members=disk.snapshot.members,
            entries=disk.entries,
            now=self.clock(name),
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
        for effect in replica.step(event, self.clock(name)):
            match effect:
                case protocol.SaveVote(vote=vote):
                    disk.vote = vote
                case protocol.Truncate() | protocol.Write():
                    disk.pending.append(effect)
                case protocol.Restore(snapshot=snapshot):
                    disk.restore(effect)
                    self.applied[name] = snapshot.index
                case protocol.Send(to=to, message=message):
                    self.bag.append((name, to, message))
                case protocol.SendSnapshot(to=to, term=term, sent=sent):
                    message = protocol.Install(
                        term=term, snapshot=disk.snapshot, sent=sent
                    )
                    self.bag.append((name, to, message))
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
            known = self.committed.setdefault(entry.index, entry)
            assert known == entry, f"{name}: {entry} against {known}"

    def _check(self, name, replica):
        leads = replica.role == consensus.Role.LEADER
        if leads and replica.term not in self.leaders:
            for index, entry in self.committed.items():
                found = replica.term_at(index)
                compacted = index <= self.disks[name].snapshot.index
                if entry.term <= replica.term and not compacted:
                    assert found == entry.term, (name, index, found, entry)
        if leads:
            other = self.leaders.setdefault(replica.term, name)
            assert other == name, f"two leaders in term {replica.term}"
        holders = [
            other
            for other, r in self.replicas.items()
            if r.lease_until > self.clock(other)
        ]
        assert len(holders) <= 1, f"leases of {holders}"

    def deliver(self, position):
        sender, to, message = self.bag.pop(position)
        if (sender, to) not in self.cut:
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
        """One fault, then deeds of the network, the disks and operators."""
        rng = self.rng
        names = sorted(self.disks)
        match rng.choices(list(_FAULTS), list(_FAULTS.values()))[0]:
            case "none":
                self.cut.clear()
                self.settle(rng.randint(5, 40))
            case "partition":
                side = set(rng.sample(names, rng.randint(1, len(names) - 1)))
                self.cut = {
                    (a, b)
                    for a in names
                    for b in names
                    if (a in side) != (b in side)
                }
            case "one_way":
                self.cut = {
                    (a, b) for a in names for b in names if rng.random() < 0.3
                }
            case "mute":
                # The leader is heard by nobody, or hears nobody.
                leader = self.leader() or names[0]
                outward = rng.random() < 0.5
                self.cut = {
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
            self.deed()
        for name in names:
            if name not in self.replicas and rng.random() < 0.7:
                self.start(name)

    def deed(self):
        rng = self.rng
        name = rng.choice(sorted(self.disks))
        match rng.choices(list(_DEEDS), list(_DEEDS.values()))[0]:
            case "deliver" if self.bag:
                # Mostly in order, sometimes long after.
                last = len(self.bag) - 1
                old = rng.random() < 0.7
                self.deliver(0 if old else rng.randint(0, last))
            case "drop" if self.bag:
                self.bag.pop(rng.randrange(len(self.bag)))
            case "double" if self.bag:
                self.bag.append(rng.choice(self.bag))
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
        """A heartbeat's time in which most messages and writes get through."""
        for name in sorted(self.replicas):
            if self.rng.random() < 0.6:
                self.sync(name)
        for _ in range(len(self.bag)):
            fate = self.rng.random()
            if fate < 0.85:
                self.deliver(0)
            elif fate < 0.9:
                self.bag.append(self.bag.pop(0))
        self.tick(0.1)

    def compact(self, name):
        replica = self.replicas.get(name)
        disk = self.disks[name]
        if replica is None or replica.commit <= disk.snapshot.index:
            return
        # As the driver does: a snapshot is taken of synced entries only.
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
            changed = members.promoted(name)
        else:
            changed = members.with_learner(_member(name))
        if len(changed.voters) >= 2:
            self.step(leader, protocol.ChangeMembers(changed))

    def settle(self, rounds):
        """Lets the network and the disks work for a while."""
        for _ in range(rounds):
            for name in sorted(self.replicas):
                self.sync(name)
            for _ in range(len(self.bag)):
                self.deliver(0)
            self.tick(0.1)

    def recover(self):
        """Ends all faults; the cluster must commit again."""
        self.cut.clear()
        for name in self.disks:
            if name not in self.replicas:
                self.start(name)
        before = len(self.committed)
        for _ in range(40):
            self.settle(5)
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

    def test_cut_off_leader_stops_leading(self):
        """Callers of a cut-off leader are not left waiting.

        The leader hears nothing any more but can still send: the others keep
        hearing it and elect nobody until it gives up within an election time.
        """
        cluster = Cluster(1)
        cluster.settle(40)
        leader = cluster.leader()
        cluster.cut = {(other, leader) for other in cluster.disks}
        cluster.settle(15)
        self.assertFalse(cluster.replicas[leader].ready)
        cluster.settle(40)
        self.assertNotIn(cluster.leader(), (None, leader))

    def test_returning_replica_does_not_depose_the_leader(self):
        """The leader's term stays when a cut-off replica comes back."""
        cluster = Cluster(2)
        cluster.settle(40)
        leader = cluster.leader()
        other = next(n for n in ("r0", "r1", "r2") if n != leader)
        everybody = list(cluster.disks)
        cluster.cut = {(other, n) for n in everybody}
        cluster.cut |= {(n, other) for n in everybody}
        cluster.settle(100)
        term = cluster.replicas[leader].term
        cluster.cut.clear()
        cluster.settle(40)
        self.assertEqual(cluster.leader(), leader)
        self.assertEqual(cluster.replicas[leader].term, term)

    def test_second_loss_right_after_a_repair_keeps_a_majority(self):
        """Changes are accepted although two of three first voters are gone.

        One voter is lost; a spare learns, is promoted, the lost one leaves.
        Right then another voter is lost.
        """
        cluster = Cluster(3)
        cluster.settle(40)
        leader = cluster.leader()
        lost, second = (n for n in ("r0", "r1", "r2") if n != leader)
        cluster.crash(lost)
        replica = cluster.replicas[leader]
        for change in (
            lambda m: m.with_learner(_member("r3")),
            lambda m: m.promoted("r3"),
            lambda m: m.without(lost),
        ):
            before = replica.members
            cluster.step(
                leader, protocol.ChangeMembers(change(replica.members))
            )
            self.assertNotEqual(replica.members, before)
            cluster.settle(10)
        cluster.crash(second)
        before = len(cluster.committed)
        cluster.settle(40)
        cluster.step(cluster.leader(), protocol.Proposed([b"x"]))
        cluster.settle(10)
        self.assertGreater(len(cluster.committed), before)

    def test_replica_that_slept_catches_up_by_one_snapshot(self):
        """A replica that missed 500 entries has them after one exchange."""
        cluster = Cluster(4)
        cluster.settle(40)
        leader = cluster.leader()
        other = next(n for n in ("r0", "r1", "r2") if n != leader)
        cluster.crash(other)
        for number in range(500):
            cluster.step(leader, protocol.Proposed([b"%d" % number]))
            if number % 50 == 0:
                cluster.settle(1)
        cluster.settle(20)
        cluster.compact(leader)
        cluster.start(other)
        cluster.settle(40)
        self.assertEqual(
            cluster.replicas[other].commit, cluster.replicas[leader].commit
        )
        self.assertGreater(cluster.disks[other].snapshot.index, 400)

    def test_two_voters_cannot_change_at_once(self):
        cluster = Cluster(5)
        cluster.settle(40)
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
        once = replica.members
        cluster.step(leader, protocol.ChangeMembers(once.without(others[1])))
        self.assertEqual(replica.members, once)


def _entries(*terms):
    return [
        storage.Entry(term, index, b"%d-%d" % (term, index))
        for index, term in enumerate(terms, start=1)
    ]


def _replica(terms=(), *, term=None, now=100.0):
    """A replica `a` of voters a, b, c with entries of the given terms."""
    voters = tuple(_member(name) for name in "abc")
    newest = max(terms, default=0) if term is None else term
    return consensus.Replica(
        identity="a",
        timing=TIMING,
        vote=storage.Vote(newest, ""),
        snapshot=(0, 0),
        snapshot_members=members_lib.Members(voters),
        entries=_entries(*terms),
        now=now,
        jitter=0.0,
    )


def _leader(terms=()):
    """A replica that has just been elected, at time 101; nothing synced."""
    replica = _replica(terms)
    replica.step(protocol.Tick(0.0), 101.0)
    term = replica.term + 1
    reply = protocol.PreVoteReply(term=term, granted=True)
    replica.step(protocol.Received("b", reply), 101.0)
    reply = protocol.VoteReply(term=term, granted=True)
    replica.step(protocol.Received("b", reply), 101.0)
    assert replica.role == consensus.Role.LEADER
    return replica


def _append(term, prev, prev_term, terms, commit=0):
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


def _reply(replica, matched, *, sent=101.0):
    return protocol.AppendReply(
        term=replica.term, matched=matched, rejected=False, sent=sent
    )


def _matched(effects):
    return [
        effect.message.matched
        for effect in effects
        if isinstance(effect, protocol.Send)
        and isinstance(effect.message, protocol.AppendReply)
    ]


class SafeguardTest(unittest.TestCase):
    """One safeguard each, with the failure that it prevents.

    Random runs seldom meet these orders of events, so each is set up here.
    """

    def test_older_term_is_not_committed_by_counting(self):
        """An accepted entry would be overwritten by a later leader.

        A leader of term 4 finds an entry of term 2 on a majority. A replica
        with an entry of term 3 can still be elected and overwrite it.
        """
        replica = _leader((1, 2))
        replica.step(protocol.Synced(1), 101.0)
        replica.step(protocol.Received("b", _reply(replica, 2)), 101.1)
        self.assertEqual(replica.commit, 0)
        replica.step(protocol.Received("b", _reply(replica, 3)), 101.2)
        self.assertEqual(replica.commit, 3)

    def test_follower_acknowledges_only_what_is_synced(self):
        """A crash of the follower would lose an entry that it counted for."""
        replica = _replica()
        effects = replica.step(
            protocol.Received("b", _append(1, 0, 0, [1, 1])), 100.1
        )
        self.assertEqual(_matched(effects), [0])
        self.assertEqual(_matched(replica.step(protocol.Synced(1), 100.2)), [2])

    def test_leader_counts_itself_only_when_synced(self):
        """A crash of the leader would lose an entry that one other has."""
        replica = _leader()
        replica.step(protocol.Received("b", _reply(replica, 1)), 101.1)
        self.assertEqual(replica.commit, 0)
        replica.step(protocol.Synced(1), 101.2)
        self.assertEqual(replica.commit, 1)

    def test_late_sync_of_overwritten_entries_counts_for_nothing(self):
        """An entry would count as durable while only its predecessor is.

        Entries of term 1 are being synced when a new leader overwrites them;
        the answer of the first sync comes after that.
        """
        replica = _replica()
        replica.step(protocol.Received("b", _append(1, 0, 0, [1, 1])), 100.1)
        replica.step(protocol.Received("c", _append(2, 0, 0, [2, 2])), 100.2)
        self.assertEqual(_matched(replica.step(protocol.Synced(1), 100.3)), [0])

    def test_entries_of_an_older_leader_are_not_acknowledged(self):
        """The leader would count entries that it does not have itself.

        A heartbeat matches at the start of the log; behind it stand entries
        that the leader never saw.
        """
        replica = _replica((1, 1, 1))
        effects = replica.step(
            protocol.Received("b", _append(2, 0, 0, [])), 100.1
        )
        self.assertEqual(_matched(effects), [0])

    def test_vote_is_refused_while_a_leader_relies_on_it(self):
        """Two leaders would hold the lease at once.

        The replica heard its leader a moment ago; a candidate that did not
        asks for its vote. Not even its term is taken over.
        """
        replica = _replica()
        replica.step(protocol.Received("b", _append(1, 0, 0, [])), 105.0)
        vote = protocol.RequestVote(
            term=9, last_index=5, last_term=5, transfer=False
        )
        replica.step(protocol.Received("c", vote), 105.1)
        self.assertEqual(replica.term, 1)
        replica.step(protocol.Received("c", vote), 106.0)
        self.assertEqual(replica.term, 9)

    def test_restarted_replica_keeps_the_promise_it_forgot(self):
        """Two leaders would hold the lease at once.

        The replica heard its leader, restarted within a moment and is asked
        for its vote.
        """
        replica = _replica(now=100.0)
        vote = protocol.RequestVote(
            term=9, last_index=5, last_term=5, transfer=False
        )
        replica.step(protocol.Received("c", vote), 100.1)
        self.assertEqual(replica.term, 0)

    def test_lease_counts_from_the_sending(self):
        """A slow answer would stretch the lease past a new election."""
        replica = _leader()
        replica.step(protocol.Synced(1), 101.0)
        reply = _reply(replica, 1, sent=101.0)
        replica.step(protocol.Received("b", reply), 101.3)
        self.assertAlmostEqual(replica.lease_until, 101.0 + TIMING.lease)

    def test_hand_over_ends_the_lease_for_good(self):
        """The heir may win at any time after it was asked.

        Also when the hand-over seems to have failed: the request may be on
        its way, and the heir's election asks for votes past all promises.
        """
        replica = _leader()
        replica.step(protocol.Synced(1), 101.0)
        replica.step(protocol.Received("b", _reply(replica, 1)), 101.0)
        self.assertGreater(replica.lease_until, 101.0)
        replica.step(protocol.Transfer(), 101.0)
        self.assertLess(replica.lease_until, 101.0)
        for tenth in range(1, 8):
            now = 101.0 + tenth / 10
            reply = _reply(replica, 1, sent=now)
            replica.step(protocol.Received("b", reply), now)
            replica.step(protocol.Tick(0.0), now)
            self.assertLess(replica.lease_until, now)
        self.assertEqual(replica.role, consensus.Role.FOLLOWER)

    def test_snapshot_keeps_matching_entries_after_it(self):
        """Acknowledged entries after the snapshot would be lost."""
        replica = _replica((1, 1, 1))
        install = protocol.Install(
            term=1, snapshot=storage.SnapshotFile(2, 1, b""), sent=1.0
        )
        effects = replica.step(protocol.Received("b", install), 100.1)
        (restore,) = (e for e in effects if isinstance(e, protocol.Restore))
        self.assertTrue(restore.keep_log)
        self.assertEqual(replica.last_index, 3)

    def test_snapshot_drops_entries_of_another_history(self):
        replica = _replica((1, 1, 1))
        install = protocol.Install(
            term=2, snapshot=storage.SnapshotFile(2, 2, b""), sent=1.0
        )
        effects = replica.step(protocol.Received("b", install), 100.1)
        (restore,) = (e for e in effects if isinstance(e, protocol.Restore))
        self.assertFalse(restore.keep_log)
        self.assertEqual(replica.last_index, 2)
