"""Receives the leader's pushes through a relay, or relays them to others.

Correctness does not depend on relays: renewals go directly to the leader
several times a second and return all updates that a relay did not deliver. If
a host's relay does not answer, the leader pushes to the host directly again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import zmq.asyncio

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import messages
from endivestream import peer_messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import links
from endivestream.connection import relays as relays_lib

# Interval of requests to the relay. An unreachable relay is detected within
# this interval plus the answer timeout.
_FOLLOW_INTERVAL_SECONDS = 0.6
_ANSWER_TIMEOUT_SECONDS = 0.25
# A follower expires this long after its last request; longer than several
# request intervals, so that lost requests do not interrupt its pushes.
_FOLLOWER_EXPIRY_SECONDS = 3.0
# Time before a relay that refused or did not answer is tried again.
_AVOID_SECONDS = 5.0
# A link that receives nothing for this long is reopened.
_LINK_SILENCE_SECONDS = 1.0


class PushRelay:
    """Relay and follower roles of one entry host. Lives with the process.

    A host is a relay, follows a relay, or does neither; the leader pushes
    directly to all hosts that do not follow a relay.
    """

    def __init__(
        self,
        *,
        host: str,
        domain: str,
        context: zmq.asyncio.Context,
        on_push: Callable[[messages.Message], None],
        on_relay_changed: Callable[[], None],
        has_lease: Callable[[], bool],
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Does not follow a relay before `start`.

        Args:
            host: This host's name.
            domain: This host's failure domain.
            context: The process's zmq context.
            on_push: Called with each message that a relay forwards.
            on_relay_changed: Called when this host's relay has changed.
            has_lease: Returns whether this host holds a valid lease.
            meter: Records the time spent on messages.
        """
        self._host = host
        self._domain = domain
        self._context = context
        self._on_push = on_push
        self._on_relay_changed = on_relay_changed
        self._has_lease = has_lease
        self._meter = meter
        self._domain_relays = relays_lib.select_relays((), domain)
        self._relay = ""
        self._link: links.Link | None = None
        self._avoided_until: dict[str, float] = {}
        # Hosts that this one forwards pushes to: socket and time of the last
        # request, by name.
        self._followers: dict[str, tuple[bytes, float]] = {}
        self._hosts_changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def relay(self) -> str:
        """Name of the relay that this host follows, or empty."""
        return self._relay

    @property
    def followers(self) -> list[bytes]:
        """Sockets of the hosts that this one forwards pushes to."""
        expired_before = clock.now() - _FOLLOWER_EXPIRY_SECONDS
        return [
            peer
            for peer, requested_at in self._followers.values()
            if requested_at >= expired_before
        ]

    def start(self) -> None:
        """Starts following a relay as soon as the hosts include one."""
        self._task = tasks.start_restarting(self._run, type(self).__name__)

    async def close(self) -> None:
        """Stops following a relay."""
        await tasks.cancel([self._task])
        await self._close_link()

    def set_hosts(self, hosts: Sequence[site_messages.EntryHost]) -> None:
        """Sets the list of entry hosts."""
        self._domain_relays = relays_lib.select_relays(hosts, self._domain)
        for name in self._followers.keys() - self._domain_relays.hosts.keys():
            del self._followers[name]
        self._hosts_changed.set()

    def handle_follow(
        self, peer: bytes, message: peer_messages.Follow
    ) -> peer_messages.Following:
        """Answers a host that requests to follow this one."""
        is_relay = (
            self._host in self._domain_relays.relays and self._has_lease()
        )
        if is_relay:
            self._followers[message.host] = (peer, clock.now())
        else:
            self._followers.pop(message.host, None)
        return peer_messages.Following(relays=is_relay)

    async def _run(self) -> None:
        while True:
            self._hosts_changed.clear()
            await self._follow()
            try:
                async with asyncio.timeout(_FOLLOW_INTERVAL_SECONDS):
                    await self._hosts_changed.wait()
            except TimeoutError:
                pass

    async def _follow(self) -> None:
        """Renews the request to this host's relay, or switches relays."""
        now = clock.now()
        self._avoided_until = {
            n: t for n, t in self._avoided_until.items() if t > now
        }
        chosen = relays_lib.choose_relay(
            self._domain_relays, host=self._host, avoided=self._avoided_until
        )
        if chosen is None:
            self._set_relay("")
            await self._close_link()
            return
        if self._link is None or self._link.address != chosen.peers:
            self._set_relay("")
            await self._close_link()
            self._link = links.Link(
                address=chosen.peers,
                context=self._context,
                on_push=self._on_push,
                silence=_LINK_SILENCE_SECONDS,
                expects_pushes=False,
                meter=self._meter,
            )
            self._link.start()
        if await self._request_follow(self._link):
            self._set_relay(chosen.name)
        else:
            self._avoided_until[chosen.name] = clock.now() + _AVOID_SECONDS
            self._set_relay("")
            await self._close_link()

    async def _request_follow(self, link: links.Link) -> bool:
        """Requests relayed pushes from a host; returns whether it accepts."""
        try:
            answer = await link.request(
                peer_messages.Follow(host=self._host),
                seconds=_ANSWER_TIMEOUT_SECONDS,
            )
        except links.LinkDownError as error:
            logs.warn("relay_unanswered", peer=link.address, why=error)
            return False
        match answer:
            case peer_messages.Following(relays=relays):
                return relays
        logs.warn("unexpected_message", message=type(answer).__name__)
        return False

    def _set_relay(self, name: str) -> None:
        if name != self._relay:
            logs.event("relay_changed", peer=name, before=self._relay)
            self._relay = name
            self._on_relay_changed()

    async def _close_link(self) -> None:
        link, self._link = self._link, None
        if link is not None:
            await link.close()
