"""Home regions of routes and teams: where their requests may be processed.

Pure. Load pattern: a region fails or is overloaded while others are idle. A
request with home regions is then refused rather than processed elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from endivestream import site_messages
from endivestream.request import host_shares
from endivestream.version import document as document_lib

# Minimum number of entry hosts in an address list. Hosts of other failure
# domains are added if needed, so that callers have another one when one fails.
_MIN_ADDRESSES = 2


def allowed_regions(
    route: document_lib.Route, team: document_lib.Team | None
) -> frozenset[str] | None:
    """Returns the regions whose targets may get a request; None for all.

    Homes of the route and of the team both apply, so the result is empty if
    they have no region in common.
    """
    homes = [
        frozenset(regions)
        for regions in (route.home_regions, team.home_regions if team else ())
        if regions
    ]
    return frozenset.intersection(*homes) if homes else None


def caller_regions(
    routes: Iterable[document_lib.Route], caller_region: str
) -> frozenset[str] | None:
    """Returns the regions of the entry hosts for callers; None for all.

    Args:
        routes: All routes of the host name that the caller looks up.
        caller_region: The caller's own region, which is always allowed.
    """
    homes = [frozenset(r.home_regions) for r in routes if r.home_regions]
    if not homes:
        return None
    # The path is unknown at this point: prefer what suits all routes.
    common = frozenset.intersection(*homes) or frozenset.union(*homes)
    return common | {caller_region}


def select_addresses(
    hosts: Sequence[site_messages.EntryHost],
    *,
    domain: str,
    regions: frozenset[str] | None,
    region_by_domain: Mapping[str, str],
    shares: host_shares.ShareTable | None = None,
    caller: str = "",
) -> list[str]:
    """Returns the addresses to which callers of a failure domain connect.

    These are the hosts of their own domain, or all hosts of allowed regions if
    there are too few of these. Draining hosts are left out. If hosts of the
    domain are uneven, the list is a sample of them (host_shares.py).

    Args:
        hosts: All entry hosts.
        domain: The callers' failure domain.
        regions: Regions from which hosts are returned; None for all.
        region_by_domain: Region of each failure domain.
        shares: Shares of uneven hosts; None to treat all alike.
        caller: Identifies the caller; empty if callers are not distinguished.
    """
    available = [
        host
        for host in hosts
        if not host.draining
        and (
            regions is None or region_by_domain.get(host.domain, "") in regions
        )
    ]
    same_domain = [host for host in available if host.domain == domain]
    if len(same_domain) < _MIN_ADDRESSES:
        return [host.address for host in available]
    if shares is not None:
        others = [host for host in available if host.domain != domain]
        same_domain = shares.choose(same_domain, others, caller=caller)
    return [host.address for host in same_domain]
