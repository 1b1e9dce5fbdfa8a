"""Base classes of all routes for callers: keys, credit, failures.

Each request runs in its own task beside the handler, so that it can be
cancelled: when its key is withdrawn or its caller disconnects.
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
from endivestream.connection import sse
from endivestream.process import gateway as gateway_lib
from endivestream.request import attempts as attempts_lib
from endivestream.request import retries
from endivestream.version import configuration as configuration_lib

_Result = TypeVar("_Result")

# Headers that are not forwarded to targets: they apply to one connection only,
# or would expose the caller's key.
NOT_FORWARDED_HEADERS = frozenset(
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
    """Services that all handlers share.

    Attributes:
        gateway: The process's gateway.
        pool: Connections to targets.
        budget: The retry budget.
        rng: Random numbers for jitter.
    """

    gateway: gateway_lib.Gateway
    pool: exchange_lib.Pool
    budget: retries.RetryBudget
    rng: random.Random


class Handler(web.RequestHandler):
    """Base class of all routes for callers."""

    def initialize(self, parts: Parts) -> None:
        """Stores the shared services; Tornado calls this."""
        self.parts = parts
        self.gateway = parts.gateway

    def set_default_headers(self) -> None:
        """Sets a server name without the versions of the software."""
        self.set_header("Server", "endivestream")

    def prepare(self) -> None:
        """Has callers of a draining host connect to another host."""
        if self.gateway.draining:
            # A connection that stays open would be cut off by the stop.
            self.set_header("Connection", "close")

    def send_failure(self, failure: findings.Failure) -> None:
        """Responds with a failure, or ends a started stream with it."""
        if not self._headers_written:
            self.set_status(failure.status)
            if failure.retry_after is not None and failure.retry_after >= 0:
                seconds = max(1, round(failure.retry_after + 0.5))
                self.set_header("Retry-After", str(seconds))
            self.set_header("Content-Type", "application/json")
            self.finish(msgspec.json.encode(failure.as_json()))
            return
        # The stream ends with a typed error and without the final marker, so
        # that callers cannot mistake it for complete.
        self.write(sse.encode(msgspec.json.encode(failure.as_json())))
        self.finish()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Responds to an error that no route handled, in the usual format."""
        outcome = findings.RunState.UNKNOWN
        if status_code in (404, 405):
            outcome = findings.RunState.NOT_RUN
        failure = findings.Failure(
            outcome=outcome,
            reason="not_found" if status_code == 404 else "internal_error",
            detail=self._reason,
            status=status_code,
        )
        self.send_failure(failure)


class AuthenticatedHandler(Handler):
    """Base class of routes that require a key."""

    _task: asyncio.Task[findings.Failure | None] | None = None
    _running: gateway_lib.RunningRequest | None = None

    def check_key(self) -> configuration_lib.KeyRecord | findings.Failure:
        """Returns the caller's key, or why the request is refused."""
        failure = self.gateway.lease_failure()
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
        key = self.gateway.view.find_key(presented)
        if key is None:
            return findings.not_run(
                "key_unknown", "this key is not valid", status=401
            )
        if self._exposes_key(presented):
            return findings.not_run(
                "key_in_request",
                "the URL, a header or the body contains the key and would "
                "expose it to targets; send it in the Authorization header "
                "only",
                status=400,
            )
        return key

    def _exposes_key(self, presented: str) -> bool:
        request = self.request
        if presented in request.uri or presented.encode() in request.body:
            return True
        return any(
            presented in value
            for name, value in request.headers.get_all()
            if name.lower() not in NOT_FORWARDED_HEADERS
        )

    async def serve(self, kind: str) -> None:
        """Runs `work` with the caller's key and sends its failure, if any."""
        started_at = time.monotonic()
        request = self.gateway.new_id()
        self.set_header("Endivestream-Request", request)
        key = self.check_key()
        if isinstance(key, findings.Failure):
            self._record_end(kind, request, None, key, started_at)
            self.send_failure(key)
            return
        self._task = asyncio.create_task(self.work(request, key))
        running = gateway_lib.RunningRequest(
            key=key, request=request, task=self._task
        )
        self._running = running
        with self.gateway.track(running):
            try:
                failure = await self._task
            except asyncio.CancelledError:
                if running.cancel_reason is None:
                    raise
                failure = self._cancellation_failure(running.cancel_reason)
            except iostream.StreamClosedError:
                failure = _caller_disconnected()
        self._record_end(kind, request, key, failure, started_at)
        if failure is not None and not self.request.connection.stream.closed():
            self.send_failure(failure)

    def _cancellation_failure(
        self, failure: findings.Failure
    ) -> findings.Failure:
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
        """Processes the request; returns a failure to send, or None."""
        raise NotImplementedError

    def on_connection_close(self) -> None:
        """Cancels the request of a caller that has disconnected."""
        if self._running is not None:
            self._running.cancel(_caller_disconnected())

    def patience(self) -> float:
        """Returns how many seconds the request may wait for a slot."""
        requested = self._requested_patience()
        limit = self.gateway.settings.requests.queue_seconds
        return limit if requested is None else min(limit, requested)

    def _requested_patience(self) -> float | None:
        """Returns the maximum wait that the caller requested, or None."""
        text = self.request.headers.get("Endivestream-Patience", "")
        try:
            return max(0.0, float(text))
        except ValueError:
            return None

    async def run_with_credit(
        self,
        request: str,
        team: str,
        tokens: int,
        run: Callable[[], Awaitable[_Result]],
        used: Callable[[], int],
    ) -> _Result | findings.Failure:
        """Charges the team, runs the work and refunds the unused credit.

        Args:
            request: The request's id.
            team: The request's team.
            tokens: The maximum cost of the request.
            run: Does the work.
            used: Returns the actual cost, after the work has ended in any way.
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
            self.gateway.complete_request(
                messages.Completion(request=request, team=team, used=cost)
            )

    def attempts(self, work: attempts_lib.AttemptWork) -> attempts_lib.Attempts:
        """Creates the attempts of a request."""
        return attempts_lib.Attempts(
            gateway=self.gateway,
            budget=self.parts.budget,
            rng=self.parts.rng,
            work=work,
        )

    async def _charge(
        self, request: str, team: str, tokens: int
    ) -> findings.Failure | None:
        """Takes the team's credit; returns a failure if it is refused.

        By default, requests wait for credit less long than for a slot. A team
        without credit is over its rate, so its queue always grows to the
        maximum wait. With a long maximum, every request would wait for that
        long, and no first token would arrive in time.
        """
        has_own_patience = self._requested_patience() is not None
        default_patience = self.gateway.settings.requests.credit_seconds
        answer = await self.gateway.charge(
            messages.Charge(
                team=team,
                request=request,
                tokens=tokens,
                max_wait_seconds=(
                    self.patience() if has_own_patience else default_patience
                ),
                firm=has_own_patience,
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

    def _record_end(
        self,
        kind: str,
        request: str,
        key: configuration_lib.KeyRecord | None,
        failure: findings.Failure | None,
        started_at: float,
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
            ms=(time.monotonic() - started_at) * 1000,
        )


def _caller_disconnected() -> findings.Failure:
    return findings.Failure(
        outcome=findings.RunState.FAILED,
        reason="caller_left",
        detail="the caller closed the connection",
        status=499,
    )
