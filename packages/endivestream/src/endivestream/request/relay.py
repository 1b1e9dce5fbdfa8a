"""Relays one generation from targets to the caller, each token once.

A target may die, fall silent or answer late and crossed. The stream is then
taken up on another copy at the next token, where the target can do that; the
caller sees no seam. Where it cannot, the caller gets a typed end. A stream
that ends without its final marker is never shown as whole.
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
from endivestream.process import gateway as gateway_lib
from endivestream.request import attempts as attempts_lib
from endivestream.request import generation as generation_lib
from endivestream.request import sse

# A target answers these before it has taken the request up.
_TURNED_AWAY = (429, 503)


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
    """A generation that came whole.

    Attributes:
        text: All generated text.
        tokens: How many tokens were generated.
        finish_reason: As the engine said.
        target: The target that finished it.
    """

    text: str
    tokens: int
    finish_reason: str
    target: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Broken:
    """An attempt broke off; another target may go on."""

    why: str
    sent: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Rejected:
    """The target understood the request and will not run it."""

    status: int
    detail: str


class Relay:
    """One generation with all its attempts."""

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
        self._begun = time.monotonic()
        self._last = self._begun
        self._tokens = 0
        self._text: list[str] = []
        self._finish_reason = ""
        self._sent = False

    @property
    def sent(self) -> bool:
        """Whether any byte may have reached a target."""
        return self._sent

    @property
    def tokens(self) -> int:
        """Tokens relayed so far."""
        return self._tokens

    async def run(self) -> Finished | findings.Failure:
        """Generates, on as many targets as it takes and the budget allows."""
        while True:
            place = await self._attempts.place(begun=self._sent)
            if isinstance(place, findings.Failure):
                return self._without_place(place)
            result = await self._run_on(place)
            match result:
                case Finished():
                    return result
                case _Rejected(status=status, detail=detail):
                    return findings.Failure(
                        outcome=findings.Outcome.FAILED,
                        reason="target_rejected",
                        detail=detail,
                        status=status,
                    )
                case _Broken(why=why, sent=sent):
                    if not await self._attempts.may_go_on(why, sent=sent):
                        return self._failure(
                            "target_failed", f"the target broke: {why}"
                        )
                    if self._tokens:
                        self._gateway.metrics.resumed.inc()

    async def _run_on(
        self, place: messages.Ticket
    ) -> Finished | _Broken | _Rejected:
        """Runs one attempt, and gives its place back whatever happens."""
        before = self._tokens
        result: Finished | _Broken | _Rejected | None = None
        try:
            result = await self._attempt(self._attempts.name, place)
            return result
        finally:
            self._attempts.give_back(
                used=self._tokens - before,
                failed=isinstance(result, _Broken),
                answered=isinstance(result, Finished | _Rejected),
            )

    def _without_place(self, failure: findings.Failure) -> findings.Failure:
        if not self._attempts.why:
            return failure
        return self._failure(
            "target_failed",
            f"the target broke ({self._attempts.why}) and there is no other: "
            f"{failure.detail}",
        )

    def _failure(self, reason: str, detail: str) -> findings.Failure:
        """Returns a failure that is truthful about what may have run."""
        outcome = (
            findings.Outcome.FAILED if self._sent else findings.Outcome.NOT_RUN
        )
        return findings.Failure(
            outcome=outcome,
            reason=reason,
            detail=detail,
            status=502 if self._sent else 503,
            retry_after=1.0,
        )

    async def _attempt(
        self, name: str, ticket: messages.Ticket
    ) -> Finished | _Broken | _Rejected:
        if self._tokens and not ticket.resumes:
            return _Broken(
                why=f"{ticket.target} cannot continue a stream", sent=False
            )
        exchange = exchange_lib.Exchange(pool=self._pool, url=ticket.url)
        try:
            await self._send(exchange, name)
            return await self._read(exchange, name, ticket)
        except exchange_lib.ExchangeError as error:
            return _Broken(why=str(error), sent=error.sent)
        except (sse.TooLongError, msgspec.DecodeError) as error:
            return _Broken(why=f"unreadable stream: {error}", sent=True)
        finally:
            # Closing an unfinished exchange is how the engine learns that
            # the caller left.
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
                "Endivestream-Model": self._generation.needs,
            },
            msgspec.json.encode(body),
            connect_seconds=self._requests.connect_seconds,
        )

    async def _read(
        self,
        exchange: exchange_lib.Exchange,
        name: str,
        ticket: messages.Ticket,
    ) -> Finished | _Broken | _Rejected:
        head = await exchange.head(seconds=self._requests.first_byte_seconds)
        if head.status != 200:
            return await self._read_error(exchange, head.status)
        splitter = sse.Splitter()
        whole = None
        async for chunk in exchange.chunks(
            silence=self._requests.stream_silence_seconds
        ):
            for event in splitter.feed(chunk):
                if event.data == sse.DONE:
                    whole = self._finished(ticket.target)
                elif whole is None:
                    broken = await self._event(event, name.encode())
                    if broken:
                        return broken
        return whole or _Broken(why="ended without its final marker", sent=True)

    def _finished(self, target: str) -> Finished:
        text = "".join(self._text)
        return Finished(text, self._tokens, self._finish_reason, target)

    async def _read_error(
        self, exchange: exchange_lib.Exchange, status: int
    ) -> _Broken | _Rejected:
        body = b""
        async for chunk in exchange.chunks(
            silence=self._requests.stream_silence_seconds
        ):
            body = (body + chunk)[:4096]
        if status in _TURNED_AWAY or status >= 500:
            return _Broken(why=f"status {status}", sent=True)
        return _Rejected(status=status, detail=_error_text(body))

    async def _event(self, event: sse.Event, name: bytes) -> _Broken | None:
        """Relays one event if it is the next of this attempt.

        Its id is `ATTEMPT/FIRST/LAST`, the tokens it carries, counted from 1
        over all attempts; LAST is FIRST - 1 for an event without a token.
        """
        try:
            attempt, first_text, last_text = event.id.rsplit(b"/", 2)
            first, last = int(first_text), int(last_text)
        except ValueError:
            return _Broken(why=f"event id {event.id!r}", sent=True)
        if attempt != name:
            # A late answer to another attempt or caller: relaying it would
            # show one caller another's words.
            return _Broken(why=f"answer of {attempt!r}", sent=True)
        if first <= last <= self._tokens:
            return None  # Sent before, by the target that broke off.
        if first != self._tokens + 1:
            why = f"token {first} after {self._tokens}"
            return _Broken(why=why, sent=True)
        chunk = _chunk_decoder.decode(event.data)
        for choice in chunk.choices:
            piece = choice.delta.content if choice.delta else choice.text
            if piece:
                self._text.append(piece)
            if choice.finish_reason:
                self._finish_reason = choice.finish_reason
        self._count(last - self._tokens)
        self._tokens = last
        await self._emit(event.data)
        return None

    def _count(self, tokens: int) -> None:
        now = time.monotonic()
        metrics = self._gateway.metrics
        if self._tokens == 0:
            metrics.first_token.observe(now - self._begun)
        else:
            metrics.between_tokens.observe(now - self._last)
        self._last = now
        if tokens:
            metrics.tokens.inc(tokens)


def _error_text(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body)["error"]["message"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return body.decode(errors="replace")
