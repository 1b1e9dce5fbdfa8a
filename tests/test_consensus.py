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
from endivestream.version import storage
import hypothesis
from hypothesis import strategies as st

TIMING = consensus.Timing(heartbeat=0.1, election=1.0, lease=0.8)
# Clocks of replicas run up to this much fast or slow.
DRIFT = 0.05

# What may happen next, and how often.
_DEEDS = {
    "deliver": 60,
    "drop": 4,
    "double": 3,
    "tick": 14,
    "sync": 25,
    "cut": 2,
    "heal": 3,
    "crash": 1.2,
    "start": 4,
    "propose": 8,
    "compact": 2,
    "members": 3,
    "transfer": 0.5,
    "settle": 4,
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
                case consensus.Truncate(index=index):
                    self._cut(index)
                case consensus.Write(entries=entries):
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
                case consensus.SaveVote(vote=vote):
                    disk.vote = vote
                case consensus.Truncate() | consensus.Write():
                    disk.pending.append(effect)
                case consensus.Restore(snapshot=snapshot):
                    disk.restore(effect)
                    self.applied[name] = snapshot.index
                case consensus.Send(to=to, message=message):
                    self.bag.append((name, to, message))
                case consensus.SendSnapshot(to=to, term=term, sent=sent):
                    message = consensus.Install(
                        term=term, snapshot=disk.snapshot, sent=sent
                    )
                    self.bag.append((name, to, message))
                case consensus.Commit(entries=entries):
                    self._apply(name, entries)
        self._check(name, replica)

    def sync(self, name):
        if name not in self.replicas:
            return
        writes = [
            operation.number
            for operation in self.disks[name].pending
            if isinstance(operation, consensus.Write)
        ]
        self.disks[name].sync(len(self.disks[name].pending))
        if writes:
            self.step(name, consensus.Synced(writes[-1]))

    def _apply(self, name, entries):
        for entry in entries:
            assert entry.index == self.applied[name] + 1, (name, entry)
            self.applied[name] = entry.index
            known = self.committed.setdefault(entry.index, entry)
            assert known == entry, f"{name}: {entry} against {known}"

    def _check(self, name, replica):
        if replica.role == consensus.Role.LEADER:
            other = self.leaders.setdefault(replica.term, name)
            assert other == name, f"two leaders in term {replica.term}"
            for index, entry in self.committed.items():
                found = replica.term_at(index)
                compacted = index <= self.disks[name].snapshot.index
                if entry.term <= replica.term and not compacted:
                    assert found == entry.term, (name, index, found, entry)
        holders = [
            other
            for other, r in self.replicas.items()
            if r.lease_until > self.clock(other)
        ]
        assert len(holders) <= 1, f"leases of {holders}"

    def deliver(self, position):
        sender, to, message = self.bag.pop(position)
        if (sender, to) not in self.cut:
            self.step(to, consensus.Received(sender, message))

    def tick(self, seconds):
        self.now += seconds
        for name in list(self.replicas):
            self.step(name, consensus.Tick(self.rng.random()))

    def leader(self):
        for name, replica in self.replicas.items():
            if replica.ready:
                return name
        return None

    def chaos(self):
        """One random deed of the network, the disks or the operators."""
        rng = self.rng
        names = sorted(self.disks)
        name = rng.choice(names)
        match rng.choices(list(_DEEDS), list(_DEEDS.values()))[0]:
            case "deliver" if self.bag:
                self.deliver(rng.randrange(len(self.bag)))
            case "drop" if self.bag:
                self.bag.pop(rng.randrange(len(self.bag)))
            case "double" if self.bag:
                self.bag.append(rng.choice(self.bag))
            case "tick":
                self.tick(rng.choice((0.05, 0.1, 0.3, 1.1)))
            case "sync":
                self.sync(name)
            case "cut":
                self.cut.add((name, rng.choice(names)))
            case "heal":
                self.cut.clear()
            case "crash" if name in self.replicas:
                self.crash(name)
            case "start" if name not in self.replicas:
                self.start(name)
            case "propose":
                for other in names:
                    payload = b"c%d" % self.rng.randrange(10**6)
                    self.step(other, consensus.Proposed([payload]))
            case "compact":
                self.compact(name)
            case "members":
                self.change_members(name)
            case "transfer":
                self.step(name, consensus.Transfer())
            case "settle":
                self.settle(rounds=rng.randint(1, 30))

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
        disk.restore(consensus.Restore(snapshot, True))
        self.step(name, consensus.Compacted(index))

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
            self.step(leader, consensus.ChangeMembers(changed))

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
                self.step(leader, consensus.Proposed([b"last"]))
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
        for _ in range(350):
            cluster.chaos()
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
                leader, consensus.ChangeMembers(change(replica.members))
            )
            self.assertNotEqual(replica.members, before)
            cluster.settle(10)
        cluster.crash(second)
        before = len(cluster.committed)
        cluster.settle(40)
        cluster.step(cluster.leader(), consensus.Proposed([b"x"]))
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
            cluster.step(leader, consensus.Proposed([b"%d" % number]))
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
            cluster.step(leader, consensus.ChangeMembers(changed))
            self.assertEqual(replica.members, before)
        cluster.step(leader, consensus.ChangeMembers(before.without(others[0])))
        once = replica.members
        cluster.step(leader, consensus.ChangeMembers(once.without(others[1])))
        self.assertEqual(replica.members, once)
