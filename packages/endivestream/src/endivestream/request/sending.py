"""One attempt: a request goes to one target, its answer back to the caller.

Streams are passed on as they come, other answers once they are whole. Nothing
that broke off ever looks whole, and nothing is passed on that may be another
request's answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import math
from typing import NamedTuple

from tornado import httputil

from endivestream import clock
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib
from endivestream.request import admission
from endivestream.request import call as call_lib
from endivestream.request import choice as choice_lib
from endivestream.request import names as names_lib
from endivestream.request import sse
from endivestream.version import document as document_lib

# To reach a target. One that is up answers within a few milliseconds; one
# whose packets are lost would cost the objective of most requests.
_CONNECT_SECONDS = 0.4
# An answer that is not a stream is kept whole before any of it goes out, so
# that a broken one can be sent again or told as broken; larger ones are not.
_WHOLE_BYTES = 256 * 1024
# An idempotent request that gets no answer within this multiple of its
# objective is sent to another target.
_HEDGE_OBJECTIVES = 2.0


@dataclasses.dataclass(kw_only=True)
class Progress:
    """What has happened to a request so far.

    Attributes:
        tried: Targets that may have run it.
        refusals: How often targets refused it without running it.
        sends: How often it was sent.
        may_have_run: Whether some target may have run it.
        last_event: The last event passed on, in a stream.
        waited: When it was first sent.
        first: When the first byte of the answer was there.
        last: When a piece of a stream was last passed on.
        turn: How long it waited for its turn at an engine, in seconds.
        gap: Longest pause between two pieces of a stream so far, in seconds.
        status: The status sent.
        reason: Why it ended.
        target: The last target.
        starting: What the attempt under way needs, until its first event.
        stage: What it waits for: `lease`, `credit`, `place`, `turn`, `limit`,
            `repeat` or `target`.
    """

    tried: list[str] = dataclasses.field(default_factory=list)
    refusals: int = 0
    sends: int = 0
    may_have_run: bool = False
    last_event: bytes = b""
    waited: float = 0.0
    first: float = 0.0
    last: float = 0.0
    turn: float = 0.0
    gap: float = 0.0
    status: int = 0
    reason: str = ""
    target: str = ""
    starting: choice_lib.Ask | None = None
    stage: str = "lease"

    @property
    def is_sent(self) -> bool:
        """Whether an attempt with a target is under way."""
        return self.stage == "target"


class Refused(NamedTuple):
    """A target proved that it has not run the request.

    Attributes:
        status: Its status.
        what: What it lacks, for status 421; else empty.
    """

    status: int
    what: str


class Broken(NamedTuple):
    """An attempt that ended without a whole answer.

    Attributes:
        sent: Whether any byte of the request may have left.
        why: For the log.
        answer: What the target answered, if it was a failure of its own.
    """

    sent: bool
    why: str
    answer: Answer | None = None


class Answer(NamedTuple):
    """A whole answer of a target."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class Passed(NamedTuple):
    """The answer has gone to the caller, whole."""

    status: int


Result = Refused | Broken | Passed


