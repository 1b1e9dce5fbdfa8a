"""Who takes part in the replicated log."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

# The first byte of a log entry that changes the members. Commands are maps,
# whose encoding never starts with it, and a leader's first entry is empty.
MARK = b"M"


class Member(NamedTuple):
    """One replica.

    Attributes:
        identity: Made with its data folder, so a lost disk is a new member.
        name: Its host's name.
        address: Where its control role listens.
    """

    identity: str
    name: str
    address: str


class Members(NamedTuple):
    """All replicas, as one entry of the log sets them.

    Attributes:
        voters: Replicas that elect and whose majority commits.
        learners: Replicas that only receive, until they have caught up.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def all(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def majority(self) -> int:
        """Voters that make a majority."""
        return len(self.voters) // 2 + 1

    def is_voter(self, identity: str) -> bool:
        """Tells whether a replica votes."""
        return any(member.identity == identity for member in self.voters)

    def find(self, identity: str) -> Member | None:
        """Returns the member of that identity, or None."""
        for member in self.all:
            if member.identity == identity:
                return member
        return None

    def with_learner(self, member: Member) -> Members:
        """Returns these with one learner more."""
        return Members(self.voters, (*self.learners, member))

    def promoted(self, identity: str) -> Members:
        """Returns these with a learner made voter."""
        chosen = tuple(m for m in self.learners if m.identity == identity)
        rest = tuple(m for m in self.learners if m.identity != identity)
        return Members(self.voters + chosen, rest)

    def without(self, identity: str) -> Members:
        """Returns these without one replica."""
        return Members(
            tuple(m for m in self.voters if m.identity != identity),
            tuple(m for m in self.learners if m.identity != identity),
        )


_decoder = msgspec.msgpack.Decoder(Members)


def encode(members: Members) -> bytes:
    """Returns the payload of a log entry that sets the members."""
    return MARK + msgspec.msgpack.encode(members)


def decode(payload: bytes) -> Members | None:
    """Reads the members from an entry's payload; None if it sets none."""
    if payload[:1] != MARK:
        return None
    return _decoder.decode(payload[1:])
