"""Metrics of entry hosts and control hosts, as text.

Label values are fixed names, names of the configuration and statuses. Callers
cannot add values, so the number of time series is bounded.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import prometheus_client
from prometheus_client import core

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import tasks
from endivestream.process import listeners as listeners_lib
from endivestream.request import forward_parts
from endivestream.request.buffering import answer_buffer
from endivestream.request.buffering import target_memory as target_memory_lib

# Upper bounds of histogram buckets, in seconds.
_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.1, 2.0, 4.0, 8.0, 16.0)
_PAUSE_BUCKETS = (0.01, 0.02, 0.034, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0)


class _Metrics:
    """Metrics in a separate registry, so that hosts can share a process."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()

    def _gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        gauge = prometheus_client.Gauge(
            f"endivestream_{name}", description, registry=self._registry
        )
        gauge.set_function(read)

    def _histogram(
        self, name: str, description: str, buckets: tuple[float, ...]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"endivestream_{name}",
            description,
            ["kind"],
            buckets=buckets,
            registry=self._registry,
        )

    def _add_counts(
        self,
        name: str,
        description: str,
        label: str,
        counts: Callable[[], Mapping[str, int]],
    ) -> None:
        collector = _CountsCollector(
            name=name, description=description, label=label, counts=counts
        )
        self._registry.register(collector)

    def _add_loop_metrics(self, meter: loop_meter.LoopMeter) -> None:
        self._gauge(
            "loop_late_seconds",
            "Lateness of the event loop at the last check, in seconds",
            lambda: meter.lateness,
        )
        self._gauge(
            "loop_latest_seconds",
            "Maximum lateness of the event loop since the process started",
            lambda: meter.max_lateness,
        )
        self._registry.register(_LoopWorkCollector(meter=meter))
        self._add_counts(
            "task_restarts",
            "Restarts of tasks that failed, by task",
            "task",
            tasks.restarts,
        )
        self._add_counts(
            "problems",
            "Warnings and errors in the log, by event",
            "event",
            logs.problem_counts,
        )

    def add_listeners(self, listeners: listeners_lib.Listeners) -> None:
        """Registers what clients use of the process."""
        self._gauge(
            "request_memory_bytes",
            "Memory held for requests that are read or served, in bytes",
            lambda: listeners.memory.held,
        )
        self._gauge(
            "connections",
            "Open connections of clients, over all listeners",
            lambda: sum(listeners.connections.values()),
        )
        self._add_counts(
            "client_limits",
            "Requests refused and connections closed at a limit on clients",
            "reason",
            lambda: listeners.counts,
        )

    def exposition(self) -> bytes:
        """Returns all metrics in the text format."""
        return prometheus_client.generate_latest(self._registry)


class _LoopWorkCollector:
    """Collects the event loop's work by message type."""

    def __init__(self, *, meter: loop_meter.LoopMeter) -> None:
        self._meter = meter

    def collect(self) -> Iterator[core.Metric]:
        """Yields the current values."""
        count = core.CounterMetricFamily(
            "endivestream_work",
            "Messages and other units of work",
            labels=["kind"],
        )
        size = core.CounterMetricFamily(
            "endivestream_work_bytes",
            "Size of messages in bytes",
            labels=["kind"],
        )
        seconds = core.CounterMetricFamily(
            "endivestream_work_seconds",
            "Time spent by the event loop",
            labels=["kind"],
        )
        longest = core.GaugeMetricFamily(
            "endivestream_work_longest_seconds",
            "Longest uninterrupted run of the event loop, in seconds",
            labels=["kind"],
        )
        for kind, tally in self._meter.tallies.items():
            count.add_metric([kind], tally.count)
            size.add_metric([kind], tally.size)
            seconds.add_metric([kind], tally.seconds)
            longest.add_metric([kind], tally.longest)
        yield from (count, size, seconds, longest)


class _CountsCollector:
    """Collects numbers that another component counts, by a label."""

    def __init__(
        self,
        *,
        name: str,
        description: str,
        label: str,
        counts: Callable[[], Mapping[str, int]],
    ) -> None:
        self._name = name
        self._description = description
        self._label = label
        self._counts = counts

    def collect(self) -> Iterator[core.Metric]:
        """Yields the current values."""
        family = core.CounterMetricFamily(
            f"endivestream_{self._name}",
            self._description,
            labels=[self._label],
        )
        for value, count in self._counts().items():
            family.add_metric([value], count)
        yield family


