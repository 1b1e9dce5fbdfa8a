import unittest

from endivestream.request import demand as demand_lib
import hypothesis
from hypothesis import strategies as st

KEY = ("s", "m", "")


class RequestRatesTest(unittest.TestCase):
    def _rate_after(self, times, now):
        meters = demand_lib.RequestRates(now=0.0)
        for when in times:
            meters.count(KEY, when)
        return meters.rates(now).get(KEY, 0.0)

    def test_constant_rate_is_measured_from_the_first_second_on(self):
        """Guards against rates that are too low after a start.

        Engines of a model fill up immediately. An average that starts at zero
        takes four seconds to reach two thirds of the rate.
        """
        for seconds in (1, 4, 30):
            times = [n / 10 for n in range(10 * seconds)]
            rate = self._rate_after(times, float(seconds))
            self.assertAlmostEqual(rate, 10.0, delta=0.5)

    def test_rate_without_recent_requests_is_dropped(self):
        self.assertEqual(self._rate_after([1.0, 2.0], 60.0), 0.0)

    @hypothesis.given(
        st.lists(st.floats(0.0, 50.0), max_size=50), st.floats(50.0, 90.0)
    )
    def test_rate_is_bounded_by_the_number_of_requests(self, times, now):
        """Guards against plans from rates that are negative or too high."""
        rate = self._rate_after(sorted(times), now)
        self.assertGreaterEqual(rate, 0.0)
        self.assertLessEqual(rate, len(times))
