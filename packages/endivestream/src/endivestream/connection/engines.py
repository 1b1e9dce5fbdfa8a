"""Orders to engines and their reports, over HTTP.

How a call is written is the codec's; this module knows what the outcomes
mean. An order that gets no answer may be carried out seconds later.
"""

from __future__ import annotations

import asyncio
import enum
from typing import NamedTuple
from typing import Protocol

from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib


class Order(NamedTuple):
    """What an engine is to do.

    Attributes:
        load: Whether to load; else to unload.
        model: The model.
        adapter: An adapter of it, or empty for the model itself.
        expected: Orders that the engine should have accepted before.
        holder: Who orders.
        fence: The holder's fencing token; rises with each new holder.
    """

    load: bool
    model: str
    adapter: str
    expected: int
    holder: str
    fence: int


class Outcome(enum.StrEnum):
    """What became of an order."""

    ACCEPTED = "accepted"
    DONE = "done"
    BUSY = "busy"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class Report(NamedTuple):
    """What an engine says of itself when asked.

    Attributes:
        accepted: Orders that it has accepted since its start.
        busy: Whether one is under way.
        loaded: What it holds.
        coming: `MODEL/ADAPTER` that are on their way to it.
    """

    accepted: int
    busy: bool
    loaded: tuple[registry_lib.Loaded, ...]
    coming: tuple[str, ...]


class Request(NamedTuple):
    """An HTTP request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Codec(Protocol):
    """How calls to engines are written and read."""

    def order(self, order: Order, target: str) -> Request:
        """Returns the request that carries an order to a target."""

    def outcome(self, status: int) -> Outcome:
        """Reads the answer to an order."""

    def ask_report(self) -> Request:
        """Returns the request for a report."""

    def report(self, body: bytes) -> Report | None:
        """Reads a report; None if it cannot be read."""


class Engines:
    """Calls to engines. Lives as long as the process."""

    def __init__(self, *, pool: exchange_lib.Pool, codec: Codec) -> None:
        self._pool = pool
        self._codec = codec

    async def order(
        self, address: str, target: str, order: Order, *, seconds: float
    ) -> Outcome:
        """Sends an order and waits for so many seconds for its answer."""
        request = self._codec.order(order, target)
        answer = await self._exchange(address, request, seconds)
        if answer is None:
            return Outcome.UNANSWERED
        return self._codec.outcome(answer[0])

    async def report(self, address: str, *, seconds: float) -> Report | None:
        """Asks an engine; None if it does not answer as it should."""
        request = self._codec.ask_report()
        answer = await self._exchange(address, request, seconds)
        if answer is None or answer[0] != 200:
            return None
        return self._codec.report(answer[1])

    async def _exchange(
        self, address: str, request: Request, seconds: float
    ) -> tuple[int, bytes] | None:
        exchange = exchange_lib.Exchange(
            pool=self._pool, url=f"http://{address}/"
        )
        try:
            async with asyncio.timeout(seconds):
                await exchange.start(
                    request.method,
                    request.path,
                    request.headers,
                    request.body,
                    connect_seconds=seconds,
                )
                head = await exchange.head(seconds=seconds)
                parts = [c async for c in exchange.chunks(silence=seconds)]
                return head.status, b"".join(parts)
        except (exchange_lib.ExchangeError, TimeoutError):
            return None
        finally:
            exchange.close()
