"""Processor time of a target's report, by part: `python -m reports`.

One process on real time: the leader's own objects with as many targets as are
named, and the control application of the users' platform on loopback, whose
caller runs in another thread. Reports repeat an unchanged content, as most do.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import pathlib
import socket
import sys
import threading
import time

from loguru import logger
import msgspec
from tornado import httpserver
from tornado import netutil
import zmq.asyncio

_ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(_ROOT))
sys.path.insert(0, str(_ROOT / "platform"))

# ruff: noqa: E402
import calls
from endivestream import clock
from endivestream import messages
from endivestream import placement_messages
from endivestream import report_messages
from endivestream import site_messages
from endivestream.connection import links
from endivestream.connection import registry as registry_lib
from endivestream.process import control as control_lib
from endivestream.process import report_sender
from endivestream.process import site_leader
import targets as targets_lib

from tests import leader_site

_REPEATS = 5
_HTTP_REPORTS = 2000
_CONNECTIONS = 500
_LINK_REQUESTS = 500
_SENDER_ROUNDS = 20
# Reports that the planner lease holder takes with one request.
_FEED_ITEMS = 100
_STARTED_AT_MS = 1_700_000_000_000


def _registration(number: int, report_number: int) -> registry_lib.Registration:
    return registry_lib.Registration(
        name=f"instance-{number}",
        service="chat",
        address=f"10.0.{number // 250}.{number % 250}:8000",
        domain="zone-a",
        software="2.4.1",
        started_at_ms=_STARTED_AT_MS + 7919 * number,
        # Processes have run for different times.
        report_number=report_number + 613 * number,
        slots=16,
        loaded=(
            registry_lib.Loaded("model-a", 1, ("style-1", "style-2")),
            registry_lib.Loaded("model-b", 2),
        ),
        in_memory=("model-c", "model-d"),
        on_disk=tuple(f"model-{n}" for n in range(6)),
    )


_BODY = msgspec.json.encode(
    {
        "service": "chat",
        "address": "10.0.0.1:8000",
        "zone": "zone-a",
        "version": "2.4.1",
        "slots": 16,
        "state": "ready",
        "seq": 7,
        "born": _STARTED_AT_MS,
        "models": [
            {"name": "model-a", "version": 1, "adapters": ["style-1"]},
            {"name": "model-b", "version": 2, "adapters": []},
        ],
        "available": {
            "inMemory": ["model-c", "model-d"],
            "onDisk": [f"model-{n}" for n in range(6)],
        },
    }
)


def _print_line(part: str, seconds: float) -> None:
    print(f"| {part} | {seconds * 1e6:.1f} |")


def _measure(part: str, run: Callable[[], int]) -> None:
    """Prints the least processor time of a report over several runs.

    Args:
        part: What is measured.
        run: Does it for some reports and returns their number.
    """
    least = float("inf")
    for _ in range(_REPEATS):
        started_at = time.process_time()
        reports = run()
        least = min(least, (time.process_time() - started_at) / reports)
    _print_line(part, least)


class _Leader:
    """A leader with targets, none of whose entry hosts is connected."""

    def __init__(self, *, targets: int) -> None:
        self._numbers = range(targets)
        self._report_number = 0
        log = leader_site.Log()
        self.role = site_leader.SiteLeader(
            settings=leader_site.SETTINGS,
            leader_context=control_lib.LeaderContext(
                log, self._push, log.former_leases
            ),
        )
        self._registry = registry_lib.Registry()

    async def _push(self, peers: object, message: messages.Message) -> None:
        pass

    def round(self) -> list[registry_lib.Registration]:
        """Returns the next report of each target."""
        self._report_number += 1
        return [_registration(n, self._report_number) for n in self._numbers]

    def add_to_registry(
        self, reports: Sequence[registry_lib.Registration]
    ) -> None:
        for report in reports:
            self._registry.add(report, clock.now())

    async def handle_each(
        self, reports: Sequence[registry_lib.Registration]
    ) -> None:
        for report in reports:
            await self.role.handle(
                b"c1", site_messages.Register(registration=report)
            )

    async def handle_batches(
        self, reports: Sequence[registry_lib.Registration], size: int
    ) -> None:
        for start in range(0, len(reports), size):
            answer = await self.role.handle(b"c1", _batch(reports, start, size))
            assert answer == report_messages.RegisteredAll(), answer


def _batch(
    reports: Sequence[registry_lib.Registration], start: int, size: int
) -> report_messages.RegisterAll:
    return report_messages.RegisterAll(
        unchanged=tuple(
            report_messages.UnchangedReport(
                report.name,
                report.started_at_ms,
                report.report_number,
                report.report_number - 1,
            )
            for report in reports[start : start + size]
        )
    )


async def _least(
    leader: _Leader,
    run: Callable[[Sequence[registry_lib.Registration]], Awaitable[None]],
) -> float:
    least = float("inf")
    for _ in range(_REPEATS):
        reports = leader.round()
        started_at = time.process_time()
        await run(reports)
        spent = time.process_time() - started_at
        least = min(least, spent / len(reports))
    return least


async def _measure_leader(targets: int, sizes: Sequence[int]) -> None:
    leader = _Leader(targets=targets)
    reports = leader.round()
    await leader.handle_each(reports)
    leader.add_to_registry(reports)

    async def add(reports: Sequence[registry_lib.Registration]) -> None:
        leader.add_to_registry(reports)

    _print_line(
        f"leader, {targets} targets: registry", await _least(leader, add)
    )
    _print_line(
        f"leader, {targets} targets: handler, report by itself",
        await _least(leader, leader.handle_each),
    )
    for size in sizes:
        _print_line(
            f"leader, {targets} targets: handler, batch of {size}",
            await _least(
                leader, lambda r, size=size: leader.handle_batches(r, size)
            ),
        )


def _measure_frames(sizes: Sequence[int]) -> None:
    registration = _registration(1, 7)
    _measure_codec(
        "report by itself",
        site_messages.Register(registration=registration),
        site_messages.Registered(),
        1,
    )
    for size in sizes:
        reports = [_registration(n, 7) for n in range(size)]
        _measure_codec(
            f"batch of {size}, unchanged",
            _batch(reports, 0, size),
            report_messages.RegisteredAll(),
            size,
        )
        _measure_codec(
            f"batch of {size}, in full",
            report_messages.RegisterAll(registrations=tuple(reports)),
            report_messages.RegisteredAll(),
            size,
        )
    items = tuple(
        placement_messages.FeedTargetReport(registration=_registration(n, 7))
        for n in range(_FEED_ITEMS)
    )
    _measure_codec(
        f"planner feed, {_FEED_ITEMS} items",
        placement_messages.ToldSeat(holder="c1", items=items),
        None,
        _FEED_ITEMS,
    )


async def _measure_links(sizes: Sequence[int]) -> None:
    """Measures requests over a link, both ends together, without handlers."""
    context = zmq.asyncio.Context()

    async def answer(
        peer: bytes, message: messages.Message
    ) -> messages.Message:
        if isinstance(message, site_messages.Register):
            return site_messages.Registered()
        return report_messages.RegisteredAll()

    server = links.Server(
        address="tcp://127.0.0.1:*", handle=answer, context=context
    )
    server.start()
    link = links.Link(
        address=server.address,
        context=context,
        on_push=lambda message: None,
        silence=1.0,
    )
    link.start()
    requests: list[tuple[str, messages.Message, int]] = [
        (
            "report by itself",
            site_messages.Register(registration=_registration(1, 7)),
            1,
        )
    ]
    for size in sizes:
        reports = [_registration(n, 7) for n in range(size)]
        requests.append((f"batch of {size}", _batch(reports, 0, size), size))
    for name, message, reports in requests:
        least = float("inf")
        for _ in range(_REPEATS):
            started_at = time.process_time()
            for _ in range(_LINK_REQUESTS):
                await link.request(message, seconds=5.0)
            spent = time.process_time() - started_at
            least = min(least, spent / _LINK_REQUESTS / reports)
        _print_line(f"link, both ends, with frames: {name}", least)
    await link.close()
    await server.close()
    context.destroy(linger=0)


def _measure_codec(
    name: str,
    message: messages.Message,
    answer: messages.Message | None,
    reports: int,
) -> None:
    envelope = messages.Envelope(7, message)
    frame = messages.encode(envelope)
    repeats = max(1, 2000 // reports)

    def encode() -> int:
        for _ in range(repeats):
            messages.encode(envelope)
        return repeats * reports

    def decode() -> int:
        for _ in range(repeats):
            messages.decode(frame)
        return repeats * reports

    size = len(frame) / reports
    _measure(f"frame, {name}: encode ({size:.0f} bytes a report)", encode)
    _measure(f"frame, {name}: decode", decode)
    if answer is not None:
        reply = messages.encode(messages.Envelope(7, answer))

        def exchange_answer() -> int:
            for _ in range(repeats):
                messages.encode(messages.Envelope(7, answer))
                messages.decode(reply)
            return repeats * reports

        _measure(f"answer, {name}: encode and decode", exchange_answer)


class _Control:
    """Control host that acknowledges every report."""

    async def register(self, registration: registry_lib.Registration) -> bool:
        return True


class _Server:
    """The control application in a thread whose processor time is read."""

    def __init__(self) -> None:
        self.port = 0
        self._loop = asyncio.new_event_loop()
        self._is_ready = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()
        self._is_ready.wait()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.call_soon(self._listen)
        self._loop.run_forever()

    def _listen(self) -> None:
        server = httpserver.HTTPServer(calls.control_application(_Control()))
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        server.add_sockets(sockets)
        self._is_ready.set()

    def processor_seconds(self) -> float:
        """Returns the processor time that its thread has used."""

        async def read() -> float:
            return time.thread_time()

        return asyncio.run_coroutine_threadsafe(read(), self._loop).result()


async def _measure_sender(size: int) -> None:
    """Measures a control host's work on reports, a message for `size` each."""

    async def call(message: messages.Message, *, seconds: float) -> object:
        return report_messages.RegisteredAll()

    least = float("inf")
    for _ in range(_REPEATS):
        sender = report_sender.ReportSender(call=call)
        spent = 0.0
        for number in range(_SENDER_ROUNDS):
            reports = [_registration(n, number) for n in range(size)]
            started_at = time.process_time()
            await asyncio.gather(*map(sender.report, reports))
            spent += time.process_time() - started_at
        await sender.close()
        least = min(least, spent / size / _SENDER_ROUNDS)
    _print_line(f"control host: batches of up to {size}", least)


