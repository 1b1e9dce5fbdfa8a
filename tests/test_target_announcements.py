"""Tests of what targets announce in their answers about later requests."""

from tests import standin
from tests import test_forward

REFUSES = standin.says(standin.answer(503, X_Not_Run="shed", Retry_After="30"))


class AnnouncementTest(test_forward.ForwardTest):
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

    async def test_no_request_to_a_target_that_drains(self):
        """Guards against requests to a target whose answer said it drains."""
        self._route(test_forward.ONCE)
        drains = standin.says(standin.answer(X_Draining="1"))
        target = await self._start_target(drains)
        self.assertEqual((await self._ask()).status, 200)
        self.assertEqual((await self._ask()).status, 503)
        self.assertEqual(len(target.requests), 1)
