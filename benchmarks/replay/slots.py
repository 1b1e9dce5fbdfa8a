"""Queues for the slots of engines, with the product's decider.

Stands for `process/slot_queues.py` of all entry hosts: messages take no time,
so one object holds the queues of all engines.
"""

from __future__ import annotations

from collections.abc import Callable

from endivestream.request.waiting import admission_queue

from replay import clock as clock_lib

# Shortest time until a queue is called again.
_MIN_TIMER_SECONDS = 0.005

Answer = admission_queue.Send | admission_queue.Refuse


class SlotQueues:
    """Queues for the slots of engines."""

    def __init__(self, *, clock: clock_lib.VirtualClock, slots: int) -> None:
        self._clock = clock
        self._slots = slots
        self._queues: dict[str, admission_queue.AdmissionQueue] = {}
        self._callbacks: dict[str, Callable[[Answer], None]] = {}

    def ask(
        self,
        target: str,
        offer: admission_queue.SlotRequest,
        callback: Callable[[Answer], None],
    ) -> None:
        """Offers a request; the callback gets the decision on it."""
        queue = self._queues.get(target)
        if queue is None:
            queue = admission_queue.AdmissionQueue(slots=self._slots)
            self._queues[target] = queue
        self._callbacks[offer.request] = callback
        queue.offer(offer, self._clock.now)
        self._advance(target)

    def end(self, target: str, request: str) -> None:
        """Releases the slot of a request."""
        self._queues[target].release(request, self._clock.now)
        self._advance(target)

    def granted(self, target: str) -> int:
        """Returns the number of granted slots of an engine."""
        queue = self._queues.get(target)
        return queue.occupancy.granted if queue is not None else 0

    def _advance(self, target: str) -> None:
        now = self._clock.now
        for decision in self._queues[target].advance(now):
            match decision:
                case admission_queue.Wait(until=until):
                    self._clock.call_in(
                        max(_MIN_TIMER_SECONDS, until - now),
                        lambda: self._advance(target),
                    )
                case _:
                    self._callbacks.pop(decision.request)(decision)
