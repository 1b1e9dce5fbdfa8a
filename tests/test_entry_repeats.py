"""Tests for the repeat budgets of an entry host."""

import unittest
from unittest import mock

from endivestream import clock
from endivestream import site_messages
from endivestream.process import entry_repeats
from endivestream.process import site_settings


class EntryRepeatsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.answers = []
        self.asked = 0
        patch = mock.patch.object(clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.repeats = entry_repeats.EntryRepeats(
            bounds=site_settings.Bounds(), watch=self
        )

    async def ask(self, message, *, seconds):
        self.asked += 1
        return self.answers.pop(0)

    async def test_a_granted_repeat_does_not_delay_the_next(self):
        self.answers = [site_messages.GiveRepeat(granted=True)] * 2
        for _ in range(2):
            self.assertTrue(await self.repeats.ask("desk"))

    async def test_the_leader_is_not_asked_for_every_failed_request(self):
        """Guards against flooding the leader when all targets fail."""
        self.answers = [None, site_messages.GiveRepeat(granted=True)]
        for _ in range(50):
            self.assertFalse(await self.repeats.ask("desk"))
        self.assertEqual(self.asked, 1)
        self.now += 1.0
        self.assertTrue(await self.repeats.ask("desk"))

    async def test_backoff_applies_to_one_service(self):
        self.answers = [
            site_messages.GiveRepeat(granted=False),
            site_messages.GiveRepeat(granted=True),
        ]
        self.assertFalse(await self.repeats.ask("desk"))
        self.assertTrue(await self.repeats.ask("models"))

    def test_a_service_has_its_fixed_number_from_its_first_request(self):
        """Guards against a window without repeats after the first request."""
        self.now += 60.0
        self.assertTrue(self.repeats.budget("desk").spend(self.now))

    def test_budgets_follow_the_number_of_hosts(self):
        """Guards against a host that also spends the other hosts' repeats."""
        budget = self.repeats.budget("desk")
        self.repeats.set_hosts(50)
        self.now += 60.0
        spent = sum(budget.spend(self.now) for _ in range(50))
        self.assertEqual(spent, 0)
