"""Formats operators' views as aligned text tables."""

from __future__ import annotations

from collections.abc import Iterable
import datetime
from typing import Any


def view(name: str, body: Any) -> str:
    """Returns the text form of the view `name` with content `body`."""
    match name:
        case "history":
            return table(
                ("version", "at", "author", "change"),
                (
                    (
                        c["version"],
                        _format_utc(c["at"]),
                        c["author"],
                        c["comment"],
                    )
                    for c in body
                ),
            )
        case "keys":
            return table(
                ("label", "team", "state", "digest"),
                (
                    (
                        key["label"],
                        key["team"],
                        "withdrawn" if key["revoked"] else "live",
                        key["digest"],
                    )
                    for key in body
                ),
            )
        case "targets":
            return table(
                ("name", "kind", "domain", "state", "memory", "models"),
                (_target_row(row) for row in body),
            )
        case "voters":
            columns = ("name", "identity", "role", "address", "behind")
            return table(
                (*columns, "silent"),
                (
                    (*(row[c] for c in columns), f"{row['silent_s']} s")
                    for row in body
                ),
            )
        case "models":
            return table(("model", "copies"), body.items())
        case _:
            return "\n".join(_status_lines(body))


def _target_row(row: dict[str, Any]) -> tuple[Any, ...]:
    state = "live" if row["live"] else f"silent {row['silent_s']} s"
    if row["draining"]:
        state = "draining"
    memory = f"{row['held_mib']}/{row['memory_mib']}"
    loaded = ",".join(row["loaded"])
    return row["name"], row["kind"], row["domain"], state, memory, loaded


def _status_lines(body: dict[str, Any]) -> Iterable[str]:
    for name, value in body.items():
        if name == "hosts":
            yield "hosts:"
            for host in value:
                state = "draining" if host["draining"] else "live"
                yield f"  {host['name']} {host['domain']} {host['url']} {state}"
        elif isinstance(value, dict):
            yield f"{name}:"
            yield from (f"  {key}: {item}" for key, item in value.items())
        else:
            yield f"{name}: {value}"


def _format_utc(timestamp: float) -> str:
    utc = datetime.datetime.fromtimestamp(timestamp, tz=datetime.UTC)
    return utc.strftime("%Y-%m-%d %H:%M:%S")


def table(header: tuple[str, ...], rows: Iterable[Iterable[Any]]) -> str:
    """Returns a header and rows as text, in aligned columns."""
    lines = [tuple(str(cell) for cell in row) for row in (header, *rows)]
    widths = [max(len(line[n]) for line in lines) for n in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
