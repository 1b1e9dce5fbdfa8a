"""HTTP server whose clients cannot exhaust the memory or descriptors.

Clients may open connections without end, stop in the middle of a head or of a
body, send bodies over the limit or in very small chunks, queue requests, or
leave their answers unread. The server bounds what they make the process hold,
whatever they send:

| held | bound | response when it is reached |
| --- | --- | --- |
| descriptors | connections of the listener | the connection is closed that \
has waited longest for its client; one whose request is being served only if \
its client sends ahead or does not read |
| heads | header limit; larger ones count toward the budget of requests | \
closed, or refused with 503 |
| bodies | body limit, budget of requests of the process | 413; 503 |
| bytes behind a running request, unsent answers | shares of the memory | the \
largest ones are closed |
| processor time for small chunks | one batch in each turn of the event loop | \
other bodies and requests go first |
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import errno
import fcntl
import http.client
import math
import re
import select
import socket
import struct
import sys
import termios
from typing import Any
from typing import NamedTuple

from tornado import http1connection
from tornado import httpserver
from tornado import httputil
from tornado import iostream

from endivestream import clock
from endivestream import findings
from endivestream import logs
from endivestream.process import request_memory as request_memory_lib

# Bytes of a head and of a body that are read at a time. Each connection holds
# as many of an unfinished body, and twice as many of one in chunks.
_READ_HEAD_BYTES = 64 * 1024
_READ_BODY_BYTES = 16 * 1024
# Memory of a field of a head: name, value and their entries. Heads up to the
# second bound are part of what each connection takes.
_FIELD_BYTES = 256
_UNCOUNTED_HEAD_BYTES = 16 * 1024
# Unsent bytes of a connection from which on each write checks those of all.
_UNCOUNTED_UNSENT_BYTES = 64 * 1024
# Time without progress after which a client counts as not reading its answer.
_UNREAD_SECONDS = 2.0
# Chunks of a body that are decoded at a time.
_CHUNKS_PER_TURN = 64
# Errors of accept() that end when descriptors or memory are freed.
_EXHAUSTED_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
# Part of the connections that is closed when the process has no descriptors
# left: its links and its connections to targets need some as well.
_EXHAUSTED_SHARE = 0.25
_MIN_CONNECTIONS = 8
_ACCEPT_PAUSE_SECONDS = 0.1
_REFUSAL_RETRY_SECONDS = 0.05
_LENGTH_PATTERN = re.compile(r"[0-9]{1,18}")
_CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Limits(NamedTuple):
    """Limits of a listener on its clients.

    Attributes:
        connections: Maximum number of open connections.
        header_bytes: Maximum size of a head.
        body_bytes: Maximum size of a body.
        header_seconds: Maximum time for a head, from its first byte on.
        idle_seconds: Maximum time without a byte, between requests and in a
            body.
    """

    connections: int
    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


def _as_text(failure: findings.Failure) -> tuple[str, bytes]:
    """Returns the type and body of the answer to a refused request."""
    body = f"{failure.reason}: {failure.detail}\n".encode()
    return "text/plain; charset=utf-8", body


class Refusal(NamedTuple):
    """How the server refuses requests.

    Attributes:
        headers: Headers of refusals for lack of memory, besides the time to
            come back.
        retry_after: Name of the header with that time.
        request_id: Name of the header with the id of a request, for the log.
        encode: Returns the type and body of the answer.
    """

    headers: Mapping[str, str] = {}
    retry_after: str = "Retry-After"
    request_id: str = ""
    encode: Callable[[findings.Failure], tuple[str, bytes]] = _as_text


_PLAIN_REFUSAL = Refusal()


class _Phase(enum.Enum):
    """What a connection waits for, in the order in which it is closed."""

    HEAD = enum.auto()
    BODY = enum.auto()
    SERVED = enum.auto()


class ChunkTurns:
    """Decoding of chunked bodies, shared by all connections of a process.

    Decoding a chunk costs far more than sending it. Bodies of many chunks take
    turns, one in each turn of the event loop, so that the number of such
    bodies does not delay other requests.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    def next_turn(self) -> asyncio.Future[None]:
        """Returns a future that is done when the body may be decoded on."""
        loop = asyncio.get_running_loop()
        if not self._waiting:
            loop.call_soon(self._grant)
        future = loop.create_future()
        self._waiting.append(future)
        return future

    def _grant(self) -> None:
        future = self._waiting.popleft()
        if not future.done():
            future.set_result(None)
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._grant)


