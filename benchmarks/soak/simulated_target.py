"""Simulated targets that check what reaches them, and connections to them."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import AsyncIterator
import math
import random
from typing import NamedTuple
from typing import Protocol

from endivestream import clock
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib
from endivestream.request import names as names_lib
from tornado import httputil

from soak import promises

# Time after its first announced drain from which a target gets no requests.
DRAIN_SECONDS = 2.5
SLOTS = 8
MIN_RUN_SECONDS = 0.02
_MAX_RUN_SECONDS = 0.4
# Delays of a new connection.
_CONNECT_SECONDS = (0.0, 0.002, 0.3)
_NAMES = names_lib.HeaderNames()


class Arrival(NamedTuple):
    """A request that reached a target."""

    at: float
    host: str


class Violation(NamedTuple):
    """A request that should not have reached its target."""

    at: float
    host: str
    target: str
    kind: str


class Target:
    """A target that refuses for some time, drains and restarts.

    Attributes:
        name: Id of the target.
        refuses_until: Time until which it refuses everything.
        refusal_seconds: Longest Retry-After that it names; None if its
            refusals name none.
        is_draining: Whether its answers announce a drain.
        room: Requests that it has room for; None for any number.
        brittle_limit: Refusals for want of room in a second that it survives,
            as its answers say; None if they do not.
        running: Number of requests that run.
        arrivals: All requests that reached it.
        violations: Those that should not have.
        backoffs: Refusals by host, of the current process.
    """

    def __init__(self, *, name: str, random_source: random.Random) -> None:
        self.name = name
        self.refuses_until = float("-inf")
        self.refusal_seconds: float | None = 3.0
        self.is_draining = False
        self.room: int | None = None
        self.brittle_limit: int | None = None
        self.running = 0
        self._full_at: collections.deque[float] = collections.deque()
        self.arrivals: list[Arrival] = []
        self.violations: list[Violation] = []
        self.backoffs: dict[str, list[promises.Backoff]] = {}
        self._started_at_ms = _milliseconds(clock.now())
        self._drain_announced_at: dict[str, float] = {}
        self._random = random_source

    @property
    def registration(self) -> registry_lib.Registration:
        """Its entry in the table of targets."""
        return registry_lib.Registration(
            name=self.name,
            service="desk",
            address=f"{self.name}:1",
            domain="a",
            started_at_ms=self._started_at_ms,
            report_number=1,
            slots=SLOTS,
            loaded=(registry_lib.Loaded("a"),),
        )

    def restart(self) -> None:
        """Replaces its process; hosts owe the new one nothing."""
        self._started_at_ms = _milliseconds(clock.now())
        self.is_draining = False
        self.backoffs.clear()
        self._drain_announced_at.clear()

    def receive(self, host: str) -> exchange_lib.Head:
        """Checks an arrival and returns the head of its answer."""
        now = clock.now()
        self.arrivals.append(Arrival(now, host))
        self._check(host, now)
        headers = httputil.HTTPHeaders()
        if self.is_draining:
            headers[_NAMES.draining] = "1"
            self._drain_announced_at.setdefault(host, now)
        if self.brittle_limit is not None:
            headers[_NAMES.brittle] = str(self.brittle_limit)
        if self.room is not None and self.running >= self.room:
            self._record_full(host, now)
            headers[_NAMES.not_run] = "full"
            return exchange_lib.Head(503, headers)
        if now >= self.refuses_until:
            return exchange_lib.Head(200, headers)
        headers[_NAMES.not_run] = "refused"
        if self.refusal_seconds is None:
            return exchange_lib.Head(503, headers)
        seconds = self._random.choice(
            [self.refusal_seconds, self.refusal_seconds / 4, 0.0]
        )
        headers[_NAMES.retry_after] = f"{seconds:g}"
        self.backoffs.setdefault(host, []).append(
            promises.Backoff(start=now, end=now + seconds)
        )
        return exchange_lib.Head(503, headers)

    def _record_full(self, host: str, now: float) -> None:
        """Records a refusal; with too many in a second a target fails."""
        if self.brittle_limit is None:
            return
        self._full_at.append(now)
        while self._full_at[0] < now - 1.0:
            self._full_at.popleft()
        if len(self._full_at) > self.brittle_limit:
            self._record_violation(now, host, "brittle")
            self._full_at.clear()

    def _check(self, host: str, now: float) -> None:
        announced_at = self._drain_announced_at.get(host, now)
        if now > announced_at + DRAIN_SECONDS:
            self._record_violation(now, host, "drain")
        for backoff in self.backoffs.get(host, ()):
            if backoff.covers(now) and backoff.record_arrival():
                self._record_violation(now, host, "backoff")

    def _record_violation(self, now: float, host: str, kind: str) -> None:
        self.violations.append(Violation(now, host, self.name, kind))


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)


class Network(Protocol):
    """What a connection needs to know; implemented by `simulated_site.Host`."""

    name: str
    random_source: random.Random
    max_delay_seconds: float

    def target_at(self, address: str) -> Target:
        """Returns the target with an address."""


class Exchange:
    """Replaces `exchange.Exchange`; its pool is the host's network."""

    # The event loop in virtual time is never late.
    has_unread_answer = False
    # No answer breaks off.
    answer_end = None
    # Each request has a new connection.
    opened_at = math.inf

    def __init__(self, *, pool: Network, url: str) -> None:
        self.sent = False
        self._network = pool
        self._target = pool.target_at(url.split("/")[2])
        self._process = self._target.registration.started_at_ms
        self._request = ""

    async def connect(self, *, seconds: float, is_new: bool = False) -> None:
        """Waits as for a connection."""
        delay = self._network.random_source.choice(_CONNECT_SECONDS)
        await asyncio.sleep(min(seconds, delay))

    def send(
        self, method: str, path: str, headers: httputil.HTTPHeaders, body: bytes
    ) -> None:
        """Sends the request; it arrives after the delay of the link."""
        self.sent = True
        self._request = headers[_NAMES.request]

    async def head(self, *, seconds: float) -> exchange_lib.Head:
        """Returns the head of the answer.

        Raises:
            ExchangeError: The target restarted meanwhile.
        """
        await self._cross_link()
        if self._process != self._target.registration.started_at_ms:
            raise exchange_lib.ExchangeError("connection reset", sent=True)
        head = self._target.receive(self._network.name)
        head.headers[_NAMES.request] = self._request
        if head.status == 200:
            self._target.running += 1
            try:
                await asyncio.sleep(
                    self._network.random_source.uniform(
                        MIN_RUN_SECONDS, _MAX_RUN_SECONDS
                    )
                )
            finally:
                self._target.running -= 1
        await self._cross_link()
        return head

    async def _cross_link(self) -> None:
        await asyncio.sleep(
            self._network.random_source.uniform(
                0.0, self._network.max_delay_seconds
            )
        )

    async def chunks(self, *, silence: float) -> AsyncIterator[bytes]:
        """Yields the body."""
        yield b"ok"

    def close(self) -> None:
        """Does nothing."""
