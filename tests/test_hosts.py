"""Tests of several hosts that are disconnected, stopped and restarted."""

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
        """Guards against hosts that serve only targets reporting to them."""
        await self.add_engine("e1")
        reply = await (await self.chat(host=self.other)).reply()
        self.assertTrue(reply.whole)

    async def test_disconnected_host_refuses_requests(self):
        """Guards against withdrawn keys that work on a disconnected host.

        The host loses its connection to the control host without an error.
        After its lease has expired, it must refuse requests with the outcome
        "not run". An operator who waits until a change is in force waits no
        longer than that.
        """
        link = self.other.gateway._link
        link._addresses = ["tcp://127.0.0.1:1"]
        link._use(link._addresses[0])
        await site.until(lambda: not self.other.gateway.leased)
        reply = await (await self.chat(host=self.other)).reply()
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.error["type"], "no_lease")
        self.assertEqual(reply.error["outcome"], "not_run")

    async def test_draining_host_completes_its_streams(self):
        """Guards against streams cut off when their host stops.

        The host is first removed from the address list and has its callers
        connect to other hosts. It must stop only after the last stream has
        ended.
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
        directory = await site.Caller(self.control.settings.http.address).send(
            "GET", "/v1/addresses", key=""
        )
        reply = await directory.reply()
        self.assertNotIn(self.other.settings.url, reply.body.decode())
        reply = await caller.reply()
        self.assertTrue(reply.whole)
        self.assertEqual(reply.text, site.expected_text(60))
        self.assertEqual(await running, 0)

    async def test_restarted_control_host_keeps_accepted_changes(self):
        """Guards against rules, keys or answers of orders lost by a restart.

        Credit is not kept. After the restart, teams must start without credit
        and not with a full burst, so that no team gets a second burst.
        """
        service = await self.add_service()
        await self.order(name="order-1")
        address = self.control.control.address
        await self.control.close()
        self.forget_host(self.control)
        self.control = await self.start_host("control", address=address)
        repeated = await self.order(name="order-1")
        self.assertEqual(repeated.headers.get("Idempotency-Replayed"), "true")
        self.assertEqual(len(service.ran), 1)
        self.assertLess(self.control.control.levels["shop"], 99_000)

    async def test_home_gateway_announces_targets_to_new_leader(self):
        """Guards against targets that are missing after a change of leader.

        The new leader's tables are empty. The target's home gateway is another
        host, which must forward the announcement to the new leader. The target
        itself announces only once.
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

    async def test_calls_of_restarted_host_have_unknown_outcome(self):
        """Guards against repeated calls that wait forever.

        The host fails between sending an order and committing its answer. Its
        next incarnation proves that the old one has ended. A repeat of the
        call through another host must then fail as "unknown".
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
        previous = gateway.host
        self.assertEqual(
            (await self.order(name="order-6")).error["type"], "call_running"
        )
        gateway._incarnation += 1  # Simulates a restarted process.
        await gateway._renew()
        reply = await self.order(name="order-6")
        self.assertEqual(reply.error["type"], "call_fate_unknown")
        self.assertEqual(len(service.ran), 1)
        self.assertLess(previous.incarnation, gateway.host.incarnation)
        first.close()

    async def test_calls_of_lost_host_have_unknown_outcome(self):
        """Guards against calls that wait forever, or are run twice.

        The host is disconnected permanently after it has sent the order. The
        call may still run there, so it must not be sent again. After two
        leases, a repeat through another host must fail as "unknown".
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
        await site.until(lambda: not calls.running_processes)
        reply = await self.order(name="order-7")
        self.assertEqual(reply.error["type"], "call_fate_unknown")
        self.assertEqual(len(service.ran), 1)
        first.close()

    async def test_one_renewal_returns_all_missed_changes(self):
        """Guards against changes missed by a host that was suspended.

        Hundreds of changes have been committed since its last renewal.
        """
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
        answer = await control.request_leader(
            messages.Watch(
                host=control.host,
                config_version=1,
                running=0,
            ),
            seconds=5,
        )
        self.assertEqual(len(answer.update.keys), 302)
        view = configuration.ConfigurationView()
        complete = await control.request_leader(
            messages.Watch(host=control.host, config_version=0, running=0),
            seconds=5,
        )
        view.update(complete.update)
        self.assertEqual(view.version, 303)


