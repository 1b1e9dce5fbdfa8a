"""Callers with kept connections, and the few parts of HTTP that they need."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time
from typing import NamedTuple

HOSTNAME = "a.example"
_RECONNECT_SECONDS = 0.05
_ANSWER_SECONDS = 10.0
_MAX_PAUSE_SECONDS = 0.15


class Message(NamedTuple):
    """A request or an answer.

    Attributes:
        first_line: Request line or status line.
        headers: Headers by title-cased name.
        body: The body.
    """

    first_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message; returns None if the connection ends before it.

    Raises:
        IncompleteReadError: The connection ended in the body.
        OSError: The connection was reset.
    """
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first_line, *lines = raw.decode("latin-1").strip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.title(): value.strip() for name, value in pairs}
    length = int(headers.get("Content-Length", 0))
    body = await reader.readexactly(length) if length else b""
    return Message(first_line, headers, body)


class Answer(NamedTuple):
    """An answer as its caller got it.

    Attributes:
        status: Its status.
        headers: Headers by title-cased name.
        body: Its body, as far as it was received.
        is_whole: Whether its framing says that the body is complete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def read_answer(
    reader: asyncio.StreamReader, *, pause_seconds: float = 0.0
) -> Answer | None:
    """Reads an answer; returns None if the connection ends before it.

    Args:
        reader: The connection.
        pause_seconds: Time for which nothing is read after the head of an
            answer with status 200.

    Raises:
        OSError: The connection was reset before the answer.
    """
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first_line, *lines = raw.decode("latin-1").strip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.title(): value.strip() for name, value in pairs}
    status = int(first_line.split(" ")[1])
    if pause_seconds and status == 200:
        await asyncio.sleep(pause_seconds)
    body = bytearray()
    is_whole = False
    try:
        if headers.get("Transfer-Encoding", "") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(headers.get("Content-Length", 0))
            body += await reader.readexactly(length)
        is_whole = True
    except (OSError, asyncio.IncompleteReadError):
        pass
    return Answer(status, headers, bytes(body), is_whole)


async def write_answer(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str]
) -> None:
    """Writes an answer with a short body."""
    body = b"done"
    lines = [f"HTTP/1.1 {status} Word", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()


def _encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    fields = {"Host": HOSTNAME, "Content-Length": str(len(body))} | headers
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def is_ok(
    address: str, method: str, path: str, body: bytes = b""
) -> bool:
    """Sends a request on a connection of its own; whether it got 200."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, port)
            headers = {"Content-Type": "application/json"}
            writer.write(_encode_request(method, path, headers, body))
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    finally:
        if writer is not None:
            writer.close()
    return message is not None and " 200 " in f"{message.first_line} "


async def ask(
    address: str,
    path: str,
    headers: dict[str, str],
    *,
    seconds: float,
    method: str = "POST",
    body: bytes = b"order",
) -> Answer | None:
    """Sends a request on a connection of its own; None without an answer.

    Args:
        address: `IP:PORT` of the entry host.
        path: Path of the request.
        headers: Its headers.
        seconds: Timeout for the complete answer.
        method: Its method.
        body: Its body.
    """
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(_encode_request(method, path, headers, body))
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


@dataclasses.dataclass(kw_only=True)
class Call:
    """A request of a caller.

    Attributes:
        request: Its id.
        path: Its path.
        sent_at: When it was sent.
        ended_at: When its answer or the end of the connection was read.
        status: Status of the answer; 0 without one.
        is_cut: Whether the connection ended without a complete answer.
        answer: What was received of the answer.
    """

    request: str
    path: str
    sent_at: float
    ended_at: float = float("inf")
    status: int = 0
    is_cut: bool = False
    answer: Answer | None = None


class Caller:
    """Sends requests over one connection until it ends, then over another.

    Attributes:
        host: Name of the entry host that it is connected to.
        calls: Its requests.
    """

    def __init__(
        self,
        *,
        host: str,
        address: str,
        path: str,
        random_source: random.Random,
    ) -> None:
        self.host = host
        self.calls: list[Call] = []
        self._address = address
        self._path = path
        self._random = random_source
        self._id = f"{random_source.getrandbits(32):08x}"
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to send requests."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops; a request without an answer does not count."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        host, port = self._address.split(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, port)
            except OSError:
                await asyncio.sleep(_RECONNECT_SECONDS)
                continue
            try:
                while await self._call(reader, writer):
                    await asyncio.sleep(
                        self._random.uniform(0.0, _MAX_PAUSE_SECONDS)
                    )
            finally:
                writer.close()

    async def _call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends one request; returns whether the connection can be kept."""
        request = f"{self._id}{len(self.calls):08x}"
        call = Call(request=request, path=self._path, sent_at=time.monotonic())
        self.calls.append(call)
        headers = {
            "Attempt-Id": request,
            "Deadline-Ms": "3000",
        }
        answer = None
        try:
            async with asyncio.timeout(_ANSWER_SECONDS):
                writer.write(
                    _encode_request("POST", self._path, headers, b"order")
                )
                answer = await read_answer(reader)
        except (OSError, TimeoutError):
            pass
        call.ended_at = time.monotonic()
        call.answer = answer
        call.is_cut = answer is None or not answer.is_whole
        if answer is None:
            return False
        call.status = answer.status
        is_closing = answer.headers.get("Connection", "").lower() == "close"
        return answer.is_whole and not is_closing
