"""What goes into and comes out of the agreement: messages, events, effects."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from endivestream.version import members as members_lib
from endivestream.version import storage as storage_lib


class Timing(NamedTuple):
    """Times in seconds.

    Attributes:
        heartbeat: How often a leader speaks to each follower.
        election: The least time without a leader before an election; the
            greatest is twice that.
        lease: How long after a majority heard it a leader may assume that no
            other is elected. Less than `election` by more than clocks drift
            in that time.
    """

    heartbeat: float
    election: float
    lease: float


# Messages between replicas. `sent` is the leader's clock when it sent; the
# reply gives it back, so that the leader's lease counts from the sending.


class PreVote(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks whether an election in `term` could be won. Binds nobody."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `PreVote`; `term` is the asked one if granted."""

    term: int
    granted: bool


class RequestVote(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for the vote in `term`.

    Attributes:
        term: The candidate's term.
        last_index: Its last entry.
        last_term: That entry's term.
        transfer: The old leader asked for this election.
    """

    term: int
    last_index: int
    last_term: int
    transfer: bool


class VoteReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `RequestVote`."""

    term: int
    granted: bool


class Append(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entries after `prev_index`, or a heartbeat without any."""

    term: int
    prev_index: int
    prev_term: int
    entries: list[storage_lib.Entry]
    commit: int
    sent: float


class AppendReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `Append` and `Install`.

    Attributes:
        term: The follower's term.
        matched: Entries up to here are the leader's and synced.
        rejected: The follower lacks `prev_index`; `matched` is where to try.
        sent: As in the message answered.
    """

    term: int
    matched: int
    rejected: bool
    sent: float


class Install(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A whole snapshot, for a follower whose next entry is gone."""

    term: int
    snapshot: storage_lib.SnapshotFile
    sent: float


class TimeoutNow(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a follower to stand for election at once."""

    term: int


Message = (
    PreVote
    | PreVoteReply
    | RequestVote
    | VoteReply
    | Append
    | AppendReply
    | Install
    | TimeoutNow
)


# Events.


class Tick(NamedTuple):
    """Time has passed. `jitter` is from 0 to 1, anew each time."""

    jitter: float


class Received(NamedTuple):
    """A message came."""

    sender: str
    message: Message


class Proposed(NamedTuple):
    """Payloads to commit; only a leader takes them."""

    payloads: list[bytes]


class Synced(NamedTuple):
    """The write of that number, and all before it, are durable."""

    write: int


class Compacted(NamedTuple):
    """A snapshot up to `index` is durable; entries up to it may go."""

    index: int


class ChangeMembers(NamedTuple):
    """Set other members; one voter's difference at a time."""

    members: members_lib.Members


class Transfer(NamedTuple):
    """Hand leadership over before a planned stop."""


Event = (
    Tick | Received | Proposed | Synced | Compacted | ChangeMembers | Transfer
)


# Effects.


class SaveVote(NamedTuple):
    """Make term and vote durable before the next effect."""

    vote: storage_lib.Vote


class Truncate(NamedTuple):
    """Drop entries from `index` on."""

    index: int


class Write(NamedTuple):
    """Append entries; `Synced(number)` once they are durable."""

    number: int
    entries: list[storage_lib.Entry]


class Restore(NamedTuple):
    """Make a snapshot durable and take its state, before the next effect.

    Attributes:
        snapshot: The snapshot.
        keep_log: Whether entries after it stay; if not, all go, but only once
            the snapshot is durable: some were acknowledged.
    """

    snapshot: storage_lib.SnapshotFile
    keep_log: bool


class Send(NamedTuple):
    """Send a message; it may be lost."""

    to: str
    message: Message


class SendSnapshot(NamedTuple):
    """Send the stored snapshot in an `Install`."""

    to: str
    term: int
    sent: float


class Commit(NamedTuple):
    """Apply these entries, in order."""

    entries: list[storage_lib.Entry]


Effect = SaveVote | Truncate | Write | Restore | Send | SendSnapshot | Commit
