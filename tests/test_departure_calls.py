"""Tests of calls of departing targets at a control host."""

import asyncio
import unittest

from endivestream import clock
from endivestream import site_messages
from endivestream.process import departure_calls
from soak import virtual_time

CALL_SECONDS = 0.9
MESSAGE = site_messages.Deregister(name="t1")


class Leader:
    """Acknowledges a departure some time after its first request."""

    def __init__(self, *, wait):
        self.requests = 0
        self._wait = wait

    async def call(self, message, *, seconds, attempt_seconds):
        self.requests += 1
        await asyncio.sleep(self._wait)
        if self._wait > attempt_seconds:
            return None
        return site_messages.Registered()


class DepartureCallsTest(unittest.TestCase):
    def _run(self, scenario, *, wait):
        async def run():
            leader = Leader(wait=wait)
            calls = departure_calls.DepartureCalls(
                call=leader.call, longest_wait=1.7
            )
            try:
                return await scenario(leader, calls)
            finally:
                await calls.close()

        with virtual_time.running() as runner:
            return runner.run(run())

    def test_acknowledgement_reaches_the_call_that_is_open(self):
        """Guards against answers of the leader that find no caller."""

        async def run(leader, calls):
            started_at = clock.now()
            for _ in range(4):
                if await calls.is_acknowledged(
                    "t1", MESSAGE, seconds=CALL_SECONDS
                ):
                    return clock.now() - started_at, leader.requests
                await asyncio.sleep(1.0 - CALL_SECONDS)
            return float("inf"), leader.requests

        waited, requests = self._run(run, wait=1.7)
        self.assertLessEqual(waited, 1.75)
        self.assertEqual(1, requests)

    def test_acknowledgement_between_two_calls_answers_the_next(self):
        """Guards against a wait that starts anew between two calls."""

        async def run(leader, calls):
            answers = [
                await calls.is_acknowledged("t1", MESSAGE, seconds=CALL_SECONDS)
            ]
            await asyncio.sleep(0.1)
            started_at = clock.now()
            answers.append(
                await calls.is_acknowledged("t1", MESSAGE, seconds=CALL_SECONDS)
            )
            return answers, clock.now() - started_at

        answers, waited = self._run(run, wait=0.95)
        self.assertEqual([False, True], answers)
        self.assertEqual(0.0, waited)

    def test_answer_is_not_kept_for_a_later_departure(self):
        """Guards against an acknowledgement that no host was asked for."""

        async def run(leader, calls):
            for _ in range(2):
                await calls.is_acknowledged("t1", MESSAGE, seconds=CALL_SECONDS)
                await asyncio.sleep(10.0)
            return leader.requests

        self.assertEqual(2, self._run(run, wait=0.95))
        self.assertEqual(2, self._run(run, wait=0.1))
