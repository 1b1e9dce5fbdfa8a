"""The configuration that operators apply as one document.

A document defines all routes, services, teams and limits; a later document
with a higher version replaces it. Pure: decoding and checking do not depend on
the origin of a document. Times are in seconds and sizes in megabytes, unless a
name has another unit.
"""

from __future__ import annotations

from collections.abc import Iterator
import enum
import math
import re
from typing import NamedTuple

import msgspec

from endivestream import findings

# Integers in messages and in the log have 64 bits.
_MAX_INTEGER = 2**63 - 1
_CONTROL_CHARACTER_PATTERN = re.compile(r"[\x00-\x1f\x7f]")
_INTEGER_RANGE_MESSAGE = (
    f"must be an integer from {-_MAX_INTEGER} to {_MAX_INTEGER}"
)


class Kind(enum.StrEnum):
    """Whether the requests of a route may be repeated.

    `IDEMPOTENT` requests may run again. `ONCE` requests may run at most once
    for each attempt of the caller. `STREAM` requests are answered with numbered
    events and run at most once, unless their route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """One service of a route.

    Attributes:
        service: The service's name.
        weight: Relative share of the route's requests; at least 0.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Rules for requests with one host name and path prefix.

    Attributes:
        name: The route's name.
        host: Host name in the request.
        prefix: Path prefix; starts and ends with a slash.
        kind: Whether requests may be repeated.
        timeout: Maximum time until the complete answer, in seconds.
        objective: Time within which an answer has its full value, in seconds.
        priority: 0 is the most urgent.
        services: Services that answer it; the sum of weights is above 0.
        max_attempts: Maximum number of targets that one attempt of a caller may
            be sent to.
        anonymous: Whether requests need no key.
        resumable: Whether a stream may continue on another target, at a later
            event. Applies to streams only; see `has_resumable_streams`.
        max_event_gap: Maximum pause between events that counts as in time, in
            seconds; 0 if none is set.
        home_regions: Regions whose targets may get the requests; empty for all.
        hedge_ratio: Second attempts at once with the first, for each request;
            0 for none, None for the value of the settings.
        hedge_concurrency: Maximum number of these attempts at once over all
            hosts; 0 for no such limit, None for the value of the settings.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout: float
    objective: float
    priority: int
    services: tuple[WeightedService, ...] = msgspec.field(name="choices")
    max_attempts: int = msgspec.field(name="attempts", default=1)
    anonymous: bool = False
    resumable: bool = False
    max_event_gap: float = msgspec.field(name="gap", default=0.0)
    home_regions: tuple[str, ...] = ()
    hedge_ratio: float | None = None
    hedge_concurrency: int | None = None

    @property
    def has_resumable_streams(self) -> bool:
        """Whether its requests are streams that may continue elsewhere."""
        return self.kind == Kind.STREAM and self.resumable

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        return self.kind == Kind.IDEMPOTENT or self.has_resumable_streams


# Most slots with which the number of running requests limits an engine. With
# more slots prefill is its limit, and prefill turns suffice.
_MAX_BOUND_SLOTS = 16


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """A model that engines of a service can load.

    Attributes:
        name: The model's name.
        weights_mb: Size of its weights.
        load_seconds: Load time from the weight store.
        disk_seconds: Load time from the engine's own disk.
        memory_seconds: Load time from the engine's host memory.
        adapters: Number of its adapters.
        adapter_mb: Size of one adapter.
    """

    name: str
    weights_mb: float
    load_seconds: float
    disk_seconds: float
    memory_seconds: float
    adapters: int = 0
    adapter_mb: float = 0.0


class EngineCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity and models of the engines of one service.

    Attributes:
        slots: Maximum of concurrent requests.
        cache_tokens: Capacity of the KV cache, in tokens.
        weights_mb: Memory for weights and adapters.
        adapter_places: Maximum number of loaded adapters.
        loads_per_second: Rate limit of the weight store over all targets.
        models: All models of the service.
    """

    slots: int
    cache_tokens: int
    weights_mb: float
    adapter_places: int
    loads_per_second: float
    models: tuple[Model, ...]

    @property
    def is_slot_bound(self) -> bool:
        """Whether slots, not prefill, limit what the engines can run."""
        return 0 < self.slots <= _MAX_BOUND_SLOTS


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of targets that answer the same requests.

    Attributes:
        name: The service's name.
        health_path: Path of the targets' health check.
        connections: Maximum of connections to one target from all hosts.
        engine: Capacity of its engines; None for a plain service.
        cold_seconds: Seconds for which a target is cold after its start; 0 if
            it never is.
        cold_rate: Requests a second that a cold target accepts; None for no
            limit.
    """

    name: str
    health_path: str
    connections: int
    engine: EngineCapacity | None = None
    cold_seconds: float = 0.0
    cold_rate: float | None = None


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A team with its keys and credit.

    Attributes:
        name: The team's name.
        keys: Keys that its callers may present.
        priority: Priority of its requests, which overrides that of the route;
            None if unset.
        rate: Credit per second; 0 for no limit.
        burst: Maximum of unspent credit.
        by_tokens: Whether credit is counted in tokens instead of requests.
        plain_cost: Cost of a request without a number of tokens.
        home_regions: Regions whose targets may get its requests; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    by_tokens: bool = False
    plain_cost: float = 1.0
    home_regions: tuple[str, ...] = ()


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the requests and connections of callers.

    Attributes:
        header_bytes: Maximum size of a header block.
        body_bytes: Maximum size of a body.
        header_seconds: Maximum time to receive a header block.
        idle_seconds: Maximum idle time of a connection.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 16 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """A complete configuration.

    Attributes:
        version: Increases with each change; the highest one is in force.
        routes: All routes.
        services: All services.
        teams: All teams.
        limits: Limits on the requests and connections of callers.
        source: The document as sent by the operator, so that it can be read
            back.
        lists_teams: Whether the document has a list of teams, which may be
            empty.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: Limits = Limits()
    source: bytes = b""
    lists_teams: bool = False

    @property
    def requires_key(self) -> bool:
        """Whether requests need the key of a team, but on anonymous routes.

        With an empty list of teams no key is known, and all are refused.
        """
        return self.lists_teams or bool(self.teams)

    @property
    def resumable_services(self) -> frozenset[str]:
        """Names of the services at which resumable streams begin."""
        return frozenset(
            weighted_service.service
            for route in self.routes
            if route.has_resumable_streams
            for weighted_service in route.services
        )


def has_stream_moved(before: Document, after: Document) -> bool:
    """Returns whether a stream may have begun otherwise than its route states.

    That is so if a stream route has left, or if the stream route of some paths
    has other services or has become resumable.
    """
    former = _stream_routes(before)
    current = _stream_routes(after)
    if former.keys() - current.keys():
        return True
    for (host, prefix), route in current.items():
        prefixes = [
            each
            for former_host, each in former
            if former_host == host and prefix.startswith(each)
        ]
        if not prefixes:
            continue
        earlier = former[host, max(prefixes, key=len)]
        if _service_names(earlier) != _service_names(route) or (
            route.resumable and not earlier.resumable
        ):
            return True
    return False


def _stream_routes(document: Document) -> dict[tuple[str, str], Route]:
    """Returns the routes of streams by host and path prefix."""
    return {
        (route.host.lower(), route.prefix): route
        for route in document.routes
        if route.kind == Kind.STREAM
    }


def _service_names(route: Route) -> frozenset[str]:
    return frozenset(each.service for each in route.services)


def without_source(document: Document) -> Document:
    """Returns a document for entry hosts, which do not read its source back."""
    return msgspec.structs.replace(document, source=b"")


class ApplyDocument(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Sets the configuration, if it is newer than the one in force."""

    document: Document


