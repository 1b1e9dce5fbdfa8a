"""Stand-in targets that serve real connections and check what reaches them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import functools
import json
import random
import time

from soak import arrivals
from soak import callers
from soak import promises
from soak import streams

SERVICE = "desk"
DRAIN_SECONDS = 2.0
_HEARTBEAT_SECONDS = 0.3
_RETRY_AFTER_SECONDS = (1.0, 2.0, 3.0)


class Target:
    """A target that refuses, drains and restarts.

    Attributes:
        seen: Ids of all requests that reached it.
        runs: Ids of the requests that it ran, once for each run.
        violations: Requests that should not have reached it.
    """

    def __init__(
        self,
        *,
        name: str,
        random_source: random.Random,
        controls: list[str],
        is_excused: Callable[[str, float], bool],
        streams_random: random.Random,
        sender_of: Callable[[int], str],
        lateness: Callable[[float], float],
    ) -> None:
        self._lateness = lateness
        self._sender_of = sender_of
        self._streams = streams.StreamWriter(random_source=streams_random)
        self.seen: set[str] = set()
        self.runs: list[str] = []
        self.violations: list[str] = []
        self._name = name
        self._random = random_source
        self._controls = controls
        self._is_excused = is_excused
        self._refuses_until = float("-inf")
        self._is_draining = False
        self._starts = 0
        # Port to listen on; 0 for another one with each start.
        self._port = 0
        self._reports = 0
        self._backoffs: dict[str, list[promises.Backoff]] = {}
        self._drain_announced_at: dict[str, float] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._connections: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._address = ""
        self._software = "v1"

    @property
    def software(self) -> str:
        """Version of the software that it runs."""
        return self._software

    async def start(self) -> None:
        """Starts to serve and to send heartbeats."""
        self._starts += 1
        self._reports = 0
        self._is_draining = False
        self._backoffs.clear()
        self._drain_announced_at.clear()
        self._born = int(time.time() * 1000)
        self._server = await arrivals.start_server(
            self._serve, "127.0.0.1", self._port
        )
        host, port = self._server.sockets[0].getsockname()
        self._address = f"{host}:{port}"
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def restart(self) -> None:
        """Ends like a crash and starts again under the same id."""
        await self.close()
        await self.start()

    async def close(self) -> None:
        """Closes all connections without an answer."""
        self._starts += 1
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            if writer in self._streams.unframed:
                # A normal close between two events would be a whole stream.
                streams.reset(writer)
            writer.transport.abort()
        if self._connections:
            await asyncio.wait(set(self._connections))

    def refuse(self, seconds: float) -> None:
        """Refuses all requests for some time."""
        self._refuses_until = time.monotonic() + seconds

    def drain(self) -> None:
        """Announces a drain in answers and heartbeats."""
        self._is_draining = True

    async def _send_heartbeats(self) -> None:
        while True:
            self._reports += 1
            heartbeat = {
                "version": self._software,
                "service": SERVICE,
                "address": self._address,
                "zone": "a",
                "slots": 50,
                "state": "draining" if self._is_draining else "ready",
                "seq": self._reports,
                "born": self._born,
            }
            await callers.is_ok(
                self._random.choice(self._controls),
                "PUT",
                f"/instances/{self._name}",
                json.dumps(heartbeat).encode(),
            )
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        # A connection that is accepted while the target ends outlives the
        # close; no later process may serve it.
        process = self._starts
        self._connections.add(task)
        self._writers.add(writer)
        _, port = writer.get_extra_info("peername")
        # Not the host of the caller: that may have its request relayed.
        sender = functools.cache(lambda: self._sender_of(port))
        try:
            while (message := await callers.read_message(reader)) is not None:
                if self._starts != process:
                    writer.transport.abort()
                    break
                await self._answer(message, sender, writer)
                if writer.is_closing():
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        message: callers.Message,
        sender: Callable[[], str],
        writer: asyncio.StreamWriter,
    ) -> None:
        request = message.headers.get("Attempt-Id", "")
        expected = message.headers.get("Expect-Instance", self._name)
        now = time.monotonic()
        headers = {"Attempt-Id": request}
        if expected != self._name:
            await callers.write_answer(
                writer, 421, headers | {"Not-Executed": "1"}
            )
            return
        if await self._answer_query(message, writer):
            return
        self.seen.add(request)
        # Looked up only where it matters: the search delays all targets.
        has_duties = self._backoffs or self._drain_announced_at
        is_announcing = self._is_draining or now < self._refuses_until
        host = sender() if has_duties or is_announcing else ""
        if host:
            self._check(host, request, arrivals.received_at(writer))
        if self._is_draining:
            headers["Server-Leaving"] = "1"
        if now < self._refuses_until:
            seconds = self._random.choice(_RETRY_AFTER_SECONDS)
            self._backoffs.setdefault(host, []).append(
                promises.Backoff(start=now, end=now + seconds)
            )
            headers |= {"Not-Executed": "1", "Retry-After": f"{seconds:g}"}
            await self._write_announcing(writer, 503, headers, host)
            return
        self.runs.append(request)
        if streams.is_stream(message.first_line.split(" ")[1]):
            await self._write_stream(message, writer)
            return
        await asyncio.sleep(self._random.uniform(0.005, 0.1))
        with contextlib.suppress(OSError):
            await self._write_announcing(writer, 200, headers, host)

    async def _write_announcing(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        host: str,
    ) -> None:
        """Writes an answer, which may announce a drain to a host."""
        await callers.write_answer(writer, status, headers)
        if host and "Server-Leaving" in headers and not writer.is_closing():
            self._drain_announced_at.setdefault(host, time.monotonic())

    async def _answer_query(
        self, message: callers.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a request that is not a caller's; False if it is one."""
        return False

    async def _write_stream(
        self, message: callers.Message, writer: asyncio.StreamWriter
    ) -> None:
        await self._streams.write(message, writer)

    def _check(self, host: str, request: str, now: float) -> None:
        announced_at = self._drain_announced_at.get(host)
        if (
            announced_at is not None
            and now > announced_at + DRAIN_SECONDS
            and not self._is_excused(host, announced_at)
        ):
            self.violations.append(f"drain: {self._name} {host} {request}")
        for backoff in self._backoffs.get(host, ()):
            if (
                backoff.covers(now)
                and not self._is_excused(host, backoff.start)
                and backoff.record_arrival()
            ):
                self.violations.append(
                    f"backoff: {self._name} {host} {request} "
                    f"{now - backoff.start:.3f} s after "
                    f"{backoff.end - backoff.start:g} s, this process was "
                    f"late for {self._lateness(backoff.start):.3f} s of these"
                )
