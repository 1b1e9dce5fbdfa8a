"""What all routes for callers have in common: keys, credit, failures.

Each request runs in a task of its own beside the handler, so that it can be
ended from outside: by a withdrawn key, or because the caller has left.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import time
from typing import Any
from typing import NamedTuple
from typing import TypeVar

import msgspec
from tornado import iostream
from tornado import web

from endivestream import findings
from endivestream import logs
from endivestream import messages
from endivestream.connection import exchange as exchange_lib
from endivestream.process import gateway as gateway_lib
from endivestream.request import attempts as attempts_lib
from endivestream.request import retries
from endivestream.request import sse
from endivestream.version import configuration as configuration_lib

_Result = TypeVar("_Result")

# Headers that belong to one connection, or that would show a target the
# caller's key.
NOT_PASSED_ON = frozenset(
    [
        "accept-encoding",
        "authorization",
        "connection",
        "content-length",
        "cookie",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-api-key",
    ]
)


class Parts(NamedTuple):
    """What all handlers share.

    Attributes:
        gateway: The process's gateway.
        pool: Connections to targets.
        budget: The retry budget.
        rng: Source of jitter.
    """

    gateway: gateway_lib.Gateway
    pool: exchange_lib.Pool
    budget: retries.Budget
    rng: random.Random


class Handler(web.RequestHandler):
    """What all routes for callers have in common."""

    def initialize(self, parts: Parts) -> None:
        """Takes what the routes share; the library calls this."""
        self.parts = parts
        self.gateway = parts.gateway

    def set_default_headers(self) -> None:
        """Names the product and nothing more."""
        self.set_header("Server", "endivestream")

    def prepare(self) -> None:
        """Has callers of a stopping host go elsewhere."""
        if self.gateway.draining:
            # A caller that keeps this connection would be cut by the stop.
            self.set_header("Connection", "close")

    def send_failure(self, failure: findings.Failure) -> None:
        """Answers with a failure, or ends a begun stream with it."""
        if not self._headers_written:
            self.set_status(failure.status)
            if failure.retry_after is not None and failure.retry_after >= 0:
                seconds = max(1, round(failure.retry_after + 0.5))
                self.set_header("Retry-After", str(seconds))
            self.set_header("Content-Type", "application/json")
            self.finish(msgspec.json.encode(failure.as_json()))
            return
        # A typed end, and no final marker: it cannot be taken for whole.
        self.write(sse.encode(msgspec.json.encode(failure.as_json())))
        self.finish()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers a fault that no route handled, in the usual shape."""
        outcome = findings.Outcome.UNKNOWN
        if status_code in (404, 405):
            outcome = findings.Outcome.NOT_RUN
        failure = findings.Failure(
            outcome=outcome,
            reason="not_found" if status_code == 404 else "internal_error",
            detail=self._reason,
            status=status_code,
        )
        self.send_failure(failure)


