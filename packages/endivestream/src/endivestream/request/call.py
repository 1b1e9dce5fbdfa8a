"""HTTP requests of callers and the connections that carry the answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import http.client
import socket
import struct
import weakref

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from endivestream import logs
from endivestream import tasks

# Hop-by-hop headers, which apply to a single connection and are not forwarded.
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

# Pieces of a body are joined until they have this size.
_MIN_PIECE_BYTES = 8 * 1024


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class Call:
    """A completely read request, and the means to answer it.

    Attributes:
        method: HTTP method.
        uri: Path and query as sent by the caller.
        headers: Headers sent by the caller.
        body: The complete body.
        arrived_at: Time at which the last byte was read.
        is_refused: Whether the host accepts no work from this connection.
    """

    def __init__(
        self,
        *,
        connection: http1connection.HTTP1Connection,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        arrived_at: float,
        is_refused: bool = False,
    ) -> None:
        self.method = start_line.method
        self.uri = start_line.path
        self.headers = headers
        self.body = body
        self.arrived_at = arrived_at
        self.is_refused = is_refused
        self._connection = connection
        self._version = start_line.version
        self._head_sent = False
        self._is_finished = False
        self._ends_with_connection = False
        self._sent_bytes = 0

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.uri.partition("?")[0]

    @property
    def passed_bytes(self) -> int:
        """Bytes of the bodies of request and answer so far."""
        return len(self.body) + self._sent_bytes

    @property
    def head_sent(self) -> bool:
        """Whether the status line and headers of the answer have been sent."""
        return self._head_sent

    @property
    def is_finished(self) -> bool:
        """Whether the answer has been marked as complete."""
        return self._is_finished

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and not yet passed on to the kernel."""
        # Tornado has no public way to ask for them.
        return len(self._connection.stream._write_buffer)

    def begin_head(
        self, status: int, headers: httputil.HTTPHeaders, chunk: bytes = b""
    ) -> asyncio.Future[None]:
        """Writes the head and first bytes; the future ends with the write."""
        self._ends_with_connection = (
            self._version == "HTTP/1.0" and "Content-Length" not in headers
        )
        reason_phrase = http.client.responses.get(status, "Unknown")
        response_line = httputil.ResponseStartLine(
            "HTTP/1.1", status, reason_phrase
        )
        written = self._connection.write_headers(
            response_line, headers, chunk or None
        )
        # Not before: headers that cannot be sent raise, and then another
        # answer can be sent.
        self._head_sent = True
        self._sent_bytes += len(chunk)
        return written

    def begin_write(self, chunk: bytes) -> asyncio.Future[None]:
        """Writes a part of the body; the future ends with the write."""
        self._sent_bytes += len(chunk)
        return self._connection.write(chunk)

    async def send_head(
        self, status: int, headers: httputil.HTTPHeaders, chunk: bytes = b""
    ) -> None:
        """Sends the status line, headers and first bytes of the body."""
        await self._write(lambda: self.begin_head(status, headers, chunk))

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body; waits while the caller reads slowly."""
        await self._write(lambda: self.begin_write(chunk))

    async def _write(self, send: Callable[[], Awaitable[None]]) -> None:
        try:
            await send()
        except (iostream.StreamClosedError, OSError) as error:
            raise CallerDisconnectedError(str(error)) from error

    def finish(self) -> None:
        """Marks the answer as complete."""
        try:
            self._connection.finish()
        except (iostream.StreamClosedError, OSError) as error:
            raise CallerDisconnectedError(str(error)) from error
        self._is_finished = True

    def abort(self) -> None:
        """Closes the connection, so that the answer is visibly incomplete."""
        stream = self._connection.stream
        if self._ends_with_connection and not stream.closed():
            # A normal close would be the end of the answer.
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self._connection.close()

    async def answer(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a complete answer that this host produced itself."""
        answer_headers = httputil.HTTPHeaders(headers)
        answer_headers["Content-Length"] = str(len(body))
        content = b"" if self.method == "HEAD" else body
        await self.send_head(status, answer_headers, content)
        self.finish()

    def close_connection(self) -> None:
        """Closes the connection after a complete answer."""
        self._connection.close()


class RequestServer(httputil.HTTPServerConnectionDelegate):
    """Reads complete requests and starts a task for each.

    The task is cancelled when the caller closes the connection.
    """

    def __init__(
        self,
        *,
        serve: Callable[[Call], Awaitable[None]],
        now: Callable[[], float],
        refuses_new: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initializes a server without connections.

        Args:
            serve: Serves a request.
            now: Returns the time.
            refuses_new: Returns whether the host accepts no work from
                connections that are opened now.
        """
        self._serve = serve
        self._now = now
        self._refuses_new = refuses_new
        self._running: set[asyncio.Task[None]] = set()
        # Weak: the server does not tell when it closes a connection.
        self._accepted_connections: weakref.WeakSet[object] = weakref.WeakSet()
        self._passed_bytes = 0

    @property
    def running(self) -> int:
        """Number of requests that are being served."""
        return len(self._running)

    @property
    def passed_bytes(self) -> int:
        """Bytes of the bodies of ended requests and their answers."""
        return self._passed_bytes

    def accepts(self, server_conn: object) -> bool:
        """Whether work from a connection is accepted.

        A connection that was opened before the host began to refuse stays
        accepted.
        """
        if not self._refuses_new():
            self._accepted_connections.add(server_conn)
        return server_conn in self._accepted_connections

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns a delegate that reads one request."""
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        self.accepts(server_conn)
        return _RequestReader(
            front=self, connection=request_conn, server_conn=server_conn
        )

    def on_close(self, server_conn: object) -> None:
        """Does nothing: the delegate of the request handles the close."""

    def start(self, call: Call) -> asyncio.Task[None]:
        """Starts a task that serves a request."""
        task = tasks.start(self._serve_to_end(call), "request")
        self._running.add(task)
        task.add_done_callback(lambda task: self._end(task, call))
        return task

    async def _serve_to_end(self, call: Call) -> None:
        """Serves a request; an error ends its answer."""
        try:
            await self._serve(call)
        except CallerDisconnectedError:
            pass
        except Exception as error:
            logs.log_error("request_unanswered", error, uri=call.uri[:256])
            if call.is_finished:
                return
            if call.head_sent:
                call.abort()
                return
            try:
                await call.answer(500, {}, b"internal error\n")
            except Exception:
                call.abort()
                raise

    def _end(self, task: asyncio.Task[None], call: Call) -> None:
        self._running.discard(task)
        self._passed_bytes += call.passed_bytes


class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and starts its task."""

    def __init__(
        self,
        *,
        front: RequestServer,
        connection: http1connection.HTTP1Connection,
        server_conn: object,
    ) -> None:
        self._front = front
        self._connection = connection
        self._server_conn = server_conn
        self._pieces: list[bytearray] = []
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
        # Small pieces are joined, as each object takes far more than its
        # bytes. Large ones are not: buffers that grow to different sizes leave
        # gaps between them, which the process keeps.
        if not self._pieces or len(self._pieces[-1]) >= _MIN_PIECE_BYTES:
            self._pieces.append(bytearray())
        self._pieces[-1] += chunk

    def finish(self) -> None:
        assert self._start_line is not None
        call = Call(
            connection=self._connection,
            start_line=self._start_line,
            headers=self._headers,
            body=b"".join(self._pieces),
            arrived_at=self._front._now(),
            is_refused=not self._front.accepts(self._server_conn),
        )
        self._pieces.clear()
        self._task = self._front.start(call)
        # Cancels the task immediately when the caller disconnects.
        self._connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._pieces.clear()
