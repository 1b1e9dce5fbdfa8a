"""Measures processor time per token and request and latency of a gateway."""

from __future__ import annotations

import asyncio
import json
import pathlib
import time
from typing import Any

import processes

from capacity import control as control_lib
from capacity import fit

_ENGINES = 4
_STEP_SECONDS = 0.034
_RULES = """\
team team1 rate=100000000 burst=100000000 # bench
model brass memory=100 # bench
service desk # bench
allow team1 brass desk # bench
"""


class Site:
    """Processes of a control host, a gateway host and four engines."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._folder = folder
        self._processes: list[processes.Process] = []
        self.control = self._start_host("control", None)
        self.gateway = self._start_host("gateway", self.control)
        rules = folder / "rules.txt"
        rules.write_text(_RULES)
        processes.operate(
            "rules", "apply", str(rules), address=self.control.address
        )
        created = processes.operate(
            "--output=json",
            "key",
            "create",
            "--label=k",
            "--team=team1",
            "--wait=10",
            address=self.control.address,
        )
        self.key = json.loads(created.stdout)["key"]
        self.engines = [
            processes.stand_in(
                "engine",
                folder=folder,
                name=f"engine{n}",
                arguments=[
                    f"--gateway={self.gateway.inner_url}",
                    "--model=brass:100",
                    f"--step-seconds={_STEP_SECONDS}",
                    "--slots=128",
                ],
            )
            for n in range(_ENGINES)
        ]
        self._processes += self.engines
        processes.wait_for(self._engines_live, "engines are live")

    def _start_host(self, name: str, control: Any) -> processes.Host:
        host = processes.Host(
            folder=self._folder,
            name=name,
            control=[control.peers_address] if control else [],
            more="[requests]\nqueue_seconds = 30\n",
        )
        self._processes.append(host)
        host.wait_ready()
        return host

    def _engines_live(self) -> bool:
        completed = processes.operate(
            "--output=json", "models", address=self.control.address
        )
        return json.loads(completed.stdout).get("brass") == _ENGINES

    def close(self) -> None:
        """Kills all processes."""
        for process in self._processes:
            process.kill()

    def engine_address(self) -> str:
        """Returns `IP:PORT` of the first engine."""
        text = self.engines[0].log.read_text()
        return f"127.0.0.1:{text.split('port=')[1].split()[0]}"


async def stream(address: str, key: str, count: int, token_gaps: Any) -> float:
    """Reads one stream and records the microseconds between tokens.

    Returns:
        Seconds to the first token.
    """
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    body = json.dumps(
        {
            "model": "brass",
            "messages": [{"role": "user", "content": "x" * 200}],
            "max_tokens": count,
            "stream": True,
        }
    ).encode()
    started_at = time.perf_counter()
    writer.write(
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer {key}\r\nEndivestream-Attempt: a.1\r\n"
        f"Endivestream-Request: a\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    first, last = 0.0, 0.0
    while line := await reader.readline():
        if not line.startswith(b"data: {"):
            continue
        now = time.perf_counter()
        if not first:
            first = now - started_at
        else:
            token_gaps.record_value(max(1, int((now - last) * 1e6)))
        last = now
    writer.close()
    return first


async def relaying(site: Site) -> dict[str, Any]:
    """Returns processor time by relayed tokens a second."""
    address = site.gateway.url.removeprefix("http://")
    points, rows = [], []
    tokens = 120
    for streams in (8, 32, 64, 128):
        token_gaps = control_lib.histogram()
        cpu_before = site.gateway.cpu_seconds()
        started_at = time.monotonic()
        firsts = await asyncio.gather(
            *(
                stream(address, site.key, tokens, token_gaps)
                for _ in range(streams)
            )
        )
        elapsed = time.monotonic() - started_at
        cpu = (site.gateway.cpu_seconds() - cpu_before) / elapsed
        rate = streams * tokens / elapsed
        points.append((rate, cpu))
        rows.append(
            {
                "streams": streams,
                "tokens_s": rate,
                "cpu": cpu,
                "memory_mib": site.gateway.memory_mib(),
                "first_p95_ms": sorted(firsts)[int(len(firsts) * 0.95)] * 1e3,
                "between_p95_ms": token_gaps.get_value_at_percentile(95) / 1e3,
            }
        )
    return {"line": fit.line(points), "rows": rows}


async def overhead(site: Site) -> dict[str, float]:
    """Returns first token and gap latencies, direct and through the gateway."""
    results = {}
    for name, address in (
        ("direct", site.engine_address()),
        ("gateway", site.gateway.url.removeprefix("http://")),
    ):
        gaps, firsts = control_lib.histogram(), control_lib.histogram()
        for _ in range(60):
            # One stream at a time, not synchronized with the engine: waiting
            # for an engine's step would hide part of the added latency.
            first = await stream(address, site.key, 4, gaps)
            firsts.record_value(int(first * 1e6))
        results[f"{name}_first_p50_ms"] = (
            firsts.get_value_at_percentile(50) / 1e3
        )
        results[f"{name}_first_p95_ms"] = (
            firsts.get_value_at_percentile(95) / 1e3
        )
        results[f"{name}_gap_p95_ms"] = gaps.get_value_at_percentile(95) / 1e3
    return results


async def requesting(site: Site) -> dict[str, Any]:
    """Returns processor time by requests a second, of one token each."""
    address = site.gateway.url.removeprefix("http://")
    points, rows = [], []
    for rate in (10, 20, 40, 80):
        token_gaps = control_lib.histogram()
        firsts = []

        async def send_request(
            token_gaps: Any = token_gaps, firsts: Any = firsts
        ) -> None:
            firsts.append(await stream(address, site.key, 1, token_gaps))

        cpu_before = [h.cpu_seconds() for h in (site.gateway, site.control)]
        started_at, tasks, number = time.monotonic(), [], 0
        while time.monotonic() - started_at < 4.0:
            due_count = int((time.monotonic() - started_at) * rate)
            tasks += [
                asyncio.create_task(send_request())
                for _ in range(number, due_count)
            ]
            number = max(number, due_count)
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)
        elapsed = time.monotonic() - started_at
        cpu_after = [h.cpu_seconds() for h in (site.gateway, site.control)]
        cpu, control_cpu = (
            (b - a) / elapsed
            for a, b in zip(cpu_before, cpu_after, strict=True)
        )
        points.append((number / elapsed, cpu))
        rows.append(
            {
                "requests_s": number / elapsed,
                "cpu": cpu,
                "control_cpu": control_cpu,
                "first_p95_ms": sorted(firsts)[int(len(firsts) * 0.95)] * 1e3,
            }
        )
    return {"line": fit.line(points), "rows": rows}


async def receiving_reports(site: Site) -> dict[str, Any]:
    """Returns processor time of a gateway by targets that report to it."""
    points, rows = [], []
    for targets in (0, 20, 40, 80):
        stop = asyncio.Event()
        tasks = [
            asyncio.create_task(_report_periodically(site, n, stop))
            for n in range(targets)
        ]
        await asyncio.sleep(1.0)
        cpu_before = site.gateway.cpu_seconds()
        await asyncio.sleep(4.0)
        cpu = (site.gateway.cpu_seconds() - cpu_before) / 4.0
        stop.set()
        await asyncio.gather(*tasks)
        points.append((float(targets), cpu))
        rows.append({"targets": targets, "cpu": cpu})
    return {"line": fit.line(points), "rows": rows}


async def _report_periodically(
    site: Site, number: int, stop: asyncio.Event
) -> None:
    sequence = 0
    host, port = site.gateway.inner_url.removeprefix("http://").split(":")
    await asyncio.sleep(number / 80)
    while not stop.is_set():
        sequence += 1
        body = json.dumps(
            {
                "name": f"home{number}",
                "incarnation": 1,
                "sequence": sequence,
                "loaded": [f"model{m}" for m in range(6)],
                "running": 5,
                "queued_tokens": 1000,
            }
        )
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /targets/report HTTP/1.1\r\nHost: x\r\n"
            f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
            f"{body}".encode()
        )
        await reader.read()
        writer.close()
        await asyncio.sleep(1.0)
