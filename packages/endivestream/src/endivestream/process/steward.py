"""The leader's care for the log's members: newcomers, losses, repairs.

Suspicion elects within a second; it does not exclude. A voter is replaced only
after a long silence, by an operator, or when its host came back with a new
disk. A replacement counts only once it has caught up and synced, so a second
loss right after the repair still leaves a majority that has everything.
"""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from endivestream import findings
from endivestream import logs
from endivestream import tasks
from endivestream.version import members as members_lib
from endivestream.version import replicate

_ROUND_SECONDS = 0.2
# A learner that asks no more has gone; its place is not kept for ever.
_JOIN_SECONDS = 10.0
# A learner is close enough to the end to vote.
_CLOSE_ENTRIES = 64


class _Change(NamedTuple):
    """One step in the members.

    Attributes:
        what: `learning`, `promoted` or `removed`, for the log line.
        member: Whom it concerns.
        members: What they become.
    """

    what: str
    member: members_lib.Member
    members: members_lib.Members


class Steward:
    """Changes the members, one step at a time."""

    def __init__(
        self,
        *,
        replicator: replicate.Replicator,
        wanted: int,
        replace_seconds: float,
        superseded_seconds: float = _JOIN_SECONDS,
    ) -> None:
        """Starts nothing yet.

        Args:
            replicator: The leading replica.
            wanted: Voters that there should be.
            replace_seconds: A voter silent for so long gives its place to a
                caught-up learner.
            superseded_seconds: The same for a voter whose host asks to join
                under another identity.
        """
        self._superseded_seconds = superseded_seconds
        self._replicator = replicator
        self._wanted = wanted
        self._replace_seconds = replace_seconds
        self._asking: dict[str, tuple[members_lib.Member, float]] = {}
        self._to_remove: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to look after the members."""
        self._task = tasks.start(self._run(), type(self).__name__)

    async def close(self) -> None:
        """Stops."""
        await tasks.cancel([self._task])

    def join(self, member: members_lib.Member) -> None:
        """Notes that a replica asks to learn."""
        self._asking[member.identity] = (member, time.monotonic())

    def remove(self, name: str) -> str:
        """Marks a member to be taken out; returns why not, or empty."""
        found = [
            member
            for member in self._replicator.replica.members.all
            if member.name == name or member.identity.startswith(name)
        ]
        if len(found) != 1:
            valid = [
                f"{m.name} ({m.identity[:8]})"
                for m in self._replicator.replica.members.all
            ]
            return findings.unknown_word("voter", name, valid)
        if found[0].identity == self._replicator.identity:
            return f"{name!r} leads at the moment; stop it first"
        self._to_remove.add(found[0].identity)
        return ""

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_ROUND_SECONDS)
            now = time.monotonic()
            for identity, (_, asked) in list(self._asking.items()):
                if now - asked > _JOIN_SECONDS:
                    del self._asking[identity]
            self._round()

    def _round(self) -> None:
        """Makes at most one change: the first that is due."""
        members = self._replicator.replica.members
        change = (
            self._removal(members)
            or self._promotion(members)
            or self._newcomer(members)
        )
        if change is None:
            return
        if self._replicator.change_members(change.members):
            self._to_remove.discard(change.member.identity)
            logs.event(
                "members",
                change=change.what,
                member=change.member.name,
                identity=change.member.identity[:8],
                voters=len(change.members.voters),
                learners=len(change.members.learners),
            )

    def _superseded(
        self, members: members_lib.Members
    ) -> list[members_lib.Member]:
        """Returns voters that are silent while their host asks anew.

        The silence tells a lost disk from a second host that was given the
        name of a sound one.
        """
        replica = self._replicator.replica
        newcomers = {
            m.name: m.identity
            for m in (
                *members.learners,
                *(member for member, _ in self._asking.values()),
            )
        }
        return [
            m
            for m in members.voters
            if newcomers.get(m.name, m.identity) != m.identity
            and replica.silent_for(m.identity) > self._superseded_seconds
        ]

    def _lost(self, members: members_lib.Members) -> list[members_lib.Member]:
        """Returns voters that will not come back as themselves."""
        replica = self._replicator.replica
        return [
            m
            for m in members.voters
            if m.identity in self._to_remove
            or m in self._superseded(members)
            or replica.silent_for(m.identity) > self._replace_seconds
        ]

    def _removal(self, members: members_lib.Members) -> _Change | None:
        lost = self._lost(members)
        spare = self._caught_up(members)
        for member in lost:
            # With a replacement at hand that goes first; without one, a lost
            # voter still leaves if the rest keeps the number wanted, or if
            # its word was an operator's.
            enough = len(members.voters) > self._wanted
            ordered = member.identity in self._to_remove and not spare
            if (enough or ordered) and len(members.voters) > 1:
                return _Change(
                    "removed", member, members.without(member.identity)
                )
        for member in members.learners:
            gone = member.identity not in self._asking
            silent = self._replicator.replica.silent_for(member.identity)
            if gone and silent > _JOIN_SECONDS:
                return _Change(
                    "removed", member, members.without(member.identity)
                )
        return None

    def _caught_up(
        self, members: members_lib.Members
    ) -> list[members_lib.Member]:
        replica = self._replicator.replica
        return [
            m
            for m in members.learners
            if replica.matched(m.identity) + _CLOSE_ENTRIES >= replica.commit
            and replica.matched(m.identity) > 0
            and replica.silent_for(m.identity) < 1.0
        ]

    def _promotion(self, members: members_lib.Members) -> _Change | None:
        sound = len(members.voters) - len(self._lost(members))
        for member in self._caught_up(members):
            if sound < self._wanted:
                changed = members.promoted(member.identity)
                return _Change("promoted", member, changed)
        return None

    def _newcomer(self, members: members_lib.Members) -> _Change | None:
        for member, _ in self._asking.values():
            if members.find(member.identity) is None:
                return _Change("learning", member, members.with_learner(member))
        return None
