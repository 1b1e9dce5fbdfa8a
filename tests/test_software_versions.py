"""Tests of streams beside targets of several software versions."""

import asyncio
import itertools
import unittest
from unittest import mock

from endivestream import clock
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import engines
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib
from endivestream.process import origin_directory
from endivestream.request import relay_hosts
from endivestream.request import resumptions
from endivestream.request import stream_origins
from endivestream.request import target_selection
from endivestream.version import document as document_lib
import hypothesis
from hypothesis import strategies as st
from tornado import httputil

from tests import entry_site
from tests import standin
from tests import test_cut_hosts
from tests import test_document
from tests import test_forward
from tests import test_plan

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

    async def test_answer_goes_on_at_its_software_version(self):
        """Guards against streams that end although their version serves."""
        self._route(test_forward.RESUMABLE)
        await self._start_target(breaks_off("a1", 1, 2), software="v1")
        other = await self._start_target(
            serves_rest, software="v2", domain="far"
        )
        await self._start_target(serves_rest, software="v1", domain="far")
        reply = await self.caller.ask(X_Request_Id="a1")
        self.assertEqual((reply.body, reply.whole), (body(1, 2, 3, 4), True))
        self.assertEqual([], other.requests)

    async def test_attempt_without_an_event_binds_nothing(self):
        """Guards against refusals of streams that have not begun."""
        self._route(test_forward.RESUMABLE)
        await self._start_target(breaks_off("a1"), software="v1")
        await self._start_target(serves_rest, software="v2", domain="far")
        reply = await self.caller.ask(X_Request_Id="a1")
        self.assertEqual((reply.body, reply.whole), (body(1, 2, 3, 4), True))
        (_, origin, _), *_ = self.bound
        self.assertEqual(("desk", "v2"), origin.key)

    async def _retake(self, **headers):
        """Resumes a stream that began at v1; returns the reply's status."""
        self._route(test_forward.RESUMABLE)
        origin = stream_origins.StreamOrigin(service="desk", software="v1")
        self.origins["a1"] = resumptions.Lookup(
            resumptions.Source.HOLDER, origin
        )
        reply = await self.caller.ask(
            X_Request_Id="a2", X_Deadline_Ms=900, **headers
        )
        return reply.status

    async def test_version_without_targets_is_refused_at_once(self):
        """Guards against callers that wait for a version that is gone."""
        self.view.set_complete(True)
        other = await self._start_target(serves_rest, software="v2")
        status = await self._retake(X_Resumes="a1", Last_Event_ID=2)
        self.assertEqual((503, 0, []), (status, self.waited, other.requests))
        self.assertEqual("no_software", self.ended[0].reason)

    async def test_unknown_beginning_is_refused(self):
        """Guards against a guess at the version of a stream."""
        target = await self._start_target(serves_rest, software="v1")
        for resumes in ({}, {"X_Resumes": "a9"}, {"X_Resumes": "a1, a1"}):
            status = await self._retake(Last_Event_ID=2, **resumes)
            self.assertEqual((503, []), (status, target.requests), resumes)
            self.assertEqual("origin_unknown", self.ended[-1].reason)

    async def test_unknown_beginning_goes_on_at_the_only_version(self):
        """Guards against refusals where no other version can have begun it."""
        self.sole_version = "v1"
        await self._start_target(serves_rest, software="v1")
        self.assertEqual(200, await self._retake(Last_Event_ID=2))

    async def test_target_that_restarts_between_selection_and_send(self):
        """Guards against a check that only the selection makes."""
        target = await self._start_target(serves_rest, software="v1")

        async def restart(seconds):
            self._register("t1", target.address, software="v2")

        with mock.patch.object(
            self.forwarder._sender._awaited_answers, "read_received", restart
        ):
            status = await self._retake(X_Resumes="a1", Last_Event_ID=2)
        self.assertEqual((503, []), (status, target.requests))


