"""The way to the control leader, whichever host that is at the moment."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
import time

import zmq.asyncio

from endivestream import logs
from endivestream import messages
from endivestream.connection import link_keys
from endivestream.connection import links

# Pause before asking again when nobody leads: a tenth of an election at first,
# doubled once, with jitter; up to a half an election cost 0.3 s more without a
# leader (medians of 4 kills).
_FIRST_PAUSE_SECONDS = 0.05
_MOST_PAUSE_SECONDS = 0.1


class LeaderLink:
    """Requests to the leader, tried again on another control host.

    Everything sent here may be sent twice: changes carry an id, charges and
    tickets the request's, calls their holder. So a request whose answer was
    lost goes to the next leader until its time is up.
    """

    def __init__(
        self,
        *,
        addresses: list[str],
        context: zmq.asyncio.Context,
        on_push: Callable[[messages.Message], None],
        silence: float,
        attempt_seconds: float,
        on_move: Callable[[], None],
        keys: link_keys.LinkKeys | None = None,
    ) -> None:
        self._keys = keys
        self._on_move = on_move
        self._addresses = list(addresses)
        self._context = context
        self._on_push = on_push
        self._silence = silence
        self._attempt_seconds = attempt_seconds
        self._link: links.Link | None = None
        self._closing: set[asyncio.Task[None]] = set()
        self._searching = False
        self._random = random.Random()

    @property
    def address(self) -> str:
        """The control host that is asked at the moment."""
        return self._link.address if self._link else ""

    @property
    def link(self) -> links.Link | None:
        """The present connection."""
        return self._link

    def start(self) -> None:
        """Connects to the first control host."""
        self._use(self._addresses[0])

    async def close(self) -> None:
        """Disconnects."""
        if self._link is not None:
            await self._link.close()
        for task in list(self._closing):
            await task

    def _use(self, address: str) -> None:
        if self._link is not None:
            task = asyncio.create_task(self._link.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)
        self._link = links.Link(
            address=address,
            context=self._context,
            on_push=self._on_push,
            silence=self._silence,
            keys=self._keys,
        )
        self._link.start()

    def _move_on(self, from_address: str, to_address: str) -> None:
        """Turns to another control host, unless somebody did already."""
        if self.address != from_address:
            return
        if not to_address:
            known = self._addresses
            place = known.index(from_address) if from_address in known else -1
            to_address = known[(place + 1) % len(known)]
        if to_address != from_address:
            if not self._searching:
                logs.event("leader_link", peer=to_address)
            self._searching = True
            self._use(to_address)
            self._on_move()

    async def request(
        self,
        message: messages.Message,
        *,
        seconds: float,
        answer_seconds: float = 0.0,
    ) -> messages.Message:
        """Sends a request to the leader and returns its answer.

        Args:
            message: The request.
            seconds: How long to try.
            answer_seconds: How long a leader may take to answer, where that
                is longer than for an ordinary request.

        Raises:
            links.LinkDownError: No leader answered. It may have had effect.
        """
        until = time.monotonic() + seconds
        attempt = max(self._attempt_seconds, answer_seconds)
        pause = _FIRST_PAUSE_SECONDS
        while True:
            link = self._link
            assert link is not None, "not started"
            left = until - time.monotonic()
            why = "no time left"
            if left > 0:
                try:
                    answer = await link.request(
                        message, seconds=min(left, attempt)
                    )
                    if not isinstance(
                        answer, messages.NotLeader | messages.Lost
                    ):
                        self._searching = False
                        return answer
                    why = "no leader is known"
                    if isinstance(answer, messages.NotLeader):
                        self._move_on(link.address, answer.address)
                except links.LinkDownError as error:
                    why = str(error)
                    self._move_on(link.address, "")
            if time.monotonic() + pause >= until:
                raise links.LinkDownError(why)
            await asyncio.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(_MOST_PAUSE_SECONDS, 2 * pause)