class _BoundedStream:
    """A stream that takes turns to decode, and reports unsent bytes.

    Tornado reads the size of each chunk, and nothing else, with `read_until`.
    """

    def __init__(
        self,
        *,
        stream: iostream.IOStream,
        turns: ChunkTurns,
        on_unsent: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._turns = turns
        self._on_unsent = on_unsent
        self._chunk_count = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and not yet passed to the kernel."""
        # Tornado has no public way to ask for them.
        buffer = self._stream._write_buffer
        return 0 if buffer is None else len(buffer)

    def set_read_bytes(self, size: int) -> None:
        """Sets the number of bytes that are read at a time."""
        self._stream.read_chunk_size = size

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Reads up to a delimiter."""
        self._chunk_count += 1
        if self._chunk_count % _CHUNKS_PER_TURN:
            return self._stream.read_until(delimiter, max_bytes)
        return self._read_in_turn(delimiter, max_bytes)

    async def _read_in_turn(
        self, delimiter: bytes, max_bytes: int | None
    ) -> bytes:
        await self._turns.next_turn()
        return await self._stream.read_until(delimiter, max_bytes)

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Writes bytes; those that the kernel does not take are unsent."""
        written = self._stream.write(data)
        if self.unsent_bytes > _UNCOUNTED_UNSENT_BYTES:
            self._on_unsent()
        return written


class _Connection:
    """A connection and what it waits for.

    Attributes:
        stream: The connection.
        phase: What it waits for.
        waits_since: Time at which the client last did what it had to.
        head_began_at: Time at which the first byte of a head was seen; None
            before it.
        guard: The request that is being read or served.
    """

    def __init__(self, *, stream: _BoundedStream, now: float) -> None:
        self.stream = stream
        self.phase = _Phase.HEAD
        self.waits_since = now
        self.head_began_at: float | None = None
        self._taken_bytes = 0
        self._taken_at = now
        self.guard: _RequestGuard | None = None

    @property
    def has_buffered(self) -> bool:
        """Whether bytes have been read that nobody has asked for yet."""
        # Tornado has no public way to ask for them.
        return bool(self.stream._read_buffer_size)

    def record_taken(self, now: float) -> None:
        """Records whether the client has taken bytes of its answer."""
        taken = self.stream._total_write_done_index
        if taken != self._taken_bytes or not self.stream.unsent_bytes:
            self._taken_bytes, self._taken_at = taken, now

    def unread_seconds(self, now: float) -> float:
        """Returns how long the client has taken nothing of its answer."""
        return now - self._taken_at if self.stream.unsent_bytes else 0.0

    def unread_bytes(self) -> int:
        """Returns the bytes that were received and not asked for."""
        if self.stream.closed() or not self.has_buffered:
            # Without buffered bytes the stream reads what arrives.
            return 0
        buffer = fcntl.ioctl(
            self.stream.fileno(), termios.FIONREAD, struct.pack("i", 0)
        )
        (in_kernel,) = struct.unpack("i", buffer)
        return self.stream._read_buffer_size + in_kernel

    def has_left(self) -> bool:
        """Returns whether the client has closed the connection.

        The stream notices that itself unless it holds bytes that nobody reads.
        """
        if self.stream.closed() or not self.has_buffered:
            return False
        poll = select.poll()
        poll.register(self.stream.fileno(), select.POLLRDHUP)
        return any(events & _CLOSE_EVENTS for _, events in poll.poll(0))


class _AcceptingSocket:
    """A listening socket whose accept() does not fail for lack of resources.

    The event loop would call a failing accept() again at once, without end.
    """

    def __init__(
        self, *, listening: socket.socket, server: BoundedServer
    ) -> None:
        self._listening = listening
        self._server = server

    def fileno(self) -> int:
        """Returns the descriptor of the socket."""
        return self._listening.fileno()

    def accept(self) -> tuple[socket.socket, Any]:
        """Accepts a connection.

        Raises:
            BlockingIOError: There is none, or the process lacks descriptors.
        """
        try:
            return self._listening.accept()
        except OSError as error:
            if error.errno not in _EXHAUSTED_ERRORS:
                raise
            self._server.make_room(self.fileno(), error)
            raise BlockingIOError from error

    def close(self) -> None:
        """Closes the socket."""
        self._listening.close()


class BoundedServer(httpserver.HTTPServer):
    """Serves the clients of one listener within its bounds.

    `stop` ends it. The owner calls `check` about once a second.
    """

    # Tornado constructs servers by `initialize`.
    def initialize(  # type: ignore[override]
        self,
        handler: Any,
        *,
        name: str,
        limits: Limits,
        memory: request_memory_lib.RequestMemory,
        turns: ChunkTurns,
        max_unread: float = math.inf,
        max_unsent: float = math.inf,
        refusal: Refusal = _PLAIN_REFUSAL,
    ) -> None:
        """Initializes a server without connections.

        Args:
            handler: Handles the requests: an application or a delegate.
            name: Name of the listener, in the log and in metrics.
            limits: Limits on clients.
            memory: Bounds the memory of the requests of the process.
            turns: Decoding of chunked bodies of the process.
            max_unread: Maximum number of bytes behind running requests.
            max_unsent: Maximum number of unsent bytes of answers.
            refusal: How requests are refused for lack of memory.
        """
        super().initialize(handler, chunk_size=_READ_BODY_BYTES)
        self.name = name
        self._memory = memory
        self._turns = turns
        self._max_unread = max_unread
        self._max_unsent = max_unsent
        self._refusal = refusal
        self._open: dict[_BoundedStream, _Connection] = {}
        # In the order in which the connections began to wait.
        self._waiting: dict[_Phase, dict[_Connection, None]] = {
            phase: {} for phase in _Phase
        }
        self._counts: collections.Counter[str] = collections.Counter()
        self.set_limits(limits)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._open)

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of closed connections and refused requests, by reason."""
        return self._counts

    @property
    def limits(self) -> Limits:
        """Limits on clients."""
        return self._limits

    def set_limits(self, limits: Limits) -> None:
        """Applies limits to the next head, and to bodies that begin."""
        self._limits = limits
        self._allowed_connections = limits.connections
        self.conn_params.max_header_size = limits.header_bytes
        # Tornado takes the time without a request for that of the head.
        self.conn_params.header_timeout = limits.idle_seconds
        # The server checks bodies itself, and answers with 413.
        self.conn_params.max_body_size = sys.maxsize
        self.max_buffer_size = limits.header_bytes + 2 * _READ_HEAD_BYTES

    # Connections.

    def add_sockets(self, sockets: Sequence[socket.socket]) -> None:
        """Accepts connections on listening sockets."""
        super().add_sockets(
            [_AcceptingSocket(listening=each, server=self) for each in sockets]
        )

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Serves a new connection; at the bound, closes another for it."""
        if (
            len(self._open) >= self._allowed_connections
            and not self._close_longest_waiting()
        ):
            self._counts["not_accepted"] += 1
            stream.close()
            return
        wrapped = _BoundedStream(
            stream=stream, turns=self._turns, on_unsent=self._check_unsent
        )
        connection = _Connection(stream=wrapped, now=clock.now())
        self._open[wrapped] = connection
        self._waiting[_Phase.HEAD][connection] = None
        super().handle_stream(wrapped, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns a delegate that reads one request within the bounds."""
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        connection = self._open[server_conn.stream]
        self._end_request(connection)
        connection.head_began_at = None
        connection.stream.set_read_bytes(_READ_HEAD_BYTES)
        self.set_phase(connection, _Phase.HEAD)
        return _RequestGuard(
            server=self,
            connection=connection,
            request_conn=request_conn,
            delegate=super().start_request(server_conn, request_conn),
        )

    def on_close(self, server_conn: object) -> None:
        """Releases what a closed connection held."""
        super().on_close(server_conn)
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        connection = self._open.pop(server_conn.stream)
        del self._waiting[connection.phase][connection]
        self._end_request(connection)

    def set_phase(self, connection: _Connection, phase: _Phase) -> None:
        """Records that a connection begins to wait, as the last one."""
        del self._waiting[connection.phase][connection]
        connection.phase = phase
        connection.waits_since = clock.now()
        self._waiting[phase][connection] = None

    def make_room(self, descriptor: int, error: OSError) -> None:
        """Closes connections after the process ran out of descriptors.

        Fewer connections are allowed from then on; `check` raises their number
        again.
        """
        self._allowed_connections = max(
            _MIN_CONNECTIONS,
            int((1 - _EXHAUSTED_SHARE) * len(self._open)),
        )
        closed_count = 0
        while (
            len(self._open) - closed_count > self._allowed_connections
            and self._close_longest_waiting()
        ):
            closed_count += 1
        logs.warn(
            "descriptors_exhausted",
            listener=self.name,
            connections=len(self._open),
            closed=closed_count,
            error=error,
        )
        if not closed_count:
            self._handlers[descriptor]()
            self._handlers[descriptor] = _do_nothing
            asyncio.get_running_loop().call_later(
                _ACCEPT_PAUSE_SECONDS, self._accept_again, descriptor
            )

    def _accept_again(self, descriptor: int) -> None:
        if self._stopped or descriptor not in self._sockets:
            return
        super().add_sockets([self._sockets[descriptor]])

    def _close_longest_waiting(self) -> bool:
        """Closes the connection that has waited longest for its client.

        If the requests of all connections are being served, one whose client
        sends ahead or leaves its answer unread is closed.
        """
        for phase in (_Phase.HEAD, _Phase.BODY):
            for connection in self._waiting[phase]:
                if not connection.stream.closed():
                    self._close(connection, f"{phase.name.lower()}_room")
                    return True
        now = clock.now()
        for connection in self._waiting[_Phase.SERVED]:
            if not connection.stream.closed() and (
                connection.has_buffered
                or connection.unread_seconds(now) > _UNREAD_SECONDS
            ):
                self._close(connection, "served_room")
                return True
        return False

    def _close(self, connection: _Connection, reason: str) -> None:
        self._counts[reason] += 1
        connection.stream.close()

    # Requests.

    def _end_request(self, connection: _Connection) -> None:
        if connection.guard is not None:
            connection.guard.release()
            connection.guard = None

    def record_refusal(
        self, reason: str, headers: httputil.HTTPHeaders | None, **fields: Any
    ) -> None:
        """Counts and logs a refused request."""
        self._counts[reason] += 1
        name = self._refusal.request_id
        logs.event(
            "request_refused_for_memory"
            if reason == request_memory_lib.NO_MEMORY
            else "request_refused",
            listener=self.name,
            reason=reason,
            request=headers.get(name, "")[:64] if headers and name else "",
            **fields,
        )

    # Regular checks.

    def check(self) -> None:
        """Closes connections whose clients exceed a time or have left."""
        now = clock.now()
        self._allowed_connections = min(
            self._limits.connections, self._allowed_connections + 1
        )
        for connection in list(self._waiting[_Phase.HEAD]):
            if not connection.has_buffered:
                continue
            if connection.head_began_at is None:
                connection.head_began_at = now
            elif now - connection.head_began_at > self._limits.header_seconds:
                self._close(connection, "head_late")
        for connection in list(self._waiting[_Phase.BODY]):
            if connection.has_left():
                self._close(connection, "left")
            elif now - connection.waits_since > self._limits.idle_seconds:
                self._close(connection, "body_idle")
        for connection in list(self._waiting[_Phase.SERVED]):
            connection.record_taken(now)
            if connection.has_left():
                self._close(connection, "left")
        self._close_largest(
            {
                each: each.unread_bytes()
                for each in self._waiting[_Phase.SERVED]
            },
            self._max_unread,
            "unread",
        )

    def _check_unsent(self) -> None:
        self._close_largest(
            {each: each.stream.unsent_bytes for each in self._open.values()},
            self._max_unsent,
            "unsent",
        )

    def _close_largest(
        self, sizes: Mapping[_Connection, int], limit: float, reason: str
    ) -> None:
        excess = sum(sizes.values()) - limit
        if excess <= 0:
            return
        for connection in sorted(sizes, key=sizes.__getitem__, reverse=True):
            if excess <= 0:
                break
            excess -= sizes[connection]
            self._close(connection, reason)


class _RequestGuard(httputil.HTTPMessageDelegate):
    """Reads one request within the bounds and passes it on.

    A request that is refused is read to its end and dropped: closing the
    connection before that could lose the answer.
    """

    def __init__(
        self,
        *,
        server: BoundedServer,
        connection: _Connection,
        request_conn: http1connection.HTTP1Connection,
        delegate: httputil.HTTPMessageDelegate,
    ) -> None:
        self._server = server
        self._connection = connection
        self._request_conn = request_conn
        self._delegate = delegate
        self._key: int | None = None
        self._headers: httputil.HTTPHeaders | None = None
        self._received_bytes = 0
        self._has_large_head = False
        self._is_head = False
        self._is_passed_on = False
        self._is_refused = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._server.set_phase(self._connection, _Phase.BODY)
        self._connection.stream.set_read_bytes(_READ_BODY_BYTES)
        self._connection.guard = self
        assert isinstance(start_line, httputil.RequestStartLine)
        self._is_head = start_line.method == "HEAD"
        self._headers = headers
        self._key = self._server._memory.open(self._drop)
        length = headers.get("Content-Length", "")
        if _LENGTH_PATTERN.fullmatch(length) and (
            int(length) > self._server.limits.body_bytes
        ):
            self._refuse_too_large()
            return None
        head_bytes = _head_bytes(headers)
        self._has_large_head = head_bytes > _UNCOUNTED_HEAD_BYTES
        if self._has_large_head and not self._hold(head_bytes):
            return None
        self._is_passed_on = True
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._received_bytes += len(chunk)
        if self._received_bytes > self._server.limits.body_bytes:
            if not self._request_conn.stream.closed():
                self._refuse_too_large()
            return None
        self._server.set_phase(self._connection, _Phase.BODY)
        if self._is_refused or not self._hold(len(chunk)):
            return None
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._server.set_phase(self._connection, _Phase.SERVED)
        if self._is_refused:
            self._request_conn.finish()
            return
        if self._request_conn.stream.closed():
            # Tornado reads on what had arrived before the client left.
            self.on_connection_close()
            return
        if self._key is not None:
            self._server._memory.complete(self._key)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        if self._is_passed_on:
            self._is_passed_on = False
            self._delegate.on_connection_close()

    def release(self) -> None:
        """Releases the memory of the request, after its answer."""
        if self._key is not None:
            self._server._memory.release(self._key)
            self._key = None

    def _hold(self, size: int) -> bool:
        """Holds a part of the request; refuses the request without room."""
        assert self._key is not None
        if self._server._memory.hold(self._key, size):
            return True
        self._drop()
        return False

    def _drop(self) -> None:
        """Refuses the request for lack of memory and drops what was read."""
        refusal = self._server._refusal
        failure = findings.not_run(
            request_memory_lib.NO_MEMORY,
            "this host holds as much for its clients as it may",
            status=503,
            retry_after=_REFUSAL_RETRY_SECONDS,
        )
        retry = {refusal.retry_after: f"{_REFUSAL_RETRY_SECONDS:g}"}
        self._refuse(failure, {**refusal.headers, **retry})

    def _refuse_too_large(self) -> None:
        if self._is_refused:
            self._request_conn.close()
            return
        limit = self._server.limits.body_bytes
        failure = findings.not_run(
            "body_too_large", f"a body may have {limit} bytes", status=413
        )
        self._refuse(failure, {})

    def _refuse(
        self, failure: findings.Failure, headers: Mapping[str, str]
    ) -> None:
        """Answers the request; drops what was read and what follows."""
        self._is_refused = True
        self._server.record_refusal(
            failure.reason,
            self._headers,
            received=self._received_bytes,
            held=self._server._memory.held,
        )
        # A body over the limit may have no end, a head is kept until the end,
        # and a client that expects to be told to go on may send no body.
        is_read_on = (
            failure.status != 413
            and not self._has_large_head
            and "Expect" not in (self._headers or {})
        )
        content_type, body = self._server._refusal.encode(failure)
        answer_headers = httputil.HTTPHeaders(dict(headers))
        answer_headers["Content-Type"] = content_type
        answer_headers["Content-Length"] = str(len(body))
        if not is_read_on:
            answer_headers["Connection"] = "close"
        start_line = httputil.ResponseStartLine(
            "HTTP/1.1", failure.status, http.client.responses[failure.status]
        )
        self._request_conn.write_headers(
            start_line, answer_headers, None if self._is_head else body
        )
        self.on_connection_close()
        self.release()
        if not is_read_on:
            self._request_conn.finish()
        if self._has_large_head and self._headers is not None:
            # The connection refers to the head until it has been closed.
            for field in list(self._headers):
                del self._headers[field]


def _do_nothing() -> None:
    """Removes no handler."""


def _head_bytes(headers: httputil.HTTPHeaders) -> int:
    """Returns the memory that the fields of a head take, in bytes."""
    return sum(
        _FIELD_BYTES + len(name) + len(value)
        for name, value in headers.get_all()
    )
