"""Hosts that share the slots of engines: `python -m soak.waiting`.

Runs in virtual time: entry hosts with the product's service for slots, engines
that reject what exceeds their slots, and callers of three ranks, more than the
engines can serve. Hosts die with the slots that they own and hold, are
suspended for some time, or are cut off from the leader while they run; their
links lose messages, and published loads lag. Reported are sends that engines
reject, and the callers served by rank; a run in which the most urgent ones are
served less often than the least urgent ones, in which slots stay idle at the
end while requests wait, or in which engines often read several prompts within a
pause of their streams that is above the gap objective, is a violation. So is
any rejected send in a run in which hosts are at most suspended
(`--kills 0 --cuts 0 --loss 0`).
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import functools
import random
import sys

from endivestream import clock
from endivestream import peer_messages
from endivestream import site_messages
from endivestream.connection import links
from endivestream.process import prefill_turn_service
from endivestream.request.waiting import slot_answers
from loguru import logger
import zmq.asyncio

from soak import virtual_time

_SLOTS = 16
_LINK_SECONDS = (0.001, 0.008)
_PUBLISH_SECONDS = 0.3
# Time after which a dead host leaves the list, and that for which it is down.
_LIST_SECONDS = 3.0
_DOWN_SECONDS = (1.0, 8.0)
# Time for which hosts are suspended: shorter than the one after which they
# leave the list, and from late answers on.
_PAUSE_SECONDS = (0.1, 2.5)
# Time for which hosts that are cut off from the leader are not listed.
_CUT_SECONDS = (1.0, 6.0)
_RUN_SECONDS = (0.7, 1.5)
# Objective, patience and deadline of the callers of each rank.
_CALLERS = ((0.3, 2.0, 15.0), (0.36, 2.0, 8.0), (9.0, 12.0, 30.0))
_RANK_SHARES = (0.5, 0.3, 0.2)
# Rejected sends that are no violation, as a share: those of hosts that have
# lost an owner, and of a new owner within the lag of the loads.
_MAX_REJECTED_SHARE = 0.05
# Gap objective of streams, and lengths of prompts with their shares. Only the
# longest takes slow engines longer than the gap.
_GAP_SECONDS = 0.3
_PROMPTS = (200.0, 700.0, 2100.0, 4500.0)
_PROMPT_SHARES = (0.33, 0.33, 0.32, 0.02)
# Speeds of engines, and what one of speed 1 reads and needs for an event.
_SPEEDS = (0.6, 1.0, 1.6)
_TOKENS_PER_SECOND = 25_800.0
_EVENT_SECONDS = 0.041
# Prompts that lengthen a pause above the gap and are no violation, as a share:
# those sent before an owner knows the speed of its engine, or to two owners.
_MAX_PAUSING_SHARE = 0.05


@dataclasses.dataclass(kw_only=True)
class Engine:
    """An engine that rejects what exceeds its slots.

    Attributes:
        name: Its name.
        speed: Speed, relative to the usual one.
        running: Number of running requests.
        read_until: When it has read all prompts.
        read_seconds: Time to read the prompts since the last moment at which
            half of the streams had an event.
    """

    name: str
    speed: float = 1.0
    running: int = 0
    read_until: float = 0.0
    read_seconds: float = 0.0

    @property
    def event_seconds(self) -> float:
        """Time for the steps of one event."""
        return _EVENT_SECONDS / self.speed

    def needs_pause(self, tokens: float) -> bool:
        """Returns whether a prompt alone makes streams pause for too long."""
        seconds = tokens / (self.speed * _TOKENS_PER_SECOND)
        return self.running > 1 and seconds + self.event_seconds > _GAP_SECONDS

    def read(self, tokens: float) -> bool:
        """Starts to read a prompt.

        Returns:
            Whether streams pause for too long, as others are read as well.
        """
        now = clock.now()
        seconds = tokens / (self.speed * _TOKENS_PER_SECOND)
        is_alone = now >= self.read_until + self.event_seconds / 2
        if is_alone:
            self.read_seconds = 0.0
        self.read_seconds += seconds
        self.read_until = max(now, self.read_until) + seconds
        pause = self.read_seconds + self.event_seconds
        return not is_alone and pause > _GAP_SECONDS


class _MemoryLink:
    """A link to another host of the run."""

    def __init__(self, *, service: _Service, address: str) -> None:
        self._service = service
        self._site = service.site
        self._address = address

    async def request(self, message, *, seconds):
        """Sends a request; see `links.Link.request`."""
        try:
            async with asyncio.timeout(seconds):
                await self._site.delay()
                answer = await self._site.deliver(self._address, message)
                if answer is None:
                    await asyncio.Event().wait()
                await self._site.delay()
                return answer
        except TimeoutError:
            # A suspended host notices this when it goes on.
            await self._service.resumed.wait()
            raise links.LinkDownError(self._address) from None

    async def send(self, message) -> None:
        """Sends a message that is not answered."""
        await self._site.delay()
        await self._site.deliver(self._address, message)

    async def close(self) -> None:
        """Does nothing."""


class _Service(prefill_turn_service.PrefillTurnService):
    """The product's service over links in memory; it can be suspended."""

    site: Site

    def __init__(self, **fields) -> None:
        super().__init__(**fields)
        self.resumed = asyncio.Event()
        self.resumed.set()
        # What the timers of a suspended host would have done.
        self._missed: list[functools.partial[None]] = []
        for name in ("_advance", "_check_lateness"):
            run = getattr(self.queues, name)
            setattr(self.queues, name, functools.partial(self._run, run))

    def _run(self, run, *args) -> None:
        if self.resumed.is_set():
            run(*args)
        else:
            self._missed.append(functools.partial(run, *args))

    async def pause(self, seconds: float) -> None:
        """Suspends the host for some time."""
        self.resumed.clear()
        await asyncio.sleep(seconds)
        self.resumed.set()
        missed, self._missed = self._missed, []
        for run in missed:
            run()

    def _link(self, address):
        return self._links.setdefault(
            address, _MemoryLink(service=self, address=address)
        )


