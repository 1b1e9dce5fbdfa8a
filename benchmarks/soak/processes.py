"""Faults from outside on real processes: `python -m soak.processes`.

Starts the platform's programs as processes on loopback addresses, stand-in
targets, and callers that keep their connections. Signals, restarts, changes of
the configuration and faults of targets come in overlapping series that follow
from the seed. Reported are requests against a target's Retry-After or drain,
requests that ran twice or ran although they were refused, requests that
reached a target and whose connection ended without an answer, and streams that
their caller got as complete although their target broke them off.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
from collections.abc import Coroutine
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

from soak import callers
from soak import streams
from soak import targets

_ROOT = pathlib.Path(__file__).parent.parent.parent
_GRACE_SECONDS = 3.0
_START_SECONDS = 30.0
_MAX_PAUSE_SECONDS = 1.5
_POLL_SECONDS = 0.005
_WATCH_SECONDS = 0.02
CONTROL_PORT, FRONT_PORT, _READY_PORT = 8080, 8000, 8001
_INTERNAL_PORT = 7100
# Runs side by side have networks of their own, each marked by a socket.
_NETWORKS = 200
_RESERVATION_PORT = 7099
_ROUTES = {"once": "non_idempotent", "again": "idempotent"}
_STREAM_PATHS = (streams.ONCE, streams.RESUMED)


def _handles_or_blocks(pid: int, signal_number: int) -> bool:
    """Returns whether a process handles or blocks a signal, on Linux."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return False
    masks = [
        int(line.split()[1], base=16)
        for line in status.splitlines()
        if line.startswith(("SigBlk:", "SigCgt:"))
    ]
    return any(mask >> signal_number - 1 & 1 for mask in masks)


