"""Kills hosts at random times under load; counts duplicate and lost work.

Three control hosts, two gateways, one service. In each cycle a host is killed
with SIGKILL while orders and a configuration change are in flight; callers
resend through other hosts until the response is final. At the end, the log of
the service shows whether an order ran twice, and the list of keys shows
whether an accepted change was lost.
"""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import hashlib
import json
import pathlib
import random
import sys
import tempfile
import threading
import time
from typing import Any
import uuid

import processes

_RULES = """\
team band rate=1000000 burst=1000000 # crashes
service desk # crashes
allow band desk # crashes
"""
_SETTINGS = """
[timing]
lease_seconds = 1.5
election_seconds = 0.3
watch_seconds = 0.2
host_silence_seconds = 0.8
"""
_API_KEY = "a-key-of-the-band"
_ORDERS_PER_CYCLE = 6
_MAX_SENDS = 40


class Outcomes:
    """Outcomes of orders and changes, as recorded by the clients.

    Attributes:
        responses: Number of responses by outcome.
        done: Orders with a successful response.
        not_run: Never filled.
        unknown: Orders without a final response.
        accepted: Labels of keys whose creation was accepted.
        lock: Protects the other attributes.
    """

    def __init__(self) -> None:
        self.responses: collections.Counter[str] = collections.Counter()
        self.done: set[str] = set()
        self.not_run: set[str] = set()
        self.unknown: set[str] = set()
        self.accepted: set[str] = set()
        self.lock = threading.Lock()


class Site:
    """The processes, and clients that send orders and changes."""

    def __init__(self, *, folder: pathlib.Path, seed: int) -> None:
        self._folder = folder
        self._rng = random.Random(seed)
        self.outcomes = Outcomes()
        self.control = processes.ControlSite(
            folder=folder,
            count=3,
            more=_SETTINGS,
            more_peers="silence_seconds = 0.8\n",
        )
        self.gateways = {name: self._gateway(name) for name in ("g0", "g1")}
        for host in self.gateways.values():
            host.wait_ready()
        self.service = processes.stand_in(
            "service",
            folder=folder,
            name="desk-1",
            arguments=[
                *(f"--gateway={h.inner_url}" for h in self.hosts().values()),
                "--service=desk",
                "--print-runs",
                "--delay-seconds=0.02",
            ],
        )
        digest = hashlib.sha256(_API_KEY.encode()).hexdigest()
        rules = folder / "rules.txt"
        rules.write_text(_RULES + f"key k team=band sha256={digest} # x\n")
        done = self.control.operate("rules", "apply", str(rules), "--wait=10")
        assert done.returncode == 0, done.stderr

    def _gateway(
        self, name: str, restart_of: processes.Host | None = None
    ) -> processes.Host:
        return processes.Host(
            restart_of=restart_of,
            folder=self._folder,
            name=name,
            domain="d",
            control=self.control.addresses,
            more=_SETTINGS,
            more_peers="silence_seconds = 0.8\n",
        )

    def hosts(self) -> dict[str, processes.Host]:
        """Returns all hosts by name."""
        return {**self.control.hosts, **self.gateways}

    def crash(self) -> str:
        """Kills a random host, restarts it and returns its name."""
        name = self._rng.choice(sorted(self.hosts()))
        time.sleep(self._rng.uniform(0.0, 0.1))
        self.hosts()[name].kill()
        if name in self.gateways:
            restart_of = self.gateways[name]
            self.gateways[name] = self._gateway(name, restart_of)
        else:
            self.control.restart(name)
        self.hosts()[name].wait_ready()
        return name

    def order(self, seed: int) -> None:
        """Sends one order repeatedly until its response is final."""
        rng = random.Random(seed)
        name = f"{int(time.time())}-{uuid.UUID(int=rng.getrandbits(128))}"
        unknown = 0
        for _ in range(_MAX_SENDS):
            status, error = self._send_order(name, rng)
            if status == 200:
                self._record("done", self.outcomes.done, name)
                return
            outcome = error.get("outcome", "no_answer")
            with self.outcomes.lock:
                self.outcomes.responses[
                    f"{outcome} {error.get('type', '')}"
                ] += 1
            # An unknown outcome may still change: the host that runs the call
            # may complete it. So the order is sent again.
            unknown += error.get("type") == "call_fate_unknown"
            if unknown > 2:
                self._record("unknown", self.outcomes.unknown, name)
                return
            time.sleep(0.1)
        self._record("gave_up", self.outcomes.unknown, name)

    def _record(self, what: str, names: set[str], name: str) -> None:
        with self.outcomes.lock:
            self.outcomes.responses[what] += 1
            names.add(name)

    def _send_order(
        self, name: str, rng: random.Random
    ) -> tuple[int, dict[str, Any]]:
        host = rng.choice(list(self.hosts().values()))
        try:
            url = host.url
        except (RuntimeError, TimeoutError):
            return 0, {}
        status, _, body = processes.fetch(
            f"{url}/v1/services/desk/orders/{name}",
            method="POST",
            headers={
                "Authorization": f"Bearer {_API_KEY}",
                "Idempotency-Key": name,
            },
            body={"order": name},
            seconds=5.0,
        )
        try:
            return status, json.loads(body).get("error", {})
        except ValueError:
            return 0, {}

    def change(self, number: int) -> None:
        """Creates one key and records it once a host accepts it."""
        label = f"k{number}"
        for host in list(self.hosts().values()):
            try:
                url = host.inner_url
            except (RuntimeError, TimeoutError):
                continue
            status, _, _ = processes.fetch(
                f"{url}/operators/keys/create",
                method="POST",
                body={
                    "label": label,
                    "team": "band",
                    "digest": f"{number:064x}",
                    "change_id": label,
                    "author": "crashes",
                },
                seconds=5.0,
            )
            if status == 200:
                with self.outcomes.lock:
                    self.outcomes.accepted.add(label)
                return

    def runs(self) -> collections.Counter[str]:
        """Returns how often each order ran, from the log of the service."""
        lines = self.service.log.read_text().splitlines()
        return collections.Counter(
            line.split("/orders/")[1] for line in lines if "/orders/" in line
        )

    def close(self) -> None:
        """Kills all processes."""
        self.control.close()
        for process in (*self.gateways.values(), self.service):
            process.kill()


