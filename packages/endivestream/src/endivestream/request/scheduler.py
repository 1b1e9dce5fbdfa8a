"""Who runs next, and where: fair queues over bounded targets. Pure.

One scheduler serves one pool of targets. Each target gets a bounded number of
requests at once, so that the queue stays here, where its order can still
change. Teams are served by virtual tokens (weighted fair queueing): the team
that has had the least work for its weight goes first, and a team's request
that waits for one model never holds up another's.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
from typing import NamedTuple

from endivestream.request import outliers
from endivestream.request import prefixes

# A target may hold this much more than the mean before affinity ends.
_BOUNDED_LOAD = 1.25
_BLOCK_TOKENS = prefixes.BLOCK_BYTES // 4


class Ask(NamedTuple):
    """A request for a place on a target.

    Attributes:
        request: Unique per attempt.
        team: Whose virtual tokens pay.
        weight: The team's weight.
        needs: What the target must serve: a model or `service:NAME`.
        tokens: Expected work, in tokens.
        deadline: Latest time of use, in seconds.
        avoid: Targets tried before.
        blocks: Names of the prompt's blocks; see `prefixes`.
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
    """A place on a target.

    Attributes:
        request: The ask's request.
        target: The target's name.
        reason: Why this target, for the log line.
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
        slots: Requests it may hold at once.
        queued_tokens: Its reported backlog, in tokens.
    """

    name: str
    serves: frozenset[str]
    slots: int
    queued_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoTarget:
    """Nothing live serves this."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queued:
    """The ask waits for a place."""


class _Waiting(NamedTuple):
    ask: Ask
    since: float


class _Team:
    """A team's queues, one per need, and its virtual tokens."""

    def __init__(self) -> None:
        self.virtual = 0.0
        self.queues: dict[str, collections.deque[_Waiting]] = {}

    @property
    def active(self) -> bool:
        return any(self.queues.values())


