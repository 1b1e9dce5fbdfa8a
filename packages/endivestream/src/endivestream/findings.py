"""Errors as values: findings with their place, failures with their outcome.

Nothing in the decision code raises for bad input. A parser collects every
`Finding` and hands them over together; a request that ends without its answer
ends with one `Failure`, which says whether the work may have run.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import difflib
import enum
from typing import Any
from typing import NamedTuple


class Place(NamedTuple):
    """Where in an input a finding was made.

    Attributes:
        source: File name, or a word such as `command line`.
        line: Line number from 1; 0 when the source has no lines.
        column: Column from 1; 0 when unknown.
    """

    source: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        parts = [self.source]
        if self.line:
            parts.append(str(self.line))
        if self.column:
            parts.append(str(self.column))
        return ":".join(parts)


class Finding(NamedTuple):
    """One fault in an input, with its place.

    Attributes:
        place: Where it stands.
        what: What is wrong, naming the offending value.
    """

    place: Place
    what: str

    def __str__(self) -> str:
        return f"{self.place}: {self.what}"


def unknown_word(kind: str, word: str, valid: Iterable[str]) -> str:
    """Says that `word` is not one of `valid`, with a near match if any.

    Args:
        kind: What the word should have named, such as `model`.
        word: The offending word.
        valid: The words that would have been right.

    Returns:
        A sentence for `Finding.what`.
    """
    choices = sorted(valid)
    text = f"unknown {kind} {word!r}"
    near = difflib.get_close_matches(word, choices, n=1)
    if near:
        text += f", did you mean {near[0]!r}?"
    shown = ", ".join(choices[:12]) or "none are defined"
    if len(choices) > 12:
        shown += f", and {len(choices) - 12} more"
    return f"{text}; valid: {shown}"


class Outcome(enum.StrEnum):
    """What a caller may conclude about the work behind a failed request.

    `NOT_RUN` is said only when it is proved: no byte of the request left for
    a target. `UNKNOWN` means that the work may have run. `FAILED` means that
    it ran and did not end well.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """Why a request ended without its answer.

    Attributes:
        outcome: Whether the work may have run.
        reason: A short fixed word, such as `over_rate`; see docs/CALLERS.md.
        detail: A sentence for a person.
        status: The HTTP status to answer with.
        retry_after: Seconds after which to come back; None when coming back
            would not help.
    """

    outcome: Outcome
    reason: str
    detail: str
    status: int
    retry_after: float | None = None

    def as_json(self) -> dict[str, Any]:
        """Returns the error object of the inference interface."""
        error: dict[str, Any] = {
            "message": self.detail,
            "type": self.reason,
            "code": self.reason,
            "param": None,
            "outcome": str(self.outcome),
        }
        if self.retry_after is not None:
            error["retry_after"] = round(self.retry_after, 3)
        return {"error": error}


def not_run(
    reason: str, detail: str, *, status: int, retry_after: float | None = None
) -> Failure:
    """Returns a failure of work of which no byte left for a target."""
    return Failure(
        outcome=Outcome.NOT_RUN,
        reason=reason,
        detail=detail,
        status=status,
        retry_after=retry_after,
    )
