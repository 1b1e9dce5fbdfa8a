"""Changes of configuration in virtual time: `python -m configurations`.

Prints how long operators wait for the acknowledgement of their changes, what a
change costs the leader, and for how long a host may still act on an older
configuration after it. A call ends after a second and is repeated at another
control host, with growing pauses.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random
import statistics
import sys
from typing import Any
from typing import NamedTuple

from loguru import logger

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from endivestream import clock
from endivestream import messages
from endivestream import site_messages
from endivestream.process import leader_calls
from endivestream.version import document as document_lib
from soak import virtual_time

from tests import leader_site
from tests import test_document

_LONGEST_WAIT_SECONDS = (
    leader_site.SETTINGS.lease_seconds - leader_site.SETTINGS.bounds.config
)
_CONTROL_HOSTS = 3
_CALL_SECONDS = 1.0
_ATTEMPT_SECONDS = 1.2
_COMMIT_SECONDS = 0.03
_PATIENCE_SECONDS = 20.0
_BOUND_SECONDS = 5.0


class Outcome(NamedTuple):
    """One change.

    Attributes:
        waited: Time until its operator got the acknowledgement.
        late: Time for which some host could still act without it then.
    """

    waited: float
    late: float


class Case:
    """One run: a site, faults, and operators."""

    def __init__(self, *, seed: int) -> None:
        self.random = random.Random(seed)
        self.site: Any = None
        self.version = 0
        self.tasks: list[asyncio.Task[None]] = []
        self._controls = [
            leader_calls.LeaderCalls(call=self._call_leader)
            for _ in range(_CONTROL_HOSTS)
        ]

    async def _call_leader(
        self, message: messages.Message, *, seconds: float, **_: float
    ) -> messages.Message | None:
        try:
            async with asyncio.timeout(seconds):
                return await self.site.call_leader(message)
        except TimeoutError:
            return None

    def _message(
        self, document: document_lib.Document
    ) -> site_messages.Apply | site_messages.AwaitVersion:
        if document.version <= self.site.log.state.document.version:
            return site_messages.AwaitVersion(version=document.version)
        return site_messages.Apply(document=document)

    async def change(self, *, routes: int = 249) -> Outcome:
        """Repeats the calls for one change until it is acknowledged."""
        self.version += 1
        document = test_document.document(
            self.version,
            routes=[
                test_document.route(f"r{n}", prefix=f"/{n}/")
                for n in range(routes)
            ],
        )
        started_at = clock.now()
        pause = 0.1
        while clock.now() - started_at < _PATIENCE_SECONDS:
            answer = await self.random.choice(self._controls).answer(
                document.version,
                lambda: self._message(document),
                seconds=_CALL_SECONDS,
                longest_wait=_LONGEST_WAIT_SECONDS,
                attempt_seconds=_ATTEMPT_SECONDS,
            )
            if isinstance(answer, site_messages.Applied):
                now = clock.now()
                late = [
                    host.lease_until - now
                    for host in self.site.hosts
                    if host.version < document.version
                ]
                return Outcome(now - started_at, max(0.0, *late, 0.0))
            await asyncio.sleep(pause)
            pause = min(2 * pause, 0.8)
        return Outcome(float("inf"), 0.0)

    async def series(
        self, count: int, interval: float, *, routes: int = 249
    ) -> list[Outcome]:
        """Makes changes at an interval."""
        changes = []
        for _ in range(count):
            changes.append(asyncio.create_task(self.change(routes=routes)))
            await asyncio.sleep(interval)
        return await asyncio.gather(*changes)

    async def operators(self, count: int, seconds: float) -> list[Outcome]:
        """Has operators that wait for their own last change."""
        end = clock.now() + seconds
        outcomes = []

        async def operate() -> None:
            while clock.now() < end:
                outcomes.append(await self.change())

        await asyncio.gather(*(operate() for _ in range(count)))
        return outcomes

    def freeze_in_a_row(self, seconds: float, *, at_a_time: int = 3) -> None:
        """Makes some hosts at a time silent for a while."""

        async def freeze() -> None:
            hosts = self.site.hosts
            while True:
                for first in range(0, len(hosts) - at_a_time, at_a_time):
                    frozen = hosts[first : first + at_a_time]
                    for host in frozen:
                        host.is_frozen = True
                    await asyncio.sleep(seconds)
                    for host in frozen:
                        host.is_frozen = False

        self.tasks.append(asyncio.create_task(freeze()))

    async def close(self) -> None:
        """Ends the faults and the calls."""
        for task in self.tasks:
            task.cancel()
        for calls in self._controls:
            await calls.close()


async def _one(case: Case) -> list[Outcome]:
    return await case.series(1, 0.0)


async def _one_large(case: Case) -> list[Outcome]:
    return await case.series(1, 0.0, routes=1320)


async def _one_silent(case: Case) -> list[Outcome]:
    case.site.hosts[7].is_frozen = True
    return await case.series(1, 0.0)


async def _twelve(case: Case) -> list[Outcome]:
    return await case.series(12, 0.33)


async def _twelve_silent(case: Case) -> list[Outcome]:
    case.site.hosts[7].is_frozen = True
    return await case.series(12, 0.33)


async def _eight_in_a_row(case: Case) -> list[Outcome]:
    case.freeze_in_a_row(1.15)
    return await case.series(8, 0.9)


async def _many_in_a_row(case: Case) -> list[Outcome]:
    case.freeze_in_a_row(1.15)
    return await case.series(24, 0.33)


async def _large_in_a_row(case: Case) -> list[Outcome]:
    case.freeze_in_a_row(1.15)
    return await case.series(6, 0.9, routes=1320)


async def _eight_operators(case: Case) -> list[Outcome]:
    case.freeze_in_a_row(3.5)
    return await case.operators(8, 8.0)


async def _four_operators(case: Case) -> list[Outcome]:
    case.freeze_in_a_row(3.5)
    return await case.operators(4, 8.0)


def _leaders(
    count: int, *, is_silent: bool
) -> Callable[[Case], Awaitable[list[Outcome]]]:
    async def run(case: Case) -> list[Outcome]:
        case.site.hosts[7].is_frozen = is_silent

        async def change_leaders() -> None:
            for _ in range(count):
                await asyncio.sleep(case.random.uniform(0.05, 1.5))
                await case.site.change_leader(pause=0.8)

        case.tasks.append(asyncio.create_task(change_leaders()))
        return await case.series(1, 0.0)

    return run


CASES: dict[str, Callable[[Case], Awaitable[list[Outcome]]]] = {
    "one change, all in touch": _one,
    "the same, 1,320 routes": _one_large,
    "one change, one host silent": _one_silent,
    "12 changes, 0.33 s apart, all in touch": _twelve,
    "12 changes, 0.33 s apart, one silent": _twelve_silent,
    "8 changes, 0.9 s apart, three silent in a row": _eight_in_a_row,
    "24 changes, 0.33 s apart, three silent in a row": _many_in_a_row,
    "6 changes of 1,320 routes, three silent in a row": _large_in_a_row,
    "eight operators, three silent for 3.5 s in a row": _eight_operators,
    "four operators, three silent for 3.5 s in a row": _four_operators,
    "one change of leader, all in touch": _leaders(1, is_silent=False),
    "one change of leader, one silent": _leaders(1, is_silent=True),
    "two changes of leader, all in touch": _leaders(2, is_silent=False),
    "two changes of leader, one silent": _leaders(2, is_silent=True),
    "three changes of leader, one silent": _leaders(3, is_silent=True),
}


async def _run(
    case: Case, scenario: Callable[[Case], Awaitable[list[Outcome]]], hosts: int
) -> tuple[list[Outcome], int, int]:
    site = await leader_site.Site(hosts=hosts, targets=34, domains=4).start()
    case.site = site
    site.log.commit_seconds = _COMMIT_SECONDS
    try:
        site.follow_relays()
        site.run_hosts(every=0.3, credit=0)
        site.run_targets(changes=0)
        await asyncio.sleep(5.0 + case.random.random())
        before = site.log.proposals, site.pushed_bytes
        outcomes = await scenario(case)
        return (
            outcomes,
            site.log.proposals - before[0],
            site.pushed_bytes - before[1],
        )
    finally:
        await case.close()
        await site.close()


def main() -> None:
    """Prints a table of all cases."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--hosts", type=int, default=69)
    parser.add_argument(
        "--cost",
        type=float,
        default=1.0,
        help="event loop time of the leader, times that of a control host",
    )
    options = parser.parse_args()
    logger.remove()
    leader_site.READ_SECONDS *= options.cost
    leader_site.SEND_SECONDS *= options.cost
    leader_site.ENCODE_SECONDS *= options.cost
    leader_site.ENCODE_SECONDS_PER_BYTE *= options.cost
    print(
        "| case | median s | worst s | over 5 s | older after it s | log "
        "| KB pushed |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, scenario in CASES.items():
        outcomes: list[Outcome] = []
        proposals = pushed = 0
        for seed in range(options.seeds):
            with virtual_time.running() as runner:
                run, entries, size = runner.run(
                    _run(Case(seed=seed), scenario, options.hosts)
                )
            outcomes += run
            proposals += entries
            pushed += size
        waits = [each.waited for each in outcomes]
        over = sum(wait > _BOUND_SECONDS for wait in waits)
        print(
            f"| {name} | {statistics.median(waits):.2f} | {max(waits):.2f} "
            f"| {over} of {len(waits)} | {max(o.late for o in outcomes):.2f} "
            f"| {proposals / len(waits):.1f} "
            f"| {pushed / 1000 / len(waits):.0f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
