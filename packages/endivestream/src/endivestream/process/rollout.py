"""When a configuration may be confirmed to operators. Pure, with time as given.

A confirmed change is in force everywhere within a bound. An entry host that
the leader does not reach acts on the one before until its lease ends, which
is later. So a change is confirmed once all hosts have it, or so late that the
last lease of a host that lacks it ends within the bound.
"""

from __future__ import annotations

from collections.abc import Iterable


class Rollout:
    """The newest configuration of a leader, on its way to entry hosts."""

    def __init__(
        self, *, version: int, begun: float, lacking: Iterable[str]
    ) -> None:
        """Begins with a commit, or with the term of a new leader.

        Args:
            version: The version.
            begun: When that was, in seconds.
            lacking: Entry hosts that may have an older version.
        """
        self._version = version
        self._begun = begun
        self._lacking = set(lacking)

    def __repr__(self) -> str:
        return f"<Rollout of {self._version}, {len(self._lacking)} lack it>"

    @property
    def version(self) -> int:
        """The version."""
        return self._version

    @property
    def begun(self) -> float:
        """When it was committed or found, in seconds."""
        return self._begun

    @property
    def is_everywhere(self) -> bool:
        """Whether every host that could lack it has it."""
        return not self._lacking

    def has(self, host: str, version: int) -> bool:
        """Notes what a host has; whether it was the last to lack this."""
        if version < self._version:
            return False
        return self.forget(host)

    def forget(self, host: str) -> bool:
        """Notes that a host's lease is over; whether it was the last."""
        if host not in self._lacking:
            return False
        self._lacking.discard(host)
        return not self._lacking
