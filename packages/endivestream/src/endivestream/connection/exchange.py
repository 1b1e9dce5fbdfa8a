"""HTTP exchanges with targets over Tornado's client connection.

An `Exchange` is one request to one target. It records whether any byte of the
request may have been sent; a failure may be reported as "not run" only if none
was. It can be closed at any time, which is how a caller's cancellation reaches
an engine.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import math
import re
import select
from typing import Any
from typing import NamedTuple
import urllib.parse
import weakref

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from endivestream import clock
from endivestream import logs
from endivestream.connection import header_text
from endivestream.connection import sse

# Idle connections kept to one target: the maximum number of requests that one
# host runs there. With fewer, every burst would open new connections.
_MAX_IDLE_CONNECTIONS = 64
# Idle time of a connection if the target states no timeout. Most servers close
# idle connections after five seconds or more; the pool closes them earlier.
_IDLE_SECONDS = 4.0
# A connection is closed this long before the timeout that its target states: a
# request sent while the target closes the connection may have run, and then it
# cannot be sent again.
_IDLE_MARGIN_SECONDS = 0.7
# Chunks and bytes buffered for a slow caller before reading from the target
# stops, and the largest chunk.
_MAX_BUFFERED_CHUNKS = 64
_MAX_BUFFERED_BYTES = 64 * 1024
_CHUNK_BYTES = 32 * 1024
# Bytes of a body that count as progress; fewer do not end a silence.
_PROGRESS_BYTES = 1024
# Largest head of an answer, and body of an answer to this process.
_MAX_HEAD_BYTES = 64 * 1024
MAX_OWN_BODY_BYTES = 1024 * 1024
# Statuses of HTTP (RFC 9110, section 15).
_VALID_STATUSES = range(100, 600)
_WHOLE_SECONDS_PATTERN = re.compile(r"[0-9]{1,9}")


class ExchangeError(Exception):
    """The exchange failed.

    Attributes:
        sent: Whether any byte of the request may have been sent.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class Head(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: httputil.HTTPHeaders


class Framing(enum.StrEnum):
    """What marks the end of an answer's body (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class Ending(enum.StrEnum):
    """How the reading of an answer ended."""

    FRAMED = "framed"
    CLOSED = "closed"
    RESET = "reset"
    INVALID = "invalid"
    SILENT = "silent"


class AnswerEnd(NamedTuple):
    """How an answer ended.

    Attributes:
        framing: What marks the end of its body.
        ending: How its reading ended: at the end by its framing, because the
            connection was closed or reset, because of bytes that are not
            HTTP, or because no byte arrived in time.
        is_inside_event: Whether it is a stream of events and its last event
            is incomplete.
    """

    framing: Framing
    ending: Ending
    is_inside_event: bool

    @property
    def is_complete(self) -> bool:
        """Whether the bytes prove that the whole answer was received.

        A target that fails may still close its connection or send its last
        chunk, so a stream must also end between two events.
        """
        if self.is_inside_event:
            return False
        if self.framing == Framing.CLOSE:
            return self.ending == Ending.CLOSED
        return self.ending == Ending.FRAMED


class _Reader(httputil.HTTPMessageDelegate):
    """Puts an answer's parts into a bounded queue.

    A full queue stops the reading, so the target is subject to backpressure.
    """

    def __init__(self, *, method: str = "") -> None:
        self._method = method
        self.parts: asyncio.Queue[Head | bytes | None] = asyncio.Queue(
            _MAX_BUFFERED_CHUNKS
        )
        self._buffered_bytes = 0
        self._has_room = asyncio.Event()
        self._has_room.set()
        self._is_discarded = False
        self.is_waiting = False
        self.is_complete = False
        self.framing = Framing.LENGTH
        self.ending: Ending | None = None
        # Set for a stream of events.
        self.events: sse.EventBoundaries | None = None
        self.keep_alive_seconds: float | None = None

    async def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        if start_line.code not in _VALID_STATUSES:
            # It is relayed neither as it is nor as an interim answer.
            raise httputil.HTTPInputError(
                f"status {start_line.code:03}; valid: 100 to 599"
            )
        self.framing = _framing(self._method, start_line.code, headers)
        if sse.is_event_stream(headers.get("Content-Type", "")):
            self.events = sse.EventBoundaries()
        self.keep_alive_seconds = _keep_alive_seconds(headers)
        if start_line.code >= 200:
            await self.parts.put(Head(start_line.code, headers))

    @property
    def buffered_bytes(self) -> int:
        """Bytes in the queue."""
        return self._buffered_bytes

    async def data_received(self, chunk: bytes) -> None:
        self.is_waiting = True
        await self._has_room.wait()
        if not self._is_discarded:
            self._buffered_bytes += len(chunk)
            if self._buffered_bytes >= _MAX_BUFFERED_BYTES:
                self._has_room.clear()
            await self.parts.put(chunk)
        self.is_waiting = False

    def discard(self) -> None:
        """Drops what is queued and all that follows."""
        self._is_discarded = True
        self._buffered_bytes = 0
        self._has_room.set()
        while not self.parts.empty():
            self.parts.get_nowait()

    def record_taken(self, part: Head | bytes | None) -> None:
        """Records that a part has been taken from the queue."""
        if isinstance(part, bytes):
            self._buffered_bytes -= len(part)
            if self._buffered_bytes < _MAX_BUFFERED_BYTES:
                self._has_room.set()

    def finish(self) -> None:
        self.is_complete = True


def _framing(
    method: str, status: int, headers: httputil.HTTPHeaders
) -> Framing:
    """Returns what marks the end of the body of an answer."""
    if "Transfer-Encoding" in headers:
        return Framing.CHUNKED
    has_no_body = method == "HEAD" or status in (204, 304)
    if "Content-Length" in headers or has_no_body:
        return Framing.LENGTH
    return Framing.CLOSE


def _keep_alive_seconds(headers: httputil.HTTPHeaders) -> float | None:
    """Returns how long the connection may be idle; None if it is closed."""
    if headers.get("Connection", "").lower() == "close":
        return None
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() != "timeout":
            continue
        # int() also accepts digits of other scripts, and refuses long texts.
        match = _WHOLE_SECONDS_PATTERN.fullmatch(value.strip())
        if match is not None:
            return max(0.0, int(match[0]) - _IDLE_MARGIN_SECONDS)
    return _IDLE_SECONDS


def _is_reusable(stream: iostream.IOStream) -> bool:
    """Whether an idle connection is open and has no unread bytes.

    Bytes that a target sent after a complete answer belong to no request; read
    as the next answer they would reach the wrong caller.
    """
    # Tornado has no public way to ask for bytes that it has read ahead.
    return not stream._read_buffer_size and not _has_received(stream)


def _has_received(stream: iostream.IOStream) -> bool:
    """Whether the socket has unread bytes or was closed or reset.

    A read, even one that only peeks, would take the error of a reset, and the
    stream would see a normal end.
    """
    poll = select.poll()
    poll.register(stream.socket, select.POLLIN)
    return bool(poll.poll(0))


class _FlushingStream:
    """A stream whose failed reads are awaitables that are not done yet.

    Before it awaits a read that is not done, Tornado hands over the parts of a
    chunked body that it has collected; if a read fails at once, it drops them.
    """

    def __init__(self, *, stream: iostream.IOStream) -> None:
        self._stream = stream

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Reads up to a delimiter."""
        return _defer_error(
            lambda: self._stream.read_until(delimiter, max_bytes)
        )

    def read_bytes(
        self, num_bytes: int, partial: bool = False
    ) -> Awaitable[bytes]:
        """Reads a number of bytes, or some of them."""
        return _defer_error(lambda: self._stream.read_bytes(num_bytes, partial))


def _defer_error(read: Callable[[], Awaitable[bytes]]) -> Awaitable[bytes]:
    async def fail(error: BaseException) -> bytes:
        raise error

    try:
        future = asyncio.ensure_future(read())
    except iostream.StreamClosedError as error:
        return fail(error)
    if future.done() and (error := future.exception()) is not None:
        return fail(error)
    return future


class _IdleConnection(NamedTuple):
    stream: iostream.IOStream
    expires_at: float


class Pool:
    """Pool of idle connections to targets, kept as long as the process."""

    def __init__(self) -> None:
        self._client = tcpclient.TCPClient()
        self._opened_at: weakref.WeakKeyDictionary[iostream.IOStream, float] = (
            weakref.WeakKeyDictionary()
        )
        self._idle: dict[tuple[str, int], list[_IdleConnection]] = {}

    def close(self) -> None:
        """Closes all idle connections."""
        for streams in self._idle.values():
            for idle in streams:
                idle.stream.close()
        self._idle.clear()
        self._client.close()

    async def acquire(
        self, host: str, port: int, *, seconds: float, is_new: bool = False
    ) -> iostream.IOStream:
        """Returns an idle or a new connection to a target.

        Args:
            host: IP address of the target.
            port: Port of the target.
            seconds: Timeout for opening a connection.
            is_new: Whether to close the idle connections and open a new one,
                which proves that the target can be reached.

        Raises:
            ExchangeError: No connection could be opened; `sent` is False.
        """
        streams = self._idle.get((host, port), [])
        while streams:
            idle = streams.pop()
            is_fresh = clock.now() < idle.expires_at
            if (
                not is_new
                and is_fresh
                and not idle.stream.closed()
                and _is_reusable(idle.stream)
            ):
                return idle.stream
            idle.stream.close()
        try:
            stream = await self._client.connect(host, port, timeout=seconds)
        except (OSError, iostream.StreamClosedError, TimeoutError) as error:
            raise ExchangeError(
                f"cannot connect to {host}:{port}: {error!r}", sent=False
            ) from error
        self._opened_at[stream] = clock.now()
        return stream

    def opened_at(self, stream: iostream.IOStream) -> float:
        """Returns when a connection was opened."""
        return self._opened_at.get(stream, math.inf)

    def release(
        self,
        host: str,
        port: int,
        stream: iostream.IOStream,
        *,
        seconds: float = _IDLE_SECONDS,
    ) -> None:
        """Keeps a connection whose last answer was read to its end.

        Args:
            host: IP address of the target.
            port: Port of the target.
            stream: The connection.
            seconds: How long it may be idle.
        """
        streams = self._idle.setdefault((host, port), [])
        if (
            stream.closed()
            or len(streams) >= _MAX_IDLE_CONNECTIONS
            or seconds <= 0
        ):
            stream.close()
            return
        streams.append(_IdleConnection(stream, clock.now() + seconds))


def _retrieve_write_error(write_future: asyncio.Future[None]) -> None:
    """Retrieves the error of a failed write, so that asyncio does not log it.

    The reader gets the error of the same closed stream.
    """
    if not write_future.cancelled():
        write_future.exception()


class Exchange:
    """One request to one target and its answer."""

    def __init__(self, *, pool: Pool, url: str) -> None:
        """Initializes an exchange; opens no connection.

        Args:
            pool: Connections to targets.
            url: URL of the target. With one that names no port to connect to,
                `connect` fails.
        """
        self._url = url
        self._pool = pool
        try:
            parts = urllib.parse.urlsplit(url)
            self._host, self._port = parts.hostname or "", parts.port or 80
        except ValueError:
            self._host, self._port = "", 0
        self._reader = _Reader()
        self._stream: iostream.IOStream | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._write_future: asyncio.Future[None] | None = None
        self._sent = False
        self._is_reading = False

    @property
    def answer_end(self) -> AnswerEnd | None:
        """How the answer ended; None while it is read or if it never began."""
        reader = self._reader
        if reader.ending is None:
            return None
        return AnswerEnd(
            reader.framing,
            reader.ending,
            reader.events is not None and reader.events.is_inside_event,
        )

    @property
    def has_unread_answer(self) -> bool:
        """Whether a part of the answer has arrived that is not read.

        Parts that `head` or `chunks` has not returned count as not read.
        """
        if not self._reader.parts.empty():
            return True
        stream = self._stream
        if stream is None or stream.closed() or not self._is_reading:
            return False
        # The stream ends its read before the reader gets the bytes.
        return not stream.reading() or _has_received(stream)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the answer that have arrived and are not taken."""
        size = self._reader.buffered_bytes
        if self._stream is not None:
            # Tornado has no public way to ask for bytes that it has read.
            size += self._stream._read_buffer_size
        return size

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have been sent."""
        return self._sent

    async def start(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        *,
        connect_seconds: float,
    ) -> None:
        """Connects and sends the request.

        Raises:
            ExchangeError: The request could not be sent; `sent` is whether any
                byte of it may have been.
        """
        await self.connect(seconds=connect_seconds)
        self.send(method, path, headers, body)

    async def connect(self, *, seconds: float, is_new: bool = False) -> None:
        """Acquires a connection.

        Args:
            seconds: Timeout for opening a connection.
            is_new: Whether no idle connection is used.

        Raises:
            ExchangeError: There is none; `sent` is False.
        """
        if not self._port:
            raise ExchangeError(
                f"{self._url!r} names no port to connect to", sent=False
            )
        self._stream = await self._pool.acquire(
            self._host, self._port, seconds=seconds, is_new=is_new
        )

    @property
    def connection(self) -> iostream.IOStream | None:
        """The acquired connection; None before and after its use."""
        return self._stream

    @property
    def opened_at(self) -> float:
        """When the acquired connection was opened; infinite without one."""
        if self._stream is None:
            return math.inf
        return self._pool.opened_at(self._stream)

    async def query(
        self, method: str, path: str, headers: dict[str, str], *, seconds: float
    ) -> tuple[int, bytes]:
        """Sends another request over the acquired connection, before `send`.

        Args:
            method: HTTP method.
            path: Path of the request.
            headers: Its headers.
            seconds: Timeout for the complete answer.

        Returns:
            Status and body of the answer.

        Raises:
            ExchangeError: No complete answer arrived, or the connection cannot
                be used further; `sent` is False.
        """
        assert self._stream is not None
        stream, self._stream = self._stream, None
        other = Exchange(
            pool=self._pool, url=f"http://{self._host}:{self._port}/"
        )
        other._stream = stream
        try:
            async with asyncio.timeout(seconds):
                other.send(method, path, headers, b"")
                head = await other.head(seconds=seconds)
                body = await other.body(seconds=seconds, keeps_connection=True)
        except (ExchangeError, TimeoutError) as error:
            raise ExchangeError(f"{path}: {error!r}", sent=False) from error
        else:
            self._stream, other._stream = other._stream, None
            if self._stream is None:
                raise ExchangeError(f"{path}: connection closed", sent=False)
            return head.status, body
        finally:
            other.close()

    def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends the request over the acquired connection.

        Raises:
            ExchangeError: The request could not be sent; `sent` is True.
            httputil.HTTPInputError, ValueError: A header cannot be sent; no
                byte was.
        """
        assert self._stream is not None
        self._reader = _Reader(method=method)
        connection = http1connection.HTTP1Connection(
            _FlushingStream(stream=self._stream),  # type: ignore[arg-type]
            is_client=True,
            params=http1connection.HTTP1ConnectionParameters(
                no_keep_alive=False,
                chunk_size=_CHUNK_BYTES,
                max_header_size=_MAX_HEAD_BYTES,
                max_body_size=1024 * 1024 * 1024,
            ),
        )
        fields = httputil.HTTPHeaders(headers)
        if "Host" not in fields:
            fields["Host"] = f"{self._host}:{self._port}"
        if body or method not in ("GET", "HEAD", "DELETE"):
            fields["Content-Length"] = str(len(body))
        # From here on a byte may have been sent: even after a failed write
        # the target may have received a part of the request.
        self._sent = True
        try:
            self._write_future = asyncio.ensure_future(
                connection.write_headers(
                    httputil.RequestStartLine(
                        method, header_text.decode(path), "HTTP/1.1"
                    ),
                    fields,
                    body or None,
                )
            )
            connection.finish()
        except (OSError, iostream.StreamClosedError) as error:
            self.close()
            raise ExchangeError(f"send failed: {error!r}", sent=True) from error
        except (httputil.HTTPInputError, ValueError):
            # Raised while the head is put together.
            self._sent = False
            raise
        # Read while the body is still being sent: a target may answer before
        # it has read all of it. If it then waited for its answer to be read,
        # both sides would wait for each other.
        self._write_future.add_done_callback(_retrieve_write_error)
        self._read_task = asyncio.create_task(
            self._read(connection, self._stream)
        )

    async def _read(
        self,
        connection: http1connection.HTTP1Connection,
        stream: iostream.IOStream,
    ) -> None:
        reader = self._reader
        self._is_reading = True
        try:
            await connection.read_response(reader)
            ending = Ending.FRAMED if reader.is_complete else Ending.INVALID
        except httputil.HTTPInputError:
            ending = Ending.INVALID
        except (OSError, iostream.StreamClosedError):
            ending = Ending.CLOSED
        except Exception as error:
            # Without an end, the answer would be awaited until its timeout.
            logs.log_error(
                "answer_unreadable", error, peer=f"{self._host}:{self._port}"
            )
            ending = Ending.INVALID
        if reader.framing == Framing.CLOSE and ending == Ending.FRAMED:
            ending = Ending.CLOSED
        if ending == Ending.CLOSED and stream.error is not None:
            ending = Ending.RESET
        reader.ending = ending
        await reader.parts.put(None)

    async def head(self, *, seconds: float) -> Head:
        """Returns status and headers of the answer.

        Raises:
            ExchangeError: The connection was closed or sent nothing in time.
        """
        part = await self._next_part(seconds)
        if not isinstance(part, Head):
            raise ExchangeError("connection closed before an answer", sent=True)
        return part

    async def chunks(
        self, *, silence: float, keeps_connection: bool = False
    ) -> AsyncIterator[bytes]:
        """Yields the parts of the body up to its verified end.

        Args:
            silence: Seconds without progress after which the connection is
                considered dead: a device between the two ends may have dropped
                its state, and then no error is ever reported. A stream of
                events progresses with the end of an event, another body with
                the next bytes, unless they are very few.
            keeps_connection: Whether a reusable connection stays acquired.

        Raises:
            ExchangeError: The body ended early, made no progress in time, or
                contains an event that is too long.
        """
        progress_at = clock.now()
        pending_bytes = 0
        while True:
            part = await self._next_part(silence - (clock.now() - progress_at))
            if part is None:
                break
            assert isinstance(part, bytes)
            pending_bytes += len(part)
            if self._find_progress(part, pending_bytes):
                progress_at, pending_bytes = clock.now(), 0
            yielded_at = clock.now()
            yield part
            # The time that the receiver takes is none of the target's.
            progress_at += clock.now() - yielded_at
        end = self.answer_end
        if end is None or not end.is_complete:
            self.close()
            ending = end.ending if end is not None else "no end"
            raise ExchangeError(
                f"connection closed before the end of the answer ({ending})",
                sent=True,
            )
        self._finish(keeps_connection=keeps_connection)

    def _find_progress(self, part: bytes, pending_bytes: int) -> bool:
        """Returns whether a part of the body is progress.

        Raises:
            ExchangeError: An event is too long.
        """
        events = self._reader.events
        if events is None:
            return pending_bytes >= _PROGRESS_BYTES
        if events.feed(part):
            return True
        if pending_bytes > sse.MAX_EVENT_BYTES:
            self._reader.ending = Ending.INVALID
            self.close()
            raise ExchangeError(
                f"{pending_bytes} bytes without the end of an event", sent=True
            )
        return False

    async def body(
        self,
        *,
        seconds: float,
        max_bytes: int = MAX_OWN_BODY_BYTES,
        keeps_connection: bool = False,
    ) -> bytes:
        """Returns the whole body.

        Args:
            seconds: Timeout for the whole body.
            max_bytes: Largest body.
            keeps_connection: Whether a reusable connection stays acquired.

        Raises:
            ExchangeError: The body ended early, not in time, or is too large.
        """
        body = bytearray()
        try:
            async with asyncio.timeout(seconds):
                async for part in self.chunks(
                    silence=seconds, keeps_connection=keeps_connection
                ):
                    body += part
                    if len(body) > max_bytes:
                        raise ExchangeError(
                            f"the body exceeds {max_bytes} bytes", sent=True
                        )
        except (ExchangeError, TimeoutError) as error:
            self.close()
            raise ExchangeError(str(error) or "timeout", sent=True) from error
        return bytes(body)

    async def _next_part(self, seconds: float) -> Head | bytes | None:
        parts = self._reader.parts
        if not parts.empty():
            part = parts.get_nowait()
            self._reader.record_taken(part)
            return part
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                part = await parts.get()
                self._reader.record_taken(part)
                return part
        except TimeoutError:
            self._reader.ending = Ending.SILENT
            self.close()
            raise ExchangeError(
                f"no progress within {max(0.0, seconds):.1f} s", sent=True
            ) from None

    def _finish(self, *, keeps_connection: bool) -> None:
        if self._stream is None:
            return
        seconds = self._reader.keep_alive_seconds
        is_written = (
            self._write_future is not None and self._write_future.done()
        )
        # While a part of the request's body is unsent, the target would read
        # the next request as that part.
        is_framed = self._reader.framing != Framing.CLOSE
        if seconds is None or not is_written or not is_framed:
            self.close()
            return
        if keeps_connection:
            return
        self._pool.release(
            self._host, self._port, self._stream, seconds=seconds
        )
        self._stream = None

    def close(self) -> None:
        """Closes the connection unless its answer was read to the end."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        if self._read_task is not None:
            if self._reader.is_waiting:
                # The closed stream ends the task. Tornado would log its
                # cancellation in the reader as an uncaught exception.
                self._reader.discard()
            else:
                self._read_task.cancel()
            self._read_task = None
