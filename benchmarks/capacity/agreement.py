"""The log with real processes: commits, elections, revocation, changes."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import socket
import threading
import time
from typing import Any

from endivestream import messages
from endivestream.connection import leader_link
from endivestream.version import calls
import processes
import zmq.asyncio

from capacity import control as control_lib

_WINDOW_SECONDS = 3.0


def _begin(number: int) -> messages.Propose:
    command = calls.BeginCall(
        team="team1",
        service="desk",
        key=f"{int(time.time())}-{number}-{time.monotonic_ns()}",
        fingerprint="f",
        holder=f"bench/1/{number}",
        at=time.time(),
    )
    return messages.Propose(command=command)


class Proposer:
    """A way to the leader, with a few links to share."""

    def __init__(self, *, addresses: list[str], links_used: int = 1) -> None:
        self._context = zmq.asyncio.Context()
        self._links = [
            leader_link.LeaderLink(
                addresses=addresses,
                context=self._context,
                on_push=lambda message: None,
                silence=1.0,
                attempt_seconds=0.3,
                on_move=lambda: None,
            )
            for _ in range(links_used)
        ]
        for link in self._links:
            link.start()

    async def close(self) -> None:
        """Closes the links."""
        for link in self._links:
            await link.close()
        self._context.destroy(linger=0)

    async def commit(self, number: int, seconds: float = 10.0) -> None:
        """Commits one command."""
        link = self._links[number % len(self._links)]
        await link.request(_begin(number), seconds=seconds)


async def committing(folder: pathlib.Path) -> list[dict[str, float]]:
    """Commit latency and rate against replicas and proposers at once."""
    rows = []
    for replicas in (1, 3, 5):
        site = processes.ControlSite(
            folder=_folder(folder, f"commit{replicas}"), count=replicas
        )
        proposer = Proposer(addresses=site.addresses, links_used=8)
        try:
            await proposer.commit(0)
            for at_once in (1, 8, 32, 128):
                rows.append(
                    {
                        "replicas": replicas,
                        "at_once": at_once,
                        **await _commit_window(proposer, at_once),
                    }
                )
        finally:
            await proposer.close()
            site.close()
    return rows


async def _commit_window(proposer: Proposer, at_once: int) -> dict[str, float]:
    seen = control_lib.histogram()
    until = time.monotonic() + _WINDOW_SECONDS

    async def one(number: int) -> int:
        done = 0
        while time.monotonic() < until:
            begun = time.perf_counter()
            await proposer.commit(number)
            taken = int((time.perf_counter() - begun) * 1e6)
            seen.record_value(max(1, taken))
            done += 1
        return done

    counts = await asyncio.gather(*(one(n) for n in range(at_once)))
    return {
        "commits_s": sum(counts) / _WINDOW_SECONDS,
        "p50_ms": seen.get_value_at_percentile(50) / 1e3,
        "p95_ms": seen.get_value_at_percentile(95) / 1e3,
    }


async def electing(folder: pathlib.Path) -> list[dict[str, Any]]:
    """Seconds without commits after a fault, against the election time.

    Also counts elections in a quiet time under load: false suspicions.
    """
    rows = []
    for election in (0.1, 0.2, 0.5, 1.0):
        more = (
            f"[timing]\nelection_seconds = {election}\n"
            f"lease_seconds = {max(3.0, 3 * election + 1)}\n"
        )
        site = processes.ControlSite(
            folder=_folder(folder, f"elect{election}"), count=3, more=more
        )
        proposer = Proposer(addresses=site.addresses, links_used=8)
        try:
            term = site.view("status")["term"]
            await _commit_window(proposer, 64)
            await _commit_window(proposer, 64)
            false = site.view("status")["term"] - term
            for fault in ("kill", "stop"):
                gaps = []
                for _ in range(4):
                    gaps.append(await _gap(site, proposer, fault))
                rows.append(
                    {
                        "election_s": election,
                        "fault": fault,
                        "median_s": sorted(gaps)[1],
                        "worst_s": max(gaps),
                        "false_elections_in_6_s": false,
                    }
                )
        finally:
            await proposer.close()
            site.close()
    return rows


async def _gap(
    site: processes.ControlSite, proposer: Proposer, fault: str
) -> float:
    """Strikes the leader; returns the longest time between two commits."""
    leader = site.wait_leader()
    host = site.hosts[leader]
    number = int(time.monotonic_ns())
    await proposer.commit(number)
    host.signal(signal.SIGKILL if fault == "kill" else signal.SIGSTOP)
    begun = time.perf_counter()
    await proposer.commit(number + 1, seconds=30.0)
    gap = time.perf_counter() - begun
    if fault == "kill":
        host.process.wait()
        site.restart(leader)
    else:
        host.signal(signal.SIGCONT)
    site.hosts[leader].wait_ready()
    await asyncio.to_thread(site.wait_leader)
    return gap


def _folder(folder: pathlib.Path, name: str) -> pathlib.Path:
    made = folder / name
    made.mkdir()
    return made


class Forwarder:
    """Passes bytes between a host and a control host until told to stop.

    Connections stay open and say nothing more, in either direction, as
    behind a middlebox that forgot them; new ones are taken and stay silent.
    """

    def __init__(self, *, port: int) -> None:
        self._port = port
        self._silent = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"tcp://127.0.0.1:{self._listener.getsockname()[1]}"

    def fall_silent(self) -> None:
        """Passes nothing on any more."""
        self._silent.set()

    def _accept(self) -> None:
        while True:
            here, _ = self._listener.accept()
            there = socket.create_connection(("127.0.0.1", self._port))
            for a, b in ((here, there), (there, here)):
                threading.Thread(
                    target=self._pump, args=(a, b), daemon=True
                ).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                if not self._silent.is_set():
                    sink.sendall(data)
        except OSError:
            pass


def revoking(folder: pathlib.Path) -> list[dict[str, Any]]:
    """Seconds from `key revoke` to the last request that a host accepted.

    One host is cut off from the control host a moment before.
    """
    rows = []
    for turn in range(5):
        made = _folder(folder, f"revoke{turn}")
        site = processes.ControlSite(folder=made, count=1)
        port = int(site.addresses[0].rsplit(":", 1)[1])
        forwarder = Forwarder(port=port)
        cut = processes.Host(
            folder=made, name="cut", control=[forwarder.address]
        )
        near = processes.Host(folder=made, name="near", control=site.addresses)
        try:
            rows.append(_revoke(site, made, cut, near, forwarder))
        finally:
            for host in (cut, near):
                host.kill()
            site.close()
    return rows


def _revoke(
    site: processes.ControlSite,
    folder: pathlib.Path,
    cut: processes.Host,
    near: processes.Host,
    forwarder: Forwarder,
) -> dict[str, Any]:
    rules = folder / "rules.txt"
    rules.write_text("team band rate=1000 burst=1000 # bench\n")
    site.operate("rules", "apply", str(rules))
    made = site.operate(
        "key", "create", "--label=k", "--team=band", "--wait=10"
    )
    headers = {"Authorization": f"Bearer {json.loads(made.stdout)['key']}"}
    for host in (cut, near):
        host.wait_ready()
        processes.wait_for(
            lambda host=host: _accepts(host, headers), "the key works"
        )
    forwarder.fall_silent()
    begun = time.monotonic()
    last = dict.fromkeys(("cut", "near"), 0.0)
    done = threading.Thread(
        target=site.operate, args=("key", "revoke", "k", "--wait=10")
    )
    done.start()
    in_force = 0.0
    while time.monotonic() - begun < 6.0:
        for host in (cut, near):
            if _accepts(host, headers):
                last[host.name] = time.monotonic() - begun
        if not in_force and not done.is_alive():
            in_force = time.monotonic() - begun
    return {
        "cut_off_last_s": last["cut"],
        "connected_last_s": last["near"],
        "in_force_after_s": in_force,
    }


def _accepts(host: processes.Host, headers: dict[str, str]) -> bool:
    url = f"{host.url}/v1/models"
    return processes.fetch(url, headers=headers, seconds=2.0)[0] == 200


def applying(folder: pathlib.Path) -> list[dict[str, float]]:
    """Seconds of `rules apply --wait` on eight hosts."""
    site = processes.ControlSite(folder=_folder(folder, "apply"), count=3)
    gateways = [
        processes.Host(folder=folder, name=f"g{n}", control=site.addresses)
        for n in range(5)
    ]
    rows = []
    try:
        for host in gateways:
            host.wait_ready()
        time.sleep(3.2)  # Leases before the last election are over.
        for turn in range(10):
            rules = folder / f"apply{turn}.txt"
            rules.write_text(f"team t rate=1 burst={turn + 1} # bench\n")
            begun = time.monotonic()
            done = site.operate("rules", "apply", str(rules), "--wait=10")
            assert done.returncode == 0, done.stderr
            rows.append({"seconds": time.monotonic() - begun})
    finally:
        for host in gateways:
            host.kill()
        site.close()
    seconds = sorted(row["seconds"] for row in rows)
    return [{"hosts": 8, "median_s": seconds[5], "worst_s": seconds[-1]}]
