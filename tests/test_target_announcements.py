"""Tests of what targets announce in their answers about later requests."""

import asyncio
import unittest
from unittest import mock

from endivestream import clock
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib
from endivestream.request import answer_headers
from endivestream.request import names as names_lib
from endivestream.request import repeats as repeats_lib
from endivestream.request import target_announcements
from tornado import httputil

from tests import standin
from tests import test_forward
from tests import test_plan

FULL = standin.says(standin.answer(503, X_Not_Run="full"))
REFUSES = standin.says(standin.answer(503, X_Not_Run="shed", Retry_After="30"))
PROMPT = {"X_Model": "a", "X_Tokens": "100,10"}


class AnnouncementTest(test_forward.ForwardTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.held_stage = ""
        self.wait_for_turn = None
        self.is_held = asyncio.Event()
        self.released = asyncio.Event()

    async def _hold(self, stage):
        """Holds the first request that reaches a stage until released."""
        if stage == self.held_stage:
            self.held_stage = ""
            self.is_held.set()
            await self.released.wait()

    async def _turn(self, target, domain, tokens, rank):
        await self._hold("turn")
        if self.wait_for_turn is not None:
            await self.wait_for_turn()
        return await super()._turn(target, domain, tokens, rank)

    async def _permit(self, registration, patience, cold_rate):
        await self._hold("limit")
        return await super()._permit(registration, patience, cold_rate)

    async def _ask_repeat(self, service):
        await self._hold("repeat")
        return True

    async def _ask(self, **headers):
        caller = await standin.Caller(self.address).start()
        self.addCleanup(caller.close)
        return await caller.ask(X_Deadline_Ms=1000, **headers)

    async def test_no_request_before_the_retry_after_of_a_target(self):
        """Guards against requests to a target that asked this host to wait."""
        self._route(test_forward.ONCE)
        target = await self._start_target(REFUSES)
        replies = [await self._ask() for _ in range(5)]
        self.assertEqual(len(target.requests), 1)
        for reply in replies:
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.headers["Retry-After"]), 25.0)

    async def test_no_request_to_a_brittle_target_that_is_full(self):
        """Guards against refusals that make a target fail."""
        self._route(test_forward.ONCE)
        full = standin.answer(503, X_Not_Run="full", X_Brittle="1")
        target = await self._start_target(standin.says(full))
        for _ in range(5):
            self.assertEqual((await self._ask()).status, 503)
        self.assertEqual(len(target.requests), 1)

    async def _check_held(self, stage, target, **headers):
        """Has a request wait while its target refuses another one."""
        self.held_stage = stage
        held = asyncio.create_task(self._ask(**headers))
        await self.is_held.wait()
        await self._ask(**headers)
        refused = len(target.requests)
        self.released.set()
        self.assertEqual((await held).status, 503)
        self.assertEqual(len(target.requests), refused)

    async def test_no_request_after_its_prefill_turn(self):
        """Guards against prompts whose engine refuses during their turn."""
        self._route(test_forward.ONCE, engine=test_plan.engine())
        loaded = (registry_lib.Loaded("a"),)
        target = await self._start_target(REFUSES, loaded=loaded)
        await self._check_held("turn", target, **PROMPT)

    async def test_no_request_after_its_permit(self):
        """Guards against sends whose target refuses during the permit."""
        self._route(test_forward.ONCE)
        target = await self._start_target(REFUSES)
        self.known_limits.record_answer("t1", 1, 5.0, clock.now())
        await self._check_held("limit", target)

    async def test_no_request_after_its_repeat(self):
        """Guards against repeats whose target refuses during the grant."""
        self._route(test_forward.ONCE)
        target = await self._start_target(FULL, REFUSES)
        self.repeats = repeats_lib.RepeatBudget(
            ratio=0.0, window=10.0, slack=0.0, now=clock.now()
        )
        await self._check_held("repeat", target)

    async def test_no_request_after_its_connection(self):
        """Guards against sends whose target refuses during the connection."""
        self._route(test_forward.ONCE)
        target = await self._start_target(REFUSES)
        acquire = exchange_lib.Pool.acquire

        async def acquire_later(pool, *args, **kwargs):
            await self._hold("connect")
            return await acquire(pool, *args, **kwargs)

        with mock.patch.object(exchange_lib.Pool, "acquire", acquire_later):
            await self._check_held("connect", target)

    async def test_no_request_while_a_refusal_is_unread(self):
        """Guards against sends of a late event loop that has not read it."""
        # The refusal is in the socket, the stream or the exchange.
        for passes in range(4):
            with self.subTest(passes=passes):
                await self._check_unread(f"t{passes}", passes)

    async def _check_unread(self, name, passes):
        """Ends turns some passes of the event loop after a refusal."""
        count = 9
        arrived = asyncio.Event()
        refused = asyncio.Event()
        waiting = 0

        async def accepts(request, writer):
            if len(target.requests) == count:
                arrived.set()
            await arrived.wait()
            writer.write(standin.answer())

        async def refuses(request, writer):
            await REFUSES(request, writer)
            for _ in range(passes):
                await asyncio.sleep(0)
            refused.set()

        async def wait_for_turn():
            nonlocal waiting
            waiting += 1
            if waiting > 1:
                await refused.wait()
            else:
                await self._wait_until(lambda: waiting == count)

        self._route(test_forward.ONCE, engine=test_plan.engine())
        target = await self._start_target(
            *[accepts] * count,
            refuses,
            name=name,
            loaded=(registry_lib.Loaded("a"),),
            slots=64,
        )
        self.assertEqual([200] * count, await self._ask_together(count))
        self.wait_for_turn = wait_for_turn
        self.assertEqual([503] * count, await self._ask_together(count))
        self.wait_for_turn = None
        self.assertEqual(len(target.requests), count + 1)
        self.view.set_targets([], [name])

    async def _ask_together(self, count):
        """Returns the statuses of requests on as many connections."""
        replies = [self._ask(**PROMPT) for _ in range(count)]
        return [reply.status for reply in await asyncio.gather(*replies)]

    async def test_no_request_to_a_target_that_drains(self):
        """Guards against requests to a target whose answer said it drains."""
        self._route(test_forward.ONCE)
        drains = standin.says(standin.answer(X_Draining="1"))
        target = await self._start_target(drains)
        self.assertEqual((await self._ask()).status, 200)
        self.assertEqual((await self._ask()).status, 503)
        self.assertEqual(len(target.requests), 1)

    async def test_a_connection_that_its_target_closes_is_not_reused(self):
        """Guards against requests lost on a connection about to be closed."""
        for header in ({"Connection": "close"}, {"Keep_Alive": "timeout=0"}):
            self._route(test_forward.ONCE)
            answer = standin.answer(**header)
            target = await self._start_target(standin.says(answer), name="t1")
            for _ in range(3):
                self.assertEqual((await self._ask()).status, 200)
            self.assertEqual(target.connections, 3, header)


