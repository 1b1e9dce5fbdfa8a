"""Changes that entry hosts may lack, and leases that outlast them. Pure.

A host that has received a change, or a later one of its kind, acts on it. Any
other host acts on an older state until its lease ends. A lease is not extended
without the changes made before, so a host that lacks a change does so until
the end of the lease that it held when the change was made, whatever changes
follow. The exception is a change that is being pushed to the host and has not
been acknowledged yet. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import enum
from typing import NamedTuple

from endivestream import table_position


class Kind(enum.StrEnum):
    """Kinds of changes; those of one kind reach a host in order."""

    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    TABLE = "table"


# Version of a configuration, revision of evacuations or position of a table.
Number = int | table_position.Position


class Progress(NamedTuple):
    """The newest change of each kind that a host acts on.

    Attributes:
        version: Version of the configuration.
        evacuations: Revision of the evacuations.
        position: Position of the table of targets.
    """

    version: int = -1
    evacuations: int = -1
    position: table_position.Position = table_position.Position()

    def includes(self, kind: Kind, number: Number) -> bool:
        """Returns whether it contains a change or a later one."""
        match kind:
            case Kind.CONFIGURATION:
                reached: Number = self.version
            case Kind.EVACUATIONS:
                reached = self.evacuations
            case Kind.TABLE:
                reached = self.position
        return reached >= number


class Rollout:
    """Distribution of one change to the hosts that held a lease without it."""

    def __init__(
        self,
        *,
        kind: Kind,
        number: Number,
        began_at: float,
        lease_ends: Mapping[str, float],
    ) -> None:
        """Starts with all hosts that lack the change.

        Args:
            kind: Kind of the change.
            number: Its number among those of its kind.
            began_at: When it was made, or found by a new leader.
            lease_ends: When the lease of each host without it ends.
        """
        self._kind = kind
        self._number = number
        self._began_at = began_at
        self._lease_ends = dict(lease_ends)
        self._last_end = max(self._lease_ends.values(), default=began_at)
        self._is_acknowledged = False

    def __repr__(self) -> str:
        return (
            f"<Rollout of {self._kind} {self._number} "
            f"to {len(self._lease_ends)} hosts>"
        )

    @property
    def kind(self) -> Kind:
        """Kind of the change."""
        return self._kind

    @property
    def number(self) -> Number:
        """Number of the change among those of its kind."""
        return self._number

    @property
    def began_at(self) -> float:
        """When the change was made, or found by a new leader."""
        return self._began_at

    @property
    def last_end(self) -> float:
        """When no host can act on an older state any more."""
        return self._last_end

    @property
    def is_acknowledged(self) -> bool:
        """Whether its author relies on the change."""
        return self._is_acknowledged

    def acknowledge(self) -> None:
        """Records that the change is acknowledged to its author."""
        self._is_acknowledged = True

    def lagging(self, now: float) -> list[str]:
        """Returns the hosts that may act on an older state, sorted."""
        return sorted(h for h, end in self._lease_ends.items() if end > now)

    def due_at(self, bound: float, *, min_wait: float = 0.0) -> float:
        """Returns from when the change may be acknowledged.

        Args:
            bound: Seconds after the acknowledgement within which no host may
                act on an older state.
            min_wait: Seconds after the change for which hosts that lack it are
                waited for although their leases end within the bound.
        """
        if not self._lease_ends:
            return self._began_at
        return max(self._last_end - bound, self._began_at + min_wait)

    def extend(self, host: str, end: float) -> None:
        """Records a lease without the change.

        Args:
            host: The host.
            end: When its lease ends.
        """
        assert not self._is_acknowledged
        self._lease_ends[host] = end
        self._last_end = max(self._last_end, end)

    def remove(self, host: str) -> bool:
        """Removes a host; returns whether the rollout may be due earlier."""
        end = self._lease_ends.pop(host, None)
        if end is None or (end < self._last_end and self._lease_ends):
            return False
        self._last_end = max(self._lease_ends.values(), default=self._began_at)
        return True


class Rollouts:
    """Changes of one kind during one term of leadership."""

    def __init__(self, kind: Kind) -> None:
        self._kind = kind
        # In the order of their numbers.
        self._rollouts: list[Rollout] = []
        # Up to this change, no host acts on an older state.
        self._complete: Number | None = None

    def begin(
        self, number: Number, lease_ends: Mapping[str, float], now: float
    ) -> Rollout:
        """Returns the rollout of a new change, or the one of its number.

        Args:
            number: Number of the change, not lower than that of the last one.
            lease_ends: When the lease of each host without it ends.
            now: Current time.
        """
        if self._rollouts and self._rollouts[-1].number == number:
            return self._rollouts[-1]
        rollout = Rollout(
            kind=self._kind, number=number, began_at=now, lease_ends=lease_ends
        )
        self._rollouts.append(rollout)
        return rollout

    def find(self, number: Number) -> Rollout | None:
        """Returns the rollout of a change or of the next one after it.

        None if no host acts on a state older than the change.
        """
        if self._complete is not None and number <= self._complete:
            return None
        return next((r for r in self._rollouts if r.number >= number), None)

    def missed(self, number: Number) -> Sequence[Rollout] | None:
        """Returns the changes after one; None if others have been forgotten.

        Args:
            number: The change that a host acts on.
        """
        if self._complete is not None and number < self._complete:
            return None
        return [r for r in self._rollouts if r.number > number]

    def remove(self, host: str, progress: Progress) -> Iterator[Rollout]:
        """Removes a host from the changes that it acts on.

        Yields:
            Rollouts that may be due earlier.
        """
        for rollout in self._rollouts:
            if not progress.includes(self._kind, rollout.number):
                return
            if rollout.remove(host):
                yield rollout

    def drop_complete(self, now: float) -> None:
        """Forgets changes that no host lacks."""
        kept = next(
            (
                index
                for index, rollout in enumerate(self._rollouts)
                if rollout.last_end > now
            ),
            len(self._rollouts),
        )
        if kept:
            self._complete = self._rollouts[kept - 1].number
            del self._rollouts[:kept]


class HeldLeases:
    """Leases of entry hosts, and what the hosts act on."""

    def __init__(self, *, former_ends: Mapping[str, float]) -> None:
        """Starts with leases that former leaders have granted.

        Args:
            former_ends: When the lease of each host ends at the latest.
        """
        self._ends = dict(former_ends)
        self._progress: dict[str, Progress] = {}

    @property
    def ends(self) -> Mapping[str, float]:
        """When the lease of each host ends at the latest."""
        return self._ends

    def renew(self, host: str, end: float) -> None:
        """Records the grant of a lease."""
        self._ends[host] = end

    def record(self, host: str, progress: Progress) -> bool:
        """Records what a host acts on; returns whether that has changed."""
        if self._progress.get(host) == progress:
            return False
        self._progress[host] = progress
        return True

    def progress(self, host: str) -> Progress:
        """Returns what a host acts on, as far as is known."""
        return self._progress.get(host, Progress())

    def without(
        self, kind: Kind, number: Number, now: float
    ) -> dict[str, float]:
        """Returns when the lease of each host without a change ends."""
        return {
            host: end
            for host, end in self._ends.items()
            if end > now and not self.progress(host).includes(kind, number)
        }

    def drop_ended(self, now: float) -> None:
        """Forgets leases that have ended."""
        for host in [h for h, end in self._ends.items() if end <= now]:
            del self._ends[host]
            self._progress.pop(host, None)
