"""The part of its share of callers that an entry host takes.

Pure. Load pattern: a host's processor, link, memory or descriptors fill up
because its requests are larger than those of others, or because its callers
stay. Callers' lists follow three lookup periods late; a host that reacted to
each measurement would be empty and full in turn.

Times are in seconds, usage is a share of what the host has.
"""

from __future__ import annotations

from typing import NamedTuple

from endivestream import site_messages
from endivestream.process import site_settings

# Usage of the scarcest resource that a host aims at: a rise by a third, which
# shows in lists only after seconds, still finds room.
_TARGET_USAGE = 0.75
# Relative change of the factor for each unit of difference to that usage. The
# usage is proportional to the factor at most. Below 1 a step never overshoots;
# half of it allows for spilling to other domains, which also follows the
# factor.
_GAIN = 0.5
_MAX_DECREASE = 0.3
_MAX_INCREASE = 0.1
# Differences within which the factor stays, so that it settles.
_DEAD_BAND = 0.05
_MIN_FACTOR = 0.25
# Memory and descriptors run out at once. A host near these limits gets no new
# callers, and before it reaches them it refuses new connections. Each state
# ends at a lower usage than it begins.
_NEAR_LIMIT, _NEAR_LIMIT_ENDS = 0.85, 0.75
_REFUSAL_LIMIT, _REFUSAL_ENDS = 0.9, 0.85
# Steps without growth after which a host near the limit of its memory gets and
# accepts callers again: a process does not return all the memory that it once
# used, and uses it again before it grows.
_STEPS_WITHOUT_GROWTH = 3
_GROWTH = 0.02
# Period over which the use of processor and link is averaged. Demand that
# moves between domains within it is not followed: lists would be too late.
_AVERAGING_SECONDS = 12.0
# A published report is replaced if its factor or a usage differs by this much,
# and not more often than this.
_REPORT_STEP = 0.1
_USAGE_STEP = 0.15
_REPORT_SECONDS = 4.0


class HostUsage(NamedTuple):
    """Use of a host's resources; 0 for those that settings do not state.

    Attributes:
        processor: Share of its cores.
        memory: Share of its memory.
        descriptors: Share of its file descriptors.
        link: Share of its bandwidth.
        streams: Number of requests in progress.
    """

    processor: float = 0.0
    memory: float = 0.0
    descriptors: float = 0.0
    link: float = 0.0
    streams: int = 0

    @property
    def scarcest(self) -> float:
        """Use of the resource that is used most."""
        return max(self.processor, self.memory, self.descriptors, self.link)

    @property
    def limited(self) -> float:
        """Use of the resources that requests fail without."""
        return max(self.memory, self.descriptors)


