"""The path of one caller's request on an entry host.

    admission   lease, route, key: refused here means "not run"
    credit      the team's, from this host's portions
    choice      a target that can take it, waiting for one if that pays
    sending     one attempt with one target, its answer passed back
    again       elsewhere, where nothing has run or it may run twice

Nothing here asks a control host, except for credit that this host lacks.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
from typing import NamedTuple

from endivestream import clock
from endivestream import findings
from endivestream import logs
from endivestream.request import admission
from endivestream.request import call as call_lib
from endivestream.request import choice as choice_lib
from endivestream.request import forward_parts
from endivestream.request import lease_queue
from endivestream.request import patience as patience_lib
from endivestream.request import sending
from endivestream.version import document as document_lib

# It holds out for a place on an engine that is not full for this multiple;
# after that it takes its turn in a full engine's own queue.
_PLACE_OBJECTIVES = 0.3
# One that gets its credit within this multiple can still be in time.
_SOON_OBJECTIVES = 0.5
# How often a request that no target wants is offered again, at most.
_REFUSALS = 6
# Pause after a refusal by a target, before another is asked.
_REFUSED_SECONDS = 0.02
# A request that was broken off late still gets so long to find a place.
_LEAST_WAIT = 0.1


@dataclasses.dataclass(kw_only=True)
class _Active:
    """A request under way.

    Attributes:
        call: The caller's side of it.
        progress: What has happened to it.
        work: The admitted request; None until it is.
        is_stopped: Whether it is ended because the host stops.
    """

    call: call_lib.Call
    progress: sending.Progress
    work: admission.Work | None = None
    is_stopped: bool = False


class _Over(NamedTuple):
    """The caller has had all that it will get."""


class Forwarder:
    """Serves callers' requests. Lives as long as the process."""

    def __init__(self, *, parts: forward_parts.Parts) -> None:
        self._parts = parts
        self._sender = sending.Sender(
            names=parts.rules.names,
            view=parts.view,
            pool=parts.pool,
            idle=parts.idle,
            freed=parts.freed,
            heard_limit=parts.heard_limit,
        )
        self._active: dict[asyncio.Task[None], _Active] = {}
        self._lease_queue = lease_queue.LeaseQueue(
            rules=parts.rules, changed=parts.changed, confirm=parts.confirm
        )

    async def serve(self, call: call_lib.Call) -> None:
        """Serves one request to its end."""
        progress = sending.Progress()
        active = _Active(call=call, progress=progress)
        task = asyncio.current_task()
        assert task is not None
        self._active[task] = active
        try:
            await self._serve(active)
        except call_lib.GoneError:
            progress.reason = "caller_gone"
        except asyncio.CancelledError:
            progress.reason = "caller_gone"
            if not active.is_stopped:
                raise
            task.uncancel()
            await self._answer_stopped(active)
        finally:
            del self._active[task]
            self._log(call, active.work, progress)

    async def _serve(self, active: _Active) -> None:
        call, progress = active.call, active.progress
        failure: findings.Failure | None
        admitted = await self._lease_queue.admit(call)
        if isinstance(admitted, findings.Failure):
            failure = admitted
        else:
            active.work = admitted
            self._parts.asked(admitted)
            failure = await self._run(call, admitted, progress)
        if failure is not None:
            progress.reason = failure.reason
            await self._fail(call, progress, failure)

    def stop_waiting(self) -> None:
        """Refuses requests that wait and that a stopping host cannot finish."""
        for task, active in list(self._active.items()):
            kind = document_lib.Kind.STREAM
            if active.work is not None:
                kind = active.work.route.kind
            if not active.progress.is_sent and not self._parts.rules.takes(
                kind
            ):
                self._stop(task, active)

    def stop_all(self) -> None:
        """Gives all requests that have had no answer their final one."""
        for task, active in list(self._active.items()):
            self._stop(task, active)

    def _stop(self, task: asyncio.Task[None], active: _Active) -> None:
        if active.is_stopped or active.call.begun:
            # An answer on its way out goes on while the process runs.
            return
        active.is_stopped = True
        logs.event(
            "request_stopped",
            request=active.call.headers.get(
                self._parts.rules.names.request, ""
            ),
            stage=active.progress.stage,
        )
        task.cancel()

    async def _answer_stopped(self, active: _Active) -> None:
        call, progress, work = active.call, active.progress, active.work
        failure = admission.stopping()
        if work is not None:
            failure = self._stopped(work, progress)
        progress.reason = "stopping"
        try:
            await self._fail(call, progress, failure)
        except call_lib.GoneError:
            progress.reason = "caller_gone"

    def _log(
        self,
        call: call_lib.Call,
        work: admission.Work | None,
        progress: sending.Progress,
    ) -> None:
        now = clock.now()
        known = work is not None
        ended = forward_parts.Ended(
            route=work.route.name if known else "",
            kind=work.route.kind if known else "",
            team=work.team.name if known and work.team else "",
            status=progress.status,
            reason=progress.reason,
            waited=(progress.waited or now) - call.came,
            first=(progress.first or now) - call.came,
            total=now - call.came,
            gap=progress.gap,
            tries=progress.sends,
        )
        self._parts.observe(ended)
        table = self._parts.rules.table()
        logs.event(
            "request",
            request=call.headers.get(self._parts.rules.names.request, ""),
            route=ended.route,
            team=ended.team,
            cost=work.cost if known else 0.0,
            model=work.model if known else "",
            adapter=work.adapter if known else "",
            target=progress.target,
            status=ended.status,
            reason=ended.reason,
            tries=ended.tries,
            refusals=progress.refusals,
            waited_ms=ended.waited * 1e3,
            first_ms=ended.first * 1e3,
            gap_ms=progress.gap * 1e3,
            turn_ms=progress.turn * 1e3,
            total_ms=ended.total * 1e3,
            version=table.document.version if table else 0,
            lease_s=self._parts.rules.lease_until() - now,
        )

    # The request's way through.

    async def _run(
        self,
        call: call_lib.Call,
        work: admission.Work,
        progress: sending.Progress,
    ) -> findings.Failure | None:
        """Returns None once a whole answer has been passed on."""
        progress.stage = "credit"
        refused = await self._charge(work)
        if refused is not None:
            return refused
        self._parts.repeats(work.service.name).came(clock.now())
        try:
            return await self._attempts(call, work, progress)
        finally:
            if not progress.may_have_run and work.team is not None:
                self._parts.credit.refund(work.team, work.cost)

    async def _charge(self, work: admission.Work) -> findings.Failure | None:
        if work.team is None or work.team.rate <= 0:
            return None
        now = clock.now()
        until = patience_lib.until_place(
            route=work.route, came=work.came, heard=0.0, deadline=work.deadline
        )
        soon = min(work.deadline - now, work.route.objective * _SOON_OBJECTIVES)
        short = await self._parts.credit.take(
            work.team,
            work.cost,
            soon=max(0.0, soon),
            patience=max(0.0, until - now),
        )
        if short is None:
            return None
        what = f"team {work.team.name} is over its rate"
        return findings.not_run(
            "over_rate", what, status=429, retry_after=short
        )

    async def _attempts(
        self,
        call: call_lib.Call,
        work: admission.Work,
        progress: sending.Progress,
    ) -> findings.Failure | None:
        while True:
            progress.stage = "place"
            target = await self._find(work, progress)
            if isinstance(target, choice_lib.Picked) and (
                await self._waited_for_turn(work, progress, target)
            ):
                # Things have changed meanwhile.
                target = await self._find(work, progress)
            if isinstance(target, findings.Failure):
                return target
            if not await self._permitted(work, progress, target):
                continue
            progress.stage = "repeat"
            if progress.sends and not await self._may_repeat(work):
                return self._given_up(work, progress, "no_repeats_left")
            result = await self._sender.send(call, work, progress, target)
            match result:
                case sending.Passed(status=status):
                    progress.status = status
                    progress.reason = "served"
                    return None
                case sending.Refused():
                    failure = await self._after_refusal(work, progress, result)
                case sending.Broken():
                    failure = await self._after_break(
                        call, work, progress, result
                    )
            if isinstance(failure, _Over):
                return None
            if failure is not None:
                return failure

    async def _permitted(
        self,
        work: admission.Work,
        progress: sending.Progress,
        picked: choice_lib.Picked,
    ) -> bool:
        """Whether a target that names a limit takes this request now."""
        said = picked.target.said
        view = self._parts.view
        if not view.is_rate_limited(said):
            return True
        progress.stage = "limit"
        now = clock.now()
        until = self._until_place(work, progress)
        again = await self._parts.permit(said, max(0.0, until - now))
        if again is not None:
            view.block(said.name, clock.now() + again)
            return False
        # It may have begun to leave, or to unload the model, meanwhile.
        return view.still_takes(said, sending.ask(work, progress))

    async def _may_repeat(self, work: admission.Work) -> bool:
        service = work.service.name
        if self._parts.repeats(service).spend(clock.now()):
            return True
        return await self._parts.ask_repeat(service)

    async def _after_refusal(
        self,
        work: admission.Work,
        progress: sending.Progress,
        refused: sending.Refused,
    ) -> findings.Failure | None:
        progress.refusals += 1
        if refused.what:
            self._parts.view.denied(progress.target, refused.what)
        left = work.deadline - clock.now()
        if progress.refusals >= _REFUSALS or left <= _REFUSED_SECONDS:
            return self._given_up(work, progress, f"refused_{refused.status}")
        if not refused.what:
            await asyncio.sleep(_REFUSED_SECONDS * progress.refusals)
        return None

    async def _after_break(
        self,
        call: call_lib.Call,
        work: admission.Work,
        progress: sending.Progress,
        broken: sending.Broken,
    ) -> findings.Failure | _Over | None:
        """Decides whether a request that broke is sent again.

        Returns:
            The failure to answer with, or None to send it again.
        """
        if not broken.sent:
            progress.refusals += 1
            if progress.refusals >= _REFUSALS:
                return self._given_up(work, progress, broken.why)
            return None
        progress.tried.append(progress.target)
        again = (
            work.route.repeatable
            and len(progress.tried) < work.route.attempts
            and clock.now() < work.deadline
        )
        if again:
            return None
        if call.begun:
            # Part of an answer has gone out; what follows must not make it
            # look whole.
            call.abort()
            progress.reason = broken.why
            return _Over()
        if broken.answer is not None:
            await self._sender.pass_whole(call, progress, broken.answer)
            progress.reason = broken.why
            return _Over()
        return self._given_up(work, progress, broken.why)

    def _stopped(
        self, work: admission.Work, progress: sending.Progress
    ) -> findings.Failure:
        """Returns the answer to a request that waits on a stopping host."""
        if progress.may_have_run:
            return self._given_up(work, progress, "stopping")
        return admission.stopping()

    def _given_up(
        self,
        work: admission.Work,
        progress: sending.Progress,
        why: str,
        expected: float | None = None,
    ) -> findings.Failure:
        """Returns the final answer of a request that was not served.

        Args:
            work: The request.
            progress: What has happened to it.
            why: The reason, for the caller and the log.
            expected: When it could be served, if that is known.
        """
        now = clock.now()
        late = now >= work.deadline
        if not progress.may_have_run:
            again = patience_lib.come_back(
                expected=expected, now=now, usual=admission.COME_BACK_SECONDS
            )
            return findings.not_run(
                why,
                f"no target took it: {why}",
                status=503,
                retry_after=None if late else again,
            )
        return findings.Failure(
            outcome=findings.Outcome.UNKNOWN,
            reason=why,
            detail=f"it may have run: {why}",
            status=504 if late else 502,
        )

    # Choice.

    async def _find(
        self, work: admission.Work, progress: sending.Progress
    ) -> choice_lib.Picked | findings.Failure:
        """Returns a target, after waiting for one if that pays."""
        holds_out = work.came + work.route.objective * _PLACE_OBJECTIVES
        until = self._until_place(work, progress)
        until = min(work.deadline, max(until, clock.now() + _LEAST_WAIT))
        stop_missing = None
        try:
            while True:
                now = clock.now()
                if self._parts.rules.lease_until() < now:
                    return admission.no_lease()
                ask = sending.ask(work, progress, waits=now < holds_out)
                found = self._parts.view.pick(ask, now, limit=work.limit)
                if isinstance(found, choice_lib.Picked):
                    self._parts.found(work)
                    return found
                if now >= until or (found.expected or now) > until:
                    return self._given_up(
                        work, progress, found.reason, found.expected
                    )
                if not self._parts.rules.takes(work.route.kind):
                    # It would still wait when the process ends, and its
                    # caller would get a closed connection.
                    return self._stopped(work, progress)
                if stop_missing is None and found.reason in (
                    "no_model",
                    "no_adapter",
                ):
                    stop_missing = self._parts.missing(work)
                await self._parts.changed(min(until - now, 0.1))
        finally:
            if stop_missing is not None:
                stop_missing()

    def _until_place(
        self, work: admission.Work, progress: sending.Progress
    ) -> float:
        return patience_lib.until_place(
            route=work.route,
            came=work.came,
            heard=progress.last,
            deadline=work.deadline,
        )

    async def _waited_for_turn(
        self,
        work: admission.Work,
        progress: sending.Progress,
        picked: choice_lib.Picked,
    ) -> bool:
        """Waits until an engine should get this prompt; False if at once."""
        if progress.sends or not work.prompt or work.service.engine is None:
            return False
        said = picked.target.said
        rank = sending.priority(work)
        wait = await self._parts.turn(said.name, said.domain, work.prompt, rank)
        now = clock.now()
        self._parts.view.set_turn(said.name, now + wait)
        until = patience_lib.until_turn(
            route=work.route, came=work.came, now=now, deadline=work.deadline
        )
        wait = min(wait, until - now)
        if wait <= 0:
            return False
        progress.turn = wait
        progress.stage = "turn"
        await asyncio.sleep(wait)
        return True

    # One attempt.

    async def _fail(
        self,
        call: call_lib.Call,
        progress: sending.Progress,
        failure: findings.Failure,
    ) -> None:
        if call.begun:
            call.abort()
            return
        progress.status = failure.status
        headers = {"Content-Type": "text/plain; charset=utf-8"}
        if failure.retry_after is not None:
            # Rounded up: who comes back too early is refused once more.
            seconds = math.ceil(failure.retry_after * 100) / 100
            headers[self._parts.rules.names.retry_after] = (
                f"{max(0.05, seconds):g}"
            )
        body = f"{failure.reason}: {failure.detail}\n".encode()
        await call.answer(failure.status, headers, body)
