"""Tests of streams beside targets of several software versions."""

import asyncio
import itertools

from endivestream import tasks
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib
from endivestream.version import document as document_lib

from tests import entry_site
from tests import standin
from tests import test_cut_hosts
from tests import test_document
from tests import test_forward

HEAD = standin.stream_head(X_Request_Id="a1")


def events(*numbers):
    return b"".join(standin.chunk(standin.event(n)) for n in numbers)


def body(*numbers):
    return b"".join(standin.event(n) for n in numbers)


def breaks_off(attempt, *numbers):
    """Returns a script that sends some events and closes the connection."""
    head = standin.stream_head(X_Request_Id=attempt)

    async def script(request, writer):
        writer.write(head + events(*numbers))
        await writer.drain()
        writer.close()

    return script


async def serves_rest(request, writer):
    """Sends the events up to 4 behind the last one that the request names."""
    last = int(request.headers.get("Last-Event-Id", 0))
    head = standin.stream_head(X_Request_Id=request.headers["X-Request-Id"])
    writer.write(head + events(*range(last + 1, 5)) + standin.END)


class OneAnswerTest(test_forward.ForwardTest):
    async def test_answer_does_not_go_on_at_another_software_version(self):
        """Guards against answers with events of two software versions."""
        self._route(test_forward.RESUMABLE)
        await self._start_target(breaks_off("a1", 1, 2), software="v1")
        other = await self._start_target(
            serves_rest, software="v2", domain="far"
        )
        reply = await self.caller.ask(X_Request_Id="a1", X_Deadline_Ms=900)
        self.assertEqual((reply.body, reply.whole), (body(1, 2), False))
        self.assertEqual([], other.requests)


class SoftwareVersionSite(entry_site.EntrySite):
    """Two entry hosts that reach each other, and targets with versions."""

    def _settings(self, name, **fields):
        # A host that has just started may send repeats.
        bounds = entry_site.BOUNDS._replace(repeat_window=0.1)
        return super()._settings(
            name, **{"report": 1.0, "bounds": bounds} | fields
        )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for entry in self.entries:
            await entry.close()
        self.entries = [
            self._start_entry(f"e{n}", peers=test_cut_hosts.free_peer_address())
            for n in range(2)
        ]
        self.targets = {}
        self.reports = asyncio.create_task(self._send_reports())

    async def asyncTearDown(self):
        await tasks.cancel([self.reports])
        for target, _ in self.targets.values():
            await target.close()
        await super().asyncTearDown()

    async def _send_reports(self):
        for number in itertools.count(1):
            for name, (target, software) in list(self.targets.items()):
                control = list(self.controls.values())[-1]
                await control.register(
                    registry_lib.Registration(
                        name=name,
                        service="desk",
                        address=target.address,
                        domain="a",
                        software=software,
                        started_at_ms=1,
                        report_number=number,
                    )
                )
            await asyncio.sleep(0.1)

    async def _serve(self, **route):
        route = test_document.route(
            kind=document_lib.Kind.STREAM,
            resumable=True,
            timeout=5.0,
            objective=1.0,
            **route,
        )
        await self._apply(test_document.document(1, routes=[route]))
        await self._wait_in_force(1)
        for entry in self.entries:
            await self._wait_until(
                lambda entry=entry: len(entry._entry_hosts) == 2
            )

    async def _start_target(self, name, software, *scripts):
        target = await standin.Target(*scripts).start()
        self.targets[name] = (target, software)
        for entry in self.entries:
            await self._wait_until(
                lambda entry=entry: name in entry._view.targets
            )
        return target

    async def _end_target(self, name):
        target, _ = self.targets.pop(name)
        await target.close()
        await next(iter(self.controls.values())).deregister(name)
        for entry in self.entries:
            await self._wait_until(
                lambda entry=entry: name not in entry._view.targets
            )


class RetakeTest(SoftwareVersionSite):
    async def _begin(self):
        """Begins a stream at e0 and the version v1 that breaks off."""
        await self._serve(max_attempts=1)
        await self._start_target("t1", "v1", breaks_off("a1", 1, 2))
        reply = await self._send_request(self.entries[0], X_Request_Id="a1")
        self.assertEqual((reply.body, reply.whole), (body(1, 2), False))
        await self._end_target("t1")

    async def _retake(self, entry, **headers):
        headers = {"X_Resumes": "a1", "Last_Event_ID": 2} | headers
        return await self._send_request(
            entry, X_Request_Id="a2", X_Deadline_Ms=2000, **headers
        )

    async def test_retake_elsewhere_does_not_go_on_at_another_version(self):
        """Guards against a caller's stream with events of two versions."""
        await self._begin()
        other = await self._start_target("t2", "v2", serves_rest)
        reply = await self._retake(self.entries[1])
        self.assertEqual([], other.requests)
        self.assertEqual(reply.status, 503)


class RelayTest(SoftwareVersionSite):
    async def test_relay_host_does_not_go_on_at_another_version(self):
        """Guards against a mix by a host that did not begin the stream."""
        await self._serve(max_attempts=3)
        cut, _ = self.entries
        has_other = asyncio.Event()

        async def begins(request, writer):
            writer.write(HEAD + events(1, 2))
            await has_other.wait()
            self._cut(cut)
            writer.close()

        await self._start_target("t1", "v1", begins)
        request = asyncio.create_task(
            self._send_request(cut, X_Request_Id="a1", X_Deadline_Ms=3000)
        )
        other = await self._start_target("t2", "v2", serves_rest)
        has_other.set()
        reply = await request
        self.assertEqual((reply.body, reply.whole), (body(1, 2), False))
        self.assertEqual([], other.requests)

    def _cut(self, entry):
        addresses = {target.address for target, _ in self.targets.values()}
        acquire = entry._pool.acquire

        async def acquire_unless_cut(host, port, *, seconds, is_new=False):
            if f"{host}:{port}" in addresses:
                raise exchange_lib.ExchangeError("refused", sent=False)
            return await acquire(host, port, seconds=seconds, is_new=is_new)

        entry._pool.acquire = acquire_unless_cut
