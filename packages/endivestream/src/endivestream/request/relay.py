"""Relays one generation from targets to the caller, each token once.

A target may fail, stop sending, or send events of another attempt. The stream
is then resumed at the next token on another target, invisibly to the caller.
If no target can resume it, the caller gets a typed error. A stream that ends
without its final marker is never reported as complete.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time
from typing import Any
from typing import NamedTuple

import msgspec

from endivestream import findings
from endivestream import messages
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import sse
from endivestream.process import gateway as gateway_lib
from endivestream.request import attempts as attempts_lib
from endivestream.request import generation as generation_lib

# Statuses that a target sends before it starts to run a request.
_NOT_STARTED_STATUSES = (429, 503)
_MAX_ERROR_BYTES = 4096


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []


_chunk_decoder = msgspec.json.Decoder(_Chunk)


class Finished(NamedTuple):
    """A complete generation.

    Attributes:
        text: The complete generated text.
        tokens: Number of generated tokens.
        finish_reason: Finish reason reported by the engine.
        target: Name of the target that finished the generation.
    """

    text: str
    tokens: int
    finish_reason: str
    target: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _AttemptFailed:
    """The attempt failed; another target may continue."""

    cause: str
    sent: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Rejected:
    """The target rejected the request; no other target is tried."""

    status: int
    detail: str


class Relay:
    """Runs one generation with all its attempts."""

    def __init__(
        self,
        *,
        gateway: gateway_lib.Gateway,
        pool: exchange_lib.Pool,
        attempts: attempts_lib.Attempts,
        request: str,
        team: str,
        generation: generation_lib.Generation,
        emit: Callable[[bytes], Awaitable[None]],
    ) -> None:
        self._gateway = gateway
        self._requests = gateway.settings.requests
        self._pool = pool
        self._attempts = attempts
        self._request = request
        self._team = team
        self._generation = generation
        self._emit = emit
        self._started_at = time.monotonic()
        self._last_event_at = self._started_at
        self._tokens = 0
        self._text: list[str] = []
        self._finish_reason = ""
        self._sent = False
        # Version of the software that sent the first token.
        self._software: str | None = None

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have reached a target."""
        return self._sent

    @property
    def tokens(self) -> int:
        """Number of tokens relayed so far."""
        return self._tokens

    async def run(self) -> Finished | findings.Failure:
        """Runs attempts until one finishes or no retry is allowed."""
        while True:
            ticket = await self._attempts.acquire_ticket(
                may_have_started=self._sent, software=self._software
            )
            if isinstance(ticket, findings.Failure):
                return self._failure_without_ticket(ticket)
            result = await self._run_on(ticket)
            match result:
                case Finished():
                    return result
                case _Rejected(status=status, detail=detail):
                    return findings.Failure(
                        outcome=findings.RunState.FAILED,
                        reason="target_rejected",
                        detail=detail,
                        status=status,
                    )
                case _AttemptFailed(cause=cause, sent=sent):
                    if not await self._attempts.may_retry(cause, sent=sent):
                        return self._failure(
                            "target_failed", f"the target failed: {cause}"
                        )
                    if self._tokens:
                        self._gateway.metrics.resumed.inc()

    async def _run_on(
        self, ticket: messages.Ticket
    ) -> Finished | _AttemptFailed | _Rejected:
        """Runs one attempt and releases its ticket in every case."""
        tokens_before = self._tokens
        result: Finished | _AttemptFailed | _Rejected | None = None
        try:
            result = await self._run_attempt(self._attempts.name, ticket)
            return result
        finally:
            self._attempts.release_ticket(
                used=self._tokens - tokens_before,
                failed=isinstance(result, _AttemptFailed),
                answered=isinstance(result, Finished | _Rejected),
            )

    def _failure_without_ticket(
        self, failure: findings.Failure
    ) -> findings.Failure:
        if not self._attempts.failure_cause:
            return failure
        return self._failure(
            "target_failed",
            f"the target failed ({self._attempts.failure_cause}) and no other "
            f"is available: {failure.detail}",
        )

    def _failure(self, reason: str, detail: str) -> findings.Failure:
        """Returns a failure that states whether the request may have run."""
        outcome = (
            findings.RunState.FAILED
            if self._sent
            else findings.RunState.NOT_RUN
        )
        return findings.Failure(
            outcome=outcome,
            reason=reason,
            detail=detail,
            status=502 if self._sent else 503,
            retry_after=1.0,
        )

    async def _run_attempt(
        self, name: str, ticket: messages.Ticket
    ) -> Finished | _AttemptFailed | _Rejected:
        if self._tokens and not ticket.resumes:
            return _AttemptFailed(
                cause=f"target {ticket.target} cannot resume a stream",
                sent=False,
            )
        if self._tokens and ticket.software != self._software:
            # It was announced after the ticket was requested, or the leader's
            # build does not know versions.
            return _AttemptFailed(
                cause=f"target {ticket.target} runs other software",
                sent=False,
            )
        exchange = exchange_lib.Exchange(pool=self._pool, url=ticket.url)
        try:
            await self._send(exchange, name)
            return await self._read_answer(exchange, name, ticket)
        except exchange_lib.ExchangeError as error:
            return _AttemptFailed(cause=str(error), sent=error.sent)
        except (sse.TooLongError, msgspec.DecodeError) as error:
            return _AttemptFailed(
                cause=f"invalid event stream: {error}", sent=True
            )
        finally:
            # Closing an unfinished exchange stops the engine if the caller
            # has disconnected.
            self._sent = self._sent or exchange.sent
            exchange.close()

    async def _send(self, exchange: exchange_lib.Exchange, name: str) -> None:
        body: dict[str, Any] = dict(self._generation.body)
        if self._tokens:
            body["endivestream"] = {
                "continue_from": {
                    "tokens": self._tokens,
                    "text": "".join(self._text),
                }
            }
        chat = self._generation.chat
        await exchange.start(
            "POST",
            "/v1/chat/completions" if chat else "/v1/completions",
            {
                "Content-Type": "application/json",
                "Endivestream-Request": self._request,
                "Endivestream-Attempt": name,
                "Endivestream-Team": self._team,
                "Endivestream-Model": self._generation.required_model,
            },
            msgspec.json.encode(body),
            connect_seconds=self._requests.connect_seconds,
        )

    async def _read_answer(
        self,
        exchange: exchange_lib.Exchange,
        name: str,
        ticket: messages.Ticket,
    ) -> Finished | _AttemptFailed | _Rejected:
        head = await exchange.head(seconds=self._requests.first_byte_seconds)
        self._attempts.record_answer(head)
        if head.status != 200:
            return await self._read_error(exchange, head.status)
        splitter = sse.Splitter()
        finished = None
        async for chunk in exchange.chunks(
            silence=self._requests.stream_silence_seconds
        ):
            for event in splitter.feed(chunk):
                if event.data == sse.DONE:
                    finished = self._build_finished(ticket.target)
                elif finished is None:
                    failed_attempt = await self._relay_event(
                        event, name.encode()
                    )
                    if failed_attempt:
                        return failed_attempt
                    if self._tokens and self._software is None:
                        self._software = ticket.software
        return finished or _AttemptFailed(
            cause="the stream ended without its final marker", sent=True
        )

    def _build_finished(self, target: str) -> Finished:
        text = "".join(self._text)
        return Finished(text, self._tokens, self._finish_reason, target)

    async def _read_error(
        self, exchange: exchange_lib.Exchange, status: int
    ) -> _AttemptFailed | _Rejected:
        body = await exchange.body(
            seconds=self._requests.stream_silence_seconds
        )
        if status in _NOT_STARTED_STATUSES or status >= 500:
            return _AttemptFailed(cause=f"status {status}", sent=True)
        return _Rejected(
            status=status, detail=_error_text(body[:_MAX_ERROR_BYTES])
        )

    async def _relay_event(
        self, event: sse.Event, name: bytes
    ) -> _AttemptFailed | None:
        """Relays an event if it is the next one of this attempt.

        The event id is `ATTEMPT/FIRST/LAST`. FIRST and LAST are the numbers of
        the event's tokens, counted from 1 over all attempts; LAST is FIRST - 1
        for an event without a token.
        """
        try:
            attempt, first_text, last_text = event.id.rsplit(b"/", 2)
            first, last = int(first_text), int(last_text)
        except ValueError:
            return _AttemptFailed(
                cause=f"invalid event id {event.id!r}", sent=True
            )
        if attempt != name:
            # An event of another attempt or caller. Relaying it would disclose
            # another caller's answer.
            return _AttemptFailed(
                cause=f"received an event of another attempt, {attempt!r}",
                sent=True,
            )
        if first <= last <= self._tokens:
            return None  # Already relayed by an earlier attempt.
        if first != self._tokens + 1:
            cause = f"token {first} received after token {self._tokens}"
            return _AttemptFailed(cause=cause, sent=True)
        chunk = _chunk_decoder.decode(event.data)
        for choice in chunk.choices:
            text_part = choice.delta.content if choice.delta else choice.text
            if text_part:
                self._text.append(text_part)
            if choice.finish_reason:
                self._finish_reason = choice.finish_reason
        self._record_event(last - self._tokens)
        self._tokens = last
        await self._emit(event.data)
        return None

    def _record_event(self, tokens: int) -> None:
        now = time.monotonic()
        metrics = self._gateway.metrics
        if self._tokens == 0:
            metrics.first_token.observe(now - self._started_at)
        else:
            metrics.between_tokens.observe(now - self._last_event_at)
        self._last_event_at = now
        if tokens:
            metrics.tokens.inc(tokens)


def _error_text(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body)["error"]["message"])
    except (msgspec.DecodeError, KeyError, TypeError, RecursionError):
        return body.decode(errors="replace")
