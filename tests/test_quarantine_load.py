"""Load tests of the quarantine at the size of a large site."""

import asyncio
import itertools
import sys
import unittest

from endivestream import clock
from endivestream import quarantine_messages
from endivestream import table_position
from endivestream.process import crash_reporter
from endivestream.process import quarantine_manager
from endivestream.request import crash_evidence
from endivestream.request import open_attempts
from endivestream.request import quarantine
import hypothesis
from hypothesis import strategies as st
from soak import virtual_time

from tests import leader_site
from tests import test_leader_load

HOSTS = 69
# Targets of a site of 34 that end together.
ENDED = 8
# What control may cost a host in bytes a second (DEVELOPERS.md).
MAX_CONTROL_BYTES = 29_000


def report(number, target, host, *, parts=(), is_proved=True):
    """Returns a host's report of the end of a process with one request."""
    return quarantine_messages.ProcessEnded(
        host=host,
        target=target,
        started_at_ms=1,
        open_seconds={f"attempt:{number:x}": 0.5, f"content:{number:x}": 0.5}
        | dict.fromkeys((f"part:{part:x}" for part in parts), 0.5),
        sends={f"part:{part:x}": 1 + part % 7 for part in parts},
        requests=(
            quarantine_messages.OpenRequest(
                f"{number:x}", 9.0, open_seconds=0.5
            ),
        ),
        is_proved=is_proved,
    )


class LeaderTest(unittest.TestCase):
    def _run(self, scenario):
        async def run(site):
            site.follow_relays()
            site.run_hosts(every=0.3, credit=150)
            site.run_targets(changes=20)
            await asyncio.sleep(5.0)
            return await scenario(site)

        return leader_site.run(run, hosts=HOSTS, targets=34, domains=4)

    def _run_ends(self, site):
        """Makes hosts report broken answers, 40 a second in total."""
        numbers = itertools.count()

        async def end():
            number = next(numbers)
            host = site.hosts[number % HOSTS]
            await host.request(
                report(
                    number,
                    f"t{number % ENDED}",
                    host.name,
                    is_proved=bool(number % 3),
                ),
                seconds=0.25,
            )

        site.run_periodically(1 / 40, end)

    def test_changes_of_the_quarantine_leave_the_leader_responsive(self):
        """Guards against a leader that sends the quarantine with each answer.

        It had no time for targets that departed.
        """

        async def end_targets(site):
            self._run_ends(site)
            await asyncio.sleep(1.0)
            site.pushed_frames = 0
            before = [host.quarantine_bytes for host in site.hosts]
            await asyncio.sleep(10.0)
            received = [
                (host.quarantine_bytes - bytes_before) / 10.0
                for host, bytes_before in zip(site.hosts, before, strict=True)
            ]
            return site, received

        site, received = self._run(end_targets)
        self.assertLess(max(received), MAX_CONTROL_BYTES / 4)
        self.assertLess(site.max_loop_lag, test_leader_load.SILENCE_SECONDS)
        self.assertEqual(site.unanswered, 0)

    def test_host_that_finds_the_same_leader_restores_no_evidence(self):
        """Guards against evidence that returns after it was disproved."""

        async def find_again(site):
            host = site.hosts[0]
            for number, target in enumerate(("t1", "t2", "t3")):
                await host.request(report(7, target, host.name))
                await asyncio.sleep(0.2 * number + 0.6)
            stale = host.quarantine.entries(clock.now())
            self.assertTrue(stale)
            keys = tuple(entry.key for entry in stale)
            await site.hosts[1].request(
                quarantine_messages.Answered(host="e1", keys=keys)
            )
            await asyncio.sleep(1.0)
            revision = host.quarantine.revision
            await host.renew(quarantined=stale)
            await asyncio.sleep(1.0)
            return revision, host.quarantine.revision

        before, after = self._run(find_again)
        self.assertEqual(before, after)


class ReporterTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_clear_a_suspect_with_one_message(self):
        """Guards against a message to the leader with each sound answer."""
        sent = []

        async def request_leader(message, *, seconds):
            sent.append(message)
            await asyncio.sleep(seconds)

        reporter = crash_reporter.CrashReporter(
            probe=None, host="e1", request_leader=request_leader
        )
        self.addAsyncCleanup(reporter.close)
        reporter.set_table(
            quarantine_messages.QuarantineTable(
                revision=table_position.Position(1, 1),
                entries=(
                    quarantine_messages.QuarantineEntry(
                        key="content:7", is_quarantined=False, seconds=0.0
                    ),
                ),
            )
        )
        for _ in range(30):
            reporter._report_answered(["content:7"])
            await asyncio.sleep(0)
        answered = [
            m for m in sent if isinstance(m, quarantine_messages.Answered)
        ]
        self.assertLessEqual(len(answered), 1)


