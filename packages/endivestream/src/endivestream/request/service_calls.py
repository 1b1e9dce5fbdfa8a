"""Calls to plain services; a non-idempotent call runs at most once.

A record in the replicated log permits a single attempt to send a
non-idempotent call, and this attempt sends it once. The call is never sent
again, whatever the result: a resend by the caller gets the stored answer, or
an error that the outcome is unknown.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import hashlib
import time
from typing import NamedTuple

from endivestream import findings
from endivestream import messages
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import links
from endivestream.process import gateway as gateway_lib
from endivestream.request import attempts as attempts_lib
from endivestream.version import calls as calls_lib
from endivestream.version import rules as rules_lib

# Methods that HTTP defines as safe: they change nothing and need no
# Idempotency-Key.
_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_MAX_ANSWER_BYTES = 8 * 1024 * 1024
_MAX_KEY_CHARACTERS = 200


class Call(NamedTuple):
    """A call to be sent to a service.

    Attributes:
        method: HTTP method.
        path: Path and query at the service.
        headers: Headers to forward.
        body: The request body.
        key: Value of the Idempotency-Key header, or empty.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    key: str


class Answer(NamedTuple):
    """A complete answer of a service.

    Attributes:
        status: HTTP status.
        content_type: Content type of the body.
        body: The answer's body.
        replayed: Whether this is the stored answer of an earlier send.
        truncated: Whether the stored body was cut at the size limit.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool = False
    truncated: bool = False


class ServiceCall:
    """Runs one call with all its attempts."""

    def __init__(
        self,
        *,
        gateway: gateway_lib.Gateway,
        pool: exchange_lib.Pool,
        attempts: attempts_lib.Attempts,
        request: str,
        team: str,
        service: rules_lib.Service,
        call: Call,
    ) -> None:
        self._gateway = gateway
        self._requests = gateway.settings.requests
        self._pool = pool
        self._attempts = attempts
        self._request = request
        self._team = team
        self._service = service
        self._call = call
        self._sent = False
        self._holder_id = f"{gateway.holder}/{request}"

    @property
    def sent(self) -> bool:
        """Whether any byte of the call may have reached a target."""
        return self._sent

    async def run(self) -> Answer | findings.Failure:
        """Runs the call; at most once if it is not idempotent."""
        is_safe = self._call.method in _SAFE_METHODS
        if self._service.idempotent or is_safe:
            return await self._send(repeatable=True)
        if not self._call.key:
            return findings.not_run(
                "idempotency_key_needed",
                f"service {self._service.name!r} is not idempotent: send an "
                "Idempotency-Key header, the same one with each retry",
                status=400,
            )
        if len(self._call.key) > _MAX_KEY_CHARACTERS or "\0" in self._call.key:
            return findings.not_run(
                "invalid_request",
                "the Idempotency-Key is longer than "
                f"{_MAX_KEY_CHARACTERS} characters",
                status=400,
            )
        return await self._run_once()

    async def _run_once(self) -> Answer | findings.Failure:
        try:
            begin_result = await self._gateway.propose(
                calls_lib.ClaimCall(
                    team=self._team,
                    service=self._service.name,
                    key=self._call.key,
                    fingerprint=self._fingerprint(),
                    holder=self._holder_id,
                    at=time.time(),
                )
            )
        except (links.LinkDownError, asyncio.CancelledError) as error:
            # The record may have been committed, but it permits only this
            # attempt to send, which it never will. "not run" is therefore
            # true, and the key is released.
            self._gateway.propose_until_committed(self._end_command("not_run"))
            if isinstance(error, asyncio.CancelledError):
                raise
            return findings.not_run(
                "control_unreachable", str(error), status=503, retry_after=1.0
            )
        match begin_result:
            case calls_lib.CallExists(record=record, same=same):
                return _answer_from_record(record, same)
            case calls_lib.KeyRejected(reason=reason):
                return _forgotten_key_failure(reason)
            case calls_lib.CallStarted():
                return await self._send_and_commit()
            case _:
                raise AssertionError(f"unexpected result {begin_result!r}")

    def _fingerprint(self) -> str:
        digest = hashlib.sha256()
        for part in (self._call.method, self._call.path):
            digest.update(part.encode() + b"\0")
        digest.update(self._call.body)
        return digest.hexdigest()[:32]

    async def _send_and_commit(self) -> Answer | findings.Failure:
        try:
            result = await self._send(repeatable=False)
        except asyncio.CancelledError:
            final_outcome = "unknown" if self._sent else "not_run"
            self._gateway.propose_until_committed(
                self._end_command(final_outcome)
            )
            raise
        if isinstance(result, Answer):
            end_command = self._end_command("done", result)
        elif result.outcome == findings.RunState.NOT_RUN:
            end_command = self._end_command("not_run")
        else:
            end_command = self._end_command("unknown")
        try:
            # The commit comes first, so that a resend after the answer finds
            # the record. If the control host is unreachable, the answer is
            # sent anyway, and a resend is refused as "call_running" until the
            # completion is committed.
            await self._gateway.propose(end_command)
        except links.LinkDownError:
            self._gateway.propose_until_committed(end_command)
        return result

    def _end_command(
        self, outcome: str, answer: Answer | None = None
    ) -> calls_lib.CompleteCall:
        answer = answer or Answer(0, "", b"")
        return calls_lib.CompleteCall(
            team=self._team,
            service=self._service.name,
            key=self._call.key,
            holder=self._holder_id,
            outcome=outcome,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body[: calls_lib.MAX_STORED_BODY_BYTES],
        )

    async def _send(self, *, repeatable: bool) -> Answer | findings.Failure:
        while True:
            ticket = await self._attempts.acquire_ticket(
                may_have_started=self._sent
            )
            if isinstance(ticket, findings.Failure):
                return (
                    self._target_failure(self._attempts.failure_cause)
                    if self._sent
                    else ticket
                )
            result = await self._run_on(ticket)
            if isinstance(result, Answer):
                return result
            if self._sent and not repeatable:
                return self._target_failure(str(result))
            if not await self._attempts.may_retry(
                str(result), sent=result.sent
            ):
                return self._target_failure(str(result))

    async def _run_on(
        self, ticket: messages.Ticket
    ) -> Answer | exchange_lib.ExchangeError:
        """Runs one attempt and releases its ticket in every case."""
        result: Answer | exchange_lib.ExchangeError | None = None
        try:
            result = await self._run_attempt(self._attempts.name, ticket)
            return result
        finally:
            self._attempts.release_ticket(
                used=0,
                failed=isinstance(result, exchange_lib.ExchangeError),
                answered=isinstance(result, Answer),
            )

    def _target_failure(self, cause: str) -> findings.Failure:
        if not self._sent:
            return findings.not_run(
                "target_failed", cause, status=503, retry_after=1.0
            )
        return findings.Failure(
            outcome=findings.RunState.UNKNOWN,
            reason="target_failed",
            detail=f"the service failed after the call was sent: {cause}",
            status=502,
        )

    async def _run_attempt(
        self, name: str, ticket: messages.Ticket
    ) -> Answer | exchange_lib.ExchangeError:
        exchange = exchange_lib.Exchange(pool=self._pool, url=ticket.url)
        headers = dict(self._call.headers)
        headers["Endivestream-Request"] = self._request
        headers["Endivestream-Attempt"] = name
        headers["Endivestream-Team"] = self._team
        try:
            await exchange.start(
                self._call.method,
                self._call.path,
                headers,
                self._call.body,
                connect_seconds=self._requests.connect_seconds,
            )
            seconds = self._requests.service_seconds
            head = await exchange.head(seconds=seconds)
            self._attempts.record_answer(head)
            body = await exchange.body(
                seconds=seconds, max_bytes=_MAX_ANSWER_BYTES
            )
            content_type = head.headers.get("Content-Type", "")
            return Answer(head.status, content_type, body)
        except exchange_lib.ExchangeError as error:
            return error
        finally:
            self._sent = self._sent or exchange.sent
            exchange.close()


def _answer_from_record(
    record: calls_lib.Record, same: bool
) -> Answer | findings.Failure:
    """Returns the answer to a call that already has a record."""
    if not same:
        return findings.not_run(
            "idempotency_conflict",
            "this Idempotency-Key was already used for another call; this "
            "call did not run",
            status=409,
        )
    if record.state == "done":
        return Answer(
            record.status,
            record.content_type,
            record.body,
            replayed=True,
            truncated=len(record.body) >= calls_lib.MAX_STORED_BODY_BYTES,
        )
    if record.state == "running":
        return findings.Failure(
            outcome=findings.RunState.UNKNOWN,
            reason="call_running",
            detail="an earlier attempt of this call is still running; retry "
            "later to receive its answer",
            status=409,
            retry_after=1.0,
        )
    return findings.Failure(
        outcome=findings.RunState.UNKNOWN,
        reason="call_fate_unknown",
        detail="this call was sent and its answer was lost; it is not sent "
        "again",
        status=502,
    )


def _forgotten_key_failure(reason: str) -> findings.Failure:
    if reason == "expired":
        return findings.Failure(
            outcome=findings.RunState.UNKNOWN,
            reason="idempotency_key_expired",
            detail="this Idempotency-Key is too old; its call may have run",
            status=409,
        )
    return findings.not_run(
        "idempotency_key_without_time",
        "too many Idempotency-Keys without a time are stored; use a UUID "
        "of version 7 or a key that starts with Unix seconds and '-'",
        status=400,
    )
