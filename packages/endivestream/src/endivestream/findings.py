"""Errors as values: findings with their place, failures with their outcome.

Decision code raises no exceptions for invalid input. A parser collects every
`Finding` and returns them together; a request that ends without its answer ends
with one `Failure`, which states whether the work may have run.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import difflib
import enum
from typing import Any
from typing import NamedTuple


class Place(NamedTuple):
    """Position in an input.

    Attributes:
        source: File name, or a word such as `command line`.
        line: Line number from 1; 0 if the source has no lines.
        column: Column from 1; 0 if unknown.
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
    """One fault in an input, with its position.

    Attributes:
        place: Position of the fault.
        what: Description of the fault, with the invalid value.
    """

    place: Place
    what: str

    def __str__(self) -> str:
        return f"{self.place}: {self.what}"


def unknown_word(kind: str, word: str, valid: Iterable[str]) -> str:
    """Returns a message for an invalid word, with the closest match if any.

    Args:
        kind: What the word should have named, such as `model`.
        word: The invalid word.
        valid: The valid words.

    Returns:
        A sentence for `Finding.what`.
    """
    choices = sorted(valid)
    text = f"unknown {kind} {word!r}"
    matches = difflib.get_close_matches(word, choices, n=1)
    if matches:
        text += f", did you mean {matches[0]!r}?"
    listed = ", ".join(choices[:12]) or "none are defined"
    if len(choices) > 12:
        listed += f", and {len(choices) - 12} more"
    return f"{text}; valid: {listed}"


class RunState(enum.StrEnum):
    """Whether the work of a failed request may have run.

    `NOT_RUN` is used only when it is proved: no byte of the request was sent to
    a target. `UNKNOWN` means that the work may have run. `FAILED` means that it
    ran and failed.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """Reason why a request ended without its answer.

    Attributes:
        outcome: Whether the work may have run.
        reason: Reason code, such as `over_rate`; see docs/CALLERS.md.
        detail: Sentence for a human reader.
        status: HTTP status of the answer.
        retry_after: Seconds after which to retry; None if a retry would not
            help.
    """

    outcome: RunState
    reason: str
    detail: str
    status: int
    retry_after: float | None = None

    def as_json(self) -> dict[str, Any]:
        """Returns the error object of the inference API."""
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
    """Returns a failure of work of which no byte was sent to a target."""
    return Failure(
        outcome=RunState.NOT_RUN,
        reason=reason,
        detail=detail,
        status=status,
        retry_after=retry_after,
    )
