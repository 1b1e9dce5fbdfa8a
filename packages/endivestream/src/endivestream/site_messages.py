"""Messages between the entry hosts and the control hosts of a site.

An entry host serves callers' requests and decides on them by itself, from state
that the leader of the control hosts sends: configuration, table of targets,
list of entry hosts and team credit. `Renew` and `Renewed` are the heartbeat;
`News` is pushed.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from endivestream import limit_messages
from endivestream import peer_messages
from endivestream import placement_messages
from endivestream import quarantine_messages
from endivestream import report_messages
from endivestream import table_position
from endivestream.connection import registry as registry_lib
from endivestream.version import document as document_lib
from endivestream.version import evacuations as evacuations_lib


class EntryHost(NamedTuple):
    """An entry host as listed in the leader's table.

    Attributes:
        name: Name, unique among hosts.
        incarnation: Number of this process start; rises with each start.
        domain: Failure domain of the host.
        address: `IP:PORT` where callers connect.
        draining: Whether the host accepts no new callers.
        peers: `tcp://IP:PORT` where the host answers other entry hosts, or
            empty.
    """

    name: str
    incarnation: int
    domain: str
    address: str
    draining: bool
    peers: str = ""


class HostReport(msgspec.Struct, frozen=True, array_like=True):
    """What an entry host has, and how much of it is in use.

    It is not part of `EntryHost`, which is a `NamedTuple`: hosts of an earlier
    build cannot decode one with more fields. Further fields of this one are
    ignored by those that do not have them.

    Attributes:
        host: Name of the host.
        cores: Processor share, in cores; 0 if not stated.
        memory_mb: Memory in megabytes; 0 if not stated.
        descriptors: Maximum number of file descriptors; 0 if not stated.
        link_mbps: Bandwidth in megabits a second; 0 if not stated.
        processor: Used share of the cores, rounded.
        memory: Used share of the memory, rounded.
        open_descriptors: Used share of the descriptors, rounded.
        link: Used share of the bandwidth, rounded.
        streams: Requests in progress when the report was made.
        share_factor: Part of its share of callers that the host takes; 0 near a
            limit.
    """

    host: str
    cores: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0
    link_mbps: float = 0.0
    processor: float = 0.0
    memory: float = 0.0
    open_descriptors: float = 0.0
    link: float = 0.0
    streams: int = 0
    share_factor: float = 1.0


class Target(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A target as listed in the table that the leader sends to entry hosts.

    Attributes:
        registration: Newest registration of the target.
        unloading: Models about to be unloaded; they get no new requests.
        adapters: Loaded adapters as `MODEL/ADAPTER`, from the planner's own
            orders.
        reports_overdue: Whether the target's reports are overdue.
        loading: Models that the target is loading.
        is_unrecorded: Whether the log lacks its software version, so that no
            resumable stream may be sent to it.
    """

    registration: registry_lib.Registration = msgspec.field(name="said")
    unloading: tuple[str, ...] = msgspec.field(default=(), name="closing")
    adapters: tuple[str, ...] = ()
    reports_overdue: bool = msgspec.field(default=False, name="silent")
    loading: tuple[placement_messages.LoadingModel, ...] = msgspec.field(
        default=(), name="coming"
    )
    is_unrecorded: bool = msgspec.field(default=False, name="unrecorded")


