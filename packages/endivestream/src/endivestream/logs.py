"""One log line of key=value pairs for each event."""

from __future__ import annotations

from collections.abc import Callable
import json
import logging
import pathlib
import sys
import time
import traceback
from typing import Any
from typing import Protocol
from typing import TextIO

from loguru import logger

# Innermost places of an error that go into its line.
_PLACES = 6
# Lines a second that a process may write for long, and at once. A host of a
# small site ends 10 to 20 requests a second, one line each.
_LINES_PER_SECOND = 300.0
_LINES_AT_ONCE = 1500.0
# The last part is kept for warnings and errors.
_KEPT_FOR_WARNINGS = 0.2
_WARNING = 30  # The library's number for that level.
_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
    "._:/@+-,[]{}()*"
)


class Message(Protocol):
    """A line of the library: text with the record that it is made from."""

    record: dict[str, Any]


def start(*, level: str, host: str, stream: TextIO | None = None) -> None:
    """Sends all lines to a stream.

    Args:
        level: The least level shown: `DEBUG`, `INFO`, `WARNING` or `ERROR`.
        host: The host's name, a pair of every line.
        stream: Where lines go; standard error if it is not given.
    """
    logger.remove()
    logger.add(
        Bounded(stream or sys.stderr, host=host).write,
        level=level,
        format=(
            "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} "
            f"host={host} {{message}}"
        ),
        backtrace=False,
        diagnose=False,
    )
    # The HTTP library speaks through the standard module; its records become
    # lines of the same form.
    logging.basicConfig(handlers=[_Bridge()], level=logging.WARNING, force=True)


class Bounded:
    """Passes lines on up to a rate, and counts what it leaves out.

    A flood of lines (every request of a burst refused, a lost leader asked for
    by each) would take the processor time that requests need.
    """

    def __init__(
        self,
        stream: TextIO,
        *,
        host: str,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Writes nothing yet.

        Args:
            stream: Where lines go.
            host: The host's name.
            now: The clock, in seconds.
        """
        self._stream = stream
        self._host = host
        self._now = now
        self._level = _LINES_AT_ONCE
        self._filled = now()
        self._left_out = 0

    def write(self, message: Message) -> None:
        """Writes a line, or counts it if there were too many lately."""
        now = self._now()
        grown = self._level + (now - self._filled) * _LINES_PER_SECOND
        self._level, self._filled = min(_LINES_AT_ONCE, grown), now
        urgent = message.record["level"].no >= _WARNING
        least = 0.0 if urgent else _LINES_AT_ONCE * _KEPT_FOR_WARNINGS
        if self._level < least + 1.0:
            self._left_out += 1
            return
        self._level -= 1.0
        if self._left_out:
            pairs = line("lines_left_out", {"count": self._left_out})
            time_text = f"{message.record['time']:YYYY-MM-DDTHH:mm:ss.SSSZZ}"
            self._stream.write(
                f"time={time_text} level=WARNING host={self._host} {pairs}\n"
            )
            self._left_out = 0
        self._stream.write(message)


class _Bridge(logging.Handler):
    """Turns records of the standard module into events."""

    def emit(self, record: logging.LogRecord) -> None:
        text = self.format(record)
        warn("library", source=record.name, text=text)


def event(name: str, **fields: Any) -> None:
    """Logs an event with its fields."""
    logger.opt(depth=1).info(line(name, fields))


def warn(name: str, **fields: Any) -> None:
    """Logs an event that an operator should look at."""
    logger.opt(depth=1).warning(line(name, fields))


def failed(name: str, error: BaseException, **fields: Any) -> None:
    """Logs an error that nothing was prepared for, with where it arose."""
    places = traceback.extract_tb(error.__traceback__)[-_PLACES:]
    where = " < ".join(
        f"{pathlib.PurePath(place.filename).name}:{place.lineno}"
        for place in reversed(places)
    )
    fields |= {"error": repr(error), "where": where}
    logger.opt(depth=1).error(line(name, fields))


def line(name: str, fields: dict[str, Any]) -> str:
    """Returns `event=NAME` and the fields as key=value pairs.

    A value with a space, a quote or a control character is quoted as JSON, so
    that input from outside can neither break a line nor forge a pair.
    """
    pairs = [f"event={name}"]
    pairs += [f"{key}={_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text)
