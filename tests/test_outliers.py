import unittest

from endivestream.request import outliers as outliers_lib
from endivestream.request import prefixes as prefixes_lib
from endivestream.request import scheduler as scheduler_lib
import hypothesis
from hypothesis import strategies as st


class OutliersTest(unittest.TestCase):
    def setUp(self):
        self.outliers = outliers_lib.Outliers()

    def _fail(self, target, times=3, now=0.0, of=6):
        for _ in range(times):
            ejected = self.outliers.record_attempt(
                target, failed=True, now=now, pool_size=of
            )
        return ejected

    def test_three_consecutive_failures_eject_until_a_probe_succeeds(self):
        """Guards against a retry per caller for a target that always fails."""
        self.assertFalse(self._fail("t", 2))
        self.assertTrue(self.outliers.is_allowed("t", 0.0))
        self.assertTrue(self._fail("t", 1))
        self.assertFalse(self.outliers.is_allowed("t", 0.9))
        self.assertTrue(self.outliers.is_allowed("t", 1.0))
        self.outliers.record_grant("t", 1.0)
        self.assertFalse(self.outliers.is_allowed("t", 1.1))
        self.assertTrue(self._fail("t", 1, now=1.2))
        self.assertFalse(self.outliers.is_allowed("t", 3.1))
        self.outliers.record_attempt("t", failed=False, now=3.3, pool_size=6)
        self.assertTrue(self.outliers.is_allowed("t", 3.3))

    def test_success_resets_the_failure_count(self):
        for _ in range(5):
            self._fail("t", 2)
            self.outliers.record_attempt(
                "t", failed=False, now=0.0, pool_size=6
            )
        self.assertTrue(self.outliers.is_allowed("t", 0.0))

    def test_at_most_a_third_of_the_targets_is_ejected(self):
        """Guards against few remaining targets if all targets fail."""
        for name in "abcdef":
            self._fail(name)
        ejected_targets = [
            n for n in "abcdef" if not self.outliers.is_allowed(n, 0.0)
        ]
        self.assertEqual(ejected_targets, ["a", "b"])


class PrefixesTest(unittest.TestCase):
    @hypothesis.given(st.binary(max_size=2000), st.binary(max_size=2000))
    def test_equal_hashes_mean_equal_prefixes(self, one, other):
        size = prefixes_lib.BLOCK_BYTES
        shared = 0
        for start in range(0, min(len(one), len(other)) - size + 1, size):
            if one[: start + size] != other[: start + size]:
                break
            shared += 1
        prefixes = prefixes_lib.Prefixes()
        prefixes.note("t", prefixes_lib.block_hashes(one))
        covered = prefixes.covered("t", prefixes_lib.block_hashes(other))
        self.assertEqual(covered, shared)

    def test_hints_per_target_are_bounded(self):
        prefixes = prefixes_lib.Prefixes()
        prefixes.note("t", range(10_000))
        self.assertEqual(
            len(prefixes._cached_blocks["t"]),
            prefixes_lib._MAX_BLOCKS_PER_TARGET,
        )


class RoutingTest(unittest.TestCase):
    def setUp(self):
        self.scheduler = scheduler_lib.Scheduler()
        for name in ("t1", "t2", "t3"):
            self.scheduler.upsert_target(
                scheduler_lib.Target(name, frozenset("m"), 8, 0)
            )
        self.count = 0

    def _ask(self, blocks=()):
        self.count += 1
        name = str(self.count)
        ask = scheduler_lib.SlotRequest(
            name, "team", 1, "m", 80, 100.0, frozenset(), blocks
        )
        return self.scheduler.request_slot(ask, now=0.0)

    def test_request_goes_to_the_target_that_cached_its_prefix(self):
        first = self._ask((1, 2, 3, 4))
        self.scheduler.release(first.request)
        self._ask((9,))
        second = self._ask((1, 2, 3, 5))
        self.assertEqual(second.target, first.target)
        self.assertEqual(second.reason, "prefix_hit")

    def test_affinity_never_overloads_a_target(self):
        """Guards against queueing on one target for a popular prefix."""
        targets = [self._ask((1, 2, 3, 4)).target for _ in range(12)]
        self.assertLessEqual(max(map(targets.count, targets)), 6)

    def test_restarted_target_has_an_empty_cache(self):
        first = self._ask((1, 2, 3, 4))
        self.scheduler.release(first.request)
        self.scheduler.clear_history(first.target)
        self.assertEqual(self._ask((1, 2, 3, 4)).reason, "least_loaded")

    def test_target_that_fails_all_requests_gets_no_more(self):
        for _ in range(3):
            grant = self._ask()
            self.assertEqual(grant.target, "t1")
            self.scheduler.record_outcome(grant.request, failed=True, now=0.0)
            self.scheduler.release(grant.request)
        self.assertEqual(self._ask().target, "t2")
