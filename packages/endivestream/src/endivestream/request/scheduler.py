"""Weighted fair queueing of requests over targets with bounded slots. Pure.

One scheduler serves one pool of targets. Each target gets a bounded number of
concurrent requests, so that the backlog is queued here, where its order can
still change. Teams are ordered by virtual tokens (weighted fair queueing): the
team with the least work granted relative to its weight goes first. Requests of
a team that wait for one model do not block its requests for other models.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
from typing import NamedTuple

from endivestream.request import outliers
from endivestream.request import prefixes

# A target that holds more grants than this multiple of the mean loses its
# prefix affinity.
_AFFINITY_LOAD_RATIO = 1.25
_TOKENS_PER_BLOCK = prefixes.BLOCK_BYTES // 4


class SlotRequest(NamedTuple):
    """A request for a slot on a target.

    Attributes:
        request: Id, unique per attempt.
        team: Team whose virtual tokens are charged.
        weight: The team's weight.
        needs: What the target must serve: a model or `service:NAME`.
        tokens: Expected work, in tokens.
        deadline: Time after which a grant is of no use, in seconds.
        avoid: Targets tried before.
        blocks: Hashes of the prompt's blocks; see `prefixes`.
    """

    request: str
    team: str
    weight: int
    needs: str
    tokens: int
    deadline: float
    avoid: frozenset[str]
    blocks: tuple[int, ...] = ()


class Grant(NamedTuple):
    """A granted slot on a target.

    Attributes:
        request: Id from the `SlotRequest`.
        target: The target's name.
        reason: Why this target was chosen, for the log.
        waited: Seconds in the queue.
    """

    request: str
    target: str
    reason: str
    waited: float


class Target(NamedTuple):
    """A target as the scheduler sees it.

    Attributes:
        name: Its name.
        serves: Models, adapters' models and services it can run now.
        slots: Maximum concurrent requests.
        queued_tokens: Backlog that it reported, in tokens.
    """

    name: str
    serves: frozenset[str]
    slots: int
    queued_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoTarget:
    """No available target serves what is needed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queued:
    """The request waits for a free slot."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AllBackOff:
    """All targets accept nothing until after the request's deadline.

    Attributes:
        seconds: Seconds until the first of them accepts requests again.
    """

    seconds: float


class _QueuedRequest(NamedTuple):
    slot_request: SlotRequest
    since: float


class _TeamQueues:
    """A team's queues, one per model or service, and its virtual tokens."""

    def __init__(self) -> None:
        self.virtual_tokens = 0.0
        self.queues: dict[str, collections.deque[_QueuedRequest]] = {}

    @property
    def active(self) -> bool:
        return any(self.queues.values())


