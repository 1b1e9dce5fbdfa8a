"""Settings of a site's hosts: who they are, and the times that must hold.

The bounds are the operators' promises; all times of ours follow from them and
are checked against each other before anything starts.
"""

from __future__ import annotations

from typing import NamedTuple

from endivestream import findings

# A renewal answers in milliseconds; three lost ones in a row must not cost a
# lease, so a lease holds several of them.
_RENEWALS_IN_LEASE = 6
# Left between the end of the last lease and the bound on withdrawn keys: a
# request that was admitted just before may still be on its way to a target.
_REVOKE_MARGIN_SECONDS = 0.8
# A renewal carries a few hundred bytes; more often brings nothing, because
# changes are pushed.
_RENEW_SECONDS = 0.3


# Least average time between renewals at the leader, over all entry hosts.
_LEADER_RENEWAL_SECONDS = 0.0025


class Bounds(NamedTuple):
    """What operators promise of the system. Times in seconds.

    Attributes:
        revoke: A withdrawn key works nowhere after this.
        config: A configuration is in force everywhere after this.
        drain: A leaving target gets nothing new after this.
        grace: A process that is asked to stop is killed after this.
        lease: Two hosts may order one target only so long apart.
        repeat_ratio: Repeats for each request that came.
        repeat_window: Seconds over which repeats count.
        repeat_slack: Repeats that are allowed on top, over all hosts.
        store_window: Seconds over which loads from the store count.
        store_excess: Loads allowed, as a multiple of the store's rate.
        address_lifetime: Longest time for which callers keep an answer.
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
    fenced: bool = False


class SiteSettings(NamedTuple):
    """Settings of one process of a site.

    Attributes:
        name: Unique among hosts.
        domain: Its failure domain.
        domains: All failure domains with their regions.
        region: Its region.
        callers: `IP:PORT` where callers connect; empty on a control host.
        peers: `tcp://IP:PORT` where this host listens for others; empty
            for an entry host that owns no engine.
        controls: `tcp://IP:PORT` of some control hosts.
        data_folder: Where the log is kept; empty elsewhere.
        first_start: Whether the whole system starts for the first time.
        losses: Control hosts that may be lost at once.
        report: Seconds between the reports of a target.
        bounds: What operators promise.
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

    @property
    def machine(self) -> str:
        """This machine among all that ever had its name.

        One that replaces a lost machine may bear its name, but listens
        elsewhere.
        """
        return f"{self.name}@{self.peers}"

    @property
    def lease_seconds(self) -> float:
        """How long an entry host may act without hearing a leader."""
        return self.bounds.revoke - _REVOKE_MARGIN_SECONDS

    @property
    def renew_seconds(self) -> float:
        """Time between two renewals."""
        return min(_RENEW_SECONDS, self.lease_seconds / _RENEWALS_IN_LEASE)

    def renew_seconds_for(self, hosts: int) -> float:
        """Returns the time between two renewals of each entry host.

        Large sites renew less often, which limits the load on the leader, but
        still several times in a lease.

        Args:
            hosts: The number of entry hosts.
        """
        longest = self.lease_seconds / _RENEWALS_IN_LEASE
        every = max(self.renew_seconds, hosts * _LEADER_RENEWAL_SECONDS)
        return min(longest, every)

    @property
    def election_seconds(self) -> float:
        """Least time without a leader before an election.

        Three renewals and an election of up to twice its time must fit into a
        lease, or the death of a leader makes healthy hosts refuse.
        """
        return min(0.6, self.lease_seconds / 5)

    @property
    def voters(self) -> int:
        """Replicas that vote: enough that losses leave a majority."""
        return 2 * self.losses + 1

    @property
    def address_seconds(self) -> float:
        """For how long callers are told to keep an answer.

        Some keep it three times as long; a host that stops must outlive that.
        """
        return min(self.bounds.address_lifetime, self.bounds.grace / 4)


def check(settings: SiteSettings) -> list[findings.Finding]:
    """Returns every relation between times that does not hold."""
    found = []

    def at_least(name: str, value: float, other: str, least: float) -> None:
        if value < least:
            what = f"{name} = {value:g} s must be at least {other} = {least:g}"
            found.append(findings.Finding(findings.Place("bounds"), what))

    lease = settings.lease_seconds
    renew = settings.renew_seconds
    election = settings.election_seconds
    at_least("revoke", settings.bounds.revoke, "margin", 1.0)
    at_least(
        "lease", lease, "3 renewals + 2 elections", 3 * renew + 2 * election
    )
    at_least(
        "grace",
        settings.bounds.grace,
        "3 address lifetimes",
        3 * settings.address_seconds,
    )
    if not settings.controls:
        what = "no control host is named"
        found.append(findings.Finding(findings.Place("controls"), what))
    return found
