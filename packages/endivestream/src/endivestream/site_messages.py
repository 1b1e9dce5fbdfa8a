"""Messages between entry hosts and the control hosts of a site.

An entry host carries callers' requests and decides alone; the leader among the
control hosts tells it what holds: configuration, targets, other entry hosts,
credit. `Renew` and `Renewed` are the heartbeat of that; `News` is pushed.
"""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

from endivestream.connection import registry as registry_lib
from endivestream.version import document as document_lib


class EntryHost(NamedTuple):
    """An entry host, as others see it.

    Attributes:
        name: Unique among hosts.
        incarnation: Rises with each start of the process.
        domain: Its failure domain.
        address: `IP:PORT` where callers connect.
        draining: Whether it takes no new callers.
        peers: `tcp://IP:PORT` where it answers other entry hosts, or empty.
    """

    name: str
    incarnation: int
    domain: str
    address: str
    draining: bool
    peers: str = ""


class Demand(NamedTuple):
    """How often a model is asked for on one entry host.

    Attributes:
        service: The service.
        model: The model.
        adapter: The adapter, or empty.
        rate: Requests a second, averaged over the last seconds.
        waiting: Requests that wait because no target holds it.
        urgency: Least objective among the waiting, in seconds; 0 if none.
        unserved: For how many seconds no request for it has found a target.
    """

    service: str
    model: str
    adapter: str
    rate: float
    waiting: int
    urgency: float
    unserved: float = 0.0


class Use(NamedTuple):
    """Requests of one entry host that run on a target for a model.

    Attributes:
        target: The target's id.
        model: The model.
        adapter: The adapter, or empty.
        running: How many run now.
        starting: How many of these have had no byte of an answer yet.
    """

    target: str
    model: str
    adapter: str
    running: int
    starting: int = 0


class Need(NamedTuple):
    """Credit that an entry host asks for.

    Attributes:
        team: The team.
        returned: Credit given back, because demand has fallen.
        balance: Credit still held.
        wanted: Credit it would like to hold.
    """

    team: str
    returned: float
    balance: float
    wanted: float


class Grant(NamedTuple):
    """Credit given to an entry host, and when more can be had.

    Attributes:
        team: The team.
        credit: Credit to add to what is held.
        rate: Credit a second that the host may count on by itself while it
            hears from no leader.
        short: Seconds until as much as was wanted can be given; 0 if it was.
        most: The most that the host may hold; it returns the rest.
        after: Seconds until the credit may be spent, by the request that
            asked for it and no other.
        told: Seconds after which a refused caller should come back.
    """

    team: str
    credit: float
    rate: float
    short: float
    most: float = math.inf
    after: float = 0.0
    told: float = 0.0


class Coming(NamedTuple):
    """A model that a target is about to hold.

    Attributes:
        model: The model.
        seconds: How long it will still take, from when this was said.
    """

    model: str
    seconds: float


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A target, as entry hosts are told of it.

    Attributes:
        said: Its newest registration.
        closing: Models that it is about to unload: no new requests for them.
        adapters: `MODEL/ADAPTER` that it holds, by the planner's own orders.
        silent: Whether it has not reported for longer than it should.
        coming: Models that it is loading.
    """

    said: registry_lib.Registration
    closing: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    silent: bool = False
    coming: tuple[Coming, ...] = ()


class RateLimit(NamedTuple):
    """What a target has said of the requests that it takes.

    Attributes:
        target: The target's id.
        born: The start of the target that said it.
        rate: Requests a second from all hosts together; None if it names no
            limit any more.
        age: Seconds since it said so.
    """

    target: str
    born: int
    rate: float | None
    age: float


class Position(NamedTuple):
    """Which state of a leader's table a host has.

    Attributes:
        term: The leader's term.
        number: Rises with each change in that term.
    """

    term: int = 0
    number: int = 0


class News(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What is different at the leader; pushed, or part of `Renewed`.

    Attributes:
        position: The table's state after this.
        after: The state that this builds on; None if it is the whole table.
        complete: Whether targets that are not named in a whole table are
            gone. A new leader has not heard of all yet.
        targets: Targets that are new or different.
        gone: Targets that are gone.
        entries: All entry hosts, or None if they are the same.
        document: The configuration, or None if it is the same.
        limits: What is known of the limits of these targets.
    """

    position: Position
    after: Position | None
    complete: bool = True
    targets: tuple[Target, ...] = ()
    gone: tuple[str, ...] = ()
    entries: tuple[EntryHost, ...] | None = None
    document: document_lib.Document | None = None
    limits: tuple[RateLimit, ...] = ()


