"""Callers beside hosts of two sizes: `python -m soak.uneven_hosts [SEEDS]`.

Runs in steps of virtual time, without sockets. 55 small and 16 large hosts in
four domains get demand whose waves move between the domains. Callers keep
their lists for one or three lookup periods and hold connections to addresses of
them. Hosts are killed and return, and a host's requests become larger.

Printed are, for lists by shares and for even ones, the time that hosts were
full (usage above 1, weighted by what was above it) and the share of traffic
between domains. Lists by shares must be better in the first.
"""

from __future__ import annotations

import dataclasses
import math
import random
import sys
from typing import NamedTuple

from endivestream import site_messages
from endivestream.process import site_settings
from endivestream.process.entry_host import share_factor
from endivestream.request import homes
from endivestream.request import host_shares

_SMALL = site_settings.HostResources(0.387, 160.0, 1638, 3.75)
_LARGE = site_settings.HostResources(1.29, 440.0, 10250, 12.5)
_DOMAINS = "abcd"
_HOSTS, _LARGE_HOSTS = 71, 16
_STEP_SECONDS = 0.5
_LIST_SECONDS = 2.0
_CONNECTIONS = 4
# Probability per step that a caller opens one of its connections anew.
_RECONNECT_PROBABILITY = 0.05
_WAVE_SECONDS, _WAVE = 13.0, 0.55
# Memory of the process without requests, and for each busy core.
_BASE_MEGABYTES, _MEGABYTES_PER_CORE = 70.0, 60.0
_RESTART_SECONDS = 5.0


class Result(NamedTuple):
    """What one run measured.

    Attributes:
        overload: Mean usage of hosts above 1, over all hosts and steps.
        foreign: Share of the traffic that left its domain.
        report_changes: Changed reports per second.
        worst_excess: Largest ratio of a host's mean usage to that of the site.
    """

    overload: float
    foreign: float
    report_changes: float
    worst_excess: float


@dataclasses.dataclass(kw_only=True)
class _Caller:
    address: str
    domain: str
    lifetime: float
    next_lookup: float
    addresses: list[str]
    connections: list[str]


class _Host:
    def __init__(
        self, *, name: str, domain: str, resources: site_settings.HostResources
    ) -> None:
        self.entry = site_messages.EntryHost(name, 1, domain, name, False)
        self.resources = resources
        self.down_until = 0.0
        self.request_size = 1.0
        self.used = 0.0
        self.restart()

    def restart(self) -> None:
        self.factor = share_factor.ShareFactor(step_seconds=3 * _LIST_SECONDS)
        self.publisher = share_factor.ReportPublisher(
            host=self.entry.name, resources=self.resources
        )

    def advance(self, load: float, now: float) -> tuple[float, bool]:
        """Returns the usage, and whether the report has changed."""
        busy_cores = load * self.request_size
        usage = share_factor.HostUsage(
            processor=min(1.0, busy_cores / self.resources.cores),
            memory=(_BASE_MEGABYTES + _MEGABYTES_PER_CORE * busy_cores)
            / self.resources.memory_mb,
            link=busy_cores / self.resources.link_mbps,
        )
        self.factor.update(usage, now)
        has_changed = self.publisher.update(
            self.factor.average, self.factor.value, now
        )
        return busy_cores / self.resources.cores, has_changed


