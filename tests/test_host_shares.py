"""Tests of the shares of callers that uneven entry hosts get."""

import asyncio
import collections
import math
import time
import unittest

from endivestream import clock
from endivestream import site_messages
from endivestream import table_position
from endivestream.process import site_settings
from endivestream.process import table_updates
from endivestream.process.entry_host import host_load
from endivestream.process.entry_host import host_reports
from endivestream.process.entry_host import host_usage
from endivestream.process.entry_host import share_factor
from endivestream.request import homes
from endivestream.request import host_shares
import hypothesis
from hypothesis import strategies as st
import msgspec
from soak import uneven_hosts

from tests import entry_site
from tests import leader_site
from tests import test_document

SMALL = site_settings.HostResources(0.387, 160.0, 1638, 3.75)
LARGE = site_settings.HostResources(1.29, 440.0, 10250, 12.5)
REGIONS = dict.fromkeys("abcd", "")
CALLERS = [f"10.0.{n // 250}.{n % 250}" for n in range(3000)]
LIST_SECONDS = 6.0
# Bound of a host's callers over its share, with 750 callers in its domain. A
# host of 18 is in 200 to 400 of their lists.
EXCESS = 1.25


def host(name, domain):
    return site_messages.EntryHost(name, 1, domain, name, False)


def report(name, resources, **fields):
    return site_messages.HostReport(name, *resources, **fields)


class Site:
    """55 small and 16 large hosts in four domains."""

    def __init__(self):
        self.hosts = [host(f"e{n:02}", "abcd"[n % 4]) for n in range(71)]
        self.resources = {
            each.name: LARGE if n < 16 else SMALL
            for n, each in enumerate(self.hosts)
        }
        self.reports = {
            name: report(name, resources, processor=0.5)
            for name, resources in self.resources.items()
        }

    def change(self, name, **fields):
        self.reports[name] = msgspec.structs.replace(
            self.reports[name], **fields
        )

    def lists(self, domain, *, hosts=None, callers=CALLERS):
        hosts = hosts or self.hosts
        shares = host_shares.ShareTable(hosts=hosts, reports=self.reports)
        return [
            homes.select_addresses(
                hosts,
                domain=domain,
                regions=None,
                region_by_domain=REGIONS,
                shares=shares,
                caller=caller,
            )
            for caller in callers
        ]

    def named(self, domain):
        return [each.name for each in self.hosts if each.domain == domain]


def portions(lists):
    """Returns the share of connections that each host gets."""
    counts = collections.Counter()
    for addresses in lists:
        for address in addresses:
            counts[address] += 1 / len(addresses) / len(lists)
    return counts


