"""Addresses, and selection of the hosts that a caller or target uses. Pure."""

from __future__ import annotations

from collections.abc import Iterable
import functools
import hashlib
import ipaddress
from typing import NamedTuple
import zlib

from endivestream import messages

# Minimum number of failure domains in an answer, if there are as many: a caller
# whose domain fails completely must have another host to use until it requests
# new addresses.
_MIN_DOMAINS = 2

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


class Endpoint(NamedTuple):
    """An address that a socket can connect to.

    Attributes:
        ip: IPv4 or IPv6 address, without brackets.
        port: TCP port, from 1 to 65535.
    """

    ip: str
    port: int


# The targets of a site of the intended size, with as many replaced ones.
@functools.lru_cache(maxsize=2048)
def parse_endpoint(text: str) -> Endpoint | None:
    """Parses `IP:PORT`, with an IPv6 address in brackets.

    Returns:
        The endpoint; None if no socket can connect to it.
    """
    host, separator, port_text = text.rpartition(":")
    is_number = port_text.isascii() and port_text.isdigit()
    if not separator or not is_number or len(port_text) > _MAX_PORT_DIGITS:
        return None
    port = int(port_text)
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return None
    # A scoped address names an interface of the host that reports it.
    if isinstance(ip, ipaddress.IPv6Address) != is_bracketed or (
        is_bracketed and "%" in host
    ):
        return None
    if ip.is_unspecified or ip.is_multicast or not 1 <= port <= _MAX_PORT:
        return None
    return Endpoint(str(ip), port)


def rank(caller: str, host: str) -> bytes:
    """Returns a caller's preference for a host (rendezvous hashing).

    Each caller has its own order of all hosts. So the failure of a host moves
    only the callers that used it, and distributes them evenly.
    """
    return hashlib.blake2b(f"{caller}\0{host}".encode(), digest_size=8).digest()


def digest(hosts: Iterable[str]) -> int:
    """Returns a checksum of a list of addresses; order matters."""
    return zlib.crc32("\n".join(hosts).encode())


def rank_home_gateways(
    hosts: Iterable[messages.HostInfo], *, target: str
) -> list[messages.HostInfo]:
    """Returns hosts in the order in which a target should report to them.

    Each target has its own order. So the home gateways are spread over all
    hosts, and the failure of a host moves only the targets that reported to it.
    """
    available = [host for host in hosts if not host.draining]
    return sorted(available, key=lambda host: rank(target, host.name))


def choose(
    hosts: Iterable[messages.HostInfo],
    *,
    caller: str,
    domain: str,
    most: int = 4,
) -> list[messages.HostInfo]:
    """Returns hosts for a caller, the best first.

    Args:
        hosts: All live hosts; draining ones are excluded.
        caller: Identifies the caller, such as its address.
        domain: Failure domain of the caller, or empty.
        most: Maximum number of hosts to return.
    """
    available = [host for host in hosts if not host.draining]
    ordered = sorted(
        available, key=lambda h: (h.domain != domain, rank(caller, h.name))
    )
    chosen = ordered[:most]
    chosen_domains = {host.domain for host in chosen}
    for host in ordered[most:]:
        if len(chosen_domains) >= _MIN_DOMAINS:
            break
        if host.domain not in chosen_domains:
            chosen[-1] = host
            chosen_domains.add(host.domain)
    return chosen
