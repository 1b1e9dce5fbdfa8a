"""Limits of second attempts on one entry host.

Where the host's own part of a limit is less than one, it asks the leader.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import functools
import itertools

from endivestream import clock
from endivestream import limit_messages
from endivestream.connection import watch as watch_lib
from endivestream.process import entry_repeats
from endivestream.process import site_settings
from endivestream.request.hedging import limit as limit_lib
from endivestream.request.hedging import permits
from endivestream.request.hedging import policy
from endivestream.version import document as document_lib

# Limits how long a second attempt waits for the leader. It normally answers
# within milliseconds; a later answer would take the advantage of the attempt.
_TIMEOUT_SECONDS = 0.1
# After a hedge was not granted, no further one of the route is asked for this
# long. Otherwise each slow request would ask while all slots are taken.
_BACKOFF_SECONDS = 0.5


class EntryHedges(permits.HedgePermits):
    """Limits by route, created once when the process starts."""

    def __init__(
        self,
        *,
        settings: site_settings.SiteSettings,
        watch: watch_lib.LeaderSession,
        repeats: entry_repeats.EntryRepeats,
        send_to_leader: Callable[[limit_messages.EndHedge], None],
    ) -> None:
        """Starts without requests, and so without hedges.

        Args:
            settings: The host's settings.
            watch: The session with the leader.
            repeats: Retry budgets, which hedges also spend.
            send_to_leader: Sends a message in the background.
        """
        self._settings = settings
        self._watch = watch
        self._repeats = repeats
        self._send_to_leader = send_to_leader
        self._hosts = limit_lib.HostCounts(lease=settings.lease_seconds)
        self._shares: dict[str, limit_lib.HedgeShare] = {}
        self._running: dict[str, int] = {}
        self._backoff_until: dict[str, float] = {}
        self._grant_numbers = itertools.count(1)
        self._started_at = clock.now()

    def set_hosts(self, hosts: int) -> None:
        """Sets how many entry hosts share the hedges at once."""
        self._hosts.record(hosts, clock.now())

    def ratio(self, route: document_lib.Route) -> float:
        """Returns the hedges for each request of a route."""
        if route.kind != document_lib.Kind.IDEMPOTENT:
            return 0.0
        if route.hedge_ratio is None:
            return self._settings.hedge_ratio
        # The document does not state the retry ratio.
        return min(route.hedge_ratio, self._settings.bounds.repeat_ratio)

    def record_arrival(self, route: document_lib.Route) -> None:
        """Counts a request that arrived from a caller."""
        if self.ratio(route) > 0:
            self._share(route).record_arrival(clock.now())

    def _share(self, route: document_lib.Route) -> limit_lib.HedgeShare:
        share = self._shares.get(route.name)
        if share is None:
            share = self._shares[route.name] = limit_lib.HedgeShare(
                window=self._settings.bounds.repeat_window
            )
        return share

    async def acquire(
        self, route: document_lib.Route, service: str, *, seconds: float
    ) -> permits.Permit | policy.Reason:
        """Takes a hedge from all limits, or returns which one denied it."""
        share, ratio = self._share(route), self.ratio(route)
        limit, scope = self._settings.hedge_concurrency, ""
        if route.hedge_concurrency is not None:
            limit, scope = route.hedge_concurrency, route.name
        release: Callable[[], None] = _do_nothing
        has_slot = not limit
        running = self._running.get(scope, 0)
        if limit and running < self._hosts.own_slots(limit, clock.now()):
            has_slot = True
            self._running[scope] = running + 1
            release = functools.partial(self._release_own_slot, scope)
        is_acquired = False
        try:
            has_share = share.spend(ratio, clock.now())
            if not has_share or not has_slot:
                granted = await self._request(
                    route,
                    ratio=0.0 if has_share else ratio,
                    scope=scope,
                    limit=0 if has_slot else limit,
                    seconds=seconds,
                )
                if isinstance(granted, policy.Reason):
                    return granted
                if not has_slot:
                    release = granted
            if not self._repeats.budget(service).spend(
                clock.now()
            ) and not await self._repeats.request(service):
                return policy.Reason.REPEATS
            is_acquired = True
        finally:
            # Also if the caller leaves while the leader is asked.
            if not is_acquired:
                release()
        left = max(0.0, share.left(ratio, clock.now()))
        return permits.Permit(left, release)

    def _release_own_slot(self, scope: str) -> None:
        self._running[scope] -= 1

    async def _request(
        self,
        route: document_lib.Route,
        *,
        ratio: float,
        scope: str,
        limit: int,
        seconds: float,
    ) -> Callable[[], None] | policy.Reason:
        """Requests from the leader what this host's parts do not allow.

        Returns:
            A function that frees the slot, or the limit that denied it.
        """
        denial = policy.Reason.RATIO if ratio else policy.Reason.CONCURRENCY
        if self._backoff_until.get(route.name, 0.0) > clock.now():
            return denial
        grant = (
            f"{self._settings.host_identity}/{self._started_at:.3f}/"
            f"{next(self._grant_numbers)}"
        )
        arrivals = 0
        if ratio:
            arrivals = self._share(route).take_arrivals(ratio, clock.now())
        release = functools.partial(
            self._send_to_leader,
            limit_messages.EndHedge(scope=scope, grant=grant),
        )
        try:
            answer = await self._watch.request(
                limit_messages.AskHedge(
                    route=route.name,
                    arrivals=arrivals,
                    ratio=ratio,
                    scope=scope,
                    grant=grant,
                    limit=limit,
                    seconds=seconds,
                ),
                seconds=_TIMEOUT_SECONDS,
            )
        except asyncio.CancelledError:
            # The caller has left; the leader may have granted a slot.
            if limit:
                release()
            raise
        match answer:
            case limit_messages.GiveHedge(granted=True):
                return release
            case limit_messages.GiveHedge(is_over_ratio=False):
                denial = policy.Reason.CONCURRENCY
            case None if limit:
                # It may have been granted, and the answer be late.
                release()
        self._backoff_until[route.name] = clock.now() + _BACKOFF_SECONDS
        return denial


def _do_nothing() -> None:
    """Frees nothing: the hedges at once are not limited."""
