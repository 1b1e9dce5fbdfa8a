"""Server-sent events: split a byte stream into events without losing any."""

from __future__ import annotations

from typing import NamedTuple

# One event holds one token or a final summary; anything near this is a fault.
LONGEST_EVENT_BYTES = 1024 * 1024

DONE = b"[DONE]"


class Event(NamedTuple):
    """One event.

    Attributes:
        id: Its `id:` field, or empty.
        data: Its `data:` lines, joined.
    """

    id: bytes
    data: bytes


class TooLongError(Exception):
    """An event is longer than `LONGEST_EVENT_BYTES`."""


class Splitter:
    """Collects chunks and gives whole events; the rest stays for later."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Takes a chunk in and returns the events that it completes.

        Raises:
            TooLongError: The stream holds no event end for too long.
        """
        buffer = self._rest + chunk
        if b"\r" in buffer:
            buffer = buffer.replace(b"\r\n", b"\n")
        *blocks, self._rest = buffer.split(b"\n\n")
        if len(self._rest) > LONGEST_EVENT_BYTES:
            raise TooLongError(f"{len(self._rest)} bytes without an event end")
        return [_event(block) for block in blocks if block]


def _event(block: bytes) -> Event:
    name = b""
    data = []
    for line in block.split(b"\n"):
        if line.startswith(b"data:"):
            data.append(line[5:].removeprefix(b" "))
        elif line.startswith(b"id:"):
            name = line[3:].strip()
    return Event(name, b"\n".join(data))


def encode(data: bytes) -> bytes:
    """Returns one event of `data`, which must hold no line feed."""
    return b"data: " + data + b"\n\n"


class RawEvent(NamedTuple):
    """One event as it came.

    Attributes:
        id: Its `id:` field, or empty.
        raw: All its bytes with the empty line at its end.
    """

    id: bytes
    raw: bytes


class Cutter:
    """Cuts a byte stream after whole events, keeping every byte as it is.

    A target that breaks off in the middle of an event must not have its half
    passed on: the stream could not be taken up elsewhere.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """What has come of an event that is not whole yet."""
        return self._rest

    def feed(self, chunk: bytes) -> list[RawEvent]:
        """Takes a chunk in and returns the events that it completes.

        Raises:
            TooLongError: The stream holds no event end for too long.
        """
        *blocks, self._rest = (self._rest + chunk).split(b"\n\n")
        if len(self._rest) > LONGEST_EVENT_BYTES:
            raise TooLongError(f"{len(self._rest)} bytes without an event end")
        return [RawEvent(_event(b).id, b + b"\n\n") for b in blocks]
