"""Measures commits, elections, revocation and changes with real processes."""

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


def _begin_call_proposal(number: int) -> messages.Propose:
    command = calls.ClaimCall(
        team="team1",
        service="desk",
        key=f"{int(time.time())}-{number}-{time.monotonic_ns()}",
        fingerprint="f",
        holder=f"bench/1/{number}",
        at=time.time(),
    )
    return messages.Propose(command=command)


class Proposer:
    """Proposes commands to the leader through several links."""

    def __init__(self, *, addresses: list[str], link_count: int = 1) -> None:
        self._context = zmq.asyncio.Context()
        self._links = [
            leader_link.LeaderLink(
                addresses=addresses,
                context=self._context,
                on_push=lambda message: None,
                silence=1.0,
                attempt_seconds=0.3,
                on_leader_changed=lambda: None,
            )
            for _ in range(link_count)
        ]
        for link in self._links:
            link.start()

    async def close(self) -> None:
        """Closes all links."""
        for link in self._links:
            await link.close()
        self._context.destroy(linger=0)

    async def commit(self, number: int, seconds: float = 10.0) -> None:
        """Proposes one command and waits until it is committed."""
        link = self._links[number % len(self._links)]
        await link.request(_begin_call_proposal(number), seconds=seconds)


async def committing(folder: pathlib.Path) -> list[dict[str, float]]:
    """Returns commit latency and rate by replicas and concurrent proposers."""
    rows = []
    for replicas in (1, 3, 5):
        site = processes.ControlSite(
            folder=_create_folder(folder, f"commit{replicas}"), count=replicas
        )
        proposer = Proposer(addresses=site.addresses, link_count=8)
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
    latencies = control_lib.histogram()
    deadline = time.monotonic() + _WINDOW_SECONDS

    async def propose(number: int) -> int:
        commit_count = 0
        while time.monotonic() < deadline:
            started_at = time.perf_counter()
            await proposer.commit(number)
            microseconds = int((time.perf_counter() - started_at) * 1e6)
            latencies.record_value(max(1, microseconds))
            commit_count += 1
        return commit_count

    counts = await asyncio.gather(*(propose(n) for n in range(at_once)))
    return {
        "commits_s": sum(counts) / _WINDOW_SECONDS,
        "p50_ms": latencies.get_value_at_percentile(50) / 1e3,
        "p95_ms": latencies.get_value_at_percentile(95) / 1e3,
    }


async def electing(folder: pathlib.Path) -> list[dict[str, Any]]:
    """Returns the seconds without commits after a fault, by election time.

    Also counts false elections: those under load while no host fails.
    """
    rows = []
    for election in (0.1, 0.2, 0.5, 1.0):
        more = (
            f"[timing]\nelection_seconds = {election}\n"
            f"lease_seconds = {max(3.0, 3 * election + 1)}\n"
        )
        site = processes.ControlSite(
            folder=_create_folder(folder, f"elect{election}"),
            count=3,
            more=more,
        )
        proposer = Proposer(addresses=site.addresses, link_count=8)
        try:
            term = site.view("status")["term"]
            await _commit_window(proposer, 64)
            await _commit_window(proposer, 64)
            false_elections = site.view("status")["term"] - term
            for fault in ("kill", "stop"):
                gaps = []
                for _ in range(4):
                    gaps.append(await _commit_gap(site, proposer, fault))
                rows.append(
                    {
                        "election_s": election,
                        "fault": fault,
                        "median_s": sorted(gaps)[1],
                        "worst_s": max(gaps),
                        "false_elections_in_6_s": false_elections,
                    }
                )
        finally:
            await proposer.close()
            site.close()
    return rows


async def _commit_gap(
    site: processes.ControlSite, proposer: Proposer, fault: str
) -> float:
    """Kills or stops the leader; returns the seconds until the next commit."""
    leader = site.wait_leader()
    host = site.hosts[leader]
    number = int(time.monotonic_ns())
    await proposer.commit(number)
    host.signal(signal.SIGKILL if fault == "kill" else signal.SIGSTOP)
    started_at = time.perf_counter()
    await proposer.commit(number + 1, seconds=30.0)
    gap = time.perf_counter() - started_at
    if fault == "kill":
        host.process.wait()
        site.restart(leader)
    else:
        host.signal(signal.SIGCONT)
    site.hosts[leader].wait_ready()
    await asyncio.to_thread(site.wait_leader)
    return gap


def _create_folder(folder: pathlib.Path, name: str) -> pathlib.Path:
    path = folder / name
    path.mkdir()
    return path


