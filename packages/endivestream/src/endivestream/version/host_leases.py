"""Configuration leases of hosts, and the version each host has applied. Pure.

A change is in force everywhere once every host whose lease may still be valid
has acknowledged it. A host that is cut off acknowledges nothing, but its lease
expires, after which it refuses new work; so it is always enough to wait for
the duration of one lease.
"""

from __future__ import annotations

from typing import NamedTuple

from endivestream import messages


class HostLease(NamedTuple):
    """A host and its lease as of its last renewal.

    Attributes:
        host: The host.
        peer: The connection to push changes to.
        version: The configuration version that it has in force.
        renewed_at: When it last renewed its lease, in seconds of a monotonic
            clock.
        lease_until: When its lease has certainly expired.
    """

    host: messages.HostInfo
    peer: bytes
    version: int
    renewed_at: float
    lease_until: float


class HostLeases:
    """Leases of all hosts known to this process. Times are in seconds."""

    def __init__(
        self, *, lease_seconds: float, silence_seconds: float, now: float
    ) -> None:
        self._lease_seconds = lease_seconds
        self._silence_seconds = silence_seconds
        # An earlier leader, or this process before a restart, may have granted
        # leases that are not recorded here; they have expired by this time.
        self._unknown_leases_until = now + lease_seconds
        self._complete_from = now + silence_seconds
        self._leases: dict[str, HostLease] = {}
        self._live_hosts: list[messages.HostInfo] = []
        # Starts from the clock, so that versions of this process are above
        # those of any earlier one.
        self._hosts_version = int(now * 1000)

    @property
    def hosts_version(self) -> int:
        """Increases whenever the list of live hosts changes."""
        return self._hosts_version

    def __repr__(self) -> str:
        return f"<HostLeases of {len(self._leases)} hosts>"

    def renew(
        self, host: messages.HostInfo, peer: bytes, version: int, now: float
    ) -> bool:
        """Renews a lease; False if the request is of an older incarnation.

        The lease is counted from the time of receipt. Its holder counts from
        the earlier time of sending, so this side never considers the lease
        expired before the holder does.
        """
        current = self._leases.get(host.name)
        if current is not None and current.host.incarnation > host.incarnation:
            return False
        self._leases[host.name] = HostLease(
            host, peer, version, now, now + self._lease_seconds
        )
        return True

    def find(self, name: str) -> messages.HostInfo | None:
        """Returns a host as of its last lease renewal, or None."""
        lease = self._leases.get(name)
        return lease.host if lease else None

    @property
    def live(self) -> list[messages.HostInfo]:
        """Hosts that recently renewed, by name, as of the last `refresh`."""
        return self._live_hosts

    def is_complete(self, now: float) -> bool:
        """Returns whether all live hosts have had time to renew their leases.

        A new leader has received renewals of few hosts only. If it published
        that short list, all callers and targets would be sent to those few
        hosts, and would have no address left when these hosts fail next.
        """
        return now >= self._complete_from

    def refresh(self, now: float) -> None:
        """Updates the list of live hosts, and its version if it changed.

        Not done for each renewal: at 390 hosts that took a fifth of a core.
        """
        live = sorted(
            lease.host
            for lease in self._leases.values()
            if now - lease.renewed_at <= self._silence_seconds
        )
        if live != self._live_hosts:
            self._live_hosts = live
            self._hosts_version += 1

    def is_expired(self, name: str, now: float) -> bool:
        """Returns whether a host has not renewed for two leases or more."""
        unknown = name not in self._leases
        return (
            unknown and now >= self._unknown_leases_until + self._lease_seconds
        )

    def peers(self, now: float) -> list[bytes]:
        """Returns the connections of hosts that recently renewed."""
        return [
            lease.peer
            for lease in self._leases.values()
            if now - lease.renewed_at <= self._silence_seconds
        ]

    def lagging(self, version: int, now: float) -> list[str]:
        """Returns names of hosts that may still use an older version.

        Args:
            version: The configuration version to compare with.
            now: The present time.
        """
        lagging_hosts = [
            name
            for name, lease in self._leases.items()
            if lease.version < version and lease.lease_until > now
        ]
        if now < self._unknown_leases_until:
            lagging_hosts.append("(leases given before the last restart)")
        return sorted(lagging_hosts)

    def forget_expired(self, now: float) -> list[messages.HostInfo]:
        """Removes and returns hosts whose lease expired over one lease ago."""
        expired = [
            lease.host
            for lease in self._leases.values()
            if now > lease.lease_until + self._lease_seconds
        ]
        for host in expired:
            del self._leases[host.name]
        return expired
