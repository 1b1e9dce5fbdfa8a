"""How many requests a second targets say they take from all hosts. Pure.

A target in need names its limit in its answers, for as long as it applies. An
answer without one ends it. Each host learns from its own answers and from
others; of what is known of one start of a target, the newest holds, whatever
the order in which it arrives. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

from endivestream import site_messages

# A limit that has ended is remembered for so long, so that older word of it
# does not bring it back.
_REMEMBER_SECONDS = 60.0
# Digits and sign of a number that a target may send.
_LONGEST_TEXT = 32


def parse(text: str) -> float | None:
    """Returns the requests a second that a header names.

    Returns:
        A number of 0 or more; None if the text is not one.
    """
    if len(text) > _LONGEST_TEXT:
        return None
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


@dataclasses.dataclass(kw_only=True)
class _Known:
    """What is known of one target.

    Attributes:
        born: The start of the target that said it.
        rate: Requests a second; None if it names no limit.
        at: When the target said it.
    """

    born: int
    rate: float | None
    at: float


class RateLimits:
    """Limits of all targets, as one host knows them."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def __repr__(self) -> str:
        return f"<RateLimits of {self.count} targets>"

    @property
    def count(self) -> int:
        """How many targets have a limit."""
        return sum(known.rate is not None for known in self._known.values())

    @property
    def rates(self) -> dict[str, float]:
        """Requests a second of all targets that have a limit."""
        return {
            name: known.rate
            for name, known in self._known.items()
            if known.rate is not None
        }

    def rate(self, target: str, born: int) -> float | None:
        """Returns a target's limit; None if this start of it has none."""
        known = self._known.get(target)
        return known.rate if known and known.born == born else None

    def age(self, target: str, now: float) -> float:
        """Returns how long ago a target last said anything of a limit."""
        known = self._known.get(target)
        return now - known.at if known else math.inf

    def heard(
        self, target: str, born: int, rate: float | None, now: float
    ) -> bool:
        """Takes in what a target says in an answer.

        Args:
            target: The target.
            born: The start of the target that was asked.
            rate: The limit that it names; None if it names none.
            now: The time.

        Returns:
            Whether its limit is another than before.
        """
        if rate is None and target not in self._known:
            return False
        return self._take(target, _Known(born=born, rate=rate, at=now))

    def merge(
        self, limits: Iterable[site_messages.RateLimit], now: float
    ) -> list[str]:
        """Takes in what another host knows; returns whose limits changed."""
        return [
            limit.target
            for limit in limits
            if self._take(
                limit.target,
                _Known(born=limit.born, rate=limit.rate, at=now - limit.age),
            )
        ]

    def _take(self, target: str, said: _Known) -> bool:
        known = self._known.get(target)
        if known is not None and (known.born, known.at) >= (
            said.born,
            said.at,
        ):
            return False
        self._known[target] = said
        before = known.rate if known and known.born == said.born else None
        return said.rate != before

    def records(
        self, now: float, targets: Collection[str] | None = None
    ) -> tuple[site_messages.RateLimit, ...]:
        """Returns what is known, for other hosts.

        Args:
            now: The time.
            targets: Those of interest; all if None.
        """
        return tuple(
            site_messages.RateLimit(
                name, known.born, known.rate, max(0.0, now - known.at)
            )
            for name, known in self._known.items()
            if targets is None or name in targets
        )

    def forget_before(self, target: str, born: int) -> bool:
        """Forgets what starts of a target before this one have said.

        Returns:
            Whether a limit was forgotten.
        """
        known = self._known.get(target)
        if known is None or known.born >= born:
            return False
        del self._known[target]
        return known.rate is not None

    def forget(self, targets: Collection[str], now: float) -> None:
        """Forgets limits that ended long ago and targets that are gone.

        Args:
            targets: All targets that there are.
            now: The time.
        """
        for name, known in list(self._known.items()):
            is_old = now - known.at > _REMEMBER_SECONDS
            if is_old and (known.rate is None or name not in targets):
                del self._known[name]
