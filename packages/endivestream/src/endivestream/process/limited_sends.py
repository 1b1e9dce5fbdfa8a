"""The leader's owner of limits on sends to targets.

A target has a limit because it reports one or because it is cold. Entry hosts
report limits to the leader, which pushes them to all others and grants sends to
these targets one by one (`request/send_slots.py`).
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from endivestream import limit_messages
from endivestream import logs
from endivestream.connection import registry as registry_lib
from endivestream.request import cold_targets
from endivestream.request import rate_limits as rate_limits_lib
from endivestream.request import send_slots
from endivestream.version import document as document_lib


class LimitedSends:
    """Limits and grants during one term of leadership. Times are seconds."""

    def __init__(
        self,
        *,
        now: float,
        registry: registry_lib.Registry,
        on_limits_changed: Callable[[Collection[str], dict[str, float]], None],
    ) -> None:
        """Starts without limits.

        Args:
            now: The time.
            registry: The leader's table of targets.
            on_limits_changed: Called with the targets whose reported limit
                changed and with the limits of all targets.
        """
        self._registry = registry
        self._on_limits_changed = on_limits_changed
        self._limits = rate_limits_lib.RateLimits()
        self._cold_targets = cold_targets.ColdTargets()
        self._slots = send_slots.SendSlots(now=now)

    @property
    def rates(self) -> dict[str, float]:
        """Requests a second of all targets that report a limit."""
        return self._limits.rates

    def records(
        self, now: float, targets: Collection[str] | None
    ) -> tuple[limit_messages.RateLimit, ...]:
        """Returns the reported limits of some targets, or of all."""
        return self._limits.records(now, targets)

    def merge(
        self, limits: Iterable[limit_messages.RateLimit], now: float
    ) -> None:
        """Merges targets' rate limits as reported by entry hosts."""
        current = [
            limit
            for limit in limits
            if limit.started_at_ms
            >= (self._registry.started_at_ms(limit.target) or 0)
        ]
        changed = self._limits.merge(current, now)
        for name in changed:
            rate = self._limits.rates.get(name)
            logs.event(
                "rate_limit",
                target=name,
                rate="none" if rate is None else rate,
                told_by="host",
            )
        if changed:
            self._on_limits_changed(changed, self._limits.rates)

    def grant(
        self, message: limit_messages.AskSend, *, hosts: int, now: float
    ) -> limit_messages.GiveSend:
        """Answers a host that wants to send a request to a limited target.

        Args:
            message: The host's request.
            hosts: Number of entry hosts.
            now: The time.
        """
        limit = message.limit
        if limit.rate is not None:
            self.merge([limit], now)
        rate = rate_limits_lib.lowest(
            self._limits.rate(limit.target, limit.started_at_ms),
            message.cold_rate,
        )
        if rate is None:
            # The limit has ended, or belongs to another start of the target;
            # the table update with this change is already in flight.
            return limit_messages.GiveSend(send_in=0.0)
        decision = self._slots.take(
            limit.target,
            limit.started_at_ms,
            rate,
            hosts=hosts,
            patience=message.max_wait_seconds,
            now=now,
        )
        match decision:
            case send_slots.Granted(wait=wait):
                return limit_messages.GiveSend(send_in=wait)
            case send_slots.Denied(seconds=seconds):
                return limit_messages.GiveSend(retry_in=seconds)

    def count_send(self, target: str, now: float) -> None:
        """Counts an order or query that was sent without a grant."""
        started_at = self._registry.started_at_ms(target)
        if started_at is None:
            return
        rate = self._limits.rate(target, started_at)
        if rate is not None:
            self._slots.count_send(target, started_at, rate, now)

    # Targets.

    def set_services(self, services: Iterable[document_lib.Service]) -> None:
        """Sets the services, which define the limits of cold targets."""
        self._cold_targets.set_services(services)

    def record_report(
        self, registration: registry_lib.Registration, now: float
    ) -> bool:
        """Records a target's report.

        Returns:
            Whether the target is cold for longer than known before.
        """
        if self._limits.remove_older_starts(
            registration.name, registration.started_at_ms
        ):
            self._on_limits_changed((), self._limits.rates)
        return self._cold_targets.record(registration, now)

    def assume_cold(self, domain: str, now: float) -> None:
        """Treats the targets of a domain whose evacuation ended as cold."""
        registrations = [
            session.registration
            for session in self._registry.sessions.values()
            if session.registration.domain == domain
        ]
        self._cold_targets.assume_cold(registrations, now)

    def cold_seconds(
        self, registration: registry_lib.Registration, now: float
    ) -> float:
        """Returns for how long a target is cold; 0 if it is not."""
        return self._cold_targets.remaining(registration, now)

    def retain(self, targets: Collection[str], now: float) -> None:
        """Forgets limits that ended long ago and targets except these."""
        self._limits.remove_stale(targets, now)
        self._slots.remove_idle(now)
        self._cold_targets.retain(targets)
