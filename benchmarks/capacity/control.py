"""Slopes of the control host: processor time against each kind of message."""

from __future__ import annotations

import asyncio
import pathlib
import time
from typing import Any

from endivestream import messages
from endivestream.connection import links
from endivestream.version import calls
from endivestream.version import configuration
import hdrh.histogram
import processes
import zmq.asyncio

from capacity import fit
from capacity import pure

_WINDOW_SECONDS = 4.0


def histogram() -> hdrh.histogram.HdrHistogram:
    """Returns an empty histogram of microseconds up to a minute."""
    return hdrh.histogram.HdrHistogram(1, 60_000_000, 3)


def _info(name: str) -> messages.HostInfo:
    caller_url, inner_url = "http://10.0.12.34:8080", "http://10.0.12.34:8081"
    return messages.HostInfo(name, 1, "d1", caller_url, inner_url, False)


class Driver:
    """Links to one control host."""

    def __init__(self, *, host: processes.Host) -> None:
        self._host = host
        self._context = zmq.asyncio.Context()
        self.links: list[links.Link] = []

    def grow(self, count: int) -> None:
        """Opens links until there are `count`."""
        while len(self.links) < count:
            link = links.Link(
                address=self._host.peers_address,
                context=self._context,
                on_push=lambda message: None,
                silence=30.0,
            )
            link.start()
            self.links.append(link)

    async def close(self) -> None:
        """Closes all links."""
        for link in self.links:
            await link.close()
        self._context.destroy(linger=0)

    async def paced(self, rate: float, work: Any) -> tuple[float, Any]:
        """Runs `work(n)` at a rate for a window.

        Returns:
            Processor seconds a second of the control process, and a histogram
            of the answers' microseconds.
        """
        seen = histogram()
        tasks = set()
        begun = time.monotonic()
        before = self._host.cpu_seconds()

        async def one(n: int) -> None:
            start = time.perf_counter()
            await work(n)
            taken = int((time.perf_counter() - start) * 1e6)
            seen.record_value(max(1, taken))

        number = 0
        while (now := time.monotonic()) - begun < _WINDOW_SECONDS:
            due = int((now - begun) * rate)
            for n in range(number, due):
                task = asyncio.create_task(one(n))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            number = max(number, due)
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)
        wall = time.monotonic() - begun
        return (self._host.cpu_seconds() - before) / wall, seen


def _row(seen: Any) -> dict[str, float]:
    return {
        "p50_ms": seen.get_value_at_percentile(50) / 1e3,
        "p95_ms": seen.get_value_at_percentile(95) / 1e3,
        "p99_ms": seen.get_value_at_percentile(99) / 1e3,
    }


async def _sweep(driver: Driver, rates: Any, work: Any) -> dict[str, Any]:
    points, rows = [], []
    for rate in rates:
        cpu, seen = await driver.paced(rate, work)
        points.append((float(rate), cpu))
        rows.append({"rate": rate, "cpu": cpu, **_row(seen)})
    return {"line": fit.line(points), "rows": rows}


async def watching(
    driver: Driver, counts: tuple[int, ...] = (25, 50, 100, 200, 390)
) -> dict[str, Any]:
    """Processor time against gateways that renew their lease each 0.5 s."""
    driver.grow(max(counts))
    points, rows = [], []
    have: dict[int, tuple[int, int]] = {}
    for count in counts:

        async def work(n: int, count: int = count) -> None:
            which = n % count
            version, hosts_seen = have.get(which, (0, 0))
            answer = await driver.links[which].request(
                messages.Watch(
                    host=_info(f"w{which}"),
                    have=version,
                    hosts_seen=hosts_seen,
                    running=0,
                ),
                seconds=5,
            )
            have[which] = answer.version, answer.hosts_version

        await driver.paced(count * 2, work)  # The new ones fetch the whole.

        cpu, seen = await driver.paced(count * 2, work)
        points.append((float(count), cpu))
        rows.append({"hosts": count, "cpu": cpu, **_row(seen)})
    return {"line": fit.line(points), "rows": rows}


async def charging(driver: Driver) -> dict[str, Any]:
    """Processor time against charges a second (charge, then ending)."""

    async def work(n: int) -> None:
        link = driver.links[n % 8]
        name = f"host-1-abc-{time.monotonic_ns():x}"
        await link.request(
            messages.Charge(team="team1", request=name, tokens=1, patience=5),
            seconds=5,
        )
        ending = messages.Ending(request=name, team="team1", used=1)
        await link.request(messages.Endings(endings=[ending]), seconds=5)

    return await _sweep(driver, (100, 200, 400, 800), work)


