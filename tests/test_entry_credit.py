import asyncio
import unittest

from endivestream import site_messages
from endivestream.process import entry_credit
from endivestream.request import allowance as allowance_lib
from endivestream.version import document as document_lib

TEAM = document_lib.Team(
    name="band", keys=("k",), rate=1000.0, burst=1000.0, by_tokens=True
)


class FakeWatch:
    """Stands for the session with the leader; loses its first answers."""

    def __init__(self, lost):
        self.lost = lost
        self.asked = 0
        self.sizes = []
        self.seconds = 0.0

    async def ask(self, message, *, seconds):
        self.asked += 1
        if self.asked <= self.lost:
            return None
        self.sizes.append(len(message.asked))
        await asyncio.sleep(self.seconds)
        return site_messages.GiveCredit(
            grants=tuple(
                site_messages.Grant("band", each.need.wanted, 0.0, 0.0)
                for each in message.asked
            )
        )


class CreditTest(unittest.IsolatedAsyncioTestCase):
    async def _take(self, watch, patience):
        credit = entry_credit.EntryCredit(
            allowance=allowance_lib.Allowance(), watch=watch, host="e1"
        )
        return await credit.take(TEAM, 100.0, soon=patience, patience=patience)

    async def test_a_lost_answer_refuses_nobody(self):
        """A team inside its rate is served over a link that loses packets.

        Two answers of the leader are lost; no one has said that the team is
        over its rate, so the host asks once more.
        """
        watch = FakeWatch(lost=2)
        self.assertIsNone(await self._take(watch, 30.0))
        self.assertEqual(watch.asked, 3)

    async def test_without_a_leader_the_refusal_comes_in_time(self):
        watch = FakeWatch(lost=10**6)
        self.assertGreater(await self._take(watch, 0.0), 0.0)

    async def test_questions_that_meet_a_busy_leader_share_a_message(self):
        """A leader must not be asked for each request of a flood."""
        watch = FakeWatch(lost=0)
        watch.seconds = 0.01
        credit = entry_credit.EntryCredit(
            allowance=allowance_lib.Allowance(), watch=watch, host="e1"
        )
        taken = await asyncio.gather(
            *(
                credit.take(TEAM, 10.0, soon=9.0, patience=9.0)
                for _ in range(60)
            )
        )
        self.assertEqual(taken, [None] * 60)
        self.assertLess(watch.asked, 10)
        # A question that finds none under way leaves at once.
        self.assertEqual(watch.sizes[0], 1)

    async def test_credit_of_a_caller_that_left_is_not_lost(self):
        """Its team's next request must not wait for the same credit again."""
        watch = FakeWatch(lost=0)
        watch.seconds = 0.01
        allowance = allowance_lib.Allowance()
        credit = entry_credit.EntryCredit(
            allowance=allowance, watch=watch, host="e1"
        )
        taking = asyncio.create_task(
            credit.take(TEAM, 100.0, soon=9.0, patience=9.0)
        )
        while not watch.sizes:
            await asyncio.sleep(0)
        taking.cancel()
        async with asyncio.timeout(10.0):
            while not allowance.balance("band"):
                await asyncio.sleep(0.001)
        self.assertEqual(allowance.balance("band"), 100.0)
