import unittest

from endivestream.version import document as document_lib
from endivestream.version import plan
from endivestream.version import plan_types
import hypothesis
from hypothesis import strategies as st

SIZE = 70.0


def engine(models="abcdefgh", places=3, adapters=0):
    return document_lib.Engine(
        slots=64,
        cache_tokens=100_000,
        weights_mb=SIZE * places + 10 + adapters,
        adapter_places=adapters,
        loads_per_second=3.0,
        models=tuple(
            document_lib.Model(
                name=name,
                weights_mb=SIZE,
                load_seconds=4.0,
                disk_seconds=0.8,
                memory_seconds=0.6,
                adapter_mb=1.0 if adapters else 0.0,
            )
            for name in models
        ),
    )


def place(target, loaded="", **fields):
    given = {
        "domain": "a",
        "coming": "",
        "busy": False,
        "usable": True,
        "in_memory": (),
        "on_disk": tuple(loaded),
        "running": {},
    } | fields
    return plan_types.Place(target=target, loaded=tuple(loaded), **given)


def want(rate=0.0, waiting=0, objective=0.8, unserved=0.0):
    return plan_types.Want(rate, waiting, objective, unserved)


def plan_round(places, wants, store_loads=10, **fields):
    return plan.plan(
        engine=fields.pop("engine", engine()),
        places=places,
        wants=wants,
        store_loads=store_loads,
        **fields,
    )


def steps(places, wants, store_loads=10, **fields):
    return plan_round(places, wants, store_loads, **fields).steps


class UnplacedTest(unittest.TestCase):
    """Each obstacle to a load is named, so that logs can tell them apart."""

    def _obstacle(self, places, wants, **fields):
        left_out = plan_round(places, wants, complete=False, **fields).unplaced
        return [(each.model, each.obstacle) for each in left_out]

    def test_obstacles_are_named(self):
        waits = {"g": want(0.2, 1, 4.0)}
        busy = {name: want(9.0) for name in "abcdef"} | waits
        cases = {
            "engines_busy": ([place("t1", "abc", busy=True)], waits, {}),
            "engines_kept": (
                [place(f"t{n}", "abc", busy=n > 0) for n in range(4)],
                waits,
                {},
            ),
            "store_rate": ([place("t1", "abc")], waits, {"store_loads": 0}),
            "home_busy": (
                [
                    place("t1", "abc"),
                    place("t2", "def", on_disk=("g",), busy=True),
                ],
                waits,
                {},
            ),
            "displaces_more": (
                [place("t1", "abc", on_disk=("g",))],
                busy,
                {},
            ),
        }
        for obstacle, (places, wants, fields) in cases.items():
            with self.subTest(obstacle):
                found = self._obstacle(places, wants, **fields)
                self.assertEqual([("g", obstacle)], found)


class MissingTest(unittest.TestCase):
    def test_a_missing_model_comes_from_a_disk_that_has_it(self):
        """A request for a rare model waits one second and not four."""
        places = [
            place("t1", "abc"),
            place("t2", "def", on_disk=("g", "d", "e", "f")),
        ]
        made = steps(places, {"g": want(1.0, 2, 4.0)}, complete=False)
        self.assertEqual([s.target for s in made], ["t2"])
        self.assertFalse(made[0].from_store)

    def test_the_store_is_not_asked_while_some_disk_has_it(self):
        """The engine that has it is busy for a second; it is waited for.

        From the store it would take four, and push another model's last copy
        off a disk.
        """
        places = [
            place("t1", "abc"),
            place("t2", "def", on_disk=("g",), busy=True),
        ]
        self.assertEqual(steps(places, {"g": want(1.0, 2, 4.0)}), [])

    def test_the_victim_is_what_is_missed_least(self):
        wants = {
            "a": want(9.0),
            "b": want(0.2),
            "c": want(5.0),
            "h": want(1.0, 1),
        }
        made = steps([place("t1", "abc")], wants, complete=False)
        self.assertEqual(made[0].victims, ("b",))

    def test_a_second_copy_goes_before_a_last_one(self):
        wants = {"a": want(2.0), "b": want(1.0), "h": want(1.0, 1)}
        places = [place("t1", "ab", on_disk=()), place("t2", "a", busy=True)]
        made = steps(places, wants, engine=engine(places=2), complete=False)
        self.assertEqual(made[0].victims, ("a",))

    def test_a_model_that_runs_is_no_victim_if_another_is_idle(self):
        places = [place("t1", "ab", running={"a": 3})]
        wants = {"h": want(1.0, 1)}
        made = steps(places, wants, engine=engine(places=2), complete=False)
        self.assertEqual(made[0].victims, ("b",))

    def test_nothing_is_loaded_that_is_on_its_way(self):
        places = [place("t1", "ab", coming="h"), place("t2", "abc")]
        self.assertEqual(steps(places, {"h": want(1.0, 5)}, complete=False), [])

    def test_engines_that_leave_or_are_silent_get_no_orders(self):
        places = [place("t1", "ab", usable=False)]
        self.assertEqual(steps(places, {"h": want(1.0, 5)}), [])

    def test_the_store_is_not_asked_beyond_its_rate(self):
        places = [place(f"t{n}", "a") for n in range(4)]
        wants = {name: want(1.0, 1) for name in "efgh"}
        made = steps(places, wants, store_loads=2)
        self.assertEqual(sum(s.from_store for s in made), 2)


