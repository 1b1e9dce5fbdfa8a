"""Requests prefill turns from turn owners; grants those of engines owned here.

The turn owner of an engine is computed from the list of entry hosts alone, so
hosts with the same list agree without messages. While their lists differ, two
hosts may grant turns for an engine independently, and prompts reach it slightly
faster.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import zmq.asyncio

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import peer_messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import addresses
from endivestream.connection import links
from endivestream.request import turns as turns_lib

# A turn owner answers within a few milliseconds. A prompt that would wait
# longer for the answer is sent without a turn.
_ANSWER_TIMEOUT_SECONDS = 0.04
# A turn owner that did not answer receives no requests for this long.
_SKIP_OWNER_SECONDS = 1.0
# Samples of one engine that are kept for its turn owner.
_MAX_UNSENT_SAMPLES = 8
# Engines that have any; those of departed engines are dropped as the oldest.
_MAX_SAMPLED_ENGINES = 256
# A link without received bytes for this long is reopened.
_LINK_SILENCE_SECONDS = 3.0


class PrefillTurnService:
    """Requests and grants prefill turns on one entry host."""

    def __init__(
        self,
        *,
        name: str,
        context: zmq.asyncio.Context,
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Starts without other hosts; `set_hosts` sets them.

        Args:
            name: Name of this host.
            context: The process's zmq context.
            meter: Measures the event loop time of messages.
        """
        self._meter = meter or loop_meter.LoopMeter()
        self._name = name
        self._context = context
        self._turns = turns_lib.PrefillTurns()
        self._hosts: tuple[site_messages.EntryHost, ...] = ()
        self._links: dict[str, links.Link] = {}
        self._skip_owner_until: dict[str, float] = {}
        # Samples of engines owned by other hosts, for the next request there.
        self._unsent_samples: dict[str, list[peer_messages.PrefillSample]] = {}
        self._close_tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Closes all connections."""
        await tasks.cancel(list(self._close_tasks))
        for link in self._links.values():
            await link.close()

    def set_hosts(self, hosts: Sequence[site_messages.EntryHost]) -> None:
        """Sets the list of entry hosts and closes links to removed ones."""
        self._hosts = tuple(h for h in hosts if h.peers and not h.draining)
        addresses_in_use = {host.peers for host in self._hosts}
        for address in self._links.keys() - addresses_in_use:
            close_task = asyncio.create_task(self._links.pop(address).close())
            self._close_tasks.add(close_task)
            close_task.add_done_callback(self._close_tasks.discard)

    def turn_owner(self, target: str, domain: str) -> str:
        """Returns the address of an engine's turn owner; empty for this host.

        The turn owner is in the engine's failure domain if any host is, because
        most of the engine's requests come from there.
        """
        local_hosts = [host for host in self._hosts if host.domain == domain]
        hosts = local_hosts or self._hosts
        if not hosts:
            return ""
        owner_host = min(
            hosts, key=lambda host: addresses.rank(target, host.name)
        )
        return "" if owner_host.name == self._name else owner_host.peers

    def record_start(
        self, target: str, domain: str, tokens: float, seconds: float
    ) -> None:
        """Records how long an engine took until a prompt's first event."""
        if not self.turn_owner(target, domain):
            self._turns.record_start(target, tokens, seconds)
            return
        samples = self._unsent_samples.setdefault(target, [])
        if len(self._unsent_samples) > _MAX_SAMPLED_ENGINES:
            del self._unsent_samples[next(iter(self._unsent_samples))]
        samples.append(peer_messages.PrefillSample(tokens, seconds))
        del samples[:-_MAX_UNSENT_SAMPLES]

    async def request_turn(
        self, target: str, domain: str, tokens: float, rank: int
    ) -> float:
        """Returns the seconds that a prompt should wait; 0 if no answer."""
        owner = self.turn_owner(target, domain)
        now = clock.now()
        if not owner:
            return self._turns.take(target, tokens, rank, now)
        if self._skip_owner_until.get(owner, now) > now:
            return 0.0
        request = peer_messages.AskTurn(
            target=target,
            tokens=tokens,
            rank=rank,
            samples=tuple(self._unsent_samples.pop(target, ())),
        )
        try:
            answer = await self._link(owner).request(
                request, seconds=_ANSWER_TIMEOUT_SECONDS
            )
        except links.LinkDownError as error:
            logs.warn("turn_unanswered", peer=owner, why=error)
            self._skip_owner_until[owner] = clock.now() + _SKIP_OWNER_SECONDS
            return 0.0
        match answer:
            case peer_messages.GiveTurn(seconds=seconds):
                return seconds
        logs.warn("unexpected_message", message=type(answer).__name__)
        return 0.0

    def grant_turn(
        self, message: peer_messages.AskTurn
    ) -> peer_messages.GiveTurn:
        """Answers a request for a prefill turn at an engine owned here."""
        for sample in message.samples:
            self._turns.record_start(
                message.target, sample.tokens, sample.seconds
            )
        wait = self._turns.take(
            message.target, message.tokens, message.rank, clock.now()
        )
        return peer_messages.GiveTurn(seconds=wait)

    def _link(self, address: str) -> links.Link:
        link = self._links.get(address)
        if link is None:
            link = links.Link(
                address=address,
                context=self._context,
                on_push=lambda message: None,
                silence=_LINK_SILENCE_SECONDS,
                expects_pushes=False,
                meter=self._meter,
            )
            link.start()
            self._links[address] = link
        return link
