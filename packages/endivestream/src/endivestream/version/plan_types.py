"""What planning goes by, and what it results in."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import NamedTuple

# A model that has not been served for so many seconds is loaded whatever its
# victims lose.
OVERDUE_SECONDS = 6.0


class Want(NamedTuple):
    """How much a model is asked for.

    Attributes:
        rate: Requests a second lately.
        waiting: Requests that wait for it.
        objective: Least objective of its requests, in seconds.
        unserved: For how long it has not been served, in seconds.
    """

    rate: float
    waiting: int
    objective: float
    unserved: float = 0.0

    @property
    def is_overdue(self) -> bool:
        """Whether it is loaded whatever its victims lose."""
        return self.waiting > 0 and self.unserved >= OVERDUE_SECONDS


class Place(NamedTuple):
    """One engine, as far as planning goes.

    Attributes:
        target: Its name.
        domain: Its failure domain.
        loaded: Models that it holds, without those being unloaded.
        coming: A model that is being loaded, or empty.
        busy: Whether an order is under way or in doubt.
        usable: Whether it may be given orders.
        in_memory: Models in its host memory, least recently used first.
        on_disk: Models on its disk, least recently used first.
        running: Requests that run there, by model.
        is_home: Whether a load is under way that only gives a model a home.
        is_overdue: Whether a load is under way of a model that was overdue.
        kept: Models that must not be displaced yet: they have just come, and
            those that were told to come back for them have not been served.
        rate_limit: Requests a second that it takes, if it names a limit.
    """

    target: str
    domain: str
    loaded: tuple[str, ...]
    coming: str
    busy: bool
    usable: bool
    in_memory: tuple[str, ...]
    on_disk: tuple[str, ...]
    running: Mapping[str, int]
    is_home: bool = False
    is_overdue: bool = False
    kept: frozenset[str] = frozenset()
    rate_limit: float | None = None

    @property
    def holds(self) -> tuple[str, ...]:
        """Models that it holds or will hold shortly."""
        return (*self.loaded, self.coming) if self.coming else self.loaded


class Step(NamedTuple):
    """Put a model on an engine, after taking others off.

    Attributes:
        target: The engine.
        model: The model to load.
        victims: Models to unload first.
        from_store: Whether the weights come from the store.
        reason: `overdue`, `missing`, `copy` or `home`, for the log.
        seconds: How long the load takes.
        wait: How long the victims' runs will still take, about.
        gain: Requests a second that gain by it.
        loss: Requests a second that the victims lose.
    """

    target: str
    model: str
    victims: tuple[str, ...]
    from_store: bool
    reason: str
    seconds: float
    wait: float
    gain: float
    loss: float


class Obstacle(enum.StrEnum):
    """Why a model that requests wait for is not loaded in a round."""

    ENGINES_BUSY = "engines_busy"
    ENGINES_KEPT = "engines_kept"
    STORE_RATE = "store_rate"
    HOME_BUSY = "home_busy"
    DISPLACES_MORE = "displaces_more"


class Unplaced(NamedTuple):
    """A model that requests wait for and that no step loads.

    Attributes:
        model: The model.
        obstacle: Why not.
        waiting: Requests that wait for it.
        gain: Requests a second that would gain by it.
        loss: What its cheapest step's victims lose; 0 if there is no step.
    """

    model: str
    obstacle: Obstacle
    waiting: int
    gain: float
    loss: float


class Round(NamedTuple):
    """The result of one round of planning.

    Attributes:
        steps: What to begin now, at most one step for an engine.
        unplaced: What requests wait for and no step loads.
    """

    steps: list[Step]
    unplaced: list[Unplaced]
