"""Logging of events as one line of key=value pairs each."""

from __future__ import annotations

import collections
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

# Number of innermost traceback frames logged with an error.
_MAX_TRACEBACK_FRAMES = 6
# Lines that a process may write: sustained rate, and size of a burst. A host of
# a small site completes 10 to 20 requests a second, with one line each.
_MAX_LINES_PER_SECOND = 300.0
_MAX_LINE_BURST = 1500.0
# Share of the burst that is reserved for warnings and errors.
_WARNING_RESERVE_SHARE = 0.2
_WARNING_LEVEL = 30  # Loguru's number for WARNING.
_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
    "._:/@+-,[]{}()*"
)

_problem_counts: collections.Counter[str] = collections.Counter()


class Message(Protocol):
    """A log line as passed to a loguru sink: text with its record."""

    record: dict[str, Any]


def start(*, level: str, host: str, stream: TextIO | None = None) -> None:
    """Sends all log lines to a stream.

    Args:
        level: The minimum level: `DEBUG`, `INFO`, `WARNING` or `ERROR`.
        host: Name of the host, part of every line.
        stream: Stream to write to; standard error by default.
    """
    logger.remove()
    logger.add(
        RateLimitedWriter(stream or sys.stderr, host=host).write,
        level=level,
        format=(
            "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} "
            f"host={host} {{message}}"
        ),
        backtrace=False,
        diagnose=False,
    )
    # Tornado logs through the standard `logging` module; its records are
    # converted into lines of the same format.
    logging.basicConfig(
        handlers=[_StandardLoggingHandler()], level=logging.WARNING, force=True
    )


class RateLimitedWriter:
    """Writes log lines up to a rate, and counts the dropped ones.

    Bursts of lines, such as one for each refused request or for each request
    that finds no leader, would take the processor time that requests need.
    """

    def __init__(
        self,
        stream: TextIO,
        *,
        host: str,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes a writer; writes nothing.

        Args:
            stream: Stream to write to.
            host: Name of the host.
            now: The clock, in seconds.
        """
        self._stream = stream
        self._host = host
        self._now = now
        self._tokens = _MAX_LINE_BURST
        self._refilled_at = now()
        self._dropped_lines = 0

    def write(self, message: Message) -> None:
        """Writes a line, or counts it if the rate limit is exceeded."""
        now = self._now()
        refilled = (
            self._tokens + (now - self._refilled_at) * _MAX_LINES_PER_SECOND
        )
        self._tokens, self._refilled_at = min(_MAX_LINE_BURST, refilled), now
        is_warning = message.record["level"].no >= _WARNING_LEVEL
        reserved = (
            0.0 if is_warning else _MAX_LINE_BURST * _WARNING_RESERVE_SHARE
        )
        if self._tokens < reserved + 1.0:
            self._dropped_lines += 1
            return
        self._tokens -= 1.0
        if self._dropped_lines:
            pairs = line("lines_left_out", {"count": self._dropped_lines})
            time_text = f"{message.record['time']:YYYY-MM-DDTHH:mm:ss.SSSZZ}"
            self._stream.write(
                f"time={time_text} level=WARNING host={self._host} {pairs}\n"
            )
            self._dropped_lines = 0
        self._stream.write(message)


class _StandardLoggingHandler(logging.Handler):
    """Converts records of the standard `logging` module into events."""

    def emit(self, record: logging.LogRecord) -> None:
        text = self.format(record)
        warn("library", source=record.name, text=text)


def event(name: str, **fields: Any) -> None:
    """Logs an event with its fields."""
    logger.opt(depth=1).info(line(name, fields))


def warn(name: str, **fields: Any) -> None:
    """Logs and counts an event that requires an operator's attention."""
    _problem_counts[name] += 1
    logger.opt(depth=1).warning(line(name, fields))


def log_error(name: str, error: BaseException, **fields: Any) -> None:
    """Logs and counts an unexpected error with its innermost frames."""
    _problem_counts[name] += 1
    frames = traceback.extract_tb(error.__traceback__)[-_MAX_TRACEBACK_FRAMES:]
    where = " < ".join(
        f"{pathlib.PurePath(frame.filename).name}:{frame.lineno}"
        for frame in reversed(frames)
    )
    fields |= {"error": repr(error), "where": where}
    logger.opt(depth=1).error(line(name, fields))


def problem_counts() -> dict[str, int]:
    """Returns the number of warnings and errors of this process by event.

    Lines above the rate limit, which are not written, are counted too.
    """
    return dict(_problem_counts)


def line(name: str, fields: dict[str, Any]) -> str:
    """Returns `event=NAME` and the fields as key=value pairs.

    A value with a space, a quote or a control character is quoted as JSON, so
    that external input can neither break a line nor forge a pair.
    """
    pairs = [f"event={name}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if text and _UNQUOTED_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)
