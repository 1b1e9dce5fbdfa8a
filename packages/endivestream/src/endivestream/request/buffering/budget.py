"""Memory that a host may hold for requests and for slow readers.

Addresses these loads: many callers read more slowly than targets answer, or
stop reading, at a host with little memory; many send large bodies, or stop in
the middle of one. Without a bound the host is killed for its memory use and all
its requests are lost; without any buffer the slow callers keep the slots of
targets busy.

Does no I/O and reads no clock.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

# Share of a host's memory that may hold answers and bodies. The interpreter,
# the tables and the buffers of connections need the rest.
_MEMORY_SHARE = 0.2
# Memory of a host whose settings do not state it: that of a small one.
_DEFAULT_MEMORY_MB = 160.0
# Shares of the budget above which reading of answers is paused, and below
# which all are read again. With a single threshold an answer near it would be
# paused and resumed with each event.
_PAUSE_SHARE = 0.75
_RESUME_SHARE = 0.6
# Part of the budget that one answer may hold: with 1/32, 37 slow callers of
# large answers filled the budget of a host of 160 MB, and others were refused.
_ANSWER_SHARE = 1 / 128
# An event may have 256 KiB, and must fit.
_MIN_ANSWER_BYTES = 256 * 1024
# Seconds that count in addition to those for which a caller has taken nothing,
# so that of callers that read, those with most bytes are paused first.
_BASE_SECONDS = 1.0
# Requests that hold more than the first may take only the second share of the
# budget, so that large bodies leave room for small requests.
_SMALL_REQUEST_BYTES = 64 * 1024
_LARGE_REQUESTS_SHARE = 0.9
# Share of the budget that is freed in addition to what a request needs, so that
# not each piece of a body searches for requests to drop.
_SPARE_SHARE = 1 / 16


class Bounds(NamedTuple):
    """Bounds in bytes.

    Attributes:
        total: All answers and requests of the host.
        answer: One answer.
        memory: The whole memory of the host.
    """

    total: int
    answer: int
    memory: int = 0

    @classmethod
    def of(cls, memory_mb: float) -> Bounds:
        """Returns the bounds for a host; 0 if its memory is not known."""
        memory = int((memory_mb or _DEFAULT_MEMORY_MB) * 1024 * 1024)
        total = int(memory * _MEMORY_SHARE)
        return cls(
            total, max(_MIN_ANSWER_BYTES, int(total * _ANSWER_SHARE)), memory
        )


@dataclasses.dataclass(kw_only=True)
class _Answer:
    """An answer that its caller has not taken completely.

    Attributes:
        size: Bytes held for it.
        taken_at: When its caller last took a byte.
        is_paused: Whether its target is not read on.
    """

    size: int = 0
    taken_at: float
    is_paused: bool = False

    def weight(self, now: float) -> float:
        """Returns how much it burdens the host: bytes x seconds unread."""
        return self.size * (_BASE_SECONDS + max(0.0, now - self.taken_at))


@dataclasses.dataclass(kw_only=True)
class _Request:
    """A request that is being read or served.

    Attributes:
        size: Bytes held for it.
        received_at: When its client last sent a byte.
        is_complete: Whether it has been read completely.
    """

    size: int = 0
    received_at: float
    is_complete: bool = False

    def weight(self, now: float) -> float:
        """Returns how much it burdens the host: bytes x seconds of silence."""
        return self.size * (_BASE_SECONDS + max(0.0, now - self.received_at))


class Budget:
    """Bytes held for answers and requests, and what follows from them."""

    def __init__(self, *, bounds: Bounds) -> None:
        self._bounds = bounds
        self._answers: dict[int, _Answer] = {}
        self._answer_bytes = 0
        self._requests: dict[int, _Request] = {}
        self._request_bytes = 0
        self._last_key = 0

    @property
    def bounds(self) -> Bounds:
        """The bounds."""
        return self._bounds

    @property
    def held(self) -> int:
        """Bytes held for all answers and requests."""
        return self._answer_bytes + self._request_bytes

    @property
    def held_for_requests(self) -> int:
        """Bytes held for all requests."""
        return self._request_bytes

    @property
    def is_exhausted(self) -> bool:
        """Whether new requests are refused."""
        return self.held >= self._bounds.total

    # Requests.

    def open_request(self, now: float) -> int:
        """Returns the key of a new request, which holds nothing yet."""
        self._last_key += 1
        self._requests[self._last_key] = _Request(received_at=now)
        return self._last_key

    def hold(self, key: int, size: int, now: float) -> bool:
        """Holds a part of a request, if there is room for it.

        Args:
            key: The request.
            size: Size of the part in bytes.
            now: The time at which the part was received.
        """
        request = self._requests[key]
        request.received_at = now
        if self._lacking(request, size) > 0:
            return False
        request.size += size
        self._request_bytes += size
        return True

    def find_droppable(self, key: int, size: int, now: float) -> list[int]:
        """Returns the unfinished requests to drop for a part of another.

        Those with the greatest weight are dropped, and none that weighs less
        than the request that needs the room. Empty if that room cannot be made.
        """
        request = self._requests[key]
        lacking = self._lacking(request, size)
        weight = (request.size + size) * _BASE_SECONDS
        heavier = sorted(
            (
                (each.weight(now), other)
                for other, each in self._requests.items()
                if not each.is_complete and each.weight(now) > weight
            ),
            reverse=True,
        )
        wanted = lacking + _SPARE_SHARE * self._bounds.total
        droppable, freed = [], 0
        for _, other in heavier:
            if other == key:
                continue
            if freed >= wanted:
                break
            droppable.append(other)
            freed += self._requests[other].size
        return droppable if freed >= lacking else []

    def complete_request(self, key: int) -> None:
        """Records that a request has been read; it is not dropped any more."""
        self._requests[key].is_complete = True

    def release(self, key: int) -> None:
        """Releases all that is held for a request."""
        request = self._requests.pop(key, None)
        if request is not None:
            self._request_bytes -= request.size

    def _lacking(self, request: _Request, size: int) -> float:
        """Returns the bytes that a part of a request lacks."""
        is_small = request.size + size <= _SMALL_REQUEST_BYTES
        share = 1.0 if is_small else _LARGE_REQUESTS_SHARE
        return self.held + size - share * self._bounds.total

    # Answers.

    def open(self, now: float) -> int:
        """Returns the key of a new answer, which holds nothing yet."""
        self._last_key += 1
        self._answers[self._last_key] = _Answer(taken_at=now)
        return self._last_key

    def close(self, key: int) -> None:
        """Releases all that is held for an answer."""
        answer = self._answers.pop(key, None)
        if answer is not None:
            self._answer_bytes -= answer.size

    def set_size(self, key: int, size: int) -> None:
        """Sets the bytes held for an answer."""
        answer = self._answers.get(key)
        if answer is not None:
            self._answer_bytes += size - answer.size
            answer.size = size

    def record_taken(self, key: int, now: float) -> None:
        """Records that a caller has taken some of its answer."""
        if key in self._answers:
            self._answers[key].taken_at = now

    def may_read(self, key: int, now: float) -> bool:
        """Decides whether an answer is read on; the decision is kept.

        Over the threshold for all answers, those with the greatest weight are
        paused: as many as hold the share of all bytes by which the threshold is
        exceeded on the way to the budget. A caller that has taken all that was
        read is never kept waiting.
        """
        answer = self._answers.get(key)
        if answer is None:
            return True
        heavier = 0
        if answer.size and self._excess(answer) > 0:
            weight = answer.weight(now)
            heavier = sum(
                each.size
                for each in self._answers.values()
                if each.weight(now) > weight
            )
        answer.is_paused = not self._may_read(answer, heavier)
        return not answer.is_paused

    def resume(self, now: float) -> list[int]:
        """Returns the paused answers that are read on from now."""
        resumed = []
        heavier = 0
        by_weight = sorted(
            self._answers.items(),
            key=lambda item: item[1].weight(now),
            reverse=True,
        )
        for key, answer in by_weight:
            if answer.is_paused and self._may_read(answer, heavier):
                answer.is_paused = False
                resumed.append(key)
            heavier += answer.size
        return resumed

    def _may_read(self, answer: _Answer, heavier: int) -> bool:
        """Decides on an answer, given the bytes of those with more weight."""
        if not answer.size:
            return True
        bound = self._bounds.answer
        if answer.size >= (bound // 2 if answer.is_paused else bound):
            return False
        excess = self._excess(answer)
        return excess <= 0 or heavier >= excess * self._answer_bytes

    def _excess(self, answer: _Answer) -> float:
        """Returns how far the threshold is exceeded: 1 at the whole budget."""
        share = _RESUME_SHARE if answer.is_paused else _PAUSE_SHARE
        threshold = share * self._bounds.total
        return (self.held - threshold) / (self._bounds.total - threshold)
