"""Typed messages between hosts, and their bytes.

Every frame on a link is one `Envelope`. A request carries an id above 0 and
its answer the same id; a message pushed without being asked for carries 0.
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
    """A host of the system, as others see it.

    Attributes:
        name: Unique among hosts.
        incarnation: Rises with each start of the process.
        domain: Its failure domain.
        url: Where callers reach it, such as `http://10.0.0.1:8080`.
        inner_url: Where operators and targets reach it.
        draining: Whether it is about to stop.
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
        host: The asking host.
        have: The configuration version it has in force.
        hosts_seen: The version of the host table it has; 0 for none.
        running: Requests of callers that run on it.
    """

    host: HostInfo
    have: int
    hosts_seen: int = 0
    running: int


class Lease(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a `Watch`, or pushes a change of the configuration.

    Attributes:
        update: What the gateway lacks, or None.
        version: The configuration's version.
        seconds: How long the gateway may serve, counted from the moment it
            sent its `Watch`; 0 in a push, which renews nothing.
        hosts: All live hosts, or None when the gateway has them already:
            at 390 hosts the table is 29 KB, and renewals come twice a second.
        hosts_version: The host table's version.
    """

    update: configuration.Update | None
    version: int
    seconds: float
    hosts: list[HostInfo] | None
    hosts_version: int


class Propose(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for a command to be committed."""

    command: state.Command


class Committed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a `Propose`."""

    result: state.Result


class Lost(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a `Propose` whose command may or may not last.

    Sending the same command again is safe, and tells.
    """


class NotLeader(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers anything that only the leader may answer.

    Attributes:
        address: Where the leader listens, or empty if that is not known.
        members: How many replicas the answering host knows; 0 if it belongs
            to no system yet.
    """

    address: str
    members: int = 0


class Agreement(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Passes a message between replicas of the log. Not answered.

    Attributes:
        to: The receiver's identity: a new disk on an old address must not
            take in what was meant for the lost one.
        sender: The sender's identity.
        address: Where the sender listens.
        body: The message.
    """

    to: str
    sender: str
    address: str
    body: protocol.Message


class Join(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A replica that is not among the members asks to learn."""

    member: members.Member


class RemoveVoter(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Operators take a lost replica out at once.

    Attributes:
        name: The host's name, or the beginning of the identity.
    """

    name: str


class Charge(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for a team's credit.

    Attributes:
        team: The team.
        request: Unique per attempt.
        tokens: Prompt plus largest generated count.
        patience: Seconds for which the credit is of use.
        firm: The caller said so itself; a leader that has just taken over
            does not wait longer.
    """

    team: str
    request: str
    tokens: int
    patience: float
    firm: bool = False


class Charged(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The credit was taken.

    Attributes:
        waited: Seconds spent waiting for the refill.
    """

    waited: float


class Ending(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt is over: its unused credit and its place go back.

    Attributes:
        request: The attempt that charged or asked for a ticket.
        team: The charged team; empty when nothing was charged.
        used: Tokens really used.
        failed: Whether the target broke the attempt.
        answered: Whether the target answered it; neither, if it never ran or
            its caller left.
    """

    request: str
    team: str
    used: int
    failed: bool = False
    answered: bool = False


class Endings(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Many endings in one message. Idempotent; resent until answered."""

    endings: list[Ending]


class Noted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `Endings`."""


class AskTicket(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for a place on a target.

    Attributes:
        request: Unique per attempt.
        team: Whose turn is used.
        needs: A model's name or `service:NAME`.
        tokens: Expected work in tokens.
        patience: Seconds for which the place is of use.
        avoid: Targets not to give.
        host: The asking host, so that its tickets go when it is gone.
        blocks: Names of the prompt's blocks; see `request.prefixes`.
    """

    request: str
    team: str
    needs: str
    tokens: int
    patience: float
    avoid: list[str]
    host: str
    blocks: tuple[int, ...] = ()


class Ticket(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A place on a target.

    Attributes:
        target: The target's name.
        url: Where it takes requests.
        resumes: Whether it continues streams begun elsewhere.
        waited: Seconds in the queue.
        reason: Why this target.
    """

    target: str
    url: str
    resumes: bool
    waited: float
    reason: str


class Refused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a `Charge` or `AskTicket` that cannot be met.

    Attributes:
        reason: A fixed word.
        detail: A sentence for the caller.
        retry_after: Seconds after which to come back; below 0 for never.
    """

    reason: str
    detail: str
    retry_after: float


class TargetInfo(msgspec.Struct, frozen=True, kw_only=True):
    """What a target announces; see docs/TARGETS.md.

    Attributes:
        name: Unique among targets.
        incarnation: Rises with each start of the target.
        kind: `engine` or `service`.
        domain: Its failure domain.
        url: Where it takes requests.
        memory: Accelerator memory for models in MiB; 0 for a service.
        slots: Requests it takes at once.
        services: Services it runs; empty for an engine.
        checks_fencing: Whether it refuses old fencing tokens.
        resumes: Whether it continues streams begun elsewhere.
        loaded: Models loaded at the start, name to MiB.
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


class TargetReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a target reports each second; see docs/TARGETS.md.

    Attributes:
        name: The target's name.
        incarnation: Its incarnation.
        sequence: Rises with each report; older ones are dropped.
        loaded: Models loaded now.
        running: Requests that run.
        waiting: Requests that wait inside the target.
        queued_tokens: Tokens still to be generated.
        draining: Whether it is about to leave.
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
    """Passes a target's announcement on."""

    info: TargetInfo


class Report(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Passes targets' reports on, many in one message."""

    reports: list[TargetReport]


class Known(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `Announce` and `Report`.

    Attributes:
        unknown: Targets that must announce themselves again.
        reason: Why an announcement was refused, or empty.
    """

    unknown: list[str]
    reason: str = ""


class AskStatus(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for one view that operators read.

    Attributes:
        view: `status`, `rules`, `history`, `keys`, `targets`, `models`,
            `voters` or `in_force`.
        version: For `in_force`: the version asked about.
    """

    view: str
    version: int = 0


class Status(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `AskStatus` with JSON."""

    body: bytes


class DrainTarget(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Operators ask for a target to get no new work, or to get it again."""

    name: str
    draining: bool


class Ping(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for a sign of life on this very connection."""


class Pong(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a `Ping`."""


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
    """One frame.

    Attributes:
        id: Above 0 for a request and its answer; 0 for a push.
        body: The message.
    """

    id: int
    body: Message


# Frames of at least so many bytes are packed: reports of demand and tables of
# targets repeat names, and shrink to a third or less. Bytes between failure
# domains cost more than the few microseconds that this takes.
_PLAIN_BYTES = 200
_PACKING = 1
# The first byte of a packed frame; that of a plain one tells an array of two.
_PACKED = b"\x78"
# A packed frame that unpacks to more is none of ours.
_MOST_BYTES = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Returns a frame's bytes."""
    data = _encoder.encode(envelope)
    if len(data) < _PLAIN_BYTES:
        return data
    packed = zlib.compress(data, _PACKING)
    return packed if len(packed) < len(data) else data


def decode(data: bytes) -> Envelope:
    """Reads a frame; raises msgspec.DecodeError."""
    if data[:1] == _PACKED:
        data = _unpacked(data)
    return _decoder.decode(data)


def _unpacked(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, _MOST_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"bad packed frame: {error}") from error
    if not unpacker.eof:
        # Cut off, or so large that it is none of ours.
        raise msgspec.DecodeError("packed frame without its end")
    return plain
