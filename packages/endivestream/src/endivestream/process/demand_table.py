"""What all entry hosts ask for, and since when it was not there. Pure.

Times are seconds of one clock and come in as arguments.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math

from endivestream import site_messages
from endivestream.version import plan_types

# What was held is remembered for so long.
_HELD_MEMORY_SECONDS = 60.0

Key = tuple[str, str, str]


@dataclasses.dataclass(kw_only=True)
class _Asked:
    """How much one model or adapter is asked for.

    Attributes:
        rates: Requests a second, by the entry host that they come to.
        waiting: Requests that wait for it, by entry host.
        missed: Since when it has not been served, by entry host.
        objective: Least objective seen, in seconds; 0 if none.
    """

    rates: dict[str, float] = dataclasses.field(default_factory=dict)
    waiting: dict[str, int] = dataclasses.field(default_factory=dict)
    missed: dict[str, float] = dataclasses.field(default_factory=dict)
    objective: float = 0.0

    def forget(self, host: str) -> None:
        """Forgets what an entry host has said."""
        self.rates.pop(host, None)
        self.waiting.pop(host, None)
        self.missed.pop(host, None)


class DemandTable:
    """Demand by service, model and adapter."""

    def __init__(self) -> None:
        self._asked: dict[Key, _Asked] = {}
        # When models and adapters could last be sent to.
        self._held: dict[Key, float] = {}

    def __repr__(self) -> str:
        return f"<DemandTable of {len(self._asked)} models and adapters>"

    def note(self, host: str, each: site_messages.Demand, now: float) -> None:
        """Takes in how much one thing is asked for on an entry host."""
        key = (each.service, each.model, each.adapter)
        asked = self._asked.setdefault(key, _Asked())
        asked.rates[host] = each.rate
        if each.unserved:
            asked.missed[host] = now - each.unserved
        if each.urgency:
            known = asked.objective or each.urgency
            asked.objective = min(known, each.urgency)
        if each.waiting:
            asked.waiting[host] = each.waiting

    def forget(self, host: str) -> None:
        """Forgets what an entry host has said."""
        for asked in self._asked.values():
            asked.forget(host)

    def note_held(self, keys: Iterable[Key], now: float) -> None:
        """Notes which models and adapters requests can be sent to."""
        self._held |= dict.fromkeys(keys, now)
        for key, when in list(self._held.items()):
            if now - when > _HELD_MEMORY_SECONDS:
                del self._held[key]

    def adapters(self, service: str, now: float) -> dict[str, float]:
        """Returns the adapters of a service that requests wait for.

        Returns:
            For each `MODEL/ADAPTER` the seconds for which it was not there.
        """
        return {
            f"{key[1]}/{key[2]}": self._unserved(key, now)
            for key, asked in self._asked.items()
            if key[0] == service and key[2] and asked.waiting
        }

    def wants(self, service: str, now: float) -> dict[str, plan_types.Want]:
        """Returns how much each model of a service is asked for."""
        wants: dict[str, plan_types.Want] = {}
        for key, asked in list(self._asked.items()):
            if key[0] != service:
                continue
            if not asked.waiting and not asked.rates:
                # Callers can name any model; what they no longer name goes.
                del self._asked[key]
                continue
            before = wants.get(key[1], plan_types.Want(0.0, 0, math.inf))
            unserved = 0.0
            if asked.waiting:
                held = self._held.get((service, key[1], ""), -math.inf)
                unserved = min(self._unserved(key, now), now - held)
            wants[key[1]] = plan_types.Want(
                before.rate + sum(asked.rates.values()),
                before.waiting + sum(asked.waiting.values()),
                min(before.objective, asked.objective or 1.0),
                max(before.unserved, unserved),
            )
        return wants

    def _unserved(self, key: Key, now: float) -> float:
        """Returns for how many seconds a model or adapter was not there.

        Hosts do not hear of each other's requests; what was held meanwhile
        may have served some of them.
        """
        asked = self._asked[key]
        if not asked.missed:
            return 0.0
        since = max(min(asked.missed.values()), self._held.get(key, -math.inf))
        return max(0.0, now - since)
