"""HTTP exchanges with targets over the library's client connection.

One `Exchange` is one request to one target. It knows whether any byte may
have left, which is what makes a refusal "not run" true, and it can be closed
at any moment, which is how a caller's cancellation reaches an engine.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import socket
from typing import NamedTuple
import urllib.parse

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from endivestream import clock

# Idle connections kept to one target: as many as one host ever has running
# there, or each rush opens them anew.
_IDLE_KEPT = 64
# How long one is kept where the target does not say. Most servers close idle
# connections after five seconds or more; we let go before.
_IDLE_SECONDS = 4.0
# We let go so much before the time that a target states: a request that
# crosses its close may have run, and can then not be sent again.
_IDLE_MARGIN_SECONDS = 0.7
# Chunks that may wait here for a slow caller before the target is held back.
_CHUNKS_AHEAD = 64


class ExchangeError(Exception):
    """The exchange broke off.

    Attributes:
        sent: Whether any byte of the request may have left.
    """

    def __init__(self, what: str, *, sent: bool) -> None:
        super().__init__(what)
        self.sent = sent


class Head(NamedTuple):
    """Start of an answer."""

    status: int
    headers: httputil.HTTPHeaders


class _Reader(httputil.HTTPMessageDelegate):
    """Puts an answer's parts into a queue, holding the target back."""

    def __init__(self) -> None:
        self.parts: asyncio.Queue[Head | bytes | None] = asyncio.Queue(
            _CHUNKS_AHEAD
        )
        self.whole = False
        self.framed = False
        self.kept_seconds: float | None = None

    async def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        # Without a length the body ends where the connection does, and a
        # dead target's half answer would look like a whole one.
        self.framed = (
            "Content-Length" in headers or "Transfer-Encoding" in headers
        )
        self.kept_seconds = _kept_seconds(headers)
        if start_line.code >= 200:
            await self.parts.put(Head(start_line.code, headers))

    async def data_received(self, chunk: bytes) -> None:
        await self.parts.put(chunk)

    def finish(self) -> None:
        self.whole = True


def _kept_seconds(headers: httputil.HTTPHeaders) -> float | None:
    """Returns how long the connection may lie idle; None if it closes."""
    if headers.get("Connection", "").lower() == "close":
        return None
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return max(0.0, int(value) - _IDLE_MARGIN_SECONDS)
    return _IDLE_SECONDS


def _is_quiet(stream: iostream.IOStream) -> bool:
    """Whether nothing has come on an idle connection, neither bytes nor end.

    What a target sent after a whole answer belongs to no request; read as the
    next answer it would reach the wrong caller.
    """
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class _Idle(NamedTuple):
    stream: iostream.IOStream
    until: float


class Pool:
    """Idle connections to targets. Lives as long as the process."""

    def __init__(self) -> None:
        self._client = tcpclient.TCPClient()
        self._idle: dict[tuple[str, int], list[_Idle]] = {}

    def close(self) -> None:
        """Closes idle connections."""
        for streams in self._idle.values():
            for idle in streams:
                idle.stream.close()
        self._idle.clear()
        self._client.close()

    async def take(
        self, host: str, port: int, *, seconds: float
    ) -> iostream.IOStream:
        """Returns a connection; raises ExchangeError with `sent` False."""
        streams = self._idle.get((host, port), [])
        while streams:
            idle = streams.pop()
            fresh = clock.now() < idle.until
            if fresh and not idle.stream.closed() and _is_quiet(idle.stream):
                return idle.stream
            idle.stream.close()
        try:
            return await self._client.connect(host, port, timeout=seconds)
        except (OSError, iostream.StreamClosedError, TimeoutError) as error:
            raise ExchangeError(
                f"cannot connect to {host}:{port}: {error!r}", sent=False
            ) from error

    def give_back(
        self,
        host: str,
        port: int,
        stream: iostream.IOStream,
        *,
        seconds: float = _IDLE_SECONDS,
    ) -> None:
        """Keeps a connection whose last answer was read to its end.

        Args:
            host: The target's IP address.
            port: Its port.
            stream: The connection.
            seconds: How long it may lie idle.
        """
        streams = self._idle.setdefault((host, port), [])
        if stream.closed() or len(streams) >= _IDLE_KEPT or seconds <= 0:
            stream.close()
            return
        streams.append(_Idle(stream, clock.now() + seconds))


