"""Several hosts: cut off, stopped, restarted."""

import asyncio
import unittest.mock

from endivestream import messages
from endivestream.connection import links
from endivestream.version import configuration
from standins import engine as engine_lib
import zmq.asyncio

from tests import site


class HostsTest(site.SiteTest):
    more_settings = (
        "[timing]\nlease_seconds = 2.0\nwatch_seconds = 0.1\n"
        "election_seconds = 0.2\n"
        "host_silence_seconds = 0.5\naddress_lifetime_seconds = 0.2\n"
        "drain_margin_seconds = 0.1\n"
    )
    more_peers = "silence_seconds = 0.4\nrequest_seconds = 0.5\n"

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.other = await self.start_host(
            "casa-1",
            control=[self.control.control.address],
            domain="casa-hall",
        )
        await self.set_up_rules()

    async def test_request_through_another_host(self):
        await self.add_engine("e1")
        reply = await (await self.chat(host=self.other)).reply()
        self.assertTrue(reply.whole)

    async def test_cut_off_host_refuses_rather_than_serve_old_keys(self):
        """The caller of the cut-off host is told "not run", come back.

        The host loses its control host without any error. Its lease runs out;
        from then on a key withdrawn meanwhile cannot work there, and an
        operator who waits for "in force" waits no longer than that.
        """
        link = self.other.gateway._link
        link._addresses = ["tcp://127.0.0.1:1"]
        link._use(link._addresses[0])
        await site.until(lambda: not self.other.gateway.leased)
        reply = await (await self.chat(host=self.other)).reply()
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.error["type"], "no_lease")
        self.assertEqual(reply.error["outcome"], "not_run")

    async def test_stopping_host_cuts_nothing(self):
        """The stream runs to its final marker while its host stops.

        The host leaves the address answer first, and tells callers on its
        connections to go elsewhere; it ends when the last stream has ended.
        """
        slow = engine_lib.Options(step_seconds=0.02)
        engine = await self.add_engine("e1", options=slow)
        caller = await self.chat(host=self.other, count=60)
        await site.until(lambda: engine.seen)
        self.forget_host(self.other)
        running = asyncio.create_task(self.other.run())
        await asyncio.sleep(0)
        self.other.request_stop()
        await site.until(
            lambda: [h.name for h in self.control.gateway.hosts if h.draining]
        )
        asked = await site.Caller(self.control.settings.http.address).send(
            "GET", "/v1/addresses", key=""
        )
        reply = await asked.reply()
        self.assertNotIn(self.other.settings.url, reply.body.decode())
        reply = await caller.reply()
        self.assertTrue(reply.whole)
        self.assertEqual(reply.text, site.expected_text(60))
        self.assertEqual(await running, 0)

    async def test_restarted_control_host_keeps_what_it_accepted(self):
        """Rules, keys and the answers of orders outlive the process.

        Credit does not: after the restart teams start from nothing rather
        than from a full burst, so no team gets a second burst.
        """
        service = await self.add_service()
        await self.order(name="order-1")
        address = self.control.control.address
        await self.control.close()
        self.forget_host(self.control)
        self.control = await self.start_host("control", address=address)
        again = await self.order(name="order-1")
        self.assertEqual(again.headers.get("Idempotency-Replayed"), "true")
        self.assertEqual(len(service.ran), 1)
        self.assertLess(self.control.control.levels["shop"], 99_000)

    async def test_homes_tell_a_new_leader_about_their_targets(self):
        """Callers find targets at once after a new leader starts.

        The leader's tables are gone. The target reported to another host,
        which tells the new leader what the target announced; the target
        itself announces once in its life.
        """
        engine = engine_lib.Engine(
            name="e1",
            domain="casa-hall",
            gateways=[self.inner_url(self.other)],
            loaded={"brass": 100},
        )
        engine._announce = unittest.mock.AsyncMock(wraps=engine._announce)
        engine.serve()
        self.targets.append(engine)
        await self.until_live("e1")
        address = self.control.control.address
        await self.control.close()
        self.forget_host(self.control)
        self.control = await self.start_host("control", address=address)
        await self.until_live("e1")
        engine._announce.assert_awaited_once()

    async def test_calls_of_a_dead_host_are_unknown(self):
        """A resend elsewhere is told "unknown", not made to wait for ever.

        The host dies between sending an order and committing its answer. Its
        next incarnation proves that the old one is dead.
        """
        service = await self.add_service()
        service.delay_seconds = 30.0
        first = await site.Caller(self.other.settings.http.address).send(
            "POST",
            "/v1/services/desk/orders",
            headers={"Idempotency-Key": "order-6"},
            body=b"{}",
        )
        await site.until(lambda: service.ran)
        gateway = self.other.gateway
        stale = gateway.host
        self.assertEqual(
            (await self.order(name="order-6")).error["type"], "call_running"
        )
        gateway._incarnation += 1  # As its next process would have.
        await gateway._renew()
        reply = await self.order(name="order-6")
        self.assertEqual(reply.error["type"], "call_fate_unknown")
        self.assertEqual(len(service.ran), 1)
        self.assertLess(stale.incarnation, gateway.host.incarnation)
        first.close()

    async def test_calls_of_a_host_that_never_comes_back_are_unknown(self):
        """A resend elsewhere is told "unknown" after two leases.

        The host is cut off for good after it sent the order. Its call may
        still run there, so it is not sent again.
        """
        service = await self.add_service()
        service.delay_seconds = 60.0
        first = await site.Caller(self.other.settings.http.address).send(
            "POST",
            "/v1/services/desk/orders",
            headers={"Idempotency-Key": "order-7"},
            body=b"{}",
        )
        await site.until(lambda: service.ran)
        link = self.other.gateway._link
        link._addresses = ["tcp://127.0.0.1:1"]
        link._use(link._addresses[0])
        calls = self.control.control.replicator.state.calls
        await site.until(lambda: not calls.running_hosts)
        reply = await self.order(name="order-7")
        self.assertEqual(reply.error["type"], "call_fate_unknown")
        self.assertEqual(len(service.ran), 1)
        first.close()

    async def test_missed_changes_are_caught_up_in_one_exchange(self):
        """A host that slept through hundreds of changes has them all."""
        control = self.control.gateway
        for number in range(300):
            await control.propose(
                configuration.CreateKey(
                    label=f"k{number}",
                    team="band",
                    digest=f"{number:064x}",
                    change_id=f"k{number}",
                    author="t",
                    at=0.0,
                )
            )
        answer = await control.ask(
            messages.Watch(
                host=control.host,
                have=1,
                running=0,
            ),
            seconds=5,
        )
        self.assertEqual(len(answer.update.keys), 302)
        view = configuration.View()
        whole = await control.ask(
            messages.Watch(host=control.host, have=0, running=0), seconds=5
        )
        view.update(whole.update)
        self.assertEqual(view.version, 303)


