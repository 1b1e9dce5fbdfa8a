import unittest

from endivestream.process import membership_manager as membership_manager_lib
from endivestream.version import members as members_lib


def _member(name, identity=None):
    return members_lib.Member(identity or f"id-{name}", name, "tcp://x")


class _Replica:
    """Fake replica with the state that the membership manager reads."""

    def __init__(self, members):
        self.members = members
        self.commit = 1000
        self.behind = {}
        self.silent = {}

    def match_index(self, identity):
        return self.commit - self.behind.get(identity, 0)

    def seconds_since_reply(self, identity):
        return self.silent.get(identity, 0.0)


class _Replicator:
    identity = "id-a"

    def __init__(self, members):
        self.replica = _Replica(members)

    def change_members(self, members):
        self.replica.members = members
        return True


class MembershipManagerTest(unittest.TestCase):
    def setUp(self):
        members = members_lib.Members(tuple(map(_member, "abc")))
        self.replicator = _Replicator(members)
        self.replica = self.replicator.replica
        self.membership_manager = membership_manager_lib.MembershipManager(
            replicator=self.replicator, wanted=3, replace_seconds=600.0
        )

    def _names(self):
        members = self.replica.members
        return (
            "".join(m.name for m in members.voters),
            "".join(m.name for m in members.learners),
        )

    def _run_rounds(self, count=1):
        for _ in range(count):
            self.membership_manager._change_members()

    def test_short_silence_replaces_no_voter(self):
        """Guards against removing a voter for a short silence.

        A suspected failure starts an election only.
        """
        self.membership_manager.join(_member("d"))
        self.replica.silent["id-b"] = 599.0
        self._run_rounds(5)
        self.assertEqual(self._names(), ("abc", "d"))

    def test_caught_up_learner_is_promoted_before_silent_voter_is_removed(self):
        """Guards against too few voters while a silent one is replaced.

        The learner may be promoted only once it has caught up.
        """
        self.membership_manager.join(_member("d"))
        self.replica.behind["id-d"] = 900
        self.replica.silent["id-b"] = 601.0
        self._run_rounds(5)
        self.assertEqual(self._names(), ("abc", "d"))
        self.replica.behind["id-d"] = 0
        self._run_rounds()
        self.assertEqual(self._names(), ("abcd", ""))
        self._run_rounds()
        self.assertEqual(self._names(), ("acd", ""))

    def test_host_with_new_disk_replaces_its_old_identity(self):
        """Guards against a host that cannot vote again after losing its disk.

        It joins under its name with a new identity.
        """
        self.membership_manager.join(_member("b", "id-b2"))
        self.replica.silent["id-b"] = 30.0
        self._run_rounds(5)
        identities = [m.identity for m in self.replica.members.voters]
        self.assertEqual(identities, ["id-a", "id-c", "id-b2"])

    def test_duplicate_host_name_replaces_no_healthy_voter(self):
        """Guards against a copied settings file that evicts a healthy voter."""
        self.membership_manager.join(_member("b", "id-b2"))
        self._run_rounds(5)
        self.assertEqual(self._names(), ("abc", "b"))

    def test_operator_removes_voter_without_replacement(self):
        """Guards against a removal that waits for a learner."""
        self.assertEqual(self.membership_manager.remove("b"), "")
        self._run_rounds()
        self.assertEqual(self._names(), ("ac", ""))

    def test_operator_cannot_remove_leader_or_unknown_voter(self):
        """Guards against removals of the leader and of mistyped names."""
        self.assertIn(
            "is the leader; stop it first", self.membership_manager.remove("a")
        )
        self.assertIn("unknown voter 'x'", self.membership_manager.remove("x"))

    def test_learner_without_join_requests_is_removed(self):
        """Guards against learners that stay members after their host failed."""
        self.membership_manager.join(_member("d"))
        self._run_rounds()
        self.membership_manager._join_requests.clear()
        self.replica.silent["id-d"] = 11.0
        self._run_rounds()
        self.assertEqual(self._names(), ("abc", ""))
