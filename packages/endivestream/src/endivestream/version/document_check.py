"""Checks of a configuration before it is sent. Pure.

`document.check` finds what makes a document invalid, and hosts refuse such
documents. This module adds what is valid but cannot be meant: routes that never
match, entries that nothing uses, and limits that contradict each other.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import math
import re
from typing import NamedTuple

import msgspec

from endivestream import findings
from endivestream.version import document as document_lib
from endivestream.version import json_lines

# The host name of a request is compared without its port.
_HOST_PATTERN = re.compile(r"[A-Za-z0-9._-]+\Z")
# The path of a request is compared without its query, and it is encoded.
_PREFIX_PATTERN = re.compile(r"[!-~]*\Z")
_ERROR_PATH_PATTERN = re.compile(r"(.*) - at `(.*)`\Z", re.DOTALL)
_ERROR_BYTE_PATTERN = re.compile(r"\(byte (\d+)\)\Z")

_Section = document_lib.Section


class Names(NamedTuple):
    """Names of a document's parts and fields in the text of a format.

    Attributes:
        parts: Names of the parts.
        fields: Names of fields that differ from those of the document; the
            first that an entry has is used.
    """

    parts: Mapping[document_lib.Section, str]
    fields: Mapping[tuple[document_lib.Section, str], tuple[str, ...]]

    def path(
        self,
        fault: document_lib.Fault,
        lines: Mapping[json_lines.Path, int],
    ) -> json_lines.Path:
        """Returns where a fault is in a text with these entries."""
        if fault.section == _Section.DOCUMENT:
            return (fault.field,)
        names = self.fields.get((fault.section, fault.field), (fault.field,))
        paths = [
            (self.parts[fault.section], fault.index, name) for name in names
        ]
        return next((path for path in paths if path in lines), paths[0])


NAMES = Names(
    parts={
        _Section.ROUTE: "routes",
        _Section.SERVICE: "services",
        _Section.TEAM: "teams",
    },
    fields={
        (_Section.ROUTE, "services"): ("choices",),
        (_Section.ROUTE, "max_attempts"): ("attempts",),
        (_Section.ROUTE, "max_event_gap"): ("gap",),
    },
)


class Located(NamedTuple):
    """A fault with its position in the text.

    Attributes:
        line: Line where the entry begins, from 1; 0 if it was not found.
        field: Path of the field, such as `routes[0].host`.
        entry: The entry, such as `route main`; empty if there is none.
        what: Description of the fault.
    """

    line: int
    field: str
    entry: str
    what: str

    def finding(self, file: str) -> findings.Finding:
        """Returns the fault as a finding in a file."""
        parts = [self.entry, self.field, self.what]
        return findings.Finding(
            findings.Place(file, self.line), ": ".join(filter(None, parts))
        )


_decoder = msgspec.json.Decoder(document_lib.Document)


def read(source: bytes) -> document_lib.Document | Located:
    """Decodes a document; returns the first error if it cannot be decoded."""
    try:
        return _decoder.decode(source)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return locate_error(source, error)


def locate_error(source: bytes, error: ValueError | RecursionError) -> Located:
    """Returns the position of an error of decoding a text."""
    what = str(error)
    if isinstance(error, RecursionError):
        return Located(0, "", "", "the text is nested too deeply")
    match = _ERROR_PATH_PATTERN.match(what)
    if isinstance(error, msgspec.ValidationError):
        path: json_lines.Path = ()
        if match is not None:
            what, path = match[1], json_lines.parse_path(match[2])
        return locate_value(source, path, what)
    match = _ERROR_BYTE_PATTERN.search(what)
    line = 0
    if match is not None:
        line = 1 + source[: int(match[1])].count(b"\n")
    elif "truncated" in what:
        line = 1 + source.count(b"\n")
    return Located(line, "", "", what)


def locate_value(source: bytes, path: json_lines.Path, what: str) -> Located:
    """Returns the position of an invalid value."""
    lines = json_lines.find(source.decode(errors="replace"))
    # A text without the entry is at least one line long.
    line = json_lines.nearest(lines, path) or 1
    return Located(line, json_lines.format_path(path), "", what)


def locate(
    faults: Iterable[document_lib.Fault], source: bytes, names: Names = NAMES
) -> list[Located]:
    """Returns faults with their positions in the text of their document."""
    lines = json_lines.find(source.decode(errors="replace"))
    located = []
    for fault in faults:
        path = names.path(fault, lines)
        located.append(
            Located(
                json_lines.nearest(lines, path),
                json_lines.format_path(path),
                f"{fault.section} {fault.name}" if fault.name else "",
                fault.what,
            )
        )
    return sorted(located, key=lambda each: each.line)


def check(
    document: document_lib.Document,
    *,
    targets: Mapping[str, int] | None = None,
    max_hedge_ratio: float = math.inf,
    version_in_force: int | None = None,
) -> list[document_lib.Fault]:
    """Returns all faults of a document.

    Args:
        document: The document.
        targets: Number of targets by service, where they are known.
        max_hedge_ratio: The retry ratio of the settings, where it is known.
        version_in_force: Version that the document is to replace, if any.
    """
    faults = document_lib.faults(document, max_hedge_ratio=max_hedge_ratio)
    faults += _check_names(document)
    faults += _check_routes(document)
    faults += _check_services(document, targets)
    faults += _check_teams(document)
    if version_in_force is not None and document.version <= version_in_force:
        message = (
            f"version is {document.version}, and version {version_in_force} is "
            "in force: only a higher one replaces it"
        )
        faults.append(
            document_lib.Fault(_Section.DOCUMENT, 0, "", "version", message)
        )
    if targets is not None:
        faults += _check_attempts(document, targets)
    return faults


def _check_names(
    document: document_lib.Document,
) -> Iterator[document_lib.Fault]:
    parts: list[tuple[document_lib.Section, list[str]]] = [
        (_Section.ROUTE, [route.name for route in document.routes]),
        (_Section.SERVICE, [service.name for service in document.services]),
        (_Section.TEAM, [team.name for team in document.teams]),
    ]
    for section, names in parts:
        seen: set[str] = set()
        for index, name in enumerate(names):
            if name in seen and name:
                message = f"an earlier {section} has the same name"
                yield document_lib.Fault(section, index, name, "name", message)
            seen.add(name)


def _check_routes(
    document: document_lib.Document,
) -> Iterator[document_lib.Fault]:
    for index, route in enumerate(document.routes):
        for field, message in _check_route(route, document):
            yield document_lib.Fault(
                _Section.ROUTE, index, route.name, field, message
            )


def _check_route(
    route: document_lib.Route, document: document_lib.Document
) -> Iterator[tuple[str, str]]:
    if not _HOST_PATTERN.match(route.host):
        yield (
            "host",
            f"{route.host!r} is no host name without a port, so no request "
            "matches",
        )
    if not _PREFIX_PATTERN.match(route.prefix) or set(route.prefix) & set("?#"):
        yield (
            "prefix",
            f"{route.prefix!r} contains what is no part of an encoded path, so "
            "no request matches",
        )
    if route.objective > route.timeout:
        yield (
            "objective",
            f"objective is {route.objective:g} s, above the timeout, "
            f"{route.timeout:g} s",
        )
    if route.resumable and not route.has_resumable_streams:
        yield (
            "resumable",
            f"applies to streams only, and the kind is {route.kind}",
        )
    if document.requires_key and not route.anonymous:
        with_keys = [team for team in document.teams if any(team.keys)]
        if not with_keys:
            yield "anonymous", "no team has a key, so every request is refused"
        elif not any(_share_region(route, team) for team in with_keys):
            yield (
                "home_regions",
                "no team with a key has one of these home regions, so no "
                "target may get a request",
            )


def _share_region(route: document_lib.Route, team: document_lib.Team) -> bool:
    if not (route.home_regions and team.home_regions):
        return True
    return not set(route.home_regions).isdisjoint(team.home_regions)


def _used_services(route: document_lib.Route) -> set[str]:
    return {each.service for each in route.services if each.weight > 0}


def _check_services(
    document: document_lib.Document, targets: Mapping[str, int] | None
) -> Iterator[document_lib.Fault]:
    used = {name for route in document.routes for name in _used_services(route)}
    for index, service in enumerate(document.services):
        if service.name not in used:
            yield document_lib.Fault(
                _Section.SERVICE,
                index,
                service.name,
                "name",
                "no route uses it",
            )
        if targets is not None and not targets.get(service.name):
            yield document_lib.Fault(
                _Section.SERVICE,
                index,
                service.name,
                "name",
                "no target offers it",
            )


def _check_attempts(
    document: document_lib.Document, targets: Mapping[str, int]
) -> Iterator[document_lib.Fault]:
    for index, route in enumerate(document.routes):
        for name in sorted(_used_services(route)):
            count = targets.get(name, 0)
            # A service without targets is a fault of its own.
            if 0 < count < route.max_attempts:
                yield document_lib.Fault(
                    _Section.ROUTE,
                    index,
                    route.name,
                    "max_attempts",
                    f"up to {route.max_attempts} targets may be tried, but "
                    f"service {name!r} has {count}",
                )


def _check_teams(
    document: document_lib.Document,
) -> Iterator[document_lib.Fault]:
    for index, team in enumerate(document.teams):
        for field, message in _check_team(team, document.routes):
            yield document_lib.Fault(
                _Section.TEAM, index, team.name, field, message
            )


def _check_team(
    team: document_lib.Team, routes: tuple[document_lib.Route, ...]
) -> Iterator[tuple[str, str]]:
    if team.name != team.name.strip(" \t"):
        yield (
            "name",
            f"{team.name!r} begins or ends with white space, which targets do "
            "not receive",
        )
    if not team.keys:
        yield "keys", "no route uses it, as it has no key"
        return
    if "" in team.keys:
        yield "keys", "has an empty key, with which no request is accepted"
    if not any(_share_region(route, team) for route in routes):
        yield "home_regions", "no route may be used from these home regions"
    if team.rate <= 0:
        yield (
            "rate",
            f"rate is {team.rate:g}, which sets no limit on its requests",
        )
        return
    # Sizes in tokens are known only for requests that state none.
    cost = team.plain_cost if team.by_tokens else 1.0
    if team.burst < cost:
        yield (
            "burst",
            f"burst is {team.burst:g}, below the {cost:g} that one request "
            "costs",
        )
