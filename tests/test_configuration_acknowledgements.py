"""Tests of configuration changes: when the leader acknowledges them."""

import asyncio
import unittest

from endivestream import clock
from endivestream import site_messages
import hypothesis
from hypothesis import strategies as st

from tests import leader_site
from tests import test_document

HOSTS = 69
TARGETS = 34
BOUNDS = leader_site.SETTINGS.bounds
# Operators wait one second for an answer before they call again.
CALL_SECONDS = 1.0
# Time within which the platform wants an acknowledgement.
ACKNOWLEDGED_SECONDS = 5.0
# A host that cannot be reached acts on an older configuration until its lease
# ends.
LONGEST_WAIT_SECONDS = leader_site.SETTINGS.lease_seconds - BOUNDS.config
COMMIT_SECONDS = 0.03


class ConfigurationAcknowledgementsTest(unittest.TestCase):
    def _run(self, scenario, *, hosts=HOSTS, targets=TARGETS):
        async def run(site):
            site.log.commit_seconds = COMMIT_SECONDS
            site.follow_relays()
            site.run_hosts(every=0.3, credit=0)
            site.run_targets(changes=0)
            await asyncio.sleep(5.0)
            return await scenario(site)

        return leader_site.run(run, hosts=hosts, targets=targets, domains=4)

    def _message(self, version):
        return site_messages.Apply(document=test_document.document(version))

    async def _apply(self, site, version):
        """Applies a change; returns the seconds until its acknowledgement."""
        started_at = clock.now()
        await site.call_leader(self._message(version))
        return clock.now() - started_at

    async def _apply_series(self, site, *, count, interval):
        """Applies changes at an interval; returns the seconds of each."""
        waits = []
        for version in range(1, count + 1):
            waits.append(asyncio.create_task(self._apply(site, version)))
            await asyncio.sleep(interval)
        return await asyncio.gather(*waits)

    async def _darken_in_a_row(self, site, *, seconds, at_a_time=3):
        """Makes some hosts at a time unreachable for a while."""
        for first in range(0, HOSTS - at_a_time, at_a_time):
            hosts = site.hosts[first : first + at_a_time]
            for host in hosts:
                host.is_frozen = True
            await asyncio.sleep(seconds)
            for host in hosts:
                host.is_frozen = False

    def test_later_changes_do_not_postpone_an_acknowledgement(self):
        """Guards against a change that waits for all that come after it."""

        async def run(site):
            site.hosts[7].is_frozen = True
            return await self._apply_series(site, count=12, interval=0.33)

        self.assertLessEqual(
            max(self._run(run)), LONGEST_WAIT_SECONDS + CALL_SECONDS
        )

    def test_changes_are_acknowledged_while_hosts_fail_in_a_row(self):
        """Guards against the same while there always is a lagging host."""

        async def run(site):
            failing = asyncio.create_task(
                self._darken_in_a_row(site, seconds=1.15)
            )
            waits = await self._apply_series(site, count=24, interval=0.33)
            failing.cancel()
            return waits

        self.assertLessEqual(
            max(self._run(run)), LONGEST_WAIT_SECONDS + CALL_SECONDS
        )

    def test_a_silent_host_delays_no_further_change(self):
        """Guards against the wait for one lease with each new change."""

        async def run(site):
            site.hosts[7].is_frozen = True
            await asyncio.sleep(LONGEST_WAIT_SECONDS)
            return await self._apply(site, 1)

        self.assertLess(self._run(run), CALL_SECONDS)

    def test_a_repeated_change_is_committed_once(self):
        """Guards against log entries for calls while a change is proposed."""

        async def run(site):
            before = site.log.proposals
            await asyncio.gather(self._apply(site, 1), self._apply(site, 1))
            return site.log.proposals - before

        self.assertEqual(1, self._run(run))

    def _check_change_over_leaders(self, *terms, is_host_silent):
        """Checks the acknowledgement of a change over some changes of leader.

        Args:
            *terms: Seconds for which each leader but the last leads.
            is_host_silent: Whether an entry host does not return.
        """

        async def run(site):
            site.hosts[7].is_frozen = is_host_silent
            applying = asyncio.create_task(self._apply(site, 1))
            for seconds in terms:
                await asyncio.sleep(seconds)
                await site.change_leader(pause=0.6)
            return await applying

        self.assertLessEqual(self._run(run), ACKNOWLEDGED_SECONDS)

    def test_a_change_is_acknowledged_over_two_changes_of_leader(self):
        """Guards against a wait that starts anew with each leader."""
        self._check_change_over_leaders(1.5, 1.5, is_host_silent=False)

    def test_a_silent_host_does_not_delay_a_change_over_two_leaders(self):
        """Guards against the same beside a host that does not return."""
        self._check_change_over_leaders(1.5, 1.5, is_host_silent=True)

    def test_short_terms_do_not_prolong_the_wait_for_a_silent_host(self):
        """Guards against leaders in a row that each wait the longest lease."""
        self._check_change_over_leaders(0.7, 0.7, 0.7, is_host_silent=True)

    def test_hosts_keep_their_leases_while_a_new_leader_commits_slowly(self):
        """Guards against leases that end because a record is not committed."""

        async def run(site):
            await site.change_leader(pause=0.6)
            site.log.commit_seconds = 4.0
            await asyncio.sleep(4.0)
            return min(host.lease_until for host in site.hosts) - clock.now()

        self.assertGreater(self._run(run), 0.0)

    def test_hosts_of_a_late_leader_are_not_recorded_as_silent(self):
        """Guards against log entries for sound hosts of a late leader."""

        async def run(site):
            before = site.log.proposals
            for host in site.hosts[:20]:
                host.is_frozen = True
            await asyncio.sleep(2.0)
            for host in site.hosts[:20]:
                host.is_frozen = False
            await asyncio.sleep(2.0)
            return site.log.proposals - before

        self.assertEqual(0, self._run(run))

    def test_a_former_leader_answers_waiting_calls(self):
        """Guards against calls that wait at a host that no longer leads."""

        async def run(site):
            site.hosts[7].is_frozen = True
            call = asyncio.create_task(
                site.leader_role.handle(b"c1", self._message(1))
            )
            await asyncio.sleep(0.2)
            await site.change_leader(pause=0.0)
            changed_at = clock.now()
            await call
            return clock.now() - changed_at

        self.assertLess(self._run(run), CALL_SECONDS)

    def test_a_host_without_pushes_receives_changes_of_a_series(self):
        """Guards against renewals without any change while changes go on."""

        async def run(site):
            host = site.hosts[7]
            host.loses_pushes = True
            applying = asyncio.create_task(
                self._apply_series(site, count=24, interval=0.33)
            )
            await asyncio.sleep(24 * 0.33)
            version = host.version
            await applying
            return version

        self.assertGreater(self._run(run), 0)

    def test_a_renewal_beside_a_push_extends_no_lease_without_the_change(self):
        """Guards against an old configuration in force past the bound."""

        async def run(site):
            host = site.hosts[7]
            host.loses_pushes = True
            applying = asyncio.create_task(self._apply(site, 1))
            await asyncio.sleep(0.45)
            host.is_frozen = True
            await applying
            self.assertEqual(0, host.version)
            return host.lease_until - clock.now()

        self.assertLessEqual(self._run(run), BOUNDS.config)

    def test_a_returning_host_gets_an_acknowledged_change_with_its_lease(self):
        """Guards against a lease without a change that is being pushed."""

        async def run(site):
            host = site.hosts[7]
            host.is_frozen = host.loses_pushes = True
            await asyncio.sleep(LONGEST_WAIT_SECONDS + 0.5)
            await self._apply(site, 1)
            host.is_frozen = False
            await host.renew()
            return host.version

        self.assertEqual(1, self._run(run))

    def test_renewals_that_wait_at_the_leader_get_a_change_once(self):
        """Guards against a document for each renewal of a late leader."""

        async def run(site):
            host = site.hosts[7]
            host.loses_pushes = True
            applying = asyncio.create_task(self._apply(site, 1))
            await asyncio.sleep(0.55)
            renewals = [host.renew() for _ in range(4)]
            answers = await asyncio.gather(*renewals)
            await applying
            return sum(
                answer.table_update is not None
                and answer.table_update.document is not None
                for answer in answers
            )

        self.assertLessEqual(self._run(run), 1)

    def test_a_later_evacuation_does_not_postpone_an_acknowledgement(self):
        """Guards against a wait for confirmations that name a later one."""

        async def run(site):
            site.log.commit_seconds = 0.0
            started_at = clock.now()
            waits = []
            for domain in ("a", "b"):
                waits.append(asyncio.create_task(site.evacuate(domain)))
                await asyncio.sleep(0)
            return await waits[0] - started_at

        self.assertLess(self._run(run), leader_site.SETTINGS.renew_seconds)

    @hypothesis.settings(max_examples=25)
    @hypothesis.given(
        changes=st.lists(st.floats(0.0, 0.6), min_size=1, max_size=8),
        faults=st.lists(
            st.tuples(
                st.floats(0.0, 4.0),
                st.integers(0, 9),
                st.sampled_from(["freeze", "thaw", "lose_pushes", "restart"]),
            ),
            max_size=8,
        ),
        leader_changes=st.lists(st.floats(0.1, 1.5), max_size=3),
    )
    def test_changes_are_acknowledged_in_time_and_not_too_early(
        self, changes, faults, leader_changes
    ):
        """Guards against late acknowledgements and premature ones.

        A leader must not acknowledge a change while a host with a lease that
        outlasts the bound lacks it, and must do so within the longest lease
        and one call after the last change of leader.
        """

        async def run(site):
            led_at = clock.now()
            pending = [
                asyncio.create_task(self._fail_host(site, *fault))
                for fault in faults
            ]
            calls = []
            for version, pause in enumerate(changes, start=1):
                calls.append(
                    asyncio.create_task(self._apply_checked(site, version))
                )
                await asyncio.sleep(pause)
            for seconds in leader_changes:
                await asyncio.sleep(seconds)
                await site.change_leader(pause=0.6)
                led_at = clock.now()
            outcomes = await asyncio.gather(*calls)
            await asyncio.gather(*pending)
            return led_at, outcomes

        led_at, outcomes = self._run(run, hosts=10, targets=4)
        for started_at, acknowledged_at, longest_lease in outcomes:
            self.assertLessEqual(
                acknowledged_at - max(led_at, started_at),
                LONGEST_WAIT_SECONDS + CALL_SECONDS,
            )
            self.assertLessEqual(longest_lease, BOUNDS.config)

    async def _apply_checked(self, site, version):
        """Applies a change; returns when, and the longest lease without it."""
        started_at = clock.now()
        await site.call_leader(self._message(version))
        now = clock.now()
        leases = [
            host.lease_until - now
            for host in site.hosts
            if host.version < version
        ]
        return started_at, now, max(leases, default=0.0)

    async def _fail_host(self, site, seconds, number, fault):
        await asyncio.sleep(seconds)
        host = site.hosts[number]
        match fault:
            case "freeze":
                host.is_frozen = True
            case "thaw":
                host.is_frozen = False
                host.loses_pushes = False
            case "lose_pushes":
                host.loses_pushes = True
            case "restart":
                host.restart()
