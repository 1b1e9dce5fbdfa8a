"""Outlier detection: failing targets are ejected temporarily, then probed.

A target can send healthy reports and still fail every request: its reports
come from another thread, or from before the fault. Every caller then loses an
attempt (symptom: first tokens late by one retry, for a share of requests).
Does no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

# Consecutive failures that eject a target; a single failure may be caused by
# the request.
_EJECTION_FAILURES = 3
_FIRST_EJECTION_SECONDS = 1.0
_MAX_EJECTION_SECONDS = 30.0
_PROBE_INTERVAL_SECONDS = 5.0
# Maximum share of ejected targets. If most targets fail, the fault is
# elsewhere, and the few remaining targets would be overloaded.
_MAX_EJECTED_SHARE = 1 / 3


class _FailureRecord(NamedTuple):
    """Recent failures of a target.

    Attributes:
        failures: Number of failures since the last success.
        ejections: Number of ejections since the last success.
        probe_at: Time from which the target may get one request as a probe.
    """

    failures: int = 0
    ejections: int = 0
    probe_at: float = 0.0


class Outliers:
    """Failure records of the targets in a pool. Times are in seconds."""

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}

    def __repr__(self) -> str:
        return f"<Outliers among {len(self._records)} failing targets>"

    def record_attempt(
        self, target: str, *, failed: bool, now: float, pool_size: int
    ) -> bool:
        """Records the result of an attempt.

        Args:
            target: Target that the attempt ran on.
            failed: Whether the attempt failed because of the target.
            now: Current time.
            pool_size: Number of targets in the pool.

        Returns:
            Whether this failure ejected the target.
        """
        if not failed:
            self._records.pop(target, None)
            return False
        record = self._records.get(target, _FailureRecord())
        failures = record.failures + 1
        if failures < _EJECTION_FAILURES and not record.ejections:
            self._records[target] = record._replace(failures=failures)
            return False
        if record.probe_at <= now and not self._may_eject(now, pool_size):
            self._records[target] = record._replace(failures=failures)
            return False
        ejection_seconds = min(
            _MAX_EJECTION_SECONDS, _FIRST_EJECTION_SECONDS * 2**record.ejections
        )
        self._records[target] = _FailureRecord(
            failures, record.ejections + 1, now + ejection_seconds
        )
        return True

    def _may_eject(self, now: float, pool_size: int) -> bool:
        ejected = sum(
            record.probe_at > now for record in self._records.values()
        )
        return ejected + 1 <= pool_size * _MAX_EJECTED_SHARE

    def is_allowed(self, target: str, now: float) -> bool:
        """Returns whether a target may get a request."""
        record = self._records.get(target)
        if record is None or not record.ejections:
            return True
        return record.probe_at <= now

    def record_grant(self, target: str, now: float) -> None:
        """Records a grant; an ejected target gets a single probe request.

        If the probe ends without a result, for example because its caller
        disconnects, the next probe is allowed after `_PROBE_INTERVAL_SECONDS`.
        """
        record = self._records.get(target)
        if record is not None and record.ejections:
            probe_at = now + _PROBE_INTERVAL_SECONDS
            self._records[target] = record._replace(probe_at=probe_at)

    def forget(self, target: str) -> None:
        """Drops the failure record of a target that has restarted."""
        self._records.pop(target, None)
