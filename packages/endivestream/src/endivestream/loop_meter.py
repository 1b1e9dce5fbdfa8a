"""Event loop time of a process by kind of work, and lateness of the loop.

A control host has a fraction of a core. While its event loop processes a burst
it answers no requests, and its peers cannot distinguish that from a crash.
These measurements distinguish the two afterwards: lateness of the loop, and its
time by type of message.
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

# Interval between checks of the loop's lateness.
_CHECK_INTERVAL_SECONDS = 0.05
# Lateness from which a line is logged: it means several missed heartbeats.
_LOGGED_LATENESS_SECONDS = 0.15
# Kinds of work listed in a log line.
_MAX_LOGGED_KINDS = 8
# Interval between log lines with the load of the loop.
_REPORT_INTERVAL_SECONDS = 10.0


@dataclasses.dataclass(kw_only=True)
class Tally:
    """Work of one kind since the process started.

    Attributes:
        count: Number of times that the work was done.
        size: Bytes read or written by it.
        seconds: Event loop time spent on it.
        longest: Longest uninterrupted part of that time, in seconds.
    """

    count: int = 0
    size: int = 0
    seconds: float = 0.0
    longest: float = 0.0

    def add(self, seconds: float, *, count: int = 0, size: int = 0) -> None:
        """Adds an uninterrupted run of the event loop."""
        self.count += count
        self.size += size
        self.seconds += seconds
        self.longest = max(self.longest, seconds)


class WorkSnapshot(NamedTuple):
    """Work of one kind up to some time, or between two such times.

    Attributes:
        seconds: Event loop time spent on it.
        count: Number of times that the work was done.
        size: Bytes read or written by it.
    """

    seconds: float = 0.0
    count: int = 0
    size: int = 0


class LoopMeter:
    """Measurements of one event loop. Lives as long as the process."""

    def __init__(self) -> None:
        self._tallies: dict[str, Tally] = {}
        self._at_last_check: dict[str, WorkSnapshot] = {}
        self._at_last_report: dict[str, WorkSnapshot] = {}
        self._lateness = 0.0
        self._max_lateness = 0.0
        self._task: asyncio.Task[None] | None = None

    @property
    def tallies(self) -> dict[str, Tally]:
        """Work by kind: types of messages, and names given to `span`."""
        return dict(self._tallies)

    @property
    def lateness(self) -> float:
        """Lateness of the loop at the last check, in seconds."""
        return self._lateness

    @property
    def max_lateness(self) -> float:
        """Maximum lateness since the process started, in seconds."""
        return self._max_lateness

    def start(self) -> None:
        """Starts to check the lateness of the loop."""
        self._task = tasks.start_restarting(self._run, type(self).__name__)

    async def close(self) -> None:
        """Ends the checks."""
        await tasks.cancel([self._task])

    def _tally(self, kind: str) -> Tally:
        tally = self._tallies.get(kind)
        if tally is None:
            tally = self._tallies[kind] = Tally()
        return tally

    @contextlib.contextmanager
    def span(self, kind: str, *, size: int = 0) -> Generator[Tally]:
        """Measures the work in the `with` block, which must not await.

        Args:
            kind: Kind of the work.
            size: Bytes that it reads or writes.
        """
        started_at = clock.now()
        tally = self._tally(kind)
        try:
            yield tally
        finally:
            tally.add(clock.now() - started_at, count=1, size=size)

    @types.coroutine
    def timed(
        self, kind: str, work: Coroutine[Any, Any, Any]
    ) -> Generator[Any, Any, Any]:
        """Awaits a coroutine and measures its time without its waits."""
        tally = self._tally(kind)
        tally.count += 1
        value_to_send: Any = None
        error: BaseException | None = None
        while True:
            started_at = clock.now()
            try:
                if error is None:
                    awaited = work.send(value_to_send)
                else:
                    awaited = work.throw(error)
            except StopIteration as done:
                return done.value
            finally:
                tally.add(clock.now() - started_at)
            value_to_send, error = None, None
            try:
                value_to_send = yield awaited
            except BaseException as raised_error:  # Passed on to the coroutine.
                error = raised_error

    async def _run(self) -> None:
        due = clock.now() + _CHECK_INTERVAL_SECONDS
        period_started_at = clock.now()
        cpu_seconds_before = time.process_time()
        while True:
            await asyncio.sleep(max(0.0, due - clock.now()))
            now = clock.now()
            self._lateness = now - due
            self._max_lateness = max(self._max_lateness, self._lateness)
            if self._lateness >= _LOGGED_LATENESS_SECONDS:
                spent = self._format_largest_since(self._at_last_check)
                logs.warn("loop_late", late_s=self._lateness, spent=spent)
            self._at_last_check = self._snapshot()
            if now - period_started_at >= _REPORT_INTERVAL_SECONDS:
                logs.event(
                    "load",
                    seconds=now - period_started_at,
                    processor_s=time.process_time() - cpu_seconds_before,
                    spent=self._format_largest_since(self._at_last_report),
                )
                period_started_at, cpu_seconds_before = now, time.process_time()
                self._at_last_report = self._at_last_check
            due = now + _CHECK_INTERVAL_SECONDS

    def _snapshot(self) -> dict[str, WorkSnapshot]:
        return {
            kind: WorkSnapshot(tally.seconds, tally.count, tally.size)
            for kind, tally in self._tallies.items()
        }

    def _format_largest_since(self, before: dict[str, WorkSnapshot]) -> str:
        """Returns the kinds with most time, as KIND:TIME/COUNT/BYTES."""
        increases = []
        for kind, spent in self._snapshot().items():
            previous = before.get(kind, WorkSnapshot())
            increase = (
                now - then for now, then in zip(spent, previous, strict=True)
            )
            increases.append((WorkSnapshot(*increase), kind))
        increases.sort(reverse=True)
        return ",".join(
            f"{kind}:{spent.seconds:.3f}s/{spent.count}/{spent.size}B"
            for spent, kind in increases[:_MAX_LOGGED_KINDS]
        )
