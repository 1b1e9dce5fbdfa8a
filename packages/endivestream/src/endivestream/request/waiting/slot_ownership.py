"""Which host may grant the slots of one engine. Does no I/O.

Load pattern: a busy host answers late. Hosts that take it for lost ask the next
one, which knows nothing of the slots that the first has granted. If both grant
all slots, the engine gets twice as many requests as it has slots.

The next owner stands in for the first: at first it counts all slots as granted.
The end of a request is reported to the first owner as passed on while it is
silent, and to the next one, so exactly one of them grants the slot again. An
owner that returns, or replaces another, claims what the other has granted.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import enum
import math

# Time without a turn of the event loop after which an owner no longer relies on
# its count. It is shorter than the time after which a host that stands in for
# it trusts the published loads (1 s).
LATE_SECONDS = 0.8
# A question reaches the host that stands in at most this much later than it was
# sent. A claim that was sent later made that host count from the start again.
_QUESTION_SECONDS = 0.1
# Time after which the loads contain what an earlier process start has granted.
_FORMER_GRANTS_SECONDS = 1.0
# Ends of requests that are remembered as already claimed.
_MAX_CLAIMED_ENDS = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """The host claims what another one has granted, before it grants slots.

    Attributes:
        host: Address of the other host.
        knows_own: Whether its own count is complete but for passed slots.
    """

    host: str
    knows_own: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class AssumeGranted:
    """The host counts all slots as granted by another one."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Proceed:
    """The host goes on with the count that it has."""


Step = Claim | AssumeGranted | Proceed


class _Role(enum.Enum):
    NEW = enum.auto()
    OWNER = enum.auto()
    STAND_IN = enum.auto()


