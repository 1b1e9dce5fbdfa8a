import asyncio
import unittest

from endivestream import limit_messages
from endivestream.process import entry_credit
from endivestream.request import credit_shares as credit_shares_lib
from endivestream.version import document as document_lib

TEAM = document_lib.Team(
    name="band", keys=("k",), rate=1000.0, burst=1000.0, by_tokens=True
)


class FakeWatch:
    """Replaces the session with the leader; its first answers are lost."""

    def __init__(self, lost):
        self.lost = lost
        self.requests = 0
        self.batch_sizes = []
        self.answer_seconds = 0.0

    async def request(self, message, *, seconds):
        self.requests += 1
        if self.requests <= self.lost:
            return None
        self.batch_sizes.append(len(message.credit_requests))
        await asyncio.sleep(self.answer_seconds)
        return limit_messages.GiveCredit(
            grants=tuple(
                limit_messages.Grant("band", each.need.wanted, 0.0, 0.0)
                for each in message.credit_requests
            )
        )


class CreditTest(unittest.IsolatedAsyncioTestCase):
    async def _take(self, watch, patience):
        credit = entry_credit.EntryCredit(
            credit_shares=credit_shares_lib.CreditShares(),
            watch=watch,
            host="e1",
        )
        return await credit.take(
            TEAM, 100.0, timely_within=patience, patience=patience
        )

    async def test_lost_answer_does_not_refuse_request(self):
        """Guards against refusals of a team within its rate by packet loss.

        Two answers of the leader are lost. They could have granted the credit,
        so the host sends its credit request again.
        """
        watch = FakeWatch(lost=2)
        self.assertIsNone(await self._take(watch, 30.0))
        self.assertEqual(watch.requests, 3)

    async def test_request_without_leader_is_refused_in_time(self):
        """Guards against requests that wait forever without a leader."""
        watch = FakeWatch(lost=10**6)
        self.assertGreater(await self._take(watch, 0.0), 0.0)

    async def test_concurrent_credit_requests_share_messages(self):
        """Guards against a message to the leader for each request of a burst.

        The leader takes 10 ms to answer. Credit requests made meanwhile must
        be batched.
        """
        watch = FakeWatch(lost=0)
        watch.answer_seconds = 0.01
        credit = entry_credit.EntryCredit(
            credit_shares=credit_shares_lib.CreditShares(),
            watch=watch,
            host="e1",
        )
        results = await asyncio.gather(
            *(
                credit.take(TEAM, 10.0, timely_within=9.0, patience=9.0)
                for _ in range(60)
            )
        )
        self.assertEqual(results, [None] * 60)
        self.assertLess(watch.requests, 10)
        # A credit request is sent immediately if no message is in flight.
        self.assertEqual(watch.batch_sizes[0], 1)

    async def test_credit_of_disconnected_caller_is_not_lost(self):
        """Guards against credit lost when a caller disconnects early.

        The grant arrives after the request was cancelled. Without it, the
        team's next request would wait for the same credit again.
        """
        watch = FakeWatch(lost=0)
        watch.answer_seconds = 0.01
        credit_shares = credit_shares_lib.CreditShares()
        credit = entry_credit.EntryCredit(
            credit_shares=credit_shares, watch=watch, host="e1"
        )
        task = asyncio.create_task(
            credit.take(TEAM, 100.0, timely_within=9.0, patience=9.0)
        )
        while not watch.batch_sizes:
            await asyncio.sleep(0)
        task.cancel()
        async with asyncio.timeout(10.0):
            while not credit_shares.balance("band"):
                await asyncio.sleep(0.001)
        self.assertEqual(credit_shares.balance("band"), 100.0)
