"""Departures of targets in virtual time: `python -m departures [--seeds N]`.

Prints how long three targets wait for the acknowledgement of their departure,
what that costs the leader, and how long a host may still send after it. Calls
go to one control host; each ends after 0.9 s and is repeated after a second.
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
from endivestream import table_position
from endivestream.connection import registry as registry_lib
from endivestream.process import leader_calls
from soak import virtual_time

from tests import leader_site

_LONGEST_WAIT_SECONDS = (
    leader_site.SETTINGS.lease_seconds - leader_site.SETTINGS.bounds.drain
)
_CALL_SECONDS = 0.9
_CALL_INTERVAL_SECONDS = 1.0
_PATIENCE_SECONDS = 12.0
_LEAVING = ("t1", "t2", "t3")


class Outcome(NamedTuple):
    """Departure of one target.

    Attributes:
        waited: Time until the target got the acknowledgement.
        late: Time for which some host could still send to it then.
    """

    waited: float
    late: float


class Case:
    """One run: a site, faults, and targets that depart."""

    def __init__(self, *, seed: int, is_removal: bool) -> None:
        self.random = random.Random(seed)
        self.is_removal = is_removal
        self.answer_loss = 0.0
        self.leader_messages = 0
        self.site: Any = None
        self._number = 0
        self._calls = leader_calls.LeaderCalls(call=self._call_leader)

    def registration(
        self, target: str, *, draining: bool, number: int | None = None
    ) -> registry_lib.Registration:
        """Returns a report of a target, the next one without a number."""
        self._number += 1
        return registry_lib.Registration(
            name=target,
            service="llm",
            address=f"{target}:1",
            domain="a",
            started_at_ms=1,
            report_number=100_000 + self._number if number is None else number,
            draining=draining,
        )

    async def _call_leader(
        self, message: messages.Message, **_: float
    ) -> messages.Message | None:
        self.leader_messages += 1
        return await self.site.call_leader(message)

    async def depart(self, target: str) -> Outcome:
        """Repeats the calls of one target until it has an acknowledgement."""
        started_at = clock.now()
        while (waited := clock.now() - started_at) < _PATIENCE_SECONDS:
            called_at = clock.now()
            message: messages.Message = site_messages.Deregister(name=target)
            if not self.is_removal:
                message = site_messages.Register(
                    registration=self.registration(target, draining=True)
                )
            answer = await self._calls.answer(
                target,
                lambda message=message: message,
                seconds=_CALL_SECONDS,
                longest_wait=_LONGEST_WAIT_SECONDS,
                attempt_seconds=_LONGEST_WAIT_SECONDS + 1.0,
            )
            is_acknowledged = isinstance(answer, site_messages.Registered)
            if is_acknowledged and self.random.random() >= self.answer_loss:
                now = clock.now()
                late = [
                    host.lease_until - now
                    for host in self.site.hosts
                    if target in host.targets
                    and not host.targets[target].registration.draining
                ]
                waited = now - started_at
                return Outcome(waited, max(0.0, *late) if late else 0.0)
            await asyncio.sleep(
                max(0.0, called_at + _CALL_INTERVAL_SECONDS - clock.now())
            )
        return Outcome(float("inf"), 0.0)


async def _in_touch(case: Case) -> None:
    pass


async def _one_cut(case: Case) -> None:
    case.site.hosts[7].is_frozen = True


async def _three_restart(case: Case) -> None:
    async def restart() -> None:
        for first in range(0, 30, 3):
            hosts = case.site.hosts[first : first + 3]
            for host in hosts:
                host.is_frozen = True
            await asyncio.sleep(1.0)
            for host in hosts:
                host.is_frozen = False
                host.incarnation += 1
                host.targets = {}
                host.position = table_position.Position()

    case.tasks = [asyncio.create_task(restart())]
    await asyncio.sleep(case.random.uniform(0.0, 3.0))


async def _late_reports(case: Case) -> None:
    case.site.hosts[7].is_cut_off = True

    async def deliver() -> None:
        for target in _LEAVING:
            outdated = case.registration(target, draining=False, number=0)
            case.site.wire.deliver(
                b"c1", site_messages.Register(registration=outdated), 0
            )

    case.site.run_periodically(1.2, deliver, delay=case.random.random())


def _leader_changes(count: int) -> Callable[[Case], Awaitable[None]]:
    async def start(case: Case) -> None:
        async def change() -> None:
            for _ in range(count):
                await asyncio.sleep(case.random.uniform(0.05, 1.5))
                await case.site.change_leader(pause=0.6)

        case.site.hosts[7].is_frozen = True
        case.tasks = [asyncio.create_task(change())]

    return start


async def _answers_lost(case: Case) -> None:
    case.answer_loss = 0.6


CASES: dict[str, Callable[[Case], Awaitable[None]]] = {
    "all hosts in touch": _in_touch,
    "one host frozen": _one_cut,
    "three hosts restart at a time": _three_restart,
    "one host cut off, outdated reports": _late_reports,
    "one host frozen, leader changes once": _leader_changes(1),
    "one host frozen, leader changes twice": _leader_changes(2),
    "answers lost, 0.6": _answers_lost,
}


async def _run(case: Case, fault: Callable[[Case], Awaitable[None]]) -> Any:
    site = await leader_site.Site(hosts=69, targets=34, domains=4).start()
    case.site, case.tasks = site, []
    try:
        site.follow_relays()
        site.run_hosts(every=0.3, credit=0)
        for target in _LEAVING:
            await site.report(target)
        # Those that leave send nothing but the calls of the case.
        site.targets = [t for t in site.targets if t not in _LEAVING]
        site.run_targets(changes=10)
        await asyncio.sleep(2.5 + case.random.random())
        await fault(case)
        await asyncio.sleep(case.random.uniform(0.0, 0.5))
        frames, proposals = site.pushed_frames, site.log.proposals
        outcomes = await asyncio.gather(*map(case.depart, _LEAVING))
        return outcomes, (
            site.pushed_frames - frames,
            site.log.proposals - proposals,
        )
    finally:
        for task in case.tasks:
            task.cancel()
        await case._calls.close()
        await site.close()


def main() -> None:
    """Prints a table of all cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    seeds = parser.parse_args().seeds
    logger.remove()
    print(
        "| case | call | median s | worst s | sent after it s | asked | log |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, fault in CASES.items():
        for is_removal in (False, True):
            outcomes: list[Outcome] = []
            asked = entries = 0
            for seed in range(seeds):
                case = Case(seed=seed, is_removal=is_removal)
                with virtual_time.running() as runner:
                    run, (_, proposals) = runner.run(_run(case, fault))
                outcomes += run
                asked += case.leader_messages
                entries += proposals
            waits = [each.waited for each in outcomes]
            call = "deregistration" if is_removal else "announcement"
            print(
                f"| {name} | {call} | {statistics.median(waits):.2f} "
                f"| {max(waits):.2f} | {max(e.late for e in outcomes):.2f} "
                f"| {asked / len(waits):.1f} | {entries / len(waits):.1f} |"
            )


if __name__ == "__main__":
    main()
