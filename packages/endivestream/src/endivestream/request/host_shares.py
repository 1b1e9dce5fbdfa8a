"""Shares of callers that entry hosts get.

Pure. Load pattern: entry hosts differ by a factor of three and more in cores,
memory, descriptors and bandwidth. If callers spread evenly, the small hosts are
full while the large ones are idle.

Callers pick one address of their list at random for each new connection, and
close connections to hosts that are missing from a newer list. So the share of a
host is set by how many callers have it in their lists. Each caller's list is a
sample of the hosts, drawn by a hash of the caller and the host, so that it
stays the same as long as the weights do.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from endivestream import site_messages
from endivestream.connection import addresses

# Hosts whose resources differ by no more than this factor count as alike.
_ALIKE_RATIO = 1.1
# Minimum number of addresses in a caller's list: others remain when some of
# the hosts fail before the next lookup.
_MIN_SAMPLE = 4
# Maximum share of the hosts in a caller's list. If it were all of them, callers
# could not be given different lists.
_MAX_SAMPLE_SHARE = 2 / 3
# A resource that the site uses less than this share of does not limit a host.
_MIN_USAGE_LEVEL = 0.1
# Usage is compared in steps of a tenth, so that small changes move no callers.
_LEVEL_STEP = 1.1
# A domain whose hosts take less than this part of their share is short of
# capacity. Hosts at two thirds of it have reduced their share several times.
_SHORT_FACTOR = 0.6
# If less than this part of a domain is not near a limit, the others would fill
# up in turn when they got all of its callers.
_MIN_READY_PART = 0.5
# Hosts of other domains are used for that only if they take nearly all of
# their own share.
_HELPING_FACTOR = 0.9
# Effective number of caller addresses from which callers get lists of their
# own. With fewer of them, the random part of a host's share (a third at 12) is
# as large as what uneven hosts lose with one list for all. The second value
# is a hysteresis.
_MIN_CALLERS = 12.0
_MIN_CALLERS_KEPT = 6.0
# Latest lookups whose addresses are counted.
_LOOKUPS_COUNTED = 256


class _Weighted(NamedTuple):
    """A host that callers may use.

    Attributes:
        host: The host.
        weight: What it has, relative to the average host.
        factor: The part of that which it takes; 0 near a limit.
    """

    host: site_messages.EntryHost
    weight: float
    factor: float

    @property
    def share(self) -> float:
        """Relative share of callers."""
        return self.weight * self.factor


class ShareTable:
    """Weights of the entry hosts of a site, from one state of their reports.

    It depends on nothing else, so that all hosts with the same table give a
    caller the same list.
    """

    def __init__(
        self,
        *,
        hosts: Sequence[site_messages.EntryHost] = (),
        reports: Mapping[str, site_messages.HostReport] | None = None,
    ) -> None:
        """Computes the weights.

        Args:
            hosts: All entry hosts of the site.
            reports: What hosts have reported, by their names.
        """
        reports = reports or {}
        self._reports = {
            host.name: reports[host.name]
            for host in hosts
            if host.name in reports
        }
        self._weights = _weights(list(self._reports.values()))

    def __repr__(self) -> str:
        return f"<ShareTable of {len(self._reports)} reports>"

    def weight(self, host: str) -> float:
        """Returns what a host has, relative to the average; 1 if unknown."""
        return self._weights.get(host, 1.0)

    def factor(self, host: str) -> float:
        """Returns the part of its share that a host takes, from 0 to 1."""
        report = self._reports.get(host)
        return report.share_factor if report is not None else 1.0

    def choose(
        self,
        own: Sequence[site_messages.EntryHost],
        others: Sequence[site_messages.EntryHost],
        *,
        caller: str,
    ) -> list[site_messages.EntryHost]:
        """Returns the hosts in the list of one caller.

        Args:
            own: Available hosts of the caller's failure domain.
            others: Available hosts of other domains.
            caller: Identifies the caller; empty if callers cannot be
                distinguished, who then all get the same list.
        """
        weighted = self._weighted(own)
        ready = [each for each in weighted if each.factor > 0]
        # Two at least, or a failure leaves a caller without any host.
        is_enough = len(ready) > 1 and (
            sum(each.weight for each in ready)
            >= _MIN_READY_PART * sum(each.weight for each in weighted)
        )
        if self._are_alike(own):
            return [e.host for e in ready] if is_enough else list(own)
        missing = self._missing_share(weighted)
        helpers = self._helpers(others) if missing > 0 else []
        if not (is_enough or helpers):
            ready = [each._replace(factor=1.0) for each in weighted]
        if len(ready) < 2:
            return [each.host for each in (*ready, *helpers)]
        if caller:
            chosen = _sample(ready, _sample_size(ready), caller)
        else:
            chosen = _common_list(ready)
        if helpers:
            # Random rounding: a fixed one would send too many callers away
            # when little is missing.
            count = missing / (1 - missing) * len(chosen)
            count = math.floor(count + _uniform(caller, "helpers"))
            chosen += _sample(helpers, min(len(helpers), count), caller)
        return [each.host for each in chosen]

    def _helpers(
        self, others: Sequence[site_messages.EntryHost]
    ) -> list[_Weighted]:
        """Returns the hosts of other domains that have room for more."""
        weighted = self._weighted(others)
        return [each for each in weighted if each.factor >= _HELPING_FACTOR]

    def _weighted(
        self, hosts: Sequence[site_messages.EntryHost]
    ) -> list[_Weighted]:
        return [
            _Weighted(h, self.weight(h.name), self.factor(h.name))
            for h in hosts
        ]

    def _are_alike(self, hosts: Sequence[site_messages.EntryHost]) -> bool:
        reports = [
            self._reports[h.name] for h in hosts if h.name in self._reports
        ]
        for amounts in zip(*map(_resources, reports), strict=True):
            stated = [amount for amount in amounts if amount > 0]
            if stated and max(stated) > _ALIKE_RATIO * min(stated):
                return False
        return True

    def _missing_share(self, weighted: Sequence[_Weighted]) -> float:
        """Returns the share of a domain's callers that others should get."""
        total = sum(each.weight for each in weighted)
        taken = sum(each.share for each in weighted) / total
        return max(0.0, 1 - taken / _SHORT_FACTOR)


