"""What the leader tells entry hosts of its table, and how often.

The load patterns that it answers:

- Engines take models and adapters dozens of times a second. Told one by one,
  each change is a frame for every host; on a site of seventy that is thousands
  a second, and a leader that writes them answers nobody (symptom: its peers
  take it for lost, and the next leader meets the same load). So changes that
  come while hosts are being told are gathered and told together.
- After an election, or a restart of many hosts, all of them come at once. The
  list of hosts then changes with each; it is told once for all.
- In a site of hundreds of hosts most of this traffic would cross between
  failure domains. Hosts that follow a relay receive pushes from it instead
  (connection/relays.py).
- A renewal crosses news. What the host lacks since its position is a few
  targets, not the table.

Times are seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from endivestream import clock
from endivestream import messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.version import document as document_lib

# Between two rounds of news the loop is left to other work for this multiple
# of the time that a round took.
_PAUSE_SHARE = 4.0
# Least pause for each entry host. Each round costs every host a frame to read
# and every relay a frame to write for each of its followers.
_PAUSE_SECONDS_PER_HOST = 0.0002
# The longest pause.
_LONGEST_PAUSE_SECONDS = 0.2


class Table(NamedTuple):
    """All targets, as entry hosts are told of them.

    Attributes:
        targets: Those that there are.
        gone: Those that have left lately.
        complete: Whether every sound one has been heard of.
    """

    targets: tuple[site_messages.Target, ...]
    gone: tuple[str, ...]
    complete: bool


class TableNews:
    """News of the table during one term of leadership."""

    def __init__(
        self,
        *,
        term: int,
        push: Callable[[Sequence[bytes], messages.Message], Awaitable[None]],
        peers: Callable[[], Sequence[bytes]],
        direct_peers: Callable[[], Sequence[bytes]],
        target: Callable[[str], site_messages.Target | None],
        whole: Callable[[], Table],
        limits: Callable[
            [Collection[str] | None], tuple[site_messages.RateLimit, ...]
        ],
    ) -> None:
        """Tells nothing before `start`.

        Args:
            term: The leader's term.
            push: Sends one message to many peers.
            peers: Returns the entry hosts' sockets.
            direct_peers: Returns the sockets of the entry hosts that do not
                follow a relay.
            target: Returns a target as it is now; None if it is gone.
            whole: Returns the whole table.
            limits: Returns the limits of some targets, or of all.
        """
        self._term = term
        self._push = push
        self._peers = peers
        self._direct_peers = direct_peers
        self._target = target
        self._whole = whole
        self._limits = limits
        self._number = 0
        self._told = 0
        # The number of the last change of each target, also of those gone.
        self._changed: dict[str, int] = {}
        self._entries: tuple[site_messages.EntryHost, ...] | None = None
        self._entries_changed = 0
        # Changes up to this number are in nobody's table unless it has all.
        self._first = 0
        self._wanted = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._pushing: set[asyncio.Task[None]] = set()

    @property
    def position(self) -> site_messages.Position:
        """The table's state with all changes so far."""
        return site_messages.Position(self._term, self._number)

    def start(self) -> None:
        """Starts to tell."""
        self._tasks = [tasks.start(self._run(), type(self).__name__)]

    async def close(self) -> None:
        """Stops; what is not told yet stays untold."""
        await tasks.cancel((*self._tasks, *self._pushing))

    # What changes.

    def note_targets(self, names: Iterable[str]) -> None:
        """Numbers a change of some targets, gone ones included."""
        self._number += 1
        for name in names:
            self._changed[name] = self._number
        self._wanted.set()

    def note_entries(
        self, entries: tuple[site_messages.EntryHost, ...]
    ) -> None:
        """Numbers a change of the entry hosts."""
        self._number += 1
        self._entries = entries
        self._entries_changed = self._number
        self._wanted.set()

    def note_whole(self) -> None:
        """Has the whole table told: what hosts have may be more than it."""
        self._number += 1
        self._first = self._number
        self._wanted.set()

    def forget_all_but(self, names: Collection[str]) -> None:
        """Forgets targets that are long gone."""
        for name in [n for n in self._changed if n not in names]:
            self._first = max(self._first, self._changed.pop(name))

    # What is told.

    def since(
        self, position: site_messages.Position
    ) -> site_messages.News | None:
        """Returns what a host at a position lacks; None if it has all."""
        if position == self.position:
            return None
        known = self._first <= position.number <= self._number
        if position.term != self._term or not known:
            return self._whole_news()
        changed = [
            name
            for name, number in self._changed.items()
            if number > position.number
        ]
        targets = {name: self._target(name) for name in changed}
        has_entries = self._entries_changed <= position.number
        return site_messages.News(
            position=self.position,
            after=position,
            targets=tuple(t for t in targets.values() if t is not None),
            gone=tuple(name for name, t in targets.items() if t is None),
            entries=None if has_entries else self._entries,
            limits=self._limits(targets.keys()),
        )

    def _whole_news(self) -> site_messages.News:
        whole = self._whole()
        return site_messages.News(
            position=self.position,
            after=None,
            complete=whole.complete,
            targets=whole.targets,
            gone=whole.gone,
            entries=self._entries,
            limits=self._limits(None),
        )

    def tell_at_once(self, document: document_lib.Document) -> None:
        """Tells all hosts of a configuration, ahead of gathered news."""
        told = site_messages.Position(self._term, self._told)
        news = site_messages.News(position=told, after=told, document=document)
        task = tasks.start(self._push(self._direct_peers(), news), "push")
        self._pushing.add(task)
        task.add_done_callback(self._pushing.discard)

    async def _run(self) -> None:
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            begun = clock.now()
            await self._tell()
            pause = max(
                _PAUSE_SHARE * (clock.now() - begun),
                _PAUSE_SECONDS_PER_HOST * len(self._peers()),
            )
            await asyncio.sleep(min(_LONGEST_PAUSE_SECONDS, pause))

    async def _tell(self) -> None:
        """Tells all hosts what has changed since the last time."""
        told = site_messages.Position(self._term, self._told)
        self._told = self._number
        news = self.since(told)
        if news is not None:
            await self._push(self._direct_peers(), news)