def _send_report(connection: socket.socket) -> None:
    head = (
        "PUT /instances/instance-1 HTTP/1.1\r\nHost: control\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(_BODY)}\r\n"
        "\r\n"
    )
    connection.sendall(head.encode() + _BODY)
    answer = connection.recv(4096)
    assert answer.startswith(b"HTTP/1.1 200"), answer


def _measure_http() -> None:
    def decode() -> int:
        for _ in range(2000):
            targets_lib.read_beat("instance-1", _BODY)
        return 2000

    _measure("control host: JSON of a report", decode)
    server = _Server()
    address = ("127.0.0.1", server.port)
    with socket.create_connection(address) as connection:
        _send_report(connection)
        before = server.processor_seconds()
        for _ in range(_HTTP_REPORTS):
            _send_report(connection)
        spent = server.processor_seconds() - before
    _print_line("control host: HTTP with JSON", spent / _HTTP_REPORTS)
    before = server.processor_seconds()
    for _ in range(_CONNECTIONS):
        with socket.create_connection(address) as connection:
            _send_report(connection)
    spent = server.processor_seconds() - before
    _print_line(
        "control host: the same on a new connection", spent / _CONNECTIONS
    )


def main() -> int:
    """Prints the processor time of each part, in microseconds."""
    parser = argparse.ArgumentParser(prog="reports")
    parser.add_argument(
        "--targets", type=int, nargs="+", default=[12, 300, 1000, 3000]
    )
    parser.add_argument("--sizes", type=int, nargs="*", default=[4, 15, 64])
    options = parser.parse_args()
    logger.remove()
    print("| part | us of a core, for each report |\n| --- | --- |")
    _measure_http()
    for size in options.sizes:
        asyncio.run(_measure_sender(size))
    _measure_frames(options.sizes)
    asyncio.run(_measure_links(options.sizes))
    for targets in options.targets:
        asyncio.run(_measure_leader(targets, options.sizes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
