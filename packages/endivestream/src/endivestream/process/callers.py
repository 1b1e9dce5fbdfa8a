"""HTTP routes for callers: the inference API and plain services."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec
from tornado import iostream
from tornado import web

from endivestream import findings
from endivestream.connection import addresses
from endivestream.connection import sse
from endivestream.process import handlers
from endivestream.request import attempts as attempts_lib
from endivestream.request import generation as generation_lib
from endivestream.request import relay as relay_lib
from endivestream.request import service_calls
from endivestream.version import configuration as configuration_lib

# Query parameters in which clients commonly send keys.
_KEY_QUERY_PARAMETERS = ("api_key", "api-key", "key", "access_token")


class _GenerationHandler(handlers.AuthenticatedHandler):
    """`/v1/chat/completions` and `/v1/completions`."""

    _relay: relay_lib.Relay | None = None

    def initialize(self, parts: handlers.Parts, chat: bool) -> None:
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
        work = attempts_lib.AttemptWork(
            request,
            key.team,
            generation.required_model,
            generation.cost,
            generation.blocks,
            time.monotonic() + self.patience(),
        )
        relay = relay_lib.Relay(
            gateway=self.gateway,
            pool=self.parts.pool,
            attempts=self.attempts(work),
            request=request,
            team=key.team,
            generation=generation,
            emit=self._send_event if generation.stream else _discard_event,
        )
        self._relay = relay
        result = await self.run_with_credit(
            request,
            key.team,
            generation.cost,
            relay.run,
            lambda: (
                generation.prompt_tokens + relay.tokens if relay.sent else 0
            ),
        )
        if isinstance(result, findings.Failure):
            return result
        await self._respond(request, generation, result)
        return None

    async def _send_event(self, data: bytes) -> None:
        if not self._headers_written:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")
            # Without this, a small write waits until the caller acknowledges
            # the previous one, which a delayed acknowledgement postpones by up
            # to 40 ms.
            self.request.connection.stream.set_nodelay(True)
        await self._write(sse.encode(data))

    async def _write(self, data: bytes) -> None:
        self.write(data)
        flushed = self.flush()
        if flushed.done():
            return
        # Without a time limit, a caller that does not read would occupy its
        # slot on the target, and memory for queued events, forever.
        seconds = self.gateway.settings.requests.stream_silence_seconds
        try:
            async with asyncio.timeout(seconds):
                await flushed
        except TimeoutError:
            raise iostream.StreamClosedError from None

    async def _respond(
        self,
        request: str,
        generation: generation_lib.Generation,
        result: relay_lib.Finished,
    ) -> None:
        if generation.stream:
            await self._send_event(sse.DONE)
            await self.finish()
            return
        self.set_header("Content-Type", "application/json")
        await self.finish(
            msgspec.json.encode(_completion_body(request, generation, result))
        )


async def _discard_event(data: bytes) -> None:
    """Discards an event of an answer that is sent only when complete."""


def _completion_body(
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


class _ServiceHandler(handlers.AuthenticatedHandler):
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
            available = [name for name in allowed if name in rules.services]
            what = findings.unknown_word("service", self._name, available)
            return findings.not_run("unknown_service", what, status=404)
        for name in _KEY_QUERY_PARAMETERS:
            if self.get_query_argument(name, None) is not None:
                return findings.not_run(
                    "key_in_request",
                    f"query parameter {name!r} is not forwarded; send your "
                    "key in the Authorization header only",
                    status=400,
                )
        work = attempts_lib.AttemptWork(
            request,
            key.team,
            f"service:{service.name}",
            service.cost,
            (),
            time.monotonic() + self.patience(),
        )
        call = service_calls.ServiceCall(
            gateway=self.gateway,
            pool=self.parts.pool,
            attempts=self.attempts(work),
            request=request,
            team=key.team,
            service=service,
            call=self._read_call(),
        )
        self._call = call
        result = await self.run_with_credit(
            request,
            key.team,
            service.cost,
            call.run,
            lambda: service.cost if call.sent else 0,
        )
        if isinstance(result, findings.Failure):
            return result
        await self._respond(result)
        return None

    def _read_call(self) -> service_calls.Call:
        headers = {
            name: value
            for name, value in self.request.headers.get_all()
            if name.lower() not in handlers.NOT_FORWARDED_HEADERS
        }
        return service_calls.Call(
            self.request.method or "GET",
            self._path,
            headers,
            self.request.body,
            self.request.headers.get("Idempotency-Key", ""),
        )

    async def _respond(self, result: service_calls.Answer) -> None:
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


class _ModelsHandler(handlers.AuthenticatedHandler):
    """`/v1/models`: models and adapters that the caller's team may use."""

    async def get(self) -> None:
        key = self.check_key()
        if isinstance(key, findings.Failure):
            self.send_failure(key)
            return
        rules = self.gateway.view.rules
        names = rules.allowed.get(key.team, frozenset())
        rows = []
        for name in sorted(names):
            if rules.base_model(name) is None:
                continue
            row = {"id": name, "object": "model", "owned_by": key.team}
            adapter = rules.adapters.get(name)
            if adapter is not None:
                row["parent"] = adapter.model
            rows.append(row)
        self.write({"object": "list", "data": rows})


class _AddressesHandler(handlers.Handler):
    """`/v1/addresses`: hosts to which a caller should connect."""

    def get(self) -> None:
        failure = self.gateway.lease_failure()
        if failure is not None:
            self.send_failure(failure)
            return
        selected = addresses.choose(
            self.gateway.hosts,
            caller=self.request.remote_ip or "",
            domain=self.get_query_argument("domain", ""),
        )
        lifetime = self.gateway.settings.timing.address_lifetime_seconds
        rows = [{"url": host.url, "domain": host.domain} for host in selected]
        self.set_header("Cache-Control", f"max-age={int(lifetime)}")
        self.write({"addresses": rows, "lifetime_seconds": lifetime})


class _HealthHandler(handlers.Handler):
    """`/healthz` and `/readyz`."""

    def initialize(self, parts: handlers.Parts, ready: bool) -> None:
        super().initialize(parts)
        self._ready = ready

    def get(self) -> None:
        is_healthy = not self._ready or (
            self.gateway.leased and not self.gateway.draining
        )
        self.set_status(200 if is_healthy else 503)
        self.write(
            {
                "ok": is_healthy,
                "leased": self.gateway.leased,
                "draining": self.gateway.draining,
                "configuration": self.gateway.view.as_json(),
            }
        )


class _MetricsHandler(handlers.Handler):
    """`/metrics`."""

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.gateway.metrics.exposition())


def application(parts: handlers.Parts) -> web.Application:
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
        log_function=_discard_access_log,
    )


class _NotFoundHandler(handlers.Handler):
    """All other paths."""

    def prepare(self) -> None:
        raise web.HTTPError(404)


def _discard_access_log(handler: web.RequestHandler) -> None:
    """Replaces Tornado's access log; requests are logged as events."""
