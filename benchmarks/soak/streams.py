"""Streams of the soak: what targets send, and what callers may get."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import zlib

from soak import callers

# Paths of streams; one that is resumed continues at its Last-Event-Id.
ONCE, RESUMED = "/stream/", "/resume/"
_FRAMINGS = ("close", "chunked", "length")
_BREAK_SHARE = 0.4
_SILENT_SHARE = 0.05
_SILENT_SECONDS = 6.0
_MAX_PAUSE_SECONDS = 0.01
_LINE_ENDS = ("\n", "\r\n", "\r")


def is_stream(path: str) -> bool:
    """Whether a path is that of a stream."""
    return path in (ONCE, RESUMED)


def events(request: str) -> list[bytes]:
    """Returns the events of a request's complete stream."""
    number = zlib.crc32(request.encode())
    end = _LINE_ENDS[number % len(_LINE_ENDS)]
    return [
        f"id: {n}{end}data: {request} {n}{end}{end}".encode()
        for n in range(1, 3 + number % 7)
    ]


def violation(path: str, answer: callers.Answer) -> str:
    """Returns what is wrong with a stream as its caller got it, or ""."""
    request = answer.headers.get("Attempt-Id", "")
    expected = events(request)
    if answer.is_whole:
        return "" if answer.body == b"".join(expected) else "short or joined"
    if not b"".join(expected).startswith(answer.body):
        return "joined"
    if path == RESUMED and not any(
        answer.body == b"".join(expected[:n]) for n in range(len(expected) + 1)
    ):
        return "part of an event"
    return ""


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, unless it is closed."""
    if writer.is_closing():
        return
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


class StreamWriter:
    """Writes streams, some of which break off at any byte.

    Attributes:
        unframed: Connections of streams without a length that are written.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self.unframed: set[asyncio.StreamWriter] = set()
        self._random = random_source

    async def write(
        self, message: callers.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Writes one stream and closes the connection if it must end there."""
        request = message.headers.get("Attempt-Id", "")
        first = int(message.headers.get("Last-Event-Id", 0))
        remaining = events(request)[first:]
        body = b"".join(remaining)
        framing = self._random.choice(_FRAMINGS)
        cut = len(body)
        if self._random.random() < _BREAK_SHARE:
            cut = self._random.randint(0, len(body))
        is_broken = cut < len(body)
        ends = {0}
        for event in remaining:
            ends.add(max(ends) + len(event))
        how = self._random.choice(("fin", "reset", "framed"))
        if how != "reset" and cut in ends:
            # Between two events only an unreached framing shows the break.
            how = "reset" if framing == "close" else "fin"
        length = cut if is_broken and how == "framed" else len(body)
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Attempt-Id: {request}",
        ]
        if framing == "chunked":
            lines.append("Transfer-Encoding: chunked")
        if framing == "length":
            lines.append(f"Content-Length: {length}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        if framing == "close":
            self.unframed.add(writer)
        try:
            await self._write_body(body[:cut], framing, writer)
            if is_broken and self._random.random() < _SILENT_SHARE:
                await asyncio.sleep(_SILENT_SECONDS)
        finally:
            self.unframed.discard(writer)
        if is_broken and how == "reset":
            reset(writer)
            return
        if framing == "chunked" and (not is_broken or how == "framed"):
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        if is_broken or framing == "close":
            writer.close()

    async def _write_body(
        self, body: bytes, framing: str, writer: asyncio.StreamWriter
    ) -> None:
        while body:
            size = self._random.randint(1, 40)
            part, body = body[:size], body[size:]
            if framing == "chunked":
                part = b"%x\r\n" % len(part) + part + b"\r\n"
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self._random.uniform(0.0, _MAX_PAUSE_SECONDS))
