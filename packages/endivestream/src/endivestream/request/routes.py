"""Which route, team and service a request belongs to. Pure."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from endivestream.version import document as document_lib


class Owner(NamedTuple):
    """Whose request it is.

    Attributes:
        team: The team, or None on a route that needs no key.
    """

    team: document_lib.Team | None


class Table:
    """One document, arranged for looking up."""

    def __init__(self, *, document: document_lib.Document) -> None:
        self.document = document
        self._services = {s.name: s for s in document.services}
        self._keys = {k: t for t in document.teams for k in t.keys}
        self._hosts: dict[str, list[document_lib.Route]] = {}
        for route in document.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def __repr__(self) -> str:
        return f"<Table version {self.document.version}>"

    def route(self, host: str, path: str) -> document_lib.Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
            host: The request's host name, with or without a port.
            path: The path without the query.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._hosts.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def owner(self, route: document_lib.Route, key: str) -> Owner | None:
        """Returns whose request it is; None if the key is not known."""
        if not self.document.teams or route.anonymous:
            return Owner(self._keys.get(key))
        team = self._keys.get(key)
        return None if team is None else Owner(team)

    def service(self, name: str) -> document_lib.Service | None:
        """Returns a service by name, or None."""
        return self._services.get(name)


def pick_service(route: document_lib.Route, request: str) -> str:
    """Returns the service for a request, split by the route's weights.

    The request's id decides, so that a repeat meets the same service.
    """
    if len(route.choices) == 1:
        return route.choices[0].service
    total = sum(choice.weight for choice in route.choices)
    digest = hashlib.blake2b(request.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") / 2**64 * total
    for choice in route.choices:
        point -= choice.weight
        if point < 0:
            return choice.service
    return next(c.service for c in reversed(route.choices) if c.weight > 0)
