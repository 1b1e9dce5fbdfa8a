"""The HTTP listeners of a process, and what their clients may use of it.

All listeners share the memory of the process; each has its own part of the
descriptors, so that the clients of one do not keep those of another away.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import math
import resource
import socket
from typing import Any
from typing import NamedTuple

from tornado import ioloop
from tornado import netutil

from endivestream.process import bounded_server
from endivestream.process import request_memory as request_memory_lib
from endivestream.process import site_settings
from endivestream.request.buffering import budget as budget_lib
from endivestream.version import document as document_lib

_CHECK_SECONDS = 1.0
_BACKLOG = 1024
# Bytes that the kernel accepts for a connection before the process reads them,
# which count toward the memory of the host. Linux allows twice as many.
_KERNEL_UNREAD_BYTES = 32 * 1024
# Shares of the memory for bytes behind running requests, and for unsent bytes
# of answers.
_UNREAD_SHARE = 0.05
_UNSENT_SHARE = 0.1
# Memory of a connection, without its head: what was read of a body and not yet
# passed on, and what arrived and was not read.
_CONNECTION_BYTES = 32 * 1024 + 2 * _KERNEL_UNREAD_BYTES
# Descriptors of a process whose settings do not state them, at most.
_DEFAULT_DESCRIPTORS = 4096
_MIN_CONNECTIONS = 8


class Listener(NamedTuple):
    """What one listener allows.

    Attributes:
        name: Name in the log and in metrics.
        descriptor_share: Share of the descriptors of the process.
        memory_share: Share of the memory of the process for connections and
            unfinished heads.
        limits: Limits on its clients.
        added_header_bytes: Size of headers beyond those of callers.
        has_own_unsent_limit: Whether the handler bounds unsent answers.
        kernel_unsent_bytes: Unsent bytes of an answer that the kernel takes; 0
            for its default.
        refusal: How requests are refused for lack of memory.
    """

    name: str
    descriptor_share: float
    memory_share: float
    limits: document_lib.Limits = document_lib.Limits()
    added_header_bytes: int = 0
    has_own_unsent_limit: bool = False
    kernel_unsent_bytes: int = 0
    refusal: bounded_server.Refusal = bounded_server.Refusal()


_HEADER_BYTES = 16 * 1024
_WITHOUT_BODY = document_lib.Limits(header_bytes=_HEADER_BYTES, body_bytes=1024)
# A connection to a target for each running request, and links to other hosts,
# need the descriptors that are left.
CALLERS = Listener("callers", 0.35, 0.28)
RELAY = Listener("relay", 0.04, 0.03)
CONTROL = Listener(
    "control", 0.4, 0.3, document_lib.Limits(header_bytes=_HEADER_BYTES)
)
DIRECTORY = Listener("directory", 0.06, 0.04, _WITHOUT_BODY)
READINESS = Listener("readiness", 0.03, 0.015, _WITHOUT_BODY)
METRICS = Listener("metrics", 0.03, 0.015, _WITHOUT_BODY)


def bind(address: str) -> list[socket.socket]:
    """Returns sockets that listen on `IP:PORT`.

    Raises:
        OSError: The address cannot be used.
    """
    host, port = address.rsplit(":", 1)
    return netutil.bind_sockets(int(port), host, backlog=_BACKLOG)


class Listeners:
    """The listeners of one process."""

    def __init__(
        self,
        *,
        resources: site_settings.HostResources,
        budget: budget_lib.Budget | None = None,
    ) -> None:
        """Initializes a process without listeners.

        Args:
            resources: What the host has.
            budget: Bounds the memory of requests; by default by the memory of
                the host.
        """
        bounds = budget_lib.Bounds.of(resources.memory_mb)
        self._memory_bytes = bounds.memory
        self._descriptors = resources.descriptors or min(
            _DEFAULT_DESCRIPTORS,
            resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        )
        self._memory = request_memory_lib.RequestMemory(
            budget=budget or budget_lib.Budget(bounds=bounds)
        )
        self._turns = bounded_server.ChunkTurns()
        self._servers: list[tuple[Listener, bounded_server.BoundedServer]] = []
        self._check = ioloop.PeriodicCallback(
            self._check_all, 1000 * _CHECK_SECONDS
        )

    @property
    def memory(self) -> request_memory_lib.RequestMemory:
        """Bounds the memory of the requests of all listeners."""
        return self._memory

    @property
    def counts(self) -> Mapping[str, int]:
        """Closed connections and refused requests, by listener and reason."""
        counts: collections.Counter[str] = collections.Counter()
        for listener, server in self._servers:
            for reason, count in server.counts.items():
                counts[f"{listener.name}_{reason}"] += count
        return counts

    @property
    def connections(self) -> Mapping[str, int]:
        """Number of open connections, by listener."""
        counts: collections.Counter[str] = collections.Counter()
        for listener, server in self._servers:
            counts[listener.name] += server.connections
        return counts

    def listen(
        self, listener: Listener, address: str, handler: Any
    ) -> bounded_server.BoundedServer:
        """Starts a server on an address.

        Args:
            listener: What it allows.
            address: `IP:PORT`.
            handler: Handles the requests: an application or a delegate.

        Raises:
            OSError: The address cannot be used.
        """
        return self.serve(listener, bind(address), handler)

    def serve(
        self,
        listener: Listener,
        sockets: Sequence[socket.socket],
        handler: Any,
    ) -> bounded_server.BoundedServer:
        """Starts a server on listening sockets."""
        for each in sockets:
            # Accepted connections inherit the options.
            each.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_UNREAD_BYTES
            )
            if listener.kernel_unsent_bytes:
                each.setsockopt(
                    socket.IPPROTO_TCP,
                    socket.TCP_NOTSENT_LOWAT,
                    listener.kernel_unsent_bytes,
                )
        server = bounded_server.BoundedServer(
            handler,
            name=listener.name,
            limits=self._limits(listener, listener.limits),
            memory=self._memory,
            turns=self._turns,
            max_unread=_UNREAD_SHARE * self._memory_bytes,
            max_unsent=(
                math.inf
                if listener.has_own_unsent_limit
                else _UNSENT_SHARE * self._memory_bytes
            ),
            refusal=listener.refusal,
        )
        server.add_sockets(sockets)
        self._servers.append((listener, server))
        self._check.start()
        return server

    def set_caller_limits(self, limits: document_lib.Limits) -> None:
        """Applies the limits of a configuration to callers and relays."""
        for listener, server in self._servers:
            if listener.name in (CALLERS.name, RELAY.name):
                server.set_limits(self._limits(listener, limits))

    def close(self) -> None:
        """Stops to accept connections; open ones end with their requests."""
        self._check.stop()
        for _, server in self._servers:
            server.stop()

    def _check_all(self) -> None:
        for _, server in self._servers:
            server.check()

    def _limits(
        self, listener: Listener, limits: document_lib.Limits
    ) -> bounded_server.Limits:
        header_bytes = limits.header_bytes + listener.added_header_bytes
        connections = min(
            listener.descriptor_share * self._descriptors,
            listener.memory_share
            * self._memory_bytes
            / (_CONNECTION_BYTES + header_bytes),
        )
        return bounded_server.Limits(
            connections=max(_MIN_CONNECTIONS, int(connections)),
            header_bytes=header_bytes,
            body_bytes=limits.body_bytes,
            header_seconds=limits.header_seconds,
            idle_seconds=limits.idle_seconds,
        )