class _Simulation:
    def __init__(
        self, *, seed: int, callers: int, has_shares: bool, demand: float
    ) -> None:
        self._random = random.Random(seed)
        self._has_shares = has_shares
        self._hosts = {
            f"e{n:02}": _Host(
                name=f"e{n:02}",
                domain=_DOMAINS[n % len(_DOMAINS)],
                resources=_LARGE if n < _LARGE_HOSTS else _SMALL,
            )
            for n in range(_HOSTS)
        }
        cores = sum(host.resources.cores for host in self._hosts.values())
        self._load_per_caller = demand * cores / callers
        self._callers = [
            _Caller(
                address=f"10.{n // 65536}.{n // 256 % 256}.{n % 256}",
                domain=_DOMAINS[n % len(_DOMAINS)],
                lifetime=_LIST_SECONDS * self._random.choice((1, 1, 3)),
                next_lookup=self._random.uniform(0, _LIST_SECONDS),
                addresses=[],
                connections=[],
            )
            for n in range(callers)
        ]
        self._listed: list[site_messages.EntryHost] = []
        self._shares: host_shares.ShareTable | None = None
        self._table_at = -math.inf

    def run(self, seconds: float) -> Result:
        overload = foreign = total = 0.0
        changes = steps = 0
        sums = dict.fromkeys(self._hosts, 0.0)
        for step in range(int(seconds / _STEP_SECONDS)):
            now = step * _STEP_SECONDS
            self._disturb(now)
            self._update_table(now)
            loads = dict.fromkeys(self._hosts, 0.0)
            for caller in self._callers:
                self._connect(caller, now)
                load = self._load(caller, now) / len(caller.connections)
                for name in caller.connections:
                    loads[name] += load
                    is_foreign = self._hosts[name].entry.domain != caller.domain
                    foreign += load * is_foreign
                    total += load
            for name, host in self._hosts.items():
                if now < host.down_until:
                    continue
                usage, has_changed = host.advance(loads[name], now)
                overload += max(0.0, usage - 1)
                changes += has_changed
                sums[name] += usage
            steps += 1
        mean = sum(sums.values()) / len(sums)
        return Result(
            overload=overload / steps / len(self._hosts),
            foreign=foreign / total,
            report_changes=changes / seconds,
            worst_excess=max(sums.values()) / mean,
        )

    def _load(self, caller: _Caller, now: float) -> float:
        phase = _DOMAINS.index(caller.domain) / len(_DOMAINS)
        wave = _WAVE * math.sin(2 * math.pi * (now / _WAVE_SECONDS + phase))
        return self._load_per_caller * (1 + wave)

    def _disturb(self, now: float) -> None:
        # About one host is killed in 10 s, and one gets larger requests in 30.
        if self._random.random() < _STEP_SECONDS / 10:
            host = self._random.choice(list(self._hosts.values()))
            host.down_until = now + _RESTART_SECONDS
            host.restart()
        if self._random.random() < _STEP_SECONDS / 30:
            host = self._random.choice(list(self._hosts.values()))
            host.request_size = self._random.uniform(1.0, 2.0)

    def _update_table(self, now: float) -> None:
        if now < self._table_at + 1.0:
            return
        self._table_at = now
        live = [h for h in self._hosts.values() if now >= h.down_until]
        self._listed = [host.entry for host in live]
        if self._has_shares:
            self._shares = host_shares.ShareTable(
                hosts=self._listed,
                reports={h.entry.name: h.publisher.report for h in live},
            )

    def _connect(self, caller: _Caller, now: float) -> None:
        if now >= caller.next_lookup or not caller.addresses:
            caller.next_lookup = now + caller.lifetime
            caller.addresses = homes.select_addresses(
                self._listed,
                domain=caller.domain,
                regions=None,
                region_by_domain=dict.fromkeys(_DOMAINS, ""),
                shares=self._shares,
                caller=caller.address,
            )
        connections = [
            name
            for name in caller.connections
            if name in caller.addresses
            and now >= self._hosts[name].down_until
            and self._random.random() > _RECONNECT_PROBABILITY
        ]
        usable = [
            name
            for name in caller.addresses
            if now >= self._hosts[name].down_until
        ]
        missing = _CONNECTIONS - len(connections)
        connections += self._random.choices(usable, k=missing)
        caller.connections = connections


def run(
    seed: int,
    *,
    has_shares: bool,
    callers: int = 800,
    seconds: float = 60.0,
    demand: float = 0.6,
) -> Result:
    """Returns the measurements of one seeded run."""
    simulation = _Simulation(
        seed=seed, callers=callers, has_shares=has_shares, demand=demand
    )
    return simulation.run(seconds)


def main() -> int:
    """Runs the seeds and returns the exit status."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    violations = 0
    for seed in range(seeds):
        even = run(seed, has_shares=False)
        shared = run(seed, has_shares=True)
        violations += shared.overload >= even.overload
        for name, result in (("even", even), ("shares", shared)):
            fields = (
                f"{field}={value:.3f}"
                for field, value in result._asdict().items()
            )
            print(f"seed={seed} {name}", *fields, flush=True)
    print(f"{seeds} seeds, {violations} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
