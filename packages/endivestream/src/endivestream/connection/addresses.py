"""Which hosts a caller should use, in order. Pure."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
import zlib

from endivestream import messages

# Domains that an answer names at least, if there are as many: a caller whose
# whole domain fails must have somewhere to go before it asks again.
_DOMAINS_AT_LEAST = 2


def rank(caller: str, host: str) -> bytes:
    """Returns a caller's preference for a host (rendezvous hashing).

    Each caller has an order of its own over all hosts, so losing one host
    moves only the callers that stood on it, and spreads them evenly.
    """
    return hashlib.blake2b(f"{caller}\0{host}".encode(), digest_size=8).digest()


def digest(hosts: Iterable[str]) -> int:
    """Returns a checksum of a list of addresses; order matters."""
    return zlib.crc32("\n".join(hosts).encode())


def homes(
    hosts: Iterable[messages.HostInfo], *, target: str
) -> list[messages.HostInfo]:
    """Returns hosts in the order in which a target should report to them.

    Each target has its own order, so that homes are spread over all hosts and
    losing one moves only the targets that reported there.
    """
    ready = [host for host in hosts if not host.draining]
    return sorted(ready, key=lambda host: rank(target, host.name))


def choose(
    hosts: Iterable[messages.HostInfo],
    *,
    caller: str,
    domain: str,
    most: int = 4,
) -> list[messages.HostInfo]:
    """Returns hosts for a caller, the best first.

    Args:
        hosts: All live hosts; draining ones are left out.
        caller: What tells callers apart, such as an address.
        domain: The caller's failure domain, or empty.
        most: How many to name.
    """
    ready = [host for host in hosts if not host.draining]
    ordered = sorted(
        ready, key=lambda h: (h.domain != domain, rank(caller, h.name))
    )
    chosen = ordered[:most]
    named = {host.domain for host in chosen}
    for host in ordered[most:]:
        if len(named) >= _DOMAINS_AT_LEAST:
            break
        if host.domain not in named:
            chosen[-1] = host
            named.add(host.domain)
    return chosen
