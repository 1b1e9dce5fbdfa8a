"""Targets of several software versions: `python -m soak.versions`.

Targets write their version into each event. They break streams off, start again
under their id and address at another version, and report that late; callers
take their streams up at any entry host and name the attempt that began them,
none, or a wrong one. Beside that come the faults of the soak of processes.
Reported are streams with events of two versions, and resumed streams that go on
less than half as often as new ones begin, at entry hosts without a signal in
the last seconds and while two targets of their version serve.

With `--outages` all entry and control hosts are also killed at once, at times.
With an even seed all targets then have one version, and streams whose beginning
no host knows go on: that is reported if most of them are refused.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
from collections.abc import Sequence
import dataclasses
import json
import random
import re
import signal
import sys
import time

from soak import callers
from soak import processes
from soak import streams
from soak import targets

_VERSIONS = ("v1", "v1.1", "v2")
_TARGETS = 5
_CALLERS = 12
_EVENTS = 10
_EVENT_SECONDS = 0.02
_BREAK_SHARE = 0.06
_MAX_RETAKES = 3
_ANSWER_SECONDS = 6.0
# Share of retakes that name no attempt, and that name a wrong one.
_UNNAMED_SHARE, _WRONG_SHARE = 0.05, 0.05
_MAX_LATE_REPORT_SECONDS = 2.5
# Time after its start from which a target counts as serving.
_CONTACT_SECONDS = 3.0
# Retakes from which their share is compared with that of new streams.
_MIN_RETAKES = 12
# Share of faults that kill all entry and control hosts, about one in 7 s.
_OUTAGE_SHARE = 0.06
_RECOVERY_SECONDS = 30.0
# Resumptions of an unknown beginning from which their share is judged.
_MIN_UNKNOWN = 6
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class Target(targets.Target):
    """A target with a version, which answers reports and starts late."""

    def __init__(
        self,
        *,
        versions: Sequence[str],
        versions_random: random.Random,
        **options,
    ) -> None:
        super().__init__(**options)
        self._versions = versions
        self._versions_random = versions_random
        self._software = versions_random.choice(versions)
        self._reports_from = float("-inf")
        self._started_at = float("inf")
        self._restart_lock = asyncio.Lock()

    def serves(self, now: float) -> bool:
        """Whether hosts in contact with it can send it a stream."""
        return (
            now - self._started_at > _CONTACT_SECONDS
            and not self._is_draining
            and now > self._refuses_until
        )

    async def start(self) -> None:
        """Starts to serve, and to report after a while."""
        await super().start()
        self._port = int(self._address.rpartition(":")[2])
        self._started_at = max(time.monotonic(), self._reports_from)

    async def close(self) -> None:
        """Ends like a crash."""
        self._started_at = float("inf")
        await super().close()

    async def restart(self) -> None:
        """Starts again under its id and address, often at another version."""
        if self._restart_lock.locked():
            # A process that has begun to start would change its version.
            return
        async with self._restart_lock:
            await self.close()
            self._software = self._versions_random.choice(self._versions)
            late = self._versions_random.uniform(0.0, _MAX_LATE_REPORT_SECONDS)
            self._reports_from = time.monotonic() + late
            await self.start()

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(max(0.0, self._reports_from - time.monotonic()))
        await super()._send_heartbeats()

    async def _answer_query(
        self, message: callers.Message, writer: asyncio.StreamWriter
    ) -> bool:
        if not message.first_line.startswith("GET /report "):
            return False
        body = json.dumps({"seq": 0, "models": [], "born": self._born}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        return True

    async def _write_stream(
        self, message: callers.Message, writer: asyncio.StreamWriter
    ) -> None:
        process = self._starts
        request = message.headers.get("Attempt-Id", "")
        first = int(message.headers.get("Last-Event-Id", 0)) + 1
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n"
            + f"Attempt-Id: {request}\r\n\r\n".encode()
        )
        for number in range(first, _EVENTS + 1):
            if self._starts != process:
                writer.transport.abort()
                return
            event = f"id: {number}\ndata: {self._software}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            if self._versions_random.random() < _BREAK_SHARE:
                writer.close()
                return
            await asyncio.sleep(_EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


@dataclasses.dataclass(kw_only=True)
class Stream:
    """A caller's stream over all its attempts.

    Attributes:
        attempts: Ids of the attempts.
        began: Attempt that received the first event; empty without one.
        numbers: Ids of its events, in order.
        versions: Versions that wrote them.
        is_whole: Whether its last attempt ended completely.
    """

    attempts: list[str] = dataclasses.field(default_factory=list)
    began: str = ""
    numbers: list[int] = dataclasses.field(default_factory=list)
    versions: set[str] = dataclasses.field(default_factory=set)
    is_whole: bool = False


class VersionSoak(processes.Soak):
    """A run with targets of several versions.

    Attributes:
        versions: Versions of the targets.
    """

    versions = _VERSIONS

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the choice of outages."""
        parser.add_argument("--outages", action="store_true")

    @classmethod
    def variant(
        cls, options: argparse.Namespace, seed: int
    ) -> type[processes.Soak]:
        """Returns the class of a run, with or without outages."""
        if not options.outages:
            return cls
        return OutageSoak if seed % 2 else SoleVersionSoak

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._versions_random = random.Random(f"versions of {options['seed']}")
        self._targets = [
            Target(
                versions=self.versions,
                versions_random=self._versions_random,
                name=f"t{number}",
                random_source=self._random,
                controls=[
                    f"{p.ip}:{processes.CONTROL_PORT}" for p in self._controls
                ],
                is_excused=self._is_excused,
                streams_random=self._versions_random,
                sender_of=self._sender_of,
                lateness=self._lateness,
            )
            for number in range(_TARGETS)
        ]
        # Callers of these check events of one version only.
        self._stream_callers = []
        self._streams: list[Stream] = []
        self._counts: collections.Counter[str] = collections.Counter()
        self._caller_tasks: list[asyncio.Task[None]] = []

    def _service(self) -> dict[str, object]:
        engine = {
            "slots": 50,
            "kvCapacity": 1,
            "models": [],
            "weightsMb": 1,
            "adapterSlots": 1,
            "loadsPerS": 1,
        }
        return super()._service() | {"engine": engine}

    async def start(self) -> None:
        """Starts everything and the callers of streams."""
        await super().start()
        self._caller_tasks = [
            asyncio.create_task(self._call(f"{number:04x}"))
            for number in range(_CALLERS)
        ]

    async def close(self) -> None:
        """Ends the callers of streams and everything else."""
        for task in self._caller_tasks:
            task.cancel()
        await super().close()

    async def _call(self, name: str) -> None:
        while True:
            stream = Stream()
            self._streams.append(stream)
            attempt = f"{name}{len(self._streams):08x}"
            await self._begin(stream, attempt)
            for retake in range(_MAX_RETAKES):
                if not stream.numbers or stream.is_whole:
                    break
                await self._retake(stream, f"{attempt}{retake}")
            await asyncio.sleep(0.05)

    async def _begin(self, stream: Stream, attempt: str) -> None:
        process = self._versions_random.choice(self._entries)
        was_calm = process.is_calm(_CONTACT_SECONDS)
        await self._attempt(process, stream, attempt, {})
        if was_calm and process.is_calm(_CONTACT_SECONDS):
            self._counts["sent"] += 1
            self._counts["begun"] += bool(stream.numbers)

    async def _retake(self, stream: Stream, attempt: str) -> None:
        draw = self._versions_random.random()
        headers = {"Last-Event-Id": str(stream.numbers[-1])}
        kind = "named"
        if draw < _UNNAMED_SHARE:
            kind = "unnamed"
        elif draw < _UNNAMED_SHARE + _WRONG_SHARE:
            kind = "wrong"
            headers["Resumes"] = "ffff00000000"
        else:
            headers["Resumes"] = stream.began
        process = self._versions_random.choice(self._entries)
        can_go_on = self._can_go_on(stream) and process.is_calm(
            _CONTACT_SECONDS
        )
        count = len(stream.numbers)
        result = await self._attempt(process, stream, attempt, headers)
        goes_on = len(stream.numbers) > count or stream.is_whole
        self._counts[f"{kind} {'goes on' if goes_on else result}"] += 1
        can_go_on = can_go_on and process.is_calm(_CONTACT_SECONDS)
        if kind == "named" and can_go_on and self._can_go_on(stream):
            self._counts["owed"] += 1
            self._counts["kept" if goes_on else f"lost {result}"] += 1

    def _can_go_on(self, stream: Stream) -> bool:
        """Whether two targets of the stream's version serve."""
        now = time.monotonic()
        serving = [
            target
            for target in self._targets
            if target.software in stream.versions and target.serves(now)
        ]
        return len(serving) >= 2

    async def _attempt(
        self,
        process: processes.Process,
        stream: Stream,
        attempt: str,
        headers: dict[str, str],
    ) -> str:
        """Sends one attempt to an entry host; returns its result."""
        stream.attempts.append(attempt)
        answer = await callers.ask(
            f"{process.ip}:{processes.FRONT_PORT}",
            streams.RESUMED,
            {"Attempt-Id": attempt, "Deadline-Ms": "3000"} | headers,
            seconds=_ANSWER_SECONDS,
        )
        if answer is None:
            return "unanswered"
        events = _EVENT.findall(answer.body) if answer.status == 200 else []
        if events and not stream.began:
            stream.began = attempt
        stream.numbers += [int(number) for number, _ in events]
        stream.versions |= {version.decode() for _, version in events}
        stream.is_whole = answer.status == 200 and answer.is_whole
        if answer.status == 200:
            return "200"
        return f"{answer.status} {answer.body.decode().partition(':')[0]}"

    def report(self) -> dict[str, object]:
        """Adds the streams and what was wrong with them."""
        report = super().report()
        violations = report["violations"]
        assert isinstance(violations, list)
        for stream in self._streams:
            if len(stream.versions) > 1:
                violations.append(f"two versions: {stream}")
            expected = list(range(1, len(stream.numbers) + 1))
            if stream.numbers != expected:
                violations.append(f"missing or repeated events: {stream}")
        counts = self._counts
        new_share = counts["begun"] / max(1, counts["sent"])
        if (
            counts["owed"] >= _MIN_RETAKES
            and counts["kept"] / counts["owed"] < new_share / 2
        ):
            violations.append(f"resumed streams are lost: {dict(counts)}")
        report["versions"] = dict(sorted(counts.items()))
        return report


