import asyncio
import json
import unittest.mock

from endivestream import messages
from standins import engine as engine_lib

from tests import site


def _options(**more):
    return engine_lib.Options(step_seconds=0.001, **more)


class RelayTest(site.SiteTest):
    """Answers that callers receive when targets of their streams fail."""

    more_settings = "[requests]\nstream_silence_seconds = 0.4\n"

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.set_up_rules()

    async def test_stream_is_complete(self):
        await self.add_engine("e1")
        reply = await (await self.chat(count=30)).reply()
        self.assertTrue(reply.whole)
        self.assertEqual(reply.text, site.expected_text(30))

    async def test_answer_without_stream_is_complete(self):
        await self.add_engine("e1")
        reply = await (await self.chat(count=7, stream=False)).reply()
        answer = json.loads(reply.body)
        message = answer["choices"][0]["message"]
        self.assertEqual(message["content"], site.expected_text(7))
        self.assertEqual(answer["usage"]["completion_tokens"], 7)

    async def test_stream_of_a_killed_engine_is_resumed(self):
        """Guards against lost, repeated or reordered tokens after a failure.

        The first engine closes its connection after five tokens. The gateway
        requests another ticket and the second engine continues at token six.
        The caller receives every token once, in order, and the final marker.
        """
        await self.add_engine("e1", options=_options(break_after=5))
        await self.add_engine("e2", options=_options(break_after=12))
        await self.add_engine("e3")
        reply = await (await self.chat(count=40)).reply()
        self.assertTrue(reply.whole)
        self.assertEqual(reply.text, site.expected_text(40))

    async def test_stream_is_not_resumed_at_another_software_version(self):
        """Guards against answers with tokens of two software versions."""
        broken = await self.add_engine(
            "e1", options=_options(break_after=5), software="v1"
        )
        reply = await (await self.chat(count=40)).reply()
        other = await self.add_engine("e2", software="v2")
        while len(broken.seen) < 2:
            # The first ticket may be for either engine.
            other.seen.clear()
            reply = await (await self.chat(count=40)).reply()
        self.assertFalse(reply.whole)
        self.assertEqual([], other.seen)
        await self.add_engine("e3", software="v1")
        reply = await (await self.chat(count=40)).reply()
        self.assertTrue(reply.whole)
        self.assertEqual(reply.text, site.expected_text(40))

    async def test_answer_without_final_marker_is_not_complete(self):
        """Guards against reporting a truncated answer as complete.

        The engine ends the body properly after five tokens, without the final
        marker; nothing else distinguishes it from a complete answer. The
        caller receives a typed error, or with a second engine the complete
        answer.
        """
        await self.add_engine("e1", options=_options(end_after=5))
        reply = await (await self.chat(count=40)).reply()
        self.assertFalse(reply.whole)
        self.assertEqual(reply.error["outcome"], "failed")
        reply = await (await self.chat(count=40, stream=False)).reply()
        self.assertEqual(reply.status, 502)
        await self.add_engine("e2")
        reply = await (await self.chat(count=40)).reply()
        self.assertTrue(reply.whole)
        self.assertEqual(reply.text, site.expected_text(40))

    async def test_stream_of_a_silent_engine_is_resumed(self):
        """Guards against streams that hang on a silent connection.

        The first engine's connection stays open but sends no more bytes, as
        if a middlebox had dropped its state, and no error occurs. The limit on
        silence closes the connection and the second engine continues. The
        caller receives the rest after a pause.
        """
        stalling = await self.add_engine("e1", options=_options(stall_after=3))
        await self.add_engine("e2", options=_options())
        replies = [await (await self.chat(count=20)).reply() for _ in range(3)]
        for reply in replies:
            self.assertEqual(reply.text, site.expected_text(20))
            self.assertTrue(reply.whole)
        self.assertTrue(stalling.seen)

    async def test_killed_engine_without_another_copy_gives_an_error(self):
        """Guards against a truncated answer that looks complete.

        The only engine closes the stream. The caller receives some tokens,
        then an error event and no final marker. The request did run, so the
        outcome is "failed".
        """
        await self.add_engine("e1", options=_options(break_after=5))
        reply = await (await self.chat(count=40)).reply()
        self.assertFalse(reply.whole)
        self.assertEqual(reply.error["outcome"], "failed")
        self.assertEqual(reply.error["type"], "target_failed")

    async def test_engine_that_cannot_resume_gets_no_resumed_stream(self):
        """Guards against a second, different answer within one stream.

        The remaining engine cannot resume a stream. If it were sent the
        prompt again, the caller would receive other tokens after the first
        five. The caller receives a typed error instead.
        """
        await self.add_engine("e1", options=_options(break_after=5))
        other = await self.add_engine(
            "e2", resumes=False, options=_options(break_after=5)
        )
        reply = await (await self.chat(count=40)).reply()
        self.assertFalse(reply.whole)
        self.assertEqual(reply.error["outcome"], "failed")
        # Tokens in transit may be lost when the connection closes.
        self.assertTrue(site.expected_text(5).startswith(reply.text))
        for request in other.seen:
            self.assertNotIn("endivestream", request["body"])

    async def test_answer_of_another_attempt_is_not_relayed(self):
        """Guards against disclosing another caller's answer.

        A faulty engine answers with the id of another attempt. The gateway
        drops the answer and uses another engine.
        """
        await self.add_engine("e1", options=_options(wrong_attempt=True))
        await self.add_engine("e2")
        for _ in range(3):
            reply = await (await self.chat(count=10)).reply()
            self.assertTrue(reply.whole)
            self.assertEqual(reply.text, site.expected_text(10))

    async def test_unreachable_engine_is_replaced(self):
        """Guards against failing a request that has not been sent.

        One engine has just stopped and is still registered. Connecting to it
        fails, which proves that nothing was sent, so another engine is used.
        """
        dead = await self.add_engine("e1")
        dead.silent = True
        dead._server.stop()
        await dead._server.close_all_connections()
        await self.add_engine("e2")
        reply = await (await self.chat(count=10)).reply()
        self.assertTrue(reply.whole)

    async def test_no_engine_gives_not_run_and_retry_after(self):
        reply = await (await self.chat()).reply()
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.error["outcome"], "not_run")
        self.assertIn("Retry-After", reply.headers)

    async def test_no_request_before_the_retry_after_of_an_engine(self):
        """Guards against requests to an engine that asked hosts to wait."""
        options = engine_lib.Options(retry_after="3600")
        engine = await self.add_engine("e1", options=options)
        await (await self.chat()).reply()
        scheduler = self.control.control.leader_role.dispatcher._scheduler
        await site.until(lambda: scheduler._backoff_until)
        reply = await (await self.chat()).reply()
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.error["code"], "target_backoff")
        self.assertGreater(int(reply.headers["Retry-After"]), 3000)
        self.assertEqual(len(engine.seen), 1)

    async def test_withdrawn_key_ends_its_stream(self):
        """Guards against streams that continue after their key is withdrawn.

        When the gateway receives the withdrawal it ends the request and closes
        the engine's connection, so the engine stops. The caller receives a
        typed error with the label of the key.
        """
        engine = await self.add_engine(
            "e1", options=engine_lib.Options(step_seconds=0.02)
        )
        caller = await self.chat(count=100_000 - 100)
        await site.until(lambda: engine.seen)
        await self.revoke("band-1")
        reply = await caller.reply()
        self.assertFalse(reply.whole)
        self.assertEqual(reply.error["type"], "key_withdrawn")
        self.assertIn("band-1", reply.error["message"])
        await site.until(lambda: engine.cancelled == 1)
        second_reply = await (await self.chat()).reply()
        self.assertEqual(second_reply.status, 401)
        self.assertEqual(second_reply.error["outcome"], "not_run")

    async def test_withdrawn_key_refuses_queued_work(self):
        """Guards against running queued requests of a withdrawn key.

        The only slot of the engine is in use when the withdrawal arrives. No
        byte of the queued request was sent, so its outcome is "not_run".
        """
        slow = engine_lib.Options(step_seconds=0.02)
        engine = await self.add_engine("e1", slots=1, options=slow)
        first = await self.chat(key=site.OTHER_KEY, count=50_000, model="brass")
        await site.until(lambda: engine.seen)
        second = await self.chat()
        await site.until(lambda: self.control.gateway.running == 2)
        await self.revoke("band-1")
        reply = await second.reply()
        self.assertEqual(reply.error["outcome"], "not_run")
        self.assertEqual(len(engine.seen), 1)
        first.close()

    async def test_disconnected_caller_stops_the_engine(self):
        """Guards against slots and credit held for a disconnected caller.

        A caller closes its connection mid-stream and the gateway closes the
        engine's connection. The engine stops, the next caller gets the only
        slot, and unused credit is refunded.
        """
        engine = await self.add_engine(
            "e1", slots=1, options=engine_lib.Options(step_seconds=0.01)
        )
        caller = await self.chat(count=50_000)
        await site.until(lambda: engine.seen)
        caller.close()
        await site.until(lambda: engine.cancelled == 1)
        reply = await (await self.chat(count=3)).reply()
        self.assertTrue(reply.whole)
        await site.until(lambda: self.control.control.levels["band"] > 99_000)

    async def test_request_is_not_sent_if_the_lease_expired_in_the_queue(self):
        """Guards against running a request under an outdated configuration.

        The host was frozen while the request waited. Its key may have been
        withdrawn in the meantime, so the request is refused as "not_run".
        """
        engine = await self.add_engine("e1")
        service = await self.add_service()
        gateway = type(self.control.gateway)
        for send in (self.chat, self.order):
            with unittest.mock.patch.object(
                gateway, "leased", unittest.mock.PropertyMock()
            ) as leased:
                leased.side_effect = [True] + [False] * 50
                if send == self.chat:
                    reply = await (await send()).reply()
                else:
                    reply = await send(name="order-1")
            self.assertEqual(reply.error["type"], "no_lease")
            self.assertEqual(reply.error["outcome"], "not_run")
        self.assertEqual(engine.seen + service.ran, [])

    async def test_draining_target_gets_no_requests(self):
        engine = await self.add_engine("e1")
        await self.add_engine("e2")
        answer = await self.control.gateway.request_leader(
            messages.DrainTarget(name="e1", draining=True), seconds=5
        )
        self.assertEqual(answer.reason, "")
        for _ in range(4):
            await (await self.chat(count=2)).reply()
        self.assertEqual(engine.seen, [])


