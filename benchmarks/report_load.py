"""Reports of many targets at real control hosts: `python -m report_load`.

Starts control hosts of the users' platform as processes on loopback and sends
them the reports of simulated targets: one every 1.2 s on an open connection; a
report that is not answered with 200 within a second goes to the next host on a
new connection. Prints processor time and answers; no entry hosts run.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

_ROOT = pathlib.Path(__file__).parent.parent
_CONTROL_PORT = 18100
_LINK_PORT = 18200
_REPORT_SECONDS = 1.2
_PATIENCE_SECONDS = 1.0
_SETTLE_SECONDS = 6.0


def _cpu_seconds(pid: int) -> float:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rsplit(") ", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


class _Site:
    """Control hosts as processes, of this source tree or another one."""

    def __init__(
        self, *, folder: pathlib.Path, source: pathlib.Path, hosts: int
    ) -> None:
        network = f"127.{20 + os.getpid() % 200}.250"
        self.ips = [f"{network}.{n + 1}" for n in range(hosts)]
        self.processes = []
        for number, ip in enumerate(self.ips):
            file = folder / f"c{number}.json"
            file.write_text(json.dumps(self._settings(number, ip, folder)))
            paths = (
                source / "platform",
                source / "packages" / "endivestream" / "src",
            )
            self.processes.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        str(source / "platform" / "main.py"),
                        "control",
                    ],
                    env=os.environ
                    | {
                        "ENDIVESTREAM_CONFIG": str(file),
                        "PYTHONPATH": os.pathsep.join(map(str, paths)),
                    },
                    stdout=(folder / f"c{number}.log").open("wb"),
                    stderr=subprocess.STDOUT,
                )
            )

    def _settings(
        self, number: int, ip: str, folder: pathlib.Path
    ) -> dict[str, object]:
        return {
            "node": f"control-{number}",
            "ip": ip,
            "zone": "a",
            "listen": {"control": f"{ip}:{_CONTROL_PORT}"},
            "internalPorts": [_LINK_PORT, _LINK_PORT + 15],
            "seeds": [f"{each}:{_CONTROL_PORT}" for each in self.ips],
            "bootstrap": True,
            "dataDir": str(folder / f"c{number}"),
            "heartbeatMs": 1000 * _REPORT_SECONDS,
        }

    def processor_seconds(self) -> list[float]:
        """Returns the processor time of each host so far."""
        return [_cpu_seconds(each.pid) for each in self.processes]

    def close(self) -> None:
        """Ends the processes."""
        for process in self.processes:
            process.kill()
            process.wait()


@dataclasses.dataclass
class _Counts:
    """What targets have seen since a time.

    Attributes:
        seconds: Time until the acknowledgement of each report, from its first
            sending to a host.
        connections: Number of new connections.
        failures: Number of reports that one host did not acknowledge.
    """

    seconds: list[float] = dataclasses.field(default_factory=list)
    connections: int = 0
    failures: int = 0


class _Targets:
    def __init__(self, *, ips: list[str], targets: int) -> None:
        self.counts = _Counts()
        self._ips = ips
        self._targets = targets
        self._tasks: list[asyncio.Task[None]] = []
        self._connections: dict[
            int, tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = {}

    def start(self) -> None:
        self._tasks = [
            asyncio.create_task(self._run(number))
            for number in range(self._targets)
        ]

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for number in list(self._connections):
            self._disconnect(number)

    def _disconnect(self, number: int) -> None:
        connection = self._connections.pop(number, None)
        if connection is not None:
            connection[1].close()

    async def _run(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(_REPORT_SECONDS * number / self._targets)
        chosen = number
        report_number = 0
        while True:
            due = loop.time() + _REPORT_SECONDS
            report_number += 1
            started_at = loop.time()
            request = _request(number, report_number)
            for _ in self._ips:
                try:
                    async with asyncio.timeout(_PATIENCE_SECONDS):
                        if number not in self._connections:
                            self.counts.connections += 1
                            self._connections[
                                number
                            ] = await asyncio.open_connection(
                                self._ips[chosen % len(self._ips)],
                                _CONTROL_PORT,
                            )
                        reader, writer = self._connections[number]
                        writer.write(request)
                        head = await reader.readuntil(b"\r\n\r\n")
                        if head.startswith(b"HTTP/1.1 200"):
                            await reader.readexactly(2)
                            self.counts.seconds.append(loop.time() - started_at)
                            break
                except (OSError, TimeoutError, asyncio.IncompleteReadError):
                    pass
                self.counts.failures += 1
                self._disconnect(number)
                chosen += 1
            await asyncio.sleep(max(0.0, due - loop.time()))


def _request(number: int, report_number: int) -> bytes:
    body = json.dumps(
        {
            "service": "chat",
            "address": f"10.0.{number // 250}.{number % 250}:8000",
            "zone": "a",
            "version": "2.4.1",
            "slots": 16,
            "state": "ready",
            "seq": report_number,
            "born": 1_700_000_000_000 + 7919 * number,
            "models": [{"name": "model-a", "version": 1, "adapters": ["a"]}],
            "available": {"inMemory": ["model-b"], "onDisk": ["model-c"]},
        }
    ).encode()
    head = (
        f"PUT /instances/instance-{number} HTTP/1.1\r\nHost: control\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _measure(
    source: pathlib.Path, *, hosts: int, targets: int, seconds: float
) -> None:
    with tempfile.TemporaryDirectory() as folder:
        site = _Site(folder=pathlib.Path(folder), source=source, hosts=hosts)
        reporting = _Targets(ips=site.ips, targets=targets)
        try:
            await asyncio.sleep(_SETTLE_SECONDS)
            reporting.start()
            await asyncio.sleep(_SETTLE_SECONDS)
            reporting.counts = _Counts()
            before = site.processor_seconds()
            own_before = time.process_time()
            started_at = time.monotonic()
            await asyncio.sleep(seconds)
            counts = reporting.counts
            duration = time.monotonic() - started_at
            own = (time.process_time() - own_before) / duration
            used = [
                (after - earlier) / duration
                for earlier, after in zip(
                    before, site.processor_seconds(), strict=True
                )
            ]
        finally:
            await reporting.close()
            site.close()
    waits = sorted(counts.seconds) or [float("inf")]
    cores = ", ".join(f"{share:.2f}" for share in sorted(used, reverse=True))
    print(
        f"| {hosts} | {targets} | {len(counts.seconds) / duration:.0f}"
        f" | {cores} | {counts.connections / duration:.1f}"
        f" | {counts.failures / duration:.1f}"
        f" | {statistics.median(waits) * 1e3:.0f}"
        f" | {waits[int(len(waits) * 0.99)] * 1e3:.0f} | {own:.2f} |",
        flush=True,
    )


def main() -> int:
    """Prints a line for each number of targets."""
    parser = argparse.ArgumentParser(prog="report_load")
    parser.add_argument("--source", type=pathlib.Path, default=_ROOT)
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument(
        "--targets", type=int, nargs="+", default=[12, 300, 600, 1000]
    )
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    print(
        "| hosts | targets | acknowledged a second | each host, of a core"
        " | new connections a second | unacknowledged a second"
        " | 50 in 100, ms | 99 in 100, ms | the targets' process, of a core |"
    )
    for targets in options.targets:
        asyncio.run(
            _measure(
                options.source.resolve(),
                hosts=options.hosts,
                targets=targets,
                seconds=options.seconds,
            )
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