class OutageSoak(VersionSoak):
    """A run in which all entry and control hosts are killed at once."""

    async def run(self, seconds: float) -> None:
        """Has faults for some time, and then time to recover.

        After an outage all processes start together, which takes seconds.
        """
        await super().run(seconds)
        async with asyncio.timeout(_RECOVERY_SECONDS):
            await self._wait_until_ready()
        await asyncio.sleep(_ANSWER_SECONDS)

    async def _draw_fault(self) -> None:
        if self._versions_random.random() >= _OUTAGE_SHARE:
            await super()._draw_fault()
            return
        self._counts["outages"] += 1
        await asyncio.gather(
            *(each.restart(signal.SIGKILL) for each in self._processes)
        )


class SoleVersionSoak(OutageSoak):
    """A run with outages and targets of one version."""

    versions = ("v1",)

    def report(self) -> dict[str, object]:
        """Adds whether streams of an unknown beginning were refused."""
        report = super().report()
        violations = report["violations"]
        assert isinstance(violations, list)
        kinds = ("unnamed", "wrong")
        proved = sum(self._counts[f"{kind} goes on"] for kind in kinds)
        refused = sum(
            self._counts[f"{kind} 503 origin_unknown"] for kind in kinds
        )
        if proved + refused >= _MIN_UNKNOWN and proved < refused:
            violations.append(
                f"a single version is not proved: {proved} of "
                f"{proved + refused} go on"
            )
        return report


if __name__ == "__main__":
    sys.exit(processes.main(VersionSoak))
