"""What runs on targets, as entry hosts report it. Pure.

Totals are kept as reports come: the leader reads them at each renewal and the
planner for each engine in each round, and neither can afford to add up what
all hosts have said.
"""

from __future__ import annotations

from collections.abc import Iterable

from endivestream import site_messages


class UseTable:
    """Requests that run on targets, by the entry host that sent them."""

    def __init__(self) -> None:
        self._uses: dict[str, tuple[site_messages.Use, ...]] = {}
        # Requests by target, those whose prompts are still read counted twice.
        self._loads: dict[str, int] = {}
        # Requests by target and model.
        self._running: dict[str, dict[str, int]] = {}
        # Requests by target and `MODEL/ADAPTER`.
        self._adapters: dict[str, dict[str, int]] = {}

    def __repr__(self) -> str:
        return f"<UseTable of {len(self._uses)} hosts>"

    def note(self, host: str, uses: Iterable[site_messages.Use]) -> None:
        """Takes a host's report in, in place of its last one."""
        uses = tuple(uses)
        before = self._uses.get(host, ())
        if uses == before:
            return
        self._count(before, -1)
        self._count(uses, 1)
        self._uses[host] = uses

    def forget(self, host: str) -> None:
        """An entry host is gone."""
        self._count(self._uses.pop(host, ()), -1)

    def _count(self, uses: Iterable[site_messages.Use], sign: int) -> None:
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

    def all_loads(self) -> dict[str, int]:
        """Returns the load of each target from all entry hosts.

        Requests whose prompts are still being read count twice.
        """
        return dict(self._loads)

    def loads(self, host: str) -> dict[str, int]:
        """Returns what runs on targets for all entry hosts but one.

        Requests whose prompts are still being read count twice.
        """
        loads = dict(self._loads)
        for use in self._uses.get(host, ()):
            _add(loads, use.target, -_load(use))
        return loads


def _load(use: site_messages.Use) -> int:
    return use.running + use.starting


def _add(counts: dict[str, int], key: str, change: int) -> None:
    """Changes a count, and leaves out what is zero."""
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)
