"""Typed messages between hosts, and their encoding.

Every frame on a link is one `Envelope`. A request carries an id above 0 and its
answer the same id; a pushed message carries 0.
"""

from __future__ import annotations

from typing import NamedTuple
import zlib

import msgspec

from endivestream import site_messages
from endivestream.version import configuration
from endivestream.version import members
from endivestream.version import protocol
from endivestream.version import state


class HostInfo(NamedTuple):
    """A host as listed in the leader's host table.

    Attributes:
        name: Name, unique among hosts.
        incarnation: Number of this process start; rises with each start.
        domain: Failure domain of the host.
        url: URL for callers, such as `http://10.0.0.1:8080`.
        inner_url: URL for operators and targets.
        draining: Whether the host is about to stop.
    """

    name: str
    incarnation: int
    domain: str
    url: str
    inner_url: str
    draining: bool


class Watch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Renews a gateway's configuration lease.

    Attributes:
        host: The requesting host.
        config_version: Version of the configuration in force on it.
        hosts_seen: Version of its host table; 0 for none.
        running: Number of callers' requests running on it.
    """

    host: HostInfo
    config_version: int = msgspec.field(name="have")
    hosts_seen: int = 0
    running: int


class Lease(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Watch`, or push of a changed configuration.

    Attributes:
        update: Configuration update that the gateway lacks, or None.
        version: Version of the configuration.
        seconds: Duration of the lease, from when the gateway sent its `Watch`;
            0 in a push, which does not renew the lease.
        hosts: All live hosts, or None if the gateway has them already: at 390
            hosts the table is 29 KB, and leases are renewed twice a second.
        hosts_version: Version of the host table.
    """

    update: configuration.Update | None
    version: int
    seconds: float
    hosts: list[HostInfo] | None
    hosts_version: int


