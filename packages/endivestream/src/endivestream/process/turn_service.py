"""Requests turns from turn owners; grants those of targets owned here.

The turn owner of a target is computed from the list of entry hosts alone, so
hosts with the same list agree without messages. While their lists differ, two
hosts may grant turns for a target independently, and requests reach it slightly
faster.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec
import zmq.asyncio

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
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
# Samples of one target that are kept for its turn owner, and targets that have
# any; those of departed targets are dropped as the oldest.
_MAX_UNSENT_SAMPLES = 8
_MAX_SAMPLED_TARGETS = 256
# A link without received bytes for this long is reopened.
_LINK_SILENCE_SECONDS = 3.0


class TurnService:
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
        self._turns = turns_lib.Turns()
        self._hosts: tuple[site_messages.EntryHost, ...] = ()
        self._links: dict[str, links.Link] = {}
        self._skip_owner_until: dict[str, float] = {}
        # Samples of targets owned by other hosts, for the next request there.
        self._unsent_samples: dict[str, list[site_messages.TurnSample]] = {}
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
        """Returns the address of a target's turn owner; empty for this host.

        The turn owner is in the target's failure domain if any host is, because
        most of the target's requests come from there.
        """
        local_hosts = [host for host in self._hosts if host.domain == domain]
        hosts = local_hosts or self._hosts
        if not hosts:
            return ""
        owner_host = min(
            hosts, key=lambda host: addresses.rank(target, host.name)
        )
        return "" if owner_host.name == self._name else owner_host.peers

    def record_duration(
        self, target: str, domain: str, tokens: float, seconds: float
    ) -> None:
        """Records how long a target took for a request.

        Args:
            target: The target.
            domain: Its failure domain.
            tokens: Length of the prompt, or 0 for a whole request.
            seconds: Seconds until the first event, or of the whole request.
        """
        sample = site_messages.TurnSample(tokens, seconds)
        if not self.turn_owner(target, domain):
            self._record(target, sample)
            return
        unsent = self._unsent_samples
        unsent[target] = [*unsent.pop(target, ()), sample]
        del unsent[target][:-_MAX_UNSENT_SAMPLES]
        if len(unsent) > _MAX_SAMPLED_TARGETS:
            del unsent[next(iter(unsent))]

    def _record(self, target: str, sample: site_messages.TurnSample) -> None:
        if sample.tokens:
            self._turns.record_start(target, sample.tokens, sample.seconds)
        else:
            self._turns.record_service(target, sample.seconds)

    async def request_prefill_turn(
        self, target: str, domain: str, tokens: float, rank: int
    ) -> float:
        """Returns the seconds that a prompt should wait; 0 if no answer."""
        return await self._request_turn(
            domain,
            site_messages.AskTurn(target=target, tokens=tokens, rank=rank),
        )

    async def request_slot_turn(
        self, target: str, domain: str, slots: int, rank: int, max_wait: float
    ) -> float:
        """Returns the seconds that a whole request should wait.

        0 without an answer; more than `max_wait` if it has no turn until then.
        """
        return await self._request_turn(
            domain,
            site_messages.AskTurn(
                target=target,
                tokens=0.0,
                rank=rank,
                slots=slots,
                max_wait_seconds=max_wait,
            ),
        )

    async def _request_turn(
        self, domain: str, request: site_messages.AskTurn
    ) -> float:
        owner = self.turn_owner(request.target, domain)
        if not owner:
            return self._grant(request)
        if self._skip_owner_until.get(owner, 0.0) > clock.now():
            return 0.0
        samples = tuple(self._unsent_samples.pop(request.target, ()))
        request = msgspec.structs.replace(request, samples=samples)
        try:
            answer = await self._link(owner).request(
                request, seconds=_ANSWER_TIMEOUT_SECONDS
            )
        except links.LinkDownError as error:
            logs.warn("turn_unanswered", peer=owner, why=error)
            self._skip_owner_until[owner] = clock.now() + _SKIP_OWNER_SECONDS
            return 0.0
        match answer:
            case site_messages.GiveTurn(seconds=seconds):
                return seconds
        logs.warn("unexpected_message", message=type(answer).__name__)
        return 0.0

    def grant_turn(
        self, message: site_messages.AskTurn
    ) -> site_messages.GiveTurn:
        """Answers a request for a turn at a target owned here."""
        for sample in message.samples:
            self._record(message.target, sample)
        return site_messages.GiveTurn(seconds=self._grant(message))

    def _grant(self, request: site_messages.AskTurn) -> float:
        now = clock.now()
        if request.slots:
            return self._turns.take_slot(
                request.target,
                request.slots,
                request.rank,
                now,
                request.max_wait_seconds,
            )
        return self._turns.take_prefill(
            request.target, request.tokens, request.rank, now
        )

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
