"""Evidence that requests end target processes. Pure; times are seconds.

A key stands for what requests have in common (`request.crash_keys`). The end of
a process is one piece of evidence against the keys of all requests that were
open there, however many hosts report it. Ends by other causes come together, as
with the power of a rack, while a request that is sent again is sent after the
end under the attempt before. So ends count in rounds: a round begins with the
end of an attempt that was sent after the end that began the previous round.

A request is sent once at a time, a part of prompts is in many requests: for it
the number of processes counts, and one round more than an end by chance makes.
Sound parts are in the same requests. Of two parts, the one that was sent less
often explains the ends, if all processes that ended under the other one ended
under it, too. A quarantined part is tried again after some time, by one request
at a time.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
from typing import NamedTuple

from endivestream import quarantine_messages
from endivestream.request import crash_keys
from endivestream.request import open_attempts

# Rounds after which a request is sent to no further target.
_REQUEST_ROUNDS = 3
# Time for which a request is sent to no target. Its callers' deadlines end
# earlier.
REQUEST_QUARANTINE_SECONDS = 60.0
# Processes and rounds after which a part of prompts is quarantined.
_PART_PROCESSES = 3
_PART_ROUNDS = 2
# Time until one request with a quarantined part may be sent; multiplied by the
# factor with each such trial.
_FIRST_TRIAL_SECONDS = 6.0
_TRIAL_FACTOR = 5.0
_MAX_TRIAL_SECONDS = 3600.0
# Time after the last end for which evidence is kept.
_RETENTION_SECONDS = 600.0
# Maximum number of keys. The oldest evidence is dropped first, that against
# suspects and quarantined keys last.
_MAX_KEYS = 4096
# Maximum number of ends kept for a key.
_MAX_ENDS = 16


class KeyState(enum.StrEnum):
    """What the evidence says about a key.

    One more end would quarantine a suspect; no request with a quarantined key
    is sent.
    """

    OBSERVED = "observed"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class EndCounts(NamedTuple):
    """Number of ends under a key.

    Attributes:
        ends: Processes that have ended.
        rounds: Rounds in which they have.
    """

    ends: int
    rounds: int


class _End(NamedTuple):
    """The end of a process.

    Attributes:
        ended_at: When it ended.
        sent_at: When the latest attempt was sent that was open there.
    """

    ended_at: float
    sent_at: float


@dataclasses.dataclass(kw_only=True)
class _Record:
    """Evidence against one key.

    Attributes:
        ends: Processes that ended under it. Reports arrive in any order.
        rounds: Number of rounds in which they ended.
        is_restored: Whether a previous leader has had the verdict.
        last_end_at: Time of the last end.
        quarantined_until: End of the quarantine; of a part, when it may be
            tried.
        trials: Number of trials of a part.
        sends: Number of requests with a part that each host has sent.
        all_sends: Their sum.
    """

    ends: dict[open_attempts.TargetProcess, _End] = dataclasses.field(
        default_factory=dict
    )
    rounds: int = 0
    is_restored: bool = False
    last_end_at: float = float("-inf")
    quarantined_until: float = float("-inf")
    trials: int = 0
    sends: dict[str, int] = dataclasses.field(default_factory=dict)
    all_sends: int = 0

    @property
    def trial_seconds(self) -> float:
        """Time until the next trial of a part."""
        seconds = _FIRST_TRIAL_SECONDS * _TRIAL_FACTOR**self.trials
        return min(_MAX_TRIAL_SECONDS, seconds)

    def is_suspect(self, key: str) -> bool:
        """Whether one more end may quarantine the key."""
        if crash_keys.is_part(key):
            return len(self.ends) >= _PART_PROCESSES - 1
        return self.is_restored or self.rounds >= _REQUEST_ROUNDS - 1

    @property
    def has_part_verdict(self) -> bool:
        """Whether enough processes have ended under a part."""
        return self.is_restored or (
            len(self.ends) >= _PART_PROCESSES and self.rounds >= _PART_ROUNDS
        )

    def set_sends(self, host: str, sends: int) -> bool:
        """Sets how many requests a host sent; returns whether that is new."""
        before = self.sends.get(host, 0)
        self.sends[host] = sends
        self.all_sends += sends - before
        return sends != before

    def add_end(self, process: open_attempts.TargetProcess, end: _End) -> bool:
        """Adds the end of a process; returns whether that is new evidence.

        Of several reports the first end and the latest attempt count.
        """
        known = self.ends.get(process, end)
        merged = _End(
            min(known.ended_at, end.ended_at), max(known.sent_at, end.sent_at)
        )
        if self.ends.get(process) == merged:
            return False
        if process not in self.ends and len(self.ends) >= _MAX_ENDS:
            del self.ends[next(iter(self.ends))]
        self.ends[process] = merged
        self.last_end_at = max(self.last_end_at, merged.ended_at)
        self._count_rounds()
        return True

    def _count_rounds(self) -> None:
        self.rounds, round_at = 0, float("-inf")
        for end in sorted(self.ends.values()):
            if end.sent_at >= round_at:
                self.rounds += 1
                round_at = end.ended_at

    def extend_quarantine(self, key: str, now: float) -> None:
        """Sets the end of the quarantine after another end of a process."""
        if not crash_keys.is_part(key):
            if self.rounds >= _REQUEST_ROUNDS:
                self.quarantined_until = now + REQUEST_QUARANTINE_SECONDS
        elif self.has_part_verdict:
            self.quarantined_until = max(
                self.quarantined_until, now + self.trial_seconds
            )


class CrashEvidence:
    """Evidence by key, and the keys in quarantine."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        # Keys with more than single ends against them, in the order in which
        # they got it.
        self._notable: dict[str, None] = {}
        # Parts under which enough processes have ended, and which of them
        # others explain; None while that has to be determined.
        self._verdicts: set[str] = set()
        self._explained: frozenset[str] | None = frozenset()

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence against any key."""
        return not self._records

    @property
    def size(self) -> int:
        """Number of keys with evidence against them."""
        return len(self._records)

    def counts(self, key: str) -> EndCounts:
        """Returns how many processes have ended under a key."""
        record = self._records.get(key)
        if record is None:
            return EndCounts(0, 0)
        return EndCounts(len(record.ends), record.rounds)

    def record_end(
        self,
        process: open_attempts.TargetProcess,
        open_seconds: Mapping[str, float],
        now: float,
        *,
        sends: Mapping[str, int] | None = None,
        host: str = "",
        seconds_ago: float = 0.0,
    ) -> frozenset[str]:
        """Records the end of a process.

        Args:
            process: The process.
            open_seconds: Keys of the requests that were open there, and for how
                long; for several requests with one key, the shortest time.
            now: Current time.
            sends: How many requests with parts of prompts the host has sent.
            host: The reporting host.
            seconds_ago: How long ago the process ended.

        Returns:
            The keys whose state may have changed. That of parts also follows
            from the evidence against others.
        """
        ended_at = now - seconds_ago
        changed = set()
        for key, seconds in open_seconds.items():
            record = self._records.setdefault(key, _Record())
            self._records.move_to_end(key)
            has_new_sends = record.set_sends(host, (sends or {}).get(key, 0))
            is_new = record.add_end(process, _End(ended_at, ended_at - seconds))
            if is_new:
                record.extend_quarantine(key, now)
                self._update_verdict(key)
                if key in self._notable:
                    changed.add(key)
            if key in self._verdicts and (is_new or has_new_sends):
                self._explained = None
                changed |= self._verdicts
        while len(self._records) > _MAX_KEYS:
            self._drop(self._oldest_key())
        return frozenset(changed)

    def _oldest_key(self) -> str:
        """Returns the key whose evidence is dropped first."""
        observed = (key for key in self._records if key not in self._notable)
        return next(observed, next(iter(self._records)))

    def is_notable(self, key: str) -> bool:
        """Returns whether a key is a suspect, quarantined, or was."""
        return key in self._notable

    def _update_verdict(self, key: str) -> None:
        record = self._records[key]
        if record.is_suspect(key) or record.is_restored:
            self._notable[key] = None
        if crash_keys.is_part(key) and record.has_part_verdict:
            self._verdicts.add(key)
            self._explained = None

    def _drop(self, key: str) -> bool:
        """Drops the evidence against a key; returns whether there was any."""
        if key in self._verdicts:
            self._verdicts.remove(key)
            self._explained = None
        self._notable.pop(key, None)
        return self._records.pop(key, None) is not None

    def _is_quarantined(self, key: str, now: float) -> bool:
        record = self._records[key]
        if not crash_keys.is_part(key):
            return now < record.quarantined_until
        return key in self._verdicts and key not in self._explained_parts()

    def _explained_parts(self) -> frozenset[str]:
        """Returns the parts with a verdict whose ends another one explains."""
        if self._explained is None:
            explained = set()
            # Records of which one with fewer requests may explain others.
            rarer: list[_Record] = []
            equal: list[_Record] = []
            records = [(key, self._records[key]) for key in self._verdicts]
            for key, record in sorted(records, key=lambda r: r[1].all_sends):
                if equal and equal[0].all_sends < record.all_sends:
                    rarer += equal
                    equal = []
                equal.append(record)
                ends, count = record.ends.keys(), len(record.ends)
                if not record.is_restored and any(
                    len(other.ends) >= count and ends <= other.ends.keys()
                    for other in rarer
                ):
                    explained.add(key)
            self._explained = frozenset(explained)
        return self._explained

    def record_answered(
        self, keys: Iterable[str], now: float
    ) -> frozenset[str]:
        """Drops the evidence against keys whose requests were answered.

        Returns:
            The keys that had evidence against them, and those that may have
            been explained by one of these.
        """
        verdicts = frozenset(self._verdicts)
        dropped = {key for key in list(keys) if self._drop(key)}
        return frozenset(
            dropped | (self._verdicts if dropped & verdicts else set())
        )

    def restore(
        self, entries: Iterable[quarantine_messages.QuarantineEntry], now: float
    ) -> frozenset[str]:
        """Merges a quarantine that another process has kept.

        Returns:
            The keys whose quarantine is new or longer.
        """
        changed = set()
        for entry in entries:
            if not entry.is_quarantined:
                continue
            record = self._records.setdefault(entry.key, _Record())
            if self.state(entry.key, now) == KeyState.QUARANTINED:
                continue
            record.is_restored = True
            record.last_end_at = now
            record.quarantined_until = now + entry.seconds
            self._update_verdict(entry.key)
            changed.add(entry.key)
        return frozenset(changed)

    def state(self, key: str, now: float) -> KeyState:
        """Returns what the evidence says about a key."""
        record = self._records.get(key)
        if record is None:
            return KeyState.OBSERVED
        if self._is_quarantined(key, now):
            return KeyState.QUARANTINED
        return KeyState.SUSPECT if record.is_suspect(key) else KeyState.OBSERVED

    def quarantined_until(self, key: str, now: float) -> float | None:
        """Returns when the quarantine of a key ends; None without one.

        For a part whose trial is due, the time has passed.
        """
        record = self._records.get(key)
        if record is None or not self._is_quarantined(key, now):
            return None
        return record.quarantined_until

    def start_trial(self, key: str, now: float) -> bool:
        """Returns whether one request with a quarantined part may be sent."""
        # A leader that has just been elected may not know the key yet.
        record = self._records.setdefault(key, _Record())
        self._notable[key] = None
        if now < record.quarantined_until:
            return False
        record.last_end_at = max(record.last_end_at, now)
        record.trials += 1
        record.quarantined_until = now + record.trial_seconds
        return True

    def postpone_trial(self, key: str, until: float) -> None:
        """Sets the time of the next trial of a quarantined part."""
        record = self._records.get(key)
        if record is not None:
            record.quarantined_until = max(record.quarantined_until, until)

    def entry(
        self, key: str, now: float
    ) -> quarantine_messages.QuarantineEntry | None:
        """Returns a suspect or quarantined key; None for any other."""
        if self.state(key, now) == KeyState.OBSERVED:
            return None
        return quarantine_messages.QuarantineEntry(
            key=key,
            is_quarantined=self._is_quarantined(key, now),
            seconds=max(0.0, self._records[key].quarantined_until - now),
        )

    def entries(
        self, now: float
    ) -> tuple[quarantine_messages.QuarantineEntry, ...]:
        """Returns all suspects and quarantined keys."""
        entries = (self.entry(key, now) for key in self._notable)
        return tuple(entry for entry in entries if entry is not None)

    def drop_old(self, now: float) -> frozenset[str]:
        """Drops evidence that is too old; returns its keys."""
        old = [
            key
            for key, record in self._records.items()
            if now - record.last_end_at > _RETENTION_SECONDS
            and now - record.quarantined_until > _RETENTION_SECONDS
        ]
        for key in old:
            self._drop(key)
        # What one of these explains is not explained any more.
        verdicts = self._verdicts if self._explained is None else frozenset()
        return frozenset((*old, *verdicts))
