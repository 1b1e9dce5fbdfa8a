"""Targets that fail what they are given: ejected for a while, then probed.

A target can report itself well and still break every request: its reports come
from another thread, or from before the fault. Callers then pay an attempt each
(symptom: first tokens late by one retry, on a share of requests). Pure.
"""

from __future__ import annotations

from typing import NamedTuple

# Failures in a row that eject; one alone may be the request's own fault.
_IN_A_ROW = 3
_FIRST_SECONDS = 1.0
_MOST_SECONDS = 30.0
_PROBE_SECONDS = 5.0
# Never more than this share: if most targets fail, the fault is elsewhere, and
# the few that are left would drown.
_MOST_SHARE = 1 / 3


class _Record(NamedTuple):
    """A target's recent fate.

    Attributes:
        failures: In a row, since the last success.
        ejections: In a row, since the last success.
        until: When it may get one request, to find out.
    """

    failures: int = 0
    ejections: int = 0
    until: float = 0.0


class Outliers:
    """Which targets of a pool are ejected. Times are seconds."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def __repr__(self) -> str:
        return f"<Outliers among {len(self._records)} failing targets>"

    def ended(self, target: str, *, failed: bool, now: float, of: int) -> bool:
        """Notes how an attempt ended.

        Args:
            target: Where it ran.
            failed: Whether the target broke it.
            now: The time.
            of: Targets in the pool.

        Returns:
            Whether the target was ejected by this.
        """
        if not failed:
            self._records.pop(target, None)
            return False
        record = self._records.get(target, _Record())
        failures = record.failures + 1
        if failures < _IN_A_ROW and not record.ejections:
            self._records[target] = record._replace(failures=failures)
            return False
        if record.until <= now and not self._room(now, of):
            self._records[target] = record._replace(failures=failures)
            return False
        seconds = min(_MOST_SECONDS, _FIRST_SECONDS * 2**record.ejections)
        self._records[target] = _Record(
            failures, record.ejections + 1, now + seconds
        )
        return True

    def _room(self, now: float, of: int) -> bool:
        out = sum(record.until > now for record in self._records.values())
        return out + 1 <= of * _MOST_SHARE

    def may_get(self, target: str, now: float) -> bool:
        """Tells whether a target may get a request."""
        record = self._records.get(target)
        if record is None or not record.ejections:
            return True
        return record.until <= now

    def granted(self, target: str, now: float) -> None:
        """Notes a grant: an ejected target gets one request to prove itself.

        The next after a while, should this one end without a verdict, as when
        its caller leaves.
        """
        record = self._records.get(target)
        if record is not None and record.ejections:
            until = now + _PROBE_SECONDS
            self._records[target] = record._replace(until=until)

    def forget(self, target: str) -> None:
        """Drops what is known; the target started anew."""
        self._records.pop(target, None)