async def ticketing(driver: Driver, targets: int) -> dict[str, Any]:
    """Processor time against tickets a second (ticket, then ending)."""
    link = driver.links[0]
    for n in range(targets):
        await link.request(
            messages.Announce(
                info=messages.TargetInfo(
                    name=f"b{n}",
                    incarnation=1,
                    kind="service",
                    domain="d1",
                    url="http://127.0.0.1:1",
                    slots=64,
                    services=["bench"],
                )
            ),
            seconds=5,
        )
    stop = asyncio.Event()
    reporter = asyncio.create_task(_report(driver, targets, stop))

    async def work(n: int) -> None:
        link = driver.links[n % 8]
        name = f"host-1-abc-{time.monotonic_ns():x}"
        await link.request(
            messages.AskTicket(
                request=name,
                team="team1",
                needs="service:bench",
                tokens=100,
                patience=5,
                avoid=[],
                host=f"w{n % 8}",
            ),
            seconds=6,
        )
        ending = messages.Ending(request=name, team="", used=100)
        await link.request(messages.Endings(endings=[ending]), seconds=5)

    result = await _sweep(driver, (50, 100, 200, 400), work)
    stop.set()
    await reporter
    return result


async def _report(driver: Driver, targets: int, stop: asyncio.Event) -> None:
    sequence = 0
    while not stop.is_set():
        sequence += 1
        reports = [
            messages.TargetReport(
                name=f"b{n}", incarnation=1, sequence=sequence
            )
            for n in range(targets)
        ]
        await driver.links[1].request(
            messages.Report(reports=reports), seconds=5
        )
        await asyncio.sleep(1.0)


async def reporting(driver: Driver) -> dict[str, Any]:
    """Processor time against targets that report each second, 8 homes."""
    counts = (81, 162, 325, 650)
    link = driver.links[0]
    for n in range(max(counts)):
        info = messages.TargetInfo(
            name=f"r{n}", incarnation=1, kind="engine", domain="d", url="u"
        )
        await link.request(messages.Announce(info=info), seconds=5)
    sequence = 0
    points, rows = [], []
    for count in counts:

        async def work(n: int, count: int = count) -> None:
            nonlocal sequence
            sequence += 1
            home = n % 80
            reports = [
                messages.TargetReport(
                    name=f"r{t}",
                    incarnation=1,
                    sequence=sequence,
                    loaded=[f"model{m}" for m in range(6)],
                    running=4,
                    queued_tokens=900,
                )
                for t in range(home, count, 80)
            ]
            await driver.links[home % 8].request(
                messages.Report(reports=reports), seconds=5
            )

        cpu, seen = await driver.paced(80, work)
        points.append((float(count), cpu))
        rows.append({"targets": count, "cpu": cpu, **_row(seen)})
    return {"line": fit.line(points), "rows": rows}


async def committing(driver: Driver) -> dict[str, Any]:
    """Commit latency and commits a second, against proposers at once."""
    rows, points = [], []
    number = 0
    for proposers in (1, 8, 32, 128):
        seen = histogram()
        until = time.monotonic() + _WINDOW_SECONDS
        before = driver._host.cpu_seconds()

        async def proposer(
            until: float = until, which: int = 0, seen: Any = seen
        ) -> int:
            nonlocal number
            done = 0
            while time.monotonic() < until:
                number += 1
                name = f"{int(time.time())}-{number}"
                command = calls.BeginCall(
                    team="team1",
                    service="desk",
                    key=name,
                    fingerprint="f",
                    holder=f"w/1/{number}",
                    at=time.time(),
                )
                start = time.perf_counter()
                await driver.links[which % 8].request(
                    messages.Propose(command=command), seconds=10
                )
                taken = int((time.perf_counter() - start) * 1e6)
                seen.record_value(max(1, taken))
                done += 1
            return done

        counts = await asyncio.gather(
            *(proposer(which=n) for n in range(proposers))
        )
        rate = sum(counts) / _WINDOW_SECONDS
        cpu = (driver._host.cpu_seconds() - before) / _WINDOW_SECONDS
        points.append((rate, cpu))
        rows.append(
            {
                "proposers": proposers,
                "commits_s": rate,
                "cpu": cpu,
                **_row(seen),
            }
        )
    return {"line": fit.line(points), "rows": rows}


