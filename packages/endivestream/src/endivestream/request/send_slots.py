"""When requests may go to targets that name a limit. Pure, with time given.

All hosts together must keep a target's limit, which may be less than one
request a second and host. The leader therefore grants sends one by one, each
for its own moment, and tells the others when to ask again. Where a limit is
large beside the number of hosts, each host keeps a part of it by itself, so
that limits which bind nobody cost no message.

Times are seconds.
"""

from __future__ import annotations

import dataclasses

# How far ahead the leader grants sends. A new leader grants none for as long:
# those of the leader before are still being used.
AHEAD_SECONDS = 1.0
# Sends that may come at once after a pause.
_BURST = 2.0
# A target that takes nothing gets a request so often all the same: its answers
# alone say when the limit ends.
_LEAST_RATE = 0.125
# The part of a limit that hosts keep by themselves, where it is at least so
# many times the number of hosts.
_HOST_SHARE = 0.5
_HOST_LIMITS = 2.0
# Hosts and leader may count the hosts differently for a while. The leader
# leaves hosts their part already from this part of the limit on at which they
# take it.
_COUNT_MARGIN = 0.75
# Longest time until a host asks again.
_LONGEST_WAIT_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """The request may be sent after `wait` seconds."""

    wait: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Denied:
    """Nothing may be sent; ask again after `seconds`."""

    seconds: float


def host_rate(rate: float, hosts: int) -> float:
    """Returns the sends a second that each host may make without asking.

    Each may send its first at any moment, so there is none for small limits.

    Args:
        rate: The target's limit.
        hosts: How many entry hosts there are; 0 if that is not known.
    """
    if hosts < 1 or rate < _HOST_LIMITS * hosts:
        return 0.0
    return _HOST_SHARE * rate / hosts


def _leader_rate(rate: float, hosts: int) -> float:
    """Returns the sends a second that the leader grants."""
    may_keep = rate >= _COUNT_MARGIN * _HOST_LIMITS * hosts
    kept = _HOST_SHARE if may_keep else 0.0
    return max(_LEAST_RATE, rate * (1 - kept))


class HostShare:
    """Sends of one host to one target, within its own part of the limit."""

    def __init__(self) -> None:
        self._next = float("-inf")

    def spend(self, rate: float, hosts: int, now: float) -> bool:
        """Takes one send; False if it has to be asked for."""
        own = host_rate(rate, hosts)
        if own <= 0 or now < self._next:
            return False
        self._next = now + 1 / own
        return True


@dataclasses.dataclass(kw_only=True)
class _Line:
    """Sends to one start of a target.

    Attributes:
        born: The start.
        rate: Sends a second that were granted last.
        next: When the next send may be made.
        told: From when the next host that is refused may ask again.
    """

    born: int
    rate: float
    next: float
    told: float = float("-inf")


class SendSlots:
    """Sends to targets with a limit, during one term of leadership."""

    def __init__(self, *, now: float) -> None:
        self._begun = now
        self._lines: dict[str, _Line] = {}

    def __repr__(self) -> str:
        return f"<SendSlots of {len(self._lines)} targets>"

    def take(
        self,
        target: str,
        born: int,
        rate: float,
        *,
        hosts: int,
        patience: float,
        now: float,
    ) -> Granted | Denied:
        """Grants a send, or says when to ask again.

        Args:
            target: The target.
            born: Its start.
            rate: Its limit.
            hosts: How many entry hosts there are.
            patience: Seconds for which the request can wait.
            now: The time.
        """
        line = self._line(target, born, _leader_rate(rate, hosts), now)
        wait = max(0.0, line.next - now)
        if wait <= min(patience, AHEAD_SECONDS):
            line.next = max(line.next, self._earliest(line, now))
            line.next += 1 / line.rate
            return Granted(wait=wait)
        # Hosts that are refused together are told different times, or they
        # would all ask again at once.
        again = min(max(line.told, line.next), now + _LONGEST_WAIT_SECONDS)
        line.told = again + 1 / line.rate
        return Denied(seconds=again - now)

    def spent(self, target: str, born: int, rate: float, now: float) -> None:
        """Counts a send that was made without asking."""
        line = self._line(target, born, max(_LEAST_RATE, rate), now)
        line.next = max(line.next, self._earliest(line, now)) + 1 / line.rate

    def forget(self, targets: dict[str, float]) -> None:
        """Forgets all targets but those that have a limit."""
        for name in self._lines.keys() - targets.keys():
            del self._lines[name]

    def _earliest(self, line: _Line, now: float) -> float:
        """Returns from when unused sends still count."""
        return max(self._begun + AHEAD_SECONDS, now - (_BURST - 1) / line.rate)

    def _line(self, target: str, born: int, rate: float, now: float) -> _Line:
        line = self._lines.get(target)
        if line is None or line.born != born:
            first = max(now, self._begun + AHEAD_SECONDS)
            line = _Line(born=born, rate=rate, next=first)
            self._lines[target] = line
        if rate > line.rate:
            # What was spent at a lower limit does not hold up the higher one.
            line.next = min(line.next, now + AHEAD_SECONDS)
            line.told = min(line.told, now)
        line.rate = rate
        return line
