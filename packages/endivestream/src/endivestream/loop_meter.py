"""Where the time of a process's event loop goes, and how late it runs.

A control host has a fraction of a core. While its loop works off a burst it
answers nobody, and its peers cannot tell that from a crash. What is counted
here tells them apart afterwards: the lateness of the loop, and its time by
kind of message.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Generator
import contextlib
import dataclasses
import time
import types
from typing import Any
from typing import NamedTuple

from endivestream import clock
from endivestream import logs
from endivestream import tasks

# How often the loop's lateness is looked at, in seconds.
_LOOK_SECONDS = 0.05
# A lateness, in seconds, that gets a log line: several lost heartbeats.
_LATE_SECONDS = 0.15
# Kinds named in a line.
_KINDS_NAMED = 8
# Between two lines that say what the loop did.
_REPORT_SECONDS = 10.0


@dataclasses.dataclass(kw_only=True)
class Tally:
    """Work of one kind since the process started.

    Attributes:
        count: How often it was done.
        size: Bytes read or written for it.
        seconds: Time of the event loop that it took.
        longest: The longest uninterrupted part of that, in seconds.
    """

    count: int = 0
    size: int = 0
    seconds: float = 0.0
    longest: float = 0.0

    def add(self, seconds: float, *, count: int = 0, size: int = 0) -> None:
        """Adds an uninterrupted run of the loop."""
        self.count += count
        self.size += size
        self.seconds += seconds
        self.longest = max(self.longest, seconds)


class Spent(NamedTuple):
    """What work of one kind had taken by some moment.

    Attributes:
        seconds: Time of the event loop.
        count: How often it was done.
        size: Bytes read or written for it.
    """

    seconds: float = 0.0
    count: int = 0
    size: int = 0


class LoopMeter:
    """Counts of one event loop. Lives as long as the process."""

    def __init__(self) -> None:
        self._tallies: dict[str, Tally] = {}
        self._looked: dict[str, Spent] = {}
        self._reported: dict[str, Spent] = {}
        self._late = 0.0
        self._latest = 0.0
        self._task: asyncio.Task[None] | None = None

    @property
    def tallies(self) -> dict[str, Tally]:
        """Work by kind; the kinds are types of messages and names of ours."""
        return dict(self._tallies)

    @property
    def late(self) -> float:
        """How late the loop was when it was last looked at, in seconds."""
        return self._late

    @property
    def latest(self) -> float:
        """The greatest lateness since the process started, in seconds."""
        return self._latest

    def start(self) -> None:
        """Begins to look at the loop's lateness."""
        self._task = tasks.start(self._run(), type(self).__name__)

    async def close(self) -> None:
        """Ends that."""
        await tasks.cancel([self._task])

    def _tally(self, kind: str) -> Tally:
        tally = self._tallies.get(kind)
        if tally is None:
            tally = self._tallies[kind] = Tally()
        return tally

    @contextlib.contextmanager
    def span(self, kind: str, *, size: int = 0) -> Generator[Tally]:
        """Counts what runs inside, which must not wait.

        Args:
            kind: What it is done for.
            size: Bytes that it reads or writes.
        """
        begun = clock.now()
        tally = self._tally(kind)
        try:
            yield tally
        finally:
            tally.add(clock.now() - begun, count=1, size=size)

    @types.coroutine
    def timed(
        self, kind: str, work: Coroutine[Any, Any, Any]
    ) -> Generator[Any, Any, Any]:
        """Awaits a coroutine and counts its own time, without its waits."""
        tally = self._tally(kind)
        tally.count += 1
        sent: Any = None
        error: BaseException | None = None
        while True:
            begun = clock.now()
            try:
                if error is None:
                    waits_for = work.send(sent)
                else:
                    waits_for = work.throw(error)
            except StopIteration as done:
                return done.value
            finally:
                tally.add(clock.now() - begun)
            sent, error = None, None
            try:
                sent = yield waits_for
            except BaseException as raised:  # Passed on to the coroutine.
                error = raised

    async def _run(self) -> None:
        due = clock.now() + _LOOK_SECONDS
        began = clock.now()
        processor = time.process_time()
        while True:
            await asyncio.sleep(max(0.0, due - clock.now()))
            now = clock.now()
            self._late = now - due
            self._latest = max(self._latest, self._late)
            if self._late >= _LATE_SECONDS:
                spent = self._most_since(self._looked)
                logs.warn("loop_late", late_s=self._late, spent=spent)
            self._looked = self._spent()
            if now - began >= _REPORT_SECONDS:
                logs.event(
                    "load",
                    seconds=now - began,
                    processor_s=time.process_time() - processor,
                    spent=self._most_since(self._reported),
                )
                began, processor = now, time.process_time()
                self._reported = self._looked
            due = now + _LOOK_SECONDS

    def _spent(self) -> dict[str, Spent]:
        return {
            kind: Spent(tally.seconds, tally.count, tally.size)
            for kind, tally in self._tallies.items()
        }

    def _most_since(self, before: dict[str, Spent]) -> str:
        """Returns the kinds that took most time, as KIND:TIME/COUNT/BYTES."""
        took = []
        for kind, spent in self._spent().items():
            known = before.get(kind, Spent())
            since = (now - then for now, then in zip(spent, known, strict=True))
            took.append((Spent(*since), kind))
        took.sort(reverse=True)
        return ",".join(
            f"{kind}:{spent.seconds:.3f}s/{spent.count}/{spent.size}B"
            for spent, kind in took[:_KINDS_NAMED]
        )
