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
        self.sent = []
        self._answers = answers

    async def send(self, message):
        self.sent.append(message)

    async def request(self, message, *, seconds):
        answer = self._answers.pop(0)
        if answer is None:
            raise links.LinkDownError("lost")
        return answer


RENEWED = site_messages.Renewed(seconds=4.0, version=0)


def _session(link, sent):
    """Returns a session over one link; `sent` gets whether hosts differ."""

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
    session._link = lambda address: link
    session._close_links = lambda *, keep: None
    return session


class LeaderFoundAgainTest(unittest.IsolatedAsyncioTestCase):
    async def test_host_that_finds_the_same_leader_again_reports_changes_only(
        self,
    ):
        """Guards against late answers that make hosts send more."""
        answers = [
            messages.NotLeader(address="tcp://c1"),
            RENEWED,
            None,
            messages.NotLeader(address="tcp://c1"),
            RENEWED,
            RENEWED,
        ]
        sent = []
        session = _session(FakeLink(answers), sent)
        for address in ("tcp://c0", "tcp://c1", "tcp://c1"):
            found = await session._renew(address)
        self.assertEqual("", found)
        session._clear_leader("tcp://c1")
        for address in ("tcp://c0", "tcp://c1", "tcp://c2"):
            await session._renew(address)
        self.assertEqual([True, True, False, True, False, True], sent)

    async def test_host_confirms_a_change_while_it_looks_for_the_leader(self):
        """Guards against confirmations that are lost with a late answer."""
        link = FakeLink([RENEWED, None])
        session = _session(link, [])
        for _ in range(2):
            found = await session._renew("tcp://c0")
        self.assertEqual("", found)
        session._clear_leader("tcp://c0")
        confirmation = site_messages.Confirm(
            host="e1", version=2, position=table_position.Position()
        )
        await session.send(confirmation)
        self.assertEqual([confirmation], link.sent)