class EntryMetrics(_Metrics):
    """Metrics of an entry host."""

    def __init__(
        self,
        *,
        running: Callable[[], float],
        version: Callable[[], float],
        lease: Callable[[], float],
        targets: Callable[[], float],
        rate_limited: Callable[[], float],
        limited_sends: Callable[[], Mapping[str, int]],
        backoffs: Callable[[], float],
        announcements: Callable[[], Mapping[str, int]],
        withdrawn_sends: Callable[[], Mapping[str, int]],
        origins: Callable[[], float],
        origin_events: Callable[[], Mapping[str, int]],
        resumptions: Callable[[], Mapping[str, int]],
        hedges: Callable[[], Mapping[str, int]],
        denied_hedges: Callable[[], Mapping[str, int]],
        hedge_wasted_seconds: Callable[[], float],
        process_queries: Callable[[], Mapping[str, int]],
        examinations: Callable[[], Mapping[str, int]],
        quarantined: Callable[[], float],
        share_factor: Callable[[], float],
        usage: Callable[[], float],
        refuses_new: Callable[[], float],
        buffers: answer_buffer.AnswerBuffers | None = None,
        target_memory: target_memory_lib.TargetMemory | None = None,
        slots_waiting: Callable[[], float],
        slots_granted: Callable[[], float],
        slot_decisions: Callable[[], Mapping[str, int]],
        meter: loop_meter.LoopMeter,
    ) -> None:
        """Registers the metrics.

        Args:
            running: Returns the number of running requests.
            version: Returns the configuration version in force.
            lease: Returns the seconds until the lease expires.
            targets: Returns the number of known targets.
            rate_limited: Returns the number of targets that name a limit.
            limited_sends: Returns the number of sends to these by outcome.
            backoffs: Returns the number of targets that get no requests
                because they named a Retry-After.
            announcements: Returns the number of announcements by kind.
            withdrawn_sends: Returns the number of sends that were withdrawn
                before their first byte, by reason.
            origins: Returns the number of stream origins kept on this host.
            origin_events: Returns the number of origins recorded, stored,
                expired, displaced, in conflict, or not acknowledged.
            resumptions: Returns the number of resumed streams by how their
                beginning was found.
            hedges: Returns the number of hedges that were sent, won, lost, or
                failed together with the first attempt.
            denied_hedges: Returns the number of hedges that were not sent, by
                reason.
            hedge_wasted_seconds: Returns the seconds for which targets ran
                attempts that lost against another one.
            process_queries: Returns the number of connections whose process was
                queried, by result.
            examinations: Returns the number of target processes that were
                examined after a broken answer, by their state.
            quarantined: Returns the number of quarantined keys.
            share_factor: Returns the part of its share of callers that this
                host takes.
            usage: Returns the used share of this host's scarcest resource.
            refuses_new: Returns whether this host refuses the work of new
                connections.
            buffers: Hold what slow callers do not take; None without them.
            target_memory: Bounds the load of targets that have ended under it;
                None where none is bounded.
            slots_waiting: Returns the number of requests that wait here for
                slots of engines.
            slots_granted: Returns the number of slots granted here.
            slot_decisions: Returns the number of decisions on slots by kind.
            meter: The meter of the event loop.
        """
        super().__init__()
        if buffers is not None:
            budget = buffers.budget
            self._gauge(
                "buffered_bytes",
                "Bytes held for slow callers and for bodies of requests",
                lambda: budget.held,
            )
            self._gauge(
                "buffer_budget_bytes",
                "Bytes from which new requests are refused",
                lambda: budget.bounds.total,
            )
            self._add_counts(
                "slow_reader_decisions",
                "Answers paused and ended, requests refused for memory",
                "kind",
                lambda: buffers.counts,
            )
        if target_memory is not None:
            self._gauge(
                "target_memory_bounds",
                "Targets whose load is bounded after a crash",
                lambda: target_memory.count_bounds(clock.now()),
            )
            self._gauge(
                "target_memory_provisional_bounds",
                "Targets whose load is bounded until their crash is proved",
                lambda: target_memory.provisional.count(clock.now()),
            )
            self._add_counts(
                "target_memory_decisions",
                "Bounds learned, provisional and disproved; requests delayed,"
                " kept room for and refused",
                "kind",
                lambda: target_memory.counts,
            )
        self._gauge(
            "slots_waiting",
            "Requests that wait at this host for slots of its engines",
            slots_waiting,
        )
        self._gauge(
            "slots_granted",
            "Slots of engines that this host has granted",
            slots_granted,
        )
        self._add_counts(
            "slot_decisions",
            "Decisions on slots of engines, and corrections of their count",
            "kind",
            slot_decisions,
        )
        self._gauge(
            "quarantined_keys",
            "Keys of requests that are sent to no target",
            quarantined,
        )
        self._gauge(
            "host_share_factor",
            "Part of its share of callers that this host takes",
            share_factor,
        )
        self._gauge(
            "host_usage",
            "Used share of this host's scarcest resource",
            usage,
        )
        self._gauge(
            "host_refuses_new",
            "1 if this host refuses the work of new connections, else 0",
            refuses_new,
        )
        self._add_counts(
            "examined_processes",
            "Target processes examined after a broken answer",
            "state",
            examinations,
        )
        self._requests = prometheus_client.Counter(
            "endivestream_requests",
            "Ended requests",
            ["kind", "status", "reason"],
            registry=self._registry,
        )
        self._sends = prometheus_client.Counter(
            "endivestream_sends",
            "Requests sent to targets, including retries",
            ["kind"],
            registry=self._registry,
        )
        self._waited = self._histogram(
            "waited_seconds",
            "Seconds until a request was first sent to a target",
            _BUCKETS,
        )
        self._first = self._histogram(
            "first_byte_seconds",
            "Seconds until the first byte of the answer",
            _BUCKETS,
        )
        self._total = self._histogram(
            "request_seconds", "Seconds until the end of a request", _BUCKETS
        )
        self._gap = self._histogram(
            "stream_pause_seconds",
            "Longest pause between two chunks of a stream, in seconds",
            _PAUSE_BUCKETS,
        )
        self._gauge("running", "Running requests", running)
        self._gauge(
            "configuration_version",
            "Configuration version in force on this host",
            version,
        )
        self._gauge(
            "lease_left_seconds",
            "Seconds until the configuration lease expires",
            lease,
        )
        self._gauge("targets", "Known targets", targets)
        self._gauge(
            "rate_limited_targets",
            "Targets that report a rate limit",
            rate_limited,
        )
        self._gauge(
            "backoff_targets",
            "Targets that accept no requests of this host for some time",
            backoffs,
        )
        self._add_counts(
            "limited_sends",
            "Sends to targets that report a rate limit",
            "outcome",
            limited_sends,
        )
        self._add_counts(
            "target_announcements",
            "Backoffs and drains that targets announced in their answers",
            "kind",
            announcements,
        )
        self._add_counts(
            "withdrawn_sends",
            "Sends withdrawn after their target was selected",
            "reason",
            withdrawn_sends,
        )
        self._gauge(
            "stream_origins", "Stream origins kept on this host", origins
        )
        self._add_counts(
            "stream_origin_events",
            "Origins recorded, stored, expired, displaced and in conflict",
            "kind",
            origin_events,
        )
        self._add_counts(
            "resumptions",
            "Resumed streams by how their beginning was found",
            "outcome",
            resumptions,
        )
        self._add_counts(
            "hedges",
            "Second attempts beside an open first one, by outcome",
            "outcome",
            hedges,
        )
        self._add_counts(
            "denied_hedges",
            "Second attempts that were not sent",
            "reason",
            denied_hedges,
        )
        self._gauge(
            "hedge_wasted_seconds",
            "Seconds for which targets ran attempts that lost",
            hedge_wasted_seconds,
        )
        self._add_counts(
            "process_queries",
            "Connections on which the process of a target was queried",
            "result",
            process_queries,
        )
        self._add_loop_metrics(meter)

    def observe(self, ended: forward_parts.RequestSummary) -> None:
        """Records a finished request."""
        kind = ended.kind or "none"
        self._requests.labels(kind, ended.status, ended.reason).inc()
        self._sends.labels(kind).inc(ended.tries)
        self._total.labels(kind).observe(ended.total)
        if ended.tries:
            self._waited.labels(kind).observe(ended.waited)
            self._first.labels(kind).observe(ended.first)
        if ended.gap:
            self._gap.labels(kind).observe(ended.gap)


