"""Runs hedged requests in virtual time: `python -m soak.hedging [--seeds N]`.

Six targets serve an idempotent route. One of them at a time is slow for a
moment, one stops answering for a while and one answers with errors. Prints the
times of the answers and the work of the targets with and without hedging;
exits with 1 if a limit was exceeded.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from typing import NamedTuple
from unittest import mock

from endivestream import clock
from endivestream.connection import exchange as exchange_lib
from endivestream.process import entry_hedges
from endivestream.process import entry_repeats
from endivestream.process import site_settings
from endivestream.request import names as names_lib
from endivestream.version import document as document_lib
from loguru import logger
import msgspec

from soak import simulated_site
from soak import simulated_target
from soak import virtual_time

TARGETS = 6
RATIO = 0.1
_SLOTS = 2
_RUN_SECONDS = (0.03, 0.06)
_SLOW_FACTOR = 2.5
_SLOW_SECONDS = 0.6
# One target is slow in each fifth of these periods.
_SLOW_PERIODS = 5
# When one target stops answering, and when one answers with errors.
_STOPPED = (8.0, 12.0)
_FAILING = (16.0, 18.0)
_NAMES = names_lib.HeaderNames()
_ROUTE = document_lib.Route(
    name="r",
    host="a.example",
    prefix="/x/",
    kind=document_lib.Kind.IDEMPOTENT,
    timeout=2.5,
    objective=0.2,
    priority=1,
    max_attempts=2,
    services=(document_lib.WeightedService("desk", 1),),
    hedge_ratio=RATIO,
)


class Target(simulated_target.Target):
    """A target with few slots that is slow, stops or fails at times.

    Attributes:
        work_seconds: Time for which it ran requests.
    """

    def __init__(self, *, number: int, seed: int) -> None:
        super().__init__(
            name=f"t{number}", random_source=random.Random(f"{seed}/{number}")
        )
        self.work_seconds = 0.0
        self._number = number
        self._seed = seed
        self._started_at = clock.now()
        self._slots = asyncio.Semaphore(_SLOTS)

    async def run(self) -> int:
        """Runs a request; returns the status of its answer."""
        async with self._slots:
            seconds = clock.now() - self._started_at
            period = int(seconds / _SLOW_SECONDS)
            draw = random.Random(f"{self._seed}/slow/{period}")
            run_seconds = self._random.uniform(*_RUN_SECONDS)
            if (
                draw.randrange(_SLOW_PERIODS) == 0
                and draw.randrange(TARGETS) == self._number
            ):
                run_seconds *= _SLOW_FACTOR
            if self._number == 0 and _STOPPED[0] <= seconds < _STOPPED[1]:
                run_seconds = 3600.0
            started_at = clock.now()
            try:
                await asyncio.sleep(run_seconds)
            finally:
                self.work_seconds += clock.now() - started_at
            is_failing = self._number == 1 and (
                _FAILING[0] <= seconds < _FAILING[1]
            )
            return 500 if is_failing else 200


class _Exchange(simulated_target.Exchange):
    """A connection to such a target."""

    async def connect(self, *, seconds: float, is_new: bool = False) -> None:
        await self._cross_link()

    async def head(self, *, seconds: float) -> exchange_lib.Head:
        await self._cross_link()
        head = self._target.receive(self._network.name)
        head.headers[_NAMES.request] = self._request
        status = await self._target.run()
        await self._cross_link()
        return exchange_lib.Head(status, head.headers)


class _NoLeader:
    """A leader that is unreachable, so that each host has its share only."""

    async def request(self, message: object, *, seconds: float) -> None:
        return None


class Result(NamedTuple):
    """Outcome of a run.

    Attributes:
        times: Seconds until each good answer, in order.
        requests: Number of requests.
        sends: Number of requests that reached targets.
        work_seconds: Time for which targets ran them.
        outcomes: Number of hedges by outcome, over all hosts.
        denials: Number of denied hedges by reason, over all hosts.
        hedged_while_waiting: Hedges that were sent while requests waited.
        unanswered: Requests without exactly one answer.
    """

    times: list[float]
    requests: int
    sends: int
    work_seconds: float
    outcomes: dict[str, int]
    denials: dict[str, int]
    hedged_while_waiting: int
    unanswered: int

    def quantile(self, share: float) -> float:
        """Returns the time within which a share of the answers arrived."""
        return self.times[
            min(len(self.times) - 1, int(share * len(self.times)))
        ]


class _Call(simulated_site.Call):
    """A call that counts its answers."""

    answers = 0
    answered_at = 0.0

    def finish(self) -> None:
        self.answers += 1
        self.answered_at = clock.now()

    async def answer(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        await super().answer(status, headers, body)
        self.finish()


def run(
    *, seed: int, ratio: float, rate: float, seconds: float, hosts: int = 5
) -> Result:
    """Runs requests with a hedge ratio.

    Args:
        seed: Seed of all draws.
        ratio: Hedges for each request.
        rate: Requests a second over all hosts.
        seconds: Duration.
        hosts: Number of entry hosts.
    """
    with (
        virtual_time.running() as runner,
        mock.patch.object(exchange_lib, "Exchange", _Exchange),
    ):
        return runner.run(_run(seed, ratio, rate, seconds, hosts))


async def _run(
    seed: int, ratio: float, rate: float, seconds: float, host_count: int
) -> Result:
    source = random.Random(seed)
    targets = [Target(number=n, seed=seed) for n in range(TARGETS)]
    by_address = {each.registration.address: each for each in targets}
    scenario = simulated_site.Scenario(
        seed=seed,
        hosts=host_count,
        targets=TARGETS,
        request_rate=rate / host_count,
        seconds=seconds,
        max_delay_seconds=0.002,
        route=msgspec.structs.replace(_ROUTE, hedge_ratio=ratio),
        connections=2,
    )
    settings = _settings()
    hosts = []
    hedged_while_waiting = 0
    for number in range(host_count):
        repeats = entry_repeats.EntryRepeats(
            bounds=settings.bounds, watch=_NoLeader()
        )
        permits = entry_hedges.EntryHedges(
            settings=settings,
            watch=_NoLeader(),
            repeats=repeats,
            send_to_leader=lambda message: None,
        )
        repeats.set_hosts(host_count)
        permits.set_hosts(host_count)
        host = simulated_site.Host(
            name=f"e{number}",
            scenario=scenario,
            random_source=source,
            target_at=by_address.__getitem__,
            engine=None,
            changed_parts={
                "hedge_permits": permits,
                "repeats": repeats.budget,
                "request_repeat": repeats.request,
            },
        )
        host.update([each.registration for each in targets])
        hosts.append(host)
        acquire = permits.acquire

        async def observe(*args, acquire=acquire, host=host, **fields):
            nonlocal hedged_while_waiting
            if host.forwarder.count_waiting("desk"):
                hedged_while_waiting += 1
            return await acquire(*args, **fields)

        permits.acquire = observe
    calls, tasks = [], set()
    end = clock.now() + seconds
    while clock.now() < end:
        await asyncio.sleep(source.expovariate(rate))
        call = _Call(len(calls))
        calls.append(call)
        tasks.add(asyncio.create_task(source.choice(hosts).serve(call)))
    await asyncio.wait(tasks)
    outcomes, denials = {}, {}
    for host in hosts:
        for totals, counts in (
            (outcomes, host.forwarder.hedges.outcomes),
            (denials, host.forwarder.hedges.denials),
        ):
            for name, count in counts.items():
                totals[str(name)] = totals.get(str(name), 0) + count
    return Result(
        times=sorted(
            each.answered_at - each.arrived_at
            for each in calls
            if each.status == 200
        ),
        requests=len(calls),
        sends=sum(len(each.arrivals) for each in targets),
        work_seconds=sum(each.work_seconds for each in targets),
        outcomes=outcomes,
        denials=denials,
        hedged_while_waiting=hedged_while_waiting,
        unanswered=sum(each.answers != 1 for each in calls),
    )


def _settings() -> site_settings.SiteSettings:
    return site_settings.SiteSettings(
        name="e",
        domain="a",
        domains={},
        region="",
        callers="",
        peers="",
        controls=(),
        data_folder="",
        first_start=False,
        losses=1,
        report=1.0,
        bounds=site_settings.Bounds(repeat_slack=0.0),
    )


def describe(name: str, result: Result) -> str:
    """Returns a line with the figures of a run."""
    return (
        f"{name}: requests={result.requests} good={len(result.times)} "
        f"p50={result.quantile(0.5) * 1e3:.0f} "
        f"p99={result.quantile(0.99) * 1e3:.0f} "
        f"p99.9={result.quantile(0.999) * 1e3:.0f} ms "
        f"sends={result.sends} work={result.work_seconds:.1f} s "
        f"hedges={result.outcomes} denied={result.denials}"
    )


def main() -> int:
    """Runs the seeds and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=80.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    logger.remove()
    violations = 0
    for seed in range(options.seeds):
        for ratio in (0.0, RATIO):
            result = run(
                seed=seed,
                ratio=ratio,
                rate=options.rate,
                seconds=options.seconds,
            )
            print(describe(f"seed={seed} ratio={ratio:g}", result), flush=True)
            sent = result.outcomes.get("sent", 0)
            violations += sent > ratio * result.requests
            violations += result.hedged_while_waiting + result.unanswered
    print(f"{options.seeds} seeds, {violations} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
