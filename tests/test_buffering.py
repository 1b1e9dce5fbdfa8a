"""Tests of callers that read slowly, and of the memory held for them."""

import asyncio
import contextlib
import random
import socket
import unittest
from unittest import mock

from endivestream import clock
from endivestream.process import bounded_server
from endivestream.process import request_memory
from endivestream.request import call as call_lib
from endivestream.request import queue_deadlines
from endivestream.request.buffering import answer_buffer
from endivestream.request.buffering import budget as budget_lib
from endivestream.version import document as document_lib
from tornado import netutil

from tests import standin
from tests import test_document
from tests import test_forward
from tests import test_hedging

BOUNDS = budget_lib.Bounds.of(160.0)


class BudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = budget_lib.Budget(
            bounds=budget_lib.Bounds(total=1000, answer=400)
        )

    def _open(self, size, taken_at=0.0):
        key = self.budget.open(taken_at)
        self.budget.set_size(key, size)
        return key

    def test_an_answer_is_paused_at_its_bound_and_resumed_at_half(self):
        """Guards against one caller that takes the memory of all."""
        key = self._open(400)
        self.assertFalse(self.budget.may_read(key, 0.0))
        self.budget.set_size(key, 300)
        self.assertEqual([], self.budget.resume(0.0))
        self.budget.set_size(key, 199)
        self.assertEqual([key], self.budget.resume(0.0))

    def test_the_largest_and_slowest_are_paused_first(self):
        """Guards against pausing callers that read."""
        large = self._open(390)
        slow = self._open(200, taken_at=-9.0)
        small = self._open(200)
        quick = self._open(0)
        paused = [
            key
            for key in (large, slow, small, quick)
            if not self.budget.may_read(key, 0.0)
        ]
        self.assertEqual([slow], paused)
        self.assertFalse(self.budget.is_exhausted)
        body = self.budget.open_request(0.0)
        self.assertFalse(self.budget.hold(body, 300, 0.0))
        self.assertTrue(self.budget.hold(body, 210, 0.0))
        self.assertTrue(self.budget.is_exhausted)
        self.assertFalse(self.budget.may_read(large, 0.0))
        self.assertFalse(self.budget.may_read(small, 0.0))
        self.assertTrue(self.budget.may_read(quick, 0.0))

    def test_no_sequence_exceeds_the_budget_or_leaves_an_answer_paused(self):
        """Guards against memory that is counted twice or never released."""
        random_source = random.Random(7)
        sizes = {self._open(0): 0 for _ in range(40)}
        for step in range(4000):
            now = step / 100
            key = random_source.choice(list(sizes))
            if self.budget.may_read(key, now):
                sizes[key] += 20
            elif random_source.random() < 0.3:
                sizes[key] -= min(sizes[key], 50)
                self.budget.record_taken(key, now)
            self.budget.set_size(key, sizes[key])
            self.assertEqual(sum(sizes.values()), self.budget.held)
            # Each answer that holds nothing may be read once.
            self.assertLess(self.budget.held, 1000 + 40 * 20)
        for key in sizes:
            self.budget.set_size(key, 0)
        self.budget.resume(99.0)
        self.assertTrue(all(self.budget.may_read(k, 99.0) for k in sizes))
        for key in sizes:
            self.budget.close(key)
        self.assertEqual(0, self.budget.held)


