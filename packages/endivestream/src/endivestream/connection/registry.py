"""Table of targets, built from their own registrations. Pure.

Registrations may arrive late, twice, out of order and through different hosts.
They are ordered by values that the target sets itself: the time of its start,
then a number that rises with each report. The order of arrival has no effect.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import NamedTuple

import msgspec

# How long the departure of a target is remembered. A report that was sent
# before may arrive seconds later and would add the target again (symptom:
# requests go to an address that another service has taken over).
_DEPARTURE_KEPT_SECONDS = 60.0
# Each process numbers its reports from the beginning. If the start time of the
# departed process is unknown, a report up to this number is attributed to a
# newer process; a process that was in use before it departed has sent more.
_MAX_FIRST_REPORT_NUMBER = 3


class Loaded(msgspec.Struct, frozen=True, array_like=True):
    """A model that is loaded on a target.

    Attributes:
        model: Name of the model.
        version: Version of its weights.
        adapters: Names of its loaded adapters.
    """

    model: str
    version: int = 0
    adapters: tuple[str, ...] = ()


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """State of a target as reported by the target itself.

    Attributes:
        name: Id of the target.
        service: Name of the service that it belongs to.
        address: `IP:PORT` where it accepts requests.
        domain: Failure domain of the target.
        software: Version of its software, not of a model's weights; None if it
            names none.
        started_at_ms: Start time of its process, in milliseconds of the wall
            clock.
        report_number: Rises with each report since the start.
        draining: Whether it is about to stop.
        slots: Maximum number of concurrent requests.
        warmup_seconds: Seconds until it works at full speed.
        shutdown_in: Seconds until it is shut down; None if unknown.
        loaded: Models that are loaded.
        in_memory: Names of the models whose weights are in its host memory.
        on_disk: Names of the models whose weights are on its disk.
    """

    name: str
    service: str
    address: str
    domain: str
    software: str | None = None
    started_at_ms: int = msgspec.field(default=0, name="born")
    report_number: int = msgspec.field(default=0, name="number")
    draining: bool = False
    slots: int = 1
    warmup_seconds: float = msgspec.field(default=0.0, name="warm_in")
    shutdown_in: float | None = msgspec.field(default=None, name="leaves_in")
    loaded: tuple[Loaded, ...] = ()
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """Sort key; greater for a registration that the target sent later."""
        return (self.started_at_ms, self.report_number)


class Session(NamedTuple):
    """A target's entry in the table.

    Attributes:
        registration: Newest registration of the target.
        received_at: Time at which that registration was received.
    """

    registration: Registration
    received_at: float


class _Departure(NamedTuple):
    """Record of a target that was removed from the table.

    Attributes:
        started_at_ms: Start time of the departed process; None if the table did
            not contain it.
        since: Time of the removal.
        report_number: Number of its last report if it was removed because no
            later one arrived. The process may still run; a later report adds
            it again. None if the process has ended.
        rival: Name of the target that took over its address; empty if none.
        replaced_at: Order of its last report before that.
    """

    started_at_ms: int | None
    since: float
    report_number: int | None = None
    rival: str = ""
    replaced_at: tuple[int, int] = (0, 0)

    def covers(self, registration: Registration) -> bool:
        """Whether a registration is outdated by the removal."""
        if self.started_at_ms is None:
            return registration.report_number > _MAX_FIRST_REPORT_NUMBER
        if self.report_number is not None:
            return registration.order <= (
                self.started_at_ms,
                self.report_number,
            )
        return registration.started_at_ms <= self.started_at_ms


class _Announcement(NamedTuple):
    """Report of a target to an earlier leader that it departs.

    Attributes:
        order: Order of the report.
        since: When it was recorded.
    """

    order: tuple[int, int]
    since: float

    def covers(self, registration: Registration) -> bool:
        """Whether a report is outdated by it."""
        return not registration.draining and registration.order <= self.order


class Registry:
    """Table of targets by name. Times are seconds of one clock.

    A report for a service that is not configured names no target to use. It is
    listed, so that its target is known once the service is configured, but
    changes no entry of a configured service.
    """

    def __init__(
        self,
        *,
        services: Collection[str] | None = None,
        rival_silence: float = math.inf,
    ) -> None:
        """Starts empty.

        Args:
            services: Names of the configured services; None for all.
            rival_silence: Seconds without a report after which a target that
                took over an address gives way to the previous one, if that
                still reports.
        """
        self._services = None if services is None else frozenset(services)
        self._rival_silence = rival_silence
        self._sessions: dict[str, Session] = {}
        # Names by address. No two entries have the same address: a search of
        # the whole table for each report took most of a leader's time with
        # 3,000 targets.
        self._names: dict[str, str] = {}
        self._departures: dict[str, _Departure] = {}
        self._announcements: dict[str, _Announcement] = {}

    def __repr__(self) -> str:
        return f"<Registry of {len(self._sessions)} targets>"

    @property
    def sessions(self) -> dict[str, Session]:
        """All entries by target name."""
        return dict(self._sessions)

    def find(self, name: str) -> Session | None:
        """Returns the entry of a target, or None."""
        return self._sessions.get(name)

    def set_services(self, services: Collection[str]) -> None:
        """Sets the names of the configured services."""
        self._services = frozenset(services)

    def is_configured(self, registration: Registration) -> bool:
        """Returns whether the service of a report is configured."""
        return self._services is None or registration.service in self._services

    def is_foreign(self, registration: Registration) -> bool:
        """Returns whether a report claims what belongs to another service.

        It is for a service that is not configured, and names the id or the
        address of a target of one that is.
        """
        if self.is_configured(registration):
            return False
        holders = (
            self._sessions.get(registration.name),
            self._sessions.get(self._names.get(registration.address, "")),
        )
        return any(
            holder is not None and self.is_configured(holder.registration)
            for holder in holders
        )

    def add(self, registration: Registration, now: float) -> list[str]:
        """Adds a registration to the table, unless it is outdated or foreign.

        Args:
            registration: The registration.
            now: The time.

        Returns:
            Names of the changed targets: that of the registration and those
            whose address it has taken over. Empty if the registration is not
            added.
        """
        if self.is_foreign(registration):
            return []
        announcement = self._announcements.get(registration.name)
        if announcement is not None and announcement.covers(registration):
            return []
        changed = [registration.name]
        gone = self._departures.get(registration.name)
        if gone is not None and gone.covers(registration):
            if not self._outlives_rival(gone, registration, now):
                return []
            # The rival may still run: its next report lists it again.
            self._expire(gone.rival, now)
            changed.append(gone.rival)
            del self._departures[registration.name]
        is_configured = self.is_configured(registration)
        known = self._sessions.get(registration.name)
        if (
            known is not None
            and known.registration.order >= registration.order
            and self.is_configured(known.registration) == is_configured
        ):
            return []
        rival = self._names.get(registration.address, registration.name)
        if rival != registration.name:
            held = self._sessions[rival].registration
            if (
                held.started_at_ms > registration.started_at_ms
                and self.is_configured(held) == is_configured
            ):
                # A report of a process that has ended, delayed by a network
                # partition; its address belongs to a newer process.
                return []
            if is_configured and self.is_configured(held):
                self._remove(rival, now, rival=registration.name)
            else:
                self._expire(rival, now)
            changed.append(rival)
        if (
            known is not None
            and known.registration.address != registration.address
        ):
            del self._names[known.registration.address]
        if gone is not None and gone.started_at_ms is None and is_configured:
            # The departed process was an earlier one. Without its start time
            # the next reports of this one would be attributed to it.
            self._departures[registration.name] = _Departure(
                registration.started_at_ms - 1, gone.since
            )
        self._names[registration.address] = registration.name
        self._sessions[registration.name] = Session(registration, now)
        return changed

    def _outlives_rival(
        self, gone: _Departure, registration: Registration, now: float
    ) -> bool:
        """Returns whether a replaced process still reports, unlike its rival.

        Requests name the target that they are for, so that neither process
        runs those for the other.
        """
        rival = self._sessions.get(gone.rival)
        return (
            rival is not None
            and rival.registration.address == registration.address
            and registration.started_at_ms == gone.started_at_ms
            and registration.order > gone.replaced_at
            and now - rival.received_at > self._rival_silence
        )

    def complete(
        self, name: str, *, started_at_ms: int, report_number: int, basis: int
    ) -> Registration | None:
        """Returns the registration for which an unchanged report stands.

        An outdated report needs no content: what is returned for it is outdated
        for `add` too.

        Args:
            name: Id of the target.
            started_at_ms: Start time of its process.
            report_number: Number of the report.
            basis: Number of the earlier report that it repeats.

        Returns:
            The registration; None if the newest one in the table is another
            report than `basis`.
        """
        session = self._sessions.get(name)
        if session is None:
            return None
        order = session.registration.order
        is_newer = (started_at_ms, report_number) > order
        if is_newer and (started_at_ms, basis) != order:
            return None
        return msgspec.structs.replace(
            session.registration,
            started_at_ms=started_at_ms,
            report_number=report_number,
        )

    def deregister(
        self, name: str, now: float, started_at_ms: int | None = None
    ) -> bool:
        """Removes a target that deregistered, and records its departure.

        The departure is recorded also if the target is not in the table yet. A
        target that was started after `started_at_ms` is kept.

        Args:
            name: Id of the target.
            now: The time.
            started_at_ms: Start time of the departed process, if known from
                elsewhere.

        Returns:
            Whether the target was in the table and was removed.
        """
        session = self._sessions.get(name)
        if (
            session is not None
            and started_at_ms is not None
            and (session.registration.started_at_ms > started_at_ms)
        ):
            return False
        if session is not None:
            self._remove(name, now)
            return True
        # Entry hosts may still list the target from the previous leader.
        known = self._departures.get(name)
        if started_at_ms is None and known is not None:
            started_at_ms = known.started_at_ms
        self._departures[name] = _Departure(started_at_ms, now)
        return False

    def announce(
        self, name: str, started_at_ms: int, report_number: int, now: float
    ) -> None:
        """Records that a process has announced its departure earlier.

        Reports from before that are outdated, also if the table has no later
        one yet.

        Args:
            name: Id of the target.
            started_at_ms: Start time of its process.
            report_number: Number of the report that announced it.
            now: The time.
        """
        order = (started_at_ms, report_number)
        self._announcements[name] = _Announcement(order, now)

    @property
    def departed(self) -> tuple[str, ...]:
        """Names of the targets that recently departed or were replaced.

        Those that announced it to an earlier leader are among them until they
        report again.
        """
        names = self._departures.keys() | self._announcements.keys()
        return tuple(names - self._sessions.keys())

    def started_at_ms(self, name: str) -> int | None:
        """Returns the start time of a target in the table, or None."""
        session = self._sessions.get(name)
        return session.registration.started_at_ms if session else None

    def expire(self, now: float, *, silence: float) -> list[str]:
        """Removes targets without a recent report and returns their names.

        Such a target may be cut off or suspended; its next report adds it.

        Args:
            now: The time.
            silence: Seconds without a report after which a target is removed.
        """
        silent = [
            name
            for name, session in self._sessions.items()
            if now - session.received_at > silence
        ]
        for name in silent:
            self._expire(name, now)
        for name, gone in list(self._departures.items()):
            if now - gone.since > _DEPARTURE_KEPT_SECONDS:
                del self._departures[name]
        self._announcements = {
            name: announcement
            for name, announcement in self._announcements.items()
            if now - announcement.since <= _DEPARTURE_KEPT_SECONDS
        }
        return silent

    def _expire(self, name: str, now: float) -> None:
        """Removes a target that its next report may add again."""
        before = self._departures.get(name)
        last = self._sessions[name].registration
        self._remove(name, now)
        if self.is_configured(last):
            self._departures[name] = _Departure(
                last.started_at_ms, now, last.report_number
            )
        else:
            # A target of a configured service may report under this id.
            self._departures[name] = before or _Departure(-1, now, 0)

    def adopt(self, registrations: Iterable[Registration], now: float) -> None:
        """Adds registrations from another host, unless they are outdated."""
        for each in registrations:
            self.add(each, now)

    def _remove(self, name: str, now: float, *, rival: str = "") -> None:
        session = self._sessions.pop(name)
        del self._names[session.registration.address]
        self._departures[name] = _Departure(
            session.registration.started_at_ms,
            now,
            rival=rival,
            replaced_at=session.registration.order,
        )
