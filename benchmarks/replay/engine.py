"""Model of an engine that batches requests. Virtual time, no I/O.

Each step generates one token for every running request and processes part of
the waiting prompts, which lengthens the step for all. Times are seconds.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import NamedTuple


class EngineSpeed(NamedTuple):
    """Speed of an engine.

    Attributes:
        step_seconds: Time of a step with one running request.
        slot_seconds: Additional time for each running request.
        prefill_rate: Prompt tokens processed per second.
        chunk_tokens: Maximum prompt tokens processed in a step.
        tokens_per_event: Tokens in an event of a stream.
        slots: Maximum number of running requests.
    """

    step_seconds: float = 0.0068
    slot_seconds: float = 0.000034
    prefill_rate: float = 22_100.0
    chunk_tokens: int = 4096
    tokens_per_event: int = 5
    slots: int = 64

    def scaled(self, factor: float) -> EngineSpeed:
        """Returns the speed of an engine that takes `factor` times as long."""
        return self._replace(
            step_seconds=self.step_seconds * factor,
            slot_seconds=self.slot_seconds * factor,
            prefill_rate=self.prefill_rate / factor,
        )


@dataclasses.dataclass(kw_only=True, eq=False)
class Request:
    """A caller's request and its result.

    Attributes:
        arrived_at: When it arrived.
        model: Its model.
        prompt: Prompt tokens to process.
        output: Tokens to generate.
        objective: Seconds to the first event for an answer in time.
        silence: Seconds without an event after which its caller leaves.
        value: Value of an answer in time.
        rank: Urgency; 0 is the most urgent.
        host: Number of the entry host that serves it.
        engine: Name of the engine that it was sent to.
        sent_at: When it was sent to an engine.
        first_event_at: When its first event arrived.
        longest_gap: Longest pause between two events.
        ended_at: When its last event arrived.
        is_refused: Whether it was refused.
        reason: Why it was refused; see `replay.by_rank`.
    """

    arrived_at: float
    model: str
    prompt: float
    output: int
    objective: float
    silence: float
    value: float
    rank: int
    host: int = 0
    engine: str = ""
    sent_at: float | None = None
    first_event_at: float | None = None
    longest_gap: float = 0.0
    ended_at: float | None = None
    is_refused: bool = False
    reason: str = ""
    generated: int = 0
    last_event_at: float = 0.0
    remaining_prompt: float = 0.0


class Engine:
    """One engine; `on_end` is called with each request that ended."""

    def __init__(self, name, domain, speed, clock, on_start, on_end):
        self.name = name
        self.domain = domain
        self.speed = speed
        self._clock = clock
        self._on_start = on_start
        self._on_end = on_end
        self.running: list[Request] = []
        self._prompts: collections.deque[Request] = collections.deque()
        self._queue: list[tuple[int, int, Request]] = []
        self._queued = 0
        self._is_stepping = False

    @property
    def request_count(self) -> int:
        """Requests that run or wait here."""
        return len(self.running) + len(self._prompts) + len(self._queue)

    def send(self, request: Request) -> None:
        """Adds a request."""
        request.remaining_prompt = request.prompt
        self._queued += 1
        heapq.heappush(self._queue, (request.rank, self._queued, request))
        if not self._is_stepping:
            self._is_stepping = True
            self._step()

    def _step(self) -> None:
        while (
            self._queue
            and len(self.running) + len(self._prompts) < self.speed.slots
        ):
            self._prompts.append(heapq.heappop(self._queue)[2])
        if not self.running and not self._prompts:
            self._is_stepping = False
            return
        budget = float(self.speed.chunk_tokens)
        finished = []
        while self._prompts and budget > 0:
            request = self._prompts[0]
            part = min(budget, request.remaining_prompt)
            request.remaining_prompt -= part
            budget -= part
            if request.remaining_prompt <= 0:
                finished.append(self._prompts.popleft())
        tokens = self.speed.chunk_tokens - budget
        seconds = (
            self.speed.step_seconds
            + self.speed.slot_seconds * len(self.running)
            + tokens / self.speed.prefill_rate
        )
        self._clock.call_in(seconds, lambda: self._end_step(finished))

    def _end_step(self, finished: list[Request]) -> None:
        now = self._clock.now
        self.running += finished
        ended = []
        for request in self.running:
            request.generated += 1
            is_last = request.generated >= request.output
            if request.generated % self.speed.tokens_per_event and not is_last:
                continue
            if request.first_event_at is None:
                request.first_event_at = now
                self._on_start(request)
            else:
                gap = now - request.last_event_at
                request.longest_gap = max(request.longest_gap, gap)
            request.last_event_at = now
            if is_last:
                ended.append(request)
        for request in ended:
            self.running.remove(request)
            request.ended_at = now
            self._on_end(request)
        self._step()
