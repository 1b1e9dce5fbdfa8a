"""What an entry host asks of the leader before it denies a request."""

import asyncio
import unittest

from endivestream import clock
from endivestream import site_messages
from endivestream.process import freshness as freshness_lib

from tests import virtual_time

ROUND_TRIP_SECONDS = 0.002


class Leader:
    """Stands in for the session with the leader."""

    def __init__(self):
        self.version = 3
        self.asked = 0
        self.poked = 0
        self.away_until = 0.0

    async def ask(self, message, *, seconds):
        assert isinstance(message, site_messages.AskVersion), message
        self.asked += 1
        if clock.now() < self.away_until:
            return None
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        version = self.version
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        return site_messages.ToldVersion(version=version)

    def poke(self):
        self.poked += 1


class FreshnessTest(unittest.TestCase):
    def _run(self, work):
        async def run():
            self.held = 3
            self.leader = Leader()
            self.freshness = freshness_lib.Freshness(
                watch=self.leader,
                version=lambda: self.held,
                changed=asyncio.sleep,
            )
            try:
                return await work()
            finally:
                await self.freshness.close()

        with virtual_time.running() as runner:
            return runner.run(run())

    def test_requests_that_come_together_share_a_question(self):
        """A flood of unknown routes must not be a flood at the leader."""

        async def work():
            confirm = self.freshness.confirm
            self.assertTrue(
                all(await asyncio.gather(*(confirm(1.0) for _ in range(500))))
            )
            return self.leader.asked

        # The first may have been sent before the others came.
        self.assertLessEqual(self._run(work), 2)

    def test_a_question_sent_before_the_call_does_not_count(self):
        """Its answer may be from before the change that the caller knows."""

        async def work():
            early = asyncio.create_task(self.freshness.confirm(1.0))
            await asyncio.sleep(ROUND_TRIP_SECONDS * 0.75)
            self.leader.version = 4
            late = asyncio.create_task(self.freshness.confirm(1.0))
            await asyncio.sleep(ROUND_TRIP_SECONDS * 2)
            self.assertTrue(early.done())
            self.assertFalse(late.done())
            self.assertEqual(self.leader.poked, 1)
            self.held = 4
            return await late

        self.assertTrue(self._run(work))

    def test_a_leader_that_comes_in_time_is_waited_for(self):
        async def work():
            self.leader.away_until = clock.now() + 0.3
            return await self.freshness.confirm(0.5)

        self.assertTrue(self._run(work))

    def test_without_a_leader_nothing_is_confirmed(self):
        async def work():
            begun = clock.now()
            self.leader.away_until = begun + 60.0
            confirmed = await self.freshness.confirm(0.5)
            self.assertAlmostEqual(clock.now() - begun, 0.5, places=6)
            return confirmed

        self.assertFalse(self._run(work))
