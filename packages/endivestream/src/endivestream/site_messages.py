"""Messages between the entry hosts and the control hosts of a site.

An entry host serves callers' requests and decides on them by itself, from state
that the leader of the control hosts sends: configuration, table of targets,
list of entry hosts and team credit. `Renew` and `Renewed` are the heartbeat;
`News` is pushed.
"""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

from endivestream.connection import registry as registry_lib
from endivestream.request import stream_origins
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


class Demand(NamedTuple):
    """Demand for a model as counted on one entry host.

    Attributes:
        service: Name of the service.
        model: Name of the model.
        adapter: Name of the adapter, or empty.
        rate: Requests a second, averaged over the last seconds.
        waiting: Number of requests that wait because no target has loaded it.
        shortest_objective: Shortest objective of the waiting requests, in
            seconds; 0 if none.
        unserved_seconds: Seconds for which no request for the model has found a
            target.
    """

    service: str
    model: str
    adapter: str
    rate: float
    waiting: int
    shortest_objective: float
    unserved_seconds: float = 0.0


class BoundDemand(NamedTuple):
    """Resumed streams that wait for a model at the version that began them.

    Attributes:
        service: Name of the service.
        software: The software version.
        model: Name of the model.
        adapter: Name of the adapter, or empty.
        waiting: Number of waiting requests.
        shortest_objective: Their shortest objective, in seconds.
    """

    service: str
    software: str
    model: str
    adapter: str
    waiting: int
    shortest_objective: float


class Use(NamedTuple):
    """Requests of one entry host that a target is running for a model.

    Attributes:
        target: Id of the target.
        model: Name of the model.
        adapter: Name of the adapter, or empty.
        running: Number of requests running now.
        starting: Number of these that have not yet received a byte of an
            answer.
    """

    target: str
    model: str
    adapter: str
    running: int
    starting: int = 0


class Need(NamedTuple):
    """A team's credit as held and needed by an entry host.

    Attributes:
        team: Name of the team.
        returned: Credit that the host returns because demand has fallen.
        balance: Credit that the host still holds.
        wanted: Credit that the host needs in total.
    """

    team: str
    returned: float
    balance: float
    wanted: float


class Grant(NamedTuple):
    """A team's credit granted to an entry host, and when more is available.

    Attributes:
        team: Name of the team.
        credit: Credit to add to the host's balance.
        rate: Credit a second that the host may add by itself while it receives
            nothing from a leader.
        available_in: Seconds until the requested credit is available; 0 if it
            was granted.
        max_balance: Maximum credit that the host may hold; it returns the
            excess.
        usable_in: Seconds until the credit may be spent, and only by the
            request that it was requested for.
        retry_after: Seconds after which a refused caller should retry.
    """

    team: str
    credit: float
    rate: float
    available_in: float
    max_balance: float = math.inf
    usable_in: float = 0.0
    retry_after: float = 0.0


