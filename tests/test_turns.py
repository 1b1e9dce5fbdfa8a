import random
import unittest

from endivestream import site_messages
from endivestream.connection import links
from endivestream.process import prefill_turn_service
from endivestream.request import queue_deadlines
from endivestream.request import turns as turns_lib
from endivestream.version import document as document_lib
import hypothesis
from hypothesis import strategies as st
from replay import clock as replay_clock
from replay import engine as replay_engine
import zmq.asyncio

from tests import test_document

_WINDOW = 0.3  # Maximum pause of a stream, in seconds.


def _most(sent):
    """Returns the maximum number of tokens sent within any window."""
    return max(
        sum(tokens for at, tokens in sent if start <= at < start + _WINDOW)
        for start, _ in sent
    )


class PrefillTurnsTest(unittest.TestCase):
    def test_bursts_of_prompts_are_spread(self):
        """Guards against streams that pause because hosts send at once.

        Prompts arrive at random, in total at six tenths of what the engine
        can process; without turns, more arrive in one window than the engine
        can process during a permitted pause.
        """
        rng = random.Random(7)
        turns = turns_lib.PrefillTurns()
        arrived = sorted(
            (rng.uniform(0.0, 60.0), rng.choice([700.0, 1500.0, 3000.0]))
            for _ in range(400)
        )
        sent = [
            (now + turns.take("t", tokens, 2, now), tokens)
            for now, tokens in arrived
        ]
        pace = turns_lib.START_PACE_TOKENS
        bound = pace * (_WINDOW + turns_lib.MAX_BURST_SECONDS) + 3000.0
        self.assertGreater(_most(arrived), bound)
        self.assertLessEqual(_most(sent), bound)

    # Guards against arrival patterns for which a window gets more prompt tokens
    # than the engine can process during a permitted pause.
    @hypothesis.given(
        st.lists(
            st.tuples(st.floats(0.0, 0.5), st.floats(1.0, 6000.0)),
            min_size=1,
            max_size=60,
        )
    )
    def test_no_window_gets_more_than_the_pace_allows(self, steps):
        """However prompts come, what a window gets is bounded."""
        turns, now, sent = turns_lib.PrefillTurns(), 0.0, []
        for pause, tokens in steps:
            now += pause
            sent.append((now + turns.take("t", tokens, 0, now), tokens))
        largest = max(tokens for _, tokens in steps)
        pace = turns_lib.START_PACE_TOKENS
        bound = pace * (_WINDOW + turns_lib.MAX_BURST_SECONDS) + largest
        self.assertLessEqual(_most(sent), bound * (1 + 1e-9))

    def test_requests_that_waited_for_a_model_are_spread(self):
        """Guards against a burst of prompts when a model has been loaded.

        Sent together, the prompts would pause all streams of the engine.
        """
        route = test_document.route(
            kind=document_lib.Kind.STREAM,
            timeout=12.0,
            objective=0.8,
            max_event_gap=0.3,
        )
        turns, loaded_at = turns_lib.PrefillTurns(), 1000.0
        rng = random.Random(5)
        sent = []
        for _ in range(12):
            arrived_at = loaded_at - rng.uniform(0.5, 1.5)
            latest_turn = queue_deadlines.turn_wait_deadline(
                route=route,
                arrived_at=arrived_at,
                now=loaded_at,
                deadline=arrived_at + 12.0,
            )
            wait = turns.take("t", 1500.0, 2, loaded_at)
            wait = max(0.0, min(wait, latest_turn - loaded_at))
            sent.append((loaded_at + wait, 1500.0))
        pace = turns_lib.START_PACE_TOKENS
        bound = pace * (_WINDOW + turns_lib.MAX_BURST_SECONDS) + 1500.0
        self.assertLessEqual(_most(sent), bound)

    def test_urgent_prompts_do_not_wait_for_less_urgent_ones(self):
        """Guards against urgent callers delayed by a less urgent burst."""
        turns = turns_lib.PrefillTurns()
        for _ in range(20):
            turns.take("t", 1500.0, 2, 0.0)
        self.assertEqual(turns.take("t", 1500.0, 0, 0.0), 0.0)
        before = turns.take("t", 1500.0, 2, 0.0)
        turns.take("t", 1500.0, 0, 0.0)
        self.assertGreater(turns.take("t", 1500.0, 2, 0.0), before)

    def _replay(self, slowdown, *, cached=0.0, seed=1):
        """Returns the learned pace of an engine with the given slowdown.

        Prompts arrive at random at half of the engine's rate.

        Args:
            slowdown: Factor on the times of the engine.
            cached: Share of prompts that the engine finds in its cache.
            seed: Seed of the arrivals.
        """
        rng = random.Random(seed)
        clock, turns = replay_clock.VirtualClock(), turns_lib.PrefillTurns()
        stated = {}

        def record(request):
            seconds = clock.now - request.sent_at
            turns.record_start("t", stated[request], seconds)

        speed = replay_engine.EngineSpeed().scaled(slowdown)
        engine = replay_engine.Engine(
            "t", "a", speed, clock, record, lambda request: None
        )

        def send():
            tokens = rng.choice([700.0, 1500.0, 3000.0])
            request = replay_engine.Request(
                arrived_at=clock.now,
                model="m",
                prompt=1.0 if rng.random() < cached else tokens,
                output=100,
                objective=1.0,
                silence=4.0,
                value=1.0,
                rank=0,
                sent_at=clock.now,
            )
            stated[request] = tokens
            engine.send(request)
            pause = 2.0 * tokens / speed.prefill_rate
            clock.call_in(rng.expovariate(1 / pause), send)

        send()
        clock.run(60.0 * slowdown)
        return turns.pace("t"), speed.prefill_rate

    def test_the_pace_follows_the_speed_of_the_engine(self):
        """Guards against prompts at a pace that suits other engines.

        Of what the engine can process, prompts may take a part that leaves
        time for the tokens of running requests.
        """
        for slowdown in (1 / 3, 1.0, 3.0):
            pace, prefill_rate = self._replay(slowdown)
            with self.subTest(slowdown=slowdown):
                self.assertLess(pace, prefill_rate)
                self.assertGreater(pace, prefill_rate / 4)

    def test_cached_prompts_do_not_raise_the_pace(self):
        """Guards against a pace learned from prompts that took no time."""
        pace, prefill_rate = self._replay(1.0, cached=0.1)
        self.assertLess(pace, prefill_rate)

    def test_the_pace_is_bounded_whatever_engines_answer(self):
        """Guards against an engine that reports impossible times."""
        for seconds in (0.0, -1.0, 1e-9, 1e9):
            turns = turns_lib.PrefillTurns()
            for _ in range(50):
                turns.record_start("t", 1500.0, seconds)
            self.assertGreater(turns.pace("t"), 1000.0)
            self.assertLess(turns.pace("t"), 100_000.0)

    def test_an_unknown_engine_gets_the_pace_of_the_others(self):
        turns = turns_lib.PrefillTurns()
        self.assertEqual(turns.pace("t1"), turns_lib.START_PACE_TOKENS)
        for _ in range(10):
            turns.record_start("t2", 1500.0, 0.3)
        self.assertAlmostEqual(turns.pace("t1"), 0.8 * 5000.0)

    def test_departed_engines_take_no_memory(self):
        turns = turns_lib.PrefillTurns()
        for number in range(100):
            turns.take(f"t{number}", 100.0, 0, 100.0 * number)
        self.assertLess(len(turns._busy_until), 5)


