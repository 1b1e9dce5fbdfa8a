"""What a host asks the owner of an engine's queue, and the answers."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple


class SlotQuestion(NamedTuple):
    """A request for a slot, with the prefill turn.

    Attributes:
        target: Id of the engine.
        domain: Failure domain of the engine.
        tokens: Length of the prompt in tokens.
        rank: Urgency; 0 is the most urgent.
        slots: Number of slots of the engine.
        objective_seconds: Time within which a slot lets the request meet its
            objective.
        patience_seconds: Maximum time until the answer.
        deadline_seconds: Time until the request has ended.
        caller: What the attempts of a caller have in common.
        gap_seconds: Longest pause between events of its stream that counts as
            in time; 0 if it has none.
        has_other_copy: Whether another engine is asked if this one is not
            suited.
    """

    target: str
    domain: str
    tokens: float
    rank: int
    slots: int
    objective_seconds: float
    patience_seconds: float
    deadline_seconds: float
    caller: str
    gap_seconds: float = 0.0
    has_other_copy: bool = False


class Slot(NamedTuple):
    """A slot that a request holds, or waits for.

    Attributes:
        target: Id of the engine.
        request: Id of the attempt, unique among all hosts; empty for a slot
            that is used without an owner's answer.
        owner: Address of the host that keeps the queue; empty for this host.
        next_owner: Address of the host that stands in for it, empty for this
            host; None if there is none.
        slots: Number of slots of the engine.
    """

    target: str
    request: str
    owner: str
    next_owner: str | None = None
    slots: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """The request holds a slot; its prefill turn is in some seconds."""

    slot: Slot
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Full:
    """The engine has no slot in time; one is expected in some seconds."""

    retry_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unwanted:
    """The request may no longer use the engine and waits no longer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unanswered:
    """No owner of the queue has answered."""


SlotAnswer = Granted | Full | Unwanted | Unanswered