class Process:
    """One of the platform's programs.

    Attributes:
        name: Name of the host.
        ip: Loopback address of the host.
        role: `control` or `edge`.
        killed_at: Times of its SIGKILLs.
        disturbed_until: Time until which its duties towards targets are
            excused, because it was paused or started.
    """

    def __init__(
        self,
        *,
        name: str,
        ip: str,
        role: str,
        settings: pathlib.Path,
        program: pathlib.Path,
        output: pathlib.Path,
    ) -> None:
        self._program = program
        self._output = output
        self.name = name
        self.ip = ip
        self.role = role
        self.killed_at: list[float] = []
        self.disturbed_until = float("-inf")
        self._unstable_at = float("-inf")
        self._settings = settings
        self._process: asyncio.subprocess.Process | None = None
        self._restart_lock = asyncio.Lock()

    @property
    def exit_status(self) -> int | None:
        """Exit status, or minus the signal that ended it; None if it runs."""
        return None if self._process is None else self._process.returncode

    def has_socket(self, inode: str) -> bool:
        """Whether the process has a socket open, on Linux."""
        if self._process is None:
            return False
        with contextlib.suppress(OSError):
            for link in pathlib.Path(f"/proc/{self._process.pid}/fd").iterdir():
                with contextlib.suppress(OSError):
                    if os.readlink(link) == f"socket:[{inode}]":
                        return True
        return False

    def is_calm(self, seconds: float) -> bool:
        """Whether it has run for some time, without a signal but SIGHUP."""
        return (
            self.is_running and time.monotonic() - self._unstable_at > seconds
        )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process, or starts it again."""
        paths = (
            _ROOT / "platform",
            _ROOT / "packages" / "endivestream" / "src",
        )
        with self._output.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self._program),
                self.role,
                env=os.environ
                | {
                    "ENDIVESTREAM_CONFIG": str(self._settings),
                    "PYTHONPATH": os.pathsep.join(map(str, paths)),
                },
                stdout=output,
                stderr=output,
            )
        self.disturbed_until = self._unstable_at = time.monotonic()

    async def restart(self, signal_number: int) -> None:
        """Ends the process by a signal and starts it again.

        A signal during a restart reaches the process that ends.
        """
        if signal_number == signal.SIGKILL:
            self.killed_at.append(time.monotonic())
        self.send(signal_number)
        if self._restart_lock.locked():
            # A second start would leave a process that nobody ends.
            return
        async with self._restart_lock:
            await self.wait()
            await self.start()

    async def pause(self, seconds: float) -> None:
        """Suspends the process for some time."""
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)
        self.disturbed_until = time.monotonic()

    async def reload(self) -> None:
        """Sends SIGHUP."""
        await self.signal_once_handled(signal.SIGHUP)

    async def signal_once_handled(self, signal_number: int) -> None:
        """Sends a signal, once the interpreter has begun to run the program.

        Before that, it ends any Python program.
        """
        process = self._process
        while process is not None and process.returncode is None:
            if _handles_or_blocks(process.pid, signal_number):
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal_number)
                return
            await asyncio.sleep(_POLL_SECONDS)

    def send(self, signal_number: int) -> None:
        """Sends a signal, if the process runs."""
        self._unstable_at = time.monotonic()
        if self._process is not None and self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal_number)

    async def wait(self) -> None:
        """Waits until the process has ended; kills it after twice its grace."""
        assert self._process is not None
        try:
            async with asyncio.timeout(2 * _GRACE_SECONDS):
                await self._process.wait()
        except TimeoutError:
            self.killed_at.append(time.monotonic())
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()

    async def close(self) -> None:
        """Kills the process."""
        if self._process is not None and self.is_running:
            self._process.kill()
            await self._process.wait()


def reserve_network(seed: int) -> tuple[socket.socket, str]:
    """Returns loopback addresses that no other run uses, up to the last byte.

    Args:
        seed: Seed of the run.

    Returns:
        The socket whose address marks the network as used until it is closed,
        and the first three bytes of the addresses.

    Raises:
        OSError: All networks are in use.
    """
    for offset in range(_NETWORKS):
        number = 20 + (os.getpid() + offset) % _NETWORKS
        network = f"127.{number}.{seed % 250}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{network}.250", _RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        return reservation, network
    raise OSError(f"all {_NETWORKS} networks of seed {seed} are in use")


class Soak:
    """One run: processes, targets, callers and faults.

    Attributes:
        entry_program: The program of entry hosts.
    """

    entry_program = _ROOT / "platform" / "main.py"

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds arguments of its own to those of all soaks."""

    @classmethod
    def variant(cls, options: argparse.Namespace, seed: int) -> type[Soak]:
        """Returns the class of a run with some options."""
        del options, seed
        return cls

    def __init__(
        self,
        *,
        seed: int,
        controls: int,
        entries: int,
        folder: pathlib.Path,
    ) -> None:
        self._random = random.Random(seed)
        # Streams draw on their own, so that a seed draws the same faults.
        streams_random = random.Random(f"streams of {seed}")
        self._reservation, network = reserve_network(seed)
        self._processes = [
            self._process(
                f"{network}.{number + 1}",
                number,
                "control" if number < controls else "edge",
                [f"{network}.{n + 1}" for n in range(controls)],
                folder,
            )
            for number in range(controls + entries)
        ]
        self._controls = self._processes[:controls]
        self._entries = self._processes[controls:]
        self._targets = [
            targets.Target(
                name=f"t{number}",
                random_source=self._random,
                controls=[f"{p.ip}:{CONTROL_PORT}" for p in self._controls],
                is_excused=self._is_excused,
                streams_random=streams_random,
                sender_of=self._sender_of,
                lateness=self._lateness,
            )
            for number in range(3)
        ]
        self._callers = [
            callers.Caller(
                host=process.name,
                address=f"{process.ip}:{FRONT_PORT}",
                path=f"/{kind}/",
                random_source=self._random,
            )
            for process in self._entries
            for kind in (*_ROUTES, *_ROUTES)
        ]
        self._stream_callers = [
            callers.Caller(
                host=process.name,
                address=f"{process.ip}:{FRONT_PORT}",
                path=path,
                random_source=streams_random,
            )
            for process in self._entries
            for path in _STREAM_PATHS
        ]
        # Times of a late event loop of this process, and how late it was.
        self._late: list[tuple[float, float]] = []
        self._version = 0
        self._ended: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def _process(
        self,
        ip: str,
        number: int,
        role: str,
        controls: list[str],
        folder: pathlib.Path,
    ) -> Process:
        listen = {
            "front": f"{ip}:{FRONT_PORT}",
            "ready": f"{ip}:{_READY_PORT}",
        }
        if role == "control":
            listen = {"control": f"{ip}:{CONTROL_PORT}"}
        data = str(folder / f"data-{number}") if role == "control" else None
        settings = {
            "node": f"{role}-{number}",
            "ip": ip,
            "zone": "a",
            "listen": listen,
            "internalPorts": [_INTERNAL_PORT, _INTERNAL_PORT + 15],
            "seeds": [f"{each}:{CONTROL_PORT}" for each in controls],
            "bootstrap": True,
            "dataDir": data,
            "faultTolerance": {"machines": (len(controls) - 1) // 2},
            "bounds": {"graceS": _GRACE_SECONDS, "retrySlack": 1000},
        }
        file = folder / f"{role}-{number}.json"
        file.write_text(json.dumps(settings))
        program = _ROOT / "platform" / "main.py"
        if role == "edge":
            program = self.entry_program
        return Process(
            name=f"{role}-{number}",
            ip=ip,
            role=role,
            settings=file,
            program=program,
            output=folder / f"{role}-{number}.log",
        )

    def _sender_of(self, port: int) -> str:
        """Returns the entry host with a connection from a port of 127.0.0.1.

        Empty if it has closed the connection or ended.
        """
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local_address, *fields = line.split()
            if local_address != f"0100007F:{port:04X}":
                continue
            inode = fields[7]
            for process in self._entries:
                if process.has_socket(inode):
                    return process.name
        return ""

    def _is_excused(self, host: str, since: float) -> bool:
        return any(
            process.name == host and process.disturbed_until >= since
            for process in self._entries
        )

    async def start(self) -> None:
        """Starts everything and waits until all entry hosts are ready.

        Raises:
            TimeoutError: They are not ready in time.
        """
        await asyncio.gather(*(each.start() for each in self._processes))
        for target in self._targets:
            await target.start()
        async with asyncio.timeout(_START_SECONDS):
            while not await self._change_configuration():
                await asyncio.sleep(0.1)
            await self._wait_until_ready()
        for caller in (*self._callers, *self._stream_callers):
            caller.start()

    async def _wait_until_ready(self) -> None:
        """Waits until all entry hosts are ready."""
        for process in self._entries:
            while not await callers.is_ok(
                f"{process.ip}:{_READY_PORT}", "GET", "/readyz"
            ):
                await asyncio.sleep(0.1)

    async def _watch_loop(self) -> None:
        """Records when this process, with all its targets, was late."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(_WATCH_SECONDS)
            late = time.monotonic() - before - _WATCH_SECONDS
            if late > _WATCH_SECONDS:
                self._late.append((time.monotonic(), late))

    def _lateness(self, since: float) -> float:
        """Returns the seconds for which this process was late since a time."""
        return sum(late for when, late in self._late if when >= since)

    async def run(self, seconds: float) -> None:
        """Has faults for some time, and then time to recover."""
        watch = asyncio.create_task(self._watch_loop())
        try:
            await self._run(seconds)
        finally:
            watch.cancel()

    async def _run(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._random.uniform(0.05, 0.8))
            self._start_task(self._draw_fault())
        await asyncio.gather(*self._tasks)
        for target in self._targets:
            await target.restart()
        await asyncio.sleep(_GRACE_SECONDS)
        self._ended = [
            f"{process.name} with status {process.exit_status}"
            for process in self._processes
            if not process.is_running
        ]

    def _start_task(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _draw_fault(self) -> None:
        entry = self._random.choice(self._entries)
        control = self._random.choice(self._controls)
        target = self._random.choice(self._targets)
        pause = self._random.uniform(0.1, _MAX_PAUSE_SECONDS)
        match self._random.randrange(10):
            case 0:
                await entry.restart(signal.SIGTERM)
            case 1:
                await entry.restart(signal.SIGKILL)
            case 2:
                await entry.pause(pause)
            case 3:
                await entry.reload()
            case 4:
                await control.restart(signal.SIGKILL)
            case 5:
                await control.pause(pause)
            case 6:
                await self._change_configuration()
            case 7:
                target.refuse(self._random.uniform(0.5, 5.0))
            case 8:
                target.drain()
            case 9:
                await target.restart()

    async def _change_configuration(self) -> bool:
        self._version += 1
        control = self._random.choice(self._controls)
        return await callers.is_ok(
            f"{control.ip}:{CONTROL_PORT}",
            "PUT",
            "/config",
            json.dumps(self._document(self._version)).encode(),
        )

    def _document(self, version: int) -> dict[str, object]:
        """Returns the configuration of a version."""
        return {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": callers.HOSTNAME,
                    "pathPrefix": f"/{name}/",
                    "routeKind": kind,
                    "timeoutMs": 4000 + version,
                    "objectiveMs": 400,
                    "maxAttempts": 2,
                    "service": targets.SERVICE,
                    "anonymous": True,
                }
                for name, kind in _ROUTES.items()
            ]
            + [
                {
                    "name": path.strip("/"),
                    "host": callers.HOSTNAME,
                    "pathPrefix": path,
                    "routeKind": "streaming",
                    "resumable": path == streams.RESUMED,
                    "timeoutMs": 4000 + version,
                    "objectiveMs": 400,
                    "gapObjectiveMs": 300,
                    "maxAttempts": 3,
                    "service": targets.SERVICE,
                    "anonymous": True,
                }
                for path in _STREAM_PATHS
            ],
            "services": [self._service()],
        }

    def _service(self) -> dict[str, object]:
        return {
            "name": targets.SERVICE,
            "healthPath": "/healthz",
            "maxConns": 500,
        }

    async def close(self) -> None:
        """Ends callers, targets and processes."""
        for caller in (*self._callers, *self._stream_callers):
            await caller.close()
        for target in self._targets:
            await target.close()
        for process in self._processes:
            await process.close()
        self._reservation.close()

    def report(self) -> dict[str, object]:
        """Returns counts of answers and all violations."""
        runs = collections.Counter(
            run for target in self._targets for run in target.runs
        )
        arrived = {run for target in self._targets for run in target.seen}
        killed_at = {p.name: p.killed_at for p in self._entries}
        violations = [v for t in self._targets for v in t.violations]
        violations += [f"ended by itself: {each}" for each in self._ended]
        statuses: collections.Counter[int] = collections.Counter()
        for caller in self._callers:
            for call in caller.calls:
                statuses[call.status] += 1
                is_once = call.path == "/once/"
                if is_once and runs[call.request] > 1:
                    violations.append(f"ran twice: {call}")
                if is_once and call.status in (429, 503) and runs[call.request]:
                    violations.append(f"refused and ran: {call}")
                was_killed = any(
                    call.sent_at <= at <= call.ended_at
                    for at in killed_at[caller.host]
                )
                if call.is_cut and call.request in arrived and not was_killed:
                    violations.append(f"not answered: {call}")
        stream_ends: collections.Counter[str] = collections.Counter()
        violations += self._stream_violations(runs, statuses, stream_ends)
        last = [caller.calls[-1].status for caller in self._callers]
        if not any(status == 200 for status in last):
            violations.append(f"not recovered: last statuses {last}")
        return {
            "calls": sum(statuses.values()),
            "statuses": dict(sorted(statuses.items())),
            "streams": dict(stream_ends),
            "processes": len(self._processes),
            "violations": violations,
        }

    def _stream_violations(
        self,
        runs: collections.Counter[str],
        statuses: collections.Counter[int],
        ends: collections.Counter[str],
    ) -> list[str]:
        """Counts the answers of streams and returns their violations."""
        violations = []
        for caller in self._stream_callers:
            for call in caller.calls:
                statuses[call.status] += 1
                if call.path == streams.ONCE and runs[call.request] > 1:
                    violations.append(f"ran twice: {call}")
                if call.answer is None or call.status != 200:
                    continue
                ends["whole" if call.answer.is_whole else "broken"] += 1
                wrong = streams.violation(call.path, call.answer)
                if wrong:
                    violations.append(f"{wrong}: {call}")
        return violations


async def run(
    *,
    seed: int,
    seconds: float,
    controls: int,
    entries: int,
    soak_class: type[Soak] = Soak,
) -> dict[str, object]:
    """Runs one seed and returns its report.

    The folder with the output of the processes is kept if the run ends with a
    violation or an error; the report names it.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = soak_class(
        seed=seed, controls=controls, entries=entries, folder=folder
    )
    try:
        await soak.start()
        await soak.run(seconds)
    except BaseException:
        print(f"seed={seed} output={folder}", flush=True)
        raise
    finally:
        await soak.close()
    report = soak.report()
    if report["violations"]:
        lines = "".join(f"{each}\n" for each in report["violations"])
        (folder / "violations.txt").write_text(lines)
        return report | {"output": str(folder)}
    shutil.rmtree(folder)
    return report


def main(soak_class: type[Soak] = Soak) -> int:
    """Runs the seeds and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--entries", type=int, default=3)
    soak_class.add_arguments(parser)
    options = parser.parse_args()
    violation_count = 0
    for seed in range(options.first, options.first + options.seeds):
        report = asyncio.run(
            run(
                seed=seed,
                seconds=options.seconds,
                controls=options.controls,
                entries=options.entries,
                soak_class=soak_class.variant(options, seed),
            )
        )
        violations = report.pop("violations")
        print(f"seed={seed}", json.dumps(report), flush=True)
        for violation in violations[:5]:
            print(f"  {violation}", flush=True)
        violation_count += len(violations)
    print(f"{options.seeds} seeds, {violation_count} violations")
    return 1 if violation_count else 0


if __name__ == "__main__":
    sys.exit(main())
