"""Interface of hedged requests to the limits of an entry host."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from endivestream.request.hedging import policy
from endivestream.version import document as document_lib


class Permit(NamedTuple):
    """A second attempt may be sent.

    Attributes:
        left: Hedges of the route that are left on this host, with a fraction.
        release: Called once the second attempt has ended.
    """

    left: float
    release: Callable[[], None]


class HedgePermits:
    """Source of permits; see `process.entry_hedges`."""

    def ratio(self, route: document_lib.Route) -> float:
        """Returns the hedges for each request of a route."""
        raise NotImplementedError

    def record_arrival(self, route: document_lib.Route) -> None:
        """Counts a request that arrived from a caller."""
        raise NotImplementedError

    async def acquire(
        self, route: document_lib.Route, service: str, *, seconds: float
    ) -> Permit | policy.Reason:
        """Takes a hedge from all limits, or returns which one denied it.

        Args:
            route: The route.
            service: The service that answers the request.
            seconds: Maximum time for which the second attempt runs.
        """
        raise NotImplementedError
