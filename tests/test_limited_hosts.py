"""Entry hosts that share a target's limit, with real leaders that are lost.

Each host decides by the product's own code; the leader is the product's, and
messages take a millisecond. A host that is frozen or cut off is excused for
what it sends until it is back, as operators' rules have it.
"""

import asyncio
import random
import unittest

from endivestream import clock
from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.process import control as control_lib
from endivestream.process import entry_rate_limits
from endivestream.process import site_leading
from endivestream.request import rate_limits as rate_limits_lib

from tests import leader_site
from tests import virtual_time

WAY_SECONDS = 0.001
ANSWER_SECONDS = 0.05
RENEW_SECONDS = 0.3
# Hosts that were told so long ago must keep the limit.
TOLD_SECONDS = 0.5
WINDOW_SECONDS = 4.0


class Target:
    """Names a limit in its answers and notes what arrives."""

    def __init__(self, rate):
        self.born = 1
        self.rate = rate
        self.arrived = []

    @property
    def said(self):
        return registry_lib.Registration(
            name="t1",
            service="s",
            address="t1",
            domain="a",
            born=self.born,
            number=1,
        )


class Host:
    """An entry host without callers, targets and sockets of its own."""

    def __init__(self, site, number):
        self.name = f"e{number}"
        self.told_at = float("inf")
        self.excused_until = 0.0
        self.frozen_until = 0.0
        self.is_cut = False
        self._site = site
        self._position = site_messages.Position()
        self._leader = None
        self._renews = False
        self.limits = rate_limits_lib.RateLimits()
        self.sends = entry_rate_limits.EntryRateLimits(
            limits=self.limits, watch=self, changed=self._poke
        )

    def _poke(self):
        self._site.run(self.renew())

    async def ask(self, message, *, seconds):
        """Stands for the session with the leader."""
        await self._frozen()
        leading = self._site.leading
        if leading is None or self.is_cut:
            await asyncio.sleep(seconds)
            return None
        await asyncio.sleep(WAY_SECONDS)
        answer = await leading.handle(self.name.encode(), message)
        await asyncio.sleep(WAY_SECONDS)
        await self._frozen()
        return answer

    async def _frozen(self):
        while clock.now() < self.frozen_until:
            await asyncio.sleep(self.frozen_until - clock.now())

    async def renew(self):
        if self._renews:
            return
        self._renews = True
        leading = self._site.leading
        host = site_messages.EntryHost(self.name, 1, "a", self.name, False)
        answer = await self.ask(
            site_messages.Renew(
                host=host,
                version=0,
                position=self._position,
                limits=self.sends.report(
                    everything=leading is not self._leader
                ),
            ),
            seconds=0.4,
        )
        self._renews = False
        if isinstance(answer, site_messages.Renewed):
            self._leader = leading
            self.sends.reported()
            if answer.news is not None:
                self.take(answer.news)

    def take(self, news):
        if self.is_cut or clock.now() < self.frozen_until:
            return
        self.sends.merge(news.limits)
        if news.entries is not None:
            self.sends.set_hosts(len(news.entries))
        self._position = max(self._position, news.position)

    async def send(self):
        """One request, if the limit allows; else it goes elsewhere."""
        target = self._site.target
        said = target.said
        if await self.sends.permit(said, 1.0) is not None:
            return
        await self._frozen()
        now = clock.now()
        told = now - self.told_at >= TOLD_SECONDS
        target.arrived.append((now, told and now >= self.excused_until))
        rate = target.rate
        await asyncio.sleep(ANSWER_SECONDS)
        await self._frozen()
        if said.born != target.born:
            return
        if rate is not None:
            self.told_at = min(self.told_at, clock.now())
        self.sends.heard(said, None if rate is None else str(rate))


class Site:
    def __init__(self, *, hosts, rate):
        self.target = Target(rate)
        self.leading = None
        self.hosts = [Host(self, number) for number in range(hosts)]
        self._terms = 0
        self._tasks = set()

    def run(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self):
        for task in list(self._tasks):
            task.cancel()
        if self.leading is not None:
            await self.leading.close()

    async def lead(self):
        """Another leader begins, without anything of the one before."""
        log = leader_site.Log()
        self._terms += 1
        log.term = self._terms
        self.leading = site_leading.SiteLeading(
            settings=leader_site.SETTINGS,
            lead=control_lib.Lead(log, self._push),
        )
        self.leading.start()
        await self.report()

    async def report(self):
        if self.leading is not None:
            await self.leading.handle(
                b"c1", site_messages.Register(said=self.target.said)
            )

    async def lose_leader(self, seconds):
        leading, self.leading = self.leading, None
        await leading.close()
        await asyncio.sleep(seconds)
        await self.lead()

    async def _push(self, peers, message):
        await asyncio.sleep(WAY_SECONDS)
        for host in self.hosts:
            if host.name.encode() in peers and isinstance(
                message, site_messages.News
            ):
                host.take(message)

    async def renew(self, host):
        while True:
            await host.renew()
            await asyncio.sleep(RENEW_SECONDS)

    async def press(self, host, rate, chance):
        """Callers come to a host at random times."""
        while True:
            await asyncio.sleep(chance.expovariate(rate))
            self.run(host.send())


