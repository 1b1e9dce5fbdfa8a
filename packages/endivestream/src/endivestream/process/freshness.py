"""Whether this host has the newest configuration, as the leader says.

A host may act on its configuration for a whole lease, longer than a change
takes to be in force. That a route or a key is *not* there is final for the
caller, so it is said only of a configuration that the leader has confirmed
since the request came. Requests that come together share one question.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from endivestream import clock
from endivestream import logs
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import watch as watch_lib

_ANSWER_SECONDS = 0.25
# Before a leader that did not answer is asked again.
_AGAIN_SECONDS = 0.05


class Freshness:
    """Asks for the newest configuration. Lives as long as the process."""

    def __init__(
        self,
        *,
        watch: watch_lib.Watch,
        version: Callable[[], int],
        changed: Callable[[float], Awaitable[None]],
    ) -> None:
        """Asks nothing yet.

        Args:
            watch: The session with the leader.
            version: Returns the version in force here.
            changed: Waits until that may be another, for so many seconds at
                most.
        """
        self._watch = watch
        self._version = version
        self._changed = changed
        self._asked = 0
        self._question: asyncio.Task[int | None] | None = None

    async def close(self) -> None:
        """Ends a question under way."""
        await tasks.cancel([self._question])

    async def confirm(self, seconds: float) -> bool:
        """Waits until this host surely has what was the newest at the call.

        Args:
            seconds: How long to wait.

        Returns:
            Whether it has; False if no leader said so in time.
        """
        until = clock.now() + seconds
        told = None
        while told is None or told > self._version():
            left = until - clock.now()
            if left <= 0:
                logs.warn("unconfirmed", version=self._version(), newest=told)
                return False
            if told is not None:
                self._watch.poke()
                await self._changed(left)
                continue
            told = await self._newest()
            if told is None:
                await asyncio.sleep(min(left, _AGAIN_SECONDS))
        return True

    async def _newest(self) -> int | None:
        """Returns the newest version, by a question sent after the call."""
        wanted = self._asked + 1
        while self._asked < wanted:
            if self._question is not None and not self._question.done():
                await asyncio.wait({self._question})
            else:
                self._asked += 1
                self._question = tasks.start(self._ask(), "newest_version")
        assert self._question is not None, "just started"
        return await asyncio.shield(self._question)

    async def _ask(self) -> int | None:
        answer = await self._watch.ask(
            site_messages.AskVersion(), seconds=_ANSWER_SECONDS
        )
        if isinstance(answer, site_messages.ToldVersion):
            return answer.version
        return None