def _summary(site: Site, cycles: int, seconds: float) -> dict[str, Any]:
    outcomes = site.outcomes
    site.control.wait_leader()
    keys = {row["label"] for row in site.control.view("key", "list")}
    runs = site.runs()
    return {
        "cycles": cycles,
        "seconds": round(seconds),
        "orders": len(outcomes.done) + len(outcomes.unknown),
        "orders_done": len(outcomes.done),
        "orders_unknown": len(outcomes.unknown),
        "ran_twice": sum(count > 1 for count in runs.values()),
        "done_but_not_run": len(outcomes.done - set(runs)),
        "changes_accepted": len(outcomes.accepted),
        "changes_lost": len(outcomes.accepted - keys),
        "answers": dict(outcomes.responses),
    }


def main() -> int:
    """Runs the cycles; returns 1 if an order or change was lost or repeated."""
    parser = argparse.ArgumentParser(prog="crashes")
    parser.add_argument("--cycles", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    started_at = time.monotonic()
    with (
        tempfile.TemporaryDirectory() as folder,
        concurrent.futures.ThreadPoolExecutor(64) as pool,
    ):
        site = Site(folder=pathlib.Path(folder), seed=arguments.seed)
        try:
            clients = []
            for cycle in range(arguments.cycles):
                for n in range(_ORDERS_PER_CYCLE):
                    seed = (arguments.seed, cycle, n)
                    clients.append(pool.submit(site.order, hash(seed)))
                clients.append(pool.submit(site.change, cycle))
                site.crash()
                # Every other cycle does not wait, so that the next host is
                # killed while clients still recover from the last one.
                if cycle % 2:
                    concurrent.futures.wait(clients)
            for client in clients:
                client.result()
            seconds = time.monotonic() - started_at
            summary = _summary(site, arguments.cycles, seconds)
        finally:
            site.close()
    print(json.dumps(summary, indent=1))
    damage_counts = ("ran_twice", "done_but_not_run", "changes_lost")
    return 1 if any(summary[name] for name in damage_counts) else 0


if __name__ == "__main__":
    sys.exit(main())
