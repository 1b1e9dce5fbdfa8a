"""Departures of targets at the leader: announced, deregistered, confirmed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from endivestream import clock
from endivestream import logs
from endivestream import messages
from endivestream import site_messages
from endivestream import table_position
from endivestream.connection import registry as registry_lib
from endivestream.process import confirmations as confirmations_lib
from endivestream.process import rollouts as rollouts_lib
from endivestream.process import target_departures
from endivestream.version import departures as departures_lib
from endivestream.version import replicate


class DepartureManager:
    """Departures during one term of leadership."""

    def __init__(
        self,
        *,
        registry: registry_lib.Registry,
        replicator: replicate.Replicator,
        confirmations: confirmations_lib.Confirmations,
        bound: float,
        position: Callable[[], table_position.Position],
        on_targets_changed: Callable[[Iterable[str]], None],
    ) -> None:
        """Starts without departures.

        Args:
            registry: Table of targets.
            replicator: The leader's replica.
            confirmations: Knows which hosts have which table.
            bound: Seconds after an acknowledgement within which a target must
                receive no new requests.
            position: Returns the position of the table now.
            on_targets_changed: Called when targets have left the table.
        """
        self._registry = registry
        self._replicator = replicator
        self._confirmations = confirmations
        self._bound = bound
        self._position = position
        self._on_targets_changed = on_targets_changed
        self._departures = target_departures.TargetDepartures()

    def retain(self, targets: Collection[str]) -> None:
        """Forgets the departures of all targets except these."""
        self._departures.retain(targets)

    async def handle_report(
        self,
        registration: registry_lib.Registration,
        *,
        is_accepted: bool,
        is_recorded: bool = True,
    ) -> site_messages.Registered | messages.NotLeader:
        """Waits until a departure that a target announces is acknowledged.

        Args:
            registration: The target's report.
            is_accepted: Whether the registry has taken it; an outdated report
                says nothing about the process that departs.
            is_recorded: Whether a departure is committed to the log. It would
                keep a target with this id out at the next leader.
        """
        if registration.draining:
            departure = self._begin(
                registration.name, registration.started_at_ms
            )
            if is_accepted and is_recorded:
                await self._commit(departure, registration.report_number)
            return await self._confirm(departure)
        if is_accepted:
            self.cancel(registration.name)
        return site_messages.Registered()

    def cancel(self, target: str) -> None:
        """Records a report, taken by the registry, that a target runs."""
        self._departures.cancel(target)

    async def deregister(
        self, name: str
    ) -> site_messages.Registered | messages.NotLeader:
        """Notifies entry hosts that a target departs and commits that.

        Entry hosts may know the target from the previous leader, so they are
        notified even if it has not reported to this leader.
        """
        started_at = self._registry.started_at_ms(name)
        departure = self._departures.find(name)
        if (
            departure is None
            or not departure.is_removal
            or not departure.is_of(started_at)
            # A later process, or this one, has reported since.
            or self._registry.find(name) is not None
        ):
            departure = self._remove(name, started_at)
        await self._commit(departure)
        return await self._confirm(departure)

    async def _commit(
        self,
        departure: target_departures.Departure,
        report_number: int | None = None,
    ) -> None:
        """Waits until a departure is in the log, for all of its calls."""
        commit = departure.commit
        if commit is None or (
            commit.done() and (commit.cancelled() or commit.exception())
        ):
            commit = departure.commit = asyncio.create_task(
                self._replicator.propose(
                    departures_lib.Depart(
                        name=departure.target,
                        started_at_ms=departure.started_at_ms,
                        report_number=report_number,
                    )
                )
            )
        await asyncio.shield(commit)

    def _remove(
        self, name: str, started_at_ms: int | None
    ) -> target_departures.Departure:
        """Removes a target from the table."""
        was_known = self._registry.deregister(name, clock.now())
        logs.event(
            "target_deregistered",
            target=name,
            born=started_at_ms,
            known=was_known,
        )
        self._departures.cancel(name)
        self._on_targets_changed([name])
        return self._begin(name, started_at_ms, is_removal=True)

    def _begin(
        self, name: str, started_at_ms: int | None, *, is_removal: bool = False
    ) -> target_departures.Departure:
        known = self._departures.find(name)
        departure = self._departures.begin(
            name,
            started_at_ms=started_at_ms,
            is_removal=is_removal,
            begin_rollout=lambda: self._confirmations.begin(
                rollouts_lib.Kind.TABLE, self._position()
            ),
        )
        if departure is not known:
            lagging = departure.rollout.lagging(clock.now())
            logs.event(
                "departure_started",
                target=departure.target,
                born=departure.started_at_ms,
                removed=departure.is_removal,
                position=self._position().number,
                lagging=confirmations_lib.format_hosts(lagging),
            )
        return departure

    async def _confirm(
        self, departure: target_departures.Departure
    ) -> site_messages.Registered | messages.NotLeader:
        is_confirmed = await self._confirmations.wait(
            departure.rollout, bound=self._bound, target=departure.target
        )
        if not is_confirmed:
            return messages.NotLeader(address="")
        return site_messages.Registered()
