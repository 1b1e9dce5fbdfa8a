import unittest

from endivestream import limit_messages
from endivestream.request import rate_limits
import hypothesis
from hypothesis import strategies as st


def said(rate, age=0.0, born=1, target="t1"):
    return limit_messages.RateLimit(target, born, rate, age)


class ParseTest(unittest.TestCase):
    def test_valid_limits_are_parsed(self):
        for text, rate in (("1.5", 1.5), ("0", 0.0), ("1e9", 1e9), (" 2 ", 2)):
            self.assertEqual(rate_limits.parse(text), rate, text)

    def test_invalid_limits_are_rejected(self):
        """Guards against limits of NaN or below zero, which limit nothing."""
        texts = ("", "soon", "nan", "inf", "-1", "1,5", "1e999", "1" * 40)
        for text in texts:
            self.assertIsNone(rate_limits.parse(text), text)

    # Guards against exceptions and invalid rates, whatever a header contains.
    @hypothesis.given(st.text(max_size=40))
    def test_any_text(self, text):
        rate = rate_limits.parse(text)
        self.assertTrue(rate is None or 0 <= rate < float("inf"))


class RateLimitsTest(unittest.TestCase):
    def setUp(self):
        self.limits = rate_limits.RateLimits()

    def test_a_limit_follows_the_latest_answer(self):
        for now, rate in ((1.0, 1.5), (2.0, 3.0), (3.0, 0.0), (4.0, None)):
            self.assertTrue(self.limits.record_answer("t1", 1, rate, now))
            self.assertEqual(self.limits.rate("t1", 1), rate)
        self.assertFalse(self.limits.record_answer("t1", 1, None, 5.0))

    def test_a_restarted_target_does_not_inherit_a_limit(self):
        """Guards against limits that outlive the process that reported them."""
        self.limits.record_answer("t1", 1, 1.5, 1.0)
        self.assertIsNone(self.limits.rate("t1", 2))
        self.limits.record_answer("t1", 2, 4.0, 2.0)
        self.assertFalse(self.limits.merge([said(1.5)], 3.0))
        self.assertEqual(self.limits.rate("t1", 2), 4.0)

    def test_the_limit_of_an_earlier_start_is_removed(self):
        self.limits.record_answer("t1", 1, 1.5, 1.0)
        self.assertFalse(self.limits.remove_older_starts("t1", 1))
        self.assertTrue(self.limits.remove_older_starts("t1", 2))
        self.assertEqual({}, self.limits.rates)

    def test_a_late_report_does_not_restore_an_ended_limit(self):
        self.limits.record_answer("t1", 1, 1.5, 1.0)
        self.limits.record_answer("t1", 1, None, 5.0)
        self.assertEqual([], self.limits.merge([said(1.5, age=2.0)], 6.0))
        self.assertIsNone(self.limits.rate("t1", 1))

    def test_targets_without_a_limit_take_no_memory(self):
        for number in range(100):
            self.limits.record_answer(f"t{number}", 1, None, 1.0)
        self.assertEqual((), self.limits.records(2.0))

    def test_limits_of_removed_targets_are_removed(self):
        self.limits.record_answer("t1", 1, 1.5, 1.0)
        self.limits.record_answer("t2", 1, 1.5, 1.0)
        self.limits.remove_stale({"t1"}, 100.0)
        self.assertEqual({"t1": 1.5}, self.limits.rates)

    # Guards against hosts whose limits differ permanently because reports reach
    # them in different orders.
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(1, 2),
                st.sampled_from([None, 0.0, 1.5, 7.0]),
                st.floats(0.0, 50.0),
            ),
            min_size=1,
            max_size=8,
            unique_by=lambda each: each[2],
        ),
        st.randoms(use_true_random=False),
    )
    def test_hosts_agree_whatever_the_order(self, records, chance):
        """Guards against hosts that keep different limits for good."""
        now = 50.0
        limits = [said(rate, now - at, born) for born, rate, at in records]
        views = []
        for _ in range(3):
            chance.shuffle(limits)
            view = rate_limits.RateLimits()
            for each in limits:
                view.merge([each], now)
            views.append(view.rates)
        _, rate, _ = max(records, key=lambda each: (each[0], each[2]))
        self.assertEqual([{"t1": rate} if rate is not None else {}] * 3, views)


if __name__ == "__main__":
    unittest.main()
