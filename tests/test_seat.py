"""The seat of the host that places models: who holds it, and when it may order.

Leaders, holders and their questions are objects; time is moved by hand.
"""

import asyncio
import types
import unittest
from unittest import mock

from endivestream import clock
from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.process import planner_lease_manager
from endivestream.process import seat as seat_lib
from endivestream.version import members as members_lib
from endivestream.version import seat as record_lib
from endivestream.version import state as state_lib
import hypothesis
from hypothesis import strategies as st

from tests import test_site_planner

PAUSE = 3.0
MEMBERS = members_lib.Members(
    voters=tuple(members_lib.Member(f"m{n}", "", f"a{n}") for n in range(2)),
    learners=(members_lib.Member("m2", "", "a2"),),
)


class Log:
    """The replicated log, as every leader has it."""

    def __init__(self):
        self.state = state_lib.State()
        self.term = 1
        self.replica = types.SimpleNamespace(members=MEMBERS, first_own=1)

    async def propose(self, command):
        return self.state.apply(1, command)


class SeatTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        patch = mock.patch.object(clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        poll = mock.patch.object(
            planner_lease_manager, "_POLL_TIMEOUT_SECONDS", 0.0
        )
        poll.start()
        self.addCleanup(poll.stop)
        self.log = Log()
        self.sessions = {}
        self.changed = []
        self.desk = self._lead("m0")

    def _lead(self, host):
        self.log.term += 1
        return planner_lease_manager.PlannerLeaseManager(
            host=host,
            replicator=self.log,
            pause=PAUSE,
            sessions=lambda: self.sessions,
            changed=self.changed.extend,
        )

    async def _ask(self, host, position=None):
        return await self.desk.ask(
            site_messages.AskSeat(
                host=host, position=position or site_messages.Position()
            )
        )

    async def test_the_first_seat_goes_to_a_host_that_will_not_lead(self):
        """The leader dies, and a voter takes over; orders go on meanwhile."""
        self.assertEqual("", (await self._ask("m0@a0")).holder)
        self.assertEqual("", (await self._ask("m1@a1")).holder)
        told = await self._ask("m2@a2")
        self.assertEqual("m2@a2", told.holder)
        self.assertEqual(0.0, told.wait)

    async def test_a_leader_without_others_takes_it_after_a_while(self):
        for _ in range(2):
            self.assertEqual("", (await self._ask("m0")).holder)
            self.now += 0.7
        self.assertEqual("m0", (await self._ask("m0")).holder)

    async def test_a_lost_leader_stops_no_orders(self):
        """Callers wait for a model while the leader dies.

        The holder goes on by its lease; the next leader finds it in the log
        and gives it the next lease at once. Without the seat each new leader
        waited out a pause of its own, and nothing was loaded for 3.4 s.
        """
        first = await self._ask("m1")
        self.now += 1.3
        self.desk = self._lead("m2")
        again = await self._ask("m1")
        self.assertEqual("m1", again.holder)
        self.assertEqual(first.fence, again.fence)
        self.assertEqual(0.0, again.wait)
        self.assertGreater(first.seconds, 1.3)

    async def test_a_new_holder_waits(self):
        """An engine never sees two holders close together.

        The holder dies; another gets the seat only once its lease is surely
        over, and orders nothing for the whole pause after that.
        """
        old = await self._ask("m1")
        self.now += old.seconds
        lease_end = self.now
        self.assertEqual("m1", (await self._ask("m2")).holder)
        self.now += 0.5
        new = await self._ask("m2")
        self.assertEqual("m2", new.holder)
        self.assertGreater(new.fence, old.fence)
        self.assertGreaterEqual(self.now + new.wait, lease_end + PAUSE)

    async def test_models_are_placed_soon_after_the_holder_is_lost(self):
        """Guards against late placement of models after demand moves."""
        await self._ask("m1")
        lost_at = self.now
        new = await self._ask("m2")
        while new.holder != "m2":
            self.now += 0.1
            new = await self._ask("m2")
        self.assertLess(self.now + new.wait, lost_at + PAUSE + 2.0)

    async def test_the_first_holder_in_an_old_log_waits(self):
        """Hosts are restarted with a new version, one after the other.

        The leader before has ordered loads itself until just now, and the log
        names no holder yet.
        """
        self.log.replica.first_own = 700
        told = await self._ask("m2")
        self.assertEqual("m2", told.holder)
        self.assertGreaterEqual(told.wait, PAUSE)

    async def test_a_pause_outlives_the_leader_that_began_it(self):
        """Engines see no second holder early because a leader is lost too.

        A holder is lost; its successor waits, and the leader that appointed it
        dies. The next one does not know when that was, and begins the pause
        anew; once it is over that is in the log, for all later leaders.
        """
        old = await self._ask("m1")
        self.now += old.seconds + 0.5
        self.assertEqual("m2", (await self._ask("m2")).holder)
        self.now += 0.5
        self.desk = self._lead("m0")
        self.assertGreaterEqual((await self._ask("m2")).wait, PAUSE)
        for _ in range(9):
            self.now += 0.5
            told = await self._ask("m2")
        self.assertEqual(0.0, told.wait)
        self.desk = self._lead("m1")
        self.assertEqual(0.0, (await self._ask("m2")).wait)

    async def test_a_new_leader_replaces_nobody_whose_lease_may_run(self):
        """It does not know when the leader before gave the last lease."""
        await self._ask("m1")
        self.now += 10.0
        self.desk = self._lead("m2")
        self.assertEqual("m1", (await self._ask("m2")).holder)

    async def test_a_machine_that_takes_a_lost_ones_name_is_another(self):
        """It bears the name, but engines see orders of two machines."""
        lost = test_site_planner.settings()
        other = lost._replace(peers="tcp://10.0.0.2:1")
        self.assertNotEqual(lost.machine, other.machine)

    async def test_the_feed_tells_each_item_once(self):
        """What is appended while a question waits goes along with it."""
        told = await self._ask("m1")
        self.assertTrue(told.fresh)
        self.desk.missing(site_messages.Missing(host="e1", demand=()))
        told = await self._ask("m1", told.position)
        self.assertFalse(told.fresh)
        self.assertEqual(1, len(told.items))
        told = await self._ask("m1", told.position)
        self.assertEqual((), told.items)

    async def test_a_holder_that_missed_items_begins_anew(self):
        """More came than is kept; what it knows would have a gap."""
        said = registry_lib.Registration(
            name="t1", service="s", address="a", domain="d"
        )
        self.sessions["t1"] = registry_lib.Session(said, 0.0)
        told = await self._ask("m1")
        for _ in range(planner_lease_manager._MAX_FEED_ITEMS + 1):
            self.desk.missing(site_messages.Missing(host="e1", demand=()))
        told = await self._ask("m1", told.position)
        self.assertTrue(told.fresh)
        reports = [
            item
            for item in told.items
            if isinstance(item, site_messages.FedReport)
        ]
        self.assertEqual([said], [item.said for item in reports])

    async def test_an_older_notice_changes_nothing(self):
        """Two notices overtake each other on their way to the leader.

        Entry hosts would send requests for a model that is being unloaded.
        """
        fence = (await self._ask("m1")).fence
        said = registry_lib.Registration(
            name="t1", service="s", address="a", domain="d"
        )
        self.sessions["t1"] = registry_lib.Session(said, 0.0)
        for number, closing in ((2, ("m",)), (1, ())):
            notice = site_messages.Notice(
                target="t1", number=number, closing=closing
            )
            self.desk.told(
                site_messages.TellNotices(fence=fence, notices=(notice,))
            )
        self.assertEqual(("m",), self.desk.notice("t1").closing)
        self.assertEqual(["t1"], self.changed)

    async def test_a_new_holders_lower_notice_number_is_accepted(self):
        """Guards against dropping a new holder's notices as outdated."""
        told = await self._ask("m1")
        old_fence = told.fence
        said = registry_lib.Registration(
            name="t1", service="s", address="a", domain="d"
        )
        self.sessions["t1"] = registry_lib.Session(said, 0.0)
        self._send_notice(old_fence, 9_000_000, adapters=("m/a1",))
        self.now += told.seconds + 0.5
        new_fence = (await self._ask("m2")).fence
        self.assertGreater(new_fence, old_fence)
        self._send_notice(new_fence, 5, adapters=("m/a2",))
        self.assertEqual(("m/a2",), self.desk.notice("t1").adapters)
        self._send_notice(new_fence, 4, adapters=("m/a3",))
        self.assertEqual(("m/a2",), self.desk.notice("t1").adapters)
        self.assertEqual(["t1", "t1"], self.changed)

    async def test_a_new_leader_keeps_notices_of_unreported_targets(self):
        """Guards against losing a target's adapters on a change of leader."""
        told = await self._ask("m1")
        self._send_notice(told.fence, 1, adapters=("m/a1",))
        self.desk.set_targets((), complete=False)
        self.assertEqual(("m/a1",), self.desk.notice("t1").adapters)
        self.desk.set_targets((), complete=True)
        self.assertEqual((), self.desk.notice("t1").adapters)

    def _send_notice(self, fence, number, **fields):
        notice = site_messages.Notice(target="t1", number=number, **fields)
        self.desk.told(
            site_messages.TellNotices(fence=fence, notices=(notice,))
        )

    async def test_an_old_holders_notice_changes_nothing(self):
        fence = (await self._ask("m1")).fence
        notice = site_messages.Notice(target="t1", number=9, closing=("m",))
        self.desk.told(
            site_messages.TellNotices(fence=fence - 1, notices=(notice,))
        )
        self.assertEqual((), self.desk.notice("t1").closing)


class RecordTest(unittest.TestCase):
    def test_of_two_appointments_the_first_holds(self):
        """Two leaders in a row appoint; the second did not know the first."""
        seat = record_lib.Seat()
        seat.apply(record_lib.Appoint(holder="a", after=0, term=3))
        seat.apply(record_lib.Appoint(holder="b", after=0, term=4))
        self.assertEqual("a", seat.record.holder)
        self.assertEqual(3, seat.record.fence)

    def test_a_fence_is_above_the_one_before_and_not_below_the_term(self):
        seat = record_lib.Seat()
        seat.apply(record_lib.Appoint(holder="a", after=0, term=3))
        seat.apply(record_lib.Appoint(holder="b", after=3, term=3))
        self.assertEqual(4, seat.record.fence)
        seat.apply(record_lib.Appoint(holder="a", after=4, term=9))
        self.assertEqual(9, seat.record.fence)

    def test_only_the_holder_of_the_fence_is_settled(self):
        seat = record_lib.Seat()
        seat.apply(record_lib.Appoint(holder="a", after=0, term=3))
        seat.apply(record_lib.Appoint(holder="b", after=3, term=3))
        seat.apply(record_lib.Settle(fence=3))
        self.assertFalse(seat.record.settled)
        seat.apply(record_lib.Settle(fence=4))
        self.assertTrue(seat.record.settled)

    def test_it_survives_a_snapshot(self):
        state = state_lib.State()
        state.apply(1, record_lib.Appoint(holder="a", after=0, term=3))
        other = state_lib.State()
        other.restore(state.snapshot())
        self.assertEqual(state.seat.record, other.seat.record)


class Host:
    """A host that asks for the seat, cut off and frozen at will."""

    def __init__(self, name, test):
        self.name = name
        self.test = test
        self.position = site_messages.Position()
        self.lease_until = float("-inf")
        self.orders_from = float("-inf")
        self.cut = False

    async def ask(self):
        """Asks; the answer may take a while, and the lease runs meanwhile."""
        if self.cut:
            return
        asked = self.test.now
        told = await self.test.desk.ask(
            site_messages.AskSeat(host=self.name, position=self.position)
        )
        if told.holder == self.name:
            self.position = told.position
            self.lease_until = asked + told.seconds
            self.orders_from = self.test.now + told.wait
        else:
            self.lease_until = float("-inf")

    @property
    def may_order(self):
        return self.orders_from <= self.test.now < self.lease_until


class TurnsTest(unittest.TestCase):
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
    def test_holders_never_take_turns_within_the_pause(self, events):
        """Hosts are cut off, leaders come and go; all others keep asking.

        Whoever may order is the only one, and nobody else could order within
        the pause before: engines would take both for the holder.
        """
        asyncio.run(self._play(events))

    async def _play(self, events):
        self.now = 0.0
        with (
            mock.patch.object(clock, "now", lambda: self.now),
            mock.patch.object(
                planner_lease_manager, "_POLL_TIMEOUT_SECONDS", 0.0
            ),
        ):
            log = Log()
            hosts = [Host(f"m{n}", self) for n in range(3)]
            self.desk = self._lead(log, "m0")
            last = {}
            for event, number, steps in events:
                host = hosts[number]
                if event == "lead":
                    log.term += 1
                    self.desk = self._lead(log, host.name)
                else:
                    host.cut = event == "cut"
                for _ in range(steps):
                    for each in hosts:
                        await each.ask()
                    self.now += 0.25
                    self._check(hosts, last)

    def _check(self, hosts, last):
        for host in hosts:
            if not host.may_order:
                continue
            last[host.name] = self.now
            for other, at in last.items():
                if other != host.name:
                    self.assertGreaterEqual(self.now - at, PAUSE)

    def _lead(self, log, host):
        return planner_lease_manager.PlannerLeaseManager(
            host=host,
            replicator=log,
            pause=PAUSE,
            sessions=dict,
            changed=lambda names: None,
        )


class HolderTest(unittest.IsolatedAsyncioTestCase):
    """The holder's task, against a leader that answers by a script."""

    async def asyncSetUp(self):
        self.answers = asyncio.Queue()
        self.sent = []
        self.seat = seat_lib.Seat(
            host="m1",
            settings=test_site_planner.settings(),
            engines=test_site_planner.FakeEngines(()),
            call=self._call,
            document=lambda: test_site_planner.document(),
        )
        self.seat.start()
        self.addAsyncCleanup(self.seat.close)

    async def _call(self, message, *, seconds):
        self.sent.append(message)
        if isinstance(message, site_messages.AskSeat):
            return await self.answers.get()
        return site_messages.Registered()

    async def _until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.001)

    async def _grant(self, **fields):
        told = {"holder": "m1", "fence": 5, "seconds": 60.0, **fields}
        await self.answers.put(site_messages.ToldSeat(**told))

    async def test_it_orders_only_while_its_lease_runs(self):
        self.assertFalse(self.seat.holds)
        await self._grant()
        await self._until(lambda: self.seat.holds)
        await self._grant(seconds=0.0)
        await self._until(lambda: not self.seat.holds)

    async def test_it_orders_nothing_before_its_pause_has_passed(self):
        await self._grant(wait=30.0)
        await self._until(lambda: len(self.sent) > 1)
        self.assertFalse(self.seat.holds)

    async def test_a_host_that_lost_the_seat_stops(self):
        await self._grant()
        await self._until(lambda: self.seat.holds)
        await self._grant(holder="m2")
        await self._until(lambda: not self.seat.holds)

    async def test_a_new_leader_is_told_everything(self):
        """Entry hosts would send requests for what is about to be unloaded.

        The leader's tables are soft: the next one knows no notice.
        """
        said = registry_lib.Registration(
            name="t1", service="s", address="a", domain="d"
        )
        report = site_messages.FedReport(said=said)
        for term in (1, 2):
            await self._grant(
                position=site_messages.Position(term, 1),
                fresh=True,
                items=(report,),
            )
        await self._until(
            lambda: (
                sum(
                    isinstance(m, site_messages.TellNotices)
                    and [n.target for n in m.notices] == ["t1"]
                    for m in self.sent
                )
                == 2
            )
        )


if __name__ == "__main__":
    unittest.main()
