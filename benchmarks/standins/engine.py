"""Stand-in model engine with continuous batching, prefix cache and fencing.

Each token is a function of the prompt and the token's number. So any engine
can continue the stream of another one, and a reader can check that it received
every token exactly once.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import hashlib
import json
import time
from typing import Any

from tornado import iostream
from tornado import web

from standins import target as target_lib

_BLOCK_BYTES = 64


def token(prompt: str, number: int) -> str:
    """Returns token `number` (from 1) of the response to a prompt."""
    digest = hashlib.blake2b(f"{prompt}\0{number}".encode(), digest_size=3)
    return f"{digest.hexdigest()} "


def prompt_of(body: dict[str, Any]) -> str:
    """Returns the prompt of a request body, from which tokens are derived."""
    return json.dumps(body.get("messages") or body.get("prompt"))


@dataclasses.dataclass(kw_only=True)
class Options:
    """Speeds, capacities and injected faults of an engine.

    Attributes:
        step_seconds: Duration of one decoding step of the batch.
        prefill_tokens: Prompt tokens processed a second.
        load_seconds: Time to load a model.
        adapter_seconds: Time to load an adapter at its first use.
        adapters: Maximum of loaded adapters; the least recently used one is
            evicted.
        cache_blocks: Size of the prefix cache in blocks of 64 bytes.
        fencing: Whether orders with old fencing tokens are refused.
        lose_orders: Number of orders to ignore; decremented at each.
        late_orders_seconds: Delay before an order is carried out.
        break_after: Number of tokens after which the connection is closed;
            0 for never.
        stall_after: Number of tokens after which nothing more is sent;
            0 for never.
        end_after: Number of tokens after which the response ends regularly,
            but without its final marker; 0 for never.
        wrong_attempt: Whether to respond with the id and tokens of another
            attempt.
        retry_after: Retry-After with which all requests are refused; empty for
            no refusals.
    """

    step_seconds: float = 0.01
    prefill_tokens: float = 20000.0
    load_seconds: float = 0.2
    adapter_seconds: float = 0.0075
    adapters: int = 32
    cache_blocks: int = 4096
    fencing: bool = True
    lose_orders: int = 0
    late_orders_seconds: float = 0.0
    break_after: int = 0
    stall_after: int = 0
    end_after: int = 0
    wrong_attempt: bool = False
    retry_after: str = ""


@dataclasses.dataclass(kw_only=True, eq=False)
class _Sequence:
    prompt: str
    generated: int
    token_limit: int
    events: asyncio.Queue[int]


class Engine(target_lib.Target):
    """Simulated model engine that runs as a process or as a task.

    Attributes:
        options: Speeds, capacities and injected faults.
        loaded: Memory of each loaded model.
        slots: Number of requests that may run in parallel.
        seen: Received completion requests: headers, body and uri.
        cancelled: Number of requests whose connection closed prematurely.
        cache_hits: Number of prompt blocks found in the prefix cache.
        most_memory: Maximum of the memory used by loaded models.
    """

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        gateways: list[str],
        memory: int = 1000,
        slots: int = 8,
        loaded: dict[str, int] | None = None,
        resumes: bool = True,
        options: Options | None = None,
        target_token: str = "",
        software: str = "",
    ) -> None:
        self.options = options or Options()
        super().__init__(
            info={
                "name": name,
                "kind": "engine",
                "domain": domain,
                "memory": memory,
                "slots": slots,
                "checks_fencing": self.options.fencing,
                "resumes": resumes,
                "loaded": dict(loaded or {}),
                "software": software,
            },
            gateways=gateways,
            token=target_token,
        )
        self.loaded = dict(loaded or {})
        self.slots = slots
        self.seen: list[dict[str, Any]] = []
        self.cancelled = 0
        self.cache_hits = 0
        self.most_memory = sum(self.loaded.values())
        self._fence = [0, 0]
        self._batch: list[_Sequence] = []
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._adapters: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._step_task: asyncio.Task[None] | None = None
        self._orders: set[asyncio.Task[None]] = set()

    def serve(self, port: int = 0) -> int:
        """Starts to serve, announce and report; returns the port."""
        routes = [
            (r"/v1/(chat/)?completions", _CompletionHandler, {"engine": self}),
            (r"/endivestream/orders", _OrderHandler, {"engine": self}),
        ]
        port = self.listen(
            web.Application(routes, log_function=lambda handler: None), port
        )
        self.start()
        return port

    def report(self) -> dict[str, Any]:
        """Returns the loaded models and the load for the next report."""
        return {
            "loaded": sorted(self.loaded),
            "running": len(self._batch),
            "queued_tokens": sum(
                s.token_limit - s.generated for s in self._batch
            ),
        }

    def prefill_seconds(self, prompt: str) -> float:
        """Returns the prefill time of the blocks that are not in the cache.

        Adds these blocks to the cache.
        """
        digest = hashlib.blake2b(digest_size=8)
        missing_blocks = 0
        for start in range(0, len(prompt), _BLOCK_BYTES):
            digest.update(prompt[start : start + _BLOCK_BYTES].encode())
            name = digest.hexdigest()
            if name in self._cache:
                self._cache.move_to_end(name)
                self.cache_hits += 1
                continue
            missing_blocks += 1
            self._cache[name] = None
            if len(self._cache) > self.options.cache_blocks:
                self._cache.popitem(last=False)
        return missing_blocks * _BLOCK_BYTES / 4 / self.options.prefill_tokens

    def adapter_seconds(self, model: str, adapter: str) -> float:
        """Returns the time to load an adapter and marks it as loaded."""
        if adapter == model:
            return 0.0
        is_loaded = adapter in self._adapters
        self._adapters[adapter] = None
        self._adapters.move_to_end(adapter)
        if len(self._adapters) > self.options.adapters:
            self._adapters.popitem(last=False)
        return 0.0 if is_loaded else self.options.adapter_seconds

    def add(self, prompt: str, generated: int, token_limit: int) -> _Sequence:
        """Adds a sequence to the running batch."""
        sequence = _Sequence(
            prompt=prompt,
            generated=generated,
            token_limit=token_limit,
            events=asyncio.Queue(),
        )
        self._batch.append(sequence)
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.create_task(self._run_steps())
        return sequence

    def remove(self, sequence: _Sequence) -> None:
        """Removes a finished or cancelled sequence from the batch."""
        if sequence in self._batch:
            self._batch.remove(sequence)

    async def _run_steps(self) -> None:
        due = time.monotonic()
        while self._batch:
            due = max(due + self.options.step_seconds, time.monotonic())
            await asyncio.sleep(due - time.monotonic())
            for sequence in list(self._batch):
                sequence.generated += 1
                sequence.events.put_nowait(sequence.generated)
                if sequence.generated >= sequence.token_limit:
                    self._batch.remove(sequence)

    def order(self, order: dict[str, Any]) -> str:
        """Accepts an order; returns the refusal reason or an empty string."""
        if order["incarnation"] != self.info["incarnation"]:
            return "order for another incarnation"
        if self.options.fencing and order["fence"] < self._fence:
            return f"fencing token {order['fence']} is older than {self._fence}"
        self._fence = max(self._fence, order["fence"])
        if self.options.lose_orders:
            self.options.lose_orders -= 1
            return ""
        task = asyncio.create_task(self._load(order["model"], order["memory"]))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)
        return ""

    async def _load(self, model: str, memory: int) -> None:
        seconds = self.options.late_orders_seconds + self.options.load_seconds
        await asyncio.sleep(seconds)
        self.loaded[model] = memory
        self.most_memory = max(self.most_memory, sum(self.loaded.values()))


class _OrderHandler(web.RequestHandler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    def post(self) -> None:
        refusal = self.engine.order(json.loads(self.request.body))
        if refusal:
            self.set_status(409)
        self.write({"accepted": not refusal, "reason": refusal})


class _CompletionHandler(web.RequestHandler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine
        self._sequence: _Sequence | None = None
        self._cancelled = False

    async def post(self, chat: str | None) -> None:
        body = json.loads(self.request.body)
        self.engine.seen.append(
            {
                "headers": dict(self.request.headers.get_all()),
                "body": body,
                "uri": self.request.uri,
            }
        )
        if self.engine.options.retry_after:
            self.set_status(503)
            self.set_header("Retry-After", self.engine.options.retry_after)
            self.write({"error": {"message": "refused"}})
            return
        if self.engine.draining:
            self.set_status(503)
            self.write({"error": {"message": "draining"}})
            return
        prompt = prompt_of(body)
        continuation = body.get("endivestream", {}).get("continue_from", {})
        generated = continuation.get("tokens", 0)
        model = self.request.headers.get("Endivestream-Model", body["model"])
        await asyncio.sleep(self.engine.adapter_seconds(model, body["model"]))
        await asyncio.sleep(self.engine.prefill_seconds(prompt))
        if self.request.connection.stream.closed():
            # Finishing here would keep Tornado from calling
            # on_connection_close, so the request is counted here.
            self._count_cancelled()
            return
        self._sequence = self.engine.add(prompt, generated, body["max_tokens"])
        self.set_header("Content-Type", "text/event-stream")
        self.request.connection.stream.set_nodelay(True)
        try:
            await self._stream(body, prompt, generated, bool(chat))
        except iostream.StreamClosedError:
            pass  # Counted by on_connection_close.
        finally:
            self.engine.remove(self._sequence)

    async def _stream(
        self, body: dict[str, Any], prompt: str, generated: int, chat: bool
    ) -> None:
        assert self._sequence is not None
        options = self.engine.options
        sent = 0
        while generated < body["max_tokens"]:
            generated = await self._sequence.events.get()
            if options.break_after and sent >= options.break_after:
                self.request.connection.stream.close()
                return
            if options.stall_after and sent >= options.stall_after:
                await asyncio.Event().wait()
            if options.end_after and sent >= options.end_after:
                await self.finish()
                return
            text = token(prompt, generated)
            if options.wrong_attempt:
                text = token("another caller's prompt", generated)
            choice: dict[str, Any] = {"index": 0, "finish_reason": None}
            if chat:
                choice["delta"] = {"content": text}
                if generated == 1:
                    choice["delta"]["role"] = "assistant"
            else:
                choice["text"] = text
            await self._send_event(body, generated, generated, [choice], {})
            sent += 1
        choice = {"index": 0, "finish_reason": "length"}
        choice.update({"delta": {}} if chat else {"text": ""})
        usage = {
            "prompt_tokens": len(prompt) // 4,
            "completion_tokens": generated,
            "total_tokens": len(prompt) // 4 + generated,
        }
        await self._send_event(
            body, generated + 1, generated, [choice], {"usage": usage}
        )
        self.write("data: [DONE]\n\n")
        await self.finish()

    async def _send_event(
        self,
        body: dict[str, Any],
        first: int,
        last: int,
        choices: list[dict[str, Any]],
        extra_fields: dict[str, Any],
    ) -> None:
        headers = self.request.headers
        attempt = headers["Endivestream-Attempt"]
        if self.engine.options.wrong_attempt:
            attempt = "someone-else.1"
        data = {
            "id": headers["Endivestream-Request"],
            "object": "chat.completion.chunk",
            "created": 0,
            "model": body["model"],
            "choices": choices,
            **extra_fields,
        }
        self.write(
            f"id: {attempt}/{first}/{last}\ndata: {json.dumps(data)}\n\n"
        )
        await self.flush()

    def on_connection_close(self) -> None:
        self._count_cancelled()
        if self._sequence is not None:
            self.engine.remove(self._sequence)

    def _count_cancelled(self) -> None:
        if not self._cancelled:
            self._cancelled = True
            self.engine.cancelled += 1


async def _main(arguments: argparse.Namespace) -> None:
    loaded = {}
    for pair in arguments.model:
        name, _, memory = pair.partition(":")
        loaded[name] = int(memory)
    engine = Engine(
        name=arguments.name,
        domain=arguments.domain,
        gateways=arguments.gateway,
        memory=arguments.memory,
        slots=arguments.slots,
        loaded=loaded,
        resumes=not arguments.no_resume,
        options=Options(
            step_seconds=arguments.step_seconds,
            load_seconds=arguments.load_seconds,
            fencing=not arguments.no_fencing,
        ),
    )
    print(f"port={engine.serve(arguments.port)}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Runs an engine as a process."""
    parser = argparse.ArgumentParser(prog="standins.engine")
    parser.add_argument("--name", required=True)
    parser.add_argument("--domain", default="local")
    parser.add_argument("--gateway", action="append", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--memory", type=int, default=1000)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--model", action="append", default=[])
    parser.add_argument("--step-seconds", type=float, default=0.01)
    parser.add_argument("--load-seconds", type=float, default=0.2)
    parser.add_argument("--no-fencing", action="store_true")
    parser.add_argument("--no-resume", action="store_true")
    asyncio.run(_main(parser.parse_args()))


if __name__ == "__main__":
    main()
