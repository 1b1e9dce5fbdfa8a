"""Series of configurations: `python -m soak.configurations`.

Several operators change the configuration, each in a series of its own: it
sends the next change once the last one is acknowledged, and repeats a call
without an answer at another control host. Each change adds a route. Beside that
come the faults of the soak of processes. Reported are changes without an
acknowledgement in time while all control hosts were stable, reads that return
an older version than the last acknowledged one, and entry hosts that do not
know the route of a change after the bound.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import statistics
import sys
import time

from soak import callers
from soak import processes
from soak import targets

_OPERATORS = 4
_ACKNOWLEDGED_SECONDS = 5.0
# Time after an acknowledgement within which a change is in force.
_IN_FORCE_SECONDS = 2.0
# Time that control hosts may take to elect a leader and find each other.
_CALM_SECONDS = 4.0
# Delivery of a request, and lateness of this process that counts as none.
_SLACK_SECONDS = 0.2
_MAX_PAUSE_SECONDS = 0.6
_READ_SECONDS = 1.0
# Share of the faults of the soak of processes; the others hit entry hosts only.
_FAULT_SHARE = 0.15


class ConfigurationSoak(processes.Soak):
    """Operators beside the faults of the soak of processes."""

    def __init__(self, *, seed: int, **options) -> None:
        super().__init__(seed=seed, **options)
        self._operators_random = random.Random(f"operators of {seed}")
        self._waits: list[float] = []
        self._unjudged = 0
        self._checks = 0
        self._reads = 0
        self._acknowledged = 0
        self._operator_violations: list[str] = []

    async def _run(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        operators = [
            asyncio.create_task(self._operate(end)) for _ in range(_OPERATORS)
        ]
        try:
            await super()._run(seconds)
            await asyncio.gather(*operators)
        finally:
            for operator in operators:
                operator.cancel()

    async def _operate(self, end: float) -> None:
        """Sends a series of changes."""
        while time.monotonic() < end:
            self._version += 1
            version = self._version
            body = json.dumps(self._document(version)).encode()
            started_at = time.monotonic()
            pause = 0.1
            while not await callers.is_ok(
                self._any_control(), "PUT", "/config", body
            ):
                await asyncio.sleep(pause)
                pause = min(2 * pause, _MAX_PAUSE_SECONDS)
                if time.monotonic() > started_at + 3 * _ACKNOWLEDGED_SECONDS:
                    break
            self._record_acknowledged(version, started_at)
            self._start_task(self._check_in_force(version))
            self._start_task(self._check_read())
            await asyncio.sleep(
                self._operators_random.uniform(0.0, _MAX_PAUSE_SECONDS)
            )

    async def _draw_fault(self) -> None:
        if self._random.random() < _FAULT_SHARE:
            await super()._draw_fault()
            return
        entry = self._random.choice(self._entries)
        match self._random.randrange(3):
            case 0:
                await entry.restart(signal.SIGKILL)
            case 1:
                await entry.restart(signal.SIGTERM)
            case 2:
                await entry.pause(self._random.uniform(0.5, 3.0))

    def _any_control(self) -> str:
        control = self._operators_random.choice(self._controls)
        return f"{control.ip}:{processes.CONTROL_PORT}"

    def _record_acknowledged(self, version: int, started_at: float) -> None:
        now = time.monotonic()
        waited = now - started_at
        self._acknowledged = max(self._acknowledged, version)
        if not all(p.is_calm(waited + _CALM_SECONDS) for p in self._controls):
            self._unjudged += 1
            return
        self._waits.append(waited)
        if waited > _ACKNOWLEDGED_SECONDS:
            self._operator_violations.append(
                f"version {version}: no acknowledgement for {waited:.3f} s, "
                f"this process was late for {self._lateness(started_at):.3f} s"
            )

    async def _check_read(self) -> None:
        acknowledged = self._acknowledged
        answer = await callers.ask(
            self._any_control(),
            "/config",
            {},
            seconds=_READ_SECONDS,
            method="GET",
            body=b"",
        )
        if answer is None or answer.status != 200:
            return
        self._reads += 1
        version = json.loads(answer.body)["version"]
        if version < acknowledged:
            self._operator_violations.append(
                f"read version {version} after {acknowledged} was acknowledged"
            )

    async def _check_in_force(self, version: int) -> None:
        """Sends all entry hosts a request on the route of a change."""
        await asyncio.sleep(_IN_FORCE_SECONDS + _SLACK_SECONDS)
        for process in self._entries:
            asked_at = time.monotonic()
            answer = await callers.ask(
                f"{process.ip}:{processes.FRONT_PORT}",
                f"/v{version}/",
                {"Host": callers.HOSTNAME, "Attempt-Id": f"v{version}"},
                seconds=_READ_SECONDS,
            )
            self._checks += 1
            if answer is not None and answer.status == 404:
                self._operator_violations.append(
                    f"version {version} not in force at {process.name}, this "
                    f"process was late for {self._lateness(asked_at):.3f} s"
                )

    def _document(self, version: int) -> dict[str, object]:
        document = super()._document(version)
        document["routes"] += [
            {
                "name": f"v{number}",
                "host": callers.HOSTNAME,
                "pathPrefix": f"/v{number}/",
                "routeKind": "idempotent",
                "timeoutMs": 4000,
                "objectiveMs": 400,
                "service": targets.SERVICE,
                "anonymous": True,
            }
            for number in range(1, version + 1)
        ]
        return document

    def report(self) -> dict[str, object]:
        """Returns counts of answers, waits of changes and violations."""
        report = super().report()
        report["violations"] = [
            *self._operator_violations,
            *report["violations"],
        ]
        waits = self._waits or [0.0]
        report["acknowledged"] = [
            len(self._waits),
            round(statistics.median(waits), 3),
            round(max(waits), 3),
        ]
        report["not judged"] = self._unjudged
        report["checks"] = self._checks
        report["reads"] = self._reads
        return report

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds no arguments."""


if __name__ == "__main__":
    sys.exit(processes.main(ConfigurationSoak))
