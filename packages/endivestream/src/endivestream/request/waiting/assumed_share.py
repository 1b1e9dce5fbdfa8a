"""Slots of an engine that a host may use without its queue. Does no I/O.

Load pattern: all hosts lose the owner of a queue at the same time, with many
requests waiting. If each host sent what its view has room for, the engine would
get several times as many requests as it has slots.
"""

from __future__ import annotations

from collections.abc import Collection
import functools

from endivestream.connection import addresses

# Age of sent requests from which on published loads contain them.
LOAD_LAG_SECONDS = 1.0
# Time after which other hosts have their turn.
_PERIOD_SECONDS = 2.0
# Time at the start of a period in which only the hosts that always have a share
# send: then the published loads contain what others sent in the last period.
_QUIET_SECONDS = 1.0


def may_assume(
    *,
    target: str,
    host: str,
    hosts: Collection[str],
    slots: int,
    wall_seconds: float,
    running: int,
    load: int | None,
    silent_seconds: float,
) -> bool:
    """Returns whether a host may send a request without the queue's answer.

    Args:
        target: Id of the engine.
        host: Name of the host.
        hosts: Names of all entry hosts, this one included.
        slots: Number of slots of the engine.
        wall_seconds: Seconds since 1970.
        running: Requests of this host that run on the engine or are about to.
        load: Published requests of all hosts on it; None without any.
        silent_seconds: Time for which no owner of the queue has answered.
    """
    if load is not None and (
        load >= slots or silent_seconds < LOAD_LAG_SECONDS
    ):
        # The owner may have granted what the loads do not contain yet.
        return False
    if running < slots // max(1, len(hosts)):
        return True
    if len(hosts) > 1 and wall_seconds % _PERIOD_SECONDS < _QUIET_SECONDS:
        return False
    return running < share(
        target=target,
        host=host,
        hosts=hosts,
        slots=slots,
        wall_seconds=wall_seconds,
    )


def share(
    *,
    target: str,
    host: str,
    hosts: Collection[str],
    slots: int,
    wall_seconds: float,
) -> int:
    """Returns how many requests a host may run on an engine at a time.

    The shares of all hosts add up to the slots at most. With fewer slots than
    hosts, each period has other hosts, which all hosts compute alike.

    Args:
        target: Id of the engine.
        host: Name of the host.
        hosts: Names of all entry hosts, this one included.
        slots: Number of slots of the engine.
        wall_seconds: Seconds since 1970.
    """
    period = int(wall_seconds // _PERIOD_SECONDS)
    return _share_in_period(target, host, tuple(hosts), slots, period)


# Each waiting request asks for its share several times in a period, and the
# rank of each host is a hash.
@functools.lru_cache(maxsize=256)
def _share_in_period(
    target: str, host: str, hosts: tuple[str, ...], slots: int, period: int
) -> int:
    count = len(hosts)
    if count <= 1:
        return slots
    equal, rest = divmod(slots, count)
    key = f"{target}\0{period}"
    own = addresses.rank(key, host)
    before = sum(addresses.rank(key, other) < own for other in hosts)
    return equal + (before < rest)
