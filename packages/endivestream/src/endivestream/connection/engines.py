"""Orders to engines and reports from engines, over HTTP.

A codec defines the HTTP form of the calls; this module interprets their
outcomes. An order that gets no answer may still be executed seconds later.
"""

from __future__ import annotations

import asyncio
import enum
from typing import NamedTuple
from typing import Protocol

from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib


class Order(NamedTuple):
    """Order to an engine to load or unload a model or an adapter.

    Attributes:
        load: Whether to load; otherwise to unload.
        model: Name of the model.
        adapter: Name of an adapter of the model, or empty for the model itself.
        expected: Number of orders that the engine should have accepted before.
        holder: Name of the host that sends the order.
        fence: Fencing token of that host; rises with each new lease holder.
    """

    load: bool
    model: str
    adapter: str
    expected: int
    holder: str
    fence: int


class Outcome(enum.StrEnum):
    """Outcome of an order."""

    ACCEPTED = "accepted"
    DONE = "done"
    BUSY = "busy"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class Report(NamedTuple):
    """State that an engine reports on request.

    Attributes:
        accepted: Number of orders that it has accepted since its start.
        busy: Whether it is executing an order.
        loaded: Models that are loaded.
        loading: Models and adapters that it is loading, as `MODEL/ADAPTER`.
        started_at_ms: Start time of its process; None if it does not state it.
    """

    accepted: int
    busy: bool
    loaded: tuple[registry_lib.Loaded, ...]
    loading: tuple[str, ...]
    started_at_ms: int | None = None


class Request(NamedTuple):
    """An HTTP request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Codec(Protocol):
    """Encodes calls to engines and decodes their answers."""

    def order(self, order: Order, target: str) -> Request:
        """Returns the request that carries an order to a target."""

    def outcome(self, status: int) -> Outcome:
        """Returns the outcome of an order from the HTTP status."""

    def ask_report(self) -> Request:
        """Returns the request for a report."""

    def report(self, body: bytes) -> Report | None:
        """Decodes a report; None if it is malformed."""


class Engines:
    """Client for engines. Lives as long as the process."""

    def __init__(self, *, pool: exchange_lib.Pool, codec: Codec) -> None:
        self._pool = pool
        self._codec = codec

    async def order(
        self, address: str, target: str, order: Order, *, seconds: float
    ) -> Outcome:
        """Sends an order and waits up to `seconds` for its answer."""
        request = self._codec.order(order, target)
        answer = await self._exchange(address, request, seconds)
        if answer is None:
            return Outcome.UNANSWERED
        return self._codec.outcome(answer[0])

    async def report(self, address: str, *, seconds: float) -> Report | None:
        """Requests a report; None if the engine does not return a valid one."""
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
                return head.status, await exchange.body(seconds=seconds)
        except (exchange_lib.ExchangeError, TimeoutError):
            return None
        finally:
            exchange.close()
