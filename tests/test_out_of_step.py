"""Resumed streams at an entry host with an outdated table of targets.

The host misses table updates while it still has its lease, and reaches the
leader, the holders of origins, or neither. Targets of a new software version
join meanwhile, and streams begin there through another host.
"""

import asyncio
from unittest import mock

from endivestream.connection import links
from endivestream.process import entry as entry_lib

from tests import entry_site
from tests import test_software_versions

_V1, _V2 = "t1", "t2"


class OutOfStepSite(test_software_versions.SoftwareVersionSite):
    """A site whose first entry host misses table updates, without tests."""

    def _settings(self, name, **fields):
        # The lease outlasts the test.
        bounds = entry_site.BOUNDS._replace(repeat_window=0.1, config=60.0)
        return super()._settings(name, **{"bounds": bounds} | fields)

    async def _begin_at_new_version(self, *, lost):
        """Begins a stream at v2 through e1, while e0 is out of step.

        Args:
            lost: What e0 does not reach: `holders`, `leader`.
        """
        await self._serve(max_attempts=1)
        rest = test_software_versions.serves_rest
        self.old = await self._start_target(_V1, "v1", rest)
        stale, self.other = self.entries
        missed = mock.patch.object(stale, "_take_news", lambda news: None)
        missed.start()
        self.addCleanup(missed.stop)
        self.stale = stale
        self._lose(stale, lost)
        self.entries = [self.other]
        self.new = await self._start_target(
            _V2, "v2", test_software_versions.breaks_off("a1", 1, 2)
        )
        # Only e1 knows that the old target takes no new streams.
        self.other._view.set_targets([], [_V1])
        self.entries = [stale, self.other]
        reply = await self._send_request(self.other, X_Request_Id="a1")
        self.assertEqual(reply.body, test_software_versions.body(1, 2))
        self.assertEqual({_V1}, set(stale._view.targets))

    def _lose(self, entry, lost):
        request = links.Link.request

        async def request_unless_lost(link, message, *, seconds):
            is_own = link in (
                *entry._watch._links.values(),
                *entry._origin_directory._links.values(),
            )
            kind = type(message).__name__
            is_lost = (kind == "FindOrigin" and "holders" in lost) or (
                kind == "AskSoftware" and "leader" in lost
            )
            if is_own and is_lost:
                await asyncio.sleep(seconds)
                raise links.LinkDownError("lost")
            return await request(link, message, seconds=seconds)

        patch = mock.patch.object(links.Link, "request", request_unless_lost)
        patch.start()
        self.addCleanup(patch.stop)

    async def _resume(self, entry, number, **headers):
        return await self._send_request(
            entry,
            X_Request_Id=f"b{number}",
            X_Deadline_Ms=900,
            Last_Event_ID=2,
            **headers,
        )


class OutOfStepTest(OutOfStepSite):
    """Guards against text joined from two versions of the targets."""

    async def _check_refused(self):
        """Resumes by the attempt, another one, none, and two of them."""
        names = ({"X_Resumes": "a1"}, {"X_Resumes": "a7"}, {}, None)
        for number, headers in enumerate(names):
            if headers is None:
                headers = {"X_Resumes": "a1, a7"}
            reply = await self._resume(self.stale, number, **headers)
            self.assertEqual(503, reply.status, headers)
        self.assertEqual([], self.old.requests)

    async def test_the_host_reaches_all_but_updates(self):
        await self._begin_at_new_version(lost=())
        await self._check_refused()

    async def test_the_host_reaches_no_holder(self):
        await self._begin_at_new_version(lost=("holders",))
        await self._check_refused()

    async def test_the_host_reaches_no_leader(self):
        await self._begin_at_new_version(lost=("leader",))
        await self._check_refused()

    async def test_the_host_reaches_neither(self):
        await self._begin_at_new_version(lost=("holders", "leader"))
        await self._check_refused()

    async def test_answers_arrive_after_the_new_version_has_joined(self):
        """An answer of before that moment arrives after it."""
        await self._begin_at_new_version(lost=())
        held = asyncio.Event()
        query = entry_lib.Entry._query_sole_software

        async def query_late(entry, *arguments):
            answer = await query(entry, *arguments)
            await held.wait()
            return answer

        with mock.patch.object(
            entry_lib.Entry, "_query_sole_software", query_late
        ):
            resuming = [
                asyncio.create_task(
                    self._resume(self.stale, n, X_Resumes=f"a{n}")
                )
                for n in range(7, 10)
            ]
            await asyncio.sleep(0)
            held.set()
            for task in resuming:
                self.assertEqual(503, (await task).status)
        self.assertEqual([], self.old.requests)

    async def test_the_stream_goes_on_where_the_version_is_listed(self):
        """Guards against refusals at hosts that are in step."""
        await self._begin_at_new_version(lost=())
        self.new._scripts = [test_software_versions.serves_rest]
        reply = await self._resume(self.other, 1, X_Resumes="a1")
        self.assertEqual(reply.body, test_software_versions.body(3, 4))


class OutOfStepBeginningTest(OutOfStepSite):
    """The host that is out of step holds the origin, and a target restarts."""

    async def test_a_target_restarts_under_its_id_at_another_version(self):
        await self._serve(max_attempts=1)
        rest = test_software_versions.serves_rest
        first = await self._start_target(
            _V1, "v1", test_software_versions.breaks_off("a1", 1, 2), rest
        )
        stale, other = self.entries
        reply = await self._send_request(stale, X_Request_Id="a1")
        self.assertFalse(reply.whole)
        missed = mock.patch.object(stale, "_take_news", lambda news: None)
        missed.start()
        self.addCleanup(missed.stop)
        self.targets[_V1] = (first, "v2")
        await self._wait_until(lambda: _software(other, _V1) == "v2")
        for number, headers in enumerate(({"X_Resumes": "a1"}, {})):
            reply = await self._resume(other, number, **headers)
            self.assertEqual(503, reply.status)
        self.assertEqual(1, len(first.requests))


def _software(entry, name):
    """Returns the software version that a host lists for a target."""
    target = entry._view.targets.get(name)
    return None if target is None else target.registration.software
