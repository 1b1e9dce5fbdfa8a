"""Where streams began. Pure; the current time is passed as an argument.

Targets of one service may run different versions of their software. What two
versions write does not fit together, and targets do not check that, so a
stream goes on only at the software version that began it. A caller that
resumes a stream names its own attempt that received the first event.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import string
from typing import NamedTuple

import msgspec
from tornado import httputil

from endivestream.connection import registry as registry_lib
from endivestream.request import names as names_lib

# Maximum length of a caller's attempt id; resumptions that name a longer one
# are refused.
_MAX_ATTEMPT_LENGTH = 128
_ATTEMPT_CHARACTERS = frozenset(string.ascii_letters + string.digits + "-._~")
# A stream can be resumed until this multiple of the route's timeout after its
# first event: the answer ends within one timeout, and so does each retry.
_RESUMABLE_TIMEOUTS = 2.0
# Maximum number of records on one host; the oldest are dropped first.
_MAX_RECORDS = 16_384


class StreamOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """The target that sent the first event of a stream.

    Attributes:
        service: Name of its service.
        software: Version of its software; None if it is unknown.
        target: Id of the target; empty if it is unknown.
        started_at_ms: Start time of its process.
    """

    service: str
    software: str | None = None
    target: str = ""
    started_at_ms: int = msgspec.field(default=0, name="born")

    @classmethod
    def of(cls, registration: registry_lib.Registration) -> StreamOrigin:
        """Returns the origin of a stream that begins at a target."""
        return cls(
            service=registration.service,
            software=registration.software,
            target=registration.name,
            started_at_ms=registration.started_at_ms,
        )

    @property
    def key(self) -> tuple[str, str | None]:
        """What a stream is bound to: service and software version."""
        return self.service, self.software

    def admits(self, other: StreamOrigin) -> bool:
        """Returns whether the stream may go on where another one would begin.

        Two targets whose versions are unknown may differ; a process has the
        same version as itself.
        """
        if self.key != other.key:
            return False
        is_same_process = (self.target, self.started_at_ms) == (
            other.target,
            other.started_at_ms,
        )
        return self.software is not None or is_same_process


def resumable_seconds(route_timeout: float) -> float:
    """Returns the time after its first event in which a stream can be resumed.

    Args:
        route_timeout: Timeout of its route, in seconds.
    """
    return _RESUMABLE_TIMEOUTS * route_timeout


class Resumption(NamedTuple):
    """A caller's request to go on with a stream.

    Attributes:
        attempt: The attempt that received the first event; empty if the caller
            names none, several, or one that no attempt can have.
    """

    attempt: str


def read_resumption(
    headers: httputil.HTTPHeaders, names: names_lib.HeaderNames
) -> Resumption | None:
    """Returns what a request resumes; None if it begins a stream."""
    attempts = headers.get_list(names.resumes)
    if not attempts and not headers.get(names.last_event):
        return None
    if len(attempts) != 1 or not is_attempt(attempts[0]):
        return Resumption("")
    return Resumption(attempts[0])


def is_attempt(text: str) -> bool:
    """Returns whether a text can be the id of an attempt."""
    return 0 < len(
        text
    ) <= _MAX_ATTEMPT_LENGTH and _ATTEMPT_CHARACTERS.issuperset(text)


class _Record(NamedTuple):
    origin: StreamOrigin
    expires_at: float


class OriginTable:
    """Origins of streams by attempt. Bounded in number and age."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._events: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._records)

    def __repr__(self) -> str:
        return f"<OriginTable of {len(self)} streams>"

    @property
    def events(self) -> Mapping[str, int]:
        """Number of records `expired`, `displaced` and in `conflict`."""
        return self._events

    def record(
        self, attempt: str, origin: StreamOrigin, now: float, seconds: float
    ) -> None:
        """Records where a stream began.

        If an attempt's streams began at two versions, it is unknown which one
        a caller resumes, and the attempt admits no target any more.

        Args:
            attempt: Id of the attempt that received the first event.
            origin: Where the stream began.
            now: The current time.
            seconds: How long the record is kept.
        """
        current = self.find(attempt, now)
        if current is not None and current.key != origin.key:
            self._events["conflict"] += 1
            origin = StreamOrigin(service=origin.service)
        self._records.pop(attempt, None)
        self._records[attempt] = _Record(origin, now + seconds)
        self._drop_oldest(now)

    def _drop_oldest(self, now: float) -> None:
        while self._records:
            oldest = next(iter(self._records))
            is_expired = self._records[oldest].expires_at <= now
            if not is_expired and len(self._records) <= _MAX_RECORDS:
                return
            self._events["expired" if is_expired else "displaced"] += 1
            del self._records[oldest]

    def find(self, attempt: str, now: float) -> StreamOrigin | None:
        """Returns where the stream of an attempt began, if that is known."""
        record = self._records.get(attempt)
        if record is None or record.expires_at <= now:
            return None
        return record.origin
