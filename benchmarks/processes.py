"""Starts real processes on loopback for the demo, tests and benchmarks.

Every process binds port 0 and logs the port that the kernel assigned.
"""

from __future__ import annotations

from collections.abc import Sequence
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.request

_BIN = pathlib.Path(sys.executable).parent
_START_SECONDS = 20.0


def wait_for(condition: Any, what: str, seconds: float = _START_SECONDS) -> Any:
    """Waits until `condition()` is true and returns its value."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"{what}: timed out after {seconds} s")


def fetch(
    url: str,
    *,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: Any = None,
    seconds: float = 30.0,
) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers and body; status 0 without a response."""
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=seconds) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()
    except OSError:
        return 0, {}, b""


def _python_path() -> str:
    """Returns a value of PYTHONPATH that starts with this folder."""
    benchmarks_folder = str(pathlib.Path(__file__).parent)
    return os.pathsep.join(
        [benchmarks_folder, os.environ.get("PYTHONPATH", "")]
    )


class Process:
    """A child process whose output goes to a log file."""

    def __init__(
        self, *, arguments: list[str], log: pathlib.Path, name: str
    ) -> None:
        self.name = name
        self.log = log
        self._file = log.open("ab")
        self._log_start = self._file.tell()
        self.process = subprocess.Popen(
            arguments,
            stdout=self._file,
            stderr=self._file,
            env={
                **os.environ,
                "PYTHONPATH": str(pathlib.Path(__file__).parent),
            },
        )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process with SIGKILL and closes its log file."""
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self._file.close()

    def stop(self, seconds: float = 30.0) -> int:
        """Sends SIGTERM, waits for the exit and returns the exit status."""
        self.signal(signal.SIGTERM)
        status = self.process.wait(timeout=seconds)
        self._file.close()
        return status

    def cpu_seconds(self) -> float:
        """Returns the processor time that the process has used in seconds."""
        path = f"/proc/{self.process.pid}/stat"
        fields = pathlib.Path(path).read_text().rsplit(") ", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def memory_mib(self) -> float:
        """Returns the resident memory of the process in MiB."""
        path = f"/proc/{self.process.pid}/statm"
        page_count = int(pathlib.Path(path).read_text().split()[1])
        return page_count * os.sysconf("SC_PAGE_SIZE") / 2**20


class Daemon(Process):
    """An `endivestreamd` process whose addresses are read from its log."""

    def __init__(
        self, *, folder: pathlib.Path, name: str, arguments: list[str]
    ) -> None:
        self._started_fields: dict[str, str] = {}
        super().__init__(
            arguments=[str(_BIN / "endivestreamd"), *arguments],
            log=folder / f"{name}.log",
            name=name,
        )

    @property
    def address(self) -> str:
        """`IP:PORT` for operators and targets."""
        return self._started_field("inner")

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{self._started_field('callers')}"

    @property
    def inner_url(self) -> str:
        """Base URL for operators and targets."""
        return f"http://{self.address}"

    @property
    def peers_address(self) -> str:
        """Address of its control role for other hosts."""
        return self._started_field("control")

    def _started_field(self, name: str) -> str:
        if not self._started_fields:
            self._started_fields = wait_for(
                self._read_started_fields, f"{self.name} has started"
            )
        return self._started_fields[name]

    def _read_started_fields(self) -> dict[str, str]:
        if self.process.poll() is not None:
            raise RuntimeError(f"{self.name} exited:\n{self.log.read_text()}")
        text = self.log.read_bytes()[self._log_start :].decode()
        for line in text.splitlines():
            if " event=started " in line:
                return dict(
                    pair.split("=", 1) for pair in line.split() if "=" in pair
                )
        return {}

    def wait_ready(self) -> None:
        """Waits until the readiness check succeeds."""
        wait_for(
            lambda: fetch(f"{self.url}/readyz", seconds=1.0)[0] == 200,
            f"{self.name} is ready",
        )


class StandaloneDaemon(Daemon):
    """An `endivestreamd` process without a settings file."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        super().__init__(
            folder=folder,
            name="endivestreamd",
            arguments=[
                f"--data-folder={folder / 'data'}",
                "--address=127.0.0.1:0",
                "--inner-address=127.0.0.1:0",
                "--peers-address=tcp://127.0.0.1:*",
            ],
        )


