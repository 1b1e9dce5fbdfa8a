"""The platform's program, with a path to the targets that signals cut.

    SIGUSR1     bytes in flight vanish, connections hang, new ones time out
    SIGUSR2     connections are reset, new ones are refused
    SIGRTMIN    connections live on, new ones are refused
    SIGRTMIN+1  the path is whole again

Targets are told from other hosts by their address: they listen on 127.0.0.1.
"""

from __future__ import annotations

import asyncio
import enum
import pathlib
import runpy
import signal
import socket
import sys
from typing import Any
import weakref

from endivestream.connection import exchange
from tornado import iostream

TARGETS_IP = "127.0.0.1"
_PROGRAM = pathlib.Path(__file__).parent.parent.parent / "platform" / "main.py"


class Cut(enum.Enum):
    """How the path to the targets is cut; the value is the signal."""

    SILENT = signal.SIGUSR1
    RESET = signal.SIGUSR2
    NO_NEW = signal.SIGRTMIN
    WHOLE = signal.SIGRTMIN + 1


class _Path:
    """The path of this process to the targets."""

    def __init__(self) -> None:
        self._cut = Cut.WHOLE
        self._loop: asyncio.AbstractEventLoop | None = None
        self._streams: weakref.WeakSet[iostream.IOStream] = weakref.WeakSet()
        self._acquire = exchange.Pool.acquire
        # The other ends of connections that hang.
        self._silent_ends: list[socket.socket] = []

    def handle_signal(self, cut: Cut) -> None:
        """Cuts or restores the path once no other code runs."""
        if self._loop is None:
            self._cut = cut
        else:
            self._loop.call_soon_threadsafe(self._set, cut)

    def _set(self, cut: Cut) -> None:
        self._cut = cut
        for stream in list(self._streams):
            if stream.closed():
                continue
            if cut is Cut.SILENT:
                stream.io_loop.remove_handler(stream.fileno())
            if cut is Cut.RESET:
                stream.close((None, ConnectionResetError("cut"), None))

    async def acquire(
        self, pool: exchange.Pool, host: str, port: int, **options: Any
    ) -> iostream.IOStream:
        """Replaces `exchange.Pool.acquire`.

        Raises:
            ExchangeError: The path is cut.
        """
        self._loop = asyncio.get_running_loop()
        if host != TARGETS_IP or self._cut is Cut.WHOLE:
            return await self._acquire_tracked(pool, host, port, options)
        kept = pool._idle.get((host, port), [])
        if kept and not options.get("is_new") and self._cut is Cut.NO_NEW:
            return await self._acquire_tracked(pool, host, port, options)
        if kept and not options.get("is_new") and self._cut is Cut.SILENT:
            kept.pop().stream.close()
            near, far = socket.socketpair()
            self._silent_ends.append(far)
            return iostream.IOStream(near)
        if self._cut is Cut.SILENT:
            await asyncio.sleep(options["seconds"])
        raise exchange.ExchangeError("the path is cut", sent=False)

    async def _acquire_tracked(
        self, pool: exchange.Pool, host: str, port: int, options: dict[str, Any]
    ) -> iostream.IOStream:
        stream = await self._acquire(pool, host, port, **options)
        if host == TARGETS_IP:
            self._streams.add(stream)
        return stream


def main() -> None:
    """Runs the platform's program."""
    path = _Path()

    async def acquire(
        pool: exchange.Pool, host: str, port: int, **options: Any
    ) -> iostream.IOStream:
        return await path.acquire(pool, host, port, **options)

    exchange.Pool.acquire = acquire  # type: ignore[method-assign]
    for cut in Cut:
        signal.signal(cut.value, lambda *_, cut=cut: path.handle_signal(cut))
    # As if the program had been started itself.
    sys.argv[0] = str(_PROGRAM)
    sys.path[0] = str(_PROGRAM.parent)
    runpy.run_path(str(_PROGRAM), run_name="__main__")


if __name__ == "__main__":
    main()
