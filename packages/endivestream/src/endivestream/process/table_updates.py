"""Updates of the leader's table for entry hosts, and how often they are pushed.

It is designed for these load patterns:

- Engines load models and adapters dozens of times a second. If each change
  were pushed separately, it would need a frame for every host; at seventy hosts
  that is thousands of frames a second, and a leader that is busy writing them
  answers no requests (symptom: its peers consider it failed, and the next
  leader gets the same load). Changes recorded during a push are therefore
  batched into the next one.
- After an election, or a restart of many hosts, all hosts connect within a
  short time. The list of hosts changes with each of them; one update covers
  all these changes.
- In a site of hundreds of hosts most of this traffic would cross between
  failure domains. Hosts that follow a relay receive pushes from it instead
  (connection/relays.py).
- A renewal may cross a table update in flight. Its answer contains only the
  few targets that changed since the host's position, not the full table.

Times are seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from endivestream import clock
from endivestream import limit_messages
from endivestream import messages
from endivestream import quarantine_messages
from endivestream import site_messages
from endivestream import table_position
from endivestream import tasks
from endivestream.version import document as document_lib
from endivestream.version import evacuations as evacuations_lib

# After each push the event loop is free for other work for this multiple of the
# time that the push took.
_PAUSE_FACTOR = 4.0
# Minimum pause, multiplied by the number of entry hosts. With each push every
# host reads a frame, and every relay writes a frame to each of its followers.
_MIN_PAUSE_SECONDS_PER_HOST = 0.0002
_MAX_PAUSE_SECONDS = 0.2


class TableSnapshot(NamedTuple):
    """Full table of targets as sent to entry hosts.

    Attributes:
        targets: All current targets.
        removed: Names of recently departed targets.
        complete: Whether every healthy target has reported.
    """

    targets: tuple[site_messages.Target, ...]
    removed: tuple[str, ...]
    complete: bool


class TableUpdates:
    """Numbers and pushes table changes during one term of leadership."""

    def __init__(
        self,
        *,
        term: int,
        push: Callable[[Sequence[bytes], messages.Message], Awaitable[None]],
        peers: Callable[[], Sequence[bytes]],
        direct_peers: Callable[[], Sequence[bytes]],
        table_entry: Callable[[str], site_messages.Target | None],
        full_table: Callable[[], TableSnapshot],
        rate_limits: Callable[
            [Collection[str] | None], tuple[limit_messages.RateLimit, ...]
        ],
    ) -> None:
        """Pushes nothing before `start`.

        Args:
            term: The leader's term.
            push: Sends one message to many peers.
            peers: Returns the entry hosts' sockets.
            direct_peers: Returns the sockets of the entry hosts that do not
                follow a relay.
            table_entry: Returns the current entry of a target; None if it has
                been removed.
            full_table: Returns the full table.
            rate_limits: Returns the rate limits of some targets, or of all if
                the names are None.
        """
        self._term = term
        self._push = push
        self._peers = peers
        self._direct_peers = direct_peers
        self._table_entry = table_entry
        self._full_table = full_table
        self._rate_limits = rate_limits
        self._last_change = 0
        self._last_pushed = 0
        # Number of the last change of each target, removed ones included.
        self._last_change_of_target: dict[str, int] = {}
        self._entry_hosts: tuple[site_messages.EntryHost, ...] | None = None
        self._last_entry_hosts_change = 0
        self._host_reports: dict[str, site_messages.HostReport] = {}
        self._last_change_of_report: dict[str, int] = {}
        # A host at an earlier position needs the full table.
        self._oldest_position = 0
        self._change_recorded = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._push_tasks: set[asyncio.Task[None]] = set()

    @property
    def position(self) -> table_position.Position:
        """Position of a table that contains all changes so far."""
        return table_position.Position(self._term, self._last_change)

    def start(self) -> None:
        """Starts pushing updates."""
        self._tasks = [tasks.start_restarting(self._run, type(self).__name__)]

    async def close(self) -> None:
        """Stops; changes that have not been pushed yet are not pushed."""
        await tasks.cancel((*self._tasks, *self._push_tasks))

    # Recording of changes.

    def record_targets(self, names: Iterable[str]) -> None:
        """Records a change or the removal of some targets."""
        self._last_change += 1
        for name in names:
            self._last_change_of_target[name] = self._last_change
        self._change_recorded.set()

    def record_entry_hosts(
        self, entry_hosts: tuple[site_messages.EntryHost, ...]
    ) -> None:
        """Records a change of the list of entry hosts."""
        self._last_change += 1
        self._entry_hosts = entry_hosts
        self._last_entry_hosts_change = self._last_change
        self._change_recorded.set()

    def record_host_reports(
        self, reports: Mapping[str, site_messages.HostReport]
    ) -> None:
        """Records changes of the reports of entry hosts.

        Hosts apply an update only to the table before it, so they have all
        reports of the hosts in the list.

        Args:
            reports: All present reports, by host.
        """
        changed_names = [
            name
            for name, report in reports.items()
            if self._host_reports.get(name) != report
        ]
        self._host_reports = dict(reports)
        for name in self._last_change_of_report.keys() - reports.keys():
            del self._last_change_of_report[name]
        if not changed_names:
            return
        self._last_change += 1
        for name in changed_names:
            self._last_change_of_report[name] = self._last_change
        self._change_recorded.set()

    def require_full_table(self) -> None:
        """Makes the next update a full table for every host.

        Hosts may have targets that are no longer in the table.
        """
        self._last_change += 1
        self._oldest_position = self._last_change
        self._change_recorded.set()

    def retain_targets(self, names: Collection[str]) -> None:
        """Forgets the changes of all targets but these."""
        for name in [n for n in self._last_change_of_target if n not in names]:
            self._oldest_position = max(
                self._oldest_position, self._last_change_of_target.pop(name)
            )

    # Updates.

    def update_since(
        self, position: table_position.Position
    ) -> site_messages.News | None:
        """Returns the update for a host at a position; None if up to date."""
        if position == self.position:
            return None
        is_continuable = (
            self._oldest_position <= position.number <= self._last_change
        )
        if position.term != self._term or not is_continuable:
            return self._full_update()
        changed_names = [
            name
            for name, number in self._last_change_of_target.items()
            if number > position.number
        ]
        targets = {name: self._table_entry(name) for name in changed_names}
        has_entry_hosts = self._last_entry_hosts_change <= position.number
        return site_messages.News(
            position=self.position,
            base_position=position,
            targets=tuple(t for t in targets.values() if t is not None),
            removed_targets=tuple(
                name for name, t in targets.items() if t is None
            ),
            entries=None if has_entry_hosts else self._entry_hosts,
            limits=self._rate_limits(targets.keys()),
            host_reports=tuple(
                self._host_reports[name]
                for name, number in self._last_change_of_report.items()
                if number > position.number
            ),
        )

    def _full_update(self) -> site_messages.News:
        table = self._full_table()
        return site_messages.News(
            position=self.position,
            base_position=None,
            complete=table.complete,
            targets=table.targets,
            removed_targets=table.removed,
            entries=self._entry_hosts,
            limits=self._rate_limits(None),
            host_reports=tuple(self._host_reports.values()),
        )

    def push_document(self, document: document_lib.Document) -> None:
        """Pushes a configuration to direct peers, ahead of batched changes."""
        self._push_ahead(document=document_lib.without_source(document))

    def push_evacuations(
        self, record: evacuations_lib.EvacuationRecord
    ) -> None:
        """Pushes evacuations to direct peers, ahead of batched changes."""
        self._push_ahead(evacuations=record)

    async def push_quarantine(
        self, quarantine: quarantine_messages.QuarantineTable
    ) -> None:
        """Pushes the quarantine to direct peers, ahead of batched changes."""
        await self._push_ahead(quarantine=quarantine)

    def _push_ahead(
        self,
        *,
        document: document_lib.Document | None = None,
        evacuations: evacuations_lib.EvacuationRecord | None = None,
        quarantine: quarantine_messages.QuarantineTable | None = None,
    ) -> asyncio.Task[None]:
        pushed_position = table_position.Position(self._term, self._last_pushed)
        update = site_messages.News(
            position=pushed_position,
            base_position=pushed_position,
            document=document,
            evacuations=evacuations,
            quarantine=quarantine,
        )
        task = tasks.start(self._push(self._direct_peers(), update), "push")
        self._push_tasks.add(task)
        task.add_done_callback(self._push_tasks.discard)
        return task

    async def _run(self) -> None:
        while True:
            await self._change_recorded.wait()
            self._change_recorded.clear()
            started_at = clock.now()
            await self._push_changes()
            pause = max(
                _PAUSE_FACTOR * (clock.now() - started_at),
                _MIN_PAUSE_SECONDS_PER_HOST * len(self._peers()),
            )
            await asyncio.sleep(min(_MAX_PAUSE_SECONDS, pause))

    async def _push_changes(self) -> None:
        """Pushes the changes since the last push to direct peers."""
        pushed_position = table_position.Position(self._term, self._last_pushed)
        self._last_pushed = self._last_change
        update = self.update_since(pushed_position)
        if update is not None:
            await self._push(self._direct_peers(), update)