class Host(Daemon):
    """An `endivestreamd` process with a settings file, one host of a site."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        name: str = "local",
        domain: str = "local",
        control: Sequence[str] = (),
        has_replica: bool | None = None,
        address: str = "tcp://127.0.0.1:*",
        restart_of: Host | None = None,
        more: str = "",
        more_peers: str = "",
    ) -> None:
        """Starts a host.

        Args:
            folder: Folder of the log, settings and data of the host.
            name: Name of the host.
            domain: Failure domain of the host.
            control: Addresses of the control hosts; empty to form a system.
            has_replica: Whether the host has a replica of the log; None for a
                replica if `control` is empty.
            address: Listening address of the control role.
            restart_of: Host to restart, or None for a new host. The restarted
                host listens on the same HTTP addresses, because targets and
                callers use them.
            more: Further sections of the settings file.
            more_peers: Further lines of the section `peers`.
        """
        http_addresses = ["127.0.0.1:0"] * 2
        if restart_of is not None:
            http_addresses = [
                restart_of.url.removeprefix("http://"),
                restart_of.address,
            ]
        self.data_folder = folder / name
        has_replica = not control if has_replica is None else has_replica
        data = f'data_folder = "{self.data_folder}"' if has_replica else ""
        peers = f"control = {json.dumps(list(control))}" if control else ""
        settings = folder / f"{name}.toml"
        settings.write_text(
            f'[host]\nname = "{name}"\ndomain = "{domain}"\n{data}\n'
            f'[http]\naddress = "{http_addresses[0]}"\n'
            f'inner_address = "{http_addresses[1]}"\n'
            f'[peers]\naddress = "{address}"\n{peers}\n{more_peers}\n{more}\n'
        )
        super().__init__(
            folder=folder, name=name, arguments=["--settings", str(settings)]
        )


class ControlSite:
    """A group of control hosts; the first forms the system, others join."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        count: int,
        spares: int = 0,
        more: str = "",
        more_peers: str = "",
    ) -> None:
        self._folder = folder
        self._more = more
        self._more_peers = f"voters = {count}\n{more_peers}"
        self.hosts = {"c0": self._start("c0")}
        self._addresses = [self.hosts["c0"].peers_address]
        for number in range(1, count + spares):
            name = f"c{number}"
            self.hosts[name] = self._start(name, self._addresses)
            self._addresses.append(self.hosts[name].peers_address)
        for host in self.hosts.values():
            host.wait_ready()
        wait_for(lambda: len(self.voters()) == count, f"{count} voters")
        wait_for(
            lambda: len(self.view("voter", "list")) == count + spares,
            f"{spares} spares",
        )

    @property
    def addresses(self) -> list[str]:
        """Listening addresses of the control roles."""
        return list(self._addresses)

    def _start(
        self,
        name: str,
        control: Sequence[str] = (),
        address: str = "tcp://127.0.0.1:*",
        restart_of: Host | None = None,
    ) -> Host:
        return Host(
            folder=self._folder,
            name=name,
            domain=f"domain-{name}",
            control=control,
            has_replica=True,
            address=address,
            restart_of=restart_of,
            more=self._more,
            more_peers=self._more_peers,
        )

    def restart(self, name: str) -> Host:
        """Restarts a killed host on its previous addresses."""
        address = self._addresses[int(name[1:])]
        host = self._start(name, self._addresses, address, self.hosts[name])
        self.hosts[name] = host
        return host

    def operate(self, *arguments: str, through: str = "") -> Any:
        """Runs the operators' command through one host or any live host."""
        hosts = [self.hosts[through]] if through else self.hosts.values()
        options = [f"--address={host.address}" for host in hosts]
        return subprocess.run(
            [
                str(_BIN / "endivestream"),
                "--output=json",
                *options,
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def view(self, *arguments: str) -> Any:
        """Returns an operators' view, or an empty list without a leader."""
        completed = self.operate(*arguments)
        return json.loads(completed.stdout) if completed.returncode == 0 else []

    def voters(self) -> list[str]:
        """Returns the names of the voters."""
        rows = self.view("voter", "list")
        return [row["name"] for row in rows if row["role"] != "learner"]

    def leader(self) -> str:
        """Returns the name of the leader, or an empty string."""
        rows = self.view("voter", "list")
        names = [row["name"] for row in rows if row["role"] == "leader"]
        return names[0] if names else ""

    def wait_leader(self) -> str:
        """Waits for a leader and returns its name."""
        return wait_for(self.leader, "a leader")

    def close(self) -> None:
        """Kills all hosts."""
        for host in self.hosts.values():
            host.kill()


def stand_in(
    kind: str, *, folder: pathlib.Path, name: str, arguments: list[str]
) -> Process:
    """Starts a stand-in target; `kind` is `engine` or `service`."""
    return Process(
        arguments=[
            sys.executable,
            "-m",
            f"standins.{kind}",
            "--name",
            name,
            *arguments,
        ],
        log=folder / f"{name}.log",
        name=name,
    )


def operate(*arguments: str, address: str) -> subprocess.CompletedProcess:
    """Runs the operators' command against one host."""
    return subprocess.run(
        [str(_BIN / "endivestream"), "--address", address, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )
