"""A zmq socket on the event loop, without a future for each frame.

A leader on a fraction of a core reads and writes a thousand frames a second;
futures and polling would take more of its time than the messages do.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import zmq

# Messages read before other tasks of the event loop get to run.
_MAX_FRAMES_PER_READ = 32


class FrameSocket:
    """Reads and writes one zmq socket, which it owns."""

    def __init__(
        self,
        *,
        socket: zmq.Socket,
        on_frames: Callable[[list[bytes]], None],
    ) -> None:
        """Initializes the reader; nothing is read before `start`.

        Args:
            socket: A plain zmq socket, not one of `zmq.asyncio`.
            on_frames: Called with the frames of each message received.
        """
        self._socket = socket
        self._on_frames = on_frames
        self._loop: asyncio.AbstractEventLoop | None = None
        self._scheduled_read: asyncio.Handle | None = None

    def start(self) -> None:
        """Starts to read."""
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket.FD, self._read)
        self._schedule_read()

    def close(self) -> None:
        """Closes the socket."""
        if self._loop is not None:
            self._loop.remove_reader(self._socket.FD)
            self._loop = None
        if self._scheduled_read is not None:
            self._scheduled_read.cancel()
        self._socket.close()

    def send(self, frames: Sequence[bytes]) -> bool:
        """Sends a message; False if the peer's queue is full."""
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            return False
        finally:
            # The file descriptor is edge-triggered: it signals new frames only
            # once, and sending may have consumed that signal.
            self._schedule_read()
        return True

    def _schedule_read(self) -> None:
        if self._scheduled_read is None and self._loop is not None:
            self._scheduled_read = self._loop.call_soon(self._read)

    def _read(self) -> None:
        if self._scheduled_read is not None:
            self._scheduled_read.cancel()
            self._scheduled_read = None
        for _ in range(_MAX_FRAMES_PER_READ):
            if self._loop is None:
                return
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._on_frames(frames)
        self._schedule_read()