class KeysTest(site.SiteTest):
    """Access of keys to models and services, and secrecy of the keys."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.set_up_rules()
        self.engine = await self.add_engine("e1")
        self.service = await self.add_service()

    async def test_keys_are_not_forwarded_to_targets(self):
        await (await self.chat(count=2)).reply()
        await self.order(name="a-key-of-an-order")
        received = repr(self.engine.seen) + repr(self.service.ran)
        self.assertNotIn(site.KEY, received)
        self.assertNotIn("Authorization", received)

    async def test_key_in_the_body_or_query_is_refused(self):
        body = await (await self.chat(user=site.KEY)).reply()
        self.assertEqual(body.error["type"], "key_in_request")
        caller = await site.Caller(self.control.settings.http.address).send(
            "GET", f"/v1/services/lookup/parts?api_key={site.KEY}"
        )
        reply = await caller.reply()
        self.assertEqual(reply.error["type"], "key_in_request")
        self.assertEqual(self.engine.seen + self.service.ran, [])

    async def test_withdrawn_key_ends_an_idle_connection_too(self):
        """Guards against authenticating a connection only once.

        The connection was accepted while the key was valid and stays idle
        while the key is withdrawn. The next request on it must be refused.
        """
        address = self.control.settings.http.address
        reader, writer = await asyncio.open_connection(*address.split(":"))
        self.addCleanup(writer.close)

        async def request_status():
            writer.write(
                f"GET /v1/models HTTP/1.1\r\nHost: x\r\n"
                f"Authorization: Bearer {site.KEY}\r\n\r\n".encode()
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            size = head.lower().split("content-length: ")[1].split()[0]
            await reader.readexactly(int(size))
            return int(head.split()[1])

        self.assertEqual(await request_status(), 200)
        await self.revoke("band-1")
        self.assertEqual(await request_status(), 401)

    async def test_team_can_use_only_what_its_rules_allow(self):
        reply = await (await self.chat(key=site.OTHER_KEY)).reply()
        self.assertEqual(reply.status, 404)
        self.assertIn("valid: brass", reply.error["message"])
        reply = await self.order(name="k", key=site.OTHER_KEY)
        self.assertEqual(reply.status, 404)
        self.assertEqual(reply.error["outcome"], "not_run")

    async def test_invalid_bodies_are_refused_before_credit_is_spent(self):
        for overrides, part in (
            ({"n": 2}, "'n' is 2"),
            ({"max_tokens": 0}, "'max_tokens'"),
            ({"messages": "x"}, "'messages'"),
            ({"stream": "yes"}, "'stream'"),
            ({"model": "brss"}, "valid: brass, horns"),
        ):
            reply = await (await self.chat(**overrides)).reply()
            self.assertIn(part, reply.error["message"])
            self.assertEqual(reply.error["outcome"], "not_run")
        self.assertEqual(self.engine.seen, [])

    async def test_cost_above_the_burst_is_refused_without_retry_after(self):
        reply = await (await self.chat(count=200_000)).reply()
        self.assertEqual(reply.error["type"], "above_burst")
        self.assertNotIn("Retry-After", reply.headers)


class InterfaceTest(site.SiteTest):
    """Basic checks of the other HTTP routes."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.set_up_rules()
        self.engine = await self.add_engine("e1")

    async def _get(self, path, key=site.KEY):
        address = self.control.settings.http.address
        caller = await site.Caller(address).send("GET", path, key=key)
        return await caller.reply()

    async def test_plain_completions(self):
        body = {"model": "brass", "prompt": "Valve oil?", "max_tokens": 4}
        for stream in (True, False):
            caller = await site.Caller(self.control.settings.http.address).send(
                "POST",
                "/v1/completions",
                body=json.dumps({**body, "stream": stream}).encode(),
            )
            reply = await caller.reply()
            words = [
                engine_lib.token(json.dumps("Valve oil?"), n)
                for n in range(1, 5)
            ]
            if stream:
                texts = [json.loads(e)["choices"] for e in reply.events[:4]]
                self.assertEqual([c[0]["text"] for c in texts], words)
                self.assertTrue(reply.whole)
            else:
                answer = json.loads(reply.body)
                self.assertEqual(answer["object"], "text_completion")
                self.assertEqual(answer["choices"][0]["text"], "".join(words))

    async def test_models_lists_only_models_of_the_team(self):
        reply = await self._get("/v1/models")
        rows = {row["id"]: row for row in json.loads(reply.body)["data"]}
        self.assertEqual(sorted(rows), ["brass", "horns"])
        self.assertEqual(rows["horns"]["parent"], "brass")

    async def test_health_addresses_and_metrics_need_no_key(self):
        await (await self.chat(count=2)).reply()
        for path in ("/healthz", "/readyz"):
            self.assertEqual((await self._get(path, key="")).status, 200)
        answer = json.loads((await self._get("/v1/addresses", "")).body)
        self.assertEqual(
            [row["url"] for row in answer["addresses"]],
            [self.control.settings.url],
        )
        text = (await self._get("/metrics", key="")).body.decode()
        self.assertIn("endivestream_tokens_total 2.0", text)
        self.assertIn('outcome="ok"', text)

    async def test_unknown_path_gives_not_run(self):
        reply = await self._get("/v2/nothing")
        self.assertEqual(reply.status, 404)
        self.assertEqual(reply.error["outcome"], "not_run")


