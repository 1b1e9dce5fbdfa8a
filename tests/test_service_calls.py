from tests import site


class ServiceCallTest(site.SiteTest):
    """Non-idempotent calls run at most once and report true outcomes."""

    more_settings = "[requests]\nservice_seconds = 5.0\n"

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.set_up_rules()

    async def test_resend_gets_the_stored_answer(self):
        service = await self.add_service()
        first = await self.order(name="order-1")
        second = await self.order(name="order-1")
        self.assertEqual(first.body, second.body)
        self.assertEqual(second.headers["Idempotency-Replayed"], "true")
        self.assertEqual(len(service.ran), 1)

    async def test_lost_answer_is_unknown_and_never_sent_again(self):
        """Guards against running an order twice.

        The service runs the order and closes its connection before the
        answer. Sending the order to the second available service would run it
        twice. The outcome is "unknown", also for a resend.
        """
        service = await self.add_service()
        other = await self.add_service("desk-2")
        service.cut_answers = other.cut_answers = 1
        first = await self.order(name="order-2")
        second = await self.order(name="order-2")
        self.assertEqual(first.error["outcome"], "unknown")
        self.assertEqual(second.error["outcome"], "unknown")
        self.assertEqual(second.error["type"], "call_fate_unknown")
        self.assertEqual(len(service.ran) + len(other.ran), 1)

    async def test_unreachable_service_releases_the_key(self):
        """Guards against a key that stays blocked by a call that never ran.

        Connecting to the stopped service fails, so no byte was sent and the
        record is removed. The outcome is "not_run" and a resend runs.
        """
        dead = await self.add_service("desk-1")
        dead.silent = True
        dead._server.stop()
        await dead._server.close_all_connections()
        first = await self.order(name="order-3")
        self.assertEqual(first.error["outcome"], "not_run")
        alive = await self.add_service("desk-2")
        second = await self.order(name="order-3")
        self.assertEqual(second.status, 200)
        self.assertEqual(len(alive.ran), 1)

    async def test_other_body_with_the_same_key_is_a_conflict(self):
        service = await self.add_service()
        await self.order(name="order-4", body=b"{}")
        reply = await self.order(name="order-4", body=b'{"count": 2}')
        self.assertEqual(reply.status, 409)
        self.assertEqual(reply.error["outcome"], "not_run")
        self.assertEqual(len(service.ran), 1)

    async def test_call_without_key_is_refused(self):
        service = await self.add_service()
        reply = await self.order(name="")
        self.assertEqual(reply.error["type"], "idempotency_key_needed")
        self.assertEqual(service.ran, [])

    async def test_idempotent_call_is_retried(self):
        service = await self.add_service()
        other = await self.add_service("desk-2")
        service.cut_answers = 1
        other.cut_answers = 0
        for _ in range(2):
            reply = await self.order(name="", path="lookup")
            self.assertEqual(reply.status, 200)

    async def test_resend_during_the_first_call_does_not_run(self):
        service = await self.add_service()
        service.delay_seconds = 0.3
        address = self.control.settings.http.address
        first = await site.Caller(address).send(
            "POST",
            "/v1/services/desk/orders",
            headers={"Idempotency-Key": "order-5"},
            body=b"{}",
        )
        await site.until(lambda: service.ran)
        second = await self.order(name="order-5")
        self.assertEqual(second.error["type"], "call_running")
        self.assertEqual((await first.reply()).status, 200)
        self.assertEqual(len(service.ran), 1)