class Propose(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests that a command be committed to the log.

    Attributes:
        command: The command.
    """

    command: state.Command


class Committed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Propose`.

    Attributes:
        result: Result of applying the command.
    """

    result: state.Result


class Lost(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Propose` when the command may or may not be committed.

    Sending the same command again is safe and gives its result.
    """


class NotLeader(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer of a replica that does not lead to a request for the leader.

    Attributes:
        address: Address of the leader, or empty if it is unknown.
        members: Number of replicas in the answering host's member list; 0 if it
            belongs to no system yet.
    """

    address: str
    members: int = 0


class Agreement(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Carries a consensus message between replicas; not answered.

    Attributes:
        to: Identity of the receiver. A replica with a new disk on an old
            address must not process messages for the replica that it replaced.
        sender: Identity of the sender.
        address: Address where the sender listens.
        body: The consensus message.
    """

    to: str
    sender: str
    address: str
    body: protocol.Message


class Join(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests that a replica outside the member list be added as a learner.

    Attributes:
        member: The replica.
    """

    member: members.Member


class RemoveVoter(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Operator's request to remove a failed voter immediately.

    Attributes:
        name: Name of its host, or a prefix of its identity.
    """

    name: str


class Charge(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests credit of a team.

    Attributes:
        team: Name of the team.
        request: Id of the attempt, unique per attempt.
        tokens: Tokens of the prompt plus the maximum number to generate.
        max_wait_seconds: Seconds that the request can wait for the credit.
        firm: Whether the caller set `max_wait_seconds` itself; a new leader
            does not extend it.
    """

    team: str
    request: str
    tokens: int
    max_wait_seconds: float = msgspec.field(name="patience")
    firm: bool = False


class Charged(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Charge`: the credit was taken.

    Attributes:
        waited: Seconds spent waiting for the refill.
    """

    waited: float


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """Completion of an attempt; returns its unused credit and its ticket.

    Attributes:
        request: Id of the attempt that was charged or got a ticket.
        team: Name of the charged team; empty if nothing was charged.
        used: Number of tokens used.
        failed: Whether the attempt failed on the target.
        answered: Whether the target answered the attempt. Neither `failed` nor
            `answered` is set if it never ran or its caller disconnected.
        backoff_seconds: Seconds for which the target accepts no requests, by
            its own answer to this attempt; 0 if it named none.
    """

    request: str
    team: str
    used: int
    failed: bool = False
    answered: bool = False
    backoff_seconds: float = 0.0


class Endings(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Completions of attempts in one message.

    Idempotent; resent until answered.

    Attributes:
        completions: The completions.
    """

    completions: list[Completion] = msgspec.field(name="endings")


class Noted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Endings` and `Join`."""


class AskTicket(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests a slot on a target.

    Attributes:
        request: Id of the attempt, unique per attempt.
        team: Name of the team whose share of the queue is used.
        needs: Name of a model, or `service:NAME`.
        tokens: Expected work in tokens.
        max_wait_seconds: Seconds that the request can wait for the slot.
        avoid: Names of targets not to use.
        host: Name of the requesting host; its tickets are released when it is
            removed.
        blocks: Chained hashes of the prompt's blocks; see `request.prefixes`.
        software: Version of the software that began the answer; None if no part
            of it has been relayed.
    """

    request: str
    team: str
    needs: str
    tokens: int
    max_wait_seconds: float = msgspec.field(name="patience")
    avoid: list[str]
    host: str
    blocks: tuple[int, ...] = ()
    software: str | None = None


class Ticket(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskTicket`: a slot on a target.

    Attributes:
        target: Name of the target.
        url: URL for requests to the target.
        resumes: Whether the target continues streams started on another target.
        waited: Seconds spent in the queue.
        reason: Why this target was chosen.
        software: Version of the target's software.
    """

    target: str
    url: str
    resumes: bool
    waited: float
    reason: str
    software: str = ""


class Refused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to a `Charge` or `AskTicket` that cannot be granted.

    Attributes:
        reason: Reason code.
        detail: Sentence for the caller.
        retry_after: Seconds after which to retry; below 0 for never.
    """

    reason: str
    detail: str
    retry_after: float


class TargetInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Announcement of a target; see docs/TARGETS.md.

    Attributes:
        name: Name, unique among targets.
        incarnation: Number of this process start; rises with each start.
        kind: `engine` or `service`.
        domain: Failure domain of the target.
        url: URL for requests to the target.
        memory: Accelerator memory for models in MiB; 0 for a service.
        slots: Maximum number of concurrent requests.
        services: Names of the services that it runs; empty for an engine.
        checks_fencing: Whether the target refuses old fencing tokens.
        resumes: Whether the target continues streams started on another target.
        loaded: Models loaded at the start, from name to size in MiB.
        software: Version of its software; targets that name none fit each
            other.
    """

    name: str
    incarnation: int
    kind: str
    domain: str
    url: str
    memory: int = 0
    slots: int = 8
    services: list[str] = []
    checks_fencing: bool = True
    resumes: bool = False
    loaded: dict[str, int] = {}
    software: str = ""


class TargetReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a target sends each second; see docs/TARGETS.md.

    Attributes:
        name: Name of the target.
        incarnation: Incarnation of the target.
        sequence: Rises with each report; reports with a lower number than the
            newest are dropped.
        loaded: Names of the models loaded now.
        running: Number of requests that run.
        waiting: Number of requests in the target's own queue.
        queued_tokens: Number of tokens still to be generated.
        draining: Whether the target is about to stop.
    """

    name: str
    incarnation: int
    sequence: int
    loaded: list[str] = []
    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    draining: bool = False


class Announce(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Forwards a target's announcement to the leader.

    Attributes:
        info: The announcement.
    """

    info: TargetInfo


class Report(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Forwards reports of targets to the leader.

    Attributes:
        reports: The reports, many in one message.
    """

    reports: list[TargetReport]


class Known(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Announce` and `Report`.

    Attributes:
        unknown: Names of targets that must announce themselves again.
        reason: Why an announcement was refused, or empty.
    """

    unknown: list[str]
    reason: str = ""


class AskStatus(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests one of the views for operators.

    Attributes:
        view: `status`, `rules`, `history`, `keys`, `targets`, `models`,
            `voters` or `in_force`.
        version: For `in_force`: the version of the configuration to check.
    """

    view: str
    version: int = 0


class Status(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskStatus`.

    Attributes:
        body: The view as JSON.
    """

    body: bytes


class DrainTarget(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Operator's request to start or end the draining of a target.

    Attributes:
        name: Name of the target.
        draining: Whether the target gets no new requests.
    """

    name: str
    draining: bool


class Ping(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests a `Pong` over the same connection, to check that it works."""


class Pong(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Ping`."""


Message = (
    Watch
    | Lease
    | Propose
    | Committed
    | Lost
    | NotLeader
    | Agreement
    | Join
    | RemoveVoter
    | Charge
    | Charged
    | Endings
    | Noted
    | AskTicket
    | Ticket
    | Refused
    | Announce
    | Report
    | Known
    | AskStatus
    | Status
    | DrainTarget
    | Ping
    | Pong
    | site_messages.Message
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Content of one frame.

    Attributes:
        id: Above 0 for a request and its answer; 0 for a push.
        body: The message.
    """

    id: int
    body: Message


# Frames of at least this size are compressed. Demand reports and tables of
# targets repeat names and shrink to a third or less. Traffic between failure
# domains costs more than the few microseconds that compression takes.
_MIN_COMPRESSED_BYTES = 200
_COMPRESSION_LEVEL = 1
# First byte of a compressed frame (zlib). A plain frame starts with the byte
# of a msgpack array of two elements.
_COMPRESSED_PREFIX = b"\x78"
# No message of the system is larger when decompressed.
_MAX_FRAME_BYTES = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Returns an envelope's frame, compressed if that makes it shorter."""
    data = _encoder.encode(envelope)
    if len(data) < _MIN_COMPRESSED_BYTES:
        return data
    packed = zlib.compress(data, _COMPRESSION_LEVEL)
    return packed if len(packed) < len(data) else data


def decode(data: bytes) -> Envelope:
    """Decodes a frame.

    Raises:
        msgspec.DecodeError: The frame is malformed.
    """
    if data[:1] == _COMPRESSED_PREFIX:
        data = _decompress(data)
    return _decoder.decode(data)


def _decompress(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, _MAX_FRAME_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(
            f"invalid compressed frame: {error}"
        ) from error
    if not unpacker.eof:
        # Truncated, or larger than `_MAX_FRAME_BYTES`.
        raise msgspec.DecodeError("compressed frame is truncated or too large")
    return plain
