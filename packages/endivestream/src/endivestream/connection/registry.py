"""The table of targets, from what they say of themselves. Pure.

Registrations come late, twice, out of order and by way of different hosts.
They are ordered by the target's own words: the time of its start, then a
number that rises with each report. Arrival decides nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

# How long a target that said good-bye is remembered. A report that was sent
# before may arrive seconds later and would bring the target back (symptom:
# requests go to an address that another service has taken).
_REMEMBER_SECONDS = 60.0
# A new start counts its reports from the beginning. Where the start that left
# is not known, a report up to this number is taken for that of a newer one;
# a process that has worked before it left has sent more.
_FIRST_REPORTS = 3


class Loaded(msgspec.Struct, frozen=True, array_like=True):
    """A model that a target holds.

    Attributes:
        model: The model's name.
        version: Version of its weights.
        adapters: Names of its adapters that are held too.
    """

    model: str
    version: int = 0
    adapters: tuple[str, ...] = ()


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says of itself.

    Attributes:
        name: The target's id.
        service: The service that it belongs to.
        address: `IP:PORT` where it takes requests.
        domain: Its failure domain.
        born: When it started, in milliseconds of the time of day.
        number: Rises with each report since the start.
        draining: Whether it is about to leave.
        slots: Requests that it runs at once.
        warm_in: Seconds until it works at full speed.
        leaves_in: Seconds until it is taken away; None if that is not known.
        loaded: Models that it holds.
        in_memory: Models whose weights are in its host memory.
        on_disk: Models whose weights are on its disk.
    """

    name: str
    service: str
    address: str
    domain: str
    born: int = 0
    number: int = 0
    draining: bool = False
    slots: int = 1
    warm_in: float = 0.0
    leaves_in: float | None = None
    loaded: tuple[Loaded, ...] = ()
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """What is said later compares greater."""
        return (self.born, self.number)


class Session(NamedTuple):
    """A target as the table has it.

    Attributes:
        said: Its newest registration.
        heard: When that came.
    """

    said: Registration
    heard: float


class _Gone(NamedTuple):
    """A target that left.

    Attributes:
        born: The start that left; None if the table did not have it.
        since: When it left.
    """

    born: int | None
    since: float

    def covers(self, said: Registration) -> bool:
        """Whether a report is of the start that left."""
        if self.born is None:
            return said.number > _FIRST_REPORTS
        return said.born <= self.born


class Registry:
    """All targets that may exist. Times are seconds of one clock."""

    def __init__(self) -> None:
        self._sessions: dict[str, Session] = {}
        self._gone: dict[str, _Gone] = {}

    def __repr__(self) -> str:
        return f"<Registry of {len(self._sessions)} targets>"

    @property
    def sessions(self) -> dict[str, Session]:
        """All targets by name."""
        return dict(self._sessions)

    def find(self, name: str) -> Session | None:
        """Returns a target by name, or None."""
        return self._sessions.get(name)

    def note(self, said: Registration, now: float) -> list[str]:
        """Takes a registration in.

        Returns:
            Names of the targets that are different now, the said one and
            those whose address it has taken over; empty if it is old.
        """
        gone = self._gone.get(said.name)
        if gone is not None and gone.covers(said):
            return []
        known = self._sessions.get(said.name)
        if known is not None and known.said.order >= said.order:
            return []
        rivals = [
            session.said
            for session in self._sessions.values()
            if session.said.address == said.address
            and session.said.name != said.name
        ]
        if any(rival.born > said.born for rival in rivals):
            # A report that was held up by a cut, of a process that has ended;
            # its address has a new owner.
            return []
        for rival in rivals:
            self._forget(rival.name, now)
        self._sessions[said.name] = Session(said, now)
        return [said.name, *(rival.name for rival in rivals)]

    def leave(self, name: str, now: float, born: int | None = None) -> bool:
        """Removes a target that said good-bye, also one not heard of yet.

        Args:
            name: The target's id.
            now: The time.
            born: The start that left, if it is known from elsewhere.

        Returns:
            Whether it was in the table.
        """
        session = self._sessions.get(name)
        if (
            session is not None
            and born is not None
            and (session.said.born > born)
        ):
            return False
        if session is not None:
            self._forget(name, now)
            return True
        # Entry hosts may still have it from the leader before.
        known = self._gone.get(name)
        if born is None and known is not None:
            born = known.born
        self._gone[name] = _Gone(born, now)
        return False

    @property
    def departed(self) -> tuple[str, ...]:
        """Names of targets that have left or were replaced lately."""
        return tuple(self._gone.keys() - self._sessions.keys())

    def born(self, name: str) -> int | None:
        """Returns when a target in the table was started, or None."""
        session = self._sessions.get(name)
        return session.said.born if session else None

    def expire(self, now: float, *, silence: float) -> list[str]:
        """Removes and returns targets that were silent for too long."""
        silent = [
            name
            for name, session in self._sessions.items()
            if now - session.heard > silence
        ]
        for name in silent:
            self._forget(name, now)
        for name, gone in list(self._gone.items()):
            if now - gone.since > _REMEMBER_SECONDS:
                del self._gone[name]
        return silent

    def adopt(self, said: Iterable[Registration], now: float) -> None:
        """Takes over what another host knew, where nothing newer is known."""
        for each in said:
            self.note(each, now)

    def _forget(self, name: str, now: float) -> None:
        session = self._sessions.pop(name)
        self._gone[name] = _Gone(session.said.born, now)
