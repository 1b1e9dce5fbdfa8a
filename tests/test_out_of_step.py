"""Resumed streams at an entry host with an outdated table of targets.

The host misses table updates while it still has its lease, and reaches the
leader, the holders of origins, or neither. Targets of a new software version
join meanwhile, and streams begin there through another host.
"""

import asyncio
from unittest import mock

from endivestream import site_messages
from endivestream.connection import links
from endivestream.request import resumptions
from endivestream.request import stream_origins

from tests import entry_site
from tests import test_software_versions

_V1, _V2 = "t1", "t2"


class OutOfStepSite(test_software_versions.SoftwareVersionSite):
    """A site whose first entry host misses table updates, without tests."""

    def _settings(self, name, **fields):
        # The lease outlasts the test.
        bounds = entry_site.BOUNDS._replace(repeat_window=0.1, config=60.0)
        return super()._settings(name, **{"bounds": bounds} | fields)

    async def _fall_out_of_step(self, *, lost=(), **route):
        """Lists a target of v1, then has e0 miss all updates.

        Args:
            lost: What e0 does not reach: `holders`, `leader`.
            **route: Fields of the route.
        """
        await self._serve(max_attempts=1, **route)
        rest = test_software_versions.serves_rest
        self.old = await self._start_target(_V1, "v1", rest)
        stale, self.other = self.entries
        missed = mock.patch.object(stale, "_take_news", lambda news: None)
        missed.start()
        self.addCleanup(missed.stop)
        self.stale = stale
        self._lose(stale, lost)

    async def _begin_at_new_version(self):
        """Begins a stream at v2 through e1."""
        self.entries = [self.other]
        self.new = await self._start_target(
            _V2, "v2", test_software_versions.breaks_off("a1", 1, 2)
        )
        # Only e1 knows that the old target takes no new streams.
        self.other._view.set_targets([], [_V1])
        self.entries = [self.stale, self.other]
        reply = await self._send_request(self.other, X_Request_Id="a1")
        self.assertEqual(reply.body, test_software_versions.body(1, 2))
        self.assertEqual({_V1}, set(self.stale._view.targets))

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

    async def _resume(self, entry, number, *, deadline_ms=900, **headers):
        return await self._send_request(
            entry,
            X_Request_Id=f"b{number}",
            X_Deadline_Ms=deadline_ms,
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
        await self._fall_out_of_step()
        await self._begin_at_new_version()
        await self._check_refused()

    async def test_the_host_reaches_no_holder(self):
        await self._fall_out_of_step(lost=("holders",))
        await self._begin_at_new_version()
        await self._check_refused()

    async def test_the_host_reaches_no_leader(self):
        await self._fall_out_of_step(lost=("leader",))
        await self._begin_at_new_version()
        await self._check_refused()

    async def test_the_host_reaches_neither(self):
        await self._fall_out_of_step(lost=("holders", "leader"))
        await self._begin_at_new_version()
        await self._check_refused()

    async def test_a_late_answer_serves_only_the_stream_that_asked(self):
        """The leader proves a sole version right before another one joins."""
        await self._fall_out_of_step(timeout=60.0)
        watch, query = self.stale._watch, self.stale._query_sole_software
        request = watch.request
        asked, released = asyncio.Event(), asyncio.Event()
        answers = []

        async def request_late(message, *, seconds):
            answer = await request(message, seconds=seconds)
            is_question = isinstance(message, site_messages.AskSoftware)
            if is_question and not asked.is_set():
                answers.append(answer.versions)
                asked.set()
                await released.wait()
            return answer

        # A new leader would prove nothing for the usual time.
        with (
            mock.patch.object(resumptions, "_UNREPORTED_TARGET_SECONDS", 0.0),
            mock.patch.object(
                stream_origins, "resumable_seconds", lambda _: 3.0
            ),
        ):
            async with asyncio.timeout(30):
                while await query("desk", 3.0, True) != "v1":
                    await asyncio.sleep(0.05)
            with mock.patch.object(watch, "request", request_late):
                earlier = asyncio.create_task(
                    self._resume(
                        self.stale, 7, deadline_ms=60_000, X_Resumes="a7"
                    )
                )
                async with asyncio.timeout(30):
                    await asked.wait()
                self.assertEqual([("v1",)], answers)
                await self._begin_at_new_version()
                await self._check_refused()
                released.set()
                reply = await earlier
        self.assertEqual(reply.body, test_software_versions.body(3, 4))
        self.assertEqual(
            ["b7"], [r.headers["X-Request-Id"] for r in self.old.requests]
        )

    async def test_the_stream_goes_on_where_the_version_is_listed(self):
        """Guards against refusals at hosts that are in step."""
        await self._fall_out_of_step()
        await self._begin_at_new_version()
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
