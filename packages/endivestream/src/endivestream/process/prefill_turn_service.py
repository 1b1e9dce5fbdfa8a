"""Requests prefill turns from turn owners; grants those of engines owned here.

The turn owner of an engine is computed from the list of entry hosts alone, so
hosts with the same list agree without messages. While their lists differ, two
hosts may grant turns for an engine independently, and prompts reach it slightly
faster.

For engines with few slots the turn owner also keeps the queue for the slots
(`process/slot_queues.py`). A host asks once for a slot with the prefill turn
and waits for the answer. If the owner does not answer, it asks the next host in
the same order, which stands in for the owner
(`request/waiting/slot_ownership.py`) until that answers a ping.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import heapq
import itertools
import math
import time
from typing import Any

import msgspec
import zmq.asyncio

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import messages
from endivestream import peer_messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import addresses
from endivestream.connection import links
from endivestream.process import slot_queues
from endivestream.request import forward_parts
from endivestream.request import turns as turns_lib
from endivestream.request.waiting import assumed_share
from endivestream.request.waiting import prompt_spacing
from endivestream.request.waiting import slot_answers

# A turn owner answers within a few milliseconds. A prompt that would wait
# longer for the answer is sent without a turn.
_ANSWER_TIMEOUT_SECONDS = 0.04
# A turn owner that did not answer is asked for no turn alone for this long.
_SKIP_OWNER_SECONDS = 1.0
# Samples of one engine that are kept for its turn owner.
_MAX_UNSENT_SAMPLES = 8
# Engines that have any; those of departed engines are dropped as the oldest.
_MAX_SAMPLED_ENGINES = 256
# A link without received bytes for this long is reopened.
_LINK_SILENCE_SECONDS = 3.0
# Hosts that are asked for a slot, one after the other, if the first is silent.
_MAX_OWNERS = 2
# Time between two checks whether the owner of a queue runs, while a request
# waits for its answer, and the time that it has for the answer to a ping.
_OWNER_CHECK_SECONDS = 0.3
_PING_SECONDS = 0.1
# An owner refuses a request when its patience ends. Its answer takes this time
# at most.
_REFUSAL_MARGIN_SECONDS = 0.1
# A ping that ends later than its time by this shows that this host is late, not
# the owner: the answer may be there unread. It is then sent again.
_LATE_TIMER_SECONDS = 0.05
_MAX_LATE_PINGS = 3
# Time that a silent owner has for the answer to a ping, until the next one.
_PROBE_SECONDS = 1.0
_PROBE_PAUSE_SECONDS = 0.1
# Retry time for requests whose owner runs but has not answered in time.
_LATE_RETRY_SECONDS = 0.5
# Pause before a request asks again whose queue has moved to another host.
_MOVED_SECONDS = 0.02
# Time for the answer to a claim of slots. It is read and answered at once.
_CLAIM_SECONDS = 0.3
# Time for which a former owner of a queue may hold grants that no load
# contains. One that is still listed is asked for them for longer.
_FORMER_OWNER_SECONDS = 1.0
_LISTED_FORMER_OWNER_SECONDS = 5.0


class _Silence:
    """An owner that has answered neither a request nor a ping."""

    def __init__(self) -> None:
        self.since = clock.now()
        self.answered = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class PrefillTurnService(forward_parts.SlotSource):
    """Requests and grants prefill turns on one entry host."""

    def __init__(
        self,
        *,
        name: str,
        context: zmq.asyncio.Context,
        meter: loop_meter.LoopMeter | None = None,
        incarnation: int = 0,
        load: Callable[[str], int | None] = lambda target: None,
    ) -> None:
        """Starts without other hosts; `set_hosts` sets them.

        Args:
            name: Name of this host.
            context: The process's zmq context.
            meter: Measures the event loop time of messages.
            incarnation: Number of this process start.
            load: Returns the published requests of all hosts on an engine; None
                without current figures.
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
        self._incarnation = incarnation
        self._request_numbers = itertools.count(1)
        self._host_names: tuple[str, ...] = ()
        self._owners: dict[tuple[str, str], tuple[str, ...]] = {}
        # When an owner last answered, by its address.
        self._heard_at: dict[str, float] = {}
        self._send_tasks: set[asyncio.Task[None]] = set()
        self._spacing = prompt_spacing.PromptSpacing()
        self._load = load
        self._silences: dict[str, _Silence] = {}
        # First owners, each with an engine for whose slots the next owner was
        # asked meanwhile, and when it was last asked.
        self._replaced_owners: dict[tuple[str, str], float] = {}
        # Addresses of all listed hosts, and earlier lists of owners with the
        # time of the change.
        self._addresses: frozenset[str] = frozenset()
        self._former_hosts: list[
            tuple[float, tuple[site_messages.EntryHost, ...]]
        ] = []
        self._slot_queues = slot_queues.SlotQueues(
            spacing=self._spacing,
            load=load,
            claim=self._claim_slots,
            forward_end=self._send_end,
        )

    @property
    def queues(self) -> slot_queues.SlotQueues:
        """The queues for slots of the engines that are owned here."""
        return self._slot_queues

    async def close(self) -> None:
        """Closes all connections and ends all waits."""
        self._slot_queues.close()
        probes = [silence.task for silence in self._silences.values()]
        await tasks.cancel([*self._close_tasks, *self._send_tasks, *probes])
        for link in self._links.values():
            await link.close()

    def set_hosts(self, hosts: Sequence[site_messages.EntryHost]) -> None:
        """Sets the list of entry hosts and closes links to removed ones."""
        now = clock.now()
        former_hosts = self._hosts
        self._hosts = tuple(h for h in hosts if h.peers and not h.draining)
        self._former_hosts = [
            (changed_at, former)
            for changed_at, former in self._former_hosts
            if now - changed_at < _LISTED_FORMER_OWNER_SECONDS
        ]
        if former_hosts and former_hosts != self._hosts:
            self._former_hosts.append((now, former_hosts))
        self._host_names = tuple(host.name for host in hosts)
        self._owners.clear()
        # Hosts that drain still own what they have granted.
        self._addresses = frozenset(host.peers for host in hosts if host.peers)
        self._slot_queues.address = next(
            (host.peers for host in hosts if host.name == self._name), ""
        )
        for address in self._silences.keys() - self._addresses:
            silence = self._silences.pop(address)
            silence.answered.set()
            if silence.task is not None:
                silence.task.cancel()
        self._replaced_owners = {
            (owner, target): asked_at
            for (owner, target), asked_at in self._replaced_owners.items()
            if owner in self._addresses
        }
        for address in self._links.keys() - self._addresses:
            close_task = asyncio.create_task(self._links.pop(address).close())
            self._close_tasks.add(close_task)
            close_task.add_done_callback(self._close_tasks.discard)
            self._heard_at.pop(address, None)
        incarnations = {host.name: host.incarnation for host in hosts}
        incarnations[self._name] = self._incarnation
        self._slot_queues.set_hosts(incarnations, self._addresses)

    def turn_owner(self, target: str, domain: str) -> str:
        """Returns the address of an engine's turn owner; empty for this host.

        The turn owner is in the engine's failure domain if any host is, because
        most of the engine's requests come from there.
        """
        return self._turn_owners(target, domain)[0]

    def _turn_owners(self, target: str, domain: str) -> tuple[str, ...]:
        """Returns the turn owner of an engine, and the next one without it."""
        owners = self._owners.get((target, domain))
        if owners is None:
            owners = tuple(
                "" if host.name == self._name else host.peers
                for host in _ranked(self._hosts, target, domain)
            ) or ("",)
            self._owners[target, domain] = owners
        return owners

    def record_start(
        self, target: str, domain: str, tokens: float, seconds: float
    ) -> None:
        """Records how long an engine took until a prompt's first event."""
        if not self.turn_owner(target, domain):
            self._record_sample(target, tokens, seconds)
            return
        samples = self._unsent_samples.setdefault(target, [])
        if len(self._unsent_samples) > _MAX_SAMPLED_ENGINES:
            del self._unsent_samples[next(iter(self._unsent_samples))]
        samples.append(peer_messages.PrefillSample(tokens, seconds))
        del samples[:-_MAX_UNSENT_SAMPLES]

    def _record_sample(
        self, target: str, tokens: float, seconds: float
    ) -> None:
        """Records a sample of an engine that is owned here."""
        self._turns.record_start(target, tokens, seconds)
        self._spacing.record_start(target, tokens, seconds)

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
            self._record_sample(message.target, sample.tokens, sample.seconds)
        wait = self._turns.take(
            message.target, message.tokens, message.rank, clock.now()
        )
        return peer_messages.GiveTurn(seconds=wait)

    async def answer_turn(
        self, message: peer_messages.AskTurn | peer_messages.ClaimSlots
    ) -> peer_messages.GiveTurn | peer_messages.SlotsClaimed | None:
        """Answers a request for a turn, or for slots.

        Returns:
            The answer; None if the request no longer waits.
        """
        if isinstance(message, peer_messages.ClaimSlots):
            return self._slot_queues.yield_slots(message)
        if not message.request:
            return self.grant_turn(message)
        for sample in message.samples:
            self._record_sample(message.target, sample.tokens, sample.seconds)
        former = ""
        if message.owners:
            former = self._former_owner(message.target, message.domain)
        return await self._slot_queues.ask(
            message,
            former=former,
            is_former_listed=former in self._addresses,
        )

    def _former_owner(self, target: str, domain: str) -> str:
        """Returns who owned an engine's queue before the list changed."""
        now = clock.now()
        for changed_at, hosts in reversed(self._former_hosts):
            [former, *_] = _ranked(hosts, target, domain)
            if former.name == self._name:
                continue
            seconds = (
                _LISTED_FORMER_OWNER_SECONDS
                if former.peers in self._addresses
                else _FORMER_OWNER_SECONDS
            )
            if now - changed_at < seconds:
                return former.peers
        return ""

    async def _claim_slots(
        self, host: str, message: peer_messages.ClaimSlots
    ) -> peer_messages.SlotsClaimed | None:
        """Claims what another host has granted; None if it is silent."""
        try:
            answer = await self._link(host).request(
                message, seconds=_CLAIM_SECONDS
            )
        except links.LinkDownError as error:
            logs.warn("claim_unanswered", peer=host, why=error)
            return None
        if isinstance(answer, peer_messages.SlotsClaimed):
            return answer
        logs.warn("unexpected_message", message=type(answer).__name__)
        return None

    def end_turn(self, message: peer_messages.EndTurn) -> None:
        """Releases a slot of an engine owned here."""
        self._slot_queues.end(message)

    def record_loads(self) -> None:
        """Called when new loads of targets were published."""
        self._slot_queues.record_loads()

    async def request_slot(
        self,
        question: slot_answers.SlotQuestion,
        *,
        is_wanted: Callable[[], bool],
    ) -> slot_answers.SlotAnswer:
        """Waits for a slot of an engine and for the prefill turn there.

        The wait ends after the request's patience at the latest. A slot that
        is granted must be released with `end_slot`.

        Args:
            question: The request.
            is_wanted: Returns whether the request may still use the engine.
        """
        wait_until = clock.now() + question.patience_seconds
        while True:
            owners = self._turn_owners(question.target, question.domain)
            reachable = [o for o in owners if o not in self._silences]
            if not reachable:
                if await self._wait_for_owner(question, wait_until):
                    continue
                return slot_answers.Unanswered()
            patience = wait_until - clock.now()
            if patience <= 0:
                return slot_answers.Full(retry_seconds=_LATE_RETRY_SECONDS)
            answer = await self._ask_for_slot(
                question, owners, reachable, patience, is_wanted
            )
            if answer is not None:
                return answer

    async def _wait_for_owner(
        self, question: slot_answers.SlotQuestion, wait_until: float
    ) -> bool:
        """Waits for an owner while no host may assume its share.

        Returns:
            Whether an owner answers again.
        """
        if self._load(question.target) is None:
            return False
        silent_seconds = self._silent_seconds(question.target)
        left = min(
            wait_until - clock.now(),
            assumed_share.LOAD_LAG_SECONDS - silent_seconds,
        )
        owners = self._turn_owners(question.target, question.domain)
        waits = [
            asyncio.create_task(self._silences[owner].answered.wait())
            for owner in owners
            if owner in self._silences
        ]
        if len(waits) < len(owners):
            return True
        try:
            done, _ = await asyncio.wait(
                waits,
                timeout=max(0.0, left),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for wait in waits:
                wait.cancel()
        return bool(done)

    def _silent_seconds(self, target: str) -> float:
        """Returns for how long no owner of an engine's queue has answered."""
        now = clock.now()
        silent_since = [
            self._silences[owner].since
            for (name, _), owners in self._owners.items()
            for owner in owners
            if name == target and owner in self._silences
        ]
        return now - max(silent_since, default=now)

    async def _ask_for_slot(
        self,
        question: slot_answers.SlotQuestion,
        owners: Sequence[str],
        reachable: Sequence[str],
        patience: float,
        is_wanted: Callable[[], bool],
    ) -> slot_answers.SlotAnswer | None:
        """Asks the first reachable owner of a queue for a slot.

        Returns:
            The answer; None if another owner is to be asked.
        """
        owner = reachable[0]
        slot = slot_answers.Slot(
            target=question.target,
            request=(
                f"{self._name}/{self._incarnation}/"
                f"{next(self._request_numbers)}"
            ),
            owner=owner,
            next_owner=next(
                (o for o in owners[owners.index(owner) + 1 :]), None
            ),
            slots=question.slots,
        )
        replaced = (owners[0], question.target)
        replaced_at: float | None = None
        if owner != owners[0]:
            self._replaced_owners[replaced] = clock.now()
        else:
            replaced_at = self._replaced_owners.pop(replaced, None)
        message = self._slot_message(
            question, slot, owners, patience, replaced_at
        )
        is_settled = False
        try:
            answer = await self._ask_owner(
                owner, message, is_wanted, self._silences.get(owners[0])
            )
            match answer:
                case peer_messages.GiveTurn(moved=True):
                    is_settled = True
                    # The list of hosts, or the next answer to a ping, names
                    # the new owner.
                    await asyncio.sleep(_MOVED_SECONDS)
                    return None
                case peer_messages.GiveTurn(refused=True):
                    is_settled = True
                    return slot_answers.Full(retry_seconds=answer.retry_seconds)
                case peer_messages.GiveTurn(seconds=seconds):
                    is_settled = True
                    return slot_answers.Granted(slot=slot, seconds=seconds)
                case _Returned():
                    return None
                case None:
                    return slot_answers.Unwanted()
            logs.warn("unexpected_message", message=type(answer).__name__)
            self._record_silence(owner, "unexpected message")
        except links.LinkDownError as error:
            if replaced_at is not None:
                self._replaced_owners.setdefault(replaced, replaced_at)
            if not self._was_heard(owner):
                self._record_silence(owner, error)
        finally:
            if not is_settled:
                self._end(slot, is_granted=False)
        return None

    def _was_heard(self, owner: str) -> bool:
        """Returns whether an owner has answered since the last check."""
        heard_at = self._heard_at.get(owner, -math.inf)
        return clock.now() - heard_at < _OWNER_CHECK_SECONDS + _PING_SECONDS

    def _record_silence(
        self, owner: str, reason: links.LinkDownError | str
    ) -> None:
        """Asks other owners until this one answers a ping."""
        logs.warn("turn_unanswered", peer=owner, why=reason)
        if owner in self._silences or owner not in self._addresses:
            return
        self._slot_queues.count("owner_silent")
        silence = self._silences[owner] = _Silence()
        silence.task = tasks.start(
            self._probe(owner, silence), "probe_slot_owner"
        )

    async def _probe(self, owner: str, silence: _Silence) -> None:
        """Pings a silent owner until it answers."""
        while True:
            try:
                await self._link(owner).request(
                    messages.Ping(), seconds=_PROBE_SECONDS
                )
                break
            except links.LinkDownError:
                # A link that was replaced fails at once.
                await asyncio.sleep(_PROBE_PAUSE_SECONDS)
        now = clock.now()
        self._heard_at[owner] = now
        if self._silences.get(owner) is silence:
            del self._silences[owner]
        silence.answered.set()
        self._slot_queues.count("owner_back")
        logs.event("slot_owner_back", peer=owner, silent_s=now - silence.since)

    def _slot_message(
        self,
        question: slot_answers.SlotQuestion,
        slot: slot_answers.Slot,
        owners: Sequence[str],
        patience: float,
        replaced_at: float | None,
    ) -> peer_messages.AskTurn:
        waited = question.patience_seconds - patience
        return peer_messages.AskTurn(
            target=question.target,
            tokens=question.tokens,
            rank=question.rank,
            samples=tuple(self._unsent_samples.pop(question.target, ())),
            request=slot.request,
            slots=question.slots,
            objective_seconds=question.objective_seconds - waited,
            patience_seconds=patience,
            deadline_seconds=question.deadline_seconds - waited,
            host=self._name,
            incarnation=self._incarnation,
            caller=question.caller,
            gap_seconds=question.gap_seconds,
            has_other_copy=question.has_other_copy,
            owners=tuple(o or self._slot_queues.address for o in owners),
            domain=question.domain,
            was_silent=replaced_at is not None,
            replaced_seconds=(
                0.0 if replaced_at is None else clock.now() - replaced_at
            ),
        )

    async def _ask_owner(
        self,
        owner: str,
        message: peer_messages.AskTurn,
        is_wanted: Callable[[], bool],
        silence: _Silence | None,
    ) -> messages.Message | _Returned | None:
        """Returns an owner's answer; None if the request is not wanted.

        Args:
            owner: Address of the owner.
            message: The question.
            is_wanted: Returns whether the request may still use the engine.
            silence: The silence of the first owner, if another one is asked.

        Raises:
            LinkDownError: The owner does not answer, or answers no ping.
        """
        if not owner:
            work = self.answer_turn(message)
        else:
            work = self._link(owner).request(
                message,
                seconds=message.patience_seconds + _REFUSAL_MARGIN_SECONDS,
            )
        task: asyncio.Task[messages.Message | None] = asyncio.create_task(work)
        waits: set[asyncio.Task[Any]] = {task}
        if silence is not None:
            waits.add(asyncio.create_task(silence.answered.wait()))
        seconds = _ANSWER_TIMEOUT_SECONDS
        try:
            while not task.done():
                await asyncio.wait(
                    waits,
                    timeout=seconds,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if task.done():
                    break
                if silence is not None and silence.answered.is_set():
                    return _Returned()
                seconds = _OWNER_CHECK_SECONDS
                if not is_wanted():
                    return None
                if owner:
                    await self._check_owner(owner)
            if owner:
                self._heard_at[owner] = clock.now()
            return task.result()
        finally:
            for wait in waits:
                wait.cancel()

    async def _check_owner(self, owner: str) -> None:
        """Checks that an owner runs, unless it has just answered.

        Raises:
            LinkDownError: It answers no ping.
        """
        heard_at = self._heard_at.get(owner)
        if (
            heard_at is not None
            and clock.now() - heard_at < _OWNER_CHECK_SECONDS
        ):
            return
        for count in range(1, _MAX_LATE_PINGS + 1):
            sent_at = clock.now()
            try:
                await self._link(owner).request(
                    messages.Ping(), seconds=_PING_SECONDS
                )
                break
            except links.LinkDownError:
                late_seconds = clock.now() - sent_at - _PING_SECONDS
                if late_seconds < _LATE_TIMER_SECONDS or (
                    count == _MAX_LATE_PINGS
                ):
                    raise
        self._heard_at[owner] = clock.now()

    def end_slot(self, slot: slot_answers.Slot) -> None:
        """Releases a granted slot.

        While its owner is silent, the slot is passed on to the next one.
        """
        self._end(slot, is_granted=True)

    def _end(self, slot: slot_answers.Slot, *, is_granted: bool) -> None:
        """Ends a grant, or the wait for one.

        A slot is passed on only if it was granted: a silent owner may have
        granted it without this host's knowledge, or not.
        """
        has_left = bool(slot.owner) and slot.owner not in self._addresses
        is_passed = (
            is_granted
            and slot.next_owner is not None
            and slot.next_owner not in self._silences
            and (has_left or slot.owner in self._silences)
        )
        message = peer_messages.EndTurn(
            target=slot.target,
            request=slot.request,
            passed=is_passed,
            slots=slot.slots,
        )
        if not has_left:
            self._send_end(slot.owner, message)
        if is_passed and slot.next_owner is not None:
            self._send_end(
                slot.next_owner,
                msgspec.structs.replace(message, passed=False, received=True),
            )

    def _send_end(self, owner: str, message: peer_messages.EndTurn) -> None:
        """Sends the end of a request to an owner; empty for this host."""
        if not owner:
            self._slot_queues.end(message)
            return
        if owner not in self._addresses:
            return
        task = tasks.start(self._link(owner).send(message), "end_turn")
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    def may_assume_slot(self, target: str, slots: int, running: int) -> bool:
        """Returns whether a request may be sent without its queue's answer.

        Args:
            target: The engine.
            slots: Number of slots of the engine.
            running: Requests of this host on the engine, also those that are
                about to be sent.
        """
        may_assume = assumed_share.may_assume(
            target=target,
            host=self._name,
            hosts=self._host_names,
            slots=slots,
            wall_seconds=time.time(),
            running=running,
            load=self._load(target),
            silent_seconds=self._silent_seconds(target),
        )
        kind = "slot_assumed" if may_assume else "slot_not_assumed"
        self._slot_queues.count(kind)
        return may_assume

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


class _Returned:
    """The first owner of a queue answers again."""


def _ranked(
    hosts: Sequence[site_messages.EntryHost], target: str, domain: str
) -> list[site_messages.EntryHost]:
    """Returns the hosts that own an engine's queue, in their order."""
    local_hosts = [h for h in hosts if h.domain == domain]
    return heapq.nsmallest(
        _MAX_OWNERS,
        local_hosts or hosts,
        key=lambda host: addresses.rank(target, host.name),
    )
