"""Membership of the replicated log: voters and learners."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

# First byte of the payload of a membership entry. Commands are encoded as
# maps, which never start with this byte; a leader's first entry is empty.
MEMBERSHIP_PREFIX = b"M"


class Member(NamedTuple):
    """One replica.

    Attributes:
        identity: Created with the data folder; a replica that lost its disk
            is a new member.
        name: Name of its host.
        address: Listening address of its control role.
    """

    identity: str
    name: str
    address: str


class Members(NamedTuple):
    """The replicas of the log, as set by one membership entry.

    Attributes:
        voters: Replicas that vote in elections and count for commits.
        learners: Replicas that only receive entries until they catch up.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def all(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def majority(self) -> int:
        """Number of voters in a majority."""
        return len(self.voters) // 2 + 1

    def is_voter(self, identity: str) -> bool:
        """Returns whether a replica is a voter."""
        return any(member.identity == identity for member in self.voters)

    def find(self, identity: str) -> Member | None:
        """Returns the member with this identity, or None."""
        for member in self.all:
            if member.identity == identity:
                return member
        return None

    def with_learner(self, member: Member) -> Members:
        """Returns the members with `member` added as a learner."""
        return Members(self.voters, (*self.learners, member))

    def with_promoted(self, identity: str) -> Members:
        """Returns the members with a learner promoted to voter."""
        promoted_learners = tuple(
            m for m in self.learners if m.identity == identity
        )
        remaining = tuple(m for m in self.learners if m.identity != identity)
        return Members(self.voters + promoted_learners, remaining)

    def without(self, identity: str) -> Members:
        """Returns the members without one replica."""
        return Members(
            tuple(m for m in self.voters if m.identity != identity),
            tuple(m for m in self.learners if m.identity != identity),
        )


_decoder = msgspec.msgpack.Decoder(Members)


def encode(members: Members) -> bytes:
    """Returns the payload of a log entry that sets the members."""
    return MEMBERSHIP_PREFIX + msgspec.msgpack.encode(members)


def decode(payload: bytes) -> Members | None:
    """Decodes the payload of a membership entry; None for other entries."""
    if payload[:1] != MEMBERSHIP_PREFIX:
        return None
    return _decoder.decode(payload[1:])
