"""Lookup of the route, team and service of a request. Pure."""

from __future__ import annotations

from collections.abc import Sequence
import hashlib
from typing import NamedTuple

from endivestream.version import document as document_lib


class Owner(NamedTuple):
    """The team that a request belongs to.

    Attributes:
        team: The team, or None without a known key if none is required.
    """

    team: document_lib.Team | None


class Table:
    """Index of one document by host and path, key, and service name."""

    def __init__(self, *, document: document_lib.Document) -> None:
        self.document = document
        self._services_by_name = {s.name: s for s in document.services}
        # An empty key would let requests without one in.
        self._teams_by_key = {k: t for t in document.teams for k in t.keys if k}
        self._routes_by_host: dict[str, list[document_lib.Route]] = {}
        for route in document.routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(
                route
            )
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def __repr__(self) -> str:
        return f"<Table version {self.document.version}>"

    def routes(self, host: str) -> Sequence[document_lib.Route]:
        """Returns all routes of a host name, with or without a port."""
        hostname = host.rsplit(":", 1)[0] if ":" in host else host
        return self._routes_by_host.get(hostname.lower(), ())

    def route(self, host: str, path: str) -> document_lib.Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
            host: The request's host name, with or without a port.
            path: The path without the query.
        """
        for route in self.routes(host):
            if path.startswith(route.prefix):
                return route
        return None

    def owner(self, route: document_lib.Route, key: str) -> Owner | None:
        """Returns the owner of a request; None if it needs a known key."""
        if not self.document.requires_key or route.anonymous:
            return Owner(self._teams_by_key.get(key))
        team = self._teams_by_key.get(key)
        return None if team is None else Owner(team)

    def service(self, name: str) -> document_lib.Service | None:
        """Returns a service by name, or None."""
        return self._services_by_name.get(name)


def pick_service(route: document_lib.Route, request: str) -> str:
    """Returns the service for a request, split by the route's weights.

    The choice is a hash of the request's id, so that a repeat gets the same
    service.
    """
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(weighted_service.weight for weighted_service in route.services)
    digest = hashlib.blake2b(request.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") / 2**64 * total
    for weighted_service in route.services:
        point -= weighted_service.weight
        if point < 0:
            return weighted_service.service
    return next(c.service for c in reversed(route.services) if c.weight > 0)
