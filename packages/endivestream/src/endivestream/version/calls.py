"""Records of non-idempotent calls, so that each runs at most once.

A call's record is begun in the log before anything is sent, and ended with
its answer. Whoever resends the call gets the stored answer, or learns that
its fate is unknown; it is never sent a second time.
"""

from __future__ import annotations

from collections.abc import Collection
import hashlib
import re
from typing import NamedTuple
import uuid

import msgspec

# A record's answer is kept this long; a timed key older than this is refused.
LIFETIME_SECONDS = 24 * 3600.0
# Clocks of callers and hosts may differ by this much.
CLOCK_SKEW_SECONDS = 300.0
# Keys that carry no time cannot be forgotten safely: their digests stay. Above
# this many, calls under such keys are refused and timed keys asked for.
OPAQUE_KEYS_KEPT = 100_000
# A stored answer is bounded so that the state is; a longer one is kept
# without its body, and a resend is told so.
BODY_KEPT_BYTES = 16 * 1024

_SECONDS_PREFIX = re.compile(r"(\d{10})[-.:]")


class BeginCall(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claims the right to send a call once.

    Attributes:
        team: The caller's team.
        service: The service called.
        key: The Idempotency-Key.
        fingerprint: Digest of method, path and body.
        holder: The claiming attempt, as `host/incarnation/attempt`.
        at: Unix time in seconds.
    """

    team: str
    service: str
    key: str
    fingerprint: str
    holder: str
    at: float


class EndCall(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Stores the answer of a call.

    Attributes:
        team: As in `BeginCall`.
        service: As in `BeginCall`.
        key: As in `BeginCall`.
        holder: The attempt that sent it.
        outcome: `done`, `unknown`, or `not_run` when it is proved that
            nothing was sent; the latter frees the key.
        status: HTTP status of the answer.
        content_type: Of the body.
        body: The answer, at most `BODY_KEPT_BYTES`.
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
    """Marks calls of a host's dead incarnation as unknown.

    Attributes:
        host: The host's name.
        before: Calls of incarnations below this one are abandoned.
    """

    host: str
    before: int


class ExpireCalls(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Forgets answers that have outlived their time.

    Attributes:
        now: Unix time in seconds, as the proposer saw it.
    """

    now: float


Command = BeginCall | EndCall | AbandonCalls | ExpireCalls


class Record(NamedTuple):
    """What is known of a call.

    Attributes:
        fingerprint: Digest of method, path and body.
        holder: The attempt that may send it.
        state: `running`, `done` or `unknown`.
        begun: Unix time in seconds.
        status: HTTP status of the stored answer.
        content_type: Of the stored answer.
        body: The stored answer.
    """

    fingerprint: str
    holder: str
    state: str
    begun: float
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class Begun(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The claim was granted: send once, then end."""


class Known(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The call has a record already.

    Attributes:
        record: The record.
        same: Whether the fingerprint is the same.
    """

    record: Record
    same: bool


class Forgotten(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The call's answer was kept once and is gone; it must not run again.

    Attributes:
        reason: `expired` or `too_many_opaque_keys`.
    """

    reason: str


class Ended(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The bookkeeping command was applied."""


Result = Begun | Known | Forgotten | Ended


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All records, as they are stored."""

    records: dict[str, Record]
    opaque: list[bytes]


def time_of(key: str) -> float | None:
    """Returns the Unix time that an Idempotency-Key carries, or None.

    A key carries its time as a UUID of version 7, or as ten digits of Unix
    seconds before `-`, `.` or `:`.
    """
    match = _SECONDS_PREFIX.match(key)
    if match:
        return float(match.group(1))
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version == 7:
        return (parsed.int >> 80) / 1000.0
    return None


def _bound_time(key: str, begun: float) -> float | None:
    """Returns the key's time if it bounds the key's use, else None.

    A time ahead of the clock would still be young when the record is
    forgotten (symptom: a call runs again a day later), so it does not count.
    """
    made = time_of(key)
    if made is None or made > begun + CLOCK_SKEW_SECONDS:
        return None
    return made


def _process_of(holder: str) -> tuple[str, int]:
    """Returns host name and incarnation of a holder."""
    host, incarnation, _ = holder.split("/", 2)
    return host, int(incarnation)


def _name(team: str, service: str, key: str) -> str:
    return f"{team}\0{service}\0{key}"


def _opaque_digest(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=16).digest()


class Calls:
    """The replicated records."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._opaque: set[bytes] = set()
        # Names of running calls by the process that holds them. Looking
        # through all records for each host that comes in took the leader
        # 5 s when 390 hosts came back to 30,000 records.
        self._running: dict[tuple[str, int], set[str]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __repr__(self) -> str:
        running = sum(map(len, self._running.values()))
        return f"<Calls: {len(self._records)} kept, {running} running>"

    @property
    def running_hosts(self) -> Collection[tuple[str, int]]:
        """Host names and incarnations that have calls running."""
        return self._running.keys()

    def _put(self, name: str, record: Record | None) -> None:
        """Replaces or drops a record, and keeps the index of running ones."""
        before = self._records.pop(name, None)
        if before is not None and before.state == "running":
            holder = _process_of(before.holder)
            self._running[holder].discard(name)
            if not self._running[holder]:
                del self._running[holder]
        if record is not None:
            self._records[name] = record
            if record.state == "running":
                holder = _process_of(record.holder)
                self._running.setdefault(holder, set()).add(name)

    def apply(self, command: Command) -> Result:
        """Applies one command in log order; the same on every replica."""
        match command:
            case BeginCall():
                return self._begin(command)
            case EndCall():
                self._end(command)
            case AbandonCalls(host=host, before=before):
                self._abandon(host, before)
            case ExpireCalls(now=now):
                self._expire(now)
        return Ended()

    def _begin(self, command: BeginCall) -> Result:
        name = _name(command.team, command.service, command.key)
        record = self._records.get(name)
        if record is not None:
            # A resent claim of the same attempt is the same claim: the answer
            # to its first send may have been lost before anything ran.
            if record.holder == command.holder and record.state == "running":
                return Begun()
            same = record.fingerprint == command.fingerprint
            return Known(record=record, same=same)
        # Asked of every key: one whose time lay ahead at its first use was
        # remembered by its digest, and looks like a timed key a day later.
        if _opaque_digest(name) in self._opaque:
            return Forgotten(reason="expired")
        made = _bound_time(command.key, command.at)
        if made is None:
            if len(self._opaque) >= OPAQUE_KEYS_KEPT:
                return Forgotten(reason="too_many_opaque_keys")
        elif made < command.at - LIFETIME_SECONDS + CLOCK_SKEW_SECONDS:
            # A record lives LIFETIME_SECONDS from its begin, and a key is
            # taken only while it is younger than that less the skew: when a
            # record is forgotten its key is already too old to run again.
            return Forgotten(reason="expired")
        self._put(
            name,
            Record(command.fingerprint, command.holder, "running", command.at),
        )
        return Begun()

    def _end(self, command: EndCall) -> None:
        name = _name(command.team, command.service, command.key)
        record = self._records.get(name)
        if record is None or record.holder != command.holder:
            return
        if command.outcome == "not_run":
            # Only the holder can prove it, and only before it sent a byte.
            if record.state == "running":
                self._put(name, None)
            return
        # An abandoned call whose sender was alive after all has an answer:
        # unknown becomes done. The reverse never happens.
        if record.state == "done":
            return
        self._put(
            name,
            record._replace(
                state=command.outcome,
                status=command.status,
                content_type=command.content_type,
                body=command.body[:BODY_KEPT_BYTES],
            ),
        )

    def _abandon(self, host: str, before: int) -> None:
        dead = [
            name
            for (owner, incarnation), names in self._running.items()
            if owner == host and incarnation < before
            for name in names
        ]
        for name in dead:
            record = self._records[name]
            self._put(name, record._replace(state="unknown"))

    def _expire(self, now: float) -> None:
        for name, record in list(self._records.items()):
            if record.begun + LIFETIME_SECONDS >= now:
                continue
            if _bound_time(name.rsplit("\0", 1)[1], record.begun) is None:
                self._opaque.add(_opaque_digest(name))
            self._put(name, None)

    def snapshot(self) -> Snapshot:
        """Returns all records."""
        return Snapshot(
            records=dict(self._records), opaque=sorted(self._opaque)
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces all records."""
        self._records = {}
        self._running = {}
        for name, record in snapshot.records.items():
            self._put(name, record)
        self._opaque = set(snapshot.opaque)
