"""Load tests of the leader of a large site: it must answer in time."""

import asyncio
import unittest
from unittest import mock

from endivestream import clock
from endivestream import site_messages
from endivestream.version import document as document_lib
import msgspec

from tests import leader_site
from tests import test_document

HOSTS = 69
TARGETS = 34
# A voter that receives nothing for the election time, counted from the last
# heartbeat, becomes a candidate.
SILENCE_SECONDS = leader_site.SETTINGS.election_seconds * 4 / 5


class LeaderLoadTest(unittest.TestCase):
    def _run(self, scenario, *, hosts=HOSTS, targets=TARGETS, domains=1):
        return leader_site.run(
            scenario, hosts=hosts, targets=targets, domains=domains
        )

    def test_target_changes_leave_the_leader_responsive(self):
        """Guards against elections caused by frequent placement changes.

        Pushes of 40 changes a second must leave the leader time for heartbeats.
        """

        async def apply_load(site):
            site.run_hosts(every=0.3, credit=300)
            site.run_targets(changes=40)
            await asyncio.sleep(8.0)
            return site

        site = self._run(apply_load)
        self.assertLess(site.max_loop_lag, SILENCE_SECONDS)
        self.assertEqual(site.unanswered, 0)

    def test_pushes_to_hundreds_of_hosts_leave_the_leader_responsive(self):
        """Guards against late answers when updates go to hundreds of hosts."""

        async def apply_load(site):
            site.follow_relays()
            site.run_hosts(every=0.3, credit=150)
            site.run_targets(changes=40)
            await asyncio.sleep(5.0)
            return site

        for hosts in (191, 390):
            with self.subTest(hosts=hosts):
                site = self._run(apply_load, hosts=hosts, targets=44, domains=5)
                self.assertLess(site.max_loop_lag, SILENCE_SECONDS)
                self.assertEqual(site.unanswered, 0)

    def test_send_requests_leave_the_leader_responsive(self):
        """Guards against elections when many targets have a rate limit.

        A tenth of 650 targets has a limit, and hosts request permission to send
        to them from the leader.
        """

        async def apply_load(site):
            site.follow_relays()
            site.run_hosts(every=0.7, credit=0)
            site.run_limits(rate=4.0, requests=520)
            await asyncio.sleep(5.0)
            return site

        site = self._run(apply_load, hosts=390, targets=65, domains=5)
        self.assertLess(site.max_loop_lag, SILENCE_SECONDS)
        self.assertEqual(site.unanswered, 0)
        self.assertGreater(site.granted_sends, 4 * 65 * 4.0 * 0.9)

    def test_the_leader_writes_a_push_to_few_hosts_of_each_domain(self):
        """Guards against traffic between domains of hosts times changes."""

        async def apply_load(site, *, relays):
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
                lambda site, r=relays: apply_load(site, relays=r),
                hosts=191,
                targets=44,
                domains=5,
            ).pushed_bytes
            for relays in (False, True)
        ]
        self.assertLess(pushed[1], pushed[0] / 4)

    def test_pushes_take_less_than_a_quarter_of_the_leaders_time(self):
        """Guards against pushes that delay renewals and heartbeats."""
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
        """Guards against overloaded relays.

        A relay forwards each push to all followers, so changes must be batched.
        """
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

    def test_followers_of_an_unreachable_relay_miss_no_change(self):
        """Guards against lost changes when a relay stops forwarding.

        Renewals must return the changes that the relay did not forward.
        """
        every = 0.3

        async def fail_relays(site):
            site.follow_relays()
            site.run_hosts(every=every, credit=0)
            await asyncio.sleep(3.0)
            relays = [host for host in site.hosts if host.followers]
            freezing = asyncio.create_task(site.freeze_host(relays[0]))
            missing = 0
            for number in range(30):
                await site.report("t1", loaded=(f"m{number}",))
                await asyncio.sleep(2 * every)
                missing += sum(
                    "t1" not in host.targets
                    or host.targets["t1"].registration.loaded[0].model
                    != f"m{number}"
                    for host in site.hosts
                    if not host.is_frozen
                )
            await freezing
            return missing

        self.assertEqual(self._run(fail_relays, hosts=60, domains=5), 0)

    def test_a_document_is_in_force_in_time_when_relays_fail(self):
        """Guards against a document that is late when relays have stopped."""

        async def fail_relays(site):
            site.follow_relays()
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(3.0)
            relays = [host for host in site.hosts if host.followers]
            freezing = [
                asyncio.create_task(site.freeze_host(host)) for host in relays
            ]
            delays = []
            for version in range(1, 6):
                confirmed_at = await site.apply_document(version)
                await asyncio.sleep(1.0)
                delays += [
                    host.version_at.get(version, float("inf")) - confirmed_at
                    for host in site.hosts
                    if not host.is_frozen
                ]
            await asyncio.gather(*freezing)
            return delays

        delays = self._run(fail_relays, hosts=60, domains=5)
        self.assertLess(max(delays), leader_site.SETTINGS.bounds.config)

    def test_followers_receive_current_target_loads(self):
        """Guards against followers that overload a target for lack of loads."""

        async def collect_loads(site):
            site.follow_relays()
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(6.0)
            return [
                host.loads[-1][0] > clock.now() - 1.0 if host.loads else False
                for host in site.hosts
                if host.relay
            ]

        is_current = self._run(collect_loads, hosts=60, domains=5)
        self.assertTrue(is_current)
        self.assertTrue(all(is_current))

    def test_credit_request_bursts_leave_the_leader_responsive(self):
        """Guards against elections caused by a team at many times its rate."""

        async def apply_load(site):
            site.run_hosts(every=0.3, credit=1500)
            site.run_targets(changes=20)
            await asyncio.sleep(5.0)
            return site

        site = self._run(apply_load)
        self.assertLess(site.max_loop_lag, SILENCE_SECONDS)
        self.assertEqual(site.unanswered, 0)

    def test_a_restart_of_all_hosts_leaves_the_leader_responsive(self):
        """Guards against elections caused by many hosts that reconnect."""

        async def restart_hosts(site):
            site.run_hosts(every=0.3, credit=0)
            site.run_targets(changes=0)
            await asyncio.sleep(4.0)
            site.max_loop_lag = 0.0
            for host in site.hosts:
                host.incarnation += 1
            await asyncio.sleep(4.0)
            return site

        site = self._run(restart_hosts)
        self.assertLess(site.max_loop_lag, SILENCE_SECONDS)
        self.assertEqual(site.unanswered, 0)

    def test_a_document_is_in_force_in_time_while_targets_change(self):
        """Guards against a document that is queued behind target updates."""

        async def apply_load(site):
            site.run_hosts(every=0.3, credit=300)
            site.run_targets(changes=40)
            await asyncio.sleep(4.0)
            delays = []
            for version in range(1, 6):
                confirmed_at = await site.apply_document(version)
                await asyncio.sleep(1.0)
                delays += [
                    host.version_at.get(version, float("inf")) - confirmed_at
                    for host in site.hosts
                ]
            return delays

        delays = self._run(apply_load)
        self.assertLess(max(delays), leader_site.SETTINGS.bounds.config)

    def test_each_host_is_sent_a_document_once(self):
        """Guards against sending a document twice.

        A renewal that crosses the push must not return the document again.
        """

        async def renew_during_changes(site):
            site.run_hosts(every=0.3, credit=400)
            await asyncio.sleep(4.0)
            for version in range(1, 8):
                renewals = [
                    asyncio.create_task(site.renew(host)) for host in site.hosts
                ]
                await asyncio.sleep(0)
                await site.apply_document(version, routes=200)
                await asyncio.gather(*renewals)
            return [host.documents for host in site.hosts]

        self.assertEqual(self._run(renew_during_changes), [7] * HOSTS)

    def test_the_source_of_a_document_is_sent_to_no_host(self):
        """Guards against twice the bytes of each change on hosts' links."""

        async def apply_change(site):
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(1.0)
            before = site.pushed_bytes
            document = msgspec.structs.replace(
                test_document.document(1), source=b"x" * 100_000
            )
            await site.leader_role.handle(
                b"c1", site_messages.Apply(document=document)
            )
            late = leader_site.Host(site, 99, "d0")
            site._by_peer[late.peer] = late
            answer = await late.renew()
            size = len(msgspec.msgpack.encode(answer.table_update))
            return (site.pushed_bytes - before) / HOSTS, size

        pushed, answered = self._run(apply_change)
        self.assertLess(pushed, 100_000)
        self.assertLess(answered, 100_000)

    def test_a_document_is_encoded_once_for_all_renewals(self):
        """Guards against a leader that encodes a large one for each host."""

        async def renew_without_pushes(site):
            await site.apply_document(1, routes=1300)
            for host in site.hosts:
                host.version = 0
            await asyncio.sleep(1.0)
            answers = []
            with mock.patch.object(
                msgspec.msgpack, "encode", wraps=msgspec.msgpack.encode
            ) as encode:
                for host in site.hosts:
                    answers.append(await host.renew())
                encoded = [
                    call.args[0]
                    for call in encode.call_args_list
                    if isinstance(call.args[0], document_lib.Document)
                ]
            versions = {host.version for host in site.hosts}
            return len(encoded), versions, answers

        encoded, versions, answers = self._run(renew_without_pushes)
        self.assertEqual({1}, versions)
        self.assertEqual(HOSTS, len(answers))
        self.assertEqual(1, encoded)

    def test_a_host_that_missed_a_document_receives_it_with_a_renewal(self):
        """Guards against a document that never arrives after a lost push."""

        async def miss_push(site):
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(4.0)
            host = site.hosts[7]
            host.is_cut_off = True
            applying = asyncio.create_task(site.apply_document(1))
            await asyncio.sleep(0.05)
            host.is_cut_off = False
            started_at = site.loop.time()
            await applying
            return host.version_at[1] - started_at

        bounds = leader_site.SETTINGS.bounds
        self.assertLess(self._run(miss_push), bounds.config / 2)

    def test_no_host_uses_an_older_document_past_the_bound(self):
        """Guards against confirming a document while a lease lacks it.

        The isolated host may serve with the older document until its lease
        ends.
        """

        async def isolate_host(site):
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(5.0)
            isolated = site.hosts[7]
            isolated.is_cut_off = True
            confirmed_at = await site.apply_document(1)
            self.assertNotIn(1, isolated.version_at)
            return isolated.lease_until - confirmed_at

        bounds = leader_site.SETTINGS.bounds
        self.assertLessEqual(self._run(isolate_host), bounds.config)

    def test_a_new_leader_confirms_no_change_that_hosts_may_lack(self):
        """Guards against a confirmation before the old leader's leases end.

        Hosts that have not connected to the new leader use the configuration
        from its predecessor.
        """

        async def apply_without_hosts(site):
            started_at = site.loop.time()
            confirmed_at = await site.apply_document(1)
            return (
                started_at + leader_site.SETTINGS.lease_seconds - confirmed_at
            )

        bounds = leader_site.SETTINGS.bounds
        self.assertLessEqual(self._run(apply_without_hosts), bounds.config)

    def test_operators_wait_no_longer_than_hosts_need(self):
        """Guards against confirmations long after the last host is updated."""

        async def apply_load(site):
            site.run_hosts(every=0.3, credit=150)
            site.run_targets(changes=40)
            await asyncio.sleep(5.0)
            started_at = site.loop.time()
            confirmed_at = await site.apply_document(1)
            last_host_at = max(host.version_at[1] for host in site.hosts)
            return confirmed_at - started_at, confirmed_at - last_host_at

        waited, after_last = self._run(apply_load)
        self.assertGreaterEqual(after_last, 0.0)
        self.assertLess(waited, leader_site.SETTINGS.renew_seconds)

    def test_no_host_sends_to_an_evacuated_domain_past_the_bound(self):
        """Guards against confirming an evacuation while a lease lacks it."""

        async def isolate_host(site):
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(5.0)
            isolated = site.hosts[7]
            isolated.is_cut_off = True
            confirmed_at = await site.evacuate("a")
            self.assertEqual((), isolated.evacuations.domains)
            return isolated.lease_until - confirmed_at

        bounds = leader_site.SETTINGS.bounds
        self.assertLessEqual(self._run(isolate_host), bounds.evacuation)

    def test_an_evacuation_is_confirmed_once_all_hosts_have_it(self):
        """Guards against operators who wait longer than hosts need."""

        async def apply_load(site):
            site.follow_relays()
            site.run_hosts(every=0.3, credit=150)
            site.run_targets(changes=40)
            await asyncio.sleep(5.0)
            started_at = site.loop.time()
            confirmed_at = await site.evacuate("a")
            self.assertEqual(
                {("a",)}, {host.evacuations.domains for host in site.hosts}
            )
            return confirmed_at - started_at

        self.assertLess(self._run(apply_load), leader_site.SETTINGS.report)

    def test_a_host_that_joins_receives_the_evacuations_with_its_lease(self):
        """Guards against a new host that sends to an evacuated domain."""

        async def join(site):
            site.run_hosts(every=0.3, credit=0)
            await asyncio.sleep(2.0)
            await site.evacuate("a")
            host = leader_site.Host(site, 99, "d0")
            site._by_peer[host.peer] = host
            await host.renew()
            return host.lease_until, host.evacuations.domains

        lease_until, domains = self._run(join)
        self.assertGreater(lease_until, 0.0)
        self.assertEqual(("a",), domains)

    def test_no_host_sends_to_a_draining_target_past_the_bound(self):
        """Guards against confirming a drain while a lease lacks it.

        The isolated host may send requests to the target until its lease ends.
        """

        async def isolate_host(site):
            site.run_hosts(every=0.3, credit=0)
            site.run_targets(changes=0)
            await asyncio.sleep(5.0)
            isolated = site.hosts[7]
            isolated.is_cut_off = True
            confirmed_at = await site.drain_target("t1")
            self.assertFalse(isolated.targets["t1"].registration.draining)
            return isolated.lease_until - confirmed_at

        bounds = leader_site.SETTINGS.bounds
        self.assertLessEqual(self._run(isolate_host), bounds.drain)

    def test_a_draining_target_waits_no_longer_than_hosts_need(self):
        """Guards against drain reports that are repeated.

        A target repeats a report that is not answered within a second.
        """

        async def apply_load(site):
            site.run_hosts(every=0.3, credit=150)
            site.run_targets(changes=40)
            await asyncio.sleep(5.0)
            started_at = site.loop.time()
            confirmed_at = await site.drain_target("t1")
            self.assertTrue(
                all(
                    host.targets["t1"].registration.draining
                    for host in site.hosts
                )
            )
            return confirmed_at - started_at

        self.assertLess(self._run(apply_load), 1.0)
