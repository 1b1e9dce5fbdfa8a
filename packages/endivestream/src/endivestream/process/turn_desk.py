"""Asks the owner of an engine for turns, and gives them for engines owned here.

Which host owns an engine follows from the list of entry hosts alone, so all of
them agree without a word as soon as they have the same list; while they do
not, two hosts give turns beside each other, and prompts come a little faster.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import zmq.asyncio

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import addresses
from endivestream.connection import links
from endivestream.request import turns as turns_lib

# An owner answers within a few milliseconds. A request that would wait longer
# for advice is better sent without.
_ANSWER_SECONDS = 0.04
# An owner that did not answer is left alone for so long.
_SILENT_SECONDS = 1.0
# A link that says nothing for so long is opened anew.
_LINK_SECONDS = 3.0


class TurnDesk:
    """Turns at all engines, as one entry host sees them."""

    def __init__(
        self,
        *,
        name: str,
        context: zmq.asyncio.Context,
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Has no other hosts before `set_hosts`.

        Args:
            name: This host.
            context: The process's zmq context.
            meter: Counts what messages cost.
        """
        self._meter = meter or loop_meter.LoopMeter()
        self._name = name
        self._context = context
        self._turns = turns_lib.Turns()
        self._hosts: tuple[site_messages.EntryHost, ...] = ()
        self._links: dict[str, links.Link] = {}
        self._silent_until: dict[str, float] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Closes all connections."""
        await tasks.cancel(list(self._closing))
        for link in self._links.values():
            await link.close()

    def set_hosts(self, hosts: Sequence[site_messages.EntryHost]) -> None:
        """Takes over which entry hosts there are."""
        self._hosts = tuple(h for h in hosts if h.peers and not h.draining)
        known = {host.peers for host in self._hosts}
        for address in self._links.keys() - known:
            closing = asyncio.create_task(self._links.pop(address).close())
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)

    def owner(self, target: str, domain: str) -> str:
        """Returns the address of an engine's owner, or empty for this host.

        The owner is in the engine's failure domain if a host is: most of its
        requests come from there.
        """
        near = [host for host in self._hosts if host.domain == domain]
        hosts = near or self._hosts
        if not hosts:
            return ""
        best = min(hosts, key=lambda host: addresses.rank(target, host.name))
        return "" if best.name == self._name else best.peers

    async def take(
        self, target: str, domain: str, tokens: float, rank: int
    ) -> float:
        """Returns how many seconds a prompt should wait; 0 if nobody says."""
        owner = self.owner(target, domain)
        now = clock.now()
        if not owner:
            return self._turns.take(target, tokens, rank, now)
        if self._silent_until.get(owner, now) > now:
            return 0.0
        ask = site_messages.AskTurn(target=target, tokens=tokens, rank=rank)
        try:
            answer = await self._link(owner).request(
                ask, seconds=_ANSWER_SECONDS
            )
        except links.LinkDownError as error:
            logs.warn("turn_unanswered", peer=owner, why=error)
            self._silent_until[owner] = clock.now() + _SILENT_SECONDS
            return 0.0
        match answer:
            case site_messages.GiveTurn(seconds=seconds):
                return seconds
        logs.warn("unexpected", message=type(answer).__name__)
        return 0.0

    def answer(self, message: site_messages.AskTurn) -> site_messages.GiveTurn:
        """Answers a request for a turn at an engine that this host owns."""
        wait = self._turns.take(
            message.target, message.tokens, message.rank, clock.now()
        )
        return site_messages.GiveTurn(seconds=wait)

    def _link(self, address: str) -> links.Link:
        link = self._links.get(address)
        if link is None:
            link = links.Link(
                address=address,
                context=self._context,
                on_push=lambda message: None,
                silence=_LINK_SECONDS,
                expects_pushes=False,
                meter=self._meter,
            )
            link.start()
            self._links[address] = link
        return link
