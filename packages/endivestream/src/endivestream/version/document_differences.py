"""Differences between two configurations. Pure.

Entries are compared by name; their order has no effect on requests.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

import msgspec

from endivestream.version import document as document_lib


@dataclasses.dataclass(frozen=True)
class Added:
    """An entry that only the later document has.

    Attributes:
        entry: The entry, such as `route main`.
    """

    entry: str


@dataclasses.dataclass(frozen=True)
class Removed:
    """An entry that only the earlier document has.

    Attributes:
        entry: The entry, such as `route main`.
    """

    entry: str


@dataclasses.dataclass(frozen=True)
class Changed:
    """A field with different values.

    Attributes:
        entry: The entry, such as `route main`.
        field: The field, such as `engine.slots`.
        before: Its value in the earlier document; None if it has none.
        after: Its value in the later one; None if it has none.
    """

    entry: str
    field: str
    before: str | None
    after: str | None


Difference = Added | Removed | Changed


def compare(
    before: document_lib.Document, after: document_lib.Document
) -> list[Difference]:
    """Returns the differences by route, service, team and limit."""
    parts: list[tuple[str, Iterable[Any], Iterable[Any]]] = [
        ("route", before.routes, after.routes),
        ("service", before.services, after.services),
        ("team", before.teams, after.teams),
    ]
    differences: list[Difference] = []
    if before.requires_key != after.requires_key:
        values = map(_text, (before.requires_key, after.requires_key))
        differences.append(Changed("document", "requires_key", *values))
    for section, old, new in parts:
        differences += _compare_entries(section, old, new)
    return differences + _changes("limits", before.limits, after.limits)


def _compare_entries(
    section: str, before: Iterable[Any], after: Iterable[Any]
) -> list[Difference]:
    old, new = _by_label(before), _by_label(after)
    differences: list[Difference] = []
    for label in sorted({*old, *new}):
        entry = f"{section} {label}"
        if label not in old:
            differences.append(Added(entry))
        elif label not in new:
            differences.append(Removed(entry))
        else:
            differences += _changes(entry, old[label], new[label])
    return differences


def _by_label(entries: Iterable[Any]) -> Mapping[str, Any]:
    """Returns entries by name, or by what else tells them apart."""
    labelled: dict[str, Any] = {}
    for entry in entries:
        label = entry.name
        if not label and isinstance(entry, document_lib.Route):
            label = f"{entry.host}{entry.prefix}"
        count = 1
        while (unique := label if count == 1 else f"{label} ({count})") in (
            labelled
        ):
            count += 1
        labelled[unique] = entry
    return labelled


def _changes(
    entry: str, before: msgspec.Struct, after: msgspec.Struct
) -> list[Difference]:
    old, new = _values(before), _values(after)
    differences: list[Difference] = []
    for field in {**old, **new}:
        item, is_item, _ = field.partition("].")
        if is_item and field not in old:
            differences.append(Added(f"{entry}, {item}]"))
        elif is_item and field not in new:
            differences.append(Removed(f"{entry}, {item}]"))
        elif old.get(field) != new.get(field):
            differences.append(
                Changed(entry, field, old.get(field), new.get(field))
            )
    # One for each of its fields.
    differences = list(dict.fromkeys(differences))
    if isinstance(before, document_lib.Team):
        assert isinstance(after, document_lib.Team)
        old_keys, new_keys = set(before.keys), set(after.keys)
        if old_keys != new_keys:
            # Keys are secrets, so only their numbers are stated.
            differences.append(
                Changed(
                    entry,
                    "keys",
                    f"{len(old_keys)}, {len(old_keys - new_keys)} of them "
                    "withdrawn",
                    f"{len(new_keys)}, {len(new_keys - old_keys)} of them new",
                )
            )
    return differences


def _values(value: msgspec.Struct, path: str = "") -> Mapping[str, str]:
    """Returns the fields of an entry as texts, without names and keys."""
    values: dict[str, str] = {}
    for field in msgspec.structs.fields(value):
        each, name = getattr(value, field.name), f"{path}{field.name}"
        match each:
            case msgspec.Struct():
                values |= _values(each, f"{name}.")
            case (msgspec.Struct(), *_):
                for item in each:
                    values |= _values(item, f"{name}[{item.name}].")
            case _ if field.name not in ("name", "keys"):
                values[name] = _text(each)
    return values


def _text(value: Any) -> str:
    match value:
        case bool() | None:
            return {True: "true", False: "false", None: "none"}[value]
        case float():
            return f"{value:.12g}"
        case (document_lib.WeightedService(), *_):
            parts = [f"{each.service} {each.weight:g}" for each in value]
            return ", ".join(sorted(parts))
        case tuple():
            return ", ".join(sorted(map(str, value))) or "none"
    return str(value)
