"""Keys that the leader has quarantined, on one entry host. Pure.

A host also judges by the ends that it has observed itself, so a request that it
sends again is stopped without the leader. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from endivestream import quarantine_messages
from endivestream import table_position
from endivestream.request import crash_evidence
from endivestream.request import crash_keys
from endivestream.request import open_attempts
from endivestream.request import request_evidence
from endivestream.request import request_index

# Time within which targets send the reports that disprove their ends.
_REPORTS_SECONDS = 1.0


class Quarantine:
    """What one entry host knows about keys of requests."""

    def __init__(self) -> None:
        self._revision = table_position.Position()
        self._quarantined: dict[str, float] = {}
        self._suspects: frozenset[str] = frozenset()
        self._own = crash_evidence.CrashEvidence()
        # Requests of callers that the leader lists, and ends under them.
        self._listed = request_index.RequestIndex()
        self._listed_requests: dict[str, quarantine_messages.ListedRequest] = {}
        self._own_requests = request_evidence.RequestEvidence()
        # Also ends that are not proved; only the leader learns of disproof.
        self._own_possible_ends = request_evidence.RequestEvidence()

    @property
    def revision(self) -> table_position.Position:
        """Revision of the leader's table that applies here."""
        return self._revision

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known against any request."""
        return (
            not self._quarantined
            and not self._suspects
            and not self._listed_requests
            and self._own.is_empty
            and self._own_requests.is_empty
            and self._own_possible_ends.is_empty
        )

    @property
    def known_keys(self) -> frozenset[str]:
        """The suspected and quarantined keys in the leader's table."""
        return self._suspects | self._quarantined.keys()

    @property
    def size(self) -> int:
        """Number of keys that the leader has quarantined."""
        return len(self._quarantined) + sum(
            each.ends >= request_evidence.MAX_ENDS
            for each in self._listed_requests.values()
        )

    def is_quarantined(self, key: str) -> bool:
        """Returns whether the leader has quarantined a key."""
        return key in self._quarantined

    def set_table(
        self, table: quarantine_messages.QuarantineTable, now: float
    ) -> bool:
        """Applies an update of the leader's table.

        Returns:
            Whether it has been applied: it is newer than the table here, and
            nothing is missing between the two.
        """
        if table.revision <= self._revision:
            return False
        if table.base is None:
            removed = (
                self._quarantined.keys()
                | self._suspects
                | self._listed_requests.keys()
            )
        elif table.base.term == self._revision.term and (
            table.base <= self._revision
        ):
            removed = frozenset(table.removed)
        else:
            return False
        self._revision = table.revision
        quarantined = {
            entry.key: now + entry.seconds
            for entry in table.entries
            if entry.is_quarantined
        }
        suspects = {e.key for e in table.entries if not e.is_quarantined}
        released = (removed | suspects) & self._quarantined.keys()
        # The leader has dropped the evidence against these.
        self._own.record_answered(released - quarantined.keys(), now)
        for key in released:
            del self._quarantined[key]
        self._quarantined |= quarantined
        self._suspects = (
            self._suspects - removed - quarantined.keys()
        ) | suspects
        for key in removed & self._listed_requests.keys():
            del self._listed_requests[key]
            self._listed.remove(key)
        for listed in table.requests:
            self._listed.add(listed.key, listed.left, now)
            self._listed_requests[listed.key] = listed
        return True

    @property
    def caller_requests(self) -> Collection[request_index.CallerRequest]:
        """The callers' requests that the leader lists."""
        return self._listed.requests

    def listed_requests(
        self, now: float
    ) -> tuple[quarantine_messages.ListedRequest, ...]:
        """Returns the requests that the leader lists, for the next leader."""
        return tuple(
            each._replace(left=self._listed.left(key, now))
            for key, each in self._listed_requests.items()
        )

    def request_until(
        self, request: request_index.CallerRequest | None, now: float
    ) -> float | None:
        """Returns until when a caller's request is not sent; None if it is."""
        if request is None or self.ends(request) < request_evidence.MAX_ENDS:
            return None
        listed = self._listed.find(request)
        if (
            listed is not None
            and self._listed_requests[listed].proved < request_evidence.MAX_ENDS
        ):
            # Reports of the processes decide.
            return now + _REPORTS_SECONDS
        return request.deadline + request_evidence.KEPT_SECONDS

    def listed_key(self, request: request_index.CallerRequest) -> str | None:
        """Returns the leader's key of a caller's request, if it lists it."""
        return self._listed.find(request)

    def needs_grant(self, request: request_index.CallerRequest) -> bool:
        """Returns whether a caller's request is sent only with a grant.

        One end may be under another caller's request with the same content.
        """
        return self.possible_ends(request) > request.is_shared

    def ends(self, request: request_index.CallerRequest) -> int:
        """Returns how many processes ended under a caller's request.

        It is the larger number of those that the leader knows and those that
        this host has observed.
        """
        listed = self._listed.find(request)
        own = self._own_requests.find(request)
        return max(
            self._listed_requests[listed].ends if listed else 0,
            self._own_requests.ends(own) if own else 0,
        )

    def has_known_key(self, keys: crash_keys.CrashKeys) -> bool:
        """Returns whether a request has a suspected or quarantined key."""
        known = self.known_keys
        return bool(known) and not known.isdisjoint(keys.all)

    def entries(
        self, now: float
    ) -> tuple[quarantine_messages.QuarantineEntry, ...]:
        """Returns the leader's quarantined keys, for the next leader."""
        return tuple(
            quarantine_messages.QuarantineEntry(
                key=key, is_quarantined=True, seconds=max(0.0, until - now)
            )
            for key, until in self._quarantined.items()
            if until > now or crash_keys.is_part(key)
        )

    def record_end(
        self,
        process: open_attempts.TargetProcess,
        open_seconds: Mapping[str, float],
        sends: Mapping[str, int],
        now: float,
        requests: Collection[quarantine_messages.OpenRequest] = (),
    ) -> None:
        """Records the end of a process that this host has observed.

        Together with what the leader knows it may be the last one that is
        needed, also if no leader can be told.
        """
        self._own.record_end(process, open_seconds, now, sends=sends)
        self._own_requests.record_end(process, requests, now)
        self.record_possible_end(process, requests, now)
        for key in self._suspects & open_seconds.keys():
            if not crash_keys.is_part(key):
                self._quarantined[key] = (
                    now + crash_evidence.REQUEST_QUARANTINE_SECONDS
                )

    def record_possible_end(
        self,
        process: open_attempts.TargetProcess,
        requests: Collection[quarantine_messages.OpenRequest],
        now: float,
    ) -> None:
        """Records that a process may have ended under some requests."""
        self._own_possible_ends.record_end(process, requests, now)

    def drop_old(self, now: float) -> None:
        """Drops this host's evidence that is too old."""
        self._own.drop_old(now)
        self._own_requests.drop_old(now)
        self._own_possible_ends.drop_old(now)

    def possible_ends(self, request: request_index.CallerRequest) -> int:
        """Returns how many processes may have ended under a request.

        The leader alone learns which of them have not.
        """
        own = self._own_possible_ends.find(request)
        return max(
            self.ends(request), self._own_possible_ends.ends(own) if own else 0
        )

    def record_answered(
        self, keys: Collection[str], now: float
    ) -> frozenset[str]:
        """Records a complete answer.

        Returns:
            The keys against which the leader has evidence that is disproved.
        """
        self._own.record_answered(keys, now)
        return frozenset(
            key
            for key in keys
            if key in self._suspects or key in self._quarantined
        )

    def blocked(self, keys: Iterable[str], now: float) -> dict[str, float]:
        """Returns which of some keys are quarantined, and until when.

        For a part whose trial is due, the time has passed.
        """
        blocked: dict[str, float] = {}
        for key in keys:
            until = self._quarantined.get(key)
            if until is not None and (crash_keys.is_part(key) or until > now):
                blocked[key] = until
            own_until = self._own.quarantined_until(key, now)
            if own_until is not None:
                blocked[key] = max(own_until, blocked.get(key, own_until))
        return blocked

    def postpone_trial(self, key: str, until: float) -> None:
        """Sets when this host asks for a trial again."""
        if key in self._quarantined:
            self._quarantined[key] = until
        self._own.postpone_trial(key, until)