class Sender:
    """Sends requests to targets. Lives as long as the process."""

    def __init__(
        self,
        *,
        names: names_lib.HeaderNames,
        view: choice_lib.View,
        pool: exchange_lib.Pool,
        idle: Callable[[], None],
        freed: Callable[[], None],
        heard_limit: Callable[[registry_lib.Registration, str | None], None],
    ) -> None:
        """Opens nothing yet.

        Args:
            names: Header names.
            view: Targets; told of every attempt.
            pool: Connections to targets.
            idle: Told when the last run of a model that is to go has ended.
            freed: Told when a place on a target may be free.
            heard_limit: Told what each answer of a target says of the
                requests that it takes; None if it says nothing.
        """
        self._names = names
        self._view = view
        self._pool = pool
        self._idle = idle
        self._freed = freed
        self._heard_limit = heard_limit

    async def send(
        self,
        call: call_lib.Call,
        work: admission.Work,
        progress: Progress,
        picked: choice_lib.Picked,
    ) -> Result:
        """Makes one attempt; `progress` is told what became of it."""
        said = picked.target.said
        view = self._view
        progress.target = said.name
        progress.stage = "target"
        progress.sends += 1
        progress.waited = progress.waited or clock.now()
        exchange = exchange_lib.Exchange(
            pool=self._pool, url=f"http://{said.address}/"
        )
        asked = ask(work, progress)
        view.sent(said.name, asked, clock.now())
        progress.starting = asked
        # Until it is known how the attempt ended, a caller who leaves says
        # nothing of the target.
        failed = False
        try:
            result = await self._exchange(call, work, progress, exchange, said)
            failed = _is_at_fault(result)
            return result
        finally:
            exchange.close()
            self._started(progress)
            if view.ended(said.name, asked, clock.now(), failed=failed):
                self._idle()
            self._freed()

    async def _exchange(
        self,
        call: call_lib.Call,
        work: admission.Work,
        progress: Progress,
        exchange: exchange_lib.Exchange,
        said: registry_lib.Registration,
    ) -> Result:
        try:
            async with asyncio.timeout_at(
                _loop_time(self._until(work, progress))
            ):
                left = work.deadline - clock.now()
                await exchange.start(
                    call.method,
                    call.uri,
                    self._headers(call, work, progress, said.name),
                    call.body,
                    connect_seconds=min(_CONNECT_SECONDS, max(0.01, left)),
                )
                head = await exchange.head(seconds=work.route.timeout)
                self._note_limit(work, said, head)
                return await self._answer(call, work, progress, exchange, head)
        except TimeoutError:
            progress.may_have_run = progress.may_have_run or exchange.sent
            return Broken(exchange.sent, "timeout")
        except exchange_lib.ExchangeError as error:
            progress.may_have_run = progress.may_have_run or error.sent
            return Broken(error.sent, "broke_off" if error.sent else "no_way")
        except asyncio.CancelledError:
            progress.may_have_run = progress.may_have_run or exchange.sent
            raise

    def _note_limit(
        self,
        work: admission.Work,
        said: registry_lib.Registration,
        head: exchange_lib.Head,
    ) -> None:
        names = self._names
        if head.headers.get(names.request, "") != work.request:
            return
        text = head.headers.get(names.rate_limit)
        # A refusal may come from another target that has taken the address
        # over, so it does not end a limit.
        if text is not None or head.status != 421:
            self._heard_limit(said, text)

    def _started(self, progress: Progress) -> None:
        """Notes once for each attempt that its prompt has been read."""
        if progress.starting is not None:
            self._view.started(progress.target, progress.starting)
            progress.starting = None

    def _until(self, work: admission.Work, progress: Progress) -> float:
        """Returns until when one attempt may take."""
        more = len(progress.tried) + 1 < work.route.attempts
        if work.route.kind == document_lib.Kind.IDEMPOTENT and more:
            hedge = clock.now() + _HEDGE_OBJECTIVES * work.route.objective
            return min(work.deadline, hedge)
        return work.deadline

    def _headers(
        self,
        call: call_lib.Call,
        work: admission.Work,
        progress: Progress,
        target: str,
    ) -> httputil.HTTPHeaders:
        names = self._names
        dropped = {
            *call_lib.HOP_HEADERS,
            *(
                name.strip().title()
                for name in call.headers.get("Connection", "").split(",")
            ),
            "Content-Length",
            "Authorization",
            names.deadline_ms,
            names.team,
            names.instance,
            names.priority,
            *names.reserved,
        }
        fields = httputil.HTTPHeaders()
        for name, value in call.headers.get_all():
            if name not in dropped:
                fields.add(name, value)
        left = work.deadline - clock.now()
        if math.isfinite(left):
            fields[names.deadline_ms] = str(max(1, int(left * 1000)))
        fields[names.instance] = target
        if work.team is not None:
            fields[names.team] = work.team.name
        fields[names.priority] = str(priority(work))
        if progress.last_event:
            fields[names.last_event] = progress.last_event.decode("latin-1")
        return fields

    async def _answer(
        self,
        call: call_lib.Call,
        work: admission.Work,
        progress: Progress,
        exchange: exchange_lib.Exchange,
        head: exchange_lib.Head,
    ) -> Result:
        names = self._names
        self._view.heard(progress.target, clock.now())
        if head.headers.get(names.request, "") != work.request:
            # An answer to an earlier request, sent late on this connection.
            # One that names no request may be that as well.
            progress.may_have_run = True
            return Broken(True, "crossed_answer")
        if head.status == 421 or names.not_run in head.headers:
            what = ""
            if head.status == 421:
                what = _lacking(work)
            return Refused(head.status, what)
        progress.may_have_run = True
        if call.begun and head.status >= 300:
            # The rest of a stream was asked for; a failure is no part of it.
            return Broken(True, f"target_{head.status}")
        if work.route.kind == document_lib.Kind.STREAM and head.status < 300:
            return await self._stream(call, work, progress, exchange, head)
        return await self._whole(call, work, progress, exchange, head)

    async def _whole(
        self,
        call: call_lib.Call,
        work: admission.Work,
        progress: Progress,
        exchange: exchange_lib.Exchange,
        head: exchange_lib.Head,
    ) -> Result:
        """Passes an answer on once it has come whole."""
        parts: list[bytes] = []
        size = 0
        async for chunk in exchange.chunks(silence=work.route.timeout):
            progress.first = progress.first or clock.now()
            self._view.heard(progress.target, clock.now())
            size += len(chunk)
            if call.begun:
                await call.write(chunk)
                continue
            parts.append(chunk)
            if size > _WHOLE_BYTES:
                headers = _passed_headers(head.headers)
                progress.status = head.status
                await call.begin(head.status, headers, b"".join(parts))
        if call.begun:
            call.finish()
            return Passed(head.status)
        answer = Answer(head.status, head.headers, b"".join(parts))
        if head.status >= 500:
            return Broken(True, f"target_{head.status}", answer)
        await self.pass_whole(call, progress, answer)
        return Passed(head.status)

    async def pass_whole(
        self, call: call_lib.Call, progress: Progress, answer: Answer
    ) -> None:
        """Passes a whole answer on as it is."""
        headers = _passed_headers(answer.headers)
        if "Transfer-Encoding" in answer.headers or (
            "Content-Length" not in headers
        ):
            headers["Content-Length"] = str(len(answer.body))
        progress.status = answer.status
        await call.begin(answer.status, headers, answer.body)
        call.finish()

    async def _stream(
        self,
        call: call_lib.Call,
        work: admission.Work,
        progress: Progress,
        exchange: exchange_lib.Exchange,
        head: exchange_lib.Head,
    ) -> Result:
        """Passes events on as they come."""
        cutter = sse.Cutter()
        before = math.inf
        async for chunk in exchange.chunks(silence=work.route.timeout):
            now = clock.now()
            progress.gap = max(progress.gap, now - before)
            before = now
            self._view.heard(progress.target, now)
            self._started(progress)
            if work.route.resumable:
                # Only whole events: another target goes on after the last.
                events = cutter.feed(chunk)
                chunk = b"".join(event.raw for event in events)
                for event in events:
                    progress.last_event = event.id or progress.last_event
            if not chunk:
                continue
            progress.last = clock.now()
            progress.first = progress.first or progress.last
            if not call.begun:
                headers = _passed_headers(head.headers)
                progress.status = head.status
                await call.begin(head.status, headers, chunk)
            else:
                await call.write(chunk)
        if not call.begun:
            await call.begin(head.status, _passed_headers(head.headers))
        if cutter.rest:
            await call.write(cutter.rest)
        call.finish()
        return Passed(head.status)


