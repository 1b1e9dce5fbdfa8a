"""Requests whose answer this host has not read, by target."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
from typing import Protocol


class Exchange(Protocol):
    """A request to a target; implemented by `exchange.Exchange`."""

    @property
    def has_unread_answer(self) -> bool:
        """Whether a part of the answer has arrived that is not read."""


class AwaitedAnswers:
    """Requests that were sent and whose answer was not read.

    An event loop that is late runs timers whose requests are due before it
    has read the answers that arrived meanwhile, which may forbid them.
    """

    def __init__(self) -> None:
        self._by_target: dict[str, set[Exchange]] = {}

    @contextlib.contextmanager
    def add(self, target: str, exchange: Exchange) -> Iterator[None]:
        """Holds a request in the collection while its answer is read."""
        exchanges = self._by_target.setdefault(target, set())
        exchanges.add(exchange)
        try:
            yield
        finally:
            exchanges.discard(exchange)
            if not exchanges:
                self._by_target.pop(target, None)

    async def read_received(self, target: str) -> None:
        """Waits until answers that have arrived from a target are read.

        Answers that arrive during the wait are not waited for.
        """
        exchanges = self._by_target.get(target, set())
        unread = [each for each in exchanges if each.has_unread_answer]
        while unread:
            await asyncio.sleep(0)
            exchanges = self._by_target.get(target, set())
            unread = [
                each
                for each in unread
                if each in exchanges and each.has_unread_answer
            ]
