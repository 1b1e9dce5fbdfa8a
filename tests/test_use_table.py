"""Tests of the totals of running requests on targets."""

import unittest

from endivestream import placement_messages
from endivestream.process import use_table
import hypothesis
from hypothesis import strategies as st

HOSTS = st.sampled_from(("e0", "e1", "e2"))
USE = st.builds(
    placement_messages.Use,
    target=st.sampled_from(("t0", "t1")),
    model=st.sampled_from(("m0", "m1")),
    adapter=st.just(""),
    running=st.integers(0, 3),
    starting=st.integers(0, 2),
)


class UseTableTest(unittest.TestCase):
    # Guards against totals that drift from the reports of entry hosts, also
    # after hosts were removed. The random seed is derived from the source of
    # the test below, except its comments.
    @hypothesis.given(
        st.lists(st.tuples(HOSTS, st.none() | st.lists(USE, max_size=4)))
    )
    def test_totals_are_those_of_the_newest_reports(self, reports):
        """Loads must not drift from what hosts report, also of hosts gone."""
        table, held = use_table.UseTable(), {}
        for host, uses in reports:
            if uses is None:
                table.forget(host)
                held.pop(host, None)
            else:
                table.note(host, uses)
                held[host] = uses
        for host in ("e0", "e1", "e2", "e3"):
            loads = {}
            for other, uses in held.items():
                for use in uses:
                    if other != host:
                        weight = use.running + use.starting
                        loads[use.target] = loads.get(use.target, 0) + weight
            expected = {t: n for t, n in loads.items() if n}
            self.assertEqual(table.loads(host), expected)
        for target in ("t0", "t1"):
            running = {}
            for use in (use for uses in held.values() for use in uses):
                if use.target == target:
                    before = running.get(use.model, 0)
                    running[use.model] = before + use.running
            expected = {m: n for m, n in running.items() if n}
            self.assertEqual(table.running(target), expected)
