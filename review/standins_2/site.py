"""A small site on loopback addresses: the project's processes and stand-ins.

Only the standard library is used. Every machine has a loopback address of its
own, so that ports are the same on all machines, as on the users' platform.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import uuid

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
_ZONES = {"lodz-a": "lodz", "lodz-b": "lodz", "lodz-c": "lodz"}
CONTRACTS = (
    "base drain config cost retry recover fleet stream engine tenants quota"
).split()
# Values of the sheet of pzzt-lodz.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "revokeFailClosed": True,
    "revokeMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 54,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 11000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "fencingEnforced": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "ceilingWindowS": 5,
    "ceilingOverage": 1.1,
    "ttl_max_s": 5,
}
CATCH_UP_SECONDS = 4.0
RECOVERY_SECONDS = 12.0


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line with the seconds since the start."""
        seconds = time.monotonic() - self._started_at
        with self._lock:
            self._file.write(f"{seconds:8.3f}  {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Ports:
    """Ports that are free on all addresses of the site."""

    def __init__(self) -> None:
        net = random.SystemRandom()
        self.prefix = f"127.{net.randrange(16, 240)}.{net.randrange(1, 250)}"
        base = net.randrange(20000, 30000)
        self.front, self.ready, self.directory = base, base + 1, base + 2
        self.control, self.server = base + 3, base + 4
        self.internal = base + 10

    def check(self, addresses: Sequence[str]) -> None:
        """Raises CannotRunError if a port is in use."""
        for address in addresses:
            for port in (self.front, self.control, self.internal, self.server):
                with socket.socket() as probe:
                    try:
                        probe.bind((address, port))
                    except OSError as error:
                        raise CannotRunError(str(error)) from error


class Machine:
    """One machine: a process of the deploy file, started and signalled."""

    def __init__(
        self,
        *,
        name: str,
        role: str,
        address: str,
        zone: str,
        ports: Ports,
        folder: pathlib.Path,
        record: Record,
    ) -> None:
        self.name = name
        self.role = role
        self.address = address
        self._zone = zone
        self._ports = ports
        self._folder = folder / name
        self._folder.mkdir()
        self._record = record
        self._disk = 0
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log_path(self) -> pathlib.Path:
        """What the processes of this machine have written."""
        return self._folder / "log"

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.poll() is None

    def owns(self, peer: tuple[str, int], server: tuple[str, int]) -> bool:
        """Returns whether a connection's client end belongs to the process.

        Args:
            peer: Address of the client end. Connections to several servers may
                share it.
            server: Address of the server.
        """
        if self._process is None:
            return False
        wanted = [_as_in_proc(peer), _as_in_proc(server)]
        inode = None
        with open("/proc/net/tcp", encoding="ascii") as table:
            for line in table:
                fields = line.split()
                if fields[1:3] == wanted:
                    inode = fields[9]
                    break
        folder = f"/proc/{self._process.pid}/fd"
        for name in os.listdir(folder):
            try:
                if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                    return True
            except OSError:
                continue
        return False

    def lose_disk(self) -> None:
        """The next start gets an empty folder."""
        self._disk += 1

    def start(self, *, seeds: Sequence[str], bootstrap: bool = False) -> None:
        """Starts the process with the command of the deploy file."""
        ports = self._ports
        is_edge = self.role == "edge"
        data = self._folder / f"disk-{self._disk}"
        if not is_edge:
            data.mkdir(exist_ok=True)
        listen = {"control": f"{self.address}:{ports.control}"}
        if is_edge:
            listen = {
                "front": f"{self.address}:{ports.front}",
                "ready": f"{self.address}:{ports.ready}",
                "directory": f"{self.address}:{ports.directory}",
            }
        settings = {
            "node": self.name,
            "role": self.role,
            "machineClass": "edge" if is_edge else "core",
            "serves": ["edge", "registry"] if is_edge else ["control_plane"],
            "ip": self.address,
            "zone": self._zone,
            "region": "lodz",
            "zones": _ZONES,
            "listen": listen,
            "internalPorts": [ports.internal, ports.internal + 15],
            "seeds": [f"{seed}:{ports.control}" for seed in seeds],
            "bootstrap": bootstrap,
            "toleranceCounted": not is_edge,
            "limits": {
                "cpuShare": 0.5,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4096,
                "linkMbps": 1000.0,
                "diskMb": 0 if is_edge else 128,
            },
            "dataDir": None if is_edge else str(data),
            "discovery": "registration",
            "entry": "registry",
            "heartbeatMs": 1200,
            "contracts": CONTRACTS,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "configMode": "highest",
        }
        path = self._folder / "settings.json"
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["ENDIVESTREAM_CONFIG"] = str(path)
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "platform/main.py", self.role],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._record.write(f"{self.name} started, bootstrap {bootstrap}")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)
        self._record.write(f"{self.name} gets {number.name}")

    def wait(self, seconds: float) -> bool:
        """Waits for the end of the process; returns whether it has ended."""
        assert self._process is not None
        try:
            status = self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        self._record.write(f"{self.name} ended, status {status}")
        return True

    def end(self) -> None:
        """Ends the process if it runs."""
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


