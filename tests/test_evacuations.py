"""Tests of the replicated set of evacuated failure domains."""

import unittest

from endivestream.version import evacuations as evacuations_lib
from endivestream.version import state as state_lib
import hypothesis
from hypothesis import strategies as st
import msgspec

DOMAINS = ("a", "b", "c")


def command(domain="a", *, evacuated=True, expected=0):
    return evacuations_lib.SetEvacuation(
        domain=domain, evacuated=evacuated, expected_revision=expected
    )


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.state = evacuations_lib.Evacuations()

    def test_a_repeated_order_changes_nothing(self):
        """Guards against refusing an order that is sent again."""
        first = self.state.apply(command())
        again = self.state.apply(command(expected=1))
        self.assertTrue(first.changed)
        self.assertFalse(again.changed or again.outdated)
        self.assertEqual(("a",), again.record.domains)

    def test_a_delayed_order_does_not_undo_a_later_one(self):
        """Guards against a message that a partition delayed for seconds."""
        self.state.apply(command())
        self.state.apply(command(evacuated=False, expected=1))
        delayed = self.state.apply(command(expected=0))
        self.assertTrue(delayed.outdated)
        self.assertEqual((), self.state.record.domains)

    @hypothesis.given(
        st.lists(st.tuples(st.sampled_from(DOMAINS), st.booleans()))
    )
    def test_orders_with_the_current_revision_take_effect(self, orders):
        """Guards against evacuations of one domain that affect another."""
        state = evacuations_lib.Evacuations()
        expected = set()
        for domain, evacuated in orders:
            revision = state.record.revision
            result = state.apply(
                command(domain, evacuated=evacuated, expected=revision)
            )
            expected -= {domain}
            expected |= {domain} if evacuated else set()
            self.assertFalse(result.outdated)
            self.assertEqual(expected, set(result.record.domains))
            self.assertEqual(result.record.revision > revision, result.changed)


class SnapshotTest(unittest.TestCase):
    def test_a_snapshot_contains_the_evacuations(self):
        """Guards against evacuations that are lost with the compacted log."""
        state = state_lib.State()
        state.apply(1, state_lib.decode(state_lib.encode(command("b"))))
        restored = state_lib.State()
        restored.restore(state.snapshot())
        self.assertEqual(state.evacuations.record, restored.evacuations.record)
        self.assertEqual(("b",), restored.evacuations.record.domains)

    def test_a_snapshot_of_an_earlier_build_has_none(self):
        """Guards against an upgrade that cannot read stored snapshots."""
        fields = msgspec.msgpack.decode(state_lib.State().snapshot())
        del fields["evacuations"]
        restored = state_lib.State()
        restored.restore(msgspec.msgpack.encode(fields))
        self.assertEqual((), restored.evacuations.record.domains)


if __name__ == "__main__":
    unittest.main()
