"""Which target a request goes to, from what this host knows. Pure.

The leader says which targets there are and what they hold; this host adds
what it sees itself: how many of its requests run where, which targets break
them or fall silent, and what a target has just denied to hold. Time comes in
as an argument.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import hashlib
from typing import NamedTuple

from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.request import rate_limits as rate_limits_lib

# A target of another failure domain counts as if so many more requests ran
# there, or so much of its slots were taken, whichever is less: the way there
# costs bytes between domains and a few milliseconds. More would crowd the near
# ones: each request on an engine reads its prompt between the tokens of all
# others (1,460 tokens take 66 ms), which makes pauses.
_AWAY_REQUESTS = 4.0
_AWAY_SHARE = 0.25
# A target that this session's last request ran on counts as so many requests
# emptier: it still holds the prompt's shared parts.
_KNOWN_SESSION = 2.0
# A second until the next turn at an engine counts as so many requests there.
_TURN_REQUESTS = 10.0
# A target that names a limit takes few requests, so it comes after all others;
# one that has long said nothing may have none any more.
_LIMITED_REQUESTS = 20.0
_LIMIT_SECONDS = 10.0
# A target that misses its reports counts as so many requests fuller.
_SILENT_REQUESTS = 20.0
# Requests that an engine gets from all hosts, as a part of its slots: less by
# one step for each rank below the most urgent. An engine answers as many
# requests a second with 32 as with 170; beyond, they only wait there, where no
# further copy of their model can take them (symptom: every answer of one
# engine is late or cut, while most others are idle).
_FULL_SHARE = 0.75
_FULL_STEP = 0.1
_LAST_STEP = 3
# What others run is too old to count after three lost renewals.
_LOADS_OLD_SECONDS = 1.0
# Failures in a row after which a target gets one trial request at a time.
_FAILURES = 2
# How long a failing target is left alone; doubled with each further failure.
_EJECT_SECONDS = 0.5
_EJECT_MOST_SECONDS = 4.0
# A target that runs requests of ours sends something many times a second. So
# long without a byte from any of them means that it hangs or is cut off.
_MUTE_SECONDS = 1.2


class Ask(NamedTuple):
    """What a request needs.

    Attributes:
        service: The service.
        model: The model, or empty.
        adapter: The adapter, or empty.
        session: What its requests share a prompt by, or empty.
        tried: Targets that it was already sent to.
        rank: 0 for the most urgent.
        waits: Whether it can still wait for a place on a full engine.
    """

    service: str
    model: str = ""
    adapter: str = ""
    session: str = ""
    tried: Collection[str] = ()
    rank: int = 0
    waits: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Picked:
    """The request goes to `target`, for `reason`."""

    target: site_messages.Target
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotThere:
    """No target can take it now.

    Attributes:
        reason: `no_target`, `no_model`, `no_adapter`, `all_failing`, `full`,
            `rate_limited`.
        expected: When there will be one, if that is known.
    """

    reason: str
    expected: float | None = None


@dataclasses.dataclass(kw_only=True)
class _Seen:
    """What this host saw of one target.

    Attributes:
        running: Requests of this host on it.
        models: The same by model and adapter.
        starting: Those without a byte of an answer, by model and adapter.
        heard: When the last byte came from it.
        waiting_since: When the oldest request was sent that has had no byte
            since; None if there is none.
        failures: Failures in a row.
        turn: When its owner would give the next turn.
        until: When it may get a trial request.
        trial: Whether one is under way.
        denied: Models and adapters that it said it does not hold, with the
            state of its registration then.
    """

    running: int = 0
    models: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    starting: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    heard: float = float("-inf")
    waiting_since: float | None = None
    failures: int = 0
    turn: float = float("-inf")
    until: float = float("-inf")
    trial: bool = False
    denied: set[str] = dataclasses.field(default_factory=set)


class View:
    """All targets, as one entry host sees them."""

    def __init__(
        self,
        *,
        domain: str,
        limits: rate_limits_lib.RateLimits | None = None,
    ) -> None:
        """Knows no target yet.

        Args:
            domain: The failure domain of this host.
            limits: Limits that targets name.
        """
        self._domain = domain
        self._limits = limits or rate_limits_lib.RateLimits()
        # Until when targets take nothing because of their limits.
        self._blocked: dict[str, float] = {}
        self._targets: dict[str, site_messages.Target] = {}
        self._by_service: dict[str, list[str]] = {}
        self._seen: dict[str, _Seen] = {}
        # When a model is expected to be there, by target.
        self._coming: dict[str, dict[str, float]] = {}
        self._sessions: dict[tuple[str, str], str] = {}
        self._others: dict[str, int] = {}
        self._others_at = float("-inf")
        self._hosts = 1

    def __repr__(self) -> str:
        return f"<View of {len(self._targets)} targets>"

    @property
    def targets(self) -> dict[str, site_messages.Target]:
        """All targets by name."""
        return dict(self._targets)

    def running(self, target: str) -> int:
        """Returns how many requests of this host run on a target."""
        return self._seen[target].running if target in self._seen else 0

    def set_targets(
        self,
        changed: Collection[site_messages.Target],
        gone: Collection[str],
        now: float = 0.0,
    ) -> None:
        """Takes over what the leader says.

        Args:
            changed: Targets that are new or different.
            gone: Names of those that are gone.
            now: The time, from which models on their way are reckoned.
        """
        for target in changed:
            name = target.said.name
            known = self._targets.get(name)
            if known is not None and known.said.order > target.said.order:
                continue
            restarted = known is not None and (
                known.said.born != target.said.born
            )
            if restarted or name not in self._seen:
                before = self._seen.get(name, _Seen())
                self._seen[name] = _Seen(
                    running=before.running,
                    models=before.models,
                    starting=before.starting,
                )
            if known != target:
                self._seen[name].denied.clear()
            self._targets[name] = target
            self._coming[name] = {
                each.model: now + each.seconds for each in target.coming
            }
        for name in gone:
            self._targets.pop(name, None)
            self._coming.pop(name, None)
            self._blocked.pop(name, None)
            if name in self._seen and not self._seen[name].running:
                del self._seen[name]
        self._by_service = {}
        for name, target in self._targets.items():
            self._by_service.setdefault(target.said.service, []).append(name)

    def set_turn(self, target: str, when: float) -> None:
        """Notes when an engine's owner gives the next turn."""
        if target in self._seen:
            self._seen[target].turn = when

    def set_loads(self, others: Mapping[str, int], now: float) -> None:
        """Takes over what other entry hosts have running, by target."""
        self._others = dict(others)
        self._others_at = now

    def set_all_loads(self, loads: Mapping[str, int], now: float) -> None:
        """Sets the loads of others from the loads of all entry hosts.

        Subtracts this host's current load, which may differ slightly from its
        share of the older total.
        """
        others = {}
        for name, load in loads.items():
            seen = self._seen.get(name)
            if seen is not None:
                load -= seen.running + sum(seen.starting.values())
            if load > 0:
                others[name] = load
        self.set_loads(others, now)

    def set_hosts(self, hosts: int) -> None:
        """Sets how many entry hosts there are, this one included."""
        self._hosts = max(1, hosts)

    def is_rate_limited(self, said: registry_lib.Registration) -> bool:
        """Whether a target names a limit."""
        return self._limits.rate(said.name, said.born) is not None

    def block(self, target: str, until: float) -> None:
        """Leaves a target alone for some time because of its limit."""
        self._blocked[target] = until

    def still_takes(self, said: registry_lib.Registration, ask: Ask) -> bool:
        """Whether a target that was picked earlier may still be sent to."""
        target = self._targets.get(said.name)
        if target is None or target.said.born != said.born:
            return False
        holds = not ask.model or self._holds(said.name, ask.model)
        return holds and not target.said.draining

    def pick(self, ask: Ask, now: float, *, limit: int) -> Picked | NotThere:
        """Chooses a target.

        Args:
            ask: What the request needs.
            now: The time.
            limit: Most requests of this host on one target.
        """
        names = [
            name
            for name in self._by_service.get(ask.service, ())
            if not self._targets[name].said.draining and name not in ask.tried
        ]
        if not names:
            return NotThere(reason="no_target")
        if ask.model:
            there = names
            names = [n for n in there if self._holds(n, ask.model)]
            if not names:
                expected = self._expected(there, ask.model, now)
                return NotThere(reason="no_model", expected=expected)
        if ask.adapter:
            wanted = f"{ask.model}/{ask.adapter}"
            names = [n for n in names if self._holds_adapter(n, wanted)]
            if not names:
                return NotThere(reason="no_adapter")
        sound = [n for n in names if self._is_sound(n, now)]
        if not sound:
            return NotThere(reason="all_failing")
        names = [n for n in sound if self._seen[n].running < limit]
        if ask.model:
            names = [n for n in names if self._has_place(n, ask, now)]
        if not names:
            return NotThere(reason="full")
        free = [n for n in names if not self._is_blocked(n, now)]
        if not free:
            again = min(self._blocked[name] for name in names)
            return NotThere(reason="rate_limited", expected=again)
        return self._least_loaded(ask, free, now)

    def _is_blocked(self, name: str, now: float) -> bool:
        until = self._blocked.get(name)
        if until is None:
            return False
        if until <= now or not self.is_rate_limited(self._targets[name].said):
            del self._blocked[name]
            return False
        return True

    def _expected(
        self, names: Collection[str], model: str, now: float
    ) -> float | None:
        """Returns when the first of some targets will hold a model."""
        times = [
            self._coming[name][model]
            for name in names
            if model in self._coming.get(name, {})
        ]
        # One that is overdue may come at any moment.
        return max(now, min(times)) if times else None

    def _holds(self, name: str, model: str) -> bool:
        target = self._targets[name]
        return (
            any(loaded.model == model for loaded in target.said.loaded)
            and model not in target.closing
            and model not in self._seen[name].denied
        )

    def _holds_adapter(self, name: str, adapter: str) -> bool:
        return (
            adapter in self._targets[name].adapters
            and adapter not in self._seen[name].denied
        )

    def _has_place(self, name: str, ask: Ask, now: float) -> bool:
        """Whether an engine should get one more request."""
        slots = self._targets[name].said.slots
        share = 1.0
        if ask.waits:
            share = _FULL_SHARE - _FULL_STEP * min(ask.rank, _LAST_STEP)
        running = self._seen[name].running
        if now - self._others_at > _LOADS_OLD_SECONDS:
            # Without a leader nobody says what others run there; each alone
            # would fill it, and it would get several times its slots.
            running *= self._hosts
        else:
            running += self._others.get(name, 0)
        return running < max(1.0, slots * share)

    def _is_sound(self, name: str, now: float) -> bool:
        """Whether a target may get a request now."""
        seen = self._seen[name]
        if seen.failures >= _FAILURES:
            return now >= seen.until and not seen.trial
        if seen.waiting_since is not None and seen.running:
            # Requests sent long ago and not a byte since: it hangs, or the
            # way to it is cut. More requests would hang with them.
            quiet = now - max(seen.heard, seen.waiting_since)
            if quiet > _MUTE_SECONDS:
                return False
        return now >= seen.until

    def _least_loaded(self, ask: Ask, names: list[str], now: float) -> Picked:
        last = self._sessions.get((ask.model, ask.session), "")
        best, least, reason = "", float("inf"), ""
        for name in names:
            target, seen = self._targets[name], self._seen[name]
            slots = max(1, target.said.slots)
            # Prompts that are still to be read weigh twice: they are what
            # makes others wait.
            load = seen.running + sum(seen.starting.values()) + 1.0
            load += self._others.get(name, 0)
            load += _TURN_REQUESTS * max(0.0, seen.turn - now)
            why = "load"
            if target.said.domain != self._domain:
                load += min(_AWAY_REQUESTS, _AWAY_SHARE * slots)
            else:
                why = "near"
            if ask.session and name == last:
                load -= _KNOWN_SESSION
                why = "session"
            if target.said.warm_in > 0:
                load *= 2
            fresh = self._limits.age(name, now) < _LIMIT_SECONDS
            if fresh and self.is_rate_limited(target.said):
                load += _LIMITED_REQUESTS
            if target.silent:
                load += _SILENT_REQUESTS
            # Between equals the session decides, so that its requests meet
            # again at the target which has read their shared parts.
            load += _spread(ask.session or ask.model, name)
            if load < least:
                best, least, reason = name, load, why
        if ask.session:
            self._note_session(ask, best)
        return Picked(target=self._targets[best], reason=reason)

    def _note_session(self, ask: Ask, name: str) -> None:
        key = (ask.model, ask.session)
        self._sessions.pop(key, None)
        self._sessions[key] = name
        if len(self._sessions) > 4096:
            self._sessions.pop(next(iter(self._sessions)))

    def sent(self, target: str, ask: Ask, now: float) -> None:
        """Notes that a request is sent to a target."""
        seen = self._seen.setdefault(target, _Seen())
        seen.running += 1
        key = (ask.model, ask.adapter)
        seen.models[key] = seen.models.get(key, 0) + 1
        seen.starting[key] = seen.starting.get(key, 0) + 1
        if seen.waiting_since is None:
            seen.waiting_since = now
        if seen.failures >= _FAILURES:
            seen.trial = True

    def started(self, target: str, ask: Ask) -> None:
        """Notes that the first event of an answer is there, or its end."""
        seen = self._seen.get(target)
        key = (ask.model, ask.adapter)
        if seen is not None and seen.starting.get(key):
            seen.starting[key] -= 1
            if not seen.starting[key]:
                del seen.starting[key]

    def heard(self, target: str, now: float) -> None:
        """Notes that bytes of an answer came from a target."""
        seen = self._seen.get(target)
        if seen is not None:
            seen.heard = now
            seen.waiting_since = now

    def ended(self, target: str, ask: Ask, now: float, *, failed: bool) -> None:
        """Notes how a request on a target ended.

        Args:
            target: The target's name.
            ask: What the request needed.
            now: The time.
            failed: Whether the target broke it.

        Returns:
            Whether this was the last run here of a model that is to go.
        """
        seen = self._seen.get(target)
        if seen is None:
            return False
        seen.running = max(0, seen.running - 1)
        key = (ask.model, ask.adapter)
        seen.models[key] = seen.models.get(key, 1) - 1
        if seen.models[key] <= 0:
            del seen.models[key]
        seen.trial = False
        if not seen.running:
            seen.waiting_since = None
            if target not in self._targets:
                del self._seen[target]
                return False
        closing = (
            self._targets[target].closing if target in self._targets else ()
        )
        last = ask.model in closing and not any(
            model == ask.model for model, _ in seen.models
        )
        if not failed:
            seen.failures = 0
            seen.until = float("-inf")
            return last
        seen.failures += 1
        if seen.failures >= _FAILURES:
            doubled = _EJECT_SECONDS * 2 ** (seen.failures - _FAILURES)
            seen.until = now + min(_EJECT_MOST_SECONDS, doubled)
        return last

    def denied(self, target: str, what: str) -> None:
        """Notes that a target does not hold a model or adapter.

        It counts until the leader says something new of the target.
        """
        if target in self._seen:
            self._seen[target].denied.add(what)

    def failing(self, now: float) -> tuple[str, ...]:
        """Returns the targets that are left alone because they fail."""
        return tuple(
            name
            for name in sorted(self._targets)
            if self._seen[name].failures >= _FAILURES
            or not self._is_sound(name, now)
        )

    def uses(self) -> tuple[site_messages.Use, ...]:
        """Returns how many requests of this host run where for what."""
        return tuple(
            site_messages.Use(
                name,
                model,
                adapter,
                count,
                seen.starting.get((model, adapter), 0),
            )
            for name, seen in self._seen.items()
            for (model, adapter), count in seen.models.items()
            if model
        )


def _spread(session: str, name: str) -> float:
    """Returns a number from 0 to 1 that differs by session and target."""
    digest = hashlib.blake2b(f"{session}\0{name}".encode(), digest_size=4)
    return int.from_bytes(digest.digest(), "big") / 2**32