def _host(name, domain, *, draining=False):
    return site_messages.EntryHost(
        name, 1, domain, "10.0.0.1:80", draining, f"tcp://{name}:1"
    )


class PrefillTurnServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.context = zmq.asyncio.Context()
        self.services = []
        self.servers = []

    async def asyncTearDown(self):
        for service in self.services:
            await service.close()
        for server in self.servers:
            await server.close()
        self.context.destroy(linger=0)

    def _create_service(self, name, hosts=()):
        service = prefill_turn_service.PrefillTurnService(
            name=name, context=self.context
        )
        service.set_hosts(hosts)
        self.services.append(service)
        return service

    async def test_all_hosts_name_the_same_owner(self):
        """Guards against two turn owners of one engine.

        The owner is a host in the engine's failure domain; other hosts are
        owners only if that domain has none.
        """
        hosts = [_host("e1", "a"), _host("e2", "a"), _host("e3", "b")]
        services = [self._create_service(h.name, hosts=hosts) for h in hosts]
        for number in range(30):
            for domain in "abc":
                owners = {
                    service.turn_owner(f"t{number}", domain)
                    or f"tcp://{host.name}:1"
                    for service, host in zip(services, hosts, strict=True)
                }
                self.assertEqual(len(owners), 1)
                if domain == "b":
                    self.assertEqual(owners, {"tcp://e3:1"})

    async def test_a_draining_host_is_no_turn_owner(self):
        hosts = [_host("e1", "a", draining=True), _host("e2", "a")]
        service = self._create_service("e2", hosts=hosts)
        for number in range(10):
            self.assertEqual(service.turn_owner(f"t{number}", "a"), "")

    async def test_prompts_of_two_hosts_share_one_queue(self):
        """Guards against hosts whose prompts do not wait for each other."""
        owner = self._create_service("e1")

        async def answer(peer, message):
            return owner.grant_turn(message)

        server = links.Server(
            address="tcp://127.0.0.1:*", handle=answer, context=self.context
        )
        server.start()
        self.servers.append(server)
        host = site_messages.EntryHost("e1", 1, "a", "", False, server.address)
        other = self._create_service("e2", hosts=[host])
        owner.set_hosts([host])
        for _ in range(10):
            await owner.request_turn("t", "a", 3000.0, 1)
        # The first requests may fail until the connection is made.
        wait = 0.0
        while not wait:
            other._skip_owner_until.clear()
            wait = await other.request_turn("t", "a", 3000.0, 1)
        self.assertGreater(wait, 1.0)

    async def test_an_unreachable_turn_owner_delays_no_prompt(self):
        """Guards against prompts that wait for an unreachable turn owner.

        It does not answer: the prompt is sent immediately, and the owner gets
        no further requests for some time.
        """
        service = self._create_service("e2", hosts=[_host("127.0.0.1", "a")])
        self.assertEqual(await service.request_turn("t", "a", 3000.0, 1), 0.0)
        self.assertIn("tcp://127.0.0.1:1", service._skip_owner_until)
        links_before = dict(service._links)
        self.assertEqual(await service.request_turn("t", "a", 3000.0, 1), 0.0)
        self.assertEqual(service._links, links_before)
