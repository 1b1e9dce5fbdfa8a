"""Inputs and outputs of the consensus state machine.

Messages between replicas, events passed to `consensus.Replica.step` and
effects returned by it.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from endivestream.version import members as members_lib
from endivestream.version import storage as storage_lib


class Timing(NamedTuple):
    """Consensus timing parameters, in seconds.

    Attributes:
        heartbeat_seconds: Interval of the leader's heartbeats to each follower.
        election_seconds: Minimum election timeout; the maximum is twice that.
        lease_seconds: Duration of the leader lease, counted from the sending of
            a message that a majority acknowledged. Shorter than
            `election_seconds` by more than the clocks can drift apart in that
            time.
    """

    heartbeat_seconds: float
    election_seconds: float
    lease_seconds: float


# Messages between replicas. `sent` is the leader's clock at sending time; the
# reply echoes it, so that the leader lease counts from the sending.


class PreVote(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests a non-binding vote for an election in `term`."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `PreVote`.

    Attributes:
        term: The requested term if granted, else the replica's own term.
        granted: Whether the replica would vote for the sender.
    """

    term: int
    granted: bool


class RequestVote(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests a vote in `term`.

    Attributes:
        term: The candidate's term.
        last_index: Index of the candidate's last entry.
        last_term: Term of that entry.
        transfer: Whether the old leader requested this election; voters then
            ignore its lease.
    """

    term: int
    last_index: int
    last_term: int
    transfer: bool


class VoteReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `RequestVote`."""

    term: int
    granted: bool


class Append(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entries after `prev_index`; without entries, a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: list[storage_lib.Entry]
    commit: int
    sent: float


class AppendReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `Append` and `Install`.

    Attributes:
        term: The follower's term.
        matched: Index up to which the follower's log matches the leader's
            and is synced; after a rejection, the index to try next.
        rejected: Whether the sender's term is old, or the follower's log does
            not match at `prev_index`.
        sent: Echo of `sent` in the message that this replies to.
    """

    term: int
    matched: int
    rejected: bool
    sent: float


class Install(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A complete snapshot, for a follower whose next entry was compacted."""

    term: int
    snapshot: storage_lib.SnapshotFile
    sent: float


class TimeoutNow(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests that a follower start an election immediately."""

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
    """Timer tick. `jitter` is from 0 to 1, drawn again for each tick."""

    jitter: float


class Received(NamedTuple):
    """A message from another replica was received."""

    sender: str
    message: Message


class Proposed(NamedTuple):
    """Payloads to commit; ignored unless the replica is the leader."""

    payloads: list[bytes]


class Synced(NamedTuple):
    """The write with this number and all earlier writes are durable."""

    write: int


class Compacted(NamedTuple):
    """A snapshot up to `index` is durable; entries up to it can be dropped."""

    index: int


class ChangeMembers(NamedTuple):
    """Change the members; ignored if more than one voter differs."""

    members: members_lib.Members


class Transfer(NamedTuple):
    """Transfer leadership to another voter before a planned stop."""


Event = (
    Tick | Received | Proposed | Synced | Compacted | ChangeMembers | Transfer
)


# Effects.


class SaveVote(NamedTuple):
    """Store term and vote durably before executing the next effect."""

    vote: storage_lib.Vote


class Truncate(NamedTuple):
    """Remove entries from `index` on."""

    index: int


class Write(NamedTuple):
    """Append entries; pass `Synced(number)` once they are durable."""

    number: int
    entries: list[storage_lib.Entry]


class Restore(NamedTuple):
    """Store a snapshot durably and restore its state before the next effect.

    Attributes:
        snapshot: The snapshot.
        keep_log: Whether to keep entries after the snapshot. If false, the
            complete log is removed, but only once the snapshot is durable,
            because some of its entries were acknowledged.
    """

    snapshot: storage_lib.SnapshotFile
    keep_log: bool


class Send(NamedTuple):
    """Send a message; delivery is not guaranteed."""

    to: str
    message: Message


class SendSnapshot(NamedTuple):
    """Send the stored snapshot in an `Install` message."""

    to: str
    term: int
    sent: float


class Commit(NamedTuple):
    """Apply committed entries in log order."""

    entries: list[storage_lib.Entry]


Effect = SaveVote | Truncate | Write | Restore | Send | SendSnapshot | Commit
