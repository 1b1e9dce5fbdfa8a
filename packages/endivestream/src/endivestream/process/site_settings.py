"""Settings of a site's hosts: their identity and the bounds of the system.

The bounds are guaranteed to operators. All internal times are derived from
them and are checked against each other before the process starts.
"""

from __future__ import annotations

from typing import NamedTuple

from endivestream import findings

# Number of renewals in a lease. A renewal takes milliseconds, and a lease must
# not expire when three renewals in a row are lost.
_RENEWALS_IN_LEASE = 6
# Time between the expiry of the last lease and the bound on withdrawn keys. A
# request admitted just before the expiry may not yet have reached its target.
_REVOKE_MARGIN_SECONDS = 0.8
# Maximum time between renewals, each of which takes a few hundred bytes. A
# shorter time has no advantage, because changes are pushed.
_MAX_RENEW_SECONDS = 0.3


# Minimum average time between renewals at the leader, over all entry hosts.
_MIN_LEADER_RENEWAL_SECONDS = 0.0025


class Bounds(NamedTuple):
    """Guarantees of the system to its operators. Times are in seconds.

    Attributes:
        revoke: Time after which a withdrawn key is refused by all hosts.
        config: Time after which a configuration is in force on all hosts.
        drain: Time after which a departing target gets no new requests.
        grace: Time between the stop signal to a process and its kill.
        lease: Minimum time between orders of two hosts to the same target.
        repeat_ratio: Repeats allowed for each request received.
        repeat_window: Seconds over which repeats are counted.
        repeat_slack: Repeats allowed in addition, over all hosts.
        store_window: Seconds over which loads from the store are counted.
        store_excess: Loads allowed, as a multiple of the store's rate.
        address_lifetime: Maximum time for which callers keep an address list.
        evacuation: Time after which the targets of an evacuated domain get no
            requests.
        fenced: Whether targets refuse orders with an old fencing token.
    """

    revoke: float = 5.0
    config: float = 2.0
    drain: float = 2.0
    grace: float = 8.0
    lease: float = 3.0
    repeat_ratio: float = 0.2
    repeat_window: float = 10.0
    repeat_slack: float = 50.0
    store_window: float = 5.0
    store_excess: float = 1.1
    address_lifetime: float = 5.0
    evacuation: float = 5.0
    fenced: bool = False


class HostResources(NamedTuple):
    """Resources of a host; 0 for one that its settings do not state.

    Attributes:
        cores: Processor share, in cores.
        memory_mb: Memory of the process, in megabytes.
        descriptors: Maximum number of open file descriptors.
        link_mbps: Bandwidth of its link, in megabits a second.
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0
    link_mbps: float = 0.0


class SiteSettings(NamedTuple):
    """Settings of one process of a site.

    Attributes:
        name: Unique among hosts.
        domain: The host's failure domain.
        domains: All failure domains with their regions.
        region: The host's region.
        callers: `IP:PORT` to which callers connect; empty on a control host.
        peers: `tcp://IP:PORT` on which this host listens for other hosts;
            empty for an entry host that is not the turn owner of any engine.
        controls: `tcp://IP:PORT` of some control hosts.
        data_folder: Folder of the log; empty on hosts without one.
        first_start: Whether the complete system starts for the first time.
        losses: Number of control hosts that may fail at the same time.
        report: Seconds between the reports of a target.
        bounds: Guarantees to operators.
        resources: What this host has.
        has_slow_readers: Whether callers and targets may read slowly, so that
            the memory held for them is bounded.
        hedge_ratio: Hedged attempts for each request of an idempotent route
            that sets no ratio of its own; 0 for none.
        hedge_concurrency: Maximum number of hedged attempts at once over all
            hosts; 0 for no such limit.
    """

    name: str
    domain: str
    domains: dict[str, str]
    region: str
    callers: str
    peers: str
    controls: tuple[str, ...]
    data_folder: str
    first_start: bool
    losses: int
    report: float
    bounds: Bounds
    resources: HostResources = HostResources()
    has_slow_readers: bool = False
    hedge_ratio: float = 0.0
    hedge_concurrency: int = 0

    @property
    def host_identity(self) -> str:
        """The identity of this machine.

        A machine that replaces a lost one may have the same name, but listens
        on another address.
        """
        return f"{self.name}@{self.peers}"

    @property
    def lease_seconds(self) -> float:
        """Seconds for which an entry host may act without a leader."""
        return self.bounds.revoke - _REVOKE_MARGIN_SECONDS

    @property
    def renew_seconds(self) -> float:
        """Seconds between two renewals of a host in a small site."""
        return min(_MAX_RENEW_SECONDS, self.lease_seconds / _RENEWALS_IN_LEASE)

    def renew_seconds_for(self, hosts: int) -> float:
        """Returns the seconds between two renewals of each entry host.

        Hosts of large sites renew less often, which limits the load on the
        leader, but still several times in a lease.

        Args:
            hosts: The number of entry hosts.
        """
        max_seconds = self.lease_seconds / _RENEWALS_IN_LEASE
        wanted_seconds = max(
            self.renew_seconds, hosts * _MIN_LEADER_RENEWAL_SECONDS
        )
        return min(max_seconds, wanted_seconds)

    @property
    def election_seconds(self) -> float:
        """Minimum seconds without a leader before an election.

        Three renewals and an election of up to twice this time must fit into a
        lease. Otherwise healthy hosts refuse requests when a leader fails.
        """
        return min(0.6, self.lease_seconds / 5)

    @property
    def voters(self) -> int:
        """The number of voting replicas; after losses, a quorum remains."""
        return 2 * self.losses + 1

    @property
    def address_seconds(self) -> float:
        """Seconds for which callers should keep an address list.

        Some callers keep it three times as long. A draining host must not stop
        before that.
        """
        return min(self.bounds.address_lifetime, self.bounds.grace / 4)


def check(settings: SiteSettings) -> list[findings.Finding]:
    """Returns a finding for each violated relation between times."""
    found = []

    def check_at_least(
        name: str, value: float, other: str, minimum: float
    ) -> None:
        if value < minimum:
            message = (
                f"{name} = {value:g} s must be at least {other} = {minimum:g}"
            )
            found.append(findings.Finding(findings.Place("bounds"), message))

    lease = settings.lease_seconds
    renewal = settings.renew_seconds
    election = settings.election_seconds
    check_at_least("revoke", settings.bounds.revoke, "margin", 1.0)
    check_at_least(
        "lease", lease, "3 renewals + 2 elections", 3 * renewal + 2 * election
    )
    check_at_least(
        "grace",
        settings.bounds.grace,
        "3 address lifetimes",
        3 * settings.address_seconds,
    )
    if not 0 <= settings.hedge_ratio <= settings.bounds.repeat_ratio:
        message = (
            f"hedge_ratio is {settings.hedge_ratio:g}; hedged attempts are "
            "repeats, so it must be between 0 and "
            f"repeat_ratio = {settings.bounds.repeat_ratio:g}"
        )
        found.append(findings.Finding(findings.Place("hedging"), message))
    if settings.hedge_concurrency < 0:
        message = (
            f"hedge_concurrency is {settings.hedge_concurrency}; "
            "it must be at least 0"
        )
        found.append(findings.Finding(findings.Place("hedging"), message))
    if not settings.controls:
        message = "no address of a control host is configured"
        found.append(findings.Finding(findings.Place("controls"), message))
    return found
