"""One log line of key=value pairs for each event."""

from __future__ import annotations

import json
import logging
import pathlib
import sys
import traceback
from typing import Any
from typing import TextIO

from loguru import logger

# Innermost places of an error that go into its line.
_PLACES = 6
_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
    "._:/@+-,[]{}()*"
)


def start(*, level: str, host: str, stream: TextIO | None = None) -> None:
    """Sends all lines to a stream.

    Args:
        level: The least level shown: `DEBUG`, `INFO`, `WARNING` or `ERROR`.
        host: The host's name, a pair of every line.
        stream: Where lines go; standard error if it is not given.
    """
    logger.remove()
    logger.add(
        stream or sys.stderr,
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