def _note_write_error(writing: asyncio.Future[None]) -> None:
    """Takes the error of a write; the reader sees the same closed stream."""
    if not writing.cancelled():
        writing.exception()


class Exchange:
    """One request to one target and its answer."""

    def __init__(self, *, pool: Pool, url: str) -> None:
        parts = urllib.parse.urlsplit(url)
        self._pool = pool
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._reader = _Reader()
        self._stream: iostream.IOStream | None = None
        self._reading: asyncio.Task[None] | None = None
        self._writing: asyncio.Future[None] | None = None
        self._sent = False

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have left."""
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
            ExchangeError: With `sent` telling whether a byte may have left.
        """
        self._stream = await self._pool.take(
            self._host, self._port, seconds=connect_seconds
        )
        connection = http1connection.HTTP1Connection(
            self._stream,
            is_client=True,
            params=http1connection.HTTP1ConnectionParameters(
                no_keep_alive=False,
                max_header_size=64 * 1024,
                max_body_size=1024 * 1024 * 1024,
            ),
        )
        fields = httputil.HTTPHeaders(headers)
        if "Host" not in fields:
            fields["Host"] = f"{self._host}:{self._port}"
        if body or method not in ("GET", "HEAD", "DELETE"):
            fields["Content-Length"] = str(len(body))
        # From here on a byte may be under way, whatever happens: a write that
        # fails says nothing about what arrived.
        self._sent = True
        try:
            self._writing = asyncio.ensure_future(
                connection.write_headers(
                    httputil.RequestStartLine(method, path, "HTTP/1.1"),
                    fields,
                    body or None,
                )
            )
            connection.finish()
        except (OSError, iostream.StreamClosedError) as error:
            self.close()
            raise ExchangeError(f"send failed: {error!r}", sent=True) from error
        # Read while the body is still on its way: a target may answer before
        # it has read all, and would wait for us as we for it.
        self._writing.add_done_callback(_note_write_error)
        self._reading = asyncio.create_task(self._read(connection))

    async def _read(self, connection: http1connection.HTTP1Connection) -> None:
        try:
            await connection.read_response(self._reader)
        except (OSError, iostream.StreamClosedError, httputil.HTTPInputError):
            pass  # `whole` stays False, which the consumer reports.
        await self._reader.parts.put(None)

    async def head(self, *, seconds: float) -> Head:
        """Returns the start of the answer; raises ExchangeError."""
        part = await self._next(seconds)
        if not isinstance(part, Head):
            raise ExchangeError("closed before an answer", sent=True)
        return part

    async def chunks(self, *, silence: float) -> AsyncIterator[bytes]:
        """Gives the body's parts to its proven end.

        Args:
            silence: Seconds without a byte after which the connection is
                taken for lost: something between the ends may have forgotten
                it, and no error would ever come.

        Raises:
            ExchangeError: The body ended early or went silent.
        """
        while True:
            part = await self._next(silence)
            if part is None:
                break
            assert isinstance(part, bytes)
            yield part
        if not self._whole():
            self.close()
            raise ExchangeError("closed before the end", sent=True)
        self._finish()

    def _whole(self) -> bool:
        """Whether the answer has come to its end.

        One without a length ends where its connection does, but only if that
        was closed and not reset.
        """
        if not self._reader.whole or self._reader.framed:
            return self._reader.whole
        return self._stream is not None and self._stream.error is None

    async def _next(self, seconds: float) -> Head | bytes | None:
        parts = self._reader.parts
        if not parts.empty():
            return parts.get_nowait()
        try:
            async with asyncio.timeout(seconds):
                return await parts.get()
        except TimeoutError:
            self.close()
            raise ExchangeError(
                f"silent for {seconds:.1f} s", sent=True
            ) from None

    def _finish(self) -> None:
        if self._stream is None:
            return
        seconds = self._reader.kept_seconds
        written = self._writing is not None and self._writing.done()
        # With the rest of the body still due, a next request would be read
        # as a part of it.
        if seconds is None or not written or not self._reader.framed:
            self.close()
            return
        self._pool.give_back(
            self._host, self._port, self._stream, seconds=seconds
        )
        self._stream = None

    def close(self) -> None:
        """Closes the connection unless it was read to its end."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        if self._reading is not None:
            self._reading.cancel()
            self._reading = None
