"""Real processes on loopback, for the demo, tests and benchmarks.

Every process binds port 0 and says in its log which port it got.
"""

from __future__ import annotations

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
        control: Host | None = None,
        more: str = "",
    ) -> None:
        data = "" if control else f'data_folder = "{folder / name}"'
        peers = f'control = ["{control.peers_address}"]' if control else ""
        settings = folder / f"{name}.toml"
        settings.write_text(
            f'[host]\nname = "{name}"\ndomain = "{domain}"\n{data}\n'
            '[http]\naddress = "127.0.0.1:0"\n'
            'inner_address = "127.0.0.1:0"\n'
            f'[peers]\naddress = "tcp://127.0.0.1:*"\n{peers}\n{more}\n'
        )
        super().__init__(
            folder=folder, name=name, arguments=["--settings", str(settings)]
        )


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
