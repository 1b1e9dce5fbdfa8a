"""A control host of a site: a replica of the log and its external calls.

Every control host accepts calls of operators and targets and forwards them to
the leader, so callers need not find the leader.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import pathlib

import zmq.asyncio

from endivestream import clock
from endivestream import findings
from endivestream import logs
from endivestream import loop_meter
from endivestream import quarantine_messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import engines as engines_lib
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib
from endivestream.process import control as control_lib
from endivestream.process import leader_calls
from endivestream.process import listeners as listeners_lib
from endivestream.process import planner_lease_holder
from endivestream.process import report_sender as report_sender_lib
from endivestream.process import settings as settings_lib
from endivestream.process import site_leader
from endivestream.process import site_metrics
from endivestream.process import site_settings
from endivestream.version import document as document_lib
from endivestream.version import evacuations as evacuations_lib
from endivestream.version import members as members_lib
from endivestream.version import storage as storage_lib

# Callers wait one second for a control host, longer for a large body, and then
# retry on another one.
_ANSWER_TIMEOUT_SECONDS = 0.9
_APPLY_TIMEOUT_SECONDS = 1.5
# Longest time for which a read waits for the one before it, so that a request
# without an answer does not take the time of those that follow.
_SHARED_READ_SECONDS = 0.1
# Time after which a leader that has not confirmed a change is asked again. A
# document that is not committed yet is sent again with it.
_CONFIRM_ATTEMPT_SECONDS = 1.2
# Interval between checks of a disk that is not writable.
_DISK_CHECK_INTERVAL_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class EvacuationConfirmed:
    """The change is committed, and in force within the promised bound."""

    record: evacuations_lib.EvacuationRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnknownDomain:
    """No such failure domain exists; nothing was changed."""

    message: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EvacuationUncertain:
    """No leader confirmed the change, which may or may not be committed."""


EvacuationAnswer = EvacuationConfirmed | UnknownDomain | EvacuationUncertain


class SiteControl:
    """One control host. Lives as long as the process."""

    def __init__(
        self,
        *,
        settings: site_settings.SiteSettings,
        codec: engines_lib.Codec,
        on_failed: Callable[[OSError], None],
    ) -> None:
        self._settings = settings
        self._context = zmq.asyncio.Context()
        self._meter = loop_meter.LoopMeter()
        self._software_counts: collections.Counter[str] = collections.Counter()
        self._pool = exchange_lib.Pool()
        self._listeners = listeners_lib.Listeners(resources=settings.resources)
        self._current_read: asyncio.Task[bytes | None] | None = None
        self._next_read: asyncio.Task[bytes | None] | None = None
        self._engines = engines_lib.Engines(pool=self._pool, codec=codec)
        self._control = control_lib.Control(
            settings=_control_settings(settings),
            context=self._context,
            pool=self._pool,
            on_failed=on_failed,
            leader_factory=self._create_leader_role,
            new_identity=_founder_identity(settings.peers)
            if settings.first_start
            else "",
            meter=self._meter,
        )
        self._leader_calls = leader_calls.LeaderCalls(call=self._control.call)
        self._report_sender = report_sender_lib.ReportSender(
            call=self._control.call
        )
        self._planner_lease_holder = planner_lease_holder.PlannerLeaseHolder(
            host=settings.host_identity,
            settings=settings,
            engines=self._engines,
            call=self._control.call,
            document=lambda: self._control.replicator.state.document.current,
            evacuated_domains=lambda: (
                self._control.replicator.state.evacuations.record.domains
            ),
            meter=self._meter,
        )
        self._metrics = site_metrics.ControlMetrics(
            leads=lambda: self._control.replicator.is_leader,
            term=lambda: self._control.replicator.term,
            index=lambda: self._control.replicator.index,
            voters=lambda: len(self._control.replicator.replica.members.voters),
            learners=lambda: len(
                self._control.replicator.replica.members.learners
            ),
            silent_voters=lambda: (
                self._control.replicator.replica.silent_voter_count
            ),
            leader_silence=lambda: (
                self._control.replicator.replica.seconds_since_leader
            ),
            version=lambda: self._control.replicator.state.document.version,
            departed=lambda: len(
                self._control.replicator.state.departures.start_times_ms
            ),
            unplaced=lambda: self._planner_lease_holder.unplaced_models,
            occupied=lambda: self._planner_lease_holder.occupied_engines,
            adapters_ahead=lambda: self._planner_lease_holder.adapters_ahead,
            reports=lambda: self._report_sender.counts,
            software_versions=lambda: len(
                self._control.replicator.state.software_versions
            ),
            software_complete=lambda: (
                self._control.replicator.state.software_versions.is_complete
            ),
            software_counts=lambda: self._software_counts,
            meter=self._meter,
        )
        self._metrics.add_listeners(self._listeners)

    @property
    def listeners(self) -> listeners_lib.Listeners:
        """The HTTP listeners of the process."""
        return self._listeners

    @property
    def metrics(self) -> site_metrics.ControlMetrics:
        """Metrics of this host; readable after `start`."""
        return self._metrics

    def _create_leader_role(
        self, leader_context: control_lib.LeaderContext
    ) -> control_lib.LeaderRole:
        return site_leader.SiteLeader(
            settings=self._settings,
            leader_context=leader_context,
            meter=self._meter,
            software_counts=self._software_counts,
        )

    async def start(self) -> None:
        """Reads the stored state, then joins the replication.

        Raises:
            storage.CorruptError: The stored data is damaged.
            OSError: The stored data cannot be read, or the address cannot be
                used.
        """
        await self._wait_until_writable()
        self._meter.start()
        founders = [
            members_lib.Member(_founder_identity(address), address, address)
            for address in self._settings.controls
        ]
        await self._control.start(
            form=self._settings.first_start
            and self._settings.peers in self._settings.controls,
            founders=founders,
        )
        self._planner_lease_holder.start()

    async def _wait_until_writable(self) -> None:
        """Waits until the disk is writable.

        A replica whose disk fails ends its process, because the durability of
        its writes is unknown. Restarted on a full disk, it would end again at
        its first entry, repeatedly. It waits here instead, while the other
        replicas continue.
        """
        folder = pathlib.Path(self._settings.data_folder)
        is_refused = False
        while True:
            try:
                await asyncio.to_thread(storage_lib.check_writable, folder)
            except OSError as error:
                if not is_refused:
                    logs.warn("disk_refuses", folder=folder, why=error)
                is_refused = True
                await asyncio.sleep(_DISK_CHECK_INTERVAL_SECONDS)
                continue
            if is_refused:
                logs.event("disk_writes_again", folder=folder)
            return

    async def close(self) -> None:
        """Transfers leadership and stops."""
        self._listeners.close()
        await tasks.cancel([self._next_read, self._current_read])
        await self._leader_calls.close()
        await self._report_sender.close()
        await self._planner_lease_holder.close()
        await self._control.close()
        await self._meter.close()
        self._pool.close()
        self._context.destroy(linger=0)

    def set_controls(self, controls: Sequence[str]) -> None:
        """Sets the control hosts named by changed settings."""
        self._control.set_controls(controls)

    async def apply(self, document: document_lib.Document) -> bool:
        """Commits a document through the leader; False if uncertain."""
        received_at = clock.now()
        logs.event(
            "configuration_received",
            version=document.version,
            routes=len(document.routes),
            bytes=len(document.source),
        )
        answer = await self._leader_calls.answer(
            ("configuration", document.version, document.source),
            lambda: self._configuration_message(document),
            seconds=_APPLY_TIMEOUT_SECONDS,
            longest_wait=self._longest_wait(self._settings.bounds.config),
            attempt_seconds=_CONFIRM_ATTEMPT_SECONDS,
        )
        is_applied = isinstance(answer, site_messages.Applied)
        logs.event(
            "configuration_answered"
            if is_applied
            else "configuration_unanswered",
            version=document.version,
            seconds=clock.now() - received_at,
        )
        if is_applied:
            self._metrics.observe_acknowledgement(
                "configuration", clock.now() - received_at
            )
        return is_applied

    def _configuration_message(
        self, document: document_lib.Document
    ) -> site_messages.Apply | site_messages.AwaitVersion:
        """Returns the message that asks for a document's acknowledgement.

        The leader's log contains what is committed here, so the document itself
        is not sent again.
        """
        committed = self._control.replicator.state.document.version
        if document.version <= committed:
            return site_messages.AwaitVersion(version=document.version)
        return site_messages.Apply(document=document)

    def _longest_wait(self, bound: float) -> float:
        """Returns for how long the leader may wait for hosts."""
        return max(0.0, self._settings.lease_seconds - bound)

    async def read(self) -> bytes | None:
        """Returns the source of the newest document; None if uncertain.

        Calls share a request to the leader that is sent after they began:
        each answer takes the memory of a whole document.
        """
        if self._next_read is None:
            self._next_read = tasks.start(
                self._read_after(self._current_read), "read_document"
            )
        return await asyncio.shield(self._next_read)

    async def _read_after(
        self, current: asyncio.Task[bytes | None] | None
    ) -> bytes | None:
        """Reads the document, after another request or a short wait for it."""
        if current is not None:
            await asyncio.wait([current], timeout=_SHARED_READ_SECONDS)
        self._current_read, self._next_read = self._next_read, None
        answer = await self._control.call(
            site_messages.ReadDocument(), seconds=_ANSWER_TIMEOUT_SECONDS
        )
        if isinstance(answer, site_messages.DocumentRead):
            return answer.source
        return None

    async def count_targets(self) -> Mapping[str, int] | None:
        """Returns the number of targets by service; None if uncertain."""
        answer = await self._control.call(
            site_messages.ReadTargets(), seconds=_ANSWER_TIMEOUT_SECONDS
        )
        if isinstance(answer, site_messages.TargetsRead):
            return answer.services
        return None

    async def set_evacuation(
        self, domain: str, *, evacuated: bool
    ) -> EvacuationAnswer:
        """Starts or ends the evacuation of a failure domain.

        Idempotent: a domain that is in the requested state already is left as
        it is.

        Args:
            domain: The failure domain.
            evacuated: Whether its targets get no more requests.
        """
        if domain not in self._settings.domains:
            message = findings.unknown_word(
                "failure domain", domain, self._settings.domains
            )
            return UnknownDomain(message=message)
        received_at = clock.now()
        deadline = received_at + _APPLY_TIMEOUT_SECONDS
        while (remaining := deadline - clock.now()) > 0:
            # The leader refuses the change if another one was made since its
            # revision was read, so a delayed message cannot undo that one.
            current = await self._control.call(
                site_messages.ReadEvacuations(), seconds=remaining
            )
            if not isinstance(current, site_messages.EvacuationsRead):
                break
            command = evacuations_lib.SetEvacuation(
                domain=domain,
                evacuated=evacuated,
                expected_revision=current.record.revision,
            )
            answer = await self._control.call(
                site_messages.Evacuate(command=command),
                seconds=max(0.0, deadline - clock.now()),
                attempt_seconds=_CONFIRM_ATTEMPT_SECONDS,
            )
            if not isinstance(answer, site_messages.EvacuationsRead):
                break
            if (domain in answer.record.domains) == evacuated:
                self._metrics.observe_acknowledgement(
                    "evacuation", clock.now() - received_at
                )
                return EvacuationConfirmed(record=answer.record)
        return EvacuationUncertain()

    async def read_evacuations(
        self,
    ) -> evacuations_lib.EvacuationRecord | None:
        """Returns the evacuated failure domains; None if uncertain."""
        answer = await self._control.call(
            site_messages.ReadEvacuations(), seconds=_ANSWER_TIMEOUT_SECONDS
        )
        if isinstance(answer, site_messages.EvacuationsRead):
            return answer.record
        return None

    async def read_quarantine(
        self,
    ) -> tuple[quarantine_messages.QuarantineEntry, ...] | None:
        """Returns suspects and quarantined keys; None if uncertain."""
        return await self._quarantine_entries(
            quarantine_messages.ReadQuarantine()
        )

    async def set_quarantine(
        self, key: str, *, is_quarantined: bool
    ) -> tuple[quarantine_messages.QuarantineEntry, ...] | None:
        """Quarantines a key, or drops the evidence against it.

        Args:
            key: The key, of the kinds in `request.crash_keys`.
            is_quarantined: Whether no request with it is sent.

        Returns:
            All suspects and quarantined keys after it; None if uncertain.
        """
        return await self._quarantine_entries(
            quarantine_messages.SetQuarantine(
                key=key, is_quarantined=is_quarantined
            )
        )

    async def _quarantine_entries(
        self,
        message: quarantine_messages.ReadQuarantine
        | quarantine_messages.SetQuarantine,
    ) -> tuple[quarantine_messages.QuarantineEntry, ...] | None:
        answer = await self._control.call(
            message, seconds=_ANSWER_TIMEOUT_SECONDS
        )
        if isinstance(answer, quarantine_messages.QuarantineRead):
            return answer.entries
        return None

    async def register(self, registration: registry_lib.Registration) -> bool:
        """Forwards a target's report; returns whether the leader has it."""
        if not registration.draining:
            return await self._report_sender.report(registration)
        message = site_messages.Register(registration=registration)
        name = registration.name
        self._report_sender.forget(name)
        process = ("departure", name, registration.started_at_ms)
        return await self._depart(name, process, message)

    async def deregister(self, name: str) -> bool:
        """Forwards a deregistration; returns whether the leader has it."""
        self._report_sender.forget(name)
        return await self._depart(
            name, ("removal", name), site_messages.Deregister(name=name)
        )

    async def _depart(
        self,
        target: str,
        departure: Hashable,
        message: site_messages.Register | site_messages.Deregister,
    ) -> bool:
        """Returns whether the leader acknowledges a departure in time."""
        received_at = clock.now()
        longest_wait = self._longest_wait(self._settings.bounds.drain)
        answer = await self._leader_calls.answer(
            departure,
            lambda: message,
            seconds=_ANSWER_TIMEOUT_SECONDS,
            longest_wait=longest_wait,
            # Longer than the wait for an answer, or the answer would find no
            # request.
            attempt_seconds=longest_wait + 1.0,
        )
        is_acknowledged = isinstance(answer, site_messages.Registered)
        logs.event(
            "departure_answered" if is_acknowledged else "departure_unanswered",
            target=target,
            seconds=clock.now() - received_at,
        )
        return is_acknowledged


def _founder_identity(address: str) -> str:
    """Returns the identity of a voter of a new system.

    All founders need each other's identities before they communicate. A host
    that lost its disk is never started as a founder again, so it gets a random
    identity and cannot vote under this one.
    """
    return f"founder-{address}"


def _control_settings(
    settings: site_settings.SiteSettings,
) -> settings_lib.Settings:
    """Returns the settings of the control role, for its log and links."""
    base = settings_lib.Settings()
    return dataclasses.replace(
        base,
        host=dataclasses.replace(
            base.host,
            name=settings.peers,
            domain=settings.domain,
            data_folder=settings.data_folder,
        ),
        peers=dataclasses.replace(
            base.peers,
            address=settings.peers,
            control=list(settings.controls),
            voters=settings.voters,
            silence_seconds=max(0.5, settings.election_seconds),
        ),
        timing=dataclasses.replace(
            base.timing, election_seconds=settings.election_seconds
        ),
    )
