"""Requests and answers with header values that no part of a host expects."""

import asyncio
import time

from endivestream.version import document as document_lib
import hypothesis
from hypothesis import strategies as st
from loguru import logger

from tests import entry_site
from tests import standin
from tests import test_document

_TEAM = document_lib.Team(
    name="band", keys=("k",), rate=1e6, burst=1e6, by_tokens=True
)
_REQUIRED = {
    "Host": "a.example",
    "Content-Length": "0",
    "Authorization": "Bearer k",
}
_CALLER_HEADERS = (
    "X-Request-Id",
    "X-Deadline-Ms",
    "X-Model",
    "X-Tokens",
    "X-Prefix",
    "X-Resumes",
    "X-Priority",
    "Last-Event-ID",
    "Authorization",
    "Connection",
    "Keep-Alive",
    "Accept",
)
_TARGET_HEADERS = (
    "X-Request-Id",
    "X-Not-Run",
    "X-Rate-Limit",
    "X-Draining",
    "X-Brittle",
    "Retry-After",
    "Keep-Alive",
    "Content-Type",
)
_ODD_VALUES = st.one_of(
    st.sampled_from(
        (
            "",
            ",",
            "0",
            "-1",
            "nan",
            "-inf",
            "1e999",
            "1e308",
            "1e-320",
            "9" * 25,
            "9" * 5000,
            "timeout=" + "9" * 5000,
            "timeout=-1",
            "\xb2",
            "\xff\xfe",
            "a:1e999,b:nan",
            ":" * 500,
            "m/" * 300,
            "Bearer",
        )
    ),
    st.integers().map(str),
    st.floats().map(str),
    st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=40),
).filter(lambda text: not set(text) & set("\x7f\x85\xa0"))
_TIMEOUT_SECONDS = 5.0


def _draw(names, count):
    """Returns headers as hypothesis draws them, the same in each run."""
    drawn = []

    @hypothesis.given(
        st.dictionaries(st.sampled_from(names), _ODD_VALUES, min_size=1)
    )
    @hypothesis.settings(max_examples=count, database=None)
    def collect(headers):
        drawn.append(headers)

    collect()
    return drawn


def _encode(first, headers):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class OddHeaderTest(entry_site.EntrySite):
    """Guards against a header that ends a part of the host."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.errors = []
        sink = logger.add(self.errors.append, level="ERROR")
        self.addCleanup(logger.remove, sink)

    async def _ask(self, **headers):
        headers = _REQUIRED | headers
        caller = await standin.Caller(self.entries[0]._settings.callers).start()
        try:
            caller.writer.write(_encode("POST /x/ HTTP/1.1", headers))
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                return await caller.reply()
        finally:
            caller.close()

    async def _check_served(self):
        """Waits until a request is served; odd ones may have timed out."""
        async with asyncio.timeout(30):
            while (await self._ask(**{"X-Tokens": "100,10"})).status != 200:
                await asyncio.sleep(0.1)

    async def test_requests_with_odd_headers_are_answered(self):
        """Guards against a caller that ends a part of the host."""

        async def answers(request, writer):
            attempt = request.headers.get("X-Request-Id", "")
            head = {"Content-Length": "2", "X-Request-Id": attempt}
            writer.write(_encode("HTTP/1.1 200 OK", head) + b"ok")

        await self._apply(test_document.document(teams=[_TEAM]))
        await self._wait_in_force(1)
        await self._start_target(1, answers)
        for headers in _draw(_CALLER_HEADERS, 400):
            reply = await self._ask(**headers)
            self.assertNotEqual(reply.status, 0, repr(headers)[:300])
            self.assertEqual(self.errors, [], repr(headers)[:300])
        self.assertGreater(len(self.target.requests), 40)
        await self._check_served()

    async def test_odd_headers_of_answers_end_no_part(self):
        """Guards against a target whose answers end a part of the host."""
        await self._apply(test_document.document(teams=[_TEAM]))
        await self._wait_in_force(1)
        reached = 0
        for number, headers in enumerate(_draw(_TARGET_HEADERS, 100), 1):
            status = (200, 503)[number % 2]
            first = f"HTTP/1.1 {status} Word\r\nContent-Length: 2"
            answer = _encode(first, headers) + b"ok"
            await self._start_target(number, standin.says(answer))
            reply = await self._ask()
            self.assertNotEqual(reply.status, 0, repr(headers)[:300])
            self.assertEqual(self.errors, [], repr(headers)[:300])
            reached += bool(self.target.requests)
        self.assertGreater(reached, 90)
        await self._start_target(1000, standin.says(standin.answer()))
        await self._check_served()

    async def _start_target(self, number, script):
        """Replaces the target by a new process, which has announced nothing."""
        await self.target.close()
        self.target = await standin.Target(script).start()
        started_at_ms = int(time.time() * 1000)
        await self._register(number=number, started_at_ms=started_at_ms)
        await self._wait_until(lambda: self._started_at() == started_at_ms)

    def _started_at(self):
        target = self.entries[0]._view.targets.get("t1")
        return target.registration.started_at_ms if target else None
