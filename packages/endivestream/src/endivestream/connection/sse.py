"""Server-sent events: splits a byte stream into complete events.

The format is that of the WHATWG HTML standard, section "Server-sent events".
"""

from __future__ import annotations

import re
from typing import NamedTuple

# Maximum size of an event. An event has one token or a final summary, so a
# larger one is a fault.
MAX_EVENT_BYTES = 256 * 1024

DONE = b"[DONE]"

_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_LINE_END = re.compile(rb"\r\n|\r|\n")


class Event(NamedTuple):
    """A parsed event.

    Attributes:
        id: Value of the `id:` field, or empty.
        data: The `data:` lines, joined.
    """

    id: bytes
    data: bytes


def is_event_stream(content_type: str) -> bool:
    """Whether a Content-Type header names a stream of events."""
    media_type = content_type.partition(";")[0].strip().lower()
    return media_type == "text/event-stream"


class TooLongError(Exception):
    """An event is longer than `MAX_EVENT_BYTES`."""


class Splitter:
    """Parses chunks into events; an incomplete event is kept for later."""

    def __init__(self) -> None:
        self._events = EventSplitter()

    def feed(self, chunk: bytes) -> list[Event]:
        """Adds a chunk and returns the events that it completes.

        Raises:
            TooLongError: An incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        events = [_parse_event(event.raw) for event in self._events.feed(chunk)]
        return [event for event in events if event.id or event.data]


def _parse_event(block: bytes) -> Event:
    event_id = b""
    data = []
    for line in block.removeprefix(_BYTE_ORDER_MARK).splitlines():
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
        has_data: Whether it has a `data:` field that is not empty.
        raw: All bytes up to its end, including comments before it.
    """

    id: bytes
    has_data: bool
    raw: bytes


class EventBoundaries:
    """Finds the ends of events in a byte stream; keeps none of its bytes.

    An event ends at an empty line. A line ends with CR, LF or CRLF, also if a
    chunk ends between the two. Comments and a byte order mark belong to no
    event.
    """

    def __init__(self) -> None:
        # The start of the current line, as far as its kind depends on it.
        self._line = b""
        self._is_first_line = True
        self._has_fields = False
        self._ends_with_cr = False
        self._has_crlf = False
        self._has_lone_cr = False

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside a line or an event."""
        return (
            self._has_fields or bool(self._line_text()) or self.lacks_line_feed
        )

    @property
    def lacks_line_feed(self) -> bool:
        """Whether the bytes end with the first half of a CRLF.

        A CR ends a line by itself, too, but not in a stream whose lines end
        with CRLF.
        """
        return self._ends_with_cr and self._has_crlf and not self._has_lone_cr

    def feed(self, chunk: bytes) -> list[int]:
        """Adds a chunk.

        Returns:
            The offset in the chunk behind each event that ends in it.
        """
        ends = []
        start = 0
        if not chunk:
            return ends
        if self._ends_with_cr:
            self._ends_with_cr = False
            if chunk.startswith(b"\n"):
                start = 1
                self._has_crlf = True
                if not self.is_inside_event:
                    ends.append(start)
            else:
                self._has_lone_cr = True
        for line_end in _LINE_END.finditer(chunk, start):
            match line_end.group():
                case b"\r\n":
                    self._has_crlf = True
                case b"\r" if line_end.end() == len(chunk):
                    self._ends_with_cr = True
                case b"\r":
                    self._has_lone_cr = True
            self._add_to_line(chunk[start : line_end.start()])
            start = line_end.end()
            line = self._line_text()
            if not line:
                self._has_fields = False
                ends.append(start)
            elif not line.startswith(b":"):
                self._has_fields = True
            self._line = b""
            self._is_first_line = False
        self._add_to_line(chunk[start:])
        return ends

    def _add_to_line(self, part: bytes) -> None:
        missing = len(_BYTE_ORDER_MARK) + 1 - len(self._line)
        self._line += part[:missing]

    def _line_text(self) -> bytes:
        if self._is_first_line:
            return self._line.removeprefix(_BYTE_ORDER_MARK)
        return self._line


class EventSplitter:
    """Splits a byte stream into complete events without changing any byte.

    If a target fails in the middle of an event, the incomplete event must not
    be forwarded, because the stream could not be resumed on another target.
    """

    def __init__(self) -> None:
        self._boundaries = EventBoundaries()
        self._incomplete = b""

    @property
    def rest(self) -> bytes:
        """Received bytes after the last complete event."""
        return self._incomplete

    def feed(self, chunk: bytes) -> list[RawEvent]:
        """Adds a chunk and returns the events that it completes.

        Raises:
            TooLongError: An incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        events = []
        start = 0
        for end in self._boundaries.feed(chunk):
            raw = self._incomplete + chunk[start:end]
            if end == len(chunk) and self._boundaries.lacks_line_feed:
                break
            event = _parse_event(raw)
            events.append(RawEvent(event.id, bool(event.data), raw))
            self._incomplete = b""
            start = end
        self._incomplete += chunk[start:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise TooLongError(
                f"{len(self._incomplete)} bytes without the end of an event"
            )
        return events