class LoadingModel(NamedTuple):
    """A model that a target is loading.

    Attributes:
        model: Name of the model.
        seconds: Remaining load time in seconds, counted from when the planner
            sent it.
    """

    model: str
    seconds: float


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A target as listed in the table that the leader sends to entry hosts.

    Attributes:
        registration: Newest registration of the target.
        unloading: Models about to be unloaded; they get no new requests.
        adapters: Loaded adapters as `MODEL/ADAPTER`, from the planner's own
            orders.
        reports_overdue: Whether the target's reports are overdue.
        loading: Models that the target is loading.
    """

    registration: registry_lib.Registration = msgspec.field(name="said")
    unloading: tuple[str, ...] = msgspec.field(default=(), name="closing")
    adapters: tuple[str, ...] = ()
    reports_overdue: bool = msgspec.field(default=False, name="silent")
    loading: tuple[LoadingModel, ...] = msgspec.field(default=(), name="coming")


class RateLimit(NamedTuple):
    """Rate limit that a target has reported for its requests.

    Attributes:
        target: Id of the target.
        started_at_ms: Start time of the target process that reported the limit.
        rate: Requests a second from all hosts together; None if the target no
            longer reports a limit.
        age: Seconds since the limit was reported.
    """

    target: str
    started_at_ms: int
    rate: float | None
    age: float


class Position(NamedTuple):
    """Version of a leader's table of targets.

    Attributes:
        term: Term of the leader.
        number: Version within the term; rises with each change.
    """

    term: int = 0
    number: int = 0


class QuarantineEntry(NamedTuple):
    """What the leader knows against requests with one key.

    Attributes:
        key: What the requests have in common.
        is_quarantined: Whether none of them is sent to a target. Otherwise the
            next end of a target process under one of them quarantines the key.
        seconds: Time until the quarantine ends.
    """

    key: str
    is_quarantined: bool
    seconds: float


class ListedRequest(NamedTuple):
    """A request of a caller under which target processes ended.

    Attributes:
        key: Its key at the leader.
        left: Seconds until the deadline that its caller states.
        ends: Number of processes that ended.
        proved: How many of these have certainly ended.
    """

    key: str
    left: float
    ends: int
    proved: int = 0


class QuarantineTable(msgspec.Struct, frozen=True, kw_only=True):
    """Suspects and quarantined keys: all, or those that have changed.

    Attributes:
        revision: Term of the leader and number of the change.
        entries: The keys.
        requests: Requests of callers that are sent only with a grant, or not at
            all.
        base: Revision that the update applies to; None if it is the whole
            table.
        removed: Keys that were in the table of the base and are not any more.
    """

    revision: Position
    entries: tuple[QuarantineEntry, ...] = ()
    requests: tuple[ListedRequest, ...] = ()
    base: Position | None = None
    removed: tuple[str, ...] = ()


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
    """

    position: Position
    base_position: Position | None = msgspec.field(name="after")
    complete: bool = True
    targets: tuple[Target, ...] = ()
    removed_targets: tuple[str, ...] = msgspec.field(default=(), name="gone")
    entries: tuple[EntryHost, ...] | None = None
    document: document_lib.Document | None = None
    limits: tuple[RateLimit, ...] = ()
    evacuations: evacuations_lib.EvacuationRecord | None = None
    quarantine: QuarantineTable | None = None


class OpenRequest(NamedTuple):
    """A request of a caller that was open at a process.

    Attributes:
        content: Digest of its content.
        left: Seconds until the deadline that its caller states.
        open_seconds: For how many seconds it had been open; the shortest time
            of several attempts.
        attempts: Names of the attempts at it that were granted.
        is_shared: Whether the host has answers to other requests with the
            content.
    """

    content: str
    left: float
    open_seconds: float = 0.0
    attempts: tuple[str, ...] = ()
    is_shared: bool = False


class ProcessEnded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entry host's report that a target process has ended.

    Attributes:
        host: Name of the entry host.
        target: Id of the target.
        started_at_ms: Start time of the process.
        open_seconds: Keys of this host's requests that were open there, and for
            how many seconds; the shortest time of several.
        sends: How many requests this host has sent with these parts of prompts.
        seconds_ago: How long ago the process ended.
        requests: The requests that were open there.
        is_proved: Whether the process has certainly ended. Otherwise its next
            reports decide.
    """

    host: str
    target: str
    started_at_ms: int = msgspec.field(name="born")
    open_seconds: dict[str, float] = msgspec.field(default_factory=dict)
    sends: dict[str, int] = msgspec.field(default_factory=dict)
    seconds_ago: float = 0.0
    requests: tuple[OpenRequest, ...] = ()
    is_proved: bool = True


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
    """

    host: EntryHost
    version: int
    position: Position
    demand: tuple[Demand, ...] = ()
    uses: tuple[Use, ...] = ()
    needs: tuple[Need, ...] = ()
    failing: tuple[str, ...] = ()
    relay: str = ""
    controls: int = 0
    limits: tuple[RateLimit, ...] = ()
    evacuations: int = -1
    bound_demand: tuple[BoundDemand, ...] = ()
    quarantine: Position = Position()
    quarantined: tuple[QuarantineEntry, ...] = ()
    ends: tuple[ProcessEnded, ...] = ()
    listed_requests: tuple[ListedRequest, ...] = ()
    answered: tuple[str, ...] = ()


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
    grants: tuple[Grant, ...] = ()
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


