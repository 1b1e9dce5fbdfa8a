"""Messages about requests that end targets."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from endivestream import table_position


class QuarantineEntry(NamedTuple):
    """What the leader knows against requests with one key.

    Attributes:
        key: What the requests have in common.
        is_quarantined: Whether none of them is sent to a target. Otherwise the
            next end of a target process under one of them quarantines the key.
        seconds: Time until the quarantine ends.
    """

    key: str
    is_quarantined: bool
    seconds: float


class ListedRequest(NamedTuple):
    """A request of a caller under which target processes ended.

    Attributes:
        key: Its key at the leader.
        left: Seconds until the deadline that its caller states.
        ends: Number of processes that ended.
        proved: How many of these have certainly ended.
    """

    key: str
    left: float
    ends: int
    proved: int = 0


class QuarantineTable(msgspec.Struct, frozen=True, kw_only=True):
    """Suspects and quarantined keys: all, or those that have changed.

    Attributes:
        revision: Term of the leader and number of the change.
        entries: The keys.
        requests: Requests of callers that are sent only with a grant, or not at
            all.
        base: Revision that the update applies to; None if it is the whole
            table.
        removed: Keys that were in the table of the base and are not any more.
    """

    revision: table_position.Position
    entries: tuple[QuarantineEntry, ...] = ()
    requests: tuple[ListedRequest, ...] = ()
    base: table_position.Position | None = None
    removed: tuple[str, ...] = ()


class OpenRequest(NamedTuple):
    """A request of a caller that was open at a process.

    Attributes:
        content: Digest of its content.
        left: Seconds until the deadline that its caller states.
        open_seconds: For how many seconds it had been open; the shortest time
            of several attempts.
        attempts: Names of the attempts at it that were granted.
        is_shared: Whether the host has answers to other requests with the
            content.
    """

    content: str
    left: float
    open_seconds: float = 0.0
    attempts: tuple[str, ...] = ()
    is_shared: bool = False


class ProcessEnded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entry host's report that a target process has ended.

    Attributes:
        host: Name of the entry host.
        target: Id of the target.
        started_at_ms: Start time of the process.
        open_seconds: Keys of this host's requests that were open there, and for
            how many seconds; the shortest time of several.
        sends: How many requests this host has sent with these parts of prompts.
        seconds_ago: How long ago the process ended.
        requests: The requests that were open there.
        is_proved: Whether the process has certainly ended. Otherwise its next
            reports decide.
    """

    host: str
    target: str
    started_at_ms: int = msgspec.field(name="born")
    open_seconds: dict[str, float] = msgspec.field(default_factory=dict)
    sends: dict[str, int] = msgspec.field(default_factory=dict)
    seconds_ago: float = 0.0
    requests: tuple[OpenRequest, ...] = ()
    is_proved: bool = True


class EvidenceRecorded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `ProcessEnded` and `Answered`.

    What follows from the evidence has been pushed.
    """


class AskTrial(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entry host's request to send one request with a quarantined key.

    Attributes:
        key: The key.
    """

    key: str


class AskAttempt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entry host's request to send a request under which targets have ended.

    Attributes:
        request: The caller's request.
        attempt: Name of the attempt, unique over all hosts.
    """

    request: OpenRequest
    attempt: str


class GiveAttempt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskAttempt`.

    Attributes:
        is_granted: Whether the attempt may be sent.
        key: The leader's key of the request; empty if it has no evidence.
    """

    is_granted: bool
    key: str = ""


class HoldAttempts(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports attempts that were sent before the leader listed their request.

    They count as granted.

    Attributes:
        attempts: Key of the request, as the leader lists it, and name of the
            attempt.
    """

    attempts: tuple[tuple[str, str], ...]


class ReleaseAttempt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports that no target can end under a granted attempt.

    Attributes:
        key: Key of the request, as the leader lists it.
        attempt: Name of the attempt.
    """

    key: str
    attempt: str


class GiveTrial(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskTrial`.

    Attributes:
        is_granted: Whether the request may be sent, once.
    """

    is_granted: bool


class ReadQuarantine(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests the suspects and quarantined keys."""


class QuarantineRead(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `ReadQuarantine` and `SetQuarantine`.

    Attributes:
        entries: All suspects and quarantined keys.
    """

    entries: tuple[QuarantineEntry, ...]


class SetQuarantine(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Operator's decision on a key.

    Attributes:
        key: The key.
        is_quarantined: Whether to quarantine it; otherwise all evidence against
            it is dropped.
    """

    key: str
    is_quarantined: bool


class Answered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entry host's report of keys whose requests targets have answered.

    Attributes:
        host: Name of the entry host.
        keys: Suspected or quarantined keys.
    """

    host: str
    keys: tuple[str, ...]
