"""Computes the tables of a run from log records, without input or output."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
import statistics
from typing import NamedTuple

from daylog import lines as lines_lib

_SERVED = "served"
# Maximum of reasons with a column of their own in the table by arrival time.
# Less frequent reasons are counted in the column `other`.
_REASON_COLUMNS = 9


class Table(NamedTuple):
    """A named table.

    Attributes:
        name: Name in words joined by dashes, also the name of the CSV file.
        columns: Names of the columns.
        rows: Cells of each row, in the order of the columns.
    """

    name: str
    columns: Sequence[str]
    rows: Sequence[Sequence[object]]

    def render(self) -> str:
        """Returns the table as text."""
        cells = [[_format_cell(cell) for cell in row] for row in self.rows]
        widths = [
            max([len(column), *(len(row[i]) for row in cells)])
            for i, column in enumerate(self.columns)
        ]
        head = "  ".join(
            c.ljust(w) for c, w in zip(self.columns, widths, strict=True)
        )
        body = [
            "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True))
            for row in cells
        ]
        return "\n".join([f"## {self.name}", head.rstrip(), *body])


def from_lines(lines: Sequence[lines_lib.Line], *, width: float) -> list[Table]:
    """Returns the tables computed from the logs of the hosts.

    Args:
        lines: Log records of all hosts, in time order.
        width: Seconds per row of the table by arrival time.
    """
    requests = [line for line in lines if line.event == "request"]
    return [
        _by_reason(requests),
        _by_arrival_time(requests, width),
        _lost_by(requests, "team"),
        _lost_by(requests, "model"),
        _lost_by(requests, "route"),
        _latency_stages(requests),
        _control_changes(lines),
        _placements(lines),
    ]


def from_report(report: dict[str, object]) -> list[Table]:
    """Returns the tables of the results that callers measured."""
    classes = report["classes"]
    windows = report["windows"]
    prices = report["prices"]
    assert isinstance(classes, list)
    assert isinstance(windows, list)
    assert isinstance(prices, list)
    columns = ("name", "n", "in_aim", "late", "refused", "failed", "not_owed")
    total = [
        ("worth", report["G"]),
        ("served", report["served"]),
        ("unserved", report["unserved"]),
        *(
            (f"price: {name}", cost)
            for name, _, cost in prices
            if (cost or 0.0) > 0.001
        ),
    ]
    return [
        Table("totals", ("what", "value"), total),
        Table(
            "kinds",
            (*columns, "worth"),
            [[row[c] for c in (*columns, "worth")] for row in classes],
        ),
        Table(
            "callers-over-time",
            (*columns, "worth"),
            [[row[c] for c in (*columns, "worth")] for row in windows],
        ),
    ]


def _format_cell(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def _by_reason(requests: Sequence[lines_lib.Line]) -> Table:
    groups = _group_records(
        requests, lambda r: (r.fields.get("reason", ""), r.fields["status"])
    )
    rows = [
        (
            *key,
            len(group),
            _median(r.number("waited_ms") for r in group),
            _median(r.number("total_ms") for r in group),
            max(r.number("total_ms") for r in group),
        )
        for key, group in groups
    ]
    columns = ("reason", "status", "n", "waited_ms", "total_ms", "max_ms")
    return Table("ends-by-reason", columns, rows)


def _by_arrival_time(requests: Sequence[lines_lib.Line], width: float) -> Table:
    counts = collections.Counter(r.fields.get("reason", "") for r in requests)
    reasons = [name for name, _ in counts.most_common(_REASON_COLUMNS)]
    rows: dict[float, collections.Counter[str]] = {}
    for request in requests:
        arrived_at = request.at - request.number("total_ms") / 1e3
        second = math.floor(arrived_at / width) * width
        row = rows.setdefault(second, collections.Counter())
        reason = request.fields.get("reason", "")
        row[reason if reason in reasons else "other"] += 1
    names = [*reasons, "other"]
    return Table(
        "ends-by-arrival",
        ("second", *names),
        [[f"{at:g}", *(rows[at][n] for n in names)] for at in sorted(rows)],
    )


def _lost_by(requests: Sequence[lines_lib.Line], field: str) -> Table:
    not_served = [r for r in requests if r.fields.get("reason") != _SERVED]
    groups = _group_records(
        not_served,
        lambda r: (r.fields.get(field, ""), r.fields.get("reason", "")),
    )
    rows = [(*key, len(group)) for key, group in groups[:20]]
    return Table(f"lost-by-{field}", (field, "reason", "n"), rows)


def _latency_stages(requests: Sequence[lines_lib.Line]) -> Table:
    """Returns the latency stages of served requests by time to first byte."""
    rows = []
    served = [r for r in requests if r.fields.get("reason") == _SERVED]
    for name, min_ms, max_ms in (
        ("up to 0.1 s", 0.0, 100.0),
        ("0.1 to 0.4 s", 100.0, 400.0),
        ("0.4 to 1.5 s", 400.0, 1500.0),
        ("above", 1500.0, math.inf),
    ):
        group = [r for r in served if min_ms <= r.number("first_ms") < max_ms]
        waits = [r.number("waited_ms") for r in group]
        turns = [r.number("turn_ms") for r in group]
        engine = [r.number("first_ms") - r.number("waited_ms") for r in group]
        gaps = sum(r.number("gap_ms") > 300 for r in group)
        rows.append(
            (
                name,
                len(group),
                _median(waits),
                _median(turns),
                _median(engine),
                gaps,
            )
        )
    columns = ("first byte", "n", "waited_ms", "turn_ms", "target_ms", "gaps")
    return Table("stretches-of-served", columns, rows)


def _control_changes(lines: Sequence[lines_lib.Line]) -> Table:
    """Returns starts and changes of leader, planner and role by time."""
    names = {
        "leader_found",
        "leader_lost",
        "planner_started",
        "role",
        "log_opened",
        "started",
    }
    rows = [
        (line.at, line.event, line.host, line.fields.get("role", ""))
        for line in lines
        if line.event in names and line.at > 0
    ]
    return Table("control", ("second", "event", "host", "role"), rows)


def _placements(lines: Sequence[lines_lib.Line]) -> Table:
    """Returns all model placements with their durations."""
    rows = []
    for line in lines:
        if line.event not in ("placed", "placement_failed"):
            continue
        rows.append(
            (
                line.at,
                line.event,
                line.fields.get("model", ""),
                line.fields.get("target", ""),
                line.number("seconds"),
            )
        )
    columns = ("second", "event", "model", "target", "seconds")
    return Table("placements", columns, rows)


def _group_records(
    records: Sequence[lines_lib.Line],
    key: Callable[[lines_lib.Line], tuple[str, str]],
) -> list[tuple[tuple[str, str], list[lines_lib.Line]]]:
    """Returns the records grouped by key, the largest group first."""
    groups: dict[tuple[str, str], list[lines_lib.Line]] = {}
    for record in records:
        groups.setdefault(key(record), []).append(record)
    return sorted(groups.items(), key=lambda item: -len(item[1]))


def _median(values: Iterable[float]) -> float:
    samples = list(values)
    return statistics.median(samples) if samples else 0.0
