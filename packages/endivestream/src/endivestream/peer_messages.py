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
    """

    target: str
    tokens: float
    rank: int
    samples: tuple[PrefillSample, ...] = ()


class GiveTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskTurn`.

    Attributes:
        seconds: Seconds to wait before sending the prompt.
    """

    seconds: float


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
