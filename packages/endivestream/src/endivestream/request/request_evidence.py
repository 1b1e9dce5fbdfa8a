"""Requests of callers under which target processes ended. Pure.

A request under which three processes have ended is sent to none any more. That
holds for as many hosts and tries at a time as there are, so it is a bound on
sends: once a process has ended under a request, each further send needs a
grant, and there are never more ends and open grants than three. A grant whose
outcome is unknown stays open, for example that of a host that was killed.

An end may be unproved: an answer broke off, and what accepts connections may be
the next process. It counts until reports show that the process has lived on.
The next process may get the request before the table of targets shows its
start; an attempt that was sent after an end is not part of it. Times are
seconds.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
import enum
import itertools
from typing import NamedTuple

from endivestream import quarantine_messages
from endivestream.request import open_attempts
from endivestream.request import request_index

MAX_ENDS = 3
# Ends from which hosts must know of a request before its end is acknowledged.
_URGENT_ENDS = 2
# Requests with one end are listed while they are few: after the loss of many
# processes there are too many for all hosts, and nearly all are sound.
_MAX_LISTED_SINGLE_ENDS = 64
# Time for which a request is kept after its deadline and its last end.
KEPT_SECONDS = 10.0
_MAX_REQUESTS = 4096
# Reports of a process after which it has lived on: one may have been on its
# way when the answer broke off.
_REPORTS_OF_LIFE = 2
_MAX_UNPROVED_SECONDS = 60.0


class RequestState(enum.StrEnum):
    """What the evidence says about a request."""

    ALLOWED = "allowed"
    OBSERVED = "observed"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class _End(NamedTuple):
    """The end of a process.

    Attributes:
        ended_at: When it was noticed.
        is_proved: Whether it is certain.
    """

    ended_at: float
    is_proved: bool


@dataclasses.dataclass(kw_only=True)
class _Record:
    """Evidence against one request.

    Attributes:
        ends: Ends under it, by the process that the table showed.
        grants: Attempts of callers that may be at a target.
        last_end_at: Time of the last end.
        is_restored: Whether another process has had the verdict.
    """

    ends: dict[open_attempts.TargetProcess, list[_End]] = dataclasses.field(
        default_factory=dict
    )
    grants: set[str] = dataclasses.field(default_factory=set)
    last_end_at: float = 0.0
    is_restored: bool = False

    @property
    def count(self) -> int:
        """Number of ends."""
        if self.is_restored:
            return MAX_ENDS
        return sum(map(len, self.ends.values()))

    @property
    def proved(self) -> int:
        """Number of ends that are certain."""
        if self.is_restored:
            return MAX_ENDS
        return sum(end.is_proved for ends in self.ends.values() for end in ends)

    @property
    def state(self) -> RequestState:
        """What the evidence says."""
        if self.count >= MAX_ENDS:
            return RequestState.QUARANTINED
        if self.count >= _URGENT_ENDS:
            return RequestState.SUSPECT
        return RequestState.OBSERVED if self.count else RequestState.ALLOWED

    def add_end(
        self, process: open_attempts.TargetProcess, end: _End, sent_at: float
    ) -> bool:
        """Adds an end under an attempt; returns whether it is a further one."""
        ends = self.ends.setdefault(process, [])
        if ends and sent_at <= ends[-1].ended_at:
            last = ends[-1]
            ends[-1] = last._replace(is_proved=last.is_proved or end.is_proved)
            return False
        ends.append(end)
        self.last_end_at = max(self.last_end_at, end.ended_at)
        return True

    def remove_unproved(self, process: open_attempts.TargetProcess) -> bool:
        """Removes what is not proved; returns whether there was any."""
        ends = self.ends.get(process, [])
        proved = [end for end in ends if end.is_proved]
        if len(proved) == len(ends):
            return False
        self.ends[process] = proved
        return True


@dataclasses.dataclass(kw_only=True)
class _Unproved:
    """An end that is not proved.

    Attributes:
        since: When it was last reported.
        reports: Reports of its process since then.
    """

    since: float
    reports: int = 0


class RequestEvidence:
    """Evidence by request."""

    def __init__(self) -> None:
        self._index = request_index.RequestIndex()
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        # Those with several ends.
        self._urgent: dict[str, None] = {}
        self._unproved: dict[open_attempts.TargetProcess, _Unproved] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence."""
        return not self._records

    def find(self, request: request_index.CallerRequest) -> str | None:
        """Returns the key of a request with evidence against it."""
        return self._index.find(request)

    def state(self, key: str) -> RequestState:
        """Returns what the evidence says about a request."""
        record = self._records.get(key)
        return record.state if record else RequestState.ALLOWED

    def ends(self, key: str) -> int:
        """Returns how many processes ended under a request."""
        record = self._records.get(key)
        return record.count if record else 0

    def left(self, key: str, now: float) -> float:
        """Returns the seconds until the deadline of a request."""
        return self._index.left(key, now)

    def record_end(
        self,
        process: open_attempts.TargetProcess,
        requests: Iterable[quarantine_messages.OpenRequest],
        now: float,
        *,
        seconds_ago: float = 0.0,
        is_proved: bool = True,
    ) -> frozenset[str]:
        """Records the end of a process under some requests.

        Args:
            process: The process, as the table of targets shows it.
            requests: The requests that were open there.
            now: Current time.
            seconds_ago: How long ago it was noticed.
            is_proved: Whether it is certain that the process has ended.

        Returns:
            The keys of the requests with new evidence.
        """
        changed = set()
        end = _End(now - seconds_ago, is_proved)
        for request in requests:
            key = self._index.find_or_add(
                request_index.CallerRequest(
                    request.content, now + request.left, request.is_shared
                )
            )
            record = self._records.setdefault(key, _Record())
            self._records.move_to_end(key)
            record.grants.difference_update(request.attempts)
            sent_at = end.ended_at - request.open_seconds
            if record.add_end(process, end, sent_at):
                changed.add(key)
                self._update_urgent(key)
        if is_proved:
            self._unproved.pop(process, None)
        elif changed:
            self._unproved[process] = _Unproved(since=now)
        self._limit()
        return frozenset(changed)

    def is_unproved(self, process: open_attempts.TargetProcess) -> bool:
        """Returns whether the end of a process is recorded, but not proved."""
        return process in self._unproved

    def record_report(
        self, process: open_attempts.TargetProcess
    ) -> frozenset[str]:
        """Records a report of a process, which disproves its end.

        Returns:
            The keys of the requests with less evidence than before.
        """
        unproved = self._unproved.get(process)
        if unproved is None:
            return frozenset()
        unproved.reports += 1
        if unproved.reports < _REPORTS_OF_LIFE:
            return frozenset()
        del self._unproved[process]
        changed = set()
        for key, record in list(self._records.items()):
            if record.remove_unproved(process):
                changed.add(key)
                self._update_urgent(key)
        self._remove_settled(changed)
        return frozenset(changed)

    def grant(self, key: str, attempt: str) -> bool:
        """Returns whether an attempt of a caller may be sent.

        The grant stays open until the end of a process under the attempt is
        recorded or it is released.
        """
        record = self._records.get(key)
        if record is None or attempt in record.grants:
            return True
        is_granted = (
            record.state != RequestState.QUARANTINED
            and record.count + len(record.grants) < MAX_ENDS
        )
        if is_granted:
            record.grants.add(attempt)
        return is_granted

    def hold(self, key: str, attempt: str) -> None:
        """Records an attempt that was sent without a grant."""
        record = self._records.get(key)
        if record is not None:
            record.grants.add(attempt)

    def release(self, key: str, attempt: str) -> None:
        """Closes a grant: no process can end under the attempt any more."""
        record = self._records.get(key)
        if record is not None:
            record.grants.discard(attempt)

    def listed(
        self, now: float
    ) -> tuple[quarantine_messages.ListedRequest, ...]:
        """Returns the requests that hosts have to know of."""
        single_ends = (
            key
            for key, record in reversed(self._records.items())
            if record.count < _URGENT_ENDS
        )
        keys = (
            *self._urgent,
            *itertools.islice(single_ends, _MAX_LISTED_SINGLE_ENDS),
        )
        return tuple(
            quarantine_messages.ListedRequest(
                key=key,
                left=self._index.left(key, now),
                ends=self._records[key].count,
                proved=self._records[key].proved,
            )
            for key in keys
        )

    def restore(
        self, entries: Iterable[quarantine_messages.ListedRequest], now: float
    ) -> frozenset[str]:
        """Merges the verdicts of another leader.

        Returns:
            The keys of the requests that are quarantined now.
        """
        changed = set()
        for entry in entries:
            if entry.proved < MAX_ENDS:
                continue
            key = self._index.find_or_add(
                request_index.CallerRequest(
                    request_index.content(entry.key), now + entry.left
                )
            )
            record = self._records.setdefault(key, _Record())
            if record.state == RequestState.QUARANTINED:
                continue
            record.is_restored = True
            self._update_urgent(key)
            record.last_end_at = now
            changed.add(key)
        return frozenset(changed)

    def drop(self, keys: Iterable[str]) -> frozenset[str]:
        """Drops all evidence against some requests; returns their keys."""
        dropped = {
            key
            for key in list(keys)
            if self._records.pop(key, None) is not None
        }
        for key in dropped:
            self._index.remove(key)
            self._urgent.pop(key, None)
        return frozenset(dropped)

    def drop_old(self, now: float) -> frozenset[str]:
        """Drops what no caller can need; returns its keys."""
        old = [
            key
            for key, record in self._records.items()
            if now - record.last_end_at > KEPT_SECONDS
            and self._index.left(key, now) < -KEPT_SECONDS
        ]
        self._unproved = {
            process: unproved
            for process, unproved in self._unproved.items()
            if now - unproved.since < _MAX_UNPROVED_SECONDS
        }
        return self.drop(old)

    def _update_urgent(self, key: str) -> None:
        if self._records[key].count >= _URGENT_ENDS:
            self._urgent[key] = None
        else:
            self._urgent.pop(key, None)

    def _remove_settled(self, keys: Iterable[str]) -> None:
        """Drops requests against which no evidence is left."""
        self.drop(
            [
                key
                for key in keys
                if self._records[key].state == RequestState.ALLOWED
                and not self._records[key].grants
            ]
        )

    def _limit(self) -> None:
        while len(self._records) > _MAX_REQUESTS:
            oldest = next(
                (
                    key
                    for key, record in self._records.items()
                    if record.state == RequestState.OBSERVED
                ),
                next(iter(self._records)),
            )
            self.drop([oldest])
