"""Bounds on the unanswered load of targets, learned from their crashes.

Addresses this load: large requests come together at one target, exceed its
memory and end it; after its restart the same requests return and end it again.
Until the end of its process is proved, a target has a provisional bound
(`provisional_bounds`). Room is kept at bounded targets for large requests that
smaller ones have passed (`memory_waits`).

Each host knows only its own requests. It assumes that the other hosts had sent
as much, and keeps its share of the bound. Does no I/O and reads no clock.
"""

from __future__ import annotations

import collections
from collections.abc import Hashable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from endivestream.request.buffering import loads
from endivestream.request.buffering import memory_waits
from endivestream.request.buffering import provisional_bounds

Load = loads.Load
NO_LOAD = loads.NO_LOAD

# Part of the load of a crash that is allowed afterwards.
_SAFE_SHARE = 0.8
# Unanswered requests of this host from which a crash is attributed to their
# sum. A single request that ends its target is found by its keys instead.
_MIN_REQUESTS = 2
# Growth of a bound in a minute without a crash: the estimate may be far too
# low, as other hosts may have sent more than this one.
_GROWTH_PER_MINUTE = 0.05
# A bound that has grown by this factor is dropped.
_MAX_GROWTH = 2.0
# Reason of a request that waits, or is refused, because it fits no target.
REASON = "target_memory"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Bound:
    """The bound of one target over all hosts.

    Attributes:
        load: The load allowed when it was learned.
        learned_at: When it was learned.
        started_at_ms: Start time of the process from whose end it was learned.
    """

    load: Load
    learned_at: float
    started_at_ms: int

    def factor(self, now: float) -> float:
        """Returns by what factor the bound has grown."""
        minutes = max(0.0, now - self.learned_at) / 60
        return (1 + _GROWTH_PER_MINUTE) ** minutes

    def is_over(self, now: float) -> bool:
        """Returns whether it has grown so much that it is dropped."""
        return self.factor(now) >= _MAX_GROWTH


