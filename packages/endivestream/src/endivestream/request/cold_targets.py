"""Targets that accept few requests for a while after their start. Pure.

Load pattern: a failure domain returns after an outage, or its evacuation ends.
Its targets are cold at the same moment, and every entry host has requests that
wait for them. A target that gets many more than its service's cold rate crashes
again. Hosts and leader therefore limit sends to cold targets like those to
targets that report a rate limit (`request/send_slots.py`).

A target counts as cold for at least as long as it is: reports and messages only
take time, and remaining times are counted from their arrival. Times are
seconds.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

from endivestream.connection import registry as registry_lib
from endivestream.version import document as document_lib

# A cold period that ends later than known by no more than this is not a new
# one: reports take different times to arrive.
_ARRIVAL_JITTER_SECONDS = 0.25


@dataclasses.dataclass(kw_only=True)
class _ColdPeriod:
    """Cold period of one process of a target.

    Attributes:
        started_at_ms: Start time of the process, in milliseconds of the wall
            clock.
        reported_end: When it ends according to the target's newest report.
        assumed_end: When it ends at the latest, after an event that may have
            made the target cold without a report.
    """

    started_at_ms: int
    reported_end: float = -math.inf
    assumed_end: float = -math.inf

    @property
    def end(self) -> float:
        """When the target is certain to be warm."""
        return max(self.reported_end, self.assumed_end)


class ColdTargets:
    """Cold periods of all targets, as known to one host."""

    def __init__(self) -> None:
        self._services: dict[str, document_lib.Service] = {}
        self._periods: dict[str, _ColdPeriod] = {}

    def __repr__(self) -> str:
        return f"<ColdTargets of {len(self._periods)} targets>"

    def set_services(self, services: Iterable[document_lib.Service]) -> None:
        """Sets the services, which define cold rates and durations."""
        self._services = {service.name: service for service in services}

    def record(
        self, registration: registry_lib.Registration, now: float
    ) -> bool:
        """Records the remaining cold period in a registration.

        Args:
            registration: The newest registration of a target.
            now: When it was received.

        Returns:
            Whether the target is cold for longer than known before.
        """
        period = self._period(registration)
        previous_end = max(now, period.end)
        period.reported_end = now + registration.warmup_seconds
        return period.end > previous_end + _ARRIVAL_JITTER_SECONDS

    def assume_cold(
        self, registrations: Iterable[registry_lib.Registration], now: float
    ) -> None:
        """Treats targets as cold for as long as after a start of theirs.

        Their newest report may be older than the event that made them cold.
        """
        for registration in registrations:
            service = self._services.get(registration.service)
            if service is not None and service.cold_seconds > 0:
                period = self._period(registration)
                period.assumed_end = now + service.cold_seconds

    def remaining(
        self, registration: registry_lib.Registration, now: float
    ) -> float:
        """Returns the seconds for which a target is cold; 0 if it is not."""
        period = self._periods.get(registration.name)
        if period is None or period.started_at_ms != registration.started_at_ms:
            return 0.0
        return max(0.0, period.end - now)

    def rate(
        self, registration: registry_lib.Registration, now: float
    ) -> float | None:
        """Returns the requests a second that a target accepts while cold.

        None if the target is not cold or its service sets no cold rate.
        """
        if self.remaining(registration, now) <= 0:
            return None
        service = self._services.get(registration.service)
        return service.cold_rate if service is not None else None

    def retain(self, names: Collection[str]) -> None:
        """Forgets all targets except these."""
        for name in [n for n in self._periods if n not in names]:
            del self._periods[name]

    def _period(self, registration: registry_lib.Registration) -> _ColdPeriod:
        period = self._periods.get(registration.name)
        if period is None or period.started_at_ms != registration.started_at_ms:
            period = _ColdPeriod(started_at_ms=registration.started_at_ms)
            self._periods[registration.name] = period
        return period