def ask(
    work: admission.Work, progress: Progress, *, waits: bool = False
) -> choice_lib.Ask:
    """Returns what a request needs of a target.

    Args:
        work: The request.
        progress: What has happened to it.
        waits: Whether it can still wait for a place on a full engine.
    """
    on_engine = work.service.engine is not None
    return choice_lib.Ask(
        service=work.service.name,
        model=work.model if on_engine else "",
        adapter=work.adapter if on_engine else "",
        session=work.session,
        tried=tuple(progress.tried),
        rank=priority(work),
        waits=waits,
    )


def _is_at_fault(result: Result) -> bool:
    """Whether a target broke the request, so that it may break others."""
    match result:
        case Broken(answer=answer):
            return answer is None
        case Refused(status=status, what=what):
            # Another target has taken the address over.
            return status == 421 and not what
    return False


def priority(work: admission.Work) -> int:
    """Returns 0 to 9: the team's rank, or the route's if it has none."""
    rank = work.route.priority
    if work.team is not None and work.team.priority is not None:
        rank = work.team.priority
    return min(9, max(0, rank))


def _lacking(work: admission.Work) -> str:
    """Returns what a target lacks that says it cannot take the request."""
    return f"{work.model}/{work.adapter}" if work.adapter else work.model


def _passed_headers(headers: httputil.HTTPHeaders) -> httputil.HTTPHeaders:
    """Returns a target's headers without those of its connection."""
    passed = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name not in call_lib.HOP_HEADERS:
            passed.add(name, value)
    return passed


def _loop_time(when: float) -> float | None:
    """Returns a time of the boot clock as a time of the event loop."""
    if math.isinf(when):
        return None
    return asyncio.get_running_loop().time() + (when - clock.now())
