"""Entry hosts of a site as their leader knows them from renewals.

Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Collection
import dataclasses

from endivestream import logs
from endivestream import site_messages
from endivestream import table_position
from endivestream.process import site_settings

# An entry host without a renewal for this many renewal intervals leaves the
# list of hosts that callers are sent to.
_SILENT_HOST_INTERVALS = 4
# A configuration sent with an answer counts as in flight for this long; a host
# may have several renewals under way.
_DOCUMENT_IN_FLIGHT_SECONDS = 0.5


@dataclasses.dataclass(kw_only=True)
class Session:
    """One entry host.

    Attributes:
        host: Description of the host from its last renewal.
        peer: Identity of the host's socket.
        last_renewal: Time of its last renewal.
        position: Table position that the host has reached.
        relay: Name of the relay that the host follows, or empty.
        reported_teams: Teams named in its last renewal.
        is_known: Whether it has renewed on the same connection before.
        sent_version: Version of the last configuration sent with an answer.
        document_sent_at: When it was sent.
        report: What the host has and uses; None if it does not tell.
    """

    host: site_messages.EntryHost
    peer: bytes
    last_renewal: float
    position: table_position.Position
    relay: str = ""
    reported_teams: frozenset[str] = frozenset()
    is_known: bool = False
    sent_version: int = 0
    document_sent_at: float = 0.0
    report: site_messages.HostReport | None = None

    @property
    def lease_holder(self) -> str:
        """Identity of the machine that holds the lease."""
        return lease_holder(self.host)

    def is_document_in_flight(self, version: int, now: float) -> bool:
        """Whether an answer with a configuration is on its way to the host."""
        return (
            self.is_known
            and self.sent_version >= version
            and now - self.document_sent_at < _DOCUMENT_IN_FLIGHT_SECONDS
        )

    def record_document_sent(self, version: int, now: float) -> None:
        """Records that an answer contains a configuration."""
        self.sent_version = version
        self.document_sent_at = now

    def renewed(
        self, peer: bytes, message: site_messages.Renew, now: float
    ) -> Session:
        """Returns the session after another renewal."""
        return dataclasses.replace(
            self,
            host=message.host,
            peer=peer,
            last_renewal=now,
            position=message.position,
            relay=message.relay,
            reported_teams=_reported_teams(message),
            report=message.report,
            is_known=self.peer == peer,
        )


class Sessions:
    """Entry hosts that have renewed during one term of leadership."""

    def __init__(self, *, settings: site_settings.SiteSettings) -> None:
        self._settings = settings
        self._sessions: dict[str, Session] = {}

    def __len__(self) -> int:
        return len(self._sessions)

    @property
    def renew_seconds(self) -> float:
        """Interval between renewals of an entry host."""
        return self._settings.renew_seconds_for(len(self._sessions))

    @property
    def silence(self) -> float:
        """Time without a renewal after which a host counts as silent."""
        return _SILENT_HOST_INTERVALS * self.renew_seconds

    @property
    def peers(self) -> list[bytes]:
        """Identities of the sockets of all hosts."""
        return [session.peer for session in self._sessions.values()]

    def find(self, name: str) -> Session | None:
        """Returns the session of a host; None if it has not renewed."""
        return self._sessions.get(name)

    def renew(
        self, peer: bytes, message: site_messages.Renew, now: float
    ) -> Session:
        """Records a renewal; returns the host's session."""
        host = message.host
        previous = self._sessions.get(host.name)
        if previous is None or previous.host != host:
            logs.event(
                "entry_host",
                peer=host.name,
                address=host.address,
                draining=host.draining,
                new=previous is None,
            )
        session = (
            previous.renewed(peer, message, now)
            if previous is not None
            else Session(
                host=host,
                peer=peer,
                last_renewal=now,
                position=message.position,
                relay=message.relay,
                reported_teams=_reported_teams(message),
                report=message.report,
            )
        )
        self._sessions[host.name] = session
        return session

    def expire(self, now: float) -> list[str]:
        """Removes hosts whose leases have ended; returns their names."""
        expired = [
            name
            for name, session in self._sessions.items()
            if now - session.last_renewal > self._settings.lease_seconds
        ]
        for name in expired:
            del self._sessions[name]
            logs.warn("entry_host_expired", peer=name)
        return expired

    def live_hosts(self, now: float) -> tuple[site_messages.EntryHost, ...]:
        """Returns the hosts that callers may be sent to, by name."""
        silence = self.silence
        return tuple(
            session.host
            for _, session in sorted(self._sessions.items())
            if now - session.last_renewal <= silence
        )

    def live_reports(self, now: float) -> dict[str, site_messages.HostReport]:
        """Returns what hosts that callers may be sent to have reported."""
        silence = self.silence
        return {
            name: session.report
            for name, session in self._sessions.items()
            if session.report is not None
            and now - session.last_renewal <= silence
        }

    # Relays.

    def relay_of(self, session: Session, now: float) -> str:
        """Returns the relay that a host receives pushes from, or empty.

        A host that has stopped renewing, or that follows another relay, does
        not count as a relay, because it forwards nothing.
        """
        relay = self._sessions.get(session.relay)
        if relay is None or relay.relay:
            return ""
        is_live = now - relay.last_renewal <= self.silence
        return session.relay if is_live else ""

    def direct_peers(self, now: float) -> list[bytes]:
        """Returns the peers that receive pushes from the leader itself."""
        return [
            session.peer
            for session in self._sessions.values()
            if not self.relay_of(session, now)
        ]

    def relay_peers(self, now: float) -> Collection[bytes]:
        """Returns the peers that are relays of others."""
        names = {self.relay_of(s, now) for s in self._sessions.values()}
        return [self._sessions[name].peer for name in names if name]


def lease_holder(host: site_messages.EntryHost) -> str:
    """Returns the identity of a machine that holds a lease.

    A machine that replaces a lost one may have the same name, but listens on
    another address.
    """
    return f"{host.name}@{host.address}"


def _reported_teams(message: site_messages.Renew) -> frozenset[str]:
    return frozenset(need.team for need in message.needs)