class OverdueTest(unittest.TestCase):
    """A rare model under load: each victim loses more than it gains."""

    def setUp(self):
        self.busy = {name: want(9.0) for name in "abcdef"}

    def _reasons(self, places, wants, **fields):
        made = steps(places, self.busy | wants, complete=False, **fields)
        return [(step.model, step.reason) for step in made]

    def test_a_model_that_was_not_served_for_long_displaces_busy_ones(self):
        """Guards against rare models that are never worth their place."""
        places = [place("t1", "abc", on_disk=("g",))]
        young = {"g": want(0.2, 1, 4.0, 1.0)}
        old = {"g": want(0.2, 1, 4.0, 30.0)}
        self.assertEqual([], self._reasons(places, young))
        self.assertEqual([("g", "overdue")], self._reasons(places, old))

    def test_who_was_not_served_longest_comes_first(self):
        places = [place("t1", "abc", on_disk=("g", "h"))]
        wants = {
            "g": want(0.2, 1, 4.0, 20.0),
            "h": want(2.0, 9, 0.8, 10.0),
        }
        self.assertEqual("g", self._reasons(places, wants)[0][0])

    def test_overdue_models_leave_most_engines_to_others(self):
        """Guards against many rare models that take all engines at once."""
        places = [
            place(f"t{n}", "abc", on_disk=tuple("defgh")) for n in range(6)
        ]
        wants = {name: want(0.2, 1, 4.0, 20.0) for name in "gh"}
        wants |= {name: want(0.2, 1, 4.0, 20.0) for name in "def"}
        made = self._reasons(places, wants)
        self.assertEqual(2, sum(reason == "overdue" for _, reason in made))
        busy = [place("t1", "abc", busy=True, is_overdue=True), *places[1:3]]
        made = self._reasons(busy, wants)
        self.assertEqual(0, sum(reason == "overdue" for _, reason in made))

    def test_an_overdue_model_waits_for_the_engine_that_has_it(self):
        """Guards against engines that all load from the store for seconds."""
        places = [
            place("t1", "abc"),
            place("t2", "def", on_disk=("g",), busy=True),
        ]
        for unserved, reasons in ((8.0, []), (13.0, [("g", "overdue")])):
            wants = {"g": want(0.2, 1, 4.0, unserved)}
            self.assertEqual(reasons, self._reasons(places, wants))

    def test_a_model_that_has_just_come_is_not_displaced(self):
        """Guards against loads that are undone before callers come back."""
        kept = frozenset("a")
        places = [place("t1", "abc", on_disk=("g",), kept=kept)]
        wants = {"a": want(0.0), "b": want(9.0), "c": want(9.0)}
        wants |= {"g": want(9.0, 9, 0.8, 30.0)}
        made = steps(places, wants, complete=False)
        self.assertNotIn("a", made[0].victims)
        all_kept = [place("t1", "abc", on_disk=("g",), kept=frozenset("abc"))]
        self.assertEqual([], steps(all_kept, wants, complete=False))


