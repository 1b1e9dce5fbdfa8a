"""Tests for the check of the configuration version with the leader."""

import asyncio
import unittest

from endivestream import clock
from endivestream import site_messages
from endivestream.process import configuration_freshness as freshness_lib
from soak import virtual_time

ROUND_TRIP_SECONDS = 0.002


class Leader:
    """Replaces the session with the leader."""

    def __init__(self):
        self.version = 3
        self.queries = 0
        self.pokes = 0
        self.unreachable_until = 0.0

    async def request(self, message, *, seconds):
        assert isinstance(message, site_messages.AskVersion), message
        self.queries += 1
        if clock.now() < self.unreachable_until:
            return None
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        version = self.version
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        return site_messages.ToldVersion(version=version)

    def renew_now(self):
        self.pokes += 1


class ConfigurationFreshnessTest(unittest.TestCase):
    def _run(self, work):
        async def run():
            self.local_version = 3
            self.leader = Leader()
            self.freshness = freshness_lib.ConfigurationFreshness(
                watch=self.leader,
                version=lambda: self.local_version,
                wait_for_change=asyncio.sleep,
            )
            try:
                return await work()
            finally:
                await self.freshness.close()

        with virtual_time.running() as runner:
            return runner.run(run())

    def test_concurrent_requests_share_a_query(self):
        """Guards against overloading the leader.

        A burst of requests for unknown routes must not send it a query each.
        """

        async def work():
            confirm = self.freshness.confirm
            self.assertTrue(
                all(await asyncio.gather(*(confirm(1.0) for _ in range(500))))
            )
            return self.leader.queries

        # The first query may have been sent before the other requests arrived.
        self.assertLessEqual(self._run(work), 2)

    def test_query_sent_before_the_request_is_not_shared(self):
        """Guards against denying a request by an outdated version.

        The answer to a query that was sent before the request arrived may be
        older than a change that was already confirmed to the caller.
        """

        async def work():
            early = asyncio.create_task(self.freshness.confirm(1.0))
            await asyncio.sleep(ROUND_TRIP_SECONDS * 0.75)
            self.leader.version = 4
            late = asyncio.create_task(self.freshness.confirm(1.0))
            await asyncio.sleep(ROUND_TRIP_SECONDS * 2)
            self.assertTrue(early.done())
            self.assertFalse(late.done())
            self.assertEqual(self.leader.pokes, 1)
            self.local_version = 4
            return await late

        self.assertTrue(self._run(work))

    def test_query_is_retried_until_leader_answers(self):
        """Guards against giving up early while there is no leader."""

        async def work():
            self.leader.unreachable_until = clock.now() + 0.3
            return await self.freshness.confirm(0.5)

        self.assertTrue(self._run(work))

    def test_version_is_not_confirmed_without_leader(self):
        """Guards against a confirmation without an answer of the leader."""

        async def work():
            started_at = clock.now()
            self.leader.unreachable_until = started_at + 60.0
            confirmed = await self.freshness.confirm(0.5)
            self.assertAlmostEqual(clock.now() - started_at, 0.5, places=6)
            return confirmed

        self.assertFalse(self._run(work))
