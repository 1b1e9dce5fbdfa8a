"""Tests of the bounds of one HTTP listener, in one event loop."""

import asyncio
import unittest

from endivestream import clock
from endivestream.process import bounded_server
from endivestream.process import request_memory
from endivestream.request import call as call_lib
from endivestream.request.buffering import budget as budget_lib
import hypothesis
from hypothesis import strategies as st
from tornado import netutil

from tests import standin

LIMITS = bounded_server.Limits(
    connections=100,
    header_bytes=64 * 1024,
    body_bytes=50_000,
    header_seconds=0.1,
    idle_seconds=60.0,
)
TOTAL_BYTES = 100_000
CHUNKED_HEAD = (
    b"POST /x/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class BudgetTest(unittest.TestCase):
    def _budget(self, total=1000):
        return budget_lib.Budget(
            bounds=budget_lib.Bounds(total=total, answer=total)
        )

    def test_silent_requests_are_dropped_before_those_that_arrive(self):
        """Guards against stalled bodies that keep all others out."""
        budget = self._budget()
        silent = budget.open_request(0.0)
        self.assertTrue(budget.hold(silent, 400, 0.0))
        complete = budget.open_request(0.0)
        self.assertTrue(budget.hold(complete, 400, 0.0))
        budget.complete_request(complete)
        arriving = budget.open_request(9.0)
        self.assertTrue(budget.hold(arriving, 150, 9.0))
        new = budget.open_request(9.0)
        self.assertFalse(budget.hold(new, 100, 9.0))
        self.assertEqual([silent], budget.find_droppable(new, 100, 9.0))
        self.assertEqual([], budget.find_droppable(new, 700, 9.0))

    def test_large_requests_leave_room_for_small_ones(self):
        """Guards against small requests refused beside large running ones."""
        budget = self._budget(total=10_000_000)
        for _ in range(9):
            key = budget.open_request(0.0)
            self.assertTrue(budget.hold(key, 1_000_000, 0.0))
            budget.complete_request(key)
        large = budget.open_request(0.0)
        self.assertFalse(budget.hold(large, 100_000, 0.0))
        small = budget.open_request(0.0)
        self.assertTrue(budget.hold(small, 60_000, 0.0))

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["open", "hold", "complete", "release"]),
                st.integers(0, 30),
                st.integers(1, 400),
            ),
            max_size=80,
        )
    )
    def test_no_sequence_exceeds_the_budget_or_drops_a_complete_request(
        self, steps
    ):
        """Guards against bytes counted twice, lost, or taken from a run."""
        budget = self._budget()
        memory = request_memory.RequestMemory(budget=budget)
        held, complete = {}, set()

        def add():
            def drop():
                self.assertNotIn(key, complete)
                memory.release(key)
                del held[key]

            key = memory.open(drop)
            held[key] = 0

        for kind, which, size in steps:
            if kind == "open" or not held:
                add()
                continue
            key = sorted(held)[which % len(held)]
            if kind == "hold" and key not in complete:
                if memory.hold(key, size):
                    held[key] += size
            elif kind == "complete":
                complete.add(key)
                memory.complete(key)
            elif kind == "release":
                complete.discard(key)
                memory.release(key)
                del held[key]
            self.assertEqual(sum(held.values()), memory.held)
            self.assertLessEqual(memory.held, 1000)
        for key in list(held):
            memory.release(key)
        self.assertEqual(0, memory.held)


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.served = []
        self.release_answers = asyncio.Event()
        self.release_answers.set()
        self.budget = budget_lib.Budget(
            bounds=budget_lib.Bounds(total=TOTAL_BYTES, answer=TOTAL_BYTES)
        )
        self.server = bounded_server.BoundedServer(
            call_lib.RequestServer(serve=self._serve, now=clock.now),
            name="callers",
            limits=LIMITS,
            memory=request_memory.RequestMemory(budget=self.budget),
            turns=bounded_server.ChunkTurns(),
            max_unread=100_000,
            max_unsent=1_000_000,
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self.callers = []

    async def asyncTearDown(self):
        self.release_answers.set()
        for caller in self.callers:
            caller.close()
        self.server.stop()
        await self.server.close_all_connections()
        self.assertEqual(0, self.budget.held)
        self.assertEqual(0, self.server.connections)

    async def _serve(self, call):
        self.served.append(call)
        await self.release_answers.wait()
        await call.answer(200, {}, b"done")

    async def _caller(self):
        caller = await standin.Caller(self.address).start()
        self.callers.append(caller)
        return caller

    async def _wait_until(self, is_done):
        async with asyncio.timeout(30):
            while not is_done():
                await asyncio.sleep(0.005)

    async def _reply(self, caller):
        async with asyncio.timeout(30):
            return await caller.reply()

    async def test_announced_body_over_the_limit_is_refused_at_once(self):
        """Guards against reading a body that will be refused."""
        caller = await self._caller()
        caller.writer.write(
            b"POST /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: 50001\r\n\r\n"
        )
        reply = await self._reply(caller)
        self.assertEqual((413, True), (reply.status, reply.whole))
        self.assertEqual(b"", await caller.reader.read())
        self.assertEqual([], self.served)

    async def test_chunked_body_over_the_limit_is_refused(self):
        """Guards against chunked bodies without an end."""
        caller = await self._caller()
        caller.writer.write(CHUNKED_HEAD)
        for _ in range(6):
            caller.writer.write(standin.chunk(b"x" * 10_000))
        reply = await self._reply(caller)
        self.assertEqual((413, True), (reply.status, reply.whole))
        self.assertEqual([], self.served)

    async def test_body_of_exactly_the_limit_is_served(self):
        """Guards against a limit that refuses what it allows."""
        caller = await self._caller()
        caller.send(body=b"x" * 50_000)
        self.assertEqual(200, (await self._reply(caller)).status)
        caller.writer.write(
            CHUNKED_HEAD + standin.chunk(b"y" * 50_000) + standin.END
        )
        self.assertEqual(200, (await self._reply(caller)).status)
        self.assertEqual(
            [b"x" * 50_000, b"y" * 50_000], [each.body for each in self.served]
        )

    async def test_small_chunks_arrive_whole(self):
        """Guards against bytes lost or moved while bodies take turns."""
        callers = [await self._caller() for _ in range(5)]
        bodies = [
            bytes((n + i) % 256 for i in range(5000))
            for n in range(len(callers))
        ]
        for caller, body in zip(callers, bodies, strict=True):
            caller.writer.write(
                b"POST /x/ HTTP/1.1\r\nHost: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                + b"".join(
                    standin.chunk(body[i : i + 2])
                    for i in range(0, len(body), 2)
                )
                + standin.END
            )
        for caller in callers:
            self.assertEqual(200, (await self._reply(caller)).status)
        self.assertCountEqual(bodies, [each.body for each in self.served])

    async def test_client_that_expects_to_go_on_gets_one_answer(self):
        """Guards against 100 Continue after the refusal."""
        fields = b"".join(b"f%d: 1\r\n" % n for n in range(500))
        caller = await self._caller()
        caller.writer.write(
            b"POST /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n"
            b"Expect: 100-continue\r\n" + fields + b"\r\n"
        )
        reply = await self._reply(caller)
        self.assertEqual((503, True), (reply.status, reply.whole))
        self.assertIn(b"no_memory", reply.body)
        self.assertEqual(b"", await caller.reader.read())

    async def test_head_request_is_refused_without_a_body(self):
        """Guards against bytes that the client takes for the next answer."""
        caller = await self._caller()
        caller.writer.write(
            b"HEAD /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n"
        )
        head = await caller.reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 413"))
        self.assertEqual(b"", await caller.reader.read())

    async def test_stalled_body_is_refused_for_one_that_arrives(self):
        """Guards against stalled clients that keep the others out."""
        self.release_answers.clear()
        stalled = []
        for _ in range(2):
            caller = await self._caller()
            caller.writer.write(
                b"POST /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n"
                + b"x" * 48_000
            )
            stalled.append(caller)
        await self._wait_until(lambda: self.budget.held == 96_000)
        other = await self._caller()
        other.send(body=b"y" * 20_000)
        await self._wait_until(lambda: self.served)
        self.release_answers.set()
        self.assertEqual(200, (await self._reply(other)).status)
        stalled[0].writer.write(b"x" * 2000)
        stalled[1].writer.write(b"x" * 2000)
        statuses = [(await self._reply(each)).status for each in stalled]
        self.assertEqual([200, 503], sorted(statuses))

    async def test_unfinished_head_is_closed_and_an_idle_one_is_kept(self):
        """Guards against heads that arrive without end."""
        slow, idle = await self._caller(), await self._caller()
        slow.writer.write(b"POST /x/ HTTP/1.1\r\nHost:")
        await self._wait_until(
            lambda: (
                self.server.connections == 2
                and any(
                    each.has_buffered for each in self.server._open.values()
                )
            )
        )
        self.server.check()
        await asyncio.sleep(2 * LIMITS.header_seconds)
        self.server.check()
        self.assertEqual(b"", await slow.reader.read())
        idle.send()
        self.assertEqual(200, (await self._reply(idle)).status)

    async def test_limits_of_a_new_configuration_apply(self):
        """Guards against limits that arrive and are not applied."""
        caller = await self._caller()
        self.server.set_limits(LIMITS._replace(body_bytes=10, header_bytes=200))
        caller.send(body=b"x" * 11)
        self.assertEqual(413, (await self._reply(caller)).status)
        other = await self._caller()
        other.send(X_Long="x" * 300)
        self.assertEqual(0, (await self._reply(other)).status)

    async def test_running_requests_are_not_closed_for_new_connections(self):
        """Guards against requests broken off for want of connections."""
        self.server.set_limits(LIMITS._replace(connections=2))
        self.release_answers.clear()
        running = [await self._caller() for _ in range(2)]
        for caller in running:
            caller.send()
        await self._wait_until(lambda: len(self.served) == 2)
        late = await self._caller()
        with self.subTest("the new connection is closed"):
            self.assertEqual(b"", await late.reader.read())
        self.release_answers.set()
        for caller in running:
            self.assertEqual(200, (await self._reply(caller)).status)
        # Now both are idle, and the older one is closed.
        last = await self._caller()
        last.send()
        self.assertEqual(200, (await self._reply(last)).status)

    async def test_queued_requests_of_a_client_who_left_are_not_served(self):
        """Guards against work for a client that has closed the connection."""
        self.release_answers.clear()
        caller = await self._caller()
        for _ in range(20):
            caller.send()
        await self._wait_until(lambda: self.served)
        caller.writer.transport.abort()
        async with asyncio.timeout(30):
            while self.server.connections:
                self.server.check()
                await asyncio.sleep(0.005)
        self.assertEqual(1, len(self.served))

    async def test_queued_requests_are_answered_in_order(self):
        """Guards against a client in the limits that is taken for a crowd."""
        caller = await self._caller()
        for number in range(20):
            caller.send(path=f"/x/{number}")
        for _ in range(20):
            self.server.check()
            self.assertEqual(200, (await self._reply(caller)).status)
        self.assertEqual(
            [f"/x/{n}" for n in range(20)], [each.path for each in self.served]
        )


if __name__ == "__main__":
    unittest.main()
