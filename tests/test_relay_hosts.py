"""Tests of requests that one entry host relays for another."""

import asyncio
import unittest

from endivestream import clock
from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.request import call as call_lib
from endivestream.request import relay_hosts
from endivestream.request import repeats as repeats_lib
from endivestream.request import target_selection
from endivestream.version import document as document_lib
import msgspec
from tornado import httpserver
from tornado import netutil

from tests import standin
from tests import test_document
from tests import test_forward
from tests import test_plan


def entry(name, *, domain="a", peers="tcp://10.0.0.1:7", draining=False):
    return site_messages.EntryHost(name, 1, domain, "", draining, peers)


class SelectionTest(unittest.TestCase):
    def setUp(self):
        self.hosts = relay_hosts.RelayHosts(name="here", domain="a")

    def _pick(self, now=0.0, tried=()):
        host = self.hosts.pick(("llm", "m"), now, tried)
        return host and host.name

    def test_hosts_that_cannot_relay_are_not_selected(self):
        """Guards against relays through this host, old or draining hosts."""
        self.hosts.set_hosts(
            [
                entry("here"),
                entry("old", peers=""),
                entry("stops", draining=True),
                entry("other"),
            ]
        )
        self.assertEqual(self._pick(), "other")
        self.assertIsNone(self._pick(tried=("other",)))

    def test_requests_are_spread_over_hosts(self):
        """Guards against one relay host that gets all requests of a cut one."""
        self.hosts.set_hosts([entry("b"), entry("c"), entry("far", domain="z")])
        for _ in range(20):
            self.hosts.record_sent(self._pick())
        running = self.hosts._running
        self.assertLessEqual(abs(running["b"] - running["c"]), 1)
        self.assertGreater(running["far"], 0)

    def test_unavailable_host_is_avoided_for_a_while(self):
        """Guards against requests that each try the same cut relay host."""
        self.hosts.set_hosts([entry("b")])
        self.hosts.record_unavailable("b", 10.0)
        self.assertIsNone(self._pick(10.5))
        self.assertEqual(self._pick(11.5), "b")

    def test_host_without_a_path_to_one_model_relays_others(self):
        """Guards against one failing model that stops all relays."""
        self.hosts.set_hosts([entry("b")])
        self.hosts.record_unserved(("llm", "m"), 10.0, "b")
        self.assertIsNone(self._pick(10.2))
        self.assertTrue(self.hosts.can_serve(("llm", "other"), 10.2))

    def test_targets_that_fail_everywhere_stop_relays(self):
        """Guards against relays for targets that no host reaches."""
        self.hosts.set_hosts([entry("b")])
        self.hosts.record_unserved(("llm", "m"), 10.0)
        self.assertFalse(self.hosts.can_serve(("llm", "m"), 10.2))
        self.assertTrue(self.hosts.can_serve(("llm", "other"), 10.2))
        self.assertTrue(self.hosts.can_serve(("llm", "m"), 11.5))

    def test_invalid_header_is_no_relayed_request(self):
        """Guards against requests that another host has not admitted."""
        headers = {relay_hosts.REQUEST_HEADER: "{}"}
        self.assertIsNone(relay_hosts.take_relayed_request(headers))
        self.assertIsNone(relay_hosts.take_relayed_request({}))


