"""Decides when a change may be confirmed to its author.

A confirmed change is in force on all entry hosts within a bound. An entry host
that the leader cannot reach acts on the old state until its lease expires,
which is later. A change is therefore confirmed once all hosts have received it,
or once the last lease without it expires within the bound. Times are in
seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from endivestream import clock
from endivestream import logs
from endivestream import table_position
from endivestream.process import target_departures

# Minimum time for which an acknowledgement waits for hosts that have not
# received an evacuation. Their leases may end within the bound anyway, but an
# operator may shut down the domain as soon as it is acknowledged.
_EVACUATION_WAIT_SECONDS = 0.7
# Hosts that one log line names.
_MAX_LOGGED_HOSTS = 8


@dataclasses.dataclass(kw_only=True)
class _Rollout:
    """Distribution of a replicated change to entry hosts.

    Attributes:
        version: The version of the configuration, or the revision of the
            evacuations.
        started_at: When it was committed, or found by a new leader.
        pending_hosts: Hosts that may act on an older version.
    """

    version: int
    started_at: float
    pending_hosts: set[str]


class Confirmations:
    """Changes that wait for entry hosts during one term of leadership."""

    def __init__(
        self,
        *,
        lease: float,
        version: int,
        evacuations: int,
        positions: Callable[[], Mapping[str, table_position.Position]],
    ) -> None:
        """Starts without waiting changes.

        Args:
            lease: Duration of the entry hosts' leases.
            version: Configuration version at the start of the term.
            evacuations: Revision of the evacuations at the start of the term.
            positions: Returns the table position of each host with a lease, by
                name.
        """
        self._lease = lease
        self._term_started_at = clock.now()
        self._positions = positions
        self._rollout = _Rollout(
            version=version,
            started_at=self._term_started_at,
            pending_hosts=set(),
        )
        self._evacuations = _Rollout(
            version=evacuations,
            started_at=self._term_started_at,
            pending_hosts=set(),
        )
        self._state_changed = asyncio.Event()

    @property
    def rollout_started_at(self) -> float:
        """When the newest configuration was committed, or the term began."""
        return self._rollout.started_at

    # Events received by the leader.

    def note_committed(self, version: int, hosts: Iterable[str]) -> None:
        """Records a new configuration that none of these hosts has yet."""
        self._rollout = _Rollout(
            version=version, started_at=clock.now(), pending_hosts=set(hosts)
        )

    def note_evacuations(self, revision: int, hosts: Iterable[str]) -> None:
        """Records changed evacuations that none of these hosts has yet."""
        self._evacuations = _Rollout(
            version=revision, started_at=clock.now(), pending_hosts=set(hosts)
        )

    def note_acknowledged(
        self, host: str, version: int, evacuations: int
    ) -> None:
        """Records what a host acts on; it may also have a newer table."""
        if evacuations >= self._evacuations.version:
            self._evacuations.pending_hosts.discard(host)
        rollout = self._rollout
        if version >= rollout.version and host in rollout.pending_hosts:
            rollout.pending_hosts.discard(host)
            if not rollout.pending_hosts:
                logs.event(
                    "configuration_everywhere",
                    version=rollout.version,
                    seconds=clock.now() - rollout.started_at,
                )
        self._state_changed.set()

    def remove_host(self, host: str) -> None:
        """Records that a host's lease has expired."""
        self._rollout.pending_hosts.discard(host)
        self._evacuations.pending_hosts.discard(host)
        self._state_changed.set()

    # Waiting changes.

    async def wait_for_configuration(self, *, bound: float) -> None:
        """Waits until the newest configuration may be confirmed.

        Args:
            bound: Seconds after the acknowledgement within which it must be in
                force.
        """
        called_at = clock.now()
        everywhere = await self._wait_for_hosts(
            lambda: not self._rollout.pending_hosts,
            due=lambda: self._rollout.started_at + self._lease - bound,
            bound=bound,
        )
        rollout = self._rollout
        logs.event(
            "configuration_acknowledged",
            version=rollout.version,
            started_s=clock.now() - rollout.started_at,
            waited_s=clock.now() - called_at,
        )
        if not everywhere:
            logs.warn(
                "configuration_not_everywhere",
                version=rollout.version,
                lacking=len(rollout.pending_hosts),
                lagging=_format_hosts(rollout.pending_hosts),
            )

    async def wait_for_evacuations(self, *, bound: float) -> None:
        """Waits until the newest evacuations may be confirmed.

        Args:
            bound: Seconds after the acknowledgement within which no host sends
                to an evacuated domain.
        """
        rollout = self._evacuations
        bound = min(bound, self._lease - _EVACUATION_WAIT_SECONDS)
        everywhere = await self._wait_for_hosts(
            lambda: not rollout.pending_hosts,
            due=lambda: rollout.started_at + self._lease - bound,
            bound=bound,
        )
        if not everywhere:
            logs.warn(
                "evacuations_not_everywhere",
                revision=rollout.version,
                lacking=len(rollout.pending_hosts),
            )

    async def wait_for_departure(
        self, departure: target_departures.Departure, *, bound: float
    ) -> None:
        """Waits until a target's departure may be confirmed to it.

        Args:
            departure: The departure.
            bound: Seconds after the acknowledgement within which the target
                must receive no new requests.
        """
        called_at = clock.now()

        def lagging() -> list[str]:
            return self._lagging_hosts(departure.position)

        is_everywhere = await self._wait_for_hosts(
            lambda: not lagging(),
            due=lambda: departure.leases_end_at(lagging(), self._lease) - bound,
            bound=bound,
        )
        now = clock.now()
        logs.event(
            "departure_acknowledged",
            target=departure.target,
            started_s=now - departure.began_at,
            waited_s=now - called_at,
        )
        if not is_everywhere:
            logs.warn(
                "leave_not_everywhere",
                target=departure.target,
                lagging=_format_hosts(lagging()),
            )

    def log_departure(self, departure: target_departures.Departure) -> None:
        """Logs that a departure has begun, and which hosts it waits for."""
        logs.event(
            "departure_started",
            target=departure.target,
            born=departure.started_at_ms,
            removed=departure.is_removal,
            position=departure.position.number,
            lagging=_format_hosts(self._lagging_hosts(departure.position)),
        )

    def _lagging_hosts(self, position: table_position.Position) -> list[str]:
        """Returns the hosts with a lease that have an earlier table."""
        return [
            host for host, held in self._positions().items() if held < position
        ]

    async def _wait_for_hosts(
        self,
        is_everywhere: Callable[[], bool],
        *,
        due: Callable[[], float],
        bound: float,
    ) -> bool:
        """Waits until all known hosts have received a change.

        Args:
            is_everywhere: Returns whether all hosts have received the change.
            due: Returns from when the change may be confirmed although hosts
                lack it.
            bound: Seconds after the acknowledgement within which the change
                must be in force.

        Returns:
            True if all hosts have received the change; False if the change may
            be confirmed because all leases without it expire in time.
        """
        # Hosts that have not contacted this leader yet may act on a lease from
        # the previous one.
        await asyncio.sleep(
            max(0.0, self._term_started_at + self._lease - bound - clock.now())
        )
        while not is_everywhere():
            self._state_changed.clear()
            try:
                async with asyncio.timeout(due() - clock.now()):
                    await self._state_changed.wait()
            except TimeoutError:
                if clock.now() >= due():
                    return False
        return True


def _format_hosts(hosts: Collection[str]) -> str:
    """Returns the number of some hosts, and names for a log line."""
    names = ",".join(sorted(hosts)[:_MAX_LOGGED_HOSTS])
    return f"{len(hosts)}:{names}"
