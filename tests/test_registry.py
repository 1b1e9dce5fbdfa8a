import unittest

from endivestream.connection import registry as registry_lib
import hypothesis
from hypothesis import strategies as st


def said(name="t1", born=1, number=1, **fields):
    given = {"service": "s", "address": "10.0.0.1:80", "domain": "a"}
    return registry_lib.Registration(
        name=name, born=born, number=number, **(given | fields)
    )


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = registry_lib.Registry()

    def test_a_late_report_does_not_undo_a_drain(self):
        """No new work goes to a target that has said it leaves.

        Its report from before arrives after the one that said so, by way of
        another host.
        """
        self.registry.note(said(number=5, draining=True), 1.0)
        self.assertEqual(self.registry.note(said(number=4), 2.0), [])
        self.assertTrue(self.registry.find("t1").said.draining)

    def test_a_report_from_before_the_good_bye_brings_nobody_back(self):
        """Nothing is sent to an address that another service may have taken.

        The target leaves; a report that was held up on its way arrives.
        """
        self.registry.note(said(number=5), 1.0)
        self.assertTrue(self.registry.leave("t1", 2.0))
        self.assertEqual(self.registry.note(said(number=6), 3.0), [])
        self.assertIsNone(self.registry.find("t1"))

    def test_a_good_bye_before_the_first_report_is_remembered(self):
        """Nothing is sent to a target whose good-bye came by a new leader.

        The leader has not heard of it yet; the good-bye arrives first, then a
        report that was held up. A later start of the same name counts anew.
        """
        self.assertFalse(self.registry.leave("t1", 1.0))
        self.assertEqual(self.registry.departed, ("t1",))
        self.assertEqual(self.registry.note(said(number=9), 2.0), [])
        self.assertEqual(
            self.registry.note(said(born=5, number=1), 3.0), ["t1"]
        )
        self.assertEqual(self.registry.departed, ())

    def test_a_newer_start_outlives_the_good_bye_of_an_older(self):
        """A target that came back is not lost with a leader's memory.

        The log says that an older start has left.
        """
        self.registry.note(said(born=5, number=9), 1.0)
        self.assertFalse(self.registry.leave("t1", 2.0, born=4))
        self.assertIsNotNone(self.registry.find("t1"))

    def test_a_restart_under_the_same_name_counts_anew(self):
        """A target that came back is used at once.

        It has the id of before, and its count of reports starts again.
        """
        self.registry.note(said(born=1, number=90), 1.0)
        self.assertEqual(
            self.registry.note(said(born=2, number=1), 2.0), ["t1"]
        )
        self.registry.leave("t1", 3.0)
        self.assertEqual(
            self.registry.note(said(born=3, number=1), 4.0), ["t1"]
        )

    def test_an_address_belongs_to_the_newest_start(self):
        """A request meets the process that now listens, not its predecessor.

        A new process has the address of one that died behind a cut; when the
        cut heals, the dead one's last report arrives.
        """
        self.registry.note(said("old", born=1), 1.0)
        changed = self.registry.note(said("new", born=9), 2.0)
        self.assertEqual(changed, ["new", "old"])
        self.assertEqual(
            self.registry.note(said("old", born=1, number=7), 3), []
        )
        self.assertEqual(set(self.registry.sessions), {"new"})

    def test_silent_targets_are_forgotten(self):
        self.registry.note(said(), 1.0)
        self.assertEqual(self.registry.expire(5.0, silence=10.0), [])
        self.assertEqual(self.registry.expire(12.0, silence=10.0), ["t1"])

    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(1, 3), st.integers(1, 4), st.booleans()),
            max_size=15,
        ),
        st.randoms(use_true_random=False),
    )
    def test_the_order_of_arrival_decides_nothing(self, reports, random):
        """Two leaders that heard the same in another order agree."""
        sent = {
            (born, number): said(born=born, number=number, draining=draining)
            for born, number, draining in reports
        }
        shuffled = [*sent.values(), *sent.values()]
        random.shuffle(shuffled)
        registry = registry_lib.Registry()
        for now, report in enumerate(shuffled):
            registry.note(report, float(now))
        if sent:
            self.assertEqual(registry.find("t1").said, sent[max(sent)])