class LinkTest(site.SiteTest):
    async def asyncSetUp(self):
        self._closers, self.targets = [], []
        self.context = zmq.asyncio.Context()

    async def asyncTearDown(self):
        self.context.destroy(linger=0)

    async def test_silent_connection_is_opened_anew(self):
        """Requests go through again without any error from the network.

        Something between the two ends forgets the connection: it stays open
        and says nothing. A forwarder that can fall silent stands for it.
        """
        server = links.Server(
            address="tcp://127.0.0.1:*", handle=_echo, context=self.context
        )
        server.start()
        forwarder = _Forwarder(int(server.address.rsplit(":", 1)[1]))
        port = await forwarder.start()
        link = links.Link(
            address=f"tcp://127.0.0.1:{port}",
            context=self.context,
            on_push=lambda message: None,
            silence=0.3,
        )
        link.start()
        ask = messages.AskStatus(view="x")
        await link.request(ask, seconds=5)
        forwarder.silence_all()
        with self.assertRaises(links.LinkDownError):
            await link.request(ask, seconds=0.1)
        await site.until(lambda: link.reconnects)
        await link.request(ask, seconds=5)
        await link.close()
        await server.close()
        await forwarder.close()


async def _echo(peer, message):
    return messages.Status(body=b"{}")


class _Forwarder:
    """Passes bytes on; connections told to fall silent stay open."""

    def __init__(self, port):
        self._port = port
        self._silent = set()
        self._open = []

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def silence_all(self):
        self._silent.update(self._open)

    async def close(self):
        self._server.close()
        for writer in self._open:
            writer.close()

    async def _accept(self, reader, writer):
        there, back = await asyncio.open_connection("127.0.0.1", self._port)
        self._open += [writer, back]
        await asyncio.gather(
            self._pump(reader, back), self._pump(there, writer)
        )

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if writer not in self._silent:
                    writer.write(data)
        except ConnectionError:
            pass


