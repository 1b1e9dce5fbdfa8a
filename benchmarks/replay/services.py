"""Model of a plain service before many entry hosts, in virtual time.

Load pattern: requests of many hosts at half of what the targets can process,
and once the backlog of an outage. A target with a queue is slower, and refuses
what exceeds its queue. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import math
import random

from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.request import target_selection
from endivestream.request import turns as turns_lib

from replay import clock as clock_lib

_HOSTS = 56
_DOMAINS = ("a", "b", "c")
_DOMAIN_WEIGHTS = (0.26, 0.38, 0.36)
_SLOTS = 6
_QUEUE = 24
_MEAN_SECONDS = 0.067
_SPREAD = 0.5
_DEADLINE_SECONDS = 3.0
_WAIT_SHARE = 0.7
_OBJECTIVE_SECONDS = 0.4
_FIRST_TURN_SECONDS = 0.25 * _OBJECTIVE_SECONDS
_REFUSAL_PAUSE_SECONDS = 0.02
_MAX_REFUSALS = 6
_REQUIREMENTS = target_selection.TargetRequirements(service="s")


class _Target:
    """A target with slots and a queue that slows it down."""

    def __init__(
        self,
        clock: clock_lib.VirtualClock,
        source: random.Random,
        slowdown: float,
    ) -> None:
        self.refused = 0
        self._clock = clock
        self._source = source
        self._slowdown = slowdown
        self._running = 0
        self._queue: list[Callable[[bool], None]] = []

    def send(self, on_end: Callable[[bool], None]) -> None:
        """Runs a request; `on_end` is called with whether it was served."""
        if self._running < _SLOTS:
            self._start(on_end)
        elif len(self._queue) < _QUEUE:
            self._queue.append(on_end)
        else:
            self.refused += 1
            on_end(False)

    def _start(self, on_end: Callable[[bool], None]) -> None:
        self._running += 1
        seconds = _MEAN_SECONDS * math.exp(
            self._source.gauss(-(_SPREAD**2) / 2, _SPREAD)
        )
        seconds *= 1 + self._slowdown * len(self._queue) / _QUEUE

        def end() -> None:
            self._running -= 1
            on_end(True)
            if self._queue:
                self._start(self._queue.pop(0))

        self._clock.call_in(seconds, end)


@dataclasses.dataclass(kw_only=True, eq=False)
class _Request:
    """A request and its result.

    Attributes:
        arrived_at: When it arrived.
        view: The targets as seen by its entry host.
        refusals: Number of refusals by targets.
        seconds: Time until its answer; None without one.
    """

    arrived_at: float
    view: target_selection.TargetView
    refusals: int = 0
    seconds: float | None = None


class ServiceSite:
    """Entry hosts and targets of one service."""

    def __init__(self, *, seed: int, slowdown: float, has_turns: bool) -> None:
        """Initializes a site.

        Args:
            seed: Seed of the arrivals and durations.
            slowdown: Additional duration of a request at a full queue, as a
                share.
            has_turns: Whether hosts take turns.
        """
        self._clock = clock_lib.VirtualClock()
        self._source = random.Random(seed)
        self._has_turns = has_turns
        self._turns = turns_lib.Turns()
        self._targets = {
            f"t-{domain}": _Target(self._clock, self._source, slowdown)
            for domain in _DOMAINS
        }
        self._views = [
            self._create_view(_DOMAINS[n % len(_DOMAINS)])
            for n in range(_HOSTS)
        ]
        self.requests: list[_Request] = []

    @property
    def refused(self) -> int:
        """Refusals by all targets."""
        return sum(target.refused for target in self._targets.values())

    def share_in_time(self, since: float = 0.0) -> float:
        """Returns the share of requests answered within the objective.

        Args:
            since: Arrival time of the first request that counts.
        """
        counted = [r for r in self.requests if r.arrived_at >= since]
        in_time = sum(
            request.seconds is not None
            and request.seconds <= _OBJECTIVE_SECONDS
            for request in counted
        )
        return in_time / len(counted)

    def _create_view(self, domain: str) -> target_selection.TargetView:
        view = target_selection.TargetView(domain=domain)
        view.set_hosts(_HOSTS)
        registrations = [
            registry_lib.Registration(
                name=f"t-{each}",
                service="s",
                address=each,
                domain=each,
                slots=_SLOTS,
            )
            for each in _DOMAINS
        ]
        targets = [
            site_messages.Target(registration=each) for each in registrations
        ]
        view.set_targets(targets, [], 0.0)
        return view

    def run(
        self,
        *,
        rate: float,
        seconds: float,
        backlog: int = 0,
        backlog_at: float = 0.0,
    ) -> None:
        """Replays requests at a mean rate.

        Args:
            rate: Requests a second.
            seconds: Duration of the arrivals.
            backlog: Requests that arrive together in addition.
            backlog_at: When these arrive.
        """
        now = 0.0
        while now < seconds:
            now += self._source.expovariate(rate)
            self._clock.call_in(now, self._arrive)
        for _ in range(backlog):
            self._clock.call_in(
                backlog_at + self._source.random() / 3, self._arrive
            )
        self._clock.run(seconds + _DEADLINE_SECONDS)

    def _arrive(self) -> None:
        domain = self._source.choices(range(3), _DOMAIN_WEIGHTS)[0]
        view = self._views[3 * self._source.randrange(_HOSTS // 3) + domain]
        request = _Request(arrived_at=self._clock.now, view=view)
        self.requests.append(request)
        self._select(request)

    def _select(self, request: _Request, asked: tuple[str, ...] = ()) -> None:
        now = self._clock.now
        max_wait = request.arrived_at + _WAIT_SHARE * _DEADLINE_SECONDS - now
        pick = request.view.pick(_REQUIREMENTS, now, limit=7)
        if max_wait <= 0 or isinstance(pick, target_selection.Unavailable):
            return
        name = pick.target.registration.name
        if not self._has_turns:
            self._send(request, name)
            return
        if name not in asked:
            max_wait = min(max_wait, _FIRST_TURN_SECONDS)
        wait = self._turns.take_slot(name, _SLOTS, 0, now, max_wait)
        request.view.set_turn(name, now + wait)
        if wait <= max_wait:
            self._clock.call_in(wait, lambda: self._send(request, name))
        elif name not in asked:
            self._select(request, (*asked, name))

    def _send(self, request: _Request, name: str) -> None:
        sent_at = self._clock.now
        request.view.record_sent(name, _REQUIREMENTS, sent_at)
        request.view.record_started(name, _REQUIREMENTS)

        def on_end(was_served: bool) -> None:
            now = self._clock.now
            request.view.record_result(name, _REQUIREMENTS, now, failed=False)
            if was_served:
                request.seconds = now - request.arrived_at
                self._turns.record_service(name, now - sent_at)
                return
            request.refusals += 1
            if request.refusals < _MAX_REFUSALS:
                pause = _REFUSAL_PAUSE_SECONDS * request.refusals
                self._clock.call_in(pause, lambda: self._select(request))

        self._targets[name].send(on_end)
