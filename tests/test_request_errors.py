"""Requests whose handling raises an unexpected error.

Each gets a complete answer or a visible break at once, is answered as not run
only if it was not sent, and ends in the records of its target.
"""

import asyncio
from unittest import mock

from endivestream import clock
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib
from endivestream.request import answer_relay
from endivestream.request import call as call_lib
from endivestream.request import relay_hosts as relay_hosts_lib
from endivestream.request import sending
from endivestream.request import target_wait
from endivestream.version import document as document_lib
from tornado import httpserver
from tornado import httputil
from tornado import netutil

from tests import entry_site
from tests import standin
from tests import test_document
from tests import test_forward

# Less than the timeout of the routes.
_PROMPT_SECONDS = 2.0
_ERRORS = (OverflowError("inf"), httputil.HTTPInputError("header"), KeyError(1))


class RequestErrorTest(test_forward.ForwardTest):
    """Guards against requests that are never answered after an error."""

    async def _ask(self, **fields):
        async with asyncio.timeout(_PROMPT_SECONDS):
            return await self.caller.ask(**fields)

    def _assert_nothing_runs(self):
        for name in self.view.targets:
            self.assertEqual(self.view.load(name), 0)
        self.assertEqual(self.forwarder._active, {})

    async def _serve_next(self):
        """The same connection still serves requests."""
        reply = await self._ask(body=b"next")
        self.assertEqual((reply.status, reply.body), (200, b"done"))

    async def _check_unsent(self, patch):
        target = await self._start_target(
            standin.says(standin.answer(body=b"done"))
        )
        with patch:
            reply = await self._ask(body=b"order")
        self.assertEqual(reply.status, 503)
        self.assertTrue(reply.whole)
        self.assertIn(b"internal_error", reply.body)
        self.assertEqual(target.requests, [])
        self._assert_nothing_runs()
        await self._serve_next()

    async def test_an_error_before_the_send_is_answered_as_not_run(self):
        self._route(test_forward.ONCE)
        for error in _ERRORS:
            for owner, name in (
                (target_wait.TargetWait, "select"),
                (sending.Sender, "_request_headers"),
                (exchange_lib.Exchange, "connect"),
            ):
                with self.subTest(error=error, name=name):
                    await self._check_unsent(
                        mock.patch.object(owner, name, side_effect=error)
                    )
                    for target in list(self.view.targets):
                        self.view.set_targets([], [target], clock.now())

    async def test_a_header_that_cannot_be_sent_is_no_fault_of_the_target(self):
        self._route(test_forward.ONCE)
        for value in ("Łódź", "a\r\nX-Key: b"):
            with self.subTest(value=value):
                await self._check_unsent(
                    mock.patch.object(
                        sending.Sender,
                        "_request_headers",
                        return_value={"X-Odd": value},
                    )
                )
                target = next(iter(self.view.targets))
                self.view.set_targets([], [target], clock.now())

    async def test_an_error_after_the_send_is_no_promise(self):
        self._route(test_forward.ONCE)
        for error in _ERRORS:
            for owner, name in (
                (exchange_lib.Exchange, "head"),
                (answer_relay.AnswerRelay, "relay_buffered"),
            ):
                target = await self._start_target(
                    standin.says(standin.answer(body=b"done"))
                )
                with self.subTest(error=error, name=name):
                    with mock.patch.object(owner, name, side_effect=error):
                        reply = await self._ask(body=b"order")
                    self.assertEqual(reply.status, 502)
                    self.assertTrue(reply.whole)
                    self._assert_nothing_runs()
                    await self._serve_next()
                self.assertEqual(len(target.requests), 2)
                for name in list(self.view.targets):
                    self.view.set_targets([], [name], clock.now())

    async def test_an_error_amid_a_stream_breaks_it_visibly(self):
        self._route(test_forward.STREAM)
        first_received = asyncio.Event()

        async def script(request, writer):
            writer.write(standin.stream_head())
            writer.write(standin.chunk(standin.event(1)))
            await first_received.wait()
            writer.write(standin.chunk(standin.event(2)))
            await standin.hangs(request, writer)

        await self._start_target(script)
        error = OverflowError("inf")
        with mock.patch.object(call_lib.Call, "write", side_effect=error):
            self.caller.send()
            async with asyncio.timeout(_PROMPT_SECONDS):
                await self.caller.reader.readuntil(b"piece 1\n\n\r\n")
                first_received.set()
                rest = await self.caller.reader.read()
        self.assertEqual(rest, b"")
        self._assert_nothing_runs()

    async def test_an_answer_that_cannot_be_relayed_gets_502(self):
        """Guards against a half-begun answer after which no other is sent."""
        self._route(test_forward.ONCE)
        await self._start_target(standin.says(standin.answer(body=b"done")))
        relayed = answer_relay.end_to_end_headers

        def spoil(headers):
            fields = relayed(headers)
            fields["X-Odd"] = "Łódź"
            return fields

        with mock.patch.object(answer_relay, "end_to_end_headers", spoil):
            reply = await self._ask(body=b"order")
        self.assertEqual((reply.status, reply.whole), (502, True))
        self._assert_nothing_runs()
        await self._serve_next()

    async def test_a_target_without_a_usable_port_is_only_unreachable(self):
        self._route(test_forward.ONCE)
        self._register("odd", "127.0.0.1:84220")
        await self._start_target(
            standin.says(standin.answer(body=b"done")), slots=1
        )
        for _ in range(6):
            reply = await self._ask(body=b"order")
            self.assertEqual((reply.status, reply.body), (200, b"done"))
        self._assert_nothing_runs()

    async def test_odd_keep_alive_times_are_ignored(self):
        """Guards against digits of other scripts and thousands of digits."""
        self._route(test_forward.ONCE)
        for text in ("\u00b2", "9" * 5000, "-1", "1e3", "", "nan"):
            head = standin.answer(body=b"done", Keep_Alive=f"timeout={text}")
            await self._start_target(standin.says(head))
            with self.subTest(text=text[:5]):
                reply = await self._ask(body=b"order")
                self.assertEqual((reply.status, reply.body), (200, b"done"))
            for name in list(self.view.targets):
                self.view.set_targets([], [name], clock.now())

    async def test_malformed_headers_of_relayed_requests_are_answered(self):
        """Guards against relayed requests without an answer."""
        front = call_lib.RequestServer(
            serve=self.forwarder.serve_relayed, now=clock.now
        )
        server = httpserver.HTTPServer(front)
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self.addAsyncCleanup(server.close_all_connections)
        self.addCleanup(server.stop)
        address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        caller = await standin.Caller(address).start()
        self.addCleanup(caller.close)
        deep = "[" * 10_000
        for text in (
            "",
            "{}",
            deep,
            '{"host":"h","version":1,"last_event":"\\u0141"}',
        ):
            with self.subTest(text=text[:60]):
                caller.send(**{relay_hosts_lib.REQUEST_HEADER: text})
                async with asyncio.timeout(_PROMPT_SECONDS):
                    reply = await caller.reply()
                self.assertEqual((reply.status, reply.whole), (400, True))