class RelayedTest(test_forward.ForwardTest):
    """Requests at the address for relayed requests."""

    async def asyncSetUp(self):
        self.slots = test_forward.FakeSlots()
        await super().asyncSetUp()
        front = call_lib.RequestServer(
            serve=self.forwarder.serve_relayed, now=clock.now
        )
        self.relay_server = httpserver.HTTPServer(front)
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.relay_server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self.relaying = await standin.Caller(f"127.0.0.1:{port}").start()

    async def asyncTearDown(self):
        self.relaying.close()
        self.relay_server.stop()
        await self.relay_server.close_all_connections()
        await super().asyncTearDown()

    def _header(self, **fields):
        relayed = relay_hosts.RelayedRequest(
            **({"host": "cut", "version": 1} | fields)
        )
        return {relay_hosts.REQUEST_HEADER: relayed.encode()}

    async def test_slot_is_released_when_the_caller_leaves(self):
        """Guards against slots that relayed requests hold for ever."""
        engine = msgspec.structs.replace(test_plan.engine("m"), slots=16)
        self._route(test_document.route(timeout=5.0), engine=engine)
        target = await self._start_target(
            standin.hangs, loaded=(registry_lib.Loaded("m"),), slots=16
        )
        self.relaying.send(X_Model="m", X_Tokens="9,8", **self._header())
        async with asyncio.timeout(5.0):
            while not target.requests:
                await asyncio.sleep(0.005)
            self.assertEqual(1, len(self.slots.held))
            self.relaying.close()
            while self.slots.held:
                await asyncio.sleep(0.005)

    async def test_credit_is_taken_once(self):
        """Guards against a team that pays at both hosts."""
        team = document_lib.Team(name="band", keys=("k",), rate=1.0)
        self._route(test_forward.ONCE, teams=(team,))
        target = await self._start_target(standin.says(standin.answer()))
        reply = await self.relaying.ask(
            Authorization="Bearer k", **self._header()
        )
        self.assertEqual(reply.status, 200)
        self.assertEqual((self.credit.taken, self.credit.refunded), ([], []))
        headers = target.requests[0].headers
        self.assertEqual(headers["X-Team"], "band")
        self.assertNotIn(relay_hosts.REQUEST_HEADER, headers)
        self.assertNotIn("Authorization", headers)

    async def test_keys_are_checked_again(self):
        """Guards against requests without a key at the relays' address."""
        team = document_lib.Team(name="band", keys=("k",))
        self._route(test_forward.ONCE, teams=(team,))
        target = await self._start_target(standin.says(standin.answer()))
        reply = await self.relaying.ask(**self._header())
        self.assertEqual(reply.status, 401)
        reply = await self.relaying.ask(Authorization="Bearer k")
        self.assertEqual(reply.status, 400)
        self.assertEqual(target.requests, [])

    async def test_older_configuration_does_not_run(self):
        """Guards against a service that a newer configuration has replaced."""
        self._route(test_forward.ONCE)
        target = await self._start_target(standin.says(standin.answer()))
        reply = await self.relaying.ask(**self._header(version=2))
        self.assertEqual(reply.status, 503)
        self.assertEqual(
            reply.headers[relay_hosts.FAILURE_HEADER], "older_configuration"
        )
        self.assertEqual(target.requests, [])

    async def test_cut_off_host_refuses_at_once(self):
        """Guards against relays that wait for connections of a cut host."""
        self._route(test_forward.ONCE)
        target = await self._start_target(standin.says(standin.answer()))
        requirements = target_selection.TargetRequirements(service="desk")
        for _ in range(2):
            self.view.record_sent("t1", requirements, clock.now())
            self.view.record_result(
                "t1", requirements, clock.now(), failed=True
            )
        reply = await self.relaying.ask(**self._header())
        self.assertEqual(reply.headers[relay_hosts.FAILURE_HEADER], "cut_off")
        self.assertEqual((target.connections, reply.status), (0, 503))

    async def test_targets_that_break_off_are_reachable(self):
        """Guards against a relay host that takes broken answers for a cut."""
        self._route(test_forward.ONCE)
        target = await self._start_target(standin.resets())
        requirements = target_selection.TargetRequirements(service="desk")
        for _ in range(2):
            self.view.record_sent("t1", requirements, clock.now())
            self.view.record_bytes("t1", clock.now())
            self.view.record_result(
                "t1", requirements, clock.now(), failed=True
            )
        reply = await self.relaying.ask(**self._header())
        self.assertEqual(
            reply.headers[relay_hosts.FAILURE_HEADER], "all_failing"
        )
        self.assertEqual(target.requests, [])

    async def test_repeat_after_the_first_host_counts(self):
        """Guards against repeats that no budget counts."""
        self._route(test_forward.IDEMPOTENT)
        self.repeats = repeats_lib.RepeatBudget(
            ratio=0.0, window=10.0, slack=0.0, now=clock.now()
        )
        target = await self._start_target(standin.says(standin.answer()))
        reply = await self.relaying.ask(**self._header(sent_attempts=1))
        self.assertEqual(
            reply.headers[relay_hosts.FAILURE_HEADER], "no_repeats_left"
        )
        self.assertEqual((target.requests, self.repeat_requests), ([], 1))

    async def test_relayed_request_is_not_relayed_again(self):
        """Guards against requests that go round between hosts."""
        self._route(test_forward.ONCE)
        self.relay_hosts.set_hosts([entry("third", peers="tcp://127.0.0.1:1")])
        unreachable = await standin.Target(standin.hangs).start()
        self._register("t1", unreachable.address)
        await unreachable.close()
        reply = await self.relaying.ask(**self._header())
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.relay_hosts._avoided_until, {})

    async def test_older_relay_host_that_refuses_a_stream_is_avoided(self):
        """Guards against "may have run" for a stream that was not taken."""
        self._route(test_forward.RESUMABLE)
        unreachable = await standin.Target(standin.hangs).start()
        self._register("t1", unreachable.address)
        await unreachable.close()
        older = await standin.Target(
            standin.says(standin.answer(400, b"not a relayed request\n"))
        ).start()
        self.addAsyncCleanup(older.close)
        port = int(older.address.rpartition(":")[2])
        self.relay_hosts.set_hosts(
            [entry("old", peers=f"tcp://127.0.0.1:{port - 1}")]
        )
        reply = await self.caller.ask(X_Deadline_Ms=1000)
        self.assertEqual(503, reply.status)
        self.assertIn("old", self.relay_hosts._avoided_until)
        (request, *_) = older.requests
        self.assertIn(relay_hosts.STREAM_HEADER, request.headers)

    async def _cut_off_from_targets(self, *scripts):
        """Leaves only a relay host with some scripts; returns that host."""
        unreachable = await standin.Target(standin.hangs).start()
        self._register("t1", unreachable.address)
        await unreachable.close()
        relay = await standin.Target(*scripts).start()
        self.addAsyncCleanup(relay.close)
        port = int(relay.address.rpartition(":")[2])
        peers = f"tcp://127.0.0.1:{port - 1}"
        self.relay_hosts.set_hosts([entry("other", peers=peers)])
        return relay

    async def test_cut_answers_of_targets_are_not_relayed_as_whole(self):
        """Guards against a relay host that completes a cut answer."""
        self._route(test_forward.ONCE)
        whole = standin.answer(body=b"whole body")
        for length in range(len(whole)):
            cut = standin.says(whole[:length], close=True)
            target = await self._start_target(cut)
            caller = await standin.Caller(self.relaying._address).start()
            reply = await caller.ask(**self._header())
            caller.close()
            self.assertFalse(reply.status == 200 and reply.whole, length)
            self.assertEqual(1, len(target.requests))
            self.view.set_targets([], list(self.view.targets))

    async def test_cut_answers_of_relay_hosts_are_not_whole(self):
        """Guards against a cut answer of another host, framed as whole."""
        self._route(test_forward.ONCE)
        whole = standin.answer(body=b"whole body")
        for length in range(len(whole)):
            # The host is avoided for a while after a cut answer.
            self.relay_hosts._avoided_until.clear()
            self.relay_hosts._unserved_until.clear()
            cut = standin.says(whole[:length], close=True)
            relay = await self._cut_off_from_targets(cut)
            caller = await standin.Caller(self.address).start()
            reply = await caller.ask(X_Deadline_Ms=900)
            caller.close()
            self.assertFalse(reply.status == 200 and reply.whole, length)
            self.assertEqual(1, len(relay.requests), length)
            self.view.set_targets([], list(self.view.targets))

    async def test_odd_times_of_relay_hosts_are_not_passed_on(self):
        """Guards against callers that are told to retry at no time."""
        self._route(test_forward.ONCE)
        for text, expected in (
            ("nan", None),
            ("inf", None),
            ("1e999", None),
            ("-1", None),
            ("9" * 5000, None),
            ("soon", None),
            ("2", 2.0),
        ):
            headers = {relay_hosts.FAILURE_HEADER: "all_failing"}
            answer = standin.answer(503, Retry_After=text, **headers)
            self.relay_hosts._avoided_until.clear()
            self.relay_hosts._unserved_until.clear()
            await self._cut_off_from_targets(standin.says(answer))
            reply = await self.caller.ask(X_Deadline_Ms=900)
            self.assertEqual(503, reply.status, text[:9])
            seconds = float(reply.headers["Retry-After"])
            self.assertTrue(0 <= seconds <= (expected or 1.0), text[:9])
            self.view.set_targets([], list(self.view.targets))

    async def test_relay_headers_of_callers_are_not_passed_on(self):
        """Guards against callers that speak as an entry host."""
        self._route(test_forward.ONCE)
        unreachable = await standin.Target(standin.hangs).start()
        self._register("t1", unreachable.address)
        await unreachable.close()
        relay = await standin.Target(standin.says(standin.answer())).start()
        self.addAsyncCleanup(relay.close)
        port = int(relay.address.rpartition(":")[2])
        self.relay_hosts.set_hosts(
            [entry("other", peers=f"tcp://127.0.0.1:{port - 1}")]
        )
        text = relay_hosts.RelayedRequest(host="caller", version=9).encode()
        await self.caller.ask(
            **{relay_hosts.STREAM_HEADER: text, "X_Deadline_Ms": 98765}
        )
        (request, *_) = relay.requests
        # By the time that its caller has left a request is recognized.
        self.assertEqual("98765", request.headers["X-Deadline-Ms"])
        self.assertNotIn(relay_hosts.STREAM_HEADER, request.headers)
        self.assertIn('"here"', request.headers[relay_hosts.REQUEST_HEADER])

    async def test_deadline_counts_from_the_first_arrival(self):
        """Guards against a target that works longer than the caller waits."""
        self._route(test_forward.ONCE)
        target = await self._start_target(standin.says(standin.answer()))
        await self.relaying.ask(X_Deadline_Ms=3000, **self._header(waited=1.0))
        self.assertLessEqual(
            int(target.requests[0].headers["X-Deadline-Ms"]), 2000
        )

    async def test_cancelled_request_leaves_the_target(self):
        """Guards against runs whose caller has left the other host."""
        self._route(test_forward.ONCE)
        target = await self._start_target(standin.hangs)
        self.relaying.send(**self._header())
        async with asyncio.timeout(10):
            while not target.requests:
                await asyncio.sleep(0.005)
            self.relaying.close()
            await target.closed.wait()


if __name__ == "__main__":
    unittest.main()
