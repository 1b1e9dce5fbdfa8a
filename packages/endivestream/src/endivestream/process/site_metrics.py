"""Metrics of entry hosts and control hosts, as text.

Labels are names of ours and of the configuration, and statuses; nothing that a
caller can make up.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import prometheus_client
from prometheus_client import core

from endivestream import loop_meter
from endivestream.request import forward_parts

_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.1, 2.0, 4.0, 8.0, 16.0)
_PAUSES = (0.01, 0.02, 0.034, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0)


class _Metrics:
    """A registry of its own, so that several hosts fit into one process."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()

    def _gauge(self, name: str, what: str, read: Callable[[], float]) -> None:
        gauge = prometheus_client.Gauge(
            f"endivestream_{name}", what, registry=self._registry
        )
        gauge.set_function(read)

    def _histogram(
        self, name: str, what: str, buckets: tuple[float, ...]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"endivestream_{name}",
            what,
            ["kind"],
            buckets=buckets,
            registry=self._registry,
        )

    def _loop(self, meter: loop_meter.LoopMeter) -> None:
        self._gauge(
            "loop_late_seconds",
            "Lateness of the event loop at the last look",
            lambda: meter.late,
        )
        self._gauge(
            "loop_latest_seconds",
            "Greatest lateness of the event loop since the start",
            lambda: meter.latest,
        )
        self._registry.register(_Work(meter=meter))

    def exposition(self) -> bytes:
        """Returns all metrics in the text format."""
        return prometheus_client.generate_latest(self._registry)


class _Work:
    """What the event loop's time goes to, by type of message."""

    def __init__(self, *, meter: loop_meter.LoopMeter) -> None:
        self._meter = meter

    def collect(self) -> Iterator[core.Metric]:
        """Yields the figures as they are now."""
        count = core.CounterMetricFamily(
            "endivestream_work", "Messages and other work", labels=["kind"]
        )
        size = core.CounterMetricFamily(
            "endivestream_work_bytes", "Bytes of messages", labels=["kind"]
        )
        seconds = core.CounterMetricFamily(
            "endivestream_work_seconds", "Time of the loop", labels=["kind"]
        )
        longest = core.GaugeMetricFamily(
            "endivestream_work_longest_seconds",
            "Longest uninterrupted run of the loop",
            labels=["kind"],
        )
        for kind, tally in self._meter.tallies.items():
            count.add_metric([kind], tally.count)
            size.add_metric([kind], tally.size)
            seconds.add_metric([kind], tally.seconds)
            longest.add_metric([kind], tally.longest)
        yield from (count, size, seconds, longest)


class _LimitedSends:
    """Sends to targets that name a limit, by what became of them."""

    def __init__(self, *, outcomes: Callable[[], Mapping[str, int]]) -> None:
        self._outcomes = outcomes

    def collect(self) -> Iterator[core.Metric]:
        """Yields the figures as they are now."""
        sends = core.CounterMetricFamily(
            "endivestream_limited_sends",
            "Sends to targets that name a limit",
            labels=["outcome"],
        )
        for outcome, count in self._outcomes().items():
            sends.add_metric([outcome], count)
        yield sends


class EntryMetrics(_Metrics):
    """What an entry host counts."""

    def __init__(
        self,
        *,
        running: Callable[[], float],
        version: Callable[[], float],
        lease: Callable[[], float],
        targets: Callable[[], float],
        rate_limited: Callable[[], float],
        limited_sends: Callable[[], Mapping[str, int]],
        meter: loop_meter.LoopMeter,
    ) -> None:
        """Counts nothing yet.

        Args:
            running: Returns how many requests run.
            version: Returns the configuration version in force.
            lease: Returns seconds left of the lease.
            targets: Returns how many targets are known.
            rate_limited: Returns how many of them name a limit.
            limited_sends: Returns how many sends to these ended in what.
            meter: Where the event loop's time goes.
        """
        super().__init__()
        self._requests = prometheus_client.Counter(
            "endivestream_requests",
            "Ended requests",
            ["kind", "status", "reason"],
            registry=self._registry,
        )
        self._tries = prometheus_client.Counter(
            "endivestream_sends",
            "Attempts with targets",
            ["kind"],
            registry=self._registry,
        )
        self._waited = self._histogram(
            "waited_seconds", "Until a request was first sent", _SECONDS
        )
        self._first = self._histogram(
            "first_byte_seconds", "Until the first byte of the answer", _SECONDS
        )
        self._total = self._histogram(
            "request_seconds", "Until the end of a request", _SECONDS
        )
        self._gap = self._histogram(
            "stream_pause_seconds", "Longest pause of a stream", _PAUSES
        )
        self._gauge("running", "Requests that run", running)
        self._gauge("configuration_version", "Version in force", version)
        self._gauge("lease_left_seconds", "Left of the lease", lease)
        self._gauge("targets", "Targets that are known", targets)
        self._gauge(
            "rate_limited_targets", "Targets that name a limit", rate_limited
        )
        self._registry.register(_LimitedSends(outcomes=limited_sends))
        self._loop(meter)

    def observe(self, ended: forward_parts.Ended) -> None:
        """Counts a finished request."""
        kind = ended.kind or "none"
        self._requests.labels(kind, ended.status, ended.reason).inc()
        self._tries.labels(kind).inc(ended.tries)
        self._total.labels(kind).observe(ended.total)
        if ended.tries:
            self._waited.labels(kind).observe(ended.waited)
            self._first.labels(kind).observe(ended.first)
        if ended.gap:
            self._gap.labels(kind).observe(ended.gap)


class ControlMetrics(_Metrics):
    """What a control host counts."""

    def __init__(
        self,
        *,
        leads: Callable[[], float],
        term: Callable[[], float],
        index: Callable[[], float],
        version: Callable[[], float],
        departed: Callable[[], float],
        unplaced: Callable[[], float],
        meter: loop_meter.LoopMeter,
    ) -> None:
        """Counts nothing itself; each figure is read when it is asked for.

        Args:
            leads: Returns 1 if this host leads, else 0.
            term: Returns the log's term.
            index: Returns the last entry that is applied.
            version: Returns the newest configuration version held.
            departed: Returns how many targets that left are remembered.
            unplaced: Returns how many models requests wait for that this
                host, if it places models, is not loading.
            meter: Where the event loop's time goes.
        """
        super().__init__()
        self._gauge("leads", "1 if this host leads", leads)
        self._gauge("log_term", "Term of the log", term)
        self._gauge("log_applied_index", "Last entry applied", index)
        self._gauge("configuration_version", "Newest version held", version)
        self._gauge("departed_targets", "Targets that left", departed)
        self._gauge(
            "unplaced_models",
            "Models that requests wait for and that are not being loaded",
            unplaced,
        )
        self._loop(meter)
