"""Tests of the leader's table updates: batched, pushed once, never missed."""

import asyncio
import unittest

from endivestream import clock
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import registry as registry_lib
from endivestream.process import entry as entry_lib
from endivestream.process import table_updates
from endivestream.request import names as names_lib
import hypothesis
from hypothesis import strategies as st
from soak import virtual_time

from tests import leader_site
from tests import test_document

NAMES = ("t0", "t1", "t2")
ENTRY = leader_site.SETTINGS._replace(name="e0", callers="127.0.0.1:0")
# Lost updates, and deliveries after them, are more frequent than the steps that
# repair a table.
_STEP_NAMES = (
    "change change change remove deliver deliver deliver drop drop renew "
    "document"
)
STEPS = st.tuples(
    st.sampled_from([*_STEP_NAMES.split(), "full", "elect"]),
    st.sampled_from(NAMES),
)


def target(name, number):
    registration = registry_lib.Registration(
        name=name,
        service="llm",
        address=leader_site.target_address(name),
        domain="a",
        report_number=number,
    )
    return site_messages.Target(registration=registration)


class Leader:
    """A table with its updates; pushes wait to be delivered or dropped."""

    def __init__(self, *, term=1):
        self.table = {}
        self.number = 0
        self.pushed = []
        self.updates = table_updates.TableUpdates(
            term=term,
            push=self._push,
            peers=lambda: [b"e0"],
            direct_peers=lambda: [b"e0"],
            table_entry=self.table.get,
            full_table=lambda: table_updates.TableSnapshot(
                targets=tuple(self.table.values()), removed=(), complete=True
            ),
            rate_limits=lambda names: (),
        )

    async def _push(self, peers, message):
        del peers
        self.pushed.append(message)

    def change(self, name, *, removed=False):
        self.number += 1
        if removed:
            self.table.pop(name, None)
        else:
            self.table[name] = target(name, self.number)
        self.updates.record_targets([name])


class TableUpdatesTest(unittest.TestCase):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(st.lists(STEPS, max_size=25))
    def test_hosts_recover_from_lost_and_crossing_updates(self, steps):
        """Guards against missed changes and against a return to older ones.

        Updates are lost, are crossed by answers to renewals, or come from a new
        leader.
        """

        async def run():
            entry = entry_lib.Entry(
                settings=ENTRY, names=names_lib.HeaderNames()
            )
            try:
                await self._run_steps(steps, entry)
            finally:
                await entry.close()

        with virtual_time.running() as runner:
            runner.run(run())

    async def _run_steps(self, steps, entry):
        leader = Leader()
        leader.updates.start()
        version = 0
        last_numbers = {}
        for step, name in steps:
            match step:
                case "change":
                    leader.change(name)
                case "remove":
                    leader.change(name, removed=True)
                case "deliver":
                    await asyncio.sleep(0.3)
                    while leader.pushed:
                        entry._take_news(leader.pushed.pop(0))
                case "drop":
                    await asyncio.sleep(0.3)
                    leader.pushed.clear()
                case "renew":
                    # The answer overtakes updates that are still in flight.
                    self._send_renewal(leader, entry)
                case "full":
                    leader.updates.require_full_table()
                case "document":
                    version += 1
                    leader.updates.push_document(
                        test_document.document(version)
                    )
                case "elect":
                    await leader.updates.close()
                    successor = Leader(term=leader.updates.position.term + 1)
                    successor.table.update(leader.table)
                    successor.number = leader.number
                    leader = successor
                    leader.updates.start()
            for known in entry._view.targets.values():
                before = last_numbers.get(known.registration.name, 0)
                self.assertGreaterEqual(
                    known.registration.report_number, before
                )
                last_numbers[known.registration.name] = (
                    known.registration.report_number
                )
        await asyncio.sleep(0.3)
        self._send_renewal(leader, entry)
        for update in leader.pushed:
            entry._take_news(update)
        expected = leader.table
        known = entry._view.targets
        # Targets removed before an election are dropped from the host's table
        # only after some time.
        self.assertEqual({n: known.get(n) for n in expected}, expected)
        await leader.updates.close()

    def _send_renewal(self, leader, entry):
        update = leader.updates.update_since(entry._position)
        if update is not None:
            entry._take_news(update)

    def test_changes_during_a_push_are_batched(self):
        """Guards against a number of pushes that grows with the changes."""

        async def run():
            leader = Leader()
            push = leader._push

            async def slow_push(peers, message):
                await asyncio.sleep(0.02)
                await push(peers, message)

            leader.updates._push = slow_push
            leader.updates.start()
            started_at = clock.now()
            for _ in range(300):
                leader.change("t0")
                leader.change("t1")
                await asyncio.sleep(0.01)
            seconds = clock.now() - started_at
            await asyncio.sleep(1.0)
            await leader.updates.close()
            return seconds, leader.pushed

        with virtual_time.running() as runner:
            seconds, pushed = runner.run(run())
        # A fifth of the event loop's time, at 0.02 s for each push.
        self.assertLessEqual(len(pushed), seconds * 0.2 / 0.02 + 2)
        self.assertEqual(
            {
                t.registration.name: t.registration.report_number
                for t in pushed[-1].targets
            },
            {"t0": 599, "t1": 600},
        )

    def test_a_failed_push_does_not_end_the_updates(self):
        """Guards against hosts without changes for the rest of a term."""

        async def run():
            leader = Leader()
            push = leader._push
            errors = [OverflowError("too large"), KeyError("t0")]

            async def failing_push(peers, message):
                if errors:
                    raise errors.pop()
                await push(peers, message)

            leader.updates._push = failing_push
            leader.updates.start()
            for _ in range(5):
                leader.change("t0")
                await asyncio.sleep(1.0)
            await leader.updates.close()
            return leader.pushed

        restarts = tasks.restarts().get("TableUpdates", 0)
        with virtual_time.running() as runner:
            pushed = runner.run(run())
        self.assertEqual(3, len(pushed))
        self.assertEqual(2, tasks.restarts()["TableUpdates"] - restarts)

    def test_a_renewal_answer_contains_only_missing_changes(self):
        """Guards against answers that grow with the size of the table."""
        leader = Leader()
        for number in range(100):
            leader.change(f"t{number}")
        position = leader.updates.position
        leader.change("t7")
        update = leader.updates.update_since(position)
        self.assertEqual([t.registration.name for t in update.targets], ["t7"])

    def test_a_host_older_than_a_forgotten_removal_gets_the_full_table(self):
        """Guards against removed targets that stay in a host's table."""
        leader = Leader()
        leader.change("t0")
        old_position = leader.updates.position
        leader.change("t0", removed=True)
        leader.change("t1")
        leader.updates.retain_targets({"t1"})
        self.assertIsNone(
            leader.updates.update_since(old_position).base_position
        )
        update = leader.updates.update_since(
            leader.updates.position._replace(number=2)
        )
        self.assertEqual([t.registration.name for t in update.targets], ["t1"])