class NewLeaderTest(site.SiteTest):
    """What a leader does in its first and in its last moments."""

    more_settings = (
        "[timing]\nreport_seconds = 10.0\ntarget_silence_seconds = 20.0\n"
    )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.set_up_rules()

    async def test_request_waits_for_targets_to_be_told(self):
        """The caller gets its answer, not "no target".

        The leader is new; the target lives, and its home is about to tell.
        """
        caller = await self.chat(count=5)
        await site.until(lambda: self.control.gateway.running)
        await self.add_engine("e1")
        self.assertTrue((await caller.reply()).whole)

    async def test_charge_sent_again_waits_for_the_same_credit(self):
        """The caller is admitted once, also when its charge came twice.

        The link was lost while the charge waited, and it was sent again.
        """
        limiter = self.control.control.leading.limiter
        first = messages.Charge(
            team="band", request="all", tokens=100_000, patience=5.0
        )
        await limiter.charge(first)
        waiting = messages.Charge(
            team="band", request="r", tokens=20_000, patience=10.0
        )
        answers = await asyncio.gather(
            limiter.charge(waiting), limiter.charge(waiting)
        )
        for answer in answers:
            self.assertIsInstance(answer, messages.Charged)
        self.assertEqual(limiter._buckets["band"].open, 2)

    async def test_ask_that_comes_after_its_ending_gets_no_place(self):
        """No place is lost to a late send.

        The caller left and its ending came first, over a newer link; then
        the older send of its ask arrives.
        """
        await self.add_engine("e1")
        dispatcher = self.control.control.leading.dispatcher
        dispatcher.release(messages.Ending(request="r.1", team="", used=0))
        answer = await dispatcher.ask(
            messages.AskTicket(
                request="r.1",
                team="band",
                needs="brass",
                tokens=1,
                patience=1.0,
                avoid=[],
                host="gone",
            )
        )
        self.assertIsInstance(answer, messages.Refused)

    async def test_answer_that_waited_past_the_lease_is_not_given(self):
        """No credit is given by a leader that was frozen and replaced.

        The charge was taken while it led; when the answer is ready its lease
        in the log is over. The next leader is asked.
        """
        control = self.control.control
        charge = messages.Charge(
            team="band", request="r", tokens=1, patience=1.0
        )
        leads = [True]
        handle = control.leading.handle

        async def handle_and_lose(peer, message):
            answer = await handle(peer, message)
            leads[0] = False
            return answer

        with (
            unittest.mock.patch.object(
                type(control.replicator),
                "leads",
                unittest.mock.PropertyMock(side_effect=lambda: leads[0]),
            ),
            unittest.mock.patch.object(
                control.leading, "handle", handle_and_lose
            ),
        ):
            answer = await control._handle(b"peer", charge)
        self.assertFalse(leads[0], "the charge was not handled")
        self.assertIsInstance(answer, messages.NotLeader)