def _as_in_proc(address: tuple[str, int]) -> str:
    """Returns an address as it stands in /proc/net/tcp."""
    ip = int.from_bytes(socket.inet_aton(address[0]), sys.byteorder)
    return f"{ip:08X}:{address[1]:04X}"


class Answer:
    """Answer to an HTTP request; status 0 if there was none."""

    def __init__(self, status: int, body: bytes, headers: dict) -> None:
        self.status = status
        self.body = body
        self.headers = headers


def call(
    address: str,
    port: int,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    seconds: float = 1.0,
) -> Answer:
    """Sends one request on a connection of its own."""
    connection = http.client.HTTPConnection(address, port, timeout=seconds)
    try:
        connection.request(
            method, path, body=body or None, headers=headers or {}
        )
        response = connection.getresponse()
        data = response.read()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, data, fields)
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, str(error).encode(), {})
    finally:
        connection.close()


class Server:
    """Stand-in of a server of one service.

    It answers each request with a seal, reports once in a heartbeat, and tries
    the next control host after a failure.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        port: int,
        control_port: int,
        controls: Callable[[], Sequence[str]],
        record: Record,
        zone: str = "lodz-a",
        late_seconds: float = 0.0,
    ) -> None:
        """Initializes a server.

        Args:
            name: Its id.
            service: Name of its service.
            address: Address on which it serves.
            port: Port on which it serves.
            control_port: Port of the control hosts.
            controls: Returns the addresses of the control hosts.
            record: What is sent and run.
            zone: Its zone.
            late_seconds: How late its reports arrive.
        """
        self.name = name
        self.record = record
        self._zone = zone
        self._is_leaving = False
        self._late_seconds = late_seconds
        self._service = service
        self._address = f"{address}:{port}"
        self._controls = controls
        self._control_port = control_port
        self.runs: list[str] = []
        self._stop = threading.Event()
        owner = self

        class _Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_one_request(self) -> None:
                if owner.is_held(self.client_address):
                    self.close_connection = True
                    return
                super().handle_one_request()

            def _answer(self) -> None:
                if owner.is_held(self.client_address):
                    self.close_connection = True
                    return
                length = int(self.headers.get("Content-Length") or 0)
                self.rfile.read(length)
                status, body = 200, b"served"
                fields = {}
                expected = self.headers.get("Expect-Instance", owner.name)
                request = self.headers.get("Attempt-Id", "")
                if self.path == "/healthz":
                    fields["Instance-Id"] = owner.name
                elif expected != owner.name:
                    status, body = 421, b""
                else:
                    owner.runs.append(request)
                    owner.record.write(f"{owner.name} runs {request}")
                    owner.record_arrival(self.client_address, request)
                    fields["Server-Seal"] = f"seal.{owner.name}.{request}"
                if request:
                    fields["Attempt-Id"] = request
                if owner._is_leaving:
                    fields["Server-Leaving"] = "1"
                self.send_response(status)
                for field, value in fields.items():
                    self.send_header(field, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = _answer

            def log_message(self, *arguments: object) -> None:
                pass

        self._http = http.server.ThreadingHTTPServer((address, port), _Handler)
        self._http.daemon_threads = True
        self._threads = [
            threading.Thread(target=self._http.serve_forever, daemon=True),
            threading.Thread(target=self._report, daemon=True),
        ]

    def start(self) -> None:
        """Starts to serve and to report."""
        for thread in self._threads:
            thread.start()

    def is_held(self, peer: tuple[str, int]) -> bool:
        """Returns whether a connection is cut."""
        return False

    def record_arrival(self, peer: tuple[str, int], attempt: str) -> None:
        """Called with each request that is run."""

    def leave(self) -> None:
        """Says in all answers and reports that it leaves."""
        self._is_leaving = True

    def close(self) -> None:
        """Stops."""
        self._stop.set()
        self._http.shutdown()
        self._http.server_close()

    def _report(self) -> None:
        born, number = int(time.time() * 1000), 0
        while not self._stop.is_set():
            number += 1
            body = json.dumps(
                {
                    "service": self._service,
                    "address": self._address,
                    "zone": self._zone,
                    "version": "v1",
                    "slots": 16,
                    "state": "draining" if self._is_leaving else "ready",
                    "coldLeftMs": 0,
                    "seq": number,
                    "born": born,
                }
            ).encode()
            if self._late_seconds:
                timer = threading.Timer(
                    self._late_seconds, self._deliver, (body,)
                )
                timer.daemon = True
                timer.start()
            else:
                self._deliver(body)
            self._stop.wait(1.2)

    def _deliver(self, body: bytes) -> None:
        for address in self._controls():
            answer = call(
                address,
                self._control_port,
                "PUT",
                f"/instances/{self.name}",
                body=body,
                headers={"Content-Type": "application/json"},
            )
            self.record.write(
                f"report of {self.name} at {address}: {answer.status}"
            )
            if answer.status == 200:
                break


class Operator:
    """Stand-in of the operator: sends and reads configurations."""

    def __init__(
        self,
        *,
        port: int,
        controls: Callable[[], Sequence[str]],
        record: Record,
    ) -> None:
        self._port = port
        self._controls = controls
        self._record = record

    def put(self, document: dict, *, seconds: float) -> bool:
        """Sends a configuration until it is acknowledged."""
        body = json.dumps(document).encode()
        version = document["version"]
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for address in self._controls():
                answer = call(
                    address,
                    self._port,
                    "PUT",
                    "/config",
                    body=body,
                    headers={"Content-Type": "application/json"},
                    seconds=2.0,
                )
                self._record.write(
                    f"PUT /config version {version} at {address}: "
                    f"{answer.status}"
                )
                if answer.status == 200:
                    return True
                if answer.status in (400, 409, 412, 413, 422):
                    return False
            time.sleep(0.2)
        return False

    def read(self, address: str) -> int | None:
        """Returns the version that a machine reads back, None without one."""
        answer = call(address, self._port, "GET", "/config")
        version = None
        if answer.status == 200:
            version = json.loads(answer.body)["version"]
        self._record.write(
            f"GET /config at {address}: {answer.status}, version {version}"
        )
        return version


def document(version: int) -> dict:
    """Returns a configuration with one idempotent route."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-look",
                "host": "site.example",
                "pathPrefix": "/look/",
                "routeKind": "idempotent",
                "timeoutMs": 800,
                "objectiveMs": 150,
                "priority": 2,
                "service": "desk",
                "maxAttempts": 2,
                "anonymous": True,
            }
        ],
        "services": [
            {
                "name": "desk",
                "healthPath": "/healthz",
                "maxConns": 100,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Client:
    """Stand-in of clients: a request to the entry host now and then."""

    def __init__(
        self,
        *,
        address: str,
        port: int,
        record: Record,
        every: float = 0.25,
        path: str = "/look/x",
        method: str = "GET",
        seconds: float = 1.5,
        headers: dict[str, str] | None = None,
    ) -> None:
        self._address = address
        self._port = port
        self._record = record
        self._every = every
        self._path = path
        self._method = method
        self._seconds = seconds
        self.headers = headers or {"Deadline-Ms": "1500"}
        self.results: list[tuple[float, int]] = []
        # When each attempt was sent, its status and id; when each answer came,
        # its headers and the id.
        self.details: list[tuple[float, int, str]] = []
        self.answers: list[tuple[float, dict, str]] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts to send."""
        self._thread.start()

    def close(self) -> None:
        """Stops."""
        self._stop.set()
        self._thread.join(3.0)

    def _run(self) -> None:
        while not self._stop.wait(self._every):
            attempt = uuid.uuid4().hex[:16]
            sent_at = time.monotonic()
            answer = call(
                self._address,
                self._port,
                self._method,
                self._path,
                headers={
                    "Host": "site.example",
                    "Attempt-Id": attempt,
                    **self.headers,
                },
                seconds=self._seconds,
            )
            status = answer.status
            if status == 200 and "server-seal" not in answer.headers:
                status = -1
            self.results.append((sent_at, status))
            self.details.append((sent_at, status, attempt))
            self.answers.append((time.monotonic(), answer.headers, attempt))
            self._record.write(f"request {attempt} {self._path}: {status}")

    def served(self, start: float, end: float) -> tuple[int, int]:
        """Returns the requests served and sent in a span."""
        span = [s for at, s in self.results if start <= at < end]
        return sum(s == 200 for s in span), len(span)


def run(case: Callable[[pathlib.Path, Record, list[Machine]], bool]) -> int:
    """Runs a case; returns 1 if the rule broke, 0 if it held, 2 otherwise."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    record = Record(pathlib.Path(sys.argv[1]) / "record.txt")
    machines: list[Machine] = []
    try:
        if not (REPOSITORY / "target" / "deps" / "endivestream").is_dir():
            raise CannotRunError("target/deps is missing: sh deploy/build.sh")
        is_broken = case(folder, record, machines)
        record.write("the rule is broken" if is_broken else "the rule held")
        return 1 if is_broken else 0
    except CannotRunError as error:
        record.write(f"cannot run: {error}")
        return 2
    finally:
        for machine in machines:
            machine.end()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
        record.close()