class _Codec:
    """Reports that contain the start time of a process and nothing else."""

    def ask_report(self):
        return engines.Request("GET", "/report", {}, b"")

    def report(self, report_body):
        return engines.Report(0, False, (), (), int(report_body))


class ProcessTest(test_forward.ForwardTest):
    codec = _Codec()

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self._route(test_forward.RESUMABLE, engine=test_plan.engine())
        self.started_at_ms = b"1"

    async def _serve(self, request, writer):
        if request.path == "/report":
            writer.write(standin.answer(body=self.started_at_ms))
        else:
            await serves_rest(request, writer)

    def _paths(self, target):
        return [request.path for request in target.requests]

    async def test_restarted_process_gets_no_stream_as_the_old_one(self):
        """Guards against versions that a table older than a process states."""
        loaded = (registry_lib.Loaded("a"),)
        target = await self._start_target(self._serve, loaded=loaded)
        self.started_at_ms = b"2"
        headers = {"X_Request_Id": "a1", "X_Model": "a", "X_Deadline_Ms": 900}
        reply = await self.caller.ask(**headers)
        self.assertEqual(
            (503, ["/report"]), (reply.status, self._paths(target))
        )
        self._register("t1", target.address, loaded=loaded, started_at_ms=2)
        reply = await self.caller.ask(**headers)
        self.assertEqual(body(1, 2, 3, 4), reply.body)
        # The process on a kept connection is known.
        await self.caller.ask(**headers)
        self.assertEqual(2, self._paths(target).count("/report"))

    async def test_connection_to_an_older_process_does_not_hide_the_new(self):
        """Guards against a restarted target that gets no requests at all."""
        loaded = (registry_lib.Loaded("a"),)
        target = await self._start_target(
            self._serve, loaded=loaded, started_at_ms=3
        )
        answers = iter((b"2", b"3", b"3"))

        async def serve(request, writer):
            if request.path == "/report":
                self.started_at_ms = next(answers)
            await self._serve(request, writer)

        target._scripts = [serve]
        reply = await self.caller.ask(X_Request_Id="a1", X_Model="a")
        self.assertEqual(body(1, 2, 3, 4), reply.body)

    async def test_target_without_a_report_gets_no_stream(self):
        """Guards against streams that hang where a report does."""
        loaded = (registry_lib.Loaded("a"),)
        target = await self._start_target(standin.hangs, loaded=loaded)
        await self._start_target(self._serve, loaded=loaded, domain="far")
        reply = await self.caller.ask(X_Request_Id="a1", X_Model="a")
        self.assertEqual(body(1, 2, 3, 4), reply.body)
        self.assertEqual({"/report"}, set(self._paths(target)))

    async def test_a_rate_limit_does_not_hide_a_restart(self):
        """Guards against streams of two versions at a limited target."""
        loaded = (registry_lib.Loaded("a"),)
        target = await self._start_target(self._serve, loaded=loaded)
        self.known_limits.record_answer("t1", 1, 9.0, clock.now())
        self.started_at_ms = b"2"
        headers = {"X_Request_Id": "a1", "X_Model": "a", "X_Deadline_Ms": 900}
        reply = await self.caller.ask(**headers)
        self.assertEqual(
            (503, ["/report"]), (reply.status, self._paths(target))
        )
        self.assertEqual(["t1"], self.queried)

    async def test_a_process_that_refuses_its_report_is_not_proved(self):
        """Guards against an overloaded process that passes as the listed."""
        loaded = (registry_lib.Loaded("a"),)

        async def serve(request, writer):
            if request.path == "/report":
                writer.write(standin.answer(503))
            else:
                await serves_rest(request, writer)

        target = await self._start_target(serve, loaded=loaded)
        await self._start_target(self._serve, loaded=loaded, domain="far")
        reply = await self.caller.ask(X_Request_Id="a1", X_Model="a")
        self.assertEqual(body(1, 2, 3, 4), reply.body)
        self.assertEqual({"/report"}, set(self._paths(target)))

    async def test_a_target_without_reports_gets_streams(self):
        """Guards against refusals where a target supports no reports."""
        loaded = (registry_lib.Loaded("a"),)

        async def serve(request, writer):
            if request.path == "/report":
                writer.write(standin.answer(404))
            else:
                await serves_rest(request, writer)

        await self._start_target(serve, loaded=loaded)
        reply = await self.caller.ask(X_Request_Id="a1", X_Model="a")
        self.assertEqual(body(1, 2, 3, 4), reply.body)


