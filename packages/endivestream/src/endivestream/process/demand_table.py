"""Demand for models and adapters, and how long it has been unserved.

This module has no side effects. Times are in seconds of one clock and are
passed as arguments.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

from endivestream import placement_messages
from endivestream.version import plan_types

# Time for which the last availability of a model or adapter is remembered.
_HELD_MEMORY_SECONDS = 60.0
# Ranks are numbers from 0, the most urgent, to this one.
_LOWEST_RANK = 9

Key = tuple[str, str, str]


@dataclasses.dataclass(kw_only=True)
class _Entry:
    """Demand for one model or adapter.

    Attributes:
        rates: Requests per second, by the entry host that receives them.
        waiting: Number of waiting requests, by entry host.
        unserved_since: Time since which no request was served, by entry host.
        objective: Minimum latency objective received, in seconds; 0 if none.
        ranks: Most urgent rank of the requests, by entry host.
        run_seconds: Mean run time of the requests, by entry host.
        needs: Objective of the waiting requests and time until which they
            wait, by entry host.
    """

    rates: dict[str, float] = dataclasses.field(default_factory=dict)
    waiting: dict[str, int] = dataclasses.field(default_factory=dict)
    unserved_since: dict[str, float] = dataclasses.field(default_factory=dict)
    objective: float = 0.0
    ranks: dict[str, int] = dataclasses.field(default_factory=dict)
    run_seconds: dict[str, float] = dataclasses.field(default_factory=dict)
    needs: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )

    def forget(self, host: str) -> None:
        """Removes the demand of an entry host."""
        self.rates.pop(host, None)
        self.waiting.pop(host, None)
        self.unserved_since.pop(host, None)
        self.ranks.pop(host, None)
        self.run_seconds.pop(host, None)
        self.needs.pop(host, None)

    def groups(self, now: float) -> tuple[plan_types.WaitingGroup, ...]:
        """Returns the waiting requests; one group for each entry host.

        Of those of one host, the most patient counts for all; a host has few
        requests for one model.
        """
        return tuple(
            plan_types.WaitingGroup(
                self.waiting[host],
                self.ranks.get(host, 0),
                objective,
                until - now,
            )
            for host, (objective, until) in self.needs.items()
            if host in self.waiting
        )


class DemandTable:
    """Demand by service, model and adapter."""

    def __init__(self) -> None:
        self._entries: dict[Key, _Entry] = {}
        # When each model or adapter was last able to serve requests.
        self._held_at: dict[Key, float] = {}

    def __repr__(self) -> str:
        return f"<DemandTable of {len(self._entries)} models and adapters>"

    def record_demand(
        self,
        host: str,
        report: placement_messages.Demand,
        now: float,
        *,
        slots: placement_messages.SlotDemand | None = None,
    ) -> None:
        """Adds an entry host's demand for one model or adapter.

        Args:
            host: Name of the entry host.
            report: The demand.
            now: The time.
            slots: More on it; None if the service is not slot-bound.
        """
        key = (report.service, report.model, report.adapter)
        entry = self._entries.setdefault(key, _Entry())
        entry.rates[host] = report.rate
        entry.ranks[host] = slots.rank if slots is not None else 0
        if slots is not None and slots.run_seconds:
            entry.run_seconds[host] = slots.run_seconds
        if report.waiting and slots is not None and slots.patience_seconds:
            entry.needs[host] = (
                report.shortest_objective,
                now + slots.patience_seconds,
            )
        if report.unserved_seconds:
            entry.unserved_since[host] = now - report.unserved_seconds
        if report.shortest_objective:
            current = entry.objective or report.shortest_objective
            entry.objective = min(current, report.shortest_objective)
        if report.waiting:
            entry.waiting[host] = report.waiting

    def remove_host(self, host: str) -> None:
        """Removes an entry host's demand for all models and adapters."""
        for entry in self._entries.values():
            entry.forget(host)

    def record_servable(self, keys: Iterable[Key], now: float) -> None:
        """Records which models and adapters can serve requests now."""
        self._held_at |= dict.fromkeys(keys, now)
        for key, held_at in list(self._held_at.items()):
            if now - held_at > _HELD_MEMORY_SECONDS:
                del self._held_at[key]

    def waiting_adapters(self, service: str, now: float) -> dict[str, float]:
        """Returns the adapters of a service that requests wait for.

        Returns:
            For each `MODEL/ADAPTER`, the seconds for which it was unserved.
        """
        return {
            f"{key[1]}/{key[2]}": self._unserved(key, now)
            for key, entry in self._entries.items()
            if key[0] == service and key[2] and entry.waiting
        }

    def adapter_rates(self, service: str) -> dict[str, float]:
        """Returns the requests a second by `MODEL/ADAPTER` of a service."""
        return {
            f"{key[1]}/{key[2]}": sum(entry.rates.values())
            for key, entry in self._entries.items()
            if key[0] == service and key[2] and entry.rates
        }

    def demands(
        self, service: str, now: float
    ) -> dict[str, plan_types.ModelDemand]:
        """Returns the demand for each model of a service."""
        demands: dict[str, plan_types.ModelDemand] = {}
        for key, entry in list(self._entries.items()):
            if key[0] != service:
                continue
            if not entry.waiting and not entry.rates:
                # Callers can name any model; names without demand are removed.
                del self._entries[key]
                continue
            total = demands.get(
                key[1],
                plan_types.ModelDemand(0.0, 0, math.inf, rank=_LOWEST_RANK),
            )
            unserved = 0.0
            if entry.waiting:
                held_at = self._held_at.get((service, key[1], ""), -math.inf)
                unserved = min(self._unserved(key, now), now - held_at)
            demands[key[1]] = plan_types.ModelDemand(
                total.rate + sum(entry.rates.values()),
                total.waiting + sum(entry.waiting.values()),
                min(total.objective_seconds, entry.objective or 1.0),
                max(total.unserved_seconds, unserved),
                min(total.rank, *entry.ranks.values()),
                max(total.run_seconds, _mean(entry.run_seconds.values())),
                total.groups + entry.groups(now),
            )
        return demands

    def _unserved(self, key: Key, now: float) -> float:
        """Returns for how many seconds a model or adapter was unserved.

        Entry hosts do not receive each other's requests; a model or adapter
        that was available after the time that one host reports may have served
        requests of the others.
        """
        entry = self._entries[key]
        if not entry.unserved_since:
            return 0.0
        since = max(
            min(entry.unserved_since.values()),
            self._held_at.get(key, -math.inf),
        )
        return max(0.0, now - since)


def _mean(values: Collection[float]) -> float:
    return sum(values) / len(values) if values else 0.0
