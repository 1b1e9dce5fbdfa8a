"""Checks with the leader whether this host has the newest configuration.

A host may use its configuration until its lease expires, which is longer than
a change takes to be in force. To a caller, the answer that a route or a key
does *not* exist is final. It is therefore given only if the leader has
confirmed the configuration version since the request arrived. Concurrent
requests share one query.
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

_TIMEOUT_SECONDS = 0.25
# Delay before the query is sent again to a leader that did not answer.
_RETRY_SECONDS = 0.05


class ConfigurationFreshness:
    """Queries the newest version, created once when the process starts."""

    def __init__(
        self,
        *,
        watch: watch_lib.LeaderSession,
        version: Callable[[], int],
        wait_for_change: Callable[[float], Awaitable[None]],
    ) -> None:
        """Sends no query yet.

        Args:
            watch: The session with the leader.
            version: Returns the version in force on this host.
            wait_for_change: Waits until that version may have changed, for at
                most the given number of seconds.
        """
        self._watch = watch
        self._version = version
        self._wait_for_change = wait_for_change
        self._queries_sent = 0
        self._query: asyncio.Task[int | None] | None = None

    async def close(self) -> None:
        """Cancels a query in progress."""
        await tasks.cancel([self._query])

    async def confirm(self, seconds: float) -> bool:
        """Waits until this host has the version that was newest at the call.

        Args:
            seconds: The maximum time to wait.

        Returns:
            Whether it has that version; False if no leader confirmed it in
            time.
        """
        deadline = clock.now() + seconds
        newest_version = None
        while newest_version is None or newest_version > self._version():
            remaining = deadline - clock.now()
            if remaining <= 0:
                logs.warn(
                    "configuration_unconfirmed",
                    version=self._version(),
                    newest=newest_version,
                )
                return False
            if newest_version is not None:
                self._watch.renew_now()
                await self._wait_for_change(remaining)
                continue
            newest_version = await self._query_newest()
            if newest_version is None:
                await asyncio.sleep(min(remaining, _RETRY_SECONDS))
        return True

    async def _query_newest(self) -> int | None:
        """Returns the newest version, from a query sent after the call."""
        required = self._queries_sent + 1
        while self._queries_sent < required:
            if self._query is not None and not self._query.done():
                await asyncio.wait({self._query})
            else:
                self._queries_sent += 1
                self._query = tasks.start(self._send_query(), "newest_version")
        assert self._query is not None, "just started"
        return await asyncio.shield(self._query)

    async def _send_query(self) -> int | None:
        answer = await self._watch.request(
            site_messages.AskVersion(), seconds=_TIMEOUT_SECONDS
        )
        if isinstance(answer, site_messages.ToldVersion):
            return answer.version
        return None
