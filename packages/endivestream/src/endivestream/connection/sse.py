"""Server-sent events: splits a byte stream into complete events."""

from __future__ import annotations

from typing import NamedTuple

# Maximum size of an event. An event has one token or a final summary, so a
# larger one is a fault.
MAX_EVENT_BYTES = 1024 * 1024

DONE = b"[DONE]"


class Event(NamedTuple):
    """A parsed event.

    Attributes:
        id: Value of the `id:` field, or empty.
        data: The `data:` lines, joined.
    """

    id: bytes
    data: bytes


class TooLongError(Exception):
    """An event is longer than `MAX_EVENT_BYTES`."""


class Splitter:
    """Parses chunks into events; an incomplete event is kept for later."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Adds a chunk and returns the events that it completes.

        Raises:
            TooLongError: An incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        buffer = self._incomplete + chunk
        if b"\r" in buffer:
            buffer = buffer.replace(b"\r\n", b"\n")
        *blocks, self._incomplete = buffer.split(b"\n\n")
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise TooLongError(
                f"{len(self._incomplete)} bytes without the end of an event"
            )
        return [_parse_event(block) for block in blocks if block]


def _parse_event(block: bytes) -> Event:
    event_id = b""
    data = []
    for line in block.split(b"\n"):
        if line.startswith(b"data:"):
            data.append(line[5:].removeprefix(b" "))
        elif line.startswith(b"id:"):
            event_id = line[3:].strip()
    return Event(event_id, b"\n".join(data))


def encode(data: bytes) -> bytes:
    """Returns one event of `data`, which must not contain a line feed."""
    return b"data: " + data + b"\n\n"


class RawEvent(NamedTuple):
    """An event with its received bytes.

    Attributes:
        id: Value of the `id:` field, or empty.
        raw: All bytes, including the empty line at the end.
    """

    id: bytes
    raw: bytes


class EventSplitter:
    """Splits a byte stream into complete events without changing any byte.

    If a target fails in the middle of an event, the incomplete event must not
    be forwarded, because the stream could not be resumed on another target.
    """

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def rest(self) -> bytes:
        """Received bytes of an incomplete event."""
        return self._incomplete

    def feed(self, chunk: bytes) -> list[RawEvent]:
        """Adds a chunk and returns the events that it completes.

        Raises:
            TooLongError: An incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        *blocks, self._incomplete = (self._incomplete + chunk).split(b"\n\n")
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise TooLongError(
                f"{len(self._incomplete)} bytes without the end of an event"
            )
        return [RawEvent(_parse_event(b).id, b + b"\n\n") for b in blocks]
