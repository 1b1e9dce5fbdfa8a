"""Measures this host's load, and decides on its part of the callers from it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from endivestream import clock
from endivestream import logs
from endivestream import site_messages
from endivestream import tasks
from endivestream.process import site_settings
from endivestream.process.entry_host import host_usage
from endivestream.process.entry_host import share_factor as share_factor_lib

# Memory may grow by some megabytes within this time; reading it takes well
# under a millisecond.
_MEASUREMENT_SECONDS = 0.5
# Callers' lists are this many lookup periods old at most.
_LIST_LIFETIMES = 3


class HostLoad:
    """Load of one entry host, for the lifetime of the process.

    Without stated resources nothing is measured, reported or refused.
    """

    def __init__(
        self,
        *,
        settings: site_settings.SiteSettings,
        running: Callable[[], int],
        passed_bytes: Callable[[], int],
    ) -> None:
        """Measures nothing before `start`.

        Args:
            settings: The host's settings.
            running: Returns the number of requests in progress.
            passed_bytes: Returns the bytes of requests and answers so far.
        """
        resources = settings.resources
        self._has_resources = any(resources)
        self._meter = host_usage.UsageMeter(
            resources=resources,
            running=running,
            passed_bytes=passed_bytes,
            now=clock.now(),
        )
        self._factor = share_factor_lib.ShareFactor(
            step_seconds=_LIST_LIFETIMES * settings.address_seconds
        )
        self._publisher = share_factor_lib.ReportPublisher(
            host=settings.name, resources=resources
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def report(self) -> site_messages.HostReport | None:
        """The report for the leader; None without stated resources."""
        return self._publisher.report if self._has_resources else None

    @property
    def usage(self) -> share_factor_lib.HostUsage:
        """Usage with averaged processor and link."""
        return self._factor.average

    @property
    def share_factor(self) -> float:
        """Part of its share of callers that the host takes."""
        return self._factor.value

    @property
    def is_refusing(self) -> bool:
        """Whether the work of new connections is refused."""
        return self._factor.is_refusing

    def start(self) -> None:
        """Starts measuring."""
        if self._has_resources:
            self._tasks = [
                tasks.start_restarting(self._run, type(self).__name__)
            ]

    async def close(self) -> None:
        """Stops measuring."""
        await tasks.cancel(self._tasks)

    def record(self, usage: share_factor_lib.HostUsage, now: float) -> None:
        """Takes a measurement into account."""
        was_refusing = self.is_refusing
        factor_before = self._publisher.report.share_factor
        self._factor.update(usage, now)
        average = self._factor.average
        self._publisher.update(average, self.share_factor, now)
        if self._publisher.report.share_factor != factor_before:
            logs.event(
                "host_share",
                factor=self._publisher.report.share_factor,
                before=factor_before,
                **_log_fields(average),
            )
        if self.is_refusing != was_refusing:
            logs.warn(
                "host_refusing" if self.is_refusing else "host_accepting",
                **_log_fields(average),
            )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_MEASUREMENT_SECONDS)
            now = clock.now()
            self.record(self._meter.measure(now), now)


def _log_fields(usage: share_factor_lib.HostUsage) -> dict[str, float]:
    return {name: round(value, 2) for name, value in usage._asdict().items()}
