"""Selects the entry hosts that relay the leader's pushes. Pure functions.

Placement changes targets dozens of times a second, and each change goes to
every entry host. With hundreds of hosts in several failure domains, most of
this traffic would cross between domains, and the leader would write all of it.
Instead the leader pushes to a few relays in each domain, and these forward the
pushes to the other hosts of the domain.

All hosts compute the relays from the same list of entry hosts. While the lists
differ, a host may send its request to one that is not a relay; the request is
refused, and the leader pushes to the host directly until it finds a relay.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import NamedTuple

from endivestream import site_messages
from endivestream.connection import addresses

# Approximate; limits the frames that a relay writes for each push.
_HOSTS_PER_RELAY = 24
# In smaller domains a relay saves too little traffic.
_MIN_RELAYED_HOSTS = 6
_SALT = "relay"


class DomainRelays(NamedTuple):
    """The relays of a failure domain.

    Attributes:
        relays: Names of the relays.
        hosts: All hosts that are eligible as relays, by name.
    """

    relays: tuple[str, ...]
    hosts: dict[str, site_messages.EntryHost]


def select_relays(
    hosts: Iterable[site_messages.EntryHost], domain: str
) -> DomainRelays:
    """Selects the relays of a failure domain.

    Args:
        hosts: All entry hosts.
        domain: The failure domain.
    """
    eligible = {
        host.name: host
        for host in hosts
        if host.domain == domain and host.peers and not host.draining
    }
    if len(eligible) < _MIN_RELAYED_HOSTS:
        return DomainRelays((), eligible)
    count = math.ceil(len(eligible) / _HOSTS_PER_RELAY)
    by_rank = sorted(eligible, key=lambda name: addresses.rank(_SALT, name))
    return DomainRelays(tuple(by_rank[:count]), eligible)


def choose_relay(
    domain_relays: DomainRelays, *, host: str, avoided: Collection[str] = ()
) -> site_messages.EntryHost | None:
    """Returns the relay for a host; None if the leader pushes to it directly.

    Args:
        domain_relays: The relays of the host's failure domain.
        host: The host's name.
        avoided: Names of relays not to use.
    """
    if host in domain_relays.relays:
        return None
    names = [name for name in domain_relays.relays if name not in avoided]
    if not names:
        return None
    return domain_relays.hosts[
        min(names, key=lambda n: addresses.rank(host, n))
    ]
