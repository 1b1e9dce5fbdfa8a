from endivestream.process import placer as placer_lib
from standins import engine as engine_lib

from tests import site


def _options(**more):
    return engine_lib.Options(step_seconds=0.001, load_seconds=0.01, **more)


class PlacerTest(site.SiteTest):
    """Load orders that are lost, late, or exceed an engine's memory."""

    more_settings = "[timing]\nplan_seconds = 0.05\nreport_seconds = 0.1\n"

    async def asyncSetUp(self):
        await super().asyncSetUp()
        resend_seconds = placer_lib._RESEND_SECONDS
        placer_lib._RESEND_SECONDS = 0.2
        self.addCleanup(setattr, placer_lib, "_RESEND_SECONDS", resend_seconds)
        await self.set_up_rules()

    def _ledger(self):
        return self.control.control.replicator.state.ledger.targets

    async def test_model_without_copy_is_loaded_and_served(self):
        """Guards against a configured model that no engine loads."""
        await self.add_engine("e1", loaded={}, options=_options())
        await site.until(
            lambda: (
                "e1" in self._ledger()
                and "brass" in self._ledger()["e1"].entries
                and self._ledger()["e1"].entries["brass"].loaded
            )
        )
        reply = await (await self.chat(count=3)).reply()
        self.assertTrue(reply.whole)

    async def test_lost_orders_are_sent_again(self):
        """Guards against models that are never loaded after lost orders.

        The engine accepts two orders without executing them; only its reports
        show that the model is missing.
        """
        engine = await self.add_engine(
            "e1", loaded={}, options=_options(lose_orders=2)
        )
        await site.until(lambda: engine.loaded)
        self.assertEqual(engine.options.lose_orders, 0)

    async def test_late_order_keeps_its_memory_reserved(self):
        """Guards against orders that exceed an engine's memory.

        The engine executes its order and the repeated ones late. A second model
        that would fit an empty engine must not be ordered meanwhile.
        """
        engine = await self.add_engine(
            "e1",
            loaded={},
            memory=150,
            options=_options(late_orders_seconds=0.5, fencing=False),
        )
        await site.until(lambda: "e1" in self._ledger())
        await site.until(lambda: self._ledger()["e1"].reserved_mib == 100)
        self.assertFalse(engine.loaded)
        await self.change(
            site.configuration.ApplyRules(
                text=site.RULES + "model drum memory=100 # x\n",
                expected_version=1,
                change_id="drum",
                author="t",
                comment="",
                at=0.0,
            )
        )
        await site.until(
            lambda: self.control.control.leader_role.placer.unplaced
        )
        await site.until(lambda: engine.loaded)
        self.assertEqual(engine.most_memory, 100)
        self.assertEqual(self._ledger()["e1"].reserved_mib, 100)
