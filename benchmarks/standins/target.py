"""What every stand-in target does: announce itself and report."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web

_GATEWAYS_KEPT = 16


class Target:
    """Announces to any of its gateways, then reports on a timer."""

    def __init__(
        self, *, info: dict[str, Any], gateways: list[str], token: str = ""
    ) -> None:
        self.info = info
        self.draining = False
        self.silent = False
        self._gateways = list(gateways)
        self._token = token
        self._sequence = 0
        self._task: asyncio.Task[None] | None = None
        self._server: httpserver.HTTPServer | None = None
        self._client = httpclient.AsyncHTTPClient(force_instance=True)

    def report(self) -> dict[str, Any]:
        """Returns what changes; subclasses add to it."""
        return {}

    def listen(self, application: web.Application, port: int) -> int:
        """Serves on loopback; returns the port."""
        sockets = netutil.bind_sockets(port, "127.0.0.1")
        self._server = httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self.info["url"] = f"http://127.0.0.1:{port}"
        return port

    def start(self) -> None:
        """Starts to announce and report."""
        self.info.setdefault("incarnation", time.time_ns() // 1_000_000)
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops reporting and serving at once."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
        self._client.close()

    async def _run(self) -> None:
        seconds = await self._announce()
        while True:
            if not self.silent:
                self._sequence += 1
                answer = await self._post(
                    "/targets/report",
                    {
                        "name": self.info["name"],
                        "incarnation": self.info["incarnation"],
                        "sequence": self._sequence,
                        "draining": self.draining,
                        **self.report(),
                    },
                )
                if answer:
                    self._prefer(answer["gateways"])
                if answer and answer["announce_again"]:
                    await self._announce()
            await asyncio.sleep(seconds)

    def _prefer(self, gateways: list[str]) -> None:
        """Puts gateways first; those known before stay as a last resort."""
        others = [g for g in self._gateways if g not in gateways]
        self._gateways = (gateways + others)[:_GATEWAYS_KEPT]

    async def _announce(self) -> float:
        while True:
            answer = await self._post("/targets/announce", self.info)
            if answer:
                return float(answer["report_seconds"])
            await asyncio.sleep(0.2)

    async def _post(self, path: str, body: Any) -> dict[str, Any] | None:
        """Sends to the first gateway that answers, each tried once."""
        headers = {"Content-Type": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        for gateway in list(self._gateways):
            try:
                answer = await self._client.fetch(
                    gateway + path,
                    method="POST",
                    headers=headers,
                    body=json.dumps(body),
                    connect_timeout=0.5,
                    request_timeout=2.0,
                )
                return json.loads(answer.body)
            except (OSError, httpclient.HTTPError):
                continue
        return None
