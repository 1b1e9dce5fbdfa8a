"""Tests for reading and writing zmq sockets on the event loop."""

import asyncio
import select
import unittest
from unittest import mock

from endivestream.connection import frame_socket as frame_socket_lib
import zmq


class PortTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.context = zmq.Context()
        self.addCleanup(self.context.destroy, linger=0)

    async def _pair(self, on_left, on_right):
        left, right = (self.context.socket(zmq.PAIR) for _ in range(2))
        for socket in (left, right):
            socket.setsockopt(zmq.SNDHWM, 0)
            socket.setsockopt(zmq.RCVHWM, 0)
        number = left.bind_to_random_port("tcp://127.0.0.1")
        right.connect(f"tcp://127.0.0.1:{number}")
        # The bound socket accepts no frames before they are connected.
        await self._wait_until(
            lambda: all(s.poll(0, zmq.POLLOUT) for s in (left, right))
        )
        ports = [
            frame_socket_lib.FrameSocket(socket=left, on_frames=on_left),
            frame_socket_lib.FrameSocket(socket=right, on_frames=on_right),
        ]
        for port in ports:
            port.start()
            self.addCleanup(port.close)
        return ports

    async def _wait_until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.001)

    async def test_frames_that_arrive_during_sending_are_read(self):
        """Writing to a socket must not leave received frames unread."""
        received = {"left": [], "right": []}
        left, right = await self._pair(
            received["left"].append, received["right"].append
        )
        for number in range(2000):
            frame = b"%d" % number
            self.assertTrue(left.send([frame]))
            self.assertTrue(right.send([frame, b"more"]))
            if not number % 7:
                await asyncio.sleep(0)
        await self._wait_until(lambda: len(received["left"]) == 2000)
        await self._wait_until(lambda: len(received["right"]) == 2000)
        self.assertEqual(received["left"][1999], [b"1999", b"more"])
        self.assertEqual(received["right"][1999], [b"1999"])

    async def test_read_signal_consumed_by_sending_is_not_lost(self):
        """A frame must be read although sending consumed its read signal.

        The file descriptor signals new frames only once.
        """
        received = []
        left, right = await self._pair(received.append, lambda frames: None)
        left.send([b"first"])
        right.send([b"first"])
        await self._wait_until(lambda: received)
        await asyncio.sleep(0)
        right.send([b"second"])
        ready, _, _ = select.select([left._socket.FD], [], [], 30)
        self.assertTrue(ready)
        left.send([b"third"])
        await self._wait_until(lambda: len(received) == 2)

    async def test_burst_of_frames_does_not_block_other_tasks(self):
        """Timers must run while a peer sends more than one read handles."""
        loop_passes = []
        received = []

        def read(frames):
            received.append(frames)
            loop_passes.append(self.loop_pass)

        self.loop_pass = 0
        left, right = await self._pair(read, lambda frames: None)
        del left
        with mock.patch.object(frame_socket_lib, "_MAX_FRAMES_PER_READ", 10):
            for _ in range(500):
                right.send([b"frame"])
            while len(received) < 500:
                self.loop_pass += 1
                await asyncio.sleep(0)
        # Each pass of the event loop may read twice, ten frames each.
        self.assertGreaterEqual(len(set(loop_passes)), 500 / 20)

    async def test_send_to_a_full_queue_returns_false(self):
        socket = self.context.socket(zmq.DEALER)
        socket.setsockopt(zmq.SNDHWM, 1)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        port = frame_socket_lib.FrameSocket(
            socket=socket, on_frames=lambda frames: None
        )
        port.start()
        self.addCleanup(port.close)
        self.assertFalse(port.send([b"frame"]))
