import unittest

from endivestream.version import ledger as ledger_lib
from endivestream.version import placement
from endivestream.version import rules as rules_lib
import hypothesis
from hypothesis import strategies as st


def _register(name, incarnation=1, memory=100, domain="d1", loaded=None):
    return ledger_lib.RegisterTarget(
        target=name,
        incarnation=incarnation,
        domain=domain,
        memory=memory,
        checks_fencing=True,
        loaded=loaded or {},
    )


def _intend(name, model, memory, incarnation=1):
    return ledger_lib.ReserveLoad(
        target=name, incarnation=incarnation, model=model, memory=memory
    )


def _model(name, memory, copies=1):
    return rules_lib.Model(name, memory, copies, 16)


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = ledger_lib.MemoryLedger()
        self.ledger.apply(1, _register("t"))

    def test_two_planners_cannot_overcommit_a_target(self):
        """Guards against orders that together exceed a target's memory.

        Both planners plan from the same state, 100 MiB free. The second order
        is refused, and the reason states both sizes.
        """
        first = self.ledger.apply(2, _intend("t", "a", 60))
        second = self.ledger.apply(3, _intend("t", "b", 60))
        self.assertEqual(first, ledger_lib.MemoryReserved(fencing_token=2))
        self.assertIn("60 MiB loaded or reserved + 60 MiB", second.reason)

    def test_repeated_order_keeps_its_fencing_token(self):
        self.ledger.apply(2, _intend("t", "a", 60))
        repeated = self.ledger.apply(7, _intend("t", "a", 60))
        self.assertEqual(repeated, ledger_lib.MemoryReserved(fencing_token=2))

    def test_orders_for_an_older_incarnation_are_refused(self):
        self.ledger.apply(2, _register("t", incarnation=2))
        answer = self.ledger.apply(3, _intend("t", "a", 60))
        self.assertIn("not the current one, 2", answer.reason)

    @hypothesis.given(st.data())
    def test_memory_is_never_overcommitted(self, data):
        ledger = ledger_lib.MemoryLedger()
        names = st.sampled_from(["t1", "t2"])
        models = st.sampled_from("abcd")
        for index in range(1, data.draw(st.integers(1, 40))):
            incarnation = data.draw(st.integers(1, 3))
            match data.draw(st.sampled_from(["register", "load", "confirm"])):
                case "register":
                    command = _register(
                        data.draw(names),
                        incarnation,
                        loaded={"a": data.draw(st.integers(1, 120))},
                    )
                case "load":
                    command = _intend(
                        data.draw(names),
                        data.draw(models),
                        data.draw(st.integers(1, 80)),
                        incarnation,
                    )
                case _:
                    command = ledger_lib.ConfirmLoad(
                        target=data.draw(names),
                        incarnation=incarnation,
                        model=data.draw(models),
                    )
            ledger.apply(index, command)
            for target in ledger.targets.values():
                self.assertLessEqual(target.reserved_mib, target.memory)


class PlanTest(unittest.TestCase):
    def _plan(
        self, models, ledger, live=("t1", "t2"), max_loads=100, max_new=100
    ):
        return placement.plan(
            {model.name: model for model in models},
            ledger.targets,
            live=live,
            max_loads=max_loads,
            max_new=max_new,
        )

    def setUp(self):
        self.ledger = ledger_lib.MemoryLedger()
        self.ledger.apply(1, _register("t1", domain="d1"))
        self.ledger.apply(2, _register("t2", domain="d2"))

    def test_models_without_a_copy_come_first(self):
        self.ledger.apply(3, _intend("t1", "a", 10))
        plan = self._plan([_model("a", 10, 2), _model("b", 10)], self.ledger)
        self.assertEqual([load.model for load in plan.loads], ["b", "a"])

    def test_copies_go_to_different_domains(self):
        self.ledger.apply(3, _register("t3", domain="d1", memory=1000))
        plan = self._plan(
            [_model("a", 10, 2)], self.ledger, live=("t1", "t2", "t3")
        )
        self.assertEqual({load.target for load in plan.loads}, {"t3", "t2"})

    def test_unconfirmed_orders_count_towards_the_limit(self):
        self.ledger.apply(3, _intend("t1", "a", 10))
        plan = self._plan(
            [_model("b", 1), _model("c", 1)], self.ledger, max_loads=2
        )
        self.assertEqual(len(plan.loads), 1)

    def test_the_rate_of_the_store_limits_new_orders(self):
        models = [_model(name, 1) for name in "abcd"]
        plan = self._plan(models, self.ledger, max_new=3)
        self.assertEqual(len(plan.loads), 3)

    @hypothesis.given(
        st.lists(st.integers(0, 3000), max_size=60),
        st.sampled_from([0.5, 2.5, 3.0]),
    )
    def test_pace_keeps_to_the_rate_in_every_window(self, steps, rate):
        """Loads in any window stay within the rate plus one second's worth."""
        pace = placement.LoadRateLimiter(rate=rate, now=0.0)
        now, starts = 0.0, []
        for milliseconds in steps:
            now += milliseconds / 1000
            loads = pace.available(now)
            pace.take(loads)
            starts += [now] * loads
        for first, window_start in enumerate(starts):
            for last in range(first, len(starts)):
                count = last - first + 1
                window_seconds = starts[last] - window_start
                self.assertLessEqual(
                    count, max(1.0, rate) + rate * window_seconds + 1e-6
                )

    def test_a_copy_that_fits_on_no_target_is_reported_with_its_size(self):
        plan = self._plan([_model("big", 500)], self.ledger)
        self.assertEqual(plan.unplaced, [placement.Unplaced("big", 500, 100)])

    @hypothesis.given(
        st.lists(st.integers(1, 90), min_size=1, max_size=12),
        st.lists(st.integers(20, 200), min_size=1, max_size=6),
    )
    def test_every_planned_load_is_accepted_by_the_ledger(self, models, sizes):
        ledger = ledger_lib.MemoryLedger()
        for number, memory in enumerate(sizes):
            ledger.apply(
                number + 1,
                _register(f"t{number}", memory=memory, domain=f"d{number % 2}"),
            )
        plan = self._plan(
            [_model(f"m{n}", memory, 2) for n, memory in enumerate(models)],
            ledger,
            live=list(ledger.targets),
        )
        for index, load in enumerate(plan.loads, start=100):
            answer = ledger.apply(
                index, _intend(load.target, load.model, load.memory)
            )
            self.assertIsInstance(answer, ledger_lib.MemoryReserved)
