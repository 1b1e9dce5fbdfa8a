"""The planner's task against engines that answer late, wrongly or not at all.

The engines are objects, and time is the event loop's own, moved by hand.
"""

import asyncio
import unittest
from unittest import mock

from endivestream import site_messages
from endivestream.connection import engines as engines_lib
from endivestream.connection import registry as registry_lib
from endivestream.process import adapter_placer
from endivestream.process import engine_worker as worker_lib
from endivestream.process import planner as planner_lib
from endivestream.process import site_settings
from endivestream.version import document as document_lib
import hypothesis
from hypothesis import strategies as st

PLACES = 2
ADAPTERS = 2


def settings():
    return site_settings.SiteSettings(
        name="c1",
        domain="a",
        domains={},
        region="",
        callers="",
        peers="",
        controls=("tcp://127.0.0.1:1",),
        data_folder="",
        first_start=True,
        losses=1,
        report=1.0,
        bounds=site_settings.Bounds(),
    )


def document():
    models = tuple(
        document_lib.Model(
            name=name,
            weights_mb=10.0,
            load_seconds=0.05,
            disk_seconds=0.05,
            memory_seconds=0.05,
            adapters=9,
            adapter_mb=1.0,
        )
        for name in "abcdef"
    )
    engine = document_lib.Engine(
        slots=8,
        cache_tokens=1,
        weights_mb=10.0 * PLACES + ADAPTERS,
        adapter_places=ADAPTERS,
        loads_per_second=100.0,
        models=models,
    )
    service = document_lib.Service(
        name="s", health_path="/", connections=9, engine=engine
    )
    return document_lib.Document(version=1, services=(service,))


class Engine:
    """One engine: what it holds, and how it treats orders."""

    def __init__(self, name, loaded):
        self.name = name
        self.loaded = set(loaded)
        self.adapters = set()
        self.accepted = 0
        self.orders = []
        self.crashed = False
        self.busy = False
        # A load under way that an earlier holder has ordered.
        self.loading = ""
        self.most_adapters = 0
        # How the next orders are treated: `late` ones are carried out, and
        # `lost` ones are not; neither is answered.
        self.treat = []
        self.late = []
        self.report = None

    def take(self, order):
        """Carries an order out as the platform's engines do."""
        if order.expected != self.accepted or self.busy:
            return engines_lib.Outcome.BUSY
        name = f"{order.model}/{order.adapter}"
        if order.adapter and order.model not in self.loaded:
            return engines_lib.Outcome.REFUSED
        self.accepted += 1
        if order.adapter and order.load:
            self.adapters.add(name)
        elif order.adapter:
            self.adapters.discard(name)
            return engines_lib.Outcome.DONE
        elif order.load:
            self.loaded.add(order.model)
        else:
            self.loaded.discard(order.model)
            self.adapters = {
                a for a in self.adapters if not a.startswith(order.model + "/")
            }
        too_much = len(self.loaded) > PLACES or len(self.adapters) > ADAPTERS
        self.crashed = self.crashed or too_much
        if not order.adapter and self.report is not None:
            self.report()
        return engines_lib.Outcome.ACCEPTED


class FakeEngines:
    """Stands in for the calls over HTTP."""

    def __init__(self, engines):
        self.engines = {engine.name: engine for engine in engines}
        self.asked = []

    async def order(self, address, target, order, *, seconds):
        engine = self.engines[target]
        engine.orders.append(order)
        await asyncio.sleep(0)
        how = engine.treat.pop(0) if engine.treat else "answer"
        if how == "answer":
            return engine.take(order)
        if how == "after_a_load":
            engine.busy = False
            engine.loaded.add(engine.loading)
            return engine.take(order)
        if how == "done_unheard":
            engine.take(order)
        if how == "late":
            engine.late.append(order)
        return engines_lib.Outcome.UNANSWERED

    async def report(self, address, *, seconds):
        self.asked.append(address)
        await asyncio.sleep(0)
        engine = next(e for e in self.engines.values() if e.name == address)
        return engines_lib.Report(
            accepted=engine.accepted,
            busy=engine.busy,
            loaded=held(engine),
            coming=(),
        )


