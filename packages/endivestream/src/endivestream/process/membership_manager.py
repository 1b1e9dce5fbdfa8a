"""Membership changes of the replicated log, made by the leader.

A suspected failure starts an election within a second, but does not remove a
voter. A voter is replaced only after a long silence, by an operator, or when
its host returned with a new disk. A learner is promoted only once it has caught
up and synced, so a second failure right after the repair still leaves a
majority that has all committed entries.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from endivestream import clock
from endivestream import findings
from endivestream import logs
from endivestream import tasks
from endivestream.version import members as members_lib
from endivestream.version import replicate

_ROUND_INTERVAL_SECONDS = 0.2
# Requests to join are kept for this time. A learner that is silent for it is
# removed.
_JOIN_EXPIRY_SECONDS = 10.0
# A learner that lags by at most this many entries may be promoted.
_MAX_LAG_ENTRIES = 64


class _Change(NamedTuple):
    """One membership change.

    Attributes:
        kind: `learning`, `promoted` or `removed`, for the log line.
        member: The member that is added, promoted or removed.
        members: The members after the change.
    """

    kind: str
    member: members_lib.Member
    members: members_lib.Members


class MembershipManager:
    """Makes membership changes, one at a time."""

    def __init__(
        self,
        *,
        replicator: replicate.Replicator,
        wanted: int,
        replace_seconds: float,
        superseded_seconds: float = _JOIN_EXPIRY_SECONDS,
    ) -> None:
        """Makes no changes before `start`.

        Args:
            replicator: The leader's replica.
            wanted: Target number of voters.
            replace_seconds: Silence after which a voter is replaced by a
                caught-up learner.
            superseded_seconds: The same for a voter whose host requests to join
                under another identity.
        """
        self._superseded_seconds = superseded_seconds
        self._replicator = replicator
        self._wanted = wanted
        self._replace_seconds = replace_seconds
        self._join_requests: dict[str, tuple[members_lib.Member, float]] = {}
        self._to_remove: set[str] = set()
        self._has_missing_voters = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts making membership changes."""
        self._task = tasks.start_restarting(self._run, type(self).__name__)

    async def close(self) -> None:
        """Stops."""
        await tasks.cancel([self._task])

    def join(self, member: members_lib.Member) -> None:
        """Records a replica's request to join as a learner.

        Members without contact to a leader ask too and need no admission.
        """
        if self._replicator.replica.members.find(member.identity):
            return
        self._join_requests[member.identity] = (member, clock.now())

    def remove(self, name: str) -> str:
        """Marks a member for removal.

        Args:
            name: The member's name, or the start of its identity.

        Returns:
            The reason for a refusal, or empty.
        """
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
            return f"{name!r} is the leader; stop it first"
        self._to_remove.add(found[0].identity)
        return ""

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_ROUND_INTERVAL_SECONDS)
            self.run_round(clock.now())

    def run_round(self, now: float) -> None:
        """Makes at most one membership change.

        Args:
            now: The time, in seconds.
        """
        for identity, (_, requested_at) in list(self._join_requests.items()):
            if now - requested_at > _JOIN_EXPIRY_SECONDS:
                del self._join_requests[identity]
        self._change_members()
        self._log_strength()

    def _change_members(self) -> None:
        """Makes the first change that is due, if any."""
        members = self._replicator.replica.members
        change = (
            self._removal(members)
            or self._promotion(members)
            or self._admission(members)
        )
        if change is None:
            return
        if self._replicator.change_members(change.members):
            self._to_remove.discard(change.member.identity)
            # A request that was made before must not admit the replica again
            # after its removal.
            self._join_requests.pop(change.member.identity, None)
            logs.event(
                "members",
                change=change.kind,
                member=change.member.name,
                identity=change.member.identity[:8],
                voters=len(change.members.voters),
                learners=len(change.members.learners),
            )

    def _log_strength(self) -> None:
        """Logs when there are fewer sound voters than wanted, and again not."""
        members = self._replicator.replica.members
        sound = len(members.voters) - len(self._failed_voters(members))
        if (sound < self._wanted) == self._has_missing_voters:
            return
        self._has_missing_voters = sound < self._wanted
        log = logs.warn if self._has_missing_voters else logs.event
        log(
            "voters_missing" if self._has_missing_voters else "voters_complete",
            sound=sound,
            wanted=self._wanted,
            learners=len(members.learners),
        )

    def _superseded(
        self, members: members_lib.Members
    ) -> list[members_lib.Member]:
        """Returns silent voters whose host has joined again.

        The silence distinguishes a host with a lost disk from a second host
        that was configured with the name of a healthy one.
        """
        replica = self._replicator.replica
        joining = (member for member, _ in self._join_requests.values())
        identities: dict[str, set[str]] = {}
        for member in (*members.all, *joining):
            identities.setdefault(member.name, set()).add(member.identity)
        return [
            m
            for m in members.voters
            if len(identities[m.name]) > 1
            and replica.seconds_since_reply(m.identity)
            > self._superseded_seconds
        ]

    def _failed_voters(
        self, members: members_lib.Members
    ) -> list[members_lib.Member]:
        """Returns voters that are not expected to return."""
        replica = self._replicator.replica
        return [
            m
            for m in members.voters
            if m.identity in self._to_remove
            or m in self._superseded(members)
            or replica.seconds_since_reply(m.identity) > self._replace_seconds
        ]

    def _removal(self, members: members_lib.Members) -> _Change | None:
        failed = self._failed_voters(members)
        caught_up = self._caught_up(members)
        for member in failed:
            # A caught-up learner is promoted before a failed voter is removed.
            # Without one, the voter is removed only if enough voters remain or
            # if an operator requested its removal.
            has_surplus = len(members.voters) > self._wanted
            is_requested = member.identity in self._to_remove and not caught_up
            if (has_surplus or is_requested) and len(members.voters) > 1:
                return _Change(
                    "removed", member, members.without(member.identity)
                )
        for member in members.learners:
            silent = self._replicator.replica.seconds_since_reply(
                member.identity
            )
            if silent > _JOIN_EXPIRY_SECONDS:
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
            if replica.match_index(m.identity) + _MAX_LAG_ENTRIES
            >= replica.commit
            and replica.match_index(m.identity) > 0
            and replica.seconds_since_reply(m.identity) < 1.0
        ]

    def _promotion(self, members: members_lib.Members) -> _Change | None:
        healthy_count = len(members.voters) - len(self._failed_voters(members))
        for member in self._caught_up(members):
            if healthy_count < self._wanted:
                changed = members.with_promoted(member.identity)
                return _Change("promoted", member, changed)
        return None

    def _admission(self, members: members_lib.Members) -> _Change | None:
        for member, _ in self._join_requests.values():
            if members.find(member.identity) is None:
                return _Change("learning", member, members.with_learner(member))
        return None