class RateLimitTest(unittest.TestCase):
    """Engines that name the requests a second that they take."""

    def test_a_busy_model_does_not_come_to_a_limited_engine(self):
        places = [
            place("t1", "ab", on_disk=tuple("abg"), rate_limit=1.5),
            place("t2", "cd", on_disk=tuple("cdg")),
        ]
        made = steps(places, {"g": want(6.0, 5)}, complete=False)
        self.assertEqual("t2", made[0].target)

    def test_a_model_whose_only_engine_is_limited_gets_another(self):
        """Guards against callers refused while other engines are idle."""
        wants = {"a": want(3.0)}
        disk = tuple("abcd")
        for limit, copies in ((None, 0), (1.5, 1)):
            places = [
                place("t1", "ab", on_disk=disk, rate_limit=limit),
                place("t2", "cd", on_disk=disk),
            ]
            made = steps(places, wants, complete=False)
            copied = [s for s in made if (s.model, s.target) == ("a", "t2")]
            self.assertEqual(copies, len(copied), limit)


class HurryTest(unittest.TestCase):
    """Demand moves to a model at sixteen requests a second."""

    def test_what_many_wait_for_goes_where_it_is_soonest_there(self):
        """A victim whose streams still run holds the load up for seconds.

        The engine with the least asked-for victim runs eight streams of it;
        another has a victim that is asked for a little more, and idle.
        """
        places = [
            place("t1", "a", running={"a": 8}),
            place("t2", "b"),
        ]
        wants = {"a": want(0.1), "b": want(1.0), "h": want(16.0, 20, 0.4)}
        made = steps(places, wants, engine=engine(places=1), complete=False)
        self.assertEqual("t2", made[0].target)


class DiskTest(unittest.TestCase):
    """More models than disks have places for; demand moves among them."""

    def test_a_copy_spares_the_last_one_on_a_disk(self):
        """A model that was busy a minute ago comes back in one second.

        Its last weights are the oldest on one engine's disk, and a further
        copy of another model would push them off there; the other engine's
        oldest are on a second disk too. Pushed off, its next callers would
        wait for the store.
        """
        places = [
            place("t0", "a"),
            place("t1", "bc", on_disk=("f", "b", "c")),
            place("t2", "bc", on_disk=("g", "b", "c")),
            place("t3", "d", on_disk=("f", "d"), busy=True),
        ]
        made = steps(places, {"a": want(20.0)})
        copies = [s.target for s in made if s.model == "a"]
        self.assertEqual(["t1"], copies[:1])


class CopiesTest(unittest.TestCase):
    def test_a_busy_model_gets_copies_and_a_quiet_one_none(self):
        places = [place("t1", "a"), place("t2", "b"), place("t3", "")]
        wants = {"a": want(20.0), "b": want(0.1)}
        made = steps(places, wants)
        self.assertEqual({s.model for s in made if s.reason == "copy"}, {"a"})

    def test_no_copy_displaces_what_is_asked_for_as_much(self):
        places = [place("t1", "abc"), place("t2", "def")]
        wants = {name: want(4.0) for name in "abcdef"}
        self.assertEqual(
            [s for s in steps(places, wants) if s.reason == "copy"], []
        )

    def test_a_copy_goes_to_another_failure_domain(self):
        places = [
            place("t1", "a"),
            place("t2", ""),
            place("t3", "", domain="b"),
        ]
        made = steps(places, {"a": want(9.0)})
        self.assertEqual(made[0].target, "t3")

    def test_a_copy_goes_where_least_runs(self):
        """Two busy models on one engine make pauses for both."""
        places = [place("t1", "a"), place("t2", "b"), place("t3", "c")]
        wants = {"a": want(12.0), "b": want(12.0), "c": want(0.5)}
        copies = [s for s in steps(places, wants) if s.model == "a"]
        self.assertEqual([s.target for s in copies], ["t3"])

    def test_a_copy_on_an_engine_that_leaves(self):
        """Placement goes on while an engine with a busy model drains."""
        places = [
            place("t1", "a", usable=False),
            place("t2", "a"),
            place("t3", "b"),
        ]
        made = steps(places, {"a": want(20.0)})
        copies = [s.target for s in made if s.reason == "copy"]
        self.assertEqual(copies, ["t3"])


