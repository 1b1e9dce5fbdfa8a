"""Connection to the control leader, on whichever host it currently runs."""

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

# Pause before a retry while there is no leader: a tenth of an election timeout
# at first, doubled once, with jitter. Pauses of up to half an election timeout
# prolonged the time without a leader by 0.3 s (medians of 4 kills).
_INITIAL_PAUSE_SECONDS = 0.05
_MAX_PAUSE_SECONDS = 0.1


class LeaderLink:
    """Sends requests to the leader and retries on other control hosts.

    Every request sent here may arrive twice: changes carry an id of their own,
    charges and tickets the id of the request, claims of calls a holder id.
    So a request whose answer was lost is sent to the next leader until its
    timeout.
    """

    def __init__(
        self,
        *,
        addresses: list[str],
        context: zmq.asyncio.Context,
        on_push: Callable[[messages.Message], None],
        silence: float,
        attempt_seconds: float,
        on_leader_changed: Callable[[], None],
        keys: link_keys.LinkKeys | None = None,
    ) -> None:
        self._keys = keys
        self._on_leader_changed = on_leader_changed
        self._addresses = list(addresses)
        self._context = context
        self._on_push = on_push
        self._silence = silence
        self._attempt_seconds = attempt_seconds
        self._link: links.Link | None = None
        self._closing: set[asyncio.Task[None]] = set()
        self._is_searching = False
        self._random = random.Random()

    @property
    def address(self) -> str:
        """Address of the control host that requests are currently sent to."""
        return self._link.address if self._link else ""

    @property
    def link(self) -> links.Link | None:
        """The current connection, or None before `start`."""
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

    def _switch_host(self, from_address: str, to_address: str) -> None:
        """Switches to another control host, unless this was done already.

        Args:
            from_address: Host that failed or does not lead; nothing is done if
                the link already uses another one.
            to_address: Host to connect to, or empty for the next one in the
                list.
        """
        if self.address != from_address:
            return
        if not to_address:
            candidates = self._addresses
            position = (
                candidates.index(from_address)
                if from_address in candidates
                else -1
            )
            to_address = candidates[(position + 1) % len(candidates)]
        if to_address != from_address:
            if not self._is_searching:
                logs.event("leader_link_switched", peer=to_address)
            self._is_searching = True
            self._use(to_address)
            self._on_leader_changed()

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
            answer_seconds: How long a leader may take to answer, if that is
                longer than for an ordinary request.

        Raises:
            links.LinkDownError: No leader answered. The request may still have
                been processed.
        """
        deadline = time.monotonic() + seconds
        attempt_timeout = max(self._attempt_seconds, answer_seconds)
        pause = _INITIAL_PAUSE_SECONDS
        while True:
            link = self._link
            assert link is not None, "not started"
            remaining = deadline - time.monotonic()
            reason = "the request timed out"
            if remaining > 0:
                try:
                    answer = await link.request(
                        message, seconds=min(remaining, attempt_timeout)
                    )
                    if not isinstance(
                        answer, messages.NotLeader | messages.Lost
                    ):
                        self._is_searching = False
                        return answer
                    reason = "no leader is known"
                    if isinstance(answer, messages.NotLeader):
                        self._switch_host(link.address, answer.address)
                except links.LinkDownError as error:
                    reason = str(error)
                    self._switch_host(link.address, "")
            if time.monotonic() + pause >= deadline:
                raise links.LinkDownError(reason)
            await asyncio.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(_MAX_PAUSE_SECONDS, 2 * pause)
