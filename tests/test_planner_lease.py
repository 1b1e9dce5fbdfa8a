"""Tests of the planner lease: which host holds it, and when it may order.

Leaders and holders are objects in one process, and the clock is set by hand.
"""

import asyncio
import types
import unittest
from unittest import mock

from endivestream import clock
from endivestream import placement_messages
from endivestream import site_messages
from endivestream import table_position
from endivestream.connection import registry as registry_lib
from endivestream.process import planner_lease_holder
from endivestream.process import planner_lease_manager
from endivestream.version import members as members_lib
from endivestream.version import planner_lease as planner_lease_lib
from endivestream.version import state as state_lib
import hypothesis
from hypothesis import strategies as st
import msgspec

from tests import test_site_planner

PAUSE_SECONDS = 3.0
MEMBERS = members_lib.Members(
    voters=tuple(members_lib.Member(f"m{n}", "", f"a{n}") for n in range(2)),
    learners=(members_lib.Member("m2", "", "a2"),),
)


class Log:
    """Replicated log, shared by all leaders of a test."""

    def __init__(self):
        self.state = state_lib.State()
        self.term = 1
        self.replica = types.SimpleNamespace(
            members=MEMBERS, first_index_of_term=1
        )

    async def propose(self, command):
        return self.state.apply(1, command)


class PlannerLeaseManagerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        clock_patch = mock.patch.object(clock, "now", lambda: self.now)
        clock_patch.start()
        self.addCleanup(clock_patch.stop)
        poll_patch = mock.patch.object(
            planner_lease_manager, "_POLL_TIMEOUT_SECONDS", 0.0
        )
        poll_patch.start()
        self.addCleanup(poll_patch.stop)
        self.log = Log()
        self.sessions = {}
        self.changed = []
        self.manager = self._create_manager("m0")

    def _create_manager(self, host):
        self.log.term += 1
        return planner_lease_manager.PlannerLeaseManager(
            host=host,
            replicator=self.log,
            holder_pause_seconds=PAUSE_SECONDS,
            sessions=lambda: self.sessions,
            on_targets_changed=self.changed.extend,
        )

    async def _request_lease(self, host, position=None):
        return await self.manager.handle_lease_request(
            placement_messages.AskSeat(
                host=host, position=position or table_position.Position()
            )
        )

    async def test_the_first_lease_goes_to_a_learner(self):
        """Guards against stopped orders when the leader fails.

        A voter takes over the lead. The holder is neither the leader nor a
        voter, so it is not affected.
        """
        self.assertEqual("", (await self._request_lease("m0@a0")).holder)
        self.assertEqual("", (await self._request_lease("m1@a1")).holder)
        answer = await self._request_lease("m2@a2")
        self.assertEqual("m2@a2", answer.holder)
        self.assertEqual(0.0, answer.wait)

    async def test_a_leader_without_other_hosts_acquires_the_lease(self):
        """Guards against a site that places no models for lack of a holder."""
        for _ in range(2):
            self.assertEqual("", (await self._request_lease("m0")).holder)
            self.now += 0.7
        self.assertEqual("m0", (await self._request_lease("m0")).holder)

    async def test_orders_continue_without_a_leader(self):
        """Guards against models that are not loaded while a leader is elected.

        The holder continues under its lease. The next leader finds the holder
        in the log and immediately grants it the next lease. Without the planner
        lease each new leader waited for a pause of its own, and nothing was
        loaded for 3.4 s.
        """
        first_answer = await self._request_lease("m1")
        self.now += 1.3
        self.manager = self._create_manager("m2")
        next_answer = await self._request_lease("m1")
        self.assertEqual("m1", next_answer.holder)
        self.assertEqual(first_answer.fence, next_answer.fence)
        self.assertEqual(0.0, next_answer.wait)
        self.assertGreater(first_answer.seconds, 1.3)

    async def test_a_new_holder_waits_for_lease_end_and_pause(self):
        """Guards against orders of two holders to an engine in a short time.

        The holder fails. Another host acquires the lease only after the
        previous lease has expired, and sends no orders for the full pause after
        that.
        """
        old_answer = await self._request_lease("m1")
        self.now += old_answer.seconds
        lease_end = self.now
        self.assertEqual("m1", (await self._request_lease("m2")).holder)
        self.now += 0.5
        new_answer = await self._request_lease("m2")
        self.assertEqual("m2", new_answer.holder)
        self.assertGreater(new_answer.fence, old_answer.fence)
        self.assertGreaterEqual(
            self.now + new_answer.wait, lease_end + PAUSE_SECONDS
        )

    async def test_models_are_placed_soon_after_the_holder_fails(self):
        """Guards against late placement of models after demand moves."""
        await self._request_lease("m1")
        holder_lost_at = self.now
        new_answer = await self._request_lease("m2")
        while new_answer.holder != "m2":
            self.now += 0.1
            new_answer = await self._request_lease("m2")
        self.assertLess(
            self.now + new_answer.wait, holder_lost_at + PAUSE_SECONDS + 2.0
        )

    async def test_the_first_holder_in_an_older_versions_log_waits(self):
        """Guards against orders of two hosts during an upgrade.

        Hosts are restarted with a new version one by one. The previous leader
        has sent orders itself until now, and the log contains no holder yet.
        """
        self.log.replica.first_index_of_term = 700
        answer = await self._request_lease("m2")
        self.assertEqual("m2", answer.holder)
        self.assertGreaterEqual(answer.wait, PAUSE_SECONDS)

    async def test_a_pause_outlives_the_leader_that_started_it(self):
        """Guards against a shortened pause when the leader fails too.

        A holder fails, its successor waits, and the leader that appointed the
        successor fails. The next leader has no record of the appointment's time
        and restarts the pause. The end of the pause is recorded in the log for
        all later leaders.
        """
        old_answer = await self._request_lease("m1")
        self.now += old_answer.seconds + 0.5
        self.assertEqual("m2", (await self._request_lease("m2")).holder)
        self.now += 0.5
        self.manager = self._create_manager("m0")
        self.assertGreaterEqual(
            (await self._request_lease("m2")).wait, PAUSE_SECONDS
        )
        for _ in range(9):
            self.now += 0.5
            answer = await self._request_lease("m2")
        self.assertEqual(0.0, answer.wait)
        self.manager = self._create_manager("m1")
        self.assertEqual(0.0, (await self._request_lease("m2")).wait)

    async def test_a_new_leader_replaces_no_holder_with_a_valid_lease(
        self,
    ):
        """Guards against two holders with valid leases.

        A new leader has no record of when its predecessor granted the last
        lease.
        """
        await self._request_lease("m1")
        self.now += 10.0
        self.manager = self._create_manager("m2")
        self.assertEqual("m1", (await self._request_lease("m2")).holder)

    async def test_a_replacement_machine_has_its_own_identity(
        self,
    ):
        """Guards against two machines with one identity.

        A machine that replaces a failed one takes its name, but engines receive
        orders from two machines.
        """
        original = test_site_planner.settings()
        replacement = original._replace(peers="tcp://10.0.0.2:1")
        self.assertNotEqual(original.host_identity, replacement.host_identity)

    async def test_each_feed_item_is_sent_once(self):
        """Guards against feed items that are lost or repeated.

        An item is appended between two requests of the holder.
        """
        answer = await self._request_lease("m1")
        self.assertTrue(answer.is_complete_state)
        self.manager.forward_missing_models(
            placement_messages.Missing(host="e1", demand=())
        )
        answer = await self._request_lease("m1", answer.position)
        self.assertFalse(answer.is_complete_state)
        self.assertEqual(1, len(answer.items))
        answer = await self._request_lease("m1", answer.position)
        self.assertEqual((), answer.items)

    async def test_a_holder_that_missed_items_receives_a_full_feed(self):
        """Guards against a gap in the holder's state.

        More items are appended between two requests than the leader keeps.
        """
        registration = registry_lib.Registration(
            name="t1", service="s", address="10.0.0.1:80", domain="d"
        )
        self.sessions["t1"] = registry_lib.Session(registration, 0.0)
        answer = await self._request_lease("m1")
        for _ in range(planner_lease_manager._MAX_FEED_ITEMS + 1):
            self.manager.forward_missing_models(
                placement_messages.Missing(host="e1", demand=())
            )
        answer = await self._request_lease("m1", answer.position)
        self.assertTrue(answer.is_complete_state)
        reports = [
            item
            for item in answer.items
            if isinstance(item, placement_messages.FeedTargetReport)
        ]
        self.assertEqual(
            [registration], [item.registration for item in reports]
        )

    async def test_an_outdated_placement_update_is_ignored(self):
        """Guards against requests for a model that is being unloaded.

        Two placement updates reach the leader in the wrong order.
        """
        fence = (await self._request_lease("m1")).fence
        registration = registry_lib.Registration(
            name="t1", service="s", address="10.0.0.1:80", domain="d"
        )
        self.sessions["t1"] = registry_lib.Session(registration, 0.0)
        for number, closing in ((2, ("m",)), (1, ())):
            update = placement_messages.PlacementUpdate(
                target="t1", number=number, unloading=closing
            )
            self.manager.store_placement_updates(
                placement_messages.TellNotices(
                    fence=fence, placement_updates=(update,)
                )
            )
        self.assertEqual(("m",), self.manager.placement_update("t1").unloading)
        self.assertEqual(["t1"], self.changed)

    async def test_a_lower_update_number_of_a_new_holder_is_accepted(self):
        """Guards against dropping a new holder's updates as outdated."""
        answer = await self._request_lease("m1")
        old_fence = answer.fence
        registration = registry_lib.Registration(
            name="t1", service="s", address="10.0.0.1:80", domain="d"
        )
        self.sessions["t1"] = registry_lib.Session(registration, 0.0)
        self._send_update(old_fence, 9_000_000, adapters=("m/a1",))
        self.now += answer.seconds + 0.5
        new_fence = (await self._request_lease("m2")).fence
        self.assertGreater(new_fence, old_fence)
        self._send_update(new_fence, 5, adapters=("m/a2",))
        self.assertEqual(
            ("m/a2",), self.manager.placement_update("t1").adapters
        )
        self._send_update(new_fence, 4, adapters=("m/a3",))
        self.assertEqual(
            ("m/a2",), self.manager.placement_update("t1").adapters
        )
        self.assertEqual(["t1", "t1"], self.changed)

    async def test_a_new_leader_keeps_updates_of_unreported_targets(self):
        """Guards against losing a target's adapters on a change of leader."""
        answer = await self._request_lease("m1")
        self._send_update(answer.fence, 1, adapters=("m/a1",))
        self.manager.set_targets((), complete=False)
        self.assertEqual(
            ("m/a1",), self.manager.placement_update("t1").adapters
        )
        self.manager.set_targets((), complete=True)
        self.assertEqual((), self.manager.placement_update("t1").adapters)

    def _send_update(self, fence, number, **fields):
        update = placement_messages.PlacementUpdate(
            target="t1", number=number, **fields
        )
        self.manager.store_placement_updates(
            placement_messages.TellNotices(
                fence=fence, placement_updates=(update,)
            )
        )

    async def test_a_placement_update_of_a_previous_holder_is_ignored(self):
        """Guards against decisions of a host that has lost the lease."""
        fence = (await self._request_lease("m1")).fence
        update = placement_messages.PlacementUpdate(
            target="t1", number=9, unloading=("m",)
        )
        self.manager.store_placement_updates(
            placement_messages.TellNotices(
                fence=fence - 1, placement_updates=(update,)
            )
        )
        self.assertEqual((), self.manager.placement_update("t1").unloading)


