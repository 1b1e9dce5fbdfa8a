"""Running requests on targets, as reported by entry hosts.

This module has no side effects. Totals are updated with each report: the
leader reads them at each lease renewal and the planner for each engine in each
round, and neither can afford to sum the reports of all hosts.
"""

from __future__ import annotations

from collections.abc import Iterable

from endivestream import placement_messages


class UseTable:
    """Requests that run on targets, by the entry host that sent them."""

    def __init__(self) -> None:
        self._uses: dict[str, tuple[placement_messages.Use, ...]] = {}
        # Requests by target; those in the prefill phase count twice.
        self._loads: dict[str, int] = {}
        # Requests by target and model.
        self._running: dict[str, dict[str, int]] = {}
        # Requests by target and `MODEL/ADAPTER`.
        self._adapters: dict[str, dict[str, int]] = {}

    def __repr__(self) -> str:
        return f"<UseTable of {len(self._uses)} hosts>"

    def note(self, host: str, uses: Iterable[placement_messages.Use]) -> None:
        """Replaces the report of an entry host."""
        uses = tuple(uses)
        previous = self._uses.get(host, ())
        if uses == previous:
            return
        self._add_uses(previous, -1)
        self._add_uses(uses, 1)
        self._uses[host] = uses

    def forget(self, host: str) -> None:
        """Removes the report of an entry host that was removed."""
        self._add_uses(self._uses.pop(host, ()), -1)

    def _add_uses(
        self, uses: Iterable[placement_messages.Use], sign: int
    ) -> None:
        for use in uses:
            _add(self._loads, use.target, sign * _load(use))
            models = self._running.setdefault(use.target, {})
            _add(models, use.model, sign * use.running)
            if not models:
                del self._running[use.target]
            if not use.adapter:
                continue
            adapters = self._adapters.setdefault(use.target, {})
            _add(adapters, f"{use.model}/{use.adapter}", sign * use.running)
            if not adapters:
                del self._adapters[use.target]

    def running(self, target: str) -> dict[str, int]:
        """Returns the requests that run on a target, by model."""
        return dict(self._running.get(target, {}))

    def adapters(self, target: str) -> dict[str, int]:
        """Returns the requests that run on a target, by `MODEL/ADAPTER`."""
        return dict(self._adapters.get(target, {}))

    def total_loads(self) -> dict[str, int]:
        """Returns the load of each target from all entry hosts.

        Requests in the prefill phase count twice.
        """
        return dict(self._loads)

    def loads(self, host: str) -> dict[str, int]:
        """Returns the load of each target from all entry hosts but one.

        Requests in the prefill phase count twice.
        """
        loads = dict(self._loads)
        for use in self._uses.get(host, ()):
            _add(loads, use.target, -_load(use))
        return loads


def _load(use: placement_messages.Use) -> int:
    return use.running + use.starting


def _add(counts: dict[str, int], key: str, change: int) -> None:
    """Changes a count and removes the key if the count is zero."""
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)