class Renew(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An entry host's heartbeat.

    Attributes:
        host: Who asks.
        version: The configuration that it has; 0 for none.
        position: The table that it has.
        demand: What was asked for since the last report.
        uses: What runs where.
        needs: Credit of teams.
        failing: Targets that break this host's requests or leave them
            unanswered.
        relay: Name of the relay that this host follows; empty if the leader
            pushes to it directly.
        controls: Digest of the control hosts that a leader last named to it.
        limits: Limits of targets that the leader may not know: all that this
            host knows, if it has just found the leader.
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


class Renewed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `Renew`.

    Attributes:
        seconds: How long the configuration may be acted on, from the sending
            of the question.
        version: The version in force.
        news: What the host lacks, or None.
        grants: Credit.
        controls: Where control hosts listen; empty if the host's digest
            matches.
        loads: Requests that other entry hosts have running, by target; None
            if the host receives them through a relay.
        every: Seconds between renewals; 0 for the host's own setting.
    """

    seconds: float
    version: int
    news: News | None = None
    grants: tuple[Grant, ...] = ()
    controls: tuple[str, ...] = ()
    loads: dict[str, int] | None = None
    every: float = 0.0


class Loads(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Loads of all targets; pushed to relays, which forward them.

    Attributes:
        loads: Requests that all entry hosts have running, by target; those
            whose prompts are still being read count twice.
    """

    loads: dict[str, int]


class Follow(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks an entry host to relay the leader's pushes for some seconds.

    Attributes:
        host: The asking host's name.
    """

    host: str


class Following(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `Follow`.

    Attributes:
        relays: Whether the host forwards the leader's pushes to the asker.
    """

    relays: bool


class CreditAsk(NamedTuple):
    """Credit for one request that waits for it.

    Attributes:
        need: What is needed.
        soon: Seconds that the request can wait and still be in time.
        patience: Seconds that it can wait at all.
    """

    need: Need
    soon: float = 0.0
    patience: float = 0.0


class AskCredit(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for credit at once, for requests that wait for it.

    Attributes:
        host: The asking host's name.
        asked: What each needs.
    """

    host: str
    asked: tuple[CreditAsk, ...]


class GiveCredit(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `AskCredit`, a grant for each question."""

    grants: tuple[Grant, ...]


class AskRepeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for one repeat from a service's shared repeat budget."""

    service: str


class GiveRepeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `AskRepeat`."""

    granted: bool


class AskSend(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for one send to a target that names a limit.

    Attributes:
        limit: The target's limit, as the asking host knows it.
        patience: Seconds for which the request can wait.
    """

    limit: RateLimit
    patience: float


class GiveSend(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `AskSend`.

    Attributes:
        wait: Seconds after which the request may be sent; None if it may not.
        again: If not, seconds after which to ask again.
    """

    wait: float | None = None
    again: float = 0.0


class CountSend(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tells of an order or question that was sent to a target with a limit."""

    target: str


class Missing(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests wait for models or adapters that no target holds.

    Attributes:
        host: The host that has them.
        demand: What is missing.
    """

    host: str
    demand: tuple[Demand, ...]


class FedDemand(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What an entry host counts, for the host that places models.

    Attributes:
        host: The entry host.
        demand: What is asked for.
        uses: What runs where.
        failing: Targets that fail it.
    """

    host: str
    demand: tuple[Demand, ...]
    uses: tuple[Use, ...]
    failing: tuple[str, ...] = ()


class FedGone(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An entry host is gone."""

    host: str


class FedReport(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A target's own report."""

    said: registry_lib.Registration


class FedTargets(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Which targets there are.

    Attributes:
        names: All of them.
        silent: Those that miss reports.
        complete: Whether every sound one has been heard of.
    """

    names: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    complete: bool = False


class FedLimits(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests a second of all targets that name a limit."""

    rates: dict[str, float]


Fed = FedDemand | FedGone | FedReport | FedTargets | FedLimits | Missing


class AskSeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A control host asks to place models, or for what is new.

    Attributes:
        host: The asking machine.
        position: Up to where it has the feed.
    """

    host: str
    position: Position = Position()


class ToldSeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `AskSeat`.

    Attributes:
        holder: Who holds the seat; all else is for that host.
        fence: The fencing token of its orders.
        seconds: How long it may order, from the sending of the question.
        wait: Seconds before its first order.
        position: Up to where it has the feed after this.
        fresh: Whether the items are the whole, not what is new.
        items: What it should know.
    """

    holder: str
    fence: int = 0
    seconds: float = 0.0
    wait: float = 0.0
    position: Position = Position()
    fresh: bool = False
    items: tuple[Fed, ...] = ()


class Notice(msgspec.Struct, frozen=True, kw_only=True):
    """What the host that places models says of a target.

    Attributes:
        target: The target.
        number: Rises with each notice of a holder.
        closing: Models that it is about to unload.
        adapters: `MODEL/ADAPTER` that it holds.
        coming: Models that it is loading.
    """

    target: str
    number: int = 0
    closing: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    coming: tuple[Coming, ...] = ()


class TellNotices(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tells the leader what was decided; answered by `Registered`.

    Attributes:
        fence: The fencing token of who decided it.
        notices: One for each target concerned.
    """

    fence: int
    notices: tuple[Notice, ...]


class AskTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An entry host asks the owner of an engine when to send a prompt.

    Attributes:
        target: The engine.
        tokens: How long the prompt is.
        rank: 0 for the most urgent.
    """

    target: str
    tokens: float
    rank: int


class GiveTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `AskTurn`: how many seconds to wait."""

    seconds: float


class Apply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A control host passes an operator's document on to the leader."""

    document: document_lib.Document


class Applied(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `Apply`: the version in force."""

    version: int


class Register(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A control host passes a target's report on to the leader."""

    said: registry_lib.Registration


class Deregister(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A control host passes a target's good-bye on to the leader."""

    name: str


class Registered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `Register` and `Deregister`: entry hosts have heard of it."""


class AskVersion(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An entry host asks which configuration is the newest."""


class ToldVersion(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `AskVersion`; 0 if there is none yet."""

    version: int


class Confirm(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An entry host acts on what it was told; not answered.

    Attributes:
        host: The host's name.
        version: The configuration in force there.
        position: The table that it has.
    """

    host: str
    version: int
    position: Position


class ReadDocument(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the leader for the configuration as the operator sent it."""


class DocumentRead(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers `ReadDocument`; `source` is empty if there is none yet."""

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
    | Apply
    | Applied
    | Register
    | Deregister
    | Registered
    | AskVersion
    | ToldVersion
    | Confirm
    | ReadDocument
    | DocumentRead
)
