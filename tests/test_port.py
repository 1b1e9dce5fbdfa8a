"""Frames of sockets on the event loop."""

import asyncio
import select
import unittest
from unittest import mock

from endivestream.connection import port as port_lib
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
        # Before they are connected the bound side takes no frames.
        await self._until(
            lambda: all(s.poll(0, zmq.POLLOUT) for s in (left, right))
        )
        ports = [
            port_lib.Port(socket=left, on_frames=on_left),
            port_lib.Port(socket=right, on_frames=on_right),
        ]
        for port in ports:
            port.start()
            self.addCleanup(port.close)
        return ports

    async def _until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.001)

    async def test_frames_that_arrive_while_others_leave_are_read(self):
        """A peer must not go unheard because the socket was written to."""
        heard = {"left": [], "right": []}
        left, right = await self._pair(
            heard["left"].append, heard["right"].append
        )
        for number in range(2000):
            frame = b"%d" % number
            self.assertTrue(left.send([frame]))
            self.assertTrue(right.send([frame, b"more"]))
            if not number % 7:
                await asyncio.sleep(0)
        await self._until(lambda: len(heard["left"]) == 2000)
        await self._until(lambda: len(heard["right"]) == 2000)
        self.assertEqual(heard["left"][1999], [b"1999", b"more"])
        self.assertEqual(heard["right"][1999], [b"1999"])

    async def test_a_notice_taken_by_sending_is_not_lost(self):
        """The descriptor tells of frames once; sending may take that."""
        heard = []
        left, right = await self._pair(heard.append, lambda frames: None)
        left.send([b"first"])
        right.send([b"first"])
        await self._until(lambda: heard)
        await asyncio.sleep(0)
        right.send([b"second"])
        ready, _, _ = select.select([left._socket.FD], [], [], 30)
        self.assertTrue(ready)
        left.send([b"third"])
        await self._until(lambda: len(heard) == 2)

    async def test_a_flood_of_frames_lets_other_work_in(self):
        """Timers must run while a peer sends more than is read at once."""
        turns = []
        heard = []

        def read(frames):
            heard.append(frames)
            turns.append(self.turn)

        self.turn = 0
        left, right = await self._pair(read, lambda frames: None)
        del left
        with mock.patch.object(port_lib, "_FRAMES_IN_A_ROW", 10):
            for _ in range(500):
                right.send([b"frame"])
            while len(heard) < 500:
                self.turn += 1
                await asyncio.sleep(0)
        # Each of two readings a turn may take its ten.
        self.assertGreaterEqual(len(set(turns)), 500 / 20)

    async def test_a_peer_that_takes_no_more_is_told_of(self):
        socket = self.context.socket(zmq.DEALER)
        socket.setsockopt(zmq.SNDHWM, 1)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        port = port_lib.Port(socket=socket, on_frames=lambda frames: None)
        port.start()
        self.addCleanup(port.close)
        self.assertFalse(port.send([b"frame"]))