async def changing(driver: Driver) -> list[dict[str, float]]:
    """Seconds until a change is acknowledged by all, against gateways."""
    rows = []
    link = driver.links[0]
    for count in (25, 50, 100, 200, 390):
        seen = histogram()
        for turn in range(5):
            await _watch_all(driver, count)
            begun = time.perf_counter()
            name = f"k{count}-{turn}-{time.monotonic_ns()}"
            answer = await link.request(
                messages.Propose(
                    command=configuration.CreateKey(
                        label=name,
                        team="team1",
                        digest=configuration.digest_of(name),
                        change_id=name,
                        author="bench",
                        at=0.0,
                    )
                ),
                seconds=5,
            )
            await _watch_all(driver, count, answer.result.version)
            seen.record_value(int((time.perf_counter() - begun) * 1e6))
        rows.append({"hosts": count, **_row(seen)})
    return rows


async def _watch_all(driver: Driver, count: int, have: int = 1) -> None:
    async def one(which: int) -> None:
        link = driver.links[which]
        host = _info(f"w{which}")
        # Once to fetch what is new, once to acknowledge it.
        answer = await link.request(
            messages.Watch(host=host, have=max(1, have - 1), running=0),
            seconds=10,
        )
        await link.request(
            messages.Watch(host=host, have=answer.version, running=0),
            seconds=10,
        )

    await asyncio.gather(*(one(n) for n in range(count)))


async def restarting(folder: pathlib.Path) -> list[dict[str, float]]:
    """Seconds to start and memory, against records in the state."""
    rows = []
    for records in (0, 5000, 10_000, 20_000):
        name = f"restart{records}"
        host = processes.Host(folder=folder, name=name)
        try:
            host.wait_ready()
            driver = Driver(host=host)
            driver.grow(8)
            await _fill(driver, records)
            await driver.close()
            host.kill()
            begun = time.perf_counter()
            host = processes.Host(folder=folder, name=name)
            host.wait_ready()
            seconds = time.perf_counter() - begun
            size = sum(f.stat().st_size for f in (folder / name).iterdir())
            rows.append(
                {
                    "records": records,
                    "ready_s": seconds,
                    "memory_mib": host.memory_mib(),
                    "disk_bytes": size,
                }
            )
        finally:
            host.kill()
    return rows


async def _fill(driver: Driver, records: int) -> None:
    async def some(which: int) -> None:
        for n in range(which, records, 64):
            command = calls.BeginCall(
                team="team1",
                service="desk",
                key=f"{int(time.time())}-{n:032x}",
                fingerprint="f" * 32,
                holder=f"w/1/{n}",
                at=time.time(),
            )
            await driver.links[which % 8].request(
                messages.Propose(command=command), seconds=10
            )

    await asyncio.gather(*(some(which) for which in range(64)))


def sizes() -> dict[str, int]:
    """Bytes of the messages on the links."""
    watch = messages.Watch(host=_info("host-123"), have=1000, running=140)
    hosts = [_info(f"host-{n}") for n in range(390)]

    def lease(update: Any, table: Any) -> messages.Lease:
        return messages.Lease(
            update=update,
            version=1000,
            seconds=3.0,
            hosts=table,
            hosts_version=7,
        )

    key = configuration.KeyRecord("f" * 64, "label-1", "team1", 9, False, False)
    change = configuration.Update(
        base=999, version=1000, rules_version=900, text=None, keys=[key]
    )
    text = configuration.Update(
        base=0,
        version=1000,
        rules_version=1000,
        text=pure.rules_text(380),
        keys=[key] * 500,
    )
    report = messages.TargetReport(
        name="engine-123",
        incarnation=1790000000000,
        sequence=100000,
        loaded=[f"model-{m}" for m in range(6)],
        running=8,
        queued_tokens=4000,
    )
    charge = messages.Charge(
        team="team1", request="host-1-19a2b3c4d5e-1f4", tokens=700, patience=9.9
    )

    def size(message: messages.Message) -> int:
        return len(messages.encode(messages.Envelope(1000, message)))

    return {
        "watch": size(watch),
        "lease": size(lease(None, None)),
        "lease_390_hosts": size(lease(None, hosts)),
        "key_change": size(lease(change, None)),
        "whole_configuration": size(lease(text, None)),
        "report": size(messages.Report(reports=[report])),
        "charge": size(charge),
        "charged": size(messages.Charged(waited=0.0)),
        "ticket": size(
            messages.Ticket(
                target="engine-123",
                url="http://10.0.12.34:8000",
                resumes=True,
                waited=0.0,
                reason="least_loaded",
            )
        ),
    }
