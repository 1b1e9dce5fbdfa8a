"""Measures processor time of a control host against rates of messages."""

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
    """Returns an empty histogram of microseconds, up to one minute."""
    return hdrh.histogram.HdrHistogram(1, 60_000_000, 3)


def _host_info(name: str) -> messages.HostInfo:
    caller_url, inner_url = "http://10.0.12.34:8080", "http://10.0.12.34:8081"
    return messages.HostInfo(name, 1, "d1", caller_url, inner_url, False)


class Driver:
    """Sends messages to one control host through several links."""

    def __init__(self, *, host: processes.Host) -> None:
        self._host = host
        self._context = zmq.asyncio.Context()
        self.links: list[links.Link] = []

    def open_links(self, count: int) -> None:
        """Opens links until `count` are open."""
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

    async def run_at_rate(self, rate: float, work: Any) -> tuple[float, Any]:
        """Starts `work(n)` at a rate a second during the measurement window.

        Returns:
            Processor seconds a second of the control process, and a histogram
            of the latencies in microseconds.
        """
        latencies = histogram()
        tasks = set()
        started_at = time.monotonic()
        cpu_before = self._host.cpu_seconds()

        async def timed_request(n: int) -> None:
            sent_at = time.perf_counter()
            await work(n)
            microseconds = int((time.perf_counter() - sent_at) * 1e6)
            latencies.record_value(max(1, microseconds))

        number = 0
        while (now := time.monotonic()) - started_at < _WINDOW_SECONDS:
            due_count = int((now - started_at) * rate)
            for n in range(number, due_count):
                task = asyncio.create_task(timed_request(n))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            number = max(number, due_count)
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)
        elapsed = time.monotonic() - started_at
        return (self._host.cpu_seconds() - cpu_before) / elapsed, latencies


def _percentiles(latencies: Any) -> dict[str, float]:
    return {
        "p50_ms": latencies.get_value_at_percentile(50) / 1e3,
        "p95_ms": latencies.get_value_at_percentile(95) / 1e3,
        "p99_ms": latencies.get_value_at_percentile(99) / 1e3,
    }


async def _measure_rates(
    driver: Driver, rates: Any, work: Any
) -> dict[str, Any]:
    points, rows = [], []
    for rate in rates:
        cpu, latencies = await driver.run_at_rate(rate, work)
        points.append((float(rate), cpu))
        rows.append({"rate": rate, "cpu": cpu, **_percentiles(latencies)})
    return {"line": fit.line(points), "rows": rows}


async def renewing_leases(
    driver: Driver, counts: tuple[int, ...] = (25, 50, 100, 200, 390)
) -> dict[str, Any]:
    """Returns processor time by gateways that renew leases every 0.5 s."""
    driver.open_links(max(counts))
    points, rows = [], []
    known_versions: dict[int, tuple[int, int]] = {}
    for count in counts:

        async def work(n: int, count: int = count) -> None:
            index = n % count
            version, hosts_seen = known_versions.get(index, (0, 0))
            answer = await driver.links[index].request(
                messages.Watch(
                    host=_host_info(f"w{index}"),
                    config_version=version,
                    hosts_seen=hosts_seen,
                    running=0,
                ),
                seconds=5,
            )
            known_versions[index] = answer.version, answer.hosts_version

        # In this unmeasured run, new hosts fetch the complete configuration.
        await driver.run_at_rate(count * 2, work)

        cpu, latencies = await driver.run_at_rate(count * 2, work)
        points.append((float(count), cpu))
        rows.append({"hosts": count, "cpu": cpu, **_percentiles(latencies)})
    return {"line": fit.line(points), "rows": rows}


async def charging(driver: Driver) -> dict[str, Any]:
    """Returns processor time by charges a second, each with its completion."""

    async def work(n: int) -> None:
        link = driver.links[n % 8]
        name = f"host-1-abc-{time.monotonic_ns():x}"
        await link.request(
            messages.Charge(
                team="team1", request=name, tokens=1, max_wait_seconds=5
            ),
            seconds=5,
        )
        ending = messages.Completion(request=name, team="team1", used=1)
        await link.request(messages.Endings(completions=[ending]), seconds=5)

    return await _measure_rates(driver, (100, 200, 400, 800), work)


async def ticketing(driver: Driver, targets: int) -> dict[str, Any]:
    """Returns processor time by tickets a second, each with its completion."""
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
    reporter = asyncio.create_task(_report_targets(driver, targets, stop))

    async def work(n: int) -> None:
        link = driver.links[n % 8]
        name = f"host-1-abc-{time.monotonic_ns():x}"
        await link.request(
            messages.AskTicket(
                request=name,
                team="team1",
                needs="service:bench",
                tokens=100,
                max_wait_seconds=5,
                avoid=[],
                host=f"w{n % 8}",
            ),
            seconds=6,
        )
        ending = messages.Completion(request=name, team="", used=100)
        await link.request(messages.Endings(completions=[ending]), seconds=5)

    result = await _measure_rates(driver, (50, 100, 200, 400), work)
    stop.set()
    await reporter
    return result


