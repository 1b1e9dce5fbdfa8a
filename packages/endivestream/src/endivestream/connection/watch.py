"""An entry host's session with the leader among the control hosts.

The session renews the host's configuration lease, sends the host's reports, and
finds the next leader when the current one stops answering. It is one task; the
rest of the process uses its methods and callbacks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence

import zmq.asyncio

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import addresses
from endivestream.connection import links

# A leader answers in milliseconds. After this time a frame was lost or the
# leader has failed; in both cases the renewal is sent to another host.
_ANSWER_TIMEOUT_SECONDS = 0.4
# Pause between hosts that do not lead: long enough not to disturb an election
# with requests, short enough to find its winner well within a lease.
_SEARCH_INTERVAL_SECONDS = 0.08
# A link that receives nothing for this long is reconnected.
_LINK_SILENCE_SECONDS = 0.9


class LeaderSession:
    """Session with the leader. Lives as long as the process."""

    def __init__(
        self,
        *,
        controls: Sequence[str],
        context: zmq.asyncio.Context,
        every: float,
        renewal: Callable[[bool], site_messages.Renew],
        on_renewed: Callable[[site_messages.Renewed], None],
        on_push: Callable[[messages.Message], None],
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Initializes a session; `start` connects it.

        Args:
            controls: `tcp://IP:PORT` of some control hosts.
            context: The process's zmq context.
            every: Seconds between renewals.
            renewal: Builds the next renewal; its argument is whether the
                renewal goes to another host than the last leader.
            on_renewed: Called with each answer to a renewal.
            on_push: Called with each message that the leader pushes.
            meter: Records the event loop time spent on messages.
        """
        self._meter = meter
        self._seeds = tuple(controls)
        self._controls = list(controls)
        self._context = context
        self._interval_seconds = every
        self._build_renewal = renewal
        self._on_renewed = on_renewed
        self._on_push = on_push
        self._links: dict[str, links.Link] = {}
        self._leader = ""
        # Address of the host that last answered as the leader.
        self._last_leader = ""
        # Addresses last received from a leader; excludes the configured ones.
        self._leader_controls: tuple[str, ...] = ()
        self._lease_until = float("-inf")
        self._renewal_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def lease_until(self) -> float:
        """Time until which the host's configuration lease is valid."""
        return self._lease_until

    @property
    def leader(self) -> str:
        """Address of the leader, or empty while it is unknown."""
        return self._leader

    @property
    def controls_digest(self) -> int:
        """Digest of the control hosts last received from a leader."""
        return addresses.digest(self._leader_controls)

    def start(self) -> None:
        """Starts the search for the leader."""
        self._task = tasks.start_restarting(self._run, type(self).__name__)

    async def close(self) -> None:
        """Ends the session and closes its links."""
        await tasks.cancel((self._task, *self._closing))
        for link in self._links.values():
            await link.close()

    def set_seeds(self, controls: Sequence[str]) -> None:
        """Replaces the configured addresses of control hosts."""
        self._seeds = tuple(controls)
        self._update_controls([c for c in self._controls if c not in controls])

    def renew_now(self) -> None:
        """Renews immediately, because something changed on this host."""
        self._renewal_requested.set()

    async def send(self, message: messages.Message) -> None:
        """Sends the last known leader a message without an answer.

        A leader that was late with one answer mostly still leads, and may wait
        for this message.
        """
        if self._last_leader:
            await self._link(self._last_leader).send(message)

    async def request(
        self, message: messages.Message, *, seconds: float
    ) -> messages.Message | None:
        """Sends the leader a request; None if unknown or unanswered.

        While the leader is looked for, it may have no time, and requests would
        take more of it.
        """
        if not self._leader:
            return None
        try:
            return await self._link(self._leader).request(
                message, seconds=seconds
            )
        except links.LinkDownError as error:
            logs.warn("leader_unanswered", peer=self._leader, why=error)
            return None

    def _link(self, address: str) -> links.Link:
        link = self._links.get(address)
        if link is None:
            link = links.Link(
                address=address,
                context=self._context,
                on_push=self._on_push,
                silence=_LINK_SILENCE_SECONDS,
                meter=self._meter,
            )
            link.start()
            self._links[address] = link
        return link

    async def _run(self) -> None:
        attempt_number = 0
        while True:
            address = (
                self._leader
                or self._controls[attempt_number % len(self._controls)]
            )
            attempt_number += 1
            found_leader = await self._renew(address)
            if found_leader and found_leader != address:
                # The host returned the leader's address. The renewal is sent
                # there immediately, but that host counts as the leader only
                # once it has answered as one.
                found_leader = await self._renew(found_leader)
            if not found_leader:
                self._clear_leader(address)
                await asyncio.sleep(_SEARCH_INTERVAL_SECONDS)
                continue
            try:
                async with asyncio.timeout(self._interval_seconds):
                    await self._renewal_requested.wait()
            except TimeoutError:
                pass
            self._renewal_requested.clear()

    def _clear_leader(self, address: str) -> None:
        if self._leader:
            logs.warn("leader_lost", peer=address)
        self._leader = ""

    async def _renew(self, address: str) -> str:
        """Sends a renewal to one control host.

        Returns:
            Its address if it leads, another host's if it returned that one as
            the leader's, else an empty string.
        """
        sent_at = clock.now()
        try:
            answer = await self._link(address).request(
                self._build_renewal(address != self._last_leader),
                seconds=_ANSWER_TIMEOUT_SECONDS,
            )
        except links.LinkDownError:
            return ""
        match answer:
            case site_messages.Renewed():
                if self._leader != address:
                    logs.event("leader_found", peer=address)
                    self._close_links(keep=[address])
                self._leader = self._last_leader = address
                if answer.controls:
                    self._leader_controls = answer.controls
                    self._update_controls(answer.controls)
                # Counted from when the renewal was sent: at that time the
                # sender of the answer was the leader.
                self._lease_until = max(
                    self._lease_until, sent_at + answer.seconds
                )
                self._interval_seconds = (
                    answer.interval_seconds or self._interval_seconds
                )
                self._on_renewed(answer)
                return address
            case messages.NotLeader(address=leader_address):
                return leader_address if leader_address != address else ""
        return ""

    def _update_controls(self, controls: Sequence[str]) -> None:
        """Uses these control hosts, followed by the configured ones."""
        merged = [*controls, *(s for s in self._seeds if s not in controls)]
        if controls and merged != self._controls:
            self._controls = merged
            self._close_links(keep=merged)

    def _close_links(self, *, keep: Collection[str]) -> None:
        """Closes the links to addresses not in `keep`, to stop their pings."""
        for address in self._links.keys() - set(keep):
            closing = asyncio.create_task(self._links.pop(address).close())
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)
