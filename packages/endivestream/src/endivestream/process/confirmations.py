"""Decides when a change may be acknowledged to its author.

An acknowledged change is in force on all entry hosts within a bound. Each
change waits for the hosts that held a lease without it when it was made, until
they have received it or their leases end within the bound; later changes do
not prolong the wait. Times are in seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
import enum
from typing import Any
import weakref

from endivestream import clock
from endivestream import logs
from endivestream.process import rollouts as rollouts_lib

# Minimum time for which an acknowledgement waits for hosts that have not
# received an evacuation. Their leases may end within the bound anyway, but an
# operator may shut down the domain as soon as it is acknowledged.
EVACUATION_WAIT_SECONDS = 0.7
# A shorter wait may not advance the clock.
_MIN_WAIT_SECONDS = 0.001
# Holder of the leases that an unknown host may have from a former leader.
_UNKNOWN_HOST = "unknown"
# A pushed configuration counts as in flight for this long. After that, a host
# that does not have it yet receives it with the answer to its next renewal.
_PUSH_IN_FLIGHT_SECONDS = 0.5
# Hosts that one log line names.
_MAX_LOGGED_HOSTS = 8
# Events of an acknowledgement, and of one that some hosts have not confirmed.
_EVENTS = {
    rollouts_lib.Kind.CONFIGURATION: (
        "configuration_acknowledged",
        "configuration_not_everywhere",
    ),
    rollouts_lib.Kind.EVACUATIONS: (
        "evacuations_acknowledged",
        "evacuations_not_everywhere",
    ),
    rollouts_lib.Kind.TABLE: ("departure_acknowledged", "leave_not_everywhere"),
}


class LeaseGrant(enum.Enum):
    """What the answer to a renewal contains."""

    LEASE = "lease"
    LEASE_AND_CONFIGURATION = "lease_and_configuration"
    NOTHING = "nothing"


class Confirmations:
    """Changes that wait for entry hosts during one term of leadership."""

    def __init__(
        self,
        *,
        lease: float,
        former_leases: Mapping[str, float | None] | None,
        progress: rollouts_lib.Progress,
    ) -> None:
        """Starts with the changes of former leaders.

        Args:
            lease: Duration of the entry hosts' leases.
            former_leases: How long the lease of each host from a former leader
                lasts at most, None for one that renewed; None instead of the
                mapping if the hosts are unknown.
            progress: The newest change of each kind in the log.
        """
        now = clock.now()
        # Hosts that have not contacted this leader yet may act on a lease from
        # the previous one.
        if former_leases is None:
            former_leases = {_UNKNOWN_HOST: None}
        self._leases = rollouts_lib.HeldLeases(
            former_ends={
                host: now + (lease if left is None else min(lease, left))
                for host, left in former_leases.items()
            },
        )
        self._rollouts = {
            kind: rollouts_lib.Rollouts(kind) for kind in rollouts_lib.Kind
        }
        # Set when a rollout that is waited for may be due earlier.
        self._changed: weakref.WeakKeyDictionary[
            rollouts_lib.Rollout, asyncio.Event
        ] = weakref.WeakKeyDictionary()
        self._is_closed = False
        self.begin(rollouts_lib.Kind.CONFIGURATION, progress.version)
        self.begin(rollouts_lib.Kind.EVACUATIONS, progress.evacuations)

    @property
    def lease_ends(self) -> Mapping[str, float]:
        """When the lease of each host ends at the latest."""
        return self._leases.ends

    @property
    def is_closed(self) -> bool:
        """Whether the term has ended for this role."""
        return self._is_closed

    def close(self) -> None:
        """Ends all waits; their changes are not acknowledged."""
        self._is_closed = True
        self._signal(list(self._changed))

    # Events received by the leader.

    def begin(
        self, kind: rollouts_lib.Kind, number: rollouts_lib.Number
    ) -> rollouts_lib.Rollout:
        """Returns the rollout of a change that was just made."""
        now = clock.now()
        return self._rollouts[kind].begin(
            number, self._leases.without(kind, number, now), now
        )

    def record_progress(
        self, host: str, progress: rollouts_lib.Progress
    ) -> None:
        """Records what a host acts on."""
        if not self._leases.record(host, progress):
            return
        for kind in rollouts_lib.Kind:
            changed = list(self._rollouts[kind].remove(host, progress))
            self._signal(changed)
            if kind == rollouts_lib.Kind.CONFIGURATION:
                _log_everywhere(changed)

    def renew_lease(
        self, host: str, *, end: float, is_pushed: bool, is_sent: bool
    ) -> LeaseGrant:
        """Records that a host renews its lease; returns what it gets.

        Args:
            host: The host, whose progress has been recorded.
            end: When the lease ends.
            is_pushed: Whether configurations are pushed to the host.
            is_sent: Whether an answer with the newest one, and a lease, is on
                its way to the host.
        """
        now = clock.now()
        version = self._leases.progress(host).version
        configurations = self._rollouts[rollouts_lib.Kind.CONFIGURATION]
        missed = configurations.missed(version)
        is_in_flight = missed is not None and all(
            is_pushed
            and not rollout.is_acknowledged
            and now - rollout.began_at < _PUSH_IN_FLIGHT_SECONDS
            for rollout in missed
        )
        if not is_in_flight and is_sent:
            return LeaseGrant.NOTHING
        self._leases.renew(host, end)
        if not is_in_flight:
            return LeaseGrant.LEASE_AND_CONFIGURATION
        for rollout in missed or ():
            rollout.extend(host, end)
        return LeaseGrant.LEASE

    def drop_old(self) -> None:
        """Forgets leases and changes that are too old to matter."""
        now = clock.now()
        self._leases.drop_ended(now)
        for each in self._rollouts.values():
            each.drop_complete(now)

    def _signal(self, changed: Iterable[rollouts_lib.Rollout]) -> None:
        for rollout in changed:
            if rollout in self._changed:
                self._changed[rollout].set()

    # Waiting changes.

    def find(
        self, kind: rollouts_lib.Kind, number: rollouts_lib.Number
    ) -> rollouts_lib.Rollout | None:
        """Returns the rollout of a change; None if no host can lack it."""
        return self._rollouts[kind].find(number)

    async def wait(
        self,
        rollout: rollouts_lib.Rollout | None,
        *,
        bound: float,
        min_wait: float = 0.0,
        **fields: Any,
    ) -> bool:
        """Waits until a change may be acknowledged.

        Args:
            rollout: Its rollout; None if no host can lack it.
            bound: Seconds after the acknowledgement within which no host may
                act on an older state.
            min_wait: Seconds after the change for which hosts that lack it are
                waited for although their leases end within the bound.
            **fields: Fields of the log lines that name the change.

        Returns:
            Whether it may be acknowledged; False if the term has ended.
        """
        if rollout is None:
            return not self._is_closed
        called_at = clock.now()
        changed = self._changed.setdefault(rollout, asyncio.Event())
        while not self._is_closed:
            seconds = rollout.due_at(bound, min_wait=min_wait) - clock.now()
            if seconds <= 0:
                break
            changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(seconds, _MIN_WAIT_SECONDS)):
                    await changed.wait()
        if self._is_closed:
            return False
        rollout.acknowledge()
        now = clock.now()
        acknowledged, not_everywhere = _EVENTS[rollout.kind]
        logs.event(
            acknowledged,
            **fields,
            started_s=now - rollout.began_at,
            waited_s=now - called_at,
        )
        lagging = rollout.lagging(now)
        if lagging:
            logs.warn(
                not_everywhere,
                **fields,
                lacking=len(lagging),
                lagging=format_hosts(lagging),
                leases_end_s=rollout.last_end - now,
            )
        return True


def _log_everywhere(changed: Iterable[rollouts_lib.Rollout]) -> None:
    now = clock.now()
    for rollout in changed:
        if not rollout.lagging(now):
            logs.event(
                "configuration_everywhere",
                version=rollout.number,
                seconds=now - rollout.began_at,
            )


def format_hosts(hosts: Collection[str]) -> str:
    """Returns the number of some hosts, and names for a log line."""
    names = ",".join(sorted(hosts)[:_MAX_LOGGED_HOSTS])
    return f"{len(hosts)}:{names}"