class LeaseRecordTest(unittest.TestCase):
    def test_the_first_of_two_concurrent_appointments_is_kept(self):
        """Guards against two holders when leaders appoint concurrently.

        The second leader proposes its appointment before it has applied the
        first one.
        """
        lease = planner_lease_lib.PlannerLease()
        lease.apply(
            planner_lease_lib.GrantPlannerLease(
                holder="a", previous_fence=0, term=3
            )
        )
        lease.apply(
            planner_lease_lib.GrantPlannerLease(
                holder="b", previous_fence=0, term=4
            )
        )
        self.assertEqual("a", lease.record.holder)
        self.assertEqual(3, lease.record.fence)

    def test_fencing_tokens_increase_and_are_not_below_the_term(self):
        """Guards against a fencing token that is used by two holders."""
        lease = planner_lease_lib.PlannerLease()
        lease.apply(
            planner_lease_lib.GrantPlannerLease(
                holder="a", previous_fence=0, term=3
            )
        )
        lease.apply(
            planner_lease_lib.GrantPlannerLease(
                holder="b", previous_fence=3, term=3
            )
        )
        self.assertEqual(4, lease.record.fence)
        lease.apply(
            planner_lease_lib.GrantPlannerLease(
                holder="a", previous_fence=4, term=9
            )
        )
        self.assertEqual(9, lease.record.fence)

    def test_only_the_holder_of_the_fencing_token_is_settled(self):
        """Guards against a late record that ends the pause of a new holder."""
        lease = planner_lease_lib.PlannerLease()
        lease.apply(
            planner_lease_lib.GrantPlannerLease(
                holder="a", previous_fence=0, term=3
            )
        )
        lease.apply(
            planner_lease_lib.GrantPlannerLease(
                holder="b", previous_fence=3, term=3
            )
        )
        lease.apply(planner_lease_lib.ConfirmPlannerLease(fence=3))
        self.assertFalse(lease.record.settled)
        lease.apply(planner_lease_lib.ConfirmPlannerLease(fence=4))
        self.assertTrue(lease.record.settled)

    def test_the_lease_record_survives_a_snapshot(self):
        """Guards against a holder that is missing after a restart."""
        state = state_lib.State()
        state.apply(
            1,
            planner_lease_lib.GrantPlannerLease(
                holder="a", previous_fence=0, term=3
            ),
        )
        other = state_lib.State()
        other.restore(state.snapshot())
        self.assertEqual(state.planner_lease.record, other.planner_lease.record)