async def play(seed, *, hosts, rate, asked=None, change=None):
    """Runs a site for 20 s with faults; returns it.

    Args:
        seed: Of all that is random.
        hosts: Entry hosts.
        rate: The target's limit.
        asked: Requests a second that come; ten times the limit if not given.
        change: Called with the site once the limit is in force.
    """
    chance = random.Random(seed)
    site = Site(hosts=hosts, rate=rate)
    await site.lead()
    for host in site.hosts:
        site.run(site.renew(host))
    await asyncio.sleep(5.0)
    per_host = max(0.5, (asked or 10 * rate) / hosts)
    for host in site.hosts:
        site.run(site.press(host, per_host, chance))
    await asyncio.sleep(3.0)
    for _ in range(chance.randint(1, 4)):
        await asyncio.sleep(chance.uniform(0.5, 3.0))
        host = chance.choice(site.hosts)
        match chance.choice(["leader", "freeze", "cut", "join", "return"]):
            case "leader" if site.leading is not None:
                await site.lose_leader(chance.uniform(0.1, 1.5))
            case "freeze":
                until = clock.now() + chance.uniform(0.2, 3.0)
                host.frozen_until = until
                host.excused_until = until + 3.0
            case "cut":
                host.is_cut = True
                host.excused_until = clock.now() + 6.0
                await asyncio.sleep(chance.uniform(0.2, 3.0))
                host.is_cut = False
            case "join":
                new = Host(site, len(site.hosts))
                site.hosts.append(new)
                site.run(site.renew(new))
                site.run(site.press(new, per_host, chance))
            case "return":
                site.target.born += 1
                for each in site.hosts:
                    each.told_at = float("inf")
                await site.report()
    if change is not None:
        change(site)
    await asyncio.sleep(5.0)
    await site.close()
    return site


def run(seed, **fields):
    with virtual_time.running() as runner:
        return runner.run(play(seed, **fields))


def most_told(site):
    """Returns the most requests in a window from hosts that were told."""
    times = [when for when, told in site.target.arrived if told]
    return max(
        (
            sum(begin <= when < begin + WINDOW_SECONDS for when in times)
            for begin in times
        ),
        default=0,
    )


class LimitedHostsTest(unittest.TestCase):
    def test_no_window_holds_more_than_the_limit_allows(self):
        """Guards against hosts that exceed a limit together.

        Leaders are lost, hosts freeze, are cut off and join, and the target
        returns under its address.
        """
        for seed in range(24):
            hosts = (1, 2, 8, 40)[seed % 4]
            rate = (1.5, 0.4, 2.7, 20.0, 100.0)[seed % 5]
            site = run(seed, hosts=hosts, rate=rate)
            allowed = 1.5 * rate * WINDOW_SECONDS + 5
            self.assertLessEqual(
                most_told(site), allowed, f"seed {seed}: {hosts} at {rate}"
            )

    def test_a_limit_is_used(self):
        """Guards against limits that are kept by sending nothing."""
        for hosts in (1, 8, 40):
            site = run(3, hosts=hosts, rate=5.0)
            self.assertGreater(len(site.target.arrived), 5.0 * 5)

    def test_a_limit_that_ends_is_forgotten_everywhere(self):
        def end(site):
            site.target.rate = None

        site = run(5, hosts=8, rate=2.0, asked=100.0, change=end)
        for host in site.hosts:
            self.assertIsNone(host.limits.rate("t1", site.target.born))

    def test_a_limit_that_falls_is_kept_everywhere(self):
        falls_at = []

        def fall(site):
            falls_at.append(clock.now())
            site.target.rate = 1.0

        site = run(4, hosts=8, rate=100.0, asked=200.0, change=fall)
        times = [
            when
            for when, told in site.target.arrived
            if told and when > falls_at[0] + TOLD_SECONDS
        ]
        self.assertLessEqual(len(times), 1.5 * 1.0 * 4.5 + 5)

    def test_a_target_that_returns_has_no_limit_for_placement(self):
        """Guards against an engine that counts as slow after it was restarted.

        A host still tells of the start before.
        """

        async def play_return():
            site = Site(hosts=2, rate=1.5)
            await site.lead()
            for host in site.hosts:
                site.run(site.renew(host))
            await asyncio.sleep(1.0)
            await site.hosts[0].send()
            await asyncio.sleep(1.0)
            before = dict(site.leading._rate_limits.rates)
            site.target.born += 1
            await site.report()
            late = site_messages.RateLimit("t1", 1, 1.5, 0.0)
            site.leading._merge_rate_limits([late])
            after = dict(site.leading._rate_limits.rates)
            fed = site.leading._lease_manager._rate_limits.rates
            await site.close()
            return before, after, fed

        with virtual_time.running() as runner:
            before, after, fed = runner.run(play_return())
        self.assertEqual(({"t1": 1.5}, {}, {}), (before, after, fed))

    def test_a_new_leader_drops_no_limit(self):
        """Guards against an empty table that is read as no limits."""

        async def play_lost():
            site = Site(hosts=2, rate=1.5)
            await site.lead()
            for host in site.hosts:
                site.run(site.renew(host))
            await asyncio.sleep(1.0)
            await site.hosts[0].send()
            await asyncio.sleep(1.0)
            known = [host.limits.rate("t1", 1) for host in site.hosts]
            await site.lose_leader(0.5)
            await asyncio.sleep(6.0)
            after = [host.limits.rate("t1", 1) for host in site.hosts]
            table = site.leading._rate_limits.rates
            await site.close()
            return known, after, table

        with virtual_time.running() as runner:
            known, after, table = runner.run(play_lost())
        self.assertEqual([1.5, 1.5], known)
        self.assertEqual([1.5, 1.5], after)
        self.assertEqual({"t1": 1.5}, table)


if __name__ == "__main__":
    unittest.main()