class OverloadTest(unittest.TestCase):
    """One model at forty requests a second on two engines of eight."""

    def _engines(self):
        tails = ["bcd", "cde", "def", "efg", "fgh", "gbc"]
        on_disk = tuple("abcdefgh")
        return [place("t0", "abc"), place("t1", "ade")] + [
            place(f"t{n + 2}", tail, on_disk=on_disk)
            for n, tail in enumerate(tails)
        ]

    def test_a_model_on_too_few_engines_gets_copies_until_they_keep_up(self):
        """Callers wait a second or two for the model's copies, not longer.

        Demand moves to a model within seconds; both its engines are far over
        what they can answer. One copy more leaves all three too full still,
        so each copy must look worth it before the last one is there.
        """
        wants = {name: want(0.3) for name in "bcdefgh"} | {"a": want(40.0)}
        places = {p.target: p for p in self._engines()}
        for _ in range(8):
            for step in steps(list(places.values()), wants):
                before = places[step.target]
                kept = set(before.loaded) - set(step.victims)
                places[step.target] = place(
                    step.target,
                    "".join(sorted(kept)),
                    coming=step.model,
                    busy=True,
                    on_disk=before.on_disk,
                )
        copies = sum("a" in (*p.loaded, p.coming) for p in places.values())
        self.assertGreaterEqual(copies, 4)

    def test_a_second_copy_does_not_wait_for_a_slow_first_one(self):
        """Callers of a model that many ask for wait for one swap, not two.

        Its first copy is on its way to an engine that waits for long runs of
        its victim to end; that engine alone will be too full with it.
        """
        places = [
            place("t0", "bc", coming="a", busy=True, on_disk=()),
            place("t1", "def", on_disk=("a", "d", "e", "f")),
            place("t2", "def", on_disk=("d", "e", "f")),
        ]
        made = steps(places, {"a": want(16.0, 9)}, complete=False)
        self.assertIn(("t1", "a"), [(s.target, s.model) for s in made])

    def test_a_copy_that_carries_load_is_no_victim(self):
        """A model that many ask for keeps the copies that it just got.

        It stands on four engines and fills them; callers of a rare model wait
        for that to be loaded, and a quiet model stands beside each copy.
        """
        tails = ["bc", "de", "fg", "hi"]
        places = [
            place(f"t{n}", "a" + tail, on_disk=("k", "a", *tail))
            for n, tail in enumerate(tails)
        ]
        wants = {"a": want(48.0)} | {name: want(0.3) for name in "bcdefghi"}
        wants["k"] = want(0.5, 1)
        made = steps(places, wants, engine=engine("abcdefghik"), complete=False)
        self.assertEqual([s.model for s in made], ["k"])
        self.assertNotIn("a", made[0].victims)

    def test_one_caller_does_not_take_a_model_off_that_many_ask_for(self):
        """A model that is asked for more and more stays where it was loaded.

        A single caller waits for a rare one; the only engine that can take an
        order has nothing else to unload. With others waiting too it comes.
        """
        wants = {name: want(2.0) for name in "abc"}
        places = [place("t1", "abc", on_disk=("g", "a", "b", "c"))]
        wants["g"] = want(0.2, 1, 4.0)
        self.assertEqual(steps(places, wants, complete=False), [])
        wants["g"] = want(0.2, 12, 4.0)
        made = steps(places, wants, complete=False)
        self.assertEqual([s.model for s in made], ["g"])

    def test_an_engine_stays_free_for_a_model_that_many_wait_for(self):
        """Thirty callers of one model do not wait behind single ones.

        Six rare models are asked for, once each, in a moment in which all
        engines are free; a load from the store keeps an engine for four
        seconds. The next moment demand moves to a model that is missing.
        """
        names = "abcdefghijklmnop"
        places = {f"t{n}": place(f"t{n}", "abc", on_disk=()) for n in range(4)}
        wants = {name: want(0.2, 1) for name in "ghijkl"}
        for step in steps(list(places.values()), wants, engine=engine(names)):
            places[step.target] = place(
                step.target, "bc", coming=step.model, busy=True, on_disk=()
            )
        wants |= {"p": want(5.0, 30)}
        made = steps(list(places.values()), wants, engine=engine(names))
        self.assertEqual([s.model for s in made], ["p"])

    def test_what_many_wait_for_comes_from_the_store_if_its_homes_are_busy(
        self,
    ):
        """Thirty callers wait four seconds, not until an engine is done.

        The only engine that has the model on its disk waits for long runs to
        end; single callers do wait for it.
        """
        places = [
            place("t1", "abc", busy=True, on_disk=("g",)),
            place("t2", "def", on_disk=("d", "e", "f")),
        ]
        made = steps(places, {"g": want(3.0, 30)}, complete=False)
        self.assertEqual([(s.target, s.from_store) for s in made], [("t2", 1)])
        self.assertEqual(steps(places, {"g": want(0.2, 1)}, complete=False), [])

    def test_a_model_that_runs_often_is_no_victim_if_another_runs_once(self):
        """An unload waits for all runs; forty take longer than one."""
        places = [
            place("t1", "abc", running={"a": 40, "b": 1, "c": 40}),
        ]
        made = steps(places, {"g": want(1.0, 9)}, complete=False)
        self.assertEqual([s.victims for s in made], [("b",)])

    def test_a_pressing_copy_comes_before_models_that_few_wait_for(self):
        """Forty requests a second are not held up by three that wait.

        All free engines would be busy with the rare models, in round after
        round, while the wanted model's engines fill up.
        """
        wants = {name: want(0.2) for name in "bcdefg"} | {"a": want(40.0)}
        places = self._engines()[:5]
        wants["h"] = want(0.5, 1)
        for each in "ijk":
            wants[each] = want(0.5, 1)
        made = steps(places, wants, engine=engine("abcdefghijk"))
        self.assertIn("a", [s.model for s in made])


