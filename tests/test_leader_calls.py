"""Tests of calls at a control host that wait for the leader."""

import asyncio
import unittest

from endivestream import clock
from endivestream import site_messages
from endivestream.process import leader_calls
from soak import virtual_time

CALL_SECONDS = 0.9
LONGEST_WAIT_SECONDS = 1.7
MESSAGE = site_messages.Deregister(name="t1")


class Leader:
    """Acknowledges a departure some time after its first request."""

    def __init__(self, *, waits):
        self.requests = 0
        self._waits = waits

    async def call(self, message, *, seconds, attempt_seconds):
        wait = self._waits[min(self.requests, len(self._waits) - 1)]
        self.requests += 1
        await asyncio.sleep(min(wait, attempt_seconds))
        if wait > attempt_seconds:
            return None
        return site_messages.Registered()


class LeaderCallsTest(unittest.TestCase):
    def _run(self, scenario, *, waits):
        async def run():
            leader = Leader(waits=waits)
            calls = leader_calls.LeaderCalls(call=leader.call)
            try:
                return await scenario(leader, calls)
            finally:
                await calls.close()

        with virtual_time.running() as runner:
            return runner.run(run())

    async def _is_acknowledged(self, calls):
        answer = await calls.answer(
            "t1",
            lambda: MESSAGE,
            seconds=CALL_SECONDS,
            longest_wait=LONGEST_WAIT_SECONDS,
            attempt_seconds=LONGEST_WAIT_SECONDS + 1.0,
        )
        return isinstance(answer, site_messages.Registered)

    def test_acknowledgement_reaches_the_call_that_is_open(self):
        """Guards against answers of the leader that find no caller."""

        async def run(leader, calls):
            started_at = clock.now()
            for _ in range(4):
                if await self._is_acknowledged(calls):
                    return clock.now() - started_at, leader.requests
                await asyncio.sleep(1.0 - CALL_SECONDS)
            return float("inf"), leader.requests

        waited, requests = self._run(run, waits=[1.7])
        self.assertLessEqual(waited, 1.75)
        self.assertEqual(1, requests)

    def test_acknowledgement_between_two_calls_answers_the_next(self):
        """Guards against a wait that starts anew between two calls."""

        async def run(leader, calls):
            answers = [await self._is_acknowledged(calls)]
            await asyncio.sleep(0.1)
            started_at = clock.now()
            answers.append(await self._is_acknowledged(calls))
            return answers, clock.now() - started_at

        answers, waited = self._run(run, waits=[0.95])
        self.assertEqual([False, True], answers)
        self.assertEqual(0.0, waited)

    def test_answer_is_not_kept_for_a_later_departure(self):
        """Guards against an acknowledgement that no host was asked for."""

        async def run(leader, calls):
            for _ in range(2):
                await self._is_acknowledged(calls)
                await asyncio.sleep(10.0)
            return leader.requests

        self.assertEqual(2, self._run(run, waits=[0.95]))
        self.assertEqual(2, self._run(run, waits=[0.1]))

    def test_a_repeated_request_is_built_anew(self):
        """Guards against documents that are sent again once committed."""

        async def run(leader, calls):
            pending = [MESSAGE, site_messages.AwaitVersion(version=1)]
            sent = []

            def message():
                sent.append(pending.pop(0))
                return sent[-1]

            await calls.answer(
                "t1",
                message,
                seconds=5.0,
                longest_wait=LONGEST_WAIT_SECONDS,
                attempt_seconds=0.5,
            )
            return sent

        self.assertEqual(
            [MESSAGE, site_messages.AwaitVersion(version=1)],
            self._run(run, waits=[1.0, 0.1]),
        )

    def test_a_call_as_the_answer_comes_leaves_later_requests_alone(self):
        """Guards against an answer that is forgotten twice."""

        async def run(leader, calls):
            errors = []
            asyncio.get_running_loop().set_exception_handler(
                lambda loop, context: errors.append(context)
            )
            repeated = []

            async def call(*args, **options):
                repeated.append(
                    asyncio.create_task(self._is_acknowledged(calls))
                )
                return site_messages.Registered()

            calls = leader_calls.LeaderCalls(call=call)
            await self._is_acknowledged(calls)
            await asyncio.sleep(LONGEST_WAIT_SECONDS)
            return errors, await asyncio.gather(*repeated)

        errors, answers = self._run(run, waits=[0.0])
        self.assertEqual([], errors)
        self.assertTrue(all(answers))
