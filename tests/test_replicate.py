import asyncio
import contextlib
import pathlib
import tempfile
import unittest
from unittest import mock

from endivestream.version import calls
from endivestream.version import departures
from endivestream.version import members as members_lib
from endivestream.version import protocol
from endivestream.version import replicate
from endivestream.version import storage as storage_lib

TIMING = protocol.Timing(
    heartbeat_seconds=0.01, election_seconds=0.05, lease_seconds=0.04
)


def _begin(number):
    return calls.ClaimCall(
        team="t",
        service="s",
        key=f"k{number}",
        fingerprint="f",
        holder="h/1/a",
        at=0.0,
    )


class ReplicatorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.roles = asyncio.Queue()
        self.failed = []

    def _replicator(self, storage=None):
        async def send(to, address, message):
            pass

        return replicate.Replicator(
            storage=storage or storage_lib.Storage(folder=self.folder),
            name="a",
            address="tcp://x",
            timing=TIMING,
            send=send,
            on_applied=lambda command, result: None,
            on_restored=lambda: None,
            on_leadership_changed=self.roles.put_nowait,
            on_failed=self.failed.append,
        )

    async def _started(self, storage=None, **arguments):
        replicator = self._replicator(storage)
        replicator.start(bootstrap=True, **arguments)
        self.addAsyncCleanup(replicator.close)
        self.assertTrue(await self.roles.get())
        return replicator

    async def test_state_survives_a_restart(self):
        """Committed commands would be lost when the process restarts."""
        first = await self._started()
        await asyncio.gather(*(first.propose(_begin(n)) for n in range(50)))
        await first.close()
        self.roles = asyncio.Queue()
        second = await self._started()
        self.assertEqual(len(second.state.calls), 50)

    async def test_a_command_that_cannot_be_encoded_fails_alone(self):
        """Guards against calls of the same moment that get no result."""
        replicator = await self._started()
        results = await asyncio.gather(
            replicator.propose(_begin(1)),
            replicator.propose(
                departures.Depart(name="t", started_at_ms=2**127)
            ),
            replicator.propose(_begin(2)),
            return_exceptions=True,
        )
        self.assertIsInstance(results[1], OverflowError)
        self.assertEqual(len(replicator.state.calls), 2)
        await replicator.propose(_begin(3))
        self.assertEqual(len(replicator.state.calls), 3)

    async def test_an_entry_that_cannot_be_applied_fails_alone(self):
        """Guards against replicas that skip the rest of different batches."""
        replicator = await self._started()
        apply = replicator.state.apply

        def fail_once(index, command):
            if getattr(command, "key", "") == "k1":
                raise ValueError("of one command")
            return apply(index, command)

        with mock.patch.object(replicator.state, "apply", fail_once):
            async with asyncio.timeout(10):
                results = await asyncio.gather(
                    *(replicator.propose(_begin(n)) for n in range(4)),
                    return_exceptions=True,
                )
        self.assertIsInstance(results[1], ValueError)
        self.assertEqual(len(replicator.state.calls), 3)

    async def test_an_error_after_an_entry_is_applied_ends_nothing(self):
        """Guards against confirmations lost for a part that uses entries."""
        replicator = await self._started()
        fails = mock.Mock(side_effect=ValueError("of one user"))
        with mock.patch.object(replicator, "_on_applied", fails):
            async with asyncio.timeout(10):
                await asyncio.gather(
                    *(replicator.propose(_begin(n)) for n in range(4))
                )
        self.assertEqual(len(replicator.state.calls), 4)

    async def test_an_error_of_one_step_does_not_end_the_log(self):
        """Guards against a control host that runs and takes no part."""
        replicator = await self._started()
        step = replicator._replica.step
        for event_type in (protocol.Tick, protocol.Synced):
            failing = [event_type]

            def fail_once(event, now, failing=failing):
                if type(event) in failing:
                    failing.clear()
                    raise ValueError("of one step")
                return step(event, now)

            replicator._replica.step = fail_once
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.1):
                    await replicator.propose(_begin(event_type.__name__))
            async with asyncio.timeout(10):
                while failing:
                    await asyncio.sleep(0.01)
                await replicator.propose(_begin(f"{event_type.__name__}2"))
        self.assertEqual(len(replicator.state.calls), 4)

    async def test_failed_sync_stops_the_replicator(self):
        """Entries that a crash then loses would be acknowledged.

        A sync fails once. The kernel may have dropped the written pages and
        reports the error only once, so a second sync would succeed. The
        caller must get an error and the replicator must stop.
        """
        storage = storage_lib.Storage(folder=self.folder)
        replicator = await self._started(storage)
        await replicator.propose(_begin(1))

        def fail():
            raise OSError(28, "No space left on device")

        storage.prepare_sync = lambda: fail
        with self.assertRaisesRegex(OSError, "No space left"):
            await replicator.propose(_begin(2))
        del storage.prepare_sync
        with self.assertRaises(replicate.NotLeaderError):
            await replicator.propose(_begin(3))
        self.assertEqual(len(self.failed), 1)
        self.assertFalse(replicator.is_leader)

    async def test_full_disk_stops_the_replicator(self):
        """A replicator would keep running after a write to the log failed."""
        storage = storage_lib.Storage(folder=self.folder)
        replicator = await self._started(storage)

        def fail(entries):
            raise OSError(28, "No space left on device")

        storage.append = fail
        with self.assertRaises((OSError, replicate.NotLeaderError)):
            await replicator.propose(_begin(2))
        self.assertEqual(len(self.failed), 1)

    async def test_compacted_log_is_read_back(self):
        """State or members would be lost when a snapshot replaces the log."""
        original = replicate.SNAPSHOT_AFTER_BYTES
        replicate.SNAPSHOT_AFTER_BYTES = 2000
        self.addCleanup(setattr, replicate, "SNAPSHOT_AFTER_BYTES", original)
        first = await self._started()
        for number in range(60):
            await first.propose(_begin(number))
        await first.close()
        self.assertLess((self.folder / "log").stat().st_size, 2500)
        self.roles = asyncio.Queue()
        second = await self._started()
        self.assertEqual(len(second.state.calls), 60)
        self.assertEqual(second.replica.members.voters[0].name, "a")

    async def test_sole_survivor_leads_after_a_majority_is_lost(self):
        """The last surviving voter could not be brought back into service.

        The disks of two of three voters are lost. The remaining replica
        leads only if it is started with `sole_voter`.
        """
        first = await self._started()
        await first.propose(_begin(1))
        others = tuple(
            members_lib.Member(name, name, "tcp://y") for name in "bc"
        )
        members = members_lib.Members((first.own_member, *others))
        await first.close()
        storage = storage_lib.Storage(folder=self.folder)
        storage.start()
        snapshot = storage_lib.SnapshotFile(
            0, 0, b"", members_lib.Members(members.voters)
        )
        storage.save_snapshot(snapshot)
        storage.close()
        self.roles = asyncio.Queue()
        without_quorum = self._replicator()
        without_quorum.start(bootstrap=True)
        self.assertEqual(len(without_quorum.replica.members.voters), 3)
        await without_quorum.close()
        alone = await self._started(sole_voter=True)
        self.assertEqual(len(alone.state.calls), 1)
        await alone.propose(_begin(2))
