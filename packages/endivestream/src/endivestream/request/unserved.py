"""For how long what callers ask for has not been served on one host. Pure.

The load pattern that it answers: a site has more models than places, and many
of them are asked for now and then. A caller of such a model waits for seconds
and leaves; the next one comes later. Judged by who waits at the moment, each
of them is a single request that is worth less than what it would displace.

Hosts remember, not the planner, so that turns outlive the placing host. Times
are seconds.
"""

from __future__ import annotations

import dataclasses

# What nobody has asked for in this time is forgotten.
_REMEMBER_SECONDS = 60.0
# Callers can name any model, so the number of those remembered is bounded.
_MOST_KEYS = 4096

Key = tuple[str, str, str]


@dataclasses.dataclass(kw_only=True)
class _Record:
    """One model or adapter.

    Attributes:
        since: When it was first asked for in vain.
        asked: When it was last asked for in vain.
    """

    since: float
    asked: float


class Unserved:
    """What has not been served, by service, model and adapter."""

    def __init__(self) -> None:
        # Least recently asked for first.
        self._records: dict[Key, _Record] = {}

    def __repr__(self) -> str:
        return f"<Unserved {len(self._records)}>"

    def missed(self, key: Key, now: float) -> None:
        """Notes a request that finds no target which holds what it needs."""
        record = self._records.pop(key, None) or _Record(since=now, asked=now)
        record.asked = now
        self._records[key] = record
        self._forget(now)

    def served(self, key: Key) -> None:
        """Notes a request that has found its target."""
        service, model, _ = key
        self._records.pop(key, None)
        self._records.pop((service, model, ""), None)

    def seconds(self, key: Key, now: float) -> float:
        """Returns for how long a key has not been served; 0 if it has."""
        record = self._records.get(key)
        if record is None or now - record.asked > _REMEMBER_SECONDS:
            return 0.0
        return now - record.since

    def _forget(self, now: float) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            is_old = now - record.asked > _REMEMBER_SECONDS
            if not is_old and len(self._records) <= _MOST_KEYS:
                return
            del self._records[key]
