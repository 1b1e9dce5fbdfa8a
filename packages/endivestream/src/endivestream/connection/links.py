"""Links between hosts: typed requests and answers over pyzmq sockets.

A `Server` owns the one socket on which a host answers; a `Link` owns one
connection to another host. Other parts of the process use their methods and
futures, and never their sockets.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import itertools
import time
from typing import Any

import msgspec
import zmq
import zmq.asyncio

from endivestream import logs
from endivestream import loop_meter
from endivestream import messages
from endivestream import tasks
from endivestream.connection import frame_socket as frame_socket_lib
from endivestream.connection import link_keys

# No message of the system is larger.
_MAX_FRAME_BYTES = 64 * 1024 * 1024
# Frames queued for a peer that does not read. Further frames are dropped and
# their requests time out, as those to an unreachable peer do anyway.
_MAX_QUEUED_FRAMES = 10_000

# Number of pushes sent before other tasks get to run.
_PUSHES_PER_YIELD = 16

# Id of pings, used by no request: their answer counts as a received frame and
# is then ignored.
_PING_ID = 2**62


class LinkDownError(Exception):
    """No answer arrived in time, or the link was closed."""


def _socket(context: zmq.Context, kind: int) -> zmq.Socket:
    socket = context.socket(kind, socket_class=zmq.Socket)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, _MAX_QUEUED_FRAMES)
    socket.setsockopt(zmq.RCVHWM, _MAX_QUEUED_FRAMES)
    socket.setsockopt(zmq.MAXMSGSIZE, _MAX_FRAME_BYTES)
    return socket


def _encode(envelope: messages.Envelope, meter: loop_meter.LoopMeter) -> bytes:
    with meter.span(f"{type(envelope.body).__name__}_out") as tally:
        frame = messages.encode(envelope)
    tally.size += len(frame)
    return frame


def _decode(frame: bytes, meter: loop_meter.LoopMeter) -> messages.Envelope:
    with meter.span("decode", size=len(frame)):
        return messages.decode(frame)


class Server:
    """Answers the requests of other hosts on one socket."""

    def __init__(
        self,
        *,
        address: str,
        handle: Callable[
            [bytes, messages.Message],
            Coroutine[Any, Any, messages.Message | None],
        ],
        context: zmq.asyncio.Context,
        keys: link_keys.LinkKeys | None = None,
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        self._address = address
        self._keys = keys
        self._meter = meter or loop_meter.LoopMeter()
        self._handle = handle
        self._context = context
        self._frame_socket: frame_socket_lib.FrameSocket | None = None
        self._answer_tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Address on which the server listens.

        Contains the real port after `start`.
        """
        return self._address

    def start(self) -> None:
        """Binds the socket.

        Raises:
            OSError: The socket cannot be bound; the message contains the
                address.
        """
        socket = _socket(self._context, zmq.ROUTER)
        if self._keys is not None:
            self._keys.secure_server(socket)
        try:
            socket.bind(self._address)
        except zmq.ZMQError as error:
            raise OSError(
                f"cannot listen on {self._address}: {error}"
            ) from error
        self._address = socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self._frame_socket = frame_socket_lib.FrameSocket(
            socket=socket, on_frames=self._read
        )
        self._frame_socket.start()

    async def close(self) -> None:
        """Closes the socket and cancels the requests being answered."""
        if self._frame_socket is not None:
            self._frame_socket.close()
        await tasks.cancel(list(self._answer_tasks))

    async def push(
        self, peers: Iterable[bytes], message: messages.Message
    ) -> None:
        """Sends an unrequested message to several peers.

        Args:
            peers: Routing ids of the peers.
            message: The message, the same for all.
        """
        frame = _encode(messages.Envelope(0, message), self._meter)
        for index, peer in enumerate(peers):
            if index and not index % _PUSHES_PER_YIELD:
                # Heartbeats and answers must not wait for all pushes.
                await asyncio.sleep(0)
            self._send(peer, frame)

    def _send(self, peer: bytes, frame: bytes) -> None:
        assert self._frame_socket is not None, "not started"
        # A ROUTER socket drops frames for disconnected peers, as intended:
        # a request that waits at the peer fails by its own timeout.
        if not self._frame_socket.send([peer, frame]):
            logs.warn("frame_dropped", peer=peer.hex())

    def _read(self, frames: list[bytes]) -> None:
        peer = frames[0]
        try:
            envelope = _decode(frames[1], self._meter)
        except (msgspec.DecodeError, IndexError) as error:
            logs.warn("bad_frame", peer=peer.hex(), error=error)
            return
        task = tasks.start(self._answer(peer, envelope), "answer")
        self._answer_tasks.add(task)
        task.add_done_callback(self._answer_tasks.discard)

    async def _answer(self, peer: bytes, envelope: messages.Envelope) -> None:
        if isinstance(envelope.body, messages.Ping):
            answer: messages.Message | None = messages.Pong()
        else:
            answer = await self._meter.timed(
                type(envelope.body).__name__,
                self._handle(peer, envelope.body),
            )
        if answer is not None and envelope.id:
            reply = messages.Envelope(envelope.id, answer)
            self._send(peer, _encode(reply, self._meter))