class HomesTest(unittest.TestCase):
    def test_what_no_disk_has_is_fetched_while_it_is_quiet(self):
        places = [place("t1", "ab"), place("t2", "cd")]
        made = steps(places, {}, engine=engine("abcde"))
        self.assertEqual([s.model for s in made], ["e"])
        self.assertEqual(made[0].reason, "home")

    def test_not_before_all_engines_are_known(self):
        """An engine that has not reported may have it on its disk."""
        made = steps([place("t1", "ab")], {}, complete=False)
        self.assertEqual(made, [])

    def test_not_while_requests_wait(self):
        places = [place("t1", "ab", busy=True), place("t2", "c")]
        made = steps(places, {"a": want(1.0, 1)}, engine=engine("abcd"))
        self.assertEqual([s for s in made if s.reason == "home"], [])


class RoomTest(unittest.TestCase):
    @hypothesis.given(st.data())
    def test_no_step_needs_more_room_than_there_is(self, data):
        """An engine that is ordered to hold too much crashes.

        Whatever is asked for, a step takes off as much as its model needs,
        and no engine gets two steps at once.
        """
        models = "abcdefgh"
        room = data.draw(st.integers(1, 4))
        shape = engine(
            models, places=room, adapters=data.draw(st.integers(0, 5))
        )
        subset = st.lists(st.sampled_from(models), unique=True, max_size=room)
        places = [
            place(
                f"t{n}",
                "".join(data.draw(subset)),
                on_disk=tuple(data.draw(subset)),
                busy=data.draw(st.booleans()),
                usable=data.draw(st.booleans()),
                domain=data.draw(st.sampled_from("xy")),
            )
            for n in range(data.draw(st.integers(1, 5)))
        ]
        wants = {
            name: want(
                data.draw(st.floats(0, 30)),
                data.draw(st.integers(0, 3)),
                data.draw(st.sampled_from([0.8, 4.0])),
            )
            for name in data.draw(subset)
        }
        store = data.draw(st.integers(0, 3))
        made = steps(places, wants, store, engine=shape)
        by_name = {p.target: p for p in places}
        self.assertEqual(len({s.target for s in made}), len(made))
        self.assertLessEqual(sum(s.from_store for s in made), store)
        for step in made:
            chosen = by_name[step.target]
            self.assertFalse(chosen.busy)
            self.assertTrue(chosen.usable)
            self.assertNotIn(step.model, chosen.loaded)
            held = {*chosen.loaded, step.model} - set(step.victims)
            adapters = shape.adapter_places * (
                1.0 if shape.adapter_places else 0
            )
            self.assertLessEqual(len(held) * SIZE + adapters, shape.weights_mb)