class LinkTest(site.SiteTest):
    async def asyncSetUp(self):
        self._closers, self.targets = [], []
        self.context = zmq.asyncio.Context()

    async def asyncTearDown(self):
        self.context.destroy(linger=0)

    async def test_silent_connection_is_reopened(self):
        """Guards against links that stay silent without a network error.

        A device between the two ends loses the state of the connection, which
        stays open but transfers no bytes. A forwarder simulates this.
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
        request = messages.AskStatus(view="x")
        await link.request(request, seconds=5)
        forwarder.silence_all()
        with self.assertRaises(links.LinkDownError):
            await link.request(request, seconds=0.1)
        await site.until(lambda: link.reconnects)
        await link.request(request, seconds=5)
        await link.close()
        await server.close()
        await forwarder.close()


async def _echo(peer, message):
    return messages.Status(body=b"{}")


class _Forwarder:
    """Forwards bytes; silenced connections stay open without any bytes."""

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
        server_reader, server_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        self._open += [writer, server_writer]
        await asyncio.gather(
            self._pump(reader, server_writer), self._pump(server_reader, writer)
        )

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if writer not in self._silent:
                    writer.write(data)
        except ConnectionError:
            pass


class NewLeaderTest(site.SiteTest):
    """Tests of a leader directly after its election and before its end."""

    more_settings = (
        "[timing]\nreport_seconds = 10.0\ntarget_silence_seconds = 20.0\n"
    )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.set_up_rules()

    async def test_request_waits_until_targets_are_reported(self):
        """Guards against requests refused with "no target" by a new leader.

        The target is live, but its home gateway has not yet reported it.
        """
        caller = await self.chat(count=5)
        await site.until(lambda: self.control.gateway.running)
        await self.add_engine("e1")
        self.assertTrue((await caller.reply()).whole)

    async def test_repeated_charge_waits_for_the_same_credit(self):
        """Guards against charging a request twice.

        The link failed while the charge waited, and the charge was sent again.
        """
        limiter = self.control.control.leader_role.limiter
        first = messages.Charge(
            team="band", request="all", tokens=100_000, max_wait_seconds=5.0
        )
        await limiter.charge(first)
        waiting = messages.Charge(
            team="band", request="r", tokens=20_000, max_wait_seconds=10.0
        )
        answers = await asyncio.gather(
            limiter.charge(waiting), limiter.charge(waiting)
        )
        for answer in answers:
            self.assertIsInstance(answer, messages.Charged)
        self.assertEqual(limiter._buckets["band"].open, 2)

    async def test_request_for_place_after_its_completion_is_refused(self):
        """Guards against a place that is never released.

        The caller has disconnected, and the completion arrives first, over a
        newer link. The earlier request for a place arrives after it.
        """
        await self.add_engine("e1")
        dispatcher = self.control.control.leader_role.dispatcher
        dispatcher.complete_request(
            messages.Completion(request="r.1", team="", used=0)
        )
        answer = await dispatcher.request_ticket(
            messages.AskTicket(
                request="r.1",
                team="band",
                needs="brass",
                tokens=1,
                max_wait_seconds=1.0,
                avoid=[],
                host="gone",
            )
        )
        self.assertIsInstance(answer, messages.Refused)

    async def test_answer_is_discarded_after_leader_lost_its_lease(self):
        """Guards against credit granted by a replaced leader.

        The leader accepted the charge and was then suspended. When the answer
        is ready, its lease in the log has expired. The gateway must send the
        charge to the next leader.
        """
        control = self.control.control
        charge = messages.Charge(
            team="band", request="r", tokens=1, max_wait_seconds=1.0
        )
        leads = [True]
        handle = control.leader_role.handle

        async def handle_and_lose_lease(peer, message):
            answer = await handle(peer, message)
            leads[0] = False
            return answer

        with (
            unittest.mock.patch.object(
                type(control.replicator),
                "is_leader",
                unittest.mock.PropertyMock(side_effect=lambda: leads[0]),
            ),
            unittest.mock.patch.object(
                control.leader_role, "handle", handle_and_lose_lease
            ),
        ):
            answer = await control._handle(b"peer", charge)
        self.assertFalse(leads[0], "the charge was not handled")
        self.assertIsInstance(answer, messages.NotLeader)
