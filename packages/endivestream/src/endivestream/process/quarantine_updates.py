"""Updates of the quarantine for entry hosts, and how often they are pushed.

Evidence changes with each end of a target process and each answer that
disproves one: hundreds of times a second at the loss of a rack, in a site of
hundreds of hosts. A push for each, or the whole table in each answer to a
renewal, would take all of the leader's time. So changes are collected, pushes
contain what has changed, and there are pauses between them: short ones if a
caller's retry must not be faster than the change, long ones otherwise. Times
are seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from endivestream import clock
from endivestream import logs
from endivestream import quarantine_messages
from endivestream import table_position
from endivestream import tasks

# Time for which changes are collected.
_COLLECT_SECONDS = 0.01
# Minimum times between two pushes: with changes that a retry must not overtake,
# and with others.
_URGENT_INTERVAL_SECONDS = 0.04
_INTERVAL_SECONDS = 0.1
# After each push the event loop is free for other work for this multiple of the
# time that the push took, within a limit.
_PAUSE_FACTOR = 4.0
_MAX_PAUSE_SECONDS = 0.2
# Time that a push may be under way. After that, a host that lacks it receives
# it with the answer to its next renewal.
_PUSH_IN_FLIGHT_SECONDS = 0.5
# Removed keys whose removal is remembered. A host that has an older table than
# that gets the whole one.
_MAX_REMOVED = 1024


class Published(NamedTuple):
    """What hosts know of a key.

    Attributes:
        is_quarantined: Whether no request with it is sent.
        until: When the quarantine ends, or the deadline of a request.
        ends: For a request of a caller, how many processes ended under it.
        proved: How many of these have certainly ended.
    """

    is_quarantined: bool
    until: float
    ends: int = 0
    proved: int = 0

    def is_same(self, other: Published | None) -> bool:
        """Returns whether hosts do the same with both."""
        return (
            other is not None
            and self._replace(until=0.0) == other._replace(until=0.0)
            and abs(self.until - other.until) < _COLLECT_SECONDS
        )


class QuarantineUpdates:
    """Numbers and pushes changes of the quarantine during one term."""

    def __init__(
        self,
        *,
        term: int,
        push: Callable[[quarantine_messages.QuarantineTable], Awaitable[None]],
        current: Callable[[Iterable[str]], Mapping[str, Published | None]],
        format_state: Callable[[str], str],
    ) -> None:
        """Starts with an empty table.

        Args:
            term: The leader's term.
            push: Pushes an update to all entry hosts.
            current: Returns what hosts have to know of some keys, and of
                further ones that have changed with them; None for nothing.
            format_state: Returns the state of a key for the log.
        """
        self._term = term
        self._push = push
        self._current = current
        self._format_state = format_state
        self._number = 0
        self._published: dict[str, Published] = {}
        self._first_published_at: dict[str, float] = {}
        # Number of the last change of each key, and those of removed ones.
        self._change_numbers: dict[str, int] = {}
        self._removal_numbers: dict[str, int] = {}
        # Hosts at an earlier number get the whole table.
        self._oldest_number = 0
        self._published_at: dict[int, float] = {}
        self._changed: dict[str, str] = {}
        self._waiting: list[asyncio.Future[None]] = []
        self._is_urgent = False
        self._urgent_change = asyncio.Event()
        self._free_at = float("-inf")
        self._last_push_at = float("-inf")
        self._task: asyncio.Task[None] | None = None

    @property
    def revision(self) -> table_position.Position:
        """Revision of the table that hosts have, or get with a push."""
        return table_position.Position(self._term, self._number)

    @property
    def keys(self) -> Iterable[str]:
        """The keys of the table."""
        return self._published.keys()

    @property
    def table(self) -> quarantine_messages.QuarantineTable:
        """The whole table."""
        return self._format_update(self._published, base=None)

    async def close(self) -> None:
        """Ends the pushes; who waits for one is cancelled."""
        await tasks.cancel([self._task])
        for waiter in self._waiting:
            waiter.cancel()

    def first_published_at(self, key: str) -> float:
        """Returns since when a key is in the table; -inf if it is not."""
        return self._first_published_at.get(key, float("-inf"))

    def is_pending(self, key: str) -> bool:
        """Returns whether a change of a key has not been pushed yet."""
        return key in self._changed

    def record(
        self, keys: Iterable[str], why: str, *, is_urgent: bool = False
    ) -> None:
        """Records that what hosts have to know of some keys may have changed.

        Args:
            keys: The keys.
            why: The reason, for the log.
            is_urgent: Whether it is pushed soon.
        """
        changed = dict.fromkeys(keys, why)
        if not changed:
            return
        self._changed |= changed
        if is_urgent:
            self._is_urgent = True
            self._urgent_change.set()
        if self._task is None or self._task.done():
            self._task = tasks.start(self._run(), type(self).__name__)

    async def flush(self) -> None:
        """Pushes what has been recorded soon, and waits for that."""
        if not self._changed:
            return
        self._is_urgent = True
        self._urgent_change.set()
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        await waiter

    def update_since(
        self, revision: table_position.Position
    ) -> quarantine_messages.QuarantineTable | None:
        """Returns the update that a host lacks that has sent a renewal.

        Returns:
            The update; None if the host has the table, or a push is on its way.
        """
        if revision == self.revision:
            return None
        if (
            revision.term != self._term
            or not self._oldest_number <= revision.number <= self._number
        ):
            return self.table
        if (
            clock.now() - self._published_at.get(revision.number + 1, 0.0)
            < _PUSH_IN_FLIGHT_SECONDS
        ):
            return None
        changed = {
            key: self._published[key]
            for key, number in self._change_numbers.items()
            if number > revision.number
        }
        removed = (
            key
            for key, number in self._removal_numbers.items()
            if number > revision.number
        )
        return self._format_update(changed, base=revision, removed=removed)

    async def _run(self) -> None:
        while self._changed:
            await self._wait_for_turn()
            started_at = clock.now()
            waiting, self._waiting = self._waiting, []
            try:
                update = self._publish()
                if update is not None:
                    await self._push(update)
            finally:
                for waiter in waiting:
                    if not waiter.done():
                        waiter.set_result(None)
            now = clock.now()
            pause = min(_MAX_PAUSE_SECONDS, _PAUSE_FACTOR * (now - started_at))
            self._free_at, self._last_push_at = now + pause, started_at

    async def _wait_for_turn(self) -> None:
        """Waits for the next push, collecting changes."""
        await asyncio.sleep(_COLLECT_SECONDS)
        while True:
            interval = (
                _URGENT_INTERVAL_SECONDS
                if self._is_urgent
                else _INTERVAL_SECONDS
            )
            due = max(self._free_at, self._last_push_at + interval)
            self._urgent_change.clear()
            try:
                async with asyncio.timeout(max(0.0, due - clock.now())):
                    await self._urgent_change.wait()
            except TimeoutError:
                self._is_urgent = False
                return

    def _publish(self) -> quarantine_messages.QuarantineTable | None:
        """Applies recorded changes; returns the update, if there is any."""
        reasons, self._changed = self._changed, {}
        changed: dict[str, Published] = {}
        removed: list[str] = []
        for key, current in self._current(reasons).items():
            before = self._published.get(key)
            if current is None and before is not None:
                removed.append(key)
            elif current is not None and not current.is_same(before):
                changed[key] = current
        if not changed and not removed:
            return None
        base = self.revision
        self._number += 1
        for key in removed:
            del self._published[key], self._change_numbers[key]
            del self._first_published_at[key]
            self._removal_numbers[key] = self._number
        now = clock.now()
        for key in changed:
            self._change_numbers[key] = self._number
            self._first_published_at.setdefault(key, now)
            self._removal_numbers.pop(key, None)
        self._published |= changed
        while len(self._removal_numbers) > _MAX_REMOVED:
            oldest = next(iter(self._removal_numbers))
            self._oldest_number = self._removal_numbers.pop(oldest)
        self._published_at = {
            number: at
            for number, at in self._published_at.items()
            if now - at < _PUSH_IN_FLIGHT_SECONDS
        } | {self._number: now}
        for key in sorted((*changed, *removed)):
            if key in reasons:
                logs.event(
                    "quarantine",
                    key=key,
                    state=self._format_state(key),
                    why=reasons[key],
                )
        return self._format_update(changed, base=base, removed=removed)

    def _format_update(
        self,
        entries: Mapping[str, Published],
        *,
        base: table_position.Position | None,
        removed: Iterable[str] = (),
    ) -> quarantine_messages.QuarantineTable:
        now = clock.now()
        return quarantine_messages.QuarantineTable(
            revision=self.revision,
            base=base,
            entries=tuple(
                quarantine_messages.QuarantineEntry(
                    key, each.is_quarantined, max(0.0, each.until - now)
                )
                for key, each in entries.items()
                if not each.ends
            ),
            requests=tuple(
                quarantine_messages.ListedRequest(
                    key, each.until - now, each.ends, each.proved
                )
                for key, each in entries.items()
                if each.ends
            ),
            removed=tuple(removed),
        )