class TargetMemory:
    """This host's unanswered load of each target, and the targets' bounds."""

    def __init__(self) -> None:
        self._hosts = 1
        self._unanswered: dict[str, dict[Hashable, Load]] = {}
        self._bounds: dict[str, _Bound] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._provisional = provisional_bounds.ProvisionalBounds(
            counts=self._counts
        )
        self._waits = memory_waits.MemoryWaits(
            counts=self._counts, used_share=self._used_share
        )

    @property
    def provisional(self) -> provisional_bounds.ProvisionalBounds:
        """Bounds of targets whose process may have ended."""
        return self._provisional

    @property
    def waits(self) -> memory_waits.MemoryWaits:
        """Requests that fit no target, and the room that is kept for them."""
        return self._waits

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of decisions by kind.

        Bounds learned, provisional ones and those that were disproved;
        requests delayed, those that room is kept for, and those refused.
        """
        return self._counts

    def count_bounds(self, now: float) -> int:
        """Returns the number of targets with a bound."""
        return sum(not bound.is_over(now) for bound in self._bounds.values())

    def record_delayed(self) -> None:
        """Counts a request that waits because it fits no target."""
        self._counts["delayed"] += 1

    def record_refused(self) -> None:
        """Counts a request that was refused because it fits no target."""
        self._counts["refused"] += 1

    def set_hosts(self, hosts: int) -> None:
        """Sets the number of entry hosts that share each bound."""
        self._hosts = max(1, hosts)

    def record_sent(
        self,
        target: str,
        attempt: Hashable,
        load: Load,
        *,
        request: Hashable = None,
        now: float = 0.0,
    ) -> None:
        """Records that a request is sent to a target.

        Args:
            target: The target.
            attempt: The attempt.
            load: What it takes of the target's memory.
            request: The request, if it may have waited.
            now: Current time.
        """
        self._waits.record_wait_end(request)
        self._unanswered.setdefault(target, {})[attempt] = load
        self._waits.record_sent_ahead(target, now)

    def record_end(self, target: str, attempt: Hashable) -> None:
        """Records that an attempt has ended."""
        attempts = self._unanswered.get(target, {})
        attempts.pop(attempt, None)
        if not attempts:
            self._unanswered.pop(target, None)

    def record_breaks(
        self,
        target: str,
        started_at_ms: int,
        *,
        breaks: Sequence[provisional_bounds.Break],
        held: Sequence[Load],
        now: float,
    ) -> Load | None:
        """Records that attempts broke off together.

        Args:
            target: The target.
            started_at_ms: Start time of the process.
            breaks: The attempts.
            held: Requests of this host that the process held then.
            now: Current time.

        Returns:
            The provisional bound over all hosts, if there is a new one.
        """
        known = self._bounds.get(target)
        is_known = known is not None and started_at_ms <= known.started_at_ms
        if is_known or loads.total(held) == NO_LOAD:
            return None
        allowed = self._safe_load(held)
        is_new = self._provisional.record_breaks(
            target, started_at_ms, breaks=breaks, load=allowed, now=now
        )
        return allowed if is_new else None

    def record_crash(
        self,
        target: str,
        started_at_ms: int,
        held: Sequence[Load],
        now: float,
    ) -> Load | None:
        """Records that a target's process ended. Each process counts once.

        Args:
            target: The target.
            started_at_ms: Start time of the process.
            held: Requests of this host that the process held at its end. The
                attempts that broke off first may have ended here already.
            now: Current time.

        Returns:
            The new bound over all hosts; None if nothing was learned.
        """
        self._bounds = {
            name: bound
            for name, bound in self._bounds.items()
            if not bound.is_over(now)
        }
        known = self._bounds.get(target)
        provisional = self._provisional.find(target, now)
        self._provisional.record_process_end(target, started_at_ms)
        is_known = known is not None and started_at_ms <= known.started_at_ms
        if is_known:
            return None
        if len(held) >= _MIN_REQUESTS:
            allowed = self._safe_load(held)
        elif (
            provisional is not None
            and provisional.started_at_ms == started_at_ms
        ):
            # The proof came late: what the process held has ended here.
            allowed = provisional.load
        else:
            return None
        if known is not None:
            previous = known.load.times(known.factor(now))
            allowed = Load(
                min(allowed.body_bytes, previous.body_bytes),
                min(allowed.tokens, previous.tokens),
            )
        self._bounds[target] = _Bound(
            load=allowed, learned_at=now, started_at_ms=started_at_ms
        )
        self._counts["learned"] += 1
        return allowed

    def _safe_load(self, held: Sequence[Load]) -> Load:
        """Returns what is allowed over all hosts after a crash."""
        load = loads.total(held).times(_SAFE_SHARE * self._hosts)
        # A part that was not used cannot have been exceeded.
        return Load(load.body_bytes or math.inf, load.tokens or math.inf)

    def may_send(
        self,
        target: str,
        load: Load,
        now: float,
        *,
        request: Hashable = None,
        rank: int = 0,
    ) -> bool:
        """Returns whether a target may get a request in addition.

        One request is always allowed: with many hosts the share of each may be
        smaller than any request. Room that is kept for a request of the same or
        a more urgent rank counts as used.

        Args:
            target: The target.
            load: What the request takes of its memory.
            now: Current time.
            request: The request, if it may wait.
            rank: Its urgency; 0 is the most urgent.
        """
        share = self._share(target, now)
        if share is None:
            return True
        held = [
            *self._unanswered.get(target, {}).values(),
            *self._waits.reserved_ahead(target, request, rank),
        ]
        return not held or load.fits(share, held=loads.total(held))

    def _share(self, target: str, now: float) -> Load | None:
        """Returns what this host may send to a target; None if unbounded."""
        allowed = []
        bound = self._bounds.get(target)
        if bound is not None and not bound.is_over(now):
            allowed.append(bound.load.times(bound.factor(now)))
        provisional = self._provisional.find(target, now)
        if provisional is not None:
            allowed.append(provisional.load)
        if not allowed:
            return None
        return Load(
            min(each.body_bytes for each in allowed),
            min(each.tokens for each in allowed),
        ).times(1 / self._hosts)

    def _used_share(self, target: str, now: float) -> float:
        """Returns what part of this host's share of a target is in use."""
        share = self._share(target, now)
        if share is None:
            return 0.0
        load = loads.total(self._unanswered.get(target, {}).values())
        return max(
            load.body_bytes / share.body_bytes, load.tokens / share.tokens
        )
