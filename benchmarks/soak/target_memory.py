"""Targets that end under too many bytes: `python -m soak.target_memory`.

Callers in virtual time send bursts of requests with large bodies, and again
what was not answered. A target that holds more bytes than fit into its memory
ends, refuses connections for a moment or not at all, and starts again; hosts
learn of it at once or late. The paths of hosts to targets are cut, which breaks
their requests off. Some callers send large requests beside many small ones, and
some leave. Prints how often targets ended with and without bounds; exits with 1
if a request did not get exactly one answer, if one that is answered as not run
has run, if load or waits of ended requests still count, if a provisional bound
outlasts the reports of its process, if large requests are refused more often
than a few times in a hundred, or if bounds do not halve the ends.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import random
import sys
from typing import NamedTuple
from unittest import mock

from endivestream import clock
from endivestream.connection import exchange as exchange_lib
from endivestream.request import names as names_lib
from endivestream.request.buffering import target_memory
from endivestream.version import document as document_lib
from loguru import logger
from tornado import httputil

from soak import simulated_site
from soak import simulated_target
from soak import virtual_time

_TARGETS = 2
_HOSTS = 3
_MEMORY_BYTES = 60_000
_BODY_BYTES = (1_000, 5_000)
_CALLERS = 60
_RUN_SECONDS = (0.05, 0.3)
_DOWN_SECONDS = (0.0, 0.4)
# Until hosts learn of a new process, after its start.
_REPORT_SECONDS = (0.2, 1.0)
# Callers without a break between requests, and the large ones beside them.
_STEADY_CALLERS = 12
_STEADY_BODY_BYTES = (1_000, 3_000)
_LARGE_CALLERS = 2
_LARGE_BODY_BYTES = (14_000, 18_000)
# Share of the large requests that may be refused; without room that is kept for
# them it is 0.06 to 0.08 (seeds 0 and 1).
_MAX_REFUSED_SHARE = 0.04
# Between two cuts of a path, and between two reports of a target.
_CUT_SECONDS = (2.0, 4.0)
_REPORT_INTERVAL_SECONDS = 0.5
# Until a host has noticed that its requests broke off.
_MAX_NOTICE_SECONDS = 0.1
_PAUSE_SECONDS = (0.5, 1.5)
_RETRY_SECONDS = 0.2
_LEAVE_SHARE = 0.05
_NAMES = names_lib.HeaderNames()
_ROUTE = document_lib.Route(
    name="r",
    host="a.example",
    prefix="/x/",
    kind=document_lib.Kind.ONCE,
    timeout=2.5,
    objective=0.5,
    priority=1,
    services=(document_lib.WeightedService("desk", 1),),
)


class Target(simulated_target.Target):
    """A target that ends if it holds too many bytes.

    Attributes:
        is_down: Whether it refuses connections.
        ends: Number of its processes that have ended.
        ran: Requests that have reached it.
    """

    def __init__(self, *, number: int, source: random.Random) -> None:
        super().__init__(name=f"t{number}", random_source=source)
        self.is_down = False
        self.ends = 0
        self.ran: set[str] = set()
        self.on_started = lambda: None
        self._source = source
        self._held: dict[asyncio.Future[None], int] = {}
        self._hosts: dict[asyncio.Future[None], str] = {}

    async def run(self, host: str, request: str, size: int) -> None:
        """Runs a request.

        Raises:
            ConnectionResetError: The process ended, or the path was cut.
        """
        self.ran.add(request)
        ended = asyncio.get_running_loop().create_future()
        self._held[ended] = size
        self._hosts[ended] = host
        if sum(self._held.values()) > _MEMORY_BYTES:
            self._end()
        try:
            async with asyncio.timeout(self._source.uniform(*_RUN_SECONDS)):
                await ended
        except TimeoutError:
            return
        finally:
            self._held.pop(ended, None)
            self._hosts.pop(ended, None)
        raise ConnectionResetError

    def cut(self, host: str) -> None:
        """Breaks off all requests of a host; the process lives on."""
        for ended in [each for each in self._held if self._hosts[each] == host]:
            del self._held[ended]
            ended.set_result(None)

    def _end(self) -> None:
        self.ends += 1
        for ended in self._held:
            ended.set_result(None)
        self._held = {}
        loop = asyncio.get_running_loop()
        down_seconds = self._source.choice(_DOWN_SECONDS)
        self.is_down = down_seconds > 0
        loop.call_later(down_seconds, self._start)

    def _start(self) -> None:
        self.is_down = False
        self.restart()
        asyncio.get_running_loop().call_later(
            self._source.choice(_REPORT_SECONDS), self.on_started
        )


class _Exchange(simulated_target.Exchange):
    """A connection to such a target."""

    async def connect(self, *, seconds: float, is_new: bool = False) -> None:
        await self._cross_link()
        if self._target.is_down:
            raise exchange_lib.ExchangeError(
                "connection refused", sent=False
            ) from ConnectionRefusedError()

    def send(
        self, method: str, path: str, headers: httputil.HTTPHeaders, body: bytes
    ) -> None:
        super().send(method, path, headers, body)
        self._size = len(body)

    async def head(self, *, seconds: float) -> exchange_lib.Head:
        await self._cross_link()
        try:
            if self._target.is_down:
                raise ConnectionResetError
            head = self._target.receive(self._network.name)
            await self._target.run(
                self._network.name, self._request, self._size
            )
        except ConnectionResetError as error:
            raise exchange_lib.ExchangeError("reset", sent=True) from error
        await self._cross_link()
        head.headers[_NAMES.request] = self._request
        return head


class _Call(simulated_site.Call):
    """A request with a body, which counts its answers."""

    def __init__(self, number: int, body: bytes) -> None:
        super().__init__(number)
        self.name = self.headers[_NAMES.request]
        self.body = body
        self.answers = 0
        self.is_not_run = False
        del self.headers[_NAMES.tokens]

    def finish(self) -> None:
        self.answers += 1

    async def answer(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        await super().answer(status, headers, body)
        self.is_not_run = status == 503
        self.finish()


class Result(NamedTuple):
    """Outcome of a run.

    Attributes:
        ends: Number of target processes that ended.
        statuses: Number of requests by status; 0 if their caller left.
        large: The same of large requests.
        counts: What hosts counted.
        violations: What must not happen.
    """

    ends: int
    statuses: dict[int, int]
    large: dict[int, int]
    counts: dict[str, int]
    violations: list[str]


def run(*, seed: int, is_bounded: bool, seconds: float) -> Result:
    """Runs callers with and without bounds."""
    with (
        virtual_time.running() as runner,
        mock.patch.object(exchange_lib, "Exchange", _Exchange),
    ):
        return runner.run(_run(seed, is_bounded, seconds))


async def _run(seed: int, is_bounded: bool, seconds: float) -> Result:
    source = random.Random(seed)
    targets = [Target(number=n, source=source) for n in range(_TARGETS)]
    by_address = {each.registration.address: each for each in targets}
    scenario = simulated_site.Scenario(
        seed=seed,
        hosts=_HOSTS,
        targets=_TARGETS,
        request_rate=0.0,
        seconds=seconds,
        route=_ROUTE,
    )
    memories = [target_memory.TargetMemory() for _ in range(_HOSTS)]
    hosts = [
        simulated_site.Host(
            name=f"e{number}",
            scenario=scenario,
            random_source=source,
            target_at=by_address.__getitem__,
            engine=None,
            target_memory=memory if is_bounded else None,
        )
        for number, memory in enumerate(memories)
    ]

    def update() -> None:
        for host in hosts:
            host.update([each.registration for each in targets])

    for target in targets:
        target.on_started = update
    update()
    calls: list[_Call] = []
    end = clock.now() + seconds
    burst = asyncio.Condition()

    async def call_repeatedly() -> None:
        while clock.now() < end:
            async with burst:
                await burst.wait()
            body = bytes(source.randrange(*_BODY_BYTES))
            while clock.now() < end:
                call = _Call(len(calls), body)
                calls.append(call)
                serve = source.choice(hosts).serve(call)
                if source.random() < _LEAVE_SHARE:
                    task = asyncio.create_task(serve)
                    await asyncio.sleep(source.uniform(0.0, 0.2))
                    task.cancel()
                    await asyncio.wait([task])
                    break
                await serve
                if call.status == 200:
                    break
                await asyncio.sleep(_RETRY_SECONDS)

    large: list[_Call] = []

    async def call_steadily(size: tuple[int, int], is_large: bool) -> None:
        while clock.now() < end:
            call = _Call(len(calls), bytes(source.randrange(*size)))
            calls.append(call)
            if is_large:
                large.append(call)
            await source.choice(hosts).serve(call)
            if call.status != 200:
                await asyncio.sleep(_RETRY_SECONDS)

    async def cut_paths() -> None:
        while clock.now() < end:
            await asyncio.sleep(source.uniform(*_CUT_SECONDS))
            number = source.randrange(_HOSTS)
            target = source.choice(targets)
            process = target.registration
            cut_at = clock.now() + _MAX_NOTICE_SECONDS
            target.cut(f"e{number}")
            for _ in range(2):
                await asyncio.sleep(_REPORT_INTERVAL_SECONDS)
                if target.registration == process and not target.is_down:
                    hosts[number].record_report(process)
            bound = memories[number].provisional.find(target.name, clock.now())
            if (
                target.registration == process
                and bound is not None
                and bound.since <= cut_at
            ):
                violations.append(f"{target.name} is bounded after its reports")

    violations: list[str] = []
    tasks = [asyncio.create_task(call_repeatedly()) for _ in range(_CALLERS)]
    tasks += [
        asyncio.create_task(call_steadily(_STEADY_BODY_BYTES, False))
        for _ in range(_STEADY_CALLERS)
    ]
    tasks += [
        asyncio.create_task(call_steadily(_LARGE_BODY_BYTES, True))
        for _ in range(_LARGE_CALLERS)
    ]
    tasks.append(asyncio.create_task(cut_paths()))
    while clock.now() < end:
        await asyncio.sleep(source.uniform(*_PAUSE_SECONDS))
        async with burst:
            burst.notify_all()
    async with burst:
        burst.notify_all()
    await asyncio.wait(tasks)
    counts: collections.Counter[str] = collections.Counter()
    for memory in memories:
        counts.update(memory.counts)
    ran = set().union(*(each.ran for each in targets))
    violations += [
        f"{call.name} has {call.answers} answers"
        for call in calls
        if call.answers != 1 and call.status
    ]
    violations += [
        f"{call.name} ran and is answered as not run"
        for call in calls
        if call.is_not_run and call.name in ran
    ]
    violations += [
        f"load left at {', '.join(memory._unanswered)}"
        for memory in memories
        if memory._unanswered
    ]
    violations += ["a request waits" for each in memories if each.waits.count]
    return Result(
        ends=sum(each.ends for each in targets),
        statuses=dict(collections.Counter(each.status for each in calls)),
        large=dict(collections.Counter(each.status for each in large)),
        counts=dict(counts),
        violations=violations,
    )


def main() -> int:
    """Runs the seeds and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    logger.remove()
    violation_count = 0
    for seed in range(options.seeds):
        results = [
            run(seed=seed, is_bounded=is_bounded, seconds=options.seconds)
            for is_bounded in (False, True)
        ]
        for name, result in zip(("as is", "bounded"), results, strict=True):
            print(
                f"seed={seed} {name}: ends={result.ends}",
                f"statuses={dict(sorted(result.statuses.items()))}",
                f"large={dict(sorted(result.large.items()))}",
                result.counts,
                *result.violations[:3],
                flush=True,
            )
            violation_count += len(result.violations)
        unbounded, bounded = results
        violation_count += 2 * bounded.ends > unbounded.ends
        refused = bounded.large.get(503, 0)
        violation_count += refused > _MAX_REFUSED_SHARE * sum(
            bounded.large.values()
        )
    print(f"{options.seeds} seeds, {violation_count} violations")
    return 1 if violation_count else 0


if __name__ == "__main__":
    sys.exit(main())
