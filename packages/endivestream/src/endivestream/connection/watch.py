"""An entry host's session with the leader among the control hosts.

It renews the lease under which the host may act, carries what the host
reports, and finds the next leader when one goes silent. One task; it talks to
the rest of the process by calls.
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

# A leader answers in milliseconds. So long a silence is a lost frame or a lost
# leader, and either way another host is asked.
_ANSWER_SECONDS = 0.4
# Between hosts that do not lead: long enough not to flood an election, short
# enough to find the winner well within a lease.
_SEARCH_SECONDS = 0.08
# A link that says nothing for so long is opened anew.
_SILENCE_SECONDS = 0.9


class Watch:
    """The session. Lives as long as the process."""

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
        """Does not connect yet.

        Args:
            controls: `tcp://IP:PORT` of some control hosts.
            context: The process's zmq context.
            every: Seconds between renewals.
            renewal: Makes the next renewal; told whether it goes to a host
                that was not the leader so far.
            on_renewed: Takes an answer.
            on_push: Called with each message that the leader pushes.
            meter: Counts what messages cost.
        """
        self._meter = meter
        self._seeds = tuple(controls)
        self._controls = list(controls)
        self._context = context
        self._every = every
        self._renewal = renewal
        self._on_renewed = on_renewed
        self._on_push = on_push
        self._links: dict[str, links.Link] = {}
        self._leader = ""
        # The control hosts that a leader last named; not those configured.
        self._leader_controls: tuple[str, ...] = ()
        self._lease_until = float("-inf")
        self._poked = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def lease_until(self) -> float:
        """Until when the host may act on its configuration."""
        return self._lease_until

    @property
    def leader(self) -> str:
        """The address of the leader, or empty while it is not known."""
        return self._leader

    @property
    def controls_digest(self) -> int:
        """Digest of the control hosts that a leader last named."""
        return addresses.digest(self._leader_controls)

    def start(self) -> None:
        """Starts to look for the leader."""
        self._task = tasks.start(self._run(), type(self).__name__)

    async def close(self) -> None:
        """Ends the session."""
        await tasks.cancel((self._task, *self._closing))
        for link in self._links.values():
            await link.close()

    def set_seeds(self, controls: Sequence[str]) -> None:
        """Takes over other control hosts to begin a search with."""
        self._seeds = tuple(controls)
        self._learn([c for c in self._controls if c not in controls])

    def poke(self) -> None:
        """Renews at once, because something changed on this host."""
        self._poked.set()

    async def tell(self, message: messages.Message) -> None:
        """Sends the leader a message that is not answered, if it is known."""
        if self._leader:
            await self._link(self._leader).send(message)

    async def ask(
        self, message: messages.Message, *, seconds: float
    ) -> messages.Message | None:
        """Asks the leader; None if it is not known or does not answer."""
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
                silence=_SILENCE_SECONDS,
                meter=self._meter,
            )
            link.start()
            self._links[address] = link
        return link

    async def _run(self) -> None:
        turn = 0
        while True:
            address = self._leader or self._controls[turn % len(self._controls)]
            turn += 1
            found = await self._renew(address)
            if found and found != address:
                # That host named the leader. It is asked at once, but does
                # not count as the leader before it has answered as one.
                found = await self._renew(found)
            if not found:
                self._lost(address)
                await asyncio.sleep(_SEARCH_SECONDS)
                continue
            try:
                async with asyncio.timeout(self._every):
                    await self._poked.wait()
            except TimeoutError:
                pass
            self._poked.clear()

    def _lost(self, address: str) -> None:
        if self._leader:
            logs.warn("leader_lost", peer=address)
        self._leader = ""

    async def _renew(self, address: str) -> str:
        """Renews at one control host.

        Returns:
            Its address if it leads, another's if it named one, else empty.
        """
        sent = clock.now()
        try:
            answer = await self._link(address).request(
                self._renewal(address != self._leader),
                seconds=_ANSWER_SECONDS,
            )
        except links.LinkDownError:
            return ""
        match answer:
            case site_messages.Renewed():
                if self._leader != address:
                    logs.event("leader_found", peer=address)
                    self._close_links(keep=[address])
                self._leader = address
                if answer.controls:
                    self._leader_controls = answer.controls
                    self._learn(answer.controls)
                # Counted from the sending: the leader was one then.
                self._lease_until = max(
                    self._lease_until, sent + answer.seconds
                )
                self._every = answer.every or self._every
                self._on_renewed(answer)
                return address
            case messages.NotLeader(address=named):
                return named if named != address else ""
        return ""

    def _learn(self, controls: Sequence[str]) -> None:
        """Takes over where control hosts are, beside those first told of."""
        known = [*controls, *(s for s in self._seeds if s not in controls)]
        if controls and known != self._controls:
            self._controls = known
            self._close_links(keep=known)

    def _close_links(self, *, keep: Collection[str]) -> None:
        """Closes the links to addresses not in `keep`, to stop their pings."""
        for address in self._links.keys() - set(keep):
            closing = asyncio.create_task(self._links.pop(address).close())
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)
