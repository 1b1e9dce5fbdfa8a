"""A control and an entry host as processes, for tests of abusive clients.

The crowds and the bounds of these tests are fixed: a test that fails shows a
fault of the product.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import socket
import struct
import sys
import tempfile
import unittest

from tests import entry_site
from tests import standin
from tests import test_platform_processes

_ROOT = pathlib.Path(__file__).parent.parent
_TIMEOUT_SECONDS = 60.0
# How long a crowd may send before the rest of it is left unsent.
_CROWD_SECONDS = 15.0
_SAMPLE_SECONDS = 0.05
# Descriptors that the platform keeps for files.
_RESERVED_DESCRIPTORS = 200
_METRICS_PORT = 9464
# Offset of tcpi_bytes_acked in struct tcp_info.
_ACKNOWLEDGED_OFFSET = 120
_NETWORK = test_platform_processes.IP.rsplit(".", 1)[0]

CONTROL_IP, EDGE_IP = f"{_NETWORK}.2", f"{_NETWORK}.3"
MEMORY_MB = 128
DESCRIPTORS = 400
MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
# A request to this path is never answered. Its target is not that of ordinary
# requests, which get none while it sends no byte.
HANG_PATH = "/hang/x"
# A request to this path gets an answer of this size.
LARGE_PATH = "/x/large"
_LARGE_BYTES = 4 * 1024 * 1024
_LARGE_CONFIGURATION_BYTES = 4 * 1024 * 1024

_ROUTE = {
    "name": "r",
    "host": "a.example",
    "pathPrefix": "/x/",
    "routeKind": "idempotent",
    "timeoutMs": 60_000,
    "objectiveMs": 400,
    "service": "desk",
    "anonymous": True,
}
_HANGING_ROUTE = _ROUTE | {
    "name": "hanging",
    "pathPrefix": "/hang/",
    "service": "hanging",
}
CONFIGURATION = {
    "version": 1,
    "routes": [_ROUTE, _HANGING_ROUTE],
    "services": [
        {"name": name, "healthPath": "/healthz", "maxConns": 900}
        for name in ("desk", "hanging")
    ],
    "limits": {
        "maxHeaderBytes": MAX_HEADER_BYTES,
        "maxBodyBytes": MAX_BODY_BYTES,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 60_000,
    },
}


def head(*fields, method="POST", path="/x/"):
    """Returns the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: a.example", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunked(size, piece):
    """Yields a body in chunks, without its end."""
    for start in range(0, size, piece):
        length = min(piece, size - start)
        yield b"%x\r\n" % length + b"a" * length + b"\r\n"


def plain(size, piece=64 * 1024):
    """Yields a body that has a length."""
    for start in range(0, size, piece):
        yield b"a" * min(piece, size - start)


async def _serve(request, writer):
    if request.path.startswith(LARGE_PATH):
        writer.write(standin.answer(body=b"a" * _LARGE_BYTES))
        await writer.drain()
        return
    writer.write(standin.answer(body=b"done"))


