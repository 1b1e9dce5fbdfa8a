"""News of the leader's table: gathered, told once, never missed."""

import asyncio
import unittest

from endivestream import clock
from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.process import entry as entry_lib
from endivestream.process import table_updates
from endivestream.request import names as names_lib
import hypothesis
from hypothesis import strategies as st

from tests import leader_site
from tests import test_document
from tests import virtual_time

NAMES = ("t0", "t1", "t2")
ENTRY = leader_site.SETTINGS._replace(name="e0", callers="127.0.0.1:0")
# Lost news, and what is told after it, come more often than what heals.
_KINDS = "change change change leave tell tell tell lose lose renew document"
STEPS = st.tuples(
    st.sampled_from([*_KINDS.split(), "whole", "elect"]),
    st.sampled_from(NAMES),
)


def target(name, number):
    said = registry_lib.Registration(
        name=name, service="llm", address=name, domain="a", number=number
    )
    return site_messages.Target(said=said)


class Leader:
    """A table with its news; what is pushed waits to be delivered or lost."""

    def __init__(self, *, term=1):
        self.held = {}
        self.number = 0
        self.pushed = []
        self.news = table_updates.TableUpdates(
            term=term,
            push=self._push,
            peers=lambda: [b"e0"],
            direct_peers=lambda: [b"e0"],
            target=self.held.get,
            whole=lambda: table_updates.Table(
                targets=tuple(self.held.values()), gone=(), complete=True
            ),
            limits=lambda names: (),
        )

    async def _push(self, peers, message):
        del peers
        self.pushed.append(message)

    def change(self, name, *, gone=False):
        self.number += 1
        if gone:
            self.held.pop(name, None)
        else:
            self.held[name] = target(name, self.number)
        self.news.record_targets([name])


class TableNewsTest(unittest.TestCase):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(st.lists(STEPS, max_size=25))
    def test_lost_and_crossed_news_leave_no_host_behind(self, steps):
        """A host must not miss a change, nor go back, whatever is lost."""

        async def run():
            entry = entry_lib.Entry(
                settings=ENTRY, names=names_lib.HeaderNames()
            )
            try:
                await self._play(steps, entry)
            finally:
                await entry.close()

        with virtual_time.running() as runner:
            runner.run(run())

    async def _play(self, steps, entry):
        leader = Leader()
        leader.news.start()
        version = 0
        seen = {}
        for step, name in steps:
            match step:
                case "change":
                    leader.change(name)
                case "leave":
                    leader.change(name, gone=True)
                case "tell":
                    await asyncio.sleep(0.3)
                    while leader.pushed:
                        entry._take_news(leader.pushed.pop(0))
                case "lose":
                    await asyncio.sleep(0.3)
                    leader.pushed.clear()
                case "renew":
                    # The answer overtakes what is still on its way.
                    self._renew(leader, entry)
                case "whole":
                    leader.news.require_full_table()
                case "document":
                    version += 1
                    leader.news.push_document(test_document.document(version))
                case "elect":
                    await leader.news.close()
                    after = Leader(term=leader.news.position.term + 1)
                    after.held.update(leader.held)
                    after.number = leader.number
                    leader = after
                    leader.news.start()
            for known in entry._view.targets.values():
                before = seen.get(known.said.name, 0)
                self.assertGreaterEqual(known.said.number, before)
                seen[known.said.name] = known.said.number
        await asyncio.sleep(0.3)
        self._renew(leader, entry)
        for news in leader.pushed:
            entry._take_news(news)
        held = leader.held
        known = entry._view.targets
        # Those gone before an election are dropped only after a while.
        self.assertEqual({n: known.get(n) for n in held}, held)
        await leader.news.close()

    def _renew(self, leader, entry):
        news = leader.news.since(entry._position)
        if news is not None:
            entry._take_news(news)

    def test_changes_are_gathered_while_hosts_are_told(self):
        """The number of rounds must not grow with that of changes."""

        async def run():
            leader = Leader()
            push = leader._push

            async def slow(peers, message):
                await asyncio.sleep(0.02)
                await push(peers, message)

            leader.news._push = slow
            leader.news.start()
            begun = clock.now()
            for _ in range(300):
                leader.change("t0")
                leader.change("t1")
                await asyncio.sleep(0.01)
            seconds = clock.now() - begun
            await asyncio.sleep(1.0)
            await leader.news.close()
            return seconds, leader.pushed

        with virtual_time.running() as runner:
            seconds, pushed = runner.run(run())
        # A fifth of the loop's time, at 0.02 s a round.
        self.assertLessEqual(len(pushed), seconds * 0.2 / 0.02 + 2)
        self.assertEqual(
            {t.said.name: t.said.number for t in pushed[-1].targets},
            {"t0": 599, "t1": 600},
        )

    def test_a_renewal_that_crosses_news_is_answered_with_what_it_lacks(self):
        """Answers must not grow with the table while it changes."""
        leader = Leader()
        for number in range(100):
            leader.change(f"t{number}")
        before = leader.news.position
        leader.change("t7")
        news = leader.news.since(before)
        self.assertEqual([t.said.name for t in news.targets], ["t7"])

    def test_a_host_from_before_a_gone_target_was_forgotten_gets_all(self):
        leader = Leader()
        leader.change("t0")
        old = leader.news.position
        leader.change("t0", gone=True)
        leader.change("t1")
        leader.news.forget_all_but({"t1"})
        self.assertIsNone(leader.news.since(old).after)
        news = leader.news.since(leader.news.position._replace(number=2))
        self.assertEqual([t.said.name for t in news.targets], ["t1"])