class OriginTableTest(unittest.TestCase):
    def test_records_are_bounded_and_conflicts_admit_nothing(self):
        """Guards against growth, and against one of two beginnings."""
        table = stream_origins.OriginTable()
        v1, v2 = (
            stream_origins.StreamOrigin(service="desk", software=software)
            for software in ("v1", "v2")
        )
        table.record("a", v1, 0.0, 10.0)
        self.assertIsNone(table.find("a", 10.0))
        table.record("a", v1, 10.0, 10.0)
        table.record("a", v2, 11.0, 10.0)
        self.assertIsNone(table.find("a", 12.0).software)
        with mock.patch.object(stream_origins, "_MAX_RECORDS", 2):
            for attempt in "bcd":
                table.record(attempt, v1, 12.0, 10.0)
        self.assertEqual((2, None), (len(table), table.find("b", 12.0)))


_VERSIONS = st.sampled_from(("v1", "v2", None))


class PropertyTest(unittest.TestCase):
    @hypothesis.given(st.data())
    def test_selection_keeps_the_version_and_goes_on_when_it_can(self, data):
        """Guards against mixes and needless refusals in any state of targets.

        Targets fail, drain, restart at other versions and lose their models.
        """
        view = target_selection.TargetView(domain="a")
        view.set_complete(True)
        origin = stream_origins.StreamOrigin(
            service="desk", software=data.draw(_VERSIONS), target="t0"
        )
        usable = set()
        for name in ("t0", "t1", "t2", "t3"):
            drains, lacks, fails, restarts = data.draw(
                st.tuples(*[st.booleans()] * 4)
            )
            for started_at_ms in (0, 1) if restarts else (0,):
                registration = registry_lib.Registration(
                    name=name,
                    service="desk",
                    address=name,
                    domain="a",
                    software=data.draw(_VERSIONS),
                    started_at_ms=started_at_ms,
                    draining=drains,
                    loaded=() if lacks else (registry_lib.Loaded("m"),),
                )
                target = site_messages.Target(registration=registration)
                view.set_targets([target], [], 0.0)
            requirements = target_selection.TargetRequirements("desk", "m")
            for _ in range(2 * fails):
                view.record_sent(name, requirements, 0.0)
                view.record_result(name, requirements, 0.0, failed=True)
            is_same = (name, started_at_ms) == ("t0", 0)
            if registration.software == origin.software and (
                is_same or origin.software is not None
            ):
                usable |= {name} - ({name} if drains + lacks + fails else set())
        requirements = requirements._replace(origin=origin)
        match view.pick(requirements, 0.0, limit=8):
            case target_selection.Selected(target=target):
                self.assertIn(target.registration.name, usable)
            case target_selection.Unavailable():
                self.assertEqual(set(), usable)

    @hypothesis.given(
        st.lists(st.sampled_from("abc"), min_size=5, max_size=40),
        st.data(),
    )
    def test_holders_are_found_after_hosts_are_lost(self, domains, data):
        """Guards against records that other hosts look for elsewhere."""
        hosts = [
            site_messages.EntryHost(f"e{n}", 1, domain, "", False, f"p{n}")
            for n, domain in enumerate(domains)
        ]
        writer, reader = (
            origin_directory.OriginDirectory(name=name, context=None)
            for name in ("e0", "e1")
        )
        writer.set_hosts(hosts)
        copies = set(writer._holders("a1", writer._writable_hosts))
        lost = data.draw(st.sets(st.sampled_from(sorted(copies)), max_size=1))
        names = {"e0", *(holder.name for holder in lost)}
        reader.set_hosts([host for host in hosts if host.name not in names])
        asked = {*reader._holders("a1", reader._writable_hosts)}
        asked |= {holder for holder in copies if holder.name == "e1"}
        self.assertTrue(asked & (copies - lost))
        if len(set(domains[1:])) > 1:
            self.assertGreater(len({holder.domain for holder in copies}), 1)


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
            **{"timeout": 5.0, "objective": 1.0} | route,
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
            entry,
            **{"X_Request_Id": "a2", "X_Deadline_Ms": 2000} | headers,
        )

    async def test_retake_elsewhere_does_not_go_on_at_another_version(self):
        """Guards against a caller's stream with events of two versions."""
        await self._begin()
        other = await self._start_target("t2", "v2", serves_rest)
        reply = await self._retake(self.entries[1])
        self.assertEqual([], other.requests)
        self.assertEqual(reply.status, 503)

    async def test_retake_goes_on_at_its_version_at_any_host(self):
        """Guards against records lost with the host where streams begin."""
        await self._begin()
        await self._start_target("t2", "v2", serves_rest)
        await self._start_target("t3", "v1", serves_rest)
        await self.entries[0].close()
        for attempt in ("a2", "a3"):
            # Further retakes name the first attempt again.
            reply = await self._retake(self.entries[1], X_Request_Id=attempt)
            self.assertEqual((body(3, 4), True), (reply.body, reply.whole))
            self.assertEqual([], self.targets["t2"][0].requests)


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

    async def test_relay_host_goes_on_at_the_version_of_the_beginning(self):
        """Guards against relays that lose where a stream began."""
        await self._serve(max_attempts=3)
        cut, _ = self.entries
        await self._start_target("t1", "v1", breaks_off("a1", 1, 2))
        self._cut(cut)
        reply = await self._send_request(
            cut, X_Request_Id="a1", X_Deadline_Ms=500
        )
        self.assertEqual((reply.body, reply.whole), (body(1, 2), False))
        self.assertNotIn(relay_hosts.ORIGIN_HEADER, reply.headers)
        await self._end_target("t1")
        other = await self._start_target("t2", "v2", serves_rest)
        reply = await self._send_request(
            cut, X_Request_Id="a2", X_Resumes="a1", Last_Event_ID=2
        )
        self.assertEqual((503, []), (reply.status, other.requests))
        await self._start_target("t3", "v1", serves_rest)
        self._cut(cut)
        reply = await self._send_request(
            cut, X_Request_Id="a3", X_Resumes="a1", Last_Event_ID=2
        )
        self.assertEqual((body(3, 4), True), (reply.body, reply.whole))
        self.assertEqual([], other.requests)

    async def test_older_builds_refuse_relayed_streams(self):
        """Guards against relay hosts that ignore where a stream began."""
        headers = httputil.HTTPHeaders()
        kind = document_lib.Kind.STREAM
        route = test_document.route(kind=kind, resumable=True)
        text = relay_hosts.RelayedRequest(host="e0", version=1).encode()
        headers[relay_hosts.request_header(route)] = text
        self.assertNotIn(relay_hosts.REQUEST_HEADER, headers)
        self.assertEqual("e0", relay_hosts.take_relayed_request(headers).host)

    def _cut(self, entry):
        addresses = {target.address for target, _ in self.targets.values()}
        acquire = entry._pool.acquire

        async def acquire_unless_cut(host, port, *, seconds, is_new=False):
            if f"{host}:{port}" in addresses:
                raise exchange_lib.ExchangeError("refused", sent=False)
            return await acquire(host, port, seconds=seconds, is_new=is_new)

        entry._pool.acquire = acquire_unless_cut
