"""How long requested models have not been served on one host. Pure.

This handles sites with more models than their engines can hold, many of which
are requested rarely. A caller of such a model waits for seconds and
disconnects; the next request arrives later. Counted by the requests that wait
at any moment, such a model has a single request, which is worth less than what
its load would displace.

Entry hosts store this, not the planner, so that it survives a change of the
planner lease holder. Times are seconds.
"""

from __future__ import annotations

import dataclasses

# Models that were not requested for this time are removed.
_RETENTION_SECONDS = 60.0
# Callers can name any model, so the number of records is bounded.
_MAX_KEYS = 4096

Key = tuple[str, str, str]


@dataclasses.dataclass(kw_only=True)
class _Record:
    """Unserved requests for one model or adapter.

    Attributes:
        first_missed_at: When the first of these requests found no target.
        last_missed_at: When the last of these requests found no target.
    """

    first_missed_at: float
    last_missed_at: float


class UnservedModels:
    """Unserved models and adapters, by service, model and adapter."""

    def __init__(self) -> None:
        # Least recently missed first.
        self._records: dict[Key, _Record] = {}

    def __repr__(self) -> str:
        return f"<UnservedModels {len(self._records)}>"

    def record_miss(self, key: Key, now: float) -> None:
        """Records a request that no target can serve for lack of its model."""
        record = self._records.pop(key, None) or _Record(
            first_missed_at=now, last_missed_at=now
        )
        record.last_missed_at = now
        self._records[key] = record
        self._remove_old(now)

    def record_service(self, key: Key) -> None:
        """Records a request that has been assigned a target."""
        service, model, _ = key
        self._records.pop(key, None)
        self._records.pop((service, model, ""), None)

    def unserved_seconds(self, key: Key, now: float) -> float:
        """Returns the seconds since a key was first missed; 0 if served."""
        record = self._records.get(key)
        if record is None or now - record.last_missed_at > _RETENTION_SECONDS:
            return 0.0
        return now - record.first_missed_at

    def _remove_old(self, now: float) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            is_old = now - record.last_missed_at > _RETENTION_SECONDS
            if not is_old and len(self._records) <= _MAX_KEYS:
                return
            del self._records[key]
