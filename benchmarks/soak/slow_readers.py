"""Callers that read slowly: `python -m soak.slow_readers`.

Beside the faults and callers of the soak of processes, slow callers request
streams of 800 KB, which they read after a while or not at all, or leave. Entry
hosts have a budget of 20 MB for all of them. Reported are answers that are
neither whole nor a broken prefix, and refused requests that ran.
"""

from __future__ import annotations

import asyncio
import collections
import json
import random
import socket
import sys

from soak import callers
from soak import processes
from soak import streams
from soak import targets

# A process without any answers takes some 40 MB; near their limit hosts refuse
# all new connections.
_MEMORY_MB = 100
_SLOW_CALLERS = 24
_PREFIX = "slow"
_EVENTS = 40
_EVENT_BYTES = 20_000
_RECEIVE_BYTES = 8192
# Longer than the time after which a caller that takes nothing is ended.
_STOP_SECONDS = 9.0
_READ_AFTER_SECONDS = (0.0, 3.0)
_WAYS = ("reads", "reads", "stops", "leaves")


def _events(request: str) -> list[bytes]:
    data = request.encode() * (_EVENT_BYTES // len(request))
    return [b"id: %d\ndata: %s\n\n" % (n + 1, data) for n in range(_EVENTS)]


class Target(targets.Target):
    """A target with large streams for slow callers."""

    async def _write_stream(self, message, writer) -> None:
        request = message.headers.get("Attempt-Id", "")
        if not request.startswith(_PREFIX):
            await super()._write_stream(message, writer)
            return
        first = int(message.headers.get("Last-Event-Id", 0))
        body = _events(request)[first:]
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Attempt-Id: {request}",
            f"Content-Length: {sum(map(len, body))}",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for event in body:
            writer.write(event)
            await writer.drain()


class SlowReaderSoak(processes.Soak):
    """The soak of processes, with slow callers in addition.

    A caller that stops reads the head first: one that is refused would
    otherwise not notice it for as long as it stops.
    """

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._draws = random.Random(f"slow readers of {options['seed']}")
        self._targets = [
            Target(
                name=f"t{number}",
                random_source=self._random,
                controls=[
                    f"{p.ip}:{processes.CONTROL_PORT}" for p in self._controls
                ],
                is_excused=self._is_excused,
                streams_random=self._draws,
                sender_of=self._sender_of,
                lateness=self._lateness,
            )
            for number in range(3)
        ]
        self._slow_tasks: list[asyncio.Task[None]] = []
        self._slow_ends: collections.Counter[str] = collections.Counter()
        self._slow_violations: list[str] = []
        self._refused: list[str] = []

    def _process(self, *arguments) -> processes.Process:
        process = super()._process(*arguments)
        settings = json.loads(process._settings.read_text())
        settings |= {
            "contracts": ["pressure"],
            "limits": {"memoryMb": _MEMORY_MB},
        }
        process._settings.write_text(json.dumps(settings))
        return process

    async def start(self) -> None:
        """Starts everything and the slow callers."""
        await super().start()
        self._slow_tasks = [
            asyncio.create_task(self._call_slowly(number))
            for number in range(_SLOW_CALLERS)
        ]

    async def close(self) -> None:
        """Ends the slow callers and everything else."""
        for task in self._slow_tasks:
            task.cancel()
        await asyncio.gather(*self._slow_tasks, return_exceptions=True)
        await super().close()

    async def _call_slowly(self, caller: int) -> None:
        number = 0
        while True:
            number += 1
            process = self._draws.choice(self._entries)
            way = self._draws.choice(_WAYS)
            request = f"{_PREFIX}{caller:02}{number:06}"
            try:
                await self._read_slowly(process.ip, request, way)
            except (OSError, asyncio.IncompleteReadError, ValueError):
                self._slow_ends["unreachable"] += 1
            await asyncio.sleep(self._draws.uniform(0.1, 0.5))

    async def _read_slowly(self, ip: str, request: str, way: str) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, (ip, processes.FRONT_PORT))
        except OSError:
            sock.close()
            raise
        reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
        try:
            lines = [
                f"POST {streams.RESUMED} HTTP/1.1",
                f"Host: {callers.HOSTNAME}",
                "Content-Length: 0",
                f"Attempt-Id: {request}",
            ]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            if way == "leaves":
                await asyncio.sleep(self._draws.uniform(0.0, 1.0))
                self._slow_ends["left"] += 1
                return
            seconds = self._draws.uniform(*_READ_AFTER_SECONDS)
            answer = await callers.read_answer(
                reader,
                pause_seconds=_STOP_SECONDS if way == "stops" else seconds,
            )
        finally:
            writer.transport.abort()
        self._record(request, way, answer)

    def _record(
        self, request: str, way: str, answer: callers.Answer | None
    ) -> None:
        if answer is None or answer.status != 200:
            status = answer.status if answer is not None else 0
            self._slow_ends[f"status {status}"] += 1
            if status == 503:
                self._refused.append(request)
            return
        body = b"".join(_events(request))
        ending = "whole" if answer.is_whole else "broken"
        self._slow_ends[f"{way} {ending}"] += 1
        if answer.is_whole and answer.body != body:
            self._slow_violations.append(f"short or joined: {request}")
        if not body.startswith(answer.body):
            self._slow_violations.append(f"no prefix: {request}")

    def report(self) -> dict[str, object]:
        """Adds the ends of slow answers and their violations."""
        report = super().report()
        violations = report["violations"]
        assert isinstance(violations, list)
        violations += self._slow_violations
        runs = {run for target in self._targets for run in target.runs}
        violations += [
            f"refused and ran: {request}"
            for request in self._refused
            if request in runs
        ]
        report["slow"] = dict(sorted(self._slow_ends.items()))
        return report


if __name__ == "__main__":
    sys.exit(processes.main(SlowReaderSoak))