class DocumentApplied(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `ApplyDocument`.

    Attributes:
        version: Version in force after the command.
        changed: Whether the command put its document in force.
    """

    version: int
    changed: bool


class DocumentState:
    """The document in force, in the replicated state."""

    def __init__(self) -> None:
        self.current: Document | None = None

    def __repr__(self) -> str:
        return f"<DocumentState version {self.version}>"

    @property
    def version(self) -> int:
        """Version in force; 0 before the first document."""
        return self.current.version if self.current else 0

    def apply(self, command: ApplyDocument) -> DocumentApplied:
        """Puts a document in force if its version is higher.

        A document with a lower or equal version gets the same answer and
        changes nothing: it was resent after a lost answer, or a newer document
        was applied first.
        """
        changed = command.document.version > self.version
        if changed:
            self.current = command.document
        return DocumentApplied(version=self.version, changed=changed)


class Section(enum.StrEnum):
    """Parts of a document; all but the whole have named entries."""

    DOCUMENT = "document"
    ROUTE = "route"
    SERVICE = "service"
    TEAM = "team"


class Fault(NamedTuple):
    """One error of a document.

    Attributes:
        section: The part of the document.
        index: Index of the entry in its part, from 0.
        name: Name of the entry.
        field: Field of the entry.
        what: Description of the error.
    """

    section: Section
    index: int
    name: str
    field: str
    what: str


def check(
    document: Document, *, max_hedge_ratio: float = math.inf
) -> list[findings.Finding]:
    """Returns all errors of a document, each with its location.

    Args:
        document: The document.
        max_hedge_ratio: The retry ratio of the settings, where it is known.
    """
    return [
        findings.Finding(
            findings.Place(f"{fault.section} {fault.name}"), fault.what
        )
        for fault in faults(document, max_hedge_ratio=max_hedge_ratio)
    ]


def faults(
    document: Document, *, max_hedge_ratio: float = math.inf
) -> list[Fault]:
    """Returns all errors of a document; see `check`."""
    services = {service.name for service in document.services}
    errors = _check_integers(document)
    route_by_location: dict[tuple[str, str], Route] = {}
    for index, route in enumerate(document.routes):
        errors += [
            Fault(Section.ROUTE, index, route.name, field, message)
            for field, message in _check_route(route, services, max_hedge_ratio)
        ]
        other = route_by_location.setdefault(
            (route.host.lower(), route.prefix), route
        )
        if other is not route:
            message = (
                f"{route.host}{route.prefix} is also the location of "
                f"{other.name!r}"
            )
            errors.append(
                Fault(Section.ROUTE, index, route.name, "prefix", message)
            )
    for index, service in enumerate(document.services):
        errors += [
            Fault(Section.SERVICE, index, service.name, field, message)
            for field, message in _check_cold_start(service)
        ]
    for index, team in enumerate(document.teams):
        if _CONTROL_CHARACTER_PATTERN.search(team.name):
            message = (
                f"name is {team.name[:64]!r}; valid: no control characters, as "
                "targets receive it in a header"
            )
            errors.append(
                Fault(Section.TEAM, index, team.name, "name", message)
            )
    return errors + _check_keys(document.teams)


def _check_integers(document: Document) -> list[Fault]:
    """Finds integers that the log and messages between hosts cannot hold."""
    sections: list[tuple[Section, tuple[msgspec.Struct, ...]]] = [
        (Section.ROUTE, document.routes),
        (Section.SERVICE, document.services),
        (Section.TEAM, document.teams),
    ]
    errors = [
        Fault(
            Section.DOCUMENT, 0, "", field, f"{field} {_INTEGER_RANGE_MESSAGE}"
        )
        for field in _large_integers(document)
    ]
    for section, entries in sections:
        for index, entry in enumerate(entries):
            name = getattr(entry, "name", "")
            errors += [
                Fault(
                    section,
                    index,
                    name,
                    field,
                    f"{field} {_INTEGER_RANGE_MESSAGE}",
                )
                for field in _large_integers(entry)
            ]
    return errors


def _large_integers(entry: msgspec.Struct) -> Iterator[str]:
    """Yields the fields of an entry with integers of more than 64 bits.

    Of nested entries, yields the field that contains them.
    """
    for field in entry.__struct_fields__:
        value = getattr(entry, field)
        if isinstance(value, int):
            if not -_MAX_INTEGER <= value <= _MAX_INTEGER:
                yield field
        elif isinstance(value, msgspec.Struct):
            if any(_large_integers(value)):
                yield field
        elif field == "models" and any(
            any(_large_integers(model)) for model in value
        ):
            yield field


def _check_cold_start(service: Service) -> list[tuple[str, str]]:
    return [
        (
            name,
            f"{name} is {value:g}; it must be a finite number of at least 0",
        )
        for name, value in (
            ("cold_seconds", service.cold_seconds),
            ("cold_rate", service.cold_rate),
        )
        if value is not None and not 0 <= value < math.inf
    ]


def _check_route(
    route: Route, services: set[str], max_hedge_ratio: float
) -> list[tuple[str, str]]:
    """Returns the errors of a route, each after the name of its field."""
    errors = [
        (
            "services",
            findings.unknown_word(
                "service", weighted_service.service, services
            ),
        )
        for weighted_service in route.services
        if weighted_service.service not in services
    ]
    weights = [weighted_service.weight for weighted_service in route.services]
    if sum(weights) <= 0:
        message = "the weights of its services must add up to more than 0"
        errors.append(("services", message))
    if any(weight < 0 for weight in weights):
        errors.append(("services", "a service has a weight below 0"))
    if route.timeout <= 0:
        message = f"timeout is {route.timeout:g} s; it must be above 0"
        errors.append(("timeout", message))
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        message = f"prefix {route.prefix!r} must begin and end with a slash"
        errors.append(("prefix", message))
    return errors + _check_hedging(route, max_hedge_ratio)


def _check_hedging(route: Route, max_ratio: float) -> list[tuple[str, str]]:
    """Checks a route's limits of second attempts.

    Args:
        route: The route.
        max_ratio: The retry ratio; second attempts are retries.
    """
    ratio, concurrency = route.hedge_ratio, route.hedge_concurrency
    errors = []
    if ratio is not None and not 0 <= ratio < math.inf:
        message = (
            f"hedge_ratio is {ratio:g}; it must be a finite number of at least "
            "0"
        )
        errors.append(("hedge_ratio", message))
    elif ratio is not None and ratio > max_ratio:
        message = (
            f"hedge_ratio is {ratio:g}; second attempts are retries, so it "
            f"must be at most the retry ratio, {max_ratio:g}"
        )
        errors.append(("hedge_ratio", message))
    if concurrency is not None and concurrency < 0:
        message = f"hedge_concurrency is {concurrency}; it must be at least 0"
        errors.append(("hedge_concurrency", message))
    if (ratio or concurrency) and route.kind != Kind.IDEMPOTENT:
        message = (
            f"sets limits of hedging, but its kind is {route.kind}; only "
            "idempotent requests may run twice at once"
        )
        errors.append(("kind", message))
    return errors


def _check_keys(teams: tuple[Team, ...]) -> list[Fault]:
    errors = []
    team_by_key: dict[str, str] = {}
    for index, team in enumerate(teams):
        for key in team.keys:
            other = team_by_key.setdefault(key, team.name)
            if other != team.name:
                # The key is a secret, so the message does not contain it.
                message = f"shares a key with team {other!r}"
                errors.append(
                    Fault(Section.TEAM, index, team.name, "keys", message)
                )
    return errors
