import asyncio
import math
import unittest

from endivestream import clock
from endivestream.process import planner as planner_lib
from endivestream.version import plan as plan_lib
import hypothesis
from hypothesis import strategies as st
from soak import virtual_time

from tests import placement_site

# A load from the store, the runs that delay an unload, and the time for orders
# and reports.
STEP_SECONDS = 4.0 + placement_site.RUN_SECONDS + 1.0
HOLDER_PAUSE_SECONDS = 4.0


def longest_bound(*, models, engines):
    """Returns the longest time for which a model in demand is not served.

    A load waits for an engine without another placement step, and for the end
    of the protection of a model that was loaded recently.
    """
    at_once = max(1, engines // plan_lib._OVERDUE_ENGINES_DIVISOR)
    load = 2 * STEP_SECONDS + planner_lib._UNUSED_PIN_SECONDS
    return plan_lib._DISK_COPY_WAIT_SECONDS + math.ceil(models / at_once) * load


async def _run_rare_models(seed, *, lost_holder=False):
    """Runs three engines of three places; few models are busy, many rare.

    No host has the rare ones on disk, so each load takes longer than callers
    wait.
    """
    busy = [f"b{n}" for n in range(4)]
    rare = [f"r{n:02}" for n in range(18)]
    site = placement_site.Site(
        models=busy + rare,
        engines=3,
        places=3,
        loaded=[["b0", "b1", "b2"], ["b1", "b2", "b3"], ["b0", "b3"]],
    )
    site.start()
    seconds = 50.0
    callers = [
        placement_site.start_requests(
            site, model=name, rate=rate, seconds=seconds, seed=seed, burst=burst
        )
        for names, rate, burst in ((busy, 3.0, 2), (rare, 0.25, 1))
        for name in names
    ]
    if lost_holder:
        callers.append(_replace_lease_holder(site))
    await asyncio.gather(*callers)
    await site.close()
    return site


async def _run_adapters(seed, *, rate):
    """Runs requests at `rate` for as many adapters as there are places.

    Two more adapters are requested rarely.
    """
    site = placement_site.Site(
        models=["m"], engines=1, places=2, loaded=[["m"]], adapters=4
    )
    site.start()
    seconds = 30.0
    rates = {f"a{n}": rate for n in range(4)} | {"a4": 0.4, "a5": 0.4}
    callers = [
        placement_site.start_requests(
            site,
            model="m",
            adapter=name,
            rate=each,
            seconds=seconds,
            seed=seed,
        )
        for name, each in rates.items()
    ]
    await asyncio.gather(*callers)
    await site.close()
    return site


async def _replace_lease_holder(site):
    await asyncio.sleep(20.0)
    await site.replace_planner(pause=4.0)


class RareModelsTest(unittest.TestCase):
    def _check(self, seed, **fields):
        with virtual_time.running() as runner:
            site = runner.run(_run_rare_models(seed, **fields))
        requested, never_served = site.sustained_and_unserved()
        self.assertFalse(any(engine.crashed for engine in site.engines))
        self.assertGreater(len(requested), 15)
        self.assertLessEqual(
            len(never_served),
            placement_site.max_never_served(len(requested)),
            f"seed {seed}: never served {never_served}",
        )

    def test_rarely_requested_models_are_served(self):
        """Guards against models that are refused to every caller.

        Each request for a rare model is worth less than what its load would
        displace.
        """
        for seed in range(6):
            self._check(seed)

    def test_waiting_times_survive_a_change_of_the_lease_holder(self):
        """Guards against waiting times lost with the planner host."""
        for seed in range(6):
            self._check(seed, lost_holder=True)


async def _play_steady(models, engines, places, seed, lost_at, seconds):
    names = [f"m{n:02}" for n in range(models)]
    site = placement_site.Site(
        models=names, engines=engines, places=places, loaded=[[]] * engines
    )
    site.start()
    callers = [
        placement_site.start_requests(
            site, model=name, rate=1.0, seconds=seconds, seed=seed
        )
        for name in names
    ]

    async def replace_lease_holder():
        await asyncio.sleep(lost_at)
        await site.replace_planner(pause=HOLDER_PAUSE_SECONDS)

    await asyncio.gather(*callers, replace_lease_holder())
    longest = max(site.longest_unserved(name, clock.now()) for name in names)
    await site.close()
    return site, longest


class LongestWaitTest(unittest.TestCase):
    # Guards against loads that never start, also when the planner lease holder
    # changes.
    @hypothesis.given(
        models=st.integers(4, 10),
        engines=st.integers(1, 4),
        places=st.integers(1, 3),
        seed=st.integers(0, 99),
        lost_at=st.floats(1.0, 60.0),
    )
    @hypothesis.settings(max_examples=8)
    def test_no_model_in_demand_waits_beyond_the_bound(
        self, models, engines, places, seed, lost_at
    ):
        """Guards against turns that never come, also across a lost holder."""
        bound = longest_bound(models=models, engines=engines)
        bound += HOLDER_PAUSE_SECONDS
        with virtual_time.running() as runner:
            site, longest = runner.run(
                _play_steady(
                    models, engines, places, seed, lost_at, 1.5 * bound
                )
            )
        self.assertLessEqual(longest, bound)
        self.assertFalse(any(engine.crashed for engine in site.engines))


class RareAdaptersTest(unittest.TestCase):
    def _run_site(self, seed, rate):
        with virtual_time.running() as runner:
            return runner.run(_run_adapters(seed, rate=rate))

    def test_adapters_in_use_do_not_keep_their_places_forever(self):
        """Guards against adapters that never get a place on their engine."""
        for seed in range(6):
            site = self._run_site(seed, rate=8.0)
            _, never_served = site.sustained_and_unserved()
            self.assertEqual([], never_served, f"seed {seed}")
            self.assertFalse(site.engines[0].crashed, f"seed {seed}")

    def test_an_adapter_in_use_keeps_its_place_until_its_runs_end(self):
        """Guards against engine crashes by more adapters than places."""
        for seed in range(6):
            site = self._run_site(seed, rate=3.0)
            self.assertFalse(site.engines[0].crashed, f"seed {seed}")


if __name__ == "__main__":
    unittest.main()
