"""HTTP routes for callers: the inference interface and plain services.

Each request runs in a task of its own beside the handler, so that it can be
ended from outside: by a withdrawn key, or because the caller has left.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any
from typing import NamedTuple

import msgspec
from tornado import iostream
from tornado import web

from endivestream import findings
from endivestream import logs
from endivestream import messages
from endivestream.connection import addresses
from endivestream.connection import exchange as exchange_lib
from endivestream.process import gateway as gateway_lib
from endivestream.request import generation as generation_lib
from endivestream.request import relay as relay_lib
from endivestream.request import retries
from endivestream.request import service_calls
from endivestream.request import sse
from endivestream.version import configuration as configuration_lib

# Headers that belong to one connection, or that would show a target the
# caller's key.
_NOT_PASSED_ON = frozenset(
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
# Query parameters under which clients are known to send keys.
_KEY_PARAMETERS = ("api_key", "api-key", "key", "access_token")


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


class _Handler(web.RequestHandler):
    """What all routes for callers have in common."""

    def initialize(self, parts: Parts) -> None:
        self.parts = parts
        self.gateway = parts.gateway

    def set_default_headers(self) -> None:
        self.set_header("Server", "endivestream")

    def prepare(self) -> None:
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


class _KeyHandler(_Handler):
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
            if name.lower() not in _NOT_PASSED_ON
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
        if self._running is not None:
            self._running.end(_caller_left())

    def patience(self) -> float:
        """Seconds the caller is ready to wait for its turn."""
        most = self.gateway.settings.requests.queue_seconds
        text = self.request.headers.get("Endivestream-Patience", "")
        try:
            return min(most, max(0.0, float(text)))
        except ValueError:
            return most

    async def charge(
        self, request: str, team: str, tokens: int, patience: float
    ) -> findings.Failure | None:
        """Takes the team's credit; returns why not."""
        answer = await self.gateway.charge(
            messages.Charge(
                team=team, request=request, tokens=tokens, patience=patience
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


class _GenerationHandler(_KeyHandler):
    """`/v1/chat/completions` and `/v1/completions`."""

    _relay: relay_lib.Relay | None = None

    def initialize(self, parts: Parts, chat: bool) -> None:
        super().initialize(parts)
        self._chat = chat

    async def post(self) -> None:
        await self.serve("generation")

    @property
    def sent(self) -> bool:
        return self._relay is not None and self._relay.sent

    async def work(
        self, request: str, key: configuration_lib.KeyRecord
    ) -> findings.Failure | None:
        requests = self.gateway.settings.requests
        generation = generation_lib.read(
            self.request.body,
            chat=self._chat,
            rules=self.gateway.view.rules,
            team=key.team,
            bytes_per_token=requests.bytes_per_token,
        )
        if isinstance(generation, findings.Failure):
            return generation
        deadline = time.monotonic() + self.patience()
        used = 0
        try:
            failure = await self.charge(
                request, key.team, generation.cost, self.patience()
            )
            if failure is not None:
                return failure
            relay = relay_lib.Relay(
                gateway=self.gateway,
                pool=self.parts.pool,
                budget=self.parts.budget,
                rng=self.parts.rng,
                request=request,
                team=key.team,
                generation=generation,
                deadline=deadline,
                emit=self._emit if generation.stream else _drop,
            )
            self._relay = relay
            try:
                result = await relay.run()
            finally:
                if relay.sent:
                    used = generation.prompt_tokens + relay.tokens
        finally:
            self.gateway.end(
                messages.Ending(request=request, team=key.team, used=used)
            )
        if isinstance(result, findings.Failure):
            return result
        await self._answer(request, generation, result)
        return None

    async def _emit(self, data: bytes) -> None:
        if not self._headers_written:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")
            # Small writes would wait for the caller's acknowledgement of the
            # one before, up to 40 ms behind a caller that delays those.
            self.request.connection.stream.set_nodelay(True)
        await self._write(sse.encode(data))

    async def _write(self, data: bytes) -> None:
        self.write(data)
        flushed = self.flush()
        if flushed.done():
            return
        # A caller that reads nothing would hold its place on the target, and
        # the events queued for it, for good.
        seconds = self.gateway.settings.requests.stream_silence_seconds
        try:
            async with asyncio.timeout(seconds):
                await flushed
        except TimeoutError:
            raise iostream.StreamClosedError from None

    async def _answer(
        self,
        request: str,
        generation: generation_lib.Generation,
        result: relay_lib.Finished,
    ) -> None:
        if generation.stream:
            await self._emit(sse.DONE)
            await self.finish()
            return
        self.set_header("Content-Type", "application/json")
        await self.finish(
            msgspec.json.encode(_whole(request, generation, result))
        )


async def _drop(data: bytes) -> None:
    """Takes an event of an answer that is sent as a whole at its end."""


def _whole(
    request: str,
    generation: generation_lib.Generation,
    result: relay_lib.Finished,
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": result.finish_reason}
    if generation.chat:
        choice["message"] = {"role": "assistant", "content": result.text}
    else:
        choice["text"] = result.text
    return {
        "id": request,
        "object": "chat.completion" if generation.chat else "text_completion",
        "created": int(time.time()),
        "model": generation.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": generation.prompt_tokens,
            "completion_tokens": result.tokens,
            "total_tokens": generation.prompt_tokens + result.tokens,
        },
    }


class _ServiceHandler(_KeyHandler):
    """`/v1/services/NAME/...`."""

    _call: service_calls.ServiceCall | None = None
    _name = ""
    _path = ""

    async def _serve(self, name: str, path: str) -> None:
        self._name = name
        query = self.request.query
        self._path = f"/{path}" + (f"?{query}" if query else "")
        await self.serve("service")

    get = post = put = patch = delete = head = _serve

    @property
    def sent(self) -> bool:
        return self._call is not None and self._call.sent

    async def work(
        self, request: str, key: configuration_lib.KeyRecord
    ) -> findings.Failure | None:
        rules = self.gateway.view.rules
        service = rules.services.get(self._name)
        allowed = rules.allowed.get(key.team, frozenset())
        if service is None or self._name not in allowed:
            own = [name for name in allowed if name in rules.services]
            what = findings.unknown_word("service", self._name, own)
            return findings.not_run("unknown_service", what, status=404)
        for name in _KEY_PARAMETERS:
            if self.get_query_argument(name, None) is not None:
                return findings.not_run(
                    "key_in_request",
                    f"query parameter {name!r} is not passed on; send your "
                    "key in the Authorization header only",
                    status=400,
                )
        deadline = time.monotonic() + self.patience()
        used = 0
        try:
            failure = await self.charge(
                request, key.team, service.cost, self.patience()
            )
            if failure is not None:
                return failure
            call = service_calls.ServiceCall(
                gateway=self.gateway,
                pool=self.parts.pool,
                budget=self.parts.budget,
                rng=self.parts.rng,
                request=request,
                team=key.team,
                service=service,
                call=self._read_call(),
                deadline=deadline,
            )
            self._call = call
            try:
                result = await call.run()
            finally:
                used = service.cost if call.sent else 0
        finally:
            self.gateway.end(
                messages.Ending(request=request, team=key.team, used=used)
            )
        if isinstance(result, findings.Failure):
            return result
        await self._answer(result)
        return None

    def _read_call(self) -> service_calls.Call:
        headers = {
            name: value
            for name, value in self.request.headers.get_all()
            if name.lower() not in _NOT_PASSED_ON
        }
        return service_calls.Call(
            self.request.method or "GET",
            self._path,
            headers,
            self.request.body,
            self.request.headers.get("Idempotency-Key", ""),
        )

    async def _answer(self, result: service_calls.Answer) -> None:
        self.set_status(result.status)
        if result.content_type:
            self.set_header("Content-Type", result.content_type)
        else:
            self.clear_header("Content-Type")
        if result.replayed:
            self.set_header("Idempotency-Replayed", "true")
        if result.truncated:
            self.set_header("Endivestream-Answer-Truncated", "true")
        if result.status not in (204, 304):
            self.write(result.body)
        await self.finish()


class _ModelsHandler(_KeyHandler):
    """`/v1/models`: what the caller's team may use."""

    async def get(self) -> None:
        key = self.check_key()
        if isinstance(key, findings.Failure):
            self.send_failure(key)
            return
        rules = self.gateway.view.rules
        names = rules.allowed.get(key.team, frozenset())
        rows = []
        for name in sorted(names):
            if rules.model_of(name) is None:
                continue
            row = {"id": name, "object": "model", "owned_by": key.team}
            adapter = rules.adapters.get(name)
            if adapter is not None:
                row["parent"] = adapter.model
            rows.append(row)
        self.write({"object": "list", "data": rows})


class _AddressesHandler(_Handler):
    """`/v1/addresses`: which hosts a caller should use."""

    def get(self) -> None:
        failure = self.gateway.lost_lease()
        if failure is not None:
            self.send_failure(failure)
            return
        chosen = addresses.choose(
            self.gateway.hosts,
            caller=self.request.remote_ip or "",
            domain=self.get_query_argument("domain", ""),
        )
        lifetime = self.gateway.settings.timing.address_lifetime_seconds
        rows = [{"url": host.url, "domain": host.domain} for host in chosen]
        self.set_header("Cache-Control", f"max-age={int(lifetime)}")
        self.write({"addresses": rows, "lifetime_seconds": lifetime})


class _HealthHandler(_Handler):
    """`/healthz` and `/readyz`."""

    def initialize(self, parts: Parts, ready: bool) -> None:
        super().initialize(parts)
        self._ready = ready

    def get(self) -> None:
        sound = not self._ready or (
            self.gateway.leased and not self.gateway.draining
        )
        self.set_status(200 if sound else 503)
        self.write(
            {
                "ok": sound,
                "leased": self.gateway.leased,
                "draining": self.gateway.draining,
                "configuration": self.gateway.view.as_json(),
            }
        )


class _MetricsHandler(_Handler):
    """`/metrics`."""

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.gateway.metrics.exposition())


def application(parts: Parts) -> web.Application:
    """Returns the routes for callers."""
    shared = {"parts": parts}
    return web.Application(
        [
            (
                r"/v1/chat/completions",
                _GenerationHandler,
                {**shared, "chat": True},
            ),
            (r"/v1/completions", _GenerationHandler, {**shared, "chat": False}),
            (r"/v1/models", _ModelsHandler, shared),
            (r"/v1/services/([^/]+)/(.*)", _ServiceHandler, shared),
            (r"/v1/addresses", _AddressesHandler, shared),
            (r"/healthz", _HealthHandler, {**shared, "ready": False}),
            (r"/readyz", _HealthHandler, {**shared, "ready": True}),
            (r"/metrics", _MetricsHandler, shared),
        ],
        default_handler_class=_NotFoundHandler,
        default_handler_args=shared,
        log_function=_no_access_log,
    )


class _NotFoundHandler(_Handler):
    """Everything else."""

    def prepare(self) -> None:
        raise web.HTTPError(404)


def _no_access_log(handler: web.RequestHandler) -> None:
    """Replaces the library's access log: we write one line per event."""
