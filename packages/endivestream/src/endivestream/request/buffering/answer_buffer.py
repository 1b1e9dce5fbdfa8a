"""Answers between targets and callers that read slowly.

An answer is written to its caller as it arrives. What the caller does not take
is kept, and its target is read on, within the budget of the host. So a target
is free for the next request once it has answered, whatever its caller does.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping

from tornado import httputil

from endivestream import clock
from endivestream import findings
from endivestream import logs
from endivestream.request import call as call_lib
from endivestream.request.buffering import budget as budget_lib

# Bytes that are written at once. What was written can be taken only as a whole
# from the buffer of the connection, so the rest is kept here.
_WRITE_BYTES = 64 * 1024
# Paused answers are reviewed this often: a burst of writes frees much, and
# their order is determined only once for all.
_REVIEW_SECONDS = 0.02
# Part of the time without progress after which it is checked.
_CHECK_SHARE = 0.1
# Another host can serve a refused request immediately.
_REFUSAL_RETRY_SECONDS = 0.05


class AnswerBuffers:
    """The answers of a host and their budget, kept as long as the process."""

    def __init__(self, *, budget: budget_lib.Budget) -> None:
        self._budget = budget
        self._open: dict[int, AnswerBuffer] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._review_timer: asyncio.TimerHandle | None = None

    @property
    def budget(self) -> budget_lib.Budget:
        """Bounds the memory of all answers and bodies."""
        return self._budget

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of decisions by kind."""
        return self._counts

    def open(
        self,
        call: call_lib.Call,
        *,
        request: str,
        task: asyncio.Task[None] | None,
        unread_seconds: float,
        on_pause: Callable[[], None],
        on_resume: Callable[[float], None],
    ) -> AnswerBuffer:
        """Returns a buffer for the answer to a caller.

        Args:
            call: The caller.
            request: Id of the request.
            task: Serves the request; cancelled when the answer is ended. An
                attempt may run in a task of its own, which ends before the
                answer is taken.
            unread_seconds: Seconds after which an answer of which the caller
                takes nothing is ended.
            on_pause: Called when the target is not read on.
            on_resume: Called when it is read again, with the seconds since.
        """
        key = self._budget.open(clock.now())
        buffer = AnswerBuffer(
            buffers=self,
            key=key,
            call=call,
            request=request,
            task=task,
            unread_seconds=unread_seconds,
            on_pause=on_pause,
            on_resume=on_resume,
        )
        self._open[key] = buffer
        return buffer

    def refusal(self) -> findings.Failure | None:
        """Returns the refusal of a new request that there is no room for."""
        if not self._budget.is_exhausted:
            return None
        self._counts["refused"] += 1
        return findings.not_run(
            "no_memory",
            "this host holds as much for slow callers as it may",
            status=503,
            retry_after=_REFUSAL_RETRY_SECONDS,
        )

    def review_later(self) -> None:
        """Reviews the paused answers soon, and again while there are any."""
        if self._review_timer is None:
            loop = asyncio.get_running_loop()
            self._review_timer = loop.call_later(_REVIEW_SECONDS, self._review)

    def _review(self) -> None:
        self._review_timer = None
        for buffer in self._open.values():
            if buffer.is_paused:
                buffer.update_size()
        for key in self._budget.resume(clock.now()):
            self._open[key].resume()
        if any(buffer.is_paused for buffer in self._open.values()):
            self.review_later()

    def drop(self, key: int) -> None:
        """Drops an answer that has ended."""
        self._budget.close(key)
        self._open.pop(key, None)

    def count(self, kind: str) -> None:
        """Counts a decision."""
        self._counts[kind] += 1