class Follow(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests an entry host to relay the leader's pushes for some seconds.

    Attributes:
        host: Name of the requesting host.
    """

    host: str


class Following(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Follow`.

    Attributes:
        relays: Whether the host forwards the leader's pushes to the requester.
    """

    relays: bool


class CreditRequest(NamedTuple):
    """Request for credit for one waiting request of a caller.

    Attributes:
        need: Credit of the team that the host holds and needs.
        timely_within: Seconds that the caller's request can wait and still be
            on time.
        max_wait_seconds: Maximum seconds that the caller's request can wait.
    """

    need: Need
    timely_within: float = 0.0
    max_wait_seconds: float = 0.0


class AskCredit(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests credit immediately, for waiting requests of callers.

    Attributes:
        host: Name of the requesting host.
        credit_requests: Credit needed by each waiting request.
    """

    host: str
    credit_requests: tuple[CreditRequest, ...] = msgspec.field(name="asked")


class GiveCredit(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskCredit`.

    Attributes:
        grants: One grant for each entry of `credit_requests`, in the same
            order.
    """

    grants: tuple[Grant, ...]


class AskRepeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests one retry from a service's shared retry budget.

    Attributes:
        service: Name of the service.
    """

    service: str


class GiveRepeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskRepeat`.

    Attributes:
        granted: Whether the budget allows the retry.
    """

    granted: bool


class AskSend(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests permission for one send to a target that accepts few.

    Attributes:
        limit: Rate limit of the target, as last received by the requesting
            host; without a rate if it has reported none.
        max_wait_seconds: Seconds that the caller's request can wait.
        cold_rate: Requests a second that the target accepts because it is cold;
            None if it is not.
    """

    limit: RateLimit
    max_wait_seconds: float = msgspec.field(name="patience")
    cold_rate: float | None = None


class GiveSend(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskSend`.

    Attributes:
        send_in: Seconds after which the request may be sent; None if denied.
        retry_in: If denied, seconds after which to request permission again.
    """

    send_in: float | None = msgspec.field(default=None, name="wait")
    retry_in: float = msgspec.field(default=0.0, name="again")


class CountSend(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports an order or query sent to a target with a rate limit.

    Attributes:
        target: Id of the target.
    """

    target: str


class Missing(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports requests that wait for models or adapters not loaded anywhere.

    Attributes:
        host: Name of the reporting entry host.
        demand: Demand for the missing models and adapters.
        bound_demand: The same of resumed streams.
    """

    host: str
    demand: tuple[Demand, ...]
    bound_demand: tuple[BoundDemand, ...] = ()


class FeedDemand(msgspec.Struct, frozen=True, kw_only=True, tag="FedDemand"):
    """Planner feed item: demand and use reported by an entry host.

    Attributes:
        host: Name of the entry host.
        demand: Demand for models on that host.
        uses: Running requests of that host by target and model.
        failing: Targets that break the host's requests or leave them
            unanswered.
        bound_demand: Resumed streams of that host that wait for models.
    """

    host: str
    demand: tuple[Demand, ...]
    uses: tuple[Use, ...]
    failing: tuple[str, ...] = ()
    bound_demand: tuple[BoundDemand, ...] = ()


class FeedHostRemoved(msgspec.Struct, frozen=True, kw_only=True, tag="FedGone"):
    """Planner feed item: an entry host was removed.

    Attributes:
        host: Name of the entry host.
    """

    host: str


class FeedTargetReport(
    msgspec.Struct, frozen=True, kw_only=True, tag="FedReport"
):
    """Planner feed item: a target's own report.

    Attributes:
        registration: Newest registration of the target.
    """

    registration: registry_lib.Registration = msgspec.field(name="said")


class FeedTargets(msgspec.Struct, frozen=True, kw_only=True, tag="FedTargets"):
    """Planner feed item: the targets in the leader's table.

    Attributes:
        names: Ids of all targets.
        silent: Ids of the targets whose reports are overdue.
        complete: Whether every working target has reported to this leader.
    """

    names: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    complete: bool = False


class FeedRateLimits(
    msgspec.Struct, frozen=True, kw_only=True, tag="FedLimits"
):
    """Planner feed item: rate limits of targets.

    Attributes:
        rates: Requests a second, by id, of all targets that report a limit.
    """

    rates: dict[str, float]


PlannerFeedItem = (
    FeedDemand
    | FeedHostRemoved
    | FeedTargetReport
    | FeedTargets
    | FeedRateLimits
    | Missing
)


class AskSeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests the planner lease, or new planner feed items for its holder.

    Attributes:
        host: Name of the requesting control host.
        position: Position in the planner feed up to which the host has items.
    """

    host: str
    position: Position = Position()


class ToldSeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskSeat`.

    Attributes:
        holder: Name of the lease holder; the other fields are for that host
            only.
        fence: Fencing token of the holder's orders.
        seconds: Duration of the planner lease, from the sending of the request.
        wait: Seconds that the holder waits before its first order.
        position: Position in the planner feed after these items.
        is_complete_state: Whether the items are the complete state and not a
            change to it.
        items: Planner feed items.
    """

    holder: str
    fence: int = 0
    seconds: float = 0.0
    wait: float = 0.0
    position: Position = Position()
    is_complete_state: bool = msgspec.field(default=False, name="fresh")
    items: tuple[PlannerFeedItem, ...] = ()


class PlacementUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """Placement update: the planner's decision about a target.

    Attributes:
        target: Id of the target.
        number: Rises with each placement update of a lease holder.
        unloading: Models about to be unloaded.
        adapters: Loaded adapters as `MODEL/ADAPTER`.
        loading: Models that the target is loading.
    """

    target: str
    number: int = 0
    unloading: tuple[str, ...] = msgspec.field(default=(), name="closing")
    adapters: tuple[str, ...] = ()
    loading: tuple[LoadingModel, ...] = msgspec.field(default=(), name="coming")


class TellNotices(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Sends placement updates to the leader; answered by `Registered`.

    Attributes:
        fence: Fencing token of the lease holder that made the decisions.
        placement_updates: One placement update for each target concerned.
    """

    fence: int
    placement_updates: tuple[PlacementUpdate, ...] = msgspec.field(
        name="notices"
    )


class PrefillSample(NamedTuple):
    """How long an engine took until the first event of an answer.

    Attributes:
        tokens: Length of the prompt in tokens.
        seconds: Seconds from sending the request to the first event.
    """

    tokens: float
    seconds: float


class AskTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests a prefill turn from an engine's turn owner.

    Attributes:
        target: Id of the engine.
        tokens: Length of the prompt in tokens.
        rank: Urgency of the request; 0 is the most urgent.
        samples: What the host has seen of the engine since its last request.
    """

    target: str
    tokens: float
    rank: int
    samples: tuple[PrefillSample, ...] = ()


class GiveTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskTurn`.

    Attributes:
        seconds: Seconds to wait before sending the prompt.
    """

    seconds: float


class OriginRecord(NamedTuple):
    """Where a stream of a caller began.

    Attributes:
        attempt: Attempt of the caller that received the first event.
        origin: Where it began.
        seconds: Seconds for which the record is kept.
    """

    attempt: str
    origin: stream_origins.StreamOrigin
    seconds: float


class RecordOrigins(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Sends copies of records to a holder.

    Attributes:
        records: The records.
    """

    records: tuple[OriginRecord, ...]


class OriginsRecorded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `RecordOrigins`, if it was sent as a request."""


class FindOrigin(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks an entry host where the stream of an attempt began.

    Attributes:
        attempt: The attempt that received the first event.
    """

    attempt: str


class OriginFound(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `FindOrigin`.

    Attributes:
        origin: Where the stream began; None if the host has no record.
    """

    origin: stream_origins.StreamOrigin | None = None


class AskSoftware(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the leader which software versions targets of a service have had.

    Attributes:
        service: Name of the service.
        seconds: Time up to now that the question is about.
    """

    service: str
    seconds: float


class ToldSoftware(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskSoftware`.

    Attributes:
        versions: The versions; None among them for targets that name none.
        is_complete: Whether the leader has known all targets in that time.
    """

    versions: tuple[str | None, ...] = ()
    is_complete: bool = False


class Apply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Forwards an operator's configuration from a control host to the leader.

    Attributes:
        document: The configuration.
    """

    document: document_lib.Document


class Applied(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `Apply`.

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
    position: Position
    evacuations: int = -1


class EvidenceRecorded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `ProcessEnded` and `Answered`.

    What follows from the evidence has been pushed.
    """


class AskTrial(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entry host's request to send one request with a quarantined key.

    Attributes:
        key: The key.
    """

    key: str


class AskAttempt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entry host's request to send a request under which targets have ended.

    Attributes:
        request: The caller's request.
        attempt: Name of the attempt, unique over all hosts.
    """

    request: OpenRequest
    attempt: str


class GiveAttempt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskAttempt`.

    Attributes:
        is_granted: Whether the attempt may be sent.
        key: The leader's key of the request; empty if it has no evidence.
    """

    is_granted: bool
    key: str = ""


class HoldAttempts(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports attempts that were sent before the leader listed their request.

    They count as granted.

    Attributes:
        attempts: Key of the request, as the leader lists it, and name of the
            attempt.
    """

    attempts: tuple[tuple[str, str], ...]


class ReleaseAttempt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports that no target can end under a granted attempt.

    Attributes:
        key: Key of the request, as the leader lists it.
        attempt: Name of the attempt.
    """

    key: str
    attempt: str


class GiveTrial(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskTrial`.

    Attributes:
        is_granted: Whether the request may be sent, once.
    """

    is_granted: bool


class ReadQuarantine(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests the suspects and quarantined keys."""


class QuarantineRead(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `ReadQuarantine` and `SetQuarantine`.

    Attributes:
        entries: All suspects and quarantined keys.
    """

    entries: tuple[QuarantineEntry, ...]


class SetQuarantine(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Operator's decision on a key.

    Attributes:
        key: The key.
        is_quarantined: Whether to quarantine it; otherwise all evidence against
            it is dropped.
    """

    key: str
    is_quarantined: bool


class Answered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entry host's report of keys whose requests targets have answered.

    Attributes:
        host: Name of the entry host.
        keys: Suspected or quarantined keys.
    """

    host: str
    keys: tuple[str, ...]


class ReadDocument(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests the configuration as the operator sent it."""


class DocumentRead(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `ReadDocument`.

    Attributes:
        source: Source of the configuration; empty if there is none yet.
    """

    source: bytes


Message = (
    Renew
    | Renewed
    | Loads
    | Follow
    | Following
    | News
    | AskCredit
    | GiveCredit
    | AskRepeat
    | GiveRepeat
    | AskSend
    | GiveSend
    | CountSend
    | Missing
    | AskSeat
    | ToldSeat
    | TellNotices
    | AskTurn
    | GiveTurn
    | RecordOrigins
    | OriginsRecorded
    | FindOrigin
    | OriginFound
    | AskSoftware
    | ToldSoftware
    | Apply
    | Applied
    | Register
    | Deregister
    | Registered
    | AskVersion
    | ToldVersion
    | Confirm
    | ProcessEnded
    | EvidenceRecorded
    | Answered
    | ReadQuarantine
    | QuarantineRead
    | SetQuarantine
    | AskTrial
    | AskAttempt
    | GiveAttempt
    | HoldAttempts
    | ReleaseAttempt
    | GiveTrial
    | ReadDocument
    | DocumentRead
    | ReadEvacuations
    | Evacuate
    | EvacuationsRead
)
