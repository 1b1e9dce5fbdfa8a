"""When requests reach the soak's process, also while its event loop is late.

A target that searches for the sender of a request holds up all others. Counted
from when such a request is read, it would seem to be sent after an answer that
its host could not have had yet. The same holds for bytes that wait until their
connection is accepted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import time
from typing import Any

# A poll that takes longer has waited for the events that it returns.
_WAITED_SECONDS = 0.001


class _Polls:
    """Records since when bytes that an event loop finds may have been there.

    Attributes:
        earliest_at: Earliest time at which events of the last poll occurred.
        previous_earliest_at: The same for the poll before.
    """

    def __init__(self, loop: Any) -> None:
        self.earliest_at = self._ended_at = time.monotonic()
        self.previous_earliest_at = self.earliest_at
        self._select = loop._selector.select
        loop._selector.select = self._poll

    def _poll(self, timeout: float | None = None) -> Any:
        started_at = time.monotonic()
        events = self._select(timeout)
        now = time.monotonic()
        self.previous_earliest_at = self.earliest_at
        has_waited = now - started_at > _WAITED_SECONDS
        self.earliest_at = started_at if has_waited else self._ended_at
        self._ended_at = now
        return events


class _Protocol(asyncio.StreamReaderProtocol):
    """A stream whose bytes have a time.

    Attributes:
        received_at: Earliest time at which the latest bytes were received.
    """

    def __init__(self, polls: _Polls, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._polls = polls
        # The first bytes may have waited for the connection to be accepted,
        # which the loop does in two steps.
        self._accepted_at: float | None = polls.previous_earliest_at
        self.received_at = 0.0

    def data_received(self, data: bytes) -> None:
        self.received_at = self._accepted_at or self._polls.earliest_at
        self._accepted_at = None
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
    """Returns the earliest time of the latest bytes of a connection."""
    protocol = writer.transport.get_protocol()
    assert isinstance(protocol, _Protocol)
    return protocol.received_at