def held(engine):
    return tuple(
        registry_lib.Loaded(
            model,
            1,
            tuple(
                sorted(
                    a.partition("/")[2]
                    for a in engine.adapters
                    if a.startswith(model + "/")
                )
            ),
        )
        for model in sorted(engine.loaded)
    )


class PlannerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        # Pauses that are long beside a call are short beside a test.
        self._constants = [
            (module, name, getattr(module, name))
            for module, name in (
                (worker_lib, "REPORT_OLD_SECONDS"),
                (worker_lib, "BUSY_SECONDS"),
                (planner_lib, "_AGAIN_SECONDS"),
                (planner_lib, "_OVERDUE_SECONDS"),
                (planner_lib, "_UNLOAD_SECONDS"),
                (planner_lib, "_RUNS_SECONDS"),
                (adapter_placer, "_ASK_SECONDS"),
                (adapter_placer, "_KEEP_SECONDS"),
            )
        ]
        for module, name, _ in self._constants:
            setattr(module, name, 0.01)

    def tearDown(self):
        for module, name, value in self._constants:
            setattr(module, name, value)

    def _start(self, *engines, may_order=lambda: True):
        self.engines = engines
        self.changes = []
        self.fake = FakeEngines(engines)
        self.planner = planner_lib.Planner(
            settings=settings(),
            engines=self.fake,
            fence=7,
            may_order=may_order,
            changed=lambda names: self.changes.extend(names),
        )
        self.planner.set_document(document())
        self.numbers = dict.fromkeys((e.name for e in engines), 0)
        for engine in engines:
            engine.report = lambda engine=engine: self._report(engine)
            self._report(engine)
        self.planner.start()
        self.addAsyncCleanup(self.planner.close)

    def _report(self, engine):
        self.numbers[engine.name] += 1
        self.planner.reported(
            registry_lib.Registration(
                name=engine.name,
                service="s",
                address=engine.name,
                domain="a",
                born=1,
                number=self.numbers[engine.name],
                loaded=held(engine),
                on_disk=tuple("abcdef"),
            )
        )

    def _ask_for(self, model, adapter="", waiting=1):
        demand = site_messages.Demand("s", model, adapter, 1, waiting, 0.8)
        self.planner.missing("h1", (demand,))

    async def _until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.002)

    async def test_a_missing_model_takes_the_place_of_an_idle_one(self):
        engine = Engine("e1", "ab")
        self._start(engine)
        self._ask_for("a", waiting=0)
        self._ask_for("c")
        await self._until(lambda: "c" in engine.loaded)
        self.assertEqual(engine.loaded, {"a", "c"})
        self.assertFalse(engine.crashed)

    async def test_a_new_leaders_incomplete_table_cancels_no_step(self):
        """Guards against cancelling running loads on a change of leader."""
        engine = Engine("e1", "ab")
        self._start(engine)
        self.planner.used("h1", [site_messages.Use("e1", "b", "", 1)])
        self._ask_for("c")
        await self._until(lambda: self.planner.closing("e1"))
        closing = self.planner.closing("e1")
        self.planner.set_targets((), set(), complete=False)
        self.assertEqual(self.planner.closing("e1"), closing)
        self.planner.used("h1", [])
        await self._until(lambda: "c" in engine.loaded)

    async def test_a_removed_target_gets_no_orders(self):
        """Guards against orders to an address that another target now uses."""
        engine = Engine("e1", "ab")
        self._start(engine)
        self.planner.set_targets((), set(), complete=True)
        self.assertEqual(self.planner.targets, ())

    async def test_entry_hosts_are_told_before_the_unload(self):
        """No request arrives for a model that is being unloaded."""
        engine = Engine("e1", "ab")
        self._start(engine)
        closing = []
        take = engine.take
        engine.take = lambda order: (
            closing.append(self.planner.closing("e1")),
            take(order),
        )[1]
        self._ask_for("c")
        await self._until(lambda: "c" in engine.loaded)
        self.assertEqual(len(closing[0]), 1)

    async def test_runs_of_a_victim_end_first(self):
        """Requests that still run hold up the unload and no other order."""
        planner_lib._RUNS_SECONDS = 30.0
        engine = Engine("e1", "ab")
        self._start(engine)
        uses = [site_messages.Use("e1", model, "", 1) for model in "ab"]
        self.planner.used("h1", uses)
        self._ask_for("c")
        await self._until(lambda: self.planner.closing("e1"))
        self.assertEqual(engine.orders, [])
        self.planner.used("h1", ())
        await self._until(lambda: "c" in engine.loaded)

    async def test_an_order_without_an_answer_is_not_given_twice(self):
        """The engine is never over its memory, and the model comes.

        The load is carried out and its answer lost; the next order finds the
        engine one number further.
        """
        engine = Engine("e1", "a")
        engine.treat = ["done_unheard"]
        self._start(engine)
        self._ask_for("c")
        await self._until(lambda: "c" in engine.loaded)
        self.assertFalse(engine.crashed)

    async def test_a_late_order_finds_another_number(self):
        """What was asked for since is not undone by an order from before.

        The unload gets no answer, is given again, and the first one arrives
        when all is done.
        """
        engine = Engine("e1", "ab")
        engine.treat = ["late"]
        self._start(engine)
        self._ask_for("c")
        await self._until(lambda: "c" in engine.loaded)
        before = set(engine.loaded)
        for order in engine.late:
            self.assertEqual(engine.take(order), engines_lib.Outcome.BUSY)
        self.assertEqual(engine.loaded, before)

    async def test_an_engine_that_still_loads_gets_no_second_model(self):
        """Callers of an engine keep their streams when placement restarts.

        The process before has ordered a load, which shows in no report yet;
        the next one finds room and orders another model. The engine refuses
        while it loads; the order that arrives right after that would be one
        model too many, and it would crash.
        """
        engine = Engine("e1", "a")
        engine.busy, engine.loading = True, "b"
        engine.treat = ["answer", "after_a_load"]
        self._start(engine)
        self._ask_for("c")
        await self._until(lambda: engine.crashed or len(self.fake.asked) > 2)
        self.assertFalse(engine.crashed)
        engine.busy = False
        engine.loaded.add("b")
        engine.treat = []
        self._report(engine)
        await self._until(lambda: "c" in engine.loaded)
        self.assertFalse(engine.crashed)

    async def test_what_a_failing_engine_held_is_loaded_elsewhere(self):
        """Callers of a crashed engine's models are served after one load.

        They meet a closed port at once; the engine's missing reports would
        show it only seconds later.
        """
        lost, sound = Engine("e1", "a"), Engine("e2", "b")
        self._start(lost, sound)
        for host in ("h1", "h2"):
            self.planner.failed(host, ["e1"])
        self._ask_for("a")
        await self._until(lambda: "a" in sound.loaded)

    async def test_a_model_comes_another_way_when_one_proves_slow(self):
        """Callers are not kept waiting by a stream of what must make room.

        The only engine waits for long streams of its models; another one
        joins, and is idle.
        """
        slow, idle = Engine("e1", "ab"), Engine("e2", "de")
        with (
            mock.patch.object(planner_lib, "_RUNS_SECONDS", 60.0),
            mock.patch.object(planner_lib, "_STUCK_SECONDS", 0.01),
        ):
            self._start(slow)
            self.fake.engines["e2"] = idle
            idle.report = lambda: self._report(idle)
            uses = [site_messages.Use("e1", m, "", 9) for m in "ab"]
            self.planner.used("h1", uses)
            self._ask_for("c")
            await self._until(lambda: self.planner.coming("e1"))
            self.numbers["e2"] = 0
            self._report(idle)
            await self._until(lambda: "c" in idle.loaded)
        self.assertEqual({"a", "b"}, slow.loaded)

    async def test_one_host_that_is_cut_off_moves_nothing(self):
        """It reaches no engine; all others do, and are served as before."""
        engines = Engine("e1", "a"), Engine("e2", "b")
        self._start(*engines)
        self.planner.failed("h1", ["e1", "e2"])
        for host in ("h2", "h3"):
            self.planner.failed(host, [])
        self._ask_for("a")
        for _ in range(50):
            await asyncio.sleep(0.002)
        self.assertEqual([], [o for e in engines for o in e.orders if o.load])

    async def test_without_leadership_nothing_is_ordered(self):
        engine = Engine("e1", "a")
        self._start(engine, may_order=lambda: False)
        self._ask_for("c")
        for _ in range(50):
            await asyncio.sleep(0.002)
        self.assertEqual(engine.orders, [])

    async def test_orders_carry_holder_and_fence(self):
        engine = Engine("e1", "a")
        self._start(engine)
        self._ask_for("c")
        await self._until(lambda: engine.orders)
        order = engine.orders[0]
        self.assertEqual((order.holder, order.fence), ("c1", 7))

    async def test_adapters_take_turns(self):
        """More adapters than places are asked for; each comes in its turn."""
        engine = Engine("e1", "a")
        self._start(engine)
        for number in range(6):
            name = f"x{number}"
            self._ask_for("a", name)
            await self._until(lambda name=name: f"a/{name}" in engine.adapters)
            self.planner.demanded("h1", ())
        self.assertFalse(engine.crashed)

    async def test_an_engine_that_refuses_adapters_is_not_asked_for_ever(self):
        """Guards against an adapter that another engine could have taken."""
        busy, free = Engine("e1", "a"), Engine("e2", "a")
        busy.busy = True
        free.adapters = {"a/x1"}
        self._start(busy, free)
        self._ask_for("a", "x2")
        await self._until(lambda: "a/x2" in free.adapters)
        self.assertFalse(free.crashed)

    async def test_an_adapter_whose_unload_was_refused_still_counts(self):
        """An engine is never ordered above its places.

        It refuses the unload of an adapter because it is busy, and more
        adapters are asked for meanwhile.
        """
        engine = Engine("e1", "a")
        engine.adapters = {"a/x1", "a/x2"}
        self._start(engine)
        engine.busy = True
        self._ask_for("a", "x3")
        await self._until(lambda: len(engine.orders) >= 3)
        engine.busy = False
        self._ask_for("a", "x4")
        wanted = {"a/x3", "a/x4"}
        await self._until(lambda: wanted & engine.adapters)
        self.assertFalse(engine.crashed)

    async def test_several_adapters_at_once(self):
        """One that is on its way out is not counted out twice."""
        engine = Engine("e1", "a")
        engine.adapters = {"a/x1", "a/x2"}
        self._start(engine)
        for name in ("x3", "x4", "x5", "x6"):
            self._ask_for("a", name)
        await self._until(lambda: {"a/x5", "a/x6"} & engine.adapters)
        self.assertFalse(engine.crashed)


