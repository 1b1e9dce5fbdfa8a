"""Target selection on an entry host. Does no I/O.

The leader sends the targets and the models that they have loaded. This host
adds its own observations: how many of its requests run on each target, which
targets fail or send no bytes, and which models and adapters a target has
recently reported as missing. The current time is passed as an argument.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Hashable
from collections.abc import Mapping
import dataclasses
import hashlib
from typing import NamedTuple

from endivestream import placement_messages
from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.request import cold_targets
from endivestream.request import rate_limits as rate_limits_lib
from endivestream.request import stream_origins
from endivestream.request import target_announcements
from endivestream.request import target_state
from endivestream.request.buffering import target_memory as target_memory_lib
from endivestream.version import document as document_lib
from endivestream.version.capacity import room

# Penalty of a target in another failure domain, in running requests: this
# number or this share of its slots, whichever is smaller. Traffic between
# domains costs bandwidth and a few milliseconds. A larger penalty would
# overload targets in the host's own domain: an engine processes each prompt
# between the tokens of all other requests (1,460 tokens take 66 ms), which
# pauses their streams.
_REMOTE_DOMAIN_REQUESTS = 4.0
_REMOTE_DOMAIN_SLOT_SHARE = 0.25
# Bonus, in running requests, of the target that the session's last request
# ran on: its cache still has the shared parts of the prompt.
_SESSION_AFFINITY_REQUESTS = 2.0
# Penalty, in running requests, per second until an engine's next prefill turn.
_REQUESTS_PER_TURN_SECOND = 10.0
# Penalty, in running requests, of a target that reports a rate limit: it
# accepts few requests, so all other targets are preferred. A limit reported
# longer ago than this may no longer apply and is not penalized.
_RATE_LIMITED_REQUESTS = 20.0
_RATE_LIMIT_FRESH_SECONDS = 10.0
# Factor on the load of a cold target, which is slow.
_COLD_LOAD_FACTOR = 2.0
# Penalty, in running requests, of a target that misses its reports.
_SILENT_TARGET_REQUESTS = 20.0
# Penalty, in running requests, of a target that refused the last request:
# nothing runs on a target that refuses everything, so its load is the lowest.
_REFUSING_TARGET_REQUESTS = 20.0
# Maximum number of requests that all hosts together send to an engine, as a
# share of its slots; reduced by one step for each rank below the most urgent.
# An engine completes as many requests per second with 32 as with 170. Further
# requests only wait in the engine, where another copy of their model cannot
# take them (symptom: every answer of one engine is late or cut off while most
# other engines are idle).
_MAX_SLOT_SHARE = 0.75
_SLOT_SHARE_PER_RANK = 0.1
_MAX_RANK_STEPS = 3
# Number of unreachable targets from which this host's own network path is
# suspected, and the age of the last byte up to which a target that fails is
# known to be reachable.
_SUSPECT_TARGETS = 2
_REACHABLE_SECONDS = 1.0
# Age at which the load of other hosts is ignored: three lost lease renewals.
_LOADS_STALE_SECONDS = 1.0


class TargetRequirements(NamedTuple):
    """Requirements of a request on its target.

    Attributes:
        service: Name of the service.
        model: Name of the model, or empty.
        adapter: Name of the adapter, or empty.
        session: Id shared by requests with a common prompt prefix, or empty.
        tried: Targets that the request was already sent to.
        rank: Urgency; 0 is the most urgent.
        can_wait: Whether the request can still wait for a slot if the engines
            are full.
        is_queued: Whether it waits in the engine's queue for a slot: a full
            engine may be selected.
        regions: Regions whose targets may get the request; None for all.
        origin: Where the stream began that the request goes on with; None if
            it begins one.
        load: What the request takes of the target's memory.
        request: Identity of the request while it waits for memory; None if it
            does not.
        needs_record: Whether the log must have the target's software version:
            after the loss of this host and the leader it is the only proof of
            where a resumable stream ran.
    """

    service: str
    model: str = ""
    adapter: str = ""
    session: str = ""
    tried: Collection[str] = ()
    rank: int = 0
    can_wait: bool = False
    is_queued: bool = False
    regions: frozenset[str] | None = None
    origin: stream_origins.StreamOrigin | None = None
    load: target_memory_lib.Load = target_memory_lib.NO_LOAD
    request: Hashable = None
    needs_record: bool = False

    def admits(self, registration: registry_lib.Registration) -> bool:
        """Whether a target has the software version that is required."""
        return self.origin is None or self.origin.admits(
            stream_origins.StreamOrigin.of(registration)
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Selected:
    """The target selected for a request and the reason for the selection."""

    target: site_messages.Target
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """No target can take the request now.

    Attributes:
        reason: `no_target`, `no_software`, `no_home`, `evacuated`, `no_model`,
            `no_adapter`, `target_backoff`, `all_failing`, `full`,
            `target_memory`, `rate_limited`, `version_unrecorded`.
        expected: Time at which a target can be expected to take it, if known.
        is_reported: Whether a target that is failing here sends reports to the
            leader: other hosts may reach it.
        targets: Targets that lack only memory, for `target_memory`.
    """

    reason: str
    expected: float | None = None
    is_reported: bool = False
    targets: Collection[str] = ()

    @property
    def is_lasting(self) -> bool:
        """Whether waiting is useless: only an operator can change it."""
        return self.reason in ("evacuated", "no_home", "no_software")


class TargetView:
    """All targets and their state as observed by one entry host."""

    def __init__(
        self,
        *,
        domain: str,
        regions: Mapping[str, str] | None = None,
        limits: rate_limits_lib.RateLimits | None = None,
        announcements: target_announcements.TargetAnnouncements | None = None,
        target_memory: target_memory_lib.TargetMemory | None = None,
    ) -> None:
        """Initializes a view without targets.

        Args:
            domain: Failure domain of this host.
            regions: Region of each failure domain.
            limits: Rate limits that targets reported.
            announcements: What targets announced to this host.
            target_memory: Bounds the load of targets that have ended under it;
                None where none is bounded.
        """
        self._domain = domain
        self._region_by_domain = dict(regions or {})
        self._limits = limits or rate_limits_lib.RateLimits()
        self._announcements = (
            announcements or target_announcements.TargetAnnouncements()
        )
        self._target_memory = target_memory
        # Time until which a target takes no requests because of its limit.
        self._blocked_until: dict[str, float] = {}
        self._targets: dict[str, site_messages.Target] = {}
        self._by_service: dict[str, list[str]] = {}
        self._states: dict[str, target_state.TargetState] = {}
        # Expected completion time of model loads, by target and model.
        self._loads_expected_at: dict[str, dict[str, float]] = {}
        self._session_targets: dict[tuple[str, str], str] = {}
        self._other_loads: dict[str, int] = {}
        self._other_loads_at = float("-inf")
        self._cold_targets = cold_targets.ColdTargets()
        self._hosts = 1
        self._is_complete = False
        self._run_times = room.RunTimes()
        # Start times of listed processes that no longer run, by target.
        self._replaced: dict[str, int] = {}
        self._evacuated_domains: frozenset[str] = frozenset()

    def __repr__(self) -> str:
        return f"<TargetView of {len(self._targets)} targets>"

    @property
    def targets(self) -> dict[str, site_messages.Target]:
        """All targets by name."""
        return dict(self._targets)

    @property
    def announcements(self) -> target_announcements.TargetAnnouncements:
        """What targets announced to this host."""
        return self._announcements

    def running(self, target: str) -> int:
        """Returns the number of this host's requests that run on a target."""
        return self._states[target].running if target in self._states else 0

    def load(self, target: str) -> int:
        """Returns the requests of all hosts on a target, as far as known.

        Those of this host without an answer yet count twice.
        """
        state = self._states.get(target)
        own_load = state.load if state is not None else 0
        return own_load + self._other_loads.get(target, 0)

    def published_load(self, target: str, now: float) -> int | None:
        """Returns the requests of all hosts on a target.

        Those of other hosts are older, and count twice until their first byte.

        Args:
            target: Name of the target.
            now: Current time.

        Returns:
            The number; None without current figures of other hosts.
        """
        if now - self._other_loads_at > _LOADS_STALE_SECONDS:
            return None
        return self.running(target) + self._other_loads.get(target, 0)

    def set_targets(
        self,
        changed: Collection[site_messages.Target],
        removed: Collection[str],
        now: float = 0.0,
        wall_seconds: float = 0.0,
    ) -> None:
        """Applies a table update of the leader.

        Args:
            changed: Targets that are new or have changed.
            removed: Names of targets that were removed.
            now: Current time; remaining load times of models count from it.
            wall_seconds: Seconds since 1970, for the ages of processes.
        """
        for target in changed:
            name = target.registration.name
            current = self._targets.get(name)
            if (
                current is not None
                and current.registration.order > target.registration.order
            ):
                continue
            restarted = current is not None and (
                current.registration.started_at_ms
                != target.registration.started_at_ms
            )
            if restarted or name not in self._states:
                previous = self._states.get(name, target_state.TargetState())
                self._states[name] = previous.restarted()
                started_at_ms = target.registration.started_at_ms
                age = wall_seconds - started_at_ms / 1000
                self._announcements.record_restart(
                    target.registration, now - age
                )
            if current != target:
                self._states[name].denied_names.clear()
            self._targets[name] = target
            self._cold_targets.record(target.registration, now)
            self._loads_expected_at[name] = {
                loading.model: now + loading.seconds
                for loading in target.loading
            }
        for name in removed:
            self._targets.pop(name, None)
            self._replaced.pop(name, None)
            self._loads_expected_at.pop(name, None)
            self._blocked_until.pop(name, None)
            if name in self._states and not self._states[name].running:
                del self._states[name]
        self._cold_targets.retain(self._targets.keys())
        self._announcements.remove_stale(self._targets.keys(), now)
        self._by_service = {}
        for name, target in self._targets.items():
            self._by_service.setdefault(target.registration.service, []).append(
                name
            )

    def record_restart(self, registration: registry_lib.Registration) -> None:
        """Records that the process of a registration has been replaced.

        The target gets no requests until the leader lists its new process.
        """
        self._replaced[registration.name] = registration.started_at_ms

    def _is_replaced(self, registration: registry_lib.Registration) -> bool:
        return (
            self._replaced.get(registration.name) == registration.started_at_ms
        )

    def set_complete(self, is_complete: bool) -> None:
        """Sets whether the table lists all targets that report to a leader."""
        self._is_complete = is_complete

    def set_services(self, services: Collection[document_lib.Service]) -> None:
        """Sets the services of the configuration."""
        self._cold_targets.set_services(services)

    def set_evacuated_domains(
        self, domains: Collection[str], now: float = 0.0
    ) -> None:
        """Sets the failure domains whose targets get no requests.

        Targets may be cold when the evacuation of their domain ends.

        Args:
            domains: The evacuated domains.
            now: Current time.
        """
        ended = self._evacuated_domains - frozenset(domains)
        self._evacuated_domains = frozenset(domains)
        self._cold_targets.assume_cold(
            (
                target.registration
                for target in self._targets.values()
                if target.registration.domain in ended
            ),
            now,
        )

    def _is_evacuated(self, registration: registry_lib.Registration) -> bool:
        return registration.domain in self._evacuated_domains

    def set_turn(self, target: str, when: float) -> None:
        """Records when an engine's turn owner grants the next prefill turn."""
        if target in self._states:
            self._states[target].next_turn_at = when

    def set_loads(self, others: Mapping[str, int], now: float) -> None:
        """Sets the number of requests of other entry hosts, by target."""
        self._other_loads = dict(others)
        self._other_loads_at = now

    def set_all_loads(self, loads: Mapping[str, int], now: float) -> None:
        """Sets the loads of others from the loads of all entry hosts.

        Subtracts this host's current load, which may differ slightly from its
        share of the older total.
        """
        others = {}
        for name, load in loads.items():
            state = self._states.get(name)
            if state is not None:
                load -= state.load
            if load > 0:
                others[name] = load
        self.set_loads(others, now)

    def set_hosts(self, hosts: int) -> None:
        """Sets how many entry hosts there are, this one included."""
        self._hosts = max(1, hosts)
        self._announcements.set_hosts(hosts)
        if self._target_memory is not None:
            self._target_memory.set_hosts(hosts)

    def is_rate_limited(
        self, registration: registry_lib.Registration, now: float
    ) -> bool:
        """Returns whether a target reports a rate limit or has a cold one."""
        return (
            self._reports_rate_limit(registration)
            or self.cold_rate(registration, now) is not None
        )

    def _reports_rate_limit(
        self, registration: registry_lib.Registration
    ) -> bool:
        return (
            self._limits.rate(registration.name, registration.started_at_ms)
            is not None
        )

    def cold_rate(
        self, registration: registry_lib.Registration, now: float
    ) -> float | None:
        """Returns the requests a second that a cold target accepts.

        None if the target is not cold or its service sets no cold rate.
        """
        return self._cold_targets.rate(registration, now)

    def block(self, target: str, until: float) -> None:
        """Sends no requests to a target until a time because of its limit."""
        self._blocked_until[target] = until

    def is_usable(
        self,
        registration: registry_lib.Registration,
        requirements: TargetRequirements,
        now: float,
    ) -> bool:
        """Returns whether a target selected earlier can still be used."""
        return (
            not self.obstacle(registration, requirements, now)
            and self._states[registration.name].is_healthy(now)
            and self._has_window(registration.name)
            and self.has_memory(registration.name, requirements, now)
        )

    def has_memory(
        self, target: str, requirements: TargetRequirements, now: float
    ) -> bool:
        """Returns whether a request may add to the load of a target.

        Must not be called for a request that counts there already.
        """
        memory = self._target_memory
        return memory is None or memory.may_send(
            target,
            requirements.load,
            now,
            request=requirements.request,
            rank=requirements.rank,
        )

    def is_draining(self, target: str) -> bool:
        """Returns whether a target is known to finish its requests and stop.

        One that has deregistered may still answer what it was sent before.
        """
        return target not in self._targets or self._is_draining(target)

    def needs_new_connection(
        self, registration: registry_lib.Registration, now: float
    ) -> bool:
        """Returns whether a request must open a connection to a target.

        A request over an idle connection whose path is cut may have run, so it
        could not be sent elsewhere. A connection that cannot be opened sends
        nothing.
        """
        state = self._states.get(registration.name)
        if state is None or now - state.last_byte_at <= _REACHABLE_SECONDS:
            return False
        return (
            state.is_ejected or self._unreachable_count(now) >= _SUSPECT_TARGETS
        )

    def is_cut_off(self, now: float) -> bool:
        """Returns whether this host reaches less than half of all targets."""
        return 2 * self._unreachable_count(now) > len(self._targets)

    def _unreachable_count(self, now: float) -> int:
        """Returns the number of targets that fail and send no bytes."""
        states = [self._states[name] for name in self._targets]
        return sum(
            (state.is_ejected or state.is_silent(now))
            and now - state.last_byte_at > _REACHABLE_SECONDS
            for state in states
        )

    def obstacle(
        self,
        registration: registry_lib.Registration,
        requirements: TargetRequirements,
        now: float,
    ) -> str:
        """Returns why a target must not get a request; empty if it may.

        The load and the failures of the target are not considered.

        Args:
            registration: The target, as it was selected.
            requirements: Requirements of the request.
            now: Current time.
        """
        name = registration.name
        target = self._targets.get(name)
        if (
            target is None
            or target.registration.started_at_ms != registration.started_at_ms
        ):
            return "gone"
        if not requirements.admits(target.registration):
            return "software"
        if requirements.needs_record and target.is_unrecorded:
            return "version_unrecorded"
        if self._is_replaced(registration):
            return "restarted"
        if self._is_draining(name):
            return "draining"
        if self._is_evacuated(target.registration):
            return "evacuated"
        if self._announcements.backoff_until(registration, now) is not None:
            return "backoff"
        model, adapter = requirements.model, requirements.adapter
        if model and not self._has_model(name, model):
            return "no_model"
        if adapter and not self._has_adapter(name, f"{model}/{adapter}"):
            return "no_adapter"
        return ""

    def exceeds_window(self, registration: registry_lib.Registration) -> bool:
        """Returns whether a request that is about to be sent is one too many.

        It counts as sent already; others may have been selected together with
        it, before the target asked for a pause.
        """
        state = self._states.get(registration.name)
        if state is None or registration.name not in self._targets:
            return False
        return not self._announcements.has_window(
            self._targets[registration.name].registration,
            sum(state.starting.values()) - 1,
        )

    def _is_draining(self, name: str) -> bool:
        registration = self._targets[name].registration
        return registration.draining or self._announcements.is_draining(
            registration
        )

    def _has_window(self, name: str) -> bool:
        return self._announcements.has_window(
            self._targets[name].registration,
            sum(self._states[name].starting.values()),
        )

    def pick(
        self, requirements: TargetRequirements, now: float, *, limit: int
    ) -> Selected | Unavailable:
        """Selects a target for a request.

        Args:
            requirements: Requirements of the request.
            now: Current time.
            limit: Maximum number of this host's requests on one target.

        Returns:
            The target, or the reason why there is none.
        """
        regions = requirements.regions
        if regions is not None and regions.isdisjoint(
            self._region_by_domain.values()
        ):
            return Unavailable(reason="no_home")
        names = [
            name
            for name in self._by_service.get(requirements.service, ())
            if not self._is_draining(name)
            and not self._is_replaced(self._targets[name].registration)
            and name not in requirements.tried
            and (regions is None or self._region(name) in regions)
        ]
        if not names:
            return Unavailable(reason="no_target")
        if requirements.origin is not None:
            names = [
                name
                for name in names
                if requirements.admits(self._targets[name].registration)
            ]
            if not names:
                reason = "no_software" if self._is_complete else "no_target"
                return Unavailable(reason=reason)
        if requirements.needs_record:
            names = [n for n in names if not self._targets[n].is_unrecorded]
            if not names:
                return Unavailable(reason="version_unrecorded")
        names = [
            name
            for name in names
            if not self._is_evacuated(self._targets[name].registration)
        ]
        if not names:
            return Unavailable(reason="evacuated")
        if requirements.model:
            candidates = names
            names = [
                n for n in candidates if self._has_model(n, requirements.model)
            ]
            if not names:
                expected = self._expected_at(
                    candidates, requirements.model, now
                )
                return Unavailable(reason="no_model", expected=expected)
        if requirements.adapter:
            adapter_name = f"{requirements.model}/{requirements.adapter}"
            names = [n for n in names if self._has_adapter(n, adapter_name)]
            if not names:
                return Unavailable(reason="no_adapter")
        backoff_ends = {n: self._backoff_until(n, now) for n in names}
        names = [n for n in names if backoff_ends[n] is None]
        if not names:
            ends = [end for end in backoff_ends.values() if end is not None]
            return Unavailable(reason="target_backoff", expected=min(ends))
        healthy = [n for n in names if self._states[n].is_healthy(now)]
        if not healthy:
            is_reported = any(
                not self._targets[name].reports_overdue for name in names
            )
            return Unavailable(reason="all_failing", is_reported=is_reported)
        names = [
            n
            for n in healthy
            if self._states[n].running < limit and self._has_window(n)
        ]
        if requirements.model and not requirements.is_queued:
            names = [
                n for n in names if self._has_free_slot(n, requirements, now)
            ]
        if not names:
            return Unavailable(reason="full")
        fitting = [n for n in names if self.has_memory(n, requirements, now)]
        if not fitting:
            return Unavailable(
                reason=target_memory_lib.REASON, targets=tuple(names)
            )
        names = fitting
        unblocked = [n for n in names if not self._is_blocked(n, now)]
        if not unblocked:
            unblocked_at = min(self._blocked_until[name] for name in names)
            return Unavailable(reason="rate_limited", expected=unblocked_at)
        return self._least_loaded(requirements, unblocked, now)

    def _backoff_until(self, name: str, now: float) -> float | None:
        return self._announcements.backoff_until(
            self._targets[name].registration, now
        )

    def _region(self, name: str) -> str:
        domain = self._targets[name].registration.domain
        return self._region_by_domain.get(domain, "")

    def _is_blocked(self, name: str, now: float) -> bool:
        until = self._blocked_until.get(name)
        if until is None:
            return False
        if until <= now or not self.is_rate_limited(
            self._targets[name].registration, now
        ):
            del self._blocked_until[name]
            return False
        return True

    def _expected_at(
        self, names: Collection[str], model: str, now: float
    ) -> float | None:
        """Returns the earliest time at which a target will have a model."""
        times = [
            self._loads_expected_at[name][model]
            for name in names
            if model in self._loads_expected_at.get(name, {})
        ]
        # An overdue load may complete at any moment.
        return max(now, min(times)) if times else None

    def _has_model(self, name: str, model: str) -> bool:
        target = self._targets[name]
        return (
            any(loaded.model == model for loaded in target.registration.loaded)
            and model not in target.unloading
            and model not in self._states[name].denied_names
        )

    def _has_adapter(self, name: str, adapter: str) -> bool:
        return (
            adapter in self._targets[name].adapters
            and adapter not in self._states[name].denied_names
        )

    def _has_free_slot(
        self, name: str, requirements: TargetRequirements, now: float
    ) -> bool:
        """Returns whether an engine should get one more request."""
        slots = self._targets[name].registration.slots
        share = 1.0
        if requirements.can_wait:
            share = _MAX_SLOT_SHARE - _SLOT_SHARE_PER_RANK * min(
                requirements.rank, _MAX_RANK_STEPS
            )
        running = self._states[name].running
        if now - self._other_loads_at > _LOADS_STALE_SECONDS:
            # Without a leader the load of other hosts is unknown. If each host
            # filled the engine on its own, it would get several times as many
            # requests as it has slots.
            running *= self._hosts
        else:
            running += self._other_loads.get(name, 0)
        return running < max(1.0, slots * share)

    def _least_loaded(
        self, requirements: TargetRequirements, names: list[str], now: float
    ) -> Selected:
        last_target = self._session_targets.get(
            (requirements.model, requirements.session), ""
        )
        best, lowest_load, reason = "", float("inf"), ""
        for name in names:
            target, state = self._targets[name], self._states[name]
            slots = max(1, target.registration.slots)
            load = state.load + 1.0
            load += self._other_loads.get(name, 0)
            load += _REQUESTS_PER_TURN_SECOND * max(
                0.0, state.next_turn_at - now
            )
            candidate_reason = "load"
            if target.registration.domain != self._domain:
                load += min(
                    _REMOTE_DOMAIN_REQUESTS, _REMOTE_DOMAIN_SLOT_SHARE * slots
                )
            else:
                candidate_reason = "near"
            if requirements.session and name == last_target:
                load -= _SESSION_AFFINITY_REQUESTS
                candidate_reason = "session"
            if self._cold_targets.remaining(target.registration, now):
                load *= _COLD_LOAD_FACTOR
            is_recent = self._limits.age(name, now) < _RATE_LIMIT_FRESH_SECONDS
            if is_recent and self._reports_rate_limit(target.registration):
                load += _RATE_LIMITED_REQUESTS
            if target.reports_overdue:
                load += _SILENT_TARGET_REQUESTS
            if now < state.refusing_until:
                load += _REFUSING_TARGET_REQUESTS
            # Ties are broken by session, so that its requests go to the same
            # target, whose cache has the shared parts of the prompt.
            load += _tie_breaker(
                requirements.session or requirements.model, name
            )
            if load < lowest_load:
                best, lowest_load, reason = name, load, candidate_reason
        if requirements.session:
            self._record_session(requirements, best)
        return Selected(target=self._targets[best], reason=reason)

    def _record_session(
        self, requirements: TargetRequirements, name: str
    ) -> None:
        key = (requirements.model, requirements.session)
        self._session_targets.pop(key, None)
        self._session_targets[key] = name
        if len(self._session_targets) > 4096:
            self._session_targets.pop(next(iter(self._session_targets)))

    def record_sent(
        self, target: str, requirements: TargetRequirements, now: float
    ) -> None:
        """Records that a request is sent to a target."""
        state = self._states.setdefault(target, target_state.TargetState())
        state.record_sent((requirements.model, requirements.adapter), now)

    def record_started(
        self, target: str, requirements: TargetRequirements
    ) -> None:
        """Records that the first event or the end of an answer arrived."""
        state = self._states.get(target)
        if state is not None:
            state.record_started((requirements.model, requirements.adapter))

    def record_bytes(self, target: str, now: float) -> None:
        """Records that bytes of an answer arrived from a target."""
        state = self._states.get(target)
        if state is not None:
            state.record_bytes(now)

    def record_paused(self, target: str) -> None:
        """Records that an answer is not read on for its slow caller."""
        if target in self._states:
            self._states[target].paused += 1

    def record_resumed(self, target: str, now: float) -> None:
        """Records that a paused answer is read again."""
        if target in self._states:
            self._states[target].record_resumed(now)

    def record_refusal(self, target: str, now: float) -> None:
        """Records that a target refused a request without running it."""
        if target in self._states:
            self._states[target].record_refusal(now)

    def record_accepted(self, target: str) -> None:
        """Records that a target accepted a request."""
        if target in self._states:
            self._states[target].record_accepted()

    def record_result(
        self,
        target: str,
        requirements: TargetRequirements,
        now: float,
        *,
        failed: bool | None,
        sent_at: float | None = None,
    ) -> bool:
        """Records the result of a request on a target.

        Args:
            target: Name of the target.
            requirements: Requirements of the request.
            now: Current time.
            failed: Whether the request failed because of the target; None if
                that is unknown: it was not sent, or its caller left.
            sent_at: When the request was sent, if its run time is to be
                recorded.

        Returns:
            Whether this was the last request of this host that used a model
            which the target is about to unload.
        """
        state = self._states.get(target)
        if state is None:
            return False
        state.record_end((requirements.model, requirements.adapter), now)
        if not state.running and target not in self._targets:
            del self._states[target]
            return False
        closing = (
            self._targets[target].unloading if target in self._targets else ()
        )
        is_last_use = requirements.model in closing and not any(
            model == requirements.model for model, _ in state.models
        )
        if failed is not None:
            state.record_outcome(now, failed=failed)
        if failed is False and requirements.model and sent_at is not None:
            self._run_times.record(requirements.model, now - sent_at)
        return is_last_use

    def run_seconds(self, model: str) -> float:
        """Returns the mean run time of a model's requests; 0 if unknown."""
        return self._run_times.seconds(model)

    def record_denied(self, target: str, name: str) -> None:
        """Records that a target reported a model or adapter as missing.

        Applies until the leader sends a changed entry for the target.

        Args:
            target: Name of the target.
            name: Name of the model, or `MODEL/ADAPTER`.
        """
        if target in self._states:
            self._states[target].denied_names.add(name)

    def failing(self, now: float) -> tuple[str, ...]:
        """Returns the targets that get no requests because they fail."""
        return tuple(
            name
            for name in sorted(self._targets)
            if self._states[name].is_ejected
            or not self._states[name].is_healthy(now)
        )

    def uses(self) -> tuple[placement_messages.Use, ...]:
        """Returns the running requests by target, model and adapter."""
        return tuple(
            placement_messages.Use(
                name,
                model,
                adapter,
                count,
                state.starting.get((model, adapter), 0),
            )
            for name, state in self._states.items()
            for (model, adapter), count in state.models.items()
            if model
        )


def _tie_breaker(session: str, name: str) -> float:
    """Returns a hash of session and target, from 0 to 1."""
    digest = hashlib.blake2b(f"{session}\0{name}".encode(), digest_size=4)
    return int.from_bytes(digest.digest(), "big") / 2**32
