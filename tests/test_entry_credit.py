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

    async def ask(self, message, *, seconds):
        self.asked += 1
        if self.asked <= self.lost:
            return None
        grant = site_messages.Grant("band", message.need.wanted, 0.0, 0.0)
        return site_messages.GiveCredit(grant=grant)


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
