"""Sends of one entry host to targets that name a limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from endivestream import clock
from endivestream import logs
from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.connection import watch as watch_lib
from endivestream.request import rate_limits as rate_limits_lib
from endivestream.request import send_slots

# A leader answers within a few milliseconds.
_ANSWER_SECONDS = 0.15
# Without an answer the target is left alone for so long.
_UNANSWERED_SECONDS = 0.25
# A send that is made so much later than granted may fall together with those
# granted after it, and is asked for anew. The host was suspended meanwhile.
_LATE_SECONDS = 0.3
# A limit that changes by less than this part is told with the next renewal, as
# are changes that follow another one within this time.
_SMALL_CHANGE = 0.1
_TELL_SECONDS = 0.1


class EntryRateLimits:
    """What this host knows of targets' limits, and how it keeps them.

    Lives as long as the process. Without a leader nothing goes to a limited
    target beyond this host's own share.
    """

    def __init__(
        self,
        *,
        limits: rate_limits_lib.RateLimits,
        watch: watch_lib.Watch,
        changed: Callable[[], None],
    ) -> None:
        """Knows no limit yet.

        Args:
            limits: The limits, shared with the choice of targets.
            watch: The session with the leader.
            changed: Called when the leader should be told at once.
        """
        self._limits = limits
        self._watch = watch
        self._changed = changed
        self._hosts = 0
        self._shares: dict[str, send_slots.HostShare] = {}
        # Targets whose limits the leader may not know.
        self._unreported: set[str] = set()
        # Those of them that the renewal under way names.
        self._reporting: set[str] = set()
        self._told_at = float("-inf")
        self._outcomes = dict.fromkeys(
            ("own", "granted", "denied", "unanswered"), 0
        )

    @property
    def outcomes(self) -> Mapping[str, int]:
        """How many sends to limited targets ended in what."""
        return self._outcomes

    # What is known.

    def set_hosts(self, hosts: int) -> None:
        """Sets how many entry hosts share the limits."""
        self._hosts = hosts

    def heard(self, said: registry_lib.Registration, text: str | None) -> None:
        """Takes in what an answer of a target says.

        Args:
            said: The target.
            text: The limit that the answer names; None if it names none.
        """
        rate = None
        if text is not None:
            rate = rate_limits_lib.parse(text)
            if rate is None:
                # Its author meant some limit, so the last one stays.
                logs.warn("rate_limit_unreadable", target=said.name, text=text)
                return
        now = clock.now()
        before = self._limits.rate(said.name, said.born)
        if not self._limits.heard(said.name, said.born, rate, now):
            return
        _log(said.name, rate, "target")
        self._unreported.add(said.name)
        is_due = now >= self._told_at + _TELL_SECONDS
        if is_due and _is_large_change(before, rate):
            self._told_at = now
            self._changed()

    def merge(self, limits: Iterable[site_messages.RateLimit]) -> None:
        """Takes in what the leader pushes."""
        for name in self._limits.merge(limits, clock.now()):
            _log(name, self._limits.rates.get(name), "leader")

    def report(
        self, *, everything: bool
    ) -> tuple[site_messages.RateLimit, ...]:
        """Returns what the leader may not know, for a renewal.

        Args:
            everything: Whether it may know nothing at all.
        """
        self._reporting |= self._unreported
        self._unreported = set()
        names = None if everything else self._reporting
        return self._limits.records(clock.now(), names)

    def reported(self) -> None:
        """Notes that the renewal was answered."""
        self._reporting = set()
        for name in self._shares.keys() - self._limits.rates.keys():
            del self._shares[name]

    # What is sent.

    async def permit(
        self, said: registry_lib.Registration, patience: float
    ) -> float | None:
        """Waits until a request may be sent to a target.

        Args:
            said: The target.
            patience: Seconds for which the request can wait.

        Returns:
            None if it may be sent now, else the seconds after which the target
            may be tried again.
        """
        now = clock.now()
        rate = self._limits.rate(said.name, said.born)
        if rate is None:
            return None
        share = self._shares.setdefault(said.name, send_slots.HostShare())
        if share.spend(rate, self._hosts, now):
            self._outcomes["own"] += 1
            return None
        age = self._limits.age(said.name, now)
        answer = await self._watch.ask(
            site_messages.AskSend(
                limit=site_messages.RateLimit(said.name, said.born, rate, age),
                patience=patience,
            ),
            seconds=_ANSWER_SECONDS,
        )
        match answer:
            case site_messages.GiveSend(wait=float(wait)):
                return await self._until(said, rate, now, wait)
            case site_messages.GiveSend(again=again):
                self._outcomes["denied"] += 1
                logs.event(
                    "send_denied", target=said.name, rate=rate, again_s=again
                )
                return again
        self._outcomes["unanswered"] += 1
        return _UNANSWERED_SECONDS

    async def _until(
        self,
        said: registry_lib.Registration,
        rate: float,
        asked: float,
        wait: float,
    ) -> float | None:
        """Waits for the moment of a granted send; returns as `permit` does."""
        await asyncio.sleep(wait)
        late = clock.now() - asked - wait - _ANSWER_SECONDS
        known = self._limits.rate(said.name, said.born)
        has_fallen = known is not None and known < rate
        if late > _LATE_SECONDS or has_fallen:
            self._outcomes["denied"] += 1
            return 0.0
        self._outcomes["granted"] += 1
        return None


def _log(target: str, rate: float | None, told_by: str) -> None:
    logs.event(
        "rate_limit",
        target=target,
        rate="none" if rate is None else rate,
        told_by=told_by,
    )


def _is_large_change(before: float | None, rate: float | None) -> bool:
    if before is None or rate is None:
        return True
    return abs(rate - before) > _SMALL_CHANGE * max(rate, before)