class KeyHandler(Handler):
    """A route that needs a key."""

    _work: asyncio.Task[findings.Failure | None] | None = None
    _running: gateway_lib.Running | None = None

    def check_key(self) -> configuration_lib.KeyRecord | findings.Failure:
        """Returns the caller's key, if this host may act on it."""
        failure = self.gateway.lost_lease()
        if failure is not None:
            return failure
        header = self.request.headers.get("Authorization", "")
        scheme, _, presented = header.partition(" ")
        presented = presented.strip()
        if scheme.lower() != "bearer" or not presented:
            return findings.not_run(
                "key_missing",
                "send your key as 'Authorization: Bearer KEY'",
                status=401,
            )
        key = self.gateway.view.key(presented)
        if key is None:
            return findings.not_run(
                "key_unknown", "this key is not valid", status=401
            )
        if self._leaks(presented):
            return findings.not_run(
                "key_in_request",
                "the key stands in the address or body, where a target would "
                "see it; send it in the Authorization header only",
                status=400,
            )
        return key

    def _leaks(self, presented: str) -> bool:
        request = self.request
        if presented in request.uri or presented.encode() in request.body:
            return True
        return any(
            presented in value
            for name, value in request.headers.get_all()
            if name.lower() not in NOT_PASSED_ON
        )

    async def serve(self, kind: str) -> None:
        """Runs `work` under the caller's key, and answers what it gives."""
        begun = time.monotonic()
        request = self.gateway.new_id()
        self.set_header("Endivestream-Request", request)
        key = self.check_key()
        if isinstance(key, findings.Failure):
            self._log_end(kind, request, None, key, begun)
            self.send_failure(key)
            return
        self._work = asyncio.create_task(self.work(request, key))
        running = gateway_lib.Running(key=key, request=request, task=self._work)
        self._running = running
        with self.gateway.track(running):
            try:
                failure = await self._work
            except asyncio.CancelledError:
                if running.ended is None:
                    raise
                failure = self._ended(running.ended)
            except iostream.StreamClosedError:
                failure = _caller_left()
        self._log_end(kind, request, key, failure, begun)
        if failure is not None and not self.request.connection.stream.closed():
            self.send_failure(failure)

    def _ended(self, failure: findings.Failure) -> findings.Failure:
        if self.sent:
            return failure
        return findings.not_run(
            failure.reason, failure.detail, status=failure.status
        )

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have reached a target."""
        return False

    async def work(
        self, request: str, key: configuration_lib.KeyRecord
    ) -> findings.Failure | None:
        """Does the request; returns a failure to send, or None."""
        raise NotImplementedError

    def on_connection_close(self) -> None:
        """Ends the work of a caller that has left."""
        if self._running is not None:
            self._running.end(_caller_left())

    def patience(self) -> float:
        """Seconds the caller is ready to wait for a place."""
        said = self._said_patience()
        most = self.gateway.settings.requests.queue_seconds
        return most if said is None else min(most, said)

    def _said_patience(self) -> float | None:
        """Seconds the caller says it is ready to wait, if it does."""
        text = self.request.headers.get("Endivestream-Patience", "")
        try:
            return max(0.0, float(text))
        except ValueError:
            return None

    async def pay(
        self,
        request: str,
        team: str,
        tokens: int,
        run: Callable[[], Awaitable[_Result]],
        used: Callable[[], int],
    ) -> _Result | findings.Failure:
        """Runs work under the team's credit, and gives back what is left.

        Args:
            request: The request's id.
            team: Its team.
            tokens: The most it can cost.
            run: Does the work.
            used: Tells what it did cost, once it has ended in any way.
        """
        cost = 0
        try:
            failure = await self._charge(request, team, tokens)
            if failure is not None:
                return failure
            try:
                return await run()
            finally:
                cost = used()
        finally:
            self.gateway.end(
                messages.Ending(request=request, team=team, used=cost)
            )

    def attempts(self, work: attempts_lib.Work) -> attempts_lib.Attempts:
        """Returns the attempts of a request."""
        return attempts_lib.Attempts(
            gateway=self.gateway,
            budget=self.parts.budget,
            rng=self.parts.rng,
            work=work,
        )

    async def _charge(
        self, request: str, team: str, tokens: int
    ) -> findings.Failure | None:
        """Takes the team's credit; returns why not.

        A team without credit is over its rate. Its requests could wait as
        long as for a place, but then each would wait so long: the queue is
        always as long as it may be, and no first token comes in time.
        """
        firm = self._said_patience() is not None
        usual = self.gateway.settings.requests.credit_seconds
        answer = await self.gateway.charge(
            messages.Charge(
                team=team,
                request=request,
                tokens=tokens,
                patience=self.patience() if firm else usual,
                firm=firm,
            )
        )
        if isinstance(answer, messages.Charged):
            return None
        statuses = {"over_rate": 429, "above_burst": 400}
        return findings.not_run(
            answer.reason,
            answer.detail,
            status=statuses.get(answer.reason, 503),
            retry_after=answer.retry_after if answer.retry_after >= 0 else None,
        )

    def _log_end(
        self,
        kind: str,
        request: str,
        key: configuration_lib.KeyRecord | None,
        failure: findings.Failure | None,
        begun: float,
    ) -> None:
        outcome = str(failure.outcome) if failure else "ok"
        reason = failure.reason if failure else ""
        self.gateway.metrics.requests.labels(kind, outcome, reason).inc()
        logs.event(
            "request",
            kind=kind,
            request=request,
            team=key.team if key else "",
            key=key.label if key else "",
            outcome=outcome,
            reason=reason,
            ms=(time.monotonic() - begun) * 1000,
        )


def _caller_left() -> findings.Failure:
    return findings.Failure(
        outcome=findings.Outcome.FAILED,
        reason="caller_left",
        detail="the caller closed the connection",
        status=499,
    )
