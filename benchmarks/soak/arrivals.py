"""When requests reach the soak's process, also while its event loop is late.

A target that searches for the sender of a request holds up all others. Counted
from when such a request is read, it would seem to be sent after an answer that
its host could not have had yet.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import time
from typing import Any


class _Polls:
    """Records when an event loop last looked for received bytes."""

    def __init__(self, loop: Any) -> None:
        self.last_at = time.monotonic()
        self._select = loop._selector.select
        loop._selector.select = self._poll

    def _poll(self, timeout: float | None = None) -> Any:
        events = self._select(timeout)
        self.last_at = time.monotonic()
        return events


class _Protocol(asyncio.StreamReaderProtocol):
    """A stream whose bytes have a time.

    Attributes:
        received_at: When the loop had received the latest bytes.
    """

    def __init__(self, polls: _Polls, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._polls = polls
        self.received_at = 0.0

    def data_received(self, data: bytes) -> None:
        self.received_at = self._polls.last_at
        super().data_received(data)


async def start_server(
    serve: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]
    ],
    host: str,
    port: int,
) -> asyncio.Server:
    """Starts a server like `asyncio.start_server`."""
    loop = asyncio.get_running_loop()
    polls = getattr(loop, "soak_polls", None)
    if polls is None:
        polls = loop.soak_polls = _Polls(loop)  # type: ignore[attr-defined]

    def protocol() -> _Protocol:
        return _Protocol(polls, asyncio.StreamReader(), serve)

    return await loop.create_server(protocol, host, port)


def received_at(writer: asyncio.StreamWriter) -> float:
    """Returns when the latest bytes of a connection had been received."""
    protocol = writer.transport.get_protocol()
    assert isinstance(protocol, _Protocol)
    return protocol.received_at