class InputTest(site.SiteTest):
    """Slow and oversized requests do not affect other callers."""

    more_http = "body_seconds = 0.3\nidle_seconds = 0.3\n"

    async def test_slow_input_is_cut_off(self):
        """Guards against connections that are held by slow callers.

        One caller never completes its headers, another never completes its
        body. Other callers are served in the meantime.
        """
        address = self.control.settings.http.address
        host, port = address.split(":")
        slow = []
        for start in (
            b"POST /v1/models HTT",
            b"POST /v1/models HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
        ):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(start)
            slow.append((reader, writer))
        caller = await site.Caller(address).send("GET", "/healthz")
        self.assertEqual((await caller.reply()).status, 200)
        for reader, writer in slow:
            async with asyncio.timeout(20):
                answer = await reader.read()
            self.assertNotIn(b" 200 ", answer)
            writer.close()

    async def test_oversized_input_is_refused(self):
        address = self.control.settings.http.address
        host, port = address.split(":")
        body = b"POST /v1/models HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"
        long_head = b"GET / HTTP/1.1\r\nX: " + b"x" * 40_000 + b"\r\n\r\n"
        for head, start, end in (
            (body, b"HTTP/1.1 413 ", b"}"),
            (long_head, b"", b""),
        ):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(head)
            answer = await reader.read()
            self.assertEqual((start, end), (answer[: len(start)], answer[-1:]))
            writer.close()
        caller = await site.Caller(address).send("GET", "/healthz")
        self.assertEqual((await caller.reply()).status, 200)
