"""Records of non-idempotent calls, which ensure at-most-once execution.

A record is committed to the log before the call is sent to a target, and
completed with the response. A retry of the call receives the stored response,
or an error that the outcome is unknown; the call is never sent again.
"""

from __future__ import annotations

from collections.abc import Collection
import hashlib
import re
from typing import NamedTuple
import uuid

import msgspec

# Records are kept this long; older keys that carry a time are rejected.
RECORD_LIFETIME_SECONDS = 24 * 3600.0
# Maximum difference between the clocks of callers and hosts.
MAX_CLOCK_SKEW_SECONDS = 300.0
# Keys that carry no time (opaque keys) cannot be dropped safely, so their
# digests are kept. Above this number, calls with new opaque keys are rejected
# and the caller must use keys that carry a time.
MAX_OPAQUE_KEYS = 100_000
# Bounds the size of the replicated state. The body of a longer response is
# truncated, and the replayed response is marked as truncated.
MAX_STORED_BODY_BYTES = 16 * 1024

_UNIX_TIME_PREFIX = re.compile(r"(\d{10})[-.:]")


class ClaimCall(msgspec.Struct, frozen=True, kw_only=True, tag="BeginCall"):
    """Claims the right to send a call once.

    Attributes:
        team: Team of the caller.
        service: Service that is called.
        key: Value of the Idempotency-Key header.
        fingerprint: Digest of method, path and body.
        holder: Attempt that claims the call, as `host/incarnation/attempt`.
        at: Unix time of the claim, in seconds.
    """

    team: str
    service: str
    key: str
    fingerprint: str
    holder: str
    at: float


