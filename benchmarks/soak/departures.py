"""Departures of targets: `python -m soak.departures`.

Targets announce that they leave, or deregister first, are served for the drain
time after the acknowledgement, deregister and start again under their id.
Copies of their heartbeats arrive up to seconds late, at any control host, also
those of a former process. Beside that come the faults of the soak of processes.
Reported are departures without an acknowledgement in time while all control
hosts were stable, and requests that reach a target later than the drain time
after it.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import random
import statistics
import sys
import time

from soak import arrivals
from soak import callers
from soak import processes
from soak import targets

_TARGETS = 5
_ACKNOWLEDGED_SECONDS = 5.0
_CALL_SECONDS = 1.0
_LATE_SHARE = 0.5
_LATE_SECONDS = (0.2, 4.0)
_SERVED_SECONDS = (1.5, 4.0)
# Time that control hosts may take to elect a leader and find each other.
_CALM_SECONDS = 4.0
# Share of the faults of the soak of processes.
_FAULT_SHARE = 0.4
# Delivery of a request that was sent in time.
_SLACK_SECONDS = 0.2
_DOWN_SECONDS = 0.5


class Target(targets.Target):
    """A target that departs and comes back."""

    def __init__(self, *, soak: DepartureSoak, **options) -> None:
        super().__init__(**options)
        self._soak = soak
        self._departures_random = random.Random(f"departures of {self._name}")
        self._acknowledged_at: float | None = None
        # Its heartbeats announce that it leaves; its answers do not.
        self._is_leaving = False
        self._late: set[asyncio.Task[bool]] = set()

    async def start(self) -> None:
        """Starts to serve and to send heartbeats."""
        self._acknowledged_at = None
        self._is_leaving = False
        await super().start()

    async def close(self) -> None:
        """Closes all connections without an answer."""
        await super().close()
        for task in self._late:
            task.cancel()

    def _heartbeat(self) -> bytes:
        self._reports += 1
        return json.dumps(
            {
                "version": self._software,
                "service": targets.SERVICE,
                "address": self._address,
                "zone": "a",
                "slots": 50,
                "state": (
                    "draining"
                    if self._is_leaving or self._is_draining
                    else "ready"
                ),
                "seq": self._reports,
                "born": self._born,
            }
        ).encode()

    async def _send(self, method: str, body: bytes) -> bool:
        """Sends a call to some control host; copies may arrive later."""
        path = f"/instances/{self._name}"
        if body and self._departures_random.random() < _LATE_SHARE:
            late = asyncio.create_task(self._send_late(path, body))
            self._late.add(late)
            late.add_done_callback(self._late.discard)
        control = self._departures_random.choice(self._controls)
        return await callers.is_ok(control, method, path, body)

    async def _send_late(self, path: str, body: bytes) -> bool:
        await asyncio.sleep(self._departures_random.uniform(*_LATE_SECONDS))
        control = self._departures_random.choice(self._controls)
        return await callers.is_ok(control, "PUT", path, body)

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send("PUT", self._heartbeat())
            await asyncio.sleep(self._departures_random.uniform(0.2, 0.5))

    async def depart(self) -> None:
        """Leaves with acknowledgements, and starts again."""
        process = self._starts
        if self._is_leaving or self._acknowledged_at is not None:
            return
        announces = self._departures_random.random() < 0.7
        if announces:
            self._is_leaving = True
            if not await self._call("PUT", process, "announced"):
                return
            self._acknowledged_at = time.monotonic()
            await asyncio.sleep(
                self._departures_random.uniform(*_SERVED_SECONDS)
            )
        if self._starts != process:
            return
        assert self._heartbeat_task is not None
        self._heartbeat_task.cancel()
        if not await self._call("DELETE", process, "deregistered"):
            return
        self._acknowledged_at = self._acknowledged_at or time.monotonic()
        await asyncio.sleep(targets.DRAIN_SECONDS + _SLACK_SECONDS)
        if self._starts == process:
            await self.close()
            await asyncio.sleep(_DOWN_SECONDS)
            if self._starts == process + 1:
                await self.start()

    async def _call(self, method: str, process: int, kind: str) -> bool:
        """Repeats a call until it is acknowledged; False if that is over."""
        started_at = time.monotonic()
        while self._starts == process:
            called_at = time.monotonic()
            body = b"" if method == "DELETE" else self._heartbeat()
            if await self._send(method, body):
                self._soak.record_acknowledged(kind, started_at)
                return self._starts == process
            if called_at > started_at + 2 * _ACKNOWLEDGED_SECONDS:
                self._soak.record_acknowledged(kind, started_at)
                return False
            await asyncio.sleep(
                max(0.0, called_at + _CALL_SECONDS - time.monotonic())
            )
        return False

    def _check(self, host: str, request: str, now: float) -> None:
        super()._check(host, request, now)
        acknowledged_at = self._acknowledged_at
        if acknowledged_at is None:
            return
        late = now - acknowledged_at - targets.DRAIN_SECONDS
        if late > _SLACK_SECONDS and not self._is_excused(
            host, acknowledged_at - _CALM_SECONDS
        ):
            self.violations.append(
                f"sent {late:.3f} s after the departure: {self._name} {host} "
                f"{request}, this process was late for "
                f"{self._lateness(acknowledged_at):.3f} s"
            )

    async def _answer(self, message, sender, writer) -> None:
        if self._acknowledged_at is not None:
            request = message.headers.get("Attempt-Id", "")
            self._check(sender(), request, arrivals.received_at(writer))
        await super()._answer(message, sender, writer)


class DepartureSoak(processes.Soak):
    """Targets that depart beside the faults of the soak of processes."""

    def __init__(self, *, seed: int, **options) -> None:
        super().__init__(seed=seed, **options)
        streams_random = random.Random(f"streams of {seed}")
        self._targets = [
            Target(
                soak=self,
                name=f"t{number}",
                random_source=random.Random(f"{seed} {number}"),
                controls=[
                    f"{p.ip}:{processes.CONTROL_PORT}" for p in self._controls
                ],
                is_excused=self._is_excused,
                streams_random=streams_random,
                sender_of=self._sender_of,
                lateness=self._lateness,
            )
            for number in range(_TARGETS)
        ]
        self._departures: list[asyncio.Task[None]] = []
        self._waits: dict[str, list[float]] = collections.defaultdict(list)
        self._unjudged = 0
        self._violations: list[str] = []

    def record_acknowledged(self, kind: str, started_at: float) -> None:
        """Records a departure that was acknowledged, or given up."""
        now = time.monotonic()
        waited = now - started_at
        if not all(p.is_calm(waited + _CALM_SECONDS) for p in self._controls):
            self._unjudged += 1
            return
        self._waits[kind].append(waited)
        late = self._lateness(started_at)
        if waited > _ACKNOWLEDGED_SECONDS:
            self._violations.append(
                f"{kind}: no acknowledgement for {waited:.3f} s, this process "
                f"was late for {late:.3f} s"
            )

    async def _run(self, seconds: float) -> None:
        departing = asyncio.create_task(self._depart_targets(seconds))
        try:
            await super()._run(seconds)
        finally:
            departing.cancel()
            for task in self._departures:
                task.cancel()

    async def _depart_targets(self, seconds: float) -> None:
        """Makes targets depart, until the time to recover."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._random.uniform(0.3, 1.2))
            target = self._random.choice(self._targets)
            self._departures.append(asyncio.create_task(target.depart()))

    async def _draw_fault(self) -> None:
        if self._random.random() < _FAULT_SHARE:
            await super()._draw_fault()

    def report(self) -> dict[str, object]:
        """Returns counts of answers, waits of departures and violations."""
        report = super().report()
        report["violations"] = [*self._violations, *report["violations"]]
        report["acknowledged"] = {
            kind: [
                len(waits),
                round(statistics.median(waits), 3),
                round(max(waits), 3),
            ]
            for kind, waits in self._waits.items()
        }
        report["not judged"] = self._unjudged
        return report

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds no arguments."""


if __name__ == "__main__":
    sys.exit(processes.main(DepartureSoak))