class SlotOwnership:
    """Role of this host for one engine."""

    def __init__(self) -> None:
        self._role = _Role.NEW
        self._next_owner = ""
        # The host that has claimed the grants made here.
        self._claimed_by = ""
        self._claimed_at = -math.inf
        # Whether another host may have granted all slots since this one last
        # counted them as granted.
        self._has_yielded = False
        # Whether this process start has claimed no slots yet, and the slots
        # that an earlier one may have granted.
        self._is_new = True
        self._former_granted = 0
        self._former_until = -math.inf
        # Whether its count contains what a former owner has granted.
        self._has_former_grants = False
        self._passed: dict[str, None] = {}
        self._claimed_ends: dict[str, None] = {}

    def __repr__(self) -> str:
        return f"<SlotOwnership {self._role.name}>"

    @property
    def claimed_by(self) -> str:
        """Address of the host that has claimed the grants; or empty."""
        return self._claimed_by

    @property
    def is_stand_in(self) -> bool:
        """Whether this host grants slots in place of another one."""
        return self._role is _Role.STAND_IN

    @property
    def passed(self) -> tuple[str, ...]:
        """Ended requests whose slots the next owner may have granted."""
        return tuple(self._passed)

    def ask(
        self,
        *,
        own: str,
        owners: Sequence[str],
        former: str,
        is_former_listed: bool,
        was_silent: bool,
        replaced_seconds: float,
        is_idle: bool,
        now: float,
    ) -> Step:
        """Returns what is done before a request is added to the queue.

        Args:
            own: Address of this host.
            owners: Addresses of the hosts that are asked, in this order; empty
                if the asking host is of an older build.
            former: Address of the host that was the first owner before the
                list of hosts changed; or empty.
            is_former_listed: Whether that host may still run.
            was_silent: Whether the asking host took this one for lost.
            replaced_seconds: If so, the seconds since it asked the next owner.
            is_idle: Whether nothing waits and nothing is granted here, and the
                count is older than the lag of the loads.
            now: Current time.
        """
        if owners and owners[0] != own:
            if self._role is _Role.NEW or (is_idle and self.is_stand_in):
                self._has_yielded = True
                self._role = _Role.STAND_IN
            return self._stand_in()
        if owners:
            self._next_owner = next((o for o in owners if o != own), "")
        previous, self._role = self._role, _Role.OWNER
        match previous:
            case _Role.OWNER:
                # Without a claim, the next owner would take the time since that
                # question for the time without grants of this host.
                asked_until = now - replaced_seconds + _QUESTION_SECONDS
                is_needed = was_silent and self._claimed_at < asked_until
                source = self._next_owner if is_needed else ""
            case _Role.STAND_IN:
                # Without a claim, its count contains the former owner's grants.
                source = self._claimed_by or (
                    former if is_former_listed else ""
                )
                self._has_former_grants = not source
            case _Role.NEW if former and not is_former_listed:
                self._has_former_grants = True
                return AssumeGranted()
            case _Role.NEW:
                source = former or self._next_owner
        self._claimed_by = ""
        if not source:
            return Proceed()
        return Claim(host=source)

    def resume(self) -> Step:
        """Returns what is done after this host was late or suspended."""
        if self._role is _Role.OWNER and self._next_owner:
            return Claim(host=self._next_owner)
        return AssumeGranted() if self._role is _Role.STAND_IN else Proceed()

    def pass_on(self, request: str) -> Step:
        """Records an end that was also reported to the next owner."""
        if self._role is not _Role.OWNER or not self._next_owner:
            return Proceed()
        self._passed[request] = None
        return Claim(host=self._next_owner, knows_own=True)

    def receive(self, request: str) -> Step:
        """Records that a slot of the first owner was passed to this host.

        Returns:
            `AssumeGranted` if this host did not know the engine before.
        """
        if self._role is _Role.NEW:
            self._has_yielded = True
            self._role = _Role.STAND_IN
        return self._stand_in()

    def _stand_in(self) -> Step:
        """Returns what is done before slots are granted for another host."""
        if not (self.is_stand_in and self._has_yielded):
            return Proceed()
        self._has_yielded = False
        return AssumeGranted()

    def may_receive(self, request: str) -> bool:
        """Returns whether a passed slot was not claimed back already."""
        return (
            self.is_stand_in or self._has_former_grants
        ) and request not in self._claimed_ends

    def set_listed(self, addresses: Collection[str]) -> None:
        """Forgets a host that has claimed the grants and has left."""
        if self._claimed_by not in addresses:
            self._claimed_by = ""

    def yield_to(
        self, host: str, ended: Collection[str], elsewhere: int
    ) -> int:
        """Another host claims the grants made here.

        Args:
            host: Address of the host.
            ended: Requests whose slots were passed on, which it grants again.
            elsewhere: Slots that are counted as granted by another host.

        Returns:
            The number of those that the claiming host may not know.
        """
        is_known = not self._has_yielded and self._role is not _Role.NEW
        self._role = _Role.STAND_IN
        self._has_former_grants = False
        self._claimed_by = host
        self._has_yielded = True
        for request in ended:
            self._claimed_ends[request] = None
        while len(self._claimed_ends) > _MAX_CLAIMED_ENDS:
            del self._claimed_ends[next(iter(self._claimed_ends))]
        return elsewhere if is_known else 0

    def learn(self, elsewhere: int, now: float) -> None:
        """Records what the host with the claimed grants counts elsewhere."""
        if self._is_new:
            self._is_new = False
            self._former_granted = elsewhere
            self._former_until = now + _FORMER_GRANTS_SECONDS

    def elsewhere(self, now: float) -> int:
        """Returns the slots that others may have granted, after a claim."""
        former = self._former_granted if now < self._former_until else 0
        return former + len(self._passed)

    def end_claim(
        self, host: str, ended: Collection[str], sent_at: float
    ) -> None:
        """Records that a claim was answered, or will not be.

        Args:
            host: The host that was asked.
            ended: Ended requests whose slots had been passed to it.
            sent_at: When it was asked.
        """
        if host == self._next_owner:
            self._claimed_at = sent_at
        for request in ended:
            self._passed.pop(request, None)
