"""Tables that a person can read."""

from __future__ import annotations

from collections.abc import Iterable
import datetime
from typing import Any


def view(name: str, body: Any) -> str:
    """Returns a view as text."""
    match name:
        case "history":
            return table(
                ("version", "at", "author", "change"),
                (
                    (c["version"], _time(c["at"]), c["author"], c["comment"])
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
                (_target(row) for row in body),
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
            return "\n".join(_status(body))


def _target(row: dict[str, Any]) -> tuple[Any, ...]:
    state = "live" if row["live"] else f"silent {row['silent_s']} s"
    if row["draining"]:
        state = "draining"
    memory = f"{row['held_mib']}/{row['memory_mib']}"
    loaded = ",".join(row["loaded"])
    return row["name"], row["kind"], row["domain"], state, memory, loaded


def _status(body: dict[str, Any]) -> Iterable[str]:
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


def _time(at: float) -> str:
    moment = datetime.datetime.fromtimestamp(at, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")


def table(head: tuple[str, ...], rows: Iterable[Iterable[Any]]) -> str:
    """Returns rows under a head, in aligned columns."""
    lines = [tuple(str(cell) for cell in row) for row in (head, *rows)]
    widths = [max(len(line[n]) for line in lines) for n in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