class Scheduler:
    """The queue of one pool. Times are seconds of a steady clock."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._held: dict[str, dict[str, Ask]] = {}
        self._teams: dict[str, _Team] = {}
        self._where: dict[str, str] = {}
        self._queued: set[str] = set()
        self._prefixes = prefixes.Prefixes()
        self._outliers = outliers.Outliers()
        self._floor = 0.0

    @property
    def targets(self) -> Mapping[str, Target]:
        """The targets that may get work, by name."""
        return self._targets

    @property
    def waiting(self) -> int:
        """How many asks wait."""
        return sum(
            len(queue)
            for team in self._teams.values()
            for queue in team.queues.values()
        )

    def held(self, target: str) -> int:
        """Returns how many grants a target holds."""
        return len(self._held.get(target, ()))

    def __repr__(self) -> str:
        return (
            f"<Scheduler: {len(self._targets)} targets, "
            f"{len(self._where)} running, {self.waiting} waiting>"
        )

    def put_target(self, target: Target) -> None:
        """Lets a target get work, or notes what changed of it."""
        self._targets[target.name] = target

    def drop_target(self, name: str) -> None:
        """Gives a target no new work.

        Grants on it stay counted until they are released: it may come back
        while they still run.
        """
        self._targets.pop(name, None)

    def serves(self, needs: str, avoid: Collection[str] = ()) -> bool:
        """Tells whether any target can run this."""
        return any(
            needs in target.serves and target.name not in avoid
            for target in self._targets.values()
        )

    def ask(self, ask: Ask, *, now: float) -> Grant | Queued | NoTarget:
        """Asks for a place; a queued ask is granted by `ready` later.

        Idempotent: asked again, as after a lost link, it is the same ask.
        """
        held = self._where.get(ask.request)
        if held is not None:
            return Grant(ask.request, held, "asked_again", 0.0)
        if ask.request in self._queued:
            return Queued()
        if not self.serves(ask.needs, ask.avoid):
            return NoTarget()
        team = self._team(ask.team)
        if not team.queues.get(ask.needs):
            target = self._best(ask, now)
            if target is not None:
                return self._grant(ask, target, now, waited=0.0)
        queue = team.queues.setdefault(ask.needs, collections.deque())
        queue.append(_Waiting(ask, now))
        self._queued.add(ask.request)
        return Queued()

    def _team(self, name: str) -> _Team:
        team = self._teams.setdefault(name, _Team())
        if not team.active:
            # A team that was away starts at the smallest active counter:
            # credit for idle time would let it push all others aside.
            active = [t.virtual for t in self._teams.values() if t.active]
            self._floor = max(self._floor, min(active, default=self._floor))
            team.virtual = max(team.virtual, self._floor)
        return team

    def _best(self, ask: Ask, now: float) -> Target | None:
        """Returns the target with the least expected time to a first token."""
        fitting = [
            target
            for target in self._targets.values()
            if ask.needs in target.serves
            and target.name not in ask.avoid
            and self.held(target.name) < target.slots
        ]
        # With every target ejected a bad one is better than none.
        sound = [t for t in fitting if self._outliers.may_get(t.name, now)]
        fitting = sound or fitting
        if not fitting:
            return None
        bound = self._bound(ask.needs)
        return min(
            fitting,
            key=lambda t: (
                # Affinity may not overload a target: above the bound it goes
                # after all others, however much it has read.
                self.held(t.name) >= bound,
                self._load(t) + self._unread(t, ask),
                t.name,
            ),
        )

    def _bound(self, needs: str) -> float:
        """Returns the grants a target may hold while others hold less."""
        serving = [t for t in self._targets.values() if needs in t.serves]
        held = sum(self.held(target.name) for target in serving)
        return 1 + _BOUNDED_LOAD * held / len(serving)

    def _unread(self, target: Target, ask: Ask) -> float:
        """Prompt tokens that a target probably has to read first."""
        if not ask.blocks:
            return 0.0
        read = self._prefixes.covered(target.name, ask.blocks)
        return (len(ask.blocks) - read) * _BLOCK_TOKENS

    def _load(self, target: Target) -> float:
        """Expected work before a newcomer's first token, in tokens a slot."""
        granted = sum(
            ask.tokens for ask in self._held.get(target.name, {}).values()
        )
        return max(granted, target.queued_tokens) / target.slots

    def _grant(
        self, ask: Ask, target: Target, now: float, *, waited: float
    ) -> Grant:
        self._queued.discard(ask.request)
        self._held.setdefault(target.name, {})[ask.request] = ask
        self._where[ask.request] = target.name
        self._teams[ask.team].virtual += ask.tokens / ask.weight
        reason = "queue" if waited else "least_loaded"
        if self._prefixes.covered(target.name, ask.blocks):
            reason = "prefix_hit"
        self._prefixes.note(target.name, ask.blocks)
        self._outliers.granted(target.name, now)
        return Grant(ask.request, target.name, reason, waited)

    def ready(self, now: float) -> list[Grant]:
        """Grants what fits now, the team with the least work first."""
        grants = []
        while True:
            grant = self._next(now)
            if grant is None:
                return grants
            grants.append(grant)

    def _next(self, now: float) -> Grant | None:
        active = sorted(
            (team.virtual, name)
            for name, team in self._teams.items()
            if team.active
        )
        for _, name in active:
            queues = self._teams[name].queues
            # Within a team the oldest ask that fits goes first; one whose
            # model is busy does not hold up the team's other models.
            heads = sorted(
                (queue[0].since, needs)
                for needs, queue in queues.items()
                if queue
            )
            for since, needs in heads:
                ask = queues[needs][0].ask
                target = self._best(ask, now)
                if target is not None:
                    queues[needs].popleft()
                    return self._grant(ask, target, now, waited=now - since)
        return None

    def expire(self, now: float) -> list[Ask]:
        """Takes out asks that can no longer be served: late or targetless."""
        gone = []
        for team in self._teams.values():
            for needs, queue in team.queues.items():
                kept = collections.deque()
                for waiting in queue:
                    ask = waiting.ask
                    late = ask.deadline <= now
                    if late or not self.serves(needs, ask.avoid):
                        gone.append(ask)
                        self._queued.discard(ask.request)
                    else:
                        kept.append(waiting)
                team.queues[needs] = kept
        return gone

    def forget(self, target: str) -> None:
        """Drops what is known of a target that started anew."""
        self._prefixes.forget(target)
        self._outliers.forget(target)

    def ended(self, request: str, *, failed: bool, now: float) -> str:
        """Notes how a granted request ended, before its release.

        Returns:
            The target if it is ejected by this, else an empty string.
        """
        target = self._where.get(request, "")
        if target and self._outliers.ended(
            target, failed=failed, now=now, of=len(self._targets)
        ):
            return target
        return ""

    def release(self, request: str, *, tokens: int | None = None) -> None:
        """Frees a place, or takes the ask out of the queue. Idempotent.

        Args:
            request: The ask's request.
            tokens: What it really cost; corrects the team's virtual tokens.
        """
        target = self._where.pop(request, None)
        if target is not None:
            ask = self._held[target].pop(request)
            if tokens is not None:
                team = self._teams[ask.team]
                team.virtual += (tokens - ask.tokens) / ask.weight
            return
        if request not in self._queued:
            return
        self._queued.discard(request)
        for team in self._teams.values():
            for queue in team.queues.values():
                for waiting in queue:
                    if waiting.ask.request == request:
                        queue.remove(waiting)
                        return
