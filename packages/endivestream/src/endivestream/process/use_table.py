"""What runs on targets, as entry hosts report it. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from endivestream import site_messages


class UseTable:
    """Requests that run on targets, by the entry host that sent them."""

    def __init__(self) -> None:
        self._uses: dict[str, tuple[site_messages.Use, ...]] = {}

    def __repr__(self) -> str:
        return f"<UseTable of {len(self._uses)} hosts>"

    def note(self, host: str, uses: Iterable[site_messages.Use]) -> None:
        """Takes a host's report in, in place of its last one."""
        self._uses[host] = tuple(uses)

    def forget(self, host: str) -> None:
        """An entry host is gone."""
        self._uses.pop(host, None)

    def running(self, target: str) -> dict[str, int]:
        """Returns the requests that run on a target, by model."""
        counts: dict[str, int] = {}
        for uses in self._uses.values():
            for use in uses:
                if use.target == target:
                    before = counts.get(use.model, 0)
                    counts[use.model] = before + use.running
        return counts

    def loads(self, host: str) -> dict[str, int]:
        """Returns what runs on targets for all entry hosts but one.

        Requests whose prompts are still being read count twice.
        """
        loads: dict[str, int] = {}
        for other, uses in self._uses.items():
            if other == host:
                continue
            for use in uses:
                before = loads.get(use.target, 0)
                loads[use.target] = before + use.running + use.starting
        return loads
