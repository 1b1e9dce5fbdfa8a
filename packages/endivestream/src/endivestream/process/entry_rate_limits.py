"""Keeps an entry host's sends within the limits of rate-limited targets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from endivestream import clock
from endivestream import limit_messages
from endivestream import logs
from endivestream.connection import registry as registry_lib
from endivestream.connection import watch as watch_lib
from endivestream.request import rate_limits as rate_limits_lib
from endivestream.request import send_slots

# A leader answers within a few milliseconds.
_TIMEOUT_SECONDS = 0.15
# Time until the next send to a target after the leader did not answer.
_UNANSWERED_BACKOFF_SECONDS = 0.25
# A send that is delayed beyond its granted moment by more than this may
# coincide with sends granted after it, and is requested again. Such a delay
# occurs when the host was suspended.
_MAX_DELAY_SECONDS = 0.3
# A change of a limit by less than this share is reported with the next
# renewal. So is a change within the following time after the last one that was
# reported immediately.
_SMALL_CHANGE_SHARE = 0.1
_MIN_NOTIFY_INTERVAL_SECONDS = 0.1


class EntryRateLimits:
    """Rate limits of targets, as received here, and the sends they permit.

    Created once when the process starts. Without a leader, this host sends a
    limited target only its own share of the limit.
    """

    def __init__(
        self,
        *,
        limits: rate_limits_lib.RateLimits,
        watch: watch_lib.LeaderSession,
        request_renewal: Callable[[], None],
    ) -> None:
        """Starts without any limits.

        Args:
            limits: The limits, shared with the selection of targets.
            watch: The session with the leader.
            request_renewal: Called when the leader should be notified
                immediately.
        """
        self._limits = limits
        self._watch = watch
        self._notify_leader = request_renewal
        self._hosts = 0
        self._shares: dict[str, send_slots.HostShare] = {}
        # Targets whose limits the next renewal must report.
        self._unreported: set[str] = set()
        # Targets whose limits are in the renewal in progress.
        self._reporting: set[str] = set()
        self._last_notified_at = float("-inf")
        self._outcomes = dict.fromkeys(
            ("own", "granted", "denied", "unanswered"), 0
        )

    @property
    def outcomes(self) -> Mapping[str, int]:
        """The number of sends to limited targets by outcome."""
        return self._outcomes

    # Limits.

    def set_hosts(self, hosts: int) -> None:
        """Sets how many entry hosts share the limits."""
        self._hosts = hosts

    def record_answer(
        self, registration: registry_lib.Registration, text: str | None
    ) -> None:
        """Records the limit in an answer of a target.

        Args:
            registration: The target's registration.
            text: The limit that the answer names; None if it names none.
        """
        rate = None
        if text is not None:
            rate = rate_limits_lib.parse(text)
            if rate is None:
                # The target meant to name a limit, so the last one stays.
                logs.warn(
                    "rate_limit_unreadable", target=registration.name, text=text
                )
                return
        now = clock.now()
        before = self._limits.rate(
            registration.name, registration.started_at_ms
        )
        if not self._limits.record_answer(
            registration.name, registration.started_at_ms, rate, now
        ):
            return
        _log_rate_limit(registration.name, rate, "target")
        self._unreported.add(registration.name)
        is_due = now >= self._last_notified_at + _MIN_NOTIFY_INTERVAL_SECONDS
        if is_due and _is_large_change(before, rate):
            self._last_notified_at = now
            self._notify_leader()

    def merge(self, limits: Iterable[limit_messages.RateLimit]) -> None:
        """Merges limits that the leader has pushed."""
        for name in self._limits.merge(limits, clock.now()):
            _log_rate_limit(name, self._limits.rates.get(name), "leader")

    def report(
        self, *, everything: bool
    ) -> tuple[limit_messages.RateLimit, ...]:
        """Returns limits to report to the leader with a renewal.

        Args:
            everything: Whether to return all limits, for a leader that may
                have none of them.
        """
        self._reporting |= self._unreported
        self._unreported = set()
        names = None if everything else self._reporting
        return self._limits.records(clock.now(), names)

    def mark_reported(self) -> None:
        """Marks limits as reported after the renewal was answered."""
        self._reporting = set()
        for name in self._shares.keys() - self._limits.rates.keys():
            del self._shares[name]

    # Sends.

    async def acquire_send(
        self,
        registration: registry_lib.Registration,
        patience: float,
        cold_rate: float | None = None,
    ) -> float | None:
        """Waits until a request may be sent to a target.

        Args:
            registration: The target's registration.
            patience: Seconds for which the request can wait.
            cold_rate: Requests a second that the target accepts because it is
                cold; None if it is not.

        Returns:
            None if it may be sent now, else the seconds after which the target
            may be tried again.
        """
        now = clock.now()
        reported_rate = self._limits.rate(
            registration.name, registration.started_at_ms
        )
        rate = rate_limits_lib.lowest(reported_rate, cold_rate)
        if rate is None:
            return None
        share = self._shares.setdefault(
            registration.name, send_slots.HostShare()
        )
        if share.spend(rate, self._hosts, now):
            self._outcomes["own"] += 1
            return None
        age = self._limits.age(registration.name, now)
        answer = await self._watch.request(
            limit_messages.AskSend(
                limit=limit_messages.RateLimit(
                    registration.name,
                    registration.started_at_ms,
                    reported_rate,
                    age,
                ),
                max_wait_seconds=patience,
                cold_rate=cold_rate,
            ),
            seconds=_TIMEOUT_SECONDS,
        )
        match answer:
            case limit_messages.GiveSend(send_in=float(wait)):
                return await self._wait_for_send(registration, rate, now, wait)
            case limit_messages.GiveSend(retry_in=again):
                self._outcomes["denied"] += 1
                logs.event(
                    "send_denied",
                    target=registration.name,
                    rate=rate,
                    again_s=again,
                )
                return again
        self._outcomes["unanswered"] += 1
        return _UNANSWERED_BACKOFF_SECONDS

    async def _wait_for_send(
        self,
        registration: registry_lib.Registration,
        rate: float,
        requested_at: float,
        wait: float,
    ) -> float | None:
        """Waits for the granted moment; returns as `acquire_send` does."""
        await asyncio.sleep(wait)
        delay = clock.now() - requested_at - wait - _TIMEOUT_SECONDS
        current_rate = self._limits.rate(
            registration.name, registration.started_at_ms
        )
        has_decreased = current_rate is not None and current_rate < rate
        if delay > _MAX_DELAY_SECONDS or has_decreased:
            self._outcomes["denied"] += 1
            return 0.0
        self._outcomes["granted"] += 1
        return None


def _log_rate_limit(target: str, rate: float | None, source: str) -> None:
    logs.event(
        "rate_limit",
        target=target,
        rate="none" if rate is None else rate,
        told_by=source,
    )


def _is_large_change(before: float | None, rate: float | None) -> bool:
    if before is None or rate is None:
        return True
    return abs(rate - before) > _SMALL_CHANGE_SHARE * max(rate, before)
