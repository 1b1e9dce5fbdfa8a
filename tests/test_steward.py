import unittest

from endivestream.process import steward as steward_lib
from endivestream.version import members as members_lib


def _member(name, identity=None):
    return members_lib.Member(identity or f"id-{name}", name, "tcp://x")


class _Replica:
    """Answers what the steward asks of the agreement."""

    def __init__(self, members):
        self.members = members
        self.commit = 1000
        self.behind = {}
        self.silent = {}

    def matched(self, identity):
        return self.commit - self.behind.get(identity, 0)

    def silent_for(self, identity):
        return self.silent.get(identity, 0.0)


class _Replicator:
    identity = "id-a"

    def __init__(self, members):
        self.replica = _Replica(members)

    def change_members(self, members):
        self.replica.members = members
        return True


class StewardTest(unittest.TestCase):
    def setUp(self):
        members = members_lib.Members(tuple(map(_member, "abc")))
        self.replicator = _Replicator(members)
        self.replica = self.replicator.replica
        self.steward = steward_lib.Steward(
            replicator=self.replicator, wanted=3, replace_seconds=600.0
        )

    def _names(self):
        members = self.replica.members
        return (
            "".join(m.name for m in members.voters),
            "".join(m.name for m in members.learners),
        )

    def _rounds(self, count=1):
        for _ in range(count):
            self.steward._round()

    def test_short_silence_replaces_nobody(self):
        """A suspicion elects; it does not exclude."""
        self.steward.join(_member("d"))
        self.replica.silent["id-b"] = 599.0
        self._rounds(5)
        self.assertEqual(self._names(), ("abc", "d"))

    def test_long_silence_brings_the_spare_in_first(self):
        self.steward.join(_member("d"))
        self.replica.behind["id-d"] = 900
        self.replica.silent["id-b"] = 601.0
        self._rounds(5)
        self.assertEqual(self._names(), ("abc", "d"))
        self.replica.behind["id-d"] = 0
        self._rounds()
        self.assertEqual(self._names(), ("abcd", ""))
        self._rounds()
        self.assertEqual(self._names(), ("acd", ""))

    def test_host_with_a_new_disk_takes_its_own_place(self):
        self.steward.join(_member("b", "id-b2"))
        self.replica.silent["id-b"] = 30.0
        self._rounds(5)
        identities = [m.identity for m in self.replica.members.voters]
        self.assertEqual(identities, ["id-a", "id-c", "id-b2"])

    def test_second_host_with_a_sound_voters_name_replaces_nobody(self):
        """A copied settings file must not push a working voter out."""
        self.steward.join(_member("b", "id-b2"))
        self._rounds(5)
        self.assertEqual(self._names(), ("abc", "b"))

    def test_operator_removes_at_once_also_without_a_spare(self):
        self.assertEqual(self.steward.remove("b"), "")
        self._rounds()
        self.assertEqual(self._names(), ("ac", ""))

    def test_operator_cannot_remove_the_leader_or_an_unknown_one(self):
        self.assertIn("leads at the moment", self.steward.remove("a"))
        self.assertIn("unknown voter 'x'", self.steward.remove("x"))

    def test_learner_that_asks_no_more_is_dropped(self):
        self.steward.join(_member("d"))
        self._rounds()
        self.steward._asking.clear()
        self.replica.silent["id-d"] = 11.0
        self._rounds()
        self.assertEqual(self._names(), ("abc", ""))
