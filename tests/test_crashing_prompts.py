"""Tests of prompt parts under which targets end."""

import asyncio
import itertools

from endivestream import quarantine_messages
from endivestream.request import target_selection

from tests import crash_site


class SharedPartTest(crash_site.CrashSite):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self._last_parts = itertools.count()
        await self._serve_routes(crash_site.STREAM)

    async def _send_prompt(self, entry, *parts):
        prefix = ",".join([*parts, f"{next(self._last_parts):x}:9"])
        return await self._send(entry, path="/s/", X_Prefix=prefix)

    async def _send_in_turn(self, count):
        """Sends sound requests and such that end their targets."""
        for n in range(count):
            entry = self.entries[n % 2]
            sound = await self._send_prompt(entry, "c0ffee:350")
            self.assertEqual((200, True), (sound.status, sound.whole))
            await self._send_prompt(
                entry, "c0ffee:350", crash_site.MATCHING_PART
            )

    async def test_part_that_ended_five_targets_reaches_no_more(self):
        """Guards against requests with one part that end target after target.

        No two of them are alike, and sound ones share their other parts.
        """
        await self._start_targets(10)
        await self._send_in_turn(10)
        self.assertLessEqual(len(self.ended), 5)
        last = await self._send_prompt(
            self.entries[0], crash_site.MATCHING_PART
        )
        self.assertEqual((503, b"quarantined"), (last.status, last.body[:11]))

    async def test_answers_without_a_length_can_be_the_end_of_a_target(self):
        """Guards against crashes that look like complete answers."""
        await self._start_targets(10, sends_length=False)
        await self._send_in_turn(10)
        self.assertLessEqual(len(self.ended), 5)

    async def test_part_that_is_answered_leaves_quarantine(self):
        """Guards against a verdict that no answer can disprove."""
        await self._start_targets(6)
        await self._send_in_turn(3)
        entry = self.entries[0]
        self.assertEqual(1, entry._crash_reporter.quarantined_keys)
        keys = ("part:bad0", "part:c0ffee")
        await entry._watch.request(
            quarantine_messages.Answered(host="e0", keys=keys), seconds=9.0
        )
        await self._wait_until(
            lambda: all(
                not e._crash_reporter.quarantined_keys for e in self.entries
            )
        )
        reply = await self._send_prompt(entry, crash_site.MATCHING_PART)
        self.assertNotEqual(503, reply.status)

    async def test_operator_quarantines_and_releases_a_part(self):
        """Guards against a decision that reaches some hosts only."""
        await self._start_targets(2)
        control = next(iter(self.controls.values()))
        entries = await control.set_quarantine("part:5c", is_quarantined=True)
        self.assertEqual(["part:5c"], [entry.key for entry in entries])
        for entry in self.entries:
            await self._wait_until(
                lambda entry=entry: entry._crash_reporter.quarantined_keys
            )
            reply = await self._send_prompt(entry, "5C:40")
            self.assertEqual(503, reply.status)
        await control.set_quarantine("part:5c", is_quarantined=False)
        self.assertEqual((), await control.read_quarantine())
        for entry in self.entries:
            await self._wait_until(
                lambda entry=entry: not entry._crash_reporter.quarantined_keys
            )
            reply = await self._send_prompt(entry, "5C:40")
            self.assertEqual(200, reply.status)

    async def test_waiting_requests_are_refused_with_the_verdict(self):
        """Guards against requests that were admitted before a quarantine."""
        await self._start_targets(3)
        await self._send_in_turn(2)
        entry = self.entries[0]
        full = target_selection.Unavailable(reason="full")
        entry._view.pick = lambda *arguments, **options: full
        waiting = asyncio.create_task(
            self._send_prompt(entry, crash_site.MATCHING_PART)
        )
        await self._wait_until(lambda: entry.running)
        await self.entries[1]._watch.request(
            quarantine_messages.ProcessEnded(
                host="e1",
                target="x9",
                started_at_ms=1,
                open_seconds={"part:bad0": 0.0},
            ),
            seconds=9.0,
        )
        reply = await waiting
        self.assertEqual((503, b"quarantined"), (reply.status, reply.body[:11]))
