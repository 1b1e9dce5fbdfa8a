"""The configuration that operators apply as one document.

A document names routes, services, teams and limits as a whole; a later one
with a higher version takes its place. Pure: decoding and checking know nothing
of where a document came from. Times are in seconds, sizes in megabytes unless
a name says otherwise.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from endivestream import findings


class Kind(enum.StrEnum):
    """What may be done with a route's requests more than once.

    `IDEMPOTENT` ones may run again. `ONCE` ones may run at most once for each
    attempt of the caller. `STREAM` ones answer with numbered events and run
    at most once, unless their route lets them be resumed.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Choice(NamedTuple):
    """One service of a route.

    Attributes:
        service: The service's name.
        weight: Its share among the route's services; at least 0.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Where requests of one host name and path prefix go.

    Attributes:
        name: The route's name.
        host: The host name in the request.
        prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout: Longest time until the whole answer, in seconds.
        objective: Time within which an answer is worth most, in seconds.
        priority: 0 is the most urgent.
        choices: Services that answer it; weights add up to more than 0.
        attempts: Most targets that one attempt of a caller may be sent to.
        anonymous: Whether no key is needed.
        resumable: Whether a stream may go on at a later event elsewhere.
        gap: Longest pause between events that is still in time, in seconds;
            0 if none is set.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout: float
    objective: float
    priority: int
    choices: tuple[Choice, ...]
    attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    gap: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        return self.kind == Kind.IDEMPOTENT or self.resumable


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """A model that engines of a service can load.

    Attributes:
        name: The model's name.
        weights_mb: Size of its weights.
        load_seconds: Load time from the weight store.
        disk_seconds: Load time from the engine's own disk.
        memory_seconds: Load time from the engine's host memory.
        adapters: How many adapters it has.
        adapter_mb: Size of one adapter.
    """

    name: str
    weights_mb: float
    load_seconds: float
    disk_seconds: float
    memory_seconds: float
    adapters: int = 0
    adapter_mb: float = 0.0


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """What the engines of one service can hold.

    Attributes:
        slots: Requests that run at once.
        cache_tokens: Tokens that fit into the memory of running requests.
        weights_mb: Room for weights and adapters.
        adapter_places: Adapters that fit.
        loads_per_second: What the weight store allows over all targets.
        models: All models of the service.
    """

    slots: int
    cache_tokens: int
    weights_mb: float
    adapter_places: int
    loads_per_second: float
    models: tuple[Model, ...]


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of targets that answer the same requests.

    Attributes:
        name: The service's name.
        health_path: Path of the targets' health check.
        connections: Connections that one target accepts from all hosts.
        engine: What its engines hold; None for a plain service.
    """

    name: str
    health_path: str
    connections: int
    engine: Engine | None = None


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A team with its keys and its rate.

    Attributes:
        name: The team's name.
        keys: Keys that its callers may show.
        priority: Rank of its requests, before the route's; None if unset.
        rate: Credit a second; 0 for no limit.
        burst: Most credit that can be saved up.
        by_tokens: Whether credit is counted in tokens, else in requests.
        plain_cost: Credit of a request that names no tokens.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    by_tokens: bool = False
    plain_cost: float = 1.0


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """What callers may send.

    Attributes:
        header_bytes: Longest header block.
        body_bytes: Longest body.
        header_seconds: Longest time for a header block.
        idle_seconds: How long a connection may stay idle.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 16 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """A whole configuration.

    Attributes:
        version: Rises with each change; the highest one holds.
        routes: All routes.
        services: All services.
        teams: All teams; empty where no keys are used.
        limits: What callers may send.
        source: The document as the operator sent it, to be read back.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: Limits = Limits()
    source: bytes = b""


class ApplyDocument(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Sets the configuration, if it is newer than the one that holds."""

    document: Document


class DocumentApplied(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `ApplyDocument`.

    Attributes:
        version: The version that holds now.
        changed: Whether it is the one that was sent.
    """

    version: int
    changed: bool


class Holder:
    """The document in force, as the log has it."""

    def __init__(self) -> None:
        self.current: Document | None = None

    def __repr__(self) -> str:
        return f"<Holder version {self.version}>"

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.current.version if self.current else 0

    def apply(self, command: ApplyDocument) -> DocumentApplied:
        """Takes a document over if its version is higher.

        An older or equal one is answered in the same way and changes nothing:
        its sender resends after a lost answer, or was overtaken.
        """
        changed = command.document.version > self.version
        if changed:
            self.current = command.document
        return DocumentApplied(version=self.version, changed=changed)


def check(document: Document) -> list[findings.Finding]:
    """Returns every fault of a document, each with its place."""
    services = {service.name for service in document.services}
    found = []
    seen: dict[tuple[str, str], Route] = {}
    for route in document.routes:
        place = findings.Place(f"route {route.name}")
        found += [
            findings.Finding(place, what)
            for what in _check_route(route, services)
        ]
        other = seen.setdefault((route.host.lower(), route.prefix), route)
        if other is not route:
            what = f"{route.host}{route.prefix} is also that of {other.name!r}"
            found.append(findings.Finding(place, what))
    return found + _check_keys(document.teams)


def _check_route(route: Route, services: set[str]) -> list[str]:
    found = [
        findings.unknown_word("service", choice.service, services)
        for choice in route.choices
        if choice.service not in services
    ]
    if sum(choice.weight for choice in route.choices) <= 0:
        found.append("the weights of its services add up to 0")
    if any(choice.weight < 0 for choice in route.choices):
        found.append("a weight is below 0")
    if route.timeout <= 0:
        found.append(f"timeout {route.timeout:g} s; it must be above 0")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        found.append(f"prefix {route.prefix!r} must begin and end with a slash")
    return found


def _check_keys(teams: tuple[Team, ...]) -> list[findings.Finding]:
    found = []
    owner: dict[str, str] = {}
    for team in teams:
        for key in team.keys:
            other = owner.setdefault(key, team.name)
            if other != team.name:
                # The key itself is a secret and stays out of the text.
                what = f"shares a key with team {other!r}"
                place = findings.Place(f"team {team.name}")
                found.append(findings.Finding(place, what))
    return found
