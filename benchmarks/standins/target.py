"""Announcement and reports, common to all stand-in targets."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web

_MAX_GATEWAYS = 16


class Target:
    """Announces itself to one of its gateways, then reports periodically.

    Attributes:
        info: Fields of the announcement.
        draining: Whether reports declare the target as draining.
        silent: Whether reports are suppressed.
    """

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
        """Returns further fields of a report; subclasses override this."""
        return {}

    def listen(self, application: web.Application, port: int) -> int:
        """Starts an HTTP server on loopback; returns the port."""
        sockets = netutil.bind_sockets(port, "127.0.0.1")
        self._server = httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self.info["url"] = f"http://127.0.0.1:{port}"
        return port

    def start(self) -> None:
        """Starts the task that announces and reports."""
        self.info.setdefault("incarnation", time.time_ns() // 1_000_000)
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops reports and the server; closes all connections."""
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
                    self._prefer_gateways(answer["gateways"])
                if answer and answer["announce_again"]:
                    await self._announce()
            await asyncio.sleep(seconds)

    def _prefer_gateways(self, gateways: list[str]) -> None:
        """Moves `gateways` to the front; others remain as a fallback."""
        others = [g for g in self._gateways if g not in gateways]
        self._gateways = (gateways + others)[:_MAX_GATEWAYS]

    async def _announce(self) -> float:
        while True:
            answer = await self._post("/targets/announce", self.info)
            if answer:
                return float(answer["report_seconds"])
            await asyncio.sleep(0.2)

    async def _post(self, path: str, body: Any) -> dict[str, Any] | None:
        """Posts to the gateways in order, once each, until one accepts."""
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
