"""What requests take of the memory of targets. Pure."""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import NamedTuple


class Load(NamedTuple):
    """What one or several requests take of a target's memory.

    Attributes:
        body_bytes: Bytes of their bodies.
        tokens: Tokens of their prompts and largest answers.
    """

    body_bytes: float = 0.0
    tokens: float = 0.0

    @classmethod
    def of(
        cls, *, body_bytes: int, prompt: float = 0.0, generated: float = 0.0
    ) -> Load:
        """Returns the load of one request.

        Args:
            body_bytes: Bytes of its body.
            prompt: Tokens of its prompt, as its caller states them.
            generated: Tokens of its largest answer, likewise.
        """
        tokens = max(0.0, prompt) + max(0.0, generated)
        # Not a number or infinite, if its caller states that.
        return cls(float(body_bytes), tokens if math.isfinite(tokens) else 0.0)

    def plus(self, other: Load) -> Load:
        """Returns the sum."""
        return Load(
            self.body_bytes + other.body_bytes, self.tokens + other.tokens
        )

    def times(self, factor: float) -> Load:
        """Returns a multiple."""
        return Load(self.body_bytes * factor, self.tokens * factor)

    def fits(self, bound: Load, *, held: Load) -> bool:
        """Returns whether it may be added to what is held within a bound.

        A part that it does not use is not checked: that may be exceeded
        already, by what is held since before the bound was learned.
        """
        return all(
            not added or used + added <= allowed
            for used, added, allowed in zip(held, self, bound, strict=True)
        )


NO_LOAD = Load()


def total(loads: Iterable[Load]) -> Load:
    """Returns the sum of some loads."""
    result = NO_LOAD
    for load in loads:
        result = result.plus(load)
    return result
