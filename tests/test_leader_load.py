"""A leader of a large site answers in time, whatever changes there."""

import asyncio
import unittest

from tests import leader_site
from tests import virtual_time

HOSTS = 69
TARGETS = 34
# A voter that hears nothing for the election time, counted from the last
# heartbeat, stands for election.
SILENCE_SECONDS = leader_site.SETTINGS.election_seconds * 4 / 5


class LeaderLoadTest(unittest.TestCase):
    def _run(self, work, *, hosts=HOSTS, targets=TARGETS):
        async def run():
            site = await leader_site.Site(hosts=hosts, targets=targets).start()
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
                await site.apply(version)
                confirmed = site.loop.time()
                await asyncio.sleep(1.0)
                late += [
                    host.version_at.get(version, float("inf")) - confirmed
                    for host in site.hosts
                ]
            return late

        late = self._run(changed)
        self.assertLess(max(late), leader_site.SETTINGS.bounds.config)
