"""Tests of requests under which targets end."""

import asyncio
from unittest import mock

from endivestream import quarantine_messages
from endivestream import site_messages
from endivestream import table_position
from endivestream.process import quarantine_manager

from tests import crash_site
from tests import test_cut_hosts


def is_poison(request):
    return request.body == crash_site.MATCHING_BODY


class SentAgainTest(crash_site.CrashSite):
    # The budget for repeats of a leader grows with its time.
    REPORT = 10.0

    async def test_request_that_ended_three_targets_is_sent_no_more(self):
        """Guards against retries, at any host, that end target after target."""
        await self._serve_routes(crash_site.REPEATABLE | {"max_attempts": 2})
        await self._start_targets(8)
        replies = [
            await self._send(
                self.entries[n % 2], path="/x/", body=crash_site.MATCHING_BODY
            )
            for n in range(5)
        ]
        self.assertEqual(3, len(self.ended))
        self.assertEqual(3, self.received(is_poison))
        self.assertEqual([502, 502, 503, 503, 503], [r.status for r in replies])


class QuarantineTest(crash_site.CrashSite):
    async def _end_three(self):
        await self._serve_routes(crash_site.REPEATABLE)
        await self._start_targets(4)
        for entry in (*self.entries, self.entries[0]):
            await self._send_poison(entry)
        self.assertEqual(3, len(self.ended))

    async def _send_poison(self, entry):
        return await self._send(
            entry, path="/x/", body=crash_site.MATCHING_BODY
        )

    async def test_host_that_starts_later_does_not_send_it(self):
        """Guards against a host that learns of a quarantine last."""
        await self._end_three()
        late = self._start_entry(
            "late", peers=test_cut_hosts.free_peer_address()
        )
        self.entries.append(late)
        await self._wait_until(lambda: late.is_ready)
        reply = await self._send_poison(late)
        self.assertEqual((503, 3), (reply.status, len(self.ended)))
        self.assertGreater(float(reply.headers["Retry-After"]), 10.0)

    async def test_next_leader_keeps_the_quarantine(self):
        """Guards against a request that is sent after an election."""
        await self._end_three()
        leader = self.entries[0]._watch.leader
        await self.controls.pop(leader).close()
        await self._wait_until(
            lambda: all(
                e._watch.leader not in ("", leader) for e in self.entries
            )
        )
        late = self._start_entry(
            "late", peers=test_cut_hosts.free_peer_address()
        )
        self.entries.append(late)
        await self._wait_until(lambda: late.is_ready)
        self.assertEqual(503, (await self._send_poison(late)).status)
        self.assertEqual(3, len(self.ended))

    async def test_next_leader_gets_ends_that_the_last_one_did_not(self):
        """Guards against ends that are lost while leaders change."""
        await self._serve_routes(crash_site.REPEATABLE)
        await self._start_targets(5)
        requests = [entry._watch.request for entry in self.entries]
        for entry in self.entries:
            # The leader does not answer.
            entry._crash_reporter._request_leader = mock.AsyncMock(
                return_value=None
            )
        await self._send_poison(self.entries[0])
        await self._send_poison(self.entries[1])
        for entry, request in zip(self.entries, requests, strict=True):
            entry._crash_reporter._request_leader = request
            entry._watch.renew_now()
        control = next(iter(self.controls.values()))
        async with asyncio.timeout(30):
            while not await control.read_quarantine():
                await asyncio.sleep(0.01)
        await self._send_poison(self.entries[0])
        for entry in self.entries:
            self.assertEqual(503, (await self._send_poison(entry)).status)
        self.assertEqual(3, len(self.ended))

    async def test_other_requests_are_served_beside_it(self):
        """Guards against refusals of sound requests of the same route."""
        await self._end_three()
        for entry in self.entries:
            reply = await self._send(entry, path="/x/", body=b"sound")
            self.assertEqual((200, b"done"), (reply.status, reply.body))

    async def test_leader_elected_again_at_its_address_gets_the_quarantine(
        self,
    ):
        """Guards against a table that replaces what its leader has to get."""
        entry = self.entries[0]
        term = entry._position.term
        key = "content:7"

        def renewed(term, *entries):
            position = table_position.Position(term, 900)
            return site_messages.Renewed(
                seconds=4.0,
                version=0,
                table_update=site_messages.News(
                    position=position,
                    base_position=None,
                    quarantine=quarantine_messages.QuarantineTable(
                        revision=position, entries=entries
                    ),
                ),
            )

        # Nothing else runs between these steps.
        entry._reported_term = term
        entry._build_renewal(False)
        entry._apply_renewal(
            renewed(term, quarantine_messages.QuarantineEntry(key, True, 9.0))
        )
        entry._build_renewal(False)
        entry._apply_renewal(renewed(term + 1))
        renewal = entry._build_renewal(False)
        self.assertEqual([key], [each.key for each in renewal.quarantined])
        leader = quarantine_manager.QuarantineManager(
            term=term + 1, push=mock.AsyncMock()
        )
        leader.restore(renewal)
        self.assertTrue(leader._updates.is_pending(key))
        await leader.close()
        entry._apply_renewal(renewed(term + 1))
        self.assertEqual((), entry._build_renewal(False).quarantined)