class Host:
    """A host that requests the lease; it can be cut off from the leader."""

    def __init__(self, name, test):
        self.name = name
        self.test = test
        self.position = table_position.Position()
        self.lease_until = float("-inf")
        self.orders_from = float("-inf")
        self.is_cut_off = False

    async def ask(self):
        """Requests the lease, which is valid from the time of the request."""
        if self.is_cut_off:
            return
        requested_at = self.test.now
        answer = await self.test.manager.handle_lease_request(
            placement_messages.AskSeat(host=self.name, position=self.position)
        )
        if answer.holder == self.name:
            self.position = answer.position
            self.lease_until = requested_at + answer.seconds
            self.orders_from = self.test.now + answer.wait
        else:
            self.lease_until = float("-inf")

    @property
    def may_order(self):
        return self.orders_from <= self.test.now < self.lease_until


class SingleHolderTest(unittest.TestCase):
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["cut", "heal", "lead"]),
                st.integers(0, 2),
                st.integers(0, 16),
            ),
            max_size=30,
        )
    )
    @hypothesis.settings(max_examples=200)
    def test_no_two_hosts_may_order_within_the_pause(self, events):
        """Guards against orders of two hosts within the pause.

        Hosts are cut off and leaders change while all other hosts keep
        requesting the lease. Engines would accept both hosts as the holder.
        """
        asyncio.run(self._run_events(events))

    async def _run_events(self, events):
        self.now = 0.0
        with (
            mock.patch.object(clock, "now", lambda: self.now),
            mock.patch.object(
                planner_lease_manager, "_POLL_TIMEOUT_SECONDS", 0.0
            ),
        ):
            log = Log()
            hosts = [Host(f"m{n}", self) for n in range(3)]
            self.manager = self._create_manager(log, "m0")
            last_order_times = {}
            for event, number, steps in events:
                host = hosts[number]
                if event == "lead":
                    log.term += 1
                    self.manager = self._create_manager(log, host.name)
                else:
                    host.is_cut_off = event == "cut"
                for _ in range(steps):
                    for requester in hosts:
                        await requester.ask()
                    self.now += 0.25
                    self._check(hosts, last_order_times)

    def _check(self, hosts, last_order_times):
        for host in hosts:
            if not host.may_order:
                continue
            last_order_times[host.name] = self.now
            for other, at in last_order_times.items():
                if other != host.name:
                    self.assertGreaterEqual(self.now - at, PAUSE_SECONDS)

    def _create_manager(self, log, host):
        return planner_lease_manager.PlannerLeaseManager(
            host=host,
            replicator=log,
            holder_pause_seconds=PAUSE_SECONDS,
            sessions=dict,
            on_targets_changed=lambda names: None,
        )


class PlannerHostTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the holder's task against a leader with scripted answers."""

    async def asyncSetUp(self):
        self.answers = asyncio.Queue()
        self.sent = []
        self.lease_holder = planner_lease_holder.PlannerLeaseHolder(
            host="m1",
            settings=test_site_planner.settings(),
            engines=test_site_planner.FakeEngines(()),
            call=self._call,
            document=lambda: test_site_planner.document(),
            evacuated_domains=frozenset,
        )
        self.lease_holder.start()
        self.addAsyncCleanup(self.lease_holder.close)

    async def _call(self, message, *, seconds):
        self.sent.append(message)
        if isinstance(message, placement_messages.AskSeat):
            return await self.answers.get()
        return site_messages.Registered()

    async def _wait_until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.001)

    async def _put_answer(self, **fields):
        grant = {"holder": "m1", "fence": 5, "seconds": 60.0, **fields}
        await self.answers.put(placement_messages.ToldSeat(**grant))

    async def test_a_holder_orders_only_while_its_lease_is_valid(self):
        """Guards against orders before the first lease or after the last."""
        self.assertFalse(self.lease_holder.has_lease)
        await self._put_answer()
        await self._wait_until(lambda: self.lease_holder.has_lease)
        await self._put_answer(seconds=0.0)
        await self._wait_until(lambda: not self.lease_holder.has_lease)

    async def test_a_holder_orders_nothing_before_its_pause_has_passed(self):
        """Guards against orders soon after those of the previous holder."""
        await self._put_answer(wait=30.0)
        await self._wait_until(lambda: len(self.sent) > 1)
        self.assertFalse(self.lease_holder.has_lease)

    async def test_a_host_that_lost_the_lease_stops(self):
        """Guards against orders after another host has acquired the lease."""
        await self._put_answer()
        await self._wait_until(lambda: self.lease_holder.has_lease)
        await self._put_answer(holder="m2")
        await self._wait_until(lambda: not self.lease_holder.has_lease)

    async def test_a_new_leader_receives_all_placement_updates(self):
        """Guards against requests for a model that is about to be unloaded.

        The leader's tables are soft state, so a new leader has no placement
        updates.
        """
        registration = registry_lib.Registration(
            name="t1", service="s", address="10.0.0.1:80", domain="d"
        )
        report = placement_messages.FeedTargetReport(registration=registration)
        for term in (1, 2):
            await self._put_answer(
                position=table_position.Position(term, 1),
                is_complete_state=True,
                items=(report,),
            )
            await self._wait_until(lambda n=term: self._count_updates() == n)

    def _count_updates(self):
        return sum(
            isinstance(m, placement_messages.TellNotices)
            and [n.target for n in m.placement_updates] == ["t1"]
            for m in self.sent
        )

    async def test_an_odd_registration_is_skipped(self):
        """Guards against a report of another build that ends the planning."""
        registration = registry_lib.Registration(
            name="t1", service="s", address="10.0.0.1:80", domain="d"
        )
        odd = msgspec.structs.replace(
            registration, name="odd", address="10.0.0.1:84220"
        )
        await self._put_answer(
            position=table_position.Position(1, 1),
            is_complete_state=True,
            items=tuple(
                placement_messages.FeedTargetReport(registration=each)
                for each in (odd, registration)
            ),
        )
        await self._wait_until(lambda: self._count_updates() == 1)
        self.assertTrue(self.lease_holder.has_lease)

    async def test_changes_while_an_update_is_under_way_share_the_next(self):
        """Guards against a queue at the leader of an update for each change."""
        release = asyncio.Event()
        pending = []

        async def call(message, *, seconds):
            if isinstance(message, placement_messages.TellNotices):
                pending.append(message)
                await release.wait()
            return await self._call(message, seconds=seconds)

        self.lease_holder._call = call
        await self._put_answer(is_complete_state=True)
        await self._wait_until(lambda: self.lease_holder.has_lease)
        for number in range(10):
            self.lease_holder._send_placement_updates([f"t{number % 2}"])
            await asyncio.sleep(0)
        await self._wait_until(lambda: pending)
        self.assertEqual(1, len(pending))
        release.set()
        await self._wait_until(lambda: len(pending) == 2)
        self.assertEqual(
            ["t0", "t1"],
            [update.target for update in pending[1].placement_updates],
        )


if __name__ == "__main__":
    unittest.main()
