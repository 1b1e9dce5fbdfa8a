"""A site whose targets end when they begin to answer some requests."""

import asyncio
import contextlib

from endivestream.connection import registry as registry_lib
from endivestream.version import document as document_lib

from tests import entry_site
from tests import standin
from tests import test_cut_hosts
from tests import test_document

MATCHING_PART = "bad0:40"
MATCHING_BODY = b"ends its target"
STREAM = {"kind": document_lib.Kind.STREAM, "prefix": "/s/"}
REPEATABLE = {"kind": document_lib.Kind.IDEMPOTENT, "prefix": "/x/"}


class ExitingTarget:
    """A target whose process exits on a matching request.

    Attributes:
        name: Id of the target.
        requests: Requests that it has received.
        has_ended: Whether it has exited.
        ended_at: When its processes exited.
        matched_at: When it received matching requests.
        end_delay: Time from a matching request to the exit, in seconds.
        started_at_ms: Start time of its process.
        reports: Number of its last report.
    """

    def __init__(
        self,
        name,
        *,
        sends_length=True,
        resets=False,
        report_delay=None,
        register=None,
    ):
        """Initializes it.

        Args:
            name: Id.
            sends_length: Whether the end of its answers shows in their bytes.
            resets: Whether it closes the connection of a request with body
                `reset` and lives on.
            report_delay: It starts again at once and reports that so much
                later; None if it stays down.
            register: Sends a report.
        """
        self.name = name
        self.requests = []
        self.has_ended = False
        self.ended_at = []
        self.matched_at = []
        self.end_delay = 0.0
        self.started_at_ms = 1
        self.reports = 0
        self._sends_length = sends_length
        self._resets = resets
        self._report_delay = report_delay
        self._register = register
        self._back = None
        self._writers = set()
        self._server = None

    @property
    def address(self):
        return self._address

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self._address = f"{host}:{port}"
        return self

    def exit(self):
        """Ends as a process: no listener, all connections closed."""
        self.has_ended = True
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _end(self):
        """Exits under a matching request; may start again at once."""
        if self.end_delay:
            await asyncio.sleep(self.end_delay)
        if self.has_ended:
            return
        self.ended_at.append(asyncio.get_running_loop().time())
        self.exit()
        if self._report_delay is None:
            return
        self._back = asyncio.create_task(self._start_again())

    async def _start_again(self):
        host, port = self.address.split(":")
        self._writers = set()
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.started_at_ms += 1000
        self.has_ended = False
        await asyncio.sleep(self._report_delay)
        await self._register(self)

    async def close(self):
        if self._back is not None:
            self._back.cancel()
        self.exit()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await standin.read_head(reader)) is not None:
                first, headers = head
                method, path, _ = first.split(" ")
                length = int(headers.get("Content-Length", 0))
                body = await reader.readexactly(length) if length else b""
                request = standin.Request(method, path, headers, body)
                self.requests.append(request)
                await self._answer(request, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request, writer):
        attempt = request.headers["X-Request-Id"]
        is_stream = request.path.startswith("/s/")
        head = standin.stream_head(X_Request_Id=attempt)
        if not self._sends_length:
            head = standin.head(
                X_Request_Id=attempt, Content_Type="text/event-stream"
            )
        parts = request.headers.get("X-Prefix", "").split(",")[:-1]
        if self._resets and request.body == b"reset":
            writer.close()
            return
        if (
            MATCHING_PART in parts
            or request.body == MATCHING_BODY
            or request.headers.get("X-Ends") == "1"
        ):
            self.matched_at.append(asyncio.get_running_loop().time())
            if is_stream:
                writer.write(head)
                if request.body and not self._sends_length:
                    writer.write(standin.event(1))
                await writer.drain()
                # Its head is received before the end of the process.
                await asyncio.sleep(0.01)
            await self._end()
            return
        if not is_stream:
            writer.write(standin.answer(body=b"done", X_Request_Id=attempt))
        elif self._sends_length:
            writer.write(head + standin.chunk(standin.event(1)) + standin.END)
        else:
            writer.write(head + standin.event(1))
            writer.close()
        await writer.drain()


class CrashSite(entry_site.EntrySite):
    """Two entry hosts and some targets that exit on matching requests."""

    REPORT = 1.0

    def _settings(self, name, **fields):
        return super()._settings(name, **{"report": self.REPORT} | fields)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for entry in self.entries:
            await entry.close()
        self.entries = [
            self._start_entry(f"e{n}", peers=test_cut_hosts.free_peer_address())
            for n in range(2)
        ]
        self.exiting = []
        self._attempt = 0

    async def asyncTearDown(self):
        for target in self.exiting:
            await target.close()
        await super().asyncTearDown()

    @property
    def ended(self):
        return [target for target in self.exiting if target.has_ended]

    def received(self, matches):
        """Returns how many matching requests have reached targets."""
        return sum(
            matches(request)
            for target in self.exiting
            for request in target.requests
        )

    async def _serve_routes(self, *routes):
        defaults = {"timeout": 30.0, "objective": 5.0}
        await self._apply(
            test_document.document(
                1,
                routes=[
                    test_document.route(f"r{n}", **(defaults | fields))
                    for n, fields in enumerate(routes)
                ],
            )
        )
        await self._wait_in_force(1)

    async def _start_targets(self, count, **fields):
        for _ in range(count):
            number = len(self.exiting)
            target = await ExitingTarget(
                f"x{number}", register=self._register_exiting, **fields
            ).start()
            self.exiting.append(target)
            await self._register_exiting(target)
        names = {target.name for target in self.exiting}
        for entry in self.entries:
            await self._wait_until(
                lambda entry=entry: (
                    names <= entry._view.targets.keys()
                    and len(entry._entry_hosts) >= 2
                )
            )

    async def _register_exiting(self, target):
        target.reports += 1
        registration = registry_lib.Registration(
            name=target.name,
            service="desk",
            address=target.address,
            domain="a",
            started_at_ms=target.started_at_ms,
            report_number=target.reports,
            draining=False,
        )
        control = list(self.controls.values())[-1]
        async with asyncio.timeout(30):
            while not await control.register(registration):
                await asyncio.sleep(0.005)

    async def _send(self, entry, **fields):
        """Sends a request with an attempt id of its own."""
        self._attempt += 1
        headers = {"X_Request_Id": f"a{self._attempt}"} | fields
        return await self._send_request(entry, **headers)