class EvidenceTest(unittest.TestCase):
    def _calls(self, work):
        """Returns how many functions a piece of work calls."""
        calls = 0

        def count(frame, event, argument):
            nonlocal calls
            calls += event == "call"

        sys.setprofile(count)
        try:
            work()
        finally:
            sys.setprofile(None)
        return calls

    def test_cost_of_a_report_does_not_grow_with_the_evidence(self):
        """Guards against reports that take a leader's time by the second."""
        evidence = crash_evidence.CrashEvidence()
        numbers = itertools.count()

        def record(target, started_at_ms):
            number = next(numbers)
            message = report(
                number,
                target,
                f"e{number % HOSTS}",
                parts=[number * step % 211 for step in (1, 2, 3)],
            )
            evidence.record_end(
                open_attempts.TargetProcess(target, started_at_ms),
                message.open_seconds,
                float(started_at_ms),
                sends=message.sends,
                host=message.host,
            )

        calls = []
        for wave in range(1, 4):
            for target, _ in itertools.product(range(ENDED), range(HOSTS)):
                record(f"t{target}", wave)
            calls.append(self._calls(lambda w=wave: record("t0", w)))
        self.assertLess(calls[-1], 1_000)

    def test_cost_of_a_renewal_does_not_grow_with_the_evidence(self):
        """Guards against a table that is built anew for each renewal."""

        async def push(table):
            pass

        async def run():
            manager = quarantine_manager.QuarantineManager(term=1, push=push)
            for number in range(2_000):
                host = f"e{number % HOSTS}"
                target = f"t{number % ENDED}"
                await manager.record_end(report(number, target, host))
            manager.table  # noqa: B018
            return self._calls(lambda: manager.table)

        self.assertLess(asyncio.run(run()), 1_000)


class UpdatesTest(unittest.TestCase):
    @hypothesis.given(
        steps=st.lists(
            st.one_of(
                st.tuples(st.just("end"), st.integers(0, 5), st.integers(0, 3)),
                st.tuples(st.just("answer"), st.integers(0, 5), st.just(0)),
                st.tuples(st.just("lose"), st.integers(0, 1), st.booleans()),
                st.tuples(st.just("renew"), st.integers(0, 1), st.just(0)),
            ),
            max_size=40,
        )
    )
    def test_hosts_that_miss_updates_reach_the_leaders_table(self, steps):
        """Guards against a host that applies an update to another table."""
        hosts = [quarantine.Quarantine() for _ in range(2)]
        has_lost = [False, False]

        async def push(table):
            for host, is_lost in zip(hosts, has_lost, strict=True):
                if not is_lost:
                    host.set_table(table, clock.now())

        def renew(manager, host):
            update = manager.update_since(host.revision)
            if update is not None:
                host.set_table(update, clock.now())

        def state(host):
            return (
                host._quarantined.keys(),
                host._suspects,
                {k: v.ends for k, v in host._listed_requests.items()},
            )

        async def run():
            manager = quarantine_manager.QuarantineManager(term=1, push=push)
            for number, (kind, which, value) in enumerate(steps):
                match kind:
                    case "end":
                        await manager.record_end(
                            report(which, f"t{number}", "e0", parts=[value])
                        )
                    case "answer":
                        keys = (f"content:{which:x}", f"part:{which % 4:x}")
                        await manager.record_answered(
                            quarantine_messages.Answered(host="e0", keys=keys)
                        )
                    case "lose":
                        has_lost[which] = value
                    case "renew":
                        renew(manager, hosts[which])
                await asyncio.sleep(0.3)
            await asyncio.sleep(1.0)
            for host in hosts:
                renew(manager, host)
            fresh = quarantine.Quarantine()
            fresh.set_table(manager.table, clock.now())
            for host in hosts:
                self.assertEqual(state(host), state(fresh))
            await manager.close()

        with virtual_time.running() as runner:
            runner.run(run())
