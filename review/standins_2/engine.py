"""Stand-in of a model server: holds models, takes orders, streams answers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import http.server
import json
import threading
import time
from typing import NamedTuple

from standins_2 import site

# How long a server that crashes is gone.
_DOWN_SECONDS = 4.0
_BEAT_SECONDS = 1.2


class Model(NamedTuple):
    """One model of the configuration."""

    name: str
    weights_mb: float
    seconds: float


def document(version: int, models: Sequence[Model], weights_mb: float) -> dict:
    """Returns a configuration of one service of model servers."""
    config = site.document(version)
    config["routes"] = [
        {
            "name": "r-text",
            "host": "site.example",
            "pathPrefix": "/text/",
            "routeKind": "streaming",
            "timeoutMs": 12000,
            "objectiveMs": 4000,
            "priority": 1,
            "service": "llm",
            "maxAttempts": 1,
            "anonymous": True,
            "sticky": True,
            "resumable": False,
            "gapObjectiveMs": 300,
        }
    ]
    engine = {
        "slots": 64,
        "kvCapacity": 128179,
        "kvTokenBytes": 163840,
        "linkMbps": 260000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "maxCount": 12,
        "hostMb": 150000.0,
        "diskMb": 450000.0,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handle_s": 5.0,
        "models": [
            {
                "name": model.name,
                "weightsMb": model.weights_mb,
                "loadS": 4.2,
                "adapters": 0,
                "adapterSizeMb": 66.0,
                "warmS": 0.63,
                "diskS": model.seconds,
            }
            for model in models
        ],
        "weightsMb": weights_mb,
        "adapterSlots": 8,
        "loadsPerS": 2.6,
    }
    config["services"] = [
        {
            "name": "llm",
            "healthPath": "/healthz",
            "maxConns": 360,
            "protocol": "h1",
            "tls": False,
            "engine": engine,
        }
    ]
    return config


def client(
    address: str, port: int, record: site.Record, model: str
) -> site.Client:
    """Returns a client that asks for one model again and again."""
    return site.Client(
        address=address,
        port=port,
        record=record,
        every=0.1,
        path="/text/x",
        method="POST",
        seconds=13.0,
        headers={
            "Model": model,
            "Token-Count": "100,20",
            "Prefix-Hash": f"5c1e07a2:80,{model}0:20",
            "Deadline-Ms": "12000",
        },
    )


class Overload(NamedTuple):
    """An order that a server cannot hold."""

    at: float
    held: tuple[str, ...]
    model: str
    weights_mb: float


class Engine:
    """A server of models.

    A request for a model that it does not hold gets 421; an answer is a stream
    of events. It loads from its disk, one order at a time, and crashes if it is
    ordered to load more than it can hold. After a crash it is empty.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        port: int,
        control_port: int,
        controls: Callable[[], Sequence[str]],
        record: site.Record,
        zone: str,
        models: Sequence[Model],
        held: Sequence[str],
        weights_mb: float,
        run_seconds: float,
    ) -> None:
        self.name = name
        self.overloads: list[Overload] = []
        self.lost: list[str] = []
        self.orders: list[dict] = []
        self._service = service
        self._host, self._port = address, port
        self._control_port = control_port
        self._controls = controls
        self._record = record
        self._zone = zone
        self._models = {model.name: model for model in models}
        self._held = list(held)
        self._weights_mb = weights_mb
        self._run_seconds = run_seconds
        self._lock = threading.RLock()
        self._accepted = 0
        self._is_busy = False
        self._born = int(time.time() * 1000)
        self._number = 0
        self._running: set[str] = set()
        self._is_up = True
        self._incarnation = 0
        self._stop = threading.Event()
        self._http = self._listen()
        self._threads = [threading.Thread(target=self._report, daemon=True)]

    def start(self) -> None:
        """Starts to serve and to report."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stops."""
        self._stop.set()
        self._http.shutdown()
        self._http.server_close()

    # Requests and orders.

    def _listen(self) -> http.server.ThreadingHTTPServer:
        owner = self

        class _Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _handle(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                if not owner._is_up:
                    self.close_connection = True
                    return
                owner._answer(self, body)

            do_GET = do_POST = _handle

            def log_message(self, *arguments: object) -> None:
                pass

        server = http.server.ThreadingHTTPServer(
            (self._host, self._port), _Handler
        )
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    def _answer(
        self, handler: http.server.BaseHTTPRequestHandler, body: bytes
    ) -> None:
        if handler.path == "/healthz":
            _send(handler, 200, b"", {"Instance-Id": self.name})
            return
        if handler.path == "/report":
            _send_json(handler, 200, self._state())
            return
        if handler.headers.get("Expect-Instance", self.name) != self.name:
            _send(handler, 421, b"", {})
            return
        if handler.path == "/order":
            _send_json(handler, self._take_order(json.loads(body)), {})
            return
        self._run(handler)

    def _run(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        attempt = handler.headers.get("Attempt-Id", "")
        model = handler.headers.get("Model", "").partition("/")[0]
        fields = {"Attempt-Id": attempt}
        with self._lock:
            is_held = model in self._held
            incarnation = self._incarnation
            if is_held:
                self._running.add(attempt)
        if not is_held:
            _send(handler, 421, b"", fields)
            return
        self._record.write(f"{attempt} ({model}) runs at {self.name}")
        handler.send_response(200)
        for name, value in fields.items():
            handler.send_header(name, value)
        handler.send_header("Server-Seal", f"seal.{self.name}.{attempt}")
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Weight-Versions", "1")
        events = [f"id: {n}\ndata: token\n\n".encode() for n in range(1, 6)]
        handler.send_header("Content-Length", str(sum(map(len, events))))
        handler.end_headers()
        for event in events:
            time.sleep(self._run_seconds / len(events))
            if self._incarnation != incarnation:
                # It has crashed meanwhile.
                handler.close_connection = True
                return
            try:
                handler.wfile.write(event)
                handler.wfile.flush()
            except OSError:
                handler.close_connection = True
                break
        with self._lock:
            self._running.discard(attempt)

    def _take_order(self, order: dict) -> int:
        with self._lock:
            self.orders.append(order)
            model = order["model"]
            is_load = order["operation"] == "load"
            expected = order.get("precondition")
            if "holder" not in order or "fencingToken" not in order:
                return 400
            if order.get("adapter"):
                return 400
            if self._is_busy or expected not in (None, self._accepted):
                return 409
            if is_load == (model in self._held):
                return 200
            if is_load and model not in self._models:
                return 400
            self._accepted += 1
            self._record.write(
                f"{self.name} accepts {order['operation']} {model}, holds "
                f"{','.join(self._held)}"
            )
            if is_load:
                held_mb = sum(self._models[n].weights_mb for n in self._held)
                total_mb = held_mb + self._models[model].weights_mb
                if total_mb > self._weights_mb:
                    self._crash(model, total_mb)
                    return 202
            self._is_busy = True
            seconds = self._models[model].seconds if is_load else 0.1
            threading.Timer(
                seconds, self._complete, (is_load, model, self._incarnation)
            ).start()
            return 202

    def _complete(self, is_load: bool, model: str, incarnation: int) -> None:
        with self._lock:
            if incarnation != self._incarnation:
                return
            self._is_busy = False
            if is_load:
                self._held.append(model)
            else:
                self._held.remove(model)

    def _crash(self, model: str, total_mb: float) -> None:
        self.overloads.append(
            Overload(time.monotonic(), tuple(self._held), model, total_mb)
        )
        self.lost += sorted(self._running)
        self._record.write(
            f"{self.name} crashes at {total_mb:.0f} MB of "
            f"{self._weights_mb:.0f}; "
            f"its runs are lost: {sorted(self._running)}"
        )
        self._is_up = False
        self._incarnation += 1
        self._running.clear()
        self._held = []
        self._accepted = 0
        self._is_busy = False
        threading.Timer(_DOWN_SECONDS, self._come_back).start()

    def _come_back(self) -> None:
        with self._lock:
            self._born = int(time.time() * 1000)
            self._number = 0
            self._is_up = True
        self._record.write(f"{self.name} is back, empty")

    # Reports.

    def _state(self) -> dict:
        with self._lock:
            models = [
                {"name": name, "version": 1, "adapters": []}
                for name in self._held
            ]
            return {
                "stage": "combined",
                "models": models,
                "available": {"inMemory": [], "onDisk": list(self._models)},
                "busy": self._is_busy,
                "seq": self._accepted,
                "queued": 0,
                "active": len(self._running),
                "kvUsed": 0,
                "kvTotal": 90000,
                "handles": 0,
                "born": self._born,
            }

    def _beat(self) -> dict:
        with self._lock:
            self._number += 1
            state = self._state()
            return {
                "service": self._service,
                "address": f"{self._host}:{self._port}",
                "zone": self._zone,
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "coldLeftMs": 0,
                "stage": state["stage"],
                "models": state["models"],
                "available": state["available"],
                "seq": self._number,
                "born": self._born,
            }

    def _report(self) -> None:
        last = None
        next_at = 0.0
        while not self._stop.wait(0.05):
            with self._lock:
                held = (self._born, tuple(self._held))
            # It also reports when what it holds has changed.
            if not self._is_up or (time.monotonic() < next_at and held == last):
                continue
            last, next_at = held, time.monotonic() + _BEAT_SECONDS
            body = json.dumps(self._beat()).encode()
            for address in self._controls():
                answer = site.call(
                    address,
                    self._control_port,
                    "PUT",
                    f"/instances/{self.name}",
                    body=body,
                    headers={"Content-Type": "application/json"},
                )
                if answer.status == 200:
                    break


def _send(
    handler: http.server.BaseHTTPRequestHandler,
    status: int,
    body: bytes,
    fields: dict[str, str],
) -> None:
    handler.send_response(status)
    for name, value in fields.items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


def _send_json(
    handler: http.server.BaseHTTPRequestHandler, status: int, value: dict
) -> None:
    _send(
        handler,
        status,
        json.dumps(value).encode(),
        {"Content-Type": "application/json"},
    )