class Scheduler:
    """Scheduler of one pool. Times are seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._held: dict[str, dict[str, SlotRequest]] = {}
        self._teams: dict[str, _TeamQueues] = {}
        self._granted_targets: dict[str, str] = {}
        self._queued_requests: set[str] = set()
        self._prefixes = prefixes.Prefixes()
        self._outliers = outliers.Outliers()
        self._backoff_until: dict[str, float] = {}
        self._virtual_token_floor = 0.0

    @property
    def targets(self) -> Mapping[str, Target]:
        """Targets that may get new requests, by name."""
        return self._targets

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return sum(
            len(queue)
            for team in self._teams.values()
            for queue in team.queues.values()
        )

    def slots_in_use(self, target: str) -> int:
        """Returns the number of slots in use on a target."""
        return len(self._held.get(target, ()))

    def __repr__(self) -> str:
        return (
            f"<Scheduler: {len(self._targets)} targets, "
            f"{len(self._granted_targets)} running, {self.waiting} waiting>"
        )

    def upsert_target(self, target: Target) -> None:
        """Adds a target, or replaces its record."""
        self._targets[target.name] = target

    def remove_target(self, name: str) -> None:
        """Stops granting slots on a target.

        Its grants stay counted until they are released: the target may be
        added again while they still run.
        """
        self._targets.pop(name, None)

    def serves(self, needs: str, avoid: Collection[str] = ()) -> bool:
        """Returns whether any target outside `avoid` serves `needs`."""
        return any(
            needs in target.serves and target.name not in avoid
            for target in self._targets.values()
        )

    def request_slot(
        self, slot_request: SlotRequest, *, now: float
    ) -> Grant | Queued | NoTarget | AllBackOff:
        """Requests a slot; queued ones are granted by `grant_free_slots`.

        Idempotent: a request that is sent again, as after a lost connection,
        keeps its slot or its position in the queue.
        """
        granted_target = self._granted_targets.get(slot_request.request)
        if granted_target is not None:
            return Grant(
                slot_request.request, granted_target, "asked_again", 0.0
            )
        if slot_request.request in self._queued_requests:
            return Queued()
        if not self.serves(slot_request.needs, slot_request.avoid):
            return NoTarget()
        accepted_at = self._accepted_at(slot_request)
        if accepted_at > max(now, slot_request.deadline):
            return AllBackOff(seconds=accepted_at - now)
        team = self._activate_team(slot_request.team)
        if not team.queues.get(slot_request.needs):
            target = self._best_target(slot_request, now)
            if target is not None:
                return self._grant(slot_request, target, now, waited=0.0)
        queue = team.queues.setdefault(slot_request.needs, collections.deque())
        queue.append(_QueuedRequest(slot_request, now))
        self._queued_requests.add(slot_request.request)
        return Queued()

    def _accepted_at(self, slot_request: SlotRequest) -> float:
        """Returns when the first target's backoff ends, or has ended."""
        return min(
            self._backoff_until.get(target.name, float("-inf"))
            for target in self._targets.values()
            if slot_request.needs in target.serves
            and target.name not in slot_request.avoid
        )

    def _activate_team(self, name: str) -> _TeamQueues:
        team = self._teams.setdefault(name, _TeamQueues())
        if not team.active:
            # A team that was idle starts at the smallest active counter:
            # credit for idle time would let it starve all others.
            active = [
                t.virtual_tokens for t in self._teams.values() if t.active
            ]
            self._virtual_token_floor = max(
                self._virtual_token_floor,
                min(active, default=self._virtual_token_floor),
            )
            team.virtual_tokens = max(
                team.virtual_tokens, self._virtual_token_floor
            )
        return team

    def _best_target(
        self, slot_request: SlotRequest, now: float
    ) -> Target | None:
        """Returns the target with the lowest expected time to first token."""
        eligible = [
            target
            for target in self._targets.values()
            if slot_request.needs in target.serves
            and target.name not in slot_request.avoid
            and self.slots_in_use(target.name) < target.slots
            and self._backoff_until.get(target.name, now) <= now
        ]
        # If all targets are ejected, an ejected one is used.
        healthy = [
            t for t in eligible if self._outliers.is_allowed(t.name, now)
        ]
        eligible = healthy or eligible
        if not eligible:
            return None
        affinity_bound = self._affinity_bound(slot_request.needs)
        return min(
            eligible,
            key=lambda t: (
                # Prefix affinity may not overload a target: above the bound
                # it ranks after all others, however much it has cached.
                self.slots_in_use(t.name) >= affinity_bound,
                self._expected_backlog(t)
                + self._uncached_tokens(t, slot_request),
                t.name,
            ),
        )

    def _affinity_bound(self, needs: str) -> float:
        """Returns the grants at which a target loses its prefix affinity."""
        serving = [t for t in self._targets.values() if needs in t.serves]
        grants = sum(self.slots_in_use(target.name) for target in serving)
        return 1 + _AFFINITY_LOAD_RATIO * grants / len(serving)

    def _uncached_tokens(
        self, target: Target, slot_request: SlotRequest
    ) -> float:
        """Returns the prompt tokens that are probably not in its cache."""
        if not slot_request.blocks:
            return 0.0
        cached_blocks = self._prefixes.covered(target.name, slot_request.blocks)
        return (len(slot_request.blocks) - cached_blocks) * _TOKENS_PER_BLOCK

    def _expected_backlog(self, target: Target) -> float:
        """Returns the work ahead of a new request, in tokens per slot."""
        granted_tokens = sum(
            slot_request.tokens
            for slot_request in self._held.get(target.name, {}).values()
        )
        return max(granted_tokens, target.queued_tokens) / target.slots

    def _grant(
        self,
        slot_request: SlotRequest,
        target: Target,
        now: float,
        *,
        waited: float,
    ) -> Grant:
        self._queued_requests.discard(slot_request.request)
        self._held.setdefault(target.name, {})[slot_request.request] = (
            slot_request
        )
        self._granted_targets[slot_request.request] = target.name
        self._teams[slot_request.team].virtual_tokens += (
            slot_request.tokens / slot_request.weight
        )
        reason = "queue" if waited else "least_loaded"
        if self._prefixes.covered(target.name, slot_request.blocks):
            reason = "prefix_hit"
        self._prefixes.note(target.name, slot_request.blocks)
        self._outliers.record_grant(target.name, now)
        return Grant(slot_request.request, target.name, reason, waited)

    def grant_free_slots(self, now: float) -> list[Grant]:
        """Grants free slots, to teams in order of their virtual tokens."""
        grants = []
        while True:
            grant = self._grant_next(now)
            if grant is None:
                return grants
            grants.append(grant)

    def _grant_next(self, now: float) -> Grant | None:
        active_teams = sorted(
            (team.virtual_tokens, name)
            for name, team in self._teams.items()
            if team.active
        )
        for _, name in active_teams:
            queues = self._teams[name].queues
            # Within a team the oldest request with a free target goes first;
            # one whose model is busy does not block the team's other models.
            queue_heads = sorted(
                (queue[0].since, needs)
                for needs, queue in queues.items()
                if queue
            )
            for since, needs in queue_heads:
                slot_request = queues[needs][0].slot_request
                target = self._best_target(slot_request, now)
                if target is not None:
                    queues[needs].popleft()
                    return self._grant(
                        slot_request, target, now, waited=now - since
                    )
        return None

    def expire(self, now: float) -> list[SlotRequest]:
        """Removes queued requests that are late or that no target serves."""
        expired = []
        for team in self._teams.values():
            for needs, queue in team.queues.items():
                remaining = collections.deque()
                for waiting in queue:
                    slot_request = waiting.slot_request
                    is_late = slot_request.deadline <= now
                    if is_late or not self.serves(needs, slot_request.avoid):
                        expired.append(slot_request)
                        self._queued_requests.discard(slot_request.request)
                    else:
                        remaining.append(waiting)
                team.queues[needs] = remaining
        return expired

    def clear_history(self, target: str) -> None:
        """Discards what was known of a target before its restart."""
        self._prefixes.forget(target)
        self._outliers.forget(target)
        self._backoff_until.pop(target, None)

    def record_outcome(self, request: str, *, failed: bool, now: float) -> str:
        """Records the outcome of a granted request, before its release.

        Returns:
            The target if this outcome ejects it, else an empty string.
        """
        target = self._granted_targets.get(request, "")
        if target and self._outliers.record_attempt(
            target, failed=failed, now=now, pool_size=len(self._targets)
        ):
            return target
        return ""

    def record_backoff(
        self, request: str, *, seconds: float, now: float
    ) -> str:
        """Records that the target of a granted request accepts nothing.

        Args:
            request: Id from the `SlotRequest`.
            seconds: Seconds from now; never shortens an earlier backoff.
            now: Current time.

        Returns:
            The target, or an empty string if the request holds no slot.
        """
        target = self._granted_targets.get(request, "")
        if target:
            until = self._backoff_until.get(target, now)
            self._backoff_until[target] = max(until, now + seconds)
        return target

    def release(self, request: str, *, tokens: int | None = None) -> None:
        """Frees a slot, or removes the request from the queue. Idempotent.

        Args:
            request: Id from the `SlotRequest`.
            tokens: Actual cost; corrects the team's virtual tokens.
        """
        target = self._granted_targets.pop(request, None)
        if target is not None:
            slot_request = self._held[target].pop(request)
            if tokens is not None:
                team = self._teams[slot_request.team]
                team.virtual_tokens += (
                    tokens - slot_request.tokens
                ) / slot_request.weight
            return
        if request not in self._queued_requests:
            return
        self._queued_requests.discard(request)
        for team in self._teams.values():
            for queue in team.queues.values():
                for waiting in queue:
                    if waiting.slot_request.request == request:
                        queue.remove(waiting)
                        return