class ShareFactor:
    """Adapts the factor of one host in steps as long as its effect is late."""

    def __init__(self, *, step_seconds: float) -> None:
        """Starts with the whole share.

        Args:
            step_seconds: Time after which a change shows in all callers' lists.
        """
        self._step_seconds = step_seconds
        self._value = 1.0
        self._is_near_limit = False
        self._is_refusing = False
        self._average = HostUsage()
        self._updated_at: float | None = None
        self._stepped_at = 0.0
        self._limited_at_step = 0.0
        self._memory_at_step = 0.0
        self._steps_without_growth = 0
        # Use of memory that the process does not return.
        self._kept_usage = 0.0

    def __repr__(self) -> str:
        return f"<ShareFactor {self.value:.2f}>"

    @property
    def value(self) -> float:
        """The part of its share that the host takes, from 0 to 1."""
        return 0.0 if self._is_near_limit else self._value

    @property
    def is_refusing(self) -> bool:
        """Whether the host refuses the work of new connections."""
        return self._is_refusing

    @property
    def average(self) -> HostUsage:
        """Usage with averaged processor and link."""
        return self._average

    def update(self, usage: HostUsage, now: float) -> None:
        """Takes a measurement of the host's usage into account."""
        if self._updated_at is None:
            self._average = usage
            self._stepped_at = now
        else:
            self._average = _averaged(
                self._average, usage, now - self._updated_at
            )
        self._updated_at = now
        self._update_limits(usage)
        if now - self._stepped_at >= self._step_seconds:
            self._stepped_at = now
            self._step(usage)
            self._memory_at_step = usage.memory

    def _update_limits(self, usage: HostUsage) -> None:
        was_refusing, was_near = self._is_refusing, self._is_near_limit
        if usage.limited < _NEAR_LIMIT_ENDS:
            self._kept_usage = 0.0
        kept = self._kept_usage + _GROWTH
        if was_refusing:
            self._is_refusing = usage.limited >= _REFUSAL_ENDS
        else:
            self._is_refusing = (
                usage.descriptors >= _REFUSAL_LIMIT
                or usage.memory >= max(_REFUSAL_LIMIT, kept)
            )
        if was_near:
            self._is_near_limit = usage.limited >= _NEAR_LIMIT_ENDS
        else:
            self._is_near_limit = (
                usage.descriptors >= _NEAR_LIMIT
                or usage.memory >= max(_NEAR_LIMIT, kept)
            )
        if self._is_near_limit and not was_near:
            self._value = _MIN_FACTOR
            self._steps_without_growth = 0
            self._limited_at_step = usage.limited

    def _step(self, usage: HostUsage) -> None:
        if self._is_near_limit:
            self._step_near_limit(usage)
            return
        scarcest = max(
            self._average.processor, usage.descriptors, self._average.link
        )
        if usage.memory > self._memory_at_step + _GROWTH:
            # Memory counts only while it grows: most of what a process has
            # once used it keeps, whatever its share of callers.
            scarcest = max(scarcest, usage.memory)
        difference = _TARGET_USAGE - scarcest
        if self._value < 1 and abs(difference) < _DEAD_BAND:
            return
        change = min(_MAX_INCREASE, max(-_MAX_DECREASE, _GAIN * difference))
        self._value = min(1.0, max(_MIN_FACTOR, self._value * (1 + change)))

    def _step_near_limit(self, usage: HostUsage) -> None:
        has_grown = usage.limited > self._limited_at_step + _GROWTH
        self._steps_without_growth = (
            0 if has_grown else self._steps_without_growth + 1
        )
        self._limited_at_step = usage.limited
        if (
            self._steps_without_growth >= _STEPS_WITHOUT_GROWTH
            # Descriptors are returned when their connections are closed.
            and usage.descriptors < _NEAR_LIMIT_ENDS
        ):
            self._is_near_limit = False
            self._is_refusing = False
            self._kept_usage = usage.memory


class ReportPublisher:
    """Rounds a host's report, so that the leader's table seldom changes."""

    def __init__(
        self, *, host: str, resources: site_settings.HostResources
    ) -> None:
        self._host = host
        self._resources = resources
        self._published_at = 0.0
        self._report = self._build(HostUsage(), 1.0)

    @property
    def report(self) -> site_messages.HostReport:
        """The report to be sent with renewals."""
        return self._report

    def update(self, usage: HostUsage, factor: float, now: float) -> bool:
        """Replaces the report if it is outdated; returns whether it was."""
        before = self._report
        # Near a limit callers must be sent elsewhere without delay.
        is_urgent = factor == 0 and before.share_factor > 0
        if not is_urgent and now - self._published_at < _REPORT_SECONDS:
            return False
        is_outdated = (
            is_urgent
            or abs(factor - before.share_factor) >= _REPORT_STEP
            or (factor == 1.0) != (before.share_factor == 1.0)
            or abs(usage.processor - before.processor) >= _USAGE_STEP
            or abs(usage.memory - before.memory) >= _USAGE_STEP
            or abs(usage.descriptors - before.open_descriptors) >= _USAGE_STEP
            or abs(usage.link - before.link) >= _USAGE_STEP
        )
        if is_outdated:
            self._report = self._build(usage, factor)
            self._published_at = now
        return is_outdated

    def _build(
        self, usage: HostUsage, factor: float
    ) -> site_messages.HostReport:
        return site_messages.HostReport(
            host=self._host,
            cores=self._resources.cores,
            memory_mb=self._resources.memory_mb,
            descriptors=self._resources.descriptors,
            link_mbps=self._resources.link_mbps,
            processor=round(usage.processor, 1),
            memory=round(usage.memory, 1),
            open_descriptors=round(usage.descriptors, 1),
            link=round(usage.link, 1),
            streams=usage.streams,
            share_factor=round(factor, 2),
        )


def _averaged(
    average: HostUsage, usage: HostUsage, seconds: float
) -> HostUsage:
    part = min(1.0, seconds / _AVERAGING_SECONDS)

    def mixed(before: float, value: float) -> float:
        return before + part * (value - before)

    return usage._replace(
        processor=mixed(average.processor, usage.processor),
        link=mixed(average.link, usage.link),
    )
