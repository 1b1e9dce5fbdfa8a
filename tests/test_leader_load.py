"""A leader of a large site answers in time, whatever changes there."""

import asyncio
import unittest

from endivestream import clock

from tests import leader_site
from tests import virtual_time

HOSTS = 69
TARGETS = 34
# A voter that hears nothing for the election time, counted from the last
# heartbeat, stands for election.
SILENCE_SECONDS = leader_site.SETTINGS.election_seconds * 4 / 5


class LeaderLoadTest(unittest.TestCase):
    def _run(self, work, *, hosts=HOSTS, targets=TARGETS, domains=1):
        async def run():
            site = await leader_site.Site(
                hosts=hosts, targets=targets, domains=domains
            ).start()
            try:
                return await work(site)
            finally:
                await site.close()

        with virtual_time.running() as runner:
            return runner.run(run())

    def test_changes_of_targets_do_not_silence_the_leader(self):
        """Placement at full pace must not look like the leader's death."""

        async def busy(site):
            site.run_hosts(every=0.3, credit=300)
            site.run_targets(changes=40)
            await asyncio.sleep(8.0)
            return site

        site = self._run(busy)
        self.assertLess(site.latest, SILENCE_SECONDS)
        self.assertEqual(site.unanswered, 0)

    def test_pushes_to_hundreds_of_hosts_do_not_silence_the_leader(self):
        """The leader must keep answering in time with hundreds of hosts."""

        async def busy(site):
            site.follow_relays()
            site.run_hosts(every=0.3, credit=150)
            site.run_targets(changes=40)
            await asyncio.sleep(5.0)
            return site

        for hosts in (191, 390):
            with self.subTest(hosts=hosts):
                site = self._run(busy, hosts=hosts, targets=44, domains=5)
                self.assertLess(site.latest, SILENCE_SECONDS)
                self.assertEqual(site.unanswered, 0)

    def test_questions_about_limited_targets_do_not_silence_the_leader(self):
        """A tenth of 650 targets in need must not cost the leader its lead."""

        async def busy(site):
            site.follow_relays()
            site.run_hosts(every=0.7, credit=0)
            site.run_limits(rate=4.0, asks=520)
            await asyncio.sleep(5.0)
            return site

        site = self._run(busy, hosts=390, targets=65, domains=5)
        self.assertLess(site.latest, SILENCE_SECONDS)
        self.assertEqual(site.unanswered, 0)
        self.assertGreater(site.granted, 4 * 65 * 4.0 * 0.9)

    def test_the_leader_writes_a_push_to_few_hosts_of_each_domain(self):
        """Traffic between domains must not grow with hosts times changes."""

        async def busy(site, *, relays):
            if relays:
                site.follow_relays()
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(3.0)
            site.pushed_bytes = 0
            site.run_targets(changes=40)
            await asyncio.sleep(5.0)
            return site

        pushed = [
            self._run(
                lambda site, r=relays: busy(site, relays=r),
                hosts=191,
                targets=44,
                domains=5,
            ).pushed_bytes
            for relays in (False, True)
        ]
        self.assertLess(pushed[1], pushed[0] / 4)

    def test_pushes_take_less_than_a_quarter_of_the_leaders_time(self):
        """Frequent pushes would delay answers to renewals and heartbeats."""
        seconds = 5.0

        async def count_pushed_frames(site):
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(3.0)
            site.pushed_frames = 0
            site.run_targets(changes=200)
            await asyncio.sleep(seconds)
            return site.pushed_frames

        pushed_frames = self._run(count_pushed_frames)
        self.assertLess(pushed_frames * leader_site.SEND_SECONDS, seconds / 4)

    def test_the_rate_of_pushes_to_a_relay_is_limited(self):
        """A relay forwards each push to all followers, so pushes must batch."""
        seconds = 5.0

        async def count_relay_frames(site):
            site.follow_relays()
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(3.0)
            relay = next(host for host in site.hosts if host.followers)
            frames_before = relay.frames
            site.run_targets(changes=200)
            await asyncio.sleep(seconds)
            return relay.frames - frames_before

        frames = self._run(count_relay_frames, hosts=191, targets=44, domains=5)
        self.assertLess(frames, seconds * 40)

    def test_hosts_of_a_lost_relay_miss_no_change(self):
        """Renewals must return the changes that a relay did not forward."""
        every = 0.3

        async def lose(site):
            site.follow_relays()
            site.run_hosts(every=every, credit=0)
            await asyncio.sleep(3.0)
            relays = [host for host in site.hosts if host.followers]
            freezing = asyncio.create_task(site.freeze(relays[0]))
            late = 0
            for number in range(30):
                await site.report("t1", loaded=(f"m{number}",))
                await asyncio.sleep(2 * every)
                late += sum(
                    "t1" not in host.targets
                    or host.targets["t1"].said.loaded[0].model != f"m{number}"
                    for host in site.hosts
                    if not host.is_frozen
                )
            await freezing
            return late

        self.assertEqual(self._run(lose, hosts=60, domains=5), 0)

    def test_a_document_is_in_force_in_time_when_relays_are_lost(self):
        """A confirmed change must not wait for a relay that has stopped."""

        async def lose(site):
            site.follow_relays()
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(3.0)
            relays = [host for host in site.hosts if host.followers]
            freezing = [
                asyncio.create_task(site.freeze(host)) for host in relays
            ]
            late = []
            for version in range(1, 6):
                confirmed = await site.apply(version)
                await asyncio.sleep(1.0)
                late += [
                    host.version_at.get(version, float("inf")) - confirmed
                    for host in site.hosts
                    if not host.is_frozen
                ]
            await asyncio.gather(*freezing)
            return late

        late = self._run(lose, hosts=60, domains=5)
        self.assertLess(max(late), leader_site.SETTINGS.bounds.config)

    def test_followers_are_told_what_runs_where(self):
        """Followers without current loads would overload a single target."""

        async def serve(site):
            site.follow_relays()
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(6.0)
            return [
                host.loads[-1][0] > clock.now() - 1.0 if host.loads else False
                for host in site.hosts
                if host.relay
            ]

        heard = self._run(serve, hosts=60, domains=5)
        self.assertTrue(heard)
        self.assertTrue(all(heard))

    def test_a_flood_of_requests_for_credit_does_not_silence_the_leader(self):
        """A team at many times its rate must not cost the site its leader."""

        async def flood(site):
            site.run_hosts(every=0.3, credit=1500)
            site.run_targets(changes=20)
            await asyncio.sleep(5.0)
            return site

        site = self._run(flood)
        self.assertLess(site.latest, SILENCE_SECONDS)
        self.assertEqual(site.unanswered, 0)

    def test_hosts_that_all_start_anew_do_not_silence_the_leader(self):
        """Many hosts that come back at once must not bring the leader down."""

        async def herd(site):
            site.run_hosts(every=0.3, credit=0)
            site.run_targets(changes=0)
            await asyncio.sleep(4.0)
            site.latest = 0.0
            for host in site.hosts:
                host.incarnation += 1
            await asyncio.sleep(4.0)
            return site

        site = self._run(herd)
        self.assertLess(site.latest, SILENCE_SECONDS)
        self.assertEqual(site.unanswered, 0)

    def test_a_document_is_in_force_in_time_while_targets_change(self):
        """A confirmed change must not wait behind news of targets."""

        async def changed(site):
            site.run_hosts(every=0.3, credit=300)
            site.run_targets(changes=40)
            await asyncio.sleep(4.0)
            late = []
            for version in range(1, 6):
                confirmed = await site.apply(version)
                await asyncio.sleep(1.0)
                late += [
                    host.version_at.get(version, float("inf")) - confirmed
                    for host in site.hosts
                ]
            return late

        late = self._run(changed)
        self.assertLess(max(late), leader_site.SETTINGS.bounds.config)

    def test_each_host_is_sent_a_document_once(self):
        """Renewals that cross a change must not bring it again to all hosts."""

        async def storm(site):
            site.run_hosts(every=0.3, credit=400)
            await asyncio.sleep(4.0)
            for version in range(1, 8):
                renewals = [
                    asyncio.create_task(site.renew(host)) for host in site.hosts
                ]
                await asyncio.sleep(0)
                await site.apply(version, routes=200)
                await asyncio.gather(*renewals)
            return [host.documents for host in site.hosts]

        self.assertEqual(self._run(storm), [7] * HOSTS)

    def test_a_host_that_lost_a_document_gets_it_by_a_renewal(self):
        """A push may be lost; the change must be in force all the same."""

        async def lost(site):
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(4.0)
            host = site.hosts[7]
            host.is_cut_off = True
            applying = asyncio.create_task(site.apply(1))
            await asyncio.sleep(0.05)
            host.is_cut_off = False
            begun = site.loop.time()
            await applying
            return host.version_at[1] - begun

        bounds = leader_site.SETTINGS.bounds
        self.assertLess(self._run(lost), bounds.config / 2)

    def test_no_host_acts_on_an_older_document_past_the_bound(self):
        """A change must not be confirmed while a lease without it runs on."""

        async def cut(site):
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(5.0)
            lost = site.hosts[7]
            lost.is_cut_off = True
            confirmed = await site.apply(1)
            self.assertNotIn(1, lost.version_at)
            return lost.lease_until - confirmed

        bounds = leader_site.SETTINGS.bounds
        self.assertLessEqual(self._run(cut), bounds.config)

    def test_a_new_leader_confirms_no_change_that_hosts_may_lack(self):
        """Hosts that have not found it act on what the one before gave."""

        async def anew(site):
            begun = site.loop.time()
            confirmed = await site.apply(1)
            return begun + leader_site.SETTINGS.lease_seconds - confirmed

        bounds = leader_site.SETTINGS.bounds
        self.assertLessEqual(self._run(anew), bounds.config)

    def test_operators_wait_no_longer_than_hosts_need(self):
        async def calm(site):
            site.run_hosts(every=0.3, credit=150)
            site.run_targets(changes=40)
            await asyncio.sleep(5.0)
            begun = site.loop.time()
            confirmed = await site.apply(1)
            late = max(host.version_at[1] for host in site.hosts)
            return confirmed - begun, confirmed - late

        waited, after_last = self._run(calm)
        self.assertGreaterEqual(after_last, 0.0)
        self.assertLess(waited, leader_site.SETTINGS.renew_seconds)

    def test_no_host_sends_to_a_leaving_target_past_the_bound(self):
        """A target must not be let go while a lease without its word runs."""

        async def cut(site):
            site.run_hosts(every=0.3, credit=0)
            site.run_targets(changes=0)
            await asyncio.sleep(5.0)
            lost = site.hosts[7]
            lost.is_cut_off = True
            confirmed = await site.leave("t1")
            self.assertFalse(lost.targets["t1"].said.draining)
            return lost.lease_until - confirmed

        bounds = leader_site.SETTINGS.bounds
        self.assertLessEqual(self._run(cut), bounds.drain)

    def test_a_leaving_target_waits_no_longer_than_hosts_need(self):
        """Its report must be answered within a second, or it asks again."""

        async def calm(site):
            site.run_hosts(every=0.3, credit=150)
            site.run_targets(changes=40)
            await asyncio.sleep(5.0)
            begun = site.loop.time()
            confirmed = await site.leave("t1")
            self.assertTrue(
                all(host.targets["t1"].said.draining for host in site.hosts)
            )
            return confirmed - begun

        self.assertLess(self._run(calm), 1.0)
