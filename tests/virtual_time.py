"""An event loop whose time passes only when everything waits, or is charged."""

import asyncio
import contextlib
from unittest import mock

from endivestream import clock

_BEGIN_SECONDS = 1000.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """Timers fire at once and in order; work takes what it is charged."""

    def __init__(self):
        super().__init__()
        self._now = _BEGIN_SECONDS
        self._really_select = self._selector.select
        self._selector.select = self._select

    def time(self):
        return self._now

    def charge(self, seconds):
        """Lets the loop's own work take time."""
        self._now += seconds

    def _select(self, timeout=None):
        ready = self._really_select(0)
        if not ready:
            assert timeout is not None, "everything waits for ever"
            self._now += timeout
        return ready


@contextlib.contextmanager
def running():
    """Yields a runner of a virtual loop, with our clock set to it."""
    loop = VirtualLoop()
    with (
        mock.patch.object(clock, "now", loop.time),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        yield runner