def process(born, address="t1"):
    return registry_lib.Registration(
        name="t1", service="s", address=address, domain="a", started_at_ms=born
    )


class TargetAnnouncementsTest(unittest.TestCase):
    def setUp(self):
        self.announcements = target_announcements.TargetAnnouncements()

    def test_only_finite_seconds_are_read(self):
        """Guards against targets lost for a value that is no duration."""
        for texts, seconds in (
            (["3"], 3.0),
            (["0.25"], 0.25),
            (["0"], 0.0),
            (["1e9"], 1e9),
            (["2", "5"], 5.0),
            (["soon", "2"], 2.0),
            (["-1"], None),
            (["nan"], None),
            (["inf"], None),
            ([""], None),
            (["Thu, 03 Dec 2026 18:39:26 GMT"], None),
            (["9" * 33], None),
        ):
            self.assertEqual(
                target_announcements.parse_seconds(texts), seconds, texts
            )

    def test_a_shorter_backoff_does_not_end_a_longer_one(self):
        """Guards against answers that arrive late or name less time."""
        self.announcements.record_backoff(process(1), 5.0, 0.0)
        self.announcements.record_backoff(process(1), 1.0, 1.0)
        self.announcements.record_backoff(process(1), 0.0, 2.0)
        self.assertIsNotNone(self.announcements.backoff_until(process(1), 4.9))

    def test_hosts_share_the_refusals_of_a_brittle_target(self):
        """Guards against hosts that each cause all refusals it survives."""
        self.announcements.set_hosts(10)
        self.announcements.record_brittle_limit(process(1), 10, 0.0)
        pauses = []
        for _ in range(2):
            self.announcements.record_full(process(1), 0.0)
            pauses.append(self.announcements.backoff_until(process(1), 0.0))
        self.assertGreaterEqual(pauses[0], 1.0)
        self.assertGreaterEqual(pauses[1], 2 * pauses[0])

    def test_window_of_a_brittle_target_ends_with_its_announcement(self):
        """Guards against a target that is sound again and gets few requests."""
        self.announcements.record_brittle_limit(process(1), 10, 0.0)
        self.announcements.record_full(process(1), 0.0)
        self.assertFalse(self.announcements.has_window(process(1), 5))
        self.announcements.record_brittle_limit(process(1), None, 9.0)
        self.assertTrue(self.announcements.has_window(process(1), 5))

    def test_announcements_are_of_one_process(self):
        """Guards against answers that bind another process of the target."""
        self.announcements.record_backoff(process(2), 5.0, 0.0)
        self.announcements.record_draining(process(2), 0.0)
        for other in (process(1), process(3)):
            self.assertIsNone(self.announcements.backoff_until(other, 1.0))
            self.assertFalse(self.announcements.is_draining(other))
        self.announcements.record_backoff(process(1), 50.0, 1.0)
        self.assertIsNone(self.announcements.backoff_until(process(2), 6.0))

    def test_announcements_outlast_a_gap_in_the_table(self):
        """Guards against a target that is used after a moment's absence."""
        self.announcements.record_draining(process(1), 0.0)
        self.announcements.remove_stale((), 59.0)
        self.assertTrue(self.announcements.is_draining(process(1)))
        self.announcements.remove_stale((), 61.0)
        self.assertFalse(self.announcements.is_draining(process(1)))

    def test_answers_since_a_restart_are_of_the_new_process(self):
        """Guards against requests to a target that refused while it started."""
        self.announcements.record_draining(process(1), 1.0)
        self.announcements.record_backoff(process(1), 5.0, 3.0)
        self.announcements.record_restart(process(2), 2.0)
        self.assertIsNotNone(self.announcements.backoff_until(process(2), 4.0))
        self.assertFalse(self.announcements.is_draining(process(2)))
        self.announcements.record_restart(process(3), 3.5)
        self.assertIsNone(self.announcements.backoff_until(process(3), 4.0))

    def test_an_answer_after_the_table_shows_a_restart_is_of_its_process(self):
        """Guards against a refusal that is lost to the update before it."""
        names = names_lib.HeaderNames()
        recorder = answer_headers.AnswerHeaders(
            names=names,
            announcements=self.announcements,
            rate_limit_reported=mock.Mock(),
            window_opened=mock.Mock(),
        )
        head = exchange_lib.Head(
            503,
            httputil.HTTPHeaders(
                {names.request: "1", names.not_run: "1", names.retry_after: "9"}
            ),
        )
        now = clock.now()
        moved = process(2, address="t2")
        self.announcements.record_restart(moved, now - 2.0)
        recorder.record("1", process(1), head, now - 2.1)
        self.assertIsNone(self.announcements.backoff_until(moved, now))
        recorder.record("1", process(1), head, now - 1.9)
        self.assertIsNotNone(self.announcements.backoff_until(moved, now))

    def test_answer_at_an_address_is_of_the_process_that_has_it(self):
        """Guards against a refusal lost because its request was sent early.

        It is sent right before the process that refuses it states its start.
        """
        self.announcements.record_restart(process(2), 2.0)
        for sent_at in (1.9, 2.1):
            self.assertEqual(
                process(2),
                self.announcements.find_process(process(1), sent_at),
            )

    def test_processes_of_targets_that_left_are_forgotten(self):
        """Guards against memory for each target that ever existed."""
        self.announcements.record_restart(process(2), 2.0)
        for now, expected in ((60.0, process(2)), (63.0, process(1))):
            self.announcements.remove_stale((), now)
            self.assertEqual(
                expected, self.announcements.find_process(process(1), 2.1)
            )