class CallerAddresses:
    """Whether the addresses of callers distinguish them.

    Behind a proxy or address translation, many callers have one address. Lists
    by address would then send all of them to the same few hosts.
    """

    def __init__(self) -> None:
        self._latest: collections.deque[str] = collections.deque()
        self._counts: collections.Counter[str] = collections.Counter()
        self._are_distinct = False

    @property
    def are_distinct(self) -> bool:
        """Whether each caller can get a list of its own."""
        return self._are_distinct

    def record(self, address: str) -> bool:
        """Records a lookup; returns whether `are_distinct` has changed."""
        self._latest.append(address)
        self._counts[address] += 1
        if len(self._latest) > _LOOKUPS_COUNTED:
            oldest = self._latest.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]
        # Effective number: n callers with as many lookups each count as n.
        effective = len(self._latest) ** 2 / sum(
            count * count for count in self._counts.values()
        )
        were_distinct = self._are_distinct
        wanted = _MIN_CALLERS_KEPT if were_distinct else _MIN_CALLERS
        self._are_distinct = effective >= wanted
        return self._are_distinct != were_distinct


def _resources(report: site_messages.HostReport) -> tuple[float, ...]:
    return (
        report.cores,
        report.memory_mb,
        float(report.descriptors),
        report.link_mbps,
    )


def _usage(report: site_messages.HostReport) -> tuple[float, ...]:
    """Returns the used shares in the order of `_resources`.

    Memory counts as unused: most of it is taken by the process itself, whatever
    its share of callers. Hosts that need more of it reduce their factor.
    """
    return (report.processor, 0.0, report.open_descriptors, report.link)


