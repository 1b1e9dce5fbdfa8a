import unittest

from endivestream.request import unserved as unserved_lib
import hypothesis
from hypothesis import strategies as st

KEY = ("s", "m", "")
ADAPTER = ("s", "m", "a")


class UnservedModelsTest(unittest.TestCase):
    def setUp(self):
        self.unserved = unserved_lib.UnservedModels()

    def test_time_counts_from_the_first_missed_request(self):
        """Guards against a count that restarts with each caller.

        One caller disconnects and another arrives; the model is not served in
        between.
        """
        self.unserved.record_miss(KEY, 10.0)
        self.unserved.record_miss(KEY, 17.0)
        self.assertEqual(self.unserved.unserved_seconds(KEY, 18.0), 8.0)

    def test_the_count_restarts_after_service(self):
        self.unserved.record_miss(KEY, 10.0)
        self.unserved.record_service(KEY)
        self.assertEqual(self.unserved.unserved_seconds(KEY, 11.0), 0.0)
        self.unserved.record_miss(KEY, 12.0)
        self.assertEqual(self.unserved.unserved_seconds(KEY, 13.0), 1.0)

    def test_a_served_adapter_counts_as_service_of_its_model(self):
        for key in (KEY, ADAPTER):
            self.unserved.record_miss(key, 10.0)
        self.unserved.record_service(ADAPTER)
        self.assertEqual(self.unserved.unserved_seconds(KEY, 11.0), 0.0)

    def test_a_served_model_does_not_count_as_service_of_its_adapters(self):
        for key in (KEY, ADAPTER):
            self.unserved.record_miss(key, 10.0)
        self.unserved.record_service(KEY)
        self.assertEqual(self.unserved.unserved_seconds(ADAPTER, 11.0), 1.0)

    def test_models_without_recent_requests_count_as_served(self):
        self.unserved.record_miss(KEY, 10.0)
        self.assertEqual(self.unserved.unserved_seconds(KEY, 100.0), 0.0)

    def test_the_number_of_records_is_bounded(self):
        """Guards against memory filled by callers that name many models."""
        for number in range(20_000):
            self.unserved.record_miss(("s", f"m{number}", ""), number / 1e4)
        self.assertLess(len(self.unserved._records), 5000)

    @hypothesis.given(
        st.lists(st.tuples(st.booleans(), st.floats(0.0, 30.0)), max_size=30)
    )
    def test_seconds_count_since_the_last_service(self, steps):
        unserved = unserved_lib.UnservedModels()
        now = 0.0
        since = None
        for is_served, pause in steps:
            now += pause
            if is_served:
                unserved.record_service(KEY)
                since = None
            else:
                unserved.record_miss(KEY, now)
                since = now if since is None else since
            expected = 0.0 if since is None else now - since
            self.assertAlmostEqual(
                unserved.unserved_seconds(KEY, now), expected
            )


if __name__ == "__main__":
    unittest.main()