class Site:
    """Hosts, engines and callers of one run."""

    def __init__(self, *, seed: int, options: argparse.Namespace) -> None:
        self._random = random.Random(seed)
        self._options = options
        self._context = zmq.asyncio.Context()
        self._engines = {
            f"t{n}": Engine(name=f"t{n}", speed=_SPEEDS[n % len(_SPEEDS)])
            for n in range(options.engines)
        }
        self._loads: dict[str, int] = {}
        self._services: dict[str, _Service] = {}
        self._incarnations: collections.Counter[str] = collections.Counter()
        self._host_tasks: dict[str, set[asyncio.Task[None]]] = {}
        self._down_since: dict[str, float] = {}
        self._cut: set[str] = set()
        self._assumed: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        for number in range(options.hosts):
            self._start_host(f"e{number}")
        self._publish_hosts()

    async def delay(self) -> None:
        """Waits for the time of a message on a link."""
        await asyncio.sleep(self._random.uniform(*_LINK_SECONDS))

    async def deliver(self, address: str, message):
        """Has a host handle a message; returns None if it does not answer."""
        self.counts["messages"] += 1
        service = self._services.get(address)
        if service is None or self._random.random() < self._options.loss:
            return None
        await service.resumed.wait()
        match message:
            case peer_messages.EndTurn():
                service.end_turn(message)
                return None
            case peer_messages.AskTurn() | peer_messages.ClaimSlots():
                return await service.answer_turn(message)
        return message

    def _start_host(self, name: str) -> None:
        self._incarnations[name] += 1
        service = _Service(
            name=name,
            context=self._context,
            incarnation=self._incarnations[name],
            load=self._loads.get,
        )
        service.site = self
        self._services[name] = service
        self._host_tasks[name] = set()
        self._down_since.pop(name, None)

    def _publish_hosts(self) -> None:
        hosts = [
            site_messages.EntryHost(
                name, self._incarnations[name], "a", "", False, name
            )
            for name in self._incarnations
            if self._is_listed(name)
        ]
        for name, service in self._services.items():
            if name not in self._cut:
                service.set_hosts(hosts)

    def _is_listed(self, name: str) -> bool:
        down_since = self._down_since.get(name, clock.now())
        return (
            name not in self._cut and clock.now() - down_since < _LIST_SECONDS
        )

    async def run(self) -> None:
        """Runs for the duration, and a while without faults."""
        self._start(self._publish())
        self._start(self._call())
        until = clock.now() + self._options.seconds
        for rate, fault in (
            (self._options.kills, self._kill),
            (self._options.pauses, self._pause),
            (self._options.cuts, self._cut_off),
        ):
            if rate:
                self._start(self._repeat(rate, fault, until - 10.0))
        await asyncio.sleep(max(0.0, until - clock.now()))
        running = sum(engine.running for engine in self._engines.values())
        self.counts["running_at_end"] = running

    async def close(self) -> None:
        """Ends everything."""
        tasks = list(self._tasks)
        for each in self._host_tasks.values():
            tasks += each
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for service in self._services.values():
            self._count(service)
            await service.close()
        self._context.destroy(linger=0)

    def _count(self, service: _Service) -> None:
        for kind in ("late", "claimed", "handed_over", "received"):
            self.counts[f"slots_{kind}"] += service.queues.counts.get(kind, 0)

    def _start(self, coroutine, tasks=None) -> None:
        tasks = self._tasks if tasks is None else tasks
        task = asyncio.create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def _publish(self) -> None:
        """Publishes loads and the list of hosts, as the leader does."""
        hosts: list[tuple[str, int]] = []
        while True:
            await asyncio.sleep(_PUBLISH_SECONDS)
            loads = {e.name: e.running for e in self._engines.values()}
            await asyncio.sleep(self._random.uniform(0.0, _PUBLISH_SECONDS))
            self._loads.update(loads)
            for service in self._services.values():
                service.record_loads()
            listed = sorted(
                (name, self._incarnations[name])
                for name in self._incarnations
                if self._is_listed(name)
            )
            if listed != hosts:
                hosts = listed
                self._publish_hosts()

    async def _repeat(self, rate, fault, until: float) -> None:
        """Starts faults of hosts until a time."""
        await asyncio.sleep(self._random.expovariate(rate))
        while clock.now() < until:
            self._start(fault(self._random.choice(list(self._services))))
            await asyncio.sleep(self._random.expovariate(rate))

    async def _pause(self, name: str) -> None:
        """Suspends a host; its requests go on at their engines."""
        service = self._services.get(name)
        if service is not None and service.resumed.is_set():
            self.counts["pauses"] += 1
            await service.pause(self._random.uniform(*_PAUSE_SECONDS))

    async def _cut_off(self, name: str) -> None:
        """Removes a host from the list that still runs."""
        if name in self._cut:
            return
        self.counts["cuts"] += 1
        self._cut.add(name)
        await asyncio.sleep(self._random.uniform(*_CUT_SECONDS))
        self._cut.discard(name)
        self._publish_hosts()

    async def _kill(self, name: str) -> None:
        """Ends a host with its requests; starts it again later."""
        self.counts["kills"] += 1
        service = self._services.pop(name, None)
        if service is None:
            return
        self._count(service)
        self._down_since[name] = clock.now()
        for task in list(self._host_tasks[name]):
            task.cancel()
        await service.close()
        await asyncio.sleep(self._random.uniform(*_DOWN_SECONDS))
        self._start_host(name)
        self._publish_hosts()

    async def _call(self) -> None:
        while True:
            await asyncio.sleep(self._random.expovariate(self._options.rate))
            name = self._random.choice(list(self._services))
            [rank] = self._random.choices(range(3), _RANK_SHARES)
            self._start(self._serve(name, rank), self._host_tasks[name])

    async def _serve(self, name: str, rank: int) -> None:
        """Serves a caller at a host, at one of two copies of its model."""
        self.counts[f"called_{rank}"] += 1
        service = self._services[name]
        copies = self._random.sample(list(self._engines.values()), 2)
        copies.sort(key=lambda engine: self._loads.get(engine.name, 0))
        [tokens] = self._random.choices(_PROMPTS, _PROMPT_SHARES)
        objective, patience, deadline = _CALLERS[rank]
        for seconds, engine in zip(
            (objective / 2, patience), copies, strict=True
        ):
            await service.resumed.wait()
            answer = await service.request_slot(
                slot_answers.SlotQuestion(
                    target=engine.name,
                    domain="a",
                    tokens=tokens,
                    rank=rank,
                    slots=_SLOTS,
                    objective_seconds=objective,
                    patience_seconds=seconds,
                    deadline_seconds=deadline,
                    caller="",
                    gap_seconds=_GAP_SECONDS,
                    has_other_copy=engine is not copies[-1],
                ),
                is_wanted=lambda: True,
            )
            match answer:
                case slot_answers.Granted(slot=slot, seconds=wait):
                    try:
                        await asyncio.sleep(wait)
                        await self._send(engine, rank, service, tokens)
                    finally:
                        service.end_slot(slot)
                    return
                case slot_answers.Unanswered():
                    self.counts["unanswered"] += 1
                    key = (name, engine.name)
                    until = clock.now() + patience
                    while clock.now() < until:
                        if service.may_assume_slot(
                            engine.name, _SLOTS, self._assumed[key]
                        ):
                            break
                        await asyncio.sleep(0.1)
                    else:
                        return
                    self._assumed[key] += 1
                    try:
                        await self._send(engine, rank, service, tokens)
                    finally:
                        self._assumed[key] -= 1
                    return
        self.counts[f"refused_{rank}"] += 1

    async def _send(
        self, engine: Engine, rank: int, service: _Service, tokens: float
    ) -> None:
        self.counts["sent"] += 1
        if engine.running >= _SLOTS:
            self.counts["rejected"] += 1
            return
        engine.running += 1
        self.counts["pausing_prompts"] += engine.read(tokens)
        self.counts["long_prompts"] += engine.needs_pause(tokens)
        seconds = engine.read_until + engine.event_seconds - clock.now()
        try:
            await asyncio.sleep(seconds)
            service.record_start(engine.name, "a", tokens, seconds)
            await asyncio.sleep(self._random.uniform(*_RUN_SECONDS))
            self.counts[f"served_{rank}"] += 1
        finally:
            engine.running -= 1

    def violations(self) -> list[str]:
        """Returns what the run shows to be wrong."""
        counts, found = self.counts, []
        options = self._options
        is_exact = not (options.kills or options.cuts or options.loss)
        allowed = 0.0 if is_exact else _MAX_REJECTED_SHARE
        if counts["rejected"] > allowed * counts["sent"]:
            found.append("sends to full engines")
        if counts["pausing_prompts"] > _MAX_PAUSING_SHARE * counts["sent"]:
            found.append("prompts read together")
        shares = [
            counts[f"served_{rank}"] / max(1, counts[f"called_{rank}"])
            for rank in range(3)
        ]
        if shares[0] < shares[2]:
            found.append("urgent callers served less often")
        slots = _SLOTS * len(self._engines)
        demand = self._options.rate * sum(_RUN_SECONDS) / 2
        if counts["running_at_end"] < 0.7 * min(demand, slots):
            found.append("idle slots")
        return found


def run(seed: int, options: argparse.Namespace) -> Site:
    """Runs a seed in virtual time and returns the site at its end."""

    async def run_site() -> Site:
        site = Site(seed=seed, options=options)
        await site.run()
        await site.close()
        return site

    with virtual_time.running() as runner:
        return runner.run(run_site())


def main() -> int:
    """Runs the seeds and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--hosts", type=int, default=75)
    parser.add_argument("--engines", type=int, default=10)
    parser.add_argument("--rate", type=float, default=180.0)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--kills", type=float, default=0.5)
    parser.add_argument("--pauses", type=float, default=0.5)
    parser.add_argument("--cuts", type=float, default=0.2)
    parser.add_argument("--loss", type=float, default=0.002)
    options = parser.parse_args()
    logger.remove()
    violation_count = 0
    for seed in range(options.first, options.first + options.seeds):
        site = run(seed, options)
        violations = site.violations()
        print(f"seed={seed}", dict(sorted(site.counts.items())), violations)
        violation_count += len(violations)
    return 1 if violation_count else 0


if __name__ == "__main__":
    sys.exit(main())