class ServerErrorTest(test_forward.ForwardTest):
    async def test_an_error_of_the_whole_handler_is_answered(self):
        """Guards against a connection that stays open without an answer."""
        self.front._serve = mock.AsyncMock(side_effect=KeyError("x"))
        async with asyncio.timeout(_PROMPT_SECONDS):
            reply = await self.caller.ask()
        self.assertEqual((reply.status, reply.whole), (500, True))


class OddAddressSiteTest(entry_site.EntrySite):
    async def test_requests_are_answered_beside_an_odd_address(self):
        """Guards against requests without an answer after an odd report."""
        route = test_document.route(
            kind=document_lib.Kind.ONCE, timeout=5.0, max_attempts=1
        )
        await self._apply(test_document.document(1, routes=[route]))
        await self._register()
        control = list(self.controls.values())[-1]
        odd = registry_lib.Registration(
            name="odd", service="desk", address="127.0.0.1:84220", domain="a"
        )
        async with asyncio.timeout(5):
            await control.register(odd)
        await self._wait_in_force(1)
        for entry in self.entries:
            await self._wait_until(
                lambda entry=entry: "t1" in entry._view.targets
            )
            for _ in range(5):
                async with asyncio.timeout(_PROMPT_SECONDS):
                    reply = await self._send_request(entry)
                self.assertEqual((reply.status, reply.body), (200, b"done"))
