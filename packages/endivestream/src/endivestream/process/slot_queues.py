"""Queues for the slots of the engines whose turn owner is this host.

Each engine has a queue (`request/waiting/admission_queue.py`), which decides.
This module passes requests and ends to it, answers what it has decided, and
calls it again when time alone changes a decision. Which host may grant the
slots of an engine is decided in `request/waiting/slot_ownership.py`. Requests
are not polled; one timer for all queues measures whether this host is late.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

import msgspec

from endivestream import clock
from endivestream import logs
from endivestream import peer_messages
from endivestream import tasks
from endivestream.request.waiting import admission_queue
from endivestream.request.waiting import prompt_spacing
from endivestream.request.waiting import slot_ownership

# Number of engines from which on idle queues are removed.
_MAX_QUEUES = 256
# Shortest time until a queue is called again. A timer may fire early by the
# resolution of the clock.
_MIN_TIMER_SECONDS = 0.005
# Retry time for requests of a host that the list leaves out: if it runs, it is
# listed again within two reports to the leader.
_UNLISTED_RETRY_SECONDS = 0.5
# Time between two checks whether the event loop was late. It is shorter than
# the difference between the lag of the loads and `LATE_SECONDS`.
_TICK_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Moved:
    """Another host owns the queue now."""


_Answer = admission_queue.Send | admission_queue.Refuse | _Moved


class _Engine:
    """The queue of an engine, and what waits for its decisions."""

    def __init__(self, *, slots: int) -> None:
        self.queue = admission_queue.AdmissionQueue(slots=slots)
        self.ownership = slot_ownership.SlotOwnership()
        self.slots = slots
        self.claim_task: asyncio.Task[None] | None = None
        # Hosts to claim from for other reasons than passed slots, the host that
        # slots were passed to, and hosts that have not answered a claim.
        self.unclaimed: dict[str, None] = {}
        self.passed_to = ""
        self.unanswered: set[str] = set()
        self.answers: dict[str, asyncio.Future[_Answer | None]] = {}
        self.timer: asyncio.TimerHandle | None = None


class SlotQueues:
    """Grants slots at the engines owned here, for the process's lifetime."""

    def __init__(
        self,
        *,
        spacing: prompt_spacing.PromptSpacing,
        load: Callable[[str], int | None],
        claim: Callable[
            [str, peer_messages.ClaimSlots],
            Awaitable[peer_messages.SlotsClaimed | None],
        ],
        forward_end: Callable[[str, peer_messages.EndTurn], None],
    ) -> None:
        """Starts without queues.

        Args:
            spacing: Gives prompts their turns.
            load: Returns the requests of all hosts on an engine, as far as they
                are published; None without current figures.
            claim: Sends a claim to a host by its address; returns None if it
                does not answer.
            forward_end: Sends the end of a request to a host by its address.
        """
        self._spacing = spacing
        self._load = load
        self._claim = claim
        self._forward_end = forward_end
        # Address of this host where other hosts reach it; empty if unknown.
        self.address = ""
        self._ticked_at = clock.now()
        self._tick_timer: asyncio.TimerHandle | None = None
        self._engines: dict[str, _Engine] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of decisions and corrections, by kind."""
        return self._counts

    @property
    def waiting(self) -> int:
        """Number of requests that wait at this host."""
        return sum(
            engine.queue.occupancy.waiting for engine in self._engines.values()
        )

    @property
    def granted(self) -> int:
        """Number of slots that this host has granted."""
        return sum(
            engine.queue.occupancy.granted for engine in self._engines.values()
        )

    def count(self, kind: str) -> None:
        """Counts a decision of this host that is made outside of a queue."""
        self._counts[kind] += 1

    def close(self) -> None:
        """Ends all timers and the waits of all requests."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
            self._tick_timer = None
        for engine in self._engines.values():
            if engine.timer is not None:
                engine.timer.cancel()
            if engine.claim_task is not None:
                engine.claim_task.cancel()
            for request in list(engine.answers):
                _end_wait(engine, request)
        self._engines.clear()

    async def ask(
        self,
        message: peer_messages.AskTurn,
        *,
        former: str = "",
        is_former_listed: bool = False,
    ) -> peer_messages.GiveTurn | None:
        """Waits for the decision on a request.

        Args:
            message: The question.
            former: Address of the host that owned the queue before the list of
                hosts changed; or empty.
            is_former_listed: Whether that host may still run.

        Returns:
            The answer; None if the wait of the request was ended.
        """
        self._check_lateness()
        now = clock.now()
        engine = self._engine(message.target, message.slots)
        step = engine.ownership.ask(
            own=self.address,
            owners=message.owners,
            former=former,
            is_former_listed=is_former_listed,
            was_silent=message.was_silent,
            replaced_seconds=message.replaced_seconds,
            is_idle=engine.queue.is_idle and engine.queue.is_settled(now),
            now=now,
        )
        self._take_step(message.target, engine, step)
        if self._is_unsuited(engine, message):
            return peer_messages.GiveTurn(seconds=0.0, refused=True)
        answer: asyncio.Future[_Answer | None] = (
            asyncio.get_running_loop().create_future()
        )
        engine.answers[message.request] = answer
        engine.queue.offer(
            admission_queue.SlotRequest(
                request=message.request,
                host=message.host,
                incarnation=message.incarnation,
                caller=message.caller,
                rank=message.rank,
                objective_at=now + message.objective_seconds,
                patience_at=now + message.patience_seconds,
                deadline=now + message.deadline_seconds,
            ),
            now,
        )
        self._advance(message.target, engine)
        try:
            decision = await answer
        finally:
            if engine.answers.get(message.request) is answer:
                del engine.answers[message.request]
        match decision:
            case admission_queue.Send():
                return peer_messages.GiveTurn(seconds=self._take_turn(message))
            case admission_queue.Refuse(retry_seconds=retry_seconds):
                return peer_messages.GiveTurn(
                    seconds=0.0, refused=True, retry_seconds=retry_seconds
                )
            case _Moved():
                return peer_messages.GiveTurn(
                    seconds=0.0,
                    refused=True,
                    retry_seconds=_UNLISTED_RETRY_SECONDS,
                    moved=True,
                )
        return None

    def _is_unsuited(
        self, engine: _Engine, message: peer_messages.AskTurn
    ) -> bool:
        """Returns whether a prompt should rather go to another engine.

        Streams that run here would pause for too long while it is read.
        """
        if (
            not message.has_other_copy
            or not engine.queue.occupancy.granted
            or not self._spacing.is_too_long(
                message.target, message.tokens, message.gap_seconds
            )
        ):
            return False
        self._counts["prompt_declined"] += 1
        logs.event(
            "prompt_declined",
            target=message.target,
            request=message.request,
            tokens=message.tokens,
            tokens_per_s=self._spacing.speed(message.target).tokens_per_second,
        )
        return True

    def _take_turn(self, message: peer_messages.AskTurn) -> float:
        """Returns the seconds until a granted request may be sent."""
        seconds = self._spacing.take(
            message.target, message.tokens, message.gap_seconds, clock.now()
        )
        if seconds > 0:
            self._counts["prompt_delayed"] += 1
            speed = self._spacing.speed(message.target)
            logs.event(
                "prompt_delayed",
                target=message.target,
                request=message.request,
                tokens=message.tokens,
                wait_ms=seconds * 1e3,
                tokens_per_s=speed.tokens_per_second,
                event_ms=speed.event_seconds * 1e3,
            )
        return seconds

    def end(self, message: peer_messages.EndTurn) -> None:
        """Releases the slot of a request, or ends its wait."""
        target, request = message.target, message.request
        if message.received:
            self._receive(message)
            return
        engine = self._engines.get(target)
        if engine is None:
            return
        self._check_lateness()
        claimed_by = engine.ownership.claimed_by
        if (
            claimed_by
            and not message.forwarded
            and not engine.queue.holds(request)
        ):
            # The grant was handed over.
            self._forward_end(
                claimed_by, msgspec.structs.replace(message, forwarded=True)
            )
            return
        _end_wait(engine, request)
        if not message.passed:
            engine.queue.release(request, clock.now())
        elif engine.queue.pass_on(request, clock.now()):
            self._counts["passed_on"] += 1
            step = engine.ownership.pass_on(request)
            self._take_step(target, engine, step)
        self._advance(target, engine)

    def _receive(self, message: peer_messages.EndTurn) -> None:
        """Takes over the slot of a request that the first owner granted."""
        target = message.target
        engine = self._engine(target, message.slots)
        step = engine.ownership.receive(message.request)
        self._take_step(target, engine, step)
        if engine.queue.holds(message.request):
            # Its grant was claimed from the first owner.
            engine.queue.release(message.request, clock.now())
            self._advance(target, engine)
        elif engine.ownership.may_receive(message.request):
            self._counts["received"] += 1
            engine.queue.receive()
            self._advance(target, engine)

    def yield_slots(
        self, message: peer_messages.ClaimSlots
    ) -> peer_messages.SlotsClaimed:
        """Hands over all grants of an engine to a host that claims them."""
        now = clock.now()
        engine = self._engine(message.target, message.slots)
        elsewhere = engine.ownership.yield_to(
            message.owner, message.ended, engine.queue.occupancy.elsewhere
        )
        waiting = [r for r in engine.answers if engine.queue.is_waiting(r)]
        for request in waiting:
            engine.queue.withdraw(request)
            _end_wait(engine, request, _Moved())
        offers = engine.queue.hand_over(now)
        self._counts["handed_over"] += len(offers)
        self._counts["moved"] += len(waiting)
        logs.event(
            "slots_handed_over",
            target=message.target,
            peer=message.owner,
            requests=len(offers),
            waiting=len(waiting),
        )
        return peer_messages.SlotsClaimed(
            grants=tuple(
                peer_messages.HeldSlot(
                    offer.request,
                    offer.host,
                    offer.incarnation,
                    offer.rank,
                    offer.deadline - now,
                )
                for offer in offers
            ),
            elsewhere=elsewhere,
        )

    def _take_step(
        self, target: str, engine: _Engine, step: slot_ownership.Step
    ) -> None:
        """Carries out what the role of this host requires."""
        match step:
            case slot_ownership.AssumeGranted():
                engine.queue.assume_elsewhere(clock.now())
                self._counts["assumed_granted"] += 1
                logs.event("slots_assumed_granted", target=target)
            case slot_ownership.Claim(host=host, knows_own=knows_own):
                if knows_own:
                    engine.passed_to = host
                else:
                    engine.queue.set_claiming(True)
                    engine.unclaimed[host] = None
                if engine.claim_task is None:
                    engine.claim_task = tasks.start(
                        self._claim_slots(target, engine), "claim_slots"
                    )

    async def _claim_slots(self, target: str, engine: _Engine) -> None:
        """Claims what other hosts have granted; repeats it for later ends."""
        try:
            while engine.unclaimed or engine.ownership.passed:
                host = next(iter(engine.unclaimed), engine.passed_to)
                is_full = host in engine.unclaimed
                engine.unclaimed.pop(host, None)
                # Another host does not know of them.
                ended = (
                    engine.ownership.passed if host == engine.passed_to else ()
                )
                sent_at = clock.now()
                answer = await self._claim(
                    host,
                    peer_messages.ClaimSlots(
                        target=target,
                        slots=engine.slots,
                        owner=self.address,
                        ended=ended,
                    ),
                )
                now = clock.now()
                engine.ownership.end_claim(host, ended, sent_at)
                logs.event(
                    "slots_claimed",
                    target=target,
                    peer=host,
                    answered=answer is not None,
                    requests=0 if answer is None else len(answer.grants),
                    passed=len(ended),
                )
                if answer is None:
                    # The loads show later what the other host has granted.
                    self._counts["claim_unanswered"] += 1
                    if is_full:
                        engine.unanswered.add(host)
                        engine.queue.assume_elsewhere(now)
                    continue
                self._counts["claimed"] += 1
                engine.unanswered.discard(host)
                if engine.queue.is_settled(now):
                    engine.unanswered.clear()
                for grant in answer.grants:
                    engine.queue.adopt(_offer_of(grant, now), now)
                engine.ownership.learn(answer.elsewhere, now)
                # What a silent host has granted stays assumed.
                if not engine.ownership.is_stand_in and not engine.unanswered:
                    engine.queue.settle(engine.ownership.elsewhere(now))
        finally:
            engine.claim_task = None
            engine.queue.set_claiming(False)
            if self._engines.get(target) is engine:
                self._advance(target, engine)

    def _check_lateness(self) -> None:
        """Claims the slots of all engines again if this host was late.

        Another host may have taken it for lost and granted its slots.
        """
        now = clock.now()
        late_seconds, self._ticked_at = now - self._ticked_at, now
        if late_seconds < slot_ownership.LATE_SECONDS or not self._engines:
            return
        self._counts["late"] += 1
        logs.warn("slot_owner_late", seconds=late_seconds)
        for target, engine in list(self._engines.items()):
            step = engine.ownership.resume()
            self._take_step(target, engine, step)

    def _tick(self) -> None:
        self._check_lateness()
        self._tick_timer = asyncio.get_running_loop().call_later(
            _TICK_SECONDS, self._tick
        )

    def set_hosts(
        self,
        incarnations: Mapping[str, int],
        addresses: Collection[str] = (),
    ) -> None:
        """Ends what hosts hold that were restarted.

        Hosts that are no longer listed keep their grants.

        Args:
            incarnations: The process start of each listed host.
            addresses: Addresses of all listed hosts.
        """
        for target, engine in self._engines.items():
            engine.ownership.set_listed(addresses)
            is_changed = False
            for host in engine.queue.hosts:
                kept_before = engine.queue.unlisted_grants
                ended = engine.queue.release_host(host, incarnations.get(host))
                kept = engine.queue.unlisted_grants - kept_before
                if not ended and kept <= 0:
                    continue
                is_changed = True
                self._counts["host_gone"] += len(ended)
                self._counts["host_unlisted"] += max(0, kept)
                logs.event(
                    "slots_released",
                    target=target,
                    host=host,
                    requests=len(ended),
                    kept=max(0, kept),
                )
                for request in ended:
                    # A host that is alive but not listed must not wait.
                    _end_wait(
                        engine,
                        request,
                        admission_queue.Refuse(
                            request=request,
                            retry_seconds=_UNLISTED_RETRY_SECONDS,
                            waited=0.0,
                        ),
                    )
            if is_changed:
                self._advance(target, engine)

    def record_loads(self) -> None:
        """Called when new loads were published."""
        for target, engine in self._engines.items():
            if not engine.queue.is_idle:
                self._advance(target, engine)

    def _engine(self, target: str, slots: int) -> _Engine:
        engine = self._engines.get(target)
        if engine is None:
            if len(self._engines) >= _MAX_QUEUES:
                self._remove_idle()
            engine = self._engines[target] = _Engine(slots=slots)
            if self._tick_timer is None:
                self._ticked_at = clock.now()
                self._tick()
        engine.queue.set_slots(slots)
        engine.slots = slots
        return engine

    def _remove_idle(self) -> None:
        for target, engine in list(self._engines.items()):
            if (
                engine.queue.is_idle
                and not engine.answers
                and engine.claim_task is None
            ):
                if engine.timer is not None:
                    engine.timer.cancel()
                del self._engines[target]

    def _advance(self, target: str, engine: _Engine) -> None:
        """Carries out what the queue of an engine decides now."""
        self._check_lateness()
        now = clock.now()
        load = self._load(target)
        if load is not None:
            lost = engine.queue.observe_load(load, now)
            if lost:
                self._counts["end_lost"] += lost
                logs.warn("slot_ends_lost", target=target, count=lost)
        if engine.timer is not None:
            engine.timer.cancel()
            engine.timer = None
        for decision in engine.queue.advance(now):
            match decision:
                case admission_queue.Send(request=request, waited=waited):
                    self._decide(target, engine, request, decision)
                    kind = "granted_after_wait" if waited > 0 else "granted"
                    self._counts[kind] += 1
                case admission_queue.Refuse(request=request, waited=waited):
                    self._decide(target, engine, request, decision)
                    kind = "refused_after_wait" if waited > 0 else "refused"
                    self._counts[kind] += 1
                case admission_queue.Wait(until=until):
                    engine.timer = asyncio.get_running_loop().call_later(
                        max(_MIN_TIMER_SECONDS, until - now),
                        self._advance,
                        target,
                        engine,
                    )

    def _decide(
        self,
        target: str,
        engine: _Engine,
        request: str,
        decision: admission_queue.Send | admission_queue.Refuse,
    ) -> None:
        occupancy = engine.queue.occupancy
        logs.event(
            "slot_decision",
            target=target,
            request=request,
            decision=type(decision).__name__,
            waited_ms=decision.waited * 1e3,
            retry_s=getattr(decision, "retry_seconds", 0.0),
            granted=occupancy.granted,
            unaccounted=occupancy.unaccounted,
            waiting=occupancy.waiting,
            elsewhere=occupancy.elsewhere,
        )
        answer = engine.answers.get(request)
        if answer is not None and not answer.done():
            answer.set_result(decision)
        else:
            engine.queue.release(request, clock.now())


def _offer_of(
    grant: peer_messages.HeldSlot, now: float
) -> admission_queue.SlotRequest:
    """Returns the request of a grant of another owner."""
    return admission_queue.SlotRequest(
        request=grant.request,
        host=grant.host,
        incarnation=grant.incarnation,
        rank=grant.rank,
        objective_at=now,
        patience_at=now,
        deadline=now + grant.deadline_seconds,
    )


def _end_wait(
    engine: _Engine, request: str, decision: _Answer | None = None
) -> None:
    answer = engine.answers.pop(request, None)
    if answer is not None and not answer.done():
        answer.set_result(decision)
