"""Who holds a configuration lease, and what they have in force. Pure.

A change is in force everywhere once every host whose lease may still run has
acknowledged it. A host that is cut off acknowledges nothing, but its lease
runs out, after which it refuses new work; so waiting for one lease is always
enough.
"""

from __future__ import annotations

from typing import NamedTuple

from endivestream import messages


class Watcher(NamedTuple):
    """A host as its last watch showed it.

    Attributes:
        host: Who it is.
        peer: The connection to push changes to.
        have: The version it has in force.
        heard: When it was heard of, in seconds of a steady clock.
        lease_until: When its lease has surely run out.
    """

    host: messages.HostInfo
    peer: bytes
    have: int
    heard: float
    lease_until: float


class Watchers:
    """All hosts known to this process. Times are seconds."""

    def __init__(
        self, *, lease_seconds: float, silence_seconds: float, now: float
    ) -> None:
        self._lease = lease_seconds
        self._silence = silence_seconds
        # An earlier leader, or this process before a restart, may have given
        # leases that nobody here remembers; they run out by then.
        self._forgotten_until = now + lease_seconds
        self._complete_from = now + silence_seconds
        self._watchers: dict[str, Watcher] = {}
        self._live: list[messages.HostInfo] = []
        # Versions of this process are above those of any earlier one.
        self._hosts_version = int(now * 1000)

    @property
    def hosts_version(self) -> int:
        """Rises whenever the list of live hosts changes."""
        return self._hosts_version

    def __repr__(self) -> str:
        return f"<Watchers of {len(self._watchers)} hosts>"

    def renew(
        self, host: messages.HostInfo, peer: bytes, have: int, now: float
    ) -> bool:
        """Notes a watch; False if it comes from an older incarnation.

        The lease counts from here, later than at its holder, who counts from
        the moment of sending: this side is never the first to call it over.
        """
        known = self._watchers.get(host.name)
        if known is not None and known.host.incarnation > host.incarnation:
            return False
        self._watchers[host.name] = Watcher(
            host, peer, have, now, now + self._lease
        )
        return True

    def find(self, name: str) -> messages.HostInfo | None:
        """Returns a host as its last watch showed it, or None."""
        watcher = self._watchers.get(name)
        return watcher.host if watcher else None

    @property
    def live(self) -> list[messages.HostInfo]:
        """Hosts heard of lately, by name, as of the last `refresh`."""
        return self._live

    def is_complete(self, now: float) -> bool:
        """Tells whether all live hosts have had time to be heard.

        A new leader has heard of few hosts. Given out, its short table would
        send all callers and targets to those few, and leave them with no
        address at all when these go next.
        """
        return now >= self._complete_from

    def refresh(self, now: float) -> None:
        """Renews the list of live hosts, and its version if it changed.

        Not done for each renewal: at 390 hosts that took a fifth of a core.
        """
        live = sorted(
            watcher.host
            for watcher in self._watchers.values()
            if now - watcher.heard <= self._silence
        )
        if live != self._live:
            self._live = live
            self._hosts_version += 1

    def is_gone(self, name: str, now: float) -> bool:
        """Tells whether a host was not heard of for two leases or more."""
        unheard = name not in self._watchers
        return unheard and now >= self._forgotten_until + self._lease

    def peers(self, now: float) -> list[bytes]:
        """Returns connections of hosts heard of lately."""
        return [
            watcher.peer
            for watcher in self._watchers.values()
            if now - watcher.heard <= self._silence
        ]

    def lagging(self, version: int, now: float) -> list[str]:
        """Names hosts that may still act on less than `version`."""
        late = [
            name
            for name, watcher in self._watchers.items()
            if watcher.have < version and watcher.lease_until > now
        ]
        if now < self._forgotten_until:
            late.append("(leases given before the last restart)")
        return sorted(late)

    def forget(self, now: float) -> list[messages.HostInfo]:
        """Drops hosts whose lease ran out long ago; returns them."""
        gone = [
            watcher.host
            for watcher in self._watchers.values()
            if now > watcher.lease_until + self._lease
        ]
        for host in gone:
            del self._watchers[host.name]
        return gone
