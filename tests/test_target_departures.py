"""Tests of departures of targets: when the leader acknowledges them."""

import asyncio
import unittest

from endivestream import clock
from endivestream import site_messages
import hypothesis
from hypothesis import strategies as st

from tests import leader_site

HOSTS = 69
TARGETS = 34
REPORT_SECONDS = leader_site.SETTINGS.report
# Targets wait one second for an answer before they call again.
CALL_SECONDS = 1.0
# Time within which the platform wants an acknowledgement.
ACKNOWLEDGED_SECONDS = 5.0
# A host that cannot be reached may send until its lease ends.
LONGEST_WAIT_SECONDS = (
    leader_site.SETTINGS.lease_seconds - leader_site.SETTINGS.bounds.drain
)


class TargetDeparturesTest(unittest.TestCase):
    def _run(self, scenario, *, hosts=HOSTS, targets=TARGETS):
        async def run(site):
            site.follow_relays()
            site.run_hosts(every=0.3, credit=0)
            site.run_targets(changes=0)
            await asyncio.sleep(5.0)
            return await scenario(site)

        return leader_site.run(run, hosts=hosts, targets=targets, domains=4)

    async def _depart(self, site, depart, *, patience=5.0):
        """Repeats a target's call; returns the seconds until its answer."""
        started_at = clock.now()
        while clock.now() - started_at < patience:
            called_at = clock.now()
            try:
                async with asyncio.timeout(CALL_SECONDS):
                    await depart()
                return clock.now() - started_at
            except TimeoutError:
                await asyncio.sleep(called_at + CALL_SECONDS - clock.now())
        return float("inf")

    def _check_departure_beside_outdated_reports(self, depart):
        async def run(site):
            site.hosts[7].is_cut_off = True
            outdated = site.registration("t1")

            async def deliver_outdated():
                site.deliver_report(outdated)

            await site.report("t1")
            await asyncio.sleep(0.1)
            site.run_periodically(REPORT_SECONDS, deliver_outdated, delay=0.5)
            return await self._depart(site, lambda: depart(site))

        self.assertLessEqual(
            self._run(run), LONGEST_WAIT_SECONDS + CALL_SECONDS
        )

    def test_outdated_reports_do_not_delay_an_announced_departure(self):
        """Guards against a wait that starts anew with each late report."""
        self._check_departure_beside_outdated_reports(
            lambda site: site.drain_target("t1")
        )

    def test_reports_under_way_do_not_delay_a_deregistration(self):
        """Guards against the same for a target that has deregistered."""
        self._check_departure_beside_outdated_reports(
            lambda site: site.deregister_target("t1")
        )

    def test_outdated_departure_does_not_acknowledge_that_of_a_new_process(
        self,
    ):
        """Guards against an acknowledgement before hosts know of it."""

        async def run(site):
            outdated = site.registration("t1", draining=True)
            await site.report("t1", started_at_ms=2)
            await asyncio.sleep(0.5)
            site.deliver_report(outdated)
            await asyncio.sleep(0.5)
            site.hosts[7].is_cut_off = True
            lease_until = site.hosts[7].lease_until
            confirmed_at = await site.drain_target("t1", started_at_ms=2)
            return lease_until - confirmed_at

        self.assertLessEqual(self._run(run), leader_site.SETTINGS.bounds.drain)

    def _check_departure_over_two_leaders(self, message):
        async def run(site):
            site.hosts[7].is_frozen = True
            started_at = clock.now()
            departing = asyncio.create_task(site.call_leader(message(site)))
            for _ in range(2):
                await asyncio.sleep(1.5)
                await site.change_leader(pause=0.6)
            await departing
            return clock.now() - started_at

        self.assertLessEqual(self._run(run), ACKNOWLEDGED_SECONDS)

    def test_deregistration_is_acknowledged_over_two_changes_of_leader(self):
        """Guards against a wait that starts anew with each leader."""
        self._check_departure_over_two_leaders(
            lambda site: site_messages.Deregister(name="t1")
        )

    def test_announcement_is_acknowledged_over_two_changes_of_leader(self):
        """Guards against the same for a departure that is announced."""
        self._check_departure_over_two_leaders(
            lambda site: site_messages.Register(
                registration=site.registration("t1", draining=True)
            )
        )

    def test_outdated_report_to_the_next_leader_ends_no_departure(self):
        """Guards against requests to a target after its acknowledgement."""

        async def run(site):
            outdated = site.registration("t1")
            await site.report("t1")
            await asyncio.sleep(0.1)
            await site.drain_target("t1")
            # Its further reports do not reach the next leader.
            site.silence("t1")
            await site.change_leader(pause=0.6)
            await asyncio.sleep(1.0)
            site.deliver_report(outdated)
            await asyncio.sleep(1.0)
            return [
                host.name
                for host in site.hosts
                if "t1" in host.targets
                and not host.targets["t1"].registration.draining
            ]

        self.assertEqual([], self._run(run))

    def test_repeated_deregistration_is_committed_once(self):
        """Guards against log entries and table updates for each call."""

        async def run(site):
            site.hosts[7].is_cut_off = True
            before = site.log.proposals
            await self._depart(site, lambda: site.deregister_target("t1"))
            return site.log.proposals - before

        self.assertEqual(self._run(run), 1)

    @hypothesis.settings(max_examples=40)
    @hypothesis.given(
        is_removal=st.booleans(),
        cut_hosts=st.lists(
            st.tuples(st.integers(0, 9), st.floats(0.0, 2.0)), max_size=3
        ),
        lost_calls=st.lists(st.booleans(), max_size=2),
        outdated=st.lists(
            st.tuples(
                st.floats(0.0, 3.0), st.sampled_from(["ready", "former"])
            ),
            max_size=12,
        ),
    )
    def test_departures_are_acknowledged_in_time_and_not_too_early(
        self, is_removal, cut_hosts, lost_calls, outdated
    ):
        """Guards against late acknowledgements and premature ones."""

        async def run(site):
            reports = {
                "ready": site.registration("t1", started_at_ms=2),
                "former": site.registration("t1", draining=True),
            }
            await site.report("t1", started_at_ms=2)
            await asyncio.sleep(0.1)
            pending = []
            for host, seconds in cut_hosts:
                pending.append(self._at(seconds, self._cut, site.hosts[host]))
            for seconds, kind in outdated:
                pending.append(
                    self._at(seconds, site.deliver_report, reports[kind])
                )
            await asyncio.sleep(1.0)
            lost = list(lost_calls)

            async def depart():
                if is_removal:
                    await site.deregister_target("t1")
                else:
                    await site.drain_target("t1", started_at_ms=2)
                if lost and lost.pop():
                    await asyncio.sleep(CALL_SECONDS)

            waited = await self._depart(site, depart)
            acknowledged_at = clock.now()
            leases = [
                host.lease_until - acknowledged_at
                for host in site.hosts
                if "t1" in host.targets
                and not host.targets["t1"].registration.draining
            ]
            await asyncio.gather(*pending)
            return waited, max(leases, default=0.0)

        waited, longest_lease = self._run(run, hosts=10, targets=4)
        calls = 1 + sum(lost_calls)
        self.assertLessEqual(
            waited, LONGEST_WAIT_SECONDS + calls * CALL_SECONDS
        )
        self.assertLessEqual(longest_lease, leader_site.SETTINGS.bounds.drain)

    def _at(self, seconds, action, *arguments):
        async def run():
            await asyncio.sleep(seconds)
            action(*arguments)

        return asyncio.create_task(run())

    def _cut(self, host):
        host.is_cut_off = True
