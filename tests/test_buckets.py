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
        """Charges; what has its credit is set aside and admitted."""
        charge = buckets.Charge(name, tokens)
        answer = self.bucket.charge(charge, now=now, deadline=deadline)
        if answer == buckets.Wait(seconds=0.0):
            self._commit(now)
            admitted = [c.request for c in self.bucket.ready(now)]
            self.assertEqual(admitted, [name])
            return buckets.Admitted()
        return answer

    def _commit(self, now):
        portion = self.bucket.propose_portion(now)
        if portion is not None:
            self.bucket.confirm_portion(portion)

    def test_waits_when_the_refill_comes_in_time(self):
        self.assertEqual(self._charge("a", BURST), buckets.Admitted())
        self.assertEqual(self._charge("b", 200), buckets.Wait(seconds=0.5))
        self._commit(SECOND // 2 - 1)
        self.assertEqual(self.bucket.ready(SECOND // 2 - 1), [])
        self._commit(SECOND // 2)
        (admitted,) = self.bucket.ready(SECOND // 2)
        self.assertEqual(admitted.request, "b")

    def test_nothing_is_spent_that_was_not_set_aside(self):
        charge = buckets.Charge("a", 10)
        answer = self.bucket.charge(charge, now=0, deadline=SECOND)
        self.assertEqual(answer, buckets.Wait(seconds=0.0))
        self.assertEqual(self.bucket.ready(0), [])
        portion = self.bucket.propose_portion(0)
        self.assertEqual(self.bucket.ready(0), [])
        self.bucket.drop_portion(portion)
        self.assertEqual(self.bucket.ready(0), [])
        self._commit(0)
        self.assertEqual(self.bucket.ready(0), [charge])

    def test_refuses_at_once_when_it_comes_too_late(self):
        self._charge("a", BURST)
        answer = self._charge("b", 500, deadline=SECOND)
        self.assertEqual(answer, buckets.TooLate(seconds=1.25))
        self.assertEqual(self.bucket.waiting, 0)

    def test_cost_above_the_burst_never_fits(self):
        answer = self._charge("a", BURST + 1)
        self.assertEqual(answer, buckets.TooLarge(burst=BURST))

    def test_small_charge_does_not_overtake_a_waiting_one(self):
        self._charge("a", BURST - 10)
        self.assertIsInstance(self._charge("b", 100), buckets.Wait)
        self.assertIsInstance(self._charge("c", 1), buckets.Wait)

    def test_second_settlement_gives_nothing(self):
        self._charge("a", 400)
        self.assertEqual(self.bucket.settle("a", used=100, now=0), 300)
        self.assertEqual(self.bucket.settle("a", used=0, now=0), 0)
        self.assertEqual(self.bucket.level(0), BURST - 100)

    def test_refund_does_not_lift_the_level_above_the_burst(self):
        self._charge("a", 400)
        self.assertEqual(self.bucket.level(8 * SECOND), BURST)
        self.bucket.settle("a", used=0, now=8 * SECOND)
        self.assertEqual(self.bucket.level(8 * SECOND), BURST)

    def test_refund_does_not_grow_a_portion_past_its_size(self):
        """The next owner may have everything but the portion's size.

        A charge from before the portion is given back; the bucket fills; the
        owner spends what it has and dies, the next one has the rest.
        """
        self._charge("a", 100)
        self._charge("b", 350)
        size = self.bucket.propose_portion(0)
        self.assertIsNotNone(size)
        self.bucket.confirm_portion(size)
        self.bucket.settle("a", used=0, now=0)
        self.assertEqual(self.bucket.portion, size.size / SECOND)

    def test_empty_bucket_does_not_commit_every_token(self):
        """A team over its rate costs few commits, not one after another."""
        self._charge("a", BURST)
        self.bucket.charge(
            buckets.Charge("b", 900), now=0, deadline=100 * SECOND
        )
        commits = 0
        for millis in range(0, 2000, 5):
            portion = self.bucket.propose_portion(millis * 1000)
            if portion is not None:
                self.bucket.confirm_portion(portion)
                commits += 1
        self.assertLessEqual(commits, 8)

    def test_changed_burst_needs_a_new_portion(self):
        """A portion of the old burst beside a new one would exceed both."""
        self._charge("a", 10)
        self.assertGreater(self.bucket.portion, 0)
        late = self.bucket.propose_portion(0)
        self.bucket.change(rate=RATE, burst=500, now=0)
        if late is not None:
            self.bucket.confirm_portion(late)
        self.assertEqual(self.bucket.portion, 0)

    def test_lower_burst_drops_what_can_never_fit(self):
        self._charge("a", BURST)
        self._charge("b", 900)
        (dropped,) = self.bucket.change(rate=RATE, burst=500, now=0)
        self.assertEqual(dropped.request, "b")
        self.assertIsNone(self.bucket.next_ready(0))


class _Run:
    """An owner of one bucket, the log, and callers; driven by one seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0
        self.bucket = buckets.Bucket(rate=RATE, burst=BURST, now=0)
        self.names = 0
        self.open = {}
        self.waiting = {}
        self.events = []
        self.proposed = None
        self.logged = None

    def _admit(self, name, tokens):
        self.open[name] = tokens
        self.events.append((self.now, tokens))

    def step(self):
        rng = self.rng
        match rng.choices(
            ("pass", "charge", "greed", "again", "settle", "cancel", "log")
            + ("die",),
            (15, 30, 15, 3, 20, 3, 30, 5),
        )[0]:
            case "pass":
                self.now += rng.choice((1, SECOND // 10, SECOND, 8 * SECOND))
            case "charge":
                self._charge()
            case "greed":
                self._greed()
            case "again" if self.open:
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
            case "log":
                self._log()
            case "die":
                self._die()
        for charge in self.bucket.ready(self.now):
            self._admit(charge.request, self.waiting.pop(charge.request))
        if self.proposed is None:
            self.proposed = self.bucket.propose_portion(self.now)
        assert self.bucket.waiting == len(self.waiting)
        assert self.bucket.open == len(self.open)

    def _charge(self):
        self.names += 1
        name = str(self.names)
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

    def _greed(self):
        """Takes all that can be had at once, while portions come and go."""
        for _ in range(60):
            self.names += 1
            charge = buckets.Charge(str(self.names), 25)
            answer = self.bucket.charge(charge, now=self.now, deadline=self.now)
            if answer == buckets.Admitted():
                self._admit(charge.request, 25)
            elif isinstance(answer, buckets.Wait):
                self.bucket.cancel(charge.request)
            if self.proposed is None:
                self.proposed = self.bucket.propose_portion(self.now)
            if self.rng.random() < 0.2:
                self._log()

    def _settle(self, name):
        used = self.rng.choice((0, 1, 50, self.open[name], 2 * BURST))
        refund = self.bucket.settle(name, used=used, now=self.now)
        assert refund == max(0, self.open.pop(name) - used)
        assert self.bucket.settle(name, used=0, now=self.now) == 0
        self.events.append((self.now, -refund))

    def _log(self):
        """What was proposed is committed, or lost."""
        if self.proposed is None:
            return
        if self.rng.random() < 0.9:
            self.logged = (self.proposed, self.now)
            self.bucket.confirm_portion(self.proposed)
        else:
            self.bucket.drop_portion(self.proposed)
        self.proposed = None

    def _die(self):
        """The next owner goes on from the log.

        What was proposed last may have been committed without the dead
        owner's knowing; what waited asks again.
        """
        if self.proposed is not None and self.rng.random() < 0.5:
            self.logged = (self.proposed, self.now)
        level = 0
        if self.logged is not None:
            portion, heard = self.logged
            refilled = portion.rest + RATE * (self.now - heard)
            level = min(refilled, portion.most)
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
        """A team never gets more than its rate and burst, whoever dies.

        Charges, repeats, late and doubled settlements, cancellations,
        portions committed, late or lost, and owners that die come in any
        order. In every window what was admitted, less what was given back in
        it, is at most burst + rate x window.
        """
        run = _Run(seed)
        for _ in range(120):
            run.step()
        run.check_windows()