async def _report_targets(
    driver: Driver, targets: int, stop: asyncio.Event
) -> None:
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
    """Returns processor time by targets that report once a second.

    The reports arrive in 80 batches a second over 8 links, as from the
    targets' home gateways.
    """
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
            home_index = n % 80
            reports = [
                messages.TargetReport(
                    name=f"r{t}",
                    incarnation=1,
                    sequence=sequence,
                    loaded=[f"model{m}" for m in range(6)],
                    running=4,
                    queued_tokens=900,
                )
                for t in range(home_index, count, 80)
            ]
            await driver.links[home_index % 8].request(
                messages.Report(reports=reports), seconds=5
            )

        cpu, latencies = await driver.run_at_rate(80, work)
        points.append((float(count), cpu))
        rows.append({"targets": count, "cpu": cpu, **_percentiles(latencies)})
    return {"line": fit.line(points), "rows": rows}


async def committing(driver: Driver) -> dict[str, Any]:
    """Returns commit latency and processor time by concurrent proposers."""
    rows, points = [], []
    number = 0
    for proposers in (1, 8, 32, 128):
        latencies = histogram()
        deadline = time.monotonic() + _WINDOW_SECONDS
        cpu_before = driver._host.cpu_seconds()

        async def proposer(
            deadline: float = deadline,
            index: int = 0,
            latencies: Any = latencies,
        ) -> int:
            nonlocal number
            commit_count = 0
            while time.monotonic() < deadline:
                number += 1
                name = f"{int(time.time())}-{number}"
                command = calls.ClaimCall(
                    team="team1",
                    service="desk",
                    key=name,
                    fingerprint="f",
                    holder=f"w/1/{number}",
                    at=time.time(),
                )
                sent_at = time.perf_counter()
                await driver.links[index % 8].request(
                    messages.Propose(command=command), seconds=10
                )
                microseconds = int((time.perf_counter() - sent_at) * 1e6)
                latencies.record_value(max(1, microseconds))
                commit_count += 1
            return commit_count

        counts = await asyncio.gather(
            *(proposer(index=n) for n in range(proposers))
        )
        rate = sum(counts) / _WINDOW_SECONDS
        cpu = (driver._host.cpu_seconds() - cpu_before) / _WINDOW_SECONDS
        points.append((rate, cpu))
        rows.append(
            {
                "proposers": proposers,
                "commits_s": rate,
                "cpu": cpu,
                **_percentiles(latencies),
            }
        )
    return {"line": fit.line(points), "rows": rows}


async def changing(driver: Driver) -> list[dict[str, float]]:
    """Returns the seconds until all gateways acknowledge a change."""
    rows = []
    link = driver.links[0]
    for count in (25, 50, 100, 200, 390):
        latencies = histogram()
        for repetition in range(5):
            await _renew_all(driver, count)
            started_at = time.perf_counter()
            name = f"k{count}-{repetition}-{time.monotonic_ns()}"
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
            await _renew_all(driver, count, answer.result.version)
            latencies.record_value(
                int((time.perf_counter() - started_at) * 1e6)
            )
        rows.append({"hosts": count, **_percentiles(latencies)})
    return rows


async def _renew_all(
    driver: Driver, count: int, known_version: int = 1
) -> None:
    async def renew_twice(index: int) -> None:
        link = driver.links[index]
        host = _host_info(f"w{index}")
        # The first renewal fetches the update, the second acknowledges it.
        answer = await link.request(
            messages.Watch(
                host=host, config_version=max(1, known_version - 1), running=0
            ),
            seconds=10,
        )
        await link.request(
            messages.Watch(host=host, config_version=answer.version, running=0),
            seconds=10,
        )

    await asyncio.gather(*(renew_twice(n) for n in range(count)))


async def restarting(folder: pathlib.Path) -> list[dict[str, float]]:
    """Returns start time and memory of a host by records in its state."""
    rows = []
    for records in (0, 5000, 10_000, 20_000):
        name = f"restart{records}"
        host = processes.Host(folder=folder, name=name)
        try:
            host.wait_ready()
            driver = Driver(host=host)
            driver.open_links(8)
            await _propose_records(driver, records)
            await driver.close()
            host.kill()
            started_at = time.perf_counter()
            host = processes.Host(folder=folder, name=name)
            host.wait_ready()
            seconds = time.perf_counter() - started_at
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


async def _propose_records(driver: Driver, records: int) -> None:
    async def propose_share(index: int) -> None:
        for n in range(index, records, 64):
            command = calls.ClaimCall(
                team="team1",
                service="desk",
                key=f"{int(time.time())}-{n:032x}",
                fingerprint="f" * 32,
                holder=f"w/1/{n}",
                at=time.time(),
            )
            await driver.links[index % 8].request(
                messages.Propose(command=command), seconds=10
            )

    await asyncio.gather(*(propose_share(index) for index in range(64)))


def sizes() -> dict[str, int]:
    """Returns the encoded sizes of messages in bytes."""
    watch = messages.Watch(
        host=_host_info("host-123"), config_version=1000, running=140
    )
    hosts = [_host_info(f"host-{n}") for n in range(390)]

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
        team="team1",
        request="host-1-19a2b3c4d5e-1f4",
        tokens=700,
        max_wait_seconds=9.9,
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
