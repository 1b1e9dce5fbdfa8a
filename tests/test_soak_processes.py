"""Test of real processes under faults in overlapping series."""

import asyncio
import unittest

from soak import processes


class ProcessSoakTest(unittest.TestCase):
    def test_faults_in_series_break_no_promise(self):
        """Guards against lost answers, double runs and declined requests."""
        report = asyncio.run(
            processes.run(seed=3, seconds=12.0, controls=3, entries=3)
        )
        self.assertEqual([], report["violations"])
