"""Interfaces between the forwarder and the rest of an entry host."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from endivestream.connection import exchange as exchange_lib
from endivestream.connection import process_proof as process_proof_lib
from endivestream.connection import registry as registry_lib
from endivestream.process import crash_reporter as crash_reporter_lib
from endivestream.request import admission
from endivestream.request import relay_hosts as relay_hosts_lib
from endivestream.request import repeats as repeats_lib
from endivestream.request import resumptions
from endivestream.request import stream_origins
from endivestream.request import target_selection
from endivestream.request.buffering import answer_buffer
from endivestream.request.buffering import target_memory as target_memory_lib
from endivestream.request.hedging import permits as permits_lib
from endivestream.request.waiting import slot_answers
from endivestream.version import document as document_lib


class Credit:
    """Source of teams' credit; see `process.entry`."""

    async def take(
        self,
        team: document_lib.Team,
        cost: float,
        *,
        timely_within: float,
        patience: float,
    ) -> float | None:
        """Takes credit, waiting for it if the request can still be in time.

        Args:
            team: The team that is charged.
            cost: Credit to take.
            timely_within: Seconds that the request can wait and still meet its
                objective.
            patience: Maximum seconds that it can wait.

        Returns:
            None if the credit was taken, else the seconds after which the
            caller should retry.
        """
        raise NotImplementedError

    def refund(self, team: document_lib.Team, cost: float) -> None:
        """Refunds the credit of a request that has not run."""
        raise NotImplementedError


class SlotSource:
    """Source of slots of engines; see `process.prefill_turn_service`."""

    async def request_slot(
        self,
        question: slot_answers.SlotQuestion,
        *,
        is_wanted: Callable[[], bool],
    ) -> slot_answers.SlotAnswer:
        """Waits for a slot of an engine and for the prefill turn there.

        Args:
            question: The request.
            is_wanted: Returns whether the request may still use the engine.
        """
        raise NotImplementedError

    def end_slot(self, slot: slot_answers.Slot) -> None:
        """Releases a granted slot."""
        raise NotImplementedError

    def may_assume_slot(self, target: str, slots: int, running: int) -> bool:
        """Returns whether a request may be sent without an answer."""
        raise NotImplementedError


class SharedParts(NamedTuple):
    """Services and callbacks shared by all requests of this host.

    Attributes:
        rules: Admission rules.
        view: This host's view of the targets.
        pool: Connections to targets and relay hosts.
        relay_hosts: Entry hosts that can relay this host's requests.
        host: Name of this host.
        credit: Source of teams' credit.
        repeats: Returns this host's repeat budget for a service.
        request_repeat: Requests one repeat from the leader, out of a service's
            shared repeat budget; returns whether it was granted.
        report_missing: Reports to the planner what no target holds that a
            request may use; returns a callback that ends the report. Arguments
            are the request and where its stream began, or None.
        wait_for_change: Waits until targets change, up to the given seconds.
        confirm_configuration: Waits until this host's configuration is
            confirmed as the newest, up to the given seconds; returns whether it
            was.
        request_received: Counts a request for a model; of slot-bound services
            once its team has credit for it.
        target_assigned: Called when a request has been assigned a target.
        model_idle: Called when the last run of a model that is to be unloaded
            has ended.
        slot_freed: Called when a slot on a target may be free.
        acquire_send: Waits until a request may be sent to a rate-limited
            target, up to the given seconds, with its cold rate if it is cold.
            Returns None if it may, else the seconds after which the target may
            be tried again.
        query_sent: Called with a rate-limited target before a query that counts
            against its limit.
        rate_limit_reported: Called for each answer of a target with the text of
            its rate limit header; None without the header.
        prefill_delay: Returns seconds until the prefill turn of a prompt, by
            the engine, its failure domain, the prompt's tokens and rank.
        prefill_observed: Records how long an engine took until the first event
            of an answer, by the engine, its failure domain, the prompt's tokens
            and the seconds.
        find_origin: Looks up where the stream of a caller's attempt began.
        sole_software: Returns the only software version that targets of a
            service have had in the given seconds, for a stream of a resumable
            route or another; None if that is not proved.
        stream_bound: Records where a stream began, for the caller's attempts
            that may name it, for some seconds.
        process_proof: Proves which processes connections belong to.
        crash_reporter: Examines targets whose answers break off.
        record_metrics: Records the metrics of a finished request.
        hedge_permits: Limits of second attempts; None if none are sent.
        buffers: Hold what slow callers do not take; None where targets wait for
            them.
        slots: Source of slots of slot-bound services; None without any.
        target_memory: Bounds the load of targets that have ended under it; None
            where none is bounded.
    """

    rules: admission.AdmissionInputs
    view: target_selection.TargetView
    pool: exchange_lib.Pool
    relay_hosts: relay_hosts_lib.RelayHosts
    host: str
    credit: Credit
    repeats: Callable[[str], repeats_lib.RepeatBudget]
    request_repeat: Callable[[str], Awaitable[bool]]
    report_missing: Callable[
        [admission.AdmittedRequest, stream_origins.StreamOrigin | None],
        Callable[[], None],
    ]
    wait_for_change: Callable[[float], Awaitable[None]]
    confirm_configuration: Callable[[float], Awaitable[bool]]
    request_received: Callable[[admission.AdmittedRequest], None]
    target_assigned: Callable[[admission.AdmittedRequest], None]
    model_idle: Callable[[], None]
    slot_freed: Callable[[], None]
    acquire_send: Callable[
        [registry_lib.Registration, float, float | None],
        Awaitable[float | None],
    ]
    rate_limit_reported: Callable[[registry_lib.Registration, str | None], None]
    prefill_delay: Callable[[str, str, float, int], Awaitable[float]]
    prefill_observed: Callable[[str, str, float, float], None]
    find_origin: Callable[[str], Awaitable[resumptions.Lookup]]
    sole_software: Callable[[str, float, bool], Awaitable[str | None]]
    stream_bound: Callable[
        [Iterable[str], stream_origins.StreamOrigin, float], None
    ]
    process_proof: process_proof_lib.ProcessProof
    crash_reporter: crash_reporter_lib.CrashReporter
    record_metrics: Callable[[RequestSummary], None]
    hedge_permits: permits_lib.HedgePermits | None = None
    buffers: answer_buffer.AnswerBuffers | None = None
    slots: SlotSource | None = None
    target_memory: target_memory_lib.TargetMemory | None = None
    query_sent: Callable[[str], None] = lambda target: None


class RequestSummary(NamedTuple):
    """A finished request, for logs and metrics.

    Attributes:
        route: The route's name, or empty.
        kind: The route's kind, or empty.
        team: The team's name, or empty.
        status: The status sent; 0 if the caller disconnected before.
        reason: Reason of the outcome.
        waited: Seconds from arrival until it was first sent to a target.
        first: Seconds from arrival until the first byte of the answer.
        total: Seconds from arrival until the end.
        gap: Longest pause between two chunks of a stream, in seconds.
        tries: Number of attempts.
    """

    route: str
    kind: str
    team: str
    status: int
    reason: str
    waited: float
    first: float
    total: float
    gap: float
    tries: int
