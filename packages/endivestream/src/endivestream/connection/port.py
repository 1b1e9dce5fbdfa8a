"""A zmq socket on the event loop, without a future for each frame.

A leader on a fraction of a core reads and writes a thousand frames a second;
futures and polls would take more of its time than the messages do.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import zmq

# Frames read before other work of the loop gets its turn.
_FRAMES_IN_A_ROW = 32


class Port:
    """One socket. Whoever starts it owns it and nobody else touches it."""

    def __init__(
        self,
        *,
        socket: zmq.Socket,
        on_frames: Callable[[list[bytes]], None],
    ) -> None:
        """Reads nothing before `start`.

        Args:
            socket: A plain socket, without futures.
            on_frames: Takes the frames of each message that comes.
        """
        self._socket = socket
        self._on_frames = on_frames
        self._loop: asyncio.AbstractEventLoop | None = None
        self._reading: asyncio.Handle | None = None

    def start(self) -> None:
        """Starts to read."""
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket.FD, self._read)
        self._read_soon()

    def close(self) -> None:
        """Closes the socket."""
        if self._loop is not None:
            self._loop.remove_reader(self._socket.FD)
            self._loop = None
        if self._reading is not None:
            self._reading.cancel()
        self._socket.close()

    def send(self, frames: Sequence[bytes]) -> bool:
        """Sends a message; False if the peer takes no more."""
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            return False
        finally:
            # The descriptor tells of frames only once, and sending may have
            # taken that notice.
            self._read_soon()
        return True

    def _read_soon(self) -> None:
        if self._reading is None and self._loop is not None:
            self._reading = self._loop.call_soon(self._read)

    def _read(self) -> None:
        if self._reading is not None:
            self._reading.cancel()
            self._reading = None
        for _ in range(_FRAMES_IN_A_ROW):
            if self._loop is None:
                return
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._on_frames(frames)
        self._read_soon()