class SharesTest(unittest.TestCase):
    def setUp(self):
        self.site = Site()

    def test_callers_spread_in_proportion_to_what_hosts_have(self):
        """Guards against small hosts that are full beside idle large ones."""
        for domain in "abcd":
            lists = self.site.lists(domain, callers=CALLERS[:750])
            names = self.site.named(domain)
            total = sum(self.site.resources[name].cores for name in names)
            for name, portion in portions(lists).items():
                fair = self.site.resources[name].cores / total
                self.assertLess(portion, EXCESS * fair, name)
                self.assertGreater(portion, fair / EXCESS, name)
            self.assertGreaterEqual(min(map(len, lists)), 4)
            self.assertLessEqual({a for each in lists for a in each}, {*names})

    def test_alike_hosts_get_the_lists_of_hosts_without_reports(self):
        """Guards against other lists for deployments of identical hosts."""
        names = self.site.named("a")
        for name in self.site.reports:
            self.site.reports[name] = report(
                name, SMALL, processor=0.9, share_factor=0.5
            )
        self.assertEqual(names, self.site.lists("a", callers=["x"])[0])
        self.site.change(names[0], share_factor=0.0)
        self.assertEqual(names[1:], self.site.lists("a", callers=["x"])[0])
        for name in names[: len(names) // 2 + 1]:
            self.site.change(name, share_factor=0.0)
        self.assertEqual(names, self.site.lists("a", callers=["x"])[0])
        self.site.reports.clear()
        self.assertEqual(names, self.site.lists("a", callers=["x"])[0])

    def test_few_callers_move_when_a_host_joins_or_changes(self):
        """Guards against connections closed all over a domain by one host."""
        before = self.site.lists("a")

        def lost(after):
            gone = sum(
                len({*b} - {*a}) for b, a in zip(before, after, strict=True)
            )
            return gone / sum(map(len, before))

        new = host("e99", "a")
        self.site.reports["e99"] = report("e99", SMALL, processor=0.5)
        joined = self.site.lists("a", hosts=[*self.site.hosts, new])
        self.assertLess(lost(joined), 0.1)
        self.site.change("e20", share_factor=0.9)
        self.assertLess(lost(self.site.lists("a")), 0.05)

    def test_callers_with_one_address_get_all_hosts_that_can_serve(self):
        """Guards against all callers behind a proxy at a few hosts."""
        addresses = host_shares.CallerAddresses()
        for _ in range(2000):
            addresses.record("10.0.0.1")
        for caller in CALLERS[:8]:
            addresses.record(caller)
        self.assertFalse(addresses.are_distinct)
        for caller in CALLERS * 2:
            addresses.record(caller)
        self.assertTrue(addresses.are_distinct)
        names = self.site.named("a")
        self.site.change("e20", share_factor=0.0)
        names.remove("e20")
        self.assertEqual(names, self.site.lists("a", callers=[""])[0])

    def test_other_domains_are_used_only_when_the_own_one_is_short(self):
        """Guards against traffic between domains, and a domain left alone."""
        own = {*self.site.named("a")}
        steps = ((0.7, False), (0.58, True), (0.4, True), (0.0, True))
        for factor, is_short in steps:
            for name in own:
                self.site.change(name, share_factor=factor)
            used = portions(self.site.lists("a"))
            foreign = sum(n for name, n in used.items() if name not in own)
            self.assertEqual(is_short, foreign > 0, factor)
            self.assertAlmostEqual(
                max(0.0, 1 - factor / 0.6), foreign, delta=0.03
            )

    def test_one_large_host_is_never_alone_in_a_list(self):
        """Guards against callers without any host when that one fails."""
        hosts = [host("e00", "a"), host("e16", "a")]
        self.site.change("e16", share_factor=0.0)
        (addresses,) = self.site.lists("a", hosts=hosts, callers=["x"])
        self.assertEqual(["e00", "e16"], sorted(addresses))

    def test_hosts_of_a_lost_domain_are_replaced_by_all_others(self):
        others = [each for each in self.site.hosts if each.domain != "a"]
        lists = self.site.lists("a", hosts=others, callers=["x"])
        self.assertEqual([each.name for each in others], lists[0])

    def test_hosts_without_report_or_resources_count_as_average(self):
        """Guards against no callers, or all, at hosts of an earlier build."""
        del self.site.reports["e20"]
        self.site.reports["e24"] = site_messages.HostReport("e24")
        self.site.reports["e28"] = report("e28", SMALL)
        used = portions(self.site.lists("a"))
        for name in ("e20", "e24"):
            self.assertGreater(used[name], used["e32"])
            self.assertLess(used[name], used["e00"])
        self.assertLess(used["e28"] / used["e32"], EXCESS)


class Controlled:
    """Hosts that adapt their factors to the load that callers bring.

    Lists follow 6 s late. Usage is what a host gets of its domain's demand,
    beside what it uses without any callers.
    """

    def __init__(self, hosts, *, base=0.0, mean_usage=0.5, strength=None):
        self.count = hosts
        self.base = base
        self.mean_usage = mean_usage
        self.strength = strength or [1.0] * hosts
        self.factors = [
            share_factor.ShareFactor(step_seconds=LIST_SECONDS)
            for _ in range(hosts)
        ]
        self.history = [[1.0] * hosts]
        self.peaks = [0.0] * hosts

    def run(self, seconds, *, demand=lambda now: 1.0):
        for now in range(seconds):
            values = self.history[max(0, len(self.history) - 1 - 6)]
            total = sum(values) or 1.0
            for n, factor in enumerate(self.factors):
                portion = values[n] * self.count / total
                usage = self.mean_usage * demand(now) * portion
                usage = self.base + usage / self.strength[n]
                self.peaks[n] = max(self.peaks[n], usage)
                factor.update(share_factor.HostUsage(processor=usage), now)
            self.history.append([f.value for f in self.factors])


class FactorTest(unittest.TestCase):
    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(
        strengths=st.lists(st.floats(0.4, 1.5), min_size=4, max_size=18),
        mean_usage=st.floats(0.2, 0.7),
        base=st.floats(0.0, 0.3),
    )
    def test_shares_converge_while_lists_follow_late(
        self, strengths, mean_usage, base
    ):
        """Guards against hosts that are full and empty in turn."""
        hosts = Controlled(
            len(strengths),
            base=base,
            mean_usage=mean_usage,
            strength=strengths,
        )
        hosts.run(600)
        for n in range(len(strengths)):
            last = [values[n] for values in hosts.history[-120:]]
            self.assertLess(max(last) - min(last), 0.15)
            turns = sum(
                (b - a) * (c - b) < 0
                for a, b, c in zip(
                    last[::6], last[6::6], last[12::6], strict=False
                )
            )
            self.assertLessEqual(turns, 2)

    def test_waves_between_domains_are_not_followed(self):
        """Guards against shares that chase demand which is gone by then."""
        hosts = Controlled(18, mean_usage=0.5)
        hosts.run(
            130,
            demand=lambda now: 1 + 0.55 * math.sin(2 * math.pi * now / 13),
        )
        self.assertGreater(min(map(min, hosts.history)), 0.9)

    def test_a_weak_host_loses_callers_to_others(self):
        hosts = Controlled(6, mean_usage=0.6, strength=[0.5] + [1.0] * 5)
        hosts.run(300)
        self.assertLess(hosts.history[-1][0], 0.8)
        self.assertEqual([1.0] * 5, hosts.history[-1][1:])


class LoadTest(unittest.TestCase):
    def test_uneven_hosts_are_seldom_full_under_moving_demand(self):
        """Guards against full small hosts while waves cross the domains."""
        even = uneven_hosts.run(1, has_shares=False, seconds=40.0)
        shared = uneven_hosts.run(1, has_shares=True, seconds=40.0)
        self.assertGreater(even.overload, 0.05)
        self.assertLess(shared.overload, even.overload / 3)
        self.assertEqual(0.0, shared.foreign)


class NearLimitTest(unittest.TestCase):
    def setUp(self):
        settings = leader_site.SETTINGS._replace(name="e0", resources=SMALL)
        self.load = host_load.HostLoad(
            settings=settings, running=lambda: 0, passed_bytes=lambda: 0
        )
        self.now = 0.0

    def _use(self, memory, seconds=0.5):
        for _ in range(int(seconds / 0.5)):
            self.now += 0.5
            usage = share_factor.HostUsage(memory=memory)
            self.load.record(usage, self.now)

    def test_a_host_is_left_by_callers_before_it_refuses_them(self):
        """Guards against hosts killed for their memory."""
        self._use(0.84)
        self.assertEqual((1.0, False), self._state())
        self._use(0.86)
        self.assertEqual((0.0, False), self._state())
        self.assertEqual(0.0, self.load.report.share_factor)
        self._use(0.91)
        self._use(0.87)
        self.assertEqual((0.0, True), self._state())
        self._use(0.8)
        self.assertEqual((0.0, False), self._state())
        self._use(0.7)
        self.assertEqual((0.25, False), self._state())

    def test_memory_that_is_not_returned_does_not_exclude_a_host(self):
        """Guards against hosts without callers until their restart."""
        self._use(0.88, seconds=120)
        self.assertGreater(self.load.share_factor, 0)
        self._use(0.91)
        self.assertEqual((0.0, True), self._state())
        self._use(0.70)
        self._use(0.84, seconds=300)
        self.assertEqual((1.0, False), self._state())

    def test_a_refusing_host_accepts_callers_again_without_growth(self):
        """Guards against 503 until a restart after a crowd that has left."""
        self._use(0.95, seconds=2)
        self.assertEqual((0.0, True), self._state())
        self._use(0.95, seconds=120)
        self.assertFalse(self._state()[1])
        self.assertGreater(self.load.share_factor, 0)
        self._use(0.98, seconds=2)
        self.assertEqual((0.0, True), self._state())

    def test_a_host_without_descriptors_goes_on_refusing(self):
        """Guards against connections that no descriptor is left for."""
        for _ in range(240):
            self.now += 0.5
            usage = share_factor.HostUsage(descriptors=0.92)
            self.load.record(usage, self.now)
        self.assertEqual((0.0, True), self._state())

    def test_reports_change_seldom(self):
        """Guards against pushes to all hosts with each measurement."""
        reports = set()
        for n in range(240):
            self._use(0.5 + 0.07 * math.sin(n))
            reports.add(self.load.report)
        self.assertLessEqual(len(reports), 2)
        before, changes = self.now, 0
        for n in range(240):
            previous = self.load.report
            self._use(0.3 + 0.4 * (n % 2))
            changes += self.load.report is not previous
        self.assertLessEqual(changes, 1 + (self.now - before) / 4)

    def _state(self):
        return self.load.share_factor, self.load.is_refusing


class ReportsTest(unittest.TestCase):
    def setUp(self):
        self.reports = host_reports.HostReports()
        self.hosts = (host("e0", "a"), host("e1", "a"))

    def _apply(self, now, *, base=None, term=1, reports=(), entries=None):
        news = site_messages.News(
            position=table_position.Position(term, 2),
            base_position=base,
            entries=entries,
            host_reports=reports,
        )
        self.reports.apply(news, now)

    def test_a_leader_without_reports_leaves_the_last_known_for_a_time(self):
        """Guards against even lists for a time after each election."""
        full = report("e0", SMALL, share_factor=0.0)
        self._apply(0.0, entries=self.hosts, reports=(full,))
        self._apply(5.0, term=2, entries=self.hosts)
        self.assertEqual(0.0, self.reports.shares(15.0).factor("e0"))
        self.assertEqual(1.0, self.reports.shares(25.0).factor("e0"))

    def test_reports_of_removed_hosts_are_forgotten(self):
        full = report("e0", SMALL, share_factor=0.0)
        self._apply(0.0, entries=self.hosts, reports=(full,))
        base = table_position.Position(1, 2)
        self._apply(1.0, base=base, entries=self.hosts[1:])
        self._apply(2.0, base=base, entries=self.hosts)
        self.assertEqual(1.0, self.reports.shares(2.0).factor("e0"))

    def test_the_leader_sends_only_changed_reports(self):
        """Guards against a whole list of reports with each update."""
        updates = asyncio.run(self._updates())
        before = updates.position
        first = {name: report(name, SMALL) for name in ("e0", "e1")}
        updates.record_host_reports(first)
        self.assertEqual(2, len(updates.update_since(before).host_reports))
        before = updates.position
        updates.record_host_reports(first)
        self.assertIsNone(updates.update_since(before))
        changed = report("e1", SMALL, share_factor=0.5)
        updates.record_host_reports(first | {"e1": changed})
        self.assertEqual((changed,), updates.update_since(before).host_reports)
        full = updates.update_since(table_position.Position())
        self.assertEqual((first["e0"], changed), full.host_reports)

    async def _updates(self):
        return table_updates.TableUpdates(
            term=1,
            push=None,
            peers=list,
            direct_peers=list,
            table_entry=lambda name: None,
            full_table=lambda: table_updates.TableSnapshot((), (), True),
            rate_limits=lambda names: (),
        )


class UsageMeterTest(unittest.TestCase):
    def test_usage_is_a_share_of_what_the_host_has(self):
        """Guards against limits that a host reaches without noticing."""
        passed = [0]
        start = time.process_time()
        meter = host_usage.UsageMeter(
            resources=site_settings.HostResources(0.5, 1000.0, 0, 8.0),
            running=lambda: 3,
            passed_bytes=lambda: passed[0],
            now=10.0,
        )
        passed[0] = 1_000_000
        kept = bytearray(b"x" * 100_000_000)
        while time.process_time() < start + 0.2:
            pass
        usage = meter.measure(12.0)
        self.assertAlmostEqual(0.5, usage.link)
        self.assertEqual((0.0, 3), (usage.descriptors, usage.streams))
        self.assertGreater(usage.memory, len(kept) / 1e9)
        self.assertGreater(usage.processor, 0.15)
        self.assertEqual(0.0, meter.measure(14.0).link)


class SiteTest(entry_site.EntrySite):
    """Three control hosts and entry hosts of two sizes."""

    async def test_reports_of_all_hosts_reach_all_hosts(self):
        """Guards against lists that ignore what hosts report."""
        document = test_document.document(1)
        await self._apply(document)
        for n in range(6):
            # All hosts share one process, which fits into none of them.
            resources = (LARGE if n == 0 else SMALL)._replace(memory_mb=8000)
            entry = self._start_entry(f"u{n}", resources=resources)
            self.entries.append(entry)
        await self._wait_in_force(1)
        callers = CALLERS[:40]

        def are_weighted():
            lists = [
                [
                    self.entries[-1].addresses("a", caller=caller)
                    for caller in callers
                ]
                for _ in range(2)
            ]
            large = self.entries[2]._settings.callers
            return (
                lists[0] == lists[1]
                and all(large in addresses for addresses in lists[0])
                and all(4 <= len(addresses) < 8 for addresses in lists[0])
            )

        await self._wait_until(are_weighted)
        usage = share_factor.HostUsage(memory=0.95)
        last = self.entries[-1]
        await last._host_load.close()
        last._host_load.record(usage, clock.now())
        self.assertEqual(503, (await self._send_request(last)).status)
        first = self.entries[2]
        await self._wait_until(
            lambda: (
                not any(
                    last._settings.callers
                    in first.addresses("a", caller=caller)
                    for caller in callers
                )
            )
        )


class _EarlierReport(msgspec.Struct, frozen=True, array_like=True):
    host: str
    cores: float = 0.0


class MessagesTest(unittest.TestCase):
    def test_reports_decode_beside_other_builds(self):
        """Guards against hosts without a lease during an update."""
        fields = set(site_messages.EntryHost._fields)
        known = {"name", "incarnation", "domain", "address", "draining"}
        self.assertEqual(known | {"peers"}, fields)
        encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
        newer = encode(report("e0", SMALL, share_factor=0.5))
        self.assertEqual("e0", decode(newer, type=_EarlierReport).host)
        older = encode(_EarlierReport("e0", 2.0))
        decoded = decode(older, type=site_messages.HostReport)
        self.assertEqual((2.0, 1.0), (decoded.cores, decoded.share_factor))
        renewal = site_messages.Renew(
            host=host("e0", "a"),
            version=1,
            position=table_position.Position(),
        )
        raw = decode(encode(renewal))
        del raw["report"]
        self.assertEqual(renewal, decode(encode(raw), type=site_messages.Renew))


if __name__ == "__main__":
    unittest.main()
