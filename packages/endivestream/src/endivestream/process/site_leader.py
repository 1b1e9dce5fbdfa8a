"""Leader of a site: tables of hosts and targets, team credit, planner lease.

The leader holds the tables of entry hosts and targets, the teams' credit and
the planner lease manager, and pushes table updates and configuration to entry
hosts. The tables are soft state: those of a new leader fill from the renewals
of entry hosts and the reports of targets, and they are marked as incomplete
until every healthy one can have reported. The configuration is in the log.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Iterable
import math
import typing

import msgspec

from endivestream import clock
from endivestream import limit_messages
from endivestream import logs
from endivestream import loop_meter
from endivestream import messages
from endivestream import placement_messages
from endivestream import quarantine_messages
from endivestream import report_messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import addresses
from endivestream.connection import registration_check
from endivestream.connection import registry as registry_lib
from endivestream.connection import software_history
from endivestream.process import configuration_manager
from endivestream.process import confirmations as confirmations_lib
from endivestream.process import control as control_lib
from endivestream.process import credit_allocator as credit_allocator_lib
from endivestream.process import departure_manager
from endivestream.process import entry_host_sessions
from endivestream.process import lease_recorder
from endivestream.process import limited_sends
from endivestream.process import membership_manager as membership_manager_lib
from endivestream.process import planner_lease_manager
from endivestream.process import quarantine_manager
from endivestream.process import rollouts as rollouts_lib
from endivestream.process import site_settings
from endivestream.process import table_updates
from endivestream.process.software import version_recorder
from endivestream.request import repeats as repeats_lib
from endivestream.request.hedging import limit as hedge_limit
from endivestream.version import document as document_lib
from endivestream.version import evacuations as evacuations_lib
from endivestream.version import state as state_lib

_SWEEP_INTERVAL_SECONDS = 0.1
# Minimum time between pushes of entry hosts' reports. Callers' lists are older
# than that, and each push is a frame to every host.
_HOST_REPORT_SECONDS = 1.0
# A target is silent after this many report intervals without a report: one
# report may be lost and the next one late.
_SILENT_TARGET_INTERVALS = 2.5
# A target without a report for this long is removed from the table. The time
# is long because the target may still serve hosts that reach it although its
# reports do not reach the leader.
_TARGET_EXPIRY_SECONDS = 20.0
# A voter that is silent for this long is replaced by a learner that has caught
# up with the log.
_REPLACE_VOTER_SECONDS = 1.5


class SiteLeader:
    """The leader's state and message handlers for one term of leadership."""

    def __init__(
        self,
        *,
        settings: site_settings.SiteSettings,
        leader_context: control_lib.LeaderContext,
        meter: loop_meter.LoopMeter | None = None,
        software_counts: collections.Counter[str] | None = None,
    ) -> None:
        """Initializes a leader that has not started.

        Args:
            settings: Settings of the host.
            leader_context: The replica and its link server.
            meter: Meter of the event loop.
            software_counts: Counts decisions on software versions, over all
                terms of this host.
        """
        self._settings = settings
        self._meter = meter or loop_meter.LoopMeter()
        self._replicator = leader_context.replicator
        self._started_at = clock.now()
        self._is_table_complete = False
        # Replaced by the services of the configuration once there is one.
        self._registry = registry_lib.Registry(
            services=(),
            rival_silence=_SILENT_TARGET_INTERVALS * settings.report,
        )
        for (
            name,
            started_at,
        ) in leader_context.replicator.state.departures.start_times_ms.items():
            self._registry.deregister(name, self._started_at, started_at)
        announcements = leader_context.replicator.state.departures.announcements
        for name, announcement in announcements.items():
            self._registry.announce(
                name,
                announcement.started_at_ms,
                announcement.report_number,
                self._started_at,
            )
        self._software_history = software_history.SoftwareHistory()
        self._version_recorder = version_recorder.VersionRecorder(
            replicator=leader_context.replicator,
            known_since=self._started_at + self._table_completion_seconds,
            sessions=lambda: self._registry.sessions,
            on_targets_changed=self._targets_changed,
            counts=(
                collections.Counter()
                if software_counts is None
                else software_counts
            ),
        )
        self._silent_targets: set[str] = set()
        self._sessions = entry_host_sessions.Sessions(settings=settings)
        self._live_hosts: tuple[site_messages.EntryHost, ...] = ()
        self._reports_recorded_at = -math.inf
        self._credit_allocator = credit_allocator_lib.CreditAllocator()
        self._retry_budgets: dict[str, repeats_lib.SharedRepeatBudget] = {}
        self._hedge_shares = hedge_limit.SharedShares(
            window=settings.bounds.repeat_window
        )
        self._hedge_slots = hedge_limit.SharedSlots(
            now=self._started_at, lease=settings.lease_seconds
        )
        self._limited_sends = limited_sends.LimitedSends(
            now=self._started_at,
            registry=self._registry,
            on_limits_changed=self._limits_changed,
        )
        self._membership_manager = membership_manager_lib.MembershipManager(
            replicator=leader_context.replicator,
            wanted=settings.voters,
            replace_seconds=_REPLACE_VOTER_SECONDS,
            superseded_seconds=_REPLACE_VOTER_SECONDS,
        )
        self._lease_manager = planner_lease_manager.PlannerLeaseManager(
            host=settings.host_identity,
            replicator=leader_context.replicator,
            holder_pause_seconds=settings.bounds.lease,
            sessions=lambda: self._registry.sessions,
            on_targets_changed=self._placements_changed,
        )
        # Version of the configuration that has been encoded, and its bytes.
        self._encoded = (-1, msgspec.Raw())
        self._tasks: list[asyncio.Task[None]] = []
        self._push = leader_context.push
        self._push_tasks: set[asyncio.Task[None]] = set()
        self._loads_pushed_at = self._started_at
        self._table_updates = table_updates.TableUpdates(
            term=leader_context.replicator.term,
            push=leader_context.push,
            peers=lambda: self._sessions.peers,
            direct_peers=lambda: self._sessions.direct_peers(clock.now()),
            table_entry=self._table_entry,
            full_table=self._full_table,
            rate_limits=lambda names: self._limited_sends.records(
                clock.now(), names
            ),
        )
        self._quarantine = quarantine_manager.QuarantineManager(
            term=leader_context.replicator.term,
            push=self._table_updates.push_quarantine,
        )
        self._confirmations = confirmations_lib.Confirmations(
            lease=settings.lease_seconds,
            former_leases=leader_context.former_leases,
            progress=rollouts_lib.Progress(
                version=leader_context.replicator.state.document.version,
                evacuations=self._evacuations.revision,
            ),
        )
        self._lease_recorder = lease_recorder.LeaseRecorder(
            replicator=leader_context.replicator,
            lease=settings.lease_seconds,
            lease_ends=lambda: self._confirmations.lease_ends,
        )
        self._configurations = configuration_manager.ConfigurationManager(
            replicator=leader_context.replicator,
            confirmations=self._confirmations,
            bounds=settings.bounds,
            push_document=self._table_updates.push_document,
            push_evacuations=self._table_updates.push_evacuations,
        )
        self._departures = departure_manager.DepartureManager(
            registry=self._registry,
            replicator=leader_context.replicator,
            confirmations=self._confirmations,
            bound=settings.bounds.drain,
            position=lambda: self._table_updates.position,
            on_targets_changed=self._targets_changed,
        )

    @property
    def _document(self) -> document_lib.Document | None:
        return self._replicator.state.document.current

    @property
    def _evacuations(self) -> evacuations_lib.EvacuationRecord:
        return self._replicator.state.evacuations.record

    def start(self) -> None:
        """Starts leading with the replicated state as it is now."""
        if self._document is not None:
            self._set_document(self._document, start_full=False)
        self._lease_recorder.start()
        self._version_recorder.start()
        self._membership_manager.start()
        self._table_updates.start()
        self._tasks = [tasks.start_restarting(self._sweep, "sweep")]

    async def close(self) -> None:
        """Stops; calls that wait for hosts are answered as by no leader."""
        self._confirmations.close()
        await self._lease_recorder.close()
        await self._version_recorder.close()
        await tasks.cancel((*self._tasks, *self._push_tasks))
        await self._quarantine.close()
        await self._table_updates.close()
        await self._membership_manager.close()

    def applied(
        self, command: state_lib.Command, result: state_lib.Result
    ) -> None:
        """Pushes a committed configuration or evacuation to entry hosts."""
        match command, result:
            case (
                document_lib.ApplyDocument(document=document),
                document_lib.DocumentApplied(changed=True),
            ):
                self._set_document(document, start_full=True)
                self._configurations.record_document(document)
            case (
                evacuations_lib.SetEvacuation(domain=domain),
                evacuations_lib.EvacuationSet(changed=True, record=record),
            ):
                if domain not in record.domains:
                    self._limited_sends.assume_cold(domain, clock.now())
                self._configurations.record_evacuations(domain, record)

    def _set_document(
        self, document: document_lib.Document, *, start_full: bool
    ) -> None:
        self._registry.set_services([each.name for each in document.services])
        self._limited_sends.set_services(document.services)
        self._version_recorder.set_resumable_services(
            document.resumable_services
        )
        self._credit_allocator.set_teams(
            document.teams, clock.now(), start_full=start_full
        )

    async def handle(
        self, peer: bytes, message: messages.Message
    ) -> messages.Message | None:
        """Handles a message for the leader and returns the answer, if any."""
        match message:
            case site_messages.Renew():
                lease_end = await self._lease_recorder.admit(
                    entry_host_sessions.lease_holder(message.host)
                )
                if self._confirmations.is_closed:
                    # Another leader role has begun, maybe of this host.
                    return messages.NotLeader(address="")
                return self._handle_renewal(peer, message, lease_end)
            case limit_messages.AskCredit(host=host, credit_requests=requests):
                grants = tuple(
                    self._grant_credit(host, request) for request in requests
                )
                return limit_messages.GiveCredit(grants=grants)
            case limit_messages.AskRepeat(service=service):
                return self._grant_retry(service)
            case limit_messages.AskHedge():
                return self._grant_hedge(message)
            case limit_messages.EndHedge(scope=scope, grant=grant):
                self._hedge_slots.release(scope, grant)
                return None
            case limit_messages.AskSend():
                return self._grant_send(message)
            case limit_messages.CountSend(target=target):
                self._limited_sends.count_send(target, clock.now())
                return None
            case site_messages.Confirm(host=host):
                session = self._sessions.find(host)
                if session is not None:
                    self._record_host_state(
                        session,
                        rollouts_lib.Progress(
                            message.version,
                            message.evacuations,
                            message.position,
                        ),
                    )
                return None
            case quarantine_messages.ProcessEnded():
                return await self._record_process_end(message)
            case quarantine_messages.AskTrial(key=key):
                if not self._replicator.is_leader:
                    return messages.NotLeader(address="")
                return await self._quarantine.grant_trial(key)
            case quarantine_messages.AskAttempt():
                if not self._replicator.is_leader:
                    return messages.NotLeader(address="")
                return await self._quarantine.grant_attempt(message)
            case quarantine_messages.HoldAttempts(attempts=attempts):
                self._quarantine.hold_attempts(attempts)
                return quarantine_messages.EvidenceRecorded()
            case quarantine_messages.ReleaseAttempt():
                self._quarantine.release_attempt(message)
                return quarantine_messages.EvidenceRecorded()
            case quarantine_messages.ReadQuarantine():
                entries = self._quarantine.entries
                return quarantine_messages.QuarantineRead(entries=entries)
            case quarantine_messages.SetQuarantine():
                return await self._set_quarantine(message)
            case quarantine_messages.Answered():
                return await self._quarantine.record_answered(message)
            case placement_messages.Missing():
                self._lease_manager.forward_missing_models(message)
                return None
            case placement_messages.AskSeat():
                return await self._lease_manager.handle_lease_request(message)
            case placement_messages.TellNotices():
                self._lease_manager.store_placement_updates(message)
                return site_messages.Registered()
            case site_messages.Apply(document=document):
                return await self._configurations.apply(document)
            case site_messages.AwaitVersion(version=version):
                return await self._configurations.confirm(version)
            case site_messages.AskVersion():
                current = self._replicator.state.document
                return site_messages.ToldVersion(version=current.version)
            case site_messages.AskSoftware():
                return self._report_software(message)
            case site_messages.ReadDocument():
                current = self._document
                source = current.source if current else b""
                return site_messages.DocumentRead(source=source)
            case site_messages.ReadTargets():
                return self._count_targets()
            case site_messages.Evacuate(command=command):
                return await self._configurations.evacuate(command)
            case site_messages.ReadEvacuations():
                return site_messages.EvacuationsRead(record=self._evacuations)
            case site_messages.Register(registration=registration):
                if not self._is_usable(registration):
                    return site_messages.Registered()
                # The first report for an unknown service may be of another
                # writer, under the id of a target that reports later.
                is_recorded = self._registry.is_configured(
                    registration
                ) or registration.started_at_ms == self._registry.started_at_ms(
                    registration.name
                )
                return await self._departures.handle_report(
                    registration,
                    is_accepted=self._register(registration),
                    is_recorded=is_recorded,
                )
            case report_messages.RegisterAll():
                return self._register_all(message)
            case site_messages.Deregister(name=name):
                return await self._departures.deregister(name)
            case messages.Join(member=member):
                self._membership_manager.join(member)
                return messages.Noted()
            case _:
                logs.warn("unexpected_message", message=type(message).__name__)
        return None

    async def _record_process_end(
        self, report: quarantine_messages.ProcessEnded
    ) -> quarantine_messages.EvidenceRecorded | messages.NotLeader:
        if not self._replicator.is_leader:
            return messages.NotLeader(address="")
        return await self._quarantine.record_end(report)

    async def _set_quarantine(
        self, decision: quarantine_messages.SetQuarantine
    ) -> quarantine_messages.QuarantineRead | messages.NotLeader:
        if not self._replicator.is_leader:
            return messages.NotLeader(address="")
        return await self._quarantine.set_key(
            decision.key, is_quarantined=decision.is_quarantined
        )

    def _grant_retry(
        self, service: str
    ) -> limit_messages.GiveRepeat | messages.NotLeader:
        if not self._replicator.is_leader:
            # Another leader may already grant retries from the same allowance.
            return messages.NotLeader(address="")
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._settings.bounds
            budget = self._retry_budgets[service] = (
                repeats_lib.SharedRepeatBudget(
                    window=bounds.repeat_window,
                    slack=bounds.repeat_slack,
                    now=self._started_at,
                )
            )
        granted = budget.spend(clock.now(), hosts=len(self._sessions))
        return limit_messages.GiveRepeat(granted=granted)

    def _grant_hedge(
        self, message: limit_messages.AskHedge
    ) -> limit_messages.GiveHedge | messages.NotLeader:
        if not self._replicator.is_leader:
            # Another leader may already grant slots of the same limit.
            return messages.NotLeader(address="")
        now = clock.now()
        if message.ratio > 0:
            self._hedge_shares.add(
                message.route, message.ratio * message.arrivals, now
            )
            if not self._hedge_shares.spend(message.route, now):
                return limit_messages.GiveHedge(
                    granted=False, is_over_ratio=True
                )
        granted = not message.limit or self._hedge_slots.take(
            message.scope,
            message.grant,
            limit=message.limit,
            hosts=len(self._sessions),
            seconds=message.seconds,
            now=now,
        )
        return limit_messages.GiveHedge(granted=granted)

    def _grant_send(
        self, message: limit_messages.AskSend
    ) -> limit_messages.GiveSend | messages.NotLeader:
        if not self._replicator.is_leader:
            # Another leader may already grant sends to the same target.
            return messages.NotLeader(address="")
        return self._limited_sends.grant(
            message, hosts=len(self._sessions), now=clock.now()
        )

    def _limits_changed(
        self, targets: Iterable[str], rates: dict[str, float]
    ) -> None:
        """Forwards changed rate limits to the planner and entry hosts."""
        self._lease_manager.set_rate_limits(rates)
        listed = self._listed_targets(targets)
        if listed:
            self._table_updates.record_targets(listed)

    def _placements_changed(self, targets: Iterable[str]) -> None:
        """Forwards changed placement updates to the planner and entry hosts."""
        listed = self._listed_targets(targets)
        if listed:
            self._targets_changed(listed)

    def _listed_targets(self, names: Iterable[str]) -> list[str]:
        """Returns those of some targets that the table lists.

        An update would remove the others from hosts that list them from a
        former leader: those that have not reported to this leader yet, and
        those whose version waits for its entry.
        """
        sessions = ((name, self._registry.find(name)) for name in names)
        return [
            name
            for name, session in sessions
            if session is not None
            and self._version_recorder.is_listed(session.registration)
        ]

    def _grant_credit(
        self, host: str, request: limit_messages.CreditRequest
    ) -> limit_messages.Grant:
        need = request.need
        grant = self._credit_allocator.request_credit(
            host,
            need,
            clock.now(),
            timely_within=request.timely_within,
            max_wait_seconds=request.max_wait_seconds,
        )
        if grant is None:
            # This leader has no limit for the team (yet): credit is not short.
            grant = limit_messages.Grant(need.team, need.wanted, 0.0, 0.0)
        return grant

    # Targets.

    def _register(self, registration: registry_lib.Registration) -> bool:
        """Records a target's report; returns False if it is outdated."""
        changed = self._record_report(registration)
        if changed:
            self._targets_changed(changed)
        return changed is not None

    def _register_all(
        self, message: report_messages.RegisterAll
    ) -> report_messages.RegisteredAll:
        """Records reports of targets, and all changes in them at once."""
        changed: list[str] = []
        unknown: list[str] = []
        for registration in message.registrations:
            if not self._is_usable(registration):
                continue
            if registration.draining:
                # Would have to wait until the departure is acknowledged.
                unknown.append(registration.name)
                continue
            self._record_running(registration, changed, is_unchanged=False)
        for report in message.unchanged:
            completed = self._registry.complete(
                report.name,
                started_at_ms=report.started_at_ms,
                report_number=report.report_number,
                basis=report.basis,
            )
            if completed is None:
                unknown.append(report.name)
                continue
            self._record_running(completed, changed, is_unchanged=True)
        if changed:
            self._targets_changed(changed)
        return report_messages.RegisteredAll(unknown=tuple(unknown))

    def _is_usable(self, registration: registry_lib.Registration) -> bool:
        """Returns whether a report may be listed; a control host accepts more.

        Logs why if not.
        """
        problem = registration_check.find_problem(registration)
        if not problem and self._registry.is_foreign(registration):
            problem = (
                f"service {registration.service!r} is not configured, and "
                f"another target has id or address {registration.address}"
            )
        if problem:
            logs.warn(
                "registration_ignored",
                target=registration.name[:64],
                why=problem,
            )
        return not problem

    def _record_running(
        self,
        registration: registry_lib.Registration,
        changed: list[str],
        *,
        is_unchanged: bool,
    ) -> None:
        """Records the report of a target that does not drain.

        Args:
            registration: The report.
            changed: Changed targets are appended to it.
            is_unchanged: Whether the table has the same content already.
        """
        recorded = self._record_report(registration, is_unchanged=is_unchanged)
        if recorded is not None:
            self._departures.cancel(registration.name)
            changed += recorded

    def _record_report(
        self,
        registration: registry_lib.Registration,
        *,
        is_unchanged: bool = False,
    ) -> list[str] | None:
        """Records a target's report, without telling hosts of changes.

        Args:
            registration: The report.
            is_unchanged: Whether the table has the same content already.

        Returns:
            The targets that changed for hosts; None if the report is outdated.
        """
        now = clock.now()
        previous = self._registry.find(registration.name)
        changed = self._registry.add(registration, now)
        if not changed:
            return None
        has_unproved_end = self._quarantine.has_unproved_end(registration)
        if has_unproved_end:
            self._quarantine.record_report(registration)
        self._software_history.record(registration, now)
        self._version_recorder.record_report(registration, now)
        self._lease_manager.forward_report(registration)
        is_colder = self._limited_sends.record_report(registration, now)
        if registration.name in self._silent_targets:
            self._silent_targets.discard(registration.name)
        elif (
            previous is not None
            and not is_colder
            # Entry hosts bound targets that may have ended until these report.
            and not (has_unproved_end and self._settings.has_slow_readers)
            and (
                is_unchanged
                or _is_same_for_hosts(previous.registration, registration)
            )
        ) or self._is_unlisted(previous, registration):
            changed.remove(registration.name)
        if (
            previous is None
            or previous.registration.draining != registration.draining
        ):
            logs.event(
                "target",
                target=registration.name,
                service=registration.service,
                address=registration.address,
                software=registration.software,
                draining=registration.draining,
                models=",".join(loaded.model for loaded in registration.loaded),
                in_memory=",".join(registration.in_memory),
                on_disk=",".join(registration.on_disk),
            )
        return changed

    def _is_unlisted(
        self,
        previous: registry_lib.Session | None,
        registration: registry_lib.Registration,
    ) -> bool:
        """Returns whether a report changes nothing as its target is held."""
        if self._version_recorder.is_listed(registration):
            return False
        if previous is not None:
            return not self._version_recorder.is_listed(previous.registration)
        return not self._is_removed_while_held(registration)

    def _is_removed_while_held(
        self, registration: registry_lib.Registration
    ) -> bool:
        """Returns whether hosts remove a target whose version waits.

        Entry hosts may list it from a former leader, perhaps the process
        before a restart at this version. Without a recorded version of its
        service they keep it: the log is of an earlier build, and all targets
        would leave the table until the commit.
        """
        return not self._version_recorder.is_listed(registration) and bool(
            self._replicator.state.software_versions.versions(
                registration.service
            )
        )

    def _report_software(
        self, message: site_messages.AskSoftware
    ) -> site_messages.ToldSoftware | messages.NotLeader:
        if not self._replicator.is_leader:
            # The next leader may know further targets.
            return messages.NotLeader(address="")
        oldest = clock.now() - message.seconds
        known_since = self._started_at + self._table_completion_seconds
        return self._version_recorder.answer(
            message,
            reported=self._software_history.versions(message.service, oldest),
            has_all_reports=known_since <= oldest
            and self._software_history.covers(message.seconds),
        )

    def _count_targets(
        self,
    ) -> site_messages.TargetsRead | messages.NotLeader:
        if not self._replicator.is_leader:
            return messages.NotLeader(address="")
        services = collections.Counter(
            session.registration.service
            for session in self._registry.sessions.values()
            if not session.registration.draining
        )
        return site_messages.TargetsRead(
            services=dict(services) if self._is_table_complete else None
        )

    def _table_entry(self, name: str) -> site_messages.Target | None:
        session = self._registry.find(name)
        if session is None or not self._version_recorder.is_listed(
            session.registration
        ):
            return None
        # Only placement uses the location of weights; leaving it out makes
        # pushes smaller.
        registration = msgspec.structs.replace(
            session.registration,
            in_memory=(),
            on_disk=(),
            warmup_seconds=self._limited_sends.cold_seconds(
                session.registration, clock.now()
            ),
        )
        placement_update = self._lease_manager.placement_update(
            registration.name
        )
        return site_messages.Target(
            registration=registration,
            unloading=placement_update.unloading,
            adapters=placement_update.adapters,
            reports_overdue=registration.name in self._silent_targets,
            loading=placement_update.loading,
            is_unrecorded=not self._version_recorder.is_recorded(registration),
        )

    def _targets_changed(self, names: Iterable[str]) -> None:
        """Records changes of some targets for entry hosts and the planner."""
        names = list(names)
        self._silent_targets -= {
            n for n in names if self._registry.find(n) is None
        }
        self._lease_manager.set_targets(
            self._silent_targets, complete=self._is_table_complete
        )
        self._table_updates.record_targets(names)

    def _full_table(self) -> table_updates.TableSnapshot:
        sessions = self._registry.sessions
        targets = map(self._table_entry, sessions)
        held = (
            name
            for name, session in sessions.items()
            if self._is_removed_while_held(session.registration)
        )
        return table_updates.TableSnapshot(
            targets=tuple(t for t in targets if t is not None),
            removed=(*self._registry.departed, *held),
            complete=self._is_table_complete,
        )

    # Entry hosts.

    def _handle_renewal(
        self, peer: bytes, message: site_messages.Renew, lease_end: float
    ) -> site_messages.Renewed | messages.NotLeader:
        now = clock.now()
        host = message.host.name
        previous = self._sessions.find(host)
        session = self._sessions.renew(peer, message, now)
        if previous is not None:
            self._credit_allocator.clear_teams(
                host, previous.reported_teams - session.reported_teams
            )
        self._record_host_state(
            session,
            rollouts_lib.Progress(
                message.version, message.evacuations, message.position
            ),
        )
        # Before anything is pushed to this host: it may have limits that were
        # reported only to the previous leader.
        self._limited_sends.merge(message.limits, now)
        self._lease_manager.forward_demand(message)
        self._quarantine.restore(message)
        grants = [
            self._credit_allocator.handle_report(host, need, now)
            for need in message.needs
        ]
        return self._renewal_answer(session, message, grants, lease_end)

    def _renewal_answer(
        self,
        session: entry_host_sessions.Session,
        message: site_messages.Renew,
        grants: list[limit_messages.Grant | None],
        lease_end: float,
    ) -> site_messages.Renewed | messages.NotLeader:
        if not self._replicator.is_leader:
            # Another leader may have committed a newer configuration.
            return messages.NotLeader(address="")
        document = self._document
        version = document.version if document else 0
        position = message.position
        update = self._table_updates.update_since(position)
        empty_update = site_messages.News(
            position=position, base_position=position
        )
        if message.evacuations != self._evacuations.revision:
            update = msgspec.structs.replace(
                update or empty_update, evacuations=self._evacuations
            )
        quarantine_update = self._quarantine.update_since(message.quarantine)
        if quarantine_update is not None:
            update = msgspec.structs.replace(
                update or empty_update, quarantine=quarantine_update
            )
        now = clock.now()
        grant = self._confirmations.renew_lease(
            session.lease_holder,
            end=lease_end,
            is_pushed=session.is_known,
            is_sent=session.is_document_in_flight(version, now),
        )
        if (
            message.version < version
            and grant == confirmations_lib.LeaseGrant.LEASE_AND_CONFIGURATION
        ):
            update = msgspec.structs.replace(
                update or empty_update, document=self._encoded_document()
            )
            session.record_document_sent(version, now)
        members = self._replicator.replica.members.all
        controls = tuple(member.address for member in members)
        if addresses.digest(controls) == message.controls:
            controls = ()
        is_relayed = self._sessions.relay_of(session, now)
        loads = (
            None if is_relayed else self._lease_manager.loads(message.host.name)
        )
        return site_messages.Renewed(
            seconds=(
                0.0
                if grant == confirmations_lib.LeaseGrant.NOTHING
                else lease_end - now
            ),
            version=version,
            table_update=update,
            grants=tuple(grant for grant in grants if grant is not None),
            controls=controls,
            loads=loads,
            interval_seconds=self._sessions.renew_seconds,
        )

    def _encoded_document(self) -> document_lib.Document | None:
        """Returns the configuration, encoded once for the answers to all hosts.

        Raw bytes stand for the value in a message that is encoded.
        """
        document = self._document
        if document is None:
            return None
        version, encoded = self._encoded
        if version != document.version:
            encoded = msgspec.Raw(
                msgspec.msgpack.encode(document_lib.without_source(document))
            )
            self._encoded = document.version, encoded
        return typing.cast(document_lib.Document, encoded)

    def _record_host_state(
        self,
        session: entry_host_sessions.Session,
        progress: rollouts_lib.Progress,
    ) -> None:
        """Records which configuration, table and evacuations a host uses."""
        session.position = max(session.position, progress.position)
        self._confirmations.record_progress(session.lease_holder, progress)

    def _update_live_hosts(self, now: float) -> None:
        """Records a table change if the set of live entry hosts changed."""
        self._hedge_slots.record_hosts(len(self._sessions), now)
        live_hosts = self._sessions.live_hosts(now)
        if self._is_table_complete and live_hosts != self._live_hosts:
            self._live_hosts = live_hosts
            self._table_updates.record_entry_hosts(live_hosts)
            self._reports_recorded_at = -math.inf

    def _update_host_reports(self, now: float) -> None:
        """Records changed reports of entry hosts, at a bounded rate.

        Those of a new host are recorded together with the list of hosts:
        entry hosts keep reports only of hosts in their list.
        """
        if (
            not self._is_table_complete
            or now < self._reports_recorded_at + _HOST_REPORT_SECONDS
        ):
            return
        self._reports_recorded_at = now
        self._table_updates.record_host_reports(
            self._sessions.live_reports(now)
        )

    # Periodic work.

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)
            with self._meter.span("sweep"):
                self._sweep_once(clock.now())

    def _sweep_once(self, now: float) -> None:
        self._expire_hosts(now)
        self._confirmations.drop_old()
        self._lease_recorder.update(self._sessions.silence)
        self._version_recorder.update(now)
        self._quarantine.drop_old()
        self._update_silent_targets(now)
        if (
            not self._is_table_complete
            and now - self._started_at > self._table_completion_seconds
        ):
            self._is_table_complete = True
            self._table_updates.require_full_table()
            self._lease_manager.set_targets(self._silent_targets, complete=True)
        self._update_live_hosts(now)
        self._update_host_reports(now)
        self._push_loads(now)

    def _push_loads(self, now: float) -> None:
        """Pushes the loads of all targets to relays that have followers."""
        if now < self._loads_pushed_at + self._settings.renew_seconds:
            return
        self._loads_pushed_at = now
        peers = self._sessions.relay_peers(now)
        if peers:
            loads = site_messages.Loads(loads=self._lease_manager.total_loads())
            task = tasks.start(self._push(peers, loads), "push_loads")
            self._push_tasks.add(task)
            task.add_done_callback(self._push_tasks.discard)

    @property
    def _table_completion_seconds(self) -> float:
        """Time after which every healthy host and target has reported."""
        return 1.5 * self._settings.report + self._settings.renew_seconds

    def _expire_hosts(self, now: float) -> None:
        for name in self._sessions.expire(now):
            self._credit_allocator.remove_host(name)
            self._lease_manager.remove_host(name)

    def _update_silent_targets(self, now: float) -> None:
        silence = _SILENT_TARGET_INTERVALS * self._settings.report
        changed = self._registry.expire(now, silence=_TARGET_EXPIRY_SECONDS)
        sessions = self._registry.sessions
        known_names = {*sessions, *self._registry.departed}
        self._table_updates.retain_targets(known_names)
        self._departures.retain(known_names)
        self._limited_sends.retain(sessions.keys(), now)
        for name, session in sessions.items():
            if (
                now - session.received_at > silence
                and name not in self._silent_targets
            ):
                logs.warn("target_silent", target=name)
                self._silent_targets.add(name)
                changed.append(name)
        if changed:
            self._targets_changed(changed)


def _is_same_for_hosts(
    before: registry_lib.Registration, after: registry_lib.Registration
) -> bool:
    """Whether two registrations differ in nothing that entry hosts use."""
    ignored = {
        "report_number": 0,
        "warmup_seconds": 0.0,
        "in_memory": (),
        "on_disk": (),
    }
    is_same = msgspec.structs.replace(
        before, **ignored
    ) == msgspec.structs.replace(after, **ignored)
    return is_same and (before.warmup_seconds > 0) == (after.warmup_seconds > 0)
