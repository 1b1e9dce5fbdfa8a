"""Entry hosts that relay requests for a host that reaches no target itself.

A relayed request is the caller's own request, sent to the relay host over HTTP
with one more header (`RelayedRequest`). The relay host checks it like any
request, serves it from its own view of the targets, and does not relay it
again. This module selects relay hosts; it does no I/O.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple
from typing import TypeVar

import msgspec
from tornado import httputil

from endivestream import site_messages
from endivestream.connection import header_text
from endivestream.request import stream_origins
from endivestream.version import document as document_lib

# Marks a relayed request, and names the reason of a failure of the relay host
# itself in its answer.
REQUEST_HEADER = "Endivestream-Relayed"
FAILURE_HEADER = "Endivestream-Relay-Failure"
# Marks a relayed request whose answer may be a stream that another target goes
# on with. Older builds, which would choose a target of any software version,
# do not know this header and refuse the request.
STREAM_HEADER = "Endivestream-Relayed-Stream"
# In the answer to such a request: where the stream began.
ORIGIN_HEADER = "Endivestream-Stream-Origin"
# Time for which a host that relays nothing is not selected.
_AVOID_SECONDS = 1.0
# Time for which requests for a service's model are not relayed through a host
# that reaches no target for it, and through any host if none does.
_UNSERVED_SECONDS = 0.3
# Service, model and required software version of a request; the last two can be
# empty.
Key = tuple[str, str, str]
_Key = TypeVar("_Key")

# A relay host in another failure domain is selected if those in the own domain
# have this many more requests of this host.
_REMOTE_DOMAIN_REQUESTS = 8


class RelayedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What the host of the caller has decided and done about a request.

    Attributes:
        host: Name of that host.
        version: Version of its configuration.
        waited: Seconds since the request was read.
        sent_attempts: Number of attempts that may have reached a target.
        tried: Targets that may have run it.
        last_event: Id of the last event that the caller has, in a stream.
        origin: Where the stream began; None if that is unknown or no event has
            been relayed.
    """

    host: str
    version: int
    waited: float = 0.0
    sent_attempts: int = 0
    tried: tuple[str, ...] = ()
    last_event: str = ""
    origin: stream_origins.StreamOrigin | None = None

    def encode(self) -> str:
        """Returns the value of the request's header."""
        return header_text.encode(msgspec.json.encode(self).decode())


def take_relayed_request(
    headers: httputil.HTTPHeaders,
) -> RelayedRequest | None:
    """Removes the headers from a request; None if missing or invalid."""
    text = headers.pop(REQUEST_HEADER, "")
    text = headers.pop(STREAM_HEADER, text)
    try:
        return msgspec.json.decode(
            header_text.decode(text), type=RelayedRequest
        )
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def request_header(route: document_lib.Route) -> str:
    """Returns the name of the header that marks relayed requests of a route."""
    return STREAM_HEADER if route.has_resumable_streams else REQUEST_HEADER


def encode_origin(origin: stream_origins.StreamOrigin) -> str:
    """Returns the value of the header that states where a stream began."""
    return header_text.encode(msgspec.json.encode(origin).decode())


def decode_origin(text: str) -> stream_origins.StreamOrigin | None:
    """Returns the origin that a relay host states; None without a valid one."""
    try:
        return msgspec.json.decode(
            header_text.decode(text), type=stream_origins.StreamOrigin
        )
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


class RelayHost(NamedTuple):
    """An entry host that may relay.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        address: `IP:PORT` on which it accepts relayed requests.
    """

    name: str
    domain: str
    address: str


def relay_address(peers: str) -> str:
    """Returns the address for relayed requests: the port after that for peers.

    Args:
        peers: `tcp://IP:PORT` on which a host listens for others, or empty.
    """
    if not peers:
        return ""
    ip, port = peers.removeprefix("tcp://").rsplit(":", 1)
    return f"{ip}:{int(port) + 1}"


class RelayHosts:
    """Selects relay hosts for the requests of one entry host."""

    def __init__(self, *, name: str = "", domain: str = "") -> None:
        """Initializes a selection without hosts.

        Args:
            name: Name of this host, which is never selected.
            domain: Its failure domain.
        """
        self._name = name
        self._domain = domain
        self._hosts: tuple[RelayHost, ...] = ()
        self._running: dict[str, int] = {}
        self._avoided_until: dict[str, float] = {}
        # The same for one service and model, by host.
        self._key_avoided_until: dict[tuple[str, Key], float] = {}
        self._unserved_until: dict[Key, float] = {}

    def set_hosts(self, entries: Sequence[site_messages.EntryHost]) -> None:
        """Sets the entry hosts of the site."""
        self._hosts = tuple(
            RelayHost(entry.name, entry.domain, relay_address(entry.peers))
            for entry in entries
            if entry.peers and not entry.draining and entry.name != self._name
        )
        names = {host.name for host in self._hosts}
        for name in self._avoided_until.keys() - names:
            del self._avoided_until[name]

    def pick(
        self, key: Key, now: float, tried: Collection[str] = ()
    ) -> RelayHost | None:
        """Returns the host with the fewest requests of this host.

        Args:
            key: Service, model and software version of the request.
            now: Current time.
            tried: Names of hosts that could not relay the request.
        """
        hosts = [
            host
            for host in self._hosts
            if host.name not in tried
            and now >= self._avoided_until.get(host.name, now)
            and now >= self._key_avoided_until.get((host.name, key), now)
        ]
        return min(hosts, key=self._load, default=None)

    def _load(self, host: RelayHost) -> int:
        running = self._running.get(host.name, 0)
        if host.domain != self._domain:
            running += _REMOTE_DOMAIN_REQUESTS
        return running

    def can_serve(self, key: Key, now: float) -> bool:
        """Whether a relay host is likely to serve a request.

        Args:
            key: Service, model and software version of the request.
            now: Current time.
        """
        return (
            now >= self._unserved_until.get(key, now)
            and self.pick(key, now) is not None
        )

    def record_sent(self, name: str) -> None:
        """Records that a request is sent to a relay host."""
        self._running[name] = self._running.get(name, 0) + 1

    def record_end(self, name: str) -> None:
        """Records that a request at a relay host has ended."""
        self._running[name] -= 1
        if not self._running[name]:
            del self._running[name]

    def record_unavailable(self, name: str, now: float) -> None:
        """Records that a host relays no request now."""
        self._avoided_until[name] = now + _AVOID_SECONDS

    def record_unserved(
        self, key: Key, now: float, name: str | None = None
    ) -> None:
        """Records that relay hosts reach no target for a service's model.

        Args:
            key: Service, model and software version.
            now: Current time.
            name: The relay host; None if all have been tried.
        """
        if name is None:
            _set_until(self._unserved_until, key, now, _UNSERVED_SECONDS)
        else:
            _set_until(
                self._key_avoided_until, (name, key), now, _UNSERVED_SECONDS
            )


def _set_until(
    until_by_key: dict[_Key, float], key: _Key, now: float, seconds: float
) -> None:
    """Sets a time and drops those that have passed."""
    for passed in [k for k, until in until_by_key.items() if until <= now]:
        del until_by_key[passed]
    until_by_key[key] = now + seconds