class Link:
    """One connection to another host's `Server`.

    A connection can stop delivering for good while new connections work,
    because a device between the two ends has dropped its state. TCP keepalive
    would detect this after hours or, behind a proxy, never. So the link sends
    pings when it receives nothing, and after `silence` seconds it closes the
    socket and opens a new one. It does not conclude that the peer has failed:
    leases decide that.

    A link that expects no pushes pings only while a request is pending, and
    after a request timed out until a frame arrives or the socket is replaced.
    Pings on every idle link would grow with the square of the host count.
    """

    def __init__(
        self,
        *,
        address: str,
        context: zmq.asyncio.Context,
        on_push: Callable[[messages.Message], None],
        silence: float,
        expects_pushes: bool = True,
        keys: link_keys.LinkKeys | None = None,
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Initializes a link; `start` connects it.

        Args:
            address: `tcp://IP:PORT` of the peer.
            context: The process's zmq context.
            on_push: Called with each message that answers no request.
            silence: Seconds without a frame, while the link pings, after which
                the socket is replaced.
            expects_pushes: Whether the peer may send unrequested messages, so
                that the connection must be kept alive between requests.
            keys: Encryption keys; None for an unencrypted link.
            meter: Records the event loop time spent on messages.
        """
        self._address = address
        self._keys = keys
        self._meter = meter or loop_meter.LoopMeter()
        self._context = context
        self._on_push = on_push
        self._silence = silence
        self._expects_pushes = expects_pushes
        # A request timed out and no frame has arrived since it was sent.
        self._is_suspect = False
        self._frame_socket: frame_socket_lib.FrameSocket | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[messages.Message]] = {}
        self._last_received_at = 0.0
        self._reconnects = 0

    @property
    def reconnects(self) -> int:
        """Number of times that the socket was replaced for lack of frames."""
        return self._reconnects

    @property
    def address(self) -> str:
        """Address of the peer."""
        return self._address

    @property
    def _needs_pings(self) -> bool:
        return self._expects_pushes or self._is_suspect or bool(self._pending)

    def start(self) -> None:
        """Opens the socket; the connection is made in the background."""
        self._connect()
        self._tasks = [tasks.start_restarting(self._keep_alive, "link_beat")]

    def _connect(self) -> None:
        socket = _socket(self._context, zmq.DEALER)
        if self._keys is not None:
            self._keys.secure_client(socket)
        socket.connect(self._address)
        self._last_received_at = time.monotonic()
        self._frame_socket = frame_socket_lib.FrameSocket(
            socket=socket, on_frames=self._read
        )
        self._frame_socket.start()

    async def close(self) -> None:
        """Closes the socket; pending requests fail with `LinkDownError`."""
        await tasks.cancel(self._tasks)
        if self._frame_socket is not None:
            self._frame_socket.close()
        self._fail_pending("closed")

    def _fail_pending(self, reason: str) -> None:
        for future in self._pending.values():
            if not future.done():
                future.set_exception(
                    LinkDownError(f"{self._address}: {reason}")
                )

    async def request(
        self, message: messages.Message, *, seconds: float
    ) -> messages.Message:
        """Sends a request and returns its answer.

        Args:
            message: The request.
            seconds: How long to wait.

        Raises:
            LinkDownError: No answer arrived. The request may still have been
                processed.
        """
        request_id = next(self._ids)
        future = asyncio.get_running_loop().create_future()
        sent_at = time.monotonic()
        if not self._needs_pings:
            # Idle time without pings must not count as time without frames.
            self._last_received_at = sent_at
        self._pending[request_id] = future
        try:
            async with asyncio.timeout(seconds):
                self._send(messages.Envelope(request_id, message))
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                # A late event loop reads the answer and ends the wait in the
                # same turn.
                return future.result()
            if self._last_received_at <= sent_at:
                self._is_suspect = True
            type_name = type(message).__name__
            raise LinkDownError(
                f"{self._address}: no answer to {type_name} in {seconds:.1f} s"
            ) from None
        finally:
            del self._pending[request_id]

    async def send(self, message: messages.Message) -> None:
        """Sends a message that is not answered.

        One that cannot be encoded is dropped and logged.
        """
        try:
            self._send(messages.Envelope(0, message))
        except LinkDownError:
            pass

    def _send(self, envelope: messages.Envelope) -> None:
        """Sends a frame.

        Raises:
            LinkDownError: The message cannot be encoded.
        """
        assert self._frame_socket is not None, "not started"
        try:
            frame = _encode(envelope, self._meter)
        except (OverflowError, TypeError, ValueError) as error:
            type_name = type(envelope.body).__name__
            logs.log_error(
                "message_invalid",
                error,
                peer=self._address,
                message_type=type_name,
            )
            raise LinkDownError(
                f"{self._address}: {type_name} cannot be encoded"
            ) from error
        if not self._frame_socket.send([frame]):
            logs.warn("frame_dropped", peer=self._address)

    def _read(self, frames: list[bytes]) -> None:
        self._last_received_at = time.monotonic()
        self._is_suspect = False
        try:
            envelope = _decode(frames[0], self._meter)
        except msgspec.DecodeError as error:
            logs.warn("bad_frame", peer=self._address, error=error)
            return
        if envelope.id == 0:
            self._deliver_push(envelope.body)
            return
        future = self._pending.get(envelope.id)
        # A late answer, whose request has timed out, is dropped.
        if future is not None and not future.done():
            future.set_result(envelope.body)

    def _deliver_push(self, message: messages.Message) -> None:
        """Calls `on_push`; logs its errors, so that reading continues."""
        try:
            with self._meter.span(type(message).__name__):
                self._on_push(message)
        except Exception as error:
            logs.log_error("push_failed", error, peer=self._address)

    async def _keep_alive(self) -> None:
        while True:
            await asyncio.sleep(self._silence / 3)
            if not self._needs_pings:
                continue
            silent_seconds = time.monotonic() - self._last_received_at
            if silent_seconds > self._silence:
                self._reconnect(silent_seconds)
            elif silent_seconds > self._silence / 3:
                self._send(messages.Envelope(_PING_ID, messages.Ping()))

    def _reconnect(self, silent_seconds: float) -> None:
        logs.warn("link_abandoned", peer=self._address, silent_s=silent_seconds)
        self._is_suspect = False
        assert self._frame_socket is not None
        replaced = self._frame_socket
        # Raises if the process is out of descriptors.
        self._connect()
        self._reconnects += 1
        replaced.close()
        # Pending answers would have arrived on the old socket. The requester
        # decides whether to send again.
        self._fail_pending("link replaced, no frames received")
