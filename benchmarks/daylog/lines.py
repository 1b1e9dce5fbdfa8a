"""One log line as a record."""

from __future__ import annotations

from collections.abc import Iterable
import re
from typing import NamedTuple

_HEAD = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)\s+(.*)$")
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


class Line(NamedTuple):
    """One log line.

    Attributes:
        at: Seconds since callers began; negative before.
        host: The host that wrote it.
        event: What happened.
        fields: All other pairs, as written.
    """

    at: float
    host: str
    event: str
    fields: dict[str, str]

    def number(self, name: str) -> float:
        """Returns a field as a number; 0 if it is not there or none."""
        try:
            return float(self.fields.get(name, "0"))
        except ValueError:
            return 0.0


def parse(lines: Iterable[str]) -> list[Line]:
    """Returns the records of all lines that are log lines, in time order."""
    records = []
    for line in lines:
        head = _HEAD.match(line)
        if head is None or "event=" not in line:
            continue
        pairs = {k: v.strip('"') for k, v in _PAIR.findall(head.group(3))}
        event = pairs.pop("event", "")
        records.append(Line(float(head.group(1)), head.group(2), event, pairs))
    records.sort(key=lambda record: record.at)
    return records