class SlowReaderSite(test_forward.ForwardTest):
    """An entry host with a small budget and callers that read slowly."""

    bounds = BOUNDS

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.budget = budget_lib.Budget(bounds=self.bounds)
        self.buffers = answer_buffer.AnswerBuffers(budget=self.budget)
        parts = self.forwarder._parts._replace(buffers=self.buffers)
        self.forwarder = type(self.forwarder)(parts=parts)
        front = call_lib.RequestServer(
            serve=self.forwarder.serve, now=clock.now
        )
        self.slow_server = bounded_server.BoundedServer(
            front,
            name="callers",
            limits=bounded_server.Limits(
                connections=1000,
                header_bytes=65536,
                body_bytes=100 * 1024 * 1024,
                header_seconds=10.0,
                idle_seconds=60.0,
            ),
            memory=request_memory.RequestMemory(budget=self.budget),
            turns=bounded_server.ChunkTurns(),
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        for each in sockets:
            each.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, 16384)
        self.slow_server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self.callers = []

    async def asyncTearDown(self):
        for caller in self.callers:
            caller.close()
        self.slow_server.stop()
        await self.slow_server.close_all_connections()
        await self._wait_until(lambda: not self.forwarder._active)
        self.assertEqual(0, self.budget.held)
        await super().asyncTearDown()

    async def _start_caller(self, *, quick=False):
        caller = standin.Caller(self.address)
        sock = socket.socket()
        if not quick:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        host, port = self.address.split(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        caller.reader, caller.writer = await asyncio.open_connection(
            sock=sock, limit=65536 if quick else 2048
        )
        self.callers.append(caller)
        return caller

    async def _wait_until(self, is_done, seconds=5.0):
        async with asyncio.timeout(seconds):
            while not is_done():
                await asyncio.sleep(0.005)

    def _says(self, *parts, end=standin.END, close=False):
        """Returns a script that streams an answer to any request."""

        async def script(request, writer):
            head = standin.stream_head(
                X_Request_Id=request.headers["X-Request-Id"]
            )
            writer.write(head)
            for part in parts:
                writer.write(standin.chunk(part))
                await writer.drain()
            writer.write(end)
            if close:
                writer.close()

        return script

    def _event(self, number, size):
        return b"id: %d\ndata: %s\n\n" % (number, b"x" * size)

    async def _endless(self, request, writer):
        name = request.headers["X-Request-Id"]
        writer.write(standin.stream_head(X_Request_Id=name))
        with contextlib.suppress(ConnectionError):
            for number in range(1, 100_000):
                writer.write(standin.chunk(self._event(number, 9000)))
                await writer.drain()


class SlowReaderTest(SlowReaderSite):
    """Single callers that read slowly, stop or leave."""

    async def test_slow_reader_frees_its_target(self):
        """Guards against a slot that is taken until a slow caller has read."""
        self._route(test_forward.STREAM)
        events = [self._event(number, 9000) for number in range(20)]
        await self._start_target(self._says(*events))
        caller = await self._start_caller()
        caller.send(X_Request_Id="r1")
        await self._wait_until(lambda: self.budget.held)
        await self._wait_until(lambda: not self.view._states["t1"].running)
        self.assertEqual([], self.ended)
        self.assertLess(self.budget.held, 200 * 1024)
        reply = await caller.reply()
        self.assertTrue(reply.whole)
        self.assertEqual(b"".join(events), reply.body)
        await self._wait_until(lambda: self.ended)
        self.assertEqual("served", self.ended[0].reason)

    async def test_events_before_a_break_are_delivered(self):
        """Guards against events that are lost with their target's end."""
        self._route(test_forward.STREAM)
        events = [self._event(number, 9000) for number in range(20)]
        await self._start_target(self._says(*events, end=b"", close=True))
        caller = await self._start_caller()
        caller.send(X_Request_Id="r1")
        await self._wait_until(lambda: self.view._states["t1"].failures)
        self.assertEqual([], self.ended)
        reply = await caller.reply()
        self.assertFalse(reply.whole)
        self.assertEqual(b"".join(events), reply.body)

    async def test_a_stream_goes_on_after_all_events_in_the_buffer(self):
        """Guards against events that are repeated or left out."""
        self._route(test_forward.RESUMABLE)
        events = [self._event(number, 9000) for number in range(1, 31)]
        first = await self._start_target(
            self._says(*events[:20], end=b"", close=True)
        )
        caller = await self._start_caller()
        caller.send(X_Request_Id="r1")
        await self._wait_until(lambda: self.view._states["t1"].failures)
        second = await self._start_target(self._says(*events[20:]))
        await asyncio.sleep(0.05)
        self.assertEqual([], second.requests)
        reply = await caller.reply()
        self.assertTrue(reply.whole)
        self.assertEqual(b"".join(events), reply.body)
        self.assertEqual(1, len(first.requests))
        self.assertEqual("20", second.requests[0].headers["Last-Event-Id"])
        self.assertEqual(1, len(self.bound))

    async def _start_endless(self, route=test_forward.RESUMABLE, **headers):
        """Starts a request whose caller reads nothing, until it is paused."""
        self._route(route)
        target = await self._start_target(self._endless)
        caller = await self._start_caller()
        caller.send(X_Request_Id="r1", **headers)
        await self._wait_until(lambda: self.buffers.counts["paused"])
        return target, caller

    async def test_caller_that_stops_reading_is_ended_visibly_broken(self):
        """Guards against a target that works for a caller that is gone."""
        with mock.patch.object(
            queue_deadlines, "unread_limit", lambda route: 0.4
        ):
            target, caller = await self._start_endless()
            async with asyncio.timeout(1.0):
                await target.closed.wait()
        await self._wait_until(lambda: self.ended)
        self.assertEqual("caller_not_reading", self.ended[0].reason)
        reply = await caller.reply()
        self.assertFalse(reply.whole)
        self.assertEqual(0, self.view._states["t1"].failures)
        # The stream can be resumed: where it began is recorded.
        self.assertEqual(1, len(self.bound))

    async def test_caller_that_reads_a_little_is_not_ended(self):
        """Guards against ending callers that are only slow."""
        self._route(test_forward.STREAM)
        events = [self._event(number, 9000) for number in range(20)]
        await self._start_target(self._says(*events))
        with mock.patch.object(
            queue_deadlines, "unread_limit", lambda route: 0.4
        ):
            caller = await self._start_caller()
            caller.send(X_Request_Id="r1")
            await standin.read_head(caller.reader)
            received = b""
            while standin.END not in received:
                received += await caller.reader.read(8192)
                await asyncio.sleep(0.05)
        self.assertLess(sum(map(len, events)), len(received))

    async def test_slow_reader_at_a_stopping_host_is_ended_at_the_end(self):
        """Guards against a host that closes such answers as if complete."""
        target, caller = await self._start_endless()
        self.forwarder.stop_waiting()
        self.assertEqual([], self.ended)
        self.forwarder.stop_all()
        async with asyncio.timeout(0.5):
            await target.closed.wait()
        self.assertFalse((await caller.reply()).whole)
        await self._wait_until(lambda: self.ended)
        self.assertEqual("stopping", self.ended[0].reason)

    async def test_caller_that_leaves_with_a_full_buffer_stops_its_target(self):
        """Guards against work for nobody and memory that stays held."""
        target, caller = await self._start_endless()
        caller.writer.transport.abort()
        async with asyncio.timeout(0.5):
            await target.closed.wait()
        await self._wait_until(lambda: not self.budget.held)
        self.assertEqual("caller_gone", self.ended[0].reason)

    async def test_time_in_which_the_caller_does_not_read_is_not_counted(self):
        """Guards against ejecting a target for its slow callers."""
        _, caller = await self._start_endless(X_Deadline_Ms=2000)
        state = self.view._states["t1"]
        # Longer than the silence that makes a target suspect.
        await asyncio.sleep(1.4)
        self.assertEqual(1, state.paused)
        self.assertTrue(state.is_healthy(clock.now()))
        (active,) = self.forwarder._active.values()
        self.assertLess(active.progress.longest_gap, 0.5)
        attempt = active.progress.attempt
        await self._wait_until(lambda: not state.running)
        self.assertFalse(attempt.is_outlived)
        self.assertEqual((0, 0), (state.failures, state.paused))
        self.assertFalse((await caller.reply()).whole)
        await self._wait_until(lambda: self.ended)
        self.assertLess(self.ended[0].gap, 0.5)

    async def test_plain_answers_are_read_on_and_not_cut(self):
        """Guards against plain answers that keep a slot, or end in a pause."""
        self._route(test_forward.IDEMPOTENT)
        sizes = [200_000, 400_000]
        bodies = [b"0123456789" * (size // 10) for size in sizes]
        queued = list(bodies)

        async def script(request, writer):
            name = request.headers["X-Request-Id"]
            body = queued.pop(0)
            writer.write(standin.answer(body=body, X_Request_Id=name))

        await self._start_target(script)
        callers = [await self._start_caller() for _ in sizes]
        callers[0].send(X_Request_Id="r1")
        await self._wait_until(lambda: self.budget.held)
        await self._wait_until(lambda: not self.view._states["t1"].running)
        callers[1].send(X_Request_Id="r2")
        await self._wait_until(lambda: self.buffers.counts["paused"])
        # An attempt without an answer would be replaced after two objectives.
        (route,) = self.table.document.routes
        await asyncio.sleep(2.5 * route.objective)
        for caller, body in zip(callers, bodies, strict=True):
            reply = await caller.reply()
            self.assertEqual((body, True), (reply.body, reply.whole))


class HedgedSlowReaderTest(SlowReaderSite):
    """Callers that read the answers of hedged requests slowly."""

    async def asyncSetUp(self):
        self.hedge_permits = test_hedging.FakePermits()
        await super().asyncSetUp()
        self._route(test_hedging.HEDGED)

    async def asyncTearDown(self):
        await super().asyncTearDown()
        self.assertEqual({}, self.buffers._open)
        self.assertEqual({}, self.budget._answers)

    async def _start_hedged(self, body):
        """Lets the second attempt win; returns its caller."""
        answer = standin.answer(body=body, X_Request_Id="r1")
        attempts = []

        async def serve(request, writer):
            attempts.append(writer)
            if len(attempts) == 1:
                # The beginning of an answer, which is collected.
                writer.write(answer[: len(answer) // 4])
                await writer.drain()
                await standin.hangs(request, writer)
            writer.write(answer)
            await writer.drain()

        for _ in range(2):
            await self._start_target(serve)
        caller = await self._start_caller()
        caller.send(X_Request_Id="r1", X_Deadline_Ms="900")
        await self._wait_until(lambda: len(attempts) == 2)
        return caller

    async def test_the_second_answer_is_taken_completely(self):
        """Guards against memory of the losing answer that stays held."""
        body = bytes(range(256)) * 400
        caller = await self._start_hedged(body)
        await asyncio.sleep(0.1)
        self.assertEqual(1, len(self.forwarder._active))
        reply = await caller.reply()
        self.assertTrue(reply.whole)
        self.assertEqual(body, reply.body)

    async def test_a_caller_that_does_not_read_is_ended(self):
        """Guards against requests that wait forever for their caller."""
        with mock.patch.object(
            queue_deadlines, "unread_limit", lambda route: 0.4
        ):
            body = bytes(200_000)
            caller = await self._start_hedged(body)
            await self._wait_until(lambda: self.ended)
        self.assertEqual("caller_not_reading", self.ended[0].reason)
        self.assertFalse((await caller.reply()).whole)

    async def test_a_stopping_host_ends_the_second_answer(self):
        """Guards against a stop that waits for a caller who does not read."""

        async def begin(request, writer):
            answer = standin.answer(body=bytes(2_000_000), X_Request_Id="r1")
            writer.write(answer[:400_000])
            await standin.hangs(request, writer)

        targets = [await self._start_target(standin.hangs) for _ in range(2)]
        # The first attempt may be at either of them.
        caller = await self._start_caller()
        caller.send(X_Request_Id="r1", X_Deadline_Ms="900")
        await self._wait_until(lambda: any(t.requests for t in targets))
        [second] = [target for target in targets if not target.requests]
        second._scripts = [begin]
        await self._wait_until(lambda: self.budget.held)
        self.assertEqual(1, len(second.requests))
        [active] = self.forwarder._active.values()
        await self._wait_until(lambda: active.call.head_sent)
        self.forwarder.stop_all()
        async with asyncio.timeout(0.5):
            await second.closed.wait()
        self.assertFalse((await caller.reply()).whole)
        await self._wait_until(lambda: self.ended)
        self.assertEqual("stopping", self.ended[0].reason)

    async def test_a_caller_of_an_unhedged_attempt_is_ended(self):
        """Guards against cancelling the attempt, which has ended already."""
        # On a busy machine an answer may take two objectives of `HEDGED`, after
        # which the attempt is given up.
        self._route(
            test_document.route(
                kind=document_lib.Kind.IDEMPOTENT,
                max_attempts=2,
                timeout=5.0,
                objective=2.0,
                hedge_ratio=0.2,
            )
        )
        with mock.patch.object(
            queue_deadlines, "unread_limit", lambda route: 0.4
        ):
            answer = standin.answer(body=bytes(200_000), X_Request_Id="r1")
            await self._start_target(standin.says(answer))
            caller = await self._start_caller()
            caller.send(X_Request_Id="r1")
            await self._wait_until(lambda: self.ended)
        self.assertEqual("caller_not_reading", self.ended[0].reason)
        self.assertFalse((await caller.reply()).whole)


class BodyMemoryTest(SlowReaderSite):
    bounds = budget_lib.Bounds(total=100_000, answer=50_000)

    async def test_body_without_room_is_refused_as_not_run(self):
        """Guards against a host that ends under large requests."""
        self._route(test_forward.ONCE)

        async def script(request, writer):
            name = request.headers["X-Request-Id"]
            writer.write(standin.answer(X_Request_Id=name))

        target = await self._start_target(script)
        caller = await self._start_caller(quick=True)
        reply = await caller.ask(body=b"x" * 400_000, X_Request_Id="r1")
        self.assertEqual((503, True), (reply.status, reply.whole))
        self.assertIn(b"no_memory", reply.body)
        self.assertLess(float(reply.headers["Retry-After"]), 0.2)
        self.assertEqual([], target.requests)
        self.assertEqual(0, self.budget.held)
        reply = await caller.ask(body=b"x" * 40_000, X_Request_Id="r2")
        self.assertEqual(200, reply.status)
        self.assertEqual(40_000, len(target.requests[0].body))
        other = await self._start_caller()
        other.writer.write(
            b"POST /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: 999\r\n\r\nabc"
        )
        await self._wait_until(lambda: self.budget.held == 3)
        other.close()
        await self._wait_until(lambda: not self.budget.held)


class SlowReaderLoadTest(SlowReaderSite):
    """200 slow readers at a host of 160 MB."""

    async def _paced(self, request, writer):
        """Streams the time at which each event was written."""
        name = request.headers["X-Request-Id"]
        writer.write(standin.stream_head(X_Request_Id=name))
        for _ in range(60):
            writer.write(standin.chunk(b"data: %f\n\n" % clock.now()))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(standin.END)

    async def _serve(self, request, writer):
        is_paced = request.path == "/x/paced"
        await (self._paced if is_paced else self._endless)(request, writer)

    async def _read_paced(self, caller, number):
        """Returns the delays of the events of a stream."""
        caller.send(path="/x/paced", X_Request_Id=f"q{number}")
        delays = []
        while not (line := await caller.reader.readline()).startswith(b"0\r"):
            if line.startswith(b"data: "):
                delays.append(clock.now() - float(line[6:]))
        return delays

    async def test_200_slow_readers_neither_fill_memory_nor_delay_others(self):
        """Guards against a host that is killed for its memory use."""
        self._route(
            test_document.route(
                kind=document_lib.Kind.STREAM, timeout=20.0, max_event_gap=0.3
            )
        )
        for _ in range(3):
            await self._start_target(self._serve, slots=1000)
        # In debug mode the loop records a traceback with each callback.
        asyncio.get_running_loop().set_debug(False)
        before = _resident_bytes()
        quick = [await self._start_caller(quick=True) for _ in range(5)]
        reads = [
            asyncio.create_task(self._read_paced(caller, number))
            for number, caller in enumerate(quick)
        ]
        highest = resident = 0

        async def measure():
            nonlocal highest, resident
            while not all(read.done() for read in reads):
                highest = max(highest, self.budget.held)
                resident = max(resident, _resident_bytes() - before)
                await asyncio.sleep(0.02)

        measurement = asyncio.create_task(measure())
        for number in range(200):
            caller = await self._start_caller()
            caller.send(X_Request_Id=f"s{number}")
        await measurement
        delays = sorted(delay for read in reads for delay in read.result())
        self.assertEqual(300, len(delays))
        self.assertLess(delays[int(0.95 * len(delays))], 0.2)
        self.assertGreater(self.buffers.counts["paused"], 50)
        self.assertLess(highest, 1.5 * self.bounds.total)
        # Of 160 MB the modules of a host take about 40. The callers and
        # targets of this test are in the same process.
        self.assertLess(resident, 100 * 1024 * 1024)
        caller = await self._start_caller(quick=True)
        reply = await caller.ask(X_Request_Id="late")
        self.assertEqual(503, reply.status)
        self.assertIn(b"no_memory", reply.body)
        for slow in self.callers[5:]:
            slow.writer.transport.abort()
        await self._wait_until(lambda: not self.budget.held)
        caller = await self._start_caller(quick=True)
        self.assertEqual(60, len(await self._read_paced(caller, 9)))


def _resident_bytes():
    """Returns the memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096
