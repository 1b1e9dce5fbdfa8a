"""Messages between entry hosts."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from endivestream.request import stream_origins


class Follow(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests an entry host to relay the leader's pushes for some seconds.

    Attributes:
        host: Name of the requesting host.
    """

    host: str


class Following(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Follow`.

    Attributes:
        relays: Whether the host forwards the leader's pushes to the requester.
    """

    relays: bool


class PrefillSample(NamedTuple):
    """How long an engine took until the first event of an answer.

    Attributes:
        tokens: Length of the prompt in tokens.
        seconds: Seconds from sending the request to the first event.
    """

    tokens: float
    seconds: float


class AskTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests a prefill turn from an engine's turn owner.

    Attributes:
        target: Id of the engine.
        tokens: Length of the prompt in tokens.
        rank: Urgency of the request; 0 is the most urgent.
        samples: What the host has seen of the engine since its last request.
        request: Id of the attempt, unique among all hosts, if it also requests
            a slot; else empty. Hosts of an older build request none.
        slots: Number of slots of the engine.
        objective_seconds: Time within which a slot lets the request meet its
            objective.
        patience_seconds: Maximum time until the answer.
        deadline_seconds: Time until the request has ended.
        host: Name of the requesting host.
        incarnation: Number of the requesting host's process start.
        caller: What the attempts of a caller have in common.
        gap_seconds: Longest pause between events of its stream that counts as
            in time; 0 if it has none, or for hosts of an older build.
        has_other_copy: Whether the host asks another engine if this one is not
            suited.
        owners: Addresses of the hosts that are asked for a slot, in this order.
        domain: Failure domain of the engine.
        was_silent: Whether the host took the first owner for lost since it last
            asked for a slot of the engine.
        replaced_seconds: If so, the seconds since it last asked the next owner;
            0 for hosts of an older build.
    """

    target: str
    tokens: float
    rank: int
    samples: tuple[PrefillSample, ...] = ()
    request: str = ""
    slots: int = 0
    objective_seconds: float = 0.0
    patience_seconds: float = 0.0
    deadline_seconds: float = 0.0
    host: str = ""
    incarnation: int = 0
    caller: str = ""
    gap_seconds: float = 0.0
    has_other_copy: bool = False
    owners: tuple[str, ...] = ()
    domain: str = ""
    was_silent: bool = False
    replaced_seconds: float = 0.0


class GiveTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskTurn`.

    Attributes:
        seconds: Seconds to wait before sending the prompt.
        refused: Whether the engine has no slot for the request in time.
        retry_seconds: Seconds after which it can expect one, if refused.
        moved: Whether it was refused because another host owns the queue now,
            which is to be asked at once.
    """

    seconds: float
    refused: bool = False
    retry_seconds: float = 0.0
    moved: bool = False


class EndTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Releases the slot of a request, or ends its wait. It is not answered.

    Attributes:
        target: Id of the engine.
        request: Id of the attempt, as in `AskTurn`.
        passed: Whether the end was also reported to the next owner, which may
            grant the slot now.
        received: Whether the slot was granted by the silent first owner, and
            the receiver may grant it now.
        slots: Number of slots of the engine.
        forwarded: Whether an owner forwards it that has handed over the grant.
    """

    target: str
    request: str
    passed: bool = False
    received: bool = False
    slots: int = 0
    forwarded: bool = False


class HeldSlot(NamedTuple):
    """A slot that an owner has granted.

    Attributes:
        request: Id of the attempt.
        host: Name of the host that asked for it.
        incarnation: Number of that host's process start.
        rank: Urgency of the request.
        deadline_seconds: Time until the request has ended.
    """

    request: str
    host: str
    incarnation: int
    rank: int
    deadline_seconds: float


class ClaimSlots(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claims the slots of an engine that another host has granted.

    The receiver hands over its grants and grants no further slots of its own;
    the requests that wait there ask again.

    Attributes:
        target: Id of the engine.
        slots: Number of slots of the engine.
        owner: Address of the host that claims them.
        ended: Ended requests whose slots were passed to the receiver; the
            claiming host grants these slots again.
    """

    target: str
    slots: int
    owner: str
    ended: tuple[str, ...] = ()


class SlotsClaimed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `ClaimSlots`.

    Attributes:
        grants: The slots that the host had granted.
        elsewhere: Slots that the host counts as granted by another one. A
            claiming host that was started again may have granted them before.
    """

    grants: tuple[HeldSlot, ...] = ()
    elsewhere: int = 0


class OriginRecord(NamedTuple):
    """Where a stream of a caller began.

    Attributes:
        attempt: Attempt of the caller that received the first event.
        origin: Where it began.
        seconds: Seconds for which the record is kept.
    """

    attempt: str
    origin: stream_origins.StreamOrigin
    seconds: float


class RecordOrigins(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Sends copies of records to a holder.

    Attributes:
        records: The records.
    """

    records: tuple[OriginRecord, ...]


class OriginsRecorded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `RecordOrigins`, if it was sent as a request."""


class FindOrigin(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks an entry host where the stream of an attempt began.

    Attributes:
        attempt: The attempt that received the first event.
    """

    attempt: str


class OriginFound(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `FindOrigin`.

    Attributes:
        origin: Where the stream began; None if the host has no record.
    """

    origin: stream_origins.StreamOrigin | None = None
