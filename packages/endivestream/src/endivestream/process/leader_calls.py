"""Calls at a control host that wait until the leader acknowledges a change.

The leader answers once no host may act on an older state past the bound, which
can take longer than an operator or a target waits for one call. The calls for
one change share a request to the leader that goes on when a call ends, and its
answer is kept for the next call. Times are seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Hashable

from endivestream import clock
from endivestream import messages
from endivestream import tasks

# Time for which an answer is kept. Callers call again within a second.
_KEPT_SECONDS = 1.5


class LeaderCalls:
    """Requests to the leader for changes that wait for entry hosts."""

    def __init__(
        self, *, call: Callable[..., Awaitable[messages.Message | None]]
    ) -> None:
        """Starts without requests.

        Args:
            call: Sends the leader a message, within `seconds` in all and
                `attempt_seconds` for each attempt; None if it does not answer.
        """
        self._call = call
        self._requests: dict[
            Hashable, asyncio.Task[messages.Message | None]
        ] = {}

    async def close(self) -> None:
        """Ends all requests."""
        await tasks.cancel(list(self._requests.values()))

    async def answer(
        self,
        change: Hashable,
        message: Callable[[], messages.Message],
        *,
        seconds: float,
        longest_wait: float,
        attempt_seconds: float,
    ) -> messages.Message | None:
        """Returns the leader's answer; None if it does not come in time.

        Args:
            change: The change, the same for all calls.
            message: Returns the message for the next attempt.
            seconds: How long this call waits.
            longest_wait: Time for which the leader may wait for hosts.
            attempt_seconds: Time after which a leader that does not answer is
                asked again.
        """
        request = self._requests.get(change)
        if request is None:
            request = tasks.start(
                self._request(message, longest_wait, attempt_seconds), "change"
            )
            self._requests[change] = request
            request.add_done_callback(
                lambda done: self._forget_later(change, done)
            )
        try:
            async with asyncio.timeout(seconds):
                answer = await asyncio.shield(request)
        except TimeoutError:
            return None
        if self._requests.get(change) is request:
            del self._requests[change]
        return answer

    async def _request(
        self,
        message: Callable[[], messages.Message],
        longest_wait: float,
        attempt_seconds: float,
    ) -> messages.Message | None:
        deadline = clock.now() + 2 * longest_wait + 1.0
        answer = None
        while answer is None and (remaining := deadline - clock.now()) > 0:
            seconds = min(attempt_seconds, remaining)
            answer = await self._call(
                message(), seconds=seconds, attempt_seconds=seconds
            )
        return answer

    def _forget_later(
        self,
        change: Hashable,
        request: asyncio.Task[messages.Message | None],
    ) -> None:
        def forget() -> None:
            if self._requests.get(change) is request:
                del self._requests[change]

        asyncio.get_running_loop().call_later(_KEPT_SECONDS, forget)
