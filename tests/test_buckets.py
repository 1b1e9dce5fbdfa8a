import random
import unittest

from endivestream.request import buckets
import hypothesis
from hypothesis import strategies as st

RATE, BURST = 400, 1000
SECOND = 1_000_000


class BucketTest(unittest.TestCase):
    def setUp(self):
        self.bucket = buckets.Bucket(rate=RATE, burst=BURST, now=0)

    def _charge(self, name, tokens, *, now=0, deadline=100 * SECOND):
        """Charges; commits a reserve and admits if the credit is available."""
        charge = buckets.Charge(name, tokens)
        answer = self.bucket.charge(charge, now=now, deadline=deadline)
        if answer == buckets.Wait(seconds=0.0):
            self._commit(now)
            admitted = [c.request for c in self.bucket.ready(now)]
            self.assertEqual(admitted, [name])
            return buckets.Admitted()
        return answer

    def _commit(self, now):
        reserved = self.bucket.propose_reserve(now)
        if reserved is not None:
            self.bucket.confirm_reserve(reserved)

    def test_charge_waits_if_the_refill_meets_the_deadline(self):
        self.assertEqual(self._charge("a", BURST), buckets.Admitted())
        self.assertEqual(self._charge("b", 200), buckets.Wait(seconds=0.5))
        self._commit(SECOND // 2 - 1)
        self.assertEqual(self.bucket.ready(SECOND // 2 - 1), [])
        self._commit(SECOND // 2)
        (admitted,) = self.bucket.ready(SECOND // 2)
        self.assertEqual(admitted.request, "b")

    def test_credit_outside_a_committed_share_is_not_spent(self):
        charge = buckets.Charge("a", 10)
        answer = self.bucket.charge(charge, now=0, deadline=SECOND)
        self.assertEqual(answer, buckets.Wait(seconds=0.0))
        self.assertEqual(self.bucket.ready(0), [])
        reserved = self.bucket.propose_reserve(0)
        self.assertEqual(self.bucket.ready(0), [])
        self.bucket.drop_reserve(reserved)
        self.assertEqual(self.bucket.ready(0), [])
        self._commit(0)
        self.assertEqual(self.bucket.ready(0), [charge])

    def test_charge_is_refused_if_the_refill_misses_the_deadline(self):
        self._charge("a", BURST)
        answer = self._charge("b", 500, deadline=SECOND)
        self.assertEqual(answer, buckets.TooLate(seconds=1.25))
        self.assertEqual(self.bucket.waiting, 0)

    def test_cost_above_the_burst_is_refused(self):
        answer = self._charge("a", BURST + 1)
        self.assertEqual(answer, buckets.TooLarge(burst=BURST))

    def test_small_charge_does_not_overtake_a_waiting_one(self):
        self._charge("a", BURST - 10)
        self.assertIsInstance(self._charge("b", 100), buckets.Wait)
        self.assertIsInstance(self._charge("c", 1), buckets.Wait)

    def test_second_settlement_refunds_nothing(self):
        self._charge("a", 400)
        self.assertEqual(self.bucket.settle("a", used=100, now=0), 300)
        self.assertEqual(self.bucket.settle("a", used=0, now=0), 0)
        self.assertEqual(self.bucket.level(0), BURST - 100)

    def test_refund_does_not_raise_the_level_above_the_burst(self):
        self._charge("a", 400)
        self.assertEqual(self.bucket.level(8 * SECOND), BURST)
        self.bucket.settle("a", used=0, now=8 * SECOND)
        self.assertEqual(self.bucket.level(8 * SECOND), BURST)

    def test_refund_does_not_raise_a_reserve_above_its_size(self):
        """Guards against granting the same credit twice after a failover.

        A charge from before the reserve is refunded and the bucket fills. If
        the owner spent more than the size of the reserve and failed, the next
        owner would grant the rest as well.
        """
        self._charge("a", 100)
        self._charge("b", 350)
        reserved = self.bucket.propose_reserve(0)
        self.assertIsNotNone(reserved)
        self.bucket.confirm_reserve(reserved)
        self.bucket.settle("a", used=0, now=0)
        self.assertEqual(self.bucket.reserve, reserved.size / SECOND)

    def test_empty_bucket_does_not_commit_every_token(self):
        """Guards against frequent commits for a team that exceeds its rate."""
        self._charge("a", BURST)
        self.bucket.charge(
            buckets.Charge("b", 900), now=0, deadline=100 * SECOND
        )
        commits = 0
        for millis in range(0, 2000, 5):
            reserved = self.bucket.propose_reserve(millis * 1000)
            if reserved is not None:
                self.bucket.confirm_reserve(reserved)
                commits += 1
        self.assertLessEqual(commits, 8)

    def test_changed_burst_needs_a_new_reserve(self):
        """Guards against reserves of the old and new burst that add up."""
        self._charge("a", 10)
        self.assertGreater(self.bucket.reserve, 0)
        pending = self.bucket.propose_reserve(0)
        self.bucket.change(rate=RATE, burst=500, now=0)
        if pending is not None:
            self.bucket.confirm_reserve(pending)
        self.assertEqual(self.bucket.reserve, 0)

    def test_lower_burst_drops_charges_above_it(self):
        self._charge("a", BURST)
        self._charge("b", 900)
        (dropped,) = self.bucket.change(rate=RATE, burst=500, now=0)
        self.assertEqual(dropped.request, "b")
        self.assertIsNone(self.bucket.next_ready(0))


class _Simulation:
    """Simulates the owner of a bucket, the log and callers from one seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0
        self.bucket = buckets.Bucket(rate=RATE, burst=BURST, now=0)
        self.charges = 0
        self.open = {}
        self.waiting = {}
        self.events = []
        self.proposed = None
        self.committed = None

    def _admit(self, name, tokens):
        self.open[name] = tokens
        self.events.append((self.now, tokens))

    def step(self):
        rng = self.rng
        match rng.choices(
            (
                "pass",
                "charge",
                "charge_all",
                "repeat",
                "settle",
                "cancel",
                "commit_or_drop",
            )
            + ("fail_over",),
            (15, 30, 15, 3, 20, 3, 30, 5),
        )[0]:
            case "pass":
                self.now += rng.choice((1, SECOND // 10, SECOND, 8 * SECOND))
            case "charge":
                self._charge()
            case "charge_all":
                self._charge_all()
            case "repeat" if self.open:
                name = rng.choice(list(self.open))
                charge = buckets.Charge(name, self.open[name])
                answer = self.bucket.charge(
                    charge, now=self.now, deadline=self.now
                )
                assert answer == buckets.Admitted()
            case "settle" if self.open:
                self._settle(rng.choice(list(self.open)))
            case "cancel" if self.waiting:
                name = rng.choice(list(self.waiting))
                self.bucket.cancel(name)
                del self.waiting[name]
            case "commit_or_drop":
                self._commit_or_drop()
            case "fail_over":
                self._fail_over()
        for charge in self.bucket.ready(self.now):
            self._admit(charge.request, self.waiting.pop(charge.request))
        if self.proposed is None:
            self.proposed = self.bucket.propose_reserve(self.now)
        assert self.bucket.waiting == len(self.waiting)
        assert self.bucket.open == len(self.open)

    def _charge(self):
        self.charges += 1
        name = str(self.charges)
        tokens = self.rng.choice((1, 30, 100, 400, BURST, BURST + 1))
        patience = self.rng.choice((0, SECOND, 30 * SECOND))
        charge = buckets.Charge(name, tokens)
        match self.bucket.charge(
            charge, now=self.now, deadline=self.now + patience
        ):
            case buckets.Admitted():
                self._admit(name, tokens)
            case buckets.Wait(seconds=seconds):
                assert seconds * SECOND <= patience + 1
                self.waiting[name] = tokens
            case buckets.TooLate(seconds=seconds):
                assert seconds * SECOND > patience - 1
            case buckets.TooLarge():
                assert tokens > BURST

    def _charge_all(self):
        """Takes all available credit while reserves are committed."""
        for _ in range(60):
            self.charges += 1
            charge = buckets.Charge(str(self.charges), 25)
            answer = self.bucket.charge(charge, now=self.now, deadline=self.now)
            if answer == buckets.Admitted():
                self._admit(charge.request, 25)
            elif isinstance(answer, buckets.Wait):
                self.bucket.cancel(charge.request)
            if self.proposed is None:
                self.proposed = self.bucket.propose_reserve(self.now)
            if self.rng.random() < 0.2:
                self._commit_or_drop()

    def _settle(self, name):
        used = self.rng.choice((0, 1, 50, self.open[name], 2 * BURST))
        refund = self.bucket.settle(name, used=used, now=self.now)
        assert refund == max(0, self.open.pop(name) - used)
        assert self.bucket.settle(name, used=0, now=self.now) == 0
        self.events.append((self.now, -refund))

    def _commit_or_drop(self):
        """Commits or drops the proposed reserve."""
        if self.proposed is None:
            return
        if self.rng.random() < 0.9:
            self.committed = (self.proposed, self.now)
            self.bucket.confirm_reserve(self.proposed)
        else:
            self.bucket.drop_reserve(self.proposed)
        self.proposed = None

    def _fail_over(self):
        """Replaces the owner by one that continues from the log.

        The last proposal may have been committed although the failed owner
        received no confirmation. Callers of waiting charges charge again.
        """
        if self.proposed is not None and self.rng.random() < 0.5:
            self.committed = (self.proposed, self.now)
        level = 0
        if self.committed is not None:
            reserved, committed_at = self.committed
            refilled = reserved.level_without_reserve + RATE * (
                self.now - committed_at
            )
            level = min(refilled, reserved.max_level)
        self.bucket = buckets.Bucket(
            rate=RATE, burst=BURST, now=self.now, level=level
        )
        self.proposed = None
        self.open.clear()
        self.waiting.clear()

    def check_windows(self):
        for start in range(len(self.events)):
            since = self.events[start][0]
            total = 0
            for at, tokens in self.events[start:]:
                total += tokens
                bound = BURST * SECOND + RATE * (at - since)
                assert total * SECOND <= bound, (since, at, total)


class WindowTest(unittest.TestCase):
    @hypothesis.settings(max_examples=400)
    @hypothesis.given(st.integers(0, 2**32))
    def test_no_window_gives_more_than_rate_and_burst(self, seed):
        """Guards against granting more than rate and burst after a failover.

        Charges, repeated charges, late and duplicate settlements,
        cancellations, reserves that are committed, late or lost, and failures
        of the owner occur in any order. In every time window the admitted
        minus the refunded credit is at most burst + rate x window.
        """
        simulation = _Simulation(seed)
        for _ in range(120):
            simulation.step()
        simulation.check_windows()
