"""One caller's request on its connection, and the way its answer goes back."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import http.client

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from endivestream import tasks

# Headers that speak of one connection only.
HOP_HEADERS = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
    }
)


class GoneError(Exception):
    """The caller has closed its connection."""


class Call:
    """A whole request that was read, and its answer.

    Attributes:
        method: The method.
        uri: Path and query, as the caller sent them.
        headers: The caller's headers.
        body: The whole body.
        came: When its last byte was read.
    """

    def __init__(
        self,
        *,
        connection: http1connection.HTTP1Connection,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        came: float,
    ) -> None:
        self.method = start_line.method
        self.uri = start_line.path
        self.headers = headers
        self.body = body
        self.came = came
        self._connection = connection
        self._begun = False

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.uri.partition("?")[0]

    @property
    def begun(self) -> bool:
        """Whether the head of an answer has been sent."""
        return self._begun

    async def begin(
        self, status: int, headers: httputil.HTTPHeaders, chunk: bytes = b""
    ) -> None:
        """Sends the head and the first bytes of the body."""
        self._begun = True
        reason = http.client.responses.get(status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        await self._write(
            lambda: self._connection.write_headers(line, headers, chunk or None)
        )

    async def write(self, chunk: bytes) -> None:
        """Sends more of the body; waits while the caller is slow to read."""
        await self._write(lambda: self._connection.write(chunk))

    async def _write(self, send: Callable[[], Awaitable[None]]) -> None:
        try:
            await send()
        except (iostream.StreamClosedError, OSError) as error:
            raise GoneError(str(error)) from error

    def finish(self) -> None:
        """Ends a whole answer."""
        try:
            self._connection.finish()
        except (iostream.StreamClosedError, OSError) as error:
            raise GoneError(str(error)) from error

    def abort(self) -> None:
        """Closes the connection, so that the answer does not look whole."""
        self._connection.close()

    async def answer(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a whole answer of our own."""
        fields = httputil.HTTPHeaders(headers)
        fields["Content-Length"] = str(len(body))
        await self.begin(status, fields, body)
        self.finish()


class Front(httputil.HTTPServerConnectionDelegate):
    """Reads whole requests and starts a task for each.

    The task is cancelled when its caller closes the connection.
    """

    def __init__(
        self,
        *,
        serve: Callable[[Call], Awaitable[None]],
        now: Callable[[], float],
    ) -> None:
        self._serve = serve
        self._now = now
        self._running: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """Requests under way."""
        return len(self._running)

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns what takes one request's parts."""
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        return _Incoming(front=self, connection=request_conn)

    def on_close(self, server_conn: object) -> None:
        """A connection has ended; its request has heard of it."""

    def start(self, call: Call) -> asyncio.Task[None]:
        """Starts to serve a request that was read."""
        task = tasks.start(self._serve(call), "request")
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task


class _Incoming(httputil.HTTPMessageDelegate):
    """Gathers one request."""

    def __init__(
        self, *, front: Front, connection: http1connection.HTTP1Connection
    ) -> None:
        self._front = front
        self._connection = connection
        self._chunks: list[bytes] = []
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start_line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        assert self._start_line is not None
        call = Call(
            connection=self._connection,
            start_line=self._start_line,
            headers=self._headers,
            body=b"".join(self._chunks),
            came=self._front._now(),
        )
        self._task = self._front.start(call)
        # The work of a caller who has left must end at once.
        self._connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()
