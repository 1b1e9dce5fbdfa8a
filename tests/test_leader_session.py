"""Tests of an entry host's session with the leader."""

import unittest

from endivestream import messages
from endivestream import site_messages
from endivestream import table_position
from endivestream.connection import links
from endivestream.connection import watch


class FakeLink:
    """Answers requests from a list; None stands for a lost answer."""

    def __init__(self, answers):
        self._answers = answers

    async def request(self, message, *, seconds):
        answer = self._answers.pop(0)
        if answer is None:
            raise links.LinkDownError("lost")
        return answer


class LeaderFoundAgainTest(unittest.IsolatedAsyncioTestCase):
    async def test_host_that_finds_the_same_leader_again_reports_changes_only(
        self,
    ):
        """Guards against late answers that make hosts send more."""
        renewed = site_messages.Renewed(seconds=4.0, version=0)
        answers = [
            messages.NotLeader(address="tcp://c1"),
            renewed,
            None,
            messages.NotLeader(address="tcp://c1"),
            renewed,
            renewed,
        ]
        sent = []

        def renewal(is_other_host):
            sent.append(is_other_host)
            return site_messages.Renew(
                host=site_messages.EntryHost("e1", 1, "a", "e1:1", False),
                version=0,
                position=table_position.Position(),
            )

        session = watch.LeaderSession(
            controls=["tcp://c0", "tcp://c1"],
            context=None,
            every=0.3,
            renewal=renewal,
            on_renewed=lambda answer: None,
            on_push=lambda message: None,
        )
        session._link = lambda address: FakeLink(answers)
        session._close_links = lambda *, keep: None
        for address in ("tcp://c0", "tcp://c1", "tcp://c1"):
            found = await session._renew(address)
        self.assertEqual("", found)
        session._clear_leader("tcp://c1")
        for address in ("tcp://c0", "tcp://c1", "tcp://c2"):
            await session._renew(address)
        self.assertEqual([True, True, False, True, False, True], sent)
