"""Entry host of a site: serves callers from replicated control state.

Configuration, targets and credit are received through `connection.watch`.
Requests are then served by `request.forward` from this local state, without a
query to another host. While no leader can be reached, the host goes on serving
until its configuration lease expires, and then refuses requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Sequence
import contextlib
import math
import time

import msgspec
import zmq.asyncio

from endivestream import clock
from endivestream import limit_messages
from endivestream import logs
from endivestream import loop_meter
from endivestream import messages
from endivestream import peer_messages
from endivestream import placement_messages
from endivestream import site_messages
from endivestream import table_position
from endivestream import tasks
from endivestream.connection import engines as engines_lib
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import links
from endivestream.connection import process_probe
from endivestream.connection import process_proof as process_proof_lib
from endivestream.connection import registration_check
from endivestream.connection import watch as watch_lib
from endivestream.process import bounded_server
from endivestream.process import configuration_freshness as freshness_lib
from endivestream.process import crash_reporter as crash_reporter_lib
from endivestream.process import entry_credit
from endivestream.process import entry_hedges
from endivestream.process import entry_rate_limits
from endivestream.process import entry_repeats
from endivestream.process import listeners as listeners_lib
from endivestream.process import origin_directory
from endivestream.process import prefill_turn_service
from endivestream.process import push_relay
from endivestream.process import request_memory
from endivestream.process import site_metrics
from endivestream.process import site_settings
from endivestream.process.entry_host import host_load as host_load_lib
from endivestream.process.entry_host import host_reports
from endivestream.request import admission
from endivestream.request import call as call_lib
from endivestream.request import credit_shares as credit_shares_lib
from endivestream.request import demand as demand_lib
from endivestream.request import forward as forward_lib
from endivestream.request import forward_parts
from endivestream.request import homes
from endivestream.request import host_shares
from endivestream.request import model_waits
from endivestream.request import names as names_lib
from endivestream.request import observed_times
from endivestream.request import queue_deadlines
from endivestream.request import rate_limits as rate_limits_lib
from endivestream.request import relay_hosts as relay_hosts_lib
from endivestream.request import routes as routes_lib
from endivestream.request import sending
from endivestream.request import stream_origins
from endivestream.request import target_announcements
from endivestream.request import target_selection
from endivestream.request import unserved as unserved_lib
from endivestream.request.buffering import answer_buffer
from endivestream.request.buffering import budget as budget_lib
from endivestream.request.buffering import target_memory as target_memory_lib
from endivestream.version import document as document_lib
from endivestream.version import evacuations as evacuations_lib

# Time for an answer of the leader about software versions, while a caller
# waits.
_SOFTWARE_ANSWER_SECONDS = 0.25
# Size of the header that is added to relayed requests.
_RELAY_HEADER_BYTES = 4096
# How long a target is kept after a complete table no longer lists it: its
# connection to the control hosts may be cut while the one to this host works.
_UNLISTED_TARGET_SECONDS = 20.0
# Time before the end of the drain period, after which the process is killed.
# Requests still running then are ended by this host, with a response that
# callers can interpret.
_STOP_MARGIN_SECONDS = 0.35
_DRAIN_POLL_SECONDS = 0.05
# Part of that margin in which the last responses are written.
_FINAL_RESPONSES_SECONDS = 0.15
# A draining host must finish each request that it accepts. It accepts new
# streams only while at least this share of its drain period remains, and other
# requests only while at least the second share does.
_STREAM_GRACE_SHARE = 0.65
_OTHER_GRACE_SHARE = 0.25
# It also accepts only what ends in time if it takes as long as this share of
# the requests of its route, and a margin. The outcome of a request that is cut
# and must not be repeated stays unknown.
_REPEATABLE_RUN_SHARE = 0.95
_UNREPEATABLE_RUN_SHARE = 0.99
_RUN_MARGIN_FACTOR = 1.1
# Unsent bytes of an answer that the kernel takes where callers may read slowly.
# More would be held outside of the budget: up to several megabytes for each
# caller.
_KERNEL_UNSENT_BYTES = 16 * 1024


class Entry:
    """The services of one entry host, created once when the process starts."""

    def __init__(
        self,
        *,
        settings: site_settings.SiteSettings,
        names: names_lib.HeaderNames,
        codec: engines_lib.Codec | None = None,
    ) -> None:
        """Creates the services; `start` starts them.

        Args:
            settings: The host's settings.
            names: Header names.
            codec: Encodes queries to engines; None if they answer none.
        """
        self._settings = settings
        self._names = names
        self._context = zmq.asyncio.Context()
        self._meter = loop_meter.LoopMeter()
        self._pool = exchange_lib.Pool()
        self._limits = rate_limits_lib.RateLimits()
        self._target_memory: target_memory_lib.TargetMemory | None = None
        if settings.has_slow_readers:
            self._target_memory = target_memory_lib.TargetMemory()
        self._view = target_selection.TargetView(
            domain=settings.domain,
            regions=settings.domains,
            limits=self._limits,
            announcements=target_announcements.TargetAnnouncements(
                host=settings.name
            ),
            target_memory=self._target_memory,
        )
        self._credit_shares = credit_shares_lib.CreditShares()
        self._table: routes_lib.Table | None = None
        self._position = table_position.Position()
        # Term of the leader that has everything that it may lack, and whether
        # the renewal under way contains that.
        self._reported_term = 0
        self._reports_everything = False
        # Revision of the evacuations in force here; -1 before the first lease.
        self._evacuations_revision = -1
        self._entry_hosts: tuple[site_messages.EntryHost, ...] = ()
        self._host_reports = host_reports.HostReports()
        self._caller_addresses = host_shares.CallerAddresses()
        self._unlisted_since: dict[str, float] = {}
        self._demand = demand_lib.RequestRates(now=clock.now())
        self._unserved = unserved_lib.UnservedModels()
        self._model_waits = model_waits.ModelWaits()
        # Names of services whose engines have few slots; the planner needs to
        # know the ranks, waits and run times of their requests.
        self._slot_bound_services: set[str] = set()
        # The same of resumed streams: service, software, model, adapter.
        self._waiting_bound: dict[tuple[str, str, str, str], list[float]] = {}
        self._change_event = asyncio.Event()
        self._draining = False
        # Times from the first send to the end of requests, by route.
        self._run_times = observed_times.ObservedTimes()
        self._previous_lease_until = -math.inf
        self._drain_deadline = math.inf
        self._incarnation = time.time_ns() // 1_000_000
        self._watch = watch_lib.LeaderSession(
            controls=settings.controls,
            context=self._context,
            every=settings.renew_seconds,
            renewal=self._build_renewal,
            on_renewed=self._apply_renewal,
            on_push=self._on_leader_push,
            meter=self._meter,
        )
        self._prefill_turn_service = prefill_turn_service.PrefillTurnService(
            name=settings.name,
            context=self._context,
            meter=self._meter,
            incarnation=self._incarnation,
            load=lambda target: self._view.published_load(target, clock.now()),
        )
        self._push_relay = push_relay.PushRelay(
            host=settings.name,
            domain=settings.domain,
            context=self._context,
            on_push=self._apply_push,
            on_relay_changed=self._watch.renew_now,
            has_lease=lambda: self._watch.lease_until > clock.now(),
            meter=self._meter,
        )
        self._origin_directory = origin_directory.OriginDirectory(
            name=settings.name, context=self._context, meter=self._meter
        )
        self._process_proof = process_proof_lib.ProcessProof(codec=codec)
        self._crash_reporter = crash_reporter_lib.CrashReporter(
            probe=process_probe.ProcessProbe(
                pool=self._pool, process_proof=self._process_proof
            ),
            host=settings.name,
            request_leader=self._watch.request,
            target_memory=self._target_memory,
            is_draining=self._view.is_draining,
        )
        self._peer_server: links.Server | None = None
        if settings.peers:
            self._peer_server = links.Server(
                address=settings.peers,
                context=self._context,
                handle=self._answer_peer,
                meter=self._meter,
            )
        self._rate_limits = entry_rate_limits.EntryRateLimits(
            limits=self._limits,
            watch=self._watch,
            request_renewal=self._watch.renew_now,
        )
        self._buffers: answer_buffer.AnswerBuffers | None = None
        if settings.has_slow_readers:
            bounds = budget_lib.Bounds.of(settings.resources.memory_mb)
            self._buffers = answer_buffer.AnswerBuffers(
                budget=budget_lib.Budget(bounds=bounds)
            )
        self._metrics = site_metrics.EntryMetrics(
            running=lambda: self.running,
            version=lambda: self.version,
            lease=lambda: max(0.0, self._watch.lease_until - clock.now()),
            targets=lambda: len(self._view.targets),
            rate_limited=lambda: self._limits.count,
            limited_sends=lambda: self._rate_limits.outcomes,
            backoffs=lambda: self._view.announcements.count_backoffs(
                clock.now()
            ),
            announcements=lambda: self._view.announcements.events,
            withdrawn_sends=lambda: self._forwarder.withdrawn_sends,
            origins=lambda: self._origin_directory.size,
            origin_events=lambda: self._origin_directory.events,
            resumptions=lambda: self._forwarder.resumptions,
            hedges=lambda: self._forwarder.hedges.outcomes,
            denied_hedges=lambda: self._forwarder.hedges.denials,
            hedge_wasted_seconds=lambda: self._forwarder.hedges.wasted_seconds,
            process_queries=lambda: self._process_proof.results,
            examinations=lambda: self._crash_reporter.examinations,
            quarantined=lambda: self._crash_reporter.quarantined_keys,
            share_factor=lambda: self._host_load.share_factor,
            usage=lambda: self._host_load.usage.scarcest,
            refuses_new=lambda: self._host_load.is_refusing,
            buffers=self._buffers,
            target_memory=self._target_memory,
            slots_waiting=lambda: self._prefill_turn_service.queues.waiting,
            slots_granted=lambda: self._prefill_turn_service.queues.granted,
            slot_decisions=lambda: self._prefill_turn_service.queues.counts,
            meter=self._meter,
        )
        rules = admission.AdmissionInputs(
            names=names,
            table=lambda: self._table,
            lease_until=lambda: self._watch.lease_until,
            share=lambda: 1 / max(1, len(self._entry_hosts)),
            can_finish=self._accepts,
        )
        self._freshness = freshness_lib.ConfigurationFreshness(
            watch=self._watch,
            version=lambda: self.version,
            wait_for_change=self._wait_for_change,
        )
        self._credit = entry_credit.EntryCredit(
            credit_shares=self._credit_shares,
            watch=self._watch,
            host=settings.name,
        )
        self._repeats = entry_repeats.EntryRepeats(
            bounds=settings.bounds, watch=self._watch
        )
        self._hedges = entry_hedges.EntryHedges(
            settings=settings,
            watch=self._watch,
            repeats=self._repeats,
            send_to_leader=self._send_to_leader,
        )
        self._relay_hosts = relay_hosts_lib.RelayHosts(
            name=settings.name, domain=settings.domain
        )
        parts = forward_parts.SharedParts(
            rules=rules,
            view=self._view,
            pool=self._pool,
            relay_hosts=self._relay_hosts,
            host=settings.name,
            credit=self._credit,
            repeats=self._repeats.budget,
            request_repeat=self._repeats.request,
            report_missing=self._report_missing,
            wait_for_change=self._wait_for_change,
            confirm_configuration=self._freshness.confirm,
            request_received=self._count_demand,
            target_assigned=self._on_target_found,
            model_idle=self._watch.renew_now,
            slot_freed=self._signal_change,
            rate_limit_reported=self._rate_limits.record_answer,
            acquire_send=self._rate_limits.acquire_send,
            query_sent=lambda target: self._send_to_leader(
                limit_messages.CountSend(target=target)
            ),
            prefill_delay=self._prefill_turn_service.request_turn,
            prefill_observed=self._prefill_turn_service.record_start,
            find_origin=self._origin_directory.find,
            sole_software=self._query_sole_software,
            stream_bound=self._origin_directory.record,
            process_proof=self._process_proof,
            crash_reporter=self._crash_reporter,
            record_metrics=self._record_request,
            hedge_permits=self._hedges,
            buffers=self._buffers,
            slots=self._prefill_turn_service,
            target_memory=self._target_memory,
        )
        self._forwarder = forward_lib.Forwarder(parts=parts)
        self._listeners = listeners_lib.Listeners(
            resources=settings.resources,
            budget=self._buffers.budget if self._buffers else None,
        )
        self._metrics.add_listeners(self._listeners)
        self._front = call_lib.RequestServer(
            serve=self._forwarder.serve,
            now=clock.now,
            refuses_new=lambda: self._host_load.is_refusing,
        )
        self._relay_front = call_lib.RequestServer(
            serve=self._forwarder.serve_relayed,
            now=clock.now,
            refuses_new=lambda: self._host_load.is_refusing,
        )
        self._host_load = host_load_lib.HostLoad(
            settings=settings,
            running=lambda: self.running,
            passed_bytes=lambda: (
                self._front.passed_bytes + self._relay_front.passed_bytes
            ),
        )
        self._server: bounded_server.BoundedServer | None = None
        self._relay_server: bounded_server.BoundedServer | None = None
        self._background_tasks: set[asyncio.Task[None]] = set()

    @property
    def is_ready(self) -> bool:
        """Whether callers should connect to this host."""
        return (
            not self._draining
            and self._table is not None
            and self._watch.lease_until > clock.now()
        )

    @property
    def metrics(self) -> site_metrics.EntryMetrics:
        """The metrics of this entry host."""
        return self._metrics

    @property
    def listeners(self) -> listeners_lib.Listeners:
        """The HTTP listeners of the process."""
        return self._listeners

    @property
    def running(self) -> int:
        """The number of requests in progress, relayed ones included."""
        return self._front.running + self._relay_front.running

    @property
    def version(self) -> int:
        """The configuration version in force on this host; 0 before any."""
        return self._table.document.version if self._table else 0

    def addresses(
        self,
        domain: str,
        *,
        region: str = "",
        hostname: str = "",
        caller: str = "",
    ) -> list[str]:
        """Returns the addresses to which callers connect.

        Args:
            domain: The callers' failure domain.
            region: The callers' region; that of the domain if empty.
            hostname: Host name of their requests, whose routes may have home
                regions.
            caller: The caller's own address, or empty.
        """
        has_changed = bool(caller) and self._caller_addresses.record(caller)
        are_distinct = self._caller_addresses.are_distinct
        if has_changed:
            logs.event("caller_addresses", distinct=are_distinct)
        region_by_domain = self._settings.domains
        routes = self._table.routes(hostname) if self._table else ()
        return homes.select_addresses(
            self._entry_hosts,
            domain=domain,
            regions=homes.caller_regions(
                routes, region or region_by_domain.get(domain, "")
            ),
            region_by_domain=region_by_domain,
            shares=self._host_reports.shares(clock.now()),
            caller=caller if are_distinct else "",
        )

    def start(self) -> None:
        """Starts to listen for callers and to search for the leader.

        Raises:
            OSError: The address cannot be used.
        """
        self._server = self._listen(
            listeners_lib.CALLERS, self._settings.callers, self._front
        )
        relay_address = relay_hosts_lib.relay_address(self._settings.peers)
        if relay_address:
            self._relay_server = self._listen(
                listeners_lib.RELAY._replace(
                    added_header_bytes=_RELAY_HEADER_BYTES
                ),
                relay_address,
                self._relay_front,
            )
        self._meter.start()
        self._host_load.start()
        if self._peer_server is not None:
            self._peer_server.start()
            self._push_relay.start()
        self._watch.start()

    def _listen(
        self,
        listener: listeners_lib.Listener,
        address: str,
        front: call_lib.RequestServer,
    ) -> bounded_server.BoundedServer:
        has_slow_readers = self._settings.has_slow_readers
        names = self._names
        headers = {}
        if front is self._relay_front:
            headers = {relay_hosts_lib.FAILURE_HEADER: request_memory.NO_MEMORY}
        return self._listeners.listen(
            listener._replace(
                has_own_unsent_limit=has_slow_readers,
                kernel_unsent_bytes=(
                    _KERNEL_UNSENT_BYTES if has_slow_readers else 0
                ),
                refusal=bounded_server.Refusal(
                    headers=headers,
                    retry_after=names.retry_after,
                    request_id=names.request,
                ),
            ),
            address,
            front,
        )

    def set_controls(self, controls: Sequence[str]) -> None:
        """Replaces the addresses of control hosts after changed settings."""
        self._watch.set_seeds(controls)

    async def drain(self) -> None:
        """Drains the host, so that its requests can finish before it stops.

        The host is removed from the address lists that callers get, and goes
        on serving callers whose lists still contain it. It returns when these
        lists have expired and no request is running, or shortly before the end
        of the drain period.
        """
        started_at = clock.now()
        deadline = (
            started_at + self._settings.bounds.grace - _STOP_MARGIN_SECONDS
        )
        self._draining = True
        self._drain_deadline = deadline
        self._watch.renew_now()
        if self._server is not None:
            # Responses on open connections tell callers to close them.
            self._server.conn_params.no_keep_alive = True
        addresses_expire_at = min(
            deadline, started_at + 3 * self._settings.address_seconds
        )
        while clock.now() < deadline:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
            self._forwarder.stop_waiting()
            if clock.now() >= addresses_expire_at and not self.running:
                break
        self._forwarder.stop_all()
        response_deadline = clock.now() + _FINAL_RESPONSES_SECONDS
        while self.running and clock.now() < response_deadline:
            await asyncio.sleep(_DRAIN_POLL_SECONDS / 5)
        logs.event(
            "drained",
            seconds=clock.now() - started_at,
            running=self.running,
        )

    async def close(self) -> None:
        """Closes all services and connections; aborts running requests."""
        self._listeners.close()
        await self._host_load.close()
        await self._crash_reporter.close()
        await self._freshness.close()
        await self._credit.close()
        await self._watch.close()
        await self._prefill_turn_service.close()
        await self._origin_directory.close()
        await self._push_relay.close()
        if self._peer_server is not None:
            await self._peer_server.close()
        await self._meter.close()
        await tasks.cancel(list(self._background_tasks))
        self._pool.close()
        self._context.destroy(linger=0)

    # Exchange with the leader.

    def _build_renewal(self, is_other_host: bool) -> site_messages.Renew:
        now = clock.now()
        # One that has been found again in the same term lacks nothing.
        is_new_leader = (
            is_other_host or self._position.term != self._reported_term
        )
        self._reports_everything = is_new_leader
        rates = self._demand.rates(now)
        demand = tuple(
            self._demand_of(key, rates.get(key, 0.0), now)
            for key in {*rates, *self._model_waits.keys}
        )
        slot_demand = tuple(
            self._slot_demand_of(each[:3], now)
            for each in demand
            if each.service in self._slot_bound_services
        )
        return site_messages.Renew(
            host=site_messages.EntryHost(
                self._settings.name,
                self._incarnation,
                self._settings.domain,
                self._settings.callers,
                self._draining,
                self._settings.peers,
            ),
            version=self.version,
            position=self._position,
            demand=demand,
            uses=self._view.uses(),
            needs=self._credit_shares.needs(now),
            failing=self._view.failing(now),
            relay=self._push_relay.relay,
            controls=self._watch.controls_digest,
            limits=self._rate_limits.report(everything=is_new_leader),
            evacuations=self._evacuations_revision,
            bound_demand=tuple(
                _bound_demand(key, objectives)
                for key, objectives in self._waiting_bound.items()
            ),
            quarantine=self._crash_reporter.revision,
            quarantined=(
                self._crash_reporter.entries() if is_new_leader else ()
            ),
            ends=self._crash_reporter.take_reports(everything=is_new_leader),
            listed_requests=(
                self._crash_reporter.listed_requests() if is_new_leader else ()
            ),
            answered=self._crash_reporter.take_answered(),
            slot_demand=slot_demand,
            report=self._host_load.report,
        )

    def _on_leader_push(self, message: messages.Message) -> None:
        """Handles a push from the leader and forwards it to followers."""
        followers = self._push_relay.followers
        if followers and self._peer_server is not None:
            self._run_in_background(self._peer_server.push(followers, message))
        self._apply_push(message)

    def _apply_push(self, message: messages.Message) -> None:
        match message:
            case site_messages.News():
                self._take_news(message)
            case site_messages.Loads(loads=loads):
                self._view.set_all_loads(loads, clock.now())
                self._prefill_turn_service.record_loads()

    async def _answer_peer(
        self, peer: bytes, message: messages.Message
    ) -> messages.Message | None:
        match message:
            case peer_messages.AskTurn() | peer_messages.ClaimSlots():
                return await self._prefill_turn_service.answer_turn(message)
            case peer_messages.EndTurn():
                self._prefill_turn_service.end_turn(message)
                return None
            case peer_messages.Follow():
                return self._push_relay.handle_follow(peer, message)
            case peer_messages.RecordOrigins(records=records):
                self._origin_directory.store(records)
                return peer_messages.OriginsRecorded()
            case peer_messages.FindOrigin(attempt=attempt):
                return self._origin_directory.find_here(attempt)
        logs.warn(
            "unexpected_message",
            message=type(message).__name__,
            peer=peer.hex(),
        )
        return None

    def _apply_renewal(self, renewed: site_messages.Renewed) -> None:
        now = clock.now()
        self._credit_shares.record_answer(now)
        self._rate_limits.mark_reported()
        self._crash_reporter.mark_reported()
        for grant in renewed.grants:
            self._credit_shares.apply_grant(grant, now)
        if not self._reports_everything:
            self._crash_reporter.keep_table()
        if renewed.table_update is not None:
            self._take_news(renewed.table_update)
        if renewed.loads is not None:
            self._view.set_loads(renewed.loads, now)
            self._prefill_turn_service.record_loads()
        if self._reports_everything:
            self._reported_term = self._position.term
        if self._position.term == self._reported_term:
            self._crash_reporter.drop_kept()
        else:
            self._watch.renew_now()
        self._drop_unlisted(now)
        if self._previous_lease_until < now:
            # The lease had expired, and requests wait for a new one.
            self._signal_change()
        self._previous_lease_until = self._watch.lease_until

    def _take_news(self, news: site_messages.News) -> None:
        news = _without_unusable(news)
        self._rate_limits.merge(news.limits)
        before = self.version, self._position, self._evacuations_revision
        if news.document is not None:
            self._apply_document(news.document)
        had_evacuations = self._evacuations_revision >= 0
        if news.evacuations is not None:
            self._apply_evacuations(news.evacuations)
        if news.quarantine is not None:
            self._crash_reporter.set_table(news.quarantine)
            self._signal_change()
        self._apply_table(news)
        has_departures = news.removed_targets or any(
            t.registration.draining for t in news.targets
        )
        needs_confirmation = (
            has_departures
            or news.document is not None
            # A host that had no lease before has not sent anything yet.
            or (news.evacuations is not None and had_evacuations)
        )
        after = self.version, self._position, self._evacuations_revision
        if needs_confirmation and before != after:
            # The change is acknowledged to its author or target only after
            # all hosts have confirmed it.
            self._send_to_leader(
                site_messages.Confirm(
                    host=self._settings.name,
                    version=self.version,
                    position=self._position,
                    evacuations=self._evacuations_revision,
                )
            )

    def _apply_table(self, news: site_messages.News) -> None:
        if news.position <= self._position:
            # A later update arrived first, with the answer to a renewal.
            return
        if news.base_position is not None and not self._has_reached(
            news.base_position
        ):
            # An update in between was lost. The next renewal fetches it.
            self._watch.renew_now()
            return
        self._position = news.position
        removed = list(news.removed_targets)
        if news.base_position is None:
            self._view.set_complete(news.complete)
        if news.base_position is None and news.complete:
            listed = {target.registration.name for target in news.targets}
            now = clock.now()
            for name in self._view.targets.keys() - listed:
                self._unlisted_since.setdefault(name, now)
            for name in listed:
                self._unlisted_since.pop(name, None)
        for target in news.targets:
            self._unlisted_since.pop(target.registration.name, None)
        self._record_replaced_targets(news, removed)
        self._view.set_targets(news.targets, removed, clock.now(), time.time())
        self._limits.remove_stale(self._view.targets.keys(), clock.now())
        if news.entries is not None:
            self._entry_hosts = news.entries
            self._prefill_turn_service.set_hosts(news.entries)
            self._push_relay.set_hosts(news.entries)
            self._relay_hosts.set_hosts(news.entries)
            self._origin_directory.set_hosts(news.entries)
            self._view.set_hosts(len(news.entries))
            self._rate_limits.set_hosts(len(news.entries))
            self._repeats.set_hosts(len(news.entries))
            self._hedges.set_hosts(len(news.entries))
        self._host_reports.apply(news, clock.now())
        self._signal_change()

    def _record_replaced_targets(
        self, news: site_messages.News, removed: Collection[str]
    ) -> None:
        """Records processes that have ended according to a table update."""
        known = self._view.targets
        by_address = {
            each.registration.address: each.registration
            for each in news.targets
        }
        for target in news.targets:
            registration = target.registration
            previous = known.get(registration.name)
            if (
                previous is not None
                and previous.registration.started_at_ms
                < registration.started_at_ms
            ):
                self._crash_reporter.record_replaced(previous.registration)
            elif (
                previous is not None
                and previous.registration.order < registration.order
                and not target.reports_overdue
            ):
                self._crash_reporter.record_report(registration)
        for name in removed:
            if name not in known:
                continue
            previous = known[name].registration
            successor = by_address.get(previous.address)
            if successor is not None and successor.name != name:
                self._crash_reporter.record_replaced(previous)

    def _has_reached(self, after: table_position.Position) -> bool:
        """Returns whether this host's table includes a position."""
        return (
            after.term == self._position.term
            and after.number <= self._position.number
        )

    def _apply_document(self, document: document_lib.Document) -> None:
        if document.version <= self.version:
            return
        self._table = routes_lib.Table(document=document)
        self._view.set_services(document.services)
        logs.event(
            "configuration",
            version=document.version,
            leader=self._watch.leader,
            lease_s=self._watch.lease_until - clock.now(),
            loop_late_s=self._meter.lateness,
        )
        self._listeners.set_caller_limits(document.limits)
        self._signal_change()

    def _apply_evacuations(
        self, record: evacuations_lib.EvacuationRecord
    ) -> None:
        if record.revision <= self._evacuations_revision:
            return
        self._evacuations_revision = record.revision
        self._view.set_evacuated_domains(record.domains, clock.now())
        logs.event(
            "evacuations",
            revision=record.revision,
            domains=",".join(record.domains),
        )
        self._signal_change()

    def _drop_unlisted(self, now: float) -> None:
        expired = [
            n
            for n, t in self._unlisted_since.items()
            if now - t > _UNLISTED_TARGET_SECONDS
        ]
        for name in expired:
            del self._unlisted_since[name]
        if expired:
            self._view.set_targets((), expired, now)

    def _signal_change(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def _wait_for_change(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._change_event.wait()

    # Callbacks of requests.

    def _record_request(self, ended: forward_parts.RequestSummary) -> None:
        self._metrics.observe(ended)
        if ended.tries and ended.status and ended.reason != "stopping":
            self._run_times.record(
                ended.route, ended.kind, ended.total - ended.waited
            )

    def _accepts(self, route: document_lib.Route | None) -> bool:
        """Returns whether a request can end before this host stops.

        Args:
            route: Its route; None if it is not known yet.
        """
        remaining = self._drain_deadline - clock.now()
        if math.isinf(remaining):
            return True
        # A request of an unknown route may be a stream.
        is_stream = route is None or route.kind == document_lib.Kind.STREAM
        share = _STREAM_GRACE_SHARE if is_stream else _OTHER_GRACE_SHARE
        if remaining <= share * self._settings.bounds.grace:
            return False
        if route is None:
            return True
        run_seconds = self._run_times.quantile(
            route.name,
            route.kind,
            _REPEATABLE_RUN_SHARE
            if route.is_repeatable
            else _UNREPEATABLE_RUN_SHARE,
            initial=route.timeout,
        )
        return remaining >= min(route.timeout, _RUN_MARGIN_FACTOR * run_seconds)

    def _count_demand(self, work: admission.AdmittedRequest) -> None:
        if work.model and work.service.engine is not None:
            key = (work.service.name, work.model, work.adapter)
            self._demand.count(key, clock.now(), sending.priority(work))
            if work.service.engine.is_slot_bound:
                self._slot_bound_services.add(work.service.name)

    def _demand_of(
        self, key: tuple[str, str, str], rate: float, now: float
    ) -> placement_messages.Demand:
        waits = self._model_waits
        return placement_messages.Demand(
            *key,
            rate,
            waits.count(key),
            waits.shortest_objective(key),
            round(self._unserved.unserved_seconds(key, now), 1),
        )

    def _slot_demand_of(
        self, key: tuple[str, str, str], now: float
    ) -> placement_messages.SlotDemand:
        waits = self._model_waits
        return placement_messages.SlotDemand(
            *key,
            waits.most_urgent_rank(key, self._demand.rank(key)),
            waits.longest_patience(key, now),
            round(self._view.run_seconds(key[1]), 1),
        )

    def _on_target_found(self, work: admission.AdmittedRequest) -> None:
        self._unserved.record_service(
            (work.service.name, work.model, work.adapter)
        )

    def _report_missing(
        self,
        work: admission.AdmittedRequest,
        origin: stream_origins.StreamOrigin | None,
    ) -> Callable[[], None]:
        """Reports to the leader that a request waits for a model.

        Args:
            work: The request.
            origin: Where its stream began; None if it begins one.

        Returns:
            A function to call when the request no longer waits.
        """
        if origin is not None:
            return self._report_bound(work, origin)
        key = (work.service.name, work.model, work.adapter)
        now = clock.now()
        self._unserved.record_miss(key, now)
        wait = model_waits.Wait(
            rank=sending.priority(work),
            objective=work.route.objective,
            until=queue_deadlines.target_wait_deadline(
                route=work.route,
                arrived_at=work.arrived_at,
                last_sent_at=0.0,
                deadline=work.deadline,
            ),
        )
        if self._model_waits.add(key, wait):
            # Sent immediately: waiting for the next renewal would take a third
            # of a second.
            rate = self._demand.rates(now).get(key, 0.0)
            slot_demand = ()
            if key[0] in self._slot_bound_services:
                slot_demand = (self._slot_demand_of(key, now),)
            self._send_to_leader(
                placement_messages.Missing(
                    host=self._settings.name,
                    demand=(self._demand_of(key, rate, now),),
                    slot_demand=slot_demand,
                )
            )

        def stop() -> None:
            self._model_waits.remove(key, wait)

        return stop

    def _report_bound(
        self,
        work: admission.AdmittedRequest,
        origin: stream_origins.StreamOrigin,
    ) -> Callable[[], None]:
        """Reports that a resumed stream waits for a model at its version."""
        if origin.software is None:
            return lambda: None
        key = (work.service.name, origin.software, work.model, work.adapter)
        waiting = self._waiting_bound.setdefault(key, [])
        waiting.append(work.route.objective)
        if len(waiting) == 1:
            message = placement_messages.Missing(
                host=self._settings.name,
                demand=(),
                bound_demand=(_bound_demand(key, waiting),),
            )
            self._send_to_leader(message)

        def stop() -> None:
            waiting.remove(work.route.objective)
            if not waiting:
                self._waiting_bound.pop(key, None)

        return stop

    async def _query_sole_software(
        self, service: str, seconds: float, is_resumable: bool
    ) -> str | None:
        """Asks the leader for the only software version of a service.

        None if there were several in the given seconds, or if the leader does
        not know or does not answer.
        """
        answer = await self._watch.request(
            site_messages.AskSoftware(
                service=service, seconds=seconds, is_resumable=is_resumable
            ),
            seconds=_SOFTWARE_ANSWER_SECONDS,
        )
        match answer:
            case site_messages.ToldSoftware(
                versions=(software,), is_complete=True
            ):
                return software
        return None

    def _send_to_leader(self, message: site_messages.Message) -> None:
        self._run_in_background(self._watch.send(message))

    def _run_in_background(
        self, coroutine: Coroutine[object, object, None]
    ) -> None:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


def _bound_demand(
    key: tuple[str, str, str, str], objectives: Sequence[float]
) -> placement_messages.BoundDemand:
    return placement_messages.BoundDemand(
        *key, len(objectives), min(objectives)
    )


def _without_unusable(news: site_messages.News) -> site_messages.News:
    """Returns an update without the targets that this host cannot use.

    A leader of another build may list them.
    """
    usable = []
    for target in news.targets:
        problem = registration_check.find_problem(target.registration)
        if problem:
            logs.warn(
                "target_ignored",
                target=target.registration.name[:64],
                why=problem,
            )
        else:
            usable.append(target)
    if len(usable) == len(news.targets):
        return news
    return msgspec.structs.replace(news, targets=tuple(usable))