class RandomOrdersTest(unittest.TestCase):
    @hypothesis.given(st.data())
    @hypothesis.settings(max_examples=15)
    def test_no_engine_is_ordered_above_its_room(self, data):
        """Engines crash when they are; answers get lost and come late.

        Whatever is asked for and however orders are treated, none ever holds
        more than fits.
        """
        treatments = data.draw(
            st.lists(
                st.sampled_from(["answer", "done_unheard", "lost", "late"]),
                min_size=10,
                max_size=25,
            )
        )
        asks = data.draw(
            st.lists(
                st.tuples(
                    st.sampled_from("abcdef"),
                    st.sampled_from(["", "x", "y", "z"]),
                ),
                min_size=3,
                max_size=12,
            )
        )
        asyncio.run(self._play(treatments, asks))

    async def _play(self, treatments, asks):
        test = PlannerTest()
        test.setUp()
        engines = [Engine("e1", "ab"), Engine("e2", "cd")]
        for engine in engines:
            engine.treat = list(treatments)
        test._start(*engines)
        try:
            for model, adapter in asks:
                test._ask_for(model, adapter)
                for _ in range(12):
                    await asyncio.sleep(0.002)
                for engine in engines:
                    for order in engine.late:
                        engine.take(order)
                    engine.late = []
        finally:
            await test.planner.close()
            test.tearDown()
        self.assertFalse(any(engine.crashed for engine in engines))


if __name__ == "__main__":
    unittest.main()
