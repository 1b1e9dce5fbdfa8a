"""Tests for the repeat budgets of an entry host."""

import unittest
from unittest import mock

from endivestream import clock
from endivestream import limit_messages
from endivestream.process import entry_repeats
from endivestream.process import site_settings


class EntryRepeatsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.answers = []
        self.requests = 0
        patch = mock.patch.object(clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.repeats = entry_repeats.EntryRepeats(
            bounds=site_settings.Bounds(), watch=self
        )

    async def request(self, message, *, seconds):
        self.requests += 1
        return self.answers.pop(0)

    async def test_granted_repeat_does_not_delay_next_repeat(self):
        """Guards against a backoff after a repeat that was granted."""
        self.answers = [limit_messages.GiveRepeat(granted=True)] * 2
        for _ in range(2):
            self.assertTrue(await self.repeats.request("desk"))

    async def test_refusal_stops_requests_to_leader_for_a_while(self):
        """Guards against flooding the leader when all targets fail.

        Every failed request would then send a request for a repeat.
        """
        self.answers = [None, limit_messages.GiveRepeat(granted=True)]
        for _ in range(50):
            self.assertFalse(await self.repeats.request("desk"))
        self.assertEqual(self.requests, 1)
        self.now += 1.0
        self.assertTrue(await self.repeats.request("desk"))

    async def test_backoff_applies_to_one_service(self):
        """Guards against services that lose repeats to another's failures."""
        self.answers = [
            limit_messages.GiveRepeat(granted=False),
            limit_messages.GiveRepeat(granted=True),
        ]
        self.assertFalse(await self.repeats.request("desk"))
        self.assertTrue(await self.repeats.request("models"))

    def test_first_request_of_service_may_be_repeated(self):
        """Guards against a window without repeats after the first request.

        A service's first request comes a minute after the process has started.
        """
        self.now += 60.0
        self.assertTrue(self.repeats.budget("desk").spend(self.now))

    def test_budget_is_divided_by_number_of_hosts(self):
        """Guards against a host that also spends the other hosts' repeats."""
        budget = self.repeats.budget("desk")
        self.repeats.set_hosts(50)
        self.now += 60.0
        spent = sum(budget.spend(self.now) for _ in range(50))
        self.assertEqual(spent, 0)
