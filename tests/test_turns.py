import random
import unittest

from endivestream import site_messages
from endivestream.connection import links
from endivestream.process import turn_desk
from endivestream.request import patience
from endivestream.request import turns as turns_lib
from endivestream.version import document as document_lib
import hypothesis
from hypothesis import strategies as st
import zmq.asyncio

from tests import test_document

_WINDOW = 0.3  # Longest pause that streams may make, in seconds.


def _most(sent):
    """Returns the most tokens sent within any window."""
    return max(
        sum(tokens for at, tokens in sent if start <= at < start + _WINDOW)
        for start, _ in sent
    )


class TurnsTest(unittest.TestCase):
    def test_a_heap_of_prompts_is_spread(self):
        """Streams on an engine do not pause because eight hosts send at once.

        Prompts come at random, together at six tenths of what the engine
        reads; without turns, more than it reads in a pause come in one.
        """
        draw = random.Random(7)
        turns = turns_lib.Turns()
        came = sorted(
            (draw.uniform(0.0, 60.0), draw.choice([700.0, 1500.0, 3000.0]))
            for _ in range(400)
        )
        sent = [
            (now + turns.take("t", tokens, 2, now), tokens)
            for now, tokens in came
        ]
        pace = turns_lib.PACE_TOKENS
        bound = pace * (_WINDOW + turns_lib.AHEAD_SECONDS) + 3000.0
        self.assertGreater(_most(came), bound)
        self.assertLessEqual(_most(sent), bound)

    @hypothesis.given(
        st.lists(
            st.tuples(st.floats(0.0, 0.5), st.floats(1.0, 6000.0)),
            min_size=1,
            max_size=60,
        )
    )
    def test_no_window_gets_more_than_the_pace_allows(self, steps):
        """However prompts come, what a window gets is bounded."""
        turns, now, sent = turns_lib.Turns(), 0.0, []
        for pause, tokens in steps:
            now += pause
            sent.append((now + turns.take("t", tokens, 0, now), tokens))
        largest = max(tokens for _, tokens in steps)
        pace = turns_lib.PACE_TOKENS
        bound = pace * (_WINDOW + turns_lib.AHEAD_SECONDS) + largest
        self.assertLessEqual(_most(sent), bound * (1 + 1e-9))

    def test_requests_that_waited_for_a_model_take_turns(self):
        """Sent together after a load, their prompts would pause all streams."""
        route = test_document.route(
            kind=document_lib.Kind.STREAM, timeout=12.0, objective=0.8, gap=0.3
        )
        turns, loaded = turns_lib.Turns(), 1000.0
        draw = random.Random(5)
        sent = []
        for _ in range(12):
            came = loaded - draw.uniform(0.5, 1.5)
            until = patience.until_turn(
                route=route, came=came, now=loaded, deadline=came + 12.0
            )
            wait = turns.take("t", 1500.0, 2, loaded)
            wait = max(0.0, min(wait, until - loaded))
            sent.append((loaded + wait, 1500.0))
        pace = turns_lib.PACE_TOKENS
        bound = pace * (_WINDOW + turns_lib.AHEAD_SECONDS) + 1500.0
        self.assertLessEqual(_most(sent), bound)

    def test_the_urgent_do_not_wait_behind_the_others(self):
        """A burst of less urgent prompts keeps no urgent caller waiting."""
        turns = turns_lib.Turns()
        for _ in range(20):
            turns.take("t", 1500.0, 2, 0.0)
        self.assertEqual(turns.take("t", 1500.0, 0, 0.0), 0.0)
        before = turns.take("t", 1500.0, 2, 0.0)
        turns.take("t", 1500.0, 0, 0.0)
        self.assertGreater(turns.take("t", 1500.0, 2, 0.0), before)

    def test_engines_that_left_are_forgotten(self):
        turns = turns_lib.Turns()
        for number in range(100):
            turns.take(f"t{number}", 100.0, 0, 100.0 * number)
        self.assertLess(len(turns._clocks), 5)


def _host(name, domain, *, draining=False):
    return site_messages.EntryHost(
        name, 1, domain, "10.0.0.1:80", draining, f"tcp://{name}:1"
    )


class TurnDeskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.context = zmq.asyncio.Context()
        self.desks = []
        self.servers = []

    async def asyncTearDown(self):
        for desk in self.desks:
            await desk.close()
        for server in self.servers:
            await server.close()
        self.context.destroy(linger=0)

    def _desk(self, name, hosts=()):
        desk = turn_desk.TurnDesk(name=name, context=self.context)
        desk.set_hosts(hosts)
        self.desks.append(desk)
        return desk

    async def test_all_hosts_name_the_same_owner(self):
        """One host near the engine; the others only if none is near."""
        hosts = [_host("e1", "a"), _host("e2", "a"), _host("e3", "b")]
        desks = [self._desk(h.name, hosts=hosts) for h in hosts]
        for number in range(30):
            for domain in "abc":
                owners = {
                    desk.owner(f"t{number}", domain) or f"tcp://{host.name}:1"
                    for desk, host in zip(desks, hosts, strict=True)
                }
                self.assertEqual(len(owners), 1)
                if domain == "b":
                    self.assertEqual(owners, {"tcp://e3:1"})

    async def test_a_stopping_host_owns_nothing(self):
        hosts = [_host("e1", "a", draining=True), _host("e2", "a")]
        desk = self._desk("e2", hosts=hosts)
        for number in range(10):
            self.assertEqual(desk.owner(f"t{number}", "a"), "")

    async def test_turns_of_two_hosts_are_one_queue(self):
        """A prompt waits behind those that another host has sent."""
        owner = self._desk("e1")

        async def answer(peer, message):
            return owner.answer(message)

        server = links.Server(
            address="tcp://127.0.0.1:*", handle=answer, context=self.context
        )
        server.start()
        self.servers.append(server)
        host = site_messages.EntryHost("e1", 1, "a", "", False, server.address)
        other = self._desk("e2", hosts=[host])
        owner.set_hosts([host])
        for _ in range(10):
            await owner.take("t", "a", 3000.0, 1)
        # The first answer may come after the connection is made.
        wait = 0.0
        while not wait:
            other._silent_until.clear()
            wait = await other.take("t", "a", 3000.0, 1)
        self.assertGreater(wait, 1.0)

    async def test_a_lost_owner_holds_nobody_up(self):
        """Callers do not notice that the host which gives turns is gone.

        It does not answer; the prompt goes at once, and it is left alone.
        """
        desk = self._desk("e2", hosts=[_host("127.0.0.1", "a")])
        self.assertEqual(await desk.take("t", "a", 3000.0, 1), 0.0)
        self.assertIn("tcp://127.0.0.1:1", desk._silent_until)
        links_before = dict(desk._links)
        self.assertEqual(await desk.take("t", "a", 3000.0, 1), 0.0)
        self.assertEqual(desk._links, links_before)