class AnswerBuffer:
    """One answer; takes the place of its `Call` for the one who relays it.

    It outlives attempts: an answer that broke off goes on in the same buffer.
    """

    def __init__(
        self,
        *,
        buffers: AnswerBuffers,
        key: int,
        call: call_lib.Call,
        request: str,
        task: asyncio.Task[None] | None,
        unread_seconds: float,
        on_pause: Callable[[], None],
        on_resume: Callable[[float], None],
    ) -> None:
        """Initializes an empty buffer; see `AnswerBuffers.open`."""
        self._buffers = buffers
        self._key = key
        self._call = call
        self._request = request
        self._unread_seconds = unread_seconds
        self._on_pause = on_pause
        self._on_resume = on_resume
        self._task = task
        # What was not written yet, and the size of what is being written.
        self._queue = bytearray()
        self._writing = 0
        self._collected = 0
        self._read_ahead: Callable[[], int] = lambda: 0
        self._taken_at = clock.now()
        self._unsent = 0
        self._check_timer: asyncio.TimerHandle | None = None
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._drained = asyncio.Event()
        self._drained.set()
        self._is_ended = False
        self._is_closed = False
        self._end_reason = ""

    @property
    def head_sent(self) -> bool:
        """Whether the status line and headers of the answer were written."""
        return self._call.head_sent

    @property
    def is_paused(self) -> bool:
        """Whether the target is not read on."""
        return not self._resumed.is_set()

    @property
    def end_reason(self) -> str:
        """Why the answer was ended for its caller; empty if it was not."""
        return self._end_reason

    @property
    def is_short_of_memory(self) -> bool:
        """Whether the host has no room for more."""
        return self._buffers.budget.is_exhausted

    def set_source(self, read_ahead: Callable[[], int]) -> None:
        """Sets what returns the bytes read from the target and not relayed."""
        self._read_ahead = read_ahead

    def set_collected(self, size: int) -> None:
        """Sets the bytes that the relay has collected and not handed over."""
        self._collected = size
        self.update_size()

    def update_size(self) -> None:
        """Updates the bytes that count toward the budget."""
        size = len(self._queue) + self._writing + self._collected
        if self.is_paused:
            size += self._read_ahead()
        self._buffers.budget.set_size(self._key, size)

    # Interface of `Call`.

    async def send_head(
        self, status: int, headers: httputil.HTTPHeaders, chunk: bytes = b""
    ) -> None:
        """Writes the head and the first bytes of the body."""
        self._queue += chunk[_WRITE_BYTES:]
        first = chunk[:_WRITE_BYTES]
        self._begin(self._call.begin_head(status, headers, first), len(first))
        self._write_next()
        await self._wait_for_room()

    async def write(self, chunk: bytes) -> None:
        """Adds a part of the body; waits while the target is not read on."""
        self._queue += chunk
        self._write_next()
        await self._wait_for_room()

    def finish(self) -> None:
        """Marks the answer as complete, once all of it is written."""
        self._is_ended = True
        self._write_next()

    # Writing to the caller.

    def _begin(self, written: asyncio.Future[None], size: int) -> None:
        if written.done():
            if written.exception() is not None:
                self._is_closed = True
            self._taken_at = clock.now()
            return
        if self._drained.is_set():
            self._taken_at = clock.now()
        self._drained.clear()
        # A head without body bytes is being written, too.
        self._writing = max(1, size)
        self._unsent = self._call.unsent_bytes
        written.add_done_callback(self._on_written)
        self._check_later()

    def _on_written(self, written: asyncio.Future[None]) -> None:
        if written.cancelled() or written.exception() is not None:
            self._is_closed = True
        self._writing = 0
        self._taken_at = clock.now()
        self._write_next()

    def _write_next(self) -> None:
        """Writes what the connection takes, and records what is left."""
        while self._queue and not self._writing and not self._is_closed:
            part = bytes(self._queue[:_WRITE_BYTES])
            del self._queue[:_WRITE_BYTES]
            self._begin(self._call.begin_write(part), len(part))
        if self._is_closed:
            self._queue.clear()
            self._resumed.set()
        if not self._writing:
            if self._is_ended and not self._is_closed:
                self._is_ended = False
                try:
                    self._call.finish()
                except call_lib.CallerDisconnectedError:
                    self._is_closed = True
            self._drained.set()
        self.update_size()
        self._buffers.budget.record_taken(self._key, self._taken_at)

    async def _wait_for_room(self) -> None:
        """Waits until the target is read on.

        Raises:
            CallerDisconnectedError: The caller has closed its connection, or
                the answer was ended.
        """
        self._raise_if_closed()
        started_at = clock.now()
        if self._buffers.budget.may_read(self._key, started_at):
            return
        self._resumed.clear()
        self._buffers.review_later()
        self._buffers.count("paused")
        budget = self._buffers.budget
        logs.event(
            "answer_paused",
            request=self._request,
            held=len(self._queue) + self._writing,
            held_by_all=budget.held,
            unread_s=started_at - self._taken_at,
        )
        self._on_pause()
        try:
            await self._resumed.wait()
        finally:
            seconds = clock.now() - started_at
            self._on_resume(seconds)
        self.update_size()
        logs.event("answer_resumed", request=self._request, paused_s=seconds)
        self._raise_if_closed()

    def resume(self) -> None:
        """Lets the target be read on."""
        self._resumed.set()

    async def drain(self) -> None:
        """Waits until the caller's connection has taken all of the answer.

        Raises:
            CallerDisconnectedError: The caller has closed its connection, or
                the answer was ended.
        """
        # An attempt may have ended while its target was not read on.
        self._resumed.set()
        self.set_collected(0)
        await self._drained.wait()
        self._raise_if_closed()

    def _raise_if_closed(self) -> None:
        if self._is_closed:
            raise call_lib.CallerDisconnectedError(self._end_reason)

    # Callers that do not read.

    def _check_later(self) -> None:
        if self._check_timer is None:
            self._check_timer = asyncio.get_running_loop().call_later(
                _CHECK_SHARE * self._unread_seconds, self._check_progress
            )

    def _check_progress(self) -> None:
        """Ends the answer if its caller has taken nothing for too long."""
        self._check_timer = None
        if not self._writing or self._is_closed:
            return
        now, unsent = clock.now(), self._call.unsent_bytes
        if unsent < self._unsent:
            self._taken_at = now
            self._buffers.budget.record_taken(self._key, now)
        self._unsent = unsent
        if now - self._taken_at < self._unread_seconds:
            self._check_later()
            return
        self.abandon("caller_not_reading")

    def abandon(self, reason: str) -> None:
        """Ends an answer that is not taken, visibly incomplete.

        The request is cancelled as if its caller had left, which also stops its
        target. Without unwritten bytes it goes on.
        """
        if self._is_closed or self._drained.is_set():
            return
        self._end_reason = reason
        self._buffers.count(reason)
        logs.event(
            "answer_abandoned",
            request=self._request,
            reason=reason,
            held=len(self._queue) + self._writing,
            unread_s=clock.now() - self._taken_at,
        )
        self._is_closed = True
        self._call.abort()
        if self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Releases what is held, at the end of the request."""
        self._is_closed = True
        if self._check_timer is not None:
            self._check_timer.cancel()
            self._check_timer = None
        self._queue.clear()
        self._buffers.drop(self._key)