class Forwarder:
    """Forwards bytes between a host and a control host until stopped.

    After that, connections stay open but forward nothing in either direction,
    as behind a middlebox that lost its connection state. New connections are
    accepted and forward nothing either.
    """

    def __init__(self, *, port: int) -> None:
        self._port = port
        self._stopped = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Address on which the forwarder listens."""
        return f"tcp://127.0.0.1:{self._listener.getsockname()[1]}"

    def stop_forwarding(self) -> None:
        """Stops forwarding, but keeps connections open."""
        self._stopped.set()

    def _accept(self) -> None:
        while True:
            client_socket, _ = self._listener.accept()
            server_socket = socket.create_connection(("127.0.0.1", self._port))
            for source_socket, destination_socket in (
                (client_socket, server_socket),
                (server_socket, client_socket),
            ):
                threading.Thread(
                    target=self._forward_bytes,
                    args=(source_socket, destination_socket),
                    daemon=True,
                ).start()

    def _forward_bytes(
        self, source: socket.socket, destination: socket.socket
    ) -> None:
        try:
            while data := source.recv(65536):
                if not self._stopped.is_set():
                    destination.sendall(data)
        except OSError:
            pass


def revoking(folder: pathlib.Path) -> list[dict[str, Any]]:
    """Returns the seconds from `key revoke` to the last accepted request.

    One of two hosts loses its connection to the control host just before.
    """
    rows = []
    for repetition in range(5):
        run_folder = _create_folder(folder, f"revoke{repetition}")
        site = processes.ControlSite(folder=run_folder, count=1)
        port = int(site.addresses[0].rsplit(":", 1)[1])
        forwarder = Forwarder(port=port)
        isolated = processes.Host(
            folder=run_folder, name="cut", control=[forwarder.address]
        )
        connected = processes.Host(
            folder=run_folder, name="near", control=site.addresses
        )
        try:
            rows.append(
                _measure_revocation(
                    site, run_folder, isolated, connected, forwarder
                )
            )
        finally:
            for host in (isolated, connected):
                host.kill()
            site.close()
    return rows


def _measure_revocation(
    site: processes.ControlSite,
    folder: pathlib.Path,
    isolated: processes.Host,
    connected: processes.Host,
    forwarder: Forwarder,
) -> dict[str, Any]:
    rules = folder / "rules.txt"
    rules.write_text("team band rate=1000 burst=1000 # bench\n")
    site.operate("rules", "apply", str(rules))
    created = site.operate(
        "key", "create", "--label=k", "--team=band", "--wait=10"
    )
    headers = {"Authorization": f"Bearer {json.loads(created.stdout)['key']}"}
    for host in (isolated, connected):
        host.wait_ready()
        processes.wait_for(
            lambda host=host: _accepts(host, headers), "the key works"
        )
    forwarder.stop_forwarding()
    started_at = time.monotonic()
    last = dict.fromkeys(("cut", "near"), 0.0)
    revoke_thread = threading.Thread(
        target=site.operate, args=("key", "revoke", "k", "--wait=10")
    )
    revoke_thread.start()
    in_force = 0.0
    while time.monotonic() - started_at < 6.0:
        for host in (isolated, connected):
            if _accepts(host, headers):
                last[host.name] = time.monotonic() - started_at
        if not in_force and not revoke_thread.is_alive():
            in_force = time.monotonic() - started_at
    return {
        "cut_off_last_s": last["cut"],
        "connected_last_s": last["near"],
        "in_force_after_s": in_force,
    }


def _accepts(host: processes.Host, headers: dict[str, str]) -> bool:
    url = f"{host.url}/v1/models"
    return processes.fetch(url, headers=headers, seconds=2.0)[0] == 200


def applying(folder: pathlib.Path) -> list[dict[str, float]]:
    """Returns the duration of `rules apply --wait` with eight hosts."""
    site = processes.ControlSite(
        folder=_create_folder(folder, "apply"), count=3
    )
    gateways = [
        processes.Host(folder=folder, name=f"g{n}", control=site.addresses)
        for n in range(5)
    ]
    rows = []
    try:
        for host in gateways:
            host.wait_ready()
        time.sleep(3.2)  # Leases given before the last election expire.
        for repetition in range(10):
            rules = folder / f"apply{repetition}.txt"
            rules.write_text(f"team t rate=1 burst={repetition + 1} # bench\n")
            started_at = time.monotonic()
            completed = site.operate("rules", "apply", str(rules), "--wait=10")
            assert completed.returncode == 0, completed.stderr
            rows.append({"seconds": time.monotonic() - started_at})
    finally:
        for host in gateways:
            host.kill()
        site.close()
    seconds = sorted(row["seconds"] for row in rows)
    return [{"hosts": 8, "median_s": seconds[5], "worst_s": seconds[-1]}]
