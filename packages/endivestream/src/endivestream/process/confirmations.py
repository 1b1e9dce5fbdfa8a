"""When a change may be confirmed to whoever made it.

A confirmed change holds everywhere within a bound. An entry host that the
leader does not reach acts without it until its lease ends, which is later. So
a change is confirmed once all hosts have it, or so late that the last lease
without it ends within the bound. Times are seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

from endivestream import clock
from endivestream import logs
from endivestream import site_messages


@dataclasses.dataclass(kw_only=True)
class _Rollout:
    """The newest configuration, on its way to entry hosts.

    Attributes:
        version: The version.
        begun: When it was committed, or found by a new leader.
        lacking: Hosts that may act on an older one.
    """

    version: int
    begun: float
    lacking: set[str]


class _Leaving(NamedTuple):
    """A target that leaves.

    Attributes:
        since: When it said so.
        position: The table without it.
    """

    since: float
    position: site_messages.Position


class Confirmations:
    """Changes that wait for entry hosts, during one term of leadership."""

    def __init__(
        self,
        *,
        lease: float,
        version: int,
        positions: Callable[[], Iterable[site_messages.Position]],
    ) -> None:
        """Waits for nothing yet.

        Args:
            lease: How long hosts may act on what they were told.
            version: The configuration that the leader has found.
            positions: Returns the table that each host with a lease has.
        """
        self._lease = lease
        self._began = clock.now()
        self._positions = positions
        self._rollout = _Rollout(
            version=version, begun=self._began, lacking=set()
        )
        self._leaving: dict[str, _Leaving] = {}
        self._heard = asyncio.Event()

    @property
    def rollout_begun(self) -> float:
        """When the newest configuration was committed or found."""
        return self._rollout.begun

    # What the leader hears.

    def committed(self, version: int, hosts: Iterable[str]) -> None:
        """Notes a new configuration, which none of some hosts has."""
        self._rollout = _Rollout(
            version=version, begun=clock.now(), lacking=set(hosts)
        )

    def confirmed(self, host: str, version: int) -> None:
        """Notes that a host acts on a configuration, or on another table."""
        rollout = self._rollout
        if version >= rollout.version and host in rollout.lacking:
            rollout.lacking.discard(host)
            if not rollout.lacking:
                logs.event(
                    "configuration_everywhere",
                    version=rollout.version,
                    seconds=clock.now() - rollout.begun,
                )
        self._heard.set()

    def forget_host(self, host: str) -> None:
        """Notes that a host's lease is over."""
        self._rollout.lacking.discard(host)
        self._heard.set()

    def stays(self, target: str) -> None:
        """Notes that a target does not leave, or not any more."""
        self._leaving.pop(target, None)

    def forget_all_but(self, targets: Collection[str]) -> None:
        """Forgets targets that are long gone."""
        for name in [n for n in self._leaving if n not in targets]:
            del self._leaving[name]

    # What waits.

    async def wait_for_configuration(self, *, bound: float) -> None:
        """Waits until the newest configuration may be confirmed.

        Args:
            bound: Seconds within which it must then be in force.
        """
        everywhere = await self._wait(
            lambda: not self._rollout.lacking,
            since=self._rollout.begun,
            bound=bound,
        )
        if not everywhere:
            logs.warn(
                "configuration_not_everywhere",
                version=self._rollout.version,
                lacking=len(self._rollout.lacking),
            )

    async def wait_for_leave(
        self,
        target: str,
        position: site_messages.Position,
        *,
        bound: float,
    ) -> None:
        """Waits until a target may be told that it gets nothing new.

        Args:
            target: Its name.
            position: The table that says so.
            bound: Seconds within which that must then hold.
        """
        leaving = self._leaving.setdefault(
            target, _Leaving(clock.now(), position)
        )
        told = await self._wait(
            lambda: all(has >= leaving.position for has in self._positions()),
            since=leaving.since,
            bound=bound,
        )
        if not told:
            logs.warn("leave_not_everywhere", target=target)

    async def _wait(
        self, has_all: Callable[[], bool], *, since: float, bound: float
    ) -> bool:
        """Waits until all known hosts have a change made at some time.

        Returns:
            Whether they have; False once it may be confirmed all the same.
        """
        longest = max(0.0, self._lease - bound)
        # Hosts that have not found this leader yet may act on what the one
        # before gave them.
        await asyncio.sleep(max(0.0, self._began + longest - clock.now()))
        while not has_all():
            self._heard.clear()
            try:
                async with asyncio.timeout(since + longest - clock.now()):
                    await self._heard.wait()
            except TimeoutError:
                return False
        return True
