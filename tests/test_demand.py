import unittest

from endivestream.request import demand as demand_lib
import hypothesis
from hypothesis import strategies as st

KEY = ("s", "m", "")


class MetersTest(unittest.TestCase):
    def _after(self, times, now):
        meters = demand_lib.Meters(now=0.0)
        for when in times:
            meters.count(KEY, when)
        return meters.rates(now).get(KEY, 0.0)

    def test_a_steady_rate_is_found_from_the_first_second_on(self):
        """A model's engines fill up at once, so its rate must be known then.

        An average that starts at nothing takes four seconds to show two
        thirds of it.
        """
        for seconds in (1, 4, 30):
            times = [n / 10 for n in range(10 * seconds)]
            rate = self._after(times, float(seconds))
            self.assertAlmostEqual(rate, 10.0, delta=0.5)

    def test_what_is_no_longer_asked_for_is_forgotten(self):
        self.assertEqual(self._after([1.0, 2.0], 60.0), 0.0)

    @hypothesis.given(
        st.lists(st.floats(0.0, 50.0), max_size=50), st.floats(50.0, 90.0)
    )
    def test_no_rate_is_above_what_came(self, times, now):
        """A rate below zero or above all requests at once plans nonsense."""
        rate = self._after(sorted(times), now)
        self.assertGreaterEqual(rate, 0.0)
        self.assertLessEqual(rate, len(times))