class CompleteCall(msgspec.Struct, frozen=True, kw_only=True, tag="EndCall"):
    """Stores the outcome of a call.

    Attributes:
        team: As in `ClaimCall`.
        service: As in `ClaimCall`.
        key: As in `ClaimCall`.
        holder: Attempt that holds the claim.
        outcome: `done`, `unknown`, or `not_run` if it is certain that nothing
            was sent; `not_run` releases the key.
        status: HTTP status of the response.
        content_type: Content type of the body.
        body: Body of the response, at most `MAX_STORED_BODY_BYTES`.
    """

    team: str
    service: str
    key: str
    holder: str
    outcome: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class AbandonCalls(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Marks running calls of a host's earlier incarnations as unknown.

    Attributes:
        host: Name of the host.
        first_live_incarnation: Calls of incarnations lower than this one are
            abandoned.
    """

    host: str
    first_live_incarnation: int = msgspec.field(name="before")


class ExpireCalls(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Removes records older than `RECORD_LIFETIME_SECONDS`.

    Attributes:
        now: Unix time of the proposer, in seconds.
    """

    now: float


Command = ClaimCall | CompleteCall | AbandonCalls | ExpireCalls


class Record(NamedTuple):
    """State and response of a call.

    Attributes:
        fingerprint: Digest of method, path and body.
        holder: Attempt that may send the call.
        state: `running`, `done` or `unknown`.
        started_at: Unix time of the claim, in seconds.
        status: HTTP status of the stored response.
        content_type: Content type of the stored response.
        body: Body of the stored response.
    """

    fingerprint: str
    holder: str
    state: str
    started_at: float
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class CallStarted(msgspec.Struct, frozen=True, kw_only=True, tag="Begun"):
    """The claim was granted: the holder may send the call once."""


class CallExists(msgspec.Struct, frozen=True, kw_only=True, tag="Known"):
    """The call already has a record.

    Attributes:
        record: The existing record.
        same: Whether its fingerprint equals that of the new claim.
    """

    record: Record
    same: bool


class KeyRejected(msgspec.Struct, frozen=True, kw_only=True, tag="Forgotten"):
    """The call must not run: its record expired or could not be kept.

    Attributes:
        reason: `expired` or `too_many_opaque_keys`.
    """

    reason: str


class CommandApplied(msgspec.Struct, frozen=True, kw_only=True, tag="Ended"):
    """Result of every command except `ClaimCall`."""


Result = CallStarted | CallExists | KeyRejected | CommandApplied


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All records and the digests of expired opaque keys."""

    records: dict[str, Record]
    opaque: list[bytes]


def key_time(key: str) -> float | None:
    """Returns the Unix time that an Idempotency-Key carries, or None.

    A key carries its time as a UUID of version 7, or as ten digits of Unix
    seconds before `-`, `.` or `:`.
    """
    match = _UNIX_TIME_PREFIX.match(key)
    if match:
        return float(match.group(1))
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version == 7:
        return (parsed.int >> 80) / 1000.0
    return None


def _trusted_key_time(key: str, started_at: float) -> float | None:
    """Returns the time that a key carries, or None if it has no valid one.

    A time in the future is ignored: such a key would not have expired yet
    when its record is removed (symptom: a call runs again a day later).
    """
    created_at = key_time(key)
    if created_at is None or created_at > started_at + MAX_CLOCK_SKEW_SECONDS:
        return None
    return created_at


def _holder_process(holder: str) -> tuple[str, int]:
    """Parses host name and incarnation from a holder."""
    host, incarnation, _ = holder.split("/", 2)
    return host, int(incarnation)


def _record_key(team: str, service: str, key: str) -> str:
    return f"{team}\0{service}\0{key}"


def _opaque_digest(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=16).digest()


class Calls:
    """The replicated records of non-idempotent calls."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._opaque_digests: set[bytes] = set()
        # Keys of running calls by host name and incarnation of their holder.
        # Without this index the leader scanned all records for each host that
        # connected: 5 s when 390 hosts reconnected with 30,000 records.
        self._running: dict[tuple[str, int], set[str]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __repr__(self) -> str:
        running = sum(map(len, self._running.values()))
        return f"<Calls: {len(self._records)} kept, {running} running>"

    @property
    def running_processes(self) -> Collection[tuple[str, int]]:
        """Host names and incarnations that hold running calls."""
        return self._running.keys()

    def _set_record(self, name: str, record: Record | None) -> None:
        """Sets or removes a record and updates the index of running calls."""
        previous = self._records.pop(name, None)
        if previous is not None and previous.state == "running":
            holder = _holder_process(previous.holder)
            self._running[holder].discard(name)
            if not self._running[holder]:
                del self._running[holder]
        if record is not None:
            self._records[name] = record
            if record.state == "running":
                holder = _holder_process(record.holder)
                self._running.setdefault(holder, set()).add(name)

    def apply(self, command: Command) -> Result:
        """Applies one command in log order, deterministically."""
        match command:
            case ClaimCall():
                return self._begin(command)
            case CompleteCall():
                self._end(command)
            case AbandonCalls(host=host, first_live_incarnation=before):
                self._abandon(host, before)
            case ExpireCalls(now=now):
                self._expire(now)
        return CommandApplied()

    def _begin(self, command: ClaimCall) -> Result:
        name = _record_key(command.team, command.service, command.key)
        record = self._records.get(name)
        if record is not None:
            # The holder repeats its claim: the reply to the first one may
            # have been lost before the call was sent.
            if record.holder == command.holder and record.state == "running":
                return CallStarted()
            same = record.fingerprint == command.fingerprint
            return CallExists(record=record, same=same)
        # Checked for every key: a key whose time was in the future at its
        # first use is kept as an opaque key, but a day later it looks like a
        # key that carries a valid time.
        if _opaque_digest(name) in self._opaque_digests:
            return KeyRejected(reason="expired")
        created_at = _trusted_key_time(command.key, command.at)
        if created_at is None:
            if len(self._opaque_digests) >= MAX_OPAQUE_KEYS:
                return KeyRejected(reason="too_many_opaque_keys")
        elif (
            created_at
            < command.at - RECORD_LIFETIME_SECONDS + MAX_CLOCK_SKEW_SECONDS
        ):
            # A record is kept for RECORD_LIFETIME_SECONDS, and a key is
            # accepted only while it is younger than that minus the clock
            # skew. When a record is removed, its key is already too old.
            return KeyRejected(reason="expired")
        self._set_record(
            name,
            Record(command.fingerprint, command.holder, "running", command.at),
        )
        return CallStarted()

    def _end(self, command: CompleteCall) -> None:
        name = _record_key(command.team, command.service, command.key)
        record = self._records.get(name)
        if record is None or record.holder != command.holder:
            return
        if command.outcome == "not_run":
            # Only the holder can be certain that it sent no byte.
            if record.state == "running":
                self._set_record(name, None)
            return
        # If the holder of an abandoned call was only unreachable, its response
        # may still arrive: unknown becomes done. The reverse never happens.
        if record.state == "done":
            return
        self._set_record(
            name,
            record._replace(
                state=command.outcome,
                status=command.status,
                content_type=command.content_type,
                body=command.body[:MAX_STORED_BODY_BYTES],
            ),
        )

    def _abandon(self, host: str, min_incarnation: int) -> None:
        abandoned = [
            name
            for (owner, incarnation), names in self._running.items()
            if owner == host and incarnation < min_incarnation
            for name in names
        ]
        for name in abandoned:
            record = self._records[name]
            self._set_record(name, record._replace(state="unknown"))

    def _expire(self, now: float) -> None:
        for name, record in list(self._records.items()):
            if record.started_at + RECORD_LIFETIME_SECONDS >= now:
                continue
            if (
                _trusted_key_time(name.rsplit("\0", 1)[1], record.started_at)
                is None
            ):
                self._opaque_digests.add(_opaque_digest(name))
            self._set_record(name, None)

    def snapshot(self) -> Snapshot:
        """Returns all records and digests."""
        return Snapshot(
            records=dict(self._records), opaque=sorted(self._opaque_digests)
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces all records and digests."""
        self._records = {}
        self._running = {}
        for name, record in snapshot.records.items():
            self._set_record(name, record)
        self._opaque_digests = set(snapshot.opaque)
