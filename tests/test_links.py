"""Tests for keepalive pings of links, in virtual time over a fake socket."""

import asyncio
import collections
import errno
import socket
import time
import unittest
from unittest import mock

from endivestream import messages
from endivestream.connection import links
from soak import virtual_time
import zmq

_SILENCE = 0.9


class _FakeSocket:
    """A socket whose peer answers every request unless `is_silent` is set."""

    def __init__(self):
        self._arrived = collections.deque()
        self._read_end, self._write_end = socket.socketpair()
        self.FD = self._read_end.fileno()
        self.sent = collections.Counter()
        self.is_silent = False

    def setsockopt(self, *_):
        pass

    def connect(self, _):
        pass

    def close(self):
        self._read_end.close()
        self._write_end.close()

    def send_multipart(self, frames, flags):
        envelope = messages.decode(frames[0])
        self.sent[type(envelope.body)] += 1
        if self.is_silent:
            return
        is_ping = isinstance(envelope.body, messages.Ping)
        answer = messages.Pong() if is_ping else messages.Status(body=b"{}")
        self._arrived.append(
            messages.encode(messages.Envelope(envelope.id, answer))
        )

    def recv_multipart(self, flags):
        if not self._arrived:
            raise zmq.Again
        return [self._arrived.popleft()]


class LinkPingsTest(unittest.TestCase):
    def _run(self, body, *, failures=(), **options):
        sockets = []
        failures = list(failures)

        def open_socket(context, kind):
            if sockets and failures:
                raise zmq.ZMQError(failures.pop())
            sockets.append(_FakeSocket())
            return sockets[-1]

        async def run():
            link = links.Link(
                address="tcp://peer",
                context=None,
                on_push=lambda message: None,
                silence=_SILENCE,
                **options,
            )
            link.start()
            await body(link, sockets)
            await link.close()

        with virtual_time.running() as runner:
            now = runner.get_loop().time
            with (
                mock.patch.object(links, "_socket", open_socket),
                mock.patch.object(time, "monotonic", now),
            ):
                runner.run(run())
        return sockets

    def test_an_idle_link_for_requests_sends_nothing(self):
        """Pings on idle links would grow with the square of the host count."""

        async def body(link, sockets):
            for _ in range(5):
                await link.request(messages.AskStatus(view="x"), seconds=1)
                await asyncio.sleep(60)

        (fake_socket,) = self._run(body, expects_pushes=False)
        self.assertEqual(fake_socket.sent, {messages.AskStatus: 5})

    def test_a_link_that_expects_pushes_is_kept_alive(self):
        """A dead connection must be detected even when no request is sent."""

        async def body(link, sockets):
            await asyncio.sleep(60)

        (fake_socket,) = self._run(body)
        self.assertGreaterEqual(fake_socket.sent[messages.Ping], 60 / _SILENCE)

    def test_an_unanswered_request_replaces_a_dead_connection(self):
        """Requests must not keep using a connection that the peer dropped."""

        async def body(link, sockets):
            query = messages.AskStatus(view="x")
            await link.request(query, seconds=1)
            sockets[0].is_silent = True
            await asyncio.sleep(60)
            with self.assertRaises(links.LinkDownError):
                await link.request(query, seconds=0.04)
            await asyncio.sleep(2 * _SILENCE)
            await link.request(query, seconds=0.04)
            self.assertEqual(link.reconnects, 1)

        self._run(body, expects_pushes=False)

    def test_a_message_that_cannot_be_encoded_fails_alone(self):
        """Guards against a loop that ends for one odd message."""

        async def body(link, sockets):
            with self.assertRaisesRegex(links.LinkDownError, "AskStatus"):
                await link.request(messages.AskStatus(view="\ud800"), seconds=1)
            await link.request(messages.AskStatus(view="x"), seconds=1)
            self.assertEqual(link.reconnects, 0)

        self._run(body)

    def test_a_link_recovers_from_a_lack_of_descriptors(self):
        """Guards against a peer that is never reached again."""

        async def body(link, sockets):
            sockets[0].is_silent = True
            with self.assertRaises(links.LinkDownError):
                await link.request(messages.AskStatus(view="x"), seconds=3)
            await asyncio.sleep(10)
            await link.request(messages.AskStatus(view="x"), seconds=1)
            self.assertEqual((link.reconnects, len(sockets)), (1, 2))

        self._run(body, failures=[errno.EMFILE] * 3)

    def test_a_request_timeout_does_not_replace_a_working_connection(self):
        """A slow peer must not be loaded further by reconnects."""

        async def body(link, sockets):
            sockets[0].is_silent = True
            with self.assertRaises(links.LinkDownError):
                await link.request(messages.AskStatus(view="x"), seconds=0.04)
            sockets[0].is_silent = False
            await asyncio.sleep(60)
            self.assertEqual(link.reconnects, 0)

        self._run(body, expects_pushes=False)

    def test_an_answer_that_is_read_at_its_timeout_is_returned(self):
        """Guards against answers that are dropped because this host is late.

        The event loop was blocked and reads the answer in the same turn in
        which the time of the request ends.
        """

        async def body(link, sockets):
            sockets[0].is_silent = True
            answer = messages.Envelope(1, messages.Status(body=b"{}"))
            asyncio.get_running_loop().call_later(
                0.04, link._read, [messages.encode(answer)]
            )
            reply = await link.request(
                messages.AskStatus(view="x"), seconds=0.04
            )
            self.assertEqual(answer.body, reply)

        self._run(body, expects_pushes=False)
