import unittest

from endivestream.version import departures as departures_lib
from endivestream.version import state as state_lib


class DeparturesTest(unittest.TestCase):
    def setUp(self):
        self.departures = departures_lib.Departures()

    def _depart(self, name, born):
        self.departures.apply(
            departures_lib.Depart(name=name, started_at_ms=born)
        )

    def test_the_latest_start_time_is_kept(self):
        """Guards against a repeated departure that erases the start time.

        It is committed by a leader with a report of the start time, then by
        one without, and finally, delayed, for an older start of the target.
        """
        self._depart("t1", 7)
        self._depart("t1", None)
        self._depart("t1", 3)
        self.assertEqual(self.departures.start_times_ms, {"t1": 7})

    def test_only_the_latest_departures_are_kept(self):
        for number in range(600):
            self._depart(f"t{number}", number)
        self.assertEqual(len(self.departures.start_times_ms), 512)
        self.assertNotIn("t0", self.departures.start_times_ms)
        self.assertEqual(self.departures.start_times_ms["t599"], 599)

    def test_the_latest_announcement_is_kept_over_a_snapshot(self):
        """Guards against a leader that takes an older report for a newer."""
        state = state_lib.State()
        for born, number in ((7, 3), (7, 2), (4, 9)):
            state.apply(
                1,
                departures_lib.Depart(
                    name="t1", started_at_ms=born, report_number=number
                ),
            )
        other = state_lib.State()
        other.restore(state.snapshot())
        self.assertEqual({"t1": (7, 3)}, other.departures.announcements)
        self.assertEqual({}, other.departures.start_times_ms)

    def test_departures_are_part_of_a_snapshot(self):
        """Guards against a replica without departures after a snapshot."""
        state = state_lib.State()
        state.apply(1, departures_lib.Depart(name="t1", started_at_ms=None))
        other = state_lib.State()
        other.restore(state.snapshot())
        self.assertEqual(other.departures.start_times_ms, {"t1": None})