class ControlMetrics(_Metrics):
    """Metrics of a control host."""

    def __init__(
        self,
        *,
        leads: Callable[[], float],
        term: Callable[[], float],
        index: Callable[[], float],
        voters: Callable[[], float],
        learners: Callable[[], float],
        silent_voters: Callable[[], float],
        leader_silence: Callable[[], float],
        version: Callable[[], float],
        departed: Callable[[], float],
        unplaced: Callable[[], float],
        occupied: Callable[[], float] = lambda: 0.0,
        adapters_ahead: Callable[[], Mapping[str, int]] = dict,
        reports: Callable[[], Mapping[str, int]] = dict,
        software_versions: Callable[[], float] = lambda: 0.0,
        software_complete: Callable[[], float] = lambda: 0.0,
        software_counts: Callable[[], Mapping[str, int]] = dict,
        meter: loop_meter.LoopMeter,
    ) -> None:
        """Registers the metrics; each value is read when it is collected.

        Args:
            leads: Returns 1 if this host is the leader, else 0.
            term: Returns the log's term.
            index: Returns the index of the last applied entry.
            voters: Returns the number of voters in the log of this host.
            learners: Returns the number of learners in the log of this host.
            silent_voters: Returns the number of voters that have not replied
                to this host for an election timeout; 0 if it is not the leader.
            leader_silence: Returns the seconds since this host led or received
                a message of a leader; infinite if never since its start.
            version: Returns the newest configuration version on this host.
            departed: Returns the number of recorded departed targets.
            unplaced: Returns the number of models that requests wait for and
                that are not being loaded; 0 if this host does not hold the
                planner lease.
            occupied: Returns the number of engines that execute a placement
                step; 0 if this host does not hold the planner lease.
            adapters_ahead: Returns the number of adapter loads ahead of demand
                by result, since this host holds the planner lease.
            reports: Returns the number of messages with reports of targets, and
                of reports by how they were sent or what became of them.
            software_versions: Returns the number of software versions of
                targets in the log.
            software_complete: Returns 1 if the log has all versions at which
                streams can have begun, else 0.
            software_counts: Returns the number of decisions on software
                versions by kind, in all terms of this host.
            meter: The meter of the event loop.
        """
        super().__init__()
        self._gauge("leads", "1 if this host is the leader, else 0", leads)
        self._gauge("log_term", "Term of the log", term)
        self._gauge(
            "log_applied_index",
            "Index of the last applied entry of the log",
            index,
        )
        self._gauge("log_voters", "Voters in the log of this host", voters)
        self._gauge(
            "log_learners", "Learners in the log of this host", learners
        )
        self._gauge(
            "log_silent_voters",
            "Voters that do not reply to this host; 0 if it is not the leader",
            silent_voters,
        )
        self._gauge(
            "log_leader_silence_seconds",
            "Seconds since this host led or received a message of a leader",
            leader_silence,
        )
        self._gauge(
            "configuration_version",
            "Newest configuration version on this host",
            version,
        )
        self._gauge("departed_targets", "Recorded departed targets", departed)
        self._gauge(
            "unplaced_models",
            "Models that requests wait for and that are not being loaded",
            unplaced,
        )
        self._gauge(
            "occupied_engines",
            "Engines that execute a placement step or an unknown order",
            occupied,
        )
        self._add_counts(
            "adapter_loads_ahead",
            "Adapter loads that were ordered before requests waited for them",
            "result",
            adapters_ahead,
        )
        self._add_counts(
            "target_reports",
            "Messages with reports of targets to the leader, and the reports",
            "kind",
            reports,
        )
        self._gauge(
            "software_versions",
            "Software versions of targets in the log",
            software_versions,
        )
        self._gauge(
            "software_record_complete",
            "1 if the log has all versions at which streams can have begun",
            software_complete,
        )
        self._add_counts(
            "software_decisions",
            "Versions recorded, removed and listed late, and answers by source",
            "kind",
            software_counts,
        )
        self._acknowledgements = self._histogram(
            "acknowledgement_seconds",
            "Time until an operator's change was acknowledged",
            _BUCKETS,
        )
        self._add_loop_metrics(meter)

    def observe_acknowledgement(self, kind: str, seconds: float) -> None:
        """Records that an operator's change was acknowledged.

        Args:
            kind: `configuration` or `evacuation`.
            seconds: Time since this host received the change.
        """
        self._acknowledgements.labels(kind).observe(seconds)
