"""Input and output types of the model placement planner."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import NamedTuple

# A model with waiting requests that has been unserved for this long is loaded
# regardless of the loss of its victims.
OVERDUE_SECONDS = 6.0


class WaitingGroup(NamedTuple):
    """Requests that wait for a model and have the same needs.

    Attributes:
        count: Number of requests.
        rank: Their urgency; 0 is the most urgent.
        objective_seconds: Time left of their objective, in seconds.
        patience_seconds: Time for which their callers still wait, in seconds.
    """

    count: int
    rank: int
    objective_seconds: float
    patience_seconds: float


class ModelDemand(NamedTuple):
    """Demand for one model.

    Attributes:
        rate: Recent requests per second.
        waiting: Number of requests that wait for the model.
        objective_seconds: Shortest objective of its requests, in seconds.
        unserved_seconds: Time since the model was last served, in seconds.
        rank: Most urgent rank of its requests.
        run_seconds: Mean run time of its requests; 0 if unknown.
        groups: The waiting requests by their needs; empty if unknown.
    """

    rate: float
    waiting: int
    objective_seconds: float
    unserved_seconds: float = 0.0
    rank: int = 0
    run_seconds: float = 0.0
    groups: tuple[WaitingGroup, ...] = ()

    @property
    def is_overdue(self) -> bool:
        """Whether to load the model regardless of the loss of its victims."""
        return self.waiting > 0 and self.unserved_seconds >= OVERDUE_SECONDS


class BoundModel(NamedTuple):
    """A model that resumed streams need at one software version.

    Attributes:
        software: The software version that began them.
        model: The model.
        waiting: Number of streams that wait for it.
        objective_seconds: Shortest objective of these, in seconds.
    """

    software: str
    model: str
    waiting: int
    objective_seconds: float


class EngineState(NamedTuple):
    """State of one engine, as the planner needs it.

    Attributes:
        target: Name of the engine.
        domain: Its failure domain.
        loaded: Models that it holds, without those being unloaded.
        loading: The model that is being loaded, or empty.
        busy: Whether an order is in progress or has an unknown outcome.
        usable: Whether it may be given orders.
        in_memory: Models in its host memory, least recently used first.
        on_disk: Models on its disk, least recently used first.
        running: Number of running requests by model.
        is_disk_copy_load: Whether a load is in progress that only puts a model
            on the disk.
        is_overdue: Whether an overdue model is being loaded.
        protected: Models that must not be displaced yet: they were loaded
            recently, and the callers that got a retry response for them have
            not been served.
        rate_limit: Requests per second that it accepts; None if it reports no
            limit.
        software: Version of its software; None if it names none.
        busy_seconds: Time until the order in progress is expected to end.
        is_suspect: Whether an entry host reports the engine as failing.
    """

    target: str
    domain: str
    loaded: tuple[str, ...]
    loading: str
    busy: bool
    usable: bool
    in_memory: tuple[str, ...]
    on_disk: tuple[str, ...]
    running: Mapping[str, int]
    is_disk_copy_load: bool = False
    is_overdue: bool = False
    protected: frozenset[str] = frozenset()
    rate_limit: float | None = None
    software: str | None = None
    busy_seconds: float = 0.0
    is_suspect: bool = False

    @property
    def loaded_or_loading(self) -> tuple[str, ...]:
        """Models that it holds, and the one that is being loaded."""
        return (*self.loaded, self.loading) if self.loading else self.loaded


class Step(NamedTuple):
    """Loads a model on an engine after unloading others.

    Attributes:
        target: Name of the engine.
        model: The model to load.
        victims: Models to unload first.
        from_store: Whether the weights come from the weight store.
        reason: `bound`, `overdue`, `missing`, `copy` or `home`, for the log;
            `bound` is a load for resumed streams at their software version,
            `home` is a load that puts a model on a disk while no requests wait.
        load_seconds: Duration of the load.
        victim_run_seconds: Estimated time until the running requests of the
            victims end, in seconds.
        gain: Gain of the step, in requests per second.
        loss: Loss of the victims, in requests per second.
    """

    target: str
    model: str
    victims: tuple[str, ...]
    from_store: bool
    reason: str
    load_seconds: float
    victim_run_seconds: float
    gain: float
    loss: float


class Obstacle(enum.StrEnum):
    """Why a model with waiting requests is not loaded in a round.

    The values are written to the log.
    """

    ENGINES_BUSY = "engines_busy"
    ENGINES_RESERVED = "engines_kept"
    STORE_RATE = "store_rate"
    DISK_COPY_BUSY = "home_busy"
    LOSS_EXCEEDS_GAIN = "displaces_more"


class Unplaced(NamedTuple):
    """A model with waiting requests that no step loads.

    Attributes:
        model: The model.
        obstacle: Why it is not loaded.
        waiting: Number of requests that wait for it.
        gain: Gain of loading it, in requests per second.
        loss: Loss of the victims of the step with the lowest cost, in requests
            per second; 0 if there is no step.
    """

    model: str
    obstacle: Obstacle
    waiting: int
    gain: float
    loss: float


class PlanResult(NamedTuple):
    """Result of one round of planning.

    Attributes:
        steps: Steps to start now, at most one for each engine.
        unplaced: Models with waiting requests that no step loads.
    """

    steps: list[Step]
    unplaced: list[Unplaced]
