"""Messages about the demand for models and their placement."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from endivestream import table_position
from endivestream.connection import registry as registry_lib


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


class SlotDemand(msgspec.Struct, frozen=True, array_like=True):
    """What else the planner needs to know where engines have few slots.

    It is not part of `Demand`, which is a `NamedTuple`: hosts of an earlier
    build refuse one with more elements.

    Attributes:
        service: Name of the service.
        model: Name of the model.
        adapter: Name of the adapter, or empty.
        rank: Most urgent rank of its requests.
        patience_seconds: Longest time for which one of the waiting callers
            still waits; 0 if unknown.
        run_seconds: Mean run time of the host's requests; 0 if unknown.
    """

    service: str
    model: str
    adapter: str
    rank: int = 0
    patience_seconds: float = 0.0
    run_seconds: float = 0.0


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


class LoadingModel(NamedTuple):
    """A model that a target is loading.

    Attributes:
        model: Name of the model.
        seconds: Remaining load time in seconds, counted from when the planner
            sent it.
    """

    model: str
    seconds: float


class Missing(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports requests that wait for models or adapters not loaded anywhere.

    Attributes:
        host: Name of the reporting entry host.
        demand: Demand for the missing models and adapters.
        bound_demand: The same of resumed streams.
        slot_demand: More on the demand at slot-bound services.
    """

    host: str
    demand: tuple[Demand, ...]
    bound_demand: tuple[BoundDemand, ...] = ()
    slot_demand: tuple[SlotDemand, ...] = ()


class FeedDemand(msgspec.Struct, frozen=True, kw_only=True, tag="FedDemand"):
    """Planner feed item: demand and use reported by an entry host.

    Attributes:
        host: Name of the entry host.
        demand: Demand for models on that host.
        uses: Running requests of that host by target and model.
        failing: Targets that break the host's requests or leave them
            unanswered.
        bound_demand: Resumed streams of that host that wait for models.
        slot_demand: More on the demand at slot-bound services.
    """

    host: str
    demand: tuple[Demand, ...]
    uses: tuple[Use, ...]
    failing: tuple[str, ...] = ()
    bound_demand: tuple[BoundDemand, ...] = ()
    slot_demand: tuple[SlotDemand, ...] = ()


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
    position: table_position.Position = table_position.Position()


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
    position: table_position.Position = table_position.Position()
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