class Program:
    """One of the platform's programs, and what it uses."""

    def __init__(self, *, ip, process):
        self.ip = ip
        self.process = process
        self.highest_memory = 0

    @property
    def is_running(self):
        return self.process.returncode is None

    @property
    def descriptors(self):
        """Number of open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def unread_bytes(self):
        """Returns the bytes that the kernel holds for the process."""
        quads = self.ip.split(".")
        address = "".join(f"{int(quad):02X}" for quad in reversed(quads))
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        fields = (line.split() for line in lines)
        return sum(
            int(each[4].split(":")[1], 16)
            for each in fields
            if each[1].startswith(f"{address}:") and each[3] == "01"
        )

    def sample(self):
        """Records the memory in use, with unread bytes."""
        fields = {}
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            name, _, value = line.partition(":")
            if name in ("VmHWM", "VmRSS"):
                fields[name] = int(value.split()[0]) * 1024
        if fields:
            self.highest_memory = max(
                self.highest_memory,
                fields["VmHWM"],
                fields["VmRSS"] + self.unread_bytes(),
            )


async def _read_all(reader):
    """Reads and drops what the host sends."""
    with contextlib.suppress(OSError):
        while await reader.read(64 * 1024):
            pass


class Client:
    """One client of a crowd; a closed connection ends it without an error."""

    def __init__(self, *, address, pieces, pause, reads):
        self._address = address
        self._reads = reads
        self._pieces = pieces
        self._pause = pause
        self._writer = None
        self._reading = None

    async def run(self):
        """Sends all pieces and keeps the connection open."""
        with contextlib.suppress(OSError):
            host, port = self._address.rsplit(":", 1)
            sock = socket.socket()
            sock.setblocking(False)
            if not self._reads:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (host, int(port)))
            reader, self._writer = await asyncio.open_connection(sock=sock)
            if self._reads:
                self._reading = asyncio.create_task(_read_all(reader))
            else:
                self._writer.transport.pause_reading()
            for piece in self._pieces:
                self._writer.write(piece)
                await self._writer.drain()
                if self._pause:
                    await asyncio.sleep(self._pause)

    @property
    def acknowledged_bytes(self):
        """Bytes that the kernel of the host has received."""
        if self._writer is None:
            return 0
        sock = self._writer.get_extra_info("socket")
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 128)
        (acknowledged,) = struct.unpack_from("Q", info, _ACKNOWLEDGED_OFFSET)
        return acknowledged

    def close(self):
        """Resets the connection."""
        if self._writer is not None:
            self._writer.transport.abort()


class CrowdSite(unittest.IsolatedAsyncioTestCase):
    """Starts the site; without tests."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._folder = pathlib.Path(folder.name)
        self.crowd = []
        self._internal_port = test_platform_processes.two_free_ports()
        self.control_address = entry_site.free_address(CONTROL_IP)
        self.front = entry_site.free_address(EDGE_IP)
        self.ready = entry_site.free_address(EDGE_IP)
        self.directory = entry_site.free_address(EDGE_IP)
        self.edge_metrics = f"{EDGE_IP}:{_METRICS_PORT}"
        self.control_metrics = f"{CONTROL_IP}:{_METRICS_PORT}"
        self.control = await self._start(
            "control", CONTROL_IP, {"control": self.control_address}
        )
        self.edge = await self._start(
            "edge",
            EDGE_IP,
            {
                "front": self.front,
                "ready": self.ready,
                "directory": self.directory,
            },
        )
        self.target = await standin.Target(_serve).start()
        self.addAsyncCleanup(self.target.close)
        self.hanging_target = await standin.Target(standin.hangs).start()
        self.addAsyncCleanup(self.hanging_target.close)
        self.addCleanup(self.leave)
        await self._configure()

    @property
    def relay(self):
        """Address at which the entry host serves requests of other hosts."""
        return f"{EDGE_IP}:{self._internal_port + 2}"

    async def _start(self, role, ip, listen):
        settings = {
            "node": f"{role}-1",
            "ip": ip,
            "zone": "a",
            "listen": listen,
            "internalPorts": [self._internal_port, self._internal_port + 15],
            "seeds": [self.control_address],
            "bootstrap": True,
            "dataDir": str(self._folder / role) if role == "control" else None,
            "faultTolerance": {"machines": 0},
            "limits": {"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS},
        }
        file = self._folder / f"{role}.json"
        file.write_text(json.dumps(settings))
        paths = (
            _ROOT / "platform",
            _ROOT / "packages" / "endivestream" / "src",
        )
        self.log = self._folder / f"{role}.log"
        with self.log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(_ROOT / "platform" / "main.py"),
                role,
                env=os.environ
                | {
                    "ENDIVESTREAM_CONFIG": str(file),
                    "PYTHONPATH": os.pathsep.join(map(str, paths)),
                },
                stdout=output,
                stderr=output,
            )
        program = Program(ip=ip, process=process)
        self.addAsyncCleanup(self._kill, program)
        return program

    async def _kill(self, program):
        if program.is_running:
            program.process.kill()
        await program.process.wait()

    async def request_status(self, address, method, path, body=b"", **headers):
        """Returns the status of a request; 0 without an answer."""
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS / 6):
                caller = await standin.Caller(address).start()
                try:
                    reply = await caller.ask(
                        method=method, path=path, body=body, **headers
                    )
                finally:
                    caller.close()
                return reply.status
        except (OSError, asyncio.IncompleteReadError):
            return 0

    async def wait_for_ok(self, what, *request, **headers):
        """Repeats a request, each time on a new connection, until it gets 200.

        Callers come back after a refusal.
        """
        status = 0
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                while status != 200:
                    status = await self.request_status(*request, **headers)
                    if status != 200:
                        await asyncio.sleep(0.2)
        except TimeoutError:
            self.fail(f"{what} is not answered, the last status is {status}")

    async def _put(self, path, body):
        await self.wait_for_ok(
            path,
            self.control_address,
            "PUT",
            path,
            json.dumps(body).encode(),
            Content_Type="application/json",
        )

    async def _configure(self):
        await self._put("/config", CONFIGURATION)
        for service, target in (
            ("desk", self.target),
            ("hanging", self.hanging_target),
        ):
            heartbeat = {
                "service": service,
                "address": target.address,
                "zone": "a",
                "slots": 400,
                "state": "ready",
                "seq": 1,
                "born": 1,
            }
            await self._put(f"/instances/{service}", heartbeat)
        await self.wait_for_ok("readiness", self.ready, "GET", "/readyz")
        await self.check_served("before the crowd")

    async def check_served(self, when):
        """Checks that an ordinary request is answered."""
        await self.wait_for_ok(
            f"a request {when}", self.front, "POST", "/x/", b"hello"
        )

    async def send_large_configuration(self):
        """Sends a configuration of some megabytes."""
        routes = [_ROUTE, _HANGING_ROUTE] + [
            _ROUTE | {"name": f"r{n}", "pathPrefix": f"/{'p' * 1000}{n}/"}
            for n in range(_LARGE_CONFIGURATION_BYTES // 1000)
        ]
        document = CONFIGURATION | {"version": 2, "routes": routes}
        await self._put("/config", document)

    async def gather_crowd(
        self, address, count, pieces, *, pause=0.0, reads=True
    ):
        """Opens connections that each send the pieces and stay open.

        Args:
            address: Where the clients connect.
            count: Number of clients.
            pieces: Returns the bytes that one client sends, in pieces.
            pause: Seconds between two pieces of a client.
            reads: Whether the clients read their answers.
        """
        clients = [
            Client(address=address, pieces=pieces(), pause=pause, reads=reads)
            for _ in range(count)
        ]
        self.crowd += clients
        sending = [asyncio.create_task(each.run()) for each in clients]
        sampling = asyncio.create_task(self._sample())
        try:
            await asyncio.wait(sending, timeout=_CROWD_SECONDS)
        finally:
            sampling.cancel()
            for each in sending:
                if not each.done():
                    self.addCleanup(each.cancel)

    async def _sample(self):
        while True:
            self.edge.sample()
            self.control.sample()
            await asyncio.sleep(_SAMPLE_SECONDS)

    def leave(self):
        """Resets all connections of the crowd."""
        for each in self.crowd:
            each.close()

    async def check_hosts(self, when):
        """Checks life, memory and descriptors of both hosts."""
        for name, program in (("edge", self.edge), ("control", self.control)):
            self.assertTrue(program.is_running, f"{name} ended {when}")
            program.sample()
            self.assertLessEqual(
                program.highest_memory / 1e6,
                MEMORY_MB,
                f"memory of {name} in MB {when}",
            )
            self.assertLessEqual(
                program.descriptors,
                DESCRIPTORS - _RESERVED_DESCRIPTORS,
                f"descriptors of {name} {when}",
            )

    async def check_crowd(self, address, count, pieces, *, reads=True):
        """Checks the hosts and ordinary requests during and after a crowd."""
        await self.gather_crowd(address, count, pieces, reads=reads)
        await self.check_hosts("beside the crowd")
        await self.check_served("beside the crowd")
        self.leave()
        await self.check_served("after the crowd")
        await self.wait_for_ok(
            "a body of the maximum size",
            self.front,
            "POST",
            "/x/",
            b"a" * MAX_BODY_BYTES,
        )
        await self.wait_for_ok("readiness", self.ready, "GET", "/readyz")
        await self.check_hosts("after the crowd")
