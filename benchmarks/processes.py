"""Real processes on loopback, for the demo, tests and benchmarks.

Every process binds port 0 and says in its log which port it got.
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
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"{what}: not within {seconds} s")


def fetch(
    url: str,
    *,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: Any = None,
    seconds: float = 30.0,
) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers and body; status 0 when nothing answers."""
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
    """Returns the search path with this folder first."""
    here = str(pathlib.Path(__file__).parent)
    return os.pathsep.join([here, os.environ.get("PYTHONPATH", "")])


class Process:
    """One process that we started."""

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
        """Sends a signal to this process alone."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Ends it at once."""
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self._file.close()

    def stop(self, seconds: float = 30.0) -> int:
        """Asks it to stop and returns its exit status."""
        self.signal(signal.SIGTERM)
        status = self.process.wait(timeout=seconds)
        self._file.close()
        return status

    def cpu_seconds(self) -> float:
        """Returns the processor time it has used."""
        path = f"/proc/{self.process.pid}/stat"
        fields = pathlib.Path(path).read_text().rsplit(") ", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def memory_mib(self) -> float:
        """Returns its resident memory."""
        path = f"/proc/{self.process.pid}/statm"
        pages = int(pathlib.Path(path).read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


class Daemon(Process):
    """One `endivestreamd`, whose addresses are read off its log."""

    def __init__(
        self, *, folder: pathlib.Path, name: str, arguments: list[str]
    ) -> None:
        self._started: dict[str, str] = {}
        super().__init__(
            arguments=[str(_BIN / "endivestreamd"), *arguments],
            log=folder / f"{name}.log",
            name=name,
        )

    @property
    def address(self) -> str:
        """IP:PORT for operators."""
        return self._started_field("inner")

    @property
    def url(self) -> str:
        """Where callers reach it."""
        return f"http://{self._started_field('callers')}"

    @property
    def inner_url(self) -> str:
        """Where operators and targets reach it."""
        return f"http://{self.address}"

    @property
    def peers_address(self) -> str:
        """Where other hosts reach its control role."""
        return self._started_field("control")

    def _started_field(self, name: str) -> str:
        if not self._started:
            self._started = wait_for(
                self._read_started, f"{self.name} has started"
            )
        return self._started[name]

    def _read_started(self) -> dict[str, str]:
        if self.process.poll() is not None:
            raise RuntimeError(f"{self.name} ended:\n{self.log.read_text()}")
        text = self.log.read_bytes()[self._log_start :].decode()
        for line in text.splitlines():
            if " event=started " in line:
                return dict(
                    pair.split("=", 1) for pair in line.split() if "=" in pair
                )
        return {}

    def wait_ready(self) -> None:
        """Waits until it takes work."""
        wait_for(
            lambda: fetch(f"{self.url}/readyz", seconds=1.0)[0] == 200,
            f"{self.name} is ready",
        )


class Bare(Daemon):
    """One `endivestreamd` without a settings file."""

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
    """One `endivestreamd` of a site."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        name: str = "local",
        domain: str = "local",
        control: Sequence[str] = (),
        disk: bool | None = None,
        address: str = "tcp://127.0.0.1:*",
        again: Host | None = None,
        more: str = "",
        more_peers: str = "",
    ) -> None:
        """Starts a host.

        Args:
            folder: Where its files go.
            name: Its name.
            domain: Its failure domain.
            control: Control hosts' addresses; empty to form a system.
            disk: Whether it holds a replica.
            address: Where its control role listens.
            again: The host that it is a restart of, whose addresses it takes:
                targets and callers know those.
            more: Further sections of the settings.
            more_peers: Further lines of the section `peers`.
        """
        ports = ["127.0.0.1:0"] * 2
        if again is not None:
            ports = [again.url.removeprefix("http://"), again.address]
        self.data_folder = folder / name
        disk = not control if disk is None else disk
        data = f'data_folder = "{self.data_folder}"' if disk else ""
        peers = f"control = {json.dumps(list(control))}" if control else ""
        settings = folder / f"{name}.toml"
        settings.write_text(
            f'[host]\nname = "{name}"\ndomain = "{domain}"\n{data}\n'
            f'[http]\naddress = "{ports[0]}"\n'
            f'inner_address = "{ports[1]}"\n'
            f'[peers]\naddress = "{address}"\n{peers}\n{more_peers}\n{more}\n'
        )
        super().__init__(
            folder=folder, name=name, arguments=["--settings", str(settings)]
        )


class ControlSite:
    """Several control hosts, of which the first formed the system."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        count: int,
        more: str = "",
        more_peers: str = "",
    ) -> None:
        self._folder = folder
        self._more = more
        self._more_peers = f"voters = {count}\n{more_peers}"
        self.hosts = {"c0": self._start("c0")}
        self._addresses = [self.hosts["c0"].peers_address]
        for number in range(1, count):
            name = f"c{number}"
            self.hosts[name] = self._start(name, self._addresses)
            self._addresses.append(self.hosts[name].peers_address)
        for host in self.hosts.values():
            host.wait_ready()
        wait_for(lambda: len(self.voters()) == count, f"{count} voters")

    @property
    def addresses(self) -> list[str]:
        """Where the control roles listen."""
        return list(self._addresses)

    def _start(
        self,
        name: str,
        control: Sequence[str] = (),
        address: str = "tcp://127.0.0.1:*",
        again: Host | None = None,
    ) -> Host:
        return Host(
            folder=self._folder,
            name=name,
            domain=f"domain-{name}",
            control=control,
            disk=True,
            address=address,
            again=again,
            more=self._more,
            more_peers=self._more_peers,
        )

    def restart(self, name: str) -> Host:
        """Starts a killed host again, on its old address."""
        address = self._addresses[int(name[1:])]
        host = self._start(name, self._addresses, address, self.hosts[name])
        self.hosts[name] = host
        return host

    def operate(self, *arguments: str, through: str = "") -> Any:
        """Runs the operators' command through any live host."""
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
        """Returns a view, or an empty list if nobody leads."""
        done = self.operate(*arguments)
        return json.loads(done.stdout) if done.returncode == 0 else []

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
        """Ends all hosts."""
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
    """Runs the operators' command."""
    return subprocess.run(
        [str(_BIN / "endivestream"), "--address", address, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )
