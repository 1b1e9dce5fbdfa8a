"""Batches an entry host's credit requests to the leader.

This bounds the load on the leader when a team sends many times its rate: no
host holds credit for the team, and each of its requests needs credit from the
leader. With one message for each, the leader could not keep up and would
answer none. Therefore only a few messages are in flight at a time, and credit
requests made meanwhile are batched into the next one. A single credit request
is sent immediately; the slower the leader, the larger the batches.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses

from endivestream import limit_messages
from endivestream import tasks
from endivestream.connection import watch as watch_lib

# A leader answers credit requests within a few milliseconds.
_TIMEOUT_SECONDS = 0.25
# Maximum number of messages in flight. More than one, so that a lost message
# does not delay all others.
_MAX_IN_FLIGHT = 2
# Maximum number of credit requests in a message.
_MAX_BATCH_SIZE = 64


@dataclasses.dataclass(kw_only=True)
class _PendingRequest:
    """A credit request that waits for its answer.

    Attributes:
        wanted: The requested credit.
        answer: Set to the grant, or to None if the leader did not answer.
    """

    wanted: limit_messages.CreditRequest
    answer: asyncio.Future[limit_messages.Grant | None]


class CreditRequester:
    """Sends credit requests to the leader, created once at process start."""

    def __init__(
        self,
        *,
        watch: watch_lib.LeaderSession,
        host: str,
        on_unclaimed: Callable[[limit_messages.Grant], None],
    ) -> None:
        """Sends no request yet.

        Args:
            watch: The session with the leader.
            host: This host's name.
            on_unclaimed: Called with a grant whose credit request was
                cancelled before the answer arrived.
        """
        self._watch = watch
        self._host = host
        self._on_unclaimed = on_unclaimed
        self._queue: list[_PendingRequest] = []
        self._in_flight: set[asyncio.Task[None]] = set()

    async def request(
        self, wanted: limit_messages.CreditRequest
    ) -> limit_messages.Grant | None:
        """Requests credit; returns None if the leader did not answer."""
        answer = asyncio.get_running_loop().create_future()
        self._queue.append(_PendingRequest(wanted=wanted, answer=answer))
        self._send_batches()
        return await answer

    def _send_batches(self) -> None:
        while self._queue and len(self._in_flight) < _MAX_IN_FLIGHT:
            batch = self._queue[:_MAX_BATCH_SIZE]
            del self._queue[:_MAX_BATCH_SIZE]
            task = tasks.start(self._exchange(batch), "credit")
            self._in_flight.add(task)
            task.add_done_callback(self._on_exchange_done)

    def _on_exchange_done(self, task: asyncio.Task[None]) -> None:
        self._in_flight.discard(task)
        if not task.cancelled():
            self._send_batches()

    async def _exchange(self, batch: list[_PendingRequest]) -> None:
        message = limit_messages.AskCredit(
            host=self._host,
            credit_requests=tuple(request.wanted for request in batch),
        )
        answer = await self._watch.request(message, seconds=_TIMEOUT_SECONDS)
        grants: tuple[limit_messages.Grant | None, ...] = ()
        if isinstance(answer, limit_messages.GiveCredit):
            grants = answer.grants
        if len(grants) != len(batch):
            grants = (None,) * len(batch)
        for pending, grant in zip(batch, grants, strict=True):
            if not pending.answer.done():
                pending.answer.set_result(grant)
            elif grant is not None:
                self._on_unclaimed(grant)

    async def close(self) -> None:
        """Cancels the messages in flight."""
        await tasks.cancel(list(self._in_flight))
