"""The leader's side of the planner lease: appoints its holder.

The lease holder places models. The leader forwards reports of targets and
demand of entry hosts to it as the planner feed, each item once. The holder
returns its decisions as placement updates, which the leader pushes to entry
hosts. The feed is soft state: after a change of leader, or if the holder has
missed items, it starts again with a full feed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from endivestream import clock
from endivestream import logs
from endivestream import placement_messages
from endivestream import site_messages
from endivestream import table_position
from endivestream.connection import registry as registry_lib
from endivestream.process import use_table
from endivestream.version import planner_lease as planner_lease_lib
from endivestream.version import replicate

# Duration of the lease, counted from the holder's request. It covers most
# elections, so that placement continues without a leader. A longer lease delays
# the successor of an unreachable holder, which must wait for the end of the
# lease and for the pause.
PLANNER_LEASE_SECONDS = 1.4
# A holder without a request for the lease plus this margin is replaced.
_EXPIRY_MARGIN_SECONDS = 0.4
# Added to the pause between the last order of the previous holder and the first
# order of its successor.
_HOLDER_MARGIN_SECONDS = 0.4
# A request of the holder waits this long for new feed items.
_POLL_TIMEOUT_SECONDS = 0.1
# Additional time, for each preferred kind of host, during which the lease stays
# vacant for hosts of that kind: each sends a request within this time.
_PREFERENCE_DELAY_SECONDS = 0.6
# Feed items kept for a holder that sends no requests; if more are dropped, the
# holder starts again with a full feed.
_MAX_FEED_ITEMS = 2000


class PlannerLeaseManager:
    """Grants the planner lease during one term of leadership."""

    def __init__(
        self,
        *,
        host: str,
        replicator: replicate.Replicator,
        holder_pause_seconds: float,
        sessions: Callable[[], Mapping[str, registry_lib.Session]],
        on_targets_changed: Callable[[Iterable[str]], None],
    ) -> None:
        """Appoints no holder before the first request.

        Args:
            host: Identity of this host in its own requests for the lease.
            replicator: The replicated log.
            holder_pause_seconds: Seconds without orders between two holders.
            sessions: Returns all targets by name.
            on_targets_changed: Called with targets that have a new placement
                update.
        """
        self._host = host
        self._replicator = replicator
        self._holder_pause = holder_pause_seconds
        self._sessions = sessions
        self._on_targets_changed = on_targets_changed
        self._uses = use_table.UseTable()
        # The last placement update of each target with the fencing token of its
        # sender. Numbers start at the sender's boot clock, so they are
        # comparable only under the same token.
        self._placement_updates: dict[
            str, tuple[int, placement_messages.PlacementUpdate]
        ] = {}
        self._demand_by_host: dict[str, placement_messages.FeedDemand] = {}
        # Hosts that reported missing models since their last renewal.
        self._hosts_with_missing: set[str] = set()
        self._target_list = placement_messages.FeedTargets()
        self._rate_limits = placement_messages.FeedRateLimits(rates={})
        self._feed_items: list[placement_messages.PlannerFeedItem] = []
        # Number of the first feed item that is kept.
        self._first_number = 1
        self._feed_changed = asyncio.Event()
        self._started_at = clock.now()
        self._holder_seen_at = self._started_at
        # Earliest time at which the holder may send orders.
        self._orders_from = self._started_at
        if self._lease_record.holder and not self._lease_record.settled:
            self._orders_from += holder_pause_seconds + _HOLDER_MARGIN_SECONDS
        self._appoint_lock = asyncio.Lock()

    @property
    def _last_number(self) -> int:
        """Number of the last feed item."""
        return self._first_number + len(self._feed_items) - 1

    @property
    def _lease_record(self) -> planner_lease_lib.PlannerLeaseRecord:
        return self._replicator.state.planner_lease.record

    # Input of the planner feed.

    def forward_report(self, registration: registry_lib.Registration) -> None:
        """Forwards a target's report."""
        self._append(
            placement_messages.FeedTargetReport(registration=registration)
        )

    def set_targets(self, silent: Iterable[str], *, complete: bool) -> None:
        """Forwards the list of targets.

        Args:
            silent: Targets whose reports are overdue.
            complete: Whether every healthy target has reported.
        """
        names = self._sessions().keys()
        if complete:
            # Until the table is complete, a target without a session may be
            # one that has not yet reported to this leader.
            for name in self._placement_updates.keys() - names:
                del self._placement_updates[name]
        targets = placement_messages.FeedTargets(
            names=tuple(sorted(names)),
            silent=tuple(sorted(silent)),
            complete=complete,
        )
        if targets != self._target_list:
            self._target_list = targets
            self._append(targets)

    def set_rate_limits(self, rates: dict[str, float]) -> None:
        """Forwards the rate limits of targets."""
        self._rate_limits = placement_messages.FeedRateLimits(rates=rates)
        self._append(self._rate_limits)

    def forward_demand(self, message: site_messages.Renew) -> None:
        """Forwards the demand and uses counted by an entry host."""
        host = message.host.name
        self._uses.note(host, message.uses)
        demand = placement_messages.FeedDemand(
            host=host,
            demand=message.demand,
            uses=message.uses,
            failing=message.failing,
            bound_demand=message.bound_demand,
            slot_demand=message.slot_demand,
        )
        is_changed = demand != self._demand_by_host.get(host)
        if is_changed or host in self._hosts_with_missing:
            self._hosts_with_missing.discard(host)
            self._demand_by_host[host] = demand
            self._append(demand)

    def forward_missing_models(
        self, message: placement_messages.Missing
    ) -> None:
        """Forwards demand for missing models without waiting for a renewal."""
        # The next renewal ends this demand, also if it equals the last one.
        self._hosts_with_missing.add(message.host)
        self._append(message)

    def remove_host(self, host: str) -> None:
        """Removes an expired entry host and its demand."""
        self._uses.forget(host)
        self._hosts_with_missing.discard(host)
        if self._demand_by_host.pop(host, None) is not None:
            self._append(placement_messages.FeedHostRemoved(host=host))

    def _append(self, item: placement_messages.PlannerFeedItem) -> None:
        self._feed_items.append(item)
        if len(self._feed_items) > _MAX_FEED_ITEMS:
            dropped = len(self._feed_items) // 2
            del self._feed_items[:dropped]
            self._first_number += dropped
        self._feed_changed.set()

    # Queries.

    def loads(self, host: str) -> dict[str, int]:
        """Returns the load of each target from all entry hosts but one."""
        return self._uses.loads(host)

    def total_loads(self) -> dict[str, int]:
        """Returns the load of each target from all entry hosts."""
        return self._uses.total_loads()

    def placement_update(
        self, target: str
    ) -> placement_messages.PlacementUpdate:
        """Returns the last placement update of a target."""
        if target in self._placement_updates:
            return self._placement_updates[target][1]
        return placement_messages.PlacementUpdate(target=target)

    def store_placement_updates(
        self, message: placement_messages.TellNotices
    ) -> None:
        """Stores placement updates of the holder; ignores outdated ones."""
        if message.fence != self._lease_record.fence:
            return
        updated = []
        for update in message.placement_updates:
            current_fence, current = self._placement_updates.get(
                update.target, (-1, update)
            )
            if (current_fence, current.number) < (message.fence, update.number):
                self._placement_updates[update.target] = (message.fence, update)
                updated.append(update.target)
        known_targets = self._sessions().keys()
        updated = [name for name in updated if name in known_targets]
        if updated:
            self._on_targets_changed(updated)

    async def handle_lease_request(
        self, message: placement_messages.AskSeat
    ) -> placement_messages.ToldSeat:
        """Answers a request for the lease, or for new feed items."""
        if self._lease_record.holder != message.host:
            await self._appoint_if_vacant(message.host)
            if self._lease_record.holder != message.host:
                return placement_messages.ToldSeat(
                    holder=self._lease_record.holder
                )
        self._holder_seen_at = clock.now()
        await self._record_pause_end()
        position = message.position
        if (
            not self._needs_full_feed(position)
            and position.number == self._last_number
        ):
            await self._wait_for_feed_change()
        # After the wait, so that items appended meanwhile are included.
        is_full = self._needs_full_feed(position)
        items = self._full_feed() if is_full else self._items_after(position)
        return placement_messages.ToldSeat(
            holder=message.host,
            fence=self._lease_record.fence,
            seconds=PLANNER_LEASE_SECONDS,
            wait=max(0.0, self._orders_from - clock.now()),
            position=table_position.Position(
                self._replicator.term, self._last_number
            ),
            is_complete_state=is_full,
            items=tuple(items),
        )

    def _needs_full_feed(self, position: table_position.Position) -> bool:
        """Whether the feed cannot be continued from a position."""
        is_kept = self._first_number - 1 <= position.number <= self._last_number
        return position.term != self._replicator.term or not is_kept

    def _items_after(
        self, position: table_position.Position
    ) -> list[placement_messages.PlannerFeedItem]:
        return self._feed_items[position.number + 1 - self._first_number :]

    def _full_feed(self) -> list[placement_messages.PlannerFeedItem]:
        """Returns the full feed for a holder without state."""
        reports = [
            placement_messages.FeedTargetReport(
                registration=session.registration
            )
            for session in self._sessions().values()
        ]
        return [
            *reports,
            self._target_list,
            self._rate_limits,
            *self._demand_by_host.values(),
        ]

    async def _wait_for_feed_change(self) -> None:
        self._feed_changed.clear()
        try:
            async with asyncio.timeout(_POLL_TIMEOUT_SECONDS):
                await self._feed_changed.wait()
        except TimeoutError:
            pass

    # Appointment.

    async def _record_pause_end(self) -> None:
        """Records in the log that the pause before the holder has passed."""
        if not self._lease_record.settled and clock.now() >= self._orders_from:
            await self._replicator.propose(
                planner_lease_lib.ConfirmPlannerLease(
                    fence=self._lease_record.fence
                )
            )

    def _preference_rank(self, host: str) -> int:
        """Returns how many kinds of hosts are preferred to this one.

        Learners are preferred to voters, and voters to the leader. A fault of
        the leader or its successor then does not stop the placement of models,
        and a fault of the lease holder does not stop the leader.
        """
        members = self._replicator.replica.members
        if len(members.all) < 2:
            return 0
        if host == self._host:
            return 2
        return any(host.endswith(f"@{v.address}") for v in members.voters)

    async def _appoint_if_vacant(self, host: str) -> None:
        """Appoints a host if no other host can still hold the lease."""
        async with self._appoint_lock:
            now = clock.now()
            record = self._lease_record
            if record.holder == host:
                return
            min_silence = (
                self._preference_rank(host) * _PREFERENCE_DELAY_SECONDS
            )
            if record.holder:
                # The holder may still order under a lease from this leader, or
                # under one that the previous leader granted before this term.
                min_silence += PLANNER_LEASE_SECONDS + _EXPIRY_MARGIN_SECONDS
            if now - self._holder_seen_at < min_silence:
                return
            # In a log of an earlier version, leaders have sent orders without a
            # planner lease.
            is_first = (
                not record.holder
                and self._replicator.replica.first_index_of_term < 2
            )
            orders_from = (
                now if is_first else self._earliest_order_time(record, now)
            )
            result = await self._replicator.propose(
                planner_lease_lib.GrantPlannerLease(
                    holder=host,
                    previous_fence=record.fence,
                    term=self._replicator.term,
                    settled=is_first,
                )
            )
            assert isinstance(result, planner_lease_lib.PlannerLeaseGranted), (
                result
            )
            if result.holder == host:
                self._holder_seen_at = clock.now()
                self._orders_from = orders_from
            logs.event(
                "seat",
                holder=result.holder,
                fence=result.fence,
                before=record.holder,
                silent_s=now - self._holder_seen_at,
            )

    def _earliest_order_time(
        self, record: planner_lease_lib.PlannerLeaseRecord, now: float
    ) -> float:
        """Returns the earliest time at which a new holder may order.

        The pause starts at the end of the previous holder's last lease. If the
        log names no holder, an earlier leader may have ordered without a lease
        until now, and the pause starts now.
        """
        pause_start = (
            self._holder_seen_at + PLANNER_LEASE_SECONDS
            if record.holder
            else now
        )
        return max(
            now, pause_start + self._holder_pause + _HOLDER_MARGIN_SECONDS
        )