def _weights(
    reports: Sequence[site_messages.HostReport],
) -> dict[str, float]:
    """Returns weights with which hosts are about equally full.

    Each resource counts as much as the whole site uses of it. That does not
    depend on how callers are spread, so the weights have no feedback.
    """
    scores = dict.fromkeys((report.host for report in reports), math.inf)
    usages = [_usage(report) for report in reports]
    columns = zip(*map(_resources, reports), strict=True)
    for index, amounts in enumerate(columns):
        stated = [amount for amount in amounts if amount > 0]
        if not stated:
            continue
        mean = sum(stated) / len(stated)
        used = sum(
            amount * usage[index]
            for amount, usage in zip(amounts, usages, strict=True)
        )
        level = _rounded(max(_MIN_USAGE_LEVEL, used / sum(stated)))
        for report, amount in zip(reports, amounts, strict=True):
            score = (amount or mean) / mean / level
            scores[report.host] = min(scores[report.host], score)
    finite = [score for score in scores.values() if math.isfinite(score)]
    if not finite:
        return {}
    mean = sum(finite) / len(finite)
    return {host: score / mean for host, score in scores.items()}


def _rounded(level: float) -> float:
    """Returns a usage, rounded to a power of the step."""
    return _LEVEL_STEP ** round(math.log(level, _LEVEL_STEP))


def _sample_size(weighted: Sequence[_Weighted]) -> int:
    """Returns how many hosts a caller's list has.

    A host gets at most one place in a list of n, and so 1/n of its callers'
    connections. The list is as short as the largest host requires.
    """
    total = sum(each.share for each in weighted)
    largest = max(each.share for each in weighted)
    size = min(
        math.floor(total / largest),
        math.ceil(_MAX_SAMPLE_SHARE * len(weighted)),
    )
    return min(len(weighted), max(_MIN_SAMPLE, size))


def _sample(
    weighted: Sequence[_Weighted], size: int, caller: str
) -> list[_Weighted]:
    """Returns a sample in which each host is included by its share.

    Pareto order sampling: the hash of caller and host is compared with the
    host's inclusion probability, and the hosts with the least odds are taken.
    Inclusion probabilities are nearly exact, and a change of one host changes
    few lists.
    """
    if size >= len(weighted):
        return list(weighted)
    if not size:
        return []
    probabilities = _inclusion_probabilities(weighted, size)

    def odds(index: int) -> float:
        probability = probabilities[index]
        if probability >= 1:
            return 0.0
        uniform = _uniform(caller, weighted[index].host.name)
        return uniform * (1 - probability) / ((1 - uniform) * probability)

    chosen = sorted(range(len(weighted)), key=odds)[:size]
    return [weighted[index] for index in sorted(chosen)]


def _uniform(caller: str, name: str) -> float:
    """Returns a number between 0 and 1 that depends on the names alone."""
    rank = addresses.rank(caller, name)
    return (int.from_bytes(rank) + 0.5) / 256 ** len(rank)


def _inclusion_probabilities(
    weighted: Sequence[_Weighted], size: int
) -> list[float]:
    """Returns probabilities in proportion to shares, at most 1, of sum `size`.

    `size` is less than the number of hosts.
    """
    certain: set[int] = set()
    while True:
        rest = [i for i in range(len(weighted)) if i not in certain]
        total = sum(weighted[i].share for i in rest)
        scale = (size - len(certain)) / total
        full = {i for i in rest if weighted[i].share * scale >= 1}
        if not full:
            return [
                1.0 if i in certain else each.share * scale
                for i, each in enumerate(weighted)
            ]
        certain |= full


def _common_list(weighted: Sequence[_Weighted]) -> list[_Weighted]:
    """Returns the best list if all callers get the same one.

    All hosts of the list get the same share, so the smallest of them limits
    the list. Factors don't count: a host that left the list because it reduced
    its share would lose all callers and return at once.
    """
    by_weight = sorted((each.weight for each in weighted), reverse=True)
    least = min(len(by_weight), _MIN_SAMPLE)
    counts = range(least, len(by_weight) + 1)
    best = max(counts, key=lambda count: count * by_weight[count - 1])
    smallest = by_weight[best - 1]
    return [each for each in weighted if each.weight >= smallest]
