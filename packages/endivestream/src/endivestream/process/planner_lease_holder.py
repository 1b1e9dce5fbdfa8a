"""A control host's side of the planner lease: the holder places models.

One task requests the lease from the current leader and applies the planner
feed that comes with the answer. Orders are sent only while the last granted
lease is valid, counted from the time of its request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from endivestream import clock
from endivestream import limit_messages
from endivestream import logs
from endivestream import loop_meter
from endivestream import messages
from endivestream import placement_messages
from endivestream import site_messages
from endivestream import table_position
from endivestream import tasks
from endivestream.connection import engines as engines_lib
from endivestream.connection import registration_check
from endivestream.process import planner as planner_lib
from endivestream.process import site_settings
from endivestream.version import document as document_lib

# Between two requests of a host that does not hold the lease.
_LEASE_REQUEST_INTERVAL_SECONDS = 0.5
# Before the next request after a leader did not answer.
_RETRY_SECONDS = 0.05
_ANSWER_TIMEOUT_SECONDS = 0.6
_UPDATE_TIMEOUT_SECONDS = 1.0

Call = Callable[..., Awaitable[messages.Message | None]]


class PlannerLeaseHolder:
    """Planner lease as seen by one control host, for the process's lifetime."""

    def __init__(
        self,
        *,
        host: str,
        settings: site_settings.SiteSettings,
        engines: engines_lib.Engines,
        call: Call,
        document: Callable[[], document_lib.Document | None],
        evacuated_domains: Callable[[], Collection[str]],
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Sends no requests before `start`.

        Args:
            host: Identity of this machine, unique among all that have ever held
                the lease.
            settings: The host's settings.
            engines: Calls to engines.
            call: Sends a message to the leader and returns the answer, or None
                if there is none within `seconds`.
            document: Returns the newest configuration of this host.
            evacuated_domains: Returns the evacuated failure domains, as known
                to this host.
            meter: Measures the event loop time spent here.
        """
        self._meter = meter or loop_meter.LoopMeter()
        self._host = host
        self._settings = settings
        self._engines = engines
        self._call = call
        self._document = document
        self._evacuated_domains = evacuated_domains
        self._document_version = 0
        self._position = table_position.Position()
        self._fence = 0
        self._lease_until = float("-inf")
        self._orders_from = float("-inf")
        self._planner: planner_lib.Planner | None = None
        self._known_hosts: set[str] = set()
        # Numbers of placement updates keep rising across a restart of this
        # process.
        self._update_number = int(clock.now() * 1e6)
        self._task: asyncio.Task[None] | None = None
        self._background_tasks: set[asyncio.Task[None]] = set()
        # Targets whose placement updates have not been sent yet.
        self._unsent_targets: set[str] = set()
        self._update_task: asyncio.Task[None] | None = None

    @property
    def has_lease(self) -> bool:
        """Whether this host may send orders now."""
        now = clock.now()
        return self._orders_from <= now < self._lease_until

    @property
    def unplaced_models(self) -> int:
        """Models that requests wait for and that are not being loaded.

        0 on a host that does not place models.
        """
        return self._planner.unplaced_count if self._planner else 0

    @property
    def occupied_engines(self) -> int:
        """Engines that execute a step; 0 on a host that places no models."""
        return self._planner.occupied_count if self._planner else 0

    @property
    def adapters_ahead(self) -> Mapping[str, int]:
        """Adapter loads ahead of demand by result, of the present planner."""
        return self._planner.ahead_results if self._planner else {}

    def start(self) -> None:
        """Starts requesting the lease."""
        self._task = tasks.start_restarting(self._run, type(self).__name__)

    async def close(self) -> None:
        """Stops placing models; orders in flight are not tracked further."""
        await tasks.cancel(
            (self._task, self._update_task, *self._background_tasks)
        )
        await self._stop_placing()

    async def _run(self) -> None:
        while True:
            requested_at = clock.now()
            answer = await self._call(
                placement_messages.AskSeat(
                    host=self._host, position=self._position
                ),
                seconds=_ANSWER_TIMEOUT_SECONDS,
            )
            if not isinstance(answer, placement_messages.ToldSeat):
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            if answer.holder != self._host:
                await self._stop_placing()
                await asyncio.sleep(_LEASE_REQUEST_INTERVAL_SECONDS)
                continue
            await self._handle_lease(answer, requested_at)

    async def _stop_placing(self) -> None:
        """Ends the lease on this host and closes the planner."""
        self._lease_until = float("-inf")
        self._position = table_position.Position()
        planner, self._planner = self._planner, None
        if planner is not None:
            logs.event("seat_left", fence=self._fence)
            await planner.close()

    async def _handle_lease(
        self, answer: placement_messages.ToldSeat, requested_at: float
    ) -> None:
        """Applies an answer that grants the lease to this host."""
        if self._planner is not None and answer.fence != self._fence:
            await self._stop_placing()
        self._fence = answer.fence
        self._lease_until = requested_at + answer.seconds
        self._orders_from = clock.now() + answer.wait
        if self._planner is None:
            logs.event("seat_taken", fence=answer.fence, wait_s=answer.wait)
            self._planner = self._create_planner()
            self._document_version = 0
            self._known_hosts = set()
            self._planner.start()
        planner = self._planner
        document = self._document()
        if document is not None and document.version != self._document_version:
            self._document_version = document.version
            planner.set_document(document)
        with self._meter.span("feed"):
            if answer.is_complete_state:
                self._start_full_feed(planner, answer.items)
            for item in answer.items:
                self._apply_feed_item(planner, item)
        if (
            answer.is_complete_state
            and answer.position.term != self._position.term
        ):
            # A new leader has no placement updates yet.
            self._send_placement_updates(planner.targets)
        self._position = answer.position

    def _create_planner(self) -> planner_lib.Planner:
        return planner_lib.Planner(
            settings=self._settings,
            engines=self._engines,
            fence=self._fence,
            may_order=lambda: self.has_lease,
            on_targets_changed=self._send_placement_updates,
            on_request_sent=self._report_send,
            evacuated_domains=self._evacuated_domains,
            meter=self._meter,
        )

    def _start_full_feed(
        self,
        planner: planner_lib.Planner,
        items: Iterable[placement_messages.PlannerFeedItem],
    ) -> None:
        """Removes hosts that are missing from a full feed."""
        listed_hosts = {
            item.host
            for item in items
            if isinstance(item, placement_messages.FeedDemand)
        }
        for host in self._known_hosts - listed_hosts:
            planner.remove_host(host)
        self._known_hosts = listed_hosts

    def _apply_feed_item(
        self,
        planner: planner_lib.Planner,
        item: placement_messages.PlannerFeedItem,
    ) -> None:
        match item:
            case placement_messages.FeedDemand(host=host):
                self._known_hosts.add(host)
                planner.replace_demand(host, item.demand, item.slot_demand)
                planner.replace_bound_demand(host, item.bound_demand)
                planner.replace_uses(host, item.uses)
                planner.replace_failing_targets(host, item.failing)
            case placement_messages.Missing(host=host, demand=demand):
                planner.add_waiting_demand(host, demand, item.slot_demand)
                planner.add_bound_demand(host, item.bound_demand)
            case placement_messages.FeedHostRemoved(host=host):
                self._known_hosts.discard(host)
                planner.remove_host(host)
            case placement_messages.FeedTargetReport(registration=registration):
                # A leader of another build may forward it.
                problem = registration_check.find_problem(registration)
                if problem:
                    logs.warn(
                        "registration_ignored",
                        target=registration.name[:64],
                        why=problem,
                    )
                    return
                planner.apply_report(registration)
            case placement_messages.FeedRateLimits(rates=rates):
                planner.set_rate_limits(rates)
            case placement_messages.FeedTargets():
                planner.set_targets(
                    item.names, set(item.silent), complete=item.complete
                )

    def _report_send(self, target: str) -> None:
        """Reports a request to a target, which counts against its limit."""
        self._run_in_background(
            self._call(
                limit_messages.CountSend(target=target),
                seconds=_UPDATE_TIMEOUT_SECONDS,
            )
        )

    def _send_placement_updates(self, targets: Iterable[str]) -> None:
        """Sends the current placement updates of targets to the leader.

        One message is under way at a time; changes meanwhile go with the next.
        """
        self._unsent_targets.update(targets)
        if self._update_task is None or self._update_task.done():
            self._update_task = tasks.start(self._send_unsent(), "notices")

    async def _send_unsent(self) -> None:
        # Changes made in one step of the planner share a message.
        await asyncio.sleep(0)
        while self._unsent_targets and self._planner is not None:
            targets = sorted(self._unsent_targets)
            self._unsent_targets.clear()
            await self._send_updates(self._planner, targets)

    async def _send_updates(
        self, planner: planner_lib.Planner, targets: Sequence[str]
    ) -> None:
        self._update_number += 1
        updates = tuple(
            placement_messages.PlacementUpdate(
                target=target,
                number=self._update_number,
                unloading=planner.closing_models(target),
                adapters=planner.usable_adapters(target),
                loading=planner.pending_loads(target),
            )
            for target in targets
        )
        message = placement_messages.TellNotices(
            fence=self._fence, placement_updates=updates
        )
        answer = await self._call(message, seconds=_UPDATE_TIMEOUT_SECONDS)
        if not isinstance(answer, site_messages.Registered):
            # The next leader receives the updates of all targets.
            logs.warn("notices_unheard", targets=",".join(targets))

    def _run_in_background(
        self, work: Coroutine[object, object, object]
    ) -> None:
        task = tasks.start(work, "notices")
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
