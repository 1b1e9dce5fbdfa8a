"""Calls of departing targets at a control host, until the leader answers.

The leader answers once no host may send to the target past the bound, which can
take longer than a target waits for one call. The calls of one departure share a
request to the leader that goes on when a call ends, and its answer is kept for
the next call. Times are seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Hashable

from endivestream import messages
from endivestream import site_messages
from endivestream import tasks

# Time for which an answer is kept. Targets call again within a second.
_KEPT_SECONDS = 1.5


class DepartureCalls:
    """Requests to the leader for targets that depart."""

    def __init__(
        self,
        *,
        call: Callable[..., Awaitable[messages.Message | None]],
        longest_wait: float,
    ) -> None:
        """Starts without requests.

        Args:
            call: Sends the leader a message, within `seconds` in all and
                `attempt_seconds` for each attempt; None if it does not answer.
            longest_wait: Time for which the leader may wait for hosts.
        """
        self._call = call
        self._longest_wait = longest_wait
        self._requests: dict[Hashable, asyncio.Task[bool]] = {}

    async def close(self) -> None:
        """Ends all requests."""
        await tasks.cancel(list(self._requests.values()))

    async def is_acknowledged(
        self, departure: Hashable, message: messages.Message, *, seconds: float
    ) -> bool:
        """Returns whether the leader acknowledges a departure in time.

        Args:
            departure: The departure, the same for all calls.
            message: The message to the leader.
            seconds: How long this call waits.
        """
        request = self._requests.get(departure)
        if request is None:
            request = tasks.start(self._request(message), "departure")
            self._requests[departure] = request
            request.add_done_callback(lambda _: self._forget_later(departure))
        try:
            async with asyncio.timeout(seconds):
                is_acknowledged = await asyncio.shield(request)
        except TimeoutError:
            return False
        if self._requests.get(departure) is request:
            del self._requests[departure]
        return is_acknowledged

    async def _request(self, message: messages.Message) -> bool:
        # An attempt is longer than the wait for an answer, or the answer would
        # find no request.
        answer = await self._call(
            message,
            seconds=2 * self._longest_wait + 1.0,
            attempt_seconds=self._longest_wait + 1.0,
        )
        return isinstance(answer, site_messages.Registered)

    def _forget_later(self, departure: Hashable) -> None:
        request = self._requests.get(departure)

        def forget() -> None:
            if self._requests.get(departure) is request:
                del self._requests[departure]

        asyncio.get_running_loop().call_later(_KEPT_SECONDS, forget)