class News(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Table update from the leader; pushed, or sent as part of `Renewed`.

    Attributes:
        position: Version of the table after this update.
        base_position: Version that the update applies to; None if it holds the
            complete table.
        complete: For a complete table, whether targets missing from it are
            removed. False while a new leader may not have received reports of
            all targets.
        targets: New and changed targets.
        removed_targets: Ids of removed targets.
        entries: All entry hosts, or None if unchanged.
        document: The configuration, or None if unchanged.
        limits: Known rate limits of the targets in this update.
        evacuations: The evacuated failure domains, or None if unchanged.
        quarantine: The quarantined keys of requests, or None if unchanged.
        host_reports: New and changed reports of entry hosts.
    """

    position: table_position.Position
    base_position: table_position.Position | None = msgspec.field(name="after")
    complete: bool = True
    targets: tuple[Target, ...] = ()
    removed_targets: tuple[str, ...] = msgspec.field(default=(), name="gone")
    entries: tuple[EntryHost, ...] | None = None
    document: document_lib.Document | None = None
    limits: tuple[limit_messages.RateLimit, ...] = ()
    evacuations: evacuations_lib.EvacuationRecord | None = None
    quarantine: quarantine_messages.QuarantineTable | None = None
    host_reports: tuple[HostReport, ...] = ()


class Renew(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Heartbeat of an entry host; renews its configuration lease.

    Attributes:
        host: The sending host.
        version: Version of the host's configuration; 0 for none.
        position: Version of the host's table of targets.
        demand: Demand for models since the last report.
        uses: Running requests by target and model.
        needs: Credit of teams that the host holds and needs.
        failing: Targets that break this host's requests or leave them
            unanswered.
        relay: Name of the relay that forwards pushes to this host; empty if the
            leader pushes to it directly.
        controls: Digest of the addresses of control hosts that the host last
            received from a leader.
        limits: Rate limits that the leader may lack: all that this host has, if
            it has just found the leader.
        evacuations: Revision of the evacuations that the host applies; -1 if it
            has received none yet.
        bound_demand: Resumed streams that wait for models.
        quarantine: Revision of the quarantine that the host applies.
        quarantined: Quarantined keys that the leader may lack: all that this
            host has, if it has just found the leader.
        ends: Ends of target processes that the leader may lack: the latest that
            this host has observed, if it has just found the leader.
        listed_requests: Requests that the leader may lack, likewise.
        answered: Suspected keys whose requests targets have answered.
        slot_demand: More on the demand at slot-bound services.
        report: What the host has and uses; None if its settings state no
            resources.
    """

    host: EntryHost
    version: int
    position: table_position.Position
    demand: tuple[placement_messages.Demand, ...] = ()
    uses: tuple[placement_messages.Use, ...] = ()
    needs: tuple[limit_messages.Need, ...] = ()
    failing: tuple[str, ...] = ()
    relay: str = ""
    controls: int = 0
    limits: tuple[limit_messages.RateLimit, ...] = ()
    evacuations: int = -1
    bound_demand: tuple[placement_messages.BoundDemand, ...] = ()
    quarantine: table_position.Position = table_position.Position()
    quarantined: tuple[quarantine_messages.QuarantineEntry, ...] = ()
    ends: tuple[quarantine_messages.ProcessEnded, ...] = ()
    listed_requests: tuple[quarantine_messages.ListedRequest, ...] = ()
    answered: tuple[str, ...] = ()
    slot_demand: tuple[placement_messages.SlotDemand, ...] = ()
    report: HostReport | None = None


class Renewed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Renew`.

    Attributes:
        seconds: Duration of the configuration lease, from the sending of the
            `Renew`.
        version: Version of the configuration in force.
        table_update: Table update that the host lacks, or None.
        grants: Credit granted to the host.
        controls: Addresses of the control hosts; empty if the host's digest
            matches.
        loads: Requests that other entry hosts are running, by target; None if
            the host receives them through a relay.
        interval_seconds: Seconds between renewals; 0 for the host's own
            setting.
    """

    seconds: float
    version: int
    table_update: News | None = msgspec.field(default=None, name="news")
    grants: tuple[limit_messages.Grant, ...] = ()
    controls: tuple[str, ...] = ()
    loads: dict[str, int] | None = None
    interval_seconds: float = msgspec.field(default=0.0, name="every")


class Loads(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Load of all targets; pushed to relays, which forward it.

    Attributes:
        loads: Requests that all entry hosts are running, by target; requests
            whose prompts are still being read count twice.
    """

    loads: dict[str, int]


class AskSoftware(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the leader which software versions targets of a service have had.

    Attributes:
        service: Name of the service.
        seconds: Time up to now that the question is about.
        is_resumable: Whether it is about a stream of a resumable route. No such
            stream runs at a target whose version is not in the log, so the
            log suffices as an answer. False from hosts of earlier builds.
    """

    service: str
    seconds: float
    is_resumable: bool = False


class ToldSoftware(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskSoftware`.

    Attributes:
        versions: The versions; None among them for targets that name none.
        is_complete: Whether there was no other version in that time.
    """

    versions: tuple[str | None, ...] = ()
    is_complete: bool = False


class Apply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Forwards an operator's configuration from a control host to the leader.

    Attributes:
        document: The configuration.
    """

    document: document_lib.Document


class AwaitVersion(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Waits until a committed configuration is in force; see `Apply`.

    Attributes:
        version: Version of the configuration, which the sender's log contains.
    """

    version: int


class Applied(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Apply` and `AwaitVersion`.

    It is sent once the change may be acknowledged.

    Attributes:
        version: Version of the configuration in force.
    """

    version: int


class ReadEvacuations(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests the evacuated failure domains."""


class Evacuate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Forwards an operator's evacuation from a control host to the leader.

    Attributes:
        command: The start or end of an evacuation.
    """

    command: evacuations_lib.SetEvacuation


class EvacuationsRead(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `ReadEvacuations` and `Evacuate`.

    To an `Evacuate` it is sent once the change may be confirmed.

    Attributes:
        record: The evacuated failure domains.
    """

    record: evacuations_lib.EvacuationRecord


class Register(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Forwards a target's report from a control host to the leader.

    Attributes:
        registration: Registration that the target sent.
    """

    registration: registry_lib.Registration = msgspec.field(name="said")


class Deregister(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Forwards a target's deregistration from a control host to the leader.

    Attributes:
        name: Id of the target.
    """

    name: str


class Registered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Register`, `Deregister` and `TellNotices`.

    To a `Deregister` or a draining `Register` it is sent once entry hosts have
    received the change, or after a bounded time without that.
    """


class AskVersion(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entry host's request for the newest version of the configuration."""


class ToldVersion(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskVersion`.

    Attributes:
        version: Newest version of the configuration; 0 if there is none yet.
    """

    version: int


class Confirm(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports what is in force on an entry host; not answered.

    Attributes:
        host: Name of the entry host.
        version: Version of the configuration in force on it.
        position: Version of its table of targets.
        evacuations: Revision of the evacuations that it applies.
    """

    host: str
    version: int
    position: table_position.Position
    evacuations: int = -1


class ReadDocument(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests the configuration as the operator sent it."""


class DocumentRead(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `ReadDocument`.

    Attributes:
        source: Source of the configuration; empty if there is none yet.
    """

    source: bytes


class ReadTargets(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests the numbers of targets."""


class TargetsRead(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `ReadTargets`.

    Attributes:
        services: Number of targets that do not drain, by service; None while
            the leader may not know all of them.
    """

    services: dict[str, int] | None


Message = (
    Renew
    | Renewed
    | Loads
    | peer_messages.Follow
    | peer_messages.Following
    | News
    | limit_messages.AskCredit
    | limit_messages.GiveCredit
    | limit_messages.AskRepeat
    | limit_messages.GiveRepeat
    | limit_messages.AskHedge
    | limit_messages.GiveHedge
    | limit_messages.EndHedge
    | limit_messages.AskSend
    | limit_messages.GiveSend
    | limit_messages.CountSend
    | placement_messages.Missing
    | placement_messages.AskSeat
    | placement_messages.ToldSeat
    | placement_messages.TellNotices
    | peer_messages.AskTurn
    | peer_messages.GiveTurn
    | peer_messages.EndTurn
    | peer_messages.ClaimSlots
    | peer_messages.SlotsClaimed
    | peer_messages.RecordOrigins
    | peer_messages.OriginsRecorded
    | peer_messages.FindOrigin
    | peer_messages.OriginFound
    | AskSoftware
    | ToldSoftware
    | Apply
    | AwaitVersion
    | Applied
    | Register
    | Deregister
    | Registered
    | report_messages.RegisterAll
    | report_messages.RegisteredAll
    | AskVersion
    | ToldVersion
    | Confirm
    | quarantine_messages.ProcessEnded
    | quarantine_messages.EvidenceRecorded
    | quarantine_messages.Answered
    | quarantine_messages.ReadQuarantine
    | quarantine_messages.QuarantineRead
    | quarantine_messages.SetQuarantine
    | quarantine_messages.AskTrial
    | quarantine_messages.AskAttempt
    | quarantine_messages.GiveAttempt
    | quarantine_messages.HoldAttempts
    | quarantine_messages.ReleaseAttempt
    | quarantine_messages.GiveTrial
    | ReadDocument
    | DocumentRead
    | ReadTargets
    | TargetsRead
    | ReadEvacuations
    | Evacuate
    | EvacuationsRead
)
