"""Event loop with virtual time, which advances only while all tasks wait."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import selectors
from unittest import mock

from endivestream import clock

_START_SECONDS = 1000.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers immediately and in order; work takes the charged time."""

    def __init__(self) -> None:
        super().__init__()
        self._now = _START_SECONDS
        self._poll_selector = self._selector.select
        self._selector.select = self._select

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._now

    def charge(self, seconds: float) -> None:
        """Advances the time by the duration of work in the loop."""
        self._now += seconds

    def _select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self._poll_selector(0)
        if not ready:
            assert timeout is not None, "all tasks wait forever"
            self._now += timeout
        return ready


@contextlib.contextmanager
def running() -> Iterator[asyncio.Runner]:
    """Yields a runner of a virtual loop and patches `clock` with its time."""
    loop = VirtualLoop()
    with (
        mock.patch.object(clock, "now", loop.time),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        yield runner
