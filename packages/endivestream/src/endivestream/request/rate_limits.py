"""Rate limits that targets report, for all hosts together. Pure.

An overloaded target reports its limit, in requests a second, in each answer
for as long as it applies; an answer without one ends it. Each host gets limits
from its own answers and from other hosts. Of the reports about one process of a
target the newest applies, whatever the order of arrival. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

from endivestream import limit_messages

# The end of a limit is kept for this time, so that older reports do not restore
# the limit.
_RETENTION_SECONDS = 60.0
# Maximum characters of a number that a target may send.
_MAX_TEXT_LENGTH = 32


def parse(text: str) -> float | None:
    """Parses the rate limit header of an answer.

    Returns:
        Requests a second, 0 or more; None if the text is no such number.
    """
    if len(text) > _MAX_TEXT_LENGTH:
        return None
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def lowest(*rates: float | None) -> float | None:
    """Returns the lowest of some limits; None if there is none."""
    return min((rate for rate in rates if rate is not None), default=None)


@dataclasses.dataclass(kw_only=True)
class _Report:
    """Latest report of one target.

    Attributes:
        born: Start time of the target process that reported it, in
            milliseconds of the wall clock.
        rate: Requests a second; None without a limit.
        reported_at: When the target reported it.
    """

    born: int
    rate: float | None
    reported_at: float


class RateLimits:
    """Rate limits of all targets, as received by one host."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def __repr__(self) -> str:
        return f"<RateLimits of {self.count} targets>"

    @property
    def count(self) -> int:
        """Number of targets that have a limit."""
        return sum(report.rate is not None for report in self._reports.values())

    @property
    def rates(self) -> dict[str, float]:
        """Requests a second of all targets that have a limit."""
        return {
            name: report.rate
            for name, report in self._reports.items()
            if report.rate is not None
        }

    def rate(self, target: str, born: int) -> float | None:
        """Returns the limit of one process of a target; None without one."""
        report = self._reports.get(target)
        return report.rate if report and report.born == born else None

    def age(self, target: str, now: float) -> float:
        """Returns the age of the latest report of a target."""
        report = self._reports.get(target)
        return now - report.reported_at if report else math.inf

    def record_answer(
        self, target: str, born: int, rate: float | None, now: float
    ) -> bool:
        """Records the limit in an answer of a target.

        Args:
            target: The target.
            born: Start time of the target process that the request was sent to.
            rate: The limit in the answer; None without one.
            now: The time.

        Returns:
            Whether its limit changed.
        """
        if rate is None and target not in self._reports:
            return False
        return self._update_if_newer(
            target, _Report(born=born, rate=rate, reported_at=now)
        )

    def merge(
        self, limits: Iterable[limit_messages.RateLimit], now: float
    ) -> list[str]:
        """Merges another host's limits; returns targets whose limit changed."""
        return [
            limit.target
            for limit in limits
            if self._update_if_newer(
                limit.target,
                _Report(
                    born=limit.started_at_ms,
                    rate=limit.rate,
                    reported_at=now - limit.age,
                ),
            )
        ]

    def _update_if_newer(self, target: str, received: _Report) -> bool:
        report = self._reports.get(target)
        if report is not None and (report.born, report.reported_at) >= (
            received.born,
            received.reported_at,
        ):
            return False
        self._reports[target] = received
        previous_rate = (
            report.rate if report and report.born == received.born else None
        )
        return received.rate != previous_rate

    def records(
        self, now: float, targets: Collection[str] | None = None
    ) -> tuple[limit_messages.RateLimit, ...]:
        """Returns the latest reports, for other hosts.

        Args:
            now: The time.
            targets: Targets to include; all if None.
        """
        return tuple(
            limit_messages.RateLimit(
                name,
                report.born,
                report.rate,
                max(0.0, now - report.reported_at),
            )
            for name, report in self._reports.items()
            if targets is None or name in targets
        )

    def remove_older_starts(self, target: str, born: int) -> bool:
        """Removes the report of an earlier process of a target.

        Returns:
            Whether a limit was removed.
        """
        report = self._reports.get(target)
        if report is None or report.born >= born:
            return False
        del self._reports[target]
        return report.rate is not None

    def remove_stale(self, targets: Collection[str], now: float) -> None:
        """Removes limits that ended long ago and old ones of removed targets.

        Args:
            targets: All current targets.
            now: The time.
        """
        for name, report in list(self._reports.items()):
            is_old = now - report.reported_at > _RETENTION_SECONDS
            if is_old and (report.rate is None or name not in targets):
                del self._reports[name]
