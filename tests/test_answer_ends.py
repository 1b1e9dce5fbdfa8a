"""Tests of the ends of answers: by length, by chunks, by the connection."""

import asyncio
import socket
import struct
import unittest

from endivestream.connection import exchange as exchange_lib
from endivestream.connection import sse

from tests import standin
from tests import test_forward


def _head(*, framing, length=0):
    """Returns the head of a stream of events with a framing."""
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream; charset=utf-8",
    ]
    if framing == "length":
        lines.append(f"Content-Length: {length}")
    if framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _stream(framing, body, *, is_ended):
    """Returns the bytes of an answer; the end of its framing if `is_ended`."""
    extra = 0 if is_ended else 1
    head = _head(framing=framing, length=len(body) + extra)
    if framing != "chunked":
        return head + body
    return head + standin.chunk(body) + (standin.END if is_ended else b"")


_TWO_EVENTS = standin.event(1) + standin.event(2)


class StreamEndTest(test_forward.ForwardTest):
    """What callers get of streams that targets end."""

    async def _ask(self, route, *scripts):
        """Sends a request; its attempts are served by the scripts in order."""
        self._route(route)
        remaining = list(scripts)

        async def serve(request, writer):
            await remaining.pop(0)(request, writer)

        for _ in scripts:
            await self._start_target(serve)
        return await self.caller.ask()

    async def test_events_before_a_close_are_relayed(self):
        """Guards against events lost that arrived just before a close."""
        answer = standin.stream_head() + b"".join(
            standin.chunk(standin.event(number)) for number in (1, 2)
        )
        reply = await self._ask(
            test_forward.STREAM, standin.says(answer, close=True)
        )
        self.assertEqual((reply.body, reply.whole), (_TWO_EVENTS, False))

    async def _check_cut_stream(self, framing):
        cut = _TWO_EVENTS[:-1]
        answer = _stream(framing, cut, is_ended=True)
        reply = await self._ask(
            test_forward.STREAM, standin.says(answer, close=True)
        )
        self.assertFalse(reply.whole)
        self.assertEqual(reply.body, cut)

    async def test_stream_closed_inside_an_event_is_not_complete(self):
        """Guards against a lost rest of a stream that has no length."""
        await self._check_cut_stream("close")

    async def test_stream_closed_inside_a_line_ending_is_not_complete(self):
        """Guards against a stream whose last CRLF lacks its line feed."""
        answer = _stream("close", b"data: 1\r\n\r", is_ended=True)
        reply = await self._ask(
            test_forward.STREAM, standin.says(answer, close=True)
        )
        self.assertFalse(reply.whole)

    async def test_stream_with_length_inside_an_event_is_not_complete(self):
        """Guards against a length that a failing target reaches too early."""
        await self._check_cut_stream("length")

    async def test_last_chunk_inside_an_event_is_not_complete(self):
        """Guards against a last chunk sent by a target that fails."""
        await self._check_cut_stream("chunked")

    async def test_resumed_stream_is_not_bound_to_the_first_length(self):
        """Guards against a stream cut at the length of its first target."""
        events = [standin.event(n) for n in range(1, 5)]
        body = b"".join(events[1:])
        reply = await self._ask(
            test_forward.RESUMABLE,
            standin.says(
                _stream("length", events[0], is_ended=False), close=True
            ),
            standin.says(_stream("length", body, is_ended=True)),
        )
        self.assertEqual(reply.body, b"".join(events))
        self.assertTrue(reply.whole)

    async def _ask_with_break(self, route, size, first, second):
        """Breaks the first attempt off once the caller has `size` bytes."""
        has_relayed = asyncio.Event()

        async def break_off(request, writer):
            writer.write(first)
            await has_relayed.wait()
            writer.close()

        self._route(route)
        scripts = [break_off, standin.says(second)]

        async def serve(request, writer):
            await scripts.pop(0)(request, writer)

        for _ in range(2):
            await self._start_target(serve)
        self.caller.send()
        head = await standin.read_head(self.caller.reader)
        self.assertEqual(head[0], "HTTP/1.1 200 OK")
        body = b""
        while len(body) < size:
            length = int(await self.caller.reader.readuntil(b"\r\n"), 16)
            body += (await self.caller.reader.readexactly(length + 2))[:-2]
        has_relayed.set()
        rest, is_whole = await self.caller._body(
            {"Transfer-Encoding": "chunked"}
        )
        return body + rest, is_whole

    async def test_events_without_ids_are_not_sent_twice(self):
        """Guards against a stream that starts again after its first events."""
        events = [b"data: %d\n\n" % n for n in range(3)]
        body, is_whole = await self._ask_with_break(
            test_forward.RESUMABLE,
            len(events[0]),
            _stream("chunked", events[0], is_ended=False),
            _stream("chunked", b"".join(events), is_ended=True),
        )
        self.assertEqual((body, is_whole), (events[0], False))

    async def test_break_inside_a_line_ending_loses_no_byte(self):
        """Guards against a resumed stream that lacks a line feed."""
        events = [b"id: %d\r\ndata: x\r\n\r\n" % n for n in range(1, 4)]
        first = events[0] + events[1][:-1]
        body, is_whole = await self._ask_with_break(
            test_forward.RESUMABLE,
            len(events[0]),
            _stream("chunked", first, is_ended=False),
            _stream("chunked", b"".join(events[1:]), is_ended=True),
        )
        self.assertEqual((body, is_whole), (b"".join(events), True))

    async def test_large_answers_of_two_targets_are_not_joined(self):
        """Guards against an answer that continues with another's beginning."""
        part = standin.chunked_head() + standin.chunk(b"x" * 300_000)
        body, is_whole = await self._ask_with_break(
            test_forward.IDEMPOTENT, 270_000, part, part + standin.END
        )
        self.assertLessEqual(len(body), 300_000)
        self.assertFalse(is_whole)

    async def test_too_long_event_ends_the_stream(self):
        """Guards against a caller that waits for a failed request."""
        event = b"data: " + b"x" * sse.MAX_EVENT_BYTES
        reply = await self._ask(
            test_forward.RESUMABLE,
            *[standin.says(_stream("chunked", event, is_ended=True))] * 2,
        )
        self.assertEqual(reply.status, 502)

    async def test_broken_stream_of_an_http_1_0_caller_is_reset(self):
        """Guards against a close that such a caller takes for the end."""
        has_relayed = asyncio.Event()

        async def break_off(request, writer):
            writer.write(_stream("chunked", _TWO_EVENTS, is_ended=False))
            await has_relayed.wait()
            writer.close()

        self._route(test_forward.STREAM)
        await self._start_target(break_off)
        self.caller.writer.write(b"GET /x/ HTTP/1.0\r\nHost: a.example\r\n\r\n")
        await self.caller.reader.readuntil(_TWO_EVENTS)
        has_relayed.set()
        with self.assertRaises(ConnectionResetError):
            await self.caller.reader.read()

    async def _check_reset_stream(self, body):
        answer = _stream("close", body, is_ended=True)
        reply = await self._ask(test_forward.STREAM, standin.resets(answer))
        self.assertFalse(reply.whole)

    async def test_stream_reset_between_events_is_not_complete(self):
        """Guards against a reset taken for the end of a stream."""
        await self._check_reset_stream(_TWO_EVENTS)

    async def test_stream_reset_inside_an_event_is_not_complete(self):
        """Guards against a reset taken for the end of a stream."""
        await self._check_reset_stream(_TWO_EVENTS[:-4])


class ResetTest(unittest.IsolatedAsyncioTestCase):
    async def test_reset_seen_by_another_reader_is_not_the_end(self):
        """Guards against the loss of a socket's error, which is given once."""
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        pool = exchange_lib.Pool()
        self.addCleanup(pool.close)
        port = server.getsockname()[1]
        exchange = exchange_lib.Exchange(
            pool=pool, url=f"http://127.0.0.1:{port}/"
        )
        await exchange.start("GET", "/", {}, b"", connect_seconds=5.0)
        target, _ = server.accept()
        target.sendall(_stream("close", _TWO_EVENTS, is_ended=True))
        await exchange.head(seconds=5.0)
        chunks = exchange.chunks(silence=5.0)
        self.assertEqual(await anext(chunks), _TWO_EVENTS)
        target.recv(65536)
        target.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        target.close()
        self.assertTrue(exchange.has_unread_answer)
        with self.assertRaises(exchange_lib.ExchangeError):
            await anext(chunks)
        exchange.close()


if __name__ == "__main__":
    unittest.main()
