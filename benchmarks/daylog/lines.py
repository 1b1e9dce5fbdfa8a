"""Parses log lines into records."""

from __future__ import annotations

from collections.abc import Iterable
import re
from typing import NamedTuple

_PREFIX = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)\s+(.*)$")
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


class Line(NamedTuple):
    """Record of one log line.

    Attributes:
        at: Seconds since callers started; negative before that.
        host: Name of the host that wrote the line.
        event: Name of the event.
        fields: All other key-value pairs, as text.
    """

    at: float
    host: str
    event: str
    fields: dict[str, str]

    def number(self, name: str) -> float:
        """Returns a field as a number; 0 if it is absent or not a number."""
        try:
            return float(self.fields.get(name, "0"))
        except ValueError:
            return 0.0


def parse(lines: Iterable[str]) -> list[Line]:
    """Returns the records of all log lines by time; skips other lines."""
    records = []
    for line in lines:
        prefix = _PREFIX.match(line)
        if prefix is None or "event=" not in line:
            continue
        pairs = {k: v.strip('"') for k, v in _PAIR.findall(prefix.group(3))}
        event = pairs.pop("event", "")
        records.append(
            Line(float(prefix.group(1)), prefix.group(2), event, pairs)
        )
    records.sort(key=lambda record: record.at)
    return records
